/* Reads of a job's state. A poll is answered from the view only after a read check: a transaction without
 * writes, which compares the revisions that the view has with the store's. What a check cannot decide is read
 * from the store. A job with dependencies is cancelled by the record of an ancestor, not by its own: its
 * state is told by a view that has reached the revision at which the store was asked (read barrier). */
#include "core/api/requests_internal.h"
#include "core/controller.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define READ_CHECK_REQUEST_SHARE 0.15 /* of the store's requests, all controllers together */
#define READ_CHECK_GUARDS_FACTOR 4    /* guards of a check, times the operations of a transaction */
#define READ_CHECK_GUARDS_MAX 400
#define READS_WITHOUT_VIEW_MAX 16 /* at a time */
#define STORE_UNREACHABLE_S 3.0   /* the store is asked all the time: no answer for so long is an outage */

gboolean fk_job_reads_reply_from_memory(FkController *c, FkPendingRequest *request) {
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
    /* a job goes from live to terminal, never back: so the terminal record is read after the live one */
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
  if (fk_job_reads_reply_from_memory(c, request))
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

/* Without a view the store itself is read, for a few requests at a time, so that none waits for as long as
 * the list takes. Submissions are not accepted this way: that needs to know who may run, and where. */
static void read_without_view(FkController *c, FkPendingRequest *request) {
  if (c->requests.store_reads >= READS_WITHOUT_VIEW_MAX) {
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  request->store_reads = 1;
  c->requests.store_reads++;
  fk_job_reads_read_record(c, request);
}

gboolean fk_job_reads_handle_without_view(FkController *c, FkPendingRequest *request) {
  if (is_store_unreachable(c))
    fk_pending_request_reply_unavailable(c, request);
  else if (!fk_controller_is_ready(c))
    read_without_view(c, request);
  else
    return FALSE;
  return TRUE;
}

/* ------------------------------------------------------------------ read checks */

/* The ids of the jobs whose records have changed since the view. */
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

static void finish_check(FkController *c, FkPendingRequest *request, GHashTable *changed, FkRev epoch) {
  if (fk_job_reads_reply_from_memory(c, request))
    return;
  const FkJob *job = fk_view_find_job(c->view, request->job_id);
  if (g_hash_table_contains(changed, request->job_id))
    fk_job_reads_read_record(c, request);
  else if (job && job->blocked)
    fk_job_reads_await_view(c, request, epoch, FK_BARRIER_REPLY);
  else if (job)
    fk_pending_request_reply_from_view(c, request, job);
  else if (request->shown_by_view)
    /* it existed when the store compared, and the view has been cleared since: its absence proves nothing */
    fk_job_reads_read_record(c, request);
  else
    /* neither live nor terminal when the store compared */
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
      finish_check(c, batch->pdata[i], changed, epoch);
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
  if (fk_job_reads_handle_without_view(c, request))
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
  if (!fk_job_reads_reply_from_memory(c, request))
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

/* The view has what the store had when the state was asked for. */
static void reply_for_blocked_job(FkController *c, FkPendingRequest *request) {
  if (fk_job_reads_reply_from_memory(c, request))
    return;
  const FkJob *job = fk_view_find_job(c->view, request->job_id);
  if (!job)
    fk_job_reads_read_record(c, request);
  else if (!fk_dependency_graph_is_known(c->view->dependencies, request->job_id))
    fk_pending_request_reply_unavailable(c, request); /* the terminal state of an ancestor is being read */
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
    gboolean late = fk_time_between(request->waiting_since, c->now) > FK_REQUEST_WAIT_MAX_S;
    if (!fk_controller_is_ready(c) || (!reached && late))
      fk_pending_request_reply_unavailable(c, request);
    else if (reached)
      pass_barrier(c, request);
    else
      g_queue_push_tail(c->requests.awaiting_view, request);
  }
}
