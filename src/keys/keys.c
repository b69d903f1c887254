#include "keys/keys.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

#include "wire/json.h"

#define KEY_BYTES_MAX 512 /* maximum length of a key in bytes; a longer string is never a valid key */

typedef struct {
  char *team;
  guint8 hash[SHA256_DIGEST_LENGTH];
  /* Time of expiry in seconds since 1970; G_MAXINT64 if the key doesn't expire. */
  gint64 expires_at_s;
} Key;

struct FkKeys {
  GArray *keys; /* Key */
};

static GQuark keys_error(void) { return g_quark_from_static_string("fk-keys"); }

static void key_clear(gpointer data) { g_free(((Key *)data)->team); }

void fk_keys_free(FkKeys *keys) {
  if (!keys)
    return;
  g_array_unref(keys->keys);
  g_free(keys);
}

static gboolean parse_hash(const char *hex, guint8 *out) {
  if (!hex || strlen(hex) != 2 * SHA256_DIGEST_LENGTH)
    return FALSE;
  for (guint i = 0; i < SHA256_DIGEST_LENGTH; i++) {
    int high = g_ascii_xdigit_value(hex[2 * i]), low = g_ascii_xdigit_value(hex[2 * i + 1]);
    if (high < 0 || low < 0)
      return FALSE;
    out[i] = (guint8)(high << 4 | low);
  }
  return TRUE;
}

static gboolean parse_expiry(const cJSON *json, gint64 *out) {
  *out = G_MAXINT64;
  if (!fk_json_get(json, "until"))
    return TRUE;
  const char *text = fk_json_str(json, "until");
  g_autoptr(GTimeZone) utc = g_time_zone_new_utc();
  g_autoptr(GDateTime) expiry = text ? g_date_time_new_from_iso8601(text, utc) : NULL;
  if (!expiry)
    return FALSE;
  *out = g_date_time_to_unix(expiry);
  return TRUE;
}

FkKeys *fk_keys_parse(const char *text, gsize len, GError **error) {
  g_autoptr(cJSON) json = fk_json_parse(text, len);
  const cJSON *list = fk_json_get(json, "keys"), *item;
  g_autoptr(FkKeys) keys = g_new0(FkKeys, 1);
  keys->keys = g_array_new(FALSE, TRUE, sizeof(Key));
  g_array_set_clear_func(keys->keys, key_clear);
  if (!cJSON_IsArray(list)) {
    g_set_error(error, keys_error(), 1, "keys: the file must hold a JSON object with a list \"keys\"");
    return NULL;
  }
  cJSON_ArrayForEach(item, list) {
    Key key = {0};
    const char *team = fk_json_str(item, "team");
    const char *problem = NULL;
    if (!team || !*team)
      problem = "team: a name is needed";
    else if (!parse_hash(fk_json_str(item, "sha256"), key.hash))
      problem = "sha256: 64 hexadecimal digits are needed";
    else if (!parse_expiry(item, &key.expires_at_s))
      problem = "until: a time like 2027-01-01T00:00:00Z is needed";
    if (problem) {
      g_set_error(error, keys_error(), 1, "keys[%u].%s", keys->keys->len, problem);
      return NULL;
    }
    key.team = g_strdup(team);
    g_array_append_val(keys->keys, key);
    /* cppcheck-suppress memleak ; the array owns the name now */
  }
  return g_steal_pointer(&keys);
}

const char *fk_keys_find_team(const FkKeys *keys, const char *key, gint64 now_s) {
  guint8 hash[SHA256_DIGEST_LENGTH];
  gsize len = key ? strnlen(key, KEY_BYTES_MAX + 1) : 0;
  const char *team = NULL;
  SHA256((const guint8 *)(key ? key : ""), MIN(len, KEY_BYTES_MAX), hash);
  for (guint i = 0; i < keys->keys->len; i++) {
    const Key *entry = &g_array_index(keys->keys, Key, i);
    gboolean same = CRYPTO_memcmp(entry->hash, hash, sizeof hash) == 0;
    if (same && len > 0 && len <= KEY_BYTES_MAX && now_s < entry->expires_at_s)
      team = entry->team;
  }
  return team;
}

char *fk_keys_hash(const char *key) { return g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1); }

guint fk_keys_count(const FkKeys *keys) { return keys->keys->len; }
