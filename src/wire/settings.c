#include "wire/settings.h"

#include <gio/gio.h>
#include <string.h>

#include "fair_share/quota.h"

GQuark fk_settings_error(void) { return g_quark_from_static_string("fk-settings"); }

static gboolean fail(GError **error, const char *field, const char *what) {
  g_set_error(error, fk_settings_error(), 1, "%s: %s", field, what);
  return FALSE;
}

static gboolean parse_string(const cJSON *json, const char *field, char **out, GError **error) {
  const char *text = fk_json_str(json, field);
  if (!text || !*text)
    return fail(error, field, "a non-empty string is needed");
  *out = g_strdup(text);
  return TRUE;
}

static gboolean parse_address(const cJSON *json, const char *field, char **out, GError **error) {
  if (!parse_string(json, field, out, error))
    return FALSE;
  const char *colon = strrchr(*out, ':');
  guint64 port;
  g_autofree char *host = colon ? g_strndup(*out, colon - *out) : NULL;
  if (!host || !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL) ||
      !g_hostname_is_ip_address(host))
    return fail(error, field, "an IP address and port is needed, like 10.0.0.1:8080");
  return TRUE;
}

#define NUMBER_MAX 1e9 /* no resource, rate or time of ours is larger; all whole types hold it */

static gboolean parse_number(const cJSON *json, const char *field, double min, double *out, GError **error) {
  if (!fk_json_num(json, field, out) || !(*out >= min && *out <= NUMBER_MAX)) {
    g_set_error(error, fk_settings_error(), 1, "%s: a number from %g to %g is needed", field, min,
                NUMBER_MAX);
    return FALSE;
  }
  return TRUE;
}

/* One that may be missing. */
static gboolean parse_number_or(const cJSON *json, const char *field, double min, double other, double *out,
                                GError **error) {
  *out = other;
  return !fk_json_get(json, field) || parse_number(json, field, min, out, error);
}

static gboolean parse_teams(FkSettings *settings, const cJSON *list, GError **error) {
  const cJSON *item;
  if (!cJSON_IsArray(list))
    return fail(error, "deployment.teams", "a list is needed");
  cJSON_ArrayForEach(item, list) {
    FkTeam *team = g_new0(FkTeam, 1);
    g_ptr_array_add(settings->teams, team);
    if (!parse_string(item, "name", &team->name, error) ||
        !parse_number(item, "cpus", 0, &team->guaranteed_cpus, error) ||
        !parse_number(item, "cpus_max", 0, &team->max_cpus, error) ||
        !parse_number(item, "gpus", 0, &team->guaranteed_gpus, error) ||
        !parse_number(item, "gpus_max", 0, &team->max_gpus, error))
      return FALSE;
    team->max_cpus = fk_quota_from_setting(team->max_cpus);
    team->max_gpus = fk_quota_from_setting(team->max_gpus);
  }
  return TRUE;
}

static gboolean parse_peers(FkSettings *settings, const cJSON *list, GError **error) {
  const cJSON *item;
  if (!cJSON_IsArray(list))
    return fail(error, "seeds", "a list is needed");
  cJSON_ArrayForEach(item, list) {
    FkPeer *peer = g_new0(FkPeer, 1);
    g_ptr_array_add(settings->peers, peer);
    if (!parse_string(item, "node", &peer->name, error) || !parse_string(item, "site", &peer->zone, error) ||
        !parse_address(item, "peer_addr", &peer->addr, error))
      return FALSE;
  }
  return TRUE;
}

