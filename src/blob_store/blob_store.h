/* Blobs and action results on this machine's disk, by team. A blob is written to a file of its own, its
 * digest checked as it comes; only a whole and right one is synced, renamed to its name and entered in the
 * index (SQLite). So a process that is killed at any point leaves half files, which go at the next start, and
 * never a wrong blob. All calls block on the disk: they belong in a thread of their own, not the scheduler's.
 */
#pragma once
#include "blob_store/blob_index.h"

typedef struct FkBlobStore FkBlobStore;
typedef struct FkUpload FkUpload;
typedef struct FkReader_ FkBlobReader;

typedef enum {
  FK_BLOB_STATUS_OK,
  FK_BLOB_STATUS_NOT_FOUND, /* no such blob */
  FK_BLOB_STATUS_MISMATCH,  /* what came isn't what its digest says */
  FK_BLOB_STATUS_FULL,      /* no room, on the disk or by the limits */
  FK_BLOB_STATUS_IO_ERROR   /* the disk fails, or holds something else than was written */
} FkBlobStatus;

/* Creates `dir` where there is none. What an earlier process left half done is removed. */
FkBlobStore *fk_blob_store_open(const char *dir, const FkBlobIndexLimits *limits, GError **error);
void fk_blob_store_close(FkBlobStore *b);
FkBlobIndex *fk_blob_store_index(FkBlobStore *b);

/* Counts as a use. The empty blob is always there. */
gboolean fk_blob_store_has(FkBlobStore *b, const char *team, const FkDigest *d);

/* Room for all of it is set aside at once. */
FkBlobStatus fk_upload_begin(FkBlobStore *b, const char *team, const FkDigest *d, FkUpload **out);
/* More than its digest's size is a MISMATCH. */
FkBlobStatus fk_upload_write(FkUpload *u, const guint8 *data, gsize len);
guint64 fk_upload_written(const FkUpload *u);
/* Checks, syncs, enters it. The upload is gone, whatever comes of it. */
FkBlobStatus fk_upload_finish(FkUpload *u);
void fk_upload_abort(FkUpload *u);

/* Pinned while it is open. */
FkBlobStatus fk_blob_store_open_reader(FkBlobStore *b, const char *team, const FkDigest *d, guint64 offset,
                                       FkBlobReader **out);
/* Up to `len` bytes, 0 at the end. < 0: the file can't be read, or a whole read didn't match the digest: then
 * the blob is dropped. */
gssize fk_blob_reader_read(FkBlobReader *r, guint8 *to, gsize len);
void fk_blob_reader_close(FkBlobReader *r);
/* All of a blob of at most `max` bytes, to be unreffed; NULL: missing, longer or broken. */
GBytes *fk_blob_store_read_all(FkBlobStore *b, const char *team, const FkDigest *d, gsize max);

/* Results of actions, as their bytes. */
FkBlobStatus fk_blob_store_put_result(FkBlobStore *b, const char *team, const FkDigest *action,
                                      const guint8 *bytes, gsize len);
GBytes *fk_blob_store_get_result(FkBlobStore *b, const char *team, const FkDigest *action);
