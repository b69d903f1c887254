/* Unit tests of parts of the Remote Execution cache, without sockets and without a blob store: resource
 * names, gRPC frames, keys, settings, paths, and the blob index. */
#include <string.h>

#include "blob_store/blob_index.h"
#include "grpc/frames.h"
#include "keys/keys.h"
#include "remote_execution/message.h"
#include "remote_execution/settings.h"
#include "wire/json.h"

#define EMPTY_HASH "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
#define HASH_OF_A "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"

static void test_resource_names(void) {
  static const struct {
    const char *name;
    FkResourceUse use;
    gboolean valid, zstd;
    const char *instance, *upload_id;
    guint64 size;
  } cases[] = {
      {"blobs/" HASH_OF_A "/1", FK_RESOURCE_READ, TRUE, FALSE, "", "", 1},
      {"red/blobs/" HASH_OF_A "/1", FK_RESOURCE_READ, TRUE, FALSE, "red", "", 1},
      {"red/compressed-blobs/zstd/" HASH_OF_A "/1", FK_RESOURCE_READ, TRUE, TRUE, "red", "", 1},
      {"compressed-blobs/zstd/" HASH_OF_A "/1", FK_RESOURCE_READ, TRUE, TRUE, "", "", 1},
      {"red/uploads/u-1/blobs/" HASH_OF_A "/1", FK_RESOURCE_WRITE, TRUE, FALSE, "red", "u-1", 1},
      {"uploads/u-1/blobs/" HASH_OF_A "/1/some/file.c", FK_RESOURCE_WRITE, TRUE, FALSE, "", "u-1", 1},
      {"red/uploads/u/compressed-blobs/zstd/" HASH_OF_A "/7", FK_RESOURCE_WRITE, TRUE, TRUE, "red", "u", 7},
      {"blobs/" EMPTY_HASH "/0", FK_RESOURCE_READ, TRUE, FALSE, "", "", 0},
      {"blobs/" HASH_OF_A "/0", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL,
       0}, /* size 0 is valid only with the hash of the empty blob */
      {"blobs/" HASH_OF_A "/1/more", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"blobs/" HASH_OF_A "/-1", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"blobs/" HASH_OF_A "/1x", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"blobs/" HASH_OF_A "/99999999999999999999", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"blobs/CA978112CA1BBDCAFAC231B39A23DC4DA786EFF8147C4E72B9807785AFEE48BB/1", FK_RESOURCE_READ, FALSE,
       FALSE, NULL, NULL, 0},
      {"compressed-blobs/deflate/" HASH_OF_A "/1", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"red/blue/blobs/" HASH_OF_A "/1", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"//blobs/" HASH_OF_A "/1", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
      {"red/blobs/" HASH_OF_A "/1", FK_RESOURCE_WRITE, FALSE, FALSE, NULL, NULL, 0},
      {"red/uploads//blobs/" HASH_OF_A "/1", FK_RESOURCE_WRITE, FALSE, FALSE, NULL, NULL, 0},
      {"", FK_RESOURCE_READ, FALSE, FALSE, NULL, NULL, 0},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkResourceName name;
    if (fk_resource_name_parse(cases[i].name, cases[i].use, &name) != cases[i].valid)
      g_error("case %u: %s", i, cases[i].name);
    if (!cases[i].valid)
      continue;
    g_assert_cmpstr(name.instance, ==, cases[i].instance);
    g_assert_cmpstr(name.upload_id, ==, cases[i].upload_id);
    g_assert_cmpuint(name.digest.size, ==, cases[i].size);
    g_assert_cmpint(name.zstd, ==, cases[i].zstd);
  }
}

static void test_frames(void) {
  static const guint8 stream[] = {0, 0, 0, 0, 3, 'a', 'b', 'c', 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 'd'};
  for (gsize piece = 1; piece <= sizeof stream; piece++) {
    FkGrpcFrameParser parser;
    g_autoptr(GString) messages = g_string_new("");
    fk_grpc_frame_parser_init(&parser, 10);
    for (gsize start = 0; start < sizeof stream; start += MIN(piece, sizeof stream - start))
      for (gsize end = MIN(start + piece, sizeof stream), from = start; from < end;) {
        const guint8 *message;
        gsize used, len;
        g_assert_cmpint(fk_grpc_frame_parser_feed(&parser, stream + from, end - from, &used, &message, &len),
                        ==, FK_GRPC_OK);
        from += used;
        if (message)
          g_string_append_printf(messages, "[%.*s]", (int)len, message);
      }
    g_assert_cmpstr(messages->str, ==, "[abc][][d]");
    g_assert_true(fk_grpc_frame_parser_is_empty(&parser));
    fk_grpc_frame_parser_clear(&parser);
  }
  static const struct {
    guint8 prefix[5];
    FkGrpcStatus status;
  } bad[] = {{{1, 0, 0, 0, 1}, FK_GRPC_UNIMPLEMENTED},
             {{0, 0, 0, 0, 11}, FK_GRPC_RESOURCE_EXHAUSTED},
             {{0, 255, 255, 255, 255}, FK_GRPC_RESOURCE_EXHAUSTED}};
  for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
    FkGrpcFrameParser parser;
    const guint8 *message;
    gsize used, len;
    fk_grpc_frame_parser_init(&parser, 10);
    g_assert_cmpint(fk_grpc_frame_parser_feed(&parser, bad[i].prefix, 5, &used, &message, &len), ==,
                    bad[i].status);
    fk_grpc_frame_parser_clear(&parser);
  }
}

