/* The users: they submit, poll and cancel jobs, and check each answer against what truly happened. */
#include <string.h>

#include "simulation/simulation_internal.h"

#define UNKNOWN_JOB_ID "run-999999"
#define QUOTA_EPSILON 1e-6
#define STEP_MIN_S 0.5 /* between two queries of a user */
#define STEP_MAX_S 3.0
#define DEPENDENCY_RETRY_MIN_S 0.01 /* until a job that names others can be submitted */
#define DEPENDENCY_RETRY_MAX_S 0.3
#define RESUBMIT_CHANCE 0.05
#define UNKNOWN_JOB_CHANCE 0.02
#define CANCEL_CHANCE 0.006
#define CANCEL_SERVICE_CHANCE 0.1
#define CANCEL_BURST_CHANCE 0.33
#define CANCEL_FAILING_AFTER_US (60 * G_USEC_PER_SEC)
#define BURST_QUERIES 3 /* to each controller */
#define BURST_MIN_S 0.001
#define BURST_MAX_S 0.05
#define BURST_CANCEL_CHANCE 0.15

/* ------------------------------------------------------------------ queries */

static void send_query_to(Sim *sim, SimJob *job, SimQueryKind kind, int controller) {
  SimController *c = &sim->controllers[controller];
  if (!c->core || sim_zones_partitioned(sim, sim_controller_zone(controller), NULL) ||
      sim->now < c->paused_until)
    return;
  const FkRequestId id = {++sim->next_request};
  SimRequest *request = g_new0(SimRequest, 1);
  *request = (SimRequest){.user = TRUE, .sent = {sim->now}, .job = job, .kind = kind};
  g_hash_table_insert(sim->requests, g_memdup2(&id.n, sizeof id.n), request);
  FkTime now = sim_controller_now(sim, controller);
  switch (kind) {
  case SIM_QUERY_SUBMIT:
    c->version->submission_received(c->core, now, id, sim_job_spec(job));
    break;
  case SIM_QUERY_POLL:
    c->version->poll_received(c->core, now, id, job->id);
    break;
  case SIM_QUERY_CANCEL:
    c->version->cancellation_received(c->core, now, id, job->id);
    break;
  case SIM_QUERY_POLL_UNKNOWN:
    c->version->poll_received(c->core, now, id, UNKNOWN_JOB_ID);
  }
  sim_dispatch_outputs(sim, controller);
}

void sim_user_query(Sim *sim, SimJob *job, SimQueryKind kind) {
  send_query_to(sim, job, kind, g_rand_int_range(sim->rand, 0, sim->controller_count));
}

void sim_user_cancel(Sim *sim, gpointer data) {
  SimJob *job = data;
  if (!job->accepted || job->cancel_requested)
    return;
  job->cancel_requested = TRUE;
  job->cancel_requested_at = sim->now;
  sim_user_query(sim, job, SIM_QUERY_CANCEL);
}

typedef struct {
  SimJob *job;
  SimQueryKind kind;
  int controller;
} BurstQuery;

static void send_burst_query(Sim *sim, gpointer data) {
  g_autofree BurstQuery *query = data;
  if (query->kind == SIM_QUERY_CANCEL)
    sim_user_cancel(sim, query->job);
  sim->result.burst_queries++;
  send_query_to(sim, query->job, query->kind, query->controller);
}

static SimQueryKind burst_query_kind(guint index, gboolean cancels) {
  if (index == 1)
    return SIM_QUERY_SUBMIT;
  return index == 2 && cancels ? SIM_QUERY_CANCEL : SIM_QUERY_POLL;
}

/* Right after an answer with news the user asks all controllers, within milliseconds, and submits once more.
 */
static void query_burst(Sim *sim, SimJob *job) {
  if (sim->now >= sim->query_burst_until)
    return;
  gboolean cancels =
      job->accepted && !job->large && sim->plan.cancels && sim_chance(sim, BURST_CANCEL_CHANCE);
  for (int controller = 0; controller < sim->controller_count; controller++)
    for (guint i = 0; i < BURST_QUERIES; i++) {
      BurstQuery *query = g_new0(BurstQuery, 1);
      *query = (BurstQuery){job, burst_query_kind(i, cancels), controller};
      sim_schedule(sim, sim_uniform(sim, BURST_MIN_S, BURST_MAX_S), send_burst_query, query);
    }
}

