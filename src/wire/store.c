#include "wire/store.h"

#include <string.h>

/* ------------------------------------------------------------------ records */

static cJSON *spec_to_json(const FkSpec *s) {
  cJSON *o = cJSON_CreateObject();
  cJSON_AddStringToObject(o, "class", s->class_name);
  cJSON_AddStringToObject(o, "team", s->team);
  cJSON_AddNumberToObject(o, "shape", s->shape);
  cJSON_AddNumberToObject(o, "rank", s->priority);
  cJSON_AddNumberToObject(o, "tasks", s->tasks);
  cJSON_AddNumberToObject(o, "cpus", s->cpus);
  cJSON_AddNumberToObject(o, "gpus", s->gpus);
  cJSON_AddNumberToObject(o, "mem", s->mem_gb);
  cJSON_AddStringToObject(o, "image", s->image);
  cJSON_AddNumberToObject(o, "image_gb", s->image_gb);
  if (s->types) {
    cJSON *list = cJSON_AddArrayToObject(o, "types");
    for (guint i = 0; s->types[i]; i++)
      cJSON_AddItemToArray(list, cJSON_CreateString(s->types[i]));
  }
  if (s->zone)
    cJSON_AddStringToObject(o, "zone", s->zone);
  cJSON_AddBoolToObject(o, "one_zone", s->one_zone);
  cJSON_AddBoolToObject(o, "spread", s->spread);
  cJSON_AddBoolToObject(o, "spot", s->spot);
  cJSON_AddNumberToObject(o, "estimate", s->estimate_s);
  cJSON_AddNumberToObject(o, "checkpoint", s->checkpoint_s);
  cJSON_AddNumberToObject(o, "save", s->save_s);
  if (s->deadline_s >= 0)
    cJSON_AddNumberToObject(o, "deadline", s->deadline_s);
  cJSON_AddNumberToObject(o, "submitted", (double)s->submitted_ms);
  cJSON_AddStringToObject(o, "owner", s->owner ? s->owner : "");
  cJSON_AddNumberToObject(o, "chunk", s->chunk_tasks);
  if (s->dependencies) { /* a job without any keeps the form of before, byte by byte */
    cJSON *list = cJSON_AddArrayToObject(o, "needs");
    for (guint i = 0; s->dependencies[i]; i++)
      cJSON_AddItemToArray(list, cJSON_CreateString(s->dependencies[i]));
  }
  return o;
}

static FkSpec *spec_from_json(const char *id, const cJSON *o) {
  g_autoptr(FkSpec) s = fk_spec_new();
  guint64 shape, rank, tasks, chunk;
  if (!fk_json_str(o, "class") || !fk_json_str(o, "team") || !fk_json_str(o, "image") ||
      !fk_json_u64(o, "shape", &shape) || shape > FK_SHAPE_GANG || !fk_json_u64(o, "rank", &rank) ||
      rank > FK_JOB_PRIORITY_LOW || !fk_json_u64(o, "tasks", &tasks) || tasks < 1 || tasks > 100000 ||
      !fk_json_u64(o, "chunk", &chunk) || chunk < 1 || chunk > 100000)
    return NULL;
  s->id = g_strdup(id);
  s->class_name = g_strdup(fk_json_str(o, "class"));
  s->team = g_strdup(fk_json_str(o, "team"));
  s->shape = (FkShape)shape;
  s->priority = (FkJobPriority)rank;
  s->tasks = (guint32)tasks;
  s->chunk_tasks = (guint32)chunk;
  s->cpus = fk_json_num_or(o, "cpus", 0);
  s->gpus = fk_json_num_or(o, "gpus", 0);
  s->mem_gb = fk_json_num_or(o, "mem", 0);
  s->image = g_strdup(fk_json_str(o, "image"));
  s->image_gb = fk_json_num_or(o, "image_gb", 0);
  const cJSON *types = fk_json_get(o, "types"), *t;
  if (cJSON_IsArray(types)) {
    g_autoptr(GStrvBuilder) b = g_strv_builder_new();
    cJSON_ArrayForEach(t, types) if (cJSON_IsString(t)) g_strv_builder_add(b, t->valuestring);
    s->types = g_strv_builder_end(b);
  }
  s->zone = g_strdup(fk_json_str(o, "zone"));
  fk_json_bool(o, "one_zone", &s->one_zone);
  fk_json_bool(o, "spread", &s->spread);
  fk_json_bool(o, "spot", &s->spot);
  s->estimate_s = fk_json_num_or(o, "estimate", 0);
  s->checkpoint_s = fk_json_num_or(o, "checkpoint", 0);
  s->save_s = fk_json_num_or(o, "save", 0);
  s->deadline_s = fk_json_num_or(o, "deadline", -1);
  s->submitted_ms = (gint64)fk_json_num_or(o, "submitted", 0);
  s->owner = g_strdup(fk_json_str(o, "owner"));
  const cJSON *needs = fk_json_get(o, "needs");
  if (needs && cJSON_GetArraySize(needs)) {
    g_autoptr(GStrvBuilder) b = g_strv_builder_new();
    cJSON_ArrayForEach(t, needs) {
      if (!cJSON_IsString(t))
        return NULL; /* it must not start as if it needed nobody */
      g_strv_builder_add(b, t->valuestring);
    }
    s->dependencies = g_strv_builder_end(b);
  }
  return g_steal_pointer(&s);
}

