/* The settings file that enables the Remote Execution cache. Its schema is
 * schema/remote-execution.schema.json. This module parses the text; the caller reads the file. */
#pragma once
#include <glib.h>

typedef struct {
  char *listen;       /* loopback IP address and port to listen on */
  char *directory;    /* path of the blob store's directory */
  char *keys;         /* path of the file with the teams' keys */
  double bytes_gb;    /* maximum total size of blobs and results, stored or reserved for uploads, in GiB */
  double blobs;       /* maximum number of stored blobs and results */
  double message_mb;  /* maximum length of a message without FK_MESSAGE_OVERHEAD_BYTES, in MiB */
  double connections; /* maximum number of concurrent connections */
  double calls;       /* maximum number of concurrent calls of a connection */
  double idle_s;      /* time without a call after which a connection gets GOAWAY and is closed, in seconds */
  /* idle time, in seconds, after which an unfinished upload is aborted; an upload is idle while no call has
   * it open */
  double upload_s;
} FkRemoteExecutionSettings;

/* Parses the text of a settings file; free the result with fk_remote_execution_settings_free(). Returns NULL
 * and an error if the text is invalid. The error names the setting unless the text isn't a JSON object. */
FkRemoteExecutionSettings *fk_remote_execution_settings_parse(const char *text, gsize len, GError **error);
/* Frees the settings. NULL is allowed. */
void fk_remote_execution_settings_free(FkRemoteExecutionSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkRemoteExecutionSettings, fk_remote_execution_settings_free)

/* The name, range and default of a numeric setting. */
typedef struct {
  const char *name;
  gsize offset;    /* offset of the setting's field in FkRemoteExecutionSettings */
  double min, max; /* range, both ends included */
  double default_value;
} FkRemoteExecutionNumber;
/* Returns all numeric settings (static), and their number in `n`. */
const FkRemoteExecutionNumber *fk_remote_execution_numbers(guint *n);