/* ------------------------------------------------------------------ answers */

/* When the user of a job that it depends on, directly or through others, was first told that it is cancelled;
 * G_MAXINT64: none was. */
static gint64 ancestor_cancelled_at(const SimJob *job) {
  gint64 first = G_MAXINT64;
  for (guint i = 0; job->dependencies && i < job->dependencies->len; i++) {
    const SimJob *dependency = job->dependencies->pdata[i];
    if (dependency->reported_cancelled)
      first = MIN(first, dependency->cancelled_at);
    gint64 further = ancestor_cancelled_at(dependency); /* MIN evaluates its arguments twice */
    first = MIN(first, further);
  }
  return first;
}

/* The team's quota holds what the job needs at once: a task of an array, all tasks of another job. */
static gboolean fits_quota(const Sim *sim, const SimJob *job) {
  const FkTeam *team = fk_settings_find_team(sim->settings, job->team);
  guint32 tasks_at_once = job->shape == FK_SHAPE_ARRAY ? 1 : job->tasks;
  return team->max_cpus <= 0 || tasks_at_once * job->cpus <= team->max_cpus + QUOTA_EPSILON;
}

static gboolean is_success(const FkOutput *answer) { return answer->status == 200 || answer->status == 201; }

/* A job that can never run must be refused. */
static void check_invalid_answer(Sim *sim, const SimJob *job, const FkOutput *answer) {
  sim->result.invalid_answered += answer->status == 422;
  if (is_success(answer))
    sim_violation(sim, "accepted, and can never run", job->id);
  else if (answer->status != 422 && answer->status != 503 && answer->status != 429)
    sim_violation(sim, "odd answer", job->id);
}

/* What is accepted stays known, and what could run isn't refused. */
static void check_status(Sim *sim, const SimRequest *request, const FkOutput *answer) {
  const SimJob *job = request->job;
  if (answer->status == 404 && job->accepted && request->sent.us > job->accepted_at)
    sim_violation(sim, "forgotten", job->id);
  if (request->kind == SIM_QUERY_SUBMIT &&
      (answer->status == 400 || (answer->status == 422 && (job->accepted || fits_quota(sim, job)))))
    sim_violation(sim, job->accepted ? "forgotten" : "refused, and could run", job->id);
}

static void note_accepted(Sim *sim, SimJob *job) {
  job->accepted = TRUE;
  job->accepted_at = sim->now;
  sim->result.accepted++;
  query_burst(sim, job);
}

static void note_done(Sim *sim, SimJob *job) {
  for (guint i = 0; i < job->tasks; i++)
    if (!job->finished[i])
      sim_violation(sim, "not_done", job->id);
  if (!job->reported_done) {
    job->done_at = sim->now;
    query_burst(sim, job);
  }
  job->reported_done = TRUE;
}

static void note_cancelled(Sim *sim, SimJob *job) {
  if (!sim_job_cancel_requested(job))
    sim_violation(sim, "went_back", job->id);
  if (!job->reported_cancelled) {
    g_debug("WORLD %.3f the user of %s is told that it is cancelled", sim->now / 1e6, job->id);
    job->cancelled_at = sim->now;
    double waited_s = (double)(sim->now - job->cancel_requested_at) / 1e6;
    sim->result.cancel_reported_max_s = MAX(sim->result.cancel_reported_max_s, waited_s);
    query_burst(sim, job);
  }
  job->reported_cancelled = TRUE;
}

/* A job is cancelled with those that it depends on, within the deadline after their users were told. */
static void check_cancelled_with_dependencies(Sim *sim, const SimRequest *request, const FkOutput *answer) {
  const SimJob *job = request->job;
  gint64 cancelled_at = job->dependencies ? ancestor_cancelled_at(job) : G_MAXINT64;
  gboolean alive = answer->phase == FK_PHASE_QUEUED || answer->phase == FK_PHASE_RUNNING;
  if (alive && cancelled_at != G_MAXINT64 &&
      request->sent.us > cancelled_at + (gint64)(sim->settings->cancellation_deadline_s * 1e6))
    sim_violation(sim, "orphaned", job->id);
}

