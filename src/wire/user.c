#include "wire/user.h"

#include <math.h>
#include <string.h>

static const char *shapes[] = {"sweep", "daemon", "group"};
static const char *ranks[] = {"production", "high", "normal", "best_effort"};
static const char *phases[] = {"queued", "running", "done", "withdrawn"};

gboolean fk_user_id_is_valid(const char *id) {
  if (!g_str_has_prefix(id, "run-"))
    return FALSE;
  gsize n = strlen(id + 4);
  return n >= 1 && n <= 20 && strspn(id + 4, "0123456789") == n;
}

static int index_of_word(const char *const *words, guint n, const char *s) {
  for (guint i = 0; s && i < n; i++)
    if (g_str_equal(words[i], s))
      return (int)i;
  return -1;
}

/* A word that goes into the store and into paths: not empty, not endless, no control characters. */
static gboolean name_is_valid(const char *s) {
  gsize n = s ? strlen(s) : 0;
  if (n < 1 || n > 128 || !g_utf8_validate(s, n, NULL))
    return FALSE;
  for (gsize i = 0; i < n; i++)
    if ((guchar)s[i] < 0x20)
      return FALSE;
  return TRUE;
}

static gboolean parse_name(const cJSON *o, const char *field, char **out) {
  const char *s = fk_json_str(o, field);
  if (!name_is_valid(s))
    return FALSE;
  *out = g_strdup(s);
  return TRUE;
}

static gboolean parse_amount(const cJSON *o, const char *field, double *out) {
  return fk_json_num(o, field, out) && *out >= 0 && *out <= 1e9;
}

static gboolean parse_types(const cJSON *o, char ***out) {
  const cJSON *j = fk_json_get(o, "builds");
  if (!j)
    return TRUE;
  int n = cJSON_GetArraySize(j);
  if (!cJSON_IsArray(j) || n < 1 || n > 100)
    return FALSE;
  g_autoptr(GStrvBuilder) b = g_strv_builder_new();
  const cJSON *item;
  cJSON_ArrayForEach(item, j) {
    if (!name_is_valid(cJSON_GetStringValue(item)))
      return FALSE;
    g_strv_builder_add(b, item->valuestring);
  }
  *out = g_strv_builder_end(b);
  return TRUE;
}

/* Missing, null and empty mean none; a name given twice counts once. */
static gboolean parse_dependencies(const cJSON *o, char ***out) {
  const cJSON *list = fk_json_get(o, "awaits"), *item;
  if (!list)
    return TRUE;
  if (!cJSON_IsArray(list))
    return FALSE;
  g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
  g_autoptr(GStrvBuilder) b = g_strv_builder_new();
  cJSON_ArrayForEach(item, list) {
    if (!cJSON_IsString(item) || !fk_user_id_is_valid(item->valuestring))
      return FALSE;
    if (g_hash_table_add(seen, item->valuestring))
      g_strv_builder_add(b, item->valuestring);
  }
  *out = g_hash_table_size(seen) ? g_strv_builder_end(b) : NULL;
  return TRUE;
}

FkSpec *fk_user_parse_submission(const char *body, gsize len, const char **why) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  g_autoptr(FkSpec) s = fk_spec_new();
  guint64 tasks = 0;
  int shape, rank;
