#include "wire/settings.h"

#include <gio/gio.h>
#include <string.h>

#include "fair_share/quota.h"

GQuark fk_settings_error(void) { return g_quark_from_static_string("fk-settings"); }

static gboolean fail(GError **error, const char *field, const char *what) {
  g_set_error(error, fk_settings_error(), 1, "%s: %s", field, what);
  return FALSE;
}

static gboolean parse_string(const cJSON *o, const char *field, char **out, GError **error) {
  const char *s = fk_json_str(o, field);
  if (!s || !*s)
    return fail(error, field, "a non-empty string is needed");
  *out = g_strdup(s);
  return TRUE;
}

static gboolean parse_address(const cJSON *o, const char *field, char **out, GError **error) {
  if (!parse_string(o, field, out, error))
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

static gboolean parse_number(const cJSON *o, const char *field, double min, double *out, GError **error) {
  if (!fk_json_num(o, field, out) || !(*out >= min && *out <= NUMBER_MAX)) {
    g_set_error(error, fk_settings_error(), 1, "%s: a number from %g to %g is needed", field, min,
                NUMBER_MAX);
    return FALSE;
  }
  return TRUE;
}

/* One that may be missing. */
static gboolean parse_number_or(const cJSON *o, const char *field, double min, double other, double *out,
                                GError **error) {
  *out = other;
  return !fk_json_get(o, field) || parse_number(o, field, min, out, error);
}

static gboolean parse_teams(FkSettings *s, const cJSON *list, GError **error) {
  const cJSON *j;
  if (!cJSON_IsArray(list))
    return fail(error, "deployment.teams", "a list is needed");
  cJSON_ArrayForEach(j, list) {
    FkTeam *t = g_new0(FkTeam, 1);
    g_ptr_array_add(s->teams, t);
    if (!parse_string(j, "name", &t->name, error) ||
        !parse_number(j, "cpus", 0, &t->guaranteed_cpus, error) ||
        !parse_number(j, "cpus_max", 0, &t->max_cpus, error) ||
        !parse_number(j, "gpus", 0, &t->guaranteed_gpus, error) ||
        !parse_number(j, "gpus_max", 0, &t->max_gpus, error))
      return FALSE;
    t->max_cpus = fk_quota_from_setting(t->max_cpus);
    t->max_gpus = fk_quota_from_setting(t->max_gpus);
  }
  return TRUE;
}

static gboolean parse_peers(FkSettings *s, const cJSON *list, GError **error) {
  const cJSON *j;
  if (!cJSON_IsArray(list))
    return fail(error, "seeds", "a list is needed");
  cJSON_ArrayForEach(j, list) {
    FkPeer *p = g_new0(FkPeer, 1);
    g_ptr_array_add(s->peers, p);
    if (!parse_string(j, "node", &p->name, error) || !parse_string(j, "site", &p->zone, error) ||
        !parse_address(j, "peer_addr", &p->addr, error))
      return FALSE;
  }
  return TRUE;
}

/* The limits to come: what is written must fit them as well as those of now. */
static gboolean parse_next_limits(FkSettings *s, const cJSON *state, GError **error) {
  const cJSON *next = fk_json_get(state, "next");
  double ops = s->transaction_ops_max, value_kb = s->value_kb;
  s->next_store_rps = s->store_rps;
  s->next_store_write_rps = s->store_write_rps;
  s->current_value_kb = s->value_kb;
  if (!next)
    return TRUE;
  if (!cJSON_IsObject(next))
    return fail(error, "deployment.state.next", "an object is needed");
  if (!parse_number_or(next, "rps", 1, s->store_rps, &s->next_store_rps, error) ||
      !parse_number_or(next, "write_rps", 1, s->store_write_rps, &s->next_store_write_rps, error) ||
      !parse_number_or(next, "value_kb", 1, s->value_kb, &value_kb, error) ||
      !parse_number_or(next, "txn_ops", 4, s->transaction_ops_max, &ops, error))
    return FALSE;
  s->next_store_rps = MIN(s->next_store_rps, s->store_rps);
  s->next_store_write_rps = MIN(s->next_store_write_rps, s->store_write_rps);
  s->value_kb = MIN(s->value_kb, value_kb);
  s->transaction_ops_max = (guint)MIN(s->transaction_ops_max, ops);
  return TRUE;
}

static gboolean parse_deployment(FkSettings *s, const cJSON *d, GError **error) {
  const cJSON *j, *w = fk_json_get(d, "workers"), *st = fk_json_get(d, "state"),
                  *cl = fk_json_get(d, "cloud"), *res = fk_json_get(d, "resources"),
                  *zones = fk_json_get(d, "zones");
  double ops;
  if (!cJSON_IsObject(d))
    return fail(error, "deployment", "an object is needed");
  if (!cJSON_IsArray(zones))
    return fail(error, "deployment.zones", "a list is needed");
  cJSON_ArrayForEach(j, zones) {
    if (!cJSON_IsString(j))
      return fail(error, "deployment.zones", "strings are needed");
    g_ptr_array_add(s->zones, g_strdup(j->valuestring));
  }
  if (!parse_teams(s, fk_json_get(d, "teams"), error))
    return FALSE;
  cJSON_ArrayForEach(j, fk_json_get(d, "objectives")) {
    FkObjective *o = g_new0(FkObjective, 1);
    o->kind = g_strdup(fk_json_str(j, "kind"));
    o->class_name = g_strdup(fk_json_str(j, "class"));
    o->within_s = fk_json_num_or(j, "within_s", 0);
    o->share = fk_json_num_or(j, "share", 0);
    g_ptr_array_add(s->objectives, o);
  }
  if (!parse_number(w, "report_s", 0.01, &s->heartbeat_interval_s, error) ||
      !parse_number(w, "lease_s", 0.1, &s->worker_lease_s, error) ||
      !parse_number(w, "cancel_s", 0.1, &s->cancellation_deadline_s, error) ||
      !parse_number(st, "rps", 1, &s->store_rps, error) ||
      !parse_number(st, "write_rps", 1, &s->store_write_rps, error) ||
      !parse_number(st, "value_kb", 1, &s->value_kb, error) || !parse_number(st, "txn_ops", 4, &ops, error) ||
      !parse_number(cl, "rps", 0.1, &s->cloud_rps, error) ||
      !parse_number(cl, "list_lag_s", 0, &s->cloud_list_lag_s, error) ||
      !parse_number_or(res, "cpu", 0.001, 1, &s->cpus, error) ||
      !parse_number_or(res, "ram_mb", 1, 256, &s->ram_mb, error) ||
      !parse_number_or(res, "sockets", 50, 1000, &s->sockets, error) ||
      !parse_number_or(d, "clock_off_ms", 0, 1000, &s->clock_offset_ms, error))
    return FALSE;
  s->transaction_ops_max = (guint)ops;
  return parse_next_limits(s, st, error);
}

FkSettings *fk_settings_parse(const char *body, gsize len, GError **error) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  g_autoptr(FkSettings) s = fk_settings_new();
  if (!cJSON_IsObject(o)) {
    fail(error, "settings", "not a JSON object");
    return NULL;
  }
  const cJSON *outside = fk_json_get(o, "outside");
  if (!parse_string(o, "node", &s->node, error) || !parse_string(o, "site", &s->zone, error) ||
      !parse_address(o, "serve_on", &s->listen_addr, error) ||
      !parse_address(o, "mesh_addr", &s->peer_listen_addr, error) ||
      !parse_peers(s, fk_json_get(o, "seeds"), error) ||
      !parse_address(outside, "cloud", &s->cloud_addr, error) ||
      !parse_address(outside, "state", &s->store_addr, error) ||
      !parse_deployment(s, fk_json_get(o, "deployment"), error))
    return NULL;
  return g_steal_pointer(&s);
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

gboolean fk_tuning_parse(FkTuning *t, const char *body, gsize len, GError **error) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  if (!cJSON_IsObject(o))
    return fail(error, "operator settings", "not a JSON object");
  const cJSON *j;
  cJSON_ArrayForEach(j, o) {
    const FkTuningField *f = NULL;
    for (guint i = 0; i < G_N_ELEMENTS(fields); i++)
      if (g_str_equal(fields[i].name, j->string))
        f = &fields[i];
    if (!f)
      return fail(error, j->string, "no such setting");
    if (!cJSON_IsNumber(j) || j->valuedouble < f->min || j->valuedouble > f->max) {
      g_set_error(error, fk_settings_error(), 1, "%s: a number from %g to %g is needed", f->name, f->min,
                  f->max);
      return FALSE;
    }
    G_STRUCT_MEMBER(double, t, f->offset) = j->valuedouble;
  }
  return TRUE;
}
