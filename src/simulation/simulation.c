#include "simulation/simulation_internal.h"

#include <math.h>
#include <string.h>

#include "simulation/check_view.h"

/* An agenda's functions know nothing of the world. */
typedef struct {
  void (*fn)(Sim *, gpointer);
  gpointer data;
} ScheduledEvent;

static void run_scheduled(gpointer owner, gpointer data) {
  ScheduledEvent scheduled = *(ScheduledEvent *)data;
  g_free(data);
  scheduled.fn(owner, scheduled.data);
}

void sim_schedule(Sim *sim, double s, void (*fn)(Sim *, gpointer), gpointer data) {
  ScheduledEvent *scheduled = g_new0(ScheduledEvent, 1);
  *scheduled = (ScheduledEvent){fn, data};
  sim->event_count++;
  fk_event_queue_add(sim->events, sim->now + (gint64)(s * 1e6), run_scheduled, scheduled);
}

gboolean sim_chance(Sim *sim, double p) { return g_rand_double(sim->rand) < p; }

double sim_uniform(Sim *sim, double a, double b) { return g_rand_double_range(sim->rand, a, b); }

void sim_violation(Sim *sim, const char *rule, const char *what) {
  if (!sim->result.violation)
    sim->result.violation = g_strdup_printf("%s: %s at %.3f s (seed %" G_GUINT64_FORMAT ")", rule, what,
                                            sim->now / 1e6, sim->plan.seed);
}

/* The steady clocks drift apart: by all that is allowed, one fast and the others slow, or each a little more
 * than the one before. */
FkTime sim_controller_time(const Sim *sim, int i, gint64 when) {
  double off = sim->plan.clock_skew ? (i % 2 ? 0.0005 : -0.0005) : 0.0005 * (i - 1);
  return (FkTime){1000000 + (gint64)((double)when * (1 + off))};
}

FkTime sim_controller_now(Sim *sim, int i) { return sim_controller_time(sim, i, sim->now); }

/* The cores' processor time is counted from here ... */
gint64 sim_profile_begin(const Sim *sim) {
  return sim->machines_lost_at && sim->plan.clock_ns ? sim->plan.clock_ns() : 0;
}

/* ... to here. */
void sim_profile_end(Sim *sim, gint64 began) {
  if (began)
    sim->core_ns += sim->plan.clock_ns() - began;
}

const char *sim_controller_zone(int i) { return i == 1 ? "south" : "north"; }

/* Store, cloud and users have no zone (NULL). */
gboolean sim_zones_partitioned(const Sim *sim, const char *a, const char *b) {
  return sim->now < sim->zone_partition_until &&
         (g_strcmp0(a, sim->partitioned_zone) == 0) != (g_strcmp0(b, sim->partitioned_zone) == 0);
}

/* What is sent across a cut is held back, and delivered late. */
double sim_partition_remaining_s(const Sim *sim) {
  return (double)(sim->zone_partition_until - sim->now) / 1e6 + 0.01;
}

/* ------------------------------------------------------------------ calls */

gboolean sim_call_is_pending(SimCall *c) {
  return !c->answered && c->sim->controllers[c->controller].core &&
         c->sim->controllers[c->controller].generation == c->generation;
}

static void call_timed_out(Sim *sim, gpointer p);

