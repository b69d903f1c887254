#include "wire/settings.h"

#include <gio/gio.h>
#include <string.h>

#include "fair_share/quota.h"

GQuark fk_settings_error(void) { return g_quark_from_static_string("fk-settings"); }

static gboolean fail(GError **error, const char *field, const char *what) {
  g_set_error(error, fk_settings_error(), 1, "%s: %s", field, what);
  return FALSE;
}

static gboolean take_str(const cJSON *o, const char *field, char **out, GError **error) {
  const char *s = fk_json_str(o, field);
  if (!s || !*s)
    return fail(error, field, "a non-empty string is needed");
  *out = g_strdup(s);
  return TRUE;
}

static gboolean take_addr(const cJSON *o, const char *field, char **out, GError **error) {
  if (!take_str(o, field, out, error))
    return FALSE;
  g_autoptr(GInetSocketAddress) addr = NULL;
  const char *colon = strrchr(*out, ':');
  guint64 port;
  g_autofree char *host = colon ? g_strndup(*out, colon - *out) : NULL;
  if (!host || !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL) ||
      !g_hostname_is_ip_address(host))
    return fail(error, field, "an IP address and port is needed, like 10.0.0.1:8080");
  return TRUE;
}

#define NUMBER_MAX 1e9 /* no resource, rate or time of ours is larger; all whole types hold it */

static gboolean take_num(const cJSON *o, const char *field, double min, double *out, GError **error) {
  if (!fk_json_num(o, field, out) || !(*out >= min && *out <= NUMBER_MAX)) {
    g_set_error(error, fk_settings_error(), 1, "%s: a number from %g to %g is needed", field, min,
                NUMBER_MAX);
    return FALSE;
  }
  return TRUE;
}

/* One that may be missing. */
static gboolean take_num_or(const cJSON *o, const char *field, double min, double other, double *out,
                            GError **error) {
  *out = other;
  return !fk_json_get(o, field) || take_num(o, field, min, out, error);
}

static gboolean parse_teams(FkSettings *s, const cJSON *list, GError **error) {
  const cJSON *j;
  if (!cJSON_IsArray(list))
    return fail(error, "deployment.teams", "a list is needed");
  cJSON_ArrayForEach(j, list) {
    FkTeam *t = g_new0(FkTeam, 1);
    g_ptr_array_add(s->teams, t);
    if (!take_str(j, "name", &t->name, error) || !take_num(j, "cpus", 0, &t->cpus, error) ||
        !take_num(j, "cpus_max", 0, &t->cpus_max, error) || !take_num(j, "gpus", 0, &t->gpus, error) ||
        !take_num(j, "gpus_max", 0, &t->gpus_max, error))
      return FALSE;
    t->cpus_max = fk_limit_of(t->cpus_max);
    t->gpus_max = fk_limit_of(t->gpus_max);
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
    if (!take_str(j, "node", &p->name, error) || !take_str(j, "site", &p->zone, error) ||
        !take_addr(j, "peer_addr", &p->addr, error))
      return FALSE;
  }
  return TRUE;
}

