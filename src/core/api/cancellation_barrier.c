/* When a user may be told that a job is cancelled, and how long a home may therefore answer for without a
 * look at the store.
 *
 * Told, the user may count on every task being gone within `cancel_s`. A home that can't see the store can't
 * see the cancellation either, and goes on keeping its workers' leases for `trust` after its view was
 * current. With a trust of `cancel_s - lease_s` a cancellation could be told at once, and a zone cut off for
 * longer than that lost all that ran there. So the two are parted: the cancellation is committed, and acted
 * on by all who see it, at once; it is *told* when
 *
 * - none of the job's tasks is booked any more (each booking ended on proof, launches are guarded by the
 * job),
 * - or every machine that it is booked on is ours and has shown our present token: nobody else's answer
 * counts there, and we know,
 * - or every other controller has said that its view has reached the job's revision,
 * - or `tell_after_s` has gone by since we saw it: who didn't know of it then answers nobody any more for
 * long enough that the leases end in time.
 *
 * What a controller has applied it has applied for good: an earlier life's word holds too, since the next one
 * reads a store that is no older. */
#include "core/controller_internal.h"

struct FkCancellationBarrier {
  GHashTable *applied; /* controller -> FkRev*: the latest revision that it is known to have applied */
};

FkCancellationBarrier *fk_cancellation_barrier_new(void) {
  FkCancellationBarrier *t = g_new0(FkCancellationBarrier, 1);
  t->applied = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return t;
}

void fk_cancellation_barrier_free(FkCancellationBarrier *t) {
  g_hash_table_unref(t->applied);
  g_free(t);
}

double fk_lease_expiry_s(const FkSettings *s) {
  return s->worker_lease_s * (1 + FK_CLOCK_DRIFT) + FK_LEASE_MARGIN_S;
}

double fk_stale_view_trust_s(const FkSettings *s) {
  return MAX(1.0, s->cancellation_deadline_s - fk_lease_expiry_s(s)) + s->tuning.cancellation_barrier_s;
}

void fk_cancellation_barrier_note_applied(FkCancellationBarrier *t, const char *peer, FkRev applied) {
  FkRev *known = g_hash_table_lookup(t->applied, peer);
  if (!known)
    g_hash_table_insert(t->applied, g_strdup(peer), g_memdup2(&applied, sizeof applied));
  else if (applied.n > known->n)
    *known = applied;
}

gboolean fk_cancellation_barrier_has_applied(const FkCancellationBarrier *t, const char *peer, FkRev rev) {
  const FkRev *known = g_hash_table_lookup(t->applied, peer);
  return known && known->n >= rev.n;
}

/* Only machines of ours that have shown our present token. */
static gboolean all_allocations_confirmed(FkController *c, const FkJob *j) {
  for (guint32 i = 0; i < j->chunk_count; i++)
    for (guint k = 0; j->chunks[i] && k < j->chunks[i]->allocations->len; k++) {
      FkMachine *m =
          fk_view_find_machine(c->view, g_array_index(j->chunks[i]->allocations, FkAllocation, k).machine);
      if (!m || !fk_machine_is_owned(c, m) || !fk_worker_has_echoed_token(m))
        return FALSE;
    }
  return TRUE;
}

gboolean fk_cancellation_barrier_is_passed(FkController *c, const FkJob *j) {
  double wait_s = c->settings->tuning.cancellation_barrier_s;
  if (!j->allocated || wait_s <= 0 || all_allocations_confirmed(c, j))
    return TRUE;
  gboolean all = TRUE;
  for (guint i = 0; i < c->settings->peers->len && all; i++)
    all = fk_cancellation_barrier_has_applied(c->requests.cancellation_barrier,
                                              ((FkPeer *)c->settings->peers->pdata[i])->name, j->rev);
  return all || fk_time_between(j->cancelled_at, c->now) > wait_s * (1 + FK_CLOCK_DRIFT);
}
