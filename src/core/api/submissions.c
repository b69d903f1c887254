/* Accepts submissions: checks whether the job can ever run, looks up its dependencies, and commits its
 * record. */
#include "core/api/requests_internal.h"
#include "core/controller.h"
#include "core/scheduling/placement.h"
#include "fair_share/quota.h"

#define HTTP_CREATED 201
#define HTTP_UNPROCESSABLE 422
/* The view counts as fresh if it was confirmed within this time, which is much shorter than the deadline for
 * cancellations. */
#define VIEW_FRESH_S 5.0
/* Most guards of a transaction that checks whether dependencies exist, as a multiple of the setting
 * `transaction_ops_max`. */
#define COMPARISON_GUARDS_FACTOR 4

/* The state of a dependency of a submitted job, according to the view. */
typedef enum {
  DEPENDENCY_DONE,       /* done, which is permanent: omitted from the job's record */
  DEPENDENCY_ACCEPTED,   /* live, or ended without being done: kept in the job's record */
  DEPENDENCY_UNKNOWN,    /* neither live nor terminal in the view: the store must be read */
  DEPENDENCY_IMPOSSIBLE, /* the submitted job itself, or a service, which never ends */
} DependencyStatus;

static void on_submission_commit_reply(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                       GPtrArray *failed) {
  FkPendingRequest *request = data;
  gboolean stale =
      request->ancestor_unknown || fk_time_between(c->store_session.confirmed_at, c->now) > VIEW_FRESH_S;
  if (outcome == FK_OUTCOME_OK && request->spec->dependencies && stale) {
    /* the view may be stale or lack an ancestor's terminal state: wait until the view shows whether a
     * dependency is cancelled */
    fk_job_reads_await_view(c, request, epoch, FK_BARRIER_REPLY);
  } else if (outcome == FK_OUTCOME_OK) {
    FkPhase phase = request->dependency_cancelled ? FK_PHASE_CANCELLED : FK_PHASE_QUEUED;
    fk_pending_request_reply_phase(c, request, HTTP_CREATED, phase);
  } else if (outcome == FK_OUTCOME_CONFLICT) {
    fk_job_reads_read_record(c, request);
  } else {
    fk_pending_request_reply_unavailable(c, request);
  }
}

/* Returns whether the job can never run: its team doesn't exist, a task fits no instance type, or the team's
 * limits are too low. An array needs room for one task at a time, any other job for all its tasks. Only
 * called for jobs that the view doesn't have. */
static gboolean can_never_run(FkController *c, const FkSpec *spec) {
  FkTeam *team = fk_settings_find_team(c->settings, spec->team);
  double tasks = spec->shape != FK_SHAPE_ARRAY ? spec->tasks : 1;
  if (!team || !fk_quota_allows(team->max_cpus, 0, spec->cpus, tasks) ||
      !fk_quota_allows(team->max_gpus, 0, spec->gpus, tasks))
    return TRUE;
  GHashTableIter it;
  gpointer type;
  g_hash_table_iter_init(&it, c->autoscaling.instance_types);
  while (g_hash_table_iter_next(&it, NULL, &type))
    if (fk_placement_fits_type(spec, type))
      return FALSE;
  return TRUE;
}

void fk_controller_submission_received(FkController *c, FkTime now, FkRequestId request_id, FkSpec *spec) {
  c->now = now;
  FkPendingRequest *request = fk_pending_request_new(c, FK_REQUEST_SUBMIT, request_id, spec->id, spec);
  if (fk_job_reads_handle_permanent_state(c, request))
    return;
  if (fk_job_reads_handle_unavailable(c, request))
    return;
  if (fk_view_find_job(c->view, request->job_id)) {
    fk_job_reads_queue_check(c, request);
    return;
  }
  if (!g_hash_table_size(c->autoscaling.instance_types)) {
    /* the instance types are needed to decide whether the job can ever run */
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  if (can_never_run(c, spec)) {
    fk_pending_request_reply_status(c, request, HTTP_UNPROCESSABLE);
    return;
  }
  fk_submissions_accept(c, request);
}

/* ------------------------------------------------------------------ dependencies */

static void guard_absence(FkOutput *transaction, const char *job_id) {
  fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_JOB, job_id), (FkRev){0});
  fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_TERMINAL_JOB, job_id), (FkRev){0});
}

