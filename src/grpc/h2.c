#include "grpc/h2.h"

#include <nghttp2/nghttp2.h>
#include <string.h>

#include "grpc/frames.h"

#define WINDOW_BYTES (1 << 20) /* of a connection and of a stream, inwards */
#define PATH_BYTES_MAX 256
#define KEY_BYTES_MAX 1024
#define STATUS_MESSAGE_BYTES_MAX 1024 /* of a status, before it is encoded */

struct FkRpc {
  FkH2Session *session;
  gint32 id;
  GList session_link;
  char *path, *bearer;
  gsize header_bytes;
  gboolean post, grpc, begun, half_closed, ended, headers_sent, finished;
  FkGrpcFrameParser frames;
  gsize buffered;
  GByteArray *unsent; /* framed, not yet taken by nghttp2 */
  gsize sent;         /* of `out` */
  gboolean wants_writable;
  FkGrpcStatus status;
  char *status_message, *status_details; /* of the status; details in base64 */
  gpointer data;
};

struct FkH2Session {
  nghttp2_session *session;
  FkH2Limits limits;
  const FkH2Callbacks *callbacks;
  gpointer data;
  GQueue calls;
  gsize buffered;
  gboolean broken;
};

/* ------------------------------------------------------------------ calls */

static void rpc_free(FkRpc *r) {
  g_free(r->path);
  g_free(r->bearer);
  g_free(r->status_message);
  g_free(r->status_details);
  fk_grpc_frame_parser_clear(&r->frames);
  g_byte_array_unref(r->unsent);
  g_free(r);
}

static void set_buffered(FkRpc *r, gsize bytes) {
  r->session->buffered += bytes - r->buffered;
  r->buffered = bytes;
}

static void finish_call(FkRpc *r) {
  FkH2Session *h = r->session;
  if (r->finished)
    return;
  r->finished = r->ended = TRUE;
  set_buffered(r, 0);
  if (r->begun)
    h->callbacks->call_ended(h->data, r);
  nghttp2_session_set_stream_user_data(h->session, r->id, NULL);
  g_queue_unlink(&h->calls, &r->session_link);
  rpc_free(r);
}

const char *fk_rpc_path(const FkRpc *r) { return r->path; }
const char *fk_rpc_bearer(const FkRpc *r) { return r->bearer; }
gpointer fk_rpc_data(const FkRpc *r) { return r->data; }
void fk_rpc_set_data(FkRpc *r, gpointer data) { r->data = data; }
gboolean fk_rpc_ended(const FkRpc *r) { return r->ended; }

/* ------------------------------------------------------------------ outwards */

#define NV(n, v)                                                                                             \
  { (guint8 *)(n), (guint8 *)(v), strlen(n), strlen(v), NGHTTP2_NV_FLAG_NONE }

static guint fill_trailers(FkRpc *r, nghttp2_nv *nv, char code[4]) {
  guint n = 0;
  g_snprintf(code, 4, "%d", r->status);
  nv[n++] = (nghttp2_nv)NV("grpc-status", code);
  if (r->status_message)
    nv[n++] = (nghttp2_nv)NV("grpc-message", r->status_message);
  if (r->status_details)
    nv[n++] = (nghttp2_nv)NV("grpc-status-details-bin", r->status_details);
  return n;
}

static ssize_t read_response(nghttp2_session *s, gint32 id, guint8 *to, size_t len, guint32 *flags,
                             nghttp2_data_source *source, void *data) {
  FkRpc *r = source->ptr;
  gsize n = MIN(len, r->unsent->len - r->sent);
  memcpy(to, r->unsent->data + r->sent, n);
  r->sent += n;
  if (r->sent == r->unsent->len) {
    g_byte_array_set_size(r->unsent, 0);
    r->sent = 0;
  }
  if (r->unsent->len == 0 && r->ended) {
    nghttp2_nv nv[3];
    char code[4];
    guint count = fill_trailers(r, nv, code);
    *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
    nghttp2_submit_trailer(s, id, nv, count);
    return (ssize_t)n;
  }
  return n ? (ssize_t)n : NGHTTP2_ERR_DEFERRED;
}

/* The head of the answer, once there is something to say. An answer without a message is one block of
 * headers. */
static void send_response(FkRpc *r) {
  nghttp2_session *s = r->session->session;
  if (r->headers_sent) {
    nghttp2_session_resume_data(s, r->id);
    return;
  }
  r->headers_sent = TRUE;
  nghttp2_nv nv[5] = {NV(":status", "200"), NV("content-type", "application/grpc")};
  if (r->ended && r->unsent->len == 0) {
    char code[4];
    guint n = fill_trailers(r, nv + 2, code);
    nghttp2_submit_response(s, r->id, nv, 2 + n, NULL);
    return;
  }
  nghttp2_data_provider from = {.source.ptr = r, .read_callback = read_response};
  nghttp2_submit_response(s, r->id, nv, 2, &from);
}

