/* Job chains, as far as the store and the other controllers are needed: whether all of them know of chains,
 * the ends that the view hasn't seen, and what the queue takes over from a job's dependents. */
#include "core/controller_internal.h"

#define READS_A_TICK                                                                                         \
  2 /* finals asked for: a start with thousands of waiting jobs must leave requests to users */
#define READS_MAX 8
#define PULL_S 1.0

static gboolean knows(FkController *c, const char *node) {
  const FkFence *f = g_hash_table_lookup(c->view->fences, node);
  return f && f->chains;
}

gboolean fk_chains_known(FkController *c) {
  if (!knows(c, c->settings->node))
    return FALSE;
  for (guint i = 0; i < c->settings->peers->len; i++)
    if (!knows(c, ((FkPeer *)c->settings->peers->pdata[i])->name))
      return FALSE;
  return TRUE;
}

static void got_final(FkController *c, gpointer data, FkOutcome o, FkEvent *e) {
  g_hash_table_remove(c->finals_asked, data);
  if (o == FK_OK && e && e->record && e->record->kind == FK_KEY_FINAL)
    fk_view_remember_final(c->view, data, e->record->phase, e->record->tasks, e->record->at_ms);
}

static void ask_final(gpointer data, const char *id) {
  FkController *c = data;
  if (g_hash_table_size(c->finals_asked) >= READS_MAX || g_hash_table_contains(c->finals_asked, id))
    return;
  g_hash_table_add(c->finals_asked, g_strdup(id));
  fk_get_send(c, fk_key(FK_KEY_FINAL, id), got_final, g_strdup(id), g_free);
}

/* The view is complete: who is needed and isn't live has ended, whether or not we saw it. Each is read once.
 */
static void ask_finals(FkController *c) { fk_deps_unknown(c->view->deps, ask_final, c, READS_A_TICK); }

/* ------------------------------------------------------------------ what dependents ask of a job */

static gboolean own_of(gpointer data, const char *id, int *rank, gint64 *due_us, gint64 *run_us) {
  FkController *c = data;
  const FkJob *j = fk_view_job(c->view, id);
  if (!j || j->cancelled)
    return FALSE;
  *rank = (int)j->spec->rank;
  *due_us = fk_job_own_due(j);
  *run_us = (gint64)(1e6 * c->settings->tuning.slack * fk_view_run_s(c->view, j->spec));
  return TRUE;
}

static void pulled(gpointer data, const char *id, FkDepsPull pull) {
  FkController *c = data;
  FkJob *j = fk_view_job(c->view, id);
  if (!j)
    return;
  j->pulled_rank = (FkRank)MIN((int)j->spec->rank, pull.rank);
  j->due_us = MIN(fk_job_own_due(j), pull.by_us);
}

static void pull(FkController *c) {
  gboolean any = fk_deps_size(c->view->deps) > 0;
  if (fk_time_between(c->pulled, c->now) < PULL_S || (!any && !c->pulling))
    return;
  c->pulled = c->now;
  c->pulling = any;
  /* whoever needed a job may be gone */
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    j->pulled_rank = j->spec->rank;
    j->due_us = fk_job_own_due(j);
  }
  fk_deps_pull(c->view->deps, own_of, pulled, c);
}

void fk_chains_tick(FkController *c) {
  ask_finals(c);
  pull(c);
}