/* A hexadecimal digit for four tasks. */
static void add_bits(cJSON *o, const char *name, const guint8 *set, guint32 count) {
  g_autoptr(GString) bits = g_string_new(NULL);
  for (guint32 i = 0; i < count; i += 4) {
    guint v = 0;
    for (guint32 k = i; k < MIN(i + 4, count); k++)
      v |= (guint)(set[k] != 0) << (k - i);
    g_string_append_printf(bits, "%x", v);
  }
  cJSON_AddStringToObject(o, name, bits->str);
}

static cJSON *page_to_json(const GPtrArray *members) {
  cJSON *o = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(o, "m");
  for (guint i = 0; i < members->len; i++) {
    const FkMachineRecord *m = members->pdata[i];
    cJSON *e = cJSON_CreateArray();
    if (!i)
      cJSON_AddStringToObject(o, "zone", m->zone);
    cJSON_AddItemToArray(e, cJSON_CreateString(m->id));
    cJSON_AddItemToArray(e, cJSON_CreateString(m->type));
    cJSON_AddItemToArray(e, cJSON_CreateString(m->addr));
    cJSON_AddItemToArray(e, cJSON_CreateNumber(m->spot));
    if (m->drain_reason) {
      cJSON_AddItemToArray(e, cJSON_CreateString(m->drain_reason));
      cJSON_AddItemToArray(e, cJSON_CreateNumber(m->notice_s));
    }
    cJSON_AddItemToArray(list, e);
  }
  return o;
}

static GPtrArray *page_from_json(const cJSON *o) {
  const cJSON *list = fk_json_get(o, "m"), *e;
  const char *zone = fk_json_str(o, "zone");
  if (!cJSON_IsArray(list) || (!zone && cJSON_GetArraySize(list)))
    return NULL;
  g_autoptr(GPtrArray) members = g_ptr_array_new_with_free_func(fk_machine_record_free);
  cJSON_ArrayForEach(e, list) {
    const cJSON *id = cJSON_GetArrayItem(e, 0), *type = id ? id->next : NULL,
                *addr = type ? type->next : NULL, *spot = addr ? addr->next : NULL,
                *mark = spot ? spot->next : NULL;
    if (!cJSON_IsString(id) || !cJSON_IsString(type) || !cJSON_IsString(addr) || !cJSON_IsNumber(spot))
      return NULL;
    FkMachineRecord *m = g_new0(FkMachineRecord, 1);
    m->id = g_strdup(id->valuestring);
    m->type = g_intern_string(type->valuestring);
    m->addr = g_strdup(addr->valuestring);
    m->zone = g_intern_string(zone);
    m->spot = spot->valuedouble != 0;
    m->notice_s = -1;
    if (cJSON_IsString(mark)) {
      m->drain_reason = g_intern_string(mark->valuestring);
      if (cJSON_IsNumber(mark->next))
        m->notice_s = mark->next->valuedouble;
    }
    g_ptr_array_add(members, m);
  }
  return g_steal_pointer(&members);
}

