/* Room for a task where tasks of a lower rank run: whom it would cost how much, and where the least. */
#include "core/scheduling/launch_batch.h"

#define VICTIMS_MAX 3 /* of one service */
#define BUSY_COST                                                                                            \
  20.0 /* core-seconds: a job that is still being launched changes its chunks all the time                   \
        */
#define FETCH_COST 1000.0

static gboolean leaves_at_once(const FkBookRef *b) {
  return b->job->cancelled || b->job->spec->checkpoint_s <= 0;
}

static gboolean is_victim(const GArray *victims, const FkBookRef *b) {
  for (guint k = 0; k < victims->len; k++) {
    const FkBookRef *v = &g_array_index(victims, FkBookRef, k);
    if (v->job == b->job && v->task == b->task)
      return TRUE;
  }
  return FALSE;
}

double fk_work_lost(FkController *c, const FkSpec *s, FkTime since) {
  double ran = fk_time_between(since, c->now);
  return (s->checkpoint_s > 0 ? MIN(ran, s->checkpoint_s) : ran) * s->cpus;
}

/* Its chunk can be written; one that is larger than the limits allow can't, before some of it has ended. */
static gboolean can_be_stopped(FkController *c, const FkBookRef *b) {
  const FkChunk *ch = b->job->chunks[b->task / b->job->spec->chunk];
  return ch && fk_chunk_fits(ch, c->settings->value_kb, NULL, NULL);
}

/* What stopping it would cost, in core-seconds. */
static double loss(FkController *c, const FkBookRef *b) {
  return fk_work_lost(c, b->job->spec, b->since) + (fk_job_waiting(b->job) ? BUSY_COST : 0);
}

double fk_displace_cost(FkController *c, const FkSpec *s, const FkMachine *m, gboolean at_once,
                        GArray *victims) {
  const FkType *t = fk_type_of(c, m);
  double cpus = t->cpus - m->cpus - m->pend_cpus, gpus = t->gpus - m->gpus - m->pend_gpus,
         mem = t->mem_gb - m->mem_gb - m->pend_mem, lost = 0;
  g_array_set_size(victims, 0);
  for (guint i = 0; i < m->books->len; i++) {
    const FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
    if ((b->stop || b->job->cancelled) && (!at_once || leaves_at_once(b))) {
      /* leaves already */
      cpus += b->job->spec->cpus;
      gpus += b->job->spec->gpus;
      mem += b->job->spec->mem_gb;
    }
  }
  while (cpus < s->cpus - FK_EPS || gpus < s->gpus - FK_EPS || mem < s->mem_gb - FK_EPS) {
    const FkBookRef *best = NULL;
    double best_lost = 0;
    for (guint i = 0; i < m->books->len; i++) {
      const FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
      if (b->stop || b->job->cancelled || b->job->spec->rank <= s->rank ||
          (at_once && (!leaves_at_once(b) || b->job->spec->shape != FK_SHAPE_ARRAY)))
        continue;
      double l = loss(c, b);
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

FkMachine *fk_displace_best(FkController *c, const FkJob *j, GPtrArray *machines, gboolean at_once,
                            double most, GArray *victims) {
  FkMachine *best = NULL;
  double best_cost = most;
  for (guint i = 0; i < machines->len; i++) {
    FkMachine *m = machines->pdata[i];
    double cost = g_hash_table_contains(m->images, j->spec->image) ? 0 : FETCH_COST;
    if (cost >= best_cost || !fk_job_allows(c, j, m))
      continue;
    double lost = fk_displace_cost(c, j->spec, m, at_once, victims);
    if (lost >= 0 && cost + lost < best_cost) {
      best = m;
      best_cost = cost + lost;
    }
  }
  if (best)
    fk_displace_cost(c, j->spec, best, at_once, victims);
  return best;
}