gboolean fk_rpc_send(FkRpc *r, const guint8 *bytes, gsize len) {
  guint8 prefix[5];
  if (r->ended)
    return TRUE;
  fk_grpc_frame_prefix(prefix, len);
  g_byte_array_append(r->unsent, prefix, sizeof prefix);
  g_byte_array_append(r->unsent, bytes, (guint)len);
  send_response(r);
  r->wants_writable = r->unsent->len - r->sent >= r->session->limits.queued_bytes;
  return !r->wants_writable;
}

/* A status's text travels percent-encoded. */
static char *percent_encode(const char *text) {
  if (!text || !*text)
    return NULL;
  GString *s = g_string_new("");
  for (gsize i = 0; i < STATUS_MESSAGE_BYTES_MAX && text[i]; i++) {
    guchar c = (guchar)text[i];
    if (c >= 0x20 && c <= 0x7e && c != '%')
      g_string_append_c(s, (char)c);
    else
      g_string_append_printf(s, "%%%02X", c);
  }
  return g_string_free(s, FALSE);
}

void fk_rpc_end(FkRpc *r, FkGrpcStatus status, const char *message, const guint8 *details,
                gsize details_len) {
  if (r->ended)
    return;
  r->ended = TRUE;
  r->status = status;
  r->status_message = percent_encode(message);
  r->status_details = details_len ? g_base64_encode(details, details_len) : NULL;
  send_response(r);
}

/* ------------------------------------------------------------------ inwards */

static FkRpc *call_by_stream(FkH2Session *h, gint32 id) {
  return nghttp2_session_get_stream_user_data(h->session, id);
}

static int on_begin_headers(nghttp2_session *s, const nghttp2_frame *f, void *data) {
  FkH2Session *h = data;
  if (f->hd.type != NGHTTP2_HEADERS || f->headers.cat != NGHTTP2_HCAT_REQUEST)
    return 0;
  FkRpc *r = g_new0(FkRpc, 1);
  r->session = h;
  r->id = f->hd.stream_id;
  r->unsent = g_byte_array_new();
  fk_grpc_frame_parser_init(&r->frames, h->limits.message_bytes);
  r->session_link.data = r;
  g_queue_push_tail_link(&h->calls, &r->session_link);
  nghttp2_session_set_stream_user_data(s, r->id, r);
  return 0;
}

static gboolean equals(const guint8 *name, size_t len, const char *what) {
  return len == strlen(what) && memcmp(name, what, len) == 0;
}

static int on_header(nghttp2_session *s, const nghttp2_frame *f, const guint8 *name, size_t name_len,
                     const guint8 *value, size_t value_len, guint8 flags, void *data) {
  FkH2Session *h = data;
  FkRpc *r = call_by_stream(h, f->hd.stream_id);
  if (!r || r->begun)
    return 0; /* a client's trailers: nothing is expected in them */
  r->header_bytes += name_len + value_len + 32;
  if (r->header_bytes > h->limits.header_bytes)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; /* resets this stream */
  if (equals(name, name_len, ":path") && value_len <= PATH_BYTES_MAX && !r->path)
    r->path = g_strndup((const char *)value, value_len);
  else if (equals(name, name_len, ":method"))
    r->post = equals(value, value_len, "POST");
  else if (equals(name, name_len, "content-type"))
    r->grpc = value_len >= 16 && memcmp(value, "application/grpc", 16) == 0;
  else if (equals(name, name_len, "authorization") && value_len > 7 && value_len <= KEY_BYTES_MAX &&
           g_ascii_strncasecmp((const char *)value, "Bearer ", 7) == 0 && !r->bearer)
    r->bearer = g_strndup((const char *)value + 7, value_len - 7);
  return 0;
}

static int refuse_http(FkRpc *r, const char *status) {
  nghttp2_nv nv[] = {NV(":status", status)};
  r->headers_sent = r->ended = TRUE;
  return nghttp2_submit_response(r->session->session, r->id, nv, 1, NULL);
}

static void begin_call(FkRpc *r) {
  FkH2Session *h = r->session;
  if (!r->post || !r->path) {
    refuse_http(r, "405");
    return;
  }
  if (!r->grpc) {
    refuse_http(r, "415");
    return;
  }
  r->begun = TRUE;
  h->callbacks->call_begun(h->data, r);
}

static void end_of_input(FkRpc *r) {
  FkH2Session *h = r->session;
  if (!r->begun || r->half_closed || r->ended)
    return;
  r->half_closed = TRUE;
  if (!fk_grpc_frame_parser_is_empty(&r->frames))
    fk_rpc_end(r, FK_GRPC_INTERNAL, "the call ends within a message", NULL, 0);
  else
    h->callbacks->half_closed(h->data, r);
}

