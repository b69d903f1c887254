/* A server for any number of listening addresses. All its connections share one admission control
 * (admission/admission.h) and one epoll set. When a listening socket is readable, the server accepts all
 * pending connections. It receives an HTTP/1 request whole before the handler sees it, and rejects what
 * admission control does not admit. It hands a complete request to its handler as a stream, whose reads do
 * not block within the request. */
#pragma once
#include <gio/gio.h>

#include "admission/admission.h"
#include "net/listener_handler.h"

typedef struct FkServer FkServer;

/* Creates a server attached to the thread's default main context. All calls and callbacks belong to that
 * context's thread. */
FkServer *fk_server_new(const FkAdmissionLimits *limits);
/* Closes all connections and frees the server. Streams that handlers still hold read end of file, after any
 * unread rest of their request. `server` may be NULL. */
void fk_server_free(FkServer *server);
/* Listens on `address`, an IP address and a port. `handler` is copied. Returns the listening socket, which
 * the server owns; NULL with `error` set if listening fails. */
GSocket *fk_server_listen(FkServer *server, const char *address, const FkListenerHandler *handler,
                          GError **error);
/* Returns the server's admission control, for metrics. */
const FkAdmission *fk_server_admission(const FkServer *server);
