#include "blob_store/blob_store.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <openssl/evp.h>
#include <sqlite3.h>
#include <string.h>
#include <unistd.h>

#define USES_PER_UPDATE 256 /* uses kept in memory before they are written to the index */

struct FkBlobStore {
  char *dir;
  FkBlobIndex *shelf;
  sqlite3 *db;
  sqlite3_stmt *insert, *remove, *update_use, *select_result;
  guint64 clock, next_file;
  guint unrecorded_uses; /* uses that the index doesn't know of */
};

struct FkUpload {
  FkBlobStore *b;
  char *team, *file;
  FkDigest digest;
  int fd;
  guint64 written;
  EVP_MD_CTX *hash;
  gboolean failed, full;
};

struct FkReader_ {
  FkBlobStore *b;
  FkBlobEntry *item; /* NULL: the empty blob */
  int fd;
  guint64 left;
  EVP_MD_CTX *hash; /* NULL: not read from its start */
};

static GQuark blobs_error(void) { return g_quark_from_static_string("fk-blobs"); }

/* ------------------------------------------------------------------ names */

/* A team's name is anybody's string: its hash names the directory. */
static char *team_dir(const FkBlobStore *b, const char *team) {
  g_autofree char *name = g_compute_checksum_for_string(G_CHECKSUM_SHA256, team, -1);
  return g_build_filename(b->dir, "blobs", name, NULL);
}

static char *blob_dir(const FkBlobStore *b, const char *team, const FkDigest *d) {
  g_autofree char *of_team = team_dir(b, team);
  char two[3] = {d->hex[0], d->hex[1], 0};
  return g_build_filename(of_team, two, NULL);
}

static char *blob_file(const FkBlobStore *b, const char *team, const FkDigest *d) {
  g_autofree char *dir = blob_dir(b, team, d);
  return g_build_filename(dir, d->hex, NULL);
}

/* ------------------------------------------------------------------ the index */

static gboolean execute_sql(FkBlobStore *b, const char *sql, GError **error) {
  char *why = NULL;
  if (sqlite3_exec(b->db, sql, NULL, NULL, &why) == SQLITE_OK)
    return TRUE;
  g_set_error(error, blobs_error(), 1, "%s: %s", b->dir, why ? why : "the index fails");
  sqlite3_free(why);
  return FALSE;
}

static gboolean run_statement(FkBlobStore *b, sqlite3_stmt *s) {
  int rc = sqlite3_step(s);
  sqlite3_reset(s);
  sqlite3_clear_bindings(s);
  if (rc != SQLITE_DONE)
    g_warning("%s: the index fails: %s", b->dir, sqlite3_errmsg(b->db));
  return rc == SQLITE_DONE;
}

static void bind_key(sqlite3_stmt *s, const char *team, FkBlobKind kind, const FkDigest *d) {
  sqlite3_bind_text(s, 1, team, -1, SQLITE_TRANSIENT);
  sqlite3_bind_int(s, 2, kind);
  sqlite3_bind_text(s, 3, d->hex, FK_DIGEST_HEX_LEN, SQLITE_TRANSIENT);
  sqlite3_bind_int64(s, 4, (sqlite3_int64)d->size);
}

static gboolean insert_entry(FkBlobStore *b, const char *team, FkBlobKind kind, const FkDigest *d,
                             guint64 bytes, const guint8 *result) {
  bind_key(b->insert, team, kind, d);
  sqlite3_bind_int64(b->insert, 5, (sqlite3_int64)++b->clock);
  sqlite3_bind_int64(b->insert, 6, (sqlite3_int64)bytes);
  if (result)
    sqlite3_bind_blob(b->insert, 7, result, (int)bytes, SQLITE_STATIC);
  return run_statement(b, b->insert);
}

/* Uses are told to the index now and then: after a crash a few are forgotten, and something is evicted a
 * little sooner. */
static void record_use(FkBlobStore *b, FkBlobEntry *i) {
  fk_blob_index_touch(b->shelf, i);
  if (++b->unrecorded_uses < USES_PER_UPDATE)
    return;
  b->unrecorded_uses = 0;
  bind_key(b->update_use, fk_blob_entry_team(i), i->kind, &i->digest);
  sqlite3_bind_int64(b->update_use, 5, (sqlite3_int64)++b->clock);
  run_statement(b, b->update_use);
}

