#include "grpc/h2.h"

#include <nghttp2/nghttp2.h>
#include <string.h>

#include "grpc/frames.h"

/* HTTP/2 flow-control windows for data from the client. */
#define STREAM_WINDOW_BYTES (1 << 20)
#define CONNECTION_WINDOW_BYTES (4 * STREAM_WINDOW_BYTES)
#define PATH_BYTES_MAX 256
#define KEY_BYTES_MAX 1024
#define STATUS_MESSAGE_BYTES_MAX 1024 /* before percent-encoding */
#define SENT_HEADER_BYTES_MAX 65536
#define HEADER_OVERHEAD_BYTES 32 /* added for each header field, as in HPACK (RFC 7541, 4.1) */
/* room for three digits and the terminating zero; gRPC codes have at most two digits */
#define STATUS_CODE_CHARS 4

#define CONTENT_TYPE "application/grpc"
#define BEARER "Bearer "

struct FkRpc {
  FkH2Session *session;
  gint32 id;
  GList session_link;
  char *path, *bearer;
  gsize header_bytes;
  gboolean is_post, is_grpc;
  gboolean begun;        /* call_begun() was called */
  gboolean half_closed;  /* the client has closed its side of the call */
  gboolean ended;        /* fk_rpc_end() was called, an HTTP error was sent, or the stream is closed */
  gboolean headers_sent; /* the response was submitted to nghttp2 */
  gboolean finished;     /* finish_call() has run */
  FkGrpcFrameParser frames;
  gsize buffered;          /* bytes of the incomplete message */
  GByteArray *unsent;      /* framed messages that nghttp2 has not read completely */
  gsize sent;              /* bytes of `unsent` that nghttp2 has read */
  gboolean wants_writable; /* fk_rpc_send() returned FALSE, and writable() was not called since */
  FkGrpcStatus status;
  char *status_message; /* percent-encoded, or NULL */
  char *status_details; /* base64, or NULL */
  gpointer data;        /* the owner's pointer, see fk_rpc_set_data() */
};

struct FkH2Session {
  nghttp2_session *nghttp2;
  FkH2Limits limits;
  const FkH2Callbacks *callbacks;
  gpointer data;
  GQueue calls;    /* FkRpc whose stream is open */
  gsize buffered;  /* bytes of the incomplete messages of all calls */
  gboolean broken; /* nghttp2 has failed, usually because the client violated the protocol */
};

/* ------------------------------------------------------------------ calls */

static void rpc_free(FkRpc *rpc) {
  g_free(rpc->path);
  g_free(rpc->bearer);
  g_free(rpc->status_message);
  g_free(rpc->status_details);
  fk_grpc_frame_parser_clear(&rpc->frames);
  g_byte_array_unref(rpc->unsent);
  g_free(rpc);
}

static void set_buffered(FkRpc *rpc, gsize bytes) {
  rpc->session->buffered += bytes - rpc->buffered;
  rpc->buffered = bytes;
}

static void finish_call(FkRpc *rpc) {
  FkH2Session *session = rpc->session;
  if (rpc->finished)
    return;
  rpc->finished = rpc->ended = TRUE;
  set_buffered(rpc, 0);
  if (rpc->begun)
    session->callbacks->call_ended(session->data, rpc);
  nghttp2_session_set_stream_user_data(session->nghttp2, rpc->id, NULL);
  g_queue_unlink(&session->calls, &rpc->session_link);
  rpc_free(rpc);
}

const char *fk_rpc_path(const FkRpc *rpc) { return rpc->path; }
const char *fk_rpc_bearer(const FkRpc *rpc) { return rpc->bearer; }
gpointer fk_rpc_data(const FkRpc *rpc) { return rpc->data; }
void fk_rpc_set_data(FkRpc *rpc, gpointer data) { rpc->data = data; }
gboolean fk_rpc_ended(const FkRpc *rpc) { return rpc->ended; }

/* ------------------------------------------------------------------ responses */

#define NV(n, v)                                                                                             \
  { (guint8 *)(n), (guint8 *)(v), strlen(n), strlen(v), NGHTTP2_NV_FLAG_NONE }

/* Fills in up to three trailer fields and returns their number. `code` must stay valid as long as the fields.
 */
static guint fill_trailers(FkRpc *rpc, nghttp2_nv *nv, char code[STATUS_CODE_CHARS]) {
  guint n = 0;
  g_snprintf(code, STATUS_CODE_CHARS, "%d", rpc->status);
  nv[n++] = (nghttp2_nv)NV("grpc-status", code);
  if (rpc->status_message)
    nv[n++] = (nghttp2_nv)NV("grpc-message", rpc->status_message);
  if (rpc->status_details)
    nv[n++] = (nghttp2_nv)NV("grpc-status-details-bin", rpc->status_details);
  return n;
}

