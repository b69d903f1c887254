/* Table-driven tests of the pure decision modules: quotas, fair shares, service levels, fault attribution,
 * idle retention and boot times. No controller is involved. */
#include <math.h>
#include <string.h>

#include "common/random.h"
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
    double used, per_task, tasks;
    gboolean allowed;
  } cases[] = {
      /* A limit of 0 was read as "nothing allowed": every job of a whole best-effort team was permanently
       * rejected with 422. */
      {0, 0, FK_TEAM_BEST_EFFORT, 0, 0.25, 25000, TRUE},
      {0, 0, FK_TEAM_BEST_EFFORT, 1e15, 1e9, 100000, TRUE},
      {8, 0, FK_TEAM_UNLIMITED, 1e6, 8, 1, TRUE},
      {0, 16, FK_TEAM_WITHOUT_GUARANTEE, 0, 16, 1, TRUE},
      {0, 16, FK_TEAM_WITHOUT_GUARANTEE, 0, 16.1, 1, FALSE},
      {8, 16, FK_TEAM_ORDINARY, 12, 4, 1, TRUE},
      {8, 16, FK_TEAM_ORDINARY, 12, 4, 2, FALSE},
      {8, 4, FK_TEAM_QUOTA_BELOW_GUARANTEE, 0, 8, 1, FALSE},
      {8, 4, FK_TEAM_QUOTA_BELOW_GUARANTEE, 0, 4, 1, TRUE},
      /* sums near 2^53: 9,000,000 tasks of the largest setting, and one CPU more than the quota */
      {0, 1e9, FK_TEAM_WITHOUT_GUARANTEE, 0, 1e9, 9e6, FALSE},
      {0, 1e9, FK_TEAM_WITHOUT_GUARANTEE, 1e9 - 1, 1, 1, TRUE},
      {0, 1e9, FK_TEAM_WITHOUT_GUARANTEE, 1e9 - 1, 2, 1, FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    double quota = fk_quota_from_setting(cases[i].setting);
    g_test_message("case %u", i);
    g_assert_cmpint(fk_team_kind(cases[i].guarantee, quota), ==, cases[i].kind);
    g_assert_cmpint(fk_quota_allows(quota, cases[i].used, cases[i].per_task, cases[i].tasks), ==,
                    cases[i].allowed);
    g_assert_cmpfloat(fk_quota_left(quota, cases[i].used), >=, 0);
  }
  g_assert_cmpfloat(fk_quota_left(fk_quota_from_setting(4), 6), ==, 0);
  g_assert_true(isinf(fk_quota_left(fk_quota_from_setting(0), 1e15)));
}

/* A sequence of task results and the expected verdicts after it. Events are separated by spaces. An event has
 * three characters: its kind, the job's letter and the machine's digit. The kinds are 'x' (a task failed),
 * '+' (a task succeeded) and '>' (a task of the job has been running for a minute). */
typedef struct {
  const char *results;
  const char *failing_jobs, *faulty_machines; /* letters of failing jobs, digits of faulty machines */
} AttributionCase;

static const AttributionCase attribution_cases[] = {
    {"", "", ""},
    {"xa1 xa1", "", ""},
    /* failures on a single machine prove nothing, not even a hundred: the job was tried nowhere else */
    {"xa1 xa1 xa1 xa1 xa1", "", ""},
    /* failures on two machines: the job is failing and neither machine is faulty (1,100 healthy machines were
     * returned because of 4% of the jobs) */
    {"xa1 xa1 xa2 xa2 xa2 xa1", "a", ""},
    {"xa1 xa2 xa3 xb1 xb2 xb3 xc1 xc2 xc3", "abc", ""},
    /* three jobs that succeed elsewhere: the machine is faulty */
    {"xa1 +a2 xb1 +b2 xc1 +c3", "", "1"},
    /* jobs without any other result count half: otherwise, with half of all jobs faulty, healthy machines
     * were returned */
    {"xa1 xa1 xb1 xc1", "", ""},
    {"xa1 xa1 xb1 xb1 xc1 xc1", "", "1"},
    {"xa1 xb1 xc1 +a2 +b2 +c2", "", "1"},
    /* one job that succeeds elsewhere: the machine is faulty */
    {"xa1 xa1 +a2 xa1", "", "1"},
    /* another task of the job has run for longer than those that failed: the machine is faulty */
    {"xa1 xa1 xa1 >a1", "", "1"},
    /* with one failure on each of two machines, neither the job nor a machine is found faulty */
    {"xa1 xa2 >a3", "", ""},
    /* job a fails only on two machines on which other jobs fail too: the job isn't considered failing, and
       the machines aren't considered faulty yet */
    {"xb1 xb1 xc1 xd2 xd2 xe2 xa1 xa2", "", ""},
    /* after a success, the machine's earlier failures no longer count, and the job never counts as failing
       everywhere */
    {"xa1 xb1 +c1 xd1", "", ""},
    {"xa1 xa2 +a3 xa4 xa5 xa6", "", ""},
    /* a failing job on a faulty machine: both are found */
    {"xa1 xa2 xa3 xb3 xb3 +b1 xb3", "a", "3"},
};