static cJSON *completions_to_json(const GPtrArray *ends) {
  cJSON *o = cJSON_CreateObject();
  for (guint i = 0; i < ends->len; i++) {
    const FkCompletionRecord *e = ends->pdata[i];
    cJSON *j = cJSON_AddObjectToObject(o, e->chunk);
    if (e->done->len)
      add_bits(j, "d", e->done->data, e->done->len);
    cJSON *list = e->released->len ? cJSON_AddArrayToObject(j, "r") : NULL;
    cJSON *failed =
        NULL; /* again the attempts that failed: a version that doesn't know it still releases them */
    for (guint k = 0; k < e->released->len; k++) {
      const FkReleasedAttempt *t = &g_array_index(e->released, FkReleasedAttempt, k);
      cJSON_AddItemToArray(list, cJSON_CreateNumber(t->task));
      cJSON_AddItemToArray(list, fk_json_new_u64(t->attempt.n));
      if (t->task_failed && !failed)
        failed = cJSON_AddArrayToObject(j, "f");
      if (t->task_failed)
        cJSON_AddItemToArray(failed, fk_json_new_u64(t->attempt.n));
    }
  }
  return o;
}

static GPtrArray *completions_from_json(const cJSON *o) {
  g_autoptr(GPtrArray) ends = g_ptr_array_new_with_free_func(fk_completion_record_free);
  const cJSON *j;
  cJSON_ArrayForEach(j, o) {
    FkCompletionRecord *e = fk_completion_record_new(j->string);
    g_ptr_array_add(ends, e);
    const char *bits = fk_json_str(j, "d");
    for (gsize i = 0; bits && bits[i]; i++)
      for (guint k = 0; k < 4; k++) {
        guint8 set = g_ascii_xdigit_value(bits[i]) >> k & 1;
        g_byte_array_append(e->done, &set, 1);
      }
    const cJSON *n = fk_json_get(j, "r");
    for (n = n ? n->child : NULL; n && n->next; n = n->next->next) {
      guint64 task, attempt;
      if (!fk_json_item_u64(n, &task) || !fk_json_item_u64(n->next, &attempt))
        return NULL;
      FkReleasedAttempt t = {(guint32)task, FALSE, {attempt}};
      g_array_append_val(e->released, t);
    }
    cJSON_ArrayForEach(n, fk_json_get(j, "f")) {
      guint64 attempt;
      if (!fk_json_item_u64(n, &attempt))
        return NULL;
      for (guint k = 0; k < e->released->len; k++) {
        FkReleasedAttempt *t = &g_array_index(e->released, FkReleasedAttempt, k);
        t->task_failed |= t->attempt.n == attempt;
      }
    }
  }
  return g_steal_pointer(&ends);
}

static cJSON *partition_to_json(GHashTable *split) {
  cJSON *o = cJSON_CreateObject();
  GHashTableIter it;
  gpointer name, cpus;
  g_hash_table_iter_init(&it, split);
  while (g_hash_table_iter_next(&it, &name, &cpus))
    cJSON_AddNumberToObject(o, name, *(double *)cpus);
  return o;
}

static GHashTable *partition_from_json(const cJSON *o) {
  if (!cJSON_IsObject(o))
    return NULL;
  GHashTable *split = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  const cJSON *j;
  cJSON_ArrayForEach(j, o) if (cJSON_IsNumber(j))
      g_hash_table_insert(split, g_strdup(j->string), g_memdup2(&j->valuedouble, sizeof(double)));
  return split;
}

