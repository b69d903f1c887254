#include "simulation/scale/state_service.h"

#include <stdlib.h>
#include <string.h>

#include "simulation/scale/listen.h"
#include "simulation/scale/series.h"
#include "simulation/store_model.h"
#include "wire/store.h"
#include "wire/store_service.h"

#define HISTORY 10000 /* changes kept (PROTOCOL) */
#define LIST_MOST 1000
#define LIST_BYTES (512 * 1024)
#define EXPIRE_MS 50
#define WATCH_MOST_MS 60000

typedef struct {
  SoupServerMessage *message;
  char *prefix;
  guint64 after;
  gint64 until;
} Watch;

typedef struct {
  const FkScalePlan *plan;
  SoupServer *server;
  FkStoreModel *store;
  FkStoreRateLimit budget;
  FkSeries *series;
  GPtrArray *watches; /* Watch */
} Service;

static void watch_free(gpointer p) {
  Watch *w = p;
  g_object_unref(w->message);
  g_free(w->prefix);
  g_free(w);
}

static gboolean out(const Service *s) {
  double now_s = (double)(g_get_monotonic_time() - s->plan->begins_us) / 1e6;
  for (guint i = 0; i < s->plan->faults->len; i++) {
    const FkFault *f = &g_array_index(s->plan->faults, FkFault, i);
    if (f->kind == FK_FAULT_STATE && now_s >= f->at_s && now_s < f->at_s + f->for_s)
      return TRUE;
  }
  return FALSE;
}

static void respond(Service *s, SoupServerMessage *m, guint status, char *body /* taken */) {
  fk_series_add(s->series, "bytes_out", (double)strlen(body));
  fk_scale_respond(m, status, body);
}

/* ------------------------------------------------------------------ watches */

/* 410 when the history doesn't go back so far. */
static void answer_watch(Service *s, SoupServerMessage *m, const char *prefix, guint64 after) {
  g_autoptr(GPtrArray) changes = fk_store_model_changes(s->store, prefix, after);
  if (!changes) {
    respond(s, m, 410, g_strdup("{}"));
    return;
  }
  cJSON *events = cJSON_CreateArray();
  for (guint i = 0; i < changes->len; i++) {
    const FkStoreChange *c = changes->pdata[i];
    cJSON_AddItemToArray(events, fk_store_event_to_json(c->path, c->value, c->revision));
  }
  char *body = fk_store_print_events(events, fk_store_model_revision(s->store));
  fk_series_add(s->series, "watch_answers", 1);
  fk_series_add(s->series, "watch_events", changes->len);
  fk_series_add(s->series, "watch_bytes", (double)strlen(body));
  respond(s, m, 200, body);
}

/* Answers the watches that have something to tell, or whose time is over. */
static void settle_watches(Service *s) {
  gint64 now = g_get_monotonic_time();
  if (out(s))
    return; /* open watches remain open */
  for (guint i = 0; i < s->watches->len;) {
    Watch *w = s->watches->pdata[i];
    if (fk_store_model_revision(s->store) <= w->after && now < w->until) {
      i++;
      continue;
    }
    answer_watch(s, w->message, w->prefix, w->after);
    soup_server_message_unpause(w->message);
    g_ptr_array_remove_index_fast(s->watches, i);
  }
}

static void on_watch(Service *s, SoupServerMessage *m, GHashTable *query) {
  const char *prefix = fk_scale_query(query, "prefix"), *after = fk_scale_query(query, "after"),
             *block = fk_scale_query(query, "block_ms");
  guint64 revision = g_ascii_strtoull(after, NULL, 10);
  gint64 block_ms = MIN(WATCH_MOST_MS, atoi(block));
  if (fk_store_model_revision(s->store) > revision || !block_ms) {
    answer_watch(s, m, prefix, revision);
    return;
  }
  Watch *w = g_new0(Watch, 1);
  *w = (Watch){g_object_ref(m), g_strdup(prefix), revision, g_get_monotonic_time() + block_ms * 1000};
  soup_server_message_pause(m);
  g_ptr_array_add(s->watches, w);
}

