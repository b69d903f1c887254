#include "core/scheduling/preemption.h"

#include "core/scheduling/preemption_cost.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/starvation.h"

/* nothing is reclaimed until the first blocked job has waited for this long: tasks that end usually free
 * enough capacity */
#define BLOCKED_WAIT_MIN_S 15.0
/* nothing is reclaimed while the blocked jobs need less than this share of the fleet's CPUs: the gain isn't
 * worth the lost work */
#define BLOCKED_SHARE_MIN 0.02
/* tasks of a lower priority are stopped only if their team uses more than this multiple of its share */
#define OVER_SHARE_FACTOR 1.25
/* minimum time between rounds: by then the view usually shows that the last victims have stopped */
#define RECLAIM_INTERVAL_S 4.0
#define RECLAIM_SHARE_MAX 0.05 /* maximum CPUs reclaimed in one round, as a share of the fleet's CPUs */
#define CHUNKS_PER_ROUND_MAX 6 /* maximum number of chunks in one round: each costs a write */

/* A chunk whose tasks may be stopped. Candidates are chunks, not tasks, because one write can stop all tasks
 * of a chunk, and the tasks of a chunk were mostly placed together. */
typedef struct {
  FkJob *job;
  guint32 index;
  double cpus, loss_core_s; /* sums over the chunk's tasks that aren't stopping yet */
} Candidate;

static int compare_by_loss_per_cpu(gconstpointer a, gconstpointer b) {
  const Candidate *x = a, *y = b;
  double x_loss_per_cpu = x->loss_core_s / x->cpus, y_loss_per_cpu = y->loss_core_s / y->cpus;
  return x_loss_per_cpu != y_loss_per_cpu ? (x_loss_per_cpu < y_loss_per_cpu ? -1 : 1)
                                          : g_strcmp0(x->job->spec->id, y->job->spec->id);
}

/* Returns whether tasks of the job may be stopped for the blocked job. The job must be an array of another
 * team. If the job's priority is lower than the blocked job's, the job's team must use more than
 * OVER_SHARE_FACTOR times its share, and the job's class must not starve. If the job's priority is the same
 * or higher, the blocked job must have the best standing (FK_STANDING_WITHIN_GUARANTEE) and an effective
 * priority equal to that of its spec, and the team of `job` must use well above its share and above its
 * guarantee. reclaimable_cpus() ensures that no team falls below its share. */
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

/* Adds the job's chunks that have tasks to stop to `candidates`, and the CPUs of its tasks that are already
 * stopping to `stopping_cpus`. */
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
  g_array_sort(candidates, compare_by_loss_per_cpu);
  return candidates;
}

/* Returns the CPUs that may be reclaimed from the job: what its team uses above its share, or what its class
 * uses above the starvation floor (FK_SERVICE_FLOOR_SHARE), whichever is less. */
static double reclaimable_cpus(FkController *c, const FkJob *job, double cluster_cpus) {
  const FkFairShareDemand *team = fk_scheduling_queue_team_share(c, job->spec->team);
  const FkServiceLevelRow *row = fk_service_level_class(c->view->service_level, job->spec->class_name);
  return MIN(team->used - team->share, (row ? row->cpus : 0) - FK_SERVICE_FLOOR_SHARE * cluster_cpus);
}

/* Asks tasks of the chunk to stop, starting with its last allocation, up to `cpus_max` CPUs in total. Returns
 * the CPUs of these tasks. */
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