static void test_keys(void) {
  g_autofree char *hash = fk_keys_hash("open"), *other = fk_keys_hash("sesame");
  g_autofree char *text =
      g_strdup_printf("{\"keys\":[{\"team\":\"red\",\"sha256\":\"%s\"},{\"team\":\"red\",\"sha256\":\"%s\","
                      "\"until\":\"2001-09-09T01:46:40Z\"}]}",
                      hash, other);
  g_autoptr(GError) parse_error = NULL;
  g_autoptr(FkKeys) keys = fk_keys_parse(text, strlen(text), &parse_error);
  g_assert_no_error(parse_error);
  g_assert_cmpstr(fk_keys_find_team(keys, "open", 0), ==, "red");
  /* the key expires at `until`, which is 1000000000 in Unix time; one second earlier, the key is still
   * valid */
  g_assert_cmpstr(fk_keys_find_team(keys, "sesame", 999999999), ==, "red");
  g_assert_null(fk_keys_find_team(keys, "sesame", 1000000000));
  g_assert_null(fk_keys_find_team(keys, "opem", 0));
  g_assert_null(fk_keys_find_team(keys, "", 0));
  g_assert_null(fk_keys_find_team(keys, NULL, 0));
  g_assert_null(fk_keys_find_team(keys, hash, 0)); /* the hash in the file isn't accepted as a key */
  static const struct {
    const char *text, *prefix;
  } bad[] = {
      {"[]", "keys"},
      {"{\"keys\":[{\"sha256\":\"" EMPTY_HASH "\"}]}", "keys[0].team"},
      {"{\"keys\":[{\"team\":\"red\",\"sha256\":\"12\"}]}", "keys[0].sha256"},
      {"{\"keys\":[{\"team\":\"red\",\"sha256\":\"" EMPTY_HASH "\",\"until\":\"soon\"}]}", "keys[0].until"}};
  for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
    g_autoptr(GError) error = NULL;
    g_assert_null(fk_keys_parse(bad[i].text, strlen(bad[i].text), &error));
    g_assert_true(g_str_has_prefix(error->message, bad[i].prefix));
  }
}

/* The schema and the code have the same count of settings, and each numeric setting has the same range and
 * default in both. The example file in deploy/ is valid. The error for an invalid file begins with the
 * setting's name, or says that the file isn't a JSON object. */
static void test_settings(void) {
  g_autofree char *text = NULL, *deployed = NULL;
  gsize len;
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/schema/remote-execution.schema.json", &text, &len, NULL));
  g_autoptr(cJSON) schema = fk_json_parse(text, len);
  const cJSON *properties = fk_json_get(schema, "properties");
  guint n;
  const FkRemoteExecutionNumber *numbers = fk_remote_execution_numbers(&n);
  g_assert_cmpint(cJSON_GetArraySize(properties), ==, (int)n + 3);
  for (guint i = 0; i < n; i++) {
    const cJSON *property = fk_json_get(properties, numbers[i].name);
    g_assert_cmpfloat(fk_json_num_or(property, "minimum", -1), ==, numbers[i].min);
    g_assert_cmpfloat(fk_json_num_or(property, "maximum", -1), ==, numbers[i].max);
    g_assert_cmpfloat(fk_json_num_or(property, "default", -1), ==, numbers[i].default_value);
  }
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/deploy/remote-execution.json", &deployed, &len, NULL));
  g_autoptr(FkRemoteExecutionSettings) settings = fk_remote_execution_settings_parse(deployed, len, NULL);
  g_assert_nonnull(settings);
  static const struct {
    const char *text, *prefix;
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
    g_assert_true(g_str_has_prefix(error->message, bad[i].prefix));
  }
}

