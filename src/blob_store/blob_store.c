#include "blob_store/blob_store.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <openssl/evp.h>
#include <sqlite3.h>
#include <string.h>
#include <unistd.h>

#define FLUSH_USES 256 /* uses kept in memory before they are written to the index */

struct FkBlobs {
  char *dir;
  FkShelf *shelf;
  sqlite3 *db;
  sqlite3_stmt *insert, *remove, *touch, *result;
  guint64 clock, next_file;
  guint untold; /* uses that the index doesn't know of */
};

struct FkUpload {
  FkBlobs *b;
  char *team, *file;
  FkDigest digest;
  int fd;
  guint64 written;
  EVP_MD_CTX *hash;
  gboolean failed, full;
};

struct FkReader_ {
  FkBlobs *b;
  FkShelfItem *item; /* NULL: the empty blob */
  int fd;
  guint64 left;
  EVP_MD_CTX *hash; /* NULL: not read from its start */
};

static GQuark blobs_error(void) { return g_quark_from_static_string("fk-blobs"); }

/* ------------------------------------------------------------------ names */

/* A team's name is anybody's string: its hash names the directory. */
static char *team_dir(const FkBlobs *b, const char *team) {
  g_autofree char *name = g_compute_checksum_for_string(G_CHECKSUM_SHA256, team, -1);
  return g_build_filename(b->dir, "blobs", name, NULL);
}

static char *blob_dir(const FkBlobs *b, const char *team, const FkDigest *d) {
  g_autofree char *of_team = team_dir(b, team);
  char two[3] = {d->hex[0], d->hex[1], 0};
  return g_build_filename(of_team, two, NULL);
}

static char *blob_file(const FkBlobs *b, const char *team, const FkDigest *d) {
  g_autofree char *dir = blob_dir(b, team, d);
  return g_build_filename(dir, d->hex, NULL);
}

/* ------------------------------------------------------------------ the index */

static gboolean run(FkBlobs *b, const char *sql, GError **error) {
  char *why = NULL;
  if (sqlite3_exec(b->db, sql, NULL, NULL, &why) == SQLITE_OK)
    return TRUE;
  g_set_error(error, blobs_error(), 1, "%s: %s", b->dir, why ? why : "the index fails");
  sqlite3_free(why);
  return FALSE;
}

static gboolean step(FkBlobs *b, sqlite3_stmt *s) {
  int rc = sqlite3_step(s);
  sqlite3_reset(s);
  sqlite3_clear_bindings(s);
  if (rc != SQLITE_DONE)
    g_warning("%s: the index fails: %s", b->dir, sqlite3_errmsg(b->db));
  return rc == SQLITE_DONE;
}

static void bind_key(sqlite3_stmt *s, const char *team, FkShelfKind kind, const FkDigest *d) {
  sqlite3_bind_text(s, 1, team, -1, SQLITE_TRANSIENT);
  sqlite3_bind_int(s, 2, kind);
  sqlite3_bind_text(s, 3, d->hex, FK_HEX, SQLITE_TRANSIENT);
  sqlite3_bind_int64(s, 4, (sqlite3_int64)d->size);
}

static gboolean enter(FkBlobs *b, const char *team, FkShelfKind kind, const FkDigest *d, guint64 bytes,
                      const guint8 *result) {
  bind_key(b->insert, team, kind, d);
  sqlite3_bind_int64(b->insert, 5, (sqlite3_int64)++b->clock);
  sqlite3_bind_int64(b->insert, 6, (sqlite3_int64)bytes);
  if (result)
    sqlite3_bind_blob(b->insert, 7, result, (int)bytes, SQLITE_STATIC);
  return step(b, b->insert);
}

/* Uses are told to the index now and then: after a crash a few are forgotten, and something is evicted a
 * little sooner. */
static void used(FkBlobs *b, FkShelfItem *i) {
  fk_shelf_use(b->shelf, i);
  if (++b->untold < FLUSH_USES)
    return;
  b->untold = 0;
  bind_key(b->touch, fk_shelf_team_name(i), i->kind, &i->digest);
  sqlite3_bind_int64(b->touch, 5, (sqlite3_int64)++b->clock);
  step(b, b->touch);
}

