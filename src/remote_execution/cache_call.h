/* The state of one gRPC call to the cache, the functions that the methods' handlers share, and the handlers.
 * Private to src/remote_execution. */
#pragma once
#include "remote_execution/cache_service.h"
#include "remote_execution/message.h"
#include "remote_execution/uploads.h"

/* Added to the maximum length of a message, for its fields other than blob data, and to the maximum memory
 * of a parsed message (PARSED_SIZE_FACTOR in cache_call.c). */
#define FK_MESSAGE_OVERHEAD_BYTES 65536
/* REv2's DigestFunction.Value and Compressor.Value. */
#define FK_DIGEST_FUNCTION_SHA256 1
#define FK_COMPRESSOR_ZSTD 1

struct FkCacheService {
  const FkRemoteExecutionSettings *settings;
  FkBlobStore *blobs;
  FkKeys *keys;
  FkUploads *uploads;
  gsize message_bytes_max; /* the setting `message_mb`, converted to bytes */
};

typedef struct FkCacheCall FkCacheCall;
typedef struct FkDownload FkDownload;
typedef struct FkUploadStream FkUploadStream;

/* A gRPC method of the cache and its handler. */
typedef struct {
  const char *path;
  const ProtobufCMessageDescriptor *request_type;
  gboolean client_streaming; /* whether the client may send several messages */
  void (*handle)(FkCacheCall *call, gpointer message);
} FkCacheMethod;

struct FkCacheCall {
  FkCacheService *service;
  FkRpc *rpc;
  const FkCacheMethod *method;   /* NULL if the key is invalid or the path is unknown */
  char *team;                    /* NULL if the key is invalid */
  gboolean has_message;          /* whether a message was received */
  FkDownload *download;          /* NULL until ByteStream.Read has opened the blob */
  FkUploadStream *upload_stream; /* NULL until ByteStream.Write has accepted a resource name */
};

/* ---- replies: cache_call.c ---- */
/* Ends the call with an error. `reason` is sent to the client. */
void fk_cache_call_fail(FkCacheCall *call, FkGrpcStatus status, const char *reason);
/* Ends the call with an error and the serialized google.rpc.Status `details`. Unrefs `details`. */
void fk_cache_call_fail_with_details(FkCacheCall *call, FkGrpcStatus status, const char *reason,
                                     GBytes *details);
/* Ends the call with RESOURCE_EXHAUSTED and the delay after which the client may retry. */
void fk_cache_call_fail_retry_later(FkCacheCall *call, const char *reason);
/* Ends the call with the error for `status`, which must not be FK_BLOB_STATUS_OK. */
void fk_cache_call_fail_blob(FkCacheCall *call, FkBlobStatus status);
/* Queues a message (a protobuf-c struct) for sending. Returns FALSE if the send queue is now full. A caller
 * with more messages must then wait for the `writable` callback. */
gboolean fk_cache_call_send(FkCacheCall *call, gconstpointer message);
/* Sends `message` and ends the call with OK. */
void fk_cache_call_reply(FkCacheCall *call, gconstpointer message);

FkGrpcStatus fk_blob_status_to_grpc(FkBlobStatus status);
/* Returns the error text for clients, a static string. It is empty for FK_BLOB_STATUS_OK. */
const char *fk_blob_status_reason(FkBlobStatus status);

/* ---- checks: cache_call.c; each ends the call with an error before it returns FALSE ---- */
/* Returns whether the caller may use the instance. The instance of a team has the team's name; an empty name
 * means the caller's own instance. */
gboolean fk_cache_call_check_instance(FkCacheCall *call, const char *instance);
gboolean fk_cache_call_check_digest_function(FkCacheCall *call, int function);
gboolean fk_cache_call_parse_digest(FkCacheCall *call, const Rx__Digest *digest, FkDigest *out);

/* Each of the next two functions parses an untrusted message; free the result with fk_message_free(). Each
 * returns NULL if the message is malformed, or if the parsed message would take more memory than
 * PARSED_SIZE_FACTOR times the serialized length plus FK_MESSAGE_OVERHEAD_BYTES. */
gpointer fk_cache_call_unpack(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len);
gpointer fk_cache_call_unpack_blob(const ProtobufCMessageDescriptor *type, GBytes *blob);

/* ---- method handlers (`message` is the parsed request) and the state of ByteStream calls ---- */
/* capabilities.c */
void fk_cache_get_capabilities(FkCacheCall *call, gpointer message);
/* content_storage.c */
void fk_cache_find_missing_blobs(FkCacheCall *call, gpointer message);
void fk_cache_batch_update_blobs(FkCacheCall *call, gpointer message);
void fk_cache_batch_read_blobs(FkCacheCall *call, gpointer message);
/* tree.c */
void fk_cache_get_tree(FkCacheCall *call, gpointer message);
/* action_cache.c */
void fk_cache_get_action_result(FkCacheCall *call, gpointer message);
void fk_cache_update_action_result(FkCacheCall *call, gpointer message);
/* byte_stream_read.c */
void fk_cache_read(FkCacheCall *call, gpointer message);
/* Sends the next messages of `call->download` until the send queue is full or the download is complete. Ends
 * the call with OK when the download is complete, or with an error if the blob can't be read or compressed.
 */
void fk_download_continue(FkCacheCall *call);
void fk_download_free(FkDownload *download);
/* byte_stream_write.c */
void fk_cache_write(FkCacheCall *call, gpointer message);
void fk_cache_query_write_status(FkCacheCall *call, gpointer message);
/* Frees a call's upload state. NULL is allowed. Keeps an unfinished, uncompressed upload with at least one
 * byte, so that another call can resume it; aborts any other unfinished upload. */
void fk_upload_stream_free(FkUploadStream *stream, FkUploads *uploads);
