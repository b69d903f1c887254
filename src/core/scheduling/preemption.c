#include "core/scheduling/launch_batch.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/stop_transaction.h"

#define BLOCKED_WAIT_MIN_S 15.0 /* the first has waited for so long: tasks that end mostly make room sooner  \
                                 */
#define BLOCKED_SHARE_MIN 0.02  /* of the fleet's CPUs wait: for less, what was done is worth more */
#define OVER_SHARE_FACTOR 1.25  /* times what is due: so far above it, borrowed room is asked back */
#define RECLAIM_INTERVAL_S 4.0  /* what was asked to leave has left by then, and shows */
#define RECLAIM_SHARE_MAX 0.05  /* of the fleet's CPUs */
#define CHUNKS_PER_ROUND_MAX 6  /* a round: each is a write */

/* A chunk's tasks stop by one write, and were mostly placed together: so chunks are asked for, not tasks. */
typedef struct {
  FkJob *job;
  guint32 index;
  double cpus, loss; /* of its tasks that aren't leaving yet; core-seconds */
} Candidate;

static int compare_by_loss(gconstpointer a, gconstpointer b) {
  const Candidate *x = a, *y = b;
  double lx = x->loss / x->cpus, ly = y->loss / y->cpus;
  return lx != ly ? (lx < ly ? -1 : 1) : g_strcmp0(x->job->spec->id, y->job->spec->id);
}

/* Lower ranks give way to higher ones; and to who waits within its own guarantee, all that others run above
 * theirs (PROTOCOL, "Preemption"). Nobody falls below what it is due by that. */
static gboolean is_preemptible_for(FkController *c, const FkJob *j, const FkJob *waits) {
  const FkFairShareDemand *team = fk_scheduling_queue_team_share(c, j->spec->team);
  if (j->spec->shape != FK_SHAPE_ARRAY || j->cancelled || g_str_equal(j->spec->team, waits->spec->team))
    return FALSE;
  if (j->spec->priority > waits->spec->priority)
    return team->used > OVER_SHARE_FACTOR * team->share && !fk_starvation_affects_class(c, j);
  return waits->fair_share_standing == FK_STANDING_PROTECTED &&
         waits->effective_priority == waits->spec->priority &&
         team->used > MAX(team->share, team->guarantee) && fk_fair_share_standing(team) == FK_STANDING_OVER;
}

static void add_candidates(FkController *c, GArray *list, FkJob *j, double *leaving) {
  for (guint32 i = 0; i < j->chunk_count; i++) {
    Candidate k = {j, i, 0, 0};
    for (guint b = 0; j->chunks[i] && b < j->chunks[i]->allocations->len; b++) {
      const FkAllocation *x = &g_array_index(j->chunks[i]->allocations, FkAllocation, b);
      if (x->stop_requested) {
        *leaving += j->spec->cpus;
        continue;
      }
      k.cpus += j->spec->cpus;
      k.loss += fk_preemption_work_lost(c, j->spec, x->first_seen_at);
    }
    if (k.cpus > 0)
      g_array_append_val(list, k);
  }
}

/* What the job's team and class may lose. */
static double reclaimable_cpus(FkController *c, const FkJob *j, double room) {
  const FkFairShareDemand *team = fk_scheduling_queue_team_share(c, j->spec->team);
  const FkServiceLevelRow *row = fk_service_level_class(c->view->service_level, j->spec->class_name);
  return MIN(team->used - team->share, (row ? row->cpus : 0) - FK_SERVICE_FLOOR_SHARE * room);
}

void fk_preemption_reclaim(FkController *c, FkStopTransaction *s) {
  double waited, room = fk_scheduling_queue_fleet_cpus(c),
                 ahead = fk_scheduling_queue_blocked_cpus(c, &waited);
  const FkJob *waits = fk_scheduling_queue_first_blocked(c);
  if (!waits || waited < BLOCKED_WAIT_MIN_S || ahead < BLOCKED_SHARE_MIN * room ||
      fk_time_between(c->leader.quota_reclaimed_at, c->now) < RECLAIM_INTERVAL_S)
    return;
  g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(Candidate));
  double leaving = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (((FkJob *)p)->allocated && is_preemptible_for(c, p, waits))
      add_candidates(c, list, p, &leaving);
  g_array_sort(list, compare_by_loss);
  double want = MIN(ahead, RECLAIM_SHARE_MAX * room) - leaving, got = 0;
  guint chunks = 0;
  for (guint i = 0; i < list->len && got < want && chunks < CHUNKS_PER_ROUND_MAX; i++) {
    const Candidate *k = &g_array_index(list, Candidate, i);
    double most = MIN(want - got, reclaimable_cpus(c, k->job, room) - got), taken = 0;
    const GArray *books = k->job->chunks[k->index]->allocations;
    for (guint b = books->len; b-- && taken + k->job->spec->cpus <= most + FK_AMOUNT_EPSILON;) {
      const FkAllocation *x = &g_array_index(books, FkAllocation, b);
      if (x->stop_requested)
        continue;
      if (!fk_stop_transaction_add(c, s, k->job, x->task))
        break;
      taken += k->job->spec->cpus;
    }
    chunks += taken > 0;
    got += taken;
  }
  if (got <= 0)
    return;
  c->leader.quota_reclaimed_at = c->now;
  g_info("reclaimed: tasks with %.0f CPUs are asked to leave for arrays that wait for %.0f, the first for "
         "%.1f s",
         got, ahead, waited);
}