static cJSON *chunk_to_json(const FkChunk *c) {
  cJSON *o = cJSON_CreateObject();
  cJSON_AddNumberToObject(o, "f", c->first_task);
  cJSON_AddNumberToObject(o, "n", c->task_count);
  fk_json_add_u64(o, "a", c->next_attempt);
  if (c->done_count)
    add_bits(o, "d", c->done, c->task_count);
  cJSON *list = cJSON_AddArrayToObject(o, "b");
  for (guint i = 0; i < c->allocations->len; i++) {
    const FkAllocation *b = &g_array_index(c->allocations, FkAllocation, i);
    cJSON *e = cJSON_CreateArray();
    cJSON_AddItemToArray(e, cJSON_CreateNumber(b->task));
    cJSON_AddItemToArray(e, fk_json_new_u64(b->attempt.n));
    cJSON_AddItemToArray(e, cJSON_CreateString(b->machine));
    cJSON_AddItemToArray(e, cJSON_CreateString(b->launched_by));
    if (b->stop_requested)
      cJSON_AddItemToArray(e, cJSON_CreateNumber(1));
    cJSON_AddItemToArray(list, e);
  }
  return o;
}

static FkChunk *chunk_from_json(const cJSON *o) {
  guint64 first, count, next;
  if (!fk_json_u64(o, "f", &first) || !fk_json_u64(o, "n", &count) || !fk_json_u64(o, "a", &next) ||
      count < 1 || count > 100000 || first > 100000)
    return NULL;
  g_autoptr(FkChunk) c = fk_chunk_new((guint32)first, (guint32)count);
  c->next_attempt = next;
  const char *bits = fk_json_str(o, "d");
  for (guint32 i = 0; bits && i < c->task_count && bits[i / 4]; i++)
    if (g_ascii_xdigit_value(bits[i / 4]) >> (i % 4) & 1) {
      c->done[i] = 1;
      c->done_count++;
    }
  const cJSON *e;
  cJSON_ArrayForEach(e, fk_json_get(o, "b")) {
    guint64 task, attempt;
    const char *machine = cJSON_GetStringValue(cJSON_GetArrayItem(e, 2)),
               *by = cJSON_GetStringValue(cJSON_GetArrayItem(e, 3));
    if (!by || !fk_json_item_u64(cJSON_GetArrayItem(e, 0), &task) ||
        !fk_json_item_u64(cJSON_GetArrayItem(e, 1), &attempt) || !machine || task < first ||
        task >= first + count)
      return NULL;
    FkAllocation b = {(guint32)task,
                      {attempt},
                      g_intern_string(machine),
                      g_intern_string(by),
                      cJSON_GetArrayItem(e, 4) != NULL,
                      {0},
                      FALSE};
    g_array_append_val(c->allocations, b);
  }
  return g_steal_pointer(&c);
}

static void add_string_if_set(cJSON *o, const char *name, const char *value) {
  if (value)
    cJSON_AddStringToObject(o, name, value);
}

static cJSON *job_to_json(const FkRecord *r) {
  cJSON *o = spec_to_json(r->spec);
  if (r->cancelled)
    cJSON_AddBoolToObject(o, "cancelled", TRUE);
  return o;
}

static cJSON *team_to_json(const FkRecord *r) {
  cJSON *o = cJSON_CreateObject();
  add_string_if_set(o, "node", r->last_exhausted_by);
  if (r->partition)
    cJSON_AddItemToObject(o, "split", partition_to_json(r->partition));
  return o;
}

static cJSON *owner_to_json(const FkRecord *r) {
  cJSON *o = cJSON_CreateObject();
  add_string_if_set(o, "node", r->node);
  add_string_if_set(o, "life", r->incarnation);
  return o;
}

static cJSON *terminal_job_to_json(const FkRecord *r) {
  cJSON *o = cJSON_CreateObject();
  cJSON_AddNumberToObject(o, "phase", r->phase);
  cJSON_AddNumberToObject(o, "tasks", r->tasks);
  if (r->ended_at_ms)
    cJSON_AddNumberToObject(o, "at", (double)r->ended_at_ms);
  return o;
}

static cJSON *wait_times_to_json(const FkWaitTimes *waits) {
  cJSON *o = cJSON_CreateObject();
  fk_json_add_u64(o, "window", waits->window);
  cJSON_AddNumberToObject(o, "sum", waits->capped_sum_s);
  fk_json_add_u64(o, "count", waits->capped_count);
  cJSON_AddNumberToObject(o, "all_sum", waits->sum_s);
  fk_json_add_u64(o, "all_count", waits->count);
  return o;
}

