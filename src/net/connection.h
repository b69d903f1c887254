/* A connection that a server has accepted. An HTTP/1 request is received whole before its handler reads it;
 * a raw connection (see FkListenerHandler) passes bytes through as they arrive. The handler reads and writes
 * through a stream (net/stream.h). All operations are non-blocking. Connections are reference counted, and
 * private to src/net. */
#pragma once
#include <gio/gio.h>
#include <sys/socket.h>

#include "admission/admission.h"
#include "net/listener_handler.h"

typedef struct FkConnection FkConnection;

/* The server that a connection belongs to. */
typedef struct {
  FkAdmission *admission;
  /* Called when a request has been received whole. The request waits until the owner calls
   * fk_connection_release(). For a raw connection, called once, when its first input arrives. */
  void (*request_complete)(gpointer server, FkConnection *connection, FkRequestClass request_class);
  /* Called when the handler has written output. The owner must call fk_connection_flush() before the main
   * loop waits. The callback is not repeated before that. */
  void (*output_pending)(gpointer server, FkConnection *connection);
  /* Called when a connection under admission control has closed its socket: a file descriptor is free. */
  void (*socket_closed)(gpointer server);
  /* Called when the connection has ended and has left admission control. The owner must release its
   * reference. */
  void (*removed)(gpointer server, FkConnection *connection);
  gpointer server; /* passed to the callbacks */
} FkConnectionOwner;

FkConnection *fk_connection_ref(FkConnection *connection);
void fk_connection_unref(FkConnection *connection);

/* ---- calls by the server ---- */
/* Creates a connection, which takes ownership of `fd`. `handler` and `owner` are kept by reference until the
 * connection is detached. */
FkConnection *fk_connection_new(int fd, const struct sockaddr_storage *remote, GSocketAddress *local,
                                const FkListenerHandler *handler, const FkConnectionOwner *owner);
/* Closes the socket of a connection that was never put under admission control. Releases the caller's
 * reference. */
void fk_connection_abandon(FkConnection *connection);
/* Puts the connection under admission control. `address` is the remote address without the port. */
void fk_connection_admit(FkConnection *connection, const char *address);
/* Returns the connection that contains `slot`. */
FkConnection *fk_connection_from_slot(FkConnectionSlot *slot);
/* Handles epoll events of the connection's socket. */
void fk_connection_on_events(FkConnection *connection, guint32 events);
/* Lets the handler read the complete request. Returns TRUE if it is the first request of the connection: the
 * caller must then give the handler a stream. Returns FALSE for a later request, and if the connection was
 * closed while the request was queued. */
gboolean fk_connection_release(FkConnection *connection);
/* Sends the handler's output until the socket would block. */
void fk_connection_flush(FkConnection *connection);
/* Sends a rejection to a connection that admission control has put into FK_STAGE_LINGERING. Closes the socket
 * if that fails. */
void fk_connection_send_rejection(FkConnection *connection, const FkRejection *rejection);
/* Closes the socket. If the handler has a request in progress, the connection stays under admission control
 * until the handler closes its stream: the cost of a request does not end when the client disconnects. */
void fk_connection_close_socket(FkConnection *connection);
/* Closes the socket and takes the connection out of admission control, because the server is being freed. The
 * handler's stream then reads end of file, after any unread rest of its request. */
void fk_connection_detach(FkConnection *connection);

/* Returns the handler; NULL after fk_connection_detach(). */
const FkListenerHandler *fk_connection_handler(const FkConnection *connection);
/* Returns the remote address, which the caller must unref. */
GSocketAddress *fk_connection_remote_address(const FkConnection *connection);
/* Returns the address of the listening socket, which the connection owns. */
GSocketAddress *fk_connection_local_address(const FkConnection *connection);

/* ---- calls by the stream ---- */
#define FK_CONNECTION_WOULD_BLOCK (-1)
#define FK_CONNECTION_BROKEN (-2)

/* Records that the handler is about to wait for input. Ends the request if the handler has read all of it and
 * has begun a response. Has no effect on a raw connection. */
void fk_connection_want_read(FkConnection *connection);
/* Returns the number of bytes read, 0 at end of file, or FK_CONNECTION_WOULD_BLOCK. */
gssize fk_connection_read(FkConnection *connection, void *to, gsize len);
/* Queues bytes to be sent. Returns how many it has queued, FK_CONNECTION_WOULD_BLOCK, or
 * FK_CONNECTION_BROKEN if the handler can no longer write. */
gssize fk_connection_write(FkConnection *connection, const void *from, gsize len);
/* Returns whether the handler has input to read, or will get no more. */
gboolean fk_connection_can_read(const FkConnection *connection);
/* Returns whether the output queue has room, or the handler can no longer write. */
gboolean fk_connection_can_write(const FkConnection *connection);
/* Records that the handler has closed its stream or released its last reference to it. */
void fk_connection_stream_closed(FkConnection *connection);
