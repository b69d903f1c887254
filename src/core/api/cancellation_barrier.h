/* The cancellation barrier: when a cancellation may be acknowledged to the user, and for how long a shard's
 * owner may rely on a view that is not confirmed. */
#pragma once
#include "core/messages.h"

/* The latest revision that each of the other controllers has applied. */
typedef struct FkCancellationBarrier FkCancellationBarrier;

FkCancellationBarrier *fk_cancellation_barrier_new(void);
void fk_cancellation_barrier_free(FkCancellationBarrier *barrier);
/* Records that the controller `peer` has reported that its view has reached the revision. */
void fk_cancellation_barrier_note_applied(FkCancellationBarrier *barrier, const char *peer, FkRev applied);
/* Returns whether the controller `peer` is known to have applied the revision. */
gboolean fk_cancellation_barrier_has_applied(const FkCancellationBarrier *barrier, const char *peer,
                                             FkRev rev);
/* Returns whether the job's cancellation may be acknowledged now. The view must show the job as cancelled. */
gboolean fk_cancellation_barrier_is_passed(FkController *c, const FkJob *job);
/* Returns the seconds after which a worker's lease that is not renewed has expired, with allowance for clock
 * drift. */
double fk_lease_expiry_s(const FkSettings *s);
/* Returns for how many seconds after the last confirmation of its view a shard's owner may renew its workers'
 * leases. */
double fk_stale_view_trust_s(const FkSettings *s);
