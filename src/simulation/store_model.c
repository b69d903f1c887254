#include "simulation/store_model.h"

#include <string.h>

typedef struct {
  gint64 until;
  double ttl_s;
} Hold;

struct FkStoreModel {
  GTree *items;       /* path -> FkStoreItem, which owns the path */
  GHashTable *holds;  /* id -> Hold */
  GQueue history;     /* FkStoreChange, the latest last */
  guint history_most; /* 0: any number */
  guint64 forgotten;  /* revision of the latest change that left the history */
  guint64 epoch, last_hold;
};

static void item_free(gpointer p) {
  FkStoreItem *i = p;
  g_free(i->path);
  g_free(i->value);
  g_free(i);
}

static void change_free(gpointer p) {
  FkStoreChange *c = p;
  g_free(c->path);
  g_free(c->value);
  g_free(c);
}

static int by_path(gconstpointer a, gconstpointer b, gpointer unused) { return strcmp(a, b); }

FkStoreModel *fk_store_model_new(guint history_most) {
  FkStoreModel *s = g_new0(FkStoreModel, 1);
  s->items = g_tree_new_full(by_path, NULL, NULL, item_free);
  s->holds = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  s->history_most = history_most;
  g_queue_init(&s->history);
  return s;
}

void fk_store_model_free(FkStoreModel *s) {
  if (!s)
    return;
  g_tree_unref(s->items);
  g_hash_table_unref(s->holds);
  g_queue_clear_full(&s->history, change_free);
  g_free(s);
}

guint64 fk_store_model_epoch(const FkStoreModel *s) { return s->epoch; }

guint fk_store_model_size(const FkStoreModel *s) { return (guint)g_tree_nnodes(s->items); }

const FkStoreItem *fk_store_model_get(const FkStoreModel *s, const char *path) {
  return g_tree_lookup(s->items, path);
}

GPtrArray *fk_store_model_list(const FkStoreModel *s, const char *prefix, const char *after, guint most,
                               gsize bytes_most, gboolean *more) {
  GPtrArray *list = g_ptr_array_new();
  gboolean from_after = after && strcmp(after, prefix) > 0;
  GTreeNode *node = from_after ? g_tree_upper_bound(s->items, after) : g_tree_lower_bound(s->items, prefix);
  gsize bytes = 0;
  *more = FALSE;
  for (; node; node = g_tree_node_next(node)) {
    FkStoreItem *item = g_tree_node_value(node);
    if (!g_str_has_prefix(item->path, prefix))
      break;
    bytes += strlen(item->value);
    if (list->len >= most || (list->len && bytes > bytes_most)) {
      *more = TRUE;
      break;
    }
    g_ptr_array_add(list, item);
  }
  return list;
}

GPtrArray *fk_store_model_changes(const FkStoreModel *s, const char *prefix, guint64 after) {
  if (after < s->forgotten)
    return NULL;
  const GList *first = s->history.tail;
  while (first && ((FkStoreChange *)first->data)->stamp > after)
    first = first->prev;
  GPtrArray *changes = g_ptr_array_new();
  for (const GList *l = first ? first->next : s->history.head; l; l = l->next)
    if (g_str_has_prefix(((FkStoreChange *)l->data)->path, prefix))
      g_ptr_array_add(changes, l->data);
  return changes;
}

static void record_change(FkStoreModel *s, const char *path, const char *value) {
  FkStoreChange *c = g_new0(FkStoreChange, 1);
  *c = (FkStoreChange){g_strdup(path), g_strdup(value), s->epoch};
  g_queue_push_tail(&s->history, c);
  while (s->history_most && s->history.length > s->history_most) {
    FkStoreChange *oldest = g_queue_pop_head(&s->history);
    s->forgotten = oldest->stamp;
    change_free(oldest);
  }
}

static void put(FkStoreModel *s, const FkStoreWrite *w) {
  FkStoreItem *item = g_new0(FkStoreItem, 1);
  *item = (FkStoreItem){g_strdup(w->path), g_strdup(w->value), s->epoch, w->hold};
  g_tree_replace(s->items, item->path, item);
  record_change(s, w->path, w->value);
}

