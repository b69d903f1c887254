/* The cancellation barrier decides when a user may be told that a job is cancelled. It also determines for
 * how long the owner of a shard may renew its workers' leases without a confirmed view.
 *
 * Every task of the job must have ended within the platform's deadline for cancellations, which starts when
 * the cancellation is acknowledged. An owner that cannot reach the store does not see the cancellation
 * and goes on renewing its workers' leases for up to `fk_stale_view_trust_s` after its view was last
 * confirmed. If that time were only the deadline minus the length of a lease, every cancellation could be
 * acknowledged at once, but all tasks would be lost in a zone that is cut off from the store for longer than
 * that time. The commit and the acknowledgement are therefore separate: the cancellation is committed at
 * once, and every controller acts on the cancellation as soon as its view shows the job as cancelled. The
 * cancellation is acknowledged as soon as one of these conditions holds:
 *
 * - No task of the job is allocated any more. An allocation is ended only on proof that its task has ended,
 *   and launches are guarded by the job's record, so that no further task can start.
 * - Every machine with an allocation of the job is owned by this controller and has echoed the current
 *   fencing token. Earlier owners can then no longer renew the leases of the workers on these machines, and
 *   this controller knows of the cancellation.
 * - Every other controller has reported that its view has reached the job's revision.
 * - More than `cancellation_barrier_s`, plus an allowance for clock drift, has passed since this controller
 *   saw the cancellation. An owner that hasn't seen the cancellation renews leases for at most
 *   `fk_stale_view_trust_s` after its view was last confirmed, so that the leases expire before the deadline.
 *
 * If `cancellation_barrier_s` is 0, cancellations are acknowledged at once.
 *
 * A revision that a controller has applied stays applied: a report from before a restart of the controller
 * still counts, because the restarted controller reads a store that is at least as recent. */
#include "core/controller_internal.h"

struct FkCancellationBarrier {
  GHashTable
      *applied; /* name of a controller -> FkRev*: the latest revision that the controller has applied */
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

/* Returns whether this controller owns all machines with allocations of the job, and each of these machines
 * has echoed the current fencing token. */
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
