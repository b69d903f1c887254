/* Functions that the handlers of all methods share: replies, checks of requests, and parsing of messages. */
#include "remote_execution/cache_call.h"

/* A parsed message may take this multiple of its serialized size, plus FK_MESSAGE_OVERHEAD_BYTES, of memory.
 */
#define PARSED_SIZE_FACTOR 8
#define RETRY_S 5 /* retry delay that fk_cache_call_fail_retry_later() sends, in seconds */

/* ------------------------------------------------------------------ replies */

void fk_cache_call_fail(FkCacheCall *call, FkGrpcStatus status, const char *reason) {
  fk_rpc_end(call->rpc, status, reason, NULL, 0);
}

void fk_cache_call_fail_with_details(FkCacheCall *call, FkGrpcStatus status, const char *reason,
                                     GBytes *details) {
  gsize len;
  const guint8 *bytes = g_bytes_get_data(details, &len);
  fk_rpc_end(call->rpc, status, reason, bytes, len);
  g_bytes_unref(details);
}

void fk_cache_call_fail_retry_later(FkCacheCall *call, const char *reason) {
  fk_cache_call_fail_with_details(call, FK_GRPC_RESOURCE_EXHAUSTED, reason,
                                  fk_message_retry_status(FK_GRPC_RESOURCE_EXHAUSTED, reason, RETRY_S));
}

void fk_cache_call_fail_blob(FkCacheCall *call, FkBlobStatus status) {
  const char *reason = fk_blob_status_reason(status);
  if (status == FK_BLOB_STATUS_FULL)
    fk_cache_call_fail_retry_later(call, reason);
  else
    fk_cache_call_fail(call, fk_blob_status_to_grpc(status), reason);
}

gboolean fk_cache_call_send(FkCacheCall *call, gconstpointer message) {
  g_autoptr(GBytes) bytes = fk_message_pack(message);
  gsize len;
  const guint8 *data = g_bytes_get_data(bytes, &len);
  return fk_rpc_send(call->rpc, data, len);
}

void fk_cache_call_reply(FkCacheCall *call, gconstpointer message) {
  fk_cache_call_send(call, message);
  fk_rpc_end(call->rpc, FK_GRPC_OK, NULL, NULL, 0);
}

FkGrpcStatus fk_blob_status_to_grpc(FkBlobStatus status) {
  switch (status) {
  case FK_BLOB_STATUS_OK:
    return FK_GRPC_OK;
  case FK_BLOB_STATUS_NOT_FOUND:
    return FK_GRPC_NOT_FOUND;
  case FK_BLOB_STATUS_MISMATCH:
    return FK_GRPC_INVALID_ARGUMENT;
  case FK_BLOB_STATUS_FULL:
    return FK_GRPC_RESOURCE_EXHAUSTED;
  case FK_BLOB_STATUS_IO_ERROR:
    return FK_GRPC_INTERNAL;
  }
  g_return_val_if_reached(FK_GRPC_INTERNAL);
}

const char *fk_blob_status_reason(FkBlobStatus status) {
  switch (status) {
  case FK_BLOB_STATUS_OK:
    return "";
  case FK_BLOB_STATUS_NOT_FOUND:
    return "no such blob";
  case FK_BLOB_STATUS_MISMATCH:
    return "the bytes aren't what the digest says";
  case FK_BLOB_STATUS_FULL:
    return "no room for this blob";
  case FK_BLOB_STATUS_IO_ERROR:
    return "the disk fails";
  }
  g_return_val_if_reached("");
}

/* ------------------------------------------------------------------ checks */

/* The error text is the same for another team's instance and for an instance that doesn't exist. So a client
 * can't find out which teams exist. */
gboolean fk_cache_call_check_instance(FkCacheCall *call, const char *instance) {
  if (!*instance || g_str_equal(instance, call->team))
    return TRUE;
  fk_cache_call_fail(call, FK_GRPC_PERMISSION_DENIED, "the key doesn't stand for this instance");
  return FALSE;
}

gboolean fk_cache_call_check_digest_function(FkCacheCall *call, int function) {
  if (function == 0 || function == FK_DIGEST_FUNCTION_SHA256)
    return TRUE;
  fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "only SHA-256 is known");
  return FALSE;
}

gboolean fk_cache_call_parse_digest(FkCacheCall *call, const Rx__Digest *digest, FkDigest *out) {
  if (fk_message_digest(digest, out))
    return TRUE;
  fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "a digest isn't one");
  return FALSE;
}

/* ------------------------------------------------------------------ messages */

gpointer fk_cache_call_unpack(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len) {
  return fk_message_unpack(type, bytes, len, PARSED_SIZE_FACTOR * len + FK_MESSAGE_OVERHEAD_BYTES);
}

gpointer fk_cache_call_unpack_blob(const ProtobufCMessageDescriptor *type, GBytes *blob) {
  gsize len;
  const guint8 *bytes = g_bytes_get_data(blob, &len);
  return fk_cache_call_unpack(type, bytes, len);
}
