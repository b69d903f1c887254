/* The dependency graph of jobs, a directed acyclic graph. Submissions, ends and cancellations of jobs may be
 * applied in any order. The graph does no I/O and copies ids. Each operation takes time proportional to the
 * edges that it visits, and none is recursive.
 *
 * A job with dependencies becomes ready when all of them are done. If one of them is cancelled, the job and
 * all of its descendants are cancelled. Both states are final. A job that only occurs as a dependency of
 * other jobs stays in the graph as long as one of those is live. */
#pragma once
#include <glib.h>

typedef enum {
  FK_DEPENDENCY_UNKNOWN, /* not known to be live, and its terminal state is unknown: it must be looked up */
  FK_DEPENDENCY_LIVE,
  FK_DEPENDENCY_CANCELLED,
  FK_DEPENDENCY_DONE
} FkDependencyState;

typedef struct FkDependencyGraph FkDependencyGraph;

/* Called when a live job with dependencies becomes ready, or (`cancelled`) is cancelled because one of its
 * ancestors is cancelled. Called at most once per job for either change. The callback must not change the
 * graph. */
typedef void (*FkDependencyChangedFunc)(gpointer data, const char *id, gboolean cancelled);

FkDependencyGraph *fk_dependency_graph_new(FkDependencyChangedFunc changed, gpointer data);
void fk_dependency_graph_free(FkDependencyGraph *graph);
void fk_dependency_graph_clear(FkDependencyGraph *graph);
/* Adds a live job and its dependencies. Does nothing if the job has no dependencies (NULL or empty) or was
 * added before. */
void fk_dependency_graph_add(FkDependencyGraph *graph, const char *id, char *const *dependencies);
/* Sets the state of a job. Does nothing if the job is not in the graph or its state is terminal. UNKNOWN: the
 * job's live record was deleted, and its terminal state is not known yet. `at_ms`: when the job ended, wall
 * clock; 0 if unknown. */
void fk_dependency_graph_set_state(FkDependencyGraph *graph, const char *id, FkDependencyState state,
                                   gint64 at_ms);
/* Removes a job that is no longer live, and its dependencies. Does not change its state. */
void fk_dependency_graph_remove(FkDependencyGraph *graph, const char *id);

/* Returns how many of the job's dependencies are not known to be done. */
guint fk_dependency_graph_open_count(const FkDependencyGraph *graph, const char *id);
/* Returns when the last of the job's dependencies ended, wall clock in ms; 0 if no such time is known. */
gint64 fk_dependency_graph_ready_ms(const FkDependencyGraph *graph, const char *id);
/* Returns whether a live job depends on the job. */
gboolean fk_dependency_graph_has_dependents(const FkDependencyGraph *graph, const char *id);
/* Returns whether the states of all ancestors of the job are known, so that none has to be looked up. */
gboolean fk_dependency_graph_is_known(FkDependencyGraph *graph, const char *id);
/* Calls `fn` for each job whose state must be looked up, at most `count_max` of them. Returns the number of
 * calls. */
guint fk_dependency_graph_for_each_unknown(const FkDependencyGraph *graph,
                                           void (*fn)(gpointer data, const char *id), gpointer data,
                                           guint count_max);
/* Returns the number of jobs in the graph. */
guint fk_dependency_graph_size(const FkDependencyGraph *graph);

/* The priority and deadline that a job inherits from its descendants. */
typedef struct {
  int rank;      /* highest priority (lowest value) that descendants pass on; G_MAXINT if none does */
  gint64 due_us; /* latest end that lets the descendants meet their deadlines; G_MAXINT64 if none */
} FkInheritedPriority;
/* Stores a job's own priority, deadline (G_MAXINT64 if none) and expected run time in the output parameters.
 * Returns FALSE if they are unknown: nothing is inherited from such a job. */
typedef gboolean (*FkOwnPriorityFunc)(gpointer data, const char *id, int *rank, gint64 *due_us,
                                      gint64 *run_us);
/* Computes the priorities and deadlines that jobs inherit from their descendants, and calls `fn` for every
 * job that inherits a priority. Descendants come before their ancestors. */
void fk_dependency_graph_inherit_priorities(FkDependencyGraph *graph, FkOwnPriorityFunc own_priority,
                                            void (*fn)(gpointer data, const char *id,
                                                       FkInheritedPriority inherited),
                                            gpointer data);
