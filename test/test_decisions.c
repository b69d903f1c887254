/* What a team may use and is owed, and who is to blame for what fails: tables of cases, no core. */
#include <math.h>
#include <string.h>

#include "fair_share/fair_share.h"
#include "fair_share/quota.h"
#include "fair_share/service_level.h"
#include "fault_attribution/fault_attribution.h"
#include "instance_models/boot_time.h"
#include "instance_models/idle_retention.h"

static void test_quotas(void) {
  static const struct {
    double guarantee, setting;
    FkTeamKind kind;
    double used, each, times;
    gboolean allowed;
  } cases[] = {
      /* 422 for good to a whole guest team: a limit of 0 was read as nothing allowed */
      {0, 0, FK_TEAM_BEST_EFFORT, 0, 0.25, 25000, TRUE},
      {0, 0, FK_TEAM_BEST_EFFORT, 1e15, 1e9, 100000, TRUE},
      {8, 0, FK_TEAM_UNLIMITED, 1e6, 8, 1, TRUE},
      {0, 16, FK_TEAM_WITHOUT_GUARANTEE, 0, 16, 1, TRUE},
      {0, 16, FK_TEAM_WITHOUT_GUARANTEE, 0, 16.1, 1, FALSE},
      {8, 16, FK_TEAM_ORDINARY, 12, 4, 1, TRUE},
      {8, 16, FK_TEAM_ORDINARY, 12, 4, 2, FALSE},
      {8, 4, FK_TEAM_QUOTA_BELOW_GUARANTEE, 0, 8, 1, FALSE},
      {8, 4, FK_TEAM_QUOTA_BELOW_GUARANTEE, 0, 4, 1, TRUE},
      /* sums near 2^53: 9,000,000 tasks' worth of the largest setting, and one CPU more */
      {0, 1e9, FK_TEAM_WITHOUT_GUARANTEE, 0, 1e9, 9e6, FALSE},
      {0, 1e9, FK_TEAM_WITHOUT_GUARANTEE, 1e9 - 1, 1, 1, TRUE},
      {0, 1e9, FK_TEAM_WITHOUT_GUARANTEE, 1e9 - 1, 2, 1, FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    double most = fk_quota_from_setting(cases[i].setting);
    g_test_message("case %u", i);
    g_assert_cmpint(fk_team_kind(cases[i].guarantee, most), ==, cases[i].kind);
    g_assert_cmpint(fk_quota_allows(most, cases[i].used, cases[i].each, cases[i].times), ==,
                    cases[i].allowed);
    g_assert_cmpfloat(fk_quota_left(most, cases[i].used), >=, 0);
  }
  g_assert_cmpfloat(fk_quota_left(fk_quota_from_setting(4), 6), ==, 0);
  g_assert_true(isinf(fk_quota_left(fk_quota_from_setting(0), 1e15)));
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
    /* jobs of which nothing is known count half: with half of all jobs faulty, healthy machines were returned
     */
    {"xa1 xa1 xb1 xc1", "", ""},
    {"xa1 xa1 xb1 xb1 xc1 xc1", "", "1"},
    {"xa1 xb1 xc1 +a2 +b2 +c2", "", "1"},
    /* one job that works elsewhere */
    {"xa1 xa1 +a2 xa1", "", "1"},
    /* ... or whose other tasks outlive those that failed */
    {"xa1 xa1 xa1 >a1", "", "1"},
    {"xa1 xa2 >a3", "", ""},
    /* a job on two faulty machines isn't doubted */
    {"xb1 xb1 xc1 xd2 xd2 xe2 xa1 xa2", "", ""},
    /* a success clears the machine, and the job for good */
    {"xa1 xb1 +c1 xd1", "", ""},
    {"xa1 xa2 +a3 xa4 xa5 xa6", "", ""},
    /* a broken job on a faulty machine: both */
    {"xa1 xa2 xa3 xb3 xb3 +b1 xb3", "a", "3"},
};

static void tell(FkFaultAttribution *b, const char *story, FkTime *now) {
  g_auto(GStrv) events = g_strsplit(story, " ", -1);
  for (guint i = 0; events[i] && *events[i]; i++) {
    char job[] = {events[i][1], 0}, machine[] = {events[i][2], 0};
    *now = fk_time_add(*now, 0.1);
    if (*events[i] == 'x')
      fk_fault_attribution_task_failed(b, job, machine, 1, FALSE, *now);
    else if (*events[i] == '+')
      fk_fault_attribution_task_succeeded(b, job, machine);
    else
      fk_fault_attribution_task_survives(b, job, 60);
  }
}

static void test_fault_attribution(void) {
  for (guint i = 0; i < G_N_ELEMENTS(blame_cases); i++) {
    const BlameCase *k = &blame_cases[i];
    FkFaultAttribution *b = fk_fault_attribution_new();
    FkTime now = {1000000};
    g_test_message("%s", k->story);
    tell(b, k->story, &now);
    g_autoptr(GString) doubted = g_string_new(NULL);
    g_autoptr(GString) sick = g_string_new(NULL);
    for (char c = 'a'; c <= 'e'; c++)
      if (fk_fault_attribution_job_is_failing(b, (char[]){c, 0}))
        g_string_append_c(doubted, c);
    for (char c = '1'; c <= '6'; c++)
      if (fk_fault_attribution_machine_is_faulty(b, (char[]){c, 0}))
        g_string_append_c(sick, c);
    g_assert_cmpstr(doubted->str, ==, k->doubted);
    g_assert_cmpstr(sick->str, ==, k->sick);
    fk_fault_attribution_free(b);
  }
}

/* However the failures come, pauses are bounded, never shrink while a job goes on failing, and what is kept
 * goes with the jobs and machines. */
static void test_fault_attribution_pauses(void) {
  GRand *rand = g_rand_new_with_seed(7);
  for (guint round = 0; round < 200; round++) {
    FkFaultAttribution *b = fk_fault_attribution_new();
    FkTime now = {1000000};
    double last = 0;
    guint n = (guint)g_rand_int_range(rand, 1, 60);
    for (guint i = 0; i < n; i++) {
      char machine[] = {(char)('0' + g_rand_int_range(rand, 0, 40)), 0};
      fk_fault_attribution_task_failed(b, "j", machine, 1, FALSE, now);
      double pause = fk_fault_attribution_retry_delay_s(b, "j");
      g_assert_cmpfloat(pause, <=, 60);
      if (fk_fault_attribution_job_is_failing(b, "j")) {
        g_assert_cmpfloat(pause, >=, last);
        last = pause;
      }
      g_assert_true(fk_fault_attribution_job_avoids(b, "j", machine, now));
      g_assert_false(fk_fault_attribution_job_avoids(b, "j", machine, fk_time_add(now, 61)));
      now = fk_time_add(now, 0.5);
    }
    g_assert_cmpuint(fk_fault_attribution_job_count(b), ==, 1);
    fk_fault_attribution_task_succeeded(b, "j", "0");
    g_assert_cmpfloat(fk_fault_attribution_retry_delay_s(b, "j"), ==, 0);
    g_assert_false(fk_fault_attribution_job_is_failing(b, "j"));
    fk_fault_attribution_remove_job(b, "j");
    for (char c = '0'; c < '0' + 40; c++)
      fk_fault_attribution_remove_machine(b, (char[]){c, 0});
    g_assert_cmpuint(fk_fault_attribution_job_count(b) + fk_fault_attribution_machine_count(b), ==, 0);
    fk_fault_attribution_free(b);
  }
  g_rand_free(rand);
}

#define NONE INFINITY

static void test_fair_share(void) {
  static const struct {
    double room;
    FkFairShareDemand claimants[3]; /* guarantee, limit, used, wanted, due */
    FkStanding standing[3];
  } cases[] = {
      /* enough for all */
      {100, {{40, NONE, 10, 10, 20}, {0, NONE, 0, 30, 30}, {40, 40, 50, 0, 40}}, {0, 1, 3}},
      /* a guest's huge array beside two that want a little more than their guarantees: what is left goes to
         all alike, and who wants less leaves its part to the others */
      {100, {{30, NONE, 30, 5, 35}, {30, NONE, 30, 10, 40}, {0, NONE, 0, 6000, 25}}, {2, 1, 1}},
      {100, {{30, NONE, 30, 70, 43.333}, {30, NONE, 30, 70, 43.333}, {0, NONE, 40, 6000, 13.333}}, {1, 1, 3}},
      /* a limit binds before the level */
      {100, {{10, 15, 10, 50, 15}, {0, 20, 0, 50, 20}, {0, NONE, 0, 500, 65}}, {1, 1, 1}},
      /* more guaranteed than there is: all give way alike, and nothing is left to borrow */
      {50, {{60, NONE, 0, 60, 30}, {40, NONE, 0, 40, 20}, {0, NONE, 0, 10, 0}}, {0, 0, 2}},
      /* all that it wants fits its guarantee: it doesn't wait for the others, whatever they are due */
      {10, {{20, NONE, 0, 20, 10}, {0, NONE, 10, 5, 0}, {0, NONE, 0, 0, 0}}, {0, 3, 2}},
      {0, {{5, NONE, 0, 5, 0}, {0, NONE, 0, 5, 0}, {0, NONE, 0, 0, 0}}, {0, 2, 2}},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkFairShareDemand c[3];
    memcpy(c, cases[i].claimants, sizeof c);
    fk_fair_share_divide(c, 3, cases[i].room);
    g_test_message("case %u: %.3f %.3f %.3f", i, c[0].share, c[1].share, c[2].share);
    for (guint k = 0; k < 3; k++) {
      g_assert_cmpfloat_with_epsilon(c[k].share, cases[i].claimants[k].share, 0.01);
      g_assert_cmpint(fk_fair_share_standing(&c[k]), ==, cases[i].standing[k]);
    }
  }
  g_assert_cmpfloat(fk_fair_share_dominant(10, 0, 100, 0), ==, 10);
  g_assert_cmpfloat(fk_fair_share_dominant(10, 2, 100, 4), ==, 50);
}

/* Whatever the numbers: the sum fits the room; nobody gets more than it wants or may have; nobody who gets
 * less than it wants is below its guarantee while another borrows; and nothing is left over while somebody
 * wants. */
static void test_fair_share_properties(void) {
  GRand *rand = g_rand_new_with_seed(11);
  for (guint round = 0; round < 3000; round++) {
    FkFairShareDemand c[6];
    guint n = (guint)g_rand_int_range(rand, 1, 7);
    double scale = pow(10, g_rand_int_range(rand, 0, 9)), room = scale * g_rand_double_range(rand, 0, 8),
           sum = 0, wanted = 0;
    for (guint i = 0; i < n; i++) {
      double most = g_rand_boolean(rand) ? NONE : scale * g_rand_double_range(rand, 0, 4);
      c[i] = (FkFairShareDemand){g_rand_boolean(rand) ? 0 : scale * g_rand_double_range(rand, 0, 3), most,
                                 scale * g_rand_double(rand), scale * g_rand_double_range(rand, 0, 5), -1};
    }
    fk_fair_share_divide(c, n, room);
    double eps = 1e-6 * scale * 10;
    for (guint i = 0; i < n; i++) {
      double demand = MIN(c[i].used + c[i].wanted, c[i].quota), sure = MIN(c[i].guarantee, demand);
      g_assert_cmpfloat(c[i].share, >=, 0);
      g_assert_cmpfloat(c[i].share, <=, demand + eps);
      sum += c[i].share;
      wanted += demand;
      for (guint k = 0; k < n && c[i].share < sure - eps; k++)
        g_assert_cmpfloat(c[k].share, <=, c[k].guarantee + eps);
    }
    g_assert_cmpfloat(sum, <=, room + eps);
    double guaranteed = 0;
    for (guint i = 0; i < n; i++)
      guaranteed += MIN(c[i].guarantee, MIN(c[i].used + c[i].wanted, c[i].quota));
    if (guaranteed < room)
      g_assert_cmpfloat(sum, >=, MIN(room, wanted) - eps * 10);
  }
  g_rand_free(rand);
}

static void test_service_level(void) {
  static const struct {
    const char *what;
    FkServiceLevelJob jobs[2];
    guint ended;
    double share;
    gboolean starved;
  } cases[] = {
      {"nothing due yet", {{"c", "t", 10, 4, 0, 0, 4, 0, 1}}, 0, 1, FALSE},
      {"none of it has started", {{"c", "t", 70, 4, 0, 0, 4, 0, 1}}, 0, 0, TRUE},
      {"... but not for long", {{"c", "t", 50, 4, 0, 0, 4, 0, 1}}, 0, 0, FALSE},
      {"half of a huge array is done or runs",
       {{"c", "t", 300, 20000, 6000, 4000, 10000, 1000, 1}},
       0,
       0.5,
       FALSE},
      {"a little less", {{"c", "t", 300, 20000, 6000, 3000, 11000, 750, 1}}, 0, 0.45, TRUE},
      {"those that ended count",
       {{"c", "t", 300, 1, 0, 0, 1, 0, 1}, {"c", "t", 300, 1, 0, 0, 1, 0, 1}},
       2,
       0.5,
       FALSE},
      {"all run, late", {{"c", "t", 300, 2, 0, 2, 0, 4, 1}}, 0, 1, FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkServiceLevel *b = fk_service_level_new();
    g_test_message("%s", cases[i].what);
    for (guint k = 0; k < cases[i].ended; k++)
      fk_service_level_job_ended(b, "c", "t", 1);
    for (guint look = 0; look < 2; look++) { /* a second look counts nothing twice */
      fk_service_level_begin(b);
      for (guint k = 0; k < 2 && cases[i].jobs[k].tasks; k++)
        fk_service_level_add_live_job(b, &cases[i].jobs[k]);
    }
    const FkServiceLevelRow *rows[] = {fk_service_level_class(b, "c"), fk_service_level_team(b, "t")};
    for (guint k = 0; k < 2; k++) {
      g_assert_cmpfloat_with_epsilon(fk_service_level_share(rows[k]), cases[i].share, 1e-9);
      g_assert_cmpint(fk_service_level_is_starved(rows[k]), ==, cases[i].starved);
    }
    g_autoptr(GPtrArray) all = fk_service_level_rows(b);
    g_assert_cmpuint(all->len, ==, 2);
    fk_service_level_free(b);
  }
}

/* Users invent names: what is kept of them is bounded, and those known are still counted. */
static void test_service_level_bounded(void) {
  FkServiceLevel *b = fk_service_level_new();
  for (guint i = 0; i < 5000; i++) {
    g_autofree char *name = g_strdup_printf("class-%u", i);
    fk_service_level_job_ended(b, name, "t", 1);
  }
  g_autoptr(GPtrArray) all = fk_service_level_rows(b);
  g_assert_cmpuint(all->len, <=, 1001);
  g_assert_cmpuint(fk_service_level_team(b, "t")->ended, ==, 5000);
  fk_service_level_free(b);
}

static void test_idle_retention(void) {
  FkTime now = {1000000};
  FkIdleRetention h;
  fk_idle_retention_init(&h, now);
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), ==, 1);
  /* load falls: what goes isn't rented again, and nothing is kept longer */
  for (guint i = 0; i < 60; i++)
    fk_idle_retention_terminated(&h, 40, now = fk_time_add(now, 1));
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), ==, 1);
  /* it comes back within the minute: the more of it, the longer */
  fk_idle_retention_provisioned(&h, 300, now = fk_time_add(now, 20));
  double some = fk_idle_retention_factor(&h, now);
  g_assert_cmpfloat(some, >, 1);
  fk_idle_retention_provisioned(&h, 1000, now);
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), >, some);
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), <=, FK_IDLE_RETENTION_FACTOR_MAX);
  /* what went long ago isn't what is rented now; and what was learnt fades */
  fk_idle_retention_terminated(&h, 1000, now = fk_time_add(now, 200));
  double faded = fk_idle_retention_factor(&h, now);
  fk_idle_retention_provisioned(&h, 5000, now = fk_time_add(now, 100));
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), <=, faded);
  g_assert_cmpfloat(fk_idle_retention_factor(&h, fk_time_add(now, 1000)), ==, 1);
  fk_idle_retention_clear(&h);
}