/* The answer reaches the controller, unless it has given up or is gone. */
void sim_call_complete(SimCall *c, FkOutcome o, FkRev epoch, GPtrArray *list, gboolean more,
                       FkHeartbeat *report) {
  Sim *sim = c->sim;
  if (!sim_call_is_pending(c)) {
    if (list)
      g_ptr_array_unref(list);
    fk_heartbeat_free(report);
    return;
  }
  c->answered = TRUE;
  FkController *core = sim->controllers[c->controller].core;
  const FkVersion *v = c->version;
  FkTime now = sim_controller_now(sim, c->controller);
  FkTime sent = sim_controller_time(sim, c->controller, c->sent);
  g_autoptr(GPtrArray) empty = g_ptr_array_new();
  GPtrArray *l = list ? list : empty;
  gint64 began = sim_profile_begin(sim);
  switch (c->output->kind) {
  case FK_OUTPUT_COMMIT:
    v->commit_received(core, now, c->output->call, o, epoch, l);
    break;
  case FK_OUTPUT_GET: {
    FkStoreEvent *e = NULL;
    if (o == FK_OUTCOME_OK && l->len) {
      e = l->pdata[0];
      g_ptr_array_set_free_func(l, NULL);
    }
    v->get_received(core, now, c->output->call, o, e);
    break;
  }
  case FK_OUTPUT_LIST:
    v->list_received(core, now, o, l, more, epoch);
    break;
  case FK_OUTPUT_WATCH:
    v->watch_received(core, now, o, l, epoch, sent);
    /* what is kept by difference must be what a full look gives; a full look takes long where there is much
     */
    if (v == &fk_version_present && sim->event_count % (sim->plan.up > 100 ? 97 : 11) == 0)
      sim_check_view(fk_controller_view(core));
    break;
  case FK_OUTPUT_LEASE_GRANT:
    v->lease_grant_received(core, now, o, epoch, sent);
    break;
  case FK_OUTPUT_LEASE_KEEPALIVE:
    v->lease_keepalive_received(core, now, o, sent);
    break;
  case FK_OUTPUT_COMMANDS:
    v->command_reply_received(core, now, c->output->call, o, report);
    report = NULL;
    break;
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
    v->instance_types_received(core, now, o, l);
    break;
  case FK_OUTPUT_LIST_MACHINES:
    v->machines_received(core, now, o, l, more);
    break;
  case FK_OUTPUT_PROVISION:
    v->provision_received(core, now, c->output->call, o, l);
    break;
  default:
    v->terminate_received(core, now, c->output->call, o);
  }
  sim_profile_end(sim, began);
  fk_heartbeat_free(report);
  if (list)
    g_ptr_array_unref(list);
  sim_dispatch_outputs(sim, c->controller);
}

/* What would reach a frozen controller reaches it when it goes on. Whether it is so. */
gboolean sim_defer_while_paused(Sim *sim, int controller, void (*fn)(Sim *, gpointer), gpointer data) {
  if (sim->now >= sim->controllers[controller].paused_until)
    return FALSE;
  sim_schedule(sim, (double)(sim->controllers[controller].paused_until - sim->now) / 1e6 + 0.01, fn, data);
  return TRUE;
}

static void call_timed_out(Sim *sim, gpointer p) {
  if (!sim_defer_while_paused(sim, ((SimCall *)p)->controller, call_timed_out, p))
    sim_call_complete(p, FK_OUTCOME_UNKNOWN, (FkRev){0}, NULL, FALSE, NULL);
}

typedef struct {
  SimCall *call;
  FkOutcome o;
  FkRev epoch;
  GPtrArray *list;
  gboolean more;
  FkHeartbeat *report;
} PendingReply;

static void reply_arrives(Sim *sim, gpointer p) {
  PendingReply *a = p;
  if (sim_defer_while_paused(sim, a->call->controller, reply_arrives, a))
    return;
  sim_call_complete(a->call, a->o, a->epoch, a->list, a->more, a->report);
  g_free(a);
}

void sim_call_reply(SimCall *c, FkOutcome o, FkRev epoch, GPtrArray *list, gboolean more,
                    FkHeartbeat *report) {
  Sim *sim = c->sim;
  if (sim_chance(sim, sim->plan.lost)) {
    if (list)
      g_ptr_array_unref(list);
    fk_heartbeat_free(report);
    return;
  }
  PendingReply *a = g_new0(PendingReply, 1);
  *a = (PendingReply){c, o, epoch, list, more, report};
  const SimWorker *w =
      c->output->kind == FK_OUTPUT_COMMANDS ? g_hash_table_lookup(sim->workers_by_id, c->output->addr) : NULL;
  double s = sim_uniform(sim, 0.001, 0.008);
  sim_schedule(sim,
               sim_zones_partitioned(sim, sim_controller_zone(c->controller), w ? w->model.zone : NULL)
                   ? sim_partition_remaining_s(sim)
                   : s,
               reply_arrives, a);
}

