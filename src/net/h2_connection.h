/* gRPC's server side on a stream: reads into an FkH2Session, writes what it has to send, closes when it is
 * done. */
#pragma once
#include <gio/gio.h>

#include "grpc/h2.h"

typedef struct FkH2Connection FkH2Connection;

/* Keeps a reference to the stream, both of whose sides are pollable. `callbacks` (kept by reference) are
 * called with `callbacks_data`. A connection without calls is closed after `idle_us`. `closed` is called
 * once, with `data`, when the connection ends by itself; it isn't valid afterwards. */
FkH2Connection *fk_h2_connection_new(GIOStream *stream, const FkH2Limits *limits,
                                     const FkH2Callbacks *callbacks, gpointer callbacks_data, gint64 idle_us,
                                     void (*closed)(gpointer data, FkH2Connection *connection),
                                     gpointer data);
/* Closes it at once, without calling `closed`. */
void fk_h2_connection_free(FkH2Connection *connection);
/* A call's response was changed outside of the session's callbacks: it is written soon. */
void fk_h2_connection_wake(FkH2Connection *connection);
/* The connection's own. */
FkH2Session *fk_h2_connection_session(FkH2Connection *connection);
