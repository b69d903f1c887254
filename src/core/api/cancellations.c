/* Cancellations: the commit, and the reply once the cancellation barrier is passed. */
#include "core/api/requests_internal.h"
#include "core/controller.h"

#define COMMIT_CONFLICTS_MAX                                                                                 \
  4 /* a job's record changes seldom: after so many conflicts the client retries                             \
     */

static void cancellation_committed(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                   GPtrArray *failed) {
  FkPendingRequest *request = data;
  if (outcome == FK_OUTCOME_OK)
    fk_cancellations_await_barrier(c, request);
  else if (outcome == FK_OUTCOME_CONFLICT && request->steps++ < COMMIT_CONFLICTS_MAX)
    fk_job_reads_read_record(c, request);
  else
    fk_pending_request_reply_unavailable(c, request);
}

void fk_cancellations_commit(FkController *c, FkPendingRequest *request, FkSpec *spec, FkRev rev) {
  FkOutput *transaction = fk_transaction_new(c, FK_PRIORITY_USER);
  FkRecord *record = fk_record_new(FK_STORE_KEY_JOB);
  record->spec = fk_spec_ref(spec);
  record->cancelled = TRUE;
  fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_JOB, request->job_id), rev);
  fk_transaction_put(transaction, fk_store_key_path(FK_STORE_KEY_JOB, request->job_id), record, (FkRev){0});
  fk_transaction_send(c, transaction, cancellation_committed, request, NULL);
}

void fk_controller_cancellation_received(FkController *c, FkTime now, FkRequestId request_id,
                                         const char *job_id) {
  c->now = now;
  FkPendingRequest *request = fk_pending_request_new(c, FK_REQUEST_CANCEL, request_id, job_id, NULL);
  if (fk_job_reads_reply_from_memory(c, request))
    return;
  if (fk_job_reads_handle_without_view(c, request))
    return;
  FkJob *job = fk_view_find_job(c->view, job_id);
  if (job)
    fk_cancellations_commit(c, request, job->spec, job->rev);
  else
    fk_job_reads_read_record(c, request);
}

void fk_cancellations_await_barrier(FkController *c, FkPendingRequest *request) {
  if (c->settings->tuning.cancellation_barrier_s <= 0) {
    fk_pending_request_reply_terminal(c, request, FK_PHASE_CANCELLED, 0);
    return;
  }
  request->waiting_since = c->now;
  if (!fk_controller_is_ready(c) || c->requests.awaiting_cancellation->length >= FK_REQUESTS_QUEUED_MAX) {
    fk_pending_request_reply_unavailable(c, request);
    return;
  }
  g_queue_push_tail(c->requests.awaiting_cancellation, request);
  fk_requests_reply_cancelled(c);
  fk_read_freshness_tick(c, fk_requests_awaited_rev(c));
}

void fk_requests_reply_cancelled(FkController *c) {
  for (guint n = c->requests.awaiting_cancellation->length; n; n--) {
    FkPendingRequest *request = g_queue_pop_head(c->requests.awaiting_cancellation);
    if (fk_pending_request_reply_if_terminal(c, request))
      continue;
    const FkJob *job = fk_controller_is_ready(c) ? fk_view_find_job(c->view, request->job_id) : NULL;
    if (job && job->cancelled && fk_cancellation_barrier_is_passed(c, job))
      fk_pending_request_reply_from_view(c, request, job);
    else if (!fk_controller_is_ready(c) ||
             fk_time_between(request->waiting_since, c->now) > FK_REQUEST_WAIT_MAX_S)
      fk_pending_request_reply_unavailable(c, request);
    else
      g_queue_push_tail(c->requests.awaiting_cancellation, request);
  }
}

FkRev fk_requests_awaited_rev(FkController *c) {
  FkRev latest = {0};
  for (GList *link = c->requests.awaiting_cancellation->head; link; link = link->next) {
    const FkPendingRequest *request = link->data;
    const FkJob *job = fk_view_find_job(c->view, request->job_id);
    if (job && job->rev.n > latest.n)
      latest = job->rev;
  }
  return latest;
}
