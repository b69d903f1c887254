/* The users: what they submit, ask and are told, held against the rules. */
#include <string.h>

#include "simulation/simulation_internal.h"

SimJob *sim_job_find(Sim *m, const char *id) { return g_hash_table_lookup(m->jobs_by_id, id); }

void sim_job_free(gpointer p) {
  SimJob *j = p;
  g_free(j->id);
  g_free(j->team);
  g_free(j->zone);
  g_free(j->finished);
  if (j->dependencies)
    g_ptr_array_unref(j->dependencies);
  g_free(j);
}

enum { QUERY_SUBMIT, QUERY_POLL, QUERY_CANCEL, QUERY_POLL_UNKNOWN };

static FkSpec *job_spec(const SimJob *j) {
  FkSpec *s = fk_spec_new();
  s->id = g_strdup(j->id);
  s->class_name = g_strdup(j->class_name);
  s->team = g_strdup(j->team);
  s->shape = j->shape;
  s->priority = j->rank;
  s->tasks = j->tasks;
  s->cpus = j->cpus;
  s->mem_gb = 2;
  s->image = g_strdup("img");
  s->image_gb = 1;
  s->zone = g_strdup(j->zone);
  s->one_zone = j->one_zone;
  s->spread = j->spread;
  s->spot = j->spot;
  s->estimate_s = j->shape == FK_SHAPE_SERVICE ? 0 : j->run_s;
  if (j->dependencies || j->unknown_dependency) {
    g_autoptr(GStrvBuilder) b = g_strv_builder_new();
    for (guint i = 0; j->dependencies && i < j->dependencies->len; i++)
      g_strv_builder_add(b, ((SimJob *)j->dependencies->pdata[i])->id);
    if (j->unknown_dependency)
      g_strv_builder_add(b, j->unknown_dependency);
    s->dependencies = g_strv_builder_end(b);
  }
  return s;
}

gboolean sim_job_dependencies_done(const SimJob *j) {
  for (guint i = 0; j->dependencies && i < j->dependencies->len; i++) {
    const SimJob *d = j->dependencies->pdata[i];
    if (memchr(d->finished, 0, d->tasks))
      return FALSE;
  }
  return TRUE;
}

/* The first moment at which the user of a job that it needs, directly or through others, was told that it is
 * cancelled; G_MAXINT64: none was. */
static gint64 ancestor_cancelled_at(const SimJob *j) {
  gint64 first = G_MAXINT64;
  for (guint i = 0; j->dependencies && i < j->dependencies->len; i++) {
    const SimJob *d = j->dependencies->pdata[i];
    if (d->reported_cancelled)
      first = MIN(first, d->cancelled_at);
    gint64 further = ancestor_cancelled_at(d); /* MIN evaluates its arguments twice */
    first = MIN(first, further);
  }
  return first;
}

gboolean sim_job_cancel_requested(const SimJob *j) {
  if (j->cancel_requested)
    return TRUE;
  for (guint i = 0; j->dependencies && i < j->dependencies->len; i++)
    if (sim_job_cancel_requested(j->dependencies->pdata[i]))
      return TRUE;
  return FALSE;
}

static void send_query_to(Sim *m, SimJob *j, int kind, int i) {
  SimController *c = &m->controllers[i];
  if (!c->core || sim_zones_partitioned(m, sim_controller_zone(i), NULL) || m->now < c->paused_until)
    return;
  guint64 id = ++m->next_req;
  SimRequest *r = g_new0(SimRequest, 1);
  *r = (SimRequest){1, NULL, {m->now}, 0, 0, j, kind};
  g_hash_table_insert(m->requests, g_memdup2(&id, sizeof id), r);
  FkTime now = sim_controller_now(m, i);
  if (kind == QUERY_SUBMIT)
    c->version->submission_received(c->core, now, (FkRequestId){id}, job_spec(j));
  else if (kind == QUERY_POLL)
    c->version->poll_received(c->core, now, (FkRequestId){id}, j->id);
  else if (kind == QUERY_CANCEL)
    c->version->cancellation_received(c->core, now, (FkRequestId){id}, j->id);
  else
    c->version->poll_received(c->core, now, (FkRequestId){id}, "run-999999");
  sim_dispatch_outputs(m, i);
}

static void send_query(Sim *m, SimJob *j, int kind) {
  send_query_to(m, j, kind, g_rand_int_range(m->rand, 0, m->controller_count));
}

