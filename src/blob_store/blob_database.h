/* The blob store's persistent index, an SQLite database: the list of stored blobs, the action results
 * themselves, and the order in which both were used. Private to src/blob_store. */
#pragma once
#include "blob_store/blob_index.h"

typedef struct FkBlobDatabase FkBlobDatabase;

/* Opens or creates `dir`/index.sqlite and locks it for this process. A second process with the same directory
 * gets an error here, before it could remove the blobs of the first one as unindexed. */
FkBlobDatabase *fk_blob_database_open(const char *dir, GError **error);
/* NULL is allowed. */
void fk_blob_database_close(FkBlobDatabase *database);
/* Adds all entries to `index`, the least recently used first, as far as their uses are recorded. */
gboolean fk_blob_database_load(FkBlobDatabase *database, FkBlobIndex *index, GError **error);
/* Returns the names of all teams with entries: an array of char* that the caller frees. */
GPtrArray *fk_blob_database_teams(FkBlobDatabase *database);

/* The next three functions return FALSE, and log a warning, if the write fails. */

/* Adds an entry or replaces it, as the most recently used one. `result` holds the `bytes` bytes of an action
 * result; it is NULL for a blob. */
gboolean fk_blob_database_insert(FkBlobDatabase *database, const char *team, FkBlobKind kind,
                                 const FkDigest *digest, guint64 bytes, const guint8 *result);
gboolean fk_blob_database_remove(FkBlobDatabase *database, const FkBlobEntry *entry);
/* Records that the entry is the most recently used one. */
gboolean fk_blob_database_touch(FkBlobDatabase *database, const FkBlobEntry *entry);
/* Returns an action's result, to be unreffed, or NULL if there is none or it can't be read. */
GBytes *fk_blob_database_get_result(FkBlobDatabase *database, const char *team, const FkDigest *action);
