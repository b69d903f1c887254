/* The Remote Execution API's cache for build tools: Capabilities, ContentAddressableStorage, ByteStream and
 * ActionCache, as handlers of gRPC calls, for teams with a key. No sockets and no clock but the handlers'
 * own. */
#pragma once
#include "blob_store/blob_store.h"
#include "grpc/h2.h"
#include "keys/keys.h"
#include "remote_execution/settings.h"

typedef struct FkCacheService FkCacheService;

/* The callbacks of each connection, whose data is the FkCacheService. */
extern const FkH2Callbacks fk_cache_service_callbacks;

/* Takes `blobs` and `keys`; `settings` is kept by reference. */
FkCacheService *fk_cache_service_new(const FkRemoteExecutionSettings *settings, FkBlobStore *blobs,
                                     FkKeys *keys);
/* No call may be under way. NULL is fine. */
void fk_cache_service_free(FkCacheService *service);

/* The limits of a connection, from the settings. */
FkH2Limits fk_cache_service_h2_limits(const FkCacheService *service);
/* Takes `keys`, which count for the calls from now on. */
void fk_cache_service_set_keys(FkCacheService *service, FkKeys *keys);
/* Gives up the uploads that no call has written to for the settings' `upload_s`. */
void fk_cache_service_expire_uploads(FkCacheService *service, gint64 now_us);
