/* The front door: every listener's sockets, on one poll set. It accepts all that waits in a turn, reads
 * requests whole before anybody else sees them, refuses in the gate's name (door/gate.h), and hands what is
 * complete to its handler as a stream that never blocks half-way through a request. */
#pragma once
#include <gio/gio.h>

#include "admission/admission.h"
#include "admission/request_parser.h"

typedef struct FkServer FkServer;

typedef struct {
  /* Requests aren't read here: a connection is handed over with its first byte, and its bytes go through as
   * they come. For protocols that aren't HTTP/1; `ask` and `refusal` aren't used. */
  gboolean raw;
  FkConnectionClass connection_class; /* who comes to this listener, until a request says more */
  /* What is asked, by method and path (cut short when long). */
  FkRequestClass (*classify)(const char *method, const char *path);
  /* The body of a refusal, to be freed, as JSON. */
  char *(*rejection_body)(const char *why);
  /* The first request of a connection is complete. The stream is the callee's to keep (it is not given a
   * reference) and to read, answer and close; later requests come through it too. */
  void (*serve)(gpointer data, GIOStream *stream, GSocketAddress *local, GSocketAddress *remote);
  gpointer data;
} FkListenerHandler;

/* Attached to the thread's default main context, where all of its calls and callbacks belong. */
FkServer *fk_server_new(const FkAdmissionLimits *limits);
/* Closes all. Streams that others still hold are at their end then. */
void fk_server_free(FkServer *d);
/* `where`: an IP address and a port. Returns the listening socket, which stays the door's; NULL on failure.
 */
GSocket *fk_server_listen(FkServer *d, const char *where, const FkListenerHandler *keeper, GError **error);
const FkAdmission *fk_server_admission(const FkServer *d);
