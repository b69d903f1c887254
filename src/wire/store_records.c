#include "wire/store_records.h"

#include <string.h>

#define TASKS_MAX 100000 /* maximum number of tasks of a job */
#define BITS_PER_DIGIT 4 /* bits (one per task) in each hexadecimal digit of a bit set */

static cJSON *strings_to_json(char **strings) {
  cJSON *list = cJSON_CreateArray();
  for (guint i = 0; strings[i]; i++)
    cJSON_AddItemToArray(list, cJSON_CreateString(strings[i]));
  return list;
}

static cJSON *spec_to_json(const FkSpec *spec) {
  cJSON *json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "class", spec->class_name);
  cJSON_AddStringToObject(json, "team", spec->team);
  cJSON_AddNumberToObject(json, "shape", spec->shape);
  cJSON_AddNumberToObject(json, "rank", spec->priority);
  cJSON_AddNumberToObject(json, "tasks", spec->tasks);
  cJSON_AddNumberToObject(json, "cpus", spec->cpus);
  cJSON_AddNumberToObject(json, "gpus", spec->gpus);
  cJSON_AddNumberToObject(json, "mem", spec->mem_gb);
  cJSON_AddStringToObject(json, "image", spec->image);
  cJSON_AddNumberToObject(json, "image_gb", spec->image_gb);
  if (spec->types)
    cJSON_AddItemToObject(json, "types", strings_to_json(spec->types));
  if (spec->zone)
    cJSON_AddStringToObject(json, "zone", spec->zone);
  cJSON_AddBoolToObject(json, "one_zone", spec->one_zone);
  cJSON_AddBoolToObject(json, "spread", spec->spread);
  cJSON_AddBoolToObject(json, "spot", spec->spot);
  cJSON_AddNumberToObject(json, "estimate", spec->estimate_s);
  cJSON_AddNumberToObject(json, "checkpoint", spec->checkpoint_s);
  cJSON_AddNumberToObject(json, "save", spec->save_s);
  if (spec->deadline_s >= 0)
    cJSON_AddNumberToObject(json, "deadline", spec->deadline_s);
  cJSON_AddNumberToObject(json, "submitted", (double)spec->submitted_ms);
  cJSON_AddStringToObject(json, "owner", spec->owner ? spec->owner : "");
  cJSON_AddNumberToObject(json, "chunk", spec->chunk_tasks);
  /* "needs" is omitted if the job has no dependencies, so that the job's record has the same bytes as in
   * versions before dependencies were introduced. */
  if (spec->dependencies)
    cJSON_AddItemToObject(json, "needs", strings_to_json(spec->dependencies));
  return json;
}

/* Reads the strings of a list into `out`, and leaves out items of other types. Returns FALSE if the list has
 * items of other types. */
static gboolean strings_from_json(const cJSON *list, char ***out) {
  g_autoptr(GStrvBuilder) builder = g_strv_builder_new();
  gboolean all_strings = TRUE;
  const cJSON *item;
  cJSON_ArrayForEach(item, list) {
    if (cJSON_IsString(item))
      g_strv_builder_add(builder, item->valuestring);
    else
      all_strings = FALSE;
  }
  *out = g_strv_builder_end(builder);
  return all_strings;
}

