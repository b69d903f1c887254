/* Reads a job's state. A poll for a job that is neither terminal nor cancelled in the view is answered from
 * the view only after a read check: a transaction without writes that compares the revisions in the view with
 * those in the store, so that a stale state is never reported. If the revisions of the job differ, its record
 * is read from the store.
 *
 * If an ancestor of a job is cancelled, the job is cancelled too, but the job's record doesn't show that. The
 * state of a job with unfinished dependencies is therefore reported from a view that has reached the store's
 * revision at the time of the read (read barrier). */
#include "core/api/requests_internal.h"
#include "core/controller.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
/* Share of the store's request rate for the read checks of all controllers together. */
#define READ_CHECK_REQUEST_SHARE 0.15
/* A guard compares the revision of one record. */
#define READ_CHECK_GUARDS_FACTOR 4 /* most guards per read check, as a multiple of `transaction_ops_max` */
#define READ_CHECK_GUARDS_MAX 400  /* most guards per read check, whatever the settings */
#define READS_WITHOUT_VIEW_MAX 16  /* most concurrent reads of records while the view isn't ready */
/* The store counts as unreachable if it hasn't replied to any request for this long. Requests are sent to the
 * store continually. */
#define STORE_UNREACHABLE_S 3.0

gboolean fk_job_reads_handle_permanent_state(FkController *c, FkPendingRequest *request) {
  if (fk_pending_request_reply_if_terminal(c, request))
    return TRUE;
  const FkJob *job = fk_view_find_job(c->view, request->job_id);
  if (!job || !job->cancelled)
    return FALSE;
  fk_cancellations_await_barrier(c, request);
  return TRUE;
}

/* ------------------------------------------------------------------ reads from the store */

static void terminal_record_received(FkController *c, gpointer data, FkOutcome outcome, FkStoreEvent *event) {
  FkPendingRequest *request = data;
  const FkRecord *record = event ? event->record : NULL;
  if (outcome == FK_OUTCOME_OK && record && record->kind == FK_STORE_KEY_TERMINAL_JOB) {
    fk_view_add_terminal_job(c->view, request->job_id, record->phase, record->tasks, record->ended_at_ms);
    fk_pending_request_reply_terminal(c, request, record->phase, record->tasks);
  } else if (outcome == FK_OUTCOME_GONE && request->kind != FK_REQUEST_SUBMIT) {
    fk_pending_request_reply_status(c, request, HTTP_NOT_FOUND);
  } else {
    fk_pending_request_reply_unavailable(c, request);
  }
}

