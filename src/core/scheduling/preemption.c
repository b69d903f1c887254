#include "core/scheduling/preemption.h"

#include "core/scheduling/preemption_cost.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/starvation.h"

#define BLOCKED_WAIT_MIN_S 15.0 /* before that, tasks that end mostly make enough room */
#define BLOCKED_SHARE_MIN 0.02  /* of the fleet's CPUs: for less, the work done is worth more */
#define OVER_SHARE_FACTOR 1.25  /* times its share: so far above it a team gives capacity back */
#define RECLAIM_INTERVAL_S 4.0  /* by then the view shows that the last victims have stopped */
#define RECLAIM_SHARE_MAX 0.05  /* of the fleet's CPUs, in one round */
#define CHUNKS_PER_ROUND_MAX 6  /* each costs a write */

/* All tasks of a chunk are stopped by one write, and were mostly placed together: so the unit is the chunk.
 */
typedef struct {
  FkJob *job;
  guint32 index;
  double cpus, loss_core_s; /* of its tasks that aren't stopping yet */
} Candidate;

static int compare_by_loss(gconstpointer a, gconstpointer b) {
  const Candidate *x = a, *y = b;
  double x_loss = x->loss_core_s / x->cpus, y_loss = y->loss_core_s / y->cpus;
  return x_loss != y_loss ? (x_loss < y_loss ? -1 : 1) : g_strcmp0(x->job->spec->id, y->job->spec->id);
}

/* Lower priorities give way to higher ones; and to a job that waits within its team's guarantee, everything
 * that other teams run above their own share. No team falls below its share by that. */
static gboolean is_preemptible_for(FkController *c, const FkJob *job, const FkJob *blocked) {
  const FkFairShareDemand *team = fk_scheduling_queue_team_share(c, job->spec->team);
  if (job->spec->shape != FK_SHAPE_ARRAY || job->cancelled ||
      g_str_equal(job->spec->team, blocked->spec->team))
    return FALSE;
  if (job->spec->priority > blocked->spec->priority)
    return team->used > OVER_SHARE_FACTOR * team->share && !fk_starvation_affects_class(c, job);
  return blocked->fair_share_standing == FK_STANDING_WITHIN_GUARANTEE &&
         blocked->effective_priority == blocked->spec->priority &&
         team->used > MAX(team->share, team->guarantee) &&
         fk_fair_share_standing(team) == FK_STANDING_ABOVE_SHARE;
}

/* Adds the job's chunks that have tasks to stop; `stopping_cpus` gains what its other tasks will free. */
static void add_candidates(FkController *c, GArray *candidates, FkJob *job, double *stopping_cpus) {
  for (guint32 i = 0; i < job->chunk_count; i++) {
    Candidate candidate = {job, i, 0, 0};
    for (guint k = 0; job->chunks[i] && k < job->chunks[i]->allocations->len; k++) {
      const FkAllocation *allocation = &g_array_index(job->chunks[i]->allocations, FkAllocation, k);
      if (allocation->stop_requested) {
        *stopping_cpus += job->spec->cpus;
        continue;
      }
      candidate.cpus += job->spec->cpus;
      candidate.loss_core_s += fk_preemption_work_lost(c, job->spec, allocation->first_seen_at);
    }
    if (candidate.cpus > 0)
      g_array_append_val(candidates, candidate);
  }
}

static GArray *find_candidates(FkController *c, const FkJob *blocked, double *stopping_cpus) {
  GArray *candidates = g_array_new(FALSE, FALSE, sizeof(Candidate));
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &job))
    if (((FkJob *)job)->allocated && is_preemptible_for(c, job, blocked))
      add_candidates(c, candidates, job, stopping_cpus);
  g_array_sort(candidates, compare_by_loss);
  return candidates;
}

/* What the job's team has above its share, and its class above the starvation floor. */
static double reclaimable_cpus(FkController *c, const FkJob *job, double cluster_cpus) {
  const FkFairShareDemand *team = fk_scheduling_queue_team_share(c, job->spec->team);
  const FkServiceLevelRow *row = fk_service_level_class(c->view->service_level, job->spec->class_name);
  return MIN(team->used - team->share, (row ? row->cpus : 0) - FK_SERVICE_FLOOR_SHARE * cluster_cpus);
}

/* Asks tasks of the chunk to stop, the latest first, with `cpus_max` together at most. Returns their CPUs. */
static double stop_tasks(FkController *c, FkStopTransaction *stops, const Candidate *candidate,
                         double cpus_max) {
  const FkSpec *spec = candidate->job->spec;
  const GArray *allocations = candidate->job->chunks[candidate->index]->allocations;
  double cpus = 0;
  for (guint i = allocations->len; i-- && cpus + spec->cpus <= cpus_max + FK_AMOUNT_EPSILON;) {
    const FkAllocation *allocation = &g_array_index(allocations, FkAllocation, i);
    if (allocation->stop_requested)
      continue;
    if (!fk_stop_transaction_add(c, stops, candidate->job, allocation->task))
      break;
    cpus += spec->cpus;
  }
  return cpus;
}

void fk_preemption_reclaim(FkController *c, FkStopTransaction *stops) {
  double wait_s, stopping_cpus = 0, reclaimed_cpus = 0;
  double cluster_cpus = fk_scheduling_queue_cluster_cpus(c);
  double blocked_cpus = fk_scheduling_queue_blocked_cpus(c, &wait_s);
  const FkJob *blocked = fk_scheduling_queue_first_blocked(c);
  if (!blocked || wait_s < BLOCKED_WAIT_MIN_S || blocked_cpus < BLOCKED_SHARE_MIN * cluster_cpus ||
      fk_time_between(c->leader.quota_reclaimed_at, c->now) < RECLAIM_INTERVAL_S)
    return;
  g_autoptr(GArray) candidates = find_candidates(c, blocked, &stopping_cpus);
  double wanted_cpus = MIN(blocked_cpus, RECLAIM_SHARE_MAX * cluster_cpus) - stopping_cpus;
  guint chunks = 0;
  for (guint i = 0; i < candidates->len && reclaimed_cpus < wanted_cpus && chunks < CHUNKS_PER_ROUND_MAX;
       i++) {
    const Candidate *candidate = &g_array_index(candidates, Candidate, i);
    double cpus_max =
        MIN(wanted_cpus - reclaimed_cpus, reclaimable_cpus(c, candidate->job, cluster_cpus) - reclaimed_cpus);
    double cpus = stop_tasks(c, stops, candidate, cpus_max);
    chunks += cpus > 0;
    reclaimed_cpus += cpus;
  }
  if (reclaimed_cpus <= 0)
    return;
  c->leader.quota_reclaimed_at = c->now;
  g_info("capacity reclaimed cpus=%.0f blocked_cpus=%.0f blocked_wait_s=%.1f", reclaimed_cpus, blocked_cpus,
         wait_s);
}