static FkSpec *spec_from_json(const char *id, const cJSON *json) {
  g_autoptr(FkSpec) spec = fk_spec_new();
  guint64 shape, priority, tasks, chunk;
  if (!fk_json_str(json, "class") || !fk_json_str(json, "team") || !fk_json_str(json, "image") ||
      !fk_json_u64(json, "shape", &shape) || shape > FK_SHAPE_GANG || !fk_json_u64(json, "rank", &priority) ||
      priority > FK_JOB_PRIORITY_LOW || !fk_json_u64(json, "tasks", &tasks) || tasks < 1 ||
      tasks > TASKS_MAX || !fk_json_u64(json, "chunk", &chunk) || chunk < 1 || chunk > TASKS_MAX)
    return NULL;
  spec->id = g_strdup(id);
  spec->class_name = g_strdup(fk_json_str(json, "class"));
  spec->team = g_strdup(fk_json_str(json, "team"));
  spec->shape = (FkShape)shape;
  spec->priority = (FkJobPriority)priority;
  spec->tasks = (guint32)tasks;
  spec->chunk_tasks = (guint32)chunk;
  spec->cpus = fk_json_num_or(json, "cpus", 0);
  spec->gpus = fk_json_num_or(json, "gpus", 0);
  spec->mem_gb = fk_json_num_or(json, "mem", 0);
  spec->image = g_strdup(fk_json_str(json, "image"));
  spec->image_gb = fk_json_num_or(json, "image_gb", 0);
  const cJSON *types = fk_json_get(json, "types");
  if (cJSON_IsArray(types))
    strings_from_json(types, &spec->types);
  spec->zone = g_strdup(fk_json_str(json, "zone"));
  fk_json_bool(json, "one_zone", &spec->one_zone);
  fk_json_bool(json, "spread", &spec->spread);
  fk_json_bool(json, "spot", &spec->spot);
  spec->estimate_s = fk_json_num_or(json, "estimate", 0);
  spec->checkpoint_s = fk_json_num_or(json, "checkpoint", 0);
  spec->save_s = fk_json_num_or(json, "save", 0);
  spec->deadline_s = fk_json_num_or(json, "deadline", -1);
  spec->submitted_ms = (gint64)fk_json_num_or(json, "submitted", 0);
  spec->owner = g_strdup(fk_json_str(json, "owner"));
  const cJSON *needs = fk_json_get(json, "needs");
  if (needs && cJSON_GetArraySize(needs) && !strings_from_json(needs, &spec->dependencies))
    return NULL; /* reject the record: without the malformed dependency, the job could start too early */
  return g_steal_pointer(&spec);
}

/* Adds a bit set as a string of hexadecimal digits. Each digit holds the bits of four tasks. `set` has one
 * byte for each of `count` tasks; the byte is 0 if the task's bit is clear. */
static void add_bits(cJSON *json, const char *name, const guint8 *set, guint32 count) {
  g_autoptr(GString) bits = g_string_new(NULL);
  for (guint32 i = 0; i < count; i += BITS_PER_DIGIT) {
    guint digit = 0;
    for (guint32 bit = i; bit < MIN(i + BITS_PER_DIGIT, count); bit++)
      digit |= (guint)(set[bit] != 0) << (bit - i);
    g_string_append_printf(bits, "%x", digit);
  }
  cJSON_AddStringToObject(json, name, bits->str);
}

static cJSON *machine_page_to_json(const GPtrArray *machines) {
  cJSON *json = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(json, "m");
  for (guint i = 0; i < machines->len; i++) {
    const FkMachineRecord *machine = machines->pdata[i];
    cJSON *item = cJSON_CreateArray();
    if (!i)
      cJSON_AddStringToObject(json, "zone", machine->zone);
    cJSON_AddItemToArray(item, cJSON_CreateString(machine->id));
    cJSON_AddItemToArray(item, cJSON_CreateString(machine->type));
    cJSON_AddItemToArray(item, cJSON_CreateString(machine->addr));
    cJSON_AddItemToArray(item, cJSON_CreateNumber(machine->spot));
    if (machine->drain_reason) {
      cJSON_AddItemToArray(item, cJSON_CreateString(machine->drain_reason));
      cJSON_AddItemToArray(item, cJSON_CreateNumber(machine->notice_s));
    }
    cJSON_AddItemToArray(list, item);
  }
  return json;
}