static int on_frame(nghttp2_session *s, const nghttp2_frame *f, void *data) {
  FkRpc *r = call_by_stream(data, f->hd.stream_id);
  if (!r || (f->hd.type != NGHTTP2_HEADERS && f->hd.type != NGHTTP2_DATA))
    return 0;
  if (f->hd.type == NGHTTP2_HEADERS && f->headers.cat == NGHTTP2_HCAT_REQUEST)
    begin_call(r);
  if (f->hd.flags & NGHTTP2_FLAG_END_STREAM)
    end_of_input(r);
  return 0;
}

static int on_data_chunk(nghttp2_session *s, guint8 flags, gint32 id, const guint8 *bytes, size_t len,
                         void *data) {
  FkH2Session *h = data;
  FkRpc *r = call_by_stream(h, id);
  while (r && r->begun && !r->ended && len) {
    const guint8 *message;
    gsize used, message_len;
    FkGrpcStatus bad = fk_grpc_frame_parser_feed(&r->frames, bytes, len, &used, &message, &message_len);
    if (bad) {
      fk_rpc_end(r, bad,
                 bad == FK_GRPC_UNIMPLEMENTED ? "compressed messages aren't taken" : "a message is too long",
                 NULL, 0);
      break;
    }
    bytes += used;
    len -= used;
    set_buffered(r, message ? 0 : r->frames.bytes->len);
    if (message)
      h->callbacks->message_received(h->data, r, message, message_len);
    else if (h->buffered > h->limits.buffered_bytes)
      fk_rpc_end(r, FK_GRPC_RESOURCE_EXHAUSTED, "too much is held for calls of this connection", NULL, 0);
  }
  return 0;
}

static int on_stream_close(nghttp2_session *s, gint32 id, guint32 why, void *data) {
  FkRpc *r = call_by_stream(data, id);
  if (r)
    finish_call(r);
  return 0;
}

static int on_frame_sent(nghttp2_session *s, const nghttp2_frame *f, void *data) {
  FkH2Session *h = data;
  FkRpc *r = f->hd.type == NGHTTP2_DATA ? call_by_stream(h, f->hd.stream_id) : NULL;
  if (r && r->wants_writable && !r->ended && r->unsent->len - r->sent < h->limits.queued_bytes / 2) {
    r->wants_writable = FALSE;
    h->callbacks->writable(h->data, r);
  }
  return 0;
}

/* ------------------------------------------------------------------ connections */

FkH2Session *fk_h2_session_new(const FkH2Limits *limits, const FkH2Callbacks *calls, gpointer data) {
  FkH2Session *h = g_new0(FkH2Session, 1);
  h->limits = *limits;
  h->callbacks = calls;
  h->data = data;
  nghttp2_session_callbacks *c;
  nghttp2_option *o;
  nghttp2_session_callbacks_new(&c);
  nghttp2_session_callbacks_set_on_begin_headers_callback(c, on_begin_headers);
  nghttp2_session_callbacks_set_on_header_callback(c, on_header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(c, on_frame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(c, on_data_chunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(c, on_stream_close);
  nghttp2_session_callbacks_set_on_frame_send_callback(c, on_frame_sent);
  nghttp2_option_new(&o);
  nghttp2_option_set_max_send_header_block_length(o, 65536);
  nghttp2_session_server_new2(&h->session, c, h, o);
  nghttp2_option_del(o);
  nghttp2_session_callbacks_del(c);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits->streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WINDOW_BYTES},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, (guint32)limits->header_bytes}};
  nghttp2_submit_settings(h->session, NGHTTP2_FLAG_NONE, settings, G_N_ELEMENTS(settings));
  nghttp2_session_set_local_window_size(h->session, NGHTTP2_FLAG_NONE, 0, 4 * WINDOW_BYTES);
  return h;
}

void fk_h2_session_free(FkH2Session *h) {
  if (!h)
    return;
  while (h->calls.head)
    finish_call(h->calls.head->data);
  nghttp2_session_del(h->session);
  g_free(h);
}

gboolean fk_h2_session_receive(FkH2Session *h, const guint8 *bytes, gsize len) {
  if (h->broken)
    return FALSE;
  ssize_t n = nghttp2_session_mem_recv(h->session, bytes, len);
  h->broken = n < 0;
  return !h->broken;
}

gsize fk_h2_session_next_output(FkH2Session *h, const guint8 **bytes) {
  ssize_t n = nghttp2_session_mem_send(h->session, bytes);
  if (n < 0)
    h->broken = TRUE;
  return n > 0 ? (gsize)n : 0;
}

gboolean fk_h2_session_is_done(const FkH2Session *h) {
  return h->broken || (!nghttp2_session_want_read(h->session) && !nghttp2_session_want_write(h->session));
}

void fk_h2_session_goaway(FkH2Session *h) { nghttp2_submit_shutdown_notice(h->session); }

guint fk_h2_session_calls(const FkH2Session *h) { return h->calls.length; }
gsize fk_h2_session_buffered_bytes(const FkH2Session *h) { return h->buffered; }
