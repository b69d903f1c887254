#include "io/http.h"

struct FkHttp {
  SoupSession *session;
};

typedef struct {
  SoupMessage *message;
  GCancellable *cancel;
  guint timer;
  FkHttpDone done;
  gpointer data;
} Call;

FkHttp *fk_http_new(guint max_conns, guint max_conns_per_host, guint idle_s) {
  FkHttp *h = g_new0(FkHttp, 1);
  h->session = soup_session_new_with_options("max-conns", (int)max_conns, "max-conns-per-host",
                                             (int)max_conns_per_host, "proxy-resolver", NULL, "idle-timeout",
                                             idle_s, "timeout", 0, NULL);
  soup_session_set_proxy_resolver(h->session, NULL);
  return h;
}

void fk_http_free(FkHttp *h) {
  if (!h)
    return;
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

static void finished(GObject *session, GAsyncResult *result, gpointer data) {
  Call *call = data;
  g_autoptr(GError) error = NULL;
  g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  gsize len = 0;
  const char *body = bytes ? g_bytes_get_data(bytes, &len) : "";
  guint status = bytes ? soup_message_get_status(call->message) : 0;
  if (error)
    g_debug("%s: %s", g_uri_get_path(soup_message_get_uri(call->message)), error->message);
  g_clear_handle_id(&call->timer, g_source_remove);
  call->done(call->data, status, body ? body : "", len);
  g_object_unref(call->message);
  g_object_unref(call->cancel);
  g_free(call);
}

void fk_http_call(FkHttp *h, const char *method, const char *addr, const char *path, const char *body,
                  double deadline_s, FkHttpDone done, gpointer data) {
  g_autofree char *url = g_strdup_printf("http://%s%s", addr, path);
  Call *call = g_new0(Call, 1);
  call->message = soup_message_new(method, url);
  if (!call->message) {
    /* an address that isn't one: as good as silent */
    g_warning("not an address: %s", addr);
    g_free(call);
    done(data, 0, "", 0);
    return;
  }
  call->cancel = g_cancellable_new();
  call->done = done;
  call->data = data;
  if (body) {
    g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));
    soup_message_set_request_body_from_bytes(call->message, "application/json", bytes);
  }
  call->timer = g_timeout_add((guint)(deadline_s * 1000), too_late, call);
  soup_session_send_and_read_async(h->session, call->message, G_PRIORITY_DEFAULT, call->cancel, finished,
                                   call);
}
