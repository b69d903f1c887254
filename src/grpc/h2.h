/* The server side of gRPC over HTTP/2, on nghttp2. The input is received bytes; the output is calls, and
 * bytes to be sent. The module uses no sockets and no clock. There is one FkH2Session per connection and one
 * FkRpc per call (an HTTP/2 stream). */
#pragma once
#include <glib.h>

#include "grpc/status.h"

typedef struct FkH2Session FkH2Session;
typedef struct FkRpc FkRpc;

typedef struct {
  guint streams;        /* concurrent calls of a connection */
  gsize message_bytes;  /* maximum length of a message from a client */
  gsize buffered_bytes; /* maximum of incomplete messages, all calls of a connection together */
  gsize queued_bytes;   /* fk_rpc_send() returns FALSE once a call has queued this many bytes */
  gsize header_bytes;   /* maximum size of the header fields of a request */
} FkH2Limits;

/* Callbacks to the owner of a session. `data` is the pointer given to fk_h2_session_new(). */
typedef struct {
  /* A gRPC call has begun. Its path and its bearer key are available. */
  void (*call_begun)(gpointer data, FkRpc *rpc);
  /* A whole message was received. `bytes` is valid until the callback returns. */
  void (*message_received)(gpointer data, FkRpc *rpc, const guint8 *bytes, gsize len);
  /* The client has closed its side of the call after its last complete message. */
  void (*half_closed)(gpointer data, FkRpc *rpc);
  /* Called after the latest fk_rpc_send() returned FALSE, as soon as fewer than half of `queued_bytes` are
   * still queued for the call. Not called after fk_rpc_end(). */
  void (*writable)(gpointer data, FkRpc *rpc);
  /* The call is over: its stream is closed, or the session is being freed. This is the last callback of a
   * call. `rpc` is freed when it returns. */
  void (*call_ended)(gpointer data, FkRpc *rpc);
} FkH2Callbacks;

/* Creates a session. `limits` is copied; `callbacks` is kept by reference. */
FkH2Session *fk_h2_session_new(const FkH2Limits *limits, const FkH2Callbacks *callbacks, gpointer data);
/* Ends all calls and frees the session. `session` may be NULL. */
void fk_h2_session_free(FkH2Session *session);
/* Processes received bytes. Returns FALSE if the client violates the protocol or the session has failed
 * before. The caller must then send the remaining output and close the connection. */
gboolean fk_h2_session_receive(FkH2Session *session, const guint8 *bytes, gsize len);
/* Sets `bytes` to the next bytes to be sent, which the session owns; they are valid until the next call.
 * Returns their number; 0 if there are none. */
gsize fk_h2_session_next_output(FkH2Session *session, const guint8 **bytes);
/* Returns whether the connection must be closed: the session has failed, or neither expects input nor has
 * output. */
gboolean fk_h2_session_is_done(const FkH2Session *session);
/* Queues a GOAWAY frame that asks the client to open no further calls. Calls in progress continue. */
void fk_h2_session_goaway(FkH2Session *session);
/* Returns the number of calls whose stream is open. */
guint fk_h2_session_calls(const FkH2Session *session);
/* Returns the number of buffered bytes of incomplete messages, of all calls. */
gsize fk_h2_session_buffered_bytes(const FkH2Session *session);

/* ---- calls ---- */

/* Returns the path, "/package.Service/Method", which the call owns. */
const char *fk_rpc_path(const FkRpc *rpc);
/* Returns the key from the header field "authorization: Bearer KEY"; the call owns the string. NULL if the
 * request has no such field, or if the field's value is longer than 1024 bytes. */
const char *fk_rpc_bearer(const FkRpc *rpc);
/* Returns the pointer that the owner has set with fk_rpc_set_data(); NULL if it has set none. */
gpointer fk_rpc_data(const FkRpc *rpc);
void fk_rpc_set_data(FkRpc *rpc, gpointer data);
/* Queues a copy of one message. Returns FALSE if `queued_bytes` or more are queued: the caller should then
 * wait for the `writable` callback. Does nothing and returns TRUE after fk_rpc_end(). */
gboolean fk_rpc_send(FkRpc *rpc, const guint8 *bytes, gsize len);
/* Sets the call's status, which is sent after the queued messages. Has no effect if the status is set
 * already. `message` may be NULL. `details` is a serialized google.rpc.Status; `details_len` is 0 if there is
 * none. */
void fk_rpc_end(FkRpc *rpc, FkGrpcStatus status, const char *message, const guint8 *details,
                gsize details_len);
/* Returns whether the call has its status: fk_rpc_end() was called, or the stream is closed. */
gboolean fk_rpc_ended(const FkRpc *rpc);
