#include "grpc/h2.h"

#include <nghttp2/nghttp2.h>
#include <string.h>

#include "grpc/frames.h"

#define WINDOW (1 << 20) /* of a connection and of a stream, inwards */
#define PATH_MAX_LEN 256
#define KEY_MAX_LEN 1024
#define MESSAGE_TEXT_MAX 1024 /* of a status, before it is encoded */

struct FkRpc {
  FkH2 *h;
  gint32 id;
  GList link;
  char *path, *bearer;
  gsize header_bytes;
  gboolean post, grpc, begun, half, ended, answered, over;
  FkFrames frames;
  gsize held;
  GByteArray *out; /* framed, not yet taken by nghttp2 */
  gsize sent;      /* of `out` */
  gboolean wants_room;
  FkGrpc status;
  char *text, *details; /* of the status; details in base64 */
  gpointer data;
};

struct FkH2 {
  nghttp2_session *session;
  FkH2Limits limits;
  const FkH2Calls *calls;
  gpointer data;
  GQueue rpcs;
  gsize held;
  gboolean broken;
};

/* ------------------------------------------------------------------ calls */

static void rpc_free(FkRpc *r) {
  g_free(r->path);
  g_free(r->bearer);
  g_free(r->text);
  g_free(r->details);
  fk_frames_clear(&r->frames);
  g_byte_array_unref(r->out);
  g_free(r);
}

static void set_held(FkRpc *r, gsize bytes) {
  r->h->held += bytes - r->held;
  r->held = bytes;
}

