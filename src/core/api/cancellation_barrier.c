/* When a user may be told that a job is cancelled, and how long a shard's owner may therefore renew leases
 * without a confirmed view.
 *
 * Once told, the user may count on every task being gone within the platform's deadline for cancellations. An
 * owner that cannot see the store cannot see the cancellation either, and goes on renewing its workers'
 * leases for a while (`fk_stale_view_trust_s`) after its view was confirmed last. If that time were the
 * deadline less a lease, a cancellation could be acknowledged at once, but a zone cut off for longer would
 * lose all that runs there. So the two are parted: the cancellation is committed, and acted on by all who see
 * it, at once. It is acknowledged when
 *
 * - no task of the job is allocated any more (each allocation ended on proof, launches are guarded by the
 *   job's record),
 * - or every machine with an allocation of it is owned here and has echoed the present fencing token: no
 *   other owner counts there, and this one knows,
 * - or every other controller has said that its view has reached the job's revision,
 * - or the barrier's time has passed since this controller saw it: an owner that did not know of it then has
 *   stopped renewing leases for long enough that they expire in time.
 *
 * What a controller has applied stays applied: the word of an earlier incarnation holds too, since the next
 * one reads a store that is no older. */
#include "core/controller_internal.h"

struct FkCancellationBarrier {
  GHashTable *applied; /* controller -> FkRev*: the latest that it has applied */
};

FkCancellationBarrier *fk_cancellation_barrier_new(void) {
  FkCancellationBarrier *barrier = g_new0(FkCancellationBarrier, 1);
  barrier->applied = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return barrier;
}

void fk_cancellation_barrier_free(FkCancellationBarrier *barrier) {
  g_hash_table_unref(barrier->applied);
  g_free(barrier);
}

double fk_lease_expiry_s(const FkSettings *settings) {
  return settings->worker_lease_s * (1 + FK_CLOCK_DRIFT) + FK_LEASE_MARGIN_S;
}

double fk_stale_view_trust_s(const FkSettings *settings) {
  return MAX(1.0, settings->cancellation_deadline_s - fk_lease_expiry_s(settings)) +
         settings->tuning.cancellation_barrier_s;
}

void fk_cancellation_barrier_note_applied(FkCancellationBarrier *barrier, const char *peer, FkRev applied) {
  FkRev *known = g_hash_table_lookup(barrier->applied, peer);
  if (!known)
    g_hash_table_insert(barrier->applied, g_strdup(peer), g_memdup2(&applied, sizeof applied));
  else if (applied.n > known->n)
    *known = applied;
}

gboolean fk_cancellation_barrier_has_applied(const FkCancellationBarrier *barrier, const char *peer,
                                             FkRev rev) {
  const FkRev *known = g_hash_table_lookup(barrier->applied, peer);
  return known && known->n >= rev.n;
}

/* Every allocation of the job is on an owned machine that has echoed the present fencing token. */
static gboolean all_allocations_confirmed(FkController *c, const FkJob *job) {
  for (guint32 i = 0; i < job->chunk_count; i++)
    for (guint k = 0; job->chunks[i] && k < job->chunks[i]->allocations->len; k++) {
      FkMachine *machine =
          fk_view_find_machine(c->view, g_array_index(job->chunks[i]->allocations, FkAllocation, k).machine);
      if (!machine || !fk_machine_is_owned(c, machine) || !fk_worker_has_echoed_token(machine))
        return FALSE;
    }
  return TRUE;
}

gboolean fk_cancellation_barrier_is_passed(FkController *c, const FkJob *job) {
  double barrier_s = c->settings->tuning.cancellation_barrier_s;
  if (!job->allocated || barrier_s <= 0 || all_allocations_confirmed(c, job))
    return TRUE;
  gboolean all_applied = TRUE;
  for (guint i = 0; i < c->settings->peers->len && all_applied; i++)
    all_applied = fk_cancellation_barrier_has_applied(
        c->requests.cancellation_barrier, ((FkPeer *)c->settings->peers->pdata[i])->name, job->rev);
  return all_applied || fk_time_between(job->cancelled_at, c->now) > barrier_s * (1 + FK_CLOCK_DRIFT);
}
