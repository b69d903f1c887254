/* Table-driven tests of the dependency graph: in whatever order jobs are submitted, end and are cancelled,
 * the same jobs become ready and the same jobs are cancelled, once each. */
#include <string.h>

#include "dependency_graph/dependency_graph.h"

typedef struct {
  GString *log; /* "+id" for each job that became ready, "-id" for each that was cancelled, in order */
} ChangeLog;

static void log_change(gpointer data, const char *id, gboolean cancelled) {
  g_string_append_printf(((ChangeLog *)data)->log, "%c%s ", cancelled ? '-' : '+', id);
}

/* Applies one step. "a: b c": job a is submitted and depends on b and c. "a gone": the live record of a is
 * deleted. "a live", "a cancelled", "a unknown": sets the state of a. "a done [MS]": also sets the time at
 * which a ended, in ms. */
static void apply_step(FkDependencyGraph *graph, const char *line) {
  g_auto(GStrv) words = g_strsplit(line, " ", 0);
  const char *colon = strchr(words[0], ':');
  if (colon) {
    g_autofree char *id = g_strndup(words[0], colon - words[0]);
    fk_dependency_graph_set_state(graph, id, FK_DEPENDENCY_LIVE, 0);
    fk_dependency_graph_add(graph, id, words + 1);
  } else if (g_str_equal(words[1], "gone")) {
    fk_dependency_graph_set_state(graph, words[0], FK_DEPENDENCY_UNKNOWN, 0);
    fk_dependency_graph_remove(graph, words[0]);
  } else {
    fk_dependency_graph_set_state(graph, words[0],
                                  g_str_equal(words[1], "live")        ? FK_DEPENDENCY_LIVE
                                  : g_str_equal(words[1], "done")      ? FK_DEPENDENCY_DONE
                                  : g_str_equal(words[1], "cancelled") ? FK_DEPENDENCY_CANCELLED
                                                                       : FK_DEPENDENCY_UNKNOWN,
                                  words[2] ? g_ascii_strtoll(words[2], NULL, 10) : 0);
  }
}

static const struct {
  const char *name, *steps[12], *expected_log;
  guint nodes_left; /* number of jobs in the graph at the end */
} cases[] = {
    {"one dependency", {"b: a", "a live", "a done"}, "+b ", 2},
    {"dependency done without being seen live", {"b: a", "a done"}, "+b ", 2},
    {"two dependencies", {"c: a b", "a live", "b live", "a done", "b done"}, "+c ", 3},
    {"same dependency twice", {"b: a a", "a live", "a done"}, "+b ", 2},
    {"dependency on itself is ignored", {"a: a b", "b done"}, "+a ", 2},
    {"dependent is added first", {"c: b", "b: a", "a live", "a done", "b gone", "b done"}, "+b +c ", 2},
    {"live record deleted before the terminal record arrives",
     {"b: a", "a live", "a gone", "a done"},
     "+b ",
     2},
    {"terminal record arrives first", {"b: a", "a live", "a done", "a gone"}, "+b ", 2},
    {"dependency cancelled", {"b: a", "a live", "a cancelled"}, "-b ", 2},
    {"cancellation of all descendants", {"b: a", "c: b", "d: c", "a cancelled"}, "-b -c -d ", 4},
    {"cancellation in a diamond", {"b: a", "c: b a", "a cancelled"}, NULL, 3},
    {"dependents added after the cancellation", {"b: a", "a cancelled", "c: a", "d: c"}, "-b -c -d ", 4},
    {"done is final", {"b: a", "a done", "a cancelled"}, "+b ", 2},
    {"cancelled is final", {"b: a", "a cancelled", "a done"}, "-b ", 2},
    {"one done, one cancelled", {"c: a b", "a done", "b cancelled"}, "-c ", 3},
    {"job removed after its end", {"b: a", "a done", "b gone"}, "+b ", 0},
    {"chain removed with its last job",
     {"b: a", "c: b", "a done", "b gone", "b done", "c gone"},
     "+b +c ",
     0},
    {"dependents stay cancelled after the cancelled job is removed",
     {"b: a", "c: b", "a cancelled", "b gone", "a gone", "b cancelled"},
     "-b -c ",
     2},
    {"cancellation reported once", {"b: a", "a cancelled", "a gone", "a cancelled", "b cancelled"}, "-b ", 2},
    {"job added twice", {"b: a", "b: a", "a done"}, "+b ", 2},
};

static void test_topological_order(void) {
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    ChangeLog changes = {g_string_new(NULL)};
    FkDependencyGraph *graph = fk_dependency_graph_new(log_change, &changes);
    for (guint k = 0; k < 12 && cases[i].steps[k]; k++)
      apply_step(graph, cases[i].steps[k]);
    g_test_message("%s: %s", cases[i].name, changes.log->str);
    if (cases[i].expected_log)
      g_assert_cmpstr(changes.log->str, ==, cases[i].expected_log);
    g_assert_cmpuint(fk_dependency_graph_size(graph), ==, cases[i].nodes_left);
    fk_dependency_graph_free(graph);
    g_string_free(changes.log, TRUE);
  }
}

static void log_id(gpointer data, const char *id) { g_string_append_printf(data, "%s ", id); }

/* A job whose terminal state is unknown must be looked up as long as a live job depends on it. Until the
 * state is known, the states of the job's descendants are uncertain. */
