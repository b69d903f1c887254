/* The graph of jobs that need others, by tables: whatever the order in which jobs come, end and are
 * cancelled, the same become ready and the same are withdrawn, once each. */
#include <string.h>

#include "dependency_graph/dependency_graph.h"

typedef struct {
  GString *log; /* "+id" ready, "-id" withdrawn, in order */
} Seen;

static void changed(gpointer data, const char *id, gboolean cancelled) {
  g_string_append_printf(((Seen *)data)->log, "%c%s ", cancelled ? '-' : '+', id);
}

/* "a: b c" comes and needs b and c; "a live", "a done", "a cancelled", "a gone" (its record), "a unknown". */
static void step(FkDependencyGraph *g, const char *line) {
  g_auto(GStrv) w = g_strsplit(line, " ", 0);
  const char *colon = strchr(w[0], ':');
  if (colon) {
    g_autofree char *id = g_strndup(w[0], colon - w[0]);
    fk_dependency_graph_set_state(g, id, FK_DEPENDENCY_LIVE, 0);
    fk_dependency_graph_add(g, id, w + 1);
  } else if (g_str_equal(w[1], "gone")) {
    fk_dependency_graph_set_state(g, w[0], FK_DEPENDENCY_UNKNOWN, 0);
    fk_dependency_graph_remove(g, w[0]);
  } else {
    fk_dependency_graph_set_state(g, w[0],
                                  g_str_equal(w[1], "live")        ? FK_DEPENDENCY_LIVE
                                  : g_str_equal(w[1], "done")      ? FK_DEPENDENCY_DONE
                                  : g_str_equal(w[1], "cancelled") ? FK_DEPENDENCY_CANCELLED
                                                                   : FK_DEPENDENCY_UNKNOWN,
                                  w[2] ? g_ascii_strtoll(w[2], NULL, 10) : 0);
  }
}

static const struct {
  const char *name, *steps[12], *seen;
  guint left; /* in the graph at the end */
} cases[] = {
    {"one", {"b: a", "a live", "a done"}, "+b ", 2},
    {"done before it is named", {"b: a", "a done"}, "+b ", 2},
    {"two", {"c: a b", "a live", "b live", "a done", "b done"}, "+c ", 3},
    {"named twice", {"b: a a", "a live", "a done"}, "+b ", 2},
    {"itself is no dependency", {"a: a b", "b done"}, "+a ", 2},
    {"the dependent is listed first", {"c: b", "b: a", "a live", "a done", "b gone", "b done"}, "+b +c ", 2},
    {"the record goes before the final comes", {"b: a", "a live", "a gone", "a done"}, "+b ", 2},
    {"the final comes first", {"b: a", "a live", "a done", "a gone"}, "+b ", 2},
    {"cancelled", {"b: a", "a live", "a cancelled"}, "-b ", 2},
    {"cancelled, through others", {"b: a", "c: b", "d: c", "a cancelled"}, "-b -c -d ", 4},
    {"cancelled, a diamond", {"b: a", "c: b a", "a cancelled"}, NULL, 3},
    {"who comes after the cancellation", {"b: a", "a cancelled", "c: a", "d: c"}, "-b -c -d ", 4},
    {"done stays done", {"b: a", "a done", "a cancelled"}, "+b ", 2},
    {"cancelled stays so", {"b: a", "a cancelled", "a done"}, "-b ", 2},
    {"one done, one cancelled", {"c: a b", "a done", "b cancelled"}, "-c ", 3},
    {"who has ended is nobody's any more", {"b: a", "a done", "b gone"}, "+b ", 0},
    {"a chain goes with its last", {"b: a", "c: b", "a done", "b gone", "b done", "c gone"}, "+b +c ", 0},
    {"withdrawn and gone, its dependents stay withdrawn",
     {"b: a", "c: b", "a cancelled", "b gone", "a gone", "b cancelled"},
     "-b -c ",
     2},
    {"told once", {"b: a", "a cancelled", "a gone", "a cancelled", "b cancelled"}, "-b ", 2},
    {"added twice", {"b: a", "b: a", "a done"}, "+b ", 2},
};

static void test_topological_order(void) {
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Seen s = {g_string_new(NULL)};
    FkDependencyGraph *g = fk_dependency_graph_new(changed, &s);
    for (guint k = 0; k < 12 && cases[i].steps[k]; k++)
      step(g, cases[i].steps[k]);
    g_test_message("%s: %s", cases[i].name, s.log->str);
    if (cases[i].seen)
      g_assert_cmpstr(s.log->str, ==, cases[i].seen);
    g_assert_cmpuint(fk_dependency_graph_size(g), ==, cases[i].left);
    fk_dependency_graph_free(g);
    g_string_free(s.log, TRUE);
  }
}

