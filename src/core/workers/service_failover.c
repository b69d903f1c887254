/* Recovery from the loss of many machines: how fast those with services on them are given up, and for how
 * many replicas room is wanted meanwhile. */
#include "core/controller_internal.h"

/* A service's task that nobody has cancelled. */
static gboolean is_live_service(const FkAllocationRef *b) {
  return b->job->spec->shape == FK_SHAPE_SERVICE && !b->job->cancelled;
}

guint fk_machine_service_tasks(const FkMachine *m) {
  guint n = 0;
  for (guint i = 0; i < m->allocations->len; i++)
    n += is_live_service(&g_array_index(m->allocations, FkAllocationRef, i));
  return n;
}

/* A service that can't be reached still serves until its lease ends or its machine is returned. So a machine
 * that has gone silent with services on it is given up no faster than they can be started elsewhere: were it
 * dead, they would wait for the store's writes instead; should it only be cut off, they go on until their
 * turn, and those whose turn doesn't come before it is heard again aren't lost at all. */
#define UNPLACED_WRITE_SECONDS                                                                               \
  0.5 /* seconds' worth of the store's writes: so many services may be without a place */

/* Services that wait for a place, or whose place is being given up. */
static guint unplaced_services(FkController *c) {
  guint n = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    n += ((FkJob *)p)->spec->shape == FK_SHAPE_SERVICE ? fk_job_waiting_tasks(p) : 0;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    n += fk_autoscaler_is_terminating(c, p) ? fk_machine_service_tasks(p) : 0;
  return n;
}

static int compare_drain_age(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  return x->drain_reason_since.us != y->drain_reason_since.us
             ? (x->drain_reason_since.us < y->drain_reason_since.us ? -1 : 1)
             : g_strcmp0(x->id, y->id);
}

void fk_service_failover_select(FkController *c, GPtrArray *serving, GPtrArray *names, guint most_names) {
  if (!serving->len)
    return;
  guint without = unplaced_services(c),
        most = (guint)MAX(2, UNPLACED_WRITE_SECONDS * c->settings->store_write_rps);
  g_ptr_array_sort(serving, compare_drain_age);
  /* The last one may go beyond: a machine with more services than this would else wait until nothing else
   * does, and all marked after it with it (one with sixty replicas stood for twenty seconds). */
  for (guint i = 0; i < serving->len && names->len < most_names && without < most; i++) {
    const FkMachine *m = serving->pdata[i];
    without += fk_machine_service_tasks(m);
    g_ptr_array_add(names, g_strdup(m->id));
  }
}

/* All of them at once, although they are given up one after the other: where no machine has room that would
 * be one boot after the other (in our own world a fifth of 2,000 machines took 53 s, now 23 s). Should the
 * machines be heard again, what was rented is idle, and goes. */
GPtrArray *fk_service_failover_demand(FkController *c) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    if (!m->record || g_strcmp0(m->drain_reason, FK_DRAIN_REASON_SILENT) != 0)
      continue;
    for (guint i = 0; i < m->allocations->len; i++) {
      const FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
      if (is_live_service(b))
        g_ptr_array_add(jobs, b->job);
    }
  }
  return jobs;
}
