/* A connection as a GIOStream for its handler: non-blocking both ways, ready when the connection says so. The
 * main loop has no file descriptor for it: an iteration costs no more with a thousand idle connections. */
#pragma once
#include <gio/gio.h>

#include "net/connection.h"

/* Holds a reference to the connection. To be unreffed. */
GIOStream *fk_stream_new(FkConnection *connection);