void sim_user_answered(Sim *sim, const SimRequest *request, const FkOutput *answer) {
  SimJob *job = request->job;
  if (job->impossible) {
    check_invalid_answer(sim, job, answer);
    return;
  }
  if (request->kind == SIM_QUERY_POLL_UNKNOWN) {
    if (answer->status == 200)
      sim_violation(sim, "invented", answer->job);
    return;
  }
  check_status(sim, request, answer);
  if (!is_success(answer))
    return;
  job->answered_at = sim->now;
  /* the answer to a query that was sent before the user was told may still be the older one */
  gboolean knew_done = job->reported_done && request->sent.us > job->done_at;
  gboolean knew_cancelled = job->reported_cancelled && request->sent.us > job->cancelled_at;
  if (request->kind == SIM_QUERY_SUBMIT && !job->accepted)
    note_accepted(sim, job);
  if (answer->phase == FK_PHASE_DONE)
    note_done(sim, job);
  if (answer->phase == FK_PHASE_CANCELLED)
    note_cancelled(sim, job);
  check_cancelled_with_dependencies(sim, request, answer);
  if ((knew_done && answer->phase != FK_PHASE_DONE) ||
      (knew_cancelled && answer->phase != FK_PHASE_CANCELLED))
    sim_violation(sim, "went_back", job->id);
}

/* ------------------------------------------------------------------ behaviour */

/* A user names only jobs that were accepted; some wait until those are over. */
static gboolean can_be_submitted(const SimJob *job) {
  for (guint i = 0; job->dependencies && i < job->dependencies->len; i++) {
    const SimJob *dependency = job->dependencies->pdata[i];
    gboolean over = dependency->reported_done || dependency->reported_cancelled;
    if (!dependency->accepted || (job->submit_after_dependencies && !over))
      return FALSE;
  }
  return TRUE;
}

static void send_usual_query(Sim *sim, SimJob *job) {
  if (!job->accepted)
    sim_user_query(sim, job, SIM_QUERY_SUBMIT);
  else if (job->cancel_requested && !job->reported_cancelled && !job->reported_done)
    sim_user_query(sim, job, SIM_QUERY_CANCEL);
  else
    sim_user_query(sim, job, sim_chance(sim, RESUBMIT_CHANCE) ? SIM_QUERY_SUBMIT : SIM_QUERY_POLL);
}

static double cancel_chance(const Sim *sim, const SimJob *job) {
  if (sim->now < sim->cancel_burst_until)
    return CANCEL_BURST_CHANCE;
  return job->shape == FK_SHAPE_SERVICE ? CANCEL_SERVICE_CHANCE : CANCEL_CHANCE;
}

static void maybe_cancel(Sim *sim, SimJob *job) {
  if (job->accepted && sim->plan.cancels && !job->large && !job->reported_done && !job->cancel_requested &&
      sim_chance(sim, cancel_chance(sim, job)))
    sim_user_cancel(sim, job);
  if (job->accepted && job->always_fails && !job->cancel_requested &&
      sim->now > job->accepted_at + CANCEL_FAILING_AFTER_US)
    sim_user_cancel(sim, job);
}

void sim_user_step(Sim *sim, gpointer data) {
  SimJob *job = data;
  if (sim->plan.stop_polling_when_final && (job->reported_done || job->reported_cancelled))
    return;
  if (!job->accepted && !can_be_submitted(job)) {
    sim_schedule(sim, sim_uniform(sim, DEPENDENCY_RETRY_MIN_S, DEPENDENCY_RETRY_MAX_S), sim_user_step, job);
    return;
  }
  send_usual_query(sim, job);
  maybe_cancel(sim, job);
  if (sim_chance(sim, UNKNOWN_JOB_CHANCE))
    sim_user_query(sim, job, SIM_QUERY_POLL_UNKNOWN);
  sim_schedule(sim, sim_uniform(sim, STEP_MIN_S, STEP_MAX_S), sim_user_step, job);
}

void sim_user_submit_only(Sim *sim, gpointer data) {
  SimJob *job = data;
  if (job->accepted)
    return;
  sim_user_query(sim, job, SIM_QUERY_SUBMIT);
  sim_schedule(sim, sim_uniform(sim, STEP_MIN_S, STEP_MAX_S), sim_user_submit_only, job);
}
