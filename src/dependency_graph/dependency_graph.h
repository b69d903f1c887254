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

/* Called when a live job with dependencies becomes ready, or (`cancelled`) is cancelled because an ancestor
 * is; each at most once per job. The callback must not change the graph. */
typedef void (*FkDependencyChangedFunc)(gpointer data, const char *id, gboolean cancelled);

FkDependencyGraph *fk_dependency_graph_new(FkDependencyChangedFunc changed, gpointer data);
void fk_dependency_graph_free(FkDependencyGraph *graph);
void fk_dependency_graph_clear(FkDependencyGraph *graph);
/* Adds a live job and its dependencies. Does nothing if the job has no dependencies (NULL or empty) or was
 * added before. */
void fk_dependency_graph_add(FkDependencyGraph *graph, const char *id, char *const *dependencies);
/* Sets the state of a job; does nothing if the job is not in the graph or its state is terminal. UNKNOWN: the
 * job's live record was deleted, and its terminal state is not known yet. `at_ms`: when it ended, wall clock;
 * 0 if unknown. */
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

/* What a job inherits from its descendants. */
typedef struct {
  int rank; /* highest priority, which is the lowest value; G_MAXINT if there are no descendants */
  gint64
      due_us; /* when the job must end so that they can meet their deadlines; G_MAXINT64 if they have none */
} FkInheritedPriority;
/* Sets a job's own priority, deadline (G_MAXINT64 if none) and expected run time. Returns FALSE if they are
 * unknown: nothing is inherited from such a job. */
typedef gboolean (*FkOwnPriorityFunc)(gpointer data, const char *id, int *rank, gint64 *due_us,
                                      gint64 *run_us);
/* Computes what each job inherits from its descendants, and calls `fn` for every job that inherits something.
 * Descendants come before their ancestors. */
void fk_dependency_graph_inherit_priorities(FkDependencyGraph *graph, FkOwnPriorityFunc own_priority,
                                            void (*fn)(gpointer data, const char *id,
                                                       FkInheritedPriority inherited),
                                            gpointer data);
