/* Golden test of the formats on the wire, in the settings and in the store: guards against changing a format
 * by accident. Each line of data/forms.txt has KIND, ARGUMENT and TEXT, separated by tabs. TEXT is parsed and
 * printed again by the codec, and must come out byte for byte. Formats that are only parsed (settings,
 * operators' settings, routes) are listed field by field, and the list must equal TEXT. `--write` prints the
 * lines as the current code writes them; use it to create and update the file. */
#include <stdio.h>
#include <string.h>

#include "wire/cloud.h"
#include "wire/route.h"
#include "wire/settings.h"
#include "wire/store.h"
#include "wire/store_service.h"
#include "wire/user.h"
#include "wire/worker.h"

/* ------------------------------------------------------------------ the store */

/* A record; the argument is its path. */
static char *record(const char *argument, const char *text) {
  g_autoptr(cJSON) j = fk_json_parse(text, strlen(text));
  g_autoptr(FkRecord) r = fk_store_record_from_json(argument, j);
  g_autoptr(cJSON) printed = r ? fk_store_record_to_json(r) : NULL;
  return printed ? fk_json_print(printed) : NULL;
}

/* Parses a transaction as the store does, and prints it as a controller does. */
static char *transaction(const char *argument, const char *text) {
  g_autoptr(FkStoreTransaction) t = fk_store_parse_transaction(text, strlen(text));
  if (!t)
    return NULL;
  FkOutput o = {.kind = FK_OUTPUT_COMMIT,
                .guards = g_array_new(FALSE, FALSE, sizeof(FkGuard)),
                .writes = g_array_new(FALSE, FALSE, sizeof(FkWrite))};
  for (guint i = 0; i < t->conditions->len; i++) {
    const FkStoreCondition *c = &g_array_index(t->conditions, FkStoreCondition, i);
    FkGuard g = {c->path, {c->revision}};
    g_array_append_val(o.guards, g);
  }
  for (guint i = 0; i < t->changes->len; i++) {
    const FkTransactionWrite *c = &g_array_index(t->changes, FkTransactionWrite, i);
    g_autoptr(cJSON) j = c->value ? fk_json_parse(c->value, strlen(c->value)) : NULL;
    FkWrite w = {c->path, j ? fk_store_record_from_json(c->path, j) : NULL, {c->lease}};
    g_array_append_val(o.writes, w);
  }
  char *printed = fk_store_print_commit(&o);
  for (guint i = 0; i < o.writes->len; i++)
    fk_record_free(g_array_index(o.writes, FkWrite, i).record);
  g_array_unref(o.guards);
  g_array_unref(o.writes);
  return printed;
}

/* One page of a list or, if the argument is "events", the reply to a watch. */
static char *list_or_watch(const char *argument, const char *text) {
  gboolean watch = g_str_equal(argument, "events"), more = FALSE;
  FkRev epoch = {0};
  g_autoptr(GPtrArray) events = watch ? fk_store_parse_watch(text, strlen(text), &epoch)
                                      : fk_store_parse_list(text, strlen(text), &more, &epoch);
  if (!events)
    return NULL;
  cJSON *list = cJSON_CreateArray();
  for (guint i = 0; i < events->len; i++) {
    const FkStoreEvent *e = events->pdata[i];
    g_autoptr(cJSON) j = e->record ? fk_store_record_to_json(e->record) : NULL;
    g_autofree char *value = j ? fk_json_print(j) : NULL;
    cJSON_AddItemToArray(list, watch ? fk_store_event_to_json(e->path, value, e->rev.n)
                                     : fk_store_item_to_json(e->path, value, e->rev.n, 0));
  }
  return watch ? fk_store_print_events(list, epoch.n) : fk_store_print_items(list, more, epoch.n);
}

/* The store's reply to a transaction: committed (argument "epoch") or not ("conflict"). */
static char *transaction_reply(const char *argument, const char *text) {
  g_autoptr(cJSON) j = fk_json_parse(text, strlen(text));
  g_autoptr(GPtrArray) failed = fk_store_parse_failed(j);
  FkRev epoch = fk_store_parse_revision(j);
  return g_str_equal(argument, "conflict") ? fk_store_print_conflict(failed, epoch.n)
                                           : fk_store_print_revision(epoch.n);
}

