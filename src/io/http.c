#include "io/http.h"

/* A session remembers each host for five minutes, by a timer of the main loop: with a thousand machines that
 * are called now and then, looking through those timers took half of a controller's processor time. So a
 * session for many hosts is given up after so many calls, and its hosts with it. */
#define CALLS_A_SESSION 32

struct FkHttp {
  SoupSession *session;
  guint max_conns, max_conns_per_host, idle_s;
  gboolean many;
  guint calls;     /* of this session */
  guint under_way; /* no more than max_conns */
  GQueue waiting;  /* Call */
};

typedef struct {
  FkHttp *http;
  SoupSession *session; /* kept until the call is over */
  SoupMessage *message;
  GCancellable *cancel;
  guint timer;
  double deadline_s;
  FkHttpDone done;
  gpointer data;
} Call;

static void call_free(Call *call) {
  g_object_unref(call->message);
  g_clear_object(&call->cancel);
  g_clear_object(&call->session);
  g_free(call);
}

static void open_session(FkHttp *h) {
  h->session = soup_session_new_with_options("max-conns", (int)h->max_conns, "max-conns-per-host",
                                             (int)h->max_conns_per_host, "proxy-resolver", NULL,
                                             "idle-timeout", h->idle_s, "timeout", 0, NULL);
  soup_session_set_proxy_resolver(h->session, NULL);
  h->calls = 0;
}

/* Calls under way keep the session that they began in. */
static void renew_session(FkHttp *h) {
  g_object_unref(h->session);
  open_session(h);
}

FkHttp *fk_http_new(guint max_conns, guint max_conns_per_host, guint idle_s) {
  FkHttp *h = g_new0(FkHttp, 1);
  h->max_conns = max_conns;
  h->max_conns_per_host = max_conns_per_host;
  h->idle_s = idle_s;
  g_queue_init(&h->waiting);
  open_session(h);
  return h;
}

FkHttp *fk_http_new_many(guint max_conns) {
  FkHttp *h = fk_http_new(max_conns, 2, 1);
  h->many = TRUE;
  return h;
}

void fk_http_free(FkHttp *h) {
  if (!h)
    return;
  g_queue_clear_full(&h->waiting, (GDestroyNotify)call_free);
  soup_session_abort(h->session);
  g_object_unref(h->session);
  g_free(h);
}

static gboolean too_late(gpointer data) {
  Call *call = data;
  call->timer = 0;
  g_cancellable_cancel(call->cancel);
  return G_SOURCE_REMOVE;
}

static void begin(Call *call);

static void finished(GObject *session, GAsyncResult *result, gpointer data) {
  Call *call = data;
  FkHttp *h = call->http;
  g_autoptr(GError) error = NULL;
  g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  gsize len = 0;
  const char *body = bytes ? g_bytes_get_data(bytes, &len) : "";
  guint status = bytes ? soup_message_get_status(call->message) : 0;
  if (error)
    g_debug("%s: %s", g_uri_get_path(soup_message_get_uri(call->message)), error->message);
  g_clear_handle_id(&call->timer, g_source_remove);
  h->under_way--;
  call->done(call->data, status, body ? body : "", len);
  call_free(call);
  while (h->under_way < h->max_conns && !g_queue_is_empty(&h->waiting))
    begin(g_queue_pop_head(&h->waiting));
}

static void begin(Call *call) {
  FkHttp *h = call->http;
  h->under_way++;
  if (h->many && h->calls++ >= CALLS_A_SESSION)
    renew_session(h);
  call->session = g_object_ref(h->session);
  call->cancel = g_cancellable_new();
  call->timer = g_timeout_add((guint)(call->deadline_s * 1000), too_late, call);
  soup_session_send_and_read_async(h->session, call->message, G_PRIORITY_DEFAULT, call->cancel, finished,
                                   call);
}

void fk_http_call(FkHttp *h, const char *method, const char *addr, const char *path, const char *body,
                  double deadline_s, FkHttpDone done, gpointer data) {
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
