/* Recovery from the loss of many machines: how fast those with services on them are given up, and for how
 * many replicas room is wanted meanwhile. */
#include "core/controller_internal.h"

/* A service's task that nobody has cancelled. */
static gboolean serves(const FkBookRef *b) {
  return b->job->spec->shape == FK_SHAPE_SERVICE && !b->job->cancelled;
}

guint fk_services_on(const FkMachine *m) {
  guint n = 0;
  for (guint i = 0; i < m->books->len; i++)
    n += serves(&g_array_index(m->books, FkBookRef, i));
  return n;
}

/* A service that can't be reached still serves until its lease ends or its machine is returned. So a machine
 * that has gone silent with services on it is given up no faster than they can be started elsewhere: were it
 * dead, they would wait for the store's writes instead; should it only be cut off, they go on until their
 * turn, and those whose turn doesn't come before it is heard again aren't lost at all. */
#define UNPLACED_S 0.5 /* seconds' worth of the store's writes: so many services may be without a place */

/* Services that wait for a place, or whose place is being given up. */
static guint unplaced(FkController *c) {
  guint n = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    n += ((FkJob *)p)->spec->shape == FK_SHAPE_SERVICE ? fk_job_waiting(p) : 0;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    n += fk_fleet_going(c, p) ? fk_services_on(p) : 0;
  return n;
}

static int longest_marked(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  return x->mark_seen.us != y->mark_seen.us ? (x->mark_seen.us < y->mark_seen.us ? -1 : 1)
                                            : g_strcmp0(x->id, y->id);
}

void fk_recover_give_up(FkController *c, GPtrArray *serving, GPtrArray *names, guint most_names) {
  if (!serving->len)
    return;
  guint without = unplaced(c), most = (guint)MAX(2, UNPLACED_S * c->settings->state_write_rps);
  g_ptr_array_sort(serving, longest_marked);
  /* The last one may go beyond: a machine with more services than this would else wait until nothing else
   * does, and all marked after it with it (one with sixty replicas stood for twenty seconds). */
  for (guint i = 0; i < serving->len && names->len < most_names && without < most; i++) {
    const FkMachine *m = serving->pdata[i];
    without += fk_services_on(m);
    g_ptr_array_add(names, g_strdup(m->id));
  }
}

/* All of them at once, although they are given up one after the other: where no machine has room that would
 * be one boot after the other (in our own world a fifth of 2,000 machines took 53 s, now 23 s). Should the
 * machines be heard again, what was rented is idle, and goes. */
GPtrArray *fk_recover_to_place(FkController *c) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    if (!m->rec || g_strcmp0(m->mark, "silent") != 0)
      continue;
    for (guint i = 0; i < m->books->len; i++) {
      const FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
      if (serves(b))
        g_ptr_array_add(jobs, b->job);
    }
  }
  return jobs;
}
