/* Uploads of blobs. Each upload writes to a temporary file, which is renamed to the blob's file when
 * the upload is complete. */
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include "blob_store/blob_store_internal.h"

#define FILE_MODE 0600
#define DIRECTORY_MODE 0700

struct FkUpload {
  FkBlobStore *store;
  char *team, *file; /* `file` is the path of the temporary file */
  FkDigest digest;
  int fd;           /* descriptor of the temporary file; -1 if the file couldn't be opened */
  guint64 written;  /* number of bytes written */
  EVP_MD_CTX *hash; /* hash of the bytes written */
};

FkBlobStatus fk_upload_begin(FkBlobStore *store, const char *team, const FkDigest *digest, FkUpload **out) {
  if (!fk_blob_store_reserve(store, team, digest->size))
    return FK_BLOB_STATUS_FULL;
  FkUpload *upload = g_new0(FkUpload, 1);
  upload->store = store;
  upload->team = g_strdup(team);
  upload->digest = *digest;
  upload->hash = fk_blob_hash_new();
  upload->file = fk_blob_store_upload_path(store);
  upload->fd = open(upload->file, O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, FILE_MODE);
  if (upload->fd < 0) {
    FkBlobStatus status = fk_blob_status_from_errno(errno);
    fk_upload_abort(upload);
    return status;
  }
  *out = upload;
  return FK_BLOB_STATUS_OK;
}

void fk_upload_abort(FkUpload *upload) {
  if (!upload)
    return;
  if (upload->fd >= 0)
    close(upload->fd);
  g_unlink(upload->file); /* has no effect if the temporary file was renamed */
  fk_blob_index_unreserve(upload->store->index, upload->team, upload->digest.size);
  EVP_MD_CTX_free(upload->hash);
  g_free(upload->team);
  g_free(upload->file);
  g_free(upload);
}

FkBlobStatus fk_upload_write(FkUpload *upload, const guint8 *data, gsize len) {
  if (upload->written + len > upload->digest.size)
    return FK_BLOB_STATUS_MISMATCH;
  EVP_DigestUpdate(upload->hash, data, len);
  while (len) {
    gssize n = write(upload->fd, data, len);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return fk_blob_status_from_errno(errno);
    data += n;
    len -= (gsize)n;
    upload->written += (guint64)n;
  }
  return FK_BLOB_STATUS_OK;
}

guint64 fk_upload_written(const FkUpload *upload) { return upload->written; }

/* ------------------------------------------------------------------ finishing */

/* Syncs a directory, so that renames in the directory are durable. */
static gboolean sync_dir(const char *path) {
  int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  gboolean synced = fd >= 0 && fsync(fd) == 0;
  if (fd >= 0)
    close(fd);
  return synced;
}

/* Syncs the temporary file, renames it to the blob's file, and syncs the directory. Returns FALSE and sets
 * `errno` if that fails. */
static gboolean move_to_blobs(const FkUpload *upload) {
  g_autofree char *dir = fk_blob_store_blob_dir_path(upload->store, upload->team, &upload->digest);
  g_autofree char *file = fk_blob_store_blob_path(upload->store, upload->team, &upload->digest);
  return fsync(upload->fd) == 0 && g_mkdir_with_parents(dir, DIRECTORY_MODE) == 0 &&
         g_rename(upload->file, file) == 0 && sync_dir(dir);
}

/* Stores the blob if its size and hash match the digest, unless the blob is empty or stored already. */
static FkBlobStatus store_upload(FkUpload *upload) {
  FkBlobStore *store = upload->store;
  const FkDigest *digest = &upload->digest;
  if (upload->written != digest->size || !fk_blob_hash_matches(upload->hash, digest))
    return FK_BLOB_STATUS_MISMATCH;
  if (digest->size == 0 || fk_blob_index_find(store->index, upload->team, FK_BLOB_KIND_BLOB, digest))
    return FK_BLOB_STATUS_OK;
  if (!move_to_blobs(upload) ||
      !fk_blob_database_insert(store->database, upload->team, FK_BLOB_KIND_BLOB, digest, digest->size, NULL))
    return fk_blob_status_from_errno(errno);
  fk_blob_index_insert(store->index, upload->team, FK_BLOB_KIND_BLOB, digest, digest->size);
  return FK_BLOB_STATUS_OK;
}

FkBlobStatus fk_upload_finish(FkUpload *upload) {
  FkBlobStatus status = store_upload(upload);
  fk_upload_abort(upload);
  return status;
}
