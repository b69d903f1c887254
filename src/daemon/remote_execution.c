#include "daemon/remote_execution.h"

#include <glib/gstdio.h>

#include "net/h2_connection.h"
#include "net/server.h"
#include "remote_execution/cache_service.h"

#define KEYS_CHECK_S 2 /* interval at which the keys file is checked for changes */
#define BYTES_PER_GB 1073741824.0

/* Resources from which the limits of admission control are derived. The values are larger than needed: the
 * settings already limit the number of connections, and the limits of HTTP/2 (fk_cache_service_h2_limits())
 * bound the memory. */
#define SOCKETS_PER_CONNECTION 4
#define SPARE_SOCKETS 100
#define RAM_UNBOUNDED_MB 1e6

struct FkRemoteExecution {
  const FkRemoteExecutionSettings *settings;
  GThread *thread;
  /* While the thread runs, only the thread uses the fields below, except that fk_remote_execution_stop()
   * attaches a source to `context` that quits `loop`. */
  GMainContext *context;
  GMainLoop *loop;
  FkServer *server;
  FkCacheService *service;
  gint64 keys_modified_ns;
  GHashTable *connections; /* set of the open connections (FkH2Connection) */
};

/* ------------------------------------------------------------------ connections */

static void on_connection_closed(gpointer data, FkH2Connection *connection) {
  FkRemoteExecution *server = data;
  g_hash_table_steal(server->connections, connection);
}

static void on_connection(gpointer data, GIOStream *stream, GSocketAddress *local, GSocketAddress *remote) {
  FkRemoteExecution *server = data;
  const FkH2Limits limits = fk_cache_service_h2_limits(server->service);
  gint64 idle_us = (gint64)(server->settings->idle_s * G_USEC_PER_SEC);
  FkH2Connection *connection = fk_h2_connection_new(stream, &limits, &fk_cache_service_callbacks,
                                                    server->service, idle_us, on_connection_closed, server);
  g_hash_table_add(server->connections, connection);
}

static FkAdmissionLimits admission_limits(const FkRemoteExecutionSettings *settings) {
  const FkAdmissionResources resources = {
      .sockets = settings->connections * SOCKETS_PER_CONNECTION + SPARE_SOCKETS, .ram_mb = RAM_UNBOUNDED_MB};
  const FkAdmissionOptions options = {.connections = settings->connections};
  FkAdmissionLimits limits = fk_admission_limits_derive(&resources, &options);
  limits.connections[FK_CONNECTION_CLASS_CLIENT] = (guint)settings->connections;
  return limits;
}

/* ------------------------------------------------------------------ keys */

/* Sets `modified_ns` to the modification time of the keys file, in nanoseconds since 1970. Returns FALSE if
 * the file is missing or can't be accessed. */
static gboolean read_keys_mtime(const FkRemoteExecution *server, gint64 *modified_ns) {
  GStatBuf status;
  if (g_stat(server->settings->keys, &status) != 0)
    return FALSE;
  *modified_ns = (gint64)status.st_mtim.tv_sec * 1000000000 + status.st_mtim.tv_nsec;
  return TRUE;
}

static FkKeys *read_keys(FkRemoteExecution *server, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  read_keys_mtime(server, &server->keys_modified_ns);
  if (!g_file_get_contents(server->settings->keys, &text, &len, error))
    return NULL;
  FkKeys *keys = fk_keys_parse(text, len, error);
  if (!keys)
    g_prefix_error(error, "%s: ", server->settings->keys);
  return keys;
}

/* Reloads the keys file if its modification time has changed. If the file can't be read or is malformed, the
 * present keys stay in force. */
static void reload_changed_keys(FkRemoteExecution *server) {
  gint64 modified_ns;
  if (!read_keys_mtime(server, &modified_ns) || modified_ns == server->keys_modified_ns)
    return;
  g_autoptr(GError) error = NULL;
  FkKeys *keys = read_keys(server, &error);
  if (!keys) {
    g_warning("remote execution keys not reloaded error=\"%s\"", error->message);
    return;
  }
  g_message("remote execution keys reloaded keys=%u", fk_keys_count(keys));
  fk_cache_service_set_keys(server->service, keys);
}

