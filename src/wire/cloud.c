#include "wire/cloud.h"

static char **parse_strings(const cJSON *list) {
  g_autoptr(GStrvBuilder) b = g_strv_builder_new();
  const cJSON *item;
  cJSON_ArrayForEach(item, list) if (cJSON_IsString(item)) g_strv_builder_add(b, item->valuestring);
  return g_strv_builder_end(b);
}

GPtrArray *fk_cloud_parse_types(const char *body, gsize len) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(o, "builds"), *j;
  if (!cJSON_IsArray(list))
    return NULL;
  GPtrArray *types = g_ptr_array_new_with_free_func(fk_instance_type_free);
  cJSON_ArrayForEach(j, list) {
    if (!fk_json_str(j, "name"))
      continue;
    FkInstanceType *t = g_new0(FkInstanceType, 1);
    t->name = g_strdup(fk_json_str(j, "name"));
    t->cpus = fk_json_num_or(j, "cores", 0);
    t->gpus = fk_json_num_or(j, "cards", 0);
    t->mem_gb = fk_json_num_or(j, "mem_gb", 0);
    t->fetch_gb_per_s = fk_json_num_or(j, "pull_gb_per_s", 1);
    t->price = fk_json_num_or(j, "price", 1);
    t->spot_price = fk_json_num_or(j, "low_price", t->price);
    t->boot_s = fk_json_num_or(j, "ready_s", 60);
    t->zones = parse_strings(fk_json_get(j, "yards"));
    g_ptr_array_add(types, t);
  }
  return types;
}

GPtrArray *fk_cloud_parse_machines(const char *body, gsize len, gboolean *more) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(o, "knotters"), *j;
  if (!cJSON_IsArray(list))
    return NULL;
  *more = FALSE;
  fk_json_bool(o, "truncated", more);
  GPtrArray *machines = g_ptr_array_new_with_free_func(fk_cloud_machine_free);
  cJSON_ArrayForEach(j, list) {
    const char *phase = fk_json_str(j, "phase");
    if (!fk_json_str(j, "ref") || !phase || !fk_json_str(j, "build") || !fk_json_str(j, "yard"))
      continue;
    FkCloudMachine *l = g_new0(FkCloudMachine, 1);
    l->id = g_strdup(fk_json_str(j, "ref"));
    l->addr = g_strdup(fk_json_str(j, "address"));
    l->type = g_strdup(fk_json_str(j, "build"));
    l->zone = g_strdup(fk_json_str(j, "yard"));
    fk_json_bool(j, "loaners", &l->spot);
    l->state = g_str_equal(phase, "failed")     ? FK_CLOUD_MACHINE_FAILED
               : g_str_equal(phase, "starting") ? FK_CLOUD_MACHINE_BOOTING
                                                : FK_CLOUD_MACHINE_RUNNING;
    l->age_s = fk_json_num_or(j, "age_s", 0);
    g_ptr_array_add(machines, l);
  }
  return machines;
}

GPtrArray *fk_cloud_parse_names(const char *body, gsize len) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(o, "knotters"), *j;
  if (!cJSON_IsArray(list))
    return NULL;
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  cJSON_ArrayForEach(j, list) if (cJSON_IsString(j)) g_ptr_array_add(names, g_strdup(j->valuestring));
  return names;
}

gboolean fk_cloud_is_no_capacity(const char *body, gsize len) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  return g_strcmp0(fk_json_str(o, "error"), "no capacity") == 0;
}

char *fk_cloud_print_provision(const FkOutput *out) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddStringToObject(o, "hire", out->name);
  cJSON_AddStringToObject(o, "build", out->type);
  cJSON_AddStringToObject(o, "yard", out->zone);
  cJSON_AddBoolToObject(o, "loaners", out->spot);
  cJSON_AddNumberToObject(o, "count", out->count);
  return fk_json_print(o);
}

char *fk_cloud_print_terminate(const FkOutput *out) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(o, "knotters");
  for (guint i = 0; i < out->names->len; i++)
    cJSON_AddItemToArray(list, cJSON_CreateString(out->names->pdata[i]));
  return fk_json_print(o);
}

/* ------------------------------------------------------------------ the cloud's side */

void fk_instance_request_free(FkInstanceRequest *r) {
  g_free(r->name);
  g_free(r->type);
  g_free(r->zone);
  g_free(r);
}

FkInstanceRequest *fk_cloud_parse_instance_request(const char *body, gsize len) {
  g_autoptr(cJSON) o = fk_json_parse(body, len);
  g_autoptr(FkInstanceRequest) r = g_new0(FkInstanceRequest, 1);
  guint64 count = 0;
  r->name = g_strdup(fk_json_str(o, "hire"));
  r->type = g_strdup(fk_json_str(o, "build"));
  r->zone = g_strdup(fk_json_str(o, "yard"));
  fk_json_bool(o, "loaners", &r->spot);
  if (!r->name || !r->type || !r->zone || !fk_json_u64(o, "count", &count) || count < 1 || count > 50)
    return NULL;
  r->count = (guint)count;
  return g_steal_pointer(&r);
}

char *fk_cloud_print_types(const GPtrArray *types) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(o, "builds");
  for (guint i = 0; i < types->len; i++) {
    const FkInstanceType *t = types->pdata[i];
    cJSON *j = cJSON_CreateObject(), *zones = cJSON_CreateArray();
    cJSON_AddStringToObject(j, "name", t->name);
    cJSON_AddNumberToObject(j, "cores", t->cpus);
    cJSON_AddNumberToObject(j, "cards", t->gpus);
    cJSON_AddNumberToObject(j, "mem_gb", t->mem_gb);
    cJSON_AddNumberToObject(j, "pull_gb_per_s", t->fetch_gb_per_s);
    cJSON_AddNumberToObject(j, "price", t->price);
    cJSON_AddNumberToObject(j, "low_price", t->spot_price);
    cJSON_AddNumberToObject(j, "ready_s", t->boot_s);
    for (guint z = 0; t->zones && t->zones[z]; z++)
      cJSON_AddItemToArray(zones, cJSON_CreateString(t->zones[z]));
    cJSON_AddItemToObject(j, "yards", zones);
    cJSON_AddItemToArray(list, j);
  }
  return fk_json_print(o);
}

char *fk_cloud_print_names(const GPtrArray *names) {
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(o, "knotters");
  for (guint i = 0; i < names->len; i++)
    cJSON_AddItemToArray(list, cJSON_CreateString(names->pdata[i]));
  return fk_json_print(o);
}

char *fk_cloud_print_machines(const GPtrArray *listed, gboolean more) {
  static const char *const phases[] = {"starting", "running", "failed"};
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(o, "knotters");
  for (guint i = 0; i < listed->len; i++) {
    const FkCloudMachine *l = listed->pdata[i];
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, "ref", l->id);
    cJSON_AddStringToObject(j, "address", l->addr);
    cJSON_AddStringToObject(j, "build", l->type);
    cJSON_AddStringToObject(j, "yard", l->zone);
    cJSON_AddBoolToObject(j, "loaners", l->spot);
    cJSON_AddStringToObject(j, "phase", phases[l->state]);
    cJSON_AddNumberToObject(j, "age_s", l->age_s);
    cJSON_AddItemToArray(list, j);
  }
  cJSON_AddBoolToObject(o, "truncated", more);
  return fk_json_print(o);
}

char *fk_cloud_print_no_capacity(void) { return g_strdup("{\"error\":\"no capacity\"}"); }
