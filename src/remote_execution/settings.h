/* The file that switches Remote Execution on: schema/remote-execution.schema.json. Plain data. */
#pragma once
#include <glib.h>

typedef struct {
  char *listen;       /* a loopback address and port */
  char *directory;    /* of the blob store */
  char *keys;         /* the keys' file */
  double bytes_gb;    /* of blobs and results, kept at most */
  double blobs;       /* kept at most, results included */
  double message_mb;  /* one message */
  double connections; /* at once */
  double calls;       /* at once, of one connection */
  double idle_s;      /* a connection without calls is closed */
  double upload_s;    /* an unfinished upload that no call writes to is given up */
} FkRemoteExecutionSettings;

/* NULL and an error that names the setting. */
FkRemoteExecutionSettings *fk_remote_execution_settings_parse(const char *text, gsize len, GError **error);
/* NULL is fine. */
void fk_remote_execution_settings_free(FkRemoteExecutionSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkRemoteExecutionSettings, fk_remote_execution_settings_free)

/* A numeric setting; `offset` is its field's. */
typedef struct {
  const char *name;
  gsize offset;
  double min, max, fallback;
} FkRemoteExecutionNumber;
/* All of them; static. */
const FkRemoteExecutionNumber *fk_remote_execution_numbers(guint *n);
