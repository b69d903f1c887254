#include "net/http_client.h"

/* A libsoup session keeps a record of each host for five minutes, with a timer in the main loop. With a
 * thousand workers called occasionally, these timers took half of a controller's CPU time. A session for many
 * hosts is therefore replaced after this number of calls, which drops its host records. */
#define CALLS_PER_SESSION 32

/* A watch has a long deadline and may wait that long for the head of the response. Connecting, and reading
 * the body, have these shorter limits. */
#define CONNECT_TIMEOUT_S 3.0
#define BODY_READ_TIMEOUT_S 3.0
#define READ_BYTES 8192

struct FkHttpClient {
  SoupSession *session;
  guint connections_max, connections_per_host_max, idle_s;
  gsize response_bytes_max;
  gboolean many_hosts;
  guint calls;       /* calls begun in `session`; counted only by a client for many hosts */
  guint in_progress; /* calls, at most connections_max */
  GQueue waiting;    /* Call, not begun yet */
};

typedef struct {
  FkHttpClient *client;
  SoupSession *session; /* session in which the call began; the client may have replaced it since */
  SoupMessage *message;
  GCancellable *cancellable;
  guint timer;
  double deadline_s;
  gint64 begun_us;
  GInputStream *stream; /* the response's body; NULL until its head is received */
  GByteArray *body;
  gsize received_before; /* bytes in `body` before the read in progress */
  FkHttpCallback callback;
  gpointer data;
} Call;

static void call_free(Call *call) {
  g_object_unref(call->message);
  g_clear_object(&call->cancellable);
  g_clear_object(&call->session);
  g_clear_object(&call->stream);
  if (call->body)
    g_byte_array_unref(call->body);
  g_free(call);
}

static void open_session(FkHttpClient *client) {
  client->session = soup_session_new_with_options(
      "max-conns", (int)client->connections_max, "max-conns-per-host", (int)client->connections_per_host_max,
      "proxy-resolver", NULL, "idle-timeout", client->idle_s, "timeout", 0, NULL);
  soup_session_set_proxy_resolver(client->session, NULL);
  client->calls = 0;
}

/* Replaces the session. Calls in progress keep a reference to the session in which they began. */
static void replace_session(FkHttpClient *client) {
  g_object_unref(client->session);
  open_session(client);
}

FkHttpClient *fk_http_client_new(guint connections_max, guint connections_per_host_max, guint idle_s,
                                 gsize response_bytes_max) {
  FkHttpClient *client = g_new0(FkHttpClient, 1);
  client->connections_max = connections_max;
  client->connections_per_host_max = connections_per_host_max;
  client->idle_s = idle_s;
  client->response_bytes_max = response_bytes_max;
  g_queue_init(&client->waiting);
  open_session(client);
  return client;
}

FkHttpClient *fk_http_client_new_for_many_hosts(guint connections_max, gsize response_bytes_max) {
  FkHttpClient *client = fk_http_client_new(connections_max, 2, 1, response_bytes_max);
  client->many_hosts = TRUE;
  return client;
}

void fk_http_client_free(FkHttpClient *client) {
  if (!client)
    return;
  g_queue_clear_full(&client->waiting, (GDestroyNotify)call_free);
  soup_session_abort(client->session);
  g_object_unref(client->session);
  g_free(client);
}

static gboolean on_timeout(gpointer data) {
  Call *call = data;
  call->timer = 0;
  g_cancellable_cancel(call->cancellable);
  return G_SOURCE_REMOVE;
}

/* Limits the next phase of a call (connecting, waiting for the head, reading the body) to `seconds`, or to
 * the time left until its deadline if that is shorter. */
static void restart_timer(Call *call, double seconds) {
  double left = call->deadline_s - (double)(g_get_monotonic_time() - call->begun_us) / 1e6;
  g_clear_handle_id(&call->timer, g_source_remove);
  call->timer = g_timeout_add((guint)(CLAMP(left, 0, seconds) * 1000), on_timeout, call);
}

static void begin_call(Call *call);

static void finish_call(Call *call, guint status, const GError *error) {
  FkHttpClient *client = call->client;
  if (error)
    g_debug("call failed path=%s error=\"%s\"", g_uri_get_path(soup_message_get_uri(call->message)),
            error->message);
  g_clear_handle_id(&call->timer, g_source_remove);
  client->in_progress--;
  const char *body = status && call->body ? (const char *)call->body->data : "";
  call->callback(call->data, status, body, status && call->body ? call->body->len : 0);
  call_free(call);
  while (client->in_progress < client->connections_max && !g_queue_is_empty(&client->waiting))
    begin_call(g_queue_pop_head(&client->waiting));
}

