#include "simulation/store_model.h"

#include <string.h>

typedef struct {
  gint64 until;
  double ttl_s;
} Lease;

struct FkStoreModel {
  GTree *items;               /* path -> FkStoreItem, which owns the path */
  GHashTable *leases;         /* id -> Hold */
  GQueue history;             /* FkStoreChange, the latest last */
  guint history_max;          /* 0: any number */
  guint64 compacted_revision; /* revision of the latest change that left the history */
  guint64 revision, last_lease;
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

static int compare_paths(gconstpointer a, gconstpointer b, gpointer unused) { return strcmp(a, b); }

FkStoreModel *fk_store_model_new(guint history_most) {
  FkStoreModel *s = g_new0(FkStoreModel, 1);
  s->items = g_tree_new_full(compare_paths, NULL, NULL, item_free);
  s->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  s->history_max = history_most;
  g_queue_init(&s->history);
  return s;
}

void fk_store_model_free(FkStoreModel *s) {
  if (!s)
    return;
  g_tree_unref(s->items);
  g_hash_table_unref(s->leases);
  g_queue_clear_full(&s->history, change_free);
  g_free(s);
}

guint64 fk_store_model_revision(const FkStoreModel *s) { return s->revision; }

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
  if (after < s->compacted_revision)
    return NULL;
  const GList *first = s->history.tail;
  while (first && ((FkStoreChange *)first->data)->revision > after)
    first = first->prev;
  GPtrArray *changes = g_ptr_array_new();
  for (const GList *l = first ? first->next : s->history.head; l; l = l->next)
    if (g_str_has_prefix(((FkStoreChange *)l->data)->path, prefix))
      g_ptr_array_add(changes, l->data);
  return changes;
}

static void record_change(FkStoreModel *s, const char *path, const char *value) {
  FkStoreChange *c = g_new0(FkStoreChange, 1);
  *c = (FkStoreChange){g_strdup(path), g_strdup(value), s->revision};
  g_queue_push_tail(&s->history, c);
  while (s->history_max && s->history.length > s->history_max) {
    FkStoreChange *oldest = g_queue_pop_head(&s->history);
    s->compacted_revision = oldest->revision;
    change_free(oldest);
  }
}

static void put(FkStoreModel *s, const FkStoreWrite *w) {
  FkStoreItem *item = g_new0(FkStoreItem, 1);
  *item = (FkStoreItem){g_strdup(w->path), g_strdup(w->value), s->revision, w->lease};
  g_tree_replace(s->items, item->path, item);
  record_change(s, w->path, w->value);
}

FkStoreOutcome fk_store_model_commit(FkStoreModel *s, const GArray *guards, const GArray *writes,
                                     GPtrArray *failed) {
  for (guint i = 0; i < guards->len; i++) {
    const FkStoreGuard *g = &g_array_index(guards, FkStoreGuard, i);
    const FkStoreItem *item = fk_store_model_get(s, g->path);
    if ((item ? item->revision : 0) != g->revision)
      g_ptr_array_add(failed, g_strdup(g->path));
  }
  for (guint i = 0; i < writes->len; i++) {
    const FkStoreWrite *w = &g_array_index(writes, FkStoreWrite, i);
    if (w->value && w->lease && !g_hash_table_contains(s->leases, &w->lease))
      return FK_STORE_LEASE_NOT_FOUND;
  }
  if (failed->len)
    return FK_STORE_CONFLICT;
  if (writes->len)
    s->revision++;
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

guint64 fk_store_model_grant_lease(FkStoreModel *s, gint64 now, double ttl_s) {
  Lease *h = g_new0(Lease, 1);
  *h = (Lease){now + (gint64)(ttl_s * 1e6), ttl_s};
  guint64 id = ++s->last_lease;
  g_hash_table_insert(s->leases, g_memdup2(&id, sizeof id), h);
  return id;
}

gboolean fk_store_model_keep_alive(FkStoreModel *s, gint64 now, guint64 lease) {
  Lease *h = g_hash_table_lookup(s->leases, &lease);
  if (h)
    h->until = now + (gint64)(h->ttl_s * 1e6);
  return h != NULL;
}

typedef struct {
  guint64 lease;
  GPtrArray *paths; /* borrowed */
} AttachedKeys;

static gboolean collect_attached(gpointer path, gpointer value, gpointer data) {
  AttachedKeys *attached = data;
  if (((FkStoreItem *)value)->lease == attached->lease)
    g_ptr_array_add(attached->paths, path);
  return FALSE;
}

static void delete_attached(FkStoreModel *s, guint64 lease) {
  g_autoptr(GPtrArray) paths = g_ptr_array_new();
  AttachedKeys attached = {lease, paths};
  g_tree_foreach(s->items, collect_attached, &attached);
  s->revision++;
  for (guint i = 0; i < paths->len; i++) {
    g_autofree char *path = g_strdup(paths->pdata[i]);
    g_tree_remove(s->items, path);
    record_change(s, path, NULL);
  }
}

gboolean fk_store_model_revoke_lease(FkStoreModel *s, guint64 lease) {
  if (!g_hash_table_remove(s->leases, &lease))
    return FALSE;
  delete_attached(s, lease);
  return TRUE;
}

void fk_store_model_expire_leases(FkStoreModel *s, gint64 now) {
  GHashTableIter it;
  gpointer id, lease;
  g_hash_table_iter_init(&it, s->leases);
  while (g_hash_table_iter_next(&it, &id, &lease)) {
    if (((Lease *)lease)->until > now)
      continue;
    guint64 ended = *(guint64 *)id;
    g_hash_table_iter_remove(&it);
    delete_attached(s, ended);
  }
}

void fk_store_model_extend_leases(FkStoreModel *s, gint64 from) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, s->leases);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Lease *h = p;
    h->until = from + (gint64)(h->ttl_s * 1e6);
  }
}

/* ------------------------------------------------------------------ budgets */

gboolean fk_store_rate_limit_take(FkStoreRateLimit *b, gint64 now, double request_rate, double write_rate,
                                  guint writes) {
  double s = (double)(now - b->refilled_at) / 1e6;
  b->refilled_at = now;
  b->requests = MIN(request_rate, b->requests + s * request_rate);
  b->writes = MIN(write_rate, b->writes + s * write_rate);
  if (b->requests < 1 || (writes && b->writes < writes))
    return FALSE;
  b->requests -= 1;
  b->writes -= writes;
  return TRUE;
}