static GPtrArray *machine_page_from_json(const cJSON *json) {
  const cJSON *list = fk_json_get(json, "m"), *item;
  const char *zone = fk_json_str(json, "zone");
  if (!cJSON_IsArray(list) || (!zone && cJSON_GetArraySize(list)))
    return NULL;
  g_autoptr(GPtrArray) machines = g_ptr_array_new_with_free_func(fk_machine_record_free);
  cJSON_ArrayForEach(item, list) {
    const cJSON *id = cJSON_GetArrayItem(item, 0), *type = id ? id->next : NULL,
                *addr = type ? type->next : NULL, *spot = addr ? addr->next : NULL,
                *drain_reason = spot ? spot->next : NULL;
    if (!cJSON_IsString(id) || !cJSON_IsString(type) || !cJSON_IsString(addr) || !cJSON_IsNumber(spot))
      return NULL;
    FkMachineRecord *machine = g_new0(FkMachineRecord, 1);
    machine->id = g_strdup(id->valuestring);
    machine->type = g_intern_string(type->valuestring);
    machine->addr = g_strdup(addr->valuestring);
    machine->zone = g_intern_string(zone);
    machine->spot = spot->valuedouble != 0;
    machine->notice_s = -1;
    if (cJSON_IsString(drain_reason)) {
      machine->drain_reason = g_intern_string(drain_reason->valuestring);
      if (cJSON_IsNumber(drain_reason->next))
        machine->notice_s = drain_reason->next->valuedouble;
    }
    g_ptr_array_add(machines, machine);
  }
  return g_steal_pointer(&machines);
}

static cJSON *completions_to_json(const GPtrArray *completions) {
  cJSON *json = cJSON_CreateObject();
  for (guint i = 0; i < completions->len; i++) {
    const FkCompletionRecord *completion = completions->pdata[i];
    cJSON *item = cJSON_AddObjectToObject(json, completion->chunk);
    if (completion->done->len)
      add_bits(item, "d", completion->done->data, completion->done->len);
    cJSON *list = completion->released->len ? cJSON_AddArrayToObject(item, "r") : NULL;
    /* Attempts that the worker reported as failed are listed both in "f" and in "r", because versions that
     * ignore "f" must release these attempts too. */
    cJSON *failed = NULL;
    for (guint r = 0; r < completion->released->len; r++) {
      const FkReleasedAttempt *released = &g_array_index(completion->released, FkReleasedAttempt, r);
      cJSON_AddItemToArray(list, cJSON_CreateNumber(released->task));
      cJSON_AddItemToArray(list, fk_json_new_u64(released->attempt.n));
      if (released->task_failed && !failed)
        failed = cJSON_AddArrayToObject(item, "f");
      if (released->task_failed)
        cJSON_AddItemToArray(failed, fk_json_new_u64(released->attempt.n));
    }
  }
  return json;
}

static GPtrArray *completions_from_json(const cJSON *json) {
  g_autoptr(GPtrArray) completions = g_ptr_array_new_with_free_func(fk_completion_record_free);
  const cJSON *item;
  cJSON_ArrayForEach(item, json) {
    FkCompletionRecord *completion = fk_completion_record_new(item->string);
    g_ptr_array_add(completions, completion);
    const char *bits = fk_json_str(item, "d");
    for (gsize i = 0; bits && bits[i]; i++)
      for (guint r = 0; r < 4; r++) {
        guint8 set = g_ascii_xdigit_value(bits[i]) >> r & 1;
        g_byte_array_append(completion->done, &set, 1);
      }
    const cJSON *number = fk_json_get(item, "r");
    for (number = number ? number->child : NULL; number && number->next; number = number->next->next) {
      guint64 task, attempt;
      if (!fk_json_item_u64(number, &task) || !fk_json_item_u64(number->next, &attempt))
        return NULL;
      FkReleasedAttempt released = {(guint32)task, FALSE, {attempt}};
      g_array_append_val(completion->released, released);
    }
    cJSON_ArrayForEach(number, fk_json_get(item, "f")) {
      guint64 attempt;
      if (!fk_json_item_u64(number, &attempt))
        return NULL;
      for (guint r = 0; r < completion->released->len; r++) {
        FkReleasedAttempt *released = &g_array_index(completion->released, FkReleasedAttempt, r);
        released->task_failed |= released->attempt.n == attempt;
      }
    }
  }
  return g_steal_pointer(&completions);
}

