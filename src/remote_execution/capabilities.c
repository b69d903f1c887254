/* Capabilities.GetCapabilities: tells a client which features and API versions the cache supports. */
#include "remote_execution/cache_call.h"

#define API_MAJOR 2
#define API_MINOR_HIGH 3
#define SYMLINK_ABSOLUTE_DISALLOWED 1 /* SymlinkAbsolutePathStrategy.Value.DISALLOWED */

void fk_cache_get_capabilities(FkCacheCall *call, gpointer message) {
  const Rx__GetCapabilitiesRequest *request = message;
  if (!fk_cache_call_check_instance(call, request->instance_name))
    return;
  int32_t digest_functions[] = {FK_DIGEST_FUNCTION_SHA256};
  int32_t compressors[] = {FK_COMPRESSOR_ZSTD};

  Rx__ActionCacheUpdateCapabilities update = RX__ACTION_CACHE_UPDATE_CAPABILITIES__INIT;
  update.update_enabled = TRUE;

  Rx__CacheCapabilities cache = RX__CACHE_CAPABILITIES__INIT;
  cache.n_digest_functions = G_N_ELEMENTS(digest_functions);
  cache.digest_functions = digest_functions;
  cache.action_cache_update_capabilities = &update;
  cache.max_batch_total_size_bytes = (gint64)call->service->message_bytes_max - FK_MESSAGE_OVERHEAD_BYTES;
  cache.symlink_absolute_path_strategy = SYMLINK_ABSOLUTE_DISALLOWED;
  cache.n_supported_compressors = G_N_ELEMENTS(compressors);
  cache.supported_compressors = compressors;

  Rx__ExecutionCapabilities execution = RX__EXECUTION_CAPABILITIES__INIT;
  execution.n_digest_functions = G_N_ELEMENTS(digest_functions);
  execution.digest_functions = digest_functions;
  execution.digest_function = FK_DIGEST_FUNCTION_SHA256;
  execution.exec_enabled = FALSE;

  Rx__SemVer low = RX__SEM_VER__INIT, high = RX__SEM_VER__INIT;
  low.major = API_MAJOR;
  high.major = API_MAJOR;
  high.minor = API_MINOR_HIGH;

  Rx__ServerCapabilities capabilities = RX__SERVER_CAPABILITIES__INIT;
  capabilities.cache_capabilities = &cache;
  capabilities.execution_capabilities = &execution;
  capabilities.low_api_version = &low;
  capabilities.high_api_version = &high;
  fk_cache_call_reply(call, &capabilities);
}
