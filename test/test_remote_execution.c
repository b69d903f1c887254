/* Remote Execution's parts without a socket or a disk: names, frames, keys, settings, the shelf's books. */
#include <string.h>

#include "blob_store/blob_index.h"
#include "grpc/frames.h"
#include "keys/keys.h"
#include "remote_execution/message.h"
#include "remote_execution/settings.h"
#include "wire/json.h"

#define H "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
#define A "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"

static void test_resources(void) {
  static const struct {
    const char *name;
    FkResourceUse use;
    gboolean ok, zstd;
    const char *instance, *upload;
    guint64 size;
  } cases[] = {
      {"blobs/" A "/1", FK_RESOURCE_READ, TRUE, FALSE, "", "", 1},
      {"red/blobs/" A "/1", FK_RESOURCE_READ, TRUE, FALSE, "red", "", 1},
      {"red/compressed-blobs/zstd/" A "/1", FK_RESOURCE_READ, TRUE, TRUE, "red", "", 1},
      {"compressed-blobs/zstd/" A "/1", FK_RESOURCE_READ, TRUE, TRUE, "", "", 1},
      {"red/uploads/u-1/blobs/" A "/1", FK_RESOURCE_WRITE, TRUE, FALSE, "red", "u-1", 1},
      {"uploads/u-1/blobs/" A "/1/some/file.c", FK_RESOURCE_WRITE, TRUE, FALSE, "", "u-1", 1},
      {"red/uploads/u/compressed-blobs/zstd/" A "/7", FK_RESOURCE_WRITE, TRUE, TRUE, "red", "u", 7},
      {"blobs/" H "/0", FK_RESOURCE_READ, TRUE, FALSE, "", "", 0},
      {"blobs/" A "/0", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0}, /* only one blob has no bytes */
      {"blobs/" A "/1/more", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"blobs/" A "/-1", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"blobs/" A "/1x", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"blobs/" A "/99999999999999999999", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"blobs/CA978112CA1BBDCAFAC231B39A23DC4DA786EFF8147C4E72B9807785AFEE48BB/1", FK_RESOURCE_READ, FALSE,
       FALSE, NULL, NULL, 0},
      {"compressed-blobs/deflate/" A "/1", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"red/blue/blobs/" A "/1", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"//blobs/" A "/1", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"red/blobs/" A "/1", FK_RESOURCE_WRITE, FALSE, FALSE, NULL, NULL, 0},
      {"red/uploads//blobs/" A "/1", FK_RESOURCE_WRITE, FALSE, FALSE, NULL, NULL, 0},
      {"", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkResourceName r;
    if (fk_resource_name_parse(cases[i].name, cases[i].use, &r) != cases[i].ok)
      g_error("case %u: %s", i, cases[i].name);
    if (!cases[i].ok)
      continue;
    g_assert_cmpstr(r.instance, ==, cases[i].instance);
    g_assert_cmpstr(r.upload_id, ==, cases[i].upload);
    g_assert_cmpuint(r.digest.size, ==, cases[i].size);
    g_assert_cmpint(r.zstd, ==, cases[i].zstd);
  }
}

static void test_frames(void) {
  static const guint8 stream[] = {0, 0, 0, 0, 3, 'a', 'b', 'c', 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 'd'};
  for (gsize piece = 1; piece <= sizeof stream; piece++) {
    FkGrpcFrameParser f;
    g_autoptr(GString) got = g_string_new("");
    fk_grpc_frame_parser_init(&f, 10);
    for (gsize at = 0; at < sizeof stream; at += MIN(piece, sizeof stream - at))
      for (gsize end = MIN(at + piece, sizeof stream), from = at; from < end;) {
        const guint8 *m;
        gsize used, len;
        g_assert_cmpint(fk_grpc_frame_parser_feed(&f, stream + from, end - from, &used, &m, &len), ==,
                        FK_GRPC_OK);
        from += used;
        if (m)
          g_string_append_printf(got, "[%.*s]", (int)len, m);
      }
    g_assert_cmpstr(got->str, ==, "[abc][][d]");
    g_assert_true(fk_grpc_frame_parser_is_empty(&f));
    fk_grpc_frame_parser_clear(&f);
  }
  static const struct {
    guint8 prefix[5];
    FkGrpcStatus status;
  } bad[] = {{{1, 0, 0, 0, 1}, FK_GRPC_UNIMPLEMENTED},
             {{0, 0, 0, 0, 11}, FK_GRPC_RESOURCE_EXHAUSTED},
             {{0, 255, 255, 255, 255}, FK_GRPC_RESOURCE_EXHAUSTED}};
  for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
    FkGrpcFrameParser f;
    const guint8 *m;
    gsize used, len;
    fk_grpc_frame_parser_init(&f, 10);
    g_assert_cmpint(fk_grpc_frame_parser_feed(&f, bad[i].prefix, 5, &used, &m, &len), ==, bad[i].status);
    fk_grpc_frame_parser_clear(&f);
  }
}

