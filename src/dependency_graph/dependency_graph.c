#include "dependency_graph/dependency_graph.h"

typedef struct {
  char *id;
  FkDependencyState state;
  gboolean live;           /* added, and not removed */
  GPtrArray *dependencies; /* Node; empty unless the job is live */
  GHashTable *dependents;  /* Node set: live jobs that name it */
  guint open;              /* dependencies that aren't known to be done */
  gint64 ended_ms;
  guint64 visited_by; /* the number of the latest walk that has seen it */
  guint dependents_left;
  FkInheritedPriority inherited; /* both while priorities are passed on */
} Node;

struct FkDependencyGraph {
  GHashTable *nodes;   /* id -> Node */
  GHashTable *unknown; /* Node set: those in state UNKNOWN that a live job names */
  FkDependencyChangedFunc changed;
  gpointer data;
  guint64 walk; /* number of the latest walk */
};

/* By id, not by address, so that tables of nodes have the same order in every run. */
static guint node_hash(gconstpointer node) { return g_str_hash(((const Node *)node)->id); }

static void node_free(gpointer value) {
  Node *node = value;
  g_free(node->id);
  g_ptr_array_unref(node->dependencies);
  g_hash_table_unref(node->dependents);
  g_free(node);
}

FkDependencyGraph *fk_dependency_graph_new(FkDependencyChangedFunc changed, gpointer data) {
  FkDependencyGraph *graph = g_new0(FkDependencyGraph, 1);
  graph->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
  graph->unknown = g_hash_table_new(node_hash, g_direct_equal);
  graph->changed = changed;
  graph->data = data;
  return graph;
}

void fk_dependency_graph_free(FkDependencyGraph *graph) {
  if (!graph)
    return;
  g_hash_table_unref(graph->unknown);
  g_hash_table_unref(graph->nodes);
  g_free(graph);
}

void fk_dependency_graph_clear(FkDependencyGraph *graph) {
  g_hash_table_remove_all(graph->unknown);
  g_hash_table_remove_all(graph->nodes);
}

static Node *find_node(const FkDependencyGraph *graph, const char *id) {
  return g_hash_table_lookup(graph->nodes, id);
}

static Node *ensure_node(FkDependencyGraph *graph, const char *id) {
  Node *node = find_node(graph, id);
  if (!node) {
    node = g_new0(Node, 1);
    node->id = g_strdup(id);
    node->dependencies = g_ptr_array_new();
    node->dependents = g_hash_table_new(node_hash, g_direct_equal);
    g_hash_table_insert(graph->nodes, node->id, node);
  }
  return node;
}

/* Drops a node without edges. */
static void drop_if_unused(FkDependencyGraph *graph, Node *node) {
  if (node->live || g_hash_table_size(node->dependents))
    return;
  g_hash_table_remove(graph->unknown, node);
  g_hash_table_remove(graph->nodes, node->id);
}

/* ------------------------------------------------------------------ changes */

static gboolean is_terminal(const Node *node) { return node->state >= FK_DEPENDENCY_CANCELLED; }

static void cancel_descendants(FkDependencyGraph *graph, Node *first) {
  g_autoptr(GPtrArray) todo = g_ptr_array_new();
  g_ptr_array_add(todo, first);
  while (todo->len) {
    Node *node = g_ptr_array_steal_index_fast(todo, todo->len - 1);
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, node->dependents);
    while (g_hash_table_iter_next(&it, &value, NULL)) {
      Node *dependent = value;
      if (is_terminal(dependent))
        continue;
      dependent->state = FK_DEPENDENCY_CANCELLED;
      g_ptr_array_add(todo, dependent);
      graph->changed(graph->data, dependent->id, TRUE);
    }
  }
}

