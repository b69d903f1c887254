/* How the connections of a listening address are handled. */
#pragma once
#include <gio/gio.h>

#include "admission/limits.h"

typedef struct {
  /* TRUE for protocols other than HTTP/1. Requests are not parsed: the connection is handed over when its
   * first input arrives, and its bytes pass through unchanged. `classify` and `rejection_body` are unused. */
  gboolean raw;
  FkConnectionClass connection_class; /* initial class of a connection; a request may change it */
  /* Returns the class of a request from its method and path. A path of FK_REQUEST_PATH_BYTES or more is
   * truncated to one byte less. */
  FkRequestClass (*classify)(const char *method, const char *path);
  /* Returns the JSON body of a rejection, which the caller frees. */
  char *(*rejection_body)(const char *reason);
  /* Called when the first request of a connection is complete, or a raw connection has its first input. The
   * callee takes its own reference to the stream, reads the request, writes the response, and closes the
   * stream. Later requests of the connection arrive on the same stream. */
  void (*serve)(gpointer data, GIOStream *stream, GSocketAddress *local, GSocketAddress *remote);
  gpointer data; /* passed to `serve` */
} FkListenerHandler;