/* The store's reply to a lease grant. */
static char *lease(const char *argument, const char *text) {
  g_autoptr(cJSON) j = fk_json_parse(text, strlen(text));
  guint64 n;
  return fk_json_u64(j, "tether", &n) ? fk_store_print_lease(n) : NULL;
}

/* ------------------------------------------------------------------ workers */

/* A worker's heartbeat. */
static char *heartbeat(const char *argument, const char *text) {
  g_autoptr(FkHeartbeat) r = fk_worker_parse_heartbeat(text, strlen(text));
  return r ? fk_worker_print_heartbeat(r) : NULL;
}

/* Commands for a worker. If the argument is "commands": the body of a controller's request to the worker.
 * Otherwise: the reply to a heartbeat; the argument is the reply's HTTP status. */
static char *worker_commands(const char *argument, const char *text) {
  gboolean is_commands_request = g_str_equal(argument, "commands");
  int status = is_commands_request ? 200 : (int)g_ascii_strtoull(argument, NULL, 10);
  g_autoptr(FkWorkerCommands) x = is_commands_request
                                      ? fk_worker_parse_commands(text, strlen(text))
                                      : fk_worker_parse_reply((guint)status, text, strlen(text));
  if (!x)
    return NULL;
  const FkOutput o = {.status = status,
                      .fencing_token = x->fencing_token,
                      .incarnation = x->incarnation,
                      .commands = x->commands,
                      .redirect_to = x->redirect};
  return is_commands_request ? fk_worker_print_commands(&o) : fk_worker_print_reply(&o);
}

/* ------------------------------------------------------------------ users */

/* A user's submission of a job. */
static char *submission(const char *argument, const char *text) {
  const char *why = NULL;
  g_autoptr(FkSpec) s = fk_user_parse_submission(text, strlen(text), &why);
  return s ? fk_user_print_submission(s) : NULL;
}

/* The reply to a user about a job; the argument is the job's id. */
static char *job_state(const char *argument, const char *text) {
  FkJobState s;
  if (!fk_user_parse_state(text, strlen(text), &s))
    return NULL;
  const FkOutput o = {
      .status = 200, .job = (char *)argument, .phase = s.phase, .done = s.done, .running = s.running};
  return fk_user_print_reply(&o);
}

/* An error reply to a user; the argument is the HTTP status. */
static char *error_reply(const char *argument, const char *text) {
  const FkOutput o = {.status = (int)g_ascii_strtoull(argument, NULL, 10)};
  return fk_user_print_reply(&o);
}

/* The error reply to an invalid request of a user. The reason is parsed from TEXT and printed again. */
static char *error_reason(const char *argument, const char *text) {
  g_autoptr(cJSON) j = fk_json_parse(text, strlen(text));
  return fk_json_str(j, "error") ? fk_user_print_error(fk_json_str(j, "error")) : NULL;
}

/* The reason for which the submission in the argument is rejected. */
static char *malformed(const char *argument, const char *text) {
  const char *why = "taken";
  g_autoptr(FkSpec) s = fk_user_parse_submission(argument, strlen(argument), &why);
  return g_strdup(why);
}

/* ------------------------------------------------------------------ the cloud */

/* The cloud's instance types. */
static char *instance_types(const char *argument, const char *text) {
  g_autoptr(GPtrArray) list = fk_cloud_parse_types(text, strlen(text));
  return list ? fk_cloud_print_types(list) : NULL;
}

/* The cloud's list of machines. */
static char *machines(const char *argument, const char *text) {
  gboolean more;
  g_autoptr(GPtrArray) list = fk_cloud_parse_machines(text, strlen(text), &more);
  return list ? fk_cloud_print_machines(list, more) : NULL;
}

