#include "dependency_graph/dependency_graph.h"

#include <string.h>

typedef struct {
  char *id;
  FkDependencyState state;
  gboolean live;         /* added, and not removed */
  GPtrArray *needs;      /* Node; while it is live */
  GHashTable *needed_by; /* Node set: live ones */
  guint open;
  gint64 ended_ms;
  guint64 round; /* of the walk that has seen it last */
  guint waits;   /* dependents whose pull isn't known yet, in a walk */
  FkInheritedPriority pull;
} Node;

struct FkDependencyGraph {
  GHashTable *nodes;   /* id -> Node */
  GHashTable *unknown; /* Node set: those that somebody needs and of whom nothing is known */
  FkDependencyChangedFunc changed;
  gpointer data;
  guint64 round;
};

/* By its id and not by its address, so that tables of nodes have the same order in every run. */
static guint node_hash(gconstpointer p) { return g_str_hash(((const Node *)p)->id); }

static void node_free(gpointer p) {
  Node *n = p;
  g_free(n->id);
  g_ptr_array_unref(n->needs);
  g_hash_table_unref(n->needed_by);
  g_free(n);
}

FkDependencyGraph *fk_dependency_graph_new(FkDependencyChangedFunc changed, gpointer data) {
  FkDependencyGraph *g = g_new0(FkDependencyGraph, 1);
  g->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
  g->unknown = g_hash_table_new(node_hash, g_direct_equal);
  g->changed = changed;
  g->data = data;
  return g;
}

void fk_dependency_graph_free(FkDependencyGraph *g) {
  if (!g)
    return;
  g_hash_table_unref(g->unknown);
  g_hash_table_unref(g->nodes);
  g_free(g);
}

void fk_dependency_graph_clear(FkDependencyGraph *g) {
  g_hash_table_remove_all(g->unknown);
  g_hash_table_remove_all(g->nodes);
}

static Node *find(const FkDependencyGraph *g, const char *id) { return g_hash_table_lookup(g->nodes, id); }

static Node *ensure(FkDependencyGraph *g, const char *id) {
  Node *n = find(g, id);
  if (!n) {
    n = g_new0(Node, 1);
    n->id = g_strdup(id);
    n->needs = g_ptr_array_new();
    n->needed_by = g_hash_table_new(node_hash, g_direct_equal);
    g_hash_table_insert(g->nodes, n->id, n);
  }
  return n;
}

/* Nobody needs it, and it waits for nobody: what is known of it is known elsewhere. */
static void drop_if_idle(FkDependencyGraph *g, Node *n) {
  if (n->live || g_hash_table_size(n->needed_by))
    return;
  g_hash_table_remove(g->unknown, n);
  g_hash_table_remove(g->nodes, n->id);
}

/* It is cancelled, and with it all that need it. */
static void cancel_descendants(FkDependencyGraph *g, Node *first) {
  g_autoptr(GPtrArray) todo = g_ptr_array_new();
  g_ptr_array_add(todo, first);
  while (todo->len) {
    Node *n = g_ptr_array_steal_index_fast(todo, todo->len - 1);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, n->needed_by);
    while (g_hash_table_iter_next(&it, &p, NULL)) {
      Node *d = p;
      if (d->state >= FK_DEPENDENCY_CANCELLED)
        continue;
      d->state = FK_DEPENDENCY_CANCELLED;
      g_ptr_array_add(todo, d);
      g->changed(g->data, d->id, TRUE);
    }
  }
}

static void mark_done(FkDependencyGraph *g, Node *n) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, n->needed_by);
  while (g_hash_table_iter_next(&it, &p, NULL)) {
    Node *d = p;
    if (!--d->open && d->state < FK_DEPENDENCY_CANCELLED)
      g->changed(g->data, d->id, FALSE);
  }
}

void fk_dependency_graph_set_state(FkDependencyGraph *g, const char *id, FkDependencyState state,
                                   gint64 at_ms) {
  Node *n = find(g, id);
  if (!n || n->state >= FK_DEPENDENCY_CANCELLED)
    return;
  n->state = state;
  n->ended_ms = at_ms;
  if (state == FK_DEPENDENCY_UNKNOWN && g_hash_table_size(n->needed_by))
    g_hash_table_add(g->unknown, n);
  else
    g_hash_table_remove(g->unknown, n);
  if (state == FK_DEPENDENCY_CANCELLED)
    cancel_descendants(g, n);
  else if (state == FK_DEPENDENCY_DONE)
    mark_done(g, n);
}

