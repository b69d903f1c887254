/* The server side of gRPC on one stream. Passes received bytes to an FkH2Session, writes the session's
 * output, and closes the stream when the session is done or a timeout expires. */
#pragma once
#include <gio/gio.h>

#include "grpc/h2.h"

typedef struct FkH2Connection FkH2Connection;

/* Creates a connection on `stream`, both of whose directions must be pollable, and takes a reference to it.
 * `callbacks` is kept by reference; its functions get `callbacks_data`. A connection without calls or traffic
 * is sent GOAWAY after `idle_us`, and is closed after `idle_us` more. A client that has made no call is
 * disconnected after 10 s, or after `idle_us` if that is shorter. `closed` is called with `data` when the
 * connection closes itself; the connection is freed when `closed` returns. */
FkH2Connection *fk_h2_connection_new(GIOStream *stream, const FkH2Limits *limits,
                                     const FkH2Callbacks *callbacks, gpointer callbacks_data, gint64 idle_us,
                                     void (*closed)(gpointer data, FkH2Connection *connection),
                                     gpointer data);
/* Closes the connection at once and frees it. `closed` is not called. */
void fk_h2_connection_free(FkH2Connection *connection);
/* Schedules a write of the session's output in the main loop. Must be called after a call's response was
 * changed outside the session's callbacks. */
void fk_h2_connection_wake(FkH2Connection *connection);
/* Returns the session, which the connection owns. */
FkH2Session *fk_h2_connection_session(FkH2Connection *connection);
