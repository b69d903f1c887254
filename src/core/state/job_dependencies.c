/* Job dependencies: checks that all controllers support them (features.h), reads the terminal states that the
 * view lacks, and propagates priorities and deadlines from dependents to dependencies. */
#include "core/controller_internal.h"
#include "core/state/features.h"

/* Limits on reads of terminal records. After a restart, thousands of blocked jobs may need the terminal
 * records of their dependencies. The limits leave the store's request budget to users' requests. */
#define READS_PER_TICK 2
#define READS_MAX 8 /* largest number of reads in flight */
#define INHERIT_INTERVAL_S 1.0

gboolean fk_job_dependencies_are_supported(FkController *c) {
  return fk_feature_is_supported(c, FK_FEATURE_DEPENDENCIES);
}

static void terminal_record_received(FkController *c, gpointer data, FkOutcome outcome, FkStoreEvent *event) {
  g_hash_table_remove(c->requests.terminal_states_requested, data);
  if (outcome == FK_OUTCOME_OK && event && event->record && event->record->kind == FK_STORE_KEY_TERMINAL_JOB)
    fk_view_add_terminal_job(c->view, data, event->record->phase, event->record->tasks,
                             event->record->ended_at_ms);
}

static void request_terminal_record(gpointer data, const char *id) {
  FkController *c = data;
  if (g_hash_table_size(c->requests.terminal_states_requested) >= READS_MAX ||
      g_hash_table_contains(c->requests.terminal_states_requested, id))
    return;
  g_hash_table_add(c->requests.terminal_states_requested, g_strdup(id));
  fk_read_send(c, fk_store_key_path(FK_STORE_KEY_TERMINAL_JOB, id), terminal_record_received, g_strdup(id),
               g_free);
}

/* Requests the terminal records of dependencies whose state is unknown. Because the view contains every live
 * job, a dependency that is missing from the view is terminal. */
static void request_terminal_records(FkController *c) {
  fk_dependency_graph_for_each_unknown(c->view->dependencies, request_terminal_record, c, READS_PER_TICK);
}

/* ------------------------------------------------------------------ inheritance */

static gboolean own_priority(gpointer data, const char *id, int *priority, gint64 *due_us, gint64 *run_us) {
  FkController *c = data;
  const FkJob *job = fk_view_find_job(c->view, id);
  if (!job || job->cancelled)
    return FALSE;
  *priority = (int)job->spec->priority;
  *due_us = fk_job_own_deadline_us(job);
  *run_us = (gint64)(1e6 * c->settings->tuning.deadline_slack * fk_view_expected_run_s(c->view, job->spec));
  return TRUE;
}

static void set_inherited_priority(gpointer data, const char *id, FkInheritedPriority inherited) {
  FkController *c = data;
  FkJob *job = fk_view_find_job(c->view, id);
  if (!job)
    return;
  job->inherited_priority = (FkJobPriority)MIN((int)job->spec->priority, inherited.rank);
  job->deadline_us = MIN(fk_job_own_deadline_us(job), inherited.due_us);
}

static void inherit_priorities(FkController *c) {
  gboolean has_dependencies = fk_dependency_graph_size(c->view->dependencies) > 0;
  if (fk_time_between(c->requests.inherited_at, c->now) < INHERIT_INTERVAL_S ||
      (!has_dependencies && !c->requests.inheriting))
    return;
  c->requests.inherited_at = c->now;
  c->requests.inheriting = has_dependencies;
  /* Each job is reset to its own values first, because dependents may have been removed since the previous
   * pass. */
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkJob *job = value;
    job->inherited_priority = job->spec->priority;
    job->deadline_us = fk_job_own_deadline_us(job);
  }
  fk_dependency_graph_inherit_priorities(c->view->dependencies, own_priority, set_inherited_priority, c);
}

void fk_job_dependencies_tick(FkController *c) {
  request_terminal_records(c);
  inherit_priorities(c);
}
