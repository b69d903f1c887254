/* What a team may use and is owed, and who is to blame for what fails: tables of cases, no core. */
#include <math.h>

#include "blame/blame.h"
#include "teams/limits.h"

static void test_limits(void) {
  static const struct {
    double guarantee, setting;
    FkTeamKind kind;
    double used, each, times;
    gboolean allowed;
  } cases[] = {
      /* 422 for good to a whole guest team: a limit of 0 was read as nothing allowed */
      {0, 0, FK_TEAM_GUEST, 0, 0.25, 25000, TRUE},
      {0, 0, FK_TEAM_GUEST, 1e15, 1e9, 100000, TRUE},
      {8, 0, FK_TEAM_UNLIMITED, 1e6, 8, 1, TRUE},
      {0, 16, FK_TEAM_BORROWER, 0, 16, 1, TRUE},
      {0, 16, FK_TEAM_BORROWER, 0, 16.1, 1, FALSE},
      {8, 16, FK_TEAM_ORDINARY, 12, 4, 1, TRUE},
      {8, 16, FK_TEAM_ORDINARY, 12, 4, 2, FALSE},
      {8, 4, FK_TEAM_NARROW, 0, 8, 1, FALSE},
      {8, 4, FK_TEAM_NARROW, 0, 4, 1, TRUE},
      /* sums near 2^53: 9,000,000 tasks' worth of the largest setting, and one CPU more */
      {0, 1e9, FK_TEAM_BORROWER, 0, 1e9, 9e6, FALSE},
      {0, 1e9, FK_TEAM_BORROWER, 1e9 - 1, 1, 1, TRUE},
      {0, 1e9, FK_TEAM_BORROWER, 1e9 - 1, 2, 1, FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    double most = fk_limit_of(cases[i].setting);
    g_test_message("case %u", i);
    g_assert_cmpint(fk_team_kind(cases[i].guarantee, most), ==, cases[i].kind);
    g_assert_cmpint(fk_limit_allows(most, cases[i].used, cases[i].each, cases[i].times), ==,
                    cases[i].allowed);
    g_assert_cmpfloat(fk_limit_left(most, cases[i].used), >=, 0);
  }
  g_assert_cmpfloat(fk_limit_left(fk_limit_of(4), 6), ==, 0);
  g_assert_true(isinf(fk_limit_left(fk_limit_of(0), 1e15)));
}

/* A story of failures ('x': job a on machine m fails) and successes, and the verdicts at its end. Each event
 * is three characters: x or +, the job's letter, the machine's digit; a space between; '>' is a task of the
 * job that goes on for a minute. */
typedef struct {
  const char *story;
  const char *doubted, *sick; /* letters and digits */
} BlameCase;

static const BlameCase blame_cases[] = {
    {"", "", ""},
    {"xa1 xa1", "", ""},
    /* a hundred tasks on one large machine say nothing: the job was tried nowhere else */
    {"xa1 xa1 xa1 xa1 xa1", "", ""},
    /* on two machines: the job, and neither machine (1,100 healthy machines were returned for 4% of the jobs)
     */
    {"xa1 xa1 xa2 xa2 xa2 xa1", "a", ""},
    {"xa1 xa2 xa3 xb1 xb2 xb3 xc1 xc2 xc3", "abc", ""},
    /* three jobs that work elsewhere: the machine */
    {"xa1 +a2 xb1 +b2 xc1 +c3", "", "1"},
    {"xa1 xa1 xb1", "", "1"},
    /* one job that works elsewhere */
    {"xa1 xa1 +a2 xa1", "", "1"},
    /* ... or whose other tasks outlive those that failed */
    {"xa1 xa1 xa1 >a1", "", "1"},
    {"xa1 xa2 >a3", "", ""},
    /* a job on two faulty machines isn't doubted */
    {"xb1 xb1 xc1 xd2 xd2 xe2 xa1 xa2", "", "12"},
    /* a success clears the machine, and the job for good */
    {"xa1 xb1 +c1 xd1", "", ""},
    {"xa1 xa2 +a3 xa4 xa5 xa6", "", ""},
    /* a broken job on a faulty machine: both */
    {"xa1 xa2 xa3 xb3 xb3 +b1 xb3", "a", "3"},
};

static void tell(FkBlame *b, const char *story, FkTime *now) {
  g_auto(GStrv) events = g_strsplit(story, " ", -1);
  for (guint i = 0; events[i] && *events[i]; i++) {
    char job[] = {events[i][1], 0}, machine[] = {events[i][2], 0};
    *now = fk_time_add(*now, 0.1);
    if (*events[i] == 'x')
      fk_blame_failed(b, job, machine, 1, FALSE, *now);
    else if (*events[i] == '+')
      fk_blame_succeeded(b, job, machine);
    else
      fk_blame_goes_on(b, job, 60);
  }
}

static void test_blame(void) {
  for (guint i = 0; i < G_N_ELEMENTS(blame_cases); i++) {
    const BlameCase *k = &blame_cases[i];
    FkBlame *b = fk_blame_new();
    FkTime now = {1000000};
    g_test_message("%s", k->story);
    tell(b, k->story, &now);
    g_autoptr(GString) doubted = g_string_new(NULL);
    g_autoptr(GString) sick = g_string_new(NULL);
    for (char c = 'a'; c <= 'e'; c++)
      if (fk_blame_doubted(b, (char[]){c, 0}))
        g_string_append_c(doubted, c);
    for (char c = '1'; c <= '6'; c++)
      if (fk_blame_sick(b, (char[]){c, 0}))
        g_string_append_c(sick, c);
    g_assert_cmpstr(doubted->str, ==, k->doubted);
    g_assert_cmpstr(sick->str, ==, k->sick);
    fk_blame_free(b);
  }
}

/* However the failures come, pauses are bounded, never shrink while a job goes on failing, and what is kept
 * goes with the jobs and machines. */
static void test_blame_pauses(void) {
  GRand *rand = g_rand_new_with_seed(7);
  for (guint round = 0; round < 200; round++) {
    FkBlame *b = fk_blame_new();
    FkTime now = {1000000};
    double last = 0;
    guint n = (guint)g_rand_int_range(rand, 1, 60);
    for (guint i = 0; i < n; i++) {
      char machine[] = {(char)('0' + g_rand_int_range(rand, 0, 40)), 0};
      fk_blame_failed(b, "j", machine, 1, FALSE, now);
      double pause = fk_blame_pause_s(b, "j");
      g_assert_cmpfloat(pause, <=, 60);
      if (fk_blame_doubted(b, "j")) {
        g_assert_cmpfloat(pause, >=, last);
        last = pause;
      }
      g_assert_true(fk_blame_avoids(b, "j", machine, now));
      g_assert_false(fk_blame_avoids(b, "j", machine, fk_time_add(now, 61)));
      now = fk_time_add(now, 0.5);
    }
    g_assert_cmpuint(fk_blame_jobs(b), ==, 1);
    fk_blame_succeeded(b, "j", "0");
    g_assert_cmpfloat(fk_blame_pause_s(b, "j"), ==, 0);
    g_assert_false(fk_blame_doubted(b, "j"));
    fk_blame_job_gone(b, "j");
    for (char c = '0'; c < '0' + 40; c++)
      fk_blame_machine_gone(b, (char[]){c, 0});
    g_assert_cmpuint(fk_blame_jobs(b) + fk_blame_machines(b), ==, 0);
    fk_blame_free(b);
  }
  g_rand_free(rand);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/teams/limits", test_limits);
  g_test_add_func("/blame/verdicts", test_blame);
  g_test_add_func("/blame/pauses", test_blame_pauses);
  return g_test_run();
}