/* Fails a call whose response is too long. The rest is not read: cancelling closes the connection. */
static void fail_too_long(Call *call) {
  GUri *uri = soup_message_get_uri(call->message);
  g_warning("response too long, discarded url=http://%s:%d%s bytes_max=%" G_GSIZE_FORMAT, g_uri_get_host(uri),
            g_uri_get_port(uri), g_uri_get_path(uri), call->client->response_bytes_max);
  g_cancellable_cancel(call->cancellable);
  finish_call(call, 0, NULL);
}

static void read_body(Call *call, gsize bytes);

static void on_body_read(GObject *stream, GAsyncResult *result, gpointer data) {
  Call *call = data;
  g_autoptr(GError) error = NULL;
  gssize len = g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &error);
  g_byte_array_set_size(call->body, (guint)(call->received_before + (gsize)MAX(0, len)));
  if (len < 0)
    finish_call(call, 0, error);
  else if (len == 0)
    finish_call(call, soup_message_get_status(call->message), NULL);
  else if (call->body->len > call->client->response_bytes_max)
    fail_too_long(call);
  else
    read_body(call, MAX(READ_BYTES,
                        call->body->len)); /* doubling the buffer bounds how often a long body is copied */
}

static void read_body(Call *call, gsize bytes) {
  call->received_before = call->body->len;
  bytes = MIN(bytes, call->client->response_bytes_max + 1 - call->received_before);
  g_byte_array_set_size(call->body, (guint)(call->received_before + bytes));
  g_input_stream_read_async(call->stream, call->body->data + call->received_before, bytes, G_PRIORITY_DEFAULT,
                            call->cancellable, on_body_read, call);
}

static void on_head_received(GObject *session, GAsyncResult *result, gpointer data) {
  Call *call = data;
  g_autoptr(GError) error = NULL;
  call->stream = soup_session_send_finish(SOUP_SESSION(session), result, &error);
  if (!call->stream) {
    finish_call(call, 0, error);
    return;
  }
  SoupMessageHeaders *head = soup_message_get_response_headers(call->message);
  gboolean known = soup_message_headers_get_encoding(head) == SOUP_ENCODING_CONTENT_LENGTH;
  goffset length = known ? soup_message_headers_get_content_length(head) : 0;
  if (length > (goffset)call->client->response_bytes_max) {
    fail_too_long(call);
    return;
  }
  if (call->deadline_s > BODY_READ_TIMEOUT_S)
    restart_timer(call, BODY_READ_TIMEOUT_S);
  call->body = g_byte_array_new();
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

static void begin_call(Call *call) {
  FkHttpClient *client = call->client;
  client->in_progress++;
  if (client->many_hosts && client->calls++ >= CALLS_PER_SESSION)
    replace_session(client);
  call->session = g_object_ref(client->session);
  call->cancellable = g_cancellable_new();
  call->begun_us = g_get_monotonic_time();
  call->timer = g_timeout_add((guint)(call->deadline_s * 1000), on_timeout, call);
  if (call->deadline_s > CONNECT_TIMEOUT_S)
    g_signal_connect(call->message, "network-event", G_CALLBACK(on_network_event), call);
  soup_session_send_async(client->session, call->message, G_PRIORITY_DEFAULT, call->cancellable,
                          on_head_received, call);
}

/* Prevents libsoup from sending the request again, without its body, after a 421 response. libsoup's own
 * "got-body" handler was connected after this one, so stopping the signal keeps it from running. */
static void suppress_421_resend(SoupMessage *message, gpointer unused) {
  g_signal_stop_emission_by_name(message, "got-body");
}

void fk_http_client_call(FkHttpClient *client, const char *method, const char *addr, const char *path,
                         const char *body, double deadline_s, FkHttpCallback callback, gpointer data) {
  g_autofree char *url = g_strdup_printf("http://%s%s", addr, path);
  SoupMessage *message = soup_message_new(method, url);
  if (!message) {
    g_warning("call failed reason=\"invalid address, expected IP:PORT\" address=\"%s\"", addr);
    callback(data, 0, "", 0);
    return;
  }
  if (body) {
    g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  }
  soup_message_add_status_code_handler(message, "got-body", SOUP_STATUS_MISDIRECTED_REQUEST,
                                       G_CALLBACK(suppress_421_resend), NULL);
  if (client->many_hosts)
    soup_message_headers_replace(soup_message_get_request_headers(message), "Connection", "close");
  Call *call = g_new0(Call, 1);
  call->client = client;
  call->message = message;
  call->deadline_s = deadline_s;
  call->callback = callback;
  call->data = data;
  /* the deadline counts from when the call begins, not from when it is queued */
  if (client->in_progress < client->connections_max)
    begin_call(call);
  else
    g_queue_push_tail(&client->waiting, call);
}
