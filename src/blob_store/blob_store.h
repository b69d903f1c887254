/* Stores the blobs and action results of each team on the local disk.
 *
 * An upload writes to a temporary file and hashes the data as it arrives. When the upload is finished, the
 * file is synced, renamed and added to the index, but only if its size and hash match the digest. So a
 * process that is killed at any point can leave files without an index entry, which the next start removes,
 * but no wrong blob in the index. The functions block on disk I/O, so they must not be called in the
 * scheduler's thread. */
#pragma once
#include "blob_store/blob_index.h"

typedef struct FkBlobStore FkBlobStore;
typedef struct FkUpload FkUpload;
typedef struct FkBlobReader FkBlobReader;

typedef enum {
  FK_BLOB_STATUS_OK,
  FK_BLOB_STATUS_NOT_FOUND,
  FK_BLOB_STATUS_MISMATCH, /* the data doesn't match the digest */
  FK_BLOB_STATUS_FULL,     /* the disk or the disk quota is full, or the index can't reserve the capacity */
  FK_BLOB_STATUS_IO_ERROR  /* an operation on a file or on the database failed */
} FkBlobStatus;

/* Opens the store, and creates `dir` if it doesn't exist. Removes the unfinished uploads and unindexed files
 * of an earlier process, and evicts entries until the limits are kept. */
FkBlobStore *fk_blob_store_open(const char *dir, const FkBlobIndexLimits *limits, GError **error);
/* No upload or reader may be open. NULL is allowed. */
void fk_blob_store_close(FkBlobStore *store);
/* Returns the index, which the store owns; for metrics and tests. */
FkBlobIndex *fk_blob_store_index(FkBlobStore *store);

/* Returns whether the blob is stored, and records a use of it. The empty blob always counts as stored. */
gboolean fk_blob_store_has(FkBlobStore *store, const char *team, const FkDigest *digest);
/* Returns the contents of a blob, to be unreffed. Returns NULL if the blob is missing, longer than `max`
 * bytes, unreadable or corrupt. */
GBytes *fk_blob_store_read_all(FkBlobStore *store, const char *team, const FkDigest *digest, gsize max);

/* ---- uploads ---- */

/* Begins an upload and reserves the capacity for the whole blob. May evict other entries. */
FkBlobStatus fk_upload_begin(FkBlobStore *store, const char *team, const FkDigest *digest, FkUpload **out);
/* Appends bytes. Returns MISMATCH, and writes nothing, if the blob would exceed the digest's size. */
FkBlobStatus fk_upload_write(FkUpload *upload, const guint8 *data, gsize len);
/* Returns the number of bytes written so far. */
guint64 fk_upload_written(const FkUpload *upload);
/* Checks the blob against its digest, and stores it. Frees the upload, also on failure. */
FkBlobStatus fk_upload_finish(FkUpload *upload);
/* Discards an upload and frees it. NULL is allowed. */
void fk_upload_abort(FkUpload *upload);

/* ---- readers ---- */

/* Opens a reader at `offset`, and records a use of the blob. While the reader is open, the blob isn't
 * evicted to free capacity. */
FkBlobStatus fk_blob_store_open_reader(FkBlobStore *store, const char *team, const FkDigest *digest,
                                       guint64 offset, FkBlobReader **out);
/* Reads up to `len` bytes. Returns their number, or 0 at the end of the blob. Removes the blob and returns -1
 * if the file can't be read or is too short, or if the blob has been read from its first to its last byte and
 * doesn't match its digest. */
gssize fk_blob_reader_read(FkBlobReader *reader, guint8 *to, gsize len);
/* Frees a reader. NULL is allowed. */
void fk_blob_reader_close(FkBlobReader *reader);

/* ---- results of actions, as serialized messages ---- */

/* Stores the result of an action. Removes an earlier result first, even if it then fails to store the new
 * one. */
FkBlobStatus fk_blob_store_put_result(FkBlobStore *store, const char *team, const FkDigest *action,
                                      const guint8 *bytes, gsize len);
/* Returns an action's result, to be unreffed, and records a use of it. Returns NULL if there is none or the
 * database can't read it. */
GBytes *fk_blob_store_get_result(FkBlobStore *store, const char *team, const FkDigest *action);
