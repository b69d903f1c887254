/* Tracks and logs outages of the controller's dependencies: the store, the cloud provider and the peers. */
#include "daemon/daemon_internal.h"

static void add_peers(FkDaemon *daemon) {
  const GPtrArray *peers = daemon->settings->peers;
  daemon->peers.dependencies = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < peers->len; i++) {
    const FkPeer *peer = peers->pdata[i];
    g_autofree char *name = g_strdup_printf("controller %s at %s", peer->name, peer->addr);
    guint dependency = fk_dependency_health_add(
        daemon->dependency_health, name,
        "this peer can't confirm that this controller's copy of the store is current; "
        "if the store is unreachable too, leases expire");
    g_hash_table_insert(daemon->peers.dependencies, peer->name, GUINT_TO_POINTER(dependency));
  }
}

void fk_daemon_add_dependencies(FkDaemon *daemon) {
  const FkSettings *settings = daemon->settings;
  g_autofree char *store = g_strdup_printf("store at %s", settings->store_addr);
  g_autofree char *cloud = g_strdup_printf("cloud at %s", settings->cloud_addr);
  daemon->dependency_health = fk_dependency_health_new((gint64)(settings->tuning.window_s * G_USEC_PER_SEC));
  daemon->store.dependency = fk_dependency_health_add(
      daemon->dependency_health, store,
      "no job is accepted, no task starts and no completion is recorded; running tasks continue while all "
      "controllers are reachable");
  daemon->cloud.dependency =
      fk_dependency_health_add(daemon->dependency_health, cloud, "no machine is provisioned or terminated");
  add_peers(daemon);
}

void fk_daemon_record_dependency(FkDaemon *daemon, guint dependency, guint status) {
  const char *failure = status == 0 ? "no response" : status == 503 ? "status 503" : NULL;
  fk_dependency_health_record(daemon->dependency_health, dependency, failure, g_get_monotonic_time());
}

void fk_daemon_log_dependencies(FkDaemon *daemon) {
  gboolean is_warning;
  char *text;
  while ((text = fk_dependency_health_next_message(daemon->dependency_health, g_get_monotonic_time(),
                                                   &is_warning))) {
    if (is_warning)
      g_warning("%s", text);
    else
      g_message("%s", text);
    g_free(text);
  }
}