static cJSON *launch_fence_to_json(const FkRecord *r) {
  cJSON *o = cJSON_CreateObject();
  if (r->supports_dependencies)
    cJSON_AddBoolToObject(o, "chains", TRUE);
  return o;
}

cJSON *fk_store_record_to_json(const FkRecord *r) {
  switch (r->kind) {
  case FK_KEY_JOB:
    return job_to_json(r);
  case FK_KEY_CHUNK:
    return chunk_to_json(r->chunk);
  case FK_KEY_MACHINE_PAGE:
    return page_to_json(r->machines);
  case FK_KEY_COMPLETIONS:
    return completions_to_json(r->completions);
  case FK_KEY_SHARD:
  case FK_KEY_NODE:
  case FK_KEY_LEADER:
    return owner_to_json(r);
  case FK_KEY_TEAM:
    return team_to_json(r);
  case FK_KEY_TERMINAL_JOB:
    return terminal_job_to_json(r);
  case FK_KEY_WAIT_TIMES:
    return wait_times_to_json(&r->wait_times);
  case FK_KEY_LAUNCH_FENCE:
    return launch_fence_to_json(r);
  case FK_KEY_OTHER:
    break;
  }
  return cJSON_CreateObject();
}

FkRecord *fk_store_record_from_json(const char *path, const cJSON *o) {
  g_autofree char *id = NULL;
  guint32 chunk;
  guint64 n;
  g_autoptr(FkRecord) r = fk_record_new(fk_key_parse(path, &id, &chunk));
  if (!cJSON_IsObject(o))
    return NULL;
  switch (r->kind) {
  case FK_KEY_JOB:
    fk_json_bool(o, "cancelled", &r->cancelled);
    if (!(r->spec = spec_from_json(id, o)))
      return NULL;
    break;
  case FK_KEY_CHUNK:
    if (!(r->chunk = chunk_from_json(o)))
      return NULL;
    break;
  case FK_KEY_MACHINE_PAGE:
    if (!(r->machines = page_from_json(o)))
      return NULL;
    break;
  case FK_KEY_COMPLETIONS:
    if (!(r->completions = completions_from_json(o)))
      return NULL;
    break;
  case FK_KEY_TERMINAL_JOB:
    if (!fk_json_u64(o, "phase", &n) || (n != FK_PHASE_DONE && n != FK_PHASE_CANCELLED))
      return NULL;
    r->phase = (FkPhase)n;
    r->tasks = fk_json_u64(o, "tasks", &n) ? (guint32)n : 0;
    r->ended_at_ms = (gint64)fk_json_num_or(o, "at", 0);
    break;
  case FK_KEY_WAIT_TIMES:
    fk_json_u64(o, "window", &r->wait_times.window);
    r->wait_times.capped_sum_s = fk_json_num_or(o, "sum", 0);
    fk_json_u64(o, "count", &r->wait_times.capped_count);
    r->wait_times.sum_s = fk_json_num_or(o, "all_sum", r->wait_times.capped_sum_s);
    if (!fk_json_u64(o, "all_count", &r->wait_times.count))
      r->wait_times.count = r->wait_times.capped_count;
    break;
  case FK_KEY_NODE:
  case FK_KEY_LEADER:
  case FK_KEY_SHARD:
    r->node = g_strdup(fk_json_str(o, "node"));
    r->incarnation = g_strdup(fk_json_str(o, "life"));
    if (!r->incarnation || (r->kind != FK_KEY_NODE && !r->node))
      return NULL;
    break;
  case FK_KEY_TEAM:
    r->last_exhausted_by = g_strdup(fk_json_str(o, "node"));
    r->partition = partition_from_json(fk_json_get(o, "split"));
    break;
  case FK_KEY_LAUNCH_FENCE:
    fk_json_bool(o, "chains", &r->supports_dependencies);
    break;
  case FK_KEY_OTHER:
    return NULL;
  }
  return g_steal_pointer(&r);
}