typedef struct {
  SimJob *job;
  int kind, ctl;
} BurstQuery;

static void send_burst_query(Sim *m, gpointer p) {
  BurstQuery *l = p;
  if (l->kind == QUERY_CANCEL)
    sim_user_cancel(m, l->job);
  m->result.burst_queries++;
  send_query_to(m, l->job, l->kind, l->ctl);
  g_free(l);
}

/* Just after something was told its user asks everywhere, within milliseconds, and submits it once more. */
static void query_burst(Sim *m, SimJob *j) {
  if (m->now >= m->query_burst_until)
    return;
  gboolean cancels = j->accepted && !j->large && m->plan.cancels && sim_chance(m, 0.15);
  for (int i = 0; i < m->controller_count; i++)
    for (guint k = 0; k < 3; k++) {
      BurstQuery *l = g_new0(BurstQuery, 1);
      *l = (BurstQuery){j, k == 1 ? QUERY_SUBMIT : k == 2 && cancels ? QUERY_CANCEL : QUERY_POLL, i};
      sim_schedule(m, sim_uniform(m, 0.001, 0.05), send_burst_query, l);
    }
}

/* Its team's limit holds what it needs at once: a task of an array, all tasks of another job. */
static gboolean within_limit(const Sim *m, const SimJob *j) {
  const FkTeam *t = fk_settings_find_team(m->settings, j->team);
  return t->max_cpus <= 0 || (j->shape == FK_SHAPE_ARRAY ? 1 : j->tasks) * j->cpus <= t->max_cpus + 1e-6;
}

void sim_user_answered(Sim *m, const SimRequest *r, const FkOutput *o) {
  SimJob *j = r->job;
  if (j->impossible) {
    m->result.invalid_answered += o->status == 422;
    if (o->status == 200 || o->status == 201)
      sim_violation(m, "accepted, and can never run", j->id);
    else if (o->status != 422 && o->status != 503 && o->status != 429)
      sim_violation(m, "odd answer", j->id);
    return;
  }
  if (r->kind == QUERY_POLL_UNKNOWN) {
    if (o->status == 200)
      sim_violation(m, "invented", o->job);
    return;
  }
  if (o->status == 404 && j->accepted && r->sent.us > j->accepted_at)
    sim_violation(m, "forgotten", j->id);
  if (r->kind == QUERY_SUBMIT &&
      (o->status == 400 || (o->status == 422 && (j->accepted || within_limit(m, j)))))
    sim_violation(m, j->accepted ? "forgotten" : "refused, and could run", j->id);
  if (o->status != 200 && o->status != 201)
    return;
  j->answered_at = m->now;
  gboolean told_done = j->reported_done && r->sent.us > j->done_at;
  gboolean told_cancelled = j->reported_cancelled && r->sent.us > j->cancelled_at;
  if (r->kind == QUERY_SUBMIT && !j->accepted) {
    j->accepted = TRUE;
    j->accepted_at = m->now;
    m->result.accepted++;
    query_burst(m, j);
  }
  if (o->phase == FK_PHASE_DONE) {
    for (guint i = 0; i < j->tasks; i++)
      if (!j->finished[i])
        sim_violation(m, "not_done", j->id);
    if (!j->reported_done) {
      j->done_at = m->now;
      query_burst(m, j);
    }
    j->reported_done = TRUE;
  }
  if (o->phase == FK_PHASE_CANCELLED) {
    if (!sim_job_cancel_requested(j))
      sim_violation(m, "went_back", j->id);
    if (!j->reported_cancelled) {
      g_debug("WORLD %.3f the user of %s is told that it is cancelled", m->now / 1e6, j->id);
      j->cancelled_at = m->now;
      m->result.cancel_reported_max_s =
          MAX(m->result.cancel_reported_max_s, (double)(m->now - j->cancel_requested_at) / 1e6);
      query_burst(m, j);
    }
    j->reported_cancelled = TRUE;
  } /* withdrawn with a job that it needs, within cancel_s of that one's user being told */
  gint64 told = j->dependencies ? ancestor_cancelled_at(j) : G_MAXINT64;
  if (told != G_MAXINT64 && (o->phase == FK_PHASE_QUEUED || o->phase == FK_PHASE_RUNNING) &&
      r->sent.us > told + (gint64)(m->settings->cancellation_deadline_s * 1e6))
    sim_violation(m, "orphaned", j->id);
  /* an answer to a question asked before the user was told may still be the older one */
  if ((told_done && o->phase != FK_PHASE_DONE) || (told_cancelled && o->phase != FK_PHASE_CANCELLED))
    sim_violation(m, "went_back", j->id);
}