/* The index first: a file without an entry is removed at the next start, an entry without a file would be a
 * blob that is promised and isn't there. */
static void evict(FkBlobStore *b, FkBlobEntry *i) {
  g_autofree char *file =
      i->kind == FK_BLOB_KIND_BLOB ? blob_file(b, fk_blob_entry_team(i), &i->digest) : NULL;
  bind_key(b->remove, fk_blob_entry_team(i), i->kind, &i->digest);
  run_statement(b, b->remove);
  if (file)
    g_unlink(file); /* who reads it still has it open */
  fk_blob_index_remove(b->shelf, i);
}

static gboolean make_room(FkBlobStore *b, const char *team, guint64 bytes) {
  FkBlobEntry *i;
  if (!fk_blob_index_reserve(b->shelf, team, bytes))
    return FALSE;
  while ((i = fk_blob_index_next_victim(b->shelf)))
    evict(b, i);
  return TRUE;
}

static gboolean load(FkBlobStore *b, GError **error) {
  sqlite3_stmt *s;
  if (sqlite3_prepare_v2(b->db, "SELECT team,kind,hash,size,used,bytes FROM items ORDER BY used", -1, &s,
                         NULL)) {
    g_set_error(error, blobs_error(), 1, "%s: %s", b->dir, sqlite3_errmsg(b->db));
    return FALSE;
  }
  while (sqlite3_step(s) == SQLITE_ROW) {
    FkDigest d;
    const char *team = (const char *)sqlite3_column_text(s, 0),
               *hex = (const char *)sqlite3_column_text(s, 2);
    int kind = sqlite3_column_int(s, 1);
    b->clock = MAX(b->clock, (guint64)sqlite3_column_int64(s, 4));
    if (team && kind >= 0 && kind <= FK_BLOB_KIND_RESULT &&
        fk_digest_parse(&d, hex, sqlite3_column_int64(s, 3)))
      fk_blob_index_insert(b->shelf, team, (FkBlobKind)kind, &d, (guint64)sqlite3_column_int64(s, 5));
  }
  sqlite3_finalize(s);
  return TRUE;
}

/* ------------------------------------------------------------------ opening */

static void empty_dir(const char *dir) {
  g_autoptr(GDir) d = g_dir_open(dir, 0, NULL);
  const char *name;
  while (d && (name = g_dir_read_name(d))) {
    g_autofree char *file = g_build_filename(dir, name, NULL);
    g_unlink(file);
  }
}

/* Files that the index doesn't know: written by a process that was killed before it could say so. */
static void remove_unindexed(FkBlobStore *b, const char *dir, GHashTable *teams, const char *team) {
  g_autoptr(GDir) d = g_dir_open(dir, 0, NULL);
  const char *name;
  while (d && (name = g_dir_read_name(d))) {
    g_autofree char *path = g_build_filename(dir, name, NULL);
    if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
      remove_unindexed(b, path, teams, team ? team : g_hash_table_lookup(teams, name));
      continue;
    }
    GStatBuf st;
    FkDigest digest;
    if (!team || g_stat(path, &st) < 0 || !fk_digest_parse(&digest, name, st.st_size) ||
        !fk_blob_index_find(b->shelf, team, FK_BLOB_KIND_BLOB, &digest))
      g_unlink(path);
  }
}

static void remove_all_unindexed(FkBlobStore *b) {
  g_autoptr(GHashTable) teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  sqlite3_stmt *s;
  if (sqlite3_prepare_v2(b->db, "SELECT DISTINCT team FROM items", -1, &s, NULL) == SQLITE_OK)
    while (sqlite3_step(s) == SQLITE_ROW) {
      const char *team = (const char *)sqlite3_column_text(s, 0);
      g_hash_table_insert(teams, g_compute_checksum_for_string(G_CHECKSUM_SHA256, team, -1), g_strdup(team));
    }
  sqlite3_finalize(s);
  g_autofree char *blobs = g_build_filename(b->dir, "blobs", NULL);
  remove_unindexed(b, blobs, teams, NULL);
}