static void finish(FkRpc *r) {
  FkH2 *h = r->h;
  if (r->over)
    return;
  r->over = r->ended = TRUE;
  set_held(r, 0);
  if (r->begun)
    h->calls->over(h->data, r);
  nghttp2_session_set_stream_user_data(h->session, r->id, NULL);
  g_queue_unlink(&h->rpcs, &r->link);
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

static guint trailers(FkRpc *r, nghttp2_nv *nv, char code[4]) {
  guint n = 0;
  g_snprintf(code, 4, "%d", r->status);
  nv[n++] = (nghttp2_nv)NV("grpc-status", code);
  if (r->text)
    nv[n++] = (nghttp2_nv)NV("grpc-message", r->text);
  if (r->details)
    nv[n++] = (nghttp2_nv)NV("grpc-status-details-bin", r->details);
  return n;
}

static ssize_t read_out(nghttp2_session *s, gint32 id, guint8 *to, size_t len, guint32 *flags,
                        nghttp2_data_source *source, void *data) {
  FkRpc *r = source->ptr;
  gsize n = MIN(len, r->out->len - r->sent);
  memcpy(to, r->out->data + r->sent, n);
  r->sent += n;
  if (r->sent == r->out->len) {
    g_byte_array_set_size(r->out, 0);
    r->sent = 0;
  }
  if (r->out->len == 0 && r->ended) {
    nghttp2_nv nv[3];
    char code[4];
    guint count = trailers(r, nv, code);
    *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
    nghttp2_submit_trailer(s, id, nv, count);
    return (ssize_t)n;
  }
  return n ? (ssize_t)n : NGHTTP2_ERR_DEFERRED;
}

/* The head of the answer, once there is something to say. An answer without a message is one block of
 * headers. */
static void answer(FkRpc *r) {
  nghttp2_session *s = r->h->session;
  if (r->answered) {
    nghttp2_session_resume_data(s, r->id);
    return;
  }
  r->answered = TRUE;
  nghttp2_nv nv[5] = {NV(":status", "200"), NV("content-type", "application/grpc")};
  if (r->ended && r->out->len == 0) {
    char code[4];
    guint n = trailers(r, nv + 2, code);
    nghttp2_submit_response(s, r->id, nv, 2 + n, NULL);
    return;
  }
  nghttp2_data_provider from = {.source.ptr = r, .read_callback = read_out};
  nghttp2_submit_response(s, r->id, nv, 2, &from);
}

gboolean fk_rpc_send(FkRpc *r, const guint8 *bytes, gsize len) {
  guint8 prefix[5];
  if (r->ended)
    return TRUE;
  fk_frames_prefix(prefix, len);
  g_byte_array_append(r->out, prefix, sizeof prefix);
  g_byte_array_append(r->out, bytes, (guint)len);
  answer(r);
  r->wants_room = r->out->len - r->sent >= r->h->limits.queued;
  return !r->wants_room;
}

/* A status's text travels percent-encoded. */
static char *encoded(const char *text) {
  if (!text || !*text)
    return NULL;
  GString *s = g_string_new("");
  for (gsize i = 0; i < MESSAGE_TEXT_MAX && text[i]; i++) {
    guchar c = (guchar)text[i];
    if (c >= 0x20 && c <= 0x7e && c != '%')
      g_string_append_c(s, (char)c);
    else
      g_string_append_printf(s, "%%%02X", c);
  }
  return g_string_free(s, FALSE);
}

void fk_rpc_end(FkRpc *r, FkGrpc status, const char *message, const guint8 *details, gsize details_len) {
  if (r->ended)
    return;
  r->ended = TRUE;
  r->status = status;
  r->text = encoded(message);
  r->details = details_len ? g_base64_encode(details, details_len) : NULL;
  answer(r);
}

/* ------------------------------------------------------------------ inwards */

static FkRpc *rpc_of(FkH2 *h, gint32 id) { return nghttp2_session_get_stream_user_data(h->session, id); }

static int on_begin_headers(nghttp2_session *s, const nghttp2_frame *f, void *data) {
  FkH2 *h = data;
  if (f->hd.type != NGHTTP2_HEADERS || f->headers.cat != NGHTTP2_HCAT_REQUEST)
    return 0;
  FkRpc *r = g_new0(FkRpc, 1);
  r->h = h;
  r->id = f->hd.stream_id;
  r->out = g_byte_array_new();
  fk_frames_init(&r->frames, h->limits.message);
  r->link.data = r;
  g_queue_push_tail_link(&h->rpcs, &r->link);
  nghttp2_session_set_stream_user_data(s, r->id, r);
  return 0;
}

static gboolean is(const guint8 *name, size_t len, const char *what) {
  return len == strlen(what) && memcmp(name, what, len) == 0;
}

static int on_header(nghttp2_session *s, const nghttp2_frame *f, const guint8 *name, size_t name_len,
                     const guint8 *value, size_t value_len, guint8 flags, void *data) {
  FkH2 *h = data;
  FkRpc *r = rpc_of(h, f->hd.stream_id);
  if (!r || r->begun)
    return 0; /* a client's trailers: nothing is expected in them */
  r->header_bytes += name_len + value_len + 32;
  if (r->header_bytes > h->limits.header_bytes)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; /* resets this stream */
  if (is(name, name_len, ":path") && value_len <= PATH_MAX_LEN && !r->path)
    r->path = g_strndup((const char *)value, value_len);
  else if (is(name, name_len, ":method"))
    r->post = is(value, value_len, "POST");
  else if (is(name, name_len, "content-type"))
    r->grpc = value_len >= 16 && memcmp(value, "application/grpc", 16) == 0;
  else if (is(name, name_len, "authorization") && value_len > 7 && value_len <= KEY_MAX_LEN &&
           g_ascii_strncasecmp((const char *)value, "Bearer ", 7) == 0 && !r->bearer)
    r->bearer = g_strndup((const char *)value + 7, value_len - 7);
  return 0;
}

static int refuse_http(FkRpc *r, const char *status) {
  nghttp2_nv nv[] = {NV(":status", status)};
  r->answered = r->ended = TRUE;
  return nghttp2_submit_response(r->h->session, r->id, nv, 1, NULL);
}

static void begin(FkRpc *r) {
  FkH2 *h = r->h;
  if (!r->post || !r->path) {
    refuse_http(r, "405");
    return;
  }
  if (!r->grpc) {
    refuse_http(r, "415");
    return;
  }
  r->begun = TRUE;
  h->calls->begin(h->data, r);
}

static void said_all(FkRpc *r) {
  FkH2 *h = r->h;
  if (!r->begun || r->half || r->ended)
    return;
  r->half = TRUE;
  if (!fk_frames_empty(&r->frames))
    fk_rpc_end(r, FK_GRPC_INTERNAL, "the call ends within a message", NULL, 0);
  else
    h->calls->half(h->data, r);
}

static int on_frame(nghttp2_session *s, const nghttp2_frame *f, void *data) {
  FkRpc *r = rpc_of(data, f->hd.stream_id);
  if (!r || (f->hd.type != NGHTTP2_HEADERS && f->hd.type != NGHTTP2_DATA))
    return 0;
  if (f->hd.type == NGHTTP2_HEADERS && f->headers.cat == NGHTTP2_HCAT_REQUEST)
    begin(r);
  if (f->hd.flags & NGHTTP2_FLAG_END_STREAM)
    said_all(r);
  return 0;
}

static int on_data(nghttp2_session *s, guint8 flags, gint32 id, const guint8 *bytes, size_t len, void *data) {
  FkH2 *h = data;
  FkRpc *r = rpc_of(h, id);
  while (r && r->begun && !r->ended && len) {
    const guint8 *message;
    gsize used, message_len;
    FkGrpc bad = fk_frames_feed(&r->frames, bytes, len, &used, &message, &message_len);
    if (bad) {
      fk_rpc_end(r, bad,
                 bad == FK_GRPC_UNIMPLEMENTED ? "compressed messages aren't taken" : "a message is too long",
                 NULL, 0);
      break;
    }
    bytes += used;
    len -= used;
    set_held(r, message ? 0 : r->frames.bytes->len);
    if (message)
      h->calls->message(h->data, r, message, message_len);
    else if (h->held > h->limits.held)
      fk_rpc_end(r, FK_GRPC_RESOURCE_EXHAUSTED, "too much is held for calls of this connection", NULL, 0);
  }
  return 0;
}

static int on_close(nghttp2_session *s, gint32 id, guint32 why, void *data) {
  FkRpc *r = rpc_of(data, id);
  if (r)
    finish(r);
  return 0;
}

static int on_sent(nghttp2_session *s, const nghttp2_frame *f, void *data) {
  FkH2 *h = data;
  FkRpc *r = f->hd.type == NGHTTP2_DATA ? rpc_of(h, f->hd.stream_id) : NULL;
  if (r && r->wants_room && !r->ended && r->out->len - r->sent < h->limits.queued / 2) {
    r->wants_room = FALSE;
    h->calls->room(h->data, r);
  }
  return 0;
}

/* ------------------------------------------------------------------ connections */

FkH2 *fk_h2_new(const FkH2Limits *limits, const FkH2Calls *calls, gpointer data) {
  FkH2 *h = g_new0(FkH2, 1);
  h->limits = *limits;
  h->calls = calls;
  h->data = data;
  nghttp2_session_callbacks *c;
  nghttp2_option *o;
  nghttp2_session_callbacks_new(&c);
  nghttp2_session_callbacks_set_on_begin_headers_callback(c, on_begin_headers);
  nghttp2_session_callbacks_set_on_header_callback(c, on_header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(c, on_frame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(c, on_data);
  nghttp2_session_callbacks_set_on_stream_close_callback(c, on_close);
  nghttp2_session_callbacks_set_on_frame_send_callback(c, on_sent);
  nghttp2_option_new(&o);
  nghttp2_option_set_max_send_header_block_length(o, 65536);
  nghttp2_session_server_new2(&h->session, c, h, o);
  nghttp2_option_del(o);
  nghttp2_session_callbacks_del(c);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits->streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WINDOW},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, (guint32)limits->header_bytes}};
  nghttp2_submit_settings(h->session, NGHTTP2_FLAG_NONE, settings, G_N_ELEMENTS(settings));
  nghttp2_session_set_local_window_size(h->session, NGHTTP2_FLAG_NONE, 0, 4 * WINDOW);
  return h;
}

void fk_h2_free(FkH2 *h) {
  if (!h)
    return;
  while (h->rpcs.head)
    finish(h->rpcs.head->data);
  nghttp2_session_del(h->session);
  g_free(h);
}

gboolean fk_h2_receive(FkH2 *h, const guint8 *bytes, gsize len) {
  if (h->broken)
    return FALSE;
  ssize_t n = nghttp2_session_mem_recv(h->session, bytes, len);
  h->broken = n < 0;
  return !h->broken;
}

gsize fk_h2_next(FkH2 *h, const guint8 **bytes) {
  ssize_t n = nghttp2_session_mem_send(h->session, bytes);
  if (n < 0)
    h->broken = TRUE;
  return n > 0 ? (gsize)n : 0;
}

gboolean fk_h2_done(const FkH2 *h) {
  return h->broken || (!nghttp2_session_want_read(h->session) && !nghttp2_session_want_write(h->session));
}

void fk_h2_goaway(FkH2 *h) { nghttp2_submit_shutdown_notice(h->session); }

guint fk_h2_calls(const FkH2 *h) { return h->rpcs.length; }
gsize fk_h2_held(const FkH2 *h) { return h->held; }