/* Controllers ask each other what they have seen of the store. */
static void peer_query_arrives(Sim *sim, gpointer p) {
  SimCall *c = p;
  int to = c->output->name[2] - '0';
  FkRev seen, applied;
  double age_s;
  if (!sim_call_is_pending(c) || !sim->controllers[to].core ||
      sim_zones_partitioned(sim, sim_controller_zone(c->controller), sim_controller_zone(to)) ||
      sim_chance(sim, sim->plan.lost) || sim->now < sim->peer_refusal_until ||
      sim->now < MAX(sim->controllers[to].peer_partition_until,
                     sim->controllers[c->controller].peer_partition_until) ||
      sim->now < sim->controllers[to].paused_until || sim->now < sim->controllers[c->controller].paused_until)
    return;
  const char *life = sim->controllers[to].version->store_progress(
      sim->controllers[to].core, sim_controller_now(sim, to), &seen, &applied, &age_s);
  c->answered = TRUE;
  c->version->peer_progress_received(sim->controllers[c->controller].core,
                                     sim_controller_now(sim, c->controller), c->output->name, life, seen,
                                     applied, age_s, sim_controller_time(sim, c->controller, c->sent));
  sim_dispatch_outputs(sim, c->controller);
}

/* ------------------------------------------------------------------ controllers and troubles */

static void send_to_store(Sim *sim, int i, SimCall *c) {
  if (c->output->kind == FK_OUTPUT_COMMIT)
    c->version->transaction_sent(sim->controllers[i].core, sim_controller_now(sim, i), c->output->call);
  double d = sim_uniform(sim, 0.001, 0.006) * (sim->now < sim->slow_until ? sim->slow_factor : 1) +
             c->output->delay_s;
  if (sim_zones_partitioned(sim, sim_controller_zone(i), NULL))
    d = sim_partition_remaining_s(sim);
  else if (sim->now < sim->controllers[i].store_partition_until)
    d = (sim->controllers[i].store_partition_until - sim->now) / 1e6 +
        0.01; /* held back, and delivered late */
  else if (c->output->kind == FK_OUTPUT_COMMIT && sim_chance(sim, sim->plan.late))
    d = sim_uniform(sim, 1, 40);
  sim_schedule(sim, d, sim_store_handle, c);
  double deadline =
      c->output->kind == FK_OUTPUT_WATCH ? c->output->delay_s + c->output->seconds + 3 : SIM_STORE_DEADLINE_S;
  sim_schedule(sim, deadline, call_timed_out, c);
}

