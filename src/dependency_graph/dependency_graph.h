/* The dependency graph of jobs (a DAG). It is told of jobs that are submitted, end and are cancelled, in any
 * order. Pure; ids are copied, all work is proportional to the edges touched, and nothing recurses.
 *
 * A job with dependencies is ready once each of them is done. If one is cancelled, so are all of its
 * descendants. Both are final. A job that is only named as a dependency is in the graph for as long as a job
 * that names it is live. */
#pragma once
#include <glib.h>

typedef enum {
  FK_DEPENDENCY_UNKNOWN, /* not live as far as is known, and how it ended isn't known: to be looked up */
  FK_DEPENDENCY_LIVE,
  FK_DEPENDENCY_CANCELLED,
  FK_DEPENDENCY_DONE
} FkDependencyState;

typedef struct FkDependencyGraph FkDependencyGraph;

/* A live job with dependencies has become ready, or is cancelled because an ancestor is. Each happens to a
 * job once at most. The graph must not be changed from the call. */
typedef void (*FkDependencyChangedFunc)(gpointer data, const char *id, gboolean cancelled);

FkDependencyGraph *fk_dependency_graph_new(FkDependencyChangedFunc changed, gpointer data);
void fk_dependency_graph_free(FkDependencyGraph *graph);
void fk_dependency_graph_clear(FkDependencyGraph *graph);
/* Adds a live job and its dependencies (NULL or empty: none). Does nothing if it was added before. */
void fk_dependency_graph_add(FkDependencyGraph *graph, const char *id, char *const *dependencies);
/* Sets what is known of a job, whether or not another names it. UNKNOWN: its record is gone, and how it ended
 * isn't known yet. A terminal state doesn't change any more. `at_ms`: when it ended, wall clock; 0: not
 * known. */
void fk_dependency_graph_set_state(FkDependencyGraph *graph, const char *id, FkDependencyState state,
                                   gint64 at_ms);
/* A live job is gone and has no dependencies any more. Its state is set separately. */
void fk_dependency_graph_remove(FkDependencyGraph *graph, const char *id);

/* How many of the job's dependencies aren't known to be done. */
guint fk_dependency_graph_unfinished_count(const FkDependencyGraph *graph, const char *id);
/* When the last of its dependencies ended, wall clock in ms; 0: not known of any. */
gint64 fk_dependency_graph_ready_ms(const FkDependencyGraph *graph, const char *id);
/* A live job names it as a dependency. */
gboolean fk_dependency_graph_has_dependents(const FkDependencyGraph *graph, const char *id);
/* The states of all its ancestors are known: none has to be looked up. */
gboolean fk_dependency_graph_is_known(FkDependencyGraph *graph, const char *id);
/* Calls `fn` with each job whose state is to be looked up, up to `count_max` of them. Returns how many. */
guint fk_dependency_graph_for_each_unknown(const FkDependencyGraph *graph,
                                           void (*fn)(gpointer data, const char *id), gpointer data,
                                           guint count_max);
/* Jobs in the graph. */
guint fk_dependency_graph_size(const FkDependencyGraph *graph);

/* What a job inherits from its descendants. */
typedef struct {
  int rank;      /* priority: lower goes first; G_MAXINT: it has no descendants */
  gint64 due_us; /* when it must end so that all of them can meet their deadlines; G_MAXINT64: at any time */
} FkInheritedPriority;
/* A job's own priority, deadline (G_MAXINT64: none) and expected run time. FALSE: they aren't known. */
typedef gboolean (*FkOwnPriorityFunc)(gpointer data, const char *id, int *rank, gint64 *due_us,
                                      gint64 *run_us);
/* Calls `fn` with what each job inherits that a live job depends on; descendants come before their
 * ancestors. */
void fk_dependency_graph_inherit_priorities(FkDependencyGraph *graph, FkOwnPriorityFunc own,
                                            void (*fn)(gpointer data, const char *id,
                                                       FkInheritedPriority inherited),
                                            gpointer data);
