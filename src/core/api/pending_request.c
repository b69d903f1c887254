/* Users' requests that have not been answered yet, and the replies to them. */
#include "core/api/requests_internal.h"

#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503
#define RETRY_AFTER_MIN_S 1
#define RETRY_AFTER_SPREAD_S 2

void fk_pending_request_free(gpointer data) {
  FkPendingRequest *request = data;
  g_free(request->job_id);
  fk_spec_unref(request->spec);
  g_free(request);
}

FkPendingRequest *fk_pending_request_new(FkController *c, FkRequestKind kind, FkRequestId request_id,
                                         const char *job_id, FkSpec *spec) {
  FkPendingRequest *request = g_new0(FkPendingRequest, 1);
  request->controller = c;
  g_hash_table_add(c->requests.pending, request);
  request->kind = kind;
  request->request_id = request_id;
  request->job_id = g_strdup(job_id);
  request->spec = spec;
  request->waiting_since = c->now;
  return request;
}

/* Removes the request from the controller's table, which frees the request. */
static void remove_request(FkPendingRequest *request) {
  FkController *c = request->controller;
  c->requests.store_reads -= request->store_reads;
  g_hash_table_remove(c->requests.pending, request);
}

static FkOutput *reply_new(FkController *c, const FkPendingRequest *request, int status) {
  FkOutput *reply = fk_output_new(c, FK_OUTPUT_USER_REPLY);
  reply->request = request->request_id;
  reply->status = status;
  reply->job = g_strdup(request->job_id);
  return reply;
}

void fk_pending_request_reply_status(FkController *c, FkPendingRequest *request, int status) {
  reply_new(c, request, status);
  remove_request(request);
}

void fk_pending_request_reply_phase(FkController *c, FkPendingRequest *request, int status, FkPhase phase) {
  reply_new(c, request, status)->phase = phase;
  remove_request(request);
}

void fk_pending_request_reply_unavailable(FkController *c, FkPendingRequest *request) {
  FkOutput *reply = reply_new(c, request, HTTP_UNAVAILABLE);
  reply->retry_s = RETRY_AFTER_MIN_S + g_rand_int_range(c->rand, 0, RETRY_AFTER_SPREAD_S);
  remove_request(request);
}

void fk_pending_request_reply_terminal(FkController *c, FkPendingRequest *request, FkPhase phase,
                                       guint32 tasks) {
  FkOutput *reply = reply_new(c, request, HTTP_OK);
  reply->phase = phase;
  reply->done = tasks;
  remove_request(request);
}

void fk_pending_request_reply_from_view(FkController *c, FkPendingRequest *request, const FkJob *job) {
  FkOutput *reply = reply_new(c, request, HTTP_OK);
  reply->phase = fk_job_phase(job);
  reply->done = job->done;
  reply->running = job->allocated;
  remove_request(request);
}

gboolean fk_pending_request_reply_if_terminal(FkController *c, FkPendingRequest *request) {
  FkPhase phase;
  guint32 tasks;
  if (!fk_view_find_terminal_job(c->view, request->job_id, &phase, &tasks))
    return FALSE;
  fk_pending_request_reply_terminal(c, request, phase, tasks);
  return TRUE;
}
