/* One connection that a server has accepted: its requests are read whole, its handler reads them through a
 * stream (net/stream.h), and what the handler writes is sent. Not blocking, reference counted; private to
 * src/net. */
#pragma once
#include <gio/gio.h>
#include <sys/socket.h>

#include "admission/admission.h"
#include "net/listener_handler.h"

typedef struct FkConnection FkConnection;

/* The server that a connection belongs to. */
typedef struct {
  FkAdmission *admission;
  /* A request is complete, and waits for fk_connection_release(). */
  void (*request_complete)(gpointer server, FkConnection *connection, FkRequestClass request_class);
  /* The handler has written: fk_connection_flush() is to be called before the main loop waits. */
  void (*output_pending)(gpointer server, FkConnection *connection);
  /* A descriptor has become free. */
  void (*socket_closed)(gpointer server);
  /* The connection is over, and the server's reference to it is to be given back. */
  void (*removed)(gpointer server, FkConnection *connection);
  gpointer server;
} FkConnectionOwner;

FkConnection *fk_connection_ref(FkConnection *connection);
void fk_connection_unref(FkConnection *connection);

/* ---- the server's side ---- */
/* Takes `fd`. `handler` and `owner` are kept by reference until the connection is detached. */
FkConnection *fk_connection_new(int fd, const struct sockaddr_storage *remote, GSocketAddress *local,
                                const FkListenerHandler *handler, const FkConnectionOwner *owner);
/* Closes the socket of a connection that never came under admission control, and gives the reference back. */
void fk_connection_abandon(FkConnection *connection);
/* Puts it under admission control; `address`: the remote one, without the port. */
void fk_connection_admit(FkConnection *connection, const char *address);
/* The connection with that slot. */
FkConnection *fk_connection_from_slot(FkConnectionSlot *slot);
/* The kernel reports these epoll events. */
void fk_connection_on_events(FkConnection *connection, guint32 events);
/* Lets the handler read the request that is complete. TRUE: it is the first, and the handler has no stream of
 * this connection yet. */
gboolean fk_connection_release(FkConnection *connection);
/* Sends what the handler has written, as far as the socket takes it. */
void fk_connection_flush(FkConnection *connection);
/* Answers a connection that admission control ends with the rejection; it lingers then. */
void fk_connection_send_rejection(FkConnection *connection, const FkRejection *rejection);
/* A request that its handler has keeps its place in admission control until the handler lets go of it: what
 * it costs isn't over because the client has gone. */
void fk_connection_close_socket(FkConnection *connection);
/* The server is freed: closes the socket, and takes the connection out of admission control. The handler's
 * stream is at its end. */
void fk_connection_detach(FkConnection *connection);

const FkListenerHandler *fk_connection_handler(const FkConnection *connection);
/* To be unreffed. */
GSocketAddress *fk_connection_remote_address(const FkConnection *connection);
/* The connection's own. */
GSocketAddress *fk_connection_local_address(const FkConnection *connection);

/* ---- the stream's side ---- */
#define FK_CONNECTION_WOULD_BLOCK (-1)
#define FK_CONNECTION_BROKEN (-2)

/* The handler is about to wait for input: if it has responded, the request is over. */
void fk_connection_want_read(FkConnection *connection);
/* Bytes, 0 at the end, or FK_CONNECTION_WOULD_BLOCK. */
gssize fk_connection_read(FkConnection *connection, void *to, gsize len);
/* Bytes, FK_CONNECTION_WOULD_BLOCK, or FK_CONNECTION_BROKEN. */
gssize fk_connection_write(FkConnection *connection, const void *from, gsize len);
gboolean fk_connection_can_read(const FkConnection *connection);
gboolean fk_connection_can_write(const FkConnection *connection);
/* The handler has closed its stream, or let go of it. */
void fk_connection_stream_closed(FkConnection *connection);