/* The index first: a file without an entry is removed at the next start, an entry without a file would be a
 * blob that is promised and isn't there. */
static void evict(FkBlobs *b, FkShelfItem *i) {
  g_autofree char *file = i->kind == FK_SHELF_BLOB ? blob_file(b, fk_shelf_team_name(i), &i->digest) : NULL;
  bind_key(b->remove, fk_shelf_team_name(i), i->kind, &i->digest);
  step(b, b->remove);
  if (file)
    g_unlink(file); /* who reads it still has it open */
  fk_shelf_drop(b->shelf, i);
}

static gboolean make_room(FkBlobs *b, const char *team, guint64 bytes) {
  FkShelfItem *i;
  if (!fk_shelf_reserve(b->shelf, team, bytes))
    return FALSE;
  while ((i = fk_shelf_victim(b->shelf)))
    evict(b, i);
  return TRUE;
}

static gboolean load(FkBlobs *b, GError **error) {
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
    if (team && kind >= 0 && kind <= FK_SHELF_RESULT && fk_digest_set(&d, hex, sqlite3_column_int64(s, 3)))
      fk_shelf_put(b->shelf, team, (FkShelfKind)kind, &d, (guint64)sqlite3_column_int64(s, 5));
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
static void sweep(FkBlobs *b, const char *dir, GHashTable *teams, const char *team) {
  g_autoptr(GDir) d = g_dir_open(dir, 0, NULL);
  const char *name;
  while (d && (name = g_dir_read_name(d))) {
    g_autofree char *path = g_build_filename(dir, name, NULL);
    if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
      sweep(b, path, teams, team ? team : g_hash_table_lookup(teams, name));
      continue;
    }
    GStatBuf st;
    FkDigest digest;
    if (!team || g_stat(path, &st) < 0 || !fk_digest_set(&digest, name, st.st_size) ||
        !fk_shelf_find(b->shelf, team, FK_SHELF_BLOB, &digest))
      g_unlink(path);
  }
}

static void sweep_all(FkBlobs *b) {
  g_autoptr(GHashTable) teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  sqlite3_stmt *s;
  if (sqlite3_prepare_v2(b->db, "SELECT DISTINCT team FROM items", -1, &s, NULL) == SQLITE_OK)
    while (sqlite3_step(s) == SQLITE_ROW) {
      const char *team = (const char *)sqlite3_column_text(s, 0);
      g_hash_table_insert(teams, g_compute_checksum_for_string(G_CHECKSUM_SHA256, team, -1), g_strdup(team));
    }
  sqlite3_finalize(s);
  g_autofree char *blobs = g_build_filename(b->dir, "blobs", NULL);
  sweep(b, blobs, teams, NULL);
}

FkBlobs *fk_blobs_open(const char *dir, const FkShelfLimits *limits, GError **error) {
  FkBlobs *b = g_new0(FkBlobs, 1);
  b->dir = g_strdup(dir);
  b->shelf = fk_shelf_new(limits);
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
  if (!run(b,
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
             {&b->touch, "UPDATE items SET used=?5 WHERE team=?1 AND kind=?2 AND hash=?3 AND size=?4"},
             {&b->result, "SELECT result FROM items WHERE team=? AND kind=? AND hash=? AND size=?"}};
  for (guint i = 0; i < G_N_ELEMENTS(all); i++)
    if (sqlite3_prepare_v2(b->db, all[i].sql, -1, all[i].s, NULL) != SQLITE_OK) {
      g_set_error(error, blobs_error(), 1, "%s: %s", dir, sqlite3_errmsg(b->db));
      goto failed;
    }
  sweep_all(b);
  FkShelfItem *i;
  while ((i = fk_shelf_victim(b->shelf))) /* the limits may be lower than they were */
    evict(b, i);
  return b;
failed:
  fk_blobs_close(b);
  return NULL;
}

void fk_blobs_close(FkBlobs *b) {
  if (!b)
    return;
  sqlite3_finalize(b->insert);
  sqlite3_finalize(b->remove);
  sqlite3_finalize(b->touch);
  sqlite3_finalize(b->result);
  sqlite3_close(b->db);
  fk_shelf_free(b->shelf);
  g_free(b->dir);
  g_free(b);
}

FkShelf *fk_blobs_shelf(FkBlobs *b) { return b->shelf; }

gboolean fk_blobs_has(FkBlobs *b, const char *team, const FkDigest *d) {
  if (d->size == 0)
    return TRUE;
  FkShelfItem *i = fk_shelf_find(b->shelf, team, FK_SHELF_BLOB, d);
  if (i)
    used(b, i);
  return i != NULL;
}

/* ------------------------------------------------------------------ uploads */

FkBlobsOutcome fk_upload_begin(FkBlobs *b, const char *team, const FkDigest *d, FkUpload **out) {
  if (!make_room(b, team, d->size))
    return FK_BLOBS_FULL;
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
    FkBlobsOutcome o = errno == ENOSPC || errno == EDQUOT ? FK_BLOBS_FULL : FK_BLOBS_BROKEN;
    fk_upload_abort(u);
    return o;
  }
  *out = u;
  return FK_BLOBS_OK;
}

