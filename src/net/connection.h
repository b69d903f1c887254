/* One connection as its handler's stream sees it. Private to door.c and stream.c. */
#pragma once
#include <gio/gio.h>

typedef struct FkConn FkConn;

#define FK_CONN_LATER (-1)
#define FK_CONN_GONE (-2)

FkConn *fk_conn_ref(FkConn *c);
void fk_conn_unref(FkConn *c);
/* The handler is about to wait for something to read. */
void fk_conn_wants(FkConn *c);
/* Bytes, 0 at the end, or FK_CONN_LATER. */
gssize fk_conn_read(FkConn *c, void *to, gsize len);
/* Bytes, FK_CONN_LATER, or FK_CONN_GONE. */
gssize fk_conn_write(FkConn *c, const void *from, gsize len);
gboolean fk_conn_can_read(const FkConn *c);
gboolean fk_conn_can_write(const FkConn *c);
/* The handler has closed its stream, or let go of it. */
void fk_conn_closed(FkConn *c);

/* A stream on a connection: holds a reference to it. */
GIOStream *fk_stream_new(FkConn *c);
