#include "simulation/scale/check_rules.h"

#include <string.h>

#include "simulation/scale/workload.h"

#define VIOLATIONS_MAX 20
#define UNANSWERED_S_MAX 90.0 /* between two answered polls */
#define CPUS_EPSILON 1e-6

typedef struct {
  FkSpec *spec;
  gboolean accepted, cancel_requested, done, cancelled;
  gint64 cancelled_us, last_answer_us;
  guint8 *done_tasks; /* by task number */
  guint32 done_count;
} Job;

typedef struct {
  const FkScalePlan *plan;
  GHashTable *jobs;     /* id -> Job, of the ids that the plan has */
  GHashTable *machines; /* "JOB/TASK" -> machine, of the running tasks */
  GHashTable *teams;    /* name -> double*: CPUs in use */
  double quota_cpus;
  GPtrArray *violations;
} RuleChecker;

static void job_free(gpointer data) {
  Job *job = data;
  fk_spec_unref(job->spec);
  g_free(job->done_tasks);
  g_free(job);
}

static void add_violation(RuleChecker *rule_checker, const char *rule, const FkRunEvent *event,
                          const char *why) {
  if (rule_checker->violations->len >= VIOLATIONS_MAX)
    return;
  double at_s = (double)(event->at_us - rule_checker->plan->start_us) / 1e6;
  g_ptr_array_add(rule_checker->violations,
                  g_strdup_printf("%s: %s/%u at %.1f s: %s", rule, event->job, event->task, at_s, why));
}

/* NULL when the plan has no such job. */
static Job *find_job(RuleChecker *rule_checker, const char *id) {
  Job *job = g_hash_table_lookup(rule_checker->jobs, id);
  FkSpec *spec = job ? NULL : fk_scale_job(rule_checker->plan, id);
  if (!spec)
    return job;
  job = g_new0(Job, 1);
  job->spec = spec;
  job->done_tasks = g_new0(guint8, spec->tasks);
  g_hash_table_insert(rule_checker->jobs, spec->id, job);
  return job;
}

static double *team_cpus(RuleChecker *rule_checker, const char *team) {
  double *used = g_hash_table_lookup(rule_checker->teams, team);
  if (!used)
    g_hash_table_insert(rule_checker->teams, g_strdup(team), used = g_new0(double, 1));
  return used;
}

/* Tasks of a cancelled job may be there for a bounded time after the cancellation was reported. */
static gboolean is_after_cancellation(const RuleChecker *rule_checker, const Job *job, gint64 at_us) {
  return job->cancelled && at_us > job->cancelled_us + (gint64)(rule_checker->plan->cancel_s * 1e6);
}

static void on_task_started(RuleChecker *rule_checker, Job *job, const FkRunEvent *event) {
  char *key = g_strdup_printf("%s/%u", event->job, event->task);
  double *used = team_cpus(rule_checker, job->spec->team);
  if (g_hash_table_contains(rule_checker->machines, key))
    add_violation(rule_checker, "ran_twice", event, g_hash_table_lookup(rule_checker->machines, key));
  if (is_after_cancellation(rule_checker, job, event->at_us))
    add_violation(rule_checker, "ran_cancelled", event, "starts");
  *used += job->spec->cpus;
  if (*used > rule_checker->quota_cpus + CPUS_EPSILON)
    add_violation(rule_checker, "quota", event, job->spec->team);
  g_hash_table_insert(rule_checker->machines, key, g_strdup(event->machine));
}

static void on_task_left(RuleChecker *rule_checker, Job *job, const FkRunEvent *event) {
  g_autofree char *key = g_strdup_printf("%s/%u", event->job, event->task);
  g_hash_table_remove(rule_checker->machines, key);
  *team_cpus(rule_checker, job->spec->team) -= job->spec->cpus;
  if (is_after_cancellation(rule_checker, job, event->at_us))
    add_violation(rule_checker, "ran_cancelled", event, "was still there");
  if (event->kind != FK_RUN_EVENT_TASK_DONE || job->done_tasks[event->task])
    return;
  job->done_tasks[event->task] = 1;
  job->done_count++;
}

static void on_job_over(RuleChecker *rule_checker, Job *job, const FkRunEvent *event) {
  gboolean done = event->kind == FK_RUN_EVENT_JOB_DONE;
  if (done ? job->cancelled : job->done)
    add_violation(rule_checker, "went_back", event, done ? "cancelled before" : "done before");
  if (done && job->done_count < job->spec->tasks)
    add_violation(rule_checker, "not_done", event, "tasks are missing");
  if (!done && !job->cancel_requested)
    add_violation(rule_checker, "went_back", event, "cancelled by nobody");
  job->done |= done;
  if (!done && !job->cancelled)
    job->cancelled_us = event->at_us;
  job->cancelled |= !done;
}

static void on_poll(RuleChecker *rule_checker, Job *job, const FkRunEvent *event) {
  if (job->accepted && event->kind == FK_RUN_EVENT_POLL_NOT_FOUND)
    add_violation(rule_checker, "forgotten", event, "404");
  if (job->done || job->cancelled)
    add_violation(rule_checker, "went_back", event, "it was over");
  if (job->accepted && (double)(event->at_us - job->last_answer_us) / 1e6 > UNANSWERED_S_MAX)
    add_violation(rule_checker, "forgotten", event, "no poll was answered for 90 s");
  job->last_answer_us = event->at_us;
}

static void apply_event(RuleChecker *rule_checker, Job *job, const FkRunEvent *event) {
  switch (event->kind) {
  case FK_RUN_EVENT_TASK_STARTED:
    on_task_started(rule_checker, job, event);
    break;
  case FK_RUN_EVENT_TASK_DONE:
  case FK_RUN_EVENT_TASK_LOST:
    on_task_left(rule_checker, job, event);
    break;
  case FK_RUN_EVENT_ACCEPTED:
    job->accepted = TRUE;
    job->last_answer_us = event->at_us;
    break;
  case FK_RUN_EVENT_CANCEL_REQUESTED:
    job->cancel_requested = TRUE;
    break;
  case FK_RUN_EVENT_JOB_DONE:
  case FK_RUN_EVENT_JOB_CANCELLED:
    on_job_over(rule_checker, job, event);
    break;
  case FK_RUN_EVENT_POLL_ACTIVE:
  case FK_RUN_EVENT_POLL_NOT_FOUND:
    on_poll(rule_checker, job, event);
    break;
  case FK_RUN_EVENT_SUBMITTED:
  case FK_RUN_EVENT_REJECTED:
    break;
  }
}

GPtrArray *fk_scale_check_rules(const FkScalePlan *plan, guint region, const GArray *events) {
  RuleChecker rule_checker = {.plan = plan, .quota_cpus = fk_scale_team_quota_cpus(plan, region)};
  rule_checker.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
  rule_checker.machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  rule_checker.teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  rule_checker.violations = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < events->len; i++) {
    const FkRunEvent *event = &g_array_index(events, FkRunEvent, i);
    Job *job = find_job(&rule_checker, event->job);
    if (!job || event->task >= job->spec->tasks)
      add_violation(&rule_checker, "invented", event, "no such job or task");
    else
      apply_event(&rule_checker, job, event);
  }
  g_hash_table_unref(rule_checker.jobs);
  g_hash_table_unref(rule_checker.machines);
  g_hash_table_unref(rule_checker.teams);
  return rule_checker.violations;
}
