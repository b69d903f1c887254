#include "rig.h"

#include <string.h>

#include "wire/settings.h"
#include "wire/store.h"

void pump(Rig *r) {
  FkOutput *o;
  while ((o = fk_controller_next_output(r->c)))
    g_ptr_array_add(r->outs, o);
}

FkOutput *find(Rig *r, FkOutputKind kind, const char *key) {
  for (guint i = r->outs->len; i--;) {
    FkOutput *o = r->outs->pdata[i];
    gboolean hit = o->kind == kind && !key;
    for (guint k = 0; key && o->kind == kind && o->writes && k < o->writes->len; k++)
      hit |= g_str_has_prefix(g_array_index(o->writes, FkWrite, k).path, key);
    if (hit)
      return o;
  }
  return NULL;
}

void tick(Rig *r, double s) {
  for (double t = 0; t < s; t += 0.1) {
    r->now = fk_time_add(r->now, 0.1);
    fk_controller_tick(r->c, r->now, r->now.us + 5000000);
    pump(r);
  }
}

/* The watch tells of changes, all of one revision. `lines`: path and JSON by turns, NULL at the end. */
void watched(Rig *r, const char *const *lines) {
  g_autoptr(GPtrArray) events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_store_event_free);
  r->epoch++;
  for (guint i = 0; lines && lines[i]; i += 2) {
    FkStoreEvent *e = g_new0(FkStoreEvent, 1);
    e->path = g_strdup(lines[i]);
    e->rev.n = r->epoch;
    g_autoptr(cJSON) j = fk_json_parse(lines[i + 1], strlen(lines[i + 1]));
    e->record = fk_store_record_from_json(lines[i], j);
    g_assert_nonnull(e->record);
    g_ptr_array_add(events, e);
  }
  fk_controller_watch_received(r->c, r->now, FK_OUTCOME_OK, events, (FkRev){r->epoch}, r->now);
  pump(r);
}

char *group_key(const char *kind) {
  g_autofree char *id = fk_shard_id_for_machine("north", "i-1");
  return g_strconcat("fk/l/", kind, "/", id, NULL);
}

/* A controller that is ready, and home to machine i-1; `life` of the claim. */
Rig *rig_new(gboolean ours) {
  Rig *r = g_new0(Rig, 1);
  g_autofree char *text = NULL;
  gsize len;
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/test/data/good.json", &text, &len, NULL));
  r->s = fk_settings_parse(text, len, NULL);
  r->now.us = 100000000;
  r->epoch = 10;
  r->outs = g_ptr_array_new_with_free_func((GDestroyNotify)fk_output_free);
  r->c = fk_controller_new(r->s, "now", 1, r->now);
  tick(r, 0.1);
  g_autoptr(GPtrArray) none = g_ptr_array_new();
  fk_controller_list_received(r->c, r->now, FK_OUTCOME_OK, none, FALSE, (FkRev){10});
  GPtrArray *types = g_ptr_array_new();
  FkInstanceType *t = g_new0(FkInstanceType, 1);
  *t = (FkInstanceType){g_strdup("box8"), 8, 0, 32, 1, 0.4, 0.1, 5, g_strsplit("north,south", ",", 0)};
  g_ptr_array_add(types, t);
  fk_controller_instance_types_received(r->c, r->now, FK_OUTCOME_OK, types);
  g_ptr_array_unref(types);
  g_autofree char *claim = group_key("g"), *page = group_key("m");
  g_autofree char *claim_value =
      ours ? g_strdup("{\"node\":\"c-0\",\"life\":\"now\"}") : g_strdup("{\"node\":\"c-1\",\"life\":\"x\"}");
  const char *lines[] = {claim,
                         claim_value,
                         page,
                         "{\"zone\":\"north\",\"m\":[[\"i-1\",\"box8\",\"127.0.0.1:9\",0]]}",
                         "fk/l/j/run-1",
                         SPEC,
                         "fk/l/n/c-0",
                         "{\"life\":\"now\"}",
                         "fk/l/n/c-2",
                         "{\"life\":\"y\"}",
                         NULL};
  watched(r, lines);
  return r;
}

void rig_free(Rig *r) {
  fk_controller_free(r->c);
  g_ptr_array_unref(r->outs);
  fk_settings_free(r->s);
  g_free(r);
}

void report(Rig *r, guint64 session, guint64 seq, guint64 token, const char *state, FkExitReason why) {
  FkHeartbeat *rep = fk_heartbeat_new();
  rep->machine = g_strdup("i-1");
  rep->addr = g_strdup("127.0.0.1:9");
  rep->type = g_strdup("box8");
  rep->zone = g_strdup("north");
  rep->incarnation = session;
  rep->sequence = seq;
  rep->fencing_token.n = token;
  if (state) {
    FkTaskStatus *t = g_new0(FkTaskStatus, 1);
    *t = (FkTaskStatus){
        g_strdup("run-1"), 0, {1}, g_str_equal(state, "running") ? FK_TASK_RUNNING : FK_TASK_EXITED, why};
    g_ptr_array_add(rep->tasks, t);
  }
  fk_controller_heartbeat_received(r->c, r->now, (FkRequestId){seq}, rep);
  pump(r);
}

gboolean guarded(const FkOutput *t, const char *prefix) {
  for (guint i = 0; i < t->guards->len; i++)
    if (g_str_has_prefix(g_array_index(t->guards, FkGuard, i).path, prefix))
      return TRUE;
  return FALSE;
}

guint starts(const FkOutput *o) {
  guint n = 0;
  for (guint i = 0; o && o->commands && i < o->commands->len; i++)
    n += ((FkCommand *)o->commands->pdata[i])->kind == FK_COMMAND_START;
  return n;
}

FkHeartbeat *says(Rig *r, const char *machine, const char *zone, guint64 session, guint64 seq) {
  FkHeartbeat *rep = fk_heartbeat_new();
  rep->machine = g_strdup(machine);
  rep->addr = g_strdup("127.0.0.1:9");
  rep->type = g_strdup("box8");
  rep->zone = g_strdup(zone);
  rep->incarnation = session;
  rep->sequence = seq;
  g_autofree char *group = fk_shard_id_for_machine(zone, machine);
  rep->fencing_token.n =
      fk_view_ensure_shard(fk_controller_view(r->c), group)->rev.n; /* it has seen its home's claim */
  return rep;
}

void report_of(Rig *r, const char *machine, const char *zone) {
  guint64 seq = ++r->tally;
  fk_controller_heartbeat_received(r->c, r->now, (FkRequestId){seq}, says(r, machine, zone, 1, seq));
  pump(r);
}

char *machine_page(const char *zone, const char *name, guint n, GPtrArray *ids) {
  g_autofree char *first_id = g_strconcat(name, "-1", NULL),
                  *first_shard = fk_shard_id_for_machine(zone, first_id);
  GString *page = g_string_new(NULL);
  g_string_printf(page, "{\"zone\":\"%s\",\"m\":[", zone);
  guint first = ids->len;
  for (guint k = 1; ids->len < first + n; k++) {
    g_autofree char *id = g_strdup_printf("%s-%u", name, k), *shard = fk_shard_id_for_machine(zone, id);
    if (!g_str_equal(shard, first_shard))
      continue;
    g_string_append_printf(page, "%s[\"%s\",\"box8\",\"127.0.0.1:9\",0]", ids->len > first ? "," : "", id);
    g_ptr_array_add(ids, g_steal_pointer(&id));
  }
  g_string_append(page, "]}");
  return g_string_free(page, FALSE);
}