static cJSON *partition_to_json(GHashTable *partition) {
  cJSON *json = cJSON_CreateObject();
  GHashTableIter iter;
  gpointer name, cpus;
  g_hash_table_iter_init(&iter, partition);
  while (g_hash_table_iter_next(&iter, &name, &cpus))
    cJSON_AddNumberToObject(json, name, *(double *)cpus);
  return json;
}

static GHashTable *partition_from_json(const cJSON *json) {
  if (!cJSON_IsObject(json))
    return NULL;
  GHashTable *partition = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  const cJSON *item;
  cJSON_ArrayForEach(item, json) if (cJSON_IsNumber(item))
      g_hash_table_insert(partition, g_strdup(item->string), g_memdup2(&item->valuedouble, sizeof(double)));
  return partition;
}

static cJSON *chunk_to_json(const FkChunk *chunk) {
  cJSON *json = cJSON_CreateObject();
  cJSON_AddNumberToObject(json, "f", chunk->first_task);
  cJSON_AddNumberToObject(json, "n", chunk->task_count);
  fk_json_add_u64(json, "a", chunk->next_attempt);
  if (chunk->done_count)
    add_bits(json, "d", chunk->done, chunk->task_count);
  cJSON *list = cJSON_AddArrayToObject(json, "b");
  for (guint i = 0; i < chunk->allocations->len; i++) {
    const FkAllocation *allocation = &g_array_index(chunk->allocations, FkAllocation, i);
    cJSON *item = cJSON_CreateArray();
    cJSON_AddItemToArray(item, cJSON_CreateNumber(allocation->task));
    cJSON_AddItemToArray(item, fk_json_new_u64(allocation->attempt.n));
    cJSON_AddItemToArray(item, cJSON_CreateString(allocation->machine));
    cJSON_AddItemToArray(item, cJSON_CreateString(allocation->launched_by));
    if (allocation->stop_requested)
      cJSON_AddItemToArray(item, cJSON_CreateNumber(1));
    cJSON_AddItemToArray(list, item);
  }
  return json;
}

static FkChunk *chunk_from_json(const cJSON *json) {
  guint64 first_task, task_count, next_attempt;
  if (!fk_json_u64(json, "f", &first_task) || !fk_json_u64(json, "n", &task_count) ||
      !fk_json_u64(json, "a", &next_attempt) || task_count < 1 || task_count > TASKS_MAX ||
      first_task > TASKS_MAX)
    return NULL;
  g_autoptr(FkChunk) chunk = fk_chunk_new((guint32)first_task, (guint32)task_count);
  chunk->next_attempt = next_attempt;
  const char *bits = fk_json_str(json, "d");
  for (guint32 i = 0; bits && i < chunk->task_count && bits[i / BITS_PER_DIGIT]; i++)
    if (g_ascii_xdigit_value(bits[i / BITS_PER_DIGIT]) >> (i % BITS_PER_DIGIT) & 1) {
      chunk->done[i] = 1;
      chunk->done_count++;
    }
  const cJSON *item;
  cJSON_ArrayForEach(item, fk_json_get(json, "b")) {
    guint64 task, attempt;
    const char *machine = cJSON_GetStringValue(cJSON_GetArrayItem(item, 2)),
               *launched_by = cJSON_GetStringValue(cJSON_GetArrayItem(item, 3));
    if (!launched_by || !fk_json_item_u64(cJSON_GetArrayItem(item, 0), &task) ||
        !fk_json_item_u64(cJSON_GetArrayItem(item, 1), &attempt) || !machine || task < first_task ||
        task >= first_task + task_count)
      return NULL;
    FkAllocation allocation = {(guint32)task,
                               {attempt},
                               g_intern_string(machine),
                               g_intern_string(launched_by),
                               cJSON_GetArrayItem(item, 4) != NULL,
                               {0},
                               FALSE};
    g_array_append_val(chunk->allocations, allocation);
  }
  return g_steal_pointer(&chunk);
}