static gboolean on_timer(gpointer data) {
  FkRemoteExecution *server = data;
  reload_changed_keys(server);
  fk_cache_service_expire_uploads(server->service, g_get_monotonic_time());
  return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ the thread */

static void close_connections(FkRemoteExecution *server) {
  GHashTableIter iter;
  gpointer connection;
  g_hash_table_iter_init(&iter, server->connections);
  while (g_hash_table_iter_next(&iter, &connection, NULL)) {
    g_hash_table_iter_steal(&iter);
    fk_h2_connection_free(connection);
  }
}

static gpointer run(gpointer data) {
  FkRemoteExecution *server = data;
  g_main_context_push_thread_default(server->context);
  g_main_loop_run(server->loop);
  close_connections(server);
  g_clear_pointer(&server->server, fk_server_free);
  g_main_context_pop_thread_default(server->context);
  return NULL;
}

static void remote_execution_free(FkRemoteExecution *server) {
  fk_server_free(server->server);
  g_hash_table_unref(server->connections);
  fk_cache_service_free(server->service);
  g_main_loop_unref(server->loop);
  g_main_context_unref(server->context);
  g_free(server);
}

static FkCacheService *open_service(FkRemoteExecution *server, GError **error) {
  const FkRemoteExecutionSettings *settings = server->settings;
  const FkBlobIndexLimits limits = {.bytes = (guint64)(settings->bytes_gb * BYTES_PER_GB),
                                    .count = (guint)settings->blobs};
  g_autoptr(FkKeys) keys = read_keys(server, error);
  if (!keys)
    return NULL;
  FkBlobStore *blobs = fk_blob_store_open(settings->directory, &limits, error);
  return blobs ? fk_cache_service_new(settings, blobs, g_steal_pointer(&keys)) : NULL;
}

static gboolean open_server(FkRemoteExecution *server, GError **error) {
  const FkAdmissionLimits limits = admission_limits(server->settings);
  const FkListenerHandler handler = {
      .raw = TRUE, .connection_class = FK_CONNECTION_CLASS_CLIENT, .serve = on_connection, .data = server};
  /* FkServer attaches its sources to the thread-default context. */
  g_main_context_push_thread_default(server->context);
  server->server = fk_server_new(&limits);
  server->service = open_service(server, error);
  gboolean listening =
      server->service && fk_server_listen(server->server, server->settings->listen, &handler, error) != NULL;
  g_main_context_pop_thread_default(server->context);
  return listening;
}

FkRemoteExecution *fk_remote_execution_start(const FkRemoteExecutionSettings *settings, GError **error) {
  FkRemoteExecution *server = g_new0(FkRemoteExecution, 1);
  server->settings = settings;
  server->context = g_main_context_new();
  server->loop = g_main_loop_new(server->context, FALSE);
  server->connections = g_hash_table_new(NULL, NULL);
  if (!open_server(server, error)) {
    remote_execution_free(server);
    return NULL;
  }
  g_autoptr(GSource) timer = g_timeout_source_new_seconds(KEYS_CHECK_S);
  g_source_set_callback(timer, on_timer, server, NULL);
  g_source_attach(timer, server->context);
  server->thread = g_thread_new("remote-execution", run, server);
  return server;
}

static gboolean quit_loop(gpointer loop) {
  g_main_loop_quit(loop);
  return G_SOURCE_REMOVE;
}

void fk_remote_execution_stop(FkRemoteExecution *server) {
  if (!server)
    return;
  g_autoptr(GSource) stop = g_idle_source_new();
  g_source_set_callback(stop, quit_loop, server->loop, NULL);
  g_source_attach(stop, server->context);
  g_thread_join(server->thread);
  remote_execution_free(server);
}