static void apply_results(FkFaultAttribution *b, const char *results, FkTime *now) {
  g_auto(GStrv) events = g_strsplit(results, " ", -1);
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
  for (guint i = 0; i < G_N_ELEMENTS(attribution_cases); i++) {
    const AttributionCase *k = &attribution_cases[i];
    FkFaultAttribution *b = fk_fault_attribution_new();
    FkTime now = {1000000};
    g_test_message("%s", k->results);
    apply_results(b, k->results, &now);
    g_autoptr(GString) failing_jobs = g_string_new(NULL);
    g_autoptr(GString) faulty_machines = g_string_new(NULL);
    for (char c = 'a'; c <= 'e'; c++)
      if (fk_fault_attribution_job_is_failing(b, (char[]){c, 0}))
        g_string_append_c(failing_jobs, c);
    for (char c = '1'; c <= '6'; c++)
      if (fk_fault_attribution_machine_is_faulty(b, (char[]){c, 0}))
        g_string_append_c(faulty_machines, c);
    g_assert_cmpstr(failing_jobs->str, ==, k->failing_jobs);
    g_assert_cmpstr(faulty_machines->str, ==, k->faulty_machines);
    fk_fault_attribution_free(b);
  }
}

/* In any sequence of failures, retry delays are bounded and never shrink while a job continues to fail, and
 * the stored state is removed with the jobs and machines. */
