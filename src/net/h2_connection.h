/* gRPC's server side on a stream: reads into FkH2, writes what it has to say, closes when it is done. */
#pragma once
#include <gio/gio.h>

#include "grpc/h2.h"

typedef struct FkH2Conn FkH2Conn;

/* Keeps a reference to the stream, whose both sides are pollable. A connection without calls is told to go
 * after `idle_us`. `over` is called once, when the connection is closed; `c` isn't valid after it. */
FkH2Conn *fk_h2_conn_new(GIOStream *stream, const FkH2Limits *limits, const FkH2Calls *calls,
                         gpointer calls_data, gint64 idle_us, void (*over)(gpointer data, FkH2Conn *c),
                         gpointer data);
/* Closes it at once, without calling `over`. */
void fk_h2_conn_free(FkH2Conn *c);
/* Something was sent or ended outside of the connection's own callbacks: write it soon. */
void fk_h2_conn_wake(FkH2Conn *c);
FkH2 *fk_h2_conn_h2(FkH2Conn *c);
