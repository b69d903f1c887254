/* Constructs the daemon, and runs the daemon's main loop and timer. */
#include "daemon/daemon_internal.h"

#include <sys/resource.h>

#include "net/soup_listener.h"
#include "wire/route.h"
#include "wire/user.h"

#define TICK_MS 100
#define PEER_IDLE_CONNECTION_S 60
#define CONNECTIONS_PER_PEER 2

/* ------------------------------------------------------------------ listening */

static FkRequestClass classify_api_request(const char *method, const char *path) {
  return fk_route_request_class(fk_route_match(method, path, NULL, NULL));
}

static FkRequestClass classify_peer_request(const char *method, const char *path) {
  return FK_REQUEST_CLASS_PEER;
}

static gboolean listen_for_requests(FkDaemon *daemon, GError **error) {
  const FkSettings *settings = daemon->settings;
  return fk_soup_listener_open(daemon->server, daemon->api_server, settings->listen_addr,
                               FK_CONNECTION_CLASS_CLIENT, classify_api_request, fk_user_print_error,
                               error) &&
         fk_soup_listener_open(daemon->server, daemon->peer_server, settings->peer_listen_addr,
                               FK_CONNECTION_CLASS_PEER, classify_peer_request, fk_user_print_error, error);
}

/* Raises the process's limit of file descriptors to `wanted`, or to the hard limit if the hard limit is
 * lower. Returns the resulting limit; returns `wanted` if the limit can't be read. Admission control must
 * keep the number of sockets below this limit, or accepting connections and opening outbound connections
 * would fail. */
static double raise_descriptor_limit(rlim_t wanted) {
  struct rlimit limit;
  if (getrlimit(RLIMIT_NOFILE, &limit) < 0)
    return (double)wanted;
  if (limit.rlim_cur < wanted) {
    rlim_t previous = limit.rlim_cur;
    limit.rlim_cur = MIN(wanted, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) < 0)
      limit.rlim_cur = previous;
    if (limit.rlim_cur < wanted)
      g_warning("descriptor limit too low limit=%.0f sockets=%.0f", (double)limit.rlim_cur, (double)wanted);
  }
  return (double)limit.rlim_cur;
}

static FkAdmissionLimits derive_limits(const FkSettings *settings) {
  const FkAdmissionResources resources = {
      .sockets = MIN(settings->sockets, raise_descriptor_limit((rlim_t)settings->sockets)),
      .ram_mb = settings->ram_mb,
      .peers = settings->peers->len,
  };
  return fk_admission_limits_derive(&resources, &settings->tuning.admission);
}

/* ------------------------------------------------------------------ the timer */

/* Logs the counters of admission control once per window. The level is warning if a connection or request was
 * rejected in the window for any reason other than a timeout or a close by its handler, otherwise info. */
static void log_admission(FkDaemon *daemon, gint64 now_us) {
  gint64 window_us = (gint64)(daemon->settings->tuning.window_s * G_USEC_PER_SEC);
  if (now_us < daemon->admission_logged_us + window_us)
    return;
  gboolean has_rejections;
  g_autofree char *text =
      fk_admission_summary(fk_server_admission(daemon->server), &daemon->admission_counters, &has_rejections);
  daemon->admission_logged_us = now_us;
  if (has_rejections)
    g_warning("%s", text);
  else
    g_info("%s", text);
}

static void measure_tick(FkDaemon *daemon, gint64 now_us) {
  if (daemon->last_tick_us)
    fk_process_metrics_timer_fired(daemon->metrics,
                                   (double)(now_us - daemon->last_tick_us) / 1e6 - TICK_MS / 1e3);
  daemon->last_tick_us = now_us;
}

