/* A server of any number of listening addresses, with one set of connections under one admission control
 * (admission/admission.h), polled together. It accepts all that waits in an iteration of the main loop, reads
 * requests whole before their handler sees them, rejects what admission control doesn't admit, and hands a
 * complete request to its handler as a stream that never blocks within a request. */
#pragma once
#include <gio/gio.h>

#include "admission/admission.h"
#include "net/listener_handler.h"

typedef struct FkServer FkServer;

/* Attached to the thread's default main context, where all calls and callbacks belong. */
FkServer *fk_server_new(const FkAdmissionLimits *limits);
/* Closes all connections. Streams that others still hold are at their end then. NULL is fine. */
void fk_server_free(FkServer *server);
/* `address`: an IP address and a port. Returns the listening socket, which stays the server's; NULL and an
 * error: the address isn't to be had. */
GSocket *fk_server_listen(FkServer *server, const char *address, const FkListenerHandler *handler,
                          GError **error);
/* For figures. */
const FkAdmission *fk_server_admission(const FkServer *server);
