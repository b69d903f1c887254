/* ContentAddressableStorage: reports missing blobs, and stores and returns small blobs in batches. */
#include "remote_execution/cache_call.h"

#define RESPONSE_BYTES_PER_BLOB 128 /* maximum length of a blob's part of a response, without its data */

void fk_cache_find_missing_blobs(FkCacheCall *call, gpointer message) {
  const Rx__FindMissingBlobsRequest *request = message;
  if (!fk_cache_call_check_instance(call, request->instance_name) ||
      !fk_cache_call_check_digest_function(call, request->digest_function))
    return;
  g_autofree Rx__Digest **missing = g_new(Rx__Digest *, request->n_blob_digests + 1);
  Rx__FindMissingBlobsResponse response = RX__FIND_MISSING_BLOBS_RESPONSE__INIT;
  response.missing_blob_digests = missing;
  for (gsize i = 0; i < request->n_blob_digests; i++) {
    FkDigest digest;
    if (!fk_cache_call_parse_digest(call, request->blob_digests[i], &digest))
      return;
    if (!fk_blob_store_has(call->service->blobs, call->team, &digest))
      missing[response.n_missing_blob_digests++] = request->blob_digests[i];
  }
  fk_cache_call_reply(call, &response);
}

/* ------------------------------------------------------------------ uploads */

static FkBlobStatus store_blob(FkCacheCall *call, const FkDigest *digest, const ProtobufCBinaryData *data) {
  FkUpload *upload;
  FkBlobStatus status = fk_upload_begin(call->service->blobs, call->team, digest, &upload);
  if (status != FK_BLOB_STATUS_OK)
    return status;
  status = fk_upload_write(upload, data->data, data->len);
  if (status == FK_BLOB_STATUS_OK)
    return fk_upload_finish(upload);
  fk_upload_abort(upload);
  return status;
}

/* Stores one blob of a batch. Sets `status` to OK or to the error. */
static void update_blob(FkCacheCall *call, const Rx__BlobUpdate *update, Rx__Status *status) {
  FkDigest digest;
  FkBlobStatus stored = FK_BLOB_STATUS_MISMATCH;
  if (update->compressor) {
    status->message = "blobs of a batch are taken as they are, not compressed";
  } else if (!fk_message_digest(update->digest, &digest)) {
    status->message = "a digest isn't one";
  } else {
    stored = store_blob(call, &digest, &update->data);
    if (stored != FK_BLOB_STATUS_OK)
      status->message = (char *)fk_blob_status_reason(stored);
  }
  status->code = (int)fk_blob_status_to_grpc(stored);
}

void fk_cache_batch_update_blobs(FkCacheCall *call, gpointer message) {
  const Rx__BatchUpdateBlobsRequest *request = message;
  gsize n = request->n_requests;
  if (!fk_cache_call_check_instance(call, request->instance_name) ||
      !fk_cache_call_check_digest_function(call, request->digest_function))
    return;
  g_autofree Rx__BlobUpdated *updated = g_new(Rx__BlobUpdated, n + 1);
  g_autofree Rx__BlobUpdated **list = g_new(Rx__BlobUpdated *, n + 1);
  g_autofree Rx__Status *statuses = g_new(Rx__Status, n + 1);
  for (gsize i = 0; i < n; i++) {
    rx__blob_updated__init(&updated[i]);
    rx__status__init(&statuses[i]);
    updated[i].digest = request->requests[i]->digest;
    updated[i].status = &statuses[i];
    list[i] = &updated[i];
    update_blob(call, request->requests[i], &statuses[i]);
  }
  Rx__BatchUpdateBlobsResponse response = RX__BATCH_UPDATE_BLOBS_RESPONSE__INIT;
  response.n_responses = n;
  response.responses = list;
  fk_cache_call_reply(call, &response);
}

/* ------------------------------------------------------------------ downloads */

/* Returns the digests of a request; the caller frees the array. If a digest is malformed or the blobs
 * together are too long for one response, ends the call with an error and returns NULL. */
static FkDigest *parse_digests(FkCacheCall *call, const Rx__BatchReadBlobsRequest *request) {
  g_autofree FkDigest *digests = g_new(FkDigest, request->n_digests + 1);
  guint64 response_bytes = 0;
  for (gsize i = 0; i < request->n_digests; i++) {
    if (!fk_cache_call_parse_digest(call, request->digests[i], &digests[i]))
      return NULL;
    response_bytes += digests[i].size + RESPONSE_BYTES_PER_BLOB;
    if (response_bytes > call->service->message_bytes_max) {
      fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "these blobs together are too long for one answer");
      return NULL;
    }
  }
  return g_steal_pointer(&digests);
}

/* Reads one blob. Sets the data of `read`; `contents` owns that data. If the blob can't be read, sets the
 * status to NOT_FOUND instead. */
static void read_blob(FkCacheCall *call, const FkDigest *digest, Rx__BlobRead *read, GPtrArray *contents) {
  GBytes *bytes =
      fk_blob_store_read_all(call->service->blobs, call->team, digest, call->service->message_bytes_max);
  if (!bytes) {
    read->status->code = FK_GRPC_NOT_FOUND;
    read->status->message = (char *)fk_blob_status_reason(FK_BLOB_STATUS_NOT_FOUND);
    return;
  }
  g_ptr_array_add(contents, bytes);
  gsize len;
  read->data.data = (guint8 *)g_bytes_get_data(bytes, &len);
  read->data.len = len;
}

void fk_cache_batch_read_blobs(FkCacheCall *call, gpointer message) {
  const Rx__BatchReadBlobsRequest *request = message;
  gsize n = request->n_digests;
  if (!fk_cache_call_check_instance(call, request->instance_name) ||
      !fk_cache_call_check_digest_function(call, request->digest_function))
    return;
  g_autofree FkDigest *digests = parse_digests(call, request);
  if (!digests)
    return;
  g_autofree Rx__BlobRead *blobs = g_new(Rx__BlobRead, n + 1);
  g_autofree Rx__BlobRead **list = g_new(Rx__BlobRead *, n + 1);
  g_autofree Rx__Status *statuses = g_new(Rx__Status, n + 1);
  g_autoptr(GPtrArray) contents = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
  for (gsize i = 0; i < n; i++) {
    rx__blob_read__init(&blobs[i]);
    rx__status__init(&statuses[i]);
    blobs[i].digest = request->digests[i];
    blobs[i].status = &statuses[i];
    list[i] = &blobs[i];
    read_blob(call, &digests[i], &blobs[i], contents);
  }
  Rx__BatchReadBlobsResponse response = RX__BATCH_READ_BLOBS_RESPONSE__INIT;
  response.n_responses = n;
  response.responses = list;
  fk_cache_call_reply(call, &response);
}