/* The node is done: its dependents have one open dependency less. */
static void release_dependents(FkDependencyGraph *graph, Node *node) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, node->dependents);
  while (g_hash_table_iter_next(&it, &value, NULL)) {
    Node *dependent = value;
    if (!--dependent->open && !is_terminal(dependent))
      graph->changed(graph->data, dependent->id, FALSE);
  }
}

void fk_dependency_graph_set_state(FkDependencyGraph *graph, const char *id, FkDependencyState state,
                                   gint64 at_ms) {
  Node *node = find_node(graph, id);
  if (!node || is_terminal(node))
    return;
  node->state = state;
  node->ended_ms = at_ms;
  if (state == FK_DEPENDENCY_UNKNOWN && g_hash_table_size(node->dependents))
    g_hash_table_add(graph->unknown, node);
  else
    g_hash_table_remove(graph->unknown, node);
  if (state == FK_DEPENDENCY_CANCELLED)
    cancel_descendants(graph, node);
  else if (state == FK_DEPENDENCY_DONE)
    release_dependents(graph, node);
}

/* Adds the edge, unless it is there or leads to the node itself. */
static void add_dependency(FkDependencyGraph *graph, Node *node, const char *id) {
  Node *dependency = ensure_node(graph, id);
  if (dependency == node || !g_hash_table_add(dependency->dependents, node))
    return;
  g_ptr_array_add(node->dependencies, dependency);
  node->open += dependency->state != FK_DEPENDENCY_DONE;
  if (dependency->state == FK_DEPENDENCY_UNKNOWN)
    g_hash_table_add(graph->unknown, dependency);
}

static gboolean has_cancelled_dependency(const Node *node) {
  for (guint i = 0; i < node->dependencies->len; i++)
    if (((Node *)node->dependencies->pdata[i])->state == FK_DEPENDENCY_CANCELLED)
      return TRUE;
  return FALSE;
}

void fk_dependency_graph_add(FkDependencyGraph *graph, const char *id, char *const *dependencies) {
  const Node *known = find_node(graph, id);
  if (!dependencies || !*dependencies || (known && known->live))
    return;
  Node *node = ensure_node(graph, id);
  node->live = TRUE;
  node->open = 0;
  if (node->state == FK_DEPENDENCY_UNKNOWN)
    fk_dependency_graph_set_state(graph, id, FK_DEPENDENCY_LIVE, 0);
  for (; *dependencies; dependencies++)
    add_dependency(graph, node, *dependencies);
  if (is_terminal(node))
    return;
  if (has_cancelled_dependency(node)) {
    node->state = FK_DEPENDENCY_CANCELLED;
    graph->changed(graph->data, node->id, TRUE);
    cancel_descendants(graph, node);
  } else if (!node->open) {
    graph->changed(graph->data, node->id, FALSE);
  }
}

void fk_dependency_graph_remove(FkDependencyGraph *graph, const char *id) {
  Node *node = find_node(graph, id);
  if (!node || !node->live)
    return;
  node->live = FALSE;
  for (guint i = 0; i < node->dependencies->len; i++) {
    Node *dependency = node->dependencies->pdata[i];
    g_hash_table_remove(dependency->dependents, node);
    drop_if_unused(graph, dependency);
  }
  g_ptr_array_set_size(node->dependencies, 0);
  drop_if_unused(graph, node);
}

/* ------------------------------------------------------------------ queries */

guint fk_dependency_graph_unfinished_count(const FkDependencyGraph *graph, const char *id) {
  const Node *node = find_node(graph, id);
  return node && node->live ? node->open : 0;
}

gint64 fk_dependency_graph_ready_ms(const FkDependencyGraph *graph, const char *id) {
  const Node *node = find_node(graph, id);
  gint64 latest_ms = 0;
  for (guint i = 0; node && i < node->dependencies->len; i++)
    latest_ms = MAX(latest_ms, ((Node *)node->dependencies->pdata[i])->ended_ms);
  return latest_ms;
}

