#include "wire/cloud.h"

static char **parse_strings(const cJSON *list) {
  g_autoptr(GStrvBuilder) builder = g_strv_builder_new();
  const cJSON *item;
  cJSON_ArrayForEach(item, list) if (cJSON_IsString(item)) g_strv_builder_add(builder, item->valuestring);
  return g_strv_builder_end(builder);
}

GPtrArray *fk_cloud_parse_types(const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(json, "builds"), *item;
  if (!cJSON_IsArray(list))
    return NULL;
  GPtrArray *types = g_ptr_array_new_with_free_func(fk_instance_type_free);
  cJSON_ArrayForEach(item, list) {
    if (!fk_json_str(item, "name"))
      continue;
    FkInstanceType *type = g_new0(FkInstanceType, 1);
    type->name = g_strdup(fk_json_str(item, "name"));
    type->cpus = fk_json_num_or(item, "cores", 0);
    type->gpus = fk_json_num_or(item, "cards", 0);
    type->mem_gb = fk_json_num_or(item, "mem_gb", 0);
    type->fetch_gb_per_s = fk_json_num_or(item, "pull_gb_per_s", 1);
    type->price = fk_json_num_or(item, "price", 1);
    type->spot_price = fk_json_num_or(item, "low_price", type->price);
    type->boot_s = fk_json_num_or(item, "ready_s", 60);
    type->zones = parse_strings(fk_json_get(item, "yards"));
    g_ptr_array_add(types, type);
  }
  return types;
}

GPtrArray *fk_cloud_parse_machines(const char *body, gsize len, gboolean *more) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(json, "knotters"), *item;
  if (!cJSON_IsArray(list))
    return NULL;
  *more = FALSE;
  fk_json_bool(json, "truncated", more);
  GPtrArray *machines = g_ptr_array_new_with_free_func(fk_cloud_machine_free);
  cJSON_ArrayForEach(item, list) {
    const char *phase = fk_json_str(item, "phase");
    if (!fk_json_str(item, "ref") || !phase || !fk_json_str(item, "build") || !fk_json_str(item, "yard"))
      continue;
    FkCloudMachine *machine = g_new0(FkCloudMachine, 1);
    machine->id = g_strdup(fk_json_str(item, "ref"));
    machine->addr = g_strdup(fk_json_str(item, "address"));
    machine->type = g_strdup(fk_json_str(item, "build"));
    machine->zone = g_strdup(fk_json_str(item, "yard"));
    fk_json_bool(item, "loaners", &machine->spot);
    machine->state = g_str_equal(phase, "failed")     ? FK_CLOUD_MACHINE_FAILED
                     : g_str_equal(phase, "starting") ? FK_CLOUD_MACHINE_BOOTING
                                                      : FK_CLOUD_MACHINE_RUNNING;
    machine->age_s = fk_json_num_or(item, "age_s", 0);
    g_ptr_array_add(machines, machine);
  }
  return machines;
}

GPtrArray *fk_cloud_parse_machine_ids(const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(json, "knotters"), *item;
  if (!cJSON_IsArray(list))
    return NULL;
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  cJSON_ArrayForEach(item, list) if (cJSON_IsString(item))
      g_ptr_array_add(names, g_strdup(item->valuestring));
  return names;
}

gboolean fk_cloud_is_no_capacity(const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  return g_strcmp0(fk_json_str(json, "error"), "no capacity") == 0;
}

char *fk_cloud_print_provision(const FkOutput *output) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "hire", output->name);
  cJSON_AddStringToObject(json, "build", output->type);
  cJSON_AddStringToObject(json, "yard", output->zone);
  cJSON_AddBoolToObject(json, "loaners", output->spot);
  cJSON_AddNumberToObject(json, "count", output->count);
  return fk_json_print(json);
}

char *fk_cloud_print_terminate(const FkOutput *output) { return fk_cloud_print_machine_ids(output->names); }

/* ------------------------------------------------------------------ the cloud's side */

void fk_instance_request_free(FkInstanceRequest *request) {
  g_free(request->name);
  g_free(request->type);
  g_free(request->zone);
  g_free(request);
}

FkInstanceRequest *fk_cloud_parse_instance_request(const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  g_autoptr(FkInstanceRequest) request = g_new0(FkInstanceRequest, 1);
  guint64 count = 0;
  request->name = g_strdup(fk_json_str(json, "hire"));
  request->type = g_strdup(fk_json_str(json, "build"));
  request->zone = g_strdup(fk_json_str(json, "yard"));
  fk_json_bool(json, "loaners", &request->spot);
  if (!request->name || !request->type || !request->zone || !fk_json_u64(json, "count", &count) ||
      count < 1 || count > FK_INSTANCE_REQUEST_MAX)
    return NULL;
  request->count = (guint)count;
  return g_steal_pointer(&request);
}

char *fk_cloud_print_types(const GPtrArray *types) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(json, "builds");
  for (guint i = 0; i < types->len; i++) {
    const FkInstanceType *type = types->pdata[i];
    cJSON *type_json = cJSON_CreateObject(), *zones = cJSON_CreateArray();
    cJSON_AddStringToObject(type_json, "name", type->name);
    cJSON_AddNumberToObject(type_json, "cores", type->cpus);
    cJSON_AddNumberToObject(type_json, "cards", type->gpus);
    cJSON_AddNumberToObject(type_json, "mem_gb", type->mem_gb);
    cJSON_AddNumberToObject(type_json, "pull_gb_per_s", type->fetch_gb_per_s);
    cJSON_AddNumberToObject(type_json, "price", type->price);
    cJSON_AddNumberToObject(type_json, "low_price", type->spot_price);
    cJSON_AddNumberToObject(type_json, "ready_s", type->boot_s);
    for (guint zone = 0; type->zones && type->zones[zone]; zone++)
      cJSON_AddItemToArray(zones, cJSON_CreateString(type->zones[zone]));
    cJSON_AddItemToObject(type_json, "yards", zones);
    cJSON_AddItemToArray(list, type_json);
  }
  return fk_json_print(json);
}

char *fk_cloud_print_machine_ids(const GPtrArray *names) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(json, "knotters");
  for (guint i = 0; i < names->len; i++)
    cJSON_AddItemToArray(list, cJSON_CreateString(names->pdata[i]));
  return fk_json_print(json);
}

char *fk_cloud_print_machines(const GPtrArray *listed, gboolean more) {
  static const char *const phases[] = {"starting", "running", "failed"};
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(json, "knotters");
  for (guint i = 0; i < listed->len; i++) {
    const FkCloudMachine *machine = listed->pdata[i];
    cJSON *item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "ref", machine->id);
    cJSON_AddStringToObject(item, "address", machine->addr);
    cJSON_AddStringToObject(item, "build", machine->type);
    cJSON_AddStringToObject(item, "yard", machine->zone);
    cJSON_AddBoolToObject(item, "loaners", machine->spot);
    cJSON_AddStringToObject(item, "phase", phases[machine->state]);
    cJSON_AddNumberToObject(item, "age_s", machine->age_s);
    cJSON_AddItemToArray(list, item);
  }
  cJSON_AddBoolToObject(json, "truncated", more);
  return fk_json_print(json);
}

char *fk_cloud_print_no_capacity(void) { return g_strdup("{\"error\":\"no capacity\"}"); }
