/* What an owner of a listening address decides about its connections. */
#pragma once
#include <gio/gio.h>

#include "admission/limits.h"

typedef struct {
  /* Requests aren't parsed: a connection is handed over with its first byte, and its bytes pass through as
   * they come. For protocols other than HTTP/1; `classify` and `rejection_body` aren't used. */
  gboolean raw;
  FkConnectionClass connection_class; /* of a new connection, until a request tells more */
  /* The class of a request by its method and path (cut short when long). */
  FkRequestClass (*classify)(const char *method, const char *path);
  /* The body of a rejection, JSON, to be freed. */
  char *(*rejection_body)(const char *reason);
  /* The first request of a connection is complete. The callee takes its own reference to the stream, reads
   * the request, answers, and closes it; later requests come through it too. */
  void (*serve)(gpointer data, GIOStream *stream, GSocketAddress *local, GSocketAddress *remote);
  gpointer data;
} FkListenerHandler;