/* ------------------------------------------------------------------ reads and transactions */

static void on_get(Service *s, SoupServerMessage *m, const char *path) {
  const FkStoreItem *item = fk_store_model_get(s->store, path);
  if (!item) {
    respond(s, m, 404, fk_store_print_epoch(fk_store_model_revision(s->store)));
    return;
  }
  g_autoptr(cJSON) o = fk_store_item_to_json(item->path, item->value, item->revision, item->lease);
  respond(s, m, 200, fk_json_print(o));
}

static void on_list(Service *s, SoupServerMessage *m, GHashTable *query) {
  const char *after = fk_scale_query(query, "after");
  guint page = (guint)CLAMP(atoi(fk_scale_query(query, "page")), 1, LIST_MOST);
  gboolean more;
  g_autoptr(GPtrArray) items = fk_store_model_list(s->store, fk_scale_query(query, "prefix"),
                                                   *after ? after : NULL, page, LIST_BYTES, &more);
  cJSON *pairs = cJSON_CreateArray();
  for (guint i = 0; i < items->len; i++) {
    const FkStoreItem *item = items->pdata[i];
    cJSON_AddItemToArray(pairs, fk_store_item_to_json(item->path, item->value, item->revision, item->lease));
  }
  char *body = fk_store_print_items(pairs, more, fk_store_model_revision(s->store));
  fk_series_add(s->series, "list_bytes", (double)strlen(body));
  respond(s, m, 200, body);
}

static FkStoreOutcome commit(Service *s, const FkStoreTransaction *t, GPtrArray *failed) {
  g_autoptr(GArray) guards = g_array_new(FALSE, FALSE, sizeof(FkStoreGuard)),
                    writes = g_array_new(FALSE, FALSE, sizeof(FkStoreWrite));
  for (guint i = 0; i < t->conditions->len; i++) {
    const FkStoreCondition *c = &g_array_index(t->conditions, FkStoreCondition, i);
    FkStoreGuard guard = {c->path, c->revision};
    g_array_append_val(guards, guard);
  }
  for (guint i = 0; i < t->changes->len; i++) {
    const FkTransactionWrite *c = &g_array_index(t->changes, FkTransactionWrite, i);
    FkStoreWrite write = {c->path, c->value, c->lease};
    g_array_append_val(writes, write);
  }
  return fk_store_model_commit(s->store, guards, writes, failed);
}

static void on_commit(Service *s, SoupServerMessage *m, const FkStoreTransaction *t) {
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  FkStoreOutcome outcome = commit(s, t, failed);
  guint64 epoch = fk_store_model_revision(s->store);
  fk_series_add(s->series, "transactions", 1);
  fk_series_add(s->series, "writes", t->changes->len);
  fk_series_add(s->series, "guards", t->conditions->len);
  if (outcome == FK_STORE_OK) {
    respond(s, m, 200, fk_store_print_epoch(epoch));
  } else if (outcome == FK_STORE_CONFLICT) {
    fk_series_add(s->series, "conflicts", 1);
    respond(s, m, 409, fk_store_print_conflict(failed, epoch));
  } else {
    respond(s, m, 400, g_strdup("{\"error\":\"no such lease\"}"));
  }
}

static void on_hold(Service *s, SoupServerMessage *m, const char *body, gsize len) {
  double ttl_s;
  if (!fk_store_parse_ttl_s(body, len, &ttl_s)) {
    respond(s, m, 400, g_strdup("{}"));
    return;
  }
  respond(s, m, 200,
          fk_store_print_lease(fk_store_model_grant_lease(s->store, g_get_monotonic_time(), ttl_s)));
}

/* /holds/ID/renew, or DELETE /holds/ID */
static void on_known_hold(Service *s, SoupServerMessage *m, const char *rest, gboolean renew) {
  guint64 hold = g_ascii_strtoull(rest, NULL, 10);
  gboolean there = renew ? fk_store_model_keep_alive(s->store, g_get_monotonic_time(), hold)
                         : fk_store_model_revoke_lease(s->store, hold);
  respond(s, m, there ? 200 : 404, g_strdup("{}"));
}

