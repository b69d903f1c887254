#include "blob_store/blob_database.h"

#include <sqlite3.h>

#define SETUP_SQL                                                                                            \
  "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=WAL; PRAGMA synchronous=NORMAL;"                       \
  "CREATE TABLE IF NOT EXISTS items(team TEXT, kind INT, hash TEXT, size INT, used INT, bytes INT, "         \
  "result BLOB,"                                                                                             \
  "PRIMARY KEY(team, kind, hash, size)) WITHOUT ROWID;"                                                      \
  "BEGIN IMMEDIATE; COMMIT;"
#define INSERT_SQL "INSERT OR REPLACE INTO items(team,kind,hash,size,used,bytes,result) VALUES(?,?,?,?,?,?,?)"
#define REMOVE_SQL "DELETE FROM items WHERE team=? AND kind=? AND hash=? AND size=?"
#define TOUCH_SQL "UPDATE items SET used=?5 WHERE team=?1 AND kind=?2 AND hash=?3 AND size=?4"
#define RESULT_SQL "SELECT result FROM items WHERE team=? AND kind=? AND hash=? AND size=?"
#define LOAD_SQL "SELECT team,kind,hash,size,used,bytes FROM items ORDER BY used"
#define TEAMS_SQL "SELECT DISTINCT team FROM items"

/* The parameters of INSERT_SQL. TOUCH_SQL has only the first five; REMOVE_SQL and RESULT_SQL only the first
 * four. */
enum { PARAM_TEAM = 1, PARAM_KIND, PARAM_HASH, PARAM_SIZE, PARAM_USED, PARAM_BYTES, PARAM_RESULT };
/* The columns of LOAD_SQL. */
enum { COLUMN_TEAM, COLUMN_KIND, COLUMN_HASH, COLUMN_SIZE, COLUMN_USED, COLUMN_BYTES };

struct FkBlobDatabase {
  char *dir; /* path of the directory, for log and error messages */
  sqlite3 *db;
  sqlite3_stmt *insert, *remove, *touch, *select_result;
  /* Sequence number of the latest recorded use. The column `used` holds the number of each entry's latest
   * recorded use. */
  guint64 last_use;
};

G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkBlobDatabase, fk_blob_database_close)

static GQuark database_error(void) { return g_quark_from_static_string("fk-blob-database"); }

/* ------------------------------------------------------------------ opening */

static gboolean set_sqlite_error(FkBlobDatabase *database, GError **error) {
  g_set_error(error, database_error(), 1, "%s: %s", database->dir, sqlite3_errmsg(database->db));
  return FALSE;
}

static gboolean prepare(FkBlobDatabase *database, const char *sql, sqlite3_stmt **statement, GError **error) {
  return sqlite3_prepare_v2(database->db, sql, -1, statement, NULL) == SQLITE_OK ||
         set_sqlite_error(database, error);
}

static gboolean open_and_prepare(FkBlobDatabase *database, GError **error) {
  g_autofree char *file = g_build_filename(database->dir, "index.sqlite", NULL);
  if (sqlite3_open(file, &database->db) != SQLITE_OK) {
    g_set_error(error, database_error(), 1, "%s: %s", file, sqlite3_errmsg(database->db));
    return FALSE;
  }
  return (sqlite3_exec(database->db, SETUP_SQL, NULL, NULL, NULL) == SQLITE_OK ||
          set_sqlite_error(database, error)) &&
         prepare(database, INSERT_SQL, &database->insert, error) &&
         prepare(database, REMOVE_SQL, &database->remove, error) &&
         prepare(database, TOUCH_SQL, &database->touch, error) &&
         prepare(database, RESULT_SQL, &database->select_result, error);
}

FkBlobDatabase *fk_blob_database_open(const char *dir, GError **error) {
  g_autoptr(FkBlobDatabase) database = g_new0(FkBlobDatabase, 1);
  database->dir = g_strdup(dir);
  return open_and_prepare(database, error) ? g_steal_pointer(&database) : NULL;
}

void fk_blob_database_close(FkBlobDatabase *database) {
  if (!database)
    return;
  sqlite3_finalize(database->insert);
  sqlite3_finalize(database->remove);
  sqlite3_finalize(database->touch);
  sqlite3_finalize(database->select_result);
  sqlite3_close(database->db);
  g_free(database->dir);
  g_free(database);
}

/* ------------------------------------------------------------------ loading */