static void add_string_if_set(cJSON *json, const char *name, const char *value) {
  if (value)
    cJSON_AddStringToObject(json, name, value);
}

static cJSON *job_to_json(const FkRecord *record) {
  cJSON *json = spec_to_json(record->spec);
  if (record->cancelled)
    cJSON_AddBoolToObject(json, "cancelled", TRUE);
  return json;
}

static cJSON *team_to_json(const FkRecord *record) {
  cJSON *json = cJSON_CreateObject();
  add_string_if_set(json, "node", record->last_exhausted_by);
  if (record->partition)
    cJSON_AddItemToObject(json, "split", partition_to_json(record->partition));
  return json;
}

static cJSON *owner_to_json(const FkRecord *record) {
  cJSON *json = cJSON_CreateObject();
  add_string_if_set(json, "node", record->node);
  add_string_if_set(json, "life", record->incarnation);
  if (record->unreachable_zones)
    cJSON_AddItemToObject(json, "unreachable", strings_to_json(record->unreachable_zones));
  return json;
}

static cJSON *terminal_job_to_json(const FkRecord *record) {
  cJSON *json = cJSON_CreateObject();
  cJSON_AddNumberToObject(json, "phase", record->phase);
  cJSON_AddNumberToObject(json, "tasks", record->tasks);
  if (record->ended_at_ms)
    cJSON_AddNumberToObject(json, "at", (double)record->ended_at_ms);
  return json;
}

static cJSON *wait_times_to_json(const FkWaitTimes *waits) {
  cJSON *json = cJSON_CreateObject();
  fk_json_add_u64(json, "window", waits->window);
  cJSON_AddNumberToObject(json, "sum", waits->capped_sum_s);
  fk_json_add_u64(json, "count", waits->capped_count);
  cJSON_AddNumberToObject(json, "all_sum", waits->sum_s);
  fk_json_add_u64(json, "all_count", waits->count);
  return json;
}

static cJSON *launch_fence_to_json(const FkRecord *record) {
  cJSON *json = cJSON_CreateObject();
  if (record->features & FK_FEATURE_DEPENDENCIES)
    cJSON_AddBoolToObject(json, "chains", TRUE);
  if (record->features & FK_FEATURE_ZONE_GUARD)
    cJSON_AddBoolToObject(json, "zones", TRUE);
  return json;
}

cJSON *fk_store_record_to_json(const FkRecord *record) {
  switch (record->kind) {
  case FK_STORE_KEY_JOB:
    return job_to_json(record);
  case FK_STORE_KEY_CHUNK:
    return chunk_to_json(record->chunk);
  case FK_STORE_KEY_MACHINE_PAGE:
    return machine_page_to_json(record->machines);
  case FK_STORE_KEY_COMPLETIONS:
    return completions_to_json(record->completions);
  case FK_STORE_KEY_SHARD:
  case FK_STORE_KEY_NODE:
  case FK_STORE_KEY_LEADER:
    return owner_to_json(record);
  case FK_STORE_KEY_TEAM:
    return team_to_json(record);
  case FK_STORE_KEY_TERMINAL_JOB:
    return terminal_job_to_json(record);
  case FK_STORE_KEY_WAIT_TIMES:
    return wait_times_to_json(&record->wait_times);
  case FK_STORE_KEY_LAUNCH_FENCE:
    return launch_fence_to_json(record);
  case FK_STORE_KEY_OTHER:
    break;
  }
  return cJSON_CreateObject();
}