static void test_keys(void) {
  g_autofree char *hash = fk_keys_hash("open"), *other = fk_keys_hash("sesame");
  g_autofree char *text =
      g_strdup_printf("{\"keys\":[{\"team\":\"red\",\"sha256\":\"%s\"},{\"team\":\"red\",\"sha256\":\"%s\","
                      "\"until\":\"2001-09-09T01:46:40Z\"}]}",
                      hash, other);
  g_autoptr(GError) error = NULL;
  g_autoptr(FkKeys) k = fk_keys_parse(text, strlen(text), &error);
  g_assert_no_error(error);
  g_assert_cmpstr(fk_keys_find_team(k, "open", 0), ==, "red");
  g_assert_cmpstr(fk_keys_find_team(k, "sesame", 999999999), ==,
                  "red"); /* a second before its end, and at it */
  g_assert_null(fk_keys_find_team(k, "sesame", 1000000000));
  g_assert_null(fk_keys_find_team(k, "opem", 0));
  g_assert_null(fk_keys_find_team(k, "", 0));
  g_assert_null(fk_keys_find_team(k, NULL, 0));
  g_assert_null(fk_keys_find_team(k, hash, 0)); /* who reads the file has no key */
  static const struct {
    const char *text, *names;
  } bad[] = {{"[]", "keys"},
             {"{\"keys\":[{\"sha256\":\"" H "\"}]}", "keys[0].team"},
             {"{\"keys\":[{\"team\":\"red\",\"sha256\":\"12\"}]}", "keys[0].sha256"},
             {"{\"keys\":[{\"team\":\"red\",\"sha256\":\"" H "\",\"until\":\"soon\"}]}", "keys[0].until"}};
  for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
    g_autoptr(GError) e = NULL;
    g_assert_null(fk_keys_parse(bad[i].text, strlen(bad[i].text), &e));
    g_assert_true(g_str_has_prefix(e->message, bad[i].names));
  }
}

/* The schema and the code name the same settings with the same ranges and defaults; what is wrong is named.
 */
static void test_settings(void) {
  g_autofree char *text = NULL, *deployed = NULL;
  gsize len;
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/schema/remote-execution.schema.json", &text, &len, NULL));
  g_autoptr(cJSON) o = fk_json_parse(text, len);
  const cJSON *props = fk_json_get(o, "properties");
  guint n;
  const FkRemoteExecutionNumber *f = fk_remote_execution_numbers(&n);
  g_assert_cmpint(cJSON_GetArraySize(props), ==, (int)n + 3);
  for (guint i = 0; i < n; i++) {
    const cJSON *p = fk_json_get(props, f[i].name);
    g_assert_cmpfloat(fk_json_num_or(p, "minimum", -1), ==, f[i].min);
    g_assert_cmpfloat(fk_json_num_or(p, "maximum", -1), ==, f[i].max);
    g_assert_cmpfloat(fk_json_num_or(p, "default", -1), ==, f[i].fallback);
  }
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/deploy/remote-execution.json", &deployed, &len, NULL));
  g_autoptr(FkRemoteExecutionSettings) s = fk_remote_execution_settings_parse(deployed, len, NULL);
  g_assert_nonnull(s);
  static const struct {
    const char *text, *names;
  } bad[] = {{"[]", "not a JSON"},
             {"{\"listen\":\"127.0.0.1:1\",\"directory\":\"d\"}", "keys"},
             {"{\"listen\":\"10.0.0.1:1\",\"directory\":\"d\",\"keys\":\"k\"}", "listen"},
             {"{\"listen\":\"127.0.0.1:99999\",\"directory\":\"d\",\"keys\":\"k\"}", "listen"},
             {"{\"bytes_gb\":0}", "bytes_gb"},
             {"{\"bytes_gb\":\"1\"}", "bytes_gb"},
             {"{\"directory\":\"\"}", "directory"},
             {"{\"what\":1}", "what"}};
  for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
    g_autoptr(GError) error = NULL;
    g_assert_null(fk_remote_execution_settings_parse(bad[i].text, strlen(bad[i].text), &error));
    g_assert_true(g_str_has_prefix(error->message, bad[i].names));
  }
}

