#include "simulation/scale/controller_settings.h"

#include "simulation/scale/addresses.h"
#include "simulation/scale/workload.h"

#define TEAM_GUARANTEE 0.5 /* of an even share of the region */
#define URGENT_WAIT_S 1.8
#define BULK_RUN_TIMES 3.0 /* bulk jobs finish within as many run times of a task */
#define OBJECTIVE_SHARE 0.9
#define GANG_WAIT_S 45
#define GANG_PEER_S 5
#define STORE_VALUE_KB 32
#define STORE_TRANSACTION_OPS 24
#define CLOUD_LIST_DELAY_S 10
#define CONTROLLER_CPUS 1
#define CONTROLLER_MEMORY_MB 2000
#define CONTROLLER_SOCKETS 8000
#define CLOCK_OFFSET_MS 100

static char *controller_zone(const FkScalePlan *plan, guint region, guint controller) {
  return fk_scale_zone(region, controller % fk_scale_region_zones(plan, region));
}

static cJSON *peer(const FkScalePlan *plan, guint region, guint controller) {
  g_autofree char *name = fk_scale_controller_name(region, controller),
                  *zone = controller_zone(plan, region, controller),
                  *addr = fk_scale_peer_addr(plan, region, controller);
  cJSON *json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "node", name);
  cJSON_AddStringToObject(json, "site", zone);
  cJSON_AddStringToObject(json, "peer_addr", addr);
  return json;
}

static void add_addresses(cJSON *settings, const FkScalePlan *plan, guint region, guint controller) {
  g_autofree char *name = fk_scale_controller_name(region, controller),
                  *zone = controller_zone(plan, region, controller),
                  *user_addr = fk_scale_user_addr(plan, region, controller),
                  *peer_addr = fk_scale_peer_addr(plan, region, controller),
                  *store_addr = fk_scale_store_addr(plan, region),
                  *cloud_addr = fk_scale_cloud_addr(plan, region);
  cJSON_AddStringToObject(settings, "node", name);
  cJSON_AddStringToObject(settings, "site", zone);
  cJSON_AddStringToObject(settings, "serve_on", user_addr);
  cJSON_AddStringToObject(settings, "mesh_addr", peer_addr);
  cJSON *seeds = cJSON_AddArrayToObject(settings, "seeds"),
        *outside = cJSON_AddObjectToObject(settings, "outside");
  for (guint i = 0; i < fk_scale_region_controllers(plan, region); i++)
    if (i != controller)
      cJSON_AddItemToArray(seeds, peer(plan, region, i));
  cJSON_AddStringToObject(outside, "cloud", cloud_addr);
  cJSON_AddStringToObject(outside, "state", store_addr);
}

static void add_zones(cJSON *deployment, const FkScalePlan *plan, guint region) {
  cJSON *zones = cJSON_AddArrayToObject(deployment, "zones");
  for (guint i = 0; i < fk_scale_region_zones(plan, region); i++) {
    g_autofree char *zone = fk_scale_zone(region, i);
    cJSON_AddItemToArray(zones, cJSON_CreateString(zone));
  }
}

static void add_teams(cJSON *deployment, const FkScalePlan *plan, guint region) {
  cJSON *teams = cJSON_AddArrayToObject(deployment, "teams");
  for (guint i = 0; i < plan->teams; i++) {
    g_autofree char *name = fk_scale_team_name(i);
    cJSON *team = cJSON_CreateObject();
    cJSON_AddStringToObject(team, "name", name);
    cJSON_AddNumberToObject(team, "cpus", TEAM_GUARANTEE * fk_scale_team_share_cpus(plan, region));
    cJSON_AddNumberToObject(team, "cpus_max", fk_scale_team_quota_cpus(plan, region));
    cJSON_AddNumberToObject(team, "gpus", 0);
    cJSON_AddNumberToObject(team, "gpus_max", 0);
    cJSON_AddItemToArray(teams, team);
  }
}

static void add_objective(cJSON *objectives, const char *kind, const char *class_name, double within_s) {
  cJSON *objective = cJSON_CreateObject();
  cJSON_AddStringToObject(objective, "kind", kind);
  cJSON_AddStringToObject(objective, "class", class_name);
  cJSON_AddNumberToObject(objective, "within_s", within_s);
  cJSON_AddNumberToObject(objective, "share", OBJECTIVE_SHARE);
  cJSON_AddItemToArray(objectives, objective);
}

static void add_objectives(cJSON *deployment, const FkScalePlan *plan) {
  cJSON *objectives = cJSON_AddArrayToObject(deployment, "objectives");
  add_objective(objectives, "wait", "urgent", URGENT_WAIT_S);
  add_objective(objectives, "finished", "bulk", BULK_RUN_TIMES * plan->task_run_s);
}

static void add_limits(cJSON *deployment, const FkScalePlan *plan) {
  cJSON *workers = cJSON_AddObjectToObject(deployment, "workers"),
        *store = cJSON_AddObjectToObject(deployment, "state"),
        *cloud = cJSON_AddObjectToObject(deployment, "cloud"),
        *resources = cJSON_AddObjectToObject(deployment, "resources");
  cJSON_AddNumberToObject(workers, "report_s", plan->heartbeat_s);
  cJSON_AddNumberToObject(workers, "lease_s", plan->lease_s);
  cJSON_AddNumberToObject(workers, "cancel_s", plan->cancel_s);
  cJSON_AddNumberToObject(workers, "gang_wait_s", GANG_WAIT_S);
  cJSON_AddNumberToObject(workers, "gang_peer_s", GANG_PEER_S);
  cJSON_AddNumberToObject(store, "rps", plan->store_requests_per_s);
  cJSON_AddNumberToObject(store, "write_rps", plan->store_writes_per_s);
  cJSON_AddNumberToObject(store, "value_kb", STORE_VALUE_KB);
  cJSON_AddNumberToObject(store, "txn_ops", STORE_TRANSACTION_OPS);
  cJSON_AddNumberToObject(cloud, "rps", plan->cloud_calls_per_s);
  cJSON_AddNumberToObject(cloud, "list_lag_s", CLOUD_LIST_DELAY_S);
  cJSON_AddNumberToObject(resources, "cpu", CONTROLLER_CPUS);
  cJSON_AddNumberToObject(resources, "ram_mb", CONTROLLER_MEMORY_MB);
  cJSON_AddNumberToObject(resources, "sockets", CONTROLLER_SOCKETS);
  cJSON_AddNumberToObject(deployment, "clock_off_ms", CLOCK_OFFSET_MS);
}

cJSON *fk_scale_controller_settings(const FkScalePlan *plan, guint region, guint controller) {
  cJSON *settings = cJSON_CreateObject();
  add_addresses(settings, plan, region, controller);
  cJSON *deployment = cJSON_AddObjectToObject(settings, "deployment");
  cJSON_AddNumberToObject(deployment, "initial_size", fk_scale_region_controllers(plan, region));
  add_zones(deployment, plan, region);
  add_teams(deployment, plan, region);
  add_objectives(deployment, plan);
  add_limits(deployment, plan);
  return settings;
}