void sim_user_cancel(Sim *m, gpointer p) {
  SimJob *j = p;
  if (!j->accepted || j->cancel_requested)
    return;
  j->cancel_requested = TRUE;
  j->cancel_requested_at = m->now;
  send_query(m, j, QUERY_CANCEL);
}

/* A user names only what was accepted; some wait until it is over. */
static gboolean dependencies_accepted(const SimJob *j) {
  for (guint i = 0; j->dependencies && i < j->dependencies->len; i++) {
    const SimJob *d = j->dependencies->pdata[i];
    if (!d->accepted || (j->submit_after_dependencies && !d->reported_done && !d->reported_cancelled))
      return FALSE;
  }
  return TRUE;
}

static void user_step(Sim *m, gpointer p) {
  SimJob *j = p;
  if (m->plan.stop_polling_when_final && (j->reported_done || j->reported_cancelled))
    return;
  if (!j->accepted && !dependencies_accepted(j)) {
    sim_schedule(m, sim_uniform(m, 0.01, 0.3), user_step, j);
    return;
  }
  if (!j->accepted)
    send_query(m, j, QUERY_SUBMIT);
  else if (j->cancel_requested && !j->reported_cancelled && !j->reported_done)
    send_query(m, j, QUERY_CANCEL);
  else
    send_query(m, j, sim_chance(m, 0.05) ? QUERY_SUBMIT : QUERY_POLL);
  if (j->accepted && m->plan.cancels && !j->large && !j->reported_done && !j->cancel_requested &&
      sim_chance(m, m->now < m->cancel_burst_until ? 0.33
                    : j->shape == FK_SHAPE_SERVICE ? 0.1
                                                   : 0.006)) {
    sim_user_cancel(m, j);
  }
  if (j->accepted && j->always_fails && !j->cancel_requested && m->now > j->accepted_at + 60000000) {
    sim_user_cancel(m, j);
  }
  if (sim_chance(m, 0.02))
    send_query(m, j, QUERY_POLL_UNKNOWN);
  sim_schedule(m, sim_uniform(m, 0.5, 3), user_step, j);
}

/* A service of one task, alone in being asked for: its user comes again until it is accepted, then no more.
 */
static void service_step(Sim *m, gpointer p) {
  SimJob *j = p;
  if (j->accepted)
    return;
  send_query(m, j, QUERY_SUBMIT);
  sim_schedule(m, sim_uniform(m, 0.5, 3), service_step, j);
}

static SimJob *new_job(Sim *m) {
  SimJob *j = g_new0(SimJob, 1);
  j->id = g_strdup_printf("run-%06u", m->result.submitted++);
  g_ptr_array_add(m->jobs, j);
  g_hash_table_insert(m->jobs_by_id, j->id, j);
  return j;
}

void sim_submit_services(Sim *m) {
  for (guint i = 0; i < m->plan.services; i++) {
    SimJob *j = new_job(m);
    j->team = g_strdup(i % 2 ? "red" : "blue");
    j->class_name = "live";
    j->rank = FK_JOB_PRIORITY_HIGH;
    j->shape = FK_SHAPE_SERVICE;
    j->tasks = 1;
    j->cpus = 8; /* a machine each */
    j->finished = g_new0(guint8, 1);
    sim_schedule(m, sim_uniform(m, 1, 0.6 * m->plan.loss_at_s), service_step, j);
  }
}

