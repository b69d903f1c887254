#include "simulation/scale/store_stand_in.h"

#include <stdlib.h>
#include <string.h>

#include "simulation/scale/addresses.h"
#include "simulation/scale/http_stand_in.h"
#include "simulation/scale/metrics_log.h"
#include "simulation/scale/stand_in_process.h"
#include "simulation/store_model.h"
#include "wire/store.h"
#include "wire/store_service.h"

#define HISTORY_CHANGES 10000 /* kept for watches (PROTOCOL) */
#define LIST_KEYS_MAX 1000
#define LIST_BYTES_MAX (512 * 1024)
#define LEASE_CHECK_MS 50
#define WATCH_MS_MAX 60000

typedef struct {
  SoupServerMessage *message;
  char *prefix;
  guint64 after_revision;
  gint64 deadline_us;
} Watch;

typedef struct {
  const FkScalePlan *plan;
  SoupServer *server;
  FkStoreModel *store;
  FkStoreRateLimit rate_limit;
  FkMetricsLog *metrics;
  GPtrArray *watches; /* Watch */
} StoreStandIn;

static void watch_free(gpointer data) {
  Watch *watch = data;
  g_object_unref(watch->message);
  g_free(watch->prefix);
  g_free(watch);
}

/* Whether a planned outage is going on. */
static gboolean is_outage(const StoreStandIn *stand_in) {
  double now_s = (double)(g_get_monotonic_time() - stand_in->plan->start_us) / 1e6;
  for (guint i = 0; i < stand_in->plan->faults->len; i++) {
    const FkScaleFault *fault = &g_array_index(stand_in->plan->faults, FkScaleFault, i);
    if (fault->kind == FK_SCALE_FAULT_STORE && now_s >= fault->at_s &&
        now_s < fault->at_s + fault->duration_s)
      return TRUE;
  }
  return FALSE;
}

static void respond(StoreStandIn *stand_in, SoupServerMessage *message, guint status,
                    char *body /* taken */) {
  fk_metrics_log_add(stand_in->metrics, "bytes_out", (double)strlen(body));
  fk_stand_in_respond(message, status, body);
}

/* ------------------------------------------------------------------ watches */

/* 410 when the history doesn't go back to that revision. */
static void answer_watch(StoreStandIn *stand_in, SoupServerMessage *message, const char *prefix,
                         guint64 after) {
  g_autoptr(GPtrArray) changes = fk_store_model_changes(stand_in->store, prefix, after);
  if (!changes) {
    respond(stand_in, message, 410, g_strdup("{}"));
    return;
  }
  cJSON *events = cJSON_CreateArray();
  for (guint i = 0; i < changes->len; i++) {
    const FkStoreChange *change = changes->pdata[i];
    cJSON_AddItemToArray(events, fk_store_event_to_json(change->path, change->value, change->revision));
  }
  char *body = fk_store_print_events(events, fk_store_model_revision(stand_in->store));
  fk_metrics_log_add(stand_in->metrics, "watch_answers", 1);
  fk_metrics_log_add(stand_in->metrics, "watch_events", changes->len);
  fk_metrics_log_add(stand_in->metrics, "watch_bytes", (double)strlen(body));
  respond(stand_in, message, 200, body);
}

/* Answers the watches that have new changes or have timed out. */
static void answer_due_watches(StoreStandIn *stand_in) {
  gint64 now = g_get_monotonic_time();
  if (is_outage(stand_in))
    return; /* watches stay open */
  for (guint i = 0; i < stand_in->watches->len;) {
    Watch *watch = stand_in->watches->pdata[i];
    if (fk_store_model_revision(stand_in->store) <= watch->after_revision && now < watch->deadline_us) {
      i++;
      continue;
    }
    answer_watch(stand_in, watch->message, watch->prefix, watch->after_revision);
    soup_server_message_unpause(watch->message);
    g_ptr_array_remove_index_fast(stand_in->watches, i);
  }
}

static void on_watch(StoreStandIn *stand_in, SoupServerMessage *message, GHashTable *query) {
  const char *prefix = fk_stand_in_query(query, "prefix"), *after = fk_stand_in_query(query, "after"),
             *block = fk_stand_in_query(query, "block_ms");
  guint64 revision = g_ascii_strtoull(after, NULL, 10);
  gint64 block_ms = MIN(WATCH_MS_MAX, atoi(block));
  if (fk_store_model_revision(stand_in->store) > revision || !block_ms) {
    answer_watch(stand_in, message, prefix, revision);
    return;
  }
  Watch *watch = g_new0(Watch, 1);
  *watch =
      (Watch){g_object_ref(message), g_strdup(prefix), revision, g_get_monotonic_time() + block_ms * 1000};
  soup_server_message_pause(message);
  g_ptr_array_add(stand_in->watches, watch);
}

