/* Who waits for whom: a graph of jobs, told of what has come, ended and been cancelled in any order. Pure;
 * ids are copied, all work is proportional to the edges touched, and nothing recurses.
 *
 * A job with dependencies is ready once each of them has ended as done. One that is cancelled decides for all
 * of its descendants. Both are for good. A job that only others name is in the graph for as long as one of
 * them lives. */
#pragma once
#include <glib.h>

typedef enum {
  FK_DEPENDENCY_UNKNOWN, /* it isn't live as far as we know, and its end hasn't been seen: to be asked for */
  FK_DEPENDENCY_LIVE,
  FK_DEPENDENCY_CANCELLED,
  FK_DEPENDENCY_DONE
} FkDependencyState;

typedef struct FkDependencyGraph FkDependencyGraph;

/* A job has become ready, or is cancelled because an ancestor is: it is live, and named some. At most one
 * call of each a job. The graph must not be changed from it. */
typedef void (*FkDependencyChangedFunc)(gpointer data, const char *id, gboolean cancelled);

FkDependencyGraph *fk_dependency_graph_new(FkDependencyChangedFunc changed, gpointer data);
void fk_dependency_graph_free(FkDependencyGraph *g);
void fk_dependency_graph_clear(FkDependencyGraph *g);
/* A live job, and those it waits for (NULL or empty: none). Again: nothing happens. */
void fk_dependency_graph_add(FkDependencyGraph *g, const char *id, char *const *dependencies);
/* What is known of a job, whether or not somebody names it; UNKNOWN: its record has gone, its end isn't known
 * yet. A final state stays. `at_ms`: when it ended, time of day; 0: not known. */
void fk_dependency_graph_set_state(FkDependencyGraph *g, const char *id, FkDependencyState state,
                                   gint64 at_ms);
/* A live job has gone: it waits for nobody any more. What became of it is noted apart. */
void fk_dependency_graph_remove(FkDependencyGraph *g, const char *id);

/* Dependencies of it that aren't known to be done. */
guint fk_dependency_graph_open_count(const FkDependencyGraph *g, const char *id);
/* The latest end among those that are done, in ms; 0: none is known. */
gint64 fk_dependency_graph_ready_ms(const FkDependencyGraph *g, const char *id);
/* A live job names it. */
gboolean fk_dependency_graph_has_dependents(const FkDependencyGraph *g, const char *id);
/* What is known of everything that it needs, directly or through others: nobody has to be asked. */
gboolean fk_dependency_graph_is_known(FkDependencyGraph *g, const char *id);
/* Calls `fn` with each job whose state is to be asked for, `most` at the most. */
guint fk_dependency_graph_for_each_unknown(const FkDependencyGraph *g,
                                           void (*fn)(gpointer data, const char *id), gpointer data,
                                           guint most);
guint fk_dependency_graph_size(const FkDependencyGraph *g);

/* What a live job takes over from those that need it. */
typedef struct {
  int rank;      /* lower goes first; G_MAXINT: nobody needs it */
  gint64 due_us; /* by when it must be over, so that each of them can be in time; G_MAXINT64: no matter */
} FkInheritedPriority;
/* A job's own: its rank, when it is due (G_MAXINT64: never) and how long it runs. FALSE: it isn't known. */
typedef gboolean (*FkOwnPriorityFunc)(gpointer data, const char *id, int *rank, gint64 *due_us,
                                      gint64 *run_us);
/* Works the pulls out for all jobs that a live one names, the dependents' before their dependencies', and
 * calls `fn` with each. */
void fk_dependency_graph_inherit_priorities(FkDependencyGraph *g, FkOwnPriorityFunc own,
                                            void (*fn)(gpointer data, const char *id,
                                                       FkInheritedPriority pull),
                                            gpointer data);
