/* The settings that the platform hands a controller, as JSON: versions' structs may differ. */
#include <math.h>

#include "simulation/simulation_internal.h"

static cJSON *controller_json(int controller) {
  cJSON *json = cJSON_CreateObject();
  g_autofree char *name = g_strdup_printf("c-%d", controller);
  cJSON_AddStringToObject(json, "node", name);
  cJSON_AddStringToObject(json, "site", sim_controller_zone(controller));
  return json;
}

static void add_seeds(const Sim *sim, cJSON *json, int controller) {
  cJSON *seeds = cJSON_AddArrayToObject(json, "seeds");
  for (int i = 0; i < sim->controller_count; i++) {
    if (i == controller)
      continue;
    cJSON *peer = controller_json(i);
    cJSON_AddStringToObject(peer, "peer_addr", "127.0.0.1:1");
    cJSON_AddItemToArray(seeds, peer);
  }
}

static void add_outside(cJSON *json) {
  cJSON *outside = cJSON_AddObjectToObject(json, "outside");
  cJSON_AddStringToObject(outside, "cloud", "127.0.0.1:2");
  cJSON_AddStringToObject(outside, "state", "127.0.0.1:3");
}

static void add_zones(cJSON *deployment) {
  cJSON *zones = cJSON_AddArrayToObject(deployment, "zones");
  cJSON_AddItemToArray(zones, cJSON_CreateString("north"));
  cJSON_AddItemToArray(zones, cJSON_CreateString("south"));
}

/* No quota is written as 0. */
static double quota_json(double quota) { return isfinite(quota) ? quota : 0; }

static void add_teams(const FkSettings *settings, cJSON *deployment) {
  cJSON *teams = cJSON_AddArrayToObject(deployment, "teams");
  for (guint i = 0; i < settings->teams->len; i++) {
    const FkTeam *team = settings->teams->pdata[i];
    cJSON *json = cJSON_CreateObject();
    cJSON_AddStringToObject(json, "name", team->name);
    cJSON_AddNumberToObject(json, "cpus", team->guaranteed_cpus);
    cJSON_AddNumberToObject(json, "cpus_max", quota_json(team->max_cpus));
    cJSON_AddNumberToObject(json, "gpus", team->guaranteed_gpus);
    cJSON_AddNumberToObject(json, "gpus_max", quota_json(team->max_gpus));
    cJSON_AddItemToArray(teams, json);
  }
}

static void add_workers(const FkSettings *settings, cJSON *deployment) {
  cJSON *workers = cJSON_AddObjectToObject(deployment, "workers");
  cJSON_AddNumberToObject(workers, "report_s", settings->heartbeat_interval_s);
  cJSON_AddNumberToObject(workers, "lease_s", settings->worker_lease_s);
  cJSON_AddNumberToObject(workers, "cancel_s", settings->cancellation_deadline_s);
}

/* The store's limits, now and once they are reduced. */
static void add_store(const Sim *sim, cJSON *deployment) {
  const FkSettings *settings = sim->settings;
  guint initial_ops = sim->plan.initial_txn_ops;
  cJSON *state = cJSON_AddObjectToObject(deployment, "state");
  cJSON_AddNumberToObject(state, "rps", settings->store_rps);
  cJSON_AddNumberToObject(state, "write_rps", settings->store_write_rps);
  cJSON_AddNumberToObject(state, "value_kb", settings->current_value_limit_kb);
  cJSON_AddNumberToObject(state, "txn_ops", initial_ops ? initial_ops : settings->transaction_ops_max);
  cJSON *next = cJSON_AddObjectToObject(state, "next");
  cJSON_AddNumberToObject(next, "write_rps", settings->next_store_write_rps);
  cJSON_AddNumberToObject(next, "value_kb", settings->value_kb);
  cJSON_AddNumberToObject(next, "txn_ops", settings->transaction_ops_max);
  cJSON_AddBoolToObject(next, "not_known_yet", TRUE);
}

static void add_cloud(const FkSettings *settings, cJSON *deployment) {
  cJSON *cloud = cJSON_AddObjectToObject(deployment, "cloud");
  cJSON_AddNumberToObject(cloud, "rps", settings->cloud_rps);
  cJSON_AddNumberToObject(cloud, "list_lag_s", settings->cloud_list_lag_s);
}

char *sim_platform_settings(const Sim *sim, int controller) {
  g_autoptr(cJSON) json = controller_json(controller);
  cJSON_AddStringToObject(json, "serve_on", "127.0.0.1:8080");
  cJSON_AddStringToObject(json, "mesh_addr", "127.0.0.1:8081");
  add_seeds(sim, json, controller);
  add_outside(json);
  cJSON *deployment = cJSON_AddObjectToObject(json, "deployment");
  add_zones(deployment);
  add_teams(sim->settings, deployment);
  add_workers(sim->settings, deployment);
  add_store(sim, deployment);
  add_cloud(sim->settings, deployment);
  return fk_json_print(json);
}