static void test_paths(void) {
  static const struct {
    const char *path;
    gboolean valid;
  } cases[] = {{"a", TRUE},       {"a/b.c", TRUE}, {"..a/b", TRUE}, {"", FALSE},
               {"/a", FALSE},     {"a/", FALSE},   {"a//b", FALSE}, {".", FALSE},
               {"a/../b", FALSE}, {"..", FALSE},   {"a/.", FALSE},  {"\xff", FALSE}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
    g_assert_cmpint(fk_message_path_is_valid(cases[i].path), ==, cases[i].valid);
}

/* Returns a digest for the number `n`, with a size from 1 to 50. */
static FkDigest make_digest(guint n) {
  FkDigest digest;
  g_autofree char *name = g_strdup_printf("%u", n),
                  *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);
  g_assert_true(fk_digest_parse(&digest, hex, 1 + n % 50));
  return digest;
}

/* Random operations by three teams, with 5 seeds. The index's totals match its entries. After the evictions
 * for a reservation, the stored and reserved bytes together are within the byte limit. A pinned entry is
 * never chosen for eviction. While no entry is pinned and the number of entries is within its limit, a
 * reservation evicts entries of another team only if that team stores at least a third of the byte limit
 * minus 50 bytes, the maximum size of a blob in this test. */
static void test_blob_index(void) {
  static const char *teams[] = {"red", "blue", "green"};
  for (guint32 seed = 1; seed <= 5; seed++) {
    g_autoptr(GRand) random = g_rand_new_with_seed(seed);
    const FkBlobIndexLimits limits = {1000, 60};
    FkBlobIndex *index = fk_blob_index_new(&limits);
    GPtrArray *pinned = g_ptr_array_new();
    for (guint step = 0; step < 20000; step++) {
      /* the product of two uniform numbers is skewed towards 0, so the first team gets the most operations */
      const char *team = teams[(guint)(3 * g_rand_double(random) * g_rand_double(random))];
      FkDigest digest = make_digest((guint)g_rand_int_range(random, 0, 300));
      FkBlobEntry *entry = fk_blob_index_find(index, team, FK_BLOB_KIND_BLOB, &digest);
      int operation = g_rand_int_range(random, 0, 10);
      if (entry && operation < 2 && pinned->len < 10) {
        fk_blob_index_pin(index, entry);
        g_ptr_array_add(pinned, entry);
      } else if (entry && operation < 4) {
        fk_blob_index_touch(index, entry);
      } else if (entry && operation == 4) {
        fk_blob_index_remove(index, entry);
      } else if (!entry && fk_blob_index_reserve(index, team, digest.size)) {
        FkBlobEntry *victim;
        while ((victim = fk_blob_index_next_victim(index))) {
          guint64 victim_team_bytes = fk_blob_index_team_bytes(index, fk_blob_entry_team(victim));
          g_assert_cmpuint(victim->pins, ==, 0);
          if (fk_blob_index_count(index) <= limits.count && pinned->len == 0)
            g_assert_true(g_str_equal(fk_blob_entry_team(victim), team) ||
                          victim_team_bytes * 3 + 150 >= limits.bytes);
          fk_blob_index_remove(index, victim);
        }
        fk_blob_index_unreserve(index, team, digest.size);
        g_assert_cmpuint(fk_blob_index_bytes(index) + digest.size, <=, limits.bytes);
        fk_blob_index_insert(index, team, FK_BLOB_KIND_BLOB, &digest, digest.size);
      }
      if (pinned->len && g_rand_int_range(random, 0, 5) == 0)
        fk_blob_index_unpin(index, g_ptr_array_remove_index_fast(
                                       pinned, (guint)g_rand_int_range(random, 0, (gint32)pinned->len)));
      fk_blob_index_verify(index);
    }
    for (guint n = 0; n < pinned->len; n++)
      fk_blob_index_unpin(index, pinned->pdata[n]);
    g_ptr_array_unref(pinned);
    fk_blob_index_verify(index);
    fk_blob_index_free(index);
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/remote_execution/resources", test_resource_names);
  g_test_add_func("/remote_execution/frames", test_frames);
  g_test_add_func("/remote_execution/keys", test_keys);
  g_test_add_func("/remote_execution/settings", test_settings);
  g_test_add_func("/remote_execution/paths", test_paths);
  g_test_add_func("/remote_execution/blob_index", test_blob_index);
  return g_test_run();
}