FkStoreOutcome fk_store_model_commit(FkStoreModel *s, const GArray *guards, const GArray *writes,
                                     GPtrArray *failed) {
  for (guint i = 0; i < guards->len; i++) {
    const FkStoreGuard *g = &g_array_index(guards, FkStoreGuard, i);
    const FkStoreItem *item = fk_store_model_get(s, g->path);
    if ((item ? item->stamp : 0) != g->stamp)
      g_ptr_array_add(failed, g_strdup(g->path));
  }
  for (guint i = 0; i < writes->len; i++) {
    const FkStoreWrite *w = &g_array_index(writes, FkStoreWrite, i);
    if (w->value && w->hold && !g_hash_table_contains(s->holds, &w->hold))
      return FK_STORE_NO_HOLD;
  }
  if (failed->len)
    return FK_STORE_CONFLICT;
  if (writes->len)
    s->epoch++;
  for (guint i = 0; i < writes->len; i++) {
    const FkStoreWrite *w = &g_array_index(writes, FkStoreWrite, i);
    if (w->value)
      put(s, w);
    else if (g_tree_remove(s->items, w->path))
      record_change(s, w->path, NULL);
  }
  return FK_STORE_OK;
}

/* ------------------------------------------------------------------ holds */

guint64 fk_store_model_hold(FkStoreModel *s, gint64 now, double ttl_s) {
  Hold *h = g_new0(Hold, 1);
  *h = (Hold){now + (gint64)(ttl_s * 1e6), ttl_s};
  guint64 id = ++s->last_hold;
  g_hash_table_insert(s->holds, g_memdup2(&id, sizeof id), h);
  return id;
}

gboolean fk_store_model_renew(FkStoreModel *s, gint64 now, guint64 hold) {
  Hold *h = g_hash_table_lookup(s->holds, &hold);
  if (h)
    h->until = now + (gint64)(h->ttl_s * 1e6);
  return h != NULL;
}

typedef struct {
  guint64 hold;
  GPtrArray *paths; /* borrowed */
} Hanging;

static gboolean collect_hanging(gpointer path, gpointer value, gpointer data) {
  Hanging *hanging = data;
  if (((FkStoreItem *)value)->hold == hanging->hold)
    g_ptr_array_add(hanging->paths, path);
  return FALSE;
}

static void delete_hanging(FkStoreModel *s, guint64 hold) {
  g_autoptr(GPtrArray) paths = g_ptr_array_new();
  Hanging hanging = {hold, paths};
  g_tree_foreach(s->items, collect_hanging, &hanging);
  s->epoch++;
  for (guint i = 0; i < paths->len; i++) {
    g_autofree char *path = g_strdup(paths->pdata[i]);
    g_tree_remove(s->items, path);
    record_change(s, path, NULL);
  }
}

gboolean fk_store_model_end_hold(FkStoreModel *s, guint64 hold) {
  if (!g_hash_table_remove(s->holds, &hold))
    return FALSE;
  delete_hanging(s, hold);
  return TRUE;
}

void fk_store_model_expire(FkStoreModel *s, gint64 now) {
  GHashTableIter it;
  gpointer id, hold;
  g_hash_table_iter_init(&it, s->holds);
  while (g_hash_table_iter_next(&it, &id, &hold)) {
    if (((Hold *)hold)->until > now)
      continue;
    guint64 ended = *(guint64 *)id;
    g_hash_table_iter_remove(&it);
    delete_hanging(s, ended);
  }
}

void fk_store_model_extend_holds(FkStoreModel *s, gint64 from) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, s->holds);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Hold *h = p;
    h->until = from + (gint64)(h->ttl_s * 1e6);
  }
}

/* ------------------------------------------------------------------ budgets */

gboolean fk_store_budget_take(FkStoreBudget *b, gint64 now, double request_rate, double write_rate,
                              guint writes) {
  double s = (double)(now - b->filled) / 1e6;
  b->filled = now;
  b->requests = MIN(request_rate, b->requests + s * request_rate);
  b->writes = MIN(write_rate, b->writes + s * write_rate);
  if (b->requests < 1 || (writes && b->writes < writes))
    return FALSE;
  b->requests -= 1;
  b->writes -= writes;
  return TRUE;
}
