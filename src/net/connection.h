/* One connection as its handler's stream sees it. Private to door.c and stream.c. */
#pragma once
#include <gio/gio.h>

typedef struct FkConnection FkConnection;

#define FK_CONNECTION_WOULD_BLOCK (-1)
#define FK_CONNECTION_BROKEN (-2)

FkConnection *fk_connection_ref(FkConnection *c);
void fk_connection_unref(FkConnection *c);
/* The handler is about to wait for something to read. */
void fk_connection_want_read(FkConnection *c);
/* Bytes, 0 at the end, or FK_CONNECTION_WOULD_BLOCK. */
gssize fk_connection_read(FkConnection *c, void *to, gsize len);
/* Bytes, FK_CONNECTION_WOULD_BLOCK, or FK_CONNECTION_BROKEN. */
gssize fk_connection_write(FkConnection *c, const void *from, gsize len);
gboolean fk_connection_can_read(const FkConnection *c);
gboolean fk_connection_can_write(const FkConnection *c);
/* The handler has closed its stream, or let go of it. */
void fk_connection_stream_closed(FkConnection *c);

/* A stream on a connection: holds a reference to it. */
GIOStream *fk_stream_new(FkConnection *c);
