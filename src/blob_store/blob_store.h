/* Stores the blobs and action results of each team on the local disk.
 *
 * An upload writes to a temporary file and hashes the data as it arrives. When the upload is finished, the
 * file is synced, renamed, and added to the database and the index, but only if its size and hash match the
 * digest. If the process is killed, files without a database entry may remain, and the next start removes
 * them. The database never lists a blob whose file was incomplete or had the wrong hash when it was added.
 * The functions block on disk I/O, so they must not be called in the scheduler's thread. */
#pragma once
#include "blob_store/blob_index.h"

typedef struct FkBlobStore FkBlobStore;
typedef struct FkUpload FkUpload;
typedef struct FkBlobReader FkBlobReader;

typedef enum {
  FK_BLOB_STATUS_OK,
  FK_BLOB_STATUS_NOT_FOUND,
  FK_BLOB_STATUS_MISMATCH, /* the data doesn't match the digest */
  FK_BLOB_STATUS_FULL,     /* the disk or its quota is full, or fk_blob_index_reserve() returned FALSE */
  FK_BLOB_STATUS_IO_ERROR  /* an operation on a file or on the database failed */
} FkBlobStatus;

/* Opens the store, and creates `dir` if it doesn't exist. Removes all files of unfinished uploads, and blob
 * files without an index entry. Evicts entries until both limits are met. Returns NULL and an error if the
 * store can't be opened, for instance because another process has locked the database. The files of
 * unfinished uploads are removed before the database is locked. So if another process has the store open,
 * this function deletes that process's upload files before it returns the error. */
FkBlobStore *fk_blob_store_open(const char *dir, const FkBlobIndexLimits *limits, GError **error);
/* Closes the store and frees it. No upload or reader may be open. NULL is allowed. */
void fk_blob_store_close(FkBlobStore *store);
/* Returns the index, which the store owns; for metrics and tests. */
FkBlobIndex *fk_blob_store_index(FkBlobStore *store);

/* Returns whether the blob is stored. If so, records a use of the blob. The empty blob always counts as
 * stored. */
gboolean fk_blob_store_has(FkBlobStore *store, const char *team, const FkDigest *digest);
/* Returns the contents of a blob, which the caller unrefs. Returns NULL if the blob is missing, longer than
 * `max` bytes, unreadable or corrupt. */
GBytes *fk_blob_store_read_all(FkBlobStore *store, const char *team, const FkDigest *digest, gsize max);

/* ---- uploads ---- */

/* Begins an upload and reserves the capacity for the whole blob; evicts other entries if necessary. Returns
 * FULL or IO_ERROR on failure. */
FkBlobStatus fk_upload_begin(FkBlobStore *store, const char *team, const FkDigest *digest, FkUpload **out);
/* Appends bytes. Returns MISMATCH, and writes nothing, if the blob would exceed the digest's size. */
FkBlobStatus fk_upload_write(FkUpload *upload, const guint8 *data, gsize len);
/* Returns the number of bytes written so far. */
guint64 fk_upload_written(const FkUpload *upload);
/* Stores the blob if its size and hash match the digest; otherwise returns MISMATCH. Returns FULL or
 * IO_ERROR if the file or the database entry can't be written. Frees the upload in every case. */
FkBlobStatus fk_upload_finish(FkUpload *upload);
/* Discards an upload and frees it. NULL is allowed. */
void fk_upload_abort(FkUpload *upload);

/* ---- readers ---- */

/* Opens a reader at `offset`, and records a use of the blob. While the reader is open, the blob isn't evicted
 * to free capacity. Returns NOT_FOUND if the blob isn't stored. */
FkBlobStatus fk_blob_store_open_reader(FkBlobStore *store, const char *team, const FkDigest *digest,
                                       guint64 offset, FkBlobReader **out);
/* Reads up to `len` bytes. Returns their number, or 0 at the end of the blob. Removes the blob and returns -1
 * if the file can't be read or is too short, or if the blob has been read from its first to its last byte and
 * doesn't match its digest. */
gssize fk_blob_reader_read(FkBlobReader *reader, guint8 *to, gsize len);
/* Frees a reader. NULL is allowed. */
void fk_blob_reader_close(FkBlobReader *reader);

/* ---- results of actions, as serialized messages ---- */

/* Stores the result of an action. Removes an earlier result of the action first; if storing the new result
 * then fails, neither is stored. */
FkBlobStatus fk_blob_store_put_result(FkBlobStore *store, const char *team, const FkDigest *action,
                                      const guint8 *bytes, gsize len);
/* Returns an action's result, which the caller unrefs, and records a use of the result. Returns NULL if no
 * result is stored or the database can't read the result. */
GBytes *fk_blob_store_get_result(FkBlobStore *store, const char *team, const FkDigest *action);