/* ------------------------------------------------------------------ reads and transactions */

static void on_get(StoreStandIn *stand_in, SoupServerMessage *message, const char *path) {
  const FkStoreItem *item = fk_store_model_get(stand_in->store, path);
  if (!item) {
    respond(stand_in, message, 404, fk_store_print_revision(fk_store_model_revision(stand_in->store)));
    return;
  }
  g_autoptr(cJSON) json = fk_store_item_to_json(item->path, item->value, item->revision, item->lease);
  respond(stand_in, message, 200, fk_json_print(json));
}

static void on_list(StoreStandIn *stand_in, SoupServerMessage *message, GHashTable *query) {
  const char *after = fk_stand_in_query(query, "after");
  guint page = (guint)CLAMP(atoi(fk_stand_in_query(query, "page")), 1, LIST_KEYS_MAX);
  gboolean more;
  g_autoptr(GPtrArray) items = fk_store_model_list(stand_in->store, fk_stand_in_query(query, "prefix"),
                                                   *after ? after : NULL, page, LIST_BYTES_MAX, &more);
  cJSON *pairs = cJSON_CreateArray();
  for (guint i = 0; i < items->len; i++) {
    const FkStoreItem *item = items->pdata[i];
    cJSON_AddItemToArray(pairs, fk_store_item_to_json(item->path, item->value, item->revision, item->lease));
  }
  char *body = fk_store_print_items(pairs, more, fk_store_model_revision(stand_in->store));
  fk_metrics_log_add(stand_in->metrics, "list_bytes", (double)strlen(body));
  respond(stand_in, message, 200, body);
}

/* The paths of failed guards are appended to `failed`. */
static FkStoreOutcome commit(StoreStandIn *stand_in, const FkStoreTransaction *transaction,
                             GPtrArray *failed) {
  g_autoptr(GArray) guards = g_array_new(FALSE, FALSE, sizeof(FkStoreGuard)),
                    writes = g_array_new(FALSE, FALSE, sizeof(FkStoreWrite));
  for (guint i = 0; i < transaction->conditions->len; i++) {
    const FkStoreCondition *condition = &g_array_index(transaction->conditions, FkStoreCondition, i);
    FkStoreGuard guard = {condition->path, condition->revision};
    g_array_append_val(guards, guard);
  }
  for (guint i = 0; i < transaction->changes->len; i++) {
    const FkTransactionWrite *change = &g_array_index(transaction->changes, FkTransactionWrite, i);
    FkStoreWrite write = {change->path, change->value, change->lease};
    g_array_append_val(writes, write);
  }
  return fk_store_model_commit(stand_in->store, guards, writes, failed);
}

static void on_commit(StoreStandIn *stand_in, SoupServerMessage *message,
                      const FkStoreTransaction *transaction) {
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  FkStoreOutcome outcome = commit(stand_in, transaction, failed);
  guint64 revision = fk_store_model_revision(stand_in->store);
  fk_metrics_log_add(stand_in->metrics, "transactions", 1);
  fk_metrics_log_add(stand_in->metrics, "writes", transaction->changes->len);
  fk_metrics_log_add(stand_in->metrics, "guards", transaction->conditions->len);
  if (outcome == FK_STORE_OK) {
    respond(stand_in, message, 200, fk_store_print_revision(revision));
  } else if (outcome == FK_STORE_CONFLICT) {
    fk_metrics_log_add(stand_in->metrics, "conflicts", 1);
    respond(stand_in, message, 409, fk_store_print_conflict(failed, revision));
  } else {
    respond(stand_in, message, 400, g_strdup("{\"error\":\"no such lease\"}"));
  }
}

static void on_grant_lease(StoreStandIn *stand_in, SoupServerMessage *message, const char *body, gsize len) {
  double ttl_s;
  if (!fk_store_parse_ttl_s(body, len, &ttl_s)) {
    respond(stand_in, message, 400, g_strdup("{}"));
    return;
  }
  respond(stand_in, message, 200,
          fk_store_print_lease(fk_store_model_grant_lease(stand_in->store, g_get_monotonic_time(), ttl_s)));
}

/* POST /holds/ID/renew or DELETE /holds/ID; `id` is the rest of the path from the ID on. */
static void on_existing_lease(StoreStandIn *stand_in, SoupServerMessage *message, const char *id,
                              gboolean renew) {
  guint64 lease = g_ascii_strtoull(id, NULL, 10);
  gboolean found = renew ? fk_store_model_keep_alive(stand_in->store, g_get_monotonic_time(), lease)
                         : fk_store_model_revoke_lease(stand_in->store, lease);
  respond(stand_in, message, found ? 200 : 404, g_strdup("{}"));
}

