/* The ActionCache service: stores and returns the results of actions. A result is accepted or returned only
 * if the blobs that it refers to are stored at that time. Otherwise a client could get a result whose outputs
 * it can't download. The files of an output directory are not checked if its Tree message is larger than
 * TREE_BYTES_MAX.
 */
#include "remote_execution/cache_call.h"

#define TREE_BYTES_MAX (64 * 1024 * 1024)

/* Adds the digests of the files of an output directory's tree to `blobs`. Adds nothing if the tree can't be
 * read or is larger than TREE_BYTES_MAX. Returns FALSE and a static reason if the tree is malformed. */
static gboolean add_tree_blobs(FkCacheCall *call, const FkDigest *tree_digest, GArray *blobs,
                               const char **reason) {
  g_autoptr(GBytes) bytes =
      fk_blob_store_read_all(call->service->blobs, call->team, tree_digest, TREE_BYTES_MAX);
  if (!bytes)
    return TRUE; /* `blobs` has the tree's own digest, so find_missing() reports a missing tree */
  Rx__Tree *tree = fk_cache_call_unpack_blob(&rx__tree__descriptor, bytes);
  if (!tree) {
    *reason = "an output directory's tree is none";
    return FALSE;
  }
  gboolean valid = fk_message_tree_blobs(tree, blobs, reason);
  fk_message_free(tree);
  return valid;
}

/* Appends to `missing` (FkDigest) each blob that `result` refers to and that isn't stored. Includes the files
 * of each tree that add_tree_blobs() can read. Records a use of each stored blob, so that it isn't evicted
 * before the client reads it. Returns FALSE and a static reason if the result or a tree is malformed. */
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

void fk_cache_get_action_result(FkCacheCall *call, gpointer message) {
  const Rx__GetActionResultRequest *request = message;
  FkDigest action;
  if (!fk_cache_call_check_instance(call, request->instance_name) ||
      !fk_cache_call_check_digest_function(call, request->digest_function) ||
      !fk_cache_call_parse_digest(call, request->action_digest, &action))
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

/* Returns whether the result may be stored. Ends the call with an error if the result is absent or malformed,
 * or refers to blobs that aren't stored. */
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

void fk_cache_update_action_result(FkCacheCall *call, gpointer message) {
  const Rx__UpdateActionResultRequest *request = message;
  FkDigest action;
  if (!fk_cache_call_check_instance(call, request->instance_name) ||
      !fk_cache_call_check_digest_function(call, request->digest_function) ||
      !fk_cache_call_parse_digest(call, request->action_digest, &action))
    return;
  if (!check_result(call, request->action_result))
    return;
  g_autoptr(GBytes) bytes = fk_message_pack(request->action_result);
  gsize len;
  const guint8 *data = g_bytes_get_data(bytes, &len);
  FkBlobStatus status = fk_blob_store_put_result(call->service->blobs, call->team, &action, data, len);
  if (status == FK_BLOB_STATUS_OK)
    fk_cache_call_reply(call, request->action_result);
  else
    fk_cache_call_fail_blob(call, status);
}
