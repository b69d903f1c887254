#include "keys/keys.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

#include "wire/json.h"

#define KEY_BYTES_MAX 512 /* bytes of a key that are looked at: more is no key of ours */

typedef struct {
  char *team;
  guint8 hash[SHA256_DIGEST_LENGTH];
  gint64 until_s;
} Key;

struct FkKeys {
  GArray *keys; /* Key */
};

static GQuark keys_error(void) { return g_quark_from_static_string("fk-keys"); }

static void key_clear(gpointer p) { g_free(((Key *)p)->team); }

void fk_keys_free(FkKeys *k) {
  if (!k)
    return;
  g_array_unref(k->keys);
  g_free(k);
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

static gboolean parse_until(const cJSON *o, gint64 *out) {
  *out = G_MAXINT64;
  if (!fk_json_get(o, "until"))
    return TRUE;
  const char *text = fk_json_str(o, "until");
  g_autoptr(GTimeZone) utc = g_time_zone_new_utc();
  g_autoptr(GDateTime) t = text ? g_date_time_new_from_iso8601(text, utc) : NULL;
  if (!t)
    return FALSE;
  *out = g_date_time_to_unix(t);
  return TRUE;
}

FkKeys *fk_keys_parse(const char *text, gsize len, GError **error) {
  g_autoptr(cJSON) o = fk_json_parse(text, len);
  const cJSON *list = fk_json_get(o, "keys"), *j;
  g_autoptr(FkKeys) k = g_new0(FkKeys, 1);
  k->keys = g_array_new(FALSE, TRUE, sizeof(Key));
  g_array_set_clear_func(k->keys, key_clear);
  if (!cJSON_IsArray(list)) {
    g_set_error(error, keys_error(), 1, "keys: a list is needed");
    return NULL;
  }
  cJSON_ArrayForEach(j, list) {
    Key key = {0};
    const char *team = fk_json_str(j, "team"), *wrong = NULL;
    if (!team || !*team)
      wrong = "team: a name is needed";
    else if (!parse_hash(fk_json_str(j, "sha256"), key.hash))
      wrong = "sha256: 64 hexadecimal digits are needed";
    else if (!parse_until(j, &key.until_s))
      wrong = "until: a time like 2027-01-01T00:00:00Z is needed";
    if (wrong) {
      g_set_error(error, keys_error(), 1, "keys[%u].%s", k->keys->len, wrong);
      return NULL;
    }
    key.team = g_strdup(team);
    g_array_append_val(k->keys, key);
    /* cppcheck-suppress memleak ; the array owns the name now */
  }
  return g_steal_pointer(&k);
}

const char *fk_keys_find_team(const FkKeys *k, const char *key, gint64 now_s) {
  guint8 hash[SHA256_DIGEST_LENGTH];
  gsize len = key ? strnlen(key, KEY_BYTES_MAX + 1) : 0;
  const char *team = NULL;
  SHA256((const guint8 *)(key ? key : ""), MIN(len, KEY_BYTES_MAX), hash);
  for (guint i = 0; i < k->keys->len; i++) {
    const Key *e = &g_array_index(k->keys, Key, i);
    gboolean same = CRYPTO_memcmp(e->hash, hash, sizeof hash) == 0;
    if (same && len > 0 && len <= KEY_BYTES_MAX && now_s < e->until_s)
      team = e->team;
  }
  return team;
}

char *fk_keys_hash(const char *key) { return g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1); }

guint fk_keys_count(const FkKeys *k) { return k->keys->len; }