static void test_boot_times(void) {
  FkBootTimeModel b;
  fk_boot_time_init(&b);
  /* before anything is seen: a new one is as good as sure, one that is long overdue isn't */
  g_assert_cmpfloat(fk_boot_time_join_probability(&b, 0, 1.5), >, 0.8);
  g_assert_cmpfloat(fk_boot_time_join_probability(&b, 2.75, 1), >,
                    0.3); /* one three times as late is worth waiting for */
  g_assert_cmpfloat(fk_boot_time_join_probability(&b, 3.8, 2), <, 0.1);
  g_assert_cmpfloat_with_epsilon(fk_boot_time_remaining(&b, 0), 1.25, 0.35);
  g_assert_cmpfloat(fk_boot_time_remaining(&b, 1.2), <, fk_boot_time_remaining(&b, 0));
  /* machines come three times as late: one of twice the age is still awaited, and for how long is known */
  FkBootTimeModel late = b;
  for (guint i = 0; i < 200; i++)
    fk_boot_time_observe_joined(&late, 3);
  g_assert_cmpfloat(fk_boot_time_join_probability(&late, 2, 1), >, fk_boot_time_join_probability(&b, 2, 1));
  g_assert_cmpfloat(fk_boot_time_remaining(&late, 1), >, 1.5);
  /* many never come: one that is late is hardly reckoned with */
  FkBootTimeModel never = b;
  for (guint i = 0; i < 200; i++) {
    fk_boot_time_observe_given_up(&never, 3);
    fk_boot_time_observe_joined(&never, 0.8);
  }
  g_assert_cmpfloat(fk_boot_time_join_probability(&never, 1.6, 1), <, 0.25);
  g_assert_cmpfloat(fk_boot_time_join_probability(&never, 0, 1), >, 0.4);
  /* chances are chances, at any age, after any history */
  GRand *rand = g_rand_new_with_seed(3);
  for (guint i = 0; i < 2000; i++) {
    double age = g_rand_double_range(rand, 0, 20);
    if (g_rand_boolean(rand))
      fk_boot_time_observe_joined(&b, g_rand_double_range(rand, 0, 8));
    else
      fk_boot_time_observe_given_up(&b, g_rand_double_range(rand, 0, 8));
    double chance = fk_boot_time_join_probability(&b, age, g_rand_double_range(rand, 0, 5));
    g_assert_true(chance >= 0 && chance <= 1 + 1e-9);
    g_assert_cmpfloat(fk_boot_time_remaining(&b, age), >, 0);
    g_assert_cmpfloat(fk_boot_time_join_probability(&b, age, 5), >=,
                      fk_boot_time_join_probability(&b, age, 1) - 1e-9);
  }
  g_rand_free(rand);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/fair_share/quotas", test_quotas);
  g_test_add_func("/fair_share/fair_share", test_fair_share);
  g_test_add_func("/fair_share/fair_share_properties", test_fair_share_properties);
  g_test_add_func("/fair_share/service_level", test_service_level);
  g_test_add_func("/fair_share/service_level_bounded", test_service_level_bounded);
  g_test_add_func("/instance_models/idle_retention", test_idle_retention);
  g_test_add_func("/instance_models/boot_times", test_boot_times);
  g_test_add_func("/fault_attribution/fault_attribution", test_fault_attribution);
  g_test_add_func("/fault_attribution/fault_attribution_pauses", test_fault_attribution_pauses);
  return g_test_run();
}
