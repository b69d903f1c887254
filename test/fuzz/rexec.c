/* Messages of Remote Execution and resource names: none takes more memory than its budget, what is taken is
 * packed as it was, and no blob's name or path leads anywhere else. The first byte chooses. */
#include "fuzz.h"

#include "keys/keys.h"
#include "remote_execution/message.h"
#include "remote_execution/settings.h"

static const ProtobufCMessageDescriptor *const types[] = {&rx__find_missing_blobs_request__descriptor,
                                                          &rx__batch_update_blobs_request__descriptor,
                                                          &rx__batch_read_blobs_request__descriptor,
                                                          &rx__get_tree_request__descriptor,
                                                          &rx__directory__descriptor,
                                                          &rx__read_request__descriptor,
                                                          &rx__write_request__descriptor};

static void digests(const GArray *blobs) {
  for (guint i = 0; i < blobs->len; i++) {
    const FkDigest *d = &g_array_index(blobs, FkDigest, i);
    FK_HOLDS(strlen(d->hex) == FK_DIGEST_HEX_LEN && strspn(d->hex, "0123456789abcdef") == FK_DIGEST_HEX_LEN &&
             d->size <= FK_BLOB_BYTES_MAX);
  }
}

static void result(const guint8 *data, gsize len) {
  g_autoptr(GArray) blobs = g_array_new(FALSE, FALSE, sizeof(FkDigest)),
                    trees = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  const char *why = NULL;
  Rx__ActionResult *r = fk_message_unpack(&rx__action_result__descriptor, data, len, 65536);
  FK_HOLDS(!r || fk_message_result_blobs(r, blobs, trees, &why) || why);
  fk_message_free(r);
  Rx__Tree *t = fk_message_unpack(&rx__tree__descriptor, data, len, 65536);
  FK_HOLDS(!t || fk_message_tree_blobs(t, blobs, &why) || why);
  fk_message_free(t);
  digests(blobs);
  g_autoptr(GBytes) missing = fk_message_missing_status("gone", blobs);
  FK_HOLDS(g_bytes_get_size(missing) > 0);
}

static void names(const char *text) {
  FkResourceName r;
  for (guint use = 0; use < 2; use++)
    if (fk_resource_name_parse(text, (FkResourceUse)use, &r)) {
      FK_HOLDS(strspn(r.digest.hex, "0123456789abcdef") == FK_DIGEST_HEX_LEN &&
               r.digest.size <= FK_BLOB_BYTES_MAX);
      FK_HOLDS(!strchr(r.instance, '/') && !strchr(r.upload_id, '/') &&
               (use == FK_RESOURCE_READ || *r.upload_id));
    }
  if (fk_message_path_is_valid(text))
    FK_HOLDS(*text != '/' && !strstr(text, "//") && !g_str_has_prefix(text, "../") && !strstr(text, "/../"));
}

static void files(const char *text, gsize len) {
  g_autoptr(GError) a = NULL, b = NULL;
  g_autoptr(FkKeys) k = fk_keys_parse(text, len, &a);
  g_autoptr(FkRemoteExecutionSettings) s = fk_remote_execution_settings_parse(text, len, &b);
  FK_HOLDS((k || a) && (s || b));
  FK_HOLDS(!k || !fk_keys_find_team(k, "guess", 0));
}

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  if (!size)
    return 0;
  guint what = data[0] % (G_N_ELEMENTS(types) + 3);
  data++;
  size--;
  g_autofree char *text = g_strndup((const char *)data, size);
  if (what == G_N_ELEMENTS(types))
    result(data, size);
  else if (what == G_N_ELEMENTS(types) + 1)
    names(text);
  else if (what == G_N_ELEMENTS(types) + 2)
    files(text, size);
  else {
    gpointer m = fk_message_unpack(types[what], data, size, 65536);
    if (m) {
      g_autoptr(GBytes) packed = fk_message_pack(m);
      FK_HOLDS(g_bytes_get_size(packed) <= 65536);
      fk_message_free(m);
    }
  }
  return 0;
}