static void test_paths(void) {
  static const struct {
    const char *path;
    gboolean ok;
  } cases[] = {{"a", TRUE},       {"a/b.c", TRUE}, {"..a/b", TRUE}, {"", FALSE},
               {"/a", FALSE},     {"a/", FALSE},   {"a//b", FALSE}, {".", FALSE},
               {"a/../b", FALSE}, {"..", FALSE},   {"a/.", FALSE},  {"\xff", FALSE}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
    g_assert_cmpint(fk_message_path_is_valid(cases[i].path), ==, cases[i].ok);
}

static FkDigest digest(guint n) {
  FkDigest d;
  g_autofree char *name = g_strdup_printf("%u", n),
                  *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);
  g_assert_true(fk_digest_parse(&d, hex, 1 + n % 50));
  return d;
}

/* Random uses by three teams: the books are right, room that was promised is there, a team with no more than
 * its equal part loses nothing to others, and the pinned stay. */
static void test_blob_index(void) {
  static const char *teams[] = {"red", "blue", "green"};
  for (guint32 seed = 1; seed <= 5; seed++) {
    g_autoptr(GRand) r = g_rand_new_with_seed(seed);
    const FkBlobIndexLimits limits = {1000, 60};
    FkBlobIndex *s = fk_blob_index_new(&limits);
    GPtrArray *pinned = g_ptr_array_new();
    for (guint step = 0; step < 20000; step++) {
      /* one team wants far more than the others */
      const char *team = teams[(guint)(3 * g_rand_double(r) * g_rand_double(r))];
      FkDigest d = digest((guint)g_rand_int_range(r, 0, 300));
      FkBlobEntry *i = fk_blob_index_find(s, team, FK_BLOB_KIND_BLOB, &d);
      int what = g_rand_int_range(r, 0, 10);
      if (i && what < 2 && pinned->len < 10) {
        fk_blob_index_pin(s, i);
        g_ptr_array_add(pinned, i);
      } else if (i && what < 4) {
        fk_blob_index_touch(s, i);
      } else if (i && what == 4) {
        fk_blob_index_remove(s, i);
      } else if (!i && fk_blob_index_reserve(s, team, d.size)) {
        FkBlobEntry *v;
        while ((v = fk_blob_index_next_victim(s))) {
          guint64 victims = fk_blob_index_team_bytes(s, fk_blob_entry_team(v));
          g_assert_cmpuint(v->pins, ==, 0);
          if (fk_blob_index_count(s) <= limits.count && pinned->len == 0)
            g_assert_true(g_str_equal(fk_blob_entry_team(v), team) || victims * 3 + 150 >= limits.bytes);
          fk_blob_index_remove(s, v);
        }
        fk_blob_index_unreserve(s, team, d.size);
        g_assert_cmpuint(fk_blob_index_bytes(s) + d.size, <=, limits.bytes);
        fk_blob_index_insert(s, team, FK_BLOB_KIND_BLOB, &d, d.size);
      }
      if (pinned->len && g_rand_int_range(r, 0, 5) == 0)
        fk_blob_index_unpin(
            s, g_ptr_array_remove_index_fast(pinned, (guint)g_rand_int_range(r, 0, (gint32)pinned->len)));
      fk_blob_index_verify(s);
    }
    for (guint i = 0; i < pinned->len; i++)
      fk_blob_index_unpin(s, pinned->pdata[i]);
    g_ptr_array_unref(pinned);
    fk_blob_index_verify(s);
    fk_blob_index_free(s);
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/remote_execution/resources", test_resources);
  g_test_add_func("/remote_execution/frames", test_frames);
  g_test_add_func("/remote_execution/keys", test_keys);
  g_test_add_func("/remote_execution/settings", test_settings);
  g_test_add_func("/remote_execution/paths", test_paths);
  g_test_add_func("/remote_execution/blob_index", test_blob_index);
  return g_test_run();
}