/* The announced next limits: what is written must fit them as well as the present ones. */
static gboolean parse_next_limits(FkSettings *settings, const cJSON *store, GError **error) {
  const cJSON *next = fk_json_get(store, "next");
  double ops = settings->transaction_ops_max, value_kb = settings->value_kb;
  settings->next_store_rps = settings->store_rps;
  settings->next_store_write_rps = settings->store_write_rps;
  settings->current_value_limit_kb = settings->value_kb;
  if (!next)
    return TRUE;
  if (!cJSON_IsObject(next))
    return fail(error, "deployment.state.next", "an object is needed");
  if (!parse_number_or(next, "rps", 1, settings->store_rps, &settings->next_store_rps, error) ||
      !parse_number_or(next, "write_rps", 1, settings->store_write_rps, &settings->next_store_write_rps,
                       error) ||
      !parse_number_or(next, "value_kb", 1, settings->value_kb, &value_kb, error) ||
      !parse_number_or(next, "txn_ops", 4, settings->transaction_ops_max, &ops, error))
    return FALSE;
  settings->next_store_rps = MIN(settings->next_store_rps, settings->store_rps);
  settings->next_store_write_rps = MIN(settings->next_store_write_rps, settings->store_write_rps);
  settings->value_kb = MIN(settings->value_kb, value_kb);
  settings->transaction_ops_max = (guint)MIN(settings->transaction_ops_max, ops);
  return TRUE;
}

static gboolean parse_zones(FkSettings *settings, const cJSON *list, GError **error) {
  const cJSON *item;
  if (!cJSON_IsArray(list))
    return fail(error, "deployment.zones", "a list is needed");
  cJSON_ArrayForEach(item, list) {
    if (!cJSON_IsString(item))
      return fail(error, "deployment.zones", "strings are needed");
    g_ptr_array_add(settings->zones, g_strdup(item->valuestring));
  }
  return TRUE;
}

/* What isn't understood is left out. */
static void parse_objectives(FkSettings *settings, const cJSON *list) {
  const cJSON *item;
  cJSON_ArrayForEach(item, list) {
    FkObjective *objective = g_new0(FkObjective, 1);
    objective->kind = g_strdup(fk_json_str(item, "kind"));
    objective->class_name = g_strdup(fk_json_str(item, "class"));
    objective->within_s = fk_json_num_or(item, "within_s", 0);
    objective->share = fk_json_num_or(item, "share", 0);
    g_ptr_array_add(settings->objectives, objective);
  }
}

static gboolean parse_workers(FkSettings *settings, const cJSON *json, GError **error) {
  return parse_number(json, "report_s", 0.01, &settings->heartbeat_interval_s, error) &&
         parse_number(json, "lease_s", 0.1, &settings->worker_lease_s, error) &&
         parse_number(json, "cancel_s", 0.1, &settings->cancellation_deadline_s, error);
}

static gboolean parse_store(FkSettings *settings, const cJSON *json, GError **error) {
  double ops;
  if (!parse_number(json, "rps", 1, &settings->store_rps, error) ||
      !parse_number(json, "write_rps", 1, &settings->store_write_rps, error) ||
      !parse_number(json, "value_kb", 1, &settings->value_kb, error) ||
      !parse_number(json, "txn_ops", 4, &ops, error))
    return FALSE;
  settings->transaction_ops_max = (guint)ops;
  return TRUE;
}

static gboolean parse_cloud(FkSettings *settings, const cJSON *json, GError **error) {
  return parse_number(json, "rps", 0.1, &settings->cloud_rps, error) &&
         parse_number(json, "list_lag_s", 0, &settings->cloud_list_lag_s, error);
}

static gboolean parse_resources(FkSettings *settings, const cJSON *json, GError **error) {
  return parse_number_or(json, "cpu", 0.001, 1, &settings->cpus, error) &&
         parse_number_or(json, "ram_mb", 1, 256, &settings->ram_mb, error) &&
         parse_number_or(json, "sockets", 50, 1000, &settings->sockets, error);
}

static gboolean parse_deployment(FkSettings *settings, const cJSON *json, GError **error) {
  const cJSON *store = fk_json_get(json, "state");
  if (!cJSON_IsObject(json))
    return fail(error, "deployment", "an object is needed");
  if (!parse_zones(settings, fk_json_get(json, "zones"), error) ||
      !parse_teams(settings, fk_json_get(json, "teams"), error))
    return FALSE;
  parse_objectives(settings, fk_json_get(json, "objectives"));
  return parse_workers(settings, fk_json_get(json, "workers"), error) &&
         parse_store(settings, store, error) && parse_cloud(settings, fk_json_get(json, "cloud"), error) &&
         parse_resources(settings, fk_json_get(json, "resources"), error) &&
         parse_number_or(json, "clock_off_ms", 0, 1000, &settings->clock_offset_ms, error) &&
         parse_next_limits(settings, store, error);
}

