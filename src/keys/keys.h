/* Teams' keys: who may speak for which team. The file holds hashes, never keys; a team may have several while
 * one is replaced by another. No I/O: the text of the file comes in. */
#pragma once
#include <glib.h>

typedef struct FkKeys FkKeys;

/* {"keys": [{"team": "red", "sha256": "<64 hex digits>", "until": "2027-01-01T00:00:00Z"}, ...]}; `until` may
 * be missing. NULL and an error that names the field when it isn't that. */
FkKeys *fk_keys_parse(const char *text, gsize len, GError **error);
void fk_keys_free(FkKeys *k);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkKeys, fk_keys_free)

/* The team for which a bearer's key stands at that time (seconds since 1970), or NULL. The string is the
 * keys' own. Takes as long for a key that is nearly right as for one that isn't: every hash is compared, each
 * to its end. */
const char *fk_keys_find_team(const FkKeys *k, const char *key, gint64 now_s);
/* The hash that goes into the file, to be freed. */
char *fk_keys_hash(const char *key);
guint fk_keys_count(const FkKeys *k);
