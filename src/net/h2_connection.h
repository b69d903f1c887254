/* gRPC's server side on a stream: reads into FkH2Session, writes what it has to say, closes when it is done.
 */
#pragma once
#include <gio/gio.h>

#include "grpc/h2.h"

typedef struct FkH2Connection FkH2Connection;

/* Keeps a reference to the stream, whose both sides are pollable. A connection without calls is told to go
 * after `idle_us`. `over` is called once, when the connection is closed; `c` isn't valid after it. */
FkH2Connection *fk_h2_connection_new(GIOStream *stream, const FkH2Limits *limits, const FkH2Callbacks *calls,
                                     gpointer calls_data, gint64 idle_us,
                                     void (*over)(gpointer data, FkH2Connection *c), gpointer data);
/* Closes it at once, without calling `over`. */
void fk_h2_connection_free(FkH2Connection *c);
/* Something was sent or ended outside of the connection's own callbacks: write it soon. */
void fk_h2_connection_wake(FkH2Connection *c);
FkH2Session *fk_h2_connection_session(FkH2Connection *c);