#define NEED(ok, field)                                                                                      \
  if (!(ok)) {                                                                                               \
    *why = field;                                                                                            \
    return NULL;                                                                                             \
  }
  NEED(cJSON_IsObject(o), "not a JSON object")
  NEED(parse_name(o, "ref", &s->id) && fk_user_id_is_valid(s->id), "ref")
  NEED(parse_name(o, "lane", &s->class_name), "lane")
  NEED(parse_name(o, "crew", &s->team), "crew")
  NEED((shape = index_of_word(shapes, G_N_ELEMENTS(shapes), fk_json_str(o, "shape"))) >= 0, "shape")
  NEED((rank = index_of_word(ranks, G_N_ELEMENTS(ranks), fk_json_str(o, "rank"))) >= 0, "rank")
  NEED(fk_json_u64(o, "strands", &tasks) && tasks >= 1 && tasks <= 100000, "strands")
  NEED(parse_amount(o, "cores", &s->cpus), "cores")
  NEED(parse_amount(o, "cards", &s->gpus), "cards")
  NEED(parse_amount(o, "mem_gb", &s->mem_gb), "mem_gb")
  NEED(parse_name(o, "bundle", &s->image), "bundle")
  NEED(parse_amount(o, "size_gb", &s->image_gb), "size_gb")
  NEED(parse_types(o, &s->types), "builds")
  NEED(!fk_json_get(o, "yard") || parse_name(o, "yard", &s->zone), "yard")
  NEED(fk_json_bool(o, "together", &s->one_zone), "together")
  NEED(fk_json_bool(o, "spread", &s->spread), "spread")
  NEED(fk_json_bool(o, "loaners", &s->spot), "loaners")
  NEED(parse_amount(o, "guess_s", &s->estimate_s), "guess_s")
  NEED(parse_amount(o, "knot_s", &s->checkpoint_s), "knot_s")
  NEED(parse_amount(o, "stow_s", &s->save_s), "stow_s")
  NEED(!fk_json_get(o, "due_s") || parse_amount(o, "due_s", &s->deadline_s), "due_s")
  NEED(parse_dependencies(o, &s->dependencies), "awaits")
#undef NEED
  s->shape = (FkShape)shape;
  s->priority = (FkJobPriority)rank;
  s->tasks = (guint32)tasks;
  return g_steal_pointer(&s);
}

char *fk_user_print_reply(const FkOutput *out) {
  if (out->status == 404)
    return fk_user_print_error("no such job");
  if (out->status == 422)
    return fk_user_print_error("can never run");
  if (out->status >= 400)
    return fk_user_print_error("come back later");
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddStringToObject(o, "ref", out->job);
  cJSON_AddStringToObject(o, "phase", phases[out->phase]);
  cJSON_AddNumberToObject(o, "done", out->done);
  cJSON_AddNumberToObject(o, "running", out->running);
  return fk_json_print(o);
}

char *fk_user_print_error(const char *why) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddStringToObject(o, "error", why);
  return fk_json_print(o);
}

/* ------------------------------------------------------------------ the user's side */

char *fk_user_print_submission(const FkSpec *s) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddStringToObject(o, "ref", s->id);
  cJSON_AddStringToObject(o, "lane", s->class_name);
  cJSON_AddStringToObject(o, "crew", s->team);
  cJSON_AddStringToObject(o, "shape", shapes[s->shape]);
  cJSON_AddStringToObject(o, "rank", ranks[s->priority]);
  cJSON_AddNumberToObject(o, "strands", s->tasks);
  cJSON_AddNumberToObject(o, "cores", s->cpus);
  cJSON_AddNumberToObject(o, "cards", s->gpus);
  cJSON_AddNumberToObject(o, "mem_gb", s->mem_gb);
  cJSON_AddStringToObject(o, "bundle", s->image);
  cJSON_AddNumberToObject(o, "size_gb", s->image_gb);
  if (s->zone)
    cJSON_AddStringToObject(o, "yard", s->zone);
  cJSON_AddBoolToObject(o, "together", s->one_zone);
  cJSON_AddBoolToObject(o, "spread", s->spread);
  cJSON_AddBoolToObject(o, "loaners", s->spot);
  cJSON_AddNumberToObject(o, "guess_s", s->estimate_s);
  cJSON_AddNumberToObject(o, "knot_s", s->checkpoint_s);
  cJSON_AddNumberToObject(o, "stow_s", s->save_s);
  if (s->deadline_s >= 0)
    cJSON_AddNumberToObject(o, "due_s", s->deadline_s);
  return fk_json_print(o);
}

gboolean fk_user_parse_state(const char *body, gsize len, FkJobState *out) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  int phase = index_of_word(phases, G_N_ELEMENTS(phases), fk_json_str(o, "phase"));
  guint64 done = 0, running = 0;
  if (phase < 0)
    return FALSE;
  fk_json_u64(o, "done", &done);
  fk_json_u64(o, "running", &running);
  *out = (FkJobState){(FkPhase)phase, (guint32)done, (guint32)running};
  return TRUE;
}
