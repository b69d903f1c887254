#include "net/http_client.h"

/* A session remembers each host for five minutes, by a timer of the main loop: with a thousand machines that
 * are called now and then, looking through those timers took half of a controller's processor time. So a
 * session for many hosts is given up after so many calls, and its hosts with it. */
#define CALLS_PER_SESSION 32

/* A call that may wait long for an answer (a watch) still has to find the other end, and to read what it says
 * once it speaks, in short times. */
#define CONNECT_TIMEOUT_S 3.0
#define BODY_READ_TIMEOUT_S 3.0
#define READ_BYTES 8192

struct FkHttpClient {
  SoupSession *session;
  guint max_conns, max_conns_per_host, idle_s;
  gsize max_answer;
  gboolean many;
  guint calls;     /* of this session */
  guint under_way; /* no more than max_conns */
  GQueue waiting;  /* Call */
};

typedef struct {
  FkHttpClient *http;
  SoupSession *session; /* kept until the call is over */
  SoupMessage *message;
  GCancellable *cancel;
  guint timer;
  double deadline_s;
  gint64 begun_us;
  GInputStream *stream; /* of the answer */
  GByteArray *answer;
  gsize had; /* bytes of it before the read under way */
  FkHttpCallback done;
  gpointer data;
} Call;

static void call_free(Call *call) {
  g_object_unref(call->message);
  g_clear_object(&call->cancel);
  g_clear_object(&call->session);
  g_clear_object(&call->stream);
  if (call->answer)
    g_byte_array_unref(call->answer);
  g_free(call);
}

static void open_session(FkHttpClient *h) {
  h->session = soup_session_new_with_options("max-conns", (int)h->max_conns, "max-conns-per-host",
                                             (int)h->max_conns_per_host, "proxy-resolver", NULL,
                                             "idle-timeout", h->idle_s, "timeout", 0, NULL);
  soup_session_set_proxy_resolver(h->session, NULL);
  h->calls = 0;
}

/* Calls under way keep the session that they began in. */
static void renew_session(FkHttpClient *h) {
  g_object_unref(h->session);
  open_session(h);
}

FkHttpClient *fk_http_client_new(guint max_conns, guint max_conns_per_host, guint idle_s, gsize max_answer) {
  FkHttpClient *h = g_new0(FkHttpClient, 1);
  h->max_conns = max_conns;
  h->max_conns_per_host = max_conns_per_host;
  h->idle_s = idle_s;
  h->max_answer = max_answer;
  g_queue_init(&h->waiting);
  open_session(h);
  return h;
}

FkHttpClient *fk_http_client_new_for_many_hosts(guint max_conns, gsize max_answer) {
  FkHttpClient *h = fk_http_client_new(max_conns, 2, 1, max_answer);
  h->many = TRUE;
  return h;
}

void fk_http_client_free(FkHttpClient *h) {
  if (!h)
    return;
  g_queue_clear_full(&h->waiting, (GDestroyNotify)call_free);
  soup_session_abort(h->session);
  g_object_unref(h->session);
  g_free(h);
}

static gboolean on_timeout(gpointer data) {
  Call *call = data;
  call->timer = 0;
  g_cancellable_cancel(call->cancel);
  return G_SOURCE_REMOVE;
}

/* From now on so many seconds, but never past the deadline of the whole. */
static void restart_timer(Call *call, double seconds) {
  double left = call->deadline_s - (double)(g_get_monotonic_time() - call->begun_us) / 1e6;
  g_clear_handle_id(&call->timer, g_source_remove);
  call->timer = g_timeout_add((guint)(CLAMP(left, 0, seconds) * 1000), on_timeout, call);
}

static void begin(Call *call);

static void finish(Call *call, guint status, const GError *error) {
  FkHttpClient *h = call->http;
  if (error)
    g_debug("%s: %s", g_uri_get_path(soup_message_get_uri(call->message)), error->message);
  g_clear_handle_id(&call->timer, g_source_remove);
  h->under_way--;
  const char *body = status && call->answer ? (const char *)call->answer->data : "";
  call->done(call->data, status, body, status && call->answer ? call->answer->len : 0);
  call_free(call);
  while (h->under_way < h->max_conns && !g_queue_is_empty(&h->waiting))
    begin(g_queue_pop_head(&h->waiting));
}

/* What is too long isn't read on: cancelling closes the connection. */
static void fail_too_long(Call *call) {
  GUri *uri = soup_message_get_uri(call->message);
  g_warning("%s:%d%s: the answer is over %" G_GSIZE_FORMAT " bytes; it was thrown away", g_uri_get_host(uri),
            g_uri_get_port(uri), g_uri_get_path(uri), call->http->max_answer);
  g_cancellable_cancel(call->cancel);
  finish(call, 0, NULL);
}

