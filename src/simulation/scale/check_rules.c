#include "simulation/scale/check_rules.h"
#include "simulation/scale/workload.h"

#include <string.h>

#define BROKEN_MOST 20
#define SILENT_S 90.0 /* every poll fails for so long */
#define CPUS_EPSILON 1e-6

typedef struct {
  FkSpec *spec;
  gboolean accepted, asked_cancel, done, cancelled;
  gint64 cancelled_us, answered_us;
  guint8 *ended;
  guint32 ended_count;
} Job;

typedef struct {
  const FkScalePlan *plan;
  GHashTable *jobs;  /* id -> Job; unknown ids have none */
  GHashTable *on;    /* "job/task" -> machine */
  GHashTable *teams; /* name -> double*: CPUs in use */
  double limit;
  GPtrArray *broken;
} Check;

static void job_free(gpointer p) {
  Job *j = p;
  fk_spec_unref(j->spec);
  g_free(j->ended);
  g_free(j);
}

static void break_rule(Check *c, const char *rule, const FkRunEvent *e, const char *why) {
  if (c->broken->len >= BROKEN_MOST)
    return;
  double at_s = (double)(e->at_us - c->plan->start_us) / 1e6;
  g_ptr_array_add(c->broken, g_strdup_printf("%s: %s/%u at %.1f s: %s", rule, e->job, e->task, at_s, why));
}

static Job *job_of(Check *c, const char *id) {
  Job *j = g_hash_table_lookup(c->jobs, id);
  FkSpec *spec = j ? NULL : fk_scale_job(c->plan, id);
  if (!spec)
    return j;
  j = g_new0(Job, 1);
  j->spec = spec;
  j->ended = g_new0(guint8, spec->tasks);
  g_hash_table_insert(c->jobs, spec->id, j);
  return j;
}

static double *used_by(Check *c, const char *team) {
  double *used = g_hash_table_lookup(c->teams, team);
  if (!used)
    g_hash_table_insert(c->teams, g_strdup(team), used = g_new0(double, 1));
  return used;
}

static gboolean too_late(const Check *c, const Job *j, gint64 at_us) {
  return j->cancelled && at_us > j->cancelled_us + (gint64)(c->plan->cancel_s * 1e6);
}

static void task_began(Check *c, Job *j, const FkRunEvent *e) {
  char *key = g_strdup_printf("%s/%u", e->job, e->task);
  double *used = used_by(c, j->spec->team);
  if (g_hash_table_contains(c->on, key))
    break_rule(c, "ran_twice", e, g_hash_table_lookup(c->on, key));
  if (too_late(c, j, e->at_us))
    break_rule(c, "ran_cancelled", e, "starts");
  *used += j->spec->cpus;
  if (*used > c->limit + CPUS_EPSILON)
    break_rule(c, "quota", e, j->spec->team);
  g_hash_table_insert(c->on, key, g_strdup(e->machine));
}

static void task_left(Check *c, Job *j, const FkRunEvent *e) {
  g_autofree char *key = g_strdup_printf("%s/%u", e->job, e->task);
  g_hash_table_remove(c->on, key);
  *used_by(c, j->spec->team) -= j->spec->cpus;
  if (too_late(c, j, e->at_us))
    break_rule(c, "ran_cancelled", e, "was still there");
  if (e->kind != FK_RUN_EVENT_TASK_DONE || j->ended[e->task])
    return;
  j->ended[e->task] = 1;
  j->ended_count++;
}

static void told_over(Check *c, Job *j, const FkRunEvent *e) {
  gboolean done = e->kind == FK_RUN_EVENT_JOB_DONE;
  if (done ? j->cancelled : j->done)
    break_rule(c, "went_back", e, done ? "cancelled before" : "done before");
  if (done && j->ended_count < j->spec->tasks)
    break_rule(c, "not_done", e, "tasks are missing");
  if (!done && !j->asked_cancel)
    break_rule(c, "went_back", e, "cancelled by nobody");
  j->done |= done;
  if (!done && !j->cancelled)
    j->cancelled_us = e->at_us;
  j->cancelled |= !done;
}

static void told_state(Check *c, Job *j, const FkRunEvent *e) {
  if (j->accepted && e->kind == FK_RUN_EVENT_POLL_NOT_FOUND)
    break_rule(c, "forgotten", e, "404");
  if (j->done || j->cancelled)
    break_rule(c, "went_back", e, "it was over");
  if (j->accepted && (double)(e->at_us - j->answered_us) / 1e6 > SILENT_S)
    break_rule(c, "forgotten", e, "no poll was answered for 90 s");
  j->answered_us = e->at_us;
}

static void take(Check *c, Job *j, const FkRunEvent *e) {
  switch (e->kind) {
  case FK_RUN_EVENT_TASK_STARTED:
    task_began(c, j, e);
    break;
  case FK_RUN_EVENT_TASK_DONE:
  case FK_RUN_EVENT_TASK_LOST:
    task_left(c, j, e);
    break;
  case FK_RUN_EVENT_ACCEPTED:
    j->accepted = TRUE;
    j->answered_us = e->at_us;
    break;
  case FK_RUN_EVENT_CANCEL_REQUESTED:
    j->asked_cancel = TRUE;
    break;
  case FK_RUN_EVENT_JOB_DONE:
  case FK_RUN_EVENT_JOB_CANCELLED:
    told_over(c, j, e);
    break;
  case FK_RUN_EVENT_POLL_ACTIVE:
  case FK_RUN_EVENT_POLL_NOT_FOUND:
    told_state(c, j, e);
    break;
  default:
    break;
  }
}

GPtrArray *fk_scale_check_rules(const FkScalePlan *p, guint region, const GArray *events) {
  Check c = {.plan = p, .limit = fk_scale_team_quota_cpus(p, region)};
  c.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
  c.on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  c.teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  c.broken = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < events->len; i++) {
    const FkRunEvent *e = &g_array_index(events, FkRunEvent, i);
    Job *j = job_of(&c, e->job);
    if (!j || e->task >= j->spec->tasks)
      break_rule(&c, "invented", e, "no such job or task");
    else
      take(&c, j, e);
  }
  g_hash_table_unref(c.jobs);
  g_hash_table_unref(c.on);
  g_hash_table_unref(c.teams);
  return c.broken;
}
