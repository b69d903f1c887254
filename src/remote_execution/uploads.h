/* The unfinished uploads of ByteStream.Write. An upload is identified by its team, upload id, digest and
 * compression. An uncompressed upload with at least one byte outlives its call, so that the client can resume
 * the upload in another call. */
#pragma once
#include "blob_store/blob_store.h"

typedef struct FkUploads FkUploads;

typedef struct {
  FkUpload *blob_upload; /* NULL once the upload is finished */
  char *key, *team;      /* `key` identifies the upload in FkUploads */
  gboolean in_use;       /* whether a call has the upload open */
  /* monotonic time at which a call last released the upload; 0 if no call has released it yet */
  gint64 idle_since_us;
} FkResumableUpload;

typedef enum {
  FK_UPLOADS_OPENED,
  FK_UPLOADS_IN_USE,   /* another call has the upload open */
  FK_UPLOADS_TOO_MANY, /* the team has the maximum number of uploads, and all are in use */
  FK_UPLOADS_FAILED    /* the blob store returned an error */
} FkUploadsResult;

FkUploads *fk_uploads_new(void);
/* Aborts all uploads and frees them. */
void fk_uploads_free(FkUploads *uploads);

/* Returns the team's upload with that name, idle or in use, or NULL if there is none. */
FkResumableUpload *fk_uploads_find(FkUploads *uploads, const char *team, const FkResourceName *name);
/* Opens an existing upload or begins a new one, and marks the upload as in use. A compressed upload always
 * starts from the beginning: its decompressor's state is freed with its call (byte_stream_write.c). If the
 * team already has the maximum number of uploads, beginning another upload first aborts the team's upload
 * that has been idle for the longest time; if all are in use, the result is FK_UPLOADS_TOO_MANY. With
 * FK_UPLOADS_FAILED, `status` is the blob store's error. */
FkUploadsResult fk_uploads_open(FkUploads *uploads, FkBlobStore *blobs, const char *team,
                                const FkResourceName *name, FkResumableUpload **out, FkBlobStatus *status);
/* Marks an upload as idle. Called when the call that had the upload open ends without finishing the upload.
 */
void fk_uploads_release(FkUploads *uploads, FkResumableUpload *upload);
/* Removes an upload and frees it. Aborts the upload unless it is finished. */
void fk_uploads_remove(FkUploads *uploads, FkResumableUpload *upload);
/* Aborts and removes each idle upload that became idle before `before_us` (monotonic time). */
void fk_uploads_expire(FkUploads *uploads, gint64 before_us);
