/* The cancellation barrier: when a cancellation may be acknowledged to the user, and for how long a shard's
 * owner may rely on a view that is not confirmed. */
#pragma once
#include "core/messages.h"

/* The latest revision that each of the other controllers is known to have applied to its view. */
typedef struct FkCancellationBarrier FkCancellationBarrier;

FkCancellationBarrier *fk_cancellation_barrier_new(void);
void fk_cancellation_barrier_free(FkCancellationBarrier *barrier);
/* Records that the controller `peer` has reported that its view has reached the revision `applied`. */
void fk_cancellation_barrier_note_applied(FkCancellationBarrier *barrier, const char *peer, FkRev applied);
/* Returns whether the view of the controller `peer` is known to have reached the revision `rev`. */
gboolean fk_cancellation_barrier_has_applied(const FkCancellationBarrier *barrier, const char *peer,
                                             FkRev rev);
/* Returns whether the job's cancellation may be acknowledged now; always TRUE if the setting
 * `cancellation_barrier_s` is 0. The view must show the job as cancelled. */
gboolean fk_cancellation_barrier_is_passed(FkController *c, const FkJob *job);
/* Returns how many seconds after its last renewal a worker's lease has certainly expired: the lease's length
 * plus an allowance for clock drift and a margin. */
double fk_lease_expiry_s(const FkSettings *s);
/* Returns for how many seconds after the last confirmation of its view a shard's owner may renew its workers'
 * leases. */
double fk_stale_view_trust_s(const FkSettings *s);
