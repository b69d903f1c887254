#include "blob_store/blob_store_internal.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <string.h>

#define DIRECTORY_MODE 0700
#define BLOBS_DIRECTORY "blobs"
#define UPLOADS_DIRECTORY "half"
/* Only one in this many uses is recorded in the database. The other uses are lost when the process ends. So
 * after a restart, entries may be evicted in an order that differs from the order of their last uses. */
#define USES_PER_RECORD 256

static GQuark blob_store_error(void) { return g_quark_from_static_string("fk-blob-store"); }

FkBlobStatus fk_blob_status_from_errno(int error) {
  return error == ENOSPC || error == EDQUOT ? FK_BLOB_STATUS_FULL : FK_BLOB_STATUS_IO_ERROR;
}

/* ------------------------------------------------------------------ hashes */

EVP_MD_CTX *fk_blob_hash_new(void) {
  EVP_MD_CTX *hash = EVP_MD_CTX_new();
  EVP_DigestInit_ex(hash, EVP_sha256(), NULL);
  return hash;
}

gboolean fk_blob_hash_matches(EVP_MD_CTX *hash, const FkDigest *digest) {
  guint8 sum[EVP_MAX_MD_SIZE];
  char hex[FK_DIGEST_HEX_LEN + 1];
  EVP_DigestFinal_ex(hash, sum, NULL);
  for (guint i = 0; i < FK_DIGEST_HEX_LEN / 2; i++)
    g_snprintf(hex + 2 * i, 3, "%02x", sum[i]);
  return memcmp(hex, digest->hex, FK_DIGEST_HEX_LEN) == 0;
}

/* ------------------------------------------------------------------ paths */

/* Returns the name of a team's directory. It is a hash, because a team's name may contain characters that
 * aren't allowed in a file name. */
static char *team_dir_name(const char *team) {
  return g_compute_checksum_for_string(G_CHECKSUM_SHA256, team, -1);
}

char *fk_blob_store_blob_dir_path(const FkBlobStore *store, const char *team, const FkDigest *digest) {
  g_autofree char *team_name = team_dir_name(team);
  char first_two[] = {digest->hex[0], digest->hex[1], 0};
  return g_build_filename(store->dir, BLOBS_DIRECTORY, team_name, first_two, NULL);
}

char *fk_blob_store_blob_path(const FkBlobStore *store, const char *team, const FkDigest *digest) {
  g_autofree char *dir = fk_blob_store_blob_dir_path(store, team, digest);
  return g_build_filename(dir, digest->hex, NULL);
}

char *fk_blob_store_upload_path(FkBlobStore *store) {
  g_autofree char *name = g_strdup_printf("%" G_GUINT64_FORMAT, store->next_upload++);
  return g_build_filename(store->dir, UPLOADS_DIRECTORY, name, NULL);
}

/* ------------------------------------------------------------------ entries */

void fk_blob_store_record_use(FkBlobStore *store, FkBlobEntry *entry) {
  fk_blob_index_touch(store->index, entry);
  if (++store->unrecorded_uses < USES_PER_RECORD)
    return;
  store->unrecorded_uses = 0;
  fk_blob_database_touch(store->database, entry);
}

/* Removes the entry from the database before the file is removed. If the process is killed in between, the
 * next start removes the file. In the other order, the database could list a blob whose file doesn't exist.
 */
void fk_blob_store_evict(FkBlobStore *store, FkBlobEntry *entry) {
  fk_blob_database_remove(store->database, entry);
  if (entry->kind == FK_BLOB_KIND_BLOB) {
    g_autofree char *file = fk_blob_store_blob_path(store, fk_blob_entry_team(entry), &entry->digest);
    g_unlink(file); /* open readers can still read the deleted file */
  }
  fk_blob_index_remove(store->index, entry);
}

static void evict_to_limits(FkBlobStore *store) {
  FkBlobEntry *victim;
  while ((victim = fk_blob_index_next_victim(store->index)))
    fk_blob_store_evict(store, victim);
}

gboolean fk_blob_store_reserve(FkBlobStore *store, const char *team, guint64 bytes) {
  if (!fk_blob_index_reserve(store->index, team, bytes))
    return FALSE;
  evict_to_limits(store);
  return TRUE;
}

/* ------------------------------------------------------------------ opening */

static void empty_dir(const char *path) {
  g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
  const char *name;
  while (dir && (name = g_dir_read_name(dir))) {
    g_autofree char *file = g_build_filename(path, name, NULL);
    g_unlink(file);
  }
}

static gboolean is_indexed(const FkBlobStore *store, const char *team, const char *path, const char *name) {
  GStatBuf status;
  FkDigest digest;
  return team && g_stat(path, &status) == 0 && fk_digest_parse(&digest, name, status.st_size) &&
         fk_blob_index_find(store->index, team, FK_BLOB_KIND_BLOB, &digest);
}

/* Removes the files below `path` that have no entry, for instance because the process was killed before
 * the entry was added. `teams` maps directory names to teams. `team` is the team whose files are below
 * `path`, or NULL if `path` is the directory of all teams or of a team without entries. */