static void dependency_record_received(FkController *c, gpointer data, FkOutcome outcome,
                                       FkStoreEvent *event) {
  FkPendingRequest *request = data;
  if (outcome != FK_OUTCOME_OK || !event || !event->record ||
      event->record->kind != FK_STORE_KEY_TERMINAL_JOB) {
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  const FkRecord *record = event->record;
  g_autofree char *id = NULL;
  guint32 chunk;
  fk_store_key_parse(event->path, &id, &chunk);
  fk_view_add_terminal_job(c->view, id, record->phase, record->tasks, record->ended_at_ms);
  fk_submissions_accept(c, request);
}

/* Handles the store's reply to the check whether the job, and the dependencies that the view lacks, exist.
 * `failed` has the paths of the records that do exist. If the job exists, its record is read. If a dependency
 * doesn't exist, the submission is rejected. Terminal states are read one after another and added to the
 * view, so that a retry of the same submission finds them there. A live dependency is missing from the view
 * only because the view is behind: the request waits for the view. */
static void dependencies_compared(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                  GPtrArray *failed) {
  FkPendingRequest *request = data;
  if (outcome == FK_OUTCOME_OK) {
    /* at one revision of the store, neither the job nor any of these dependencies existed */
    fk_pending_request_reply_status(c, request, HTTP_UNPROCESSABLE);
    return;
  }
  const char *terminal_path = NULL;
  guint found = 0;
  for (guint i = 0; outcome == FK_OUTCOME_CONFLICT && failed && i < failed->len; i++) {
    g_autofree char *id = NULL;
    guint32 chunk;
    FkStoreKeyKind kind = fk_store_key_parse(failed->pdata[i], &id, &chunk);
    if (g_strcmp0(id, request->job_id) == 0) {
      fk_job_reads_read_record(c, request);
      return;
    }
    found++;
    if (kind == FK_STORE_KEY_TERMINAL_JOB)
      terminal_path = failed->pdata[i];
  }
  if (!found)
    fk_pending_request_reply_unavailable(c, request);
  else if (found < request->compared_count)
    /* at least one dependency doesn't exist, and neither does the job */
    fk_pending_request_reply_status(c, request, HTTP_UNPROCESSABLE);
  else if (terminal_path && request->steps++ < FK_REQUEST_STEPS_MAX)
    fk_read_send(c, g_strdup(terminal_path), dependency_record_received, request, NULL);
  else
    fk_job_reads_await_view(c, request, epoch, FK_BARRIER_ACCEPT);
}

/* Returns the status of the dependency `id`. Sets `dependency_cancelled` in the request if the dependency is
 * cancelled, and `ancestor_unknown` if the terminal state of one of the dependency's ancestors is unknown. */
static DependencyStatus dependency_status(FkController *c, FkPendingRequest *request, const char *id) {
  FkPhase phase;
  guint32 tasks;
  const FkJob *dependency = fk_view_find_job(c->view, id);
  gboolean terminal = fk_view_find_terminal_job(c->view, id, &phase, &tasks);
  gboolean service = dependency && dependency->spec->shape == FK_SHAPE_SERVICE;
  if (service || g_str_equal(id, request->job_id))
    return DEPENDENCY_IMPOSSIBLE;
  if (terminal && phase == FK_PHASE_DONE)
    return DEPENDENCY_DONE;
  if (!dependency && !terminal)
    return DEPENDENCY_UNKNOWN;
  request->dependency_cancelled |= terminal || dependency->cancelled;
  request->ancestor_unknown |= !fk_dependency_graph_is_known(c->view->dependencies, id);
  return DEPENDENCY_ACCEPTED;
}

/* Removes the dependencies that are done from the job's spec. Returns FALSE if a query to the store is in
 * flight or the request has been answered. The submission isn't guarded by the records of its dependencies:
 * the acceptance of a job is permanent, and each controller follows later changes of the dependencies through
 * its own view. */
static gboolean resolve_dependencies(FkController *c, FkPendingRequest *request) {
  char **dependencies = request->spec->dependencies;
  g_autoptr(GStrvBuilder) unfinished = g_strv_builder_new();
  guint unfinished_count = 0;
  FkOutput *comparison = NULL;
  request->compared_count = 0;
  request->dependency_cancelled = request->ancestor_unknown = FALSE;
  for (guint i = 0; dependencies && dependencies[i]; i++) {
    DependencyStatus status = dependency_status(c, request, dependencies[i]);
    if (status == DEPENDENCY_IMPOSSIBLE) {
      fk_output_free(comparison);
      fk_pending_request_reply_status(c, request, HTTP_UNPROCESSABLE);
      return FALSE;
    }
    if (status == DEPENDENCY_ACCEPTED) {
      g_strv_builder_add(unfinished, dependencies[i]);
      unfinished_count++;
    }
    if (status != DEPENDENCY_UNKNOWN)
      continue;
    if (!comparison) {
      comparison = fk_transaction_new(c, FK_PRIORITY_USER);
      guard_absence(comparison, request->job_id);
    }
    if (comparison->guards->len + 2 > COMPARISON_GUARDS_FACTOR * c->settings->transaction_ops_max)
      break; /* the other dependencies are checked after the reply */
    guard_absence(comparison, dependencies[i]);
    request->compared_count++;
  }
  if (comparison) {
    fk_transaction_send(c, comparison, dependencies_compared, request, NULL);
    return FALSE;
  }
  g_strfreev(request->spec->dependencies);
  request->spec->dependencies = unfinished_count ? g_strv_builder_end(unfinished) : NULL;
  return TRUE;
}

/* ------------------------------------------------------------------ commit */

void fk_submissions_accept(FkController *c, FkPendingRequest *request) {
  FkSpec *spec = request->spec;
  if (fk_view_find_job(c->view, request->job_id)) {
    fk_job_reads_queue_check(c, request);
    return;
  }
  if (spec->dependencies && !fk_job_dependencies_are_supported(c)) {
    /* a controller of a version without support for dependencies would start the job at once */
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  if (!resolve_dependencies(c, request))
    return;
  g_free(spec->owner);
  spec->owner = g_strdup(c->settings->node);
  spec->submitted_ms = (c->now.us + c->view->wall_offset_us) / 1000;
  /* a chunk's record must stay within the store's limit for a value even if every task is allocated */
  spec->chunk_tasks = fk_chunk_max_tasks(c->settings->value_kb, c->settings->node);
  FkOutput *transaction = fk_transaction_new(c, FK_PRIORITY_USER);
  guard_absence(transaction, spec->id);
  FkRecord *record = fk_record_new(FK_STORE_KEY_JOB);
  record->spec = fk_spec_ref(spec);
  fk_transaction_put(transaction, fk_store_key_path(FK_STORE_KEY_JOB, spec->id), record, (FkRev){0});
  fk_transaction_send(c, transaction, on_submission_commit_reply, request, NULL);
}
