/* ByteStream.Write and QueryWriteStatus: uploads of blobs in several messages. The data is compressed if
 * the resource name has `compressed-blobs/zstd`. If a call ends before an uncompressed upload is finished,
 * and at least one byte was received, the client can resume the upload in another call, unless the upload was
 * aborted in the meantime. Any other unfinished upload starts over. */
#include "remote_execution/cache_call.h"

#include <string.h>
#include <zstd.h>

#define DECOMPRESSED_BYTES 65536

/* The state of one ByteStream.Write call. */
struct FkUploadStream {
  FkResourceName name;
  /* The call's upload. NULL if the blob was already stored, the upload wasn't opened, or the upload has
   * ended. */
  FkResumableUpload *upload;
  /* The write_offset that the next message must have: the number of data bytes received, before any
   * decompression. For a resumed upload, includes the bytes that earlier calls received. */
  gint64 committed;
  ZSTD_DStream *decompressor; /* NULL before the first compressed data */
};

void fk_upload_stream_free(FkUploadStream *stream, FkUploads *uploads) {
  if (!stream)
    return;
  ZSTD_freeDStream(stream->decompressor);
  if (stream->upload) {
    fk_uploads_release(uploads, stream->upload);
    /* a compressed upload can't be resumed; without data there is nothing to resume */
    if (stream->name.zstd || fk_upload_written(stream->upload->blob_upload) == 0)
      fk_uploads_remove(uploads, stream->upload);
  }
  g_free(stream);
}

static void reply_written(FkCacheCall *call, gint64 committed) {
  Rx__WriteResponse response = RX__WRITE_RESPONSE__INIT;
  response.committed_size = committed;
  fk_cache_call_reply(call, &response);
}

/* Opens the upload named by `stream->name`. On failure, ends the call with an error and returns FALSE.
 */
static gboolean open_upload(FkCacheCall *call, FkUploadStream *stream) {
  FkCacheService *service = call->service;
  FkBlobStatus status = FK_BLOB_STATUS_OK;
  switch (fk_uploads_open(service->uploads, service->blobs, call->team, &stream->name, &stream->upload,
                          &status)) {
  case FK_UPLOADS_OPENED:
    stream->committed = stream->name.zstd ? 0 : (gint64)fk_upload_written(stream->upload->blob_upload);
    return TRUE;
  case FK_UPLOADS_IN_USE:
    fk_cache_call_fail(call, FK_GRPC_ABORTED, "somebody else writes this upload");
    return FALSE;
  case FK_UPLOADS_TOO_MANY:
    fk_cache_call_fail_retry_later(call, "too many uploads are under way");
    return FALSE;
  case FK_UPLOADS_FAILED:
    fk_cache_call_fail_blob(call, status);
    return FALSE;
  }
  g_return_val_if_reached(FALSE);
}

/* Handles the resource name of a call's first message: opens the upload. If the blob is already stored, ends
 * the call with OK and returns FALSE. If the name is invalid or the upload can't be opened, ends the call
 * with an error and returns FALSE. */
static gboolean begin_stream(FkCacheCall *call, const char *resource_name) {
  FkResourceName name;
  if (!fk_resource_name_parse(resource_name, FK_RESOURCE_WRITE, &name)) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "no upload's name");
    return FALSE;
  }
  if (!fk_cache_call_check_instance(call, name.instance))
    return FALSE;
  FkUploadStream *stream = call->upload_stream = g_new0(FkUploadStream, 1);
  stream->name = name;
  if (fk_blob_store_has(call->service->blobs, call->team, &name.digest)) {
    /* the API requires -1 for a compressed upload of a blob that is already stored */
    reply_written(call, name.zstd ? -1 : (gint64)name.digest.size);
    return FALSE;
  }
  return open_upload(call, stream);
}

/* Returns whether a later message of a call has no resource name, or one with the same digest and upload id.
 * Otherwise ends the call with an error. */
