#include "core/scheduling/elastic_sizing.h"
#include "core/state/job.h"

/* The expected values follow from the Linear model of Elastic Sizing (core/scheduling/elastic_sizing.c):
 * wait_ratio = mean / bound, at most 1; floor = machines x the short tasks' share, in which the latest window
 * has the weight 0.3, rounded down; blacklisted = wait_ratio x span x machines, rounded to the nearest
 * integer. */
static void test_elastic_sizing(void) {
  static const struct {
    double sum;
    guint64 count;
    double bound, span;
    guint machines;
    double short_allocated_time, long_allocated_time, share_before;
    double wait_ratio;
    guint floor, blacklisted, total;
  } cases[] = {
      {0, 0, 20, 0.08, 100, 0, 0, 0, 0, 0, 0, 0},       /* no data: none blacklisted */
      {100, 10, 20, 0.08, 100, 0, 0, 0, 0.5, 0, 4, 4},  /* mean 10, bound 20: half of 8 machines */
      {400, 10, 20, 0.08, 100, 0, 0, 0, 1, 0, 8, 8},    /* mean above the bound: the whole span */
      {200, 10, 20, 0.08, 100, 0, 0, 0, 1, 0, 8, 8},    /* mean at the bound */
      {10, 10, 20, 0.10, 40, 0, 0, 0, 0.05, 0, 0, 0},   /* 0.05 x 4 = 0.2: none */
      {100, 10, 20, 0.10, 40, 50, 50, 0, 0.5, 6, 2, 8}, /* share 0 + 0.3 x 0.5 = 0.15: 6 of 40 */
      {0, 0, 20, 0.10, 40, 0, 10, 0.5, 0, 14, 0, 14},   /* share 0.5 x 0.7 = 0.35: 14 of 40 */
      {400, 10, 20, 1, 10, 10, 0, 1, 1, 10, 10, 10},    /* never more than the number of machines */
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkElasticSizing s = {.short_share = cases[i].share_before};
    guint n = fk_elastic_sizing_update(&s, cases[i].sum, cases[i].count, cases[i].bound, cases[i].span,
                                       cases[i].machines, cases[i].short_allocated_time,
                                       cases[i].long_allocated_time);
    g_assert_cmpfloat_with_epsilon(s.wait_ratio, cases[i].wait_ratio, 1e-9);
    g_assert_cmpuint(s.floor, ==, cases[i].floor);
    g_assert_cmpuint(s.blacklisted, ==, cases[i].blacklisted);
    g_assert_cmpuint(n, ==, cases[i].total);
  }
}

static void test_chunk_transitions(void) {
  g_autoptr(FkChunk) c = fk_chunk_new(16, 8);
  static const struct {
    enum { ALLOCATE, RELEASE, FINISH, STOP } op;
    guint32 task;
    guint64 attempt;
    gboolean legal;
  } steps[] = {
      {ALLOCATE, 15, 0, FALSE}, /* task isn't in this chunk */
      {ALLOCATE, 16, 0, TRUE},  /* attempt 1 */
      {ALLOCATE, 16, 0, FALSE}, /* already allocated */
      {FINISH, 16, 9, FALSE},   /* result of another attempt */
      {RELEASE, 16, 1, TRUE},   {RELEASE, 16, 1, FALSE},  {STOP, 16, 0, FALSE},
      {ALLOCATE, 16, 0, TRUE}, /* attempt 2: numbers are never reused */
      {STOP, 16, 0, TRUE},      {STOP, 16, 0, FALSE},     {FINISH, 16, 1, FALSE},
      {FINISH, 16, 2, TRUE},    {ALLOCATE, 16, 0, FALSE}, /* a task that is done stays done */
      {ALLOCATE, 24, 0, FALSE}, {ALLOCATE, 23, 0, TRUE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(steps); i++) {
    gboolean ok = steps[i].op == ALLOCATE  ? fk_chunk_allocate(c, steps[i].task, "i-1", "c-0")
                  : steps[i].op == RELEASE ? fk_chunk_release(c, steps[i].task, (FkAttempt){steps[i].attempt})
                  : steps[i].op == FINISH  ? fk_chunk_finish(c, steps[i].task, (FkAttempt){steps[i].attempt})
                                           : fk_chunk_request_stop(c, steps[i].task);
    g_assert_cmpint(ok, ==, steps[i].legal);
  }
  g_assert_cmpuint(c->done_count, ==, 1);
  g_assert_cmpuint(c->allocations->len, ==, 1);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/elastic_sizing/elastic_sizing", test_elastic_sizing);
  g_test_add_func("/job/chunk_transitions", test_chunk_transitions);
  return g_test_run();
}
