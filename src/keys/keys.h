/* Access keys of teams: a client that presents a team's key acts for that team. The keys file holds hashes,
 * never keys; a team may have several keys, so that a key can be replaced without interruption. This module
 * does no I/O: its caller reads the file. */
#pragma once
#include <glib.h>

typedef struct FkKeys FkKeys;

/* Parses the text of a keys file: {"keys": [{"team": "red", "sha256": "<64 hex digits>", "until":
 * "2027-01-01T00:00:00Z"}, ...]}; "until" is optional. The caller frees the result. Returns NULL and an error
 * that names the field if the text is malformed. */
FkKeys *fk_keys_parse(const char *text, gsize len, GError **error);
/* Frees the keys; `keys` may be NULL. */
void fk_keys_free(FkKeys *keys);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkKeys, fk_keys_free)

/* Returns the team for which `key` (may be NULL) is valid at `now_s` (seconds since 1970), a string that
 * `keys` owns; NULL if the key is valid for no team. If several valid entries match, the last entry counts.
 * Compares the key's hash with all stored hashes in constant time, so that the time taken reveals nothing
 * about the keys. */
const char *fk_keys_find_team(const FkKeys *keys, const char *key, gint64 now_s);
/* Returns a key's SHA-256 hash as hexadecimal digits, the form used in the keys file; freed by the caller. */
char *fk_keys_hash(const char *key);
/* Returns the number of keys. */
guint fk_keys_count(const FkKeys *keys);
