/* flaxknot key: generates a key for a team's build tools, and prints the key and the key's entry for the keys
 * file. The key itself isn't stored. */
#include <openssl/rand.h>
#include <stdio.h>

#include "cmd/commands.h"
#include "keys/keys.h"
#include "wire/json.h"

#define KEY_BYTES 32

static char *print_entry(const char *team, const char *key) {
  g_autofree char *hash = fk_keys_hash(key);
  g_autoptr(cJSON) entry = cJSON_CreateObject();
  cJSON_AddStringToObject(entry, "team", team);
  cJSON_AddStringToObject(entry, "sha256", hash);
  return fk_json_print(entry);
}

FkExitStatus fk_cmd_key(const char *team) {
  guint8 bytes[KEY_BYTES];
  if (RAND_bytes(bytes, sizeof bytes) != 1) {
    fprintf(stderr, "flaxknot: OpenSSL could not provide random bytes for the key\n");
    return FK_EXIT_STATUS_FAILED;
  }
  g_autofree char *key = g_base64_encode(bytes, sizeof bytes);
  g_autofree char *entry = print_entry(team, key);
  printf("key, for the team's build tools (header \"authorization: Bearer KEY\"):\n  %s\n"
         "entry, for the keys file:\n  %s\n",
         key, entry);
  return FK_EXIT_STATUS_OK;
}
