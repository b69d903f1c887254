/* Uploads by ByteStream.Write that are under way, by team and name. An upload outlives its call: the client
 * may go on with it in another one. */
#pragma once
#include "blob_store/blob_store.h"

typedef struct FkUploads FkUploads;

typedef struct {
  FkUpload *upload; /* NULL: finished */
  char *key, *team;
  gboolean in_use;      /* a call writes to it */
  gint64 idle_since_us; /* when the latest call ended */
} FkResumableUpload;

typedef enum {
  FK_UPLOADS_OPENED,
  FK_UPLOADS_IN_USE,   /* another call writes to it */
  FK_UPLOADS_TOO_MANY, /* the team has too many, all in use */
  FK_UPLOADS_FAILED    /* the blob store refused it */
} FkUploadsResult;

FkUploads *fk_uploads_new(void);
/* Gives up all of them. */
void fk_uploads_free(FkUploads *uploads);

/* The upload with that name, or NULL. */
FkResumableUpload *fk_uploads_find(FkUploads *uploads, const char *team, const FkResourceName *name);
/* Finds it or begins it, and marks it as in use. A compressed upload always begins anew: the decompressor's
 * state is gone with the earlier call. A team's longest idle upload may be given up for it. FAILED sets
 * `status`. */
FkUploadsResult fk_uploads_open(FkUploads *uploads, FkBlobStore *blobs, const char *team,
                                const FkResourceName *name, FkResumableUpload **out, FkBlobStatus *status);
/* Its call has ended without finishing it. */
void fk_uploads_release(FkUploads *uploads, FkResumableUpload *upload);
/* Aborts the upload unless it is finished, and frees it. */
void fk_uploads_remove(FkUploads *uploads, FkResumableUpload *upload);
/* Removes those that no call has written to since `before_us`. */
void fk_uploads_expire(FkUploads *uploads, gint64 before_us);
