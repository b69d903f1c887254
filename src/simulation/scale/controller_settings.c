#include "simulation/scale/controller_settings.h"

#include "simulation/scale/addresses.h"
#include "simulation/scale/workload.h"

#define TEAM_GUARANTEE 0.5 /* of an even share of the region */

static void add_addresses(cJSON *o, const FkScalePlan *plan, guint region, guint controller) {
  g_autofree char *node = fk_scale_controller_name(region, controller),
                  *zone = fk_scale_zone(region, controller % fk_scale_region_zones(plan, region)),
                  *user = fk_scale_user_addr(plan, region, controller),
                  *mesh = fk_scale_peer_addr(plan, region, controller),
                  *state = fk_scale_store_addr(plan, region), *cloud = fk_scale_cloud_addr(plan, region);
  cJSON_AddStringToObject(o, "node", node);
  cJSON_AddStringToObject(o, "site", zone);
  cJSON_AddStringToObject(o, "serve_on", user);
  cJSON_AddStringToObject(o, "mesh_addr", mesh);
  cJSON *seeds = cJSON_AddArrayToObject(o, "seeds"), *outside = cJSON_AddObjectToObject(o, "outside");
  for (guint i = 0; i < fk_scale_region_controllers(plan, region); i++) {
    if (i == controller)
      continue;
    g_autofree char *peer = fk_scale_controller_name(region, i),
                    *site = fk_scale_zone(region, i % fk_scale_region_zones(plan, region)),
                    *addr = fk_scale_peer_addr(plan, region, i);
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, "node", peer);
    cJSON_AddStringToObject(j, "site", site);
    cJSON_AddStringToObject(j, "peer_addr", addr);
    cJSON_AddItemToArray(seeds, j);
  }
  cJSON_AddStringToObject(outside, "cloud", cloud);
  cJSON_AddStringToObject(outside, "state", state);
}

static void add_teams(cJSON *deployment, const FkScalePlan *plan, guint region) {
  cJSON *teams = cJSON_AddArrayToObject(deployment, "teams");
  for (guint i = 0; i < plan->teams; i++) {
    g_autofree char *name = fk_scale_team_name(i);
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, "name", name);
    cJSON_AddNumberToObject(j, "cpus", TEAM_GUARANTEE * fk_scale_team_share_cpus(plan, region));
    cJSON_AddNumberToObject(j, "cpus_max", fk_scale_team_quota_cpus(plan, region));
    cJSON_AddNumberToObject(j, "gpus", 0);
    cJSON_AddNumberToObject(j, "gpus_max", 0);
    cJSON_AddItemToArray(teams, j);
  }
}

static void add_objective(cJSON *objectives, const char *kind, const char *name, double within_s) {
  cJSON *j = cJSON_CreateObject();
  cJSON_AddStringToObject(j, "kind", kind);
  cJSON_AddStringToObject(j, "class", name);
  cJSON_AddNumberToObject(j, "within_s", within_s);
  cJSON_AddNumberToObject(j, "share", 0.9);
  cJSON_AddItemToArray(objectives, j);
}

static void add_rates(cJSON *deployment, const FkScalePlan *plan) {
  cJSON *workers = cJSON_AddObjectToObject(deployment, "workers"),
        *state = cJSON_AddObjectToObject(deployment, "state"),
        *cloud = cJSON_AddObjectToObject(deployment, "cloud"),
        *resources = cJSON_AddObjectToObject(deployment, "resources");
  cJSON_AddNumberToObject(workers, "report_s", plan->heartbeat_s);
  cJSON_AddNumberToObject(workers, "lease_s", plan->lease_s);
  cJSON_AddNumberToObject(workers, "cancel_s", plan->cancel_s);
  cJSON_AddNumberToObject(workers, "gang_wait_s", 45);
  cJSON_AddNumberToObject(workers, "gang_peer_s", 5);
  cJSON_AddNumberToObject(state, "rps", plan->store_requests_per_s);
  cJSON_AddNumberToObject(state, "write_rps", plan->store_writes_per_s);
  cJSON_AddNumberToObject(state, "value_kb", 32);
  cJSON_AddNumberToObject(state, "txn_ops", 24);
  cJSON_AddNumberToObject(cloud, "rps", plan->cloud_calls_per_s);
  cJSON_AddNumberToObject(cloud, "list_lag_s", 10);
  cJSON_AddNumberToObject(resources, "cpu", 1);
  cJSON_AddNumberToObject(resources, "ram_mb", 2000);
  cJSON_AddNumberToObject(resources, "sockets", 8000);
  cJSON_AddNumberToObject(deployment, "clock_off_ms", 100);
}

cJSON *fk_scale_controller_settings(const FkScalePlan *plan, guint region, guint controller) {
  cJSON *o = cJSON_CreateObject();
  add_addresses(o, plan, region, controller);
  cJSON *deployment = cJSON_AddObjectToObject(o, "deployment");
  cJSON_AddNumberToObject(deployment, "initial_size", fk_scale_region_controllers(plan, region));
  cJSON *zones = cJSON_AddArrayToObject(deployment, "zones");
  for (guint z = 0; z < fk_scale_region_zones(plan, region); z++) {
    g_autofree char *zone = fk_scale_zone(region, z);
    cJSON_AddItemToArray(zones, cJSON_CreateString(zone));
  }
  add_teams(deployment, plan, region);
  cJSON *objectives = cJSON_AddArrayToObject(deployment, "objectives");
  add_objective(objectives, "wait", "urgent", 1.8);
  add_objective(objectives, "finished", "bulk", 3 * plan->task_run_s);
  add_rates(deployment, plan);
  return o;
}
