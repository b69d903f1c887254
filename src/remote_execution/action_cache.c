/* ActionCache: the results of actions, which are only given out and taken while all that they refer to is
 * stored. */
#include "remote_execution/cache_call.h"

#define TREE_BYTES_MAX (64 * 1024 * 1024)

/* Adds the files of an output directory's tree to `blobs`. FALSE and a reason (static): not a tree. */
static gboolean add_tree_blobs(FkCacheCall *call, const FkDigest *tree_digest, GArray *blobs,
                               const char **reason) {
  g_autoptr(GBytes) bytes =
      fk_blob_store_read_all(call->service->blobs, call->team, tree_digest, TREE_BYTES_MAX);
  if (!bytes)
    return TRUE; /* the tree itself is among the blobs, and missing there */
  Rx__Tree *tree = fk_cache_call_unpack_blob(&rx__tree__descriptor, bytes);
  if (!tree) {
    *reason = "an output directory's tree is none";
    return FALSE;
  }
  gboolean valid = fk_message_tree_blobs(tree, blobs, reason);
  fk_message_free(tree);
  return valid;
}

/* Looks for all that a result refers to, the files of its trees too, and counts it as used, so that it is
 * still stored when the client asks for it. `missing` (FkDigest) gets what isn't there. FALSE and a reason
 * (static): not a result. */
static gboolean find_missing(FkCacheCall *call, const Rx__ActionResult *result, GArray *missing,
                             const char **reason) {
  g_autoptr(GArray) blobs = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  g_autoptr(GArray) trees = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  if (!fk_message_result_blobs(result, blobs, trees, reason))
    return FALSE;
  for (guint i = 0; i < trees->len; i++)
    if (!add_tree_blobs(call, &g_array_index(trees, FkDigest, i), blobs, reason))
      return FALSE;
  for (guint i = 0; i < blobs->len; i++)
    if (!fk_blob_store_has(call->service->blobs, call->team, &g_array_index(blobs, FkDigest, i)))
      g_array_append_val(missing, g_array_index(blobs, FkDigest, i));
  return TRUE;
}

void fk_cache_get_action_result(FkCacheCall *call, gpointer request) {
  const Rx__GetActionResultRequest *q = request;
  FkDigest action;
  if (!fk_cache_call_check_instance(call, q->instance_name) ||
      !fk_cache_call_check_digest_function(call, q->digest_function) ||
      !fk_cache_call_parse_digest(call, q->action_digest, &action))
    return;
  g_autoptr(GBytes) bytes = fk_blob_store_get_result(call->service->blobs, call->team, &action);
  g_autoptr(GArray) missing = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  const char *reason = NULL;
  Rx__ActionResult *result = bytes ? fk_cache_call_unpack_blob(&rx__action_result__descriptor, bytes) : NULL;
  if (!result || !find_missing(call, result, missing, &reason) || missing->len)
    fk_cache_call_fail(call, FK_GRPC_NOT_FOUND, "no such result");
  else
    fk_cache_call_reply(call, result);
  fk_message_free(result);
}

/* FALSE: the result isn't one, or refers to what isn't stored: the call was failed. */
static gboolean check_result(FkCacheCall *call, const Rx__ActionResult *result) {
  g_autoptr(GArray) missing = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  const char *reason = NULL;
  if (!result) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "a result is needed");
    return FALSE;
  }
  if (!find_missing(call, result, missing, &reason)) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, reason);
    return FALSE;
  }
  if (missing->len) {
    reason = "the result refers to blobs that aren't there";
    fk_cache_call_fail_with_details(call, FK_GRPC_FAILED_PRECONDITION, reason,
                                    fk_message_missing_status(reason, missing));
    return FALSE;
  }
  return TRUE;
}

void fk_cache_update_action_result(FkCacheCall *call, gpointer request) {
  const Rx__UpdateActionResultRequest *q = request;
  FkDigest action;
  if (!fk_cache_call_check_instance(call, q->instance_name) ||
      !fk_cache_call_check_digest_function(call, q->digest_function) ||
      !fk_cache_call_parse_digest(call, q->action_digest, &action))
    return;
  if (!check_result(call, q->action_result))
    return;
  g_autoptr(GBytes) bytes = fk_message_pack(q->action_result);
  gsize len;
  const guint8 *data = g_bytes_get_data(bytes, &len);
  FkBlobStatus status = fk_blob_store_put_result(call->service->blobs, call->team, &action, data, len);
  if (status == FK_BLOB_STATUS_OK)
    fk_cache_call_reply(call, q->action_result);
  else
    fk_cache_call_fail_blob(call, status);
}
