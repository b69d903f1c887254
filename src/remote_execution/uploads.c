#include "remote_execution/uploads.h"

#define TEAM_UPLOADS_MAX 256

struct FkUploads {
  GHashTable *by_key; /* upload_key() -> FkResumableUpload; the table owns the uploads */
};

static void upload_free(gpointer data) {
  FkResumableUpload *upload = data;
  fk_upload_abort(upload->blob_upload);
  g_free(upload->key);
  g_free(upload->team);
  g_free(upload);
}

FkUploads *fk_uploads_new(void) {
  FkUploads *uploads = g_new0(FkUploads, 1);
  uploads->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, upload_free);
  return uploads;
}

void fk_uploads_free(FkUploads *uploads) {
  g_hash_table_unref(uploads->by_key);
  g_free(uploads);
}

static char *upload_key(const char *team, const FkResourceName *name) {
  return g_strdup_printf("%s\n%s\n%s\n%" G_GUINT64_FORMAT "\n%d", team, name->upload_id, name->digest.hex,
                         name->digest.size, name->zstd);
}

FkResumableUpload *fk_uploads_find(FkUploads *uploads, const char *team, const FkResourceName *name) {
  g_autofree char *key = upload_key(team, name);
  return g_hash_table_lookup(uploads->by_key, key);
}

/* Returns the team's number of uploads. Sets `longest_idle` to the team's upload that has been idle
 * for the longest time, or to NULL if all of the team's uploads are in use. */
static guint count_team(const FkUploads *uploads, const char *team, FkResumableUpload **longest_idle) {
  GHashTableIter iter;
  gpointer value;
  guint n = 0;
  *longest_idle = NULL;
  g_hash_table_iter_init(&iter, uploads->by_key);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    FkResumableUpload *upload = value;
    if (!g_str_equal(upload->team, team))
      continue;
    n++;
    if (!upload->in_use && (!*longest_idle || upload->idle_since_us < (*longest_idle)->idle_since_us))
      *longest_idle = upload;
  }
  return n;
}

/* Begins an upload that isn't in the table. If the team has TEAM_UPLOADS_MAX uploads, first aborts the team's
 * upload that has been idle for the longest time; if all are in use, returns FK_UPLOADS_TOO_MANY. */
static FkUploadsResult begin_upload(FkUploads *uploads, FkBlobStore *blobs, const char *team,
                                    const FkResourceName *name, FkResumableUpload **out,
                                    FkBlobStatus *status) {
  FkResumableUpload *longest_idle;
  FkUpload *blob_upload;
  if (count_team(uploads, team, &longest_idle) >= TEAM_UPLOADS_MAX) {
    if (!longest_idle)
      return FK_UPLOADS_TOO_MANY;
    fk_uploads_remove(uploads, longest_idle);
  }
  *status = fk_upload_begin(blobs, team, &name->digest, &blob_upload);
  if (*status != FK_BLOB_STATUS_OK)
    return FK_UPLOADS_FAILED;
  *out = g_new0(FkResumableUpload, 1);
  **out =
      (FkResumableUpload){.blob_upload = blob_upload, .key = upload_key(team, name), .team = g_strdup(team)};
  g_hash_table_insert(uploads->by_key, (*out)->key, *out);
  return FK_UPLOADS_OPENED;
}

FkUploadsResult fk_uploads_open(FkUploads *uploads, FkBlobStore *blobs, const char *team,
                                const FkResourceName *name, FkResumableUpload **out, FkBlobStatus *status) {
  FkResumableUpload *upload = fk_uploads_find(uploads, team, name);
  if (upload && upload->in_use)
    return FK_UPLOADS_IN_USE;
  if (upload && name->zstd) {
    fk_uploads_remove(uploads, upload);
    upload = NULL;
  }
  if (!upload) {
    FkUploadsResult result = begin_upload(uploads, blobs, team, name, &upload, status);
    if (result != FK_UPLOADS_OPENED)
      return result;
  }
  upload->in_use = TRUE;
  *out = upload;
  return FK_UPLOADS_OPENED;
}

void fk_uploads_release(FkUploads *uploads, FkResumableUpload *upload) {
  upload->in_use = FALSE;
  upload->idle_since_us = g_get_monotonic_time();
}

void fk_uploads_remove(FkUploads *uploads, FkResumableUpload *upload) {
  g_hash_table_remove(uploads->by_key, upload->key);
}

void fk_uploads_expire(FkUploads *uploads, gint64 before_us) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, uploads->by_key);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkResumableUpload *upload = value;
    if (!upload->in_use && upload->idle_since_us < before_us)
      g_hash_table_iter_remove(&iter);
  }
}