static void remove_unindexed(FkBlobStore *store, const char *path, GHashTable *teams, const char *team) {
  g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
  const char *name;
  while (dir && (name = g_dir_read_name(dir))) {
    g_autofree char *child = g_build_filename(path, name, NULL);
    if (g_file_test(child, G_FILE_TEST_IS_DIR))
      remove_unindexed(store, child, teams, team ? team : g_hash_table_lookup(teams, name));
    else if (!is_indexed(store, team, child, name))
      g_unlink(child);
  }
}

/* Removes all blob files that have no entry. */
static void remove_all_unindexed(FkBlobStore *store, const char *blobs_dir) {
  g_autoptr(GPtrArray) names = fk_blob_database_teams(store->database);
  g_autoptr(GHashTable) teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < names->len; i++)
    g_hash_table_insert(teams, team_dir_name(names->pdata[i]), names->pdata[i]);
  remove_unindexed(store, blobs_dir, teams, NULL);
}

static gboolean make_dir(const FkBlobStore *store, const char *path, GError **error) {
  if (g_mkdir_with_parents(path, DIRECTORY_MODE) == 0)
    return TRUE;
  g_set_error(error, blob_store_error(), 1, "%s: %s", store->dir, g_strerror(errno));
  return FALSE;
}

static gboolean open_dir(FkBlobStore *store, GError **error) {
  g_autofree char *blobs = g_build_filename(store->dir, BLOBS_DIRECTORY, NULL);
  g_autofree char *uploads = g_build_filename(store->dir, UPLOADS_DIRECTORY, NULL);
  if (!make_dir(store, blobs, error) || !make_dir(store, uploads, error))
    return FALSE;
  empty_dir(uploads);
  store->database = fk_blob_database_open(store->dir, error);
  if (!store->database || !fk_blob_database_load(store->database, store->index, error))
    return FALSE;
  remove_all_unindexed(store, blobs);
  evict_to_limits(store); /* the limits may be lower than at the last start */
  return TRUE;
}

FkBlobStore *fk_blob_store_open(const char *dir, const FkBlobIndexLimits *limits, GError **error) {
  FkBlobStore *store = g_new0(FkBlobStore, 1);
  store->dir = g_strdup(dir);
  store->index = fk_blob_index_new(limits);
  if (open_dir(store, error))
    return store;
  fk_blob_store_close(store);
  return NULL;
}

void fk_blob_store_close(FkBlobStore *store) {
  if (!store)
    return;
  fk_blob_database_close(store->database);
  fk_blob_index_free(store->index);
  g_free(store->dir);
  g_free(store);
}

FkBlobIndex *fk_blob_store_index(FkBlobStore *store) { return store->index; }

/* ------------------------------------------------------------------ blobs and results */

gboolean fk_blob_store_has(FkBlobStore *store, const char *team, const FkDigest *digest) {
  if (digest->size == 0)
    return TRUE;
  FkBlobEntry *entry = fk_blob_index_find(store->index, team, FK_BLOB_KIND_BLOB, digest);
  if (entry)
    fk_blob_store_record_use(store, entry);
  return entry != NULL;
}

GBytes *fk_blob_store_read_all(FkBlobStore *store, const char *team, const FkDigest *digest, gsize max) {
  FkBlobReader *reader;
  if (digest->size > max || fk_blob_store_open_reader(store, team, digest, 0, &reader) != FK_BLOB_STATUS_OK)
    return NULL;
  g_autofree guint8 *bytes = g_malloc(MAX(1, digest->size));
  gsize total = 0;
  gssize n;
  while ((n = fk_blob_reader_read(reader, bytes + total, digest->size - total)) > 0)
    total += (gsize)n;
  fk_blob_reader_close(reader);
  if (n < 0 || total != digest->size)
    return NULL;
  return g_bytes_new_take(g_steal_pointer(&bytes), digest->size);
}

FkBlobStatus fk_blob_store_put_result(FkBlobStore *store, const char *team, const FkDigest *action,
                                      const guint8 *bytes, gsize len) {
  FkBlobEntry *earlier = fk_blob_index_find(store->index, team, FK_BLOB_KIND_RESULT, action);
  if (earlier)
    fk_blob_store_evict(store, earlier);
  if (!fk_blob_store_reserve(store, team, len))
    return FK_BLOB_STATUS_FULL;
  fk_blob_index_unreserve(store->index, team, len);
  if (!fk_blob_database_insert(store->database, team, FK_BLOB_KIND_RESULT, action, len, bytes))
    return FK_BLOB_STATUS_IO_ERROR;
  fk_blob_index_insert(store->index, team, FK_BLOB_KIND_RESULT, action, len);
  return FK_BLOB_STATUS_OK;
}

GBytes *fk_blob_store_get_result(FkBlobStore *store, const char *team, const FkDigest *action) {
  FkBlobEntry *entry = fk_blob_index_find(store->index, team, FK_BLOB_KIND_RESULT, action);
  if (!entry)
    return NULL;
  GBytes *bytes = fk_blob_database_get_result(store->database, team, action);
  if (bytes)
    fk_blob_store_record_use(store, entry);
  return bytes;
}
