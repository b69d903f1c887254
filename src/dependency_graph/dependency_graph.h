/* The dependency graph of jobs, a directed acyclic graph. Submissions, ends and cancellations of jobs may be
 * applied in any order. The graph does no I/O and copies ids. Each operation takes time proportional to the
 * number of edges that it visits. No operation is recursive.
 *
 * A job with dependencies becomes ready when all of the dependencies are done. If a dependency is cancelled,
 * the job and all of the job's descendants are cancelled. Neither change is reverted. A job that is not live
 * stays in the graph as long as a live job depends on it. */
#pragma once
#include <glib.h>

typedef enum {
  FK_DEPENDENCY_UNKNOWN, /* neither known to be live nor known to be terminal; the state must be looked up */
  FK_DEPENDENCY_LIVE,
  FK_DEPENDENCY_CANCELLED,
  FK_DEPENDENCY_DONE
} FkDependencyState;

typedef struct FkDependencyGraph FkDependencyGraph;

/* Called when a live job with dependencies becomes ready (`cancelled` is FALSE), or is cancelled because one
 * of its ancestors is cancelled (`cancelled` is TRUE). Each change is reported at most once per added job.
 * The callback must not change the graph. */
typedef void (*FkDependencyChangedFunc)(gpointer data, const char *id, gboolean cancelled);

FkDependencyGraph *fk_dependency_graph_new(FkDependencyChangedFunc changed, gpointer data);
void fk_dependency_graph_free(FkDependencyGraph *graph);
void fk_dependency_graph_clear(FkDependencyGraph *graph);
/* Adds a live job and its dependencies. Does nothing if `dependencies` is NULL or empty, or if the job was
 * added before and not removed. */
void fk_dependency_graph_add(FkDependencyGraph *graph, const char *id, char *const *dependencies);
/* Sets the state of a job. Does nothing if the job is not in the graph or its state is terminal. UNKNOWN: the
 * job's live record was deleted, and its terminal state is not known yet. `at_ms`: when the job ended, wall
 * clock; 0 if unknown. */
void fk_dependency_graph_set_state(FkDependencyGraph *graph, const char *id, FkDependencyState state,
                                   gint64 at_ms);
/* Removes the dependencies of a job that is no longer live. The job keeps its state, and stays in the graph
 * as long as a live job depends on it. */
void fk_dependency_graph_remove(FkDependencyGraph *graph, const char *id);

/* Returns how many of the job's dependencies are not known to be done; 0 if the job is not live. */
guint fk_dependency_graph_unfinished_count(const FkDependencyGraph *graph, const char *id);
/* Returns the latest known end of the job's dependencies, wall clock in ms; 0 if no end is known. */
gint64 fk_dependency_graph_ready_ms(const FkDependencyGraph *graph, const char *id);
/* Returns whether a live job depends on the job. */
gboolean fk_dependency_graph_has_dependents(const FkDependencyGraph *graph, const char *id);
/* Returns whether the state of the job is certain: no ancestor that may still affect the job has an unknown
 * state. TRUE if the job is not in the graph. */
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
  int rank;      /* highest priority (lowest value) of the descendants; G_MAXINT if nothing is inherited */
  gint64 due_us; /* latest end, in us, that lets the descendants meet their deadlines; G_MAXINT64 if none */
} FkInheritedPriority;
/* Stores a job's own priority, deadline (G_MAXINT64 if none) and expected run time in the output parameters.
 * Returns FALSE if these values are unknown; dependencies then inherit nothing from the job. */
typedef gboolean (*FkOwnPriorityFunc)(gpointer data, const char *id, int *rank, gint64 *due_us,
                                      gint64 *run_us);
/* Computes the priorities and deadlines that jobs inherit from their descendants, and calls `fn` for every
 * job that inherits a priority and is not terminal. `fn` is called for a job's descendants before the job. */
void fk_dependency_graph_inherit_priorities(FkDependencyGraph *graph, FkOwnPriorityFunc own_priority,
                                            void (*fn)(gpointer data, const char *id,
                                                       FkInheritedPriority inherited),
                                            gpointer data);