void sim_submit_jobs(Sim *m, gpointer p) {
  SimJob *j = new_job(m);
  j->team = g_strdup(sim_chance(m, 0.5) ? "red" : "blue");
  j->shape = sim_chance(m, 0.15)                   ? FK_SHAPE_SERVICE
             : m->plan.gangs && sim_chance(m, 0.2) ? FK_SHAPE_GANG
                                                   : FK_SHAPE_ARRAY;
  j->tasks = (guint32)(j->shape == FK_SHAPE_ARRAY ? g_rand_int_range(m->rand, 1, sim_chance(m, 0.1) ? 40 : 6)
                                                  : g_rand_int_range(m->rand, 1, 4));
  j->cpus = sim_chance(m, 0.5) ? 2 : 4;
  j->spot = j->shape != FK_SHAPE_SERVICE && sim_chance(m, 0.7);
  j->zone = sim_chance(m, 0.1) ? g_strdup("south") : NULL;
  j->one_zone = sim_chance(m, 0.15);
  j->spread = !j->one_zone && !j->zone && sim_chance(m, 0.1);
  j->run_s = m->plan.run_s > 0 ? m->plan.run_s : sim_uniform(m, 1, 15);
  j->rank = j->shape == FK_SHAPE_SERVICE ? FK_JOB_PRIORITY_HIGH : FK_JOB_PRIORITY_NORMAL;
  j->class_name = j->shape == FK_SHAPE_SERVICE ? "live" : j->shape == FK_SHAPE_GANG ? "gangs" : "arrays";
  j->always_fails = j->shape == FK_SHAPE_ARRAY && m->plan.failing_job_chance > 0 &&
                    sim_chance(m, m->plan.failing_job_chance);
  j->finished = g_new0(guint8, j->tasks);
  user_step(m, j);
  if (m->now < (gint64)((m->plan.submit_until_s > 0 ? m->plan.submit_until_s : m->plan.seconds * 0.6) * 1e6))
    sim_schedule(m, sim_uniform(m, 0.5, 6) / (m->plan.scale > 0 ? m->plan.scale : 1), sim_submit_jobs, NULL);
}

/* Jobs that are hard to place: a whole machine for each task, in one zone, spread over both, a gang, one with
 * many tasks. Small ones fill every gap beside them. */
void sim_submit_large_jobs(Sim *m, gpointer p) {
  static const struct {
    FkShape shape;
    guint32 tasks;
    double cpus;
    gboolean one_zone, spread, in_zone;
    const char *class_name;
  } kinds[] = {{FK_SHAPE_ARRAY, 6, 8, FALSE, FALSE, FALSE, "whole"},
               {FK_SHAPE_ARRAY, 4, 8, FALSE, FALSE, TRUE, "zoned"},
               {FK_SHAPE_ARRAY, 4, 8, TRUE, FALSE, FALSE, "together"},
               {FK_SHAPE_ARRAY, 4, 8, FALSE, TRUE, FALSE, "spread"},
               {FK_SHAPE_GANG, 3, 8, FALSE, FALSE, FALSE, "gangs"},
               {FK_SHAPE_ARRAY, 120, 4, FALSE, FALSE, FALSE, "arrays"}};
  for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
    SimJob *j = new_job(m);
    j->team = g_strdup(i % 2 ? "red" : "blue");
    j->shape = kinds[i].shape;
    j->tasks = kinds[i].tasks;
    j->cpus = kinds[i].cpus;
    j->one_zone = kinds[i].one_zone;
    j->spread = kinds[i].spread;
    j->zone = kinds[i].in_zone ? g_strdup("south") : NULL;
    j->class_name = kinds[i].class_name;
    j->rank = FK_JOB_PRIORITY_NORMAL;
    j->spot = TRUE;
    j->large = TRUE;
    j->run_s = 10;
    j->finished = g_new0(guint8, j->tasks);
    user_step(m, j);
  }
}

#define INVALID_REQUEST_INTERVAL_S 0.5

void sim_submit_invalid_requests(Sim *m, gpointer p) {
  if (m->now >= m->invalid_requests_until)
    return;
  SimJob *j = m->jobs->len ? m->jobs->pdata[g_rand_int_range(m->rand, 0, (gint)m->jobs->len)] : NULL;
  if (j && j->accepted && !j->reported_done)
    send_query(m, j, QUERY_SUBMIT);
  else if (j && j->reported_done)
    send_query(m, j, QUERY_CANCEL); /* of what is done: it stays done */
  j = new_job(m);
  guint kind = (guint)g_rand_int_range(
      m->rand, 0, m->plan.pipelines_per_s > 0 && m->now >= (gint64)(m->plan.pipelines_from_s * 1e6) ? 5 : 4);
  j->impossible = TRUE;
  j->team = g_strdup(kind == 1 ? "nobody" : "red");
  j->class_name = "odd";
  j->rank = FK_JOB_PRIORITY_NORMAL;
  j->shape = kind == 3 ? FK_SHAPE_SERVICE : FK_SHAPE_ARRAY;
  j->tasks = kind == 3 ? 100000 : 1;
  j->cpus = kind == 0 ? 8.5 : 1;
  j->zone = kind == 2 ? g_strdup("nowhere") : NULL;
  j->unknown_dependency = kind == 4 ? "run-999998" : NULL;
  j->finished = g_new0(guint8, j->tasks);
  send_query(m, j, QUERY_SUBMIT);
  sim_schedule(m, INVALID_REQUEST_INTERVAL_S, sim_submit_invalid_requests, NULL);
}

