/* The cloud, which rents machines. */
#include "simulation/simulation_internal.h"

/* Something runs there, or is to; ended attempts may stay in its reports for long. */
static gboolean at_work(const Worker *w) {
  for (guint i = 0; i < w->model.tasks->len; i++)
    if (((FkWorkerTask *)w->model.tasks->pdata[i])->state != FK_TASK_EXITED)
      return TRUE;
  return FALSE;
}

void cloud_handles(Sim *m, gpointer p) {
  Call *c = p;
  FkOut *o = c->out;
  if (m->now < m->cloud_until) {
    answer(c, FK_REFUSED, (FkRev){0}, NULL, FALSE, NULL);
    return;
  }
  switch (o->kind) {
  case FK_OUT_TYPES: {
    GPtrArray *types = g_ptr_array_new();
    FkType *t = g_new0(FkType, 1);
    *t = (FkType){g_strdup("box8"), 8, 0, 32, 1, 0.4, 0.1, 5, g_strsplit("north,south", ",", 0)};
    g_ptr_array_add(types, t);
    if (!alive(c)) {
      fk_type_free(t);
      g_ptr_array_unref(types);
    } else {
      deliver(c, FK_OK, (FkRev){0}, types, FALSE, NULL);
    }
    break;
  }
  case FK_OUT_RENT: {
    m->r.recovery.rents += m->lost_at > 0;
    GPtrArray *names = g_hash_table_lookup(m->hires, o->name);
    if (!names) {
      guint here = 0;
      for (guint i = 0; i < m->workers->len; i++)
        here += !((Worker *)m->workers->pdata[i])->gone;
      if (here >= MAX(m->plan.machines, m->plan.up)) {
        answer(c, FK_CONFLICT, (FkRev){0}, NULL, FALSE, NULL);
        return;
      }
      names = g_ptr_array_new_with_free_func(g_free);
      for (guint i = 0; i < o->count && here + i < MAX(m->plan.machines, m->plan.up); i++) {
        double boot_s = m->plan.boot_s > 0 ? between(m, 0.6, m->plan.boot_s) : between(m, 1, 8);
        g_ptr_array_add(names, g_strdup(new_worker(m, o->zone, o->spot, boot_s)->model.id));
      }
      g_hash_table_insert(m->hires, g_strdup(o->name), names);
    }
    answer(c, FK_OK, (FkRev){0}, g_ptr_array_ref(names), FALSE, NULL);
    break;
  }
  case FK_OUT_RETURN:
    m->r.recovery.returns += m->lost_at > 0;
    for (guint i = 0; i < o->names->len; i++) {
      Worker *w = worker_of(m, o->names->pdata[i]);
      if (w && !w->gone) {
        /* what runs there runs well, and is lost for nothing */
        m->r.sick += w->up && !w->sick && !m->plan.deaths && !m->plan.hangs && at_work(w);
        lose(m, w);
      }
    }
    answer(c, FK_OK, (FkRev){0}, NULL, FALSE, NULL);
    break;
  default: {
    GPtrArray *list = g_ptr_array_new_with_free_func(fk_listed_free);
    for (guint i = 0; i < m->workers->len; i++) {
      Worker *w = m->workers->pdata[i];
      if (w->gone || m->now - w->born < 4000000)
        continue; /* the list lags */
      FkListed *l = g_new0(FkListed, 1);
      *l = (FkListed){g_strdup(w->model.id),   g_strdup(w->model.id),
                      g_strdup(w->model.type), g_strdup(w->model.zone),
                      w->model.spot,           w->up ? FK_MACHINE_RUNNING : FK_MACHINE_BOOTING,
                      (m->now - w->born) / 1e6};
      g_ptr_array_add(list, l);
    }
    answer(c, FK_OK, (FkRev){0}, list, FALSE, NULL);
  }
  }
}