/* Adds a row to the index. Skips a row whose team, kind or digest is invalid. */
static void load_row(sqlite3_stmt *row, FkBlobIndex *index) {
  FkDigest digest;
  const char *team = (const char *)sqlite3_column_text(row, COLUMN_TEAM);
  const char *hex = (const char *)sqlite3_column_text(row, COLUMN_HASH);
  int kind = sqlite3_column_int(row, COLUMN_KIND);
  if (team && kind >= 0 && kind < FK_BLOB_KINDS &&
      fk_digest_parse(&digest, hex, sqlite3_column_int64(row, COLUMN_SIZE)))
    fk_blob_index_insert(index, team, (FkBlobKind)kind, &digest,
                         (guint64)sqlite3_column_int64(row, COLUMN_BYTES));
}

gboolean fk_blob_database_load(FkBlobDatabase *database, FkBlobIndex *index, GError **error) {
  sqlite3_stmt *rows;
  if (!prepare(database, LOAD_SQL, &rows, error))
    return FALSE;
  while (sqlite3_step(rows) == SQLITE_ROW) {
    database->last_use = MAX(database->last_use, (guint64)sqlite3_column_int64(rows, COLUMN_USED));
    load_row(rows, index);
  }
  sqlite3_finalize(rows);
  return TRUE;
}

GPtrArray *fk_blob_database_teams(FkBlobDatabase *database) {
  GPtrArray *teams = g_ptr_array_new_with_free_func(g_free);
  sqlite3_stmt *rows;
  if (sqlite3_prepare_v2(database->db, TEAMS_SQL, -1, &rows, NULL) == SQLITE_OK)
    while (sqlite3_step(rows) == SQLITE_ROW)
      g_ptr_array_add(teams, g_strdup((const char *)sqlite3_column_text(rows, 0)));
  sqlite3_finalize(rows);
  return teams;
}

/* ------------------------------------------------------------------ entries */

static void bind_key(sqlite3_stmt *statement, const char *team, FkBlobKind kind, const FkDigest *digest) {
  sqlite3_bind_text(statement, PARAM_TEAM, team, -1, SQLITE_TRANSIENT);
  sqlite3_bind_int(statement, PARAM_KIND, kind);
  sqlite3_bind_text(statement, PARAM_HASH, digest->hex, FK_DIGEST_HEX_LEN, SQLITE_TRANSIENT);
  sqlite3_bind_int64(statement, PARAM_SIZE, (sqlite3_int64)digest->size);
}

static void reset_statement(sqlite3_stmt *statement) {
  sqlite3_reset(statement);
  sqlite3_clear_bindings(statement);
}

static gboolean run_statement(FkBlobDatabase *database, sqlite3_stmt *statement) {
  int code = sqlite3_step(statement);
  reset_statement(statement);
  if (code != SQLITE_DONE)
    g_warning("blob index write failed dir=%s error=\"%s\"", database->dir, sqlite3_errmsg(database->db));
  return code == SQLITE_DONE;
}

gboolean fk_blob_database_insert(FkBlobDatabase *database, const char *team, FkBlobKind kind,
                                 const FkDigest *digest, guint64 bytes, const guint8 *result) {
  sqlite3_stmt *insert = database->insert;
  bind_key(insert, team, kind, digest);
  sqlite3_bind_int64(insert, PARAM_USED, (sqlite3_int64)++database->last_use);
  sqlite3_bind_int64(insert, PARAM_BYTES, (sqlite3_int64)bytes);
  if (result)
    sqlite3_bind_blob(insert, PARAM_RESULT, result, (int)bytes, SQLITE_STATIC);
  return run_statement(database, insert);
}

gboolean fk_blob_database_remove(FkBlobDatabase *database, const FkBlobEntry *entry) {
  bind_key(database->remove, fk_blob_entry_team(entry), entry->kind, &entry->digest);
  return run_statement(database, database->remove);
}

gboolean fk_blob_database_touch(FkBlobDatabase *database, const FkBlobEntry *entry) {
  bind_key(database->touch, fk_blob_entry_team(entry), entry->kind, &entry->digest);
  sqlite3_bind_int64(database->touch, PARAM_USED, (sqlite3_int64)++database->last_use);
  return run_statement(database, database->touch);
}

GBytes *fk_blob_database_get_result(FkBlobDatabase *database, const char *team, const FkDigest *action) {
  sqlite3_stmt *select = database->select_result;
  GBytes *bytes = NULL;
  bind_key(select, team, FK_BLOB_KIND_RESULT, action);
  if (sqlite3_step(select) == SQLITE_ROW)
    bytes = g_bytes_new(sqlite3_column_blob(select, 0), (gsize)sqlite3_column_bytes(select, 0));
  reset_statement(select);
  return bytes;
}