/* nghttp2 data source callback: supplies the next part of a response's body. Appends the trailers once the
 * call has ended and its queue is empty. Defers the body if the queue is empty but the call has not ended. */
static ssize_t read_response(nghttp2_session *nghttp2, gint32 id, guint8 *to, size_t len, guint32 *flags,
                             nghttp2_data_source *source, void *data) {
  FkRpc *rpc = source->ptr;
  gsize n = MIN(len, rpc->unsent->len - rpc->sent);
  memcpy(to, rpc->unsent->data + rpc->sent, n);
  rpc->sent += n;
  if (rpc->sent == rpc->unsent->len) {
    g_byte_array_set_size(rpc->unsent, 0);
    rpc->sent = 0;
  }
  if (rpc->unsent->len == 0 && rpc->ended) {
    nghttp2_nv nv[3];
    char code[STATUS_CODE_CHARS];
    guint count = fill_trailers(rpc, nv, code);
    *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
    nghttp2_submit_trailer(nghttp2, id, nv, count);
    return (ssize_t)n;
  }
  return n ? (ssize_t)n : NGHTTP2_ERR_DEFERRED;
}

/* Submits the response, or resumes it if it was submitted before. The response of a call that has ended
 * without a message is a single block of headers. */
static void send_response(FkRpc *rpc) {
  nghttp2_session *nghttp2 = rpc->session->nghttp2;
  if (rpc->headers_sent) {
    nghttp2_session_resume_data(nghttp2, rpc->id);
    return;
  }
  rpc->headers_sent = TRUE;
  nghttp2_nv nv[5] = {NV(":status", "200"), NV("content-type", CONTENT_TYPE)};
  if (rpc->ended && rpc->unsent->len == 0) {
    char code[STATUS_CODE_CHARS];
    guint n = fill_trailers(rpc, nv + 2, code);
    nghttp2_submit_response(nghttp2, rpc->id, nv, 2 + n, NULL);
    return;
  }
  nghttp2_data_provider from = {.source.ptr = rpc, .read_callback = read_response};
  nghttp2_submit_response(nghttp2, rpc->id, nv, 2, &from);
}

gboolean fk_rpc_send(FkRpc *rpc, const guint8 *bytes, gsize len) {
  guint8 prefix[FK_GRPC_FRAME_PREFIX_BYTES];
  if (rpc->ended)
    return TRUE;
  fk_grpc_frame_prefix(prefix, len);
  g_byte_array_append(rpc->unsent, prefix, sizeof prefix);
  g_byte_array_append(rpc->unsent, bytes, (guint)len);
  send_response(rpc);
  rpc->wants_writable = rpc->unsent->len - rpc->sent >= rpc->session->limits.queued_bytes;
  return !rpc->wants_writable;
}

/* Percent-encodes the first STATUS_MESSAGE_BYTES_MAX bytes of a status message, for the grpc-message header.
 * Returns a string that the caller frees; NULL if `text` is NULL or empty. */
static char *percent_encode(const char *text) {
  if (!text || !*text)
    return NULL;
  GString *encoded = g_string_new("");
  for (gsize i = 0; i < STATUS_MESSAGE_BYTES_MAX && text[i]; i++) {
    guchar byte = (guchar)text[i];
    if (byte >= 0x20 && byte <= 0x7e && byte != '%')
      g_string_append_c(encoded, (char)byte);
    else
      g_string_append_printf(encoded, "%%%02X", byte);
  }
  return g_string_free(encoded, FALSE);
}

void fk_rpc_end(FkRpc *rpc, FkGrpcStatus status, const char *message, const guint8 *details,
                gsize details_len) {
  if (rpc->ended)
    return;
  rpc->ended = TRUE;
  rpc->status = status;
  rpc->status_message = percent_encode(message);
  rpc->status_details = details_len ? g_base64_encode(details, details_len) : NULL;
  send_response(rpc);
}

/* ------------------------------------------------------------------ requests */

static FkRpc *call_by_stream(FkH2Session *session, gint32 id) {
  return nghttp2_session_get_stream_user_data(session->nghttp2, id);
}