void fk_upload_abort(FkUpload *u) {
  if (!u)
    return;
  if (u->fd >= 0)
    close(u->fd);
  if (u->file)
    g_unlink(u->file);
  fk_shelf_unreserve(u->b->shelf, u->team, u->digest.size);
  EVP_MD_CTX_free(u->hash);
  g_free(u->team);
  g_free(u->file);
  g_free(u);
}

FkBlobsOutcome fk_upload_write(FkUpload *u, const guint8 *data, gsize len) {
  if (u->written + len > u->digest.size)
    return FK_BLOBS_MISMATCH;
  EVP_DigestUpdate(u->hash, data, len);
  while (len) {
    gssize n = write(u->fd, data, len);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return errno == ENOSPC || errno == EDQUOT ? FK_BLOBS_FULL : FK_BLOBS_BROKEN;
    data += n;
    len -= (gsize)n;
    u->written += (guint64)n;
  }
  return FK_BLOBS_OK;
}

guint64 fk_upload_written(const FkUpload *u) { return u->written; }

static gboolean matches(EVP_MD_CTX *hash, const FkDigest *d) {
  guint8 sum[EVP_MAX_MD_SIZE];
  char hex[FK_HEX + 1];
  EVP_DigestFinal_ex(hash, sum, NULL);
  for (guint i = 0; i < FK_HEX / 2; i++)
    g_snprintf(hex + 2 * i, 3, "%02x", sum[i]);
  return memcmp(hex, d->hex, FK_HEX) == 0;
}

/* The rename is lasting when its directory is. */
static gboolean sync_dir(const char *dir) {
  int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  gboolean done = fd >= 0 && fsync(fd) == 0;
  if (fd >= 0)
    close(fd);
  return done;
}

FkBlobsOutcome fk_upload_finish(FkUpload *u) {
  FkBlobs *b = u->b;
  FkBlobsOutcome o = FK_BLOBS_OK;
  g_autofree char *dir = blob_dir(b, u->team, &u->digest), *file = blob_file(b, u->team, &u->digest);
  if (u->written != u->digest.size || !matches(u->hash, &u->digest))
    o = FK_BLOBS_MISMATCH;
  else if (u->digest.size == 0 || fk_shelf_find(b->shelf, u->team, FK_SHELF_BLOB, &u->digest))
    o = FK_BLOBS_OK; /* there already: the same bytes */
  else if (fsync(u->fd) < 0 || g_mkdir_with_parents(dir, 0700) < 0 || g_rename(u->file, file) < 0 ||
           !sync_dir(dir) || !enter(b, u->team, FK_SHELF_BLOB, &u->digest, u->digest.size, NULL))
    o = errno == ENOSPC || errno == EDQUOT ? FK_BLOBS_FULL : FK_BLOBS_BROKEN;
  else
    fk_shelf_put(b->shelf, u->team, FK_SHELF_BLOB, &u->digest, u->digest.size);
  fk_upload_abort(u);
  return o;
}

/* ------------------------------------------------------------------ reading */

