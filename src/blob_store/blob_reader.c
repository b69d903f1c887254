/* Reads blobs. Checks the digest of a blob that is read from its first to its last byte. */
#include <errno.h>
#include <fcntl.h>
#include <unistd.h>

#include "blob_store/blob_store_internal.h"

struct FkBlobReader {
  FkBlobStore *store;
  FkBlobEntry *entry; /* pinned entry of the blob; NULL for the empty blob */
  int fd;             /* file descriptor; -1 for the empty blob */
  guint64 unread;     /* bytes from the reader's position to the end of the blob */
  EVP_MD_CTX *hash;   /* hash of the bytes read; NULL for the empty blob, or if the offset wasn't 0 */
};

/* Opens the file of an entry at `offset`. If the file doesn't exist, evicts the entry and returns NOT_FOUND.
 */
static FkBlobStatus open_file(FkBlobStore *store, FkBlobEntry *entry, guint64 offset, int *fd) {
  g_autofree char *file = fk_blob_store_blob_path(store, fk_blob_entry_team(entry), &entry->digest);
  *fd = open(file, O_RDONLY | O_CLOEXEC);
  if (*fd < 0 && errno == ENOENT) { /* something other than this process removed the file */
    fk_blob_store_evict(store, entry);
    return FK_BLOB_STATUS_NOT_FOUND;
  }
  if (*fd < 0)
    return FK_BLOB_STATUS_IO_ERROR;
  if (offset && lseek(*fd, (off_t)offset, SEEK_SET) < 0) {
    close(*fd);
    return FK_BLOB_STATUS_IO_ERROR;
  }
  return FK_BLOB_STATUS_OK;
}

FkBlobStatus fk_blob_store_open_reader(FkBlobStore *store, const char *team, const FkDigest *digest,
                                       guint64 offset, FkBlobReader **out) {
  gboolean is_empty = digest->size == 0;
  FkBlobEntry *entry = is_empty ? NULL : fk_blob_index_find(store->index, team, FK_BLOB_KIND_BLOB, digest);
  int fd = -1;
  if (!is_empty && !entry)
    return FK_BLOB_STATUS_NOT_FOUND;
  if (entry) {
    FkBlobStatus status = open_file(store, entry, offset, &fd);
    if (status != FK_BLOB_STATUS_OK)
      return status;
    fk_blob_store_record_use(store, entry);
    fk_blob_index_pin(store->index, entry);
  }
  FkBlobReader *reader = g_new0(FkBlobReader, 1);
  *reader = (FkBlobReader){
      .store = store, .entry = entry, .fd = fd, .unread = digest->size - MIN(offset, digest->size)};
  if (entry && offset == 0)
    reader->hash = fk_blob_hash_new();
  *out = reader;
  return FK_BLOB_STATUS_OK;
}

static gssize read_file(FkBlobReader *reader, guint8 *to, gsize len) {
  gssize n;
  do
    n = read(reader->fd, to, len);
  while (n < 0 && errno == EINTR);
  return n;
}

/* Returns whether the blob has been read from its first to its last byte and doesn't match its digest. */
static gboolean is_corrupt(FkBlobReader *reader) {
  return reader->hash && reader->unread == 0 && !fk_blob_hash_matches(reader->hash, &reader->entry->digest);
}

gssize fk_blob_reader_read(FkBlobReader *reader, guint8 *to, gsize len) {
  len = MIN(len, reader->unread);
  if (len == 0)
    return 0;
  gssize n = read_file(reader, to, len);
  if (n > 0) {
    reader->unread -= (guint64)n;
    if (reader->hash)
      EVP_DigestUpdate(reader->hash, to, (gsize)n);
    if (!is_corrupt(reader))
      return n;
  }
  if (!reader->entry->removed) {
    g_warning("unreadable or corrupt blob removed dir=%s digest=%s", reader->store->dir,
              reader->entry->digest.hex);
    fk_blob_store_evict(reader->store, reader->entry);
  }
  return -1;
}

void fk_blob_reader_close(FkBlobReader *reader) {
  if (!reader)
    return;
  if (reader->fd >= 0)
    close(reader->fd);
  if (reader->entry)
    fk_blob_index_unpin(reader->store->index, reader->entry);
  EVP_MD_CTX_free(reader->hash);
  g_free(reader);
}