FkBlobStore *fk_blob_store_open(const char *dir, const FkBlobIndexLimits *limits, GError **error) {
  FkBlobStore *b = g_new0(FkBlobStore, 1);
  b->dir = g_strdup(dir);
  b->shelf = fk_blob_index_new(limits);
  g_autofree char *blobs = g_build_filename(dir, "blobs", NULL), *half = g_build_filename(dir, "half", NULL),
                  *index = g_build_filename(dir, "index.sqlite", NULL);
  if (g_mkdir_with_parents(blobs, 0700) < 0 || g_mkdir_with_parents(half, 0700) < 0) {
    g_set_error(error, blobs_error(), 1, "%s: %s", dir, g_strerror(errno));
    goto failed;
  }
  empty_dir(half);
  if (sqlite3_open(index, &b->db) != SQLITE_OK) {
    g_set_error(error, blobs_error(), 1, "%s: %s", index, sqlite3_errmsg(b->db));
    goto failed;
  }
  /* one process has the directory: a second one fails here instead of taking the first one's files away */
  if (!execute_sql(
          b,
          "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=WAL; PRAGMA synchronous=NORMAL;"
          "CREATE TABLE IF NOT EXISTS items(team TEXT, kind INT, hash TEXT, size INT, used INT, bytes INT, "
          "result BLOB,"
          "PRIMARY KEY(team, kind, hash, size)) WITHOUT ROWID;"
          "BEGIN IMMEDIATE; COMMIT;",
          error) ||
      !load(b, error))
    goto failed;
  struct {
    sqlite3_stmt **s;
    const char *sql;
  } all[] = {{&b->insert,
              "INSERT OR REPLACE INTO items(team,kind,hash,size,used,bytes,result) VALUES(?,?,?,?,?,?,?)"},
             {&b->remove, "DELETE FROM items WHERE team=? AND kind=? AND hash=? AND size=?"},
             {&b->update_use, "UPDATE items SET used=?5 WHERE team=?1 AND kind=?2 AND hash=?3 AND size=?4"},
             {&b->select_result, "SELECT result FROM items WHERE team=? AND kind=? AND hash=? AND size=?"}};
  for (guint i = 0; i < G_N_ELEMENTS(all); i++)
    if (sqlite3_prepare_v2(b->db, all[i].sql, -1, all[i].s, NULL) != SQLITE_OK) {
      g_set_error(error, blobs_error(), 1, "%s: %s", dir, sqlite3_errmsg(b->db));
      goto failed;
    }
  remove_all_unindexed(b);
  FkBlobEntry *i;
  while ((i = fk_blob_index_next_victim(b->shelf))) /* the limits may be lower than they were */
    evict(b, i);
  return b;
failed:
  fk_blob_store_close(b);
  return NULL;
}

void fk_blob_store_close(FkBlobStore *b) {
  if (!b)
    return;
  sqlite3_finalize(b->insert);
  sqlite3_finalize(b->remove);
  sqlite3_finalize(b->update_use);
  sqlite3_finalize(b->select_result);
  sqlite3_close(b->db);
  fk_blob_index_free(b->shelf);
  g_free(b->dir);
  g_free(b);
}

FkBlobIndex *fk_blob_store_index(FkBlobStore *b) { return b->shelf; }

gboolean fk_blob_store_has(FkBlobStore *b, const char *team, const FkDigest *d) {
  if (d->size == 0)
    return TRUE;
  FkBlobEntry *i = fk_blob_index_find(b->shelf, team, FK_BLOB_KIND_BLOB, d);
  if (i)
    record_use(b, i);
  return i != NULL;
}

/* ------------------------------------------------------------------ uploads */