/* The limits to come: what is written must fit them as well as those of now. */
static gboolean parse_next(FkSettings *s, const cJSON *state, GError **error) {
  const cJSON *next = fk_json_get(state, "next");
  double ops = s->txn_ops, value_kb = s->value_kb;
  s->next_rps = s->state_rps;
  s->next_write_rps = s->state_write_rps;
  s->now_value_kb = s->value_kb;
  if (!next)
    return TRUE;
  if (!cJSON_IsObject(next))
    return fail(error, "deployment.state.next", "an object is needed");
  if (!take_num_or(next, "rps", 1, s->state_rps, &s->next_rps, error) ||
      !take_num_or(next, "write_rps", 1, s->state_write_rps, &s->next_write_rps, error) ||
      !take_num_or(next, "value_kb", 1, s->value_kb, &value_kb, error) ||
      !take_num_or(next, "txn_ops", 4, s->txn_ops, &ops, error))
    return FALSE;
  s->next_rps = MIN(s->next_rps, s->state_rps);
  s->next_write_rps = MIN(s->next_write_rps, s->state_write_rps);
  s->value_kb = MIN(s->value_kb, value_kb);
  s->txn_ops = (guint)MIN(s->txn_ops, ops);
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
  if (!take_num(w, "report_s", 0.01, &s->report_s, error) ||
      !take_num(w, "lease_s", 0.1, &s->lease_s, error) ||
      !take_num(w, "cancel_s", 0.1, &s->cancel_s, error) || !take_num(st, "rps", 1, &s->state_rps, error) ||
      !take_num(st, "write_rps", 1, &s->state_write_rps, error) ||
      !take_num(st, "value_kb", 1, &s->value_kb, error) || !take_num(st, "txn_ops", 4, &ops, error) ||
      !take_num(cl, "rps", 0.1, &s->cloud_rps, error) ||
      !take_num(cl, "list_lag_s", 0, &s->list_lag_s, error) ||
      !take_num_or(res, "cpu", 0.001, 1, &s->cpu, error) ||
      !take_num_or(res, "ram_mb", 1, 256, &s->ram_mb, error) ||
      !take_num_or(res, "sockets", 50, 1000, &s->sockets, error) ||
      !take_num_or(d, "clock_off_ms", 0, 1000, &s->clock_off_ms, error))
    return FALSE;
  s->txn_ops = (guint)ops;
  return parse_next(s, st, error);
}

FkSettings *fk_settings_parse(const char *body, gsize len, GError **error) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  g_autoptr(FkSettings) s = fk_settings_new();
  if (!cJSON_IsObject(o)) {
    fail(error, "settings", "not a JSON object");
    return NULL;
  }
  const cJSON *outside = fk_json_get(o, "outside");
  if (!take_str(o, "node", &s->node, error) || !take_str(o, "site", &s->zone, error) ||
      !take_addr(o, "serve_on", &s->listen, error) || !take_addr(o, "mesh_addr", &s->mesh, error) ||
      !parse_peers(s, fk_json_get(o, "seeds"), error) || !take_addr(outside, "cloud", &s->cloud, error) ||
      !take_addr(outside, "state", &s->state, error) ||
      !parse_deployment(s, fk_json_get(o, "deployment"), error))
    return NULL;
  return g_steal_pointer(&s);
}

static const FkTuningField fields[] = {
    {"window_s", offsetof(FkTuning, window_s), 1, 600},
    {"max_wait_s", offsetof(FkTuning, max_wait_s), 0.1, 10000},
    {"span", offsetof(FkTuning, span), 0, 1},
    {"cutoff_s", offsetof(FkTuning, cutoff_s), 0, 100000},
    {"probe_ratio", offsetof(FkTuning, probe_ratio), 1, 20},
    {"steal_after_s", offsetof(FkTuning, steal_after_s), 0, 600},
    {"idle_s", offsetof(FkTuning, idle_s), 1, 3600},
    {"headroom_s", offsetof(FkTuning, headroom_s), 0, 3600},
    {"slack", offsetof(FkTuning, slack), 0, 100},
    {"spot_patience", offsetof(FkTuning, spot_patience), 0, 1},
    {"silent_s", offsetof(FkTuning, silent_s), 2, 600},
    {"tell_after_s", offsetof(FkTuning, tell_after_s), 0, 45},
    {"door_connections", offsetof(FkTuning, door.connections), 2, 100000},
    {"door_head_s", offsetof(FkTuning, door.head_s), 0.1, 600},
    {"door_body_s", offsetof(FkTuning, door.body_s), 0.1, 600},
    {"door_idle_s", offsetof(FkTuning, door.idle_s), 0.1, 3600},
    {"door_send_s", offsetof(FkTuning, door.send_s), 0.1, 600},
    {"door_memory_mb", offsetof(FkTuning, door.memory_mb), 0.5, 100000},
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
