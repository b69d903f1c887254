/* The server's side of gRPC over HTTP/2, on nghttp2: bytes in, calls out, bytes out. No sockets, no clock.
 * One FkH2Session a connection, one FkRpc a call (an HTTP/2 stream). */
#pragma once
#include <glib.h>

#include "grpc/status.h"

typedef struct FkH2Session FkH2Session;
typedef struct FkRpc FkRpc;

typedef struct {
  guint streams;        /* calls at once */
  gsize message_bytes;  /* bytes of one message inwards */
  gsize buffered_bytes; /* bytes of half messages inwards, all calls of the connection together */
  gsize queued_bytes;   /* bytes outwards after which a call's writer is told to wait */
  gsize header_bytes;   /* names and values of one call's head */
} FkH2Limits;

typedef struct {
  /* A call has begun: its path and its bearer key (NULL: none) are known. */
  void (*call_begun)(gpointer data, FkRpc *r);
  /* A whole message came; the bytes are the callee's until it returns. */
  void (*message_received)(gpointer data, FkRpc *r, const guint8 *bytes, gsize len);
  /* The client has said all. */
  void (*half_closed)(gpointer data, FkRpc *r);
  /* What was queued is mostly gone: there is room for more. */
  void (*writable)(gpointer data, FkRpc *r);
  /* The call is over for whatever reason, or the client reset it. The last word about it. */
  void (*call_ended)(gpointer data, FkRpc *r);
} FkH2Callbacks;

/* `data` goes into every callback; `calls` is kept by reference. */
FkH2Session *fk_h2_session_new(const FkH2Limits *limits, const FkH2Callbacks *calls, gpointer data);
void fk_h2_session_free(FkH2Session *h);
/* FALSE: the other end breaks the protocol; send what is left, then close. */
gboolean fk_h2_session_receive(FkH2Session *h, const guint8 *bytes, gsize len);
/* The next bytes to be sent; they belong to `h` until the next call. 0: none. */
gsize fk_h2_session_next_output(FkH2Session *h, const guint8 **bytes);
/* Neither reads nor writes any more: close. */
gboolean fk_h2_session_is_done(const FkH2Session *h);
/* No further calls are taken; those under way end as they do. */
void fk_h2_session_goaway(FkH2Session *h);
guint fk_h2_session_calls(const FkH2Session *h);
gsize fk_h2_session_buffered_bytes(const FkH2Session *h);

/* Of a call. Strings are the call's. */
const char *fk_rpc_path(const FkRpc *r);
const char *fk_rpc_bearer(const FkRpc *r);
gpointer fk_rpc_data(const FkRpc *r);
void fk_rpc_set_data(FkRpc *r, gpointer data);
/* Queues one message (copied). FALSE: there is enough queued now, wait for `room`. Nothing after end(). */
gboolean fk_rpc_send(FkRpc *r, const guint8 *bytes, gsize len);
/* The final status, after what is queued. `message` may be NULL; `details`: a serialized google.rpc.Status,
 * or none (len 0). Only the first counts. */
void fk_rpc_end(FkRpc *r, FkGrpcStatus status, const char *message, const guint8 *details, gsize details_len);
gboolean fk_rpc_ended(const FkRpc *r);
