/* One call to the cache, and what the handlers of all methods need. Private to src/remote_execution. */
#pragma once
#include "remote_execution/cache_service.h"
#include "remote_execution/message.h"
#include "remote_execution/uploads.h"

/* What messages may be longer than the blobs in them, and parsed messages larger than their bytes. */
#define FK_MESSAGE_OVERHEAD_BYTES 65536
/* REv2's DigestFunction.Value and Compressor.Value. */
#define FK_DIGEST_FUNCTION_SHA256 1
#define FK_COMPRESSOR_ZSTD 1

struct FkCacheService {
  const FkRemoteExecutionSettings *settings;
  FkBlobStore *blobs;
  FkKeys *keys;
  FkUploads *uploads;
  gsize message_bytes_max;
};

typedef struct FkCacheCall FkCacheCall;
typedef struct FkDownload FkDownload;
typedef struct FkUploadStream FkUploadStream;

/* A method of the API. */
typedef struct {
  const char *path;
  const ProtobufCMessageDescriptor *request;
  gboolean client_streaming; /* takes any number of messages, not one */
  void (*handle)(FkCacheCall *call, gpointer request);
} FkCacheMethod;

struct FkCacheCall {
  FkCacheService *service;
  FkRpc *rpc;
  const FkCacheMethod *method; /* NULL: the call was refused */
  char *team;
  gboolean has_message;   /* one came */
  FkDownload *download;   /* of ByteStream.Read, else NULL */
  FkUploadStream *upload; /* of ByteStream.Write, else NULL */
};

/* ---- replies: cache_call.c ---- */
/* Ends the call. `reason` goes to the client. */
void fk_cache_call_fail(FkCacheCall *call, FkGrpcStatus status, const char *reason);
/* ... with a serialized google.rpc.Status, which is taken. */
void fk_cache_call_fail_with_details(FkCacheCall *call, FkGrpcStatus status, const char *reason,
                                     GBytes *details);
/* ... with RESOURCE_EXHAUSTED and the time after which the client may try again. */
void fk_cache_call_fail_retry_later(FkCacheCall *call, const char *reason);
/* ... with what the blob store says; not FK_BLOB_STATUS_OK. */
void fk_cache_call_fail_blob(FkCacheCall *call, FkBlobStatus status);
/* Sends a message (a protobuf-c struct). FALSE: enough is queued, wait until it is writable. */
gboolean fk_cache_call_send(FkCacheCall *call, gconstpointer message);
/* Sends the only message and ends the call with OK. */
void fk_cache_call_reply(FkCacheCall *call, gconstpointer message);

FkGrpcStatus fk_blob_status_to_grpc(FkBlobStatus status);
/* What is said to clients; static. */
const char *fk_blob_status_reason(FkBlobStatus status);

/* ---- checks: cache_call.c; FALSE: the call was failed ---- */
/* A team's instance bears its name; an empty name means the caller's own. */
gboolean fk_cache_call_check_instance(FkCacheCall *call, const char *instance);
gboolean fk_cache_call_check_digest_function(FkCacheCall *call, int function);
gboolean fk_cache_call_parse_digest(FkCacheCall *call, const Rx__Digest *digest, FkDigest *out);

/* A message from anywhere, bounded in memory by its length; NULL: malformed. Free with fk_message_free(). */
gpointer fk_cache_call_unpack(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len);
gpointer fk_cache_call_unpack_blob(const ProtobufCMessageDescriptor *type, GBytes *blob);

/* ---- handlers: each takes its method's request message ---- */
/* capabilities.c */
void fk_cache_get_capabilities(FkCacheCall *call, gpointer request);
/* content_storage.c */
void fk_cache_find_missing_blobs(FkCacheCall *call, gpointer request);
void fk_cache_batch_update_blobs(FkCacheCall *call, gpointer request);
void fk_cache_batch_read_blobs(FkCacheCall *call, gpointer request);
/* tree.c */
void fk_cache_get_tree(FkCacheCall *call, gpointer request);
/* action_cache.c */
void fk_cache_get_action_result(FkCacheCall *call, gpointer request);
void fk_cache_update_action_result(FkCacheCall *call, gpointer request);
/* byte_stream_read.c */
void fk_cache_read(FkCacheCall *call, gpointer request);
/* Sends on, as far as the connection takes it. */
void fk_download_continue(FkCacheCall *call);
void fk_download_free(FkDownload *download);
/* byte_stream_write.c */
void fk_cache_write(FkCacheCall *call, gpointer request);
void fk_cache_query_write_status(FkCacheCall *call, gpointer request);
/* The call is over; an unfinished upload may be resumed by another one. */
void fk_upload_stream_free(FkUploadStream *stream, FkUploads *uploads);
