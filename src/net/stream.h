/* A connection as a GIOStream for its handler. Reads and writes are non-blocking. The main loop polls no file
 * descriptor for a stream, so a poll costs no more with a thousand idle connections. */
#pragma once
#include <gio/gio.h>

#include "net/connection.h"

/* Creates a stream, which takes a reference to `connection`. The caller must unref the stream. */
GIOStream *fk_stream_new(FkConnection *connection);