FkSettings *fk_settings_parse(const char *body, gsize len, GError **error) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  g_autoptr(FkSettings) settings = fk_settings_new();
  if (!cJSON_IsObject(json)) {
    fail(error, "settings", "not a JSON object");
    return NULL;
  }
  const cJSON *outside = fk_json_get(json, "outside");
  if (!parse_string(json, "node", &settings->node, error) ||
      !parse_string(json, "site", &settings->zone, error) ||
      !parse_address(json, "serve_on", &settings->listen_addr, error) ||
      !parse_address(json, "mesh_addr", &settings->peer_listen_addr, error) ||
      !parse_peers(settings, fk_json_get(json, "seeds"), error) ||
      !parse_address(outside, "cloud", &settings->cloud_addr, error) ||
      !parse_address(outside, "state", &settings->store_addr, error) ||
      !parse_deployment(settings, fk_json_get(json, "deployment"), error))
    return NULL;
  return g_steal_pointer(&settings);
}

static const FkTuningField fields[] = {
    {"window_s", offsetof(FkTuning, window_s), 1, 600},
    {"max_wait_s", offsetof(FkTuning, max_wait_s), 0.1, 10000},
    {"span", offsetof(FkTuning, short_partition_span), 0, 1},
    {"cutoff_s", offsetof(FkTuning, short_cutoff_s), 0, 100000},
    {"probe_ratio", offsetof(FkTuning, probe_ratio), 1, 20},
    {"steal_after_s", offsetof(FkTuning, steal_after_s), 0, 600},
    {"idle_s", offsetof(FkTuning, idle_s), 1, 3600},
    {"headroom_s", offsetof(FkTuning, headroom_s), 0, 3600},
    {"slack", offsetof(FkTuning, deadline_slack), 0, 100},
    {"spot_patience", offsetof(FkTuning, spot_patience), 0, 1},
    {"silent_s", offsetof(FkTuning, silent_after_s), 2, 600},
    {"tell_after_s", offsetof(FkTuning, cancellation_barrier_s), 0, 45},
    {"door_connections", offsetof(FkTuning, admission.connections), 2, 100000},
    {"door_head_s", offsetof(FkTuning, admission.head_s), 0.1, 600},
    {"door_body_s", offsetof(FkTuning, admission.body_s), 0.1, 600},
    {"door_idle_s", offsetof(FkTuning, admission.idle_s), 0.1, 3600},
    {"door_send_s", offsetof(FkTuning, admission.send_s), 0.1, 600},
    {"door_memory_mb", offsetof(FkTuning, admission.memory_mb), 0.5, 100000},
};

const FkTuningField *fk_tuning_fields(guint *n) {
  *n = G_N_ELEMENTS(fields);
  return fields;
}

gboolean fk_tuning_parse(FkTuning *tuning, const char *body, gsize len, GError **error) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  if (!cJSON_IsObject(json))
    return fail(error, "operator settings", "not a JSON object");
  const cJSON *item;
  cJSON_ArrayForEach(item, json) {
    const FkTuningField *field = NULL;
    for (guint i = 0; i < G_N_ELEMENTS(fields); i++)
      if (g_str_equal(fields[i].name, item->string))
        field = &fields[i];
    if (!field)
      return fail(error, item->string, "no such setting");
    if (!cJSON_IsNumber(item) || item->valuedouble < field->min || item->valuedouble > field->max) {
      g_set_error(error, fk_settings_error(), 1, "%s: a number from %g to %g is needed", field->name,
                  field->min, field->max);
      return FALSE;
    }
    G_STRUCT_MEMBER(double, tuning, field->offset) = item->valuedouble;
  }
  return TRUE;
}
