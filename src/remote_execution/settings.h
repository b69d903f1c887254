/* The file that switches Remote Execution on: schema/remote-execution.schema.json. Plain data. */
#pragma once
#include <glib.h>

typedef struct {
  char *listen, *directory, *keys;
  double bytes_gb, blobs;    /* that are kept at most */
  double message_mb;         /* one message */
  double connections, calls; /* at once; calls: of one connection */
  double idle_s, upload_s;   /* a connection without calls; an upload that nobody goes on with */
} FkRemoteExecutionSettings;

FkRemoteExecutionSettings *fk_remote_execution_settings_parse(const char *text, gsize len, GError **error);
void fk_remote_execution_settings_free(FkRemoteExecutionSettings *s);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkRemoteExecutionSettings, fk_remote_execution_settings_free)

typedef struct {
  const char *name;
  gsize offset;
  double min, max, fallback;
} FkRemoteExecutionNumber;
const FkRemoteExecutionNumber *fk_remote_execution_numbers(guint *n);