/* ------------------------------------------------------------------ messages */

char *fk_store_print_commit(const FkOutput *out) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON *guards = cJSON_AddArrayToObject(o, "guards"), *writes = cJSON_AddArrayToObject(o, "writes");
  for (guint i = 0; i < out->guards->len; i++) {
    const FkGuard *g = &g_array_index(out->guards, FkGuard, i);
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, "path", g->path);
    fk_json_add_u64(j, "stamp", g->rev.n);
    cJSON_AddItemToArray(guards, j);
  }
  for (guint i = 0; i < out->writes->len; i++) {
    const FkWrite *w = &g_array_index(out->writes, FkWrite, i);
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, w->record ? "put" : "delete", w->path);
    if (w->record)
      cJSON_AddItemToObject(j, "value", fk_store_record_to_json(w->record));
    if (w->lease.n)
      fk_json_add_u64(j, "tether", w->lease.n);
    cJSON_AddItemToArray(writes, j);
  }
  return fk_json_print(o);
}

FkRev fk_store_parse_epoch(const cJSON *o) {
  FkRev r = {0};
  fk_json_u64(o, "epoch", &r.n);
  return r;
}

GPtrArray *fk_store_parse_failed(const cJSON *o) {
  const cJSON *list = fk_json_get(o, "failed"), *j;
  GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
  cJSON_ArrayForEach(j, list) if (cJSON_IsString(j)) g_ptr_array_add(failed, g_strdup(j->valuestring));
  return failed;
}

static FkStoreEvent *event_from_json(const cJSON *item, const char *path) {
  FkStoreEvent *e = g_new0(FkStoreEvent, 1);
  e->path = g_strdup(path);
  fk_json_u64(item, "stamp", &e->rev.n);
  return e;
}

FkStoreEvent *fk_store_parse_item(const cJSON *item) {
  const char *path = fk_json_str(item, "path");
  if (!path)
    return NULL;
  FkStoreEvent *e = event_from_json(item, path);
  e->record = fk_store_record_from_json(path, fk_json_get(item, "value"));
  if (!e->record)
    g_warning("a record that isn't ours or is malformed: %s", path);
  return e;
}

GPtrArray *fk_store_parse_list(const char *body, gsize len, gboolean *more, FkRev *epoch) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(o, "pairs"), *j;
  if (!cJSON_IsArray(list))
    return NULL;
  *more = FALSE;
  fk_json_bool(o, "truncated", more);
  *epoch = fk_store_parse_epoch(o);
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_store_event_free);
  cJSON_ArrayForEach(j, list) {
    FkStoreEvent *e = fk_store_parse_item(j);
    if (e)
      g_ptr_array_add(events, e);
  }
  return events;
}

GPtrArray *fk_store_parse_watch(const char *body, gsize len, FkRev *epoch) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(o, "events"), *j;
  if (!cJSON_IsArray(list))
    return NULL;
  *epoch = fk_store_parse_epoch(o);
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_store_event_free);
  cJSON_ArrayForEach(j, list) {
    const char *put = fk_json_str(j, "put"), *gone = fk_json_str(j, "delete");
    if (!put && !gone)
      continue;
    FkStoreEvent *e = event_from_json(j, put ? put : gone);
    if (put && !(e->record = fk_store_record_from_json(put, fk_json_get(j, "value")))) {
      g_warning("a record that isn't ours or is malformed: %s", put);
      fk_store_event_free(e);
      continue;
    }
    g_ptr_array_add(events, e);
  }
  return events;
}

/* ------------------------------------------------------------------ the state service's side */

static void condition_clear(gpointer p) { g_free(((FkStoreCondition *)p)->path); }

static void change_clear(gpointer p) {
  FkTransactionWrite *c = p;
  g_free(c->path);
  g_free(c->value);
}

void fk_store_transaction_free(FkStoreTransaction *t) {
  g_array_unref(t->conditions);
  g_array_unref(t->changes);
  g_free(t);
}