/* One-task jobs, so many a second for as long as jobs are submitted; a quarter of them is cancelled, at any
 * time or at the moment of the end. */
void sim_submit_small_jobs(Sim *m, gpointer p) {
  SimJob *j = new_job(m);
  j->team = g_strdup(sim_chance(m, 0.5) ? "red" : "blue");
  j->class_name = "tiny";
  j->rank = FK_JOB_PRIORITY_NORMAL;
  j->shape = FK_SHAPE_ARRAY;
  j->tasks = 1;
  j->cpus = 0.5;
  j->spot = TRUE;
  j->run_s = sim_uniform(m, 1, 15);
  j->finished = g_new0(guint8, 1);
  user_step(m, j);
  if (m->plan.cancels && sim_chance(m, 0.25))
    sim_schedule(m, sim_uniform(m, 0.05, 1.5 * j->run_s), sim_user_cancel, j);
  if (m->now < (gint64)((m->plan.submit_until_s > 0 ? m->plan.submit_until_s : m->plan.seconds * 0.6) * 1e6))
    sim_schedule(m, 1 / m->plan.small_jobs_per_s, sim_submit_small_jobs, NULL);
}

static SimJob *new_stage(Sim *m, const char *class_name, guint32 tasks, double run_s, FkJobPriority rank,
                         GPtrArray *needs) {
  SimJob *j = new_job(m);
  j->team = g_strdup(sim_chance(m, 0.5) ? "red" : "blue");
  j->class_name = class_name;
  j->rank = rank;
  j->shape = FK_SHAPE_ARRAY;
  j->tasks = tasks;
  j->cpus = 1;
  j->spot = TRUE;
  j->run_s = run_s;
  j->dependencies = needs;
  j->finished = g_new0(guint8, tasks);
  return j;
}

static GPtrArray *list_of(SimJob *a, SimJob *b) {
  GPtrArray *l = g_ptr_array_new();
  g_ptr_array_add(l, a);
  if (b)
    g_ptr_array_add(l, b);
  return l;
}

/* First -> two wide ones -> third -> last, which needs the first as well; sometimes one that runs already. */
void sim_submit_pipelines(Sim *m, gpointer p) {
  SimJob *earlier = m->jobs->len ? m->jobs->pdata[g_rand_int_range(m->rand, 0, (gint)m->jobs->len)] : NULL;
  if (earlier && (earlier->shape != FK_SHAPE_ARRAY || earlier->impossible || !sim_chance(m, 0.4)))
    earlier = NULL;
  SimJob *s[5];
  s[0] = new_stage(m, "first", 3, sim_uniform(m, 1, 6), FK_JOB_PRIORITY_LOW,
                   earlier ? list_of(earlier, NULL) : NULL);
  s[1] = new_stage(m, "wide", 12, sim_uniform(m, 2, 8), FK_JOB_PRIORITY_LOW, list_of(s[0], NULL));
  s[2] = new_stage(m, "wide", 6, sim_uniform(m, 2, 8), FK_JOB_PRIORITY_LOW, list_of(s[0], NULL));
  s[3] = new_stage(m, "third", 2, sim_uniform(m, 1, 6), FK_JOB_PRIORITY_NORMAL, list_of(s[1], s[2]));
  s[4] = new_stage(m, "last", 2, sim_uniform(m, 1, 4), FK_JOB_PRIORITY_HIGH, list_of(s[0], s[3]));
  s[4]->submit_after_dependencies = sim_chance(m, 0.15);
  for (guint i = 0; i < 5; i++)
    user_step(m, s[i]);
  if (sim_chance(m, 0.2))
    sim_schedule(m, sim_uniform(m, 0.2, 40), sim_user_cancel, s[g_rand_int_range(m->rand, 0, 5)]);
  if (m->now < (gint64)((m->plan.submit_until_s > 0 ? m->plan.submit_until_s : m->plan.seconds * 0.6) * 1e6))
    sim_schedule(m, sim_uniform(m, 0.5, 1.5) / m->plan.pipelines_per_s, sim_submit_pipelines, NULL);
}

