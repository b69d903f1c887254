/* Dispatches each call to the handler of its method, and frees the call's state when the call ends. */
#include "remote_execution/cache_call.h"

#include "remote_execution/names.h"

#define BYTES_PER_MB 1048576.0
/* A download pauses when at least this many bytes of its responses are queued. */
#define QUEUED_BYTES_MAX (1024 * 1024)
#define HEADER_BYTES_MAX 16384
/* Maximum total size of a connection's incomplete messages, as a multiple of message_bytes_max. */
#define BUFFERED_BYTES_FACTOR 4

static const FkCacheMethod methods[] = {
    {FK_PATH_CAPABILITIES, &rx__get_capabilities_request__descriptor, FALSE, fk_cache_get_capabilities},
    {FK_PATH_FIND_MISSING, &rx__find_missing_blobs_request__descriptor, FALSE, fk_cache_find_missing_blobs},
    {FK_PATH_BATCH_UPDATE, &rx__batch_update_blobs_request__descriptor, FALSE, fk_cache_batch_update_blobs},
    {FK_PATH_BATCH_READ, &rx__batch_read_blobs_request__descriptor, FALSE, fk_cache_batch_read_blobs},
    {FK_PATH_GET_TREE, &rx__get_tree_request__descriptor, FALSE, fk_cache_get_tree},
    {FK_PATH_GET_RESULT, &rx__get_action_result_request__descriptor, FALSE, fk_cache_get_action_result},
    {FK_PATH_UPDATE_RESULT, &rx__update_action_result_request__descriptor, FALSE,
     fk_cache_update_action_result},
    {FK_PATH_READ, &rx__read_request__descriptor, FALSE, fk_cache_read},
    {FK_PATH_WRITE, &rx__write_request__descriptor, TRUE, fk_cache_write},
    {FK_PATH_QUERY_WRITE, &rx__query_write_status_request__descriptor, FALSE, fk_cache_query_write_status},
};

static const FkCacheMethod *find_method(const char *path) {
  for (guint i = 0; i < G_N_ELEMENTS(methods); i++)
    if (g_str_equal(methods[i].path, path))
      return &methods[i];
  return NULL;
}

/* ------------------------------------------------------------------ calls */

static void on_call_begun(gpointer data, FkRpc *rpc) {
  FkCacheService *service = data;
  FkCacheCall *call = g_new0(FkCacheCall, 1);
  call->service = service;
  call->rpc = rpc;
  fk_rpc_set_data(rpc, call);
  /* The key is checked before the path, so that a client without a valid key can't find out which methods
   * exist. */
  const char *team = fk_keys_find_team(service->keys, fk_rpc_bearer(rpc), g_get_real_time() / G_USEC_PER_SEC);
  if (!team) {
    fk_cache_call_fail(call, FK_GRPC_UNAUTHENTICATED, "a team's key is needed");
    return;
  }
  call->team = g_strdup(team);
  call->method = find_method(fk_rpc_path(rpc));
  if (!call->method)
    fk_cache_call_fail(call, FK_GRPC_UNIMPLEMENTED, "no such call");
}

static void on_message_received(gpointer data, FkRpc *rpc, const guint8 *bytes, gsize len) {
  FkCacheCall *call = fk_rpc_data(rpc);
  if (call->has_message && !call->method->client_streaming) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "one message is taken");
    return;
  }
  call->has_message = TRUE;
  gpointer message = fk_cache_call_unpack(call->method->request_type, bytes, len);
  if (!message) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "the message isn't one, or is out of all proportion");
    return;
  }
  call->method->handle(call, message);
  fk_message_free(message);
}

static void on_half_closed(gpointer data, FkRpc *rpc) {
  FkCacheCall *call = fk_rpc_data(rpc);
  if (!call->has_message)
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "a message is needed");
  else if (call->method->client_streaming && !fk_rpc_ended(rpc))
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT,
                       "the upload ends before it is finished; it can be gone on with");
}

static void on_writable(gpointer data, FkRpc *rpc) {
  FkCacheCall *call = fk_rpc_data(rpc);
  if (call->download)
    fk_download_continue(call);
}

static void on_call_ended(gpointer data, FkRpc *rpc) {
  FkCacheCall *call = fk_rpc_data(rpc);
  fk_download_free(call->download);
  fk_upload_stream_free(call->upload_stream, call->service->uploads);
  g_free(call->team);
  g_free(call);
}

const FkH2Callbacks fk_cache_service_callbacks = {.call_begun = on_call_begun,
                                                  .message_received = on_message_received,
                                                  .half_closed = on_half_closed,
                                                  .writable = on_writable,
                                                  .call_ended = on_call_ended};

/* ------------------------------------------------------------------ the service */

FkCacheService *fk_cache_service_new(const FkRemoteExecutionSettings *settings, FkBlobStore *blobs,
                                     FkKeys *keys) {
  FkCacheService *service = g_new0(FkCacheService, 1);
  service->settings = settings;
  service->blobs = blobs;
  service->keys = keys;
  service->uploads = fk_uploads_new();
  service->message_bytes_max = (gsize)(settings->message_mb * BYTES_PER_MB);
  return service;
}

void fk_cache_service_free(FkCacheService *service) {
  if (!service)
    return;
  fk_uploads_free(service->uploads);
  fk_keys_free(service->keys);
  fk_blob_store_close(service->blobs);
  g_free(service);
}

FkH2Limits fk_cache_service_h2_limits(const FkCacheService *service) {
  return (FkH2Limits){.streams = (guint)service->settings->calls,
                      .message_bytes = service->message_bytes_max + FK_MESSAGE_OVERHEAD_BYTES,
                      .buffered_bytes = BUFFERED_BYTES_FACTOR * service->message_bytes_max,
                      .queued_bytes = QUEUED_BYTES_MAX,
                      .header_bytes = HEADER_BYTES_MAX};
}

void fk_cache_service_set_keys(FkCacheService *service, FkKeys *keys) {
  fk_keys_free(service->keys);
  service->keys = keys;
}

void fk_cache_service_expire_uploads(FkCacheService *service, gint64 now_us) {
  fk_uploads_expire(service->uploads, now_us - (gint64)(service->settings->upload_s * G_USEC_PER_SEC));
}