static gboolean parse_condition(const cJSON *j, GArray *conditions) {
  FkStoreCondition c = {NULL, 0};
  const char *path = fk_json_str(j, "path");
  if (!path || !fk_json_u64(j, "stamp", &c.revision))
    return FALSE;
  c.path = g_strdup(path);
  g_array_append_val(conditions, c);
  /* cppcheck-suppress memleak ; the array owns the path now */
  return TRUE;
}

static gboolean parse_change(const cJSON *j, GArray *changes) {
  FkTransactionWrite c = {NULL, NULL, 0};
  const char *put = fk_json_str(j, "put"), *gone = fk_json_str(j, "delete");
  const cJSON *value = fk_json_get(j, "value");
  if ((!put && !gone) || (put && !value))
    return FALSE;
  fk_json_u64(j, "tether", &c.lease);
  c.path = g_strdup(put ? put : gone);
  c.value = put ? fk_json_print(value) : NULL;
  g_array_append_val(changes, c);
  /* cppcheck-suppress memleak ; the array owns path and value now */
  return TRUE;
}

FkStoreTransaction *fk_store_parse_transaction(const char *body, gsize len) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  g_autoptr(FkStoreTransaction) t = g_new0(FkStoreTransaction, 1);
  t->conditions = g_array_new(FALSE, FALSE, sizeof(FkStoreCondition));
  g_array_set_clear_func(t->conditions, condition_clear);
  t->changes = g_array_new(FALSE, FALSE, sizeof(FkTransactionWrite));
  g_array_set_clear_func(t->changes, change_clear);
  if (!cJSON_IsObject(o))
    return NULL;
  const cJSON *j;
  cJSON_ArrayForEach(j, fk_json_get(o, "guards")) if (!parse_condition(j, t->conditions)) return NULL;
  cJSON_ArrayForEach(j, fk_json_get(o, "writes")) if (!parse_change(j, t->changes)) return NULL;
  return g_steal_pointer(&t);
}

cJSON *fk_store_item_to_json(const char *path, const char *value, guint64 stamp, guint64 hold) {
  cJSON *j = cJSON_CreateObject();
  cJSON_AddStringToObject(j, "path", path);
  cJSON_AddRawToObject(j, "value", value);
  fk_json_add_u64(j, "stamp", stamp);
  if (hold)
    fk_json_add_u64(j, "tether", hold);
  return j;
}

cJSON *fk_store_event_to_json(const char *path, const char *value, guint64 stamp) {
  cJSON *j = cJSON_CreateObject();
  cJSON_AddStringToObject(j, value ? "put" : "delete", path);
  if (value)
    cJSON_AddRawToObject(j, "value", value);
  fk_json_add_u64(j, "stamp", stamp);
  return j;
}

char *fk_store_print_items(cJSON *items, gboolean more, guint64 epoch) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddItemToObject(o, "pairs", items);
  cJSON_AddBoolToObject(o, "truncated", more);
  fk_json_add_u64(o, "epoch", epoch);
  return fk_json_print(o);
}

char *fk_store_print_events(cJSON *events, guint64 epoch) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  fk_json_add_u64(o, "epoch", epoch);
  cJSON_AddItemToObject(o, "events", events);
  return fk_json_print(o);
}

char *fk_store_print_epoch(guint64 epoch) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  fk_json_add_u64(o, "epoch", epoch);
  return fk_json_print(o);
}

char *fk_store_print_conflict(const GPtrArray *failed, guint64 epoch) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(o, "failed");
  for (guint i = 0; i < failed->len; i++)
    cJSON_AddItemToArray(list, cJSON_CreateString(failed->pdata[i]));
  fk_json_add_u64(o, "epoch", epoch);
  return fk_json_print(o);
}

char *fk_store_print_lease(guint64 hold) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  fk_json_add_u64(o, "tether", hold);
  return fk_json_print(o);
}

gboolean fk_store_parse_ttl_s(const char *body, gsize len, double *out) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  double ms;
  if (!fk_json_num(o, "ttl_ms", &ms) || ms < 100 || ms > 600000)
    return FALSE;
  *out = ms / 1000;
  return TRUE;
}