/* Each needs the one before it; and many that need one. */
void sim_submit_chain_and_fan(Sim *m, gpointer p) {
  SimJob *last = NULL;
  for (guint i = 0; i < m->plan.chain_length; i++) {
    SimJob *j =
        new_stage(m, "deep", 1, i ? 1 : 60, FK_JOB_PRIORITY_NORMAL, last ? list_of(last, NULL) : NULL);
    user_step(m, j);
    if (!i && m->plan.cancel_chain_at_s > 0)
      sim_schedule(m, m->plan.cancel_chain_at_s - 5, sim_user_cancel, j);
    last = j;
  }
  SimJob *first = m->plan.fan_out ? new_stage(m, "deep", 1, 60, FK_JOB_PRIORITY_NORMAL, NULL) : NULL;
  if (first) {
    user_step(m, first);
    if (m->plan.cancel_chain_at_s > 0)
      sim_schedule(m, m->plan.cancel_chain_at_s - 5, sim_user_cancel, first);
  }
  for (guint i = 0; i < m->plan.fan_out; i++) {
    SimJob *j = new_stage(m, "deep", 1, 2, FK_JOB_PRIORITY_NORMAL, list_of(first, NULL));
    sim_schedule(m, sim_uniform(m, 0, 0.02 * m->plan.fan_out), user_step, j);
  }
}

#define UNANSWERED_MAX_S 75.0
#define STARVED_MAX_S ((double)SIM_FREE_CPUS_SAMPLES)

static gint64 faults_end(const Sim *m) {
  gint64 end = MAX(MAX(m->outage_until, m->zone_partition_until), MAX(m->slow_until, m->peer_refusal_until));
  end = MAX(MAX(end, m->late_writes_until), MAX(m->command_delay_until, m->duplicates_until));
  end = MAX(MAX(end, m->lost_replies_until), m->cloud_outage_until);
  for (int i = 0; i < m->controller_count; i++)
    end = MAX(MAX(end, m->store_refusal_until[i]),
              MAX(MAX(m->controllers[i].store_partition_until, m->controllers[i].worker_partition_until),
                  MAX(m->controllers[i].peer_partition_until, m->controllers[i].paused_until)));
  for (guint i = 0; i < m->workers->len; i++) {
    const SimWorker *w = m->workers->pdata[i];
    end = w->gone
              ? end
              : MAX(end, MAX(w->outbound_partition_until, MAX(w->hung_until, w->inbound_partition_until)));
  }
  return MAX(end, (gint64)(0.6e6 * m->plan.seconds));
}

static float free_cpus_on(Sim *m, const SimWorker *w) {
  float room = 8;
  if (w->gone || !w->up || w->faulty ||
      m->now < MAX(w->hung_until, MAX(w->inbound_partition_until, w->outbound_partition_until)))
    return 0;
  for (guint k = 0; k < w->model.tasks->len; k++) {
    const FkWorkerTask *t = w->model.tasks->pdata[k];
    room -= t->state != FK_TASK_EXITED ? (float)sim_job_find(m, t->job)->cpus : 0;
  }
  return room;
}

static guint sample_index(const Sim *m) { return (guint)(m->now / 1000000 % SIM_FREE_CPUS_SAMPLES); }

/* What was free all the time, so long. */
static float free_cpus_throughout(const SimWorker *w) {
  float least = w->free_cpus[0];
  for (guint i = 1; i < SIM_FREE_CPUS_SAMPLES; i++)
    least = MIN(least, w->free_cpus[i]);
  return least;
}

/* What the machines have, by job and team. */
static void count_placed(Sim *m, GHashTable *team_cpus) {
  for (guint i = 0; i < m->jobs->len; i++) {
    SimJob *j = m->jobs->pdata[i];
    j->placed = j->north = j->south = 0;
  }
  for (guint i = 0; i < m->workers->len; i++) {
    const SimWorker *w = m->workers->pdata[i];
    for (guint k = 0; !w->gone && k < w->model.tasks->len; k++) {
      const FkWorkerTask *t = w->model.tasks->pdata[k];
      SimJob *j = sim_job_find(m, t->job);
      if (t->state == FK_TASK_EXITED || j->finished[t->task])
        continue;
      j->placed++;
      (w->model.zone[0] == 'n' ? j->north++ : j->south++);
      double *used = g_hash_table_lookup(team_cpus, j->team);
      if (!used)
        g_hash_table_insert(team_cpus, j->team, used = g_new0(double, 1));
      *used += j->cpus;
    }
  }
}