static void test_fault_attribution_retry_delays(void) {
  GRand *rand = g_rand_new_with_seed(7);
  for (guint round = 0; round < 200; round++) {
    FkFaultAttribution *b = fk_fault_attribution_new();
    FkTime now = {1000000};
    double last = 0;
    guint n = (guint)g_rand_int_range(rand, 1, 60);
    for (guint i = 0; i < n; i++) {
      char machine[] = {(char)('0' + g_rand_int_range(rand, 0, 40)), 0};
      fk_fault_attribution_task_failed(b, "j", machine, 1, FALSE, now);
      double delay_s = fk_fault_attribution_retry_delay_s(b, "j");
      g_assert_cmpfloat(delay_s, <=, 60);
      if (fk_fault_attribution_job_is_failing(b, "j")) {
        g_assert_cmpfloat(delay_s, >=, last);
        last = delay_s;
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

#define UNLIMITED INFINITY

static void test_fair_share(void) {
  static const struct {
    double capacity;
    FkFairShareDemand demands[3]; /* guarantee, quota, used, wanted, expected share */
    FkStanding standing[3];
  } cases[] = {
      /* enough for all */
      {100, {{40, UNLIMITED, 10, 10, 20}, {0, UNLIMITED, 0, 30, 30}, {40, 40, 50, 0, 40}}, {0, 1, 3}},
      /* a best-effort team's huge array beside two teams that want a little more than their guarantees: the
       * rest is divided equally, and a team that wants less leaves its part to the others */
      {100,
       {{30, UNLIMITED, 30, 5, 35}, {30, UNLIMITED, 30, 10, 40}, {0, UNLIMITED, 0, 6000, 25}},
       {2, 1, 1}},
      {100,
       {{30, UNLIMITED, 30, 70, 43.333}, {30, UNLIMITED, 30, 70, 43.333}, {0, UNLIMITED, 40, 6000, 13.333}},
       {1, 1, 3}},
      /* a quota limits a share below the level */
      {100, {{10, 15, 10, 50, 15}, {0, 20, 0, 50, 20}, {0, UNLIMITED, 0, 500, 65}}, {1, 1, 1}},
      /* more is guaranteed than the capacity: all guarantees are scaled down equally, and nothing is left for
       * others */
      {50, {{60, UNLIMITED, 0, 60, 30}, {40, UNLIMITED, 0, 40, 20}, {0, UNLIMITED, 0, 10, 0}}, {0, 0, 2}},
      /* the whole demand is within the guarantee: the team doesn't wait for others, whatever their shares */
      {10, {{20, UNLIMITED, 0, 20, 10}, {0, UNLIMITED, 10, 5, 0}, {0, UNLIMITED, 0, 0, 0}}, {0, 3, 2}},
      {0, {{5, UNLIMITED, 0, 5, 0}, {0, UNLIMITED, 0, 5, 0}, {0, UNLIMITED, 0, 0, 0}}, {0, 2, 2}},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkFairShareDemand c[3];
    memcpy(c, cases[i].demands, sizeof c);
    fk_fair_share_divide(c, 3, cases[i].capacity);
    g_test_message("case %u: %.3f %.3f %.3f", i, c[0].share, c[1].share, c[2].share);
    for (guint k = 0; k < 3; k++) {
      g_assert_cmpfloat_with_epsilon(c[k].share, cases[i].demands[k].share, 0.01);
      g_assert_cmpint(fk_fair_share_standing(&c[k]), ==, cases[i].standing[k]);
    }
  }
  g_assert_cmpfloat(fk_fair_share_dominant(10, 0, 100, 0), ==, 10);
  g_assert_cmpfloat(fk_fair_share_dominant(10, 2, 100, 4), ==, 50);
}

/* For random demands: the sum of the shares is within the capacity; no share exceeds the team's demand or
 * quota; no team that gets less than it demands is below its guarantee while another is above its own
 * guarantee; and no capacity is left over while a team demands more. */
static void test_fair_share_properties(void) {
  GRand *rand = g_rand_new_with_seed(11);
  for (guint round = 0; round < 3000; round++) {
    FkFairShareDemand c[6];
    guint n = (guint)g_rand_int_range(rand, 1, 7);
    double scale = pow(10, g_rand_int_range(rand, 0, 9)), capacity = scale * fk_random_uniform(rand, 0, 8),
           sum = 0, wanted = 0;
    for (guint i = 0; i < n; i++) {
      double quota = g_rand_boolean(rand) ? UNLIMITED : scale * fk_random_uniform(rand, 0, 4);
      c[i] = (FkFairShareDemand){g_rand_boolean(rand) ? 0 : scale * fk_random_uniform(rand, 0, 3), quota,
                                 scale * g_rand_double(rand), scale * fk_random_uniform(rand, 0, 5), -1};
    }
    fk_fair_share_divide(c, n, capacity);
    double eps = 1e-6 * scale * 10;
    for (guint i = 0; i < n; i++) {
      double demand = MIN(c[i].used + c[i].wanted, c[i].quota), guarantee_used = MIN(c[i].guarantee, demand);
      g_assert_cmpfloat(c[i].share, >=, 0);
      g_assert_cmpfloat(c[i].share, <=, demand + eps);
      sum += c[i].share;
      wanted += demand;
      for (guint k = 0; k < n && c[i].share < guarantee_used - eps; k++)
        g_assert_cmpfloat(c[k].share, <=, c[k].guarantee + eps);
    }
    g_assert_cmpfloat(sum, <=, capacity + eps);
    double guaranteed = 0;
    for (guint i = 0; i < n; i++)
      guaranteed += MIN(c[i].guarantee, MIN(c[i].used + c[i].wanted, c[i].quota));
    if (guaranteed < capacity)
      g_assert_cmpfloat(sum, >=, MIN(capacity, wanted) - eps * 10);
  }
  g_rand_free(rand);
}

static void test_service_level(void) {
  static const struct {
    const char *description;
    FkServiceLevelJob jobs[2];
    guint ended;
    double share;
    gboolean starved;
  } cases[] = {
      {"no job is expected to be served yet", {{"c", "t", 10, 4, 0, 0, 4, 0, 1}}, 0, 1, FALSE},
      {"no task has started", {{"c", "t", 70, 4, 0, 0, 4, 0, 1}}, 0, 0, TRUE},
      {"no task has started, but the wait is short", {{"c", "t", 50, 4, 0, 0, 4, 0, 1}}, 0, 0, FALSE},
      {"half of a huge array is done or runs",
       {{"c", "t", 300, 20000, 6000, 4000, 10000, 1000, 1}},
       0,
       0.5,
       FALSE},
      {"a little less than half of it is done or runs",
       {{"c", "t", 300, 20000, 6000, 3000, 11000, 750, 1}},
       0,
       0.45,
       TRUE},
      {"jobs that ended count",
       {{"c", "t", 300, 1, 0, 0, 1, 0, 1}, {"c", "t", 300, 1, 0, 0, 1, 0, 1}},
       2,
       0.5,
       FALSE},
      {"all tasks run, though they started late", {{"c", "t", 300, 2, 0, 2, 0, 4, 1}}, 0, 1, FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkServiceLevel *b = fk_service_level_new();
    g_test_message("%s", cases[i].description);
    for (guint k = 0; k < cases[i].ended; k++)
      fk_service_level_job_ended(b, "c", "t", 1);
    for (guint round = 0; round < 2; round++) { /* a second count must not add anything */
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

/* Users may invent class names: the number of stored names is bounded, and known names are still counted. */
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
  /* the load falls: terminated capacity isn't provisioned again, and nothing is retained longer */
  for (guint i = 0; i < 60; i++)
    fk_idle_retention_terminated(&h, 40, now = fk_time_add(now, 1));
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), ==, 1);
  /* capacity is provisioned again within the minute: the more of it, the longer the retention */
  fk_idle_retention_provisioned(&h, 300, now = fk_time_add(now, 20));
  double factor_before = fk_idle_retention_factor(&h, now);
  g_assert_cmpfloat(factor_before, >, 1);
  fk_idle_retention_provisioned(&h, 1000, now);
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), >, factor_before);
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), <=, FK_IDLE_RETENTION_FACTOR_MAX);
  /* capacity that was terminated long ago doesn't count as provisioned again, and the factor decays */
  fk_idle_retention_terminated(&h, 1000, now = fk_time_add(now, 200));
  double factor_decayed = fk_idle_retention_factor(&h, now);
  fk_idle_retention_provisioned(&h, 5000, now = fk_time_add(now, 100));
  g_assert_cmpfloat(fk_idle_retention_factor(&h, now), <=, factor_decayed);
  g_assert_cmpfloat(fk_idle_retention_factor(&h, fk_time_add(now, 1000)), ==, 1);
  fk_idle_retention_clear(&h);
}

static void test_boot_times(void) {
  FkBootTimeModel b;
  fk_boot_time_init(&b);
  /* before any observation: a machine that was just requested is almost certain to join, one that is long
   * overdue isn't */
  g_assert_cmpfloat(fk_boot_time_join_probability(&b, 0, 1.5), >, 0.8);
  g_assert_cmpfloat(fk_boot_time_join_probability(&b, 2.75, 1), >,
                    0.3); /* a machine that takes three times as long is worth waiting for */
  g_assert_cmpfloat(fk_boot_time_join_probability(&b, 3.8, 2), <, 0.1);
  g_assert_cmpfloat_with_epsilon(fk_boot_time_remaining(&b, 0), 1.25, 0.35);
  g_assert_cmpfloat(fk_boot_time_remaining(&b, 1.2), <, fk_boot_time_remaining(&b, 0));
  /* machines take three times as long to boot: one of twice the usual age is now more likely to join, and the
   * expected remaining time grows */
  FkBootTimeModel late = b;
  for (guint i = 0; i < 200; i++)
    fk_boot_time_observe_joined(&late, 3);
  g_assert_cmpfloat(fk_boot_time_join_probability(&late, 2, 1), >, fk_boot_time_join_probability(&b, 2, 1));
  g_assert_cmpfloat(fk_boot_time_remaining(&late, 1), >, 1.5);
  /* many machines never join: a late one is unlikely to */
  FkBootTimeModel never = b;
  for (guint i = 0; i < 200; i++) {
    fk_boot_time_observe_given_up(&never, 3);
    fk_boot_time_observe_joined(&never, 0.8);
  }
  g_assert_cmpfloat(fk_boot_time_join_probability(&never, 1.6, 1), <, 0.25);
  g_assert_cmpfloat(fk_boot_time_join_probability(&never, 0, 1), >, 0.4);
  /* probabilities stay between 0 and 1 at any age, after any history */
  GRand *rand = g_rand_new_with_seed(3);
  for (guint i = 0; i < 2000; i++) {
    double age = fk_random_uniform(rand, 0, 20);
    if (g_rand_boolean(rand))
      fk_boot_time_observe_joined(&b, fk_random_uniform(rand, 0, 8));
    else
      fk_boot_time_observe_given_up(&b, fk_random_uniform(rand, 0, 8));
    double chance = fk_boot_time_join_probability(&b, age, fk_random_uniform(rand, 0, 5));
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
  g_test_add_func("/fault_attribution/fault_attribution_pauses", test_fault_attribution_retry_delays);
  return g_test_run();
}
