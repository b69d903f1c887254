/* Submissions: whether a job can ever run, what is known of its dependencies, and the commit. */
#include "core/api/requests_internal.h"
#include "core/controller.h"
#include "core/scheduling/placement.h"
#include "fair_share/quota.h"

#define HTTP_CREATED 201
#define HTTP_UNPROCESSABLE 422
#define VIEW_FRESH_S 5.0           /* far less than the deadline of cancellations */
#define COMPARISON_GUARDS_FACTOR 4 /* guards of a comparison, times the operations of a transaction */

/* What the view knows of a job that a submission depends on. */
typedef enum {
  DEPENDENCY_DONE,       /* permanent: it need not be written down */
  DEPENDENCY_ACCEPTED,   /* it is live or cancelled: it was accepted, and that is permanent */
  DEPENDENCY_UNKNOWN,    /* not in the view: the store is asked */
  DEPENDENCY_IMPOSSIBLE, /* the job itself, or a service, which never ends */
} DependencyStatus;

static void submission_committed(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                 GPtrArray *failed) {
  FkPendingRequest *request = data;
  gboolean stale =
      request->ancestor_unknown || fk_time_between(c->store_session.confirmed_at, c->now) > VIEW_FRESH_S;
  if (outcome == FK_OUTCOME_OK && request->spec->dependencies && stale) {
    /* a dependency may have been cancelled long ago without this view showing it */
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

/* Whether no fleet could run the job. Only asked of jobs that are not accepted yet. */
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
  if (fk_job_reads_reply_from_memory(c, request))
    return;
  if (fk_job_reads_handle_without_view(c, request))
    return;
  if (fk_view_find_job(c->view, request->job_id)) {
    fk_job_reads_queue_check(c, request);
    return;
  }
  if (!g_hash_table_size(c->autoscaling.instance_types)) {
    /* without the instance types nobody can say whether it could run */
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

/* The store has compared the absence of the job and of those that it depends on. Of the ones that it does
 * have, some are live and the view is behind, others are terminal and read one after another: the view keeps
 * each, also for a repeat of the same submission. */
static void dependencies_compared(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                  GPtrArray *failed) {
  FkPendingRequest *request = data;
  if (outcome == FK_OUTCOME_OK) {
    /* at one moment neither the job nor any of them existed */
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
  else if (found < request->compared_count) /* the others didn't exist, and neither did the job */
    fk_pending_request_reply_status(c, request, HTTP_UNPROCESSABLE);
  else if (terminal_path && request->steps++ < FK_REQUEST_STEPS_MAX)
    fk_read_send(c, g_strdup(terminal_path), dependency_record_received, request, NULL);
  else
    fk_job_reads_await_view(c, request, epoch, FK_BARRIER_ACCEPT);
}

/* Notes in the request whether the dependency is cancelled, or an ancestor of it unknown. */
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

/* Reduces the dependencies to those that are not done. FALSE: the store was asked about some, or the request
 * has been answered. None of this needs a guard: that a job was accepted never changes, and what becomes of
 * it is seen by whoever has it in its view. */
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
      break; /* the next comparison has the others */
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
    /* a controller of a version without dependencies would start it at once */
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  if (!resolve_dependencies(c, request))
    return;
  g_free(spec->owner);
  spec->owner = g_strdup(c->settings->node);
  spec->submitted_ms = (c->now.us + c->view->wall_offset_us) / 1000;
  /* a chunk with every task allocated stays within the limit of a value */
  spec->chunk_tasks = fk_chunk_max_tasks(c->settings->value_kb, c->settings->node);
  FkOutput *transaction = fk_transaction_new(c, FK_PRIORITY_USER);
  guard_absence(transaction, spec->id);
  FkRecord *record = fk_record_new(FK_STORE_KEY_JOB);
  record->spec = fk_spec_ref(spec);
  fk_transaction_put(transaction, fk_store_key_path(FK_STORE_KEY_JOB, spec->id), record, (FkRev){0});
  fk_transaction_send(c, transaction, submission_committed, request, NULL);
}
