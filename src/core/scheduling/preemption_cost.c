/* Room for a task where tasks of a lower rank run: whom it would cost how much, and where the least. */
#include "core/scheduling/launch_batch.h"

#define VICTIMS_MAX 3 /* of one service */
#define LAUNCHING_JOB_COST_CORE_S                                                                            \
  20.0 /* core-seconds: a job that is still being launched changes its chunks all the time                   \
        */
#define IMAGE_FETCH_COST_CORE_S 1000.0

static gboolean stops_immediately(const FkAllocationRef *b) {
  return b->job->cancelled || b->job->spec->checkpoint_s <= 0;
}

static gboolean is_victim(const GArray *victims, const FkAllocationRef *b) {
  for (guint k = 0; k < victims->len; k++) {
    const FkAllocationRef *v = &g_array_index(victims, FkAllocationRef, k);
    if (v->job == b->job && v->task == b->task)
      return TRUE;
  }
  return FALSE;
}

double fk_preemption_work_lost(FkController *c, const FkSpec *s, FkTime since) {
  double ran = fk_time_between(since, c->now);
  return (s->checkpoint_s > 0 ? MIN(ran, s->checkpoint_s) : ran) * s->cpus;
}

/* Its chunk can be written; one that is larger than the limits allow can't, before some of it has ended. */
static gboolean can_be_stopped(FkController *c, const FkAllocationRef *b) {
  const FkChunk *ch = b->job->chunks[b->task / b->job->spec->chunk_tasks];
  return ch && fk_chunk_fits(ch, c->settings->value_kb, NULL, NULL);
}

/* What stopping it would cost, in core-seconds. */
static double preemption_loss(FkController *c, const FkAllocationRef *b) {
  return fk_preemption_work_lost(c, b->job->spec, b->first_seen_at) +
         (fk_job_waiting_tasks(b->job) ? LAUNCHING_JOB_COST_CORE_S : 0);
}

double fk_preemption_cost(FkController *c, const FkSpec *s, const FkMachine *m, gboolean at_once,
                          GArray *victims) {
  const FkInstanceType *t = fk_machine_type(c, m);
  double cpus = t->cpus - m->allocated_cpus - m->reserved_cpus,
         gpus = t->gpus - m->allocated_gpus - m->reserved_gpus,
         mem = t->mem_gb - m->allocated_mem_gb - m->reserved_mem_gb, lost = 0;
  g_array_set_size(victims, 0);
  for (guint i = 0; i < m->allocations->len; i++) {
    const FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
    if ((b->stop_requested || b->job->cancelled) && (!at_once || stops_immediately(b))) {
      /* leaves already */
      cpus += b->job->spec->cpus;
      gpus += b->job->spec->gpus;
      mem += b->job->spec->mem_gb;
    }
  }
  while (cpus < s->cpus - FK_AMOUNT_EPSILON || gpus < s->gpus - FK_AMOUNT_EPSILON ||
         mem < s->mem_gb - FK_AMOUNT_EPSILON) {
    const FkAllocationRef *best = NULL;
    double best_lost = 0;
    for (guint i = 0; i < m->allocations->len; i++) {
      const FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
      if (b->stop_requested || b->job->cancelled || b->job->spec->priority <= s->priority ||
          (at_once && (!stops_immediately(b) || b->job->spec->shape != FK_SHAPE_ARRAY)))
        continue;
      double l = preemption_loss(c, b);
      /* the dearest question last: it goes through all that the job has running */
      if ((best && l >= best_lost) || is_victim(victims, b) || !can_be_stopped(c, b))
        continue;
      best = b;
      best_lost = l;
    }
    if (!best || (at_once && victims->len >= VICTIMS_MAX))
      return -1;
    cpus += best->job->spec->cpus;
    gpus += best->job->spec->gpus;
    mem += best->job->spec->mem_gb;
    lost += best_lost;
    g_array_append_val(victims, *best);
  }
  return lost;
}

FkMachine *fk_preemption_best_machine(FkController *c, const FkJob *j, GPtrArray *machines, gboolean at_once,
                                      double most, GArray *victims) {
  FkMachine *best = NULL;
  double best_cost = most;
  for (guint i = 0; i < machines->len; i++) {
    FkMachine *m = machines->pdata[i];
    double cost = g_hash_table_contains(m->images, j->spec->image) ? 0 : IMAGE_FETCH_COST_CORE_S;
    if (cost >= best_cost || !fk_placement_is_allowed(c, j, m))
      continue;
    double lost = fk_preemption_cost(c, j->spec, m, at_once, victims);
    if (lost >= 0 && cost + lost < best_cost) {
      best = m;
      best_cost = cost + lost;
    }
  }
  if (best)
    fk_preemption_cost(c, j->spec, best, at_once, victims);
  return best;
}