void sim_dispatch_outputs(Sim *sim, int i) {
  FkOutput *o;
  while (sim->controllers[i].core &&
         (o = sim->controllers[i].version->next_output(sim->controllers[i].core))) {
    if (sim->plan.sent)
      sim->plan.sent(sim->plan.sent_data, sim->now, i, sim->controllers[i].version, o);
    SimCall *c = g_new0(SimCall, 1);
    *c = (SimCall){sim,   i,        sim->controllers[i].generation,        o,
                   FALSE, sim->now, .version = sim->controllers[i].version};
    if (o->kind == FK_OUTPUT_WATCH)
      c->sent = sim->now + (gint64)(o->delay_s * 1e6);
    g_ptr_array_add(sim->calls, c);
    switch (o->kind) {
    case FK_OUTPUT_USER_REPLY:
    case FK_OUTPUT_HEARTBEAT_REPLY: {
      gpointer k, v;
      if (!g_hash_table_steal_extended(sim->requests, &o->request.n, &k, &v))
        break;
      g_free(k);
      SimRequest *req = v;
      if (req->user) {
        if (!sim_zones_partitioned(sim, sim_controller_zone(i), NULL))
          sim_user_answered(sim, req, o);
      } else if (!sim_chance(sim, sim->plan.lost) && sim->now >= sim->controllers[i].worker_partition_until &&
                 !sim_zones_partitioned(sim, sim_controller_zone(i), req->worker->model.zone)) {
        SimReply *r = g_new0(SimReply, 1);
        *r = (SimReply){
            req->worker, *req, o->status, o->fencing_token, o->commands ? g_ptr_array_ref(o->commands) : NULL,
            -1};
        for (int n = 0; o->redirect_to && n < sim->controller_count; n++) {
          g_autofree char *name = g_strdup_printf("c-%d", n);
          if (g_str_equal(name, o->redirect_to))
            r->redirect_to = n;
        }
        sim_schedule(sim, sim_chance(sim, sim->plan.late) ? sim_uniform(sim, 0.5, 6) : 0.002,
                     sim_worker_reply_arrives, r);
      }
      g_free(req);
      break;
    }
    case FK_OUTPUT_COMMANDS: {
      const SimWorker *w = g_hash_table_lookup(sim->workers_by_id, o->addr);
      c->incarnation = w ? w->incarnation : 0;
      double d = w && sim_zones_partitioned(sim, sim_controller_zone(i), w->model.zone)
                     ? sim_partition_remaining_s(sim)
                 : sim->now < sim->controllers[i].worker_partition_until
                     ? (sim->controllers[i].worker_partition_until - sim->now) / 1e6 + 0.01
                 : sim_chance(sim, sim->plan.late) ? sim_uniform(sim, 1, 30)
                 : sim->now < sim->command_delay_until && sim_chance(sim, sim->command_delay_share)
                     ? sim_uniform(sim, 1, 15)
                     : 0.002;
      sim_schedule(sim, d, sim_worker_command_arrives, c);
      sim_schedule(sim, SIM_STORE_DEADLINE_S, call_timed_out, c);
      break;
    }
    case FK_OUTPUT_PEER_QUERY:
      sim_schedule(sim, sim_uniform(sim, 0.001, 0.3), peer_query_arrives, c);
      break;
    case FK_OUTPUT_LIST_INSTANCE_TYPES:
    case FK_OUTPUT_PROVISION:
    case FK_OUTPUT_TERMINATE:
    case FK_OUTPUT_LIST_MACHINES:
      sim_schedule(sim,
                   sim_zones_partitioned(sim, sim_controller_zone(i), NULL) ? sim_partition_remaining_s(sim)
                   : sim_chance(sim, sim->plan.late)                        ? sim_uniform(sim, 1, 20)
                                                                            : 0.1,
                   sim_cloud_handle, c);
      sim_schedule(sim, 4, call_timed_out, c);
      break;
    default:
      send_to_store(sim, i, c);
    }
  }
}

/* When it is killed to come back with the present version. */
static gint64 upgrade_time(const Sim *sim, int i) {
  return (gint64)((sim->plan.upgrade_at_s + i * sim->plan.upgrade_interval_s) * 1e6);
}

static cJSON *peer_json(int i) {
  cJSON *o = cJSON_CreateObject();
  g_autofree char *name = g_strdup_printf("c-%d", i);
  cJSON_AddStringToObject(o, "node", name);
  cJSON_AddStringToObject(o, "site", sim_controller_zone(i));
  return o;
}

