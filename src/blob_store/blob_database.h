/* The blob store's index on the disk (SQLite): which blobs there are, the action results themselves, and the
 * order of their use. Private to src/blob_store. */
#pragma once
#include "blob_store/blob_index.h"

typedef struct FkBlobDatabase FkBlobDatabase;

/* Opens or creates `dir`/index.sqlite, for this process alone: a second one fails here instead of removing
 * the first one's files. */
FkBlobDatabase *fk_blob_database_open(const char *dir, GError **error);
/* NULL is fine. */
void fk_blob_database_close(FkBlobDatabase *database);
/* Adds all entries to `index`, the least recently used first. */
gboolean fk_blob_database_load(FkBlobDatabase *database, FkBlobIndex *index, GError **error);
/* The names of all teams with entries: char*, owned. */
GPtrArray *fk_blob_database_teams(FkBlobDatabase *database);

/* Of the following, FALSE: it failed, which was logged. */

/* `result`: of `bytes` bytes; NULL: a blob. It is the most recently used entry. */
gboolean fk_blob_database_insert(FkBlobDatabase *database, const char *team, FkBlobKind kind,
                                 const FkDigest *digest, guint64 bytes, const guint8 *result);
gboolean fk_blob_database_remove(FkBlobDatabase *database, const FkBlobEntry *entry);
/* The entry is the most recently used one now. */
gboolean fk_blob_database_touch(FkBlobDatabase *database, const FkBlobEntry *entry);
/* An action's result, to be unreffed, or NULL. */
GBytes *fk_blob_database_get_result(FkBlobDatabase *database, const char *team, const FkDigest *action);