static void collect(gpointer data, const char *id) { g_string_append_printf(data, "%s ", id); }

/* Whose end isn't known is asked for as long as somebody needs it; until then nothing is sure of those after
 * it. */
static void test_unknown_dependency(void) {
  Seen s = {g_string_new(NULL)};
  FkDependencyGraph *g = fk_dependency_graph_new(changed, &s);
  step(g, "c: b");
  step(g, "b: a");
  g_autoptr(GString) asked = g_string_new(NULL);
  g_assert_cmpuint(fk_dependency_graph_for_each_unknown(g, collect, asked, 10), ==, 1);
  g_assert_cmpstr(asked->str, ==, "a ");
  g_assert_false(fk_dependency_graph_is_known(g, "c"));
  g_assert_true(fk_dependency_graph_is_known(g, "nobody"));
  step(g, "a live");
  g_assert_true(fk_dependency_graph_is_known(g, "c"));
  g_assert_cmpuint(fk_dependency_graph_unfinished_count(g, "c"), ==, 1);
  step(g, "a done 70");
  step(g, "b gone");
  g_assert_false(fk_dependency_graph_is_known(g, "c"));
  step(g, "b done 90");
  g_assert_true(fk_dependency_graph_is_known(g, "c"));
  g_assert_cmpint(fk_dependency_graph_ready_ms(g, "c"), ==, 90);
  g_assert_cmpuint(fk_dependency_graph_for_each_unknown(g, collect, asked, 10), ==, 0);
  g_assert_true(fk_dependency_graph_has_dependents(g, "b"));
  g_assert_false(fk_dependency_graph_has_dependents(g, "c"));
  fk_dependency_graph_free(g);
  g_string_free(s.log, TRUE);
}

/* Three jobs in a row and one beside them: each runs for 10 s; the last is due in 100 s and of rank 0. */
static gboolean own(gpointer data, const char *id, int *rank, gint64 *due_us, gint64 *run_us) {
  *rank = g_str_equal(id, "d") ? 0 : 3;
  *due_us = g_str_equal(id, "d") ? 100 : G_MAXINT64;
  *run_us = 10;
  return !g_str_equal(id, "x");
}

static void pulled(gpointer data, const char *id, FkInheritedPriority p) {
  g_string_append_printf(data, "%s %d %" G_GINT64_FORMAT " ", id, p.rank,
                         p.due_us == G_MAXINT64 ? -1 : p.due_us);
}

static void test_inherited_priority(void) {
  Seen s = {g_string_new(NULL)};
  FkDependencyGraph *g = fk_dependency_graph_new(changed, &s);
  step(g, "d: c");
  step(g, "c: b");
  step(g, "b: a");
  step(g, "y: x"); /* cancelled ones pull nobody, nor does one that isn't known */
  step(g, "x: w");
  step(g, "z: b");
  step(g, "z cancelled");
  g_autoptr(GString) out = g_string_new(NULL);
  fk_dependency_graph_inherit_priorities(g, own, pulled, out);
  g_test_message("%s", out->str);
  static const char *const want[] = {"c 0 90 ", "b 0 80 ", "a 0 70 ", "x 3 -1 "};
  for (guint i = 0; i < G_N_ELEMENTS(want); i++)
    g_assert_nonnull(strstr(out->str, want[i]));
  g_assert_null(strstr(out->str, "w "));
  fk_dependency_graph_free(g);
  g_string_free(s.log, TRUE);
}

/* A chain of 100,000 and a fan of as many: no recursion, and the work grows with the edges. */
static void test_large_graph(void) {
  for (int fan = 0; fan < 2; fan++) {
    Seen s = {g_string_new(NULL)};
    FkDependencyGraph *g = fk_dependency_graph_new(changed, &s);
    for (guint i = 1; i <= 100000; i++) {
      g_autofree char *line = g_strdup_printf("%u: %u", i, fan ? 0 : i - 1);
      step(g, line);
    }
    g_autoptr(GString) out = g_string_new(NULL);
    fk_dependency_graph_inherit_priorities(g, own, pulled, out);
    g_assert_true(fk_dependency_graph_is_known(g, "100000") == FALSE);
    step(g, "0 cancelled");
    guint told = 0;
    for (const char *p = s.log->str; *p; p++)
      told += *p == '-';
    g_assert_cmpuint(told, ==, 100000);
    for (guint i = 100000; i; i--) {
      g_autofree char *line = g_strdup_printf("%u gone", i);
      step(g, line);
    }
    g_assert_cmpuint(fk_dependency_graph_size(g), ==, 0);
    fk_dependency_graph_free(g);
    g_string_free(s.log, TRUE);
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
