#include "wire/store.h"

char *fk_store_print_commit(const FkOutput *output) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON *guards = cJSON_AddArrayToObject(json, "guards"), *writes = cJSON_AddArrayToObject(json, "writes");
  for (guint i = 0; i < output->guards->len; i++) {
    const FkGuard *guard = &g_array_index(output->guards, FkGuard, i);
    cJSON *item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "path", guard->path);
    fk_json_add_u64(item, "stamp", guard->rev.n);
    cJSON_AddItemToArray(guards, item);
  }
  for (guint i = 0; i < output->writes->len; i++) {
    const FkWrite *write = &g_array_index(output->writes, FkWrite, i);
    cJSON *item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, write->record ? "put" : "delete", write->path);
    if (write->record)
      cJSON_AddItemToObject(item, "value", fk_store_record_to_json(write->record));
    if (write->lease.n)
      fk_json_add_u64(item, "tether", write->lease.n);
    cJSON_AddItemToArray(writes, item);
  }
  return fk_json_print(json);
}

FkRev fk_store_parse_revision(const cJSON *json) {
  FkRev epoch = {0};
  fk_json_u64(json, "epoch", &epoch.n);
  return epoch;
}

GPtrArray *fk_store_parse_failed(const cJSON *json) {
  const cJSON *list = fk_json_get(json, "failed"), *item;
  GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
  cJSON_ArrayForEach(item, list) if (cJSON_IsString(item))
      g_ptr_array_add(failed, g_strdup(item->valuestring));
  return failed;
}

/* Not ours, or of a version that we don't know. */
static void warn_malformed(const char *path) { g_warning("store record malformed path=%s", path); }

static FkStoreEvent *event_from_json(const cJSON *item, const char *path) {
  FkStoreEvent *event = g_new0(FkStoreEvent, 1);
  event->path = g_strdup(path);
  fk_json_u64(item, "stamp", &event->rev.n);
  return event;
}

FkStoreEvent *fk_store_parse_item(const cJSON *item) {
  const char *path = fk_json_str(item, "path");
  if (!path)
    return NULL;
  FkStoreEvent *event = event_from_json(item, path);
  event->record = fk_store_record_from_json(path, fk_json_get(item, "value"));
  if (!event->record)
    warn_malformed(path);
  return event;
}

GPtrArray *fk_store_parse_list(const char *body, gsize len, gboolean *more, FkRev *epoch) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(json, "pairs"), *item;
  if (!cJSON_IsArray(list))
    return NULL;
  *more = FALSE;
  fk_json_bool(json, "truncated", more);
  *epoch = fk_store_parse_revision(json);
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_store_event_free);
  cJSON_ArrayForEach(item, list) {
    FkStoreEvent *event = fk_store_parse_item(item);
    if (event)
      g_ptr_array_add(events, event);
  }
  return events;
}

GPtrArray *fk_store_parse_watch(const char *body, gsize len, FkRev *epoch) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  const cJSON *list = fk_json_get(json, "events"), *item;
  if (!cJSON_IsArray(list))
    return NULL;
  *epoch = fk_store_parse_revision(json);
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_store_event_free);
  cJSON_ArrayForEach(item, list) {
    const char *put_path = fk_json_str(item, "put"), *deleted_path = fk_json_str(item, "delete");
    if (!put_path && !deleted_path)
      continue;
    FkStoreEvent *event = event_from_json(item, put_path ? put_path : deleted_path);
    if (put_path && !(event->record = fk_store_record_from_json(put_path, fk_json_get(item, "value")))) {
      warn_malformed(put_path);
      fk_store_event_free(event);
      continue;
    }
    g_ptr_array_add(events, event);
  }
  return events;
}

char *fk_store_print_ttl(double ttl_s) { return g_strdup_printf("{\"ttl_ms\":%d}", (int)(ttl_s * 1000)); }

gboolean fk_store_parse_lease(const cJSON *json, FkRev *lease) {
  return fk_json_u64(json, "tether", &lease->n);
}