static int on_begin_headers(nghttp2_session *nghttp2, const nghttp2_frame *frame, void *data) {
  FkH2Session *session = data;
  if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST)
    return 0;
  FkRpc *rpc = g_new0(FkRpc, 1);
  rpc->session = session;
  rpc->id = frame->hd.stream_id;
  rpc->unsent = g_byte_array_new();
  fk_grpc_frame_parser_init(&rpc->frames, session->limits.message_bytes);
  rpc->session_link.data = rpc;
  g_queue_push_tail_link(&session->calls, &rpc->session_link);
  nghttp2_session_set_stream_user_data(nghttp2, rpc->id, rpc);
  return 0;
}

static gboolean equals(const guint8 *bytes, size_t len, const char *text) {
  return len == strlen(text) && memcmp(bytes, text, len) == 0;
}

static gboolean has_prefix(const guint8 *bytes, size_t len, const char *prefix) {
  return len >= strlen(prefix) && g_ascii_strncasecmp((const char *)bytes, prefix, strlen(prefix)) == 0;
}

/* Stores a request's header field if this module uses it; ignores any other field. */
static void store_header_field(FkRpc *rpc, const guint8 *name, size_t name_len, const guint8 *value,
                               size_t value_len) {
  if (equals(name, name_len, ":path") && value_len <= PATH_BYTES_MAX && !rpc->path)
    rpc->path = g_strndup((const char *)value, value_len);
  else if (equals(name, name_len, ":method"))
    rpc->is_post = equals(value, value_len, "POST");
  else if (equals(name, name_len, "content-type"))
    rpc->is_grpc =
        value_len >= strlen(CONTENT_TYPE) && memcmp(value, CONTENT_TYPE, strlen(CONTENT_TYPE)) == 0;
  else if (equals(name, name_len, "authorization") && value_len > strlen(BEARER) &&
           value_len <= KEY_BYTES_MAX && has_prefix(value, value_len, BEARER) && !rpc->bearer)
    rpc->bearer = g_strndup((const char *)value + strlen(BEARER), value_len - strlen(BEARER));
}

static int on_header(nghttp2_session *nghttp2, const nghttp2_frame *frame, const guint8 *name,
                     size_t name_len, const guint8 *value, size_t value_len, guint8 flags, void *data) {
  FkH2Session *session = data;
  FkRpc *rpc = call_by_stream(session, frame->hd.stream_id);
  if (!rpc || rpc->begun)
    return 0; /* an unknown stream, or the client's trailers, which are ignored */
  rpc->header_bytes += name_len + value_len + HEADER_OVERHEAD_BYTES;
  if (rpc->header_bytes > session->limits.header_bytes)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; /* resets this stream only */
  store_header_field(rpc, name, name_len, value, value_len);
  return 0;
}

static int respond_http_error(FkRpc *rpc, const char *status) {
  nghttp2_nv nv[] = {NV(":status", status)};
  rpc->headers_sent = rpc->ended = TRUE;
  return nghttp2_submit_response(rpc->session->nghttp2, rpc->id, nv, 1, NULL);
}

static void begin_call(FkRpc *rpc) {
  FkH2Session *session = rpc->session;
  if (!rpc->is_post || !rpc->path) {
    respond_http_error(rpc, "405");
    return;
  }
  if (!rpc->is_grpc) {
    respond_http_error(rpc, "415");
    return;
  }
  rpc->begun = TRUE;
  session->callbacks->call_begun(session->data, rpc);
}

static void end_of_input(FkRpc *rpc) {
  FkH2Session *session = rpc->session;
  if (!rpc->begun || rpc->half_closed || rpc->ended)
    return;
  rpc->half_closed = TRUE;
  if (!fk_grpc_frame_parser_is_empty(&rpc->frames))
    fk_rpc_end(rpc, FK_GRPC_INTERNAL, "the call ends within a message", NULL, 0);
  else
    session->callbacks->half_closed(session->data, rpc);
}

static int on_frame_received(nghttp2_session *nghttp2, const nghttp2_frame *frame, void *data) {
  FkRpc *rpc = call_by_stream(data, frame->hd.stream_id);
  if (!rpc || (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA))
    return 0;
  if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
    begin_call(rpc);
  if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM)
    end_of_input(rpc);
  return 0;
}