FkBlobStatus fk_upload_begin(FkBlobStore *b, const char *team, const FkDigest *d, FkUpload **out) {
  if (!make_room(b, team, d->size))
    return FK_BLOB_STATUS_FULL;
  FkUpload *u = g_new0(FkUpload, 1);
  u->b = b;
  u->team = g_strdup(team);
  u->digest = *d;
  g_autofree char *name = g_strdup_printf("%" G_GUINT64_FORMAT, b->next_file++);
  u->file = g_build_filename(b->dir, "half", name, NULL);
  u->fd = open(u->file, O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
  u->hash = EVP_MD_CTX_new();
  EVP_DigestInit_ex(u->hash, EVP_sha256(), NULL);
  if (u->fd < 0) {
    FkBlobStatus o = errno == ENOSPC || errno == EDQUOT ? FK_BLOB_STATUS_FULL : FK_BLOB_STATUS_IO_ERROR;
    fk_upload_abort(u);
    return o;
  }
  *out = u;
  return FK_BLOB_STATUS_OK;
}

void fk_upload_abort(FkUpload *u) {
  if (!u)
    return;
  if (u->fd >= 0)
    close(u->fd);
  if (u->file)
    g_unlink(u->file);
  fk_blob_index_unreserve(u->b->shelf, u->team, u->digest.size);
  EVP_MD_CTX_free(u->hash);
  g_free(u->team);
  g_free(u->file);
  g_free(u);
}

FkBlobStatus fk_upload_write(FkUpload *u, const guint8 *data, gsize len) {
  if (u->written + len > u->digest.size)
    return FK_BLOB_STATUS_MISMATCH;
  EVP_DigestUpdate(u->hash, data, len);
  while (len) {
    gssize n = write(u->fd, data, len);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return errno == ENOSPC || errno == EDQUOT ? FK_BLOB_STATUS_FULL : FK_BLOB_STATUS_IO_ERROR;
    data += n;
    len -= (gsize)n;
    u->written += (guint64)n;
  }
  return FK_BLOB_STATUS_OK;
}

guint64 fk_upload_written(const FkUpload *u) { return u->written; }

static gboolean hash_matches(EVP_MD_CTX *hash, const FkDigest *d) {
  guint8 sum[EVP_MAX_MD_SIZE];
  char hex[FK_DIGEST_HEX_LEN + 1];
  EVP_DigestFinal_ex(hash, sum, NULL);
  for (guint i = 0; i < FK_DIGEST_HEX_LEN / 2; i++)
    g_snprintf(hex + 2 * i, 3, "%02x", sum[i]);
  return memcmp(hex, d->hex, FK_DIGEST_HEX_LEN) == 0;
}

/* The rename is lasting when its directory is. */
static gboolean sync_dir(const char *dir) {
  int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  gboolean done = fd >= 0 && fsync(fd) == 0;
  if (fd >= 0)
    close(fd);
  return done;
}

FkBlobStatus fk_upload_finish(FkUpload *u) {
  FkBlobStore *b = u->b;
  FkBlobStatus o = FK_BLOB_STATUS_OK;
  g_autofree char *dir = blob_dir(b, u->team, &u->digest), *file = blob_file(b, u->team, &u->digest);
  if (u->written != u->digest.size || !hash_matches(u->hash, &u->digest))
    o = FK_BLOB_STATUS_MISMATCH;
  else if (u->digest.size == 0 || fk_blob_index_find(b->shelf, u->team, FK_BLOB_KIND_BLOB, &u->digest))
    o = FK_BLOB_STATUS_OK; /* there already: the same bytes */
  else if (fsync(u->fd) < 0 || g_mkdir_with_parents(dir, 0700) < 0 || g_rename(u->file, file) < 0 ||
           !sync_dir(dir) || !insert_entry(b, u->team, FK_BLOB_KIND_BLOB, &u->digest, u->digest.size, NULL))
    o = errno == ENOSPC || errno == EDQUOT ? FK_BLOB_STATUS_FULL : FK_BLOB_STATUS_IO_ERROR;
  else
    fk_blob_index_insert(b->shelf, u->team, FK_BLOB_KIND_BLOB, &u->digest, u->digest.size);
  fk_upload_abort(u);
  return o;
}

/* ------------------------------------------------------------------ reading */

FkBlobStatus fk_blob_store_open_reader(FkBlobStore *b, const char *team, const FkDigest *d, guint64 offset,
                                       FkBlobReader **out) {
  FkBlobEntry *i = d->size ? fk_blob_index_find(b->shelf, team, FK_BLOB_KIND_BLOB, d) : NULL;
  if (d->size && !i)
    return FK_BLOB_STATUS_NOT_FOUND;
  int fd = -1;
  if (i) {
    g_autofree char *file = blob_file(b, team, d);
    fd = open(file, O_RDONLY | O_CLOEXEC);
    if (fd < 0 || (offset && lseek(fd, (off_t)offset, SEEK_SET) < 0)) {
      /* somebody took the file away: the entry promises what isn't there */
      gboolean gone = fd < 0 && errno == ENOENT;
      if (fd >= 0)
        close(fd);
      if (gone)
        evict(b, i);
      return gone ? FK_BLOB_STATUS_NOT_FOUND : FK_BLOB_STATUS_IO_ERROR;
    }
    record_use(b, i);
    fk_blob_index_pin(b->shelf, i);
  }
  FkBlobReader *r = g_new0(FkBlobReader, 1);
  *r = (FkBlobReader){.b = b, .item = i, .fd = fd, .left = d->size - MIN(offset, d->size)};
  if (i && offset == 0) {
    r->hash = EVP_MD_CTX_new();
    EVP_DigestInit_ex(r->hash, EVP_sha256(), NULL);
  }
  *out = r;
  return FK_BLOB_STATUS_OK;
}

gssize fk_blob_reader_read(FkBlobReader *r, guint8 *to, gsize len) {
  gssize n = 0;
  len = MIN(len, r->left);
  if (len)
    do
      n = read(r->fd, to, len);
    while (n < 0 && errno == EINTR);
  r->left -= (guint64)MAX(0, n);
  if (r->hash && n > 0)
    EVP_DigestUpdate(r->hash, to, (gsize)n);
  gboolean bad =
      (len && n <= 0) || (r->hash && r->left == 0 && n > 0 && !hash_matches(r->hash, &r->item->digest));
  if (bad && !r->item->removed) {
    g_warning("%s: blob %s isn't what was written; it was dropped", r->b->dir, r->item->digest.hex);
    evict(r->b, r->item);
  }
  return bad ? -1 : n;
}

void fk_blob_reader_close(FkBlobReader *r) {
  if (!r)
    return;
  if (r->fd >= 0)
    close(r->fd);
  if (r->item)
    fk_blob_index_unpin(r->b->shelf, r->item);
  EVP_MD_CTX_free(r->hash);
  g_free(r);
}

GBytes *fk_blob_store_read_all(FkBlobStore *b, const char *team, const FkDigest *d, gsize max) {
  FkBlobReader *r;
  if (d->size > max || fk_blob_store_open_reader(b, team, d, 0, &r) != FK_BLOB_STATUS_OK)
    return NULL;
  guint8 *bytes = g_malloc(MAX(1, d->size));
  gsize got = 0;
  gssize n;
  while ((n = fk_blob_reader_read(r, bytes + got, d->size - got)) > 0)
    got += (gsize)n;
  fk_blob_reader_close(r);
  if (n < 0 || got != d->size) {
    g_free(bytes);
    return NULL;
  }
  return g_bytes_new_take(bytes, d->size);
}

/* ------------------------------------------------------------------ results */

FkBlobStatus fk_blob_store_put_result(FkBlobStore *b, const char *team, const FkDigest *action,
                                      const guint8 *bytes, gsize len) {
  FkBlobEntry *i = fk_blob_index_find(b->shelf, team, FK_BLOB_KIND_RESULT, action);
  if (i)
    evict(b, i);
  if (!make_room(b, team, len))
    return FK_BLOB_STATUS_FULL;
  fk_blob_index_unreserve(b->shelf, team, len);
  if (!insert_entry(b, team, FK_BLOB_KIND_RESULT, action, len, bytes))
    return FK_BLOB_STATUS_IO_ERROR;
  fk_blob_index_insert(b->shelf, team, FK_BLOB_KIND_RESULT, action, len);
  return FK_BLOB_STATUS_OK;
}

GBytes *fk_blob_store_get_result(FkBlobStore *b, const char *team, const FkDigest *action) {
  FkBlobEntry *i = fk_blob_index_find(b->shelf, team, FK_BLOB_KIND_RESULT, action);
  if (!i)
    return NULL;
  GBytes *bytes = NULL;
  bind_key(b->select_result, team, FK_BLOB_KIND_RESULT, action);
  if (sqlite3_step(b->select_result) == SQLITE_ROW)
    bytes = g_bytes_new(sqlite3_column_blob(b->select_result, 0),
                        (gsize)sqlite3_column_bytes(b->select_result, 0));
  sqlite3_reset(b->select_result);
  sqlite3_clear_bindings(b->select_result);
  if (bytes)
    record_use(b, i);
  return bytes;
}