gboolean fk_dependency_graph_has_dependents(const FkDependencyGraph *graph, const char *id) {
  const Node *node = find_node(graph, id);
  return node && g_hash_table_size(node->dependents);
}

gboolean fk_dependency_graph_is_known(FkDependencyGraph *graph, const char *id) {
  Node *first = find_node(graph, id);
  if (!first || !g_hash_table_size(graph->unknown))
    return TRUE;
  g_autoptr(GPtrArray) todo = g_ptr_array_new();
  g_ptr_array_add(todo, first);
  first->visited_by = ++graph->walk;
  while (todo->len) {
    const Node *node = g_ptr_array_steal_index_fast(todo, todo->len - 1);
    for (guint i = 0; i < node->dependencies->len; i++) {
      Node *dependency = node->dependencies->pdata[i];
      if (dependency->state == FK_DEPENDENCY_UNKNOWN)
        return FALSE;
      if (dependency->visited_by == graph->walk || dependency->state == FK_DEPENDENCY_DONE)
        continue;
      dependency->visited_by = graph->walk;
      g_ptr_array_add(todo, dependency);
    }
  }
  return TRUE;
}

guint fk_dependency_graph_for_each_unknown(const FkDependencyGraph *graph,
                                           void (*fn)(gpointer data, const char *id), gpointer data,
                                           guint count_max) {
  guint count = 0;
  GHashTableIter it;
  gpointer node;
  g_hash_table_iter_init(&it, graph->unknown);
  while (count < count_max && g_hash_table_iter_next(&it, &node, NULL)) {
    fn(data, ((Node *)node)->id);
    count++;
  }
  return count;
}

guint fk_dependency_graph_size(const FkDependencyGraph *graph) { return g_hash_table_size(graph->nodes); }

/* ------------------------------------------------------------------ inherited priorities */

/* Passes on what the node has itself and inherits: its dependency must end before the node has to start. */
static void pass_on_priority(const Node *node, FkInheritedPriority own, gint64 run_us, Node *dependency) {
  FkInheritedPriority *to = &dependency->inherited;
  gint64 due_us = MIN(own.due_us, node->inherited.due_us);
  to->rank = MIN(to->rank, MIN(own.rank, node->inherited.rank));
  if (due_us != G_MAXINT64)
    to->due_us = MIN(to->due_us, due_us - run_us);
}

/* Resets what all nodes inherit. Returns those without dependents (Node), which a topological walk begins
 * with. */
static GPtrArray *begin_inheritance(FkDependencyGraph *graph) {
  GPtrArray *ready = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, graph->nodes);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    Node *node = value;
    node->dependents_left = g_hash_table_size(node->dependents);
    node->inherited = (FkInheritedPriority){G_MAXINT, G_MAXINT64};
    if (!node->dependents_left)
      g_ptr_array_add(ready, node);
  }
  return ready;
}

void fk_dependency_graph_inherit_priorities(FkDependencyGraph *graph, FkOwnPriorityFunc own_priority,
                                            void (*fn)(gpointer data, const char *id,
                                                       FkInheritedPriority inherited),
                                            gpointer data) {
  g_autoptr(GPtrArray) ready = begin_inheritance(graph);
  while (ready->len) {
    const Node *node = g_ptr_array_steal_index_fast(ready, ready->len - 1);
    FkInheritedPriority own = {G_MAXINT, G_MAXINT64};
    gint64 run_us = 0;
    gboolean counts = !is_terminal(node) && own_priority(data, node->id, &own.rank, &own.due_us, &run_us);
    if (node->inherited.rank != G_MAXINT && !is_terminal(node))
      fn(data, node->id, node->inherited);
    for (guint i = 0; i < node->dependencies->len; i++) {
      Node *dependency = node->dependencies->pdata[i];
      if (counts)
        pass_on_priority(node, own, run_us, dependency);
      if (!--dependency->dependents_left)
        g_ptr_array_add(ready, dependency);
    }
  }
}