/* What the platform hands a controller, whatever its version. */
static char *settings_text(const Sim *sim, int i) {
  const FkSettings *s = sim->settings;
  g_autoptr(cJSON) o = peer_json(i);
  cJSON_AddStringToObject(o, "serve_on", "127.0.0.1:8080");
  cJSON_AddStringToObject(o, "mesh_addr", "127.0.0.1:8081");
  cJSON *seeds = cJSON_AddArrayToObject(o, "seeds"), *out = cJSON_AddObjectToObject(o, "outside"),
        *d = cJSON_AddObjectToObject(o, "deployment"), *zones = cJSON_AddArrayToObject(d, "zones"),
        *teams = cJSON_AddArrayToObject(d, "teams"), *w = cJSON_AddObjectToObject(d, "workers"),
        *st = cJSON_AddObjectToObject(d, "state"), *cl = cJSON_AddObjectToObject(d, "cloud");
  for (int k = 0; k < sim->controller_count; k++)
    if (k != i) {
      cJSON *p = peer_json(k);
      cJSON_AddStringToObject(p, "peer_addr", "127.0.0.1:1");
      cJSON_AddItemToArray(seeds, p);
    }
  cJSON_AddStringToObject(out, "cloud", "127.0.0.1:2");
  cJSON_AddStringToObject(out, "state", "127.0.0.1:3");
  cJSON_AddItemToArray(zones, cJSON_CreateString("north"));
  cJSON_AddItemToArray(zones, cJSON_CreateString("south"));
  for (guint t = 0; t < s->teams->len; t++) {
    const FkTeam *team = s->teams->pdata[t];
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, "name", team->name);
    cJSON_AddNumberToObject(j, "cpus", team->guaranteed_cpus);
    cJSON_AddNumberToObject(j, "cpus_max", isfinite(team->max_cpus) ? team->max_cpus : 0);
    cJSON_AddNumberToObject(j, "gpus", team->guaranteed_gpus);
    cJSON_AddNumberToObject(j, "gpus_max", isfinite(team->max_gpus) ? team->max_gpus : 0);
    cJSON_AddItemToArray(teams, j);
  }
  cJSON_AddNumberToObject(w, "report_s", s->heartbeat_interval_s);
  cJSON_AddNumberToObject(w, "lease_s", s->worker_lease_s);
  cJSON_AddNumberToObject(w, "cancel_s", s->cancellation_deadline_s);
  cJSON_AddNumberToObject(st, "rps", s->store_rps);
  cJSON_AddNumberToObject(st, "write_rps", s->store_write_rps);
  cJSON_AddNumberToObject(st, "value_kb", s->current_value_kb);
  cJSON_AddNumberToObject(st, "txn_ops",
                          sim->plan.initial_txn_ops ? sim->plan.initial_txn_ops : s->transaction_ops_max);
  cJSON *next = cJSON_AddObjectToObject(st, "next");
  cJSON_AddNumberToObject(next, "write_rps", s->next_store_write_rps);
  cJSON_AddNumberToObject(next, "value_kb", s->value_kb);
  cJSON_AddNumberToObject(next, "txn_ops", s->transaction_ops_max);
  cJSON_AddBoolToObject(next, "not_known_yet", TRUE);
  cJSON_AddNumberToObject(cl, "rps", s->cloud_rps);
  cJSON_AddNumberToObject(cl, "list_lag_s", s->cloud_list_lag_s);
  return fk_json_print(o);
}

static void start_controller(Sim *sim, gpointer p) {
  int i = GPOINTER_TO_INT(p);
  SimController *c = &sim->controllers[i];
  g_autofree char *life = g_strdup_printf("life%u", ++c->starts);
  c->version = sim->plan.previous_version && sim->now < upgrade_time(sim, i) ? sim->plan.previous_version
                                                                             : &fk_version_present;
  g_clear_pointer(&c->settings, c->settings_free);
  g_autofree char *text = settings_text(sim, i),
                  *wishes =
                      g_strdup_printf("{\"tell_after_s\":%g}", sim->settings->tuning.cancellation_barrier_s);
  c->settings = c->version->parse_settings(text, wishes);
  c->settings_free = c->version->settings_free;
  g_assert_nonnull(c->settings);
  c->core = c->version->controller_new(c->settings, life, (guint32)g_rand_int(sim->rand),
                                       sim_controller_now(sim, i));
}