static gboolean check_same_name(FkCacheCall *call, const char *resource_name) {
  const FkResourceName *name = &call->upload_stream->name;
  FkResourceName repeated;
  if (!*resource_name ||
      (fk_resource_name_parse(resource_name, FK_RESOURCE_WRITE, &repeated) &&
       fk_digest_equal(&repeated.digest, &name->digest) && strcmp(repeated.upload_id, name->upload_id) == 0))
    return TRUE;
  fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "an upload keeps its name");
  return FALSE;
}

/* Decompresses `data` into the upload. A small message can't expand without limit: fk_upload_write() returns
 * MISMATCH for bytes beyond the digest's size. Invalid zstd data is a MISMATCH too. */
static FkBlobStatus write_compressed(FkUploadStream *stream, const ProtobufCBinaryData *data) {
  if (!stream->decompressor)
    stream->decompressor = ZSTD_createDStream();
  ZSTD_inBuffer in = {data->data, data->len, 0};
  guint8 plain[DECOMPRESSED_BYTES];
  for (;;) {
    ZSTD_outBuffer out = {plain, sizeof plain, 0};
    gsize remaining = ZSTD_decompressStream(stream->decompressor, &out, &in);
    if (ZSTD_isError(remaining))
      return FK_BLOB_STATUS_MISMATCH;
    FkBlobStatus status = fk_upload_write(stream->upload->blob_upload, plain, out.pos);
    if (status != FK_BLOB_STATUS_OK)
      return status;
    if (in.pos == in.size && out.pos < out.size)
      return FK_BLOB_STATUS_OK;
  }
}

static FkBlobStatus write_data(FkUploadStream *stream, const ProtobufCBinaryData *data) {
  FkBlobStatus status = stream->name.zstd
                            ? write_compressed(stream, data)
                            : fk_upload_write(stream->upload->blob_upload, data->data, data->len);
  stream->committed += (gint64)data->len;
  return status;
}

/* Ends the upload and the call. If `status` is OK, stores the blob, provided that it matches its digest.
 * Otherwise discards the upload and fails the call with the error for `status`. */
static void finish_upload(FkCacheCall *call, FkBlobStatus status) {
  FkUploadStream *stream = call->upload_stream;
  FkResumableUpload *upload = g_steal_pointer(&stream->upload);
  if (status == FK_BLOB_STATUS_OK)
    status = fk_upload_finish(g_steal_pointer(&upload->blob_upload));
  fk_uploads_remove(call->service->uploads, upload);
  if (status == FK_BLOB_STATUS_OK)
    reply_written(call, stream->committed);
  else
    fk_cache_call_fail_blob(call, status);
}

void fk_cache_write(FkCacheCall *call, gpointer message) {
  const Rx__WriteRequest *request = message;
  if (call->upload_stream ? !check_same_name(call, request->resource_name)
                          : !begin_stream(call, request->resource_name))
    return;
  if (request->write_offset != call->upload_stream->committed) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "the offset isn't where the upload stands");
    return;
  }
  FkBlobStatus status = write_data(call->upload_stream, &request->data);
  if (status != FK_BLOB_STATUS_OK || request->finish_write)
    finish_upload(call, status);
}

void fk_cache_query_write_status(FkCacheCall *call, gpointer message) {
  const Rx__QueryWriteStatusRequest *request = message;
  FkResourceName name;
  if (!fk_resource_name_parse(request->resource_name, FK_RESOURCE_WRITE, &name)) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "no upload's name");
    return;
  }
  if (!fk_cache_call_check_instance(call, name.instance))
    return;
  const FkResumableUpload *upload = fk_uploads_find(call->service->uploads, call->team, &name);
  Rx__QueryWriteStatusResponse response = RX__QUERY_WRITE_STATUS_RESPONSE__INIT;
  response.complete = fk_blob_store_has(call->service->blobs, call->team, &name.digest);
  if (!response.complete && !upload) {
    fk_cache_call_fail(call, FK_GRPC_NOT_FOUND, "no such upload");
    return;
  }
  if (response.complete)
    response.committed_size = (gint64)name.digest.size;
  else if (!name.zstd)
    response.committed_size = (gint64)fk_upload_written(upload->blob_upload);
  fk_cache_call_reply(call, &response);
}
