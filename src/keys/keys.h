/* Teams' keys: who may act for which team. The file holds hashes, never keys; a team may have several while
 * one is replaced by another. No I/O: the text of the file comes in. */
#pragma once
#include <glib.h>

typedef struct FkKeys FkKeys;

/* {"keys": [{"team": "red", "sha256": "<64 hex digits>", "until": "2027-01-01T00:00:00Z"}, ...]}; `until` may
 * be missing. NULL and an error that names the field: malformed. */
FkKeys *fk_keys_parse(const char *text, gsize len, GError **error);
/* NULL is fine. */
void fk_keys_free(FkKeys *keys);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkKeys, fk_keys_free)

/* The team that a key (NULL: none) stands for at that time (seconds since 1970), the keys' own string, or
 * NULL. Compares all hashes, each to its end, so that the time it takes tells nothing about the keys. */
const char *fk_keys_find_team(const FkKeys *keys, const char *key, gint64 now_s);
/* A key's hash as the file has it; to be freed. */
char *fk_keys_hash(const char *key);
guint fk_keys_count(const FkKeys *keys);
