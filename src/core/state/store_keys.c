/* Paths of the store: one prefix a kind of record. */
#include "core/state/store_keys.h"

#include <string.h>

static const struct {
  FkStoreKeyKind kind;
  const char *prefix;
} key_prefixes[] = {
    {FK_STORE_KEY_JOB, FK_STORE_LIVE_ROOT "j/"},         {FK_STORE_KEY_CHUNK, FK_STORE_LIVE_ROOT "t/"},
    {FK_STORE_KEY_SHARD, FK_STORE_LIVE_ROOT "g/"},       {FK_STORE_KEY_MACHINE_PAGE, FK_STORE_LIVE_ROOT "m/"},
    {FK_STORE_KEY_NODE, FK_STORE_LIVE_ROOT "n/"},        {FK_STORE_KEY_TEAM, FK_STORE_LIVE_ROOT "q/"},
    {FK_STORE_KEY_COMPLETIONS, FK_STORE_LIVE_ROOT "r/"}, {FK_STORE_KEY_LAUNCH_FENCE, FK_STORE_LIVE_ROOT "f/"},
    {FK_STORE_KEY_WAIT_TIMES, FK_STORE_LIVE_ROOT "w/"},  {FK_STORE_KEY_TERMINAL_JOB, FK_STORE_ROOT "d/"},
    {FK_STORE_KEY_LEADER, FK_STORE_LIVE_ROOT "leader"},
};

char *fk_store_key_path(FkStoreKeyKind kind, const char *id) {
  for (guint i = 0; i < G_N_ELEMENTS(key_prefixes); i++)
    if (key_prefixes[i].kind == kind)
      return g_strconcat(key_prefixes[i].prefix, id, NULL);
  return NULL;
}

char *fk_store_key_chunk_path(const char *job, guint32 chunk) {
  return g_strdup_printf(FK_STORE_LIVE_ROOT "t/%s/%05u", job, chunk);
}

char *fk_store_key_machine_page_path(const char *shard, guint part) {
  g_autofree char *id = part ? g_strdup_printf("%s+%u", shard, part) : g_strdup(shard);
  return fk_store_key_path(FK_STORE_KEY_MACHINE_PAGE, id);
}

FkStoreKeyKind fk_store_key_parse(const char *path, char **id, guint32 *chunk) {
  for (guint i = 0; i < G_N_ELEMENTS(key_prefixes); i++) {
    if (!g_str_has_prefix(path, key_prefixes[i].prefix))
      continue;
    const char *rest = path + strlen(key_prefixes[i].prefix);
    if (key_prefixes[i].kind == FK_STORE_KEY_CHUNK) {
      const char *slash = strchr(rest, '/');
      guint64 index;
      if (!slash || !g_ascii_string_to_unsigned(slash + 1, 10, 0, G_MAXUINT32, &index, NULL))
        return FK_STORE_KEY_OTHER;
      *id = g_strndup(rest, slash - rest);
      *chunk = (guint32)index;
    } else {
      *id = g_strdup(rest);
    }
    return key_prefixes[i].kind;
  }
  return FK_STORE_KEY_OTHER;
}