/* A request to provision machines. */
static char *provision(const char *argument, const char *text) {
  g_autoptr(FkInstanceRequest) r = fk_cloud_parse_instance_request(text, strlen(text));
  if (!r)
    return NULL;
  const FkOutput o = {.name = r->name, .type = r->type, .zone = r->zone, .spot = r->spot, .count = r->count};
  return fk_cloud_print_provision(&o);
}

/* Names of machines: provisioned ones or, if the argument is "return", ones to terminate. */
static char *machine_names(const char *argument, const char *text) {
  g_autoptr(GPtrArray) list = fk_cloud_parse_machine_ids(text, strlen(text));
  const FkOutput o = {.names = list};
  return !list                             ? NULL
         : g_str_equal(argument, "return") ? fk_cloud_print_terminate(&o)
                                           : fk_cloud_print_machine_ids(list);
}

/* The cloud's reply that it has no capacity for a machine type. */
static char *no_capacity(const char *argument, const char *text) {
  return fk_cloud_is_no_capacity(text, strlen(text)) ? fk_cloud_print_no_capacity() : NULL;
}

/* ------------------------------------------------------------------ settings and routes */

/* The platform's settings in the argument, as a list of the parsed fields; or the error. */
static char *settings(const char *argument, const char *text) {
  g_autoptr(GError) error = NULL;
  g_autoptr(FkSettings) s = fk_settings_parse(argument, strlen(argument), &error);
  if (!s)
    return g_strdup(error->message);
  GString *l = g_string_new(NULL);
  g_string_printf(l, "%s %s %s %s %s %s;", s->node, s->zone, s->listen_addr, s->peer_listen_addr,
                  s->cloud_addr, s->store_addr);
  for (guint i = 0; i < s->peers->len; i++) {
    const FkPeer *p = s->peers->pdata[i];
    g_string_append_printf(l, " peer %s %s %s;", p->name, p->zone, p->addr);
  }
  for (guint i = 0; i < s->zones->len; i++)
    g_string_append_printf(l, " zone %s;", (char *)s->zones->pdata[i]);
  for (guint i = 0; i < s->teams->len; i++) {
    const FkTeam *t = s->teams->pdata[i];
    g_string_append_printf(l, " team %s %g %g %g %g;", t->name, t->guaranteed_cpus, t->max_cpus,
                           t->guaranteed_gpus, t->max_gpus);
  }
  for (guint i = 0; i < s->objectives->len; i++) {
    const FkObjective *o = s->objectives->pdata[i];
    g_string_append_printf(l, " objective %s %s %g %g;", o->kind, o->class_name, o->within_s, o->share);
  }
  g_string_append_printf(l, " %g %g %g; %g %g %g %g; %g %g %u; %g %g; %g %g %g; %g", s->heartbeat_interval_s,
                         s->worker_lease_s, s->cancellation_deadline_s, s->store_rps, s->store_write_rps,
                         s->next_store_rps, s->next_store_write_rps, s->value_kb, s->current_value_limit_kb,
                         s->transaction_ops_max, s->cloud_rps, s->cloud_list_lag_s, s->cpus, s->ram_mb,
                         s->sockets, s->clock_offset_ms);
  return g_string_free(l, FALSE);
}

/* The operators' settings in the argument, as a list of all fields with their values and ranges; or the
 * error. */
static char *tuning(const char *argument, const char *text) {
  g_autoptr(FkSettings) s = fk_settings_new();
  g_autoptr(GError) error = NULL;
  if (!fk_tuning_parse(&s->tuning, argument, strlen(argument), &error))
    return g_strdup(error->message);
  GString *l = g_string_new(NULL);
  guint n;
  const FkTuningField *f = fk_tuning_fields(&n);
  for (guint i = 0; i < n; i++)
    g_string_append_printf(l, "%s%s %g (%g to %g)", i ? "; " : "", f[i].name,
                           G_STRUCT_MEMBER(double, &s->tuning, f[i].offset), f[i].min, f[i].max);
  return g_string_free(l, FALSE);
}

