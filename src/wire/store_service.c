#include "wire/store_service.h"

#define TTL_MIN_MS 100
#define TTL_MAX_MS 600000

static void condition_clear(gpointer data) { g_free(((FkStoreCondition *)data)->path); }

static void change_clear(gpointer data) {
  FkTransactionWrite *change = data;
  g_free(change->path);
  g_free(change->value);
}

void fk_store_transaction_free(FkStoreTransaction *transaction) {
  g_array_unref(transaction->conditions);
  g_array_unref(transaction->changes);
  g_free(transaction);
}

static gboolean parse_condition(const cJSON *json, GArray *conditions) {
  FkStoreCondition condition = {NULL, 0};
  const char *path = fk_json_str(json, "path");
  if (!path || !fk_json_u64(json, "stamp", &condition.revision))
    return FALSE;
  condition.path = g_strdup(path);
  g_array_append_val(conditions, condition);
  /* cppcheck-suppress memleak ; the array owns the path now */
  return TRUE;
}

static gboolean parse_change(const cJSON *json, GArray *changes) {
  FkTransactionWrite change = {NULL, NULL, 0};
  const char *put_path = fk_json_str(json, "put"), *deleted_path = fk_json_str(json, "delete");
  const cJSON *value = fk_json_get(json, "value");
  if ((!put_path && !deleted_path) || (put_path && !value))
    return FALSE;
  fk_json_u64(json, "tether", &change.lease);
  change.path = g_strdup(put_path ? put_path : deleted_path);
  change.value = put_path ? fk_json_print(value) : NULL;
  g_array_append_val(changes, change);
  /* cppcheck-suppress memleak ; the array owns path and value now */
  return TRUE;
}

FkStoreTransaction *fk_store_parse_transaction(const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  g_autoptr(FkStoreTransaction) transaction = g_new0(FkStoreTransaction, 1);
  transaction->conditions = g_array_new(FALSE, FALSE, sizeof(FkStoreCondition));
  g_array_set_clear_func(transaction->conditions, condition_clear);
  transaction->changes = g_array_new(FALSE, FALSE, sizeof(FkTransactionWrite));
  g_array_set_clear_func(transaction->changes, change_clear);
  if (!cJSON_IsObject(json))
    return NULL;
  const cJSON *item;
  cJSON_ArrayForEach(
      item, fk_json_get(json, "guards")) if (!parse_condition(item, transaction->conditions)) return NULL;
  cJSON_ArrayForEach(item,
                     fk_json_get(json, "writes")) if (!parse_change(item, transaction->changes)) return NULL;
  return g_steal_pointer(&transaction);
}

cJSON *fk_store_item_to_json(const char *path, const char *value, guint64 revision, guint64 lease) {
  cJSON *json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, "path", path);
  cJSON_AddRawToObject(json, "value", value);
  fk_json_add_u64(json, "stamp", revision);
  if (lease)
    fk_json_add_u64(json, "tether", lease);
  return json;
}

cJSON *fk_store_event_to_json(const char *path, const char *value, guint64 revision) {
  cJSON *json = cJSON_CreateObject();
  cJSON_AddStringToObject(json, value ? "put" : "delete", path);
  if (value)
    cJSON_AddRawToObject(json, "value", value);
  fk_json_add_u64(json, "stamp", revision);
  return json;
}

char *fk_store_print_items(cJSON *items, gboolean more, guint64 epoch) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON_AddItemToObject(json, "pairs", items);
  cJSON_AddBoolToObject(json, "truncated", more);
  fk_json_add_u64(json, "epoch", epoch);
  return fk_json_print(json);
}

char *fk_store_print_events(cJSON *events, guint64 epoch) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  fk_json_add_u64(json, "epoch", epoch);
  cJSON_AddItemToObject(json, "events", events);
  return fk_json_print(json);
}

char *fk_store_print_revision(guint64 epoch) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  fk_json_add_u64(json, "epoch", epoch);
  return fk_json_print(json);
}

char *fk_store_print_conflict(const GPtrArray *failed, guint64 epoch) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  cJSON *list = cJSON_AddArrayToObject(json, "failed");
  for (guint i = 0; i < failed->len; i++)
    cJSON_AddItemToArray(list, cJSON_CreateString(failed->pdata[i]));
  fk_json_add_u64(json, "epoch", epoch);
  return fk_json_print(json);
}

char *fk_store_print_lease(guint64 lease) {
  g_autoptr(cJSON) json = cJSON_CreateObject();
  fk_json_add_u64(json, "tether", lease);
  return fk_json_print(json);
}

gboolean fk_store_parse_ttl_s(const char *body, gsize len, double *out) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  double ttl_ms;
  if (!fk_json_num(json, "ttl_ms", &ttl_ms) || ttl_ms < TTL_MIN_MS || ttl_ms > TTL_MAX_MS)
    return FALSE;
  *out = ttl_ms / 1000;
  return TRUE;
}