static int on_data_chunk(nghttp2_session *nghttp2, guint8 flags, gint32 id, const guint8 *bytes, size_t len,
                         void *data) {
  FkH2Session *session = data;
  FkRpc *rpc = call_by_stream(session, id);
  while (rpc && rpc->begun && !rpc->ended && len) {
    const guint8 *message;
    gsize used, message_len;
    FkGrpcStatus error_status =
        fk_grpc_frame_parser_feed(&rpc->frames, bytes, len, &used, &message, &message_len);
    if (error_status) {
      fk_rpc_end(rpc, error_status,
                 error_status == FK_GRPC_UNIMPLEMENTED ? "compressed messages aren't taken"
                                                       : "a message is too long",
                 NULL, 0);
      break;
    }
    bytes += used;
    len -= used;
    set_buffered(rpc, message ? 0 : rpc->frames.bytes->len);
    if (message)
      session->callbacks->message_received(session->data, rpc, message, message_len);
    else if (session->buffered > session->limits.buffered_bytes)
      fk_rpc_end(rpc, FK_GRPC_RESOURCE_EXHAUSTED, "too much is held for calls of this connection", NULL, 0);
  }
  return 0;
}

static int on_stream_close(nghttp2_session *nghttp2, gint32 id, guint32 error_code, void *data) {
  FkRpc *rpc = call_by_stream(data, id);
  if (rpc)
    finish_call(rpc);
  return 0;
}

static int on_frame_sent(nghttp2_session *nghttp2, const nghttp2_frame *frame, void *data) {
  FkH2Session *session = data;
  FkRpc *rpc = frame->hd.type == NGHTTP2_DATA ? call_by_stream(session, frame->hd.stream_id) : NULL;
  if (rpc && rpc->wants_writable && !rpc->ended &&
      rpc->unsent->len - rpc->sent < session->limits.queued_bytes / 2) {
    rpc->wants_writable = FALSE;
    session->callbacks->writable(session->data, rpc);
  }
  return 0;
}

/* ------------------------------------------------------------------ the session */

static nghttp2_session *new_nghttp2_session(FkH2Session *session) {
  nghttp2_session *nghttp2;
  nghttp2_session_callbacks *handlers;
  nghttp2_option *options;
  nghttp2_session_callbacks_new(&handlers);
  nghttp2_session_callbacks_set_on_begin_headers_callback(handlers, on_begin_headers);
  nghttp2_session_callbacks_set_on_header_callback(handlers, on_header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(handlers, on_frame_received);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(handlers, on_data_chunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(handlers, on_stream_close);
  nghttp2_session_callbacks_set_on_frame_send_callback(handlers, on_frame_sent);
  nghttp2_option_new(&options);
  nghttp2_option_set_max_send_header_block_length(options, SENT_HEADER_BYTES_MAX);
  nghttp2_session_server_new2(&nghttp2, handlers, session, options);
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(handlers);
  return nghttp2;
}

FkH2Session *fk_h2_session_new(const FkH2Limits *limits, const FkH2Callbacks *callbacks, gpointer data) {
  FkH2Session *session = g_new0(FkH2Session, 1);
  session->limits = *limits;
  session->callbacks = callbacks;
  session->data = data;
  session->nghttp2 = new_nghttp2_session(session);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits->streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, STREAM_WINDOW_BYTES},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, (guint32)limits->header_bytes}};
  nghttp2_submit_settings(session->nghttp2, NGHTTP2_FLAG_NONE, settings, G_N_ELEMENTS(settings));
  nghttp2_session_set_local_window_size(session->nghttp2, NGHTTP2_FLAG_NONE, 0, CONNECTION_WINDOW_BYTES);
  return session;
}

void fk_h2_session_free(FkH2Session *session) {
  if (!session)
    return;
  while (session->calls.head)
    finish_call(session->calls.head->data);
  nghttp2_session_del(session->nghttp2);
  g_free(session);
}

gboolean fk_h2_session_receive(FkH2Session *session, const guint8 *bytes, gsize len) {
  if (session->broken)
    return FALSE;
  ssize_t n = nghttp2_session_mem_recv(session->nghttp2, bytes, len);
  session->broken = n < 0;
  return !session->broken;
}

gsize fk_h2_session_next_output(FkH2Session *session, const guint8 **bytes) {
  ssize_t n = nghttp2_session_mem_send(session->nghttp2, bytes);
  if (n < 0)
    session->broken = TRUE;
  return n > 0 ? (gsize)n : 0;
}

gboolean fk_h2_session_is_done(const FkH2Session *session) {
  return session->broken ||
         (!nghttp2_session_want_read(session->nghttp2) && !nghttp2_session_want_write(session->nghttp2));
}

void fk_h2_session_goaway(FkH2Session *session) { nghttp2_submit_shutdown_notice(session->nghttp2); }

guint fk_h2_session_calls(const FkH2Session *session) { return session->calls.length; }
gsize fk_h2_session_buffered_bytes(const FkH2Session *session) { return session->buffered; }