static gboolean on_tick(gpointer data) {
  FkDaemon *daemon = data;
  gint64 now_us = g_get_monotonic_time();
  measure_tick(daemon, now_us);
  log_admission(daemon, now_us);
  fk_store_client_update_write_capacity(daemon);
  fk_controller_tick(daemon->core, fk_daemon_now(), g_get_real_time());
  fk_daemon_log_dependencies(daemon);
  fk_store_client_update_rates(daemon);
  fk_daemon_dispatch_outputs(daemon);
  return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ construction */

static FkController *new_core(const FkSettings *settings) {
  guint32 seed = (guint32)g_get_real_time() ^ g_str_hash(settings->node) ^ g_random_int();
  /* The incarnation must be unique to each start of the process, because an incarnation identifies the owner
   * of a shard. */
  g_autofree char *incarnation =
      g_strdup_printf("%" G_GINT64_MODIFIER "x%04x", g_get_real_time() / 1000, seed & 0xffff);
  return fk_controller_new(settings, incarnation, seed, fk_daemon_now());
}

static void open_clients(FkDaemon *daemon, const FkAdmissionLimits *limits) {
  fk_store_client_init(daemon, limits);
  fk_cloud_client_init(daemon, limits);
  daemon->workers = fk_http_client_new_for_many_hosts(limits->worker_connections, limits->response_bytes);
  daemon->peers.http = fk_http_client_new(limits->peer_connections, CONNECTIONS_PER_PEER,
                                          PEER_IDLE_CONNECTION_S, limits->response_bytes);
  fk_daemon_add_dependencies(daemon);
}

static SoupServer *new_soup_server(SoupServerCallback handler, FkDaemon *daemon) {
  SoupServer *server = soup_server_new("server-header", "flaxknot", NULL);
  soup_server_add_handler(server, NULL, handler, daemon, NULL);
  return server;
}

FkDaemon *fk_daemon_new(const FkSettings *settings, GError **error) {
  FkDaemon *daemon = g_new0(FkDaemon, 1);
  daemon->settings = settings;
  daemon->core = new_core(settings);
  daemon->metrics = fk_process_metrics_new(settings->tuning.window_s);
  fk_cpu_profile_start(fk_controller_cpu_profile(daemon->core), fk_process_metrics_cpu_ns);
  fk_open_requests_init(&daemon->requests);
  const FkAdmissionLimits limits = derive_limits(settings);
  open_clients(daemon, &limits);
  daemon->api_server = new_soup_server(fk_daemon_on_api_request, daemon);
  daemon->peer_server = new_soup_server(fk_daemon_on_peer_request, daemon);
  daemon->server = fk_server_new(&limits);
  if (!listen_for_requests(daemon, error)) {
    fk_daemon_free(daemon);
    return NULL;
  }
  daemon->tick_source = g_timeout_add(TICK_MS, on_tick, daemon);
  on_tick(daemon);
  return daemon;
}

static void close_soup_server(SoupServer *server) {
  soup_server_disconnect(server);
  g_object_unref(server);
}

void fk_daemon_free(FkDaemon *daemon) {
  if (!daemon)
    return;
  g_clear_handle_id(&daemon->tick_source, g_source_remove);
  close_soup_server(daemon->api_server);
  close_soup_server(daemon->peer_server);
  fk_server_free(daemon->server);
  fk_dependency_health_free(daemon->dependency_health);
  g_hash_table_unref(daemon->peers.dependencies);
  fk_http_client_free(daemon->peers.http);
  fk_http_client_free(daemon->workers);
  fk_store_client_clear(&daemon->store);
  fk_cloud_client_clear(&daemon->cloud);
  fk_open_requests_clear(&daemon->requests);
  fk_controller_free(daemon->core);
  fk_process_metrics_free(daemon->metrics);
  g_free(daemon);
}

/* ------------------------------------------------------------------ the main loop */

/* The daemon whose metrics measured_poll() updates. A global variable, because a GPollFunc has no argument
 * for user data. */
static FkDaemon *running_daemon;

/* Polls the main loop's descriptors and updates the metrics. Charges the CPU time of the poll to FK_CPU_IDLE.
 * An iteration of the main loop lasts from the end of one poll to the start of the next. */
static gint measured_poll(GPollFD *fds, guint n, gint timeout) {
  FkCpuProfile *profile = fk_controller_cpu_profile(running_daemon->core);
  FkCpuPurpose previous = fk_daemon_profile_enter(running_daemon, FK_CPU_IDLE);
  fk_process_metrics_iteration_end(running_daemon->metrics, profile->last_ns, n);
  gint ready = g_poll(fds, n, timeout);
  fk_daemon_profile_leave(running_daemon, previous);
  fk_process_metrics_iteration_begin(running_daemon->metrics, profile->last_ns);
  return ready;
}

void fk_daemon_run(FkDaemon *daemon) {
  running_daemon = daemon;
  g_main_context_set_poll_func(NULL, measured_poll);
  g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
  g_main_loop_run(loop);
}
