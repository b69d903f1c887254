#include "wire/user.h"

#include <string.h>

#define ID_PREFIX "run-"
#define ID_DIGITS_MAX 20
#define NAME_BYTES_MAX 128
#define TASKS_MAX 100000
#define TYPES_MAX 100
#define AMOUNT_MAX 1e9 /* upper bound of every resource, size and time of a job */

static const char *shapes[] = {"sweep", "daemon", "group"};
static const char *priorities[] = {"production", "high", "normal", "best_effort"};
static const char *phases[] = {"queued", "running", "done", "withdrawn"};

gboolean fk_user_id_is_valid(const char *id) {
  if (!g_str_has_prefix(id, ID_PREFIX))
    return FALSE;
  const char *number = id + strlen(ID_PREFIX);
  gsize digits = strlen(number);
  return digits >= 1 && digits <= ID_DIGITS_MAX && strspn(number, "0123456789") == digits;
}

static int index_of_value(const char *const *values, guint n, const char *value) {
  for (guint i = 0; value && i < n; i++)
    if (g_str_equal(values[i], value))
      return (int)i;
  return -1;
}

/* Returns whether a name is valid: 1 to NAME_BYTES_MAX bytes of UTF-8 without bytes below 0x20. */
static gboolean name_is_valid(const char *name) {
  gsize len = name ? strlen(name) : 0;
  if (len < 1 || len > NAME_BYTES_MAX || !g_utf8_validate(name, len, NULL))
    return FALSE;
  for (gsize i = 0; i < len; i++)
    if ((guchar)name[i] < 0x20)
      return FALSE;
  return TRUE;
}

static gboolean parse_name(const cJSON *json, const char *field, char **out) {
  const char *name = fk_json_str(json, field);
  if (!name_is_valid(name))
    return FALSE;
  *out = g_strdup(name);
  return TRUE;
}

static gboolean parse_amount(const cJSON *json, const char *field, double *out) {
  return fk_json_num(json, field, out) && *out >= 0 && *out <= AMOUNT_MAX;
}

static gboolean parse_types(const cJSON *json, char ***out) {
  const cJSON *list = fk_json_get(json, "builds");
  if (!list)
    return TRUE;
  int n = cJSON_GetArraySize(list);
  if (!cJSON_IsArray(list) || n < 1 || n > TYPES_MAX)
    return FALSE;
  g_autoptr(GStrvBuilder) builder = g_strv_builder_new();
  const cJSON *item;
  cJSON_ArrayForEach(item, list) {
    if (!name_is_valid(cJSON_GetStringValue(item)))
      return FALSE;
    g_strv_builder_add(builder, item->valuestring);
  }
  *out = g_strv_builder_end(builder);
  return TRUE;
}

/* Parses the ids of the jobs that must finish before this job may start. A missing field, null and an empty
 * list mean no dependencies; an id given twice counts once. */
static gboolean parse_dependencies(const cJSON *json, char ***out) {
  const cJSON *list = fk_json_get(json, "awaits"), *item;
  if (!list)
    return TRUE;
  if (!cJSON_IsArray(list))
    return FALSE;
  g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
  g_autoptr(GStrvBuilder) builder = g_strv_builder_new();
  cJSON_ArrayForEach(item, list) {
    if (!cJSON_IsString(item) || !fk_user_id_is_valid(item->valuestring))
      return FALSE;
    if (g_hash_table_add(seen, item->valuestring))
      g_strv_builder_add(builder, item->valuestring);
  }
  *out = g_hash_table_size(seen) ? g_strv_builder_end(builder) : NULL;
  return TRUE;
}

FkSpec *fk_user_parse_submission(const char *body, gsize len, const char **reason) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  g_autoptr(FkSpec) spec = fk_spec_new();
  guint64 tasks = 0;
  int shape, priority;