/* ------------------------------------------------------------------ requests */

static void reject(StoreStandIn *stand_in, SoupServerMessage *message, guint status) {
  fk_metrics_log_add(stand_in->metrics, status == 429 ? "over_budget" : "out", 1);
  respond(stand_in, message, status, g_strdup("{}"));
}

/* `transaction` NULL: the request is none. */
static void dispatch(StoreStandIn *stand_in, SoupServerMessage *message, const char *path, GHashTable *query,
                     const char *body, gsize len, const FkStoreTransaction *transaction) {
  const char *method = soup_server_message_get_method(message);
  if (transaction)
    on_commit(stand_in, message, transaction);
  else if (g_str_has_prefix(path, "/store/"))
    on_get(stand_in, message, path + strlen("/store/"));
  else if (g_str_equal(path, "/store"))
    on_list(stand_in, message, query);
  else if (g_str_equal(path, "/watch"))
    on_watch(stand_in, message, query);
  else if (g_str_equal(path, "/holds"))
    on_grant_lease(stand_in, message, body, len);
  else if (g_str_has_prefix(path, "/holds/"))
    on_existing_lease(stand_in, message, path + strlen("/holds/"), g_str_equal(method, "POST"));
  else
    respond(stand_in, message, 400, g_strdup("{}"));
}

static void on_request(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
                       gpointer data) {
  StoreStandIn *stand_in = data;
  gsize len;
  const char *body = fk_stand_in_request_body(message, &len);
  fk_metrics_log_add(stand_in->metrics, "requests", 1);
  fk_metrics_log_add(stand_in->metrics, "bytes_in", (double)len);
  if (is_outage(stand_in)) {
    reject(stand_in, message, 503);
    return;
  }
  gboolean is_commit = g_str_equal(path, "/commit");
  g_autoptr(FkStoreTransaction) transaction = is_commit ? fk_store_parse_transaction(body, len) : NULL;
  if (is_commit && !transaction) {
    respond(stand_in, message, 400, g_strdup("{}"));
    return;
  }
  if (!fk_store_rate_limit_take(&stand_in->rate_limit, g_get_monotonic_time(),
                                stand_in->plan->store_requests_per_s, stand_in->plan->store_writes_per_s,
                                transaction ? transaction->changes->len : 0)) {
    reject(stand_in, message, 429);
    return;
  }
  dispatch(stand_in, message, path, query, body, len, transaction);
  if (transaction || g_str_has_prefix(path, "/holds/"))
    answer_due_watches(stand_in);
}

static gboolean on_lease_timer(gpointer data) {
  StoreStandIn *stand_in = data;
  if (!is_outage(stand_in))
    fk_store_model_expire_leases(stand_in->store, g_get_monotonic_time());
  answer_due_watches(stand_in);
  return G_SOURCE_CONTINUE;
}

/* No lease expires during an outage: each gets its full time from the outage's end. */
static void extend_leases_past_outages(StoreStandIn *stand_in) {
  for (guint i = 0; i < stand_in->plan->faults->len; i++) {
    const FkScaleFault *fault = &g_array_index(stand_in->plan->faults, FkScaleFault, i);
    if (fault->kind == FK_SCALE_FAULT_STORE)
      fk_store_model_extend_leases(stand_in->store, stand_in->plan->start_us +
                                                        (gint64)((fault->at_s + fault->duration_s) * 1e6));
  }
}

static void sample(gpointer data) {
  StoreStandIn *stand_in = data;
  fk_metrics_log_set(stand_in->metrics, "keys", fk_store_model_size(stand_in->store));
  fk_metrics_log_set(stand_in->metrics, "watches", stand_in->watches->len);
  if (is_outage(stand_in))
    extend_leases_past_outages(stand_in);
}

int fk_store_stand_in_run(const FkScalePlan *plan, guint region) {
  g_autoptr(GError) error = NULL;
  g_autofree char *name = g_strdup_printf("state-%u", region), *addr = fk_scale_store_addr(plan, region);
  StoreStandIn stand_in = {.plan = plan, .store = fk_store_model_new(HISTORY_CHANGES)};
  stand_in.watches = g_ptr_array_new_with_free_func(watch_free);
  stand_in.metrics = fk_metrics_log_new(plan->output_dir, name, plan->start_us, 0, &error);
  stand_in.server = stand_in.metrics ? fk_stand_in_serve(addr, on_request, &stand_in, &error) : NULL;
  if (!stand_in.server)
    return fk_stand_in_start_failed(name, error);
  g_timeout_add(LEASE_CHECK_MS, on_lease_timer, &stand_in);
  fk_metrics_log_start(stand_in.metrics, sample, &stand_in);
  fk_stand_in_run(plan);
  fk_metrics_log_free(stand_in.metrics);
  return 0;
}