/* ------------------------------------------------------------------ requests */

static void refuse(Service *s, SoupServerMessage *m, guint status) {
  fk_series_add(s->series, status == 429 ? "over_budget" : "out", 1);
  respond(s, m, status, g_strdup("{}"));
}

static void dispatch(Service *s, SoupServerMessage *m, const char *path, GHashTable *query, const char *body,
                     gsize len, const FkStoreTransaction *t) {
  const char *method = soup_server_message_get_method(m);
  if (t)
    on_commit(s, m, t);
  else if (g_str_has_prefix(path, "/store/"))
    on_get(s, m, path + strlen("/store/"));
  else if (g_str_equal(path, "/store"))
    on_list(s, m, query);
  else if (g_str_equal(path, "/watch"))
    on_watch(s, m, query);
  else if (g_str_equal(path, "/holds"))
    on_hold(s, m, body, len);
  else if (g_str_has_prefix(path, "/holds/"))
    on_known_hold(s, m, path + strlen("/holds/"), g_str_equal(method, "POST"));
  else
    respond(s, m, 400, g_strdup("{}"));
}

static void on_request(SoupServer *server, SoupServerMessage *m, const char *path, GHashTable *query,
                       gpointer data) {
  Service *s = data;
  gsize len;
  const char *body = fk_scale_body(m, &len);
  fk_series_add(s->series, "requests", 1);
  fk_series_add(s->series, "bytes_in", (double)len);
  if (out(s)) {
    refuse(s, m, 503);
    return;
  }
  g_autoptr(FkStoreTransaction) t = NULL;
  if (g_str_equal(path, "/commit") && !(t = fk_store_parse_transaction(body, len))) {
    respond(s, m, 400, g_strdup("{}"));
    return;
  }
  if (!fk_store_rate_limit_take(&s->budget, g_get_monotonic_time(), s->plan->state_requests,
                                s->plan->state_writes, t ? t->changes->len : 0)) {
    refuse(s, m, 429);
    return;
  }
  dispatch(s, m, path, query, body, len, t);
  if (t || g_str_has_prefix(path, "/holds/"))
    settle_watches(s);
}

static gboolean on_expire(gpointer data) {
  Service *s = data;
  if (!out(s))
    fk_store_model_expire_leases(s->store, g_get_monotonic_time());
  settle_watches(s);
  return G_SOURCE_CONTINUE;
}

static void outage_over(Service *s) {
  for (guint i = 0; i < s->plan->faults->len; i++) {
    const FkFault *f = &g_array_index(s->plan->faults, FkFault, i);
    if (f->kind == FK_FAULT_STATE)
      fk_store_model_extend_leases(s->store, s->plan->begins_us + (gint64)((f->at_s + f->for_s) * 1e6));
  }
}

static void sample(gpointer data) {
  Service *s = data;
  fk_series_set(s->series, "keys", fk_store_model_size(s->store));
  fk_series_set(s->series, "watches", s->watches->len);
  if (out(s))
    outage_over(s);
}

int fk_scale_state_service(const FkScalePlan *p, guint region) {
  g_autoptr(GError) error = NULL;
  g_autofree char *name = g_strdup_printf("state-%u", region), *addr = fk_scale_state_addr(p, region);
  Service s = {.plan = p, .store = fk_store_model_new(HISTORY)};
  s.watches = g_ptr_array_new_with_free_func(watch_free);
  s.series = fk_series_new(p->dir, name, p->begins_us, 0, &error);
  s.server = s.series ? fk_scale_serve(addr, on_request, &s, &error) : NULL;
  if (!s.server)
    return fk_scale_failed(name, error);
  g_timeout_add(EXPIRE_MS, on_expire, &s);
  fk_series_start(s.series, sample, &s);
  fk_scale_run_until_over(p);
  fk_series_free(s.series);
  return 0;
}