#define REQUIRE(ok, field)                                                                                   \
  if (!(ok)) {                                                                                               \
    *reason = field;                                                                                         \
    return NULL;                                                                                             \
  }
  REQUIRE(cJSON_IsObject(json), "not a JSON object")
  REQUIRE(parse_name(json, "ref", &spec->id) && fk_user_id_is_valid(spec->id), "ref")
  REQUIRE(parse_name(json, "lane", &spec->class_name), "lane")
  REQUIRE(parse_name(json, "crew", &spec->team), "crew")
  REQUIRE((shape = index_of_value(shapes, G_N_ELEMENTS(shapes), fk_json_str(json, "shape"))) >= 0, "shape")
  REQUIRE((priority = index_of_value(priorities, G_N_ELEMENTS(priorities), fk_json_str(json, "rank"))) >= 0,
          "rank")
  REQUIRE(fk_json_u64(json, "strands", &tasks) && tasks >= 1 && tasks <= TASKS_MAX, "strands")
  REQUIRE(parse_amount(json, "cores", &spec->cpus), "cores")
  REQUIRE(parse_amount(json, "cards", &spec->gpus), "cards")
  REQUIRE(parse_amount(json, "mem_gb", &spec->mem_gb), "mem_gb")
  REQUIRE(parse_name(json, "bundle", &spec->image), "bundle")
  REQUIRE(parse_amount(json, "size_gb", &spec->image_gb), "size_gb")
  REQUIRE(parse_types(json, &spec->types), "builds")
  REQUIRE(!fk_json_get(json, "yard") || parse_name(json, "yard", &spec->zone), "yard")
  REQUIRE(fk_json_bool(json, "together", &spec->one_zone), "together")
  REQUIRE(fk_json_bool(json, "spread", &spec->spread), "spread")
  REQUIRE(fk_json_bool(json, "loaners", &spec->spot), "loaners")
  REQUIRE(parse_amount(json, "guess_s", &spec->estimate_s), "guess_s")
  REQUIRE(parse_amount(json, "knot_s", &spec->checkpoint_s), "knot_s")
  REQUIRE(parse_amount(json, "stow_s", &spec->save_s), "stow_s")
  REQUIRE(!fk_json_get(json, "due_s") || parse_amount(json, "due_s", &spec->deadline_s), "due_s")
  REQUIRE(parse_dependencies(json, &spec->dependencies), "awaits")
#undef REQUIRE
  spec->shape = (FkShape)shape;
  spec->priority = (FkJobPriority)priority;
  spec->tasks = (guint32)tasks;
  return g_steal_pointer(&spec);
}

char *fk_user_print_reply(const FkOutput *output) {
  if (output->status == 404)
    return fk_user_print_error("no such job");
  if (output->status == 422)
    return fk_user_print_error("can never run");
  if (output->status >= 400)
    return fk_user_print_error("come back later");
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "ref", output->job);
  cJSON_AddStringToObject(json, "phase", phases[output->phase]);
  cJSON_AddNumberToObject(json, "done", output->done);
  cJSON_AddNumberToObject(json, "running", output->running);
  return fk_json_print(json);
}

char *fk_user_print_error(const char *reason) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "error", reason);
  return fk_json_print(json);
}

char *fk_user_print_health(gboolean is_serving) {
  return g_strdup(is_serving ? "{\"up\":true}" : "{\"up\":false}");
}

/* ------------------------------------------------------------------ the client's side */

char *fk_user_print_submission(const FkSpec *spec) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "ref", spec->id);
  cJSON_AddStringToObject(json, "lane", spec->class_name);
  cJSON_AddStringToObject(json, "crew", spec->team);
  cJSON_AddStringToObject(json, "shape", shapes[spec->shape]);
  cJSON_AddStringToObject(json, "rank", priorities[spec->priority]);
  cJSON_AddNumberToObject(json, "strands", spec->tasks);
  cJSON_AddNumberToObject(json, "cores", spec->cpus);
  cJSON_AddNumberToObject(json, "cards", spec->gpus);
  cJSON_AddNumberToObject(json, "mem_gb", spec->mem_gb);
  cJSON_AddStringToObject(json, "bundle", spec->image);
  cJSON_AddNumberToObject(json, "size_gb", spec->image_gb);
  if (spec->zone)
    cJSON_AddStringToObject(json, "yard", spec->zone);
  cJSON_AddBoolToObject(json, "together", spec->one_zone);
  cJSON_AddBoolToObject(json, "spread", spec->spread);
  cJSON_AddBoolToObject(json, "loaners", spec->spot);
  cJSON_AddNumberToObject(json, "guess_s", spec->estimate_s);
  cJSON_AddNumberToObject(json, "knot_s", spec->checkpoint_s);
  cJSON_AddNumberToObject(json, "stow_s", spec->save_s);
  if (spec->deadline_s >= 0)
    cJSON_AddNumberToObject(json, "due_s", spec->deadline_s);
  return fk_json_print(json);
}

gboolean fk_user_parse_state(const char *body, gsize len, FkJobState *out) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  int phase = index_of_value(phases, G_N_ELEMENTS(phases), fk_json_str(json, "phase"));
  guint64 done = 0, running = 0;
  if (phase < 0)
    return FALSE;
  fk_json_u64(json, "done", &done);
  fk_json_u64(json, "running", &running);
  *out = (FkJobState){(FkPhase)phase, (guint32)done, (guint32)running};
  return TRUE;
}