/* The method and path in the argument, as the name of the route and the job's id, if any. */
static char *route(const char *argument, const char *text) {
  const char *job = NULL, *path = strchr(argument, ' ') + 1, *word = "?";
  g_autofree char *method = g_strndup(argument, (gsize)(path - 1 - argument));
  gsize len = 0;
  switch (fk_route_match(method, path, &job, &len)) {
  case FK_ROUTE_NONE:
    word = "404";
    break;
  case FK_ROUTE_WRONG_METHOD:
    word = "405";
    break;
  case FK_ROUTE_HEALTH:
    word = "up";
    break;
  case FK_ROUTE_HEARTBEAT:
    word = "report";
    break;
  case FK_ROUTE_SUBMIT:
    word = "submit";
    break;
  case FK_ROUTE_POLL:
    word = "poll";
    break;
  case FK_ROUTE_CANCEL:
    word = "cancel";
    break;
  }
  return g_strdup_printf("%s%s%.*s", word, job ? " " : "", (int)len, job ? job : "");
}

/* ------------------------------------------------------------------ the file */

static const struct {
  const char *kind;
  /* Parses and prints again. Returns NULL if the text cannot be parsed. */
  char *(*round_trip)(const char *argument, const char *text);
  guint lines_min; /* lines of this kind that the file must have at least */
} kinds[] = {{"record", record, 11},
             {"transaction", transaction, 2},
             {"items", list_or_watch, 2},
             {"outcome", transaction_reply, 2},
             {"hold", lease, 1},
             {"report", heartbeat, 2},
             {"orders", worker_commands, 3},
             {"submission", submission, 4},
             {"state", job_state, 4},
             {"refusal", error_reply, 4},
             {"fault", error_reason, 1},
             {"malformed", malformed, 3},
             {"types", instance_types, 1},
             {"machines", machines, 1},
             {"rent", provision, 2},
             {"names", machine_names, 2},
             {"no_capacity", no_capacity, 1},
             {"settings", settings, 3},
             {"tuning", tuning, 3},
             {"route", route, 10}};

/* Checks that each line of the file comes out as it went in, and that there are enough lines of each kind. */
int main(int argc, char **argv) {
  gboolean write = argc == 2 && g_str_equal(argv[1], "--write");
  g_autofree char *file = NULL;
  if (!g_file_get_contents(FK_SOURCE_DIR "/test/data/forms.txt", &file, NULL, NULL)) {
    fprintf(stderr, "test/data/forms.txt: cannot be read\n");
    return 1;
  }
  g_auto(GStrv) lines = g_strsplit(g_strchomp(file), "\n", -1);
  guint lines_of_kind[G_N_ELEMENTS(kinds)] = {0}, failures = 0;
  for (guint n = 0; lines[n]; n++) {
    g_auto(GStrv) parts = g_strsplit(lines[n], "\t", 3);
    guint k = 0;
    while (k < G_N_ELEMENTS(kinds) && !g_str_equal(kinds[k].kind, parts[0] ? parts[0] : ""))
      k++;
    if (k == G_N_ELEMENTS(kinds) || g_strv_length(parts) != 3) {
      fprintf(stderr, "line %u: expected a known kind, an argument and a text, separated by tabs\n", n + 1);
      failures++;
      continue;
    }
    lines_of_kind[k]++;
    g_autofree char *printed = kinds[k].round_trip(parts[1], parts[2]);
    if (write) {
      printf("%s\t%s\t%s\n", parts[0], parts[1], printed ? printed : "NOT READ");
    } else if (g_strcmp0(printed, parts[2]) != 0) {
      fprintf(stderr, "line %u, %s %s:\n  expected %s\n  printed  %s\n", n + 1, parts[0], parts[1], parts[2],
              printed ? printed : "cannot be parsed");
      failures++;
    }
  }
  for (guint k = 0; k < G_N_ELEMENTS(kinds); k++)
    if (lines_of_kind[k] < kinds[k].lines_min) {
      fprintf(stderr, "%s: %u lines, expected at least %u\n", kinds[k].kind, lines_of_kind[k],
              kinds[k].lines_min);
      failures++;
    }
  return failures ? 1 : 0;
}