/* Records of earlier versions lack the fields of later features. */
static FkFeatures launch_fence_features(const cJSON *json) {
  gboolean dependencies = FALSE, zone_guard = FALSE;
  fk_json_bool(json, "chains", &dependencies);
  fk_json_bool(json, "zones", &zone_guard);
  return (dependencies ? FK_FEATURE_DEPENDENCIES : 0) | (zone_guard ? FK_FEATURE_ZONE_GUARD : 0);
}

/* Reads the record of a controller's presence, of a shard or of the leader. Returns FALSE if it lacks a
 * field. */
static gboolean owner_from_json(FkRecord *record, const cJSON *json) {
  gboolean is_node = record->kind == FK_STORE_KEY_NODE;
  const cJSON *unreachable = is_node ? fk_json_get(json, "unreachable") : NULL;
  record->node = g_strdup(fk_json_str(json, "node"));
  record->incarnation = g_strdup(fk_json_str(json, "life"));
  if (unreachable)
    strings_from_json(unreachable, &record->unreachable_zones);
  return record->incarnation && (is_node || record->node);
}

/* Records of earlier versions lack the sums over all waits. */
static void wait_times_from_json(FkWaitTimes *waits, const cJSON *json) {
  fk_json_u64(json, "window", &waits->window);
  waits->capped_sum_s = fk_json_num_or(json, "sum", 0);
  fk_json_u64(json, "count", &waits->capped_count);
  waits->sum_s = fk_json_num_or(json, "all_sum", waits->capped_sum_s);
  if (!fk_json_u64(json, "all_count", &waits->count))
    waits->count = waits->capped_count;
}

FkRecord *fk_store_record_from_json(const char *path, const cJSON *json) {
  g_autofree char *id = NULL;
  guint32 chunk;
  guint64 number;
  g_autoptr(FkRecord) record = fk_record_new(fk_store_key_parse(path, &id, &chunk));
  if (!cJSON_IsObject(json))
    return NULL;
  switch (record->kind) {
  case FK_STORE_KEY_JOB:
    fk_json_bool(json, "cancelled", &record->cancelled);
    if (!(record->spec = spec_from_json(id, json)))
      return NULL;
    break;
  case FK_STORE_KEY_CHUNK:
    if (!(record->chunk = chunk_from_json(json)))
      return NULL;
    break;
  case FK_STORE_KEY_MACHINE_PAGE:
    if (!(record->machines = machine_page_from_json(json)))
      return NULL;
    break;
  case FK_STORE_KEY_COMPLETIONS:
    if (!(record->completions = completions_from_json(json)))
      return NULL;
    break;
  case FK_STORE_KEY_TERMINAL_JOB:
    if (!fk_json_u64(json, "phase", &number) || (number != FK_PHASE_DONE && number != FK_PHASE_CANCELLED))
      return NULL;
    record->phase = (FkPhase)number;
    record->tasks = fk_json_u64(json, "tasks", &number) ? (guint32)number : 0;
    record->ended_at_ms = (gint64)fk_json_num_or(json, "at", 0);
    break;
  case FK_STORE_KEY_WAIT_TIMES:
    wait_times_from_json(&record->wait_times, json);
    break;
  case FK_STORE_KEY_NODE:
  case FK_STORE_KEY_LEADER:
  case FK_STORE_KEY_SHARD:
    if (!owner_from_json(record, json))
      return NULL;
    break;
  case FK_STORE_KEY_TEAM:
    record->last_exhausted_by = g_strdup(fk_json_str(json, "node"));
    record->partition = partition_from_json(fk_json_get(json, "split"));
    break;
  case FK_STORE_KEY_LAUNCH_FENCE:
    record->features = launch_fence_features(json);
    break;
  default:
    return NULL;
  }
  return g_steal_pointer(&record);
}