static void crash_again(Sim *sim, gpointer p) { sim_crash_controller(sim, GPOINTER_TO_INT(p)); }

void sim_crash_controller(Sim *sim, int i) {
  SimController *c = &sim->controllers[i];
  if (!c->core)
    return;
  c->version->controller_free(c->core);
  c->core = NULL;
  c->paused_until = 0;
  c->generation++;
  double s = sim->plan.quick ? sim_uniform(sim, 0.05, 0.5) : 3;
  sim_schedule(sim, s, start_controller, GINT_TO_POINTER(i));
  if (sim->plan.quick && sim_chance(sim, 0.3))
    sim_schedule(sim, s + sim_uniform(sim, 0.05, 8), crash_again, GINT_TO_POINTER(i));
}

static void controller_tick(Sim *sim, gpointer p) {
  int i = GPOINTER_TO_INT(p);
  if (sim->controllers[i].core && sim->now >= sim->controllers[i].paused_until) {
    gint64 began = sim_profile_begin(sim);
    sim->controllers[i].version->tick(sim->controllers[i].core, sim_controller_now(sim, i),
                                      sim->now + 5000000);
    sim_profile_end(sim, began);
    sim_dispatch_outputs(sim, i);
  }
  sim_schedule(sim, 0.1, controller_tick, p);
}

static void world_tick(Sim *sim, gpointer p) {
  if (sim->now >= sim->outage_until)
    fk_store_model_expire_leases(sim->store, sim->now);
  sim_store_notify_watches(sim);
  for (guint i = 0; i < sim->workers->len; i++) {
    SimWorker *w = sim->workers->pdata[i];
    if (w->gone || !w->up)
      continue;
    sim_worker_check_lease(sim, w); /* a hanging machine may resume within its lease, not after */
    for (guint k = 0; k < w->model.tasks->len; k++) {
      FkWorkerTask *t = w->model.tasks->pdata[k];
      SimJob *j = sim_job_find(sim, t->job);
      if (t->resident && j->reported_cancelled)
        sim->result.cancel_stopped_max_s =
            MAX(sim->result.cancel_stopped_max_s, (double)(sim->now - j->cancelled_at) / 1e6);
      if (t->resident && j->reported_cancelled &&
          sim->now > j->cancelled_at + (gint64)(sim->settings->cancellation_deadline_s * 1e6) &&
          !sim_worker_is_hung(sim, w))
        sim_violation(sim, "ran_cancelled", t->job);
    }
  }
  sim_check_liveness(sim);
  sim_schedule(sim, SIM_TICK_S, world_tick, NULL);
}

static guint count_keys(const Sim *sim, const char *prefix) {
  gboolean more;
  g_autoptr(GPtrArray) keys = fk_store_model_list(sim->store, prefix, NULL, G_MAXUINT, G_MAXSIZE, &more);
  return keys->len;
}

static void sim_free(Sim *sim) {
  for (int i = 0; i < sim->controller_count; i++) {
    if (sim->controllers[i].core)
      sim->controllers[i].version->controller_free(sim->controllers[i].core);
    g_clear_pointer(&sim->controllers[i].settings, sim->controllers[i].settings_free);
  }
  for (guint i = 0; i < sim->calls->len; i++) {
    SimCall *call = sim->calls->pdata[i];
    call->version->output_free(call->output);
    g_free(call);
  }
  g_ptr_array_unref(sim->calls);
  g_ptr_array_unref(sim->watches);
  fk_event_queue_free(sim->events);
  g_hash_table_unref(sim->requests);
  g_hash_table_unref(sim->running_on);
  fk_store_model_free(sim->store);
  g_hash_table_unref(sim->provisioned);
  g_ptr_array_unref(sim->stale_heartbeats);
  g_hash_table_unref(sim->workers_by_id);
  g_hash_table_unref(sim->jobs_by_id);
  g_ptr_array_unref(sim->workers);
  g_ptr_array_unref(sim->jobs);
  g_rand_free(sim->rand);
  g_free(sim);
}

