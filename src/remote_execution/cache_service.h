/* The cache of the Remote Execution API for build tools: the gRPC services Capabilities,
 * ContentAddressableStorage, ByteStream and ActionCache. A caller needs the key of a team. This module has no
 * sockets and no timers. It reads the clock only to check keys and to note when an upload becomes idle. */
#pragma once
#include "blob_store/blob_store.h"
#include "grpc/h2.h"
#include "keys/keys.h"
#include "remote_execution/settings.h"

typedef struct FkCacheService FkCacheService;

/* The callbacks for each HTTP/2 session; the session's `data` is the FkCacheService. */
extern const FkH2Callbacks fk_cache_service_callbacks;

/* Takes ownership of `blobs` and `keys`. Stores the pointer `settings` without a copy: the settings must
 * outlive the service. */
FkCacheService *fk_cache_service_new(const FkRemoteExecutionSettings *settings, FkBlobStore *blobs,
                                     FkKeys *keys);
/* Frees the service, its keys and uploads, and closes its blob store. No call may be in progress. NULL is
 * allowed. */
void fk_cache_service_free(FkCacheService *service);

/* Returns the limits of one connection, derived from the settings. */
FkH2Limits fk_cache_service_h2_limits(const FkCacheService *service);
/* Replaces the keys. Calls in progress are not affected. Takes ownership of `keys`. */
void fk_cache_service_set_keys(FkCacheService *service, FkKeys *keys);
/* Aborts each unfinished upload that has been idle (open in no call) for longer than the setting
 * `upload_s`. `now_us` is the current monotonic time. */
void fk_cache_service_expire_uploads(FkCacheService *service, gint64 now_us);