static void read_body(Call *call, gsize room);

static void on_body_read(GObject *stream, GAsyncResult *result, gpointer data) {
  Call *call = data;
  g_autoptr(GError) error = NULL;
  gssize n = g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &error);
  g_byte_array_set_size(call->answer, (guint)(call->had + (gsize)MAX(0, n)));
  if (n < 0)
    finish(call, 0, error);
  else if (n == 0)
    finish(call, soup_message_get_status(call->message), NULL);
  else if (call->answer->len > call->http->max_answer)
    fail_too_long(call);
  else
    read_body(call, MAX(READ_BYTES,
                        call->answer->len)); /* grows by half at the most: long ones aren't copied often */
}

static void read_body(Call *call, gsize room) {
  call->had = call->answer->len;
  room = MIN(room, call->http->max_answer + 1 - call->had);
  g_byte_array_set_size(call->answer, (guint)(call->had + room));
  g_input_stream_read_async(call->stream, call->answer->data + call->had, room, G_PRIORITY_DEFAULT,
                            call->cancel, on_body_read, call);
}

static void on_head_received(GObject *session, GAsyncResult *result, gpointer data) {
  Call *call = data;
  g_autoptr(GError) error = NULL;
  call->stream = soup_session_send_finish(SOUP_SESSION(session), result, &error);
  if (!call->stream) {
    finish(call, 0, error);
    return;
  }
  SoupMessageHeaders *head = soup_message_get_response_headers(call->message);
  gboolean known = soup_message_headers_get_encoding(head) == SOUP_ENCODING_CONTENT_LENGTH;
  goffset length = known ? soup_message_headers_get_content_length(head) : 0;
  if (length > (goffset)call->http->max_answer) {
    fail_too_long(call);
    return;
  }
  if (call->deadline_s > BODY_READ_TIMEOUT_S)
    restart_timer(call, BODY_READ_TIMEOUT_S);
  call->answer = g_byte_array_new();
  read_body(call, known ? (gsize)length + 1 : READ_BYTES);
}

static void on_network_event(SoupMessage *message, GSocketClientEvent event, GIOStream *connection,
                             gpointer data) {
  Call *call = data;
  if (event == G_SOCKET_CLIENT_CONNECTING)
    restart_timer(call, CONNECT_TIMEOUT_S);
  else if (event == G_SOCKET_CLIENT_CONNECTED)
    restart_timer(call, call->deadline_s);
}

static void begin(Call *call) {
  FkHttpClient *h = call->http;
  h->under_way++;
  if (h->many && h->calls++ >= CALLS_PER_SESSION)
    renew_session(h);
  call->session = g_object_ref(h->session);
  call->cancel = g_cancellable_new();
  call->begun_us = g_get_monotonic_time();
  call->timer = g_timeout_add((guint)(call->deadline_s * 1000), on_timeout, call);
  if (call->deadline_s > CONNECT_TIMEOUT_S)
    g_signal_connect(call->message, "network-event", G_CALLBACK(on_network_event), call);
  soup_session_send_async(h->session, call->message, G_PRIORITY_DEFAULT, call->cancel, on_head_received,
                          call);
}

/* The session would answer a 421 by sending the request again, without its body: its own handler of the end
 * of such an answer, connected later than this one, never hears of it. */
static void keep_misdirected(SoupMessage *message, gpointer unused) {
  g_signal_stop_emission_by_name(message, "got-body");
}

void fk_http_client_call(FkHttpClient *h, const char *method, const char *addr, const char *path,
                         const char *body, double deadline_s, FkHttpCallback done, gpointer data) {
  g_autofree char *url = g_strdup_printf("http://%s%s", addr, path);
  SoupMessage *message = soup_message_new(method, url);
  if (!message) {
    /* an address that isn't one: as good as silent */
    g_warning("not an address: %s", addr);
    done(data, 0, "", 0);
    return;
  }
  if (body) {
    g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  }
  soup_message_add_status_code_handler(message, "got-body", SOUP_STATUS_MISDIRECTED_REQUEST,
                                       G_CALLBACK(keep_misdirected), NULL);
  if (h->many)
    soup_message_headers_replace(soup_message_get_request_headers(message), "Connection", "close");
  Call *call = g_new0(Call, 1);
  call->http = h;
  call->message = message;
  call->deadline_s = deadline_s;
  call->done = done;
  call->data = data;
  /* what waits for its turn isn't late yet: nobody has been asked */
  if (h->under_way < h->max_conns)
    begin(call);
  else
    g_queue_push_tail(&h->waiting, call);
}
