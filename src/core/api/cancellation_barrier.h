/* When a cancellation may be acknowledged to its user, and how long a stale view may be trusted. */
#pragma once
#include "core/messages.h"

/* The revisions that the other controllers have applied. */
typedef struct FkCancellationBarrier FkCancellationBarrier;

FkCancellationBarrier *fk_cancellation_barrier_new(void);
void fk_cancellation_barrier_free(FkCancellationBarrier *barrier);
/* A controller says that its view has reached the revision. */
void fk_cancellation_barrier_note_applied(FkCancellationBarrier *barrier, const char *peer, FkRev applied);
/* The controller is known to have applied the revision. */
gboolean fk_cancellation_barrier_has_applied(const FkCancellationBarrier *barrier, const char *peer,
                                             FkRev rev);
/* Whether the cancellation of the job, which the view shows, may be acknowledged now. */
gboolean fk_cancellation_barrier_is_passed(FkController *c, const FkJob *job);
/* Seconds after which a worker's lease that nobody renews has expired by any clock. */
double fk_lease_expiry_s(const FkSettings *s);
/* Seconds for which a shard's owner may renew its workers' leases without a confirmed view. */
double fk_stale_view_trust_s(const FkSettings *s);