SimResult sim_run(const FkSettings *s, const SimPlan *plan) {
  Sim *sim = g_new0(Sim, 1);
  sim->settings = s;
  sim->plan = *plan;
  sim->controller_count = plan->controllers ? (int)plan->controllers : 3;
  sim->rand = g_rand_new_with_seed((guint32)plan->seed);
  sim->events = fk_event_queue_new(sim);
  sim->store = fk_store_model_new(0);
  sim->provisioned =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  sim->stale_heartbeats = g_ptr_array_new_with_free_func((GDestroyNotify)fk_heartbeat_free);
  sim->workers = g_ptr_array_new_with_free_func(sim_worker_free);
  sim->jobs = g_ptr_array_new_with_free_func(sim_job_free);
  sim->workers_by_id = g_hash_table_new(g_str_hash, g_str_equal);
  sim->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
  sim->calls = g_ptr_array_new();
  sim->watches = g_ptr_array_new();
  sim->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  sim->running_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < sim->controller_count; i++) {
    start_controller(sim, GINT_TO_POINTER(i));
    sim_schedule(sim, 0.01 * i, controller_tick, GINT_TO_POINTER(i));
    if (plan->previous_version)
      sim_schedule(sim, (double)upgrade_time(sim, i) / 1e6, crash_again, GINT_TO_POINTER(i));
  }
  for (guint i = 0; i < MAX(3, plan->up); i++)
    sim_worker_new(sim, i % 3 ? "north" : "south", i % 3 == 2, 0.5);
  sim_schedule(sim, 1, world_tick, NULL);
  if (plan->services) {
    sim_submit_services(sim);
    sim_schedule(sim, plan->loss_at_s, sim_lose_share, NULL);
  } else {
    sim_schedule(sim, 1, sim_submit_jobs, NULL);
    if (plan->best_effort_teams)
      sim_schedule(sim, 15, sim_submit_best_effort_jobs, NULL);
    if (plan->large_jobs)
      sim_schedule(sim, 15, sim_submit_large_jobs, NULL);
    if (plan->pipelines_per_s > 0)
      sim_schedule(sim, MAX(5, plan->pipelines_from_s), sim_submit_pipelines, NULL);
    if (plan->chain_length || plan->fan_out)
      sim_schedule(sim, MAX(5, plan->pipelines_from_s), sim_submit_chain_and_fan, NULL);
    if (plan->small_jobs_per_s > 0)
      sim_schedule(sim, 15, sim_submit_small_jobs, NULL);
    if (plan->fault_count)
      sim_schedule_faults(sim);
    else
      sim_schedule(sim, 20, sim_random_fault, NULL);
  }
  while (sim->now < (gint64)(plan->seconds * 1e6) && !sim->result.violation && !sim->finished) {
    sim->now = fk_event_queue_next_due(sim->events);
    fk_event_queue_run_next(sim->events);
  }
  for (guint i = 0; i < sim->jobs->len; i++) {
    SimJob *j = sim->jobs->pdata[i];
    sim->result.done += j->reported_done;
    sim->result.cancelled += j->reported_cancelled;
    sim->result.dependents_done += j->dependencies && j->reported_done;
    sim->result.dependents_cancelled += j->dependencies && j->reported_cancelled && !j->cancel_requested;
    if (j->accepted && j->shape != FK_SHAPE_SERVICE && !j->reported_done && !sim_job_cancel_requested(j)) {
      sim->result.unfinished++;
      g_message("unfinished: %s shape %d tasks %u", j->id, j->shape, j->tasks);
    }
  }
  sim->result.worst_class_percent = sim_worst_class_percent(sim);
  sim->result.live_jobs = count_keys(sim, "fk/l/j/");
  sim->result.live_keys = count_keys(sim, "fk/l/");
  SimResult r = sim->result;
  sim_free(sim);
  return r;
}