/* There is room for what the job waits with, a task or the whole gang: now, or for all of the last 90 s on
 * the same machines. */
static gboolean fits_somewhere(Sim *m, const SimJob *j, guint waiting, gboolean lasting) {
  guint need = j->shape == FK_SHAPE_GANG ? waiting : 1, north = 0, south = 0;
  for (guint i = 0; i < m->workers->len; i++) {
    const SimWorker *w = m->workers->pdata[i];
    if (w->gone || (w->model.spot && !j->spot) || (j->zone && !g_str_equal(j->zone, w->model.zone)))
      continue;
    float room = lasting ? free_cpus_throughout(w) : w->free_cpus[sample_index(m)];
    *(w->model.zone[0] == 'n' ? &north : &south) += (guint)(room / j->cpus + 1e-4);
  }
  if (j->one_zone)
    return j->north ? north >= need : j->south ? south >= need : MAX(north, south) >= need;
  if (j->spread) {
    guint half = (j->tasks + 1) / 2;
    return MIN(north, half - MIN(half, j->north)) + MIN(south, half - MIN(half, j->south)) >= need;
  }
  return north + south >= need;
}

/* Nobody waits for long while a machine that fits has room and its team is under its limit. */
static void check_starvation(Sim *m, gint64 calm_at) {
  g_autoptr(GHashTable) team_cpus = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  count_placed(m, team_cpus);
  for (guint i = 0; i < m->workers->len; i++) {
    SimWorker *w = m->workers->pdata[i];
    w->free_cpus[sample_index(m)] = free_cpus_on(m, w);
  }
  for (guint i = 0; i < m->settings->teams->len; i++) {
    const FkTeam *t = m->settings->teams->pdata[i];
    const double *used = g_hash_table_lookup(team_cpus, t->name);
    if (used && t->max_cpus > 0)
      m->result.quota_use_max = MAX(m->result.quota_use_max, *used / t->max_cpus);
  }
  for (guint i = 0; i < m->jobs->len; i++) {
    SimJob *j = m->jobs->pdata[i];
    if (!j->accepted || sim_job_cancel_requested(j) || j->always_fails || j->impossible ||
        !sim_job_dependencies_done(j))
      continue;
    guint done = 0;
    for (guint t = 0; t < j->tasks; t++)
      done += j->finished[t];
    guint waiting = j->tasks - done - MIN(j->placed, j->tasks - done);
    const double *used = g_hash_table_lookup(team_cpus, j->team);
    const FkTeam *team = fk_settings_find_team(m->settings, j->team);
    double need = j->cpus * (j->shape == FK_SHAPE_GANG ? waiting : 1);
    gboolean could = waiting && (team->max_cpus <= 0 || (used ? *used : 0) + need <= team->max_cpus + 1e-6) &&
                     fits_somewhere(m, j, waiting, FALSE);
    if (!could || j->starts != j->startable_starts)
      j->startable_since = 0;
    j->startable_starts = j->starts;
    if (!could)
      continue;
    if (!j->startable_since)
      j->startable_since = m->now;
    double s = (double)(m->now - MAX(j->startable_since, MAX(calm_at, j->accepted_at))) / 1e6;
    m->result.starved_max_s = MAX(m->result.starved_max_s, s);
    if (s > STARVED_MAX_S && !m->plan.skip_starvation_check && fits_somewhere(m, j, waiting, TRUE)) {
      g_autofree char *what =
          g_strdup_printf("%s: shape %d, %u of %u tasks of %g cpus wait, %u placed, zone %s, %s%s%s", j->id,
                          j->shape, waiting, j->tasks, j->cpus, j->placed, j->zone ? j->zone : "any",
                          j->spot ? "spot " : "", j->one_zone ? "together " : "", j->spread ? "spread" : "");
      for (guint k = 0; k < m->workers->len; k++) {
        const SimWorker *w = m->workers->pdata[k];
        if (!w->gone && free_cpus_throughout(w) >= j->cpus)
          g_message("WORLD %s %s spot %d has had %.1f CPUs free, token %" G_GUINT64_FORMAT
                    " session %" G_GUINT64_FORMAT " home c-%u",
                    w->model.id, w->model.zone, w->model.spot, free_cpus_throughout(w),
                    w->model.fencing_token, w->model.incarnation, w->controller);
      }
      sim_violation(m, "left waiting", what);
    }
  }
}