static void test_unknown_dependency(void) {
  ChangeLog changes = {g_string_new(NULL)};
  FkDependencyGraph *graph = fk_dependency_graph_new(log_change, &changes);
  apply_step(graph, "c: b");
  apply_step(graph, "b: a");
  g_autoptr(GString) unknown_ids = g_string_new(NULL);
  g_assert_cmpuint(fk_dependency_graph_for_each_unknown(graph, log_id, unknown_ids, 10), ==, 1);
  g_assert_cmpstr(unknown_ids->str, ==, "a ");
  g_assert_false(fk_dependency_graph_is_known(graph, "c"));
  g_assert_true(fk_dependency_graph_is_known(graph, "nobody"));
  apply_step(graph, "a live");
  g_assert_true(fk_dependency_graph_is_known(graph, "c"));
  g_assert_cmpuint(fk_dependency_graph_unfinished_count(graph, "c"), ==, 1);
  apply_step(graph, "a done 70");
  apply_step(graph, "b gone");
  g_assert_false(fk_dependency_graph_is_known(graph, "c"));
  apply_step(graph, "b done 90");
  g_assert_true(fk_dependency_graph_is_known(graph, "c"));
  g_assert_cmpint(fk_dependency_graph_ready_ms(graph, "c"), ==, 90);
  g_assert_cmpuint(fk_dependency_graph_for_each_unknown(graph, log_id, unknown_ids, 10), ==, 0);
  g_assert_true(fk_dependency_graph_has_dependents(graph, "b"));
  g_assert_false(fk_dependency_graph_has_dependents(graph, "c"));
  fk_dependency_graph_free(graph);
  g_string_free(changes.log, TRUE);
}

/* Every job runs for 10 us. Job d has a deadline, at 100 us, and rank 0, the highest priority. The others
 * have rank 3 and no deadline. The priority and deadline of x are unknown. */
static gboolean own_priority(gpointer data, const char *id, int *rank, gint64 *due_us, gint64 *run_us) {
  *rank = g_str_equal(id, "d") ? 0 : 3;
  *due_us = g_str_equal(id, "d") ? 100 : G_MAXINT64;
  *run_us = 10;
  return !g_str_equal(id, "x");
}

static void log_inherited(gpointer data, const char *id, FkInheritedPriority inherited) {
  g_string_append_printf(data, "%s %d %" G_GINT64_FORMAT " ", id, inherited.rank,
                         inherited.due_us == G_MAXINT64 ? -1 : inherited.due_us);
}

static void test_inherited_priority(void) {
  ChangeLog changes = {g_string_new(NULL)};
  FkDependencyGraph *graph = fk_dependency_graph_new(log_change, &changes);
  apply_step(graph, "d: c");
  apply_step(graph, "c: b");
  apply_step(graph, "b: a");
  apply_step(graph, "y: x"); /* nothing is inherited from cancelled jobs, nor from unknown ones such as x */
  apply_step(graph, "x: w");
  apply_step(graph, "z: b");
  apply_step(graph, "z cancelled");
  g_autoptr(GString) inherited_log = g_string_new(NULL);
  fk_dependency_graph_inherit_priorities(graph, own_priority, log_inherited, inherited_log);
  g_test_message("%s", inherited_log->str);
  static const char *const expected[] = {"c 0 90 ", "b 0 80 ", "a 0 70 ", "x 3 -1 "};
  for (guint i = 0; i < G_N_ELEMENTS(expected); i++)
    g_assert_nonnull(strstr(inherited_log->str, expected[i]));
  g_assert_null(strstr(inherited_log->str, "w "));
  fk_dependency_graph_free(graph);
  g_string_free(changes.log, TRUE);
}

/* A chain of 100,000 jobs, and 100,000 jobs that depend on a single job: guards against recursion, which
 * would overflow the stack, and against work that grows faster than the number of edges. */
static void test_large_graph(void) {
  for (int is_fan = 0; is_fan < 2; is_fan++) {
    ChangeLog changes = {g_string_new(NULL)};
    FkDependencyGraph *graph = fk_dependency_graph_new(log_change, &changes);
    for (guint i = 1; i <= 100000; i++) {
      g_autofree char *line = g_strdup_printf("%u: %u", i, is_fan ? 0 : i - 1);
      apply_step(graph, line);
    }
    g_autoptr(GString) inherited_log = g_string_new(NULL);
    fk_dependency_graph_inherit_priorities(graph, own_priority, log_inherited, inherited_log);
    g_assert_true(fk_dependency_graph_is_known(graph, "100000") == FALSE);
    apply_step(graph, "0 cancelled");
    guint cancelled_count = 0;
    for (const char *c = changes.log->str; *c; c++)
      cancelled_count += *c == '-';
    g_assert_cmpuint(cancelled_count, ==, 100000);
    for (guint i = 100000; i; i--) {
      g_autofree char *line = g_strdup_printf("%u gone", i);
      apply_step(graph, line);
    }
    g_assert_cmpuint(fk_dependency_graph_size(graph), ==, 0);
    fk_dependency_graph_free(graph);
    g_string_free(changes.log, TRUE);
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/dependency_graph/topological_order", test_topological_order);
  g_test_add_func("/dependency_graph/unknown_dependency", test_unknown_dependency);
  g_test_add_func("/dependency_graph/inherited_priority", test_inherited_priority);
  g_test_add_func("/dependency_graph/large_graph", test_large_graph);
  return g_test_run();
}