FkBlobsOutcome fk_blobs_open_read(FkBlobs *b, const char *team, const FkDigest *d, guint64 offset,
                                  FkBlobReader **out) {
  FkShelfItem *i = d->size ? fk_shelf_find(b->shelf, team, FK_SHELF_BLOB, d) : NULL;
  if (d->size && !i)
    return FK_BLOBS_MISSING;
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
      return gone ? FK_BLOBS_MISSING : FK_BLOBS_BROKEN;
    }
    used(b, i);
    fk_shelf_pin(b->shelf, i);
  }
  FkBlobReader *r = g_new0(FkBlobReader, 1);
  *r = (FkBlobReader){.b = b, .item = i, .fd = fd, .left = d->size - MIN(offset, d->size)};
  if (i && offset == 0) {
    r->hash = EVP_MD_CTX_new();
    EVP_DigestInit_ex(r->hash, EVP_sha256(), NULL);
  }
  *out = r;
  return FK_BLOBS_OK;
}

gssize fk_blob_read(FkBlobReader *r, guint8 *to, gsize len) {
  gssize n = 0;
  len = MIN(len, r->left);
  if (len)
    do
      n = read(r->fd, to, len);
    while (n < 0 && errno == EINTR);
  r->left -= (guint64)MAX(0, n);
  if (r->hash && n > 0)
    EVP_DigestUpdate(r->hash, to, (gsize)n);
  gboolean bad = (len && n <= 0) || (r->hash && r->left == 0 && n > 0 && !matches(r->hash, &r->item->digest));
  if (bad && !r->item->dropped) {
    g_warning("%s: blob %s isn't what was written; it was dropped", r->b->dir, r->item->digest.hex);
    evict(r->b, r->item);
  }
  return bad ? -1 : n;
}

void fk_blob_close(FkBlobReader *r) {
  if (!r)
    return;
  if (r->fd >= 0)
    close(r->fd);
  if (r->item)
    fk_shelf_unpin(r->b->shelf, r->item);
  EVP_MD_CTX_free(r->hash);
  g_free(r);
}

GBytes *fk_blobs_get(FkBlobs *b, const char *team, const FkDigest *d, gsize max) {
  FkBlobReader *r;
  if (d->size > max || fk_blobs_open_read(b, team, d, 0, &r) != FK_BLOBS_OK)
    return NULL;
  guint8 *bytes = g_malloc(MAX(1, d->size));
  gsize got = 0;
  gssize n;
  while ((n = fk_blob_read(r, bytes + got, d->size - got)) > 0)
    got += (gsize)n;
  fk_blob_close(r);
  if (n < 0 || got != d->size) {
    g_free(bytes);
    return NULL;
  }
  return g_bytes_new_take(bytes, d->size);
}

/* ------------------------------------------------------------------ results */

FkBlobsOutcome fk_blobs_put_result(FkBlobs *b, const char *team, const FkDigest *action, const guint8 *bytes,
                                   gsize len) {
  FkShelfItem *i = fk_shelf_find(b->shelf, team, FK_SHELF_RESULT, action);
  if (i)
    evict(b, i);
  if (!make_room(b, team, len))
    return FK_BLOBS_FULL;
  fk_shelf_unreserve(b->shelf, team, len);
  if (!enter(b, team, FK_SHELF_RESULT, action, len, bytes))
    return FK_BLOBS_BROKEN;
  fk_shelf_put(b->shelf, team, FK_SHELF_RESULT, action, len);
  return FK_BLOBS_OK;
}

GBytes *fk_blobs_get_result(FkBlobs *b, const char *team, const FkDigest *action) {
  FkShelfItem *i = fk_shelf_find(b->shelf, team, FK_SHELF_RESULT, action);
  if (!i)
    return NULL;
  GBytes *bytes = NULL;
  bind_key(b->result, team, FK_SHELF_RESULT, action);
  if (sqlite3_step(b->result) == SQLITE_ROW)
    bytes = g_bytes_new(sqlite3_column_blob(b->result, 0), (gsize)sqlite3_column_bytes(b->result, 0));
  sqlite3_reset(b->result);
  sqlite3_clear_bindings(b->result);
  if (bytes)
    used(b, i);
  return bytes;
}