void fk_dependency_graph_add(FkDependencyGraph *g, const char *id, char *const *dependencies) {
  Node *known = find(g, id);
  if (!dependencies || !*dependencies || (known && known->live))
    return;
  Node *n = ensure(g, id);
  gboolean cancelled = FALSE;
  n->live = TRUE;
  n->open = 0;
  if (n->state == FK_DEPENDENCY_UNKNOWN)
    fk_dependency_graph_set_state(g, id, FK_DEPENDENCY_LIVE, 0);
  for (; *dependencies; dependencies++) {
    Node *d = ensure(g, *dependencies);
    if (d == n || !g_hash_table_add(d->needed_by, n))
      continue;
    g_ptr_array_add(n->needs, d);
    n->open += d->state != FK_DEPENDENCY_DONE;
    cancelled |= d->state == FK_DEPENDENCY_CANCELLED;
    if (d->state == FK_DEPENDENCY_UNKNOWN)
      g_hash_table_add(g->unknown, d);
  }
  if (cancelled && n->state < FK_DEPENDENCY_CANCELLED) {
    n->state = FK_DEPENDENCY_CANCELLED;
    g->changed(g->data, n->id, TRUE);
    cancel_descendants(g, n);
  } else if (!n->open && n->state < FK_DEPENDENCY_CANCELLED) {
    g->changed(g->data, n->id, FALSE);
  }
}

void fk_dependency_graph_remove(FkDependencyGraph *g, const char *id) {
  Node *n = find(g, id);
  if (!n || !n->live)
    return;
  n->live = FALSE;
  for (guint i = 0; i < n->needs->len; i++) {
    Node *d = n->needs->pdata[i];
    g_hash_table_remove(d->needed_by, n);
    drop_if_idle(g, d);
  }
  g_ptr_array_set_size(n->needs, 0);
  drop_if_idle(g, n);
}

guint fk_dependency_graph_open_count(const FkDependencyGraph *g, const char *id) {
  const Node *n = find(g, id);
  return n && n->live ? n->open : 0;
}

gint64 fk_dependency_graph_ready_ms(const FkDependencyGraph *g, const char *id) {
  const Node *n = find(g, id);
  gint64 latest = 0;
  for (guint i = 0; n && i < n->needs->len; i++)
    latest = MAX(latest, ((Node *)n->needs->pdata[i])->ended_ms);
  return latest;
}

gboolean fk_dependency_graph_has_dependents(const FkDependencyGraph *g, const char *id) {
  const Node *n = find(g, id);
  return n && g_hash_table_size(n->needed_by);
}

gboolean fk_dependency_graph_is_known(FkDependencyGraph *g, const char *id) {
  Node *first = find(g, id);
  if (!first || !g_hash_table_size(g->unknown))
    return TRUE;
  g_autoptr(GPtrArray) todo = g_ptr_array_new();
  g_ptr_array_add(todo, first);
  first->round = ++g->round;
  while (todo->len) {
    Node *n = g_ptr_array_steal_index_fast(todo, todo->len - 1);
    for (guint i = 0; i < n->needs->len; i++) {
      Node *d = n->needs->pdata[i];
      if (d->state == FK_DEPENDENCY_UNKNOWN)
        return FALSE;
      if (d->round == g->round || d->state == FK_DEPENDENCY_DONE)
        continue;
      d->round = g->round;
      g_ptr_array_add(todo, d);
    }
  }
  return TRUE;
}

guint fk_dependency_graph_for_each_unknown(const FkDependencyGraph *g,
                                           void (*fn)(gpointer data, const char *id), gpointer data,
                                           guint most) {
  guint n = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, g->unknown);
  while (n < most && g_hash_table_iter_next(&it, &p, NULL)) {
    fn(data, ((Node *)p)->id);
    n++;
  }
  return n;
}

guint fk_dependency_graph_size(const FkDependencyGraph *g) { return g_hash_table_size(g->nodes); }

static void propagate_priority(Node *n, FkInheritedPriority own, gint64 run_us, FkInheritedPriority *to) {
  FkInheritedPriority all = {MIN(own.rank, n->pull.rank), MIN(own.due_us, n->pull.due_us)};
  to->rank = MIN(to->rank, all.rank);
  if (all.due_us != G_MAXINT64)
    to->due_us = MIN(to->due_us, all.due_us - run_us);
}

void fk_dependency_graph_inherit_priorities(FkDependencyGraph *g, FkOwnPriorityFunc own,
                                            void (*fn)(gpointer data, const char *id,
                                                       FkInheritedPriority pull),
                                            gpointer data) {
  g_autoptr(GPtrArray) ready = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, g->nodes);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Node *n = p;
    n->waits = g_hash_table_size(n->needed_by);
    n->pull = (FkInheritedPriority){G_MAXINT, G_MAXINT64};
    if (!n->waits)
      g_ptr_array_add(ready, n);
  }
  while (ready->len) {
    Node *n = g_ptr_array_steal_index_fast(ready, ready->len - 1);
    FkInheritedPriority mine = {G_MAXINT, G_MAXINT64};
    gint64 run_us = 0;
    gboolean counts =
        n->state < FK_DEPENDENCY_CANCELLED && own(data, n->id, &mine.rank, &mine.due_us, &run_us);
    if (n->pull.rank != G_MAXINT && n->state < FK_DEPENDENCY_CANCELLED)
      fn(data, n->id, n->pull);
    for (guint i = 0; i < n->needs->len; i++) {
      Node *d = n->needs->pdata[i];
      if (counts)
        propagate_priority(n, mine, run_us, &d->pull);
      if (!--d->waits)
        g_ptr_array_add(ready, d);
    }
  }
}