static void job_record_received(FkController *c, gpointer data, FkOutcome outcome, FkStoreEvent *event) {
  FkPendingRequest *request = data;
  if (outcome == FK_OUTCOME_GONE) {
    /* The terminal record is read after the live one, because a job changes from live to terminal, never
     * back. */
    char *path = fk_store_key_path(FK_STORE_KEY_TERMINAL_JOB, request->job_id);
    fk_read_send(c, path, terminal_record_received, request, NULL);
    return;
  }
  const FkRecord *record = event ? event->record : NULL;
  if (outcome != FK_OUTCOME_OK || !record || record->kind != FK_STORE_KEY_JOB) {
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  if (record->cancelled) {
    fk_cancellations_await_barrier(c, request);
    return;
  }
  if (request->kind == FK_REQUEST_CANCEL) {
    fk_cancellations_commit(c, request, record->spec, event->rev);
    return;
  }
  if (fk_job_reads_handle_permanent_state(c, request))
    return;
  const FkJob *job = fk_view_find_job(c->view, request->job_id);
  if (record->spec->dependencies && (!job || job->blocked))
    fk_job_reads_await_view(c, request, event->rev, FK_BARRIER_READ_CHECK);
  else if (job)
    fk_pending_request_reply_from_view(c, request, job);
  else
    fk_pending_request_reply_phase(c, request, HTTP_OK, FK_PHASE_QUEUED);
}

void fk_job_reads_read_record(FkController *c, FkPendingRequest *request) {
  fk_read_send(c, fk_store_key_path(FK_STORE_KEY_JOB, request->job_id), job_record_received, request, NULL);
}

static gboolean is_store_unreachable(FkController *c) {
  return fk_time_between(c->store_session.store_answered_at, c->now) > STORE_UNREACHABLE_S;
}

/* Reads the job's record from the store while the view isn't ready, so that polls and cancellations need not
 * wait until the view has been listed. Replies 503 if READS_WITHOUT_VIEW_MAX requests are being handled in
 * this way already. A submission is answered in this way only if the job exists already: accepting a new job
 * requires the teams' quotas and the instance types. */
static void read_without_view(FkController *c, FkPendingRequest *request) {
  if (c->requests.store_reads >= READS_WITHOUT_VIEW_MAX) {
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  request->store_reads = 1;
  c->requests.store_reads++;
  fk_job_reads_read_record(c, request);
}

gboolean fk_job_reads_handle_unavailable(FkController *c, FkPendingRequest *request) {
  if (is_store_unreachable(c))
    fk_pending_request_reply_unavailable(c, request);
  else if (!fk_controller_is_ready(c))
    read_without_view(c, request);
  else
    return FALSE;
  return TRUE;
}

/* ------------------------------------------------------------------ read checks */

/* Returns the ids of the jobs whose revisions in the store differ from the guards of the read check, as a set
 * owned by the caller. The set is empty unless the outcome is a conflict. */
static GHashTable *changed_job_ids(FkOutcome outcome, const GPtrArray *failed) {
  GHashTable *changed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; outcome == FK_OUTCOME_CONFLICT && failed && i < failed->len; i++) {
    guint32 chunk;
    char *id = NULL;
    if (fk_store_key_parse(failed->pdata[i], &id, &chunk) != FK_STORE_KEY_OTHER)
      g_hash_table_add(changed, id);
  }
  return changed;
}

static void finish_read_check(FkController *c, FkPendingRequest *request, GHashTable *changed, FkRev epoch) {
  if (fk_job_reads_handle_permanent_state(c, request))
    return;
  const FkJob *job = fk_view_find_job(c->view, request->job_id);
  if (g_hash_table_contains(changed, request->job_id))
    fk_job_reads_read_record(c, request);
  else if (job && job->blocked)
    fk_job_reads_await_view(c, request, epoch, FK_BARRIER_REPLY);
  else if (job)
    fk_pending_request_reply_from_view(c, request, job);
  else if (request->shown_by_view)
    /* The job was in the view when the read check was sent, and the view has been cleared since. The job may
     * still be in the store. */
    fk_job_reads_read_record(c, request);
  else
    /* At the time of the read check, the store had neither a live nor a terminal record of the job. */
    fk_pending_request_reply_status(c, request, HTTP_NOT_FOUND);
}

static void read_checks_done(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                             GPtrArray *failed) {
  GPtrArray *batch = data;
  c->requests.read_check_in_flight = FALSE;
  g_autoptr(GHashTable) changed = changed_job_ids(outcome, failed);
  gboolean compared =
      outcome == FK_OUTCOME_OK || (outcome == FK_OUTCOME_CONFLICT && g_hash_table_size(changed));
  for (guint i = 0; i < batch->len; i++) {
    if (compared)
      finish_read_check(c, batch->pdata[i], changed, epoch);
    else
      fk_pending_request_reply_unavailable(c, batch->pdata[i]);
  }
  fk_requests_send_read_checks(c);
}

static void batch_free(gpointer batch) { g_ptr_array_unref(batch); }

void fk_requests_send_read_checks(FkController *c) {
  if (c->requests.read_check_in_flight || g_queue_is_empty(c->requests.awaiting_read_check) ||
      !fk_time_reached(c->now, c->requests.next_read_check_at))
    return;
  c->requests.next_read_check_at =
      fk_time_add(c->now, fk_controller_live_count(c) / (READ_CHECK_REQUEST_SHARE * c->settings->store_rps));
  FkOutput *check = fk_transaction_new(c, FK_PRIORITY_USER);
  GPtrArray *batch = g_ptr_array_new();
  guint guards_max = MIN(c->settings->transaction_ops_max * READ_CHECK_GUARDS_FACTOR, READ_CHECK_GUARDS_MAX);
  while (check->guards->len + 2 <= guards_max && !g_queue_is_empty(c->requests.awaiting_read_check)) {
    FkPendingRequest *request = g_queue_pop_head(c->requests.awaiting_read_check);
    const FkJob *job = fk_view_find_job(c->view, request->job_id);
    fk_transaction_guard(check, fk_store_key_path(FK_STORE_KEY_JOB, request->job_id),
                         job ? job->rev : (FkRev){0});
    request->shown_by_view = job != NULL;
    if (!job)
      fk_transaction_guard(check, fk_store_key_path(FK_STORE_KEY_TERMINAL_JOB, request->job_id), (FkRev){0});
    g_ptr_array_add(batch, request);
  }
  c->requests.read_check_in_flight = TRUE;
  fk_transaction_send(c, check, read_checks_done, batch, batch_free);
}

void fk_job_reads_queue_check(FkController *c, FkPendingRequest *request) {
  if (fk_job_reads_handle_unavailable(c, request))
    return;
  if (c->requests.awaiting_read_check->length >= FK_REQUESTS_QUEUED_MAX) {
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  g_queue_push_tail(c->requests.awaiting_read_check, request);
  fk_requests_send_read_checks(c);
}

void fk_controller_poll_received(FkController *c, FkTime now, FkRequestId request_id, const char *job_id) {
  c->now = now;
  FkPendingRequest *request = fk_pending_request_new(c, FK_REQUEST_POLL, request_id, job_id, NULL);
  if (!fk_job_reads_handle_permanent_state(c, request))
    fk_job_reads_queue_check(c, request);
}

/* ------------------------------------------------------------------ read barrier */

void fk_job_reads_await_view(FkController *c, FkPendingRequest *request, FkRev rev, FkBarrierAction action) {
  if (!fk_controller_is_ready(c) || c->requests.awaiting_view->length >= FK_REQUESTS_QUEUED_MAX ||
      request->steps++ >= FK_REQUEST_STEPS_MAX) {
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  request->barrier_rev = rev;
  request->after_barrier = action;
  request->waiting_since = c->now;
  g_queue_push_tail(c->requests.awaiting_view, request);
}

/* Replies with the state of a job that has dependencies. Called once the view has reached the store's
 * revision at the time of the read check, or of the commit of the submission. */
static void reply_for_blocked_job(FkController *c, FkPendingRequest *request) {
  if (fk_job_reads_handle_permanent_state(c, request))
    return;
  const FkJob *job = fk_view_find_job(c->view, request->job_id);
  if (!job)
    fk_job_reads_read_record(c, request);
  else if (!fk_dependency_graph_is_known(c->view->dependencies, request->job_id))
    /* the terminal state of an ancestor is still being read from the store */
    fk_pending_request_reply_unavailable(c, request);
  else
    fk_pending_request_reply_from_view(c, request, job);
}

static void pass_barrier(FkController *c, FkPendingRequest *request) {
  switch (request->after_barrier) {
  case FK_BARRIER_REPLY:
    reply_for_blocked_job(c, request);
    break;
  case FK_BARRIER_READ_CHECK:
    fk_job_reads_queue_check(c, request);
    break;
  case FK_BARRIER_ACCEPT:
    fk_submissions_accept(c, request);
    break;
  }
}

void fk_requests_pass_read_barrier(FkController *c) {
  for (guint n = c->requests.awaiting_view->length; n; n--) {
    FkPendingRequest *request = g_queue_pop_head(c->requests.awaiting_view);
    gboolean reached = c->view->applied.n >= request->barrier_rev.n;
    gboolean timed_out = fk_time_between(request->waiting_since, c->now) > FK_REQUEST_WAIT_MAX_S;
    if (!fk_controller_is_ready(c) || (!reached && timed_out))
      fk_pending_request_reply_unavailable(c, request);
    else if (reached)
      pass_barrier(c, request);
    else
      g_queue_push_tail(c->requests.awaiting_view, request);
  }
}
