/* Job chains, as far as the store and the other controllers are needed: whether all of them know of chains,
 * the ends that the view hasn't seen, and what the queue takes over from a job's dependents. */
#include "core/controller_internal.h"

#define READS_PER_TICK                                                                                       \
  2 /* finals asked for: a start with thousands of waiting jobs must leave requests to users */
#define READS_MAX 8
#define INHERIT_INTERVAL_S 1.0

static gboolean node_supports_dependencies(FkController *c, const char *node) {
  const FkLaunchFence *f = g_hash_table_lookup(c->view->launch_fences, node);
  return f && f->supports_dependencies;
}

gboolean fk_job_dependencies_are_supported(FkController *c) {
  if (!node_supports_dependencies(c, c->settings->node))
    return FALSE;
  for (guint i = 0; i < c->settings->peers->len; i++)
    if (!node_supports_dependencies(c, ((FkPeer *)c->settings->peers->pdata[i])->name))
      return FALSE;
  return TRUE;
}

static void terminal_record_received(FkController *c, gpointer data, FkOutcome o, FkStoreEvent *e) {
  g_hash_table_remove(c->requests.terminal_states_requested, data);
  if (o == FK_OUTCOME_OK && e && e->record && e->record->kind == FK_KEY_TERMINAL_JOB)
    fk_view_add_terminal_job(c->view, data, e->record->phase, e->record->tasks, e->record->ended_at_ms);
}

static void request_terminal_record(gpointer data, const char *id) {
  FkController *c = data;
  if (g_hash_table_size(c->requests.terminal_states_requested) >= READS_MAX ||
      g_hash_table_contains(c->requests.terminal_states_requested, id))
    return;
  g_hash_table_add(c->requests.terminal_states_requested, g_strdup(id));
  fk_read_send(c, fk_key_path(FK_KEY_TERMINAL_JOB, id), terminal_record_received, g_strdup(id), g_free);
}

/* The view is complete: who is needed and isn't live has ended, whether or not we saw it. Each is read once.
 */
static void request_terminal_records(FkController *c) {
  fk_dependency_graph_for_each_unknown(c->view->dependencies, request_terminal_record, c, READS_PER_TICK);
}

/* ------------------------------------------------------------------ what dependents ask of a job */

static gboolean own_priority(gpointer data, const char *id, int *rank, gint64 *due_us, gint64 *run_us) {
  FkController *c = data;
  const FkJob *j = fk_view_find_job(c->view, id);
  if (!j || j->cancelled)
    return FALSE;
  *rank = (int)j->spec->priority;
  *due_us = fk_job_own_deadline_us(j);
  *run_us = (gint64)(1e6 * c->settings->tuning.deadline_slack * fk_view_expected_run_s(c->view, j->spec));
  return TRUE;
}

static void set_inherited_priority(gpointer data, const char *id, FkInheritedPriority inherit_priorities) {
  FkController *c = data;
  FkJob *j = fk_view_find_job(c->view, id);
  if (!j)
    return;
  j->inherited_priority = (FkJobPriority)MIN((int)j->spec->priority, inherit_priorities.rank);
  j->deadline_us = MIN(fk_job_own_deadline_us(j), inherit_priorities.due_us);
}

static void inherit_priorities(FkController *c) {
  gboolean any = fk_dependency_graph_size(c->view->dependencies) > 0;
  if (fk_time_between(c->requests.inherited_at, c->now) < INHERIT_INTERVAL_S ||
      (!any && !c->requests.inheriting))
    return;
  c->requests.inherited_at = c->now;
  c->requests.inheriting = any;
  /* whoever needed a job may be gone */
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    j->inherited_priority = j->spec->priority;
    j->deadline_us = fk_job_own_deadline_us(j);
  }
  fk_dependency_graph_inherit_priorities(c->view->dependencies, own_priority, set_inherited_priority, c);
}

void fk_job_dependencies_tick(FkController *c) {
  request_terminal_records(c);
  inherit_priorities(c);
}
