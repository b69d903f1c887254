/* The server's side of gRPC over HTTP/2, on nghttp2: received bytes go in, calls and bytes to be sent come
 * out. No sockets and no clock. One FkH2Session a connection, one FkRpc a call (an HTTP/2 stream). */
#pragma once
#include <glib.h>

#include "grpc/status.h"

typedef struct FkH2Session FkH2Session;
typedef struct FkRpc FkRpc;

typedef struct {
  guint streams;        /* calls at once */
  gsize message_bytes;  /* of one message of a client */
  gsize buffered_bytes; /* of incomplete messages, all calls of the connection together */
  gsize queued_bytes;   /* of a call's responses; its owner is told to wait when there are more */
  gsize header_bytes;   /* of a request's head */
} FkH2Limits;

/* What the owner of a session is told. `data` is the session's. */
typedef struct {
  /* A call has begun: its path and its bearer key are known. */
  void (*call_begun)(gpointer data, FkRpc *rpc);
  /* A whole message came; the bytes are valid until the callback returns. */
  void (*message_received)(gpointer data, FkRpc *rpc, const guint8 *bytes, gsize len);
  /* The client won't send any more. */
  void (*half_closed)(gpointer data, FkRpc *rpc);
  /* After fk_rpc_send() has returned FALSE: most of what was queued is sent. */
  void (*writable)(gpointer data, FkRpc *rpc);
  /* The call is over, or the client has reset it; `rpc` isn't valid any more. The last callback of a call. */
  void (*call_ended)(gpointer data, FkRpc *rpc);
} FkH2Callbacks;

/* `callbacks` is kept by reference. */
FkH2Session *fk_h2_session_new(const FkH2Limits *limits, const FkH2Callbacks *callbacks, gpointer data);
/* Ends all calls. NULL is fine. */
void fk_h2_session_free(FkH2Session *session);
/* FALSE: the client violates the protocol. What is left is to be sent, and the connection closed. */
gboolean fk_h2_session_receive(FkH2Session *session, const guint8 *bytes, gsize len);
/* The next bytes to be sent, the session's until the next call. Returns how many; 0: none. */
gsize fk_h2_session_next_output(FkH2Session *session, const guint8 **bytes);
/* Neither side has more to say: the connection is to be closed. */
gboolean fk_h2_session_is_done(const FkH2Session *session);
/* Takes no further calls; those in progress go on. */
void fk_h2_session_goaway(FkH2Session *session);
/* Calls in progress. */
guint fk_h2_session_calls(const FkH2Session *session);
/* Bytes of incomplete messages. */
gsize fk_h2_session_buffered_bytes(const FkH2Session *session);

/* ---- calls ---- */

/* The path, "/package.Service/Method"; the call's. */
const char *fk_rpc_path(const FkRpc *rpc);
/* The key of "authorization: Bearer KEY", the call's; NULL: there is none. */
const char *fk_rpc_bearer(const FkRpc *rpc);
/* The owner's, NULL at first. */
gpointer fk_rpc_data(const FkRpc *rpc);
void fk_rpc_set_data(FkRpc *rpc, gpointer data);
/* Queues one message (copied). FALSE: enough is queued, wait for `writable`. Ignored after fk_rpc_end(). */
gboolean fk_rpc_send(FkRpc *rpc, const guint8 *bytes, gsize len);
/* Sets the status, which is sent after what is queued; only the first counts. `message` may be NULL;
 * `details`: a serialized google.rpc.Status, or none (length 0). */
void fk_rpc_end(FkRpc *rpc, FkGrpcStatus status, const char *message, const guint8 *details,
                gsize details_len);
/* fk_rpc_end() was called. */
gboolean fk_rpc_ended(const FkRpc *rpc);
