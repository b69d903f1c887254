/* Blobs and action results on this machine's disk, by team.
 *
 * A blob is written to a file of its own, its digest checked as it comes. Only a whole and right one is
 * synced, renamed, and entered in the index. So a process that is killed at any point leaves incomplete
 * files, which are removed at the next start, and never a wrong blob. All calls block on the disk: they
 * belong in a thread of their own, not the scheduler's. */
#pragma once
#include "blob_store/blob_index.h"

typedef struct FkBlobStore FkBlobStore;
typedef struct FkUpload FkUpload;
typedef struct FkBlobReader FkBlobReader;

typedef enum {
  FK_BLOB_STATUS_OK,
  FK_BLOB_STATUS_NOT_FOUND,
  FK_BLOB_STATUS_MISMATCH, /* the bytes aren't what the digest says */
  FK_BLOB_STATUS_FULL,     /* the disk is full, or the limits are reached */
  FK_BLOB_STATUS_IO_ERROR  /* the disk fails, or holds something else than was written */
} FkBlobStatus;

/* Creates `dir` where there is none, and removes what an earlier process left incomplete. */
FkBlobStore *fk_blob_store_open(const char *dir, const FkBlobIndexLimits *limits, GError **error);
/* No upload or reader may be open. NULL is fine. */
void fk_blob_store_close(FkBlobStore *store);
/* The store's own; for metrics and tests. */
FkBlobIndex *fk_blob_store_index(FkBlobStore *store);

/* Counts as a use. The empty blob is always there. */
gboolean fk_blob_store_has(FkBlobStore *store, const char *team, const FkDigest *digest);
/* All of a blob of at most `max` bytes, to be unreffed; NULL: missing, longer or unreadable. */
GBytes *fk_blob_store_read_all(FkBlobStore *store, const char *team, const FkDigest *digest, gsize max);

/* ---- uploads ---- */

/* Reserves the capacity for all of the blob. */
FkBlobStatus fk_upload_begin(FkBlobStore *store, const char *team, const FkDigest *digest, FkUpload **out);
/* Appends bytes. More than the digest's size is a MISMATCH. */
FkBlobStatus fk_upload_write(FkUpload *upload, const guint8 *data, gsize len);
/* Bytes written so far. */
guint64 fk_upload_written(const FkUpload *upload);
/* Checks, syncs and indexes the blob, and frees the upload, whatever comes of it. */
FkBlobStatus fk_upload_finish(FkUpload *upload);
/* Frees it. NULL is fine. */
void fk_upload_abort(FkUpload *upload);

/* ---- readers ---- */

/* From `offset` on. The blob isn't evicted while it is open. */
FkBlobStatus fk_blob_store_open_reader(FkBlobStore *store, const char *team, const FkDigest *digest,
                                       guint64 offset, FkBlobReader **out);
/* Up to `len` bytes; 0 at the end. < 0: the file can't be read, or all of it was read and doesn't match the
 * digest: then the blob is removed. */
gssize fk_blob_reader_read(FkBlobReader *reader, guint8 *to, gsize len);
/* Frees it. NULL is fine. */
void fk_blob_reader_close(FkBlobReader *reader);

/* ---- results of actions, as serialized messages ---- */

/* Replaces an earlier one. */
FkBlobStatus fk_blob_store_put_result(FkBlobStore *store, const char *team, const FkDigest *action,
                                      const guint8 *bytes, gsize len);
/* To be unreffed; NULL: there is none. Counts as a use. */
GBytes *fk_blob_store_get_result(FkBlobStore *store, const char *team, const FkDigest *action);
