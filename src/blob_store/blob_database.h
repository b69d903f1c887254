/* The blob store's persistent index, an SQLite database. It lists the stored blobs, contains the action
 * results, and records some of the uses of blobs and results. Private to src/blob_store. */
#pragma once
#include "blob_store/blob_index.h"

typedef struct FkBlobDatabase FkBlobDatabase;

/* Opens or creates `dir`/index.sqlite and locks it for this process. Returns NULL and an error if the
 * database can't be opened, for instance because another process has locked it. Without the lock,
 * fk_blob_store_open() in a second process could delete blob files that the first process has just added. */
FkBlobDatabase *fk_blob_database_open(const char *dir, GError **error);
/* Closes the database. NULL is allowed. */
void fk_blob_database_close(FkBlobDatabase *database);
/* Adds the entries to `index`, in the order of their latest recorded use, the oldest first. Only some uses
 * are recorded. Returns FALSE and an error if the query can't be prepared. An error while the rows are read
 * ends the list early and isn't reported. */
gboolean fk_blob_database_load(FkBlobDatabase *database, FkBlobIndex *index, GError **error);
/* Returns the names of all teams with entries, as an array of char* that owns the strings. The caller frees
 * the array. A failed query isn't reported: the array then lacks some or all teams. */
GPtrArray *fk_blob_database_teams(FkBlobDatabase *database);

/* The next three functions return FALSE, and log a warning, if the write fails. */

/* Adds an entry, and records it as the most recently used entry. Replaces an entry with the same key.
 * `result` holds the `bytes` bytes of an action result; it is NULL for a blob. */
gboolean fk_blob_database_insert(FkBlobDatabase *database, const char *team, FkBlobKind kind,
                                 const FkDigest *digest, guint64 bytes, const guint8 *result);
gboolean fk_blob_database_remove(FkBlobDatabase *database, const FkBlobEntry *entry);
/* Records that the entry is the most recently used entry. */
gboolean fk_blob_database_touch(FkBlobDatabase *database, const FkBlobEntry *entry);
/* Returns an action's result, which the caller unrefs. Returns NULL if there is no result or the query fails.
 */
GBytes *fk_blob_database_get_result(FkBlobDatabase *database, const char *team, const FkDigest *action);