void sim_users_tick(Sim *m) {
  if (m->plan.services)
    return;
  gint64 calm_at = faults_end(m);
  if (m->now / 200000 % 5 == 0)
    check_starvation(m, calm_at);
  for (guint i = 0; i < m->jobs->len; i++) {
    const SimJob *j = m->jobs->pdata[i];
    if (!j->accepted || (m->plan.stop_polling_when_final && (j->reported_done || j->reported_cancelled)))
      continue;
    gint64 waits = MAX(MAX(j->accepted_at, calm_at), j->answered_at);
    if (m->now >= calm_at)
      m->result.unanswered_max_s = MAX(m->result.unanswered_max_s, (double)(m->now - waits) / 1e6);
    if (m->now - waits > (gint64)(UNANSWERED_MAX_S * 1e6))
      sim_violation(m, "forgotten, no answer", j->id);
    if (sim_job_cancel_requested(j) || j->always_fails || j->dependencies)
      continue;
    gint64 until = j->started_at ? j->started_at : m->now;
    if (j->large)
      m->result.large_start_wait_max_s =
          MAX(m->result.large_start_wait_max_s, (double)(until - j->accepted_at) / 1e6);
    m->result.start_wait_max_s =
        MAX(m->result.start_wait_max_s, (double)(until - MAX(j->accepted_at, calm_at)) / 1e6);
  }
}

/* A guest's work: none of it has a claim to room, and all of it is to be served. */
static void submit_best_effort_job(Sim *m, const char *team, const char *class_name, guint32 tasks,
                                   double cpus, double run_s) {
  SimJob *j = new_job(m);
  j->team = g_strdup(team);
  j->class_name = class_name;
  j->rank = FK_JOB_PRIORITY_LOW;
  j->shape = FK_SHAPE_ARRAY;
  j->tasks = tasks;
  j->cpus = cpus;
  j->spot = TRUE;
  j->run_s = run_s;
  j->finished = g_new0(guint8, tasks);
  user_step(m, j);
}

void sim_submit_best_effort_jobs(Sim *m, gpointer p) {
  guint round = GPOINTER_TO_UINT(p);
  if (!round)
    submit_best_effort_job(m, "guest", "long", 60, 2, 40);
  if (round == 5) {
    submit_best_effort_job(m, "unlimited", "free", 30, 2, 10);
    submit_best_effort_job(m, "borrower", "bound", 30, 2, 10);
  }
  if (round == 10)
    submit_best_effort_job(m, "guest", "huge", 400, 0.25, 2);
  if (round >= 20 && round < 60)
    submit_best_effort_job(m, "guest", "tiny", 1, 0.25, 10);
  if (round < 60)
    sim_schedule(m, 1, sim_submit_best_effort_jobs, GUINT_TO_POINTER(round + 1));
}

/* As the service's users see it: tasks that ran to their end, or replicas that were started. */
guint sim_worst_class_percent(Sim *m) {
  static const char *const names[] = {"live",  "arrays", "long",  "huge",     "tiny",  "free",
                                      "bound", "whole",  "zoned", "together", "spread"};
  double worst = 1;
  for (guint k = 0; k < G_N_ELEMENTS(names); k++) {
    double due = 0, served = 0;
    for (guint i = 0; i < m->jobs->len; i++) {
      const SimJob *j = m->jobs->pdata[i];
      if (!g_str_equal(j->class_name, names[k]) || !j->accepted || sim_job_cancel_requested(j) ||
          m->now < j->accepted_at + 60000000)
        continue;
      guint done = 0;
      for (guint t = 0; t < j->tasks; t++)
        done += j->finished[t];
      due++;
      served += j->shape == FK_SHAPE_SERVICE ? j->starts > 0 : (double)done / j->tasks;
    }
    if (due >= 1)
      worst = MIN(worst, served / due);
  }
  return (guint)(100 * worst);
}
