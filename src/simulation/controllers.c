/* The controllers' processes: they start, crash, tick, and what they send goes out. */
#include "simulation/simulation_internal.h"

#define RESTART_S 3.0
#define FAST_RESTART_MIN_S 0.05
#define FAST_RESTART_MAX_S 0.5
#define CRASH_AGAIN_CHANCE 0.3
#define CRASH_AGAIN_MIN_S 0.05
#define CRASH_AGAIN_MAX_S 8.0
#define TICK_S 0.1
#define WALL_CLOCK_OFFSET_US (5 * G_USEC_PER_SEC)

#define STORE_DELAY_MIN_S 0.001
#define STORE_DELAY_MAX_S 0.006
#define STORE_DEADLINE_S 2.0
#define WATCH_DEADLINE_MARGIN_S 3.0
#define COMMAND_DEADLINE_S 2.0
#define CLOUD_DELAY_S 0.1
#define CLOUD_DEADLINE_S 4.0
#define WORKER_DELAY_S 0.002
#define PEER_DELAY_MIN_S 0.001
#define PEER_DELAY_MAX_S 0.3
#define HEALED_MARGIN_S 0.01 /* what a partition held back arrives so long after its end */

/* ------------------------------------------------------------------ what is sent */

static double seconds_until(const Sim *sim, gint64 when) {
  return (double)(when - sim->now) / 1e6 + HEALED_MARGIN_S;
}

static void send_to_store(Sim *sim, SimCall *call) {
  const SimController *c = &sim->controllers[call->controller];
  const FkOutput *output = call->output;
  gboolean commits = output->kind == FK_OUTPUT_COMMIT;
  if (commits)
    call->version->transaction_sent(c->core, sim_controller_now(sim, call->controller), output->call);
  double slow_factor = sim->now < sim->slow_until ? sim->slow_factor : 1;
  double delay_s = sim_uniform(sim, STORE_DELAY_MIN_S, STORE_DELAY_MAX_S) * slow_factor + output->delay_s;
  if (sim_zones_partitioned(sim, sim_controller_zone(call->controller), NULL))
    delay_s = sim_partition_remaining_s(sim);
  else if (sim->now < c->store_partition_until)
    delay_s = seconds_until(sim, c->store_partition_until);
  else if (commits && sim_chance(sim, sim->plan.late))
    delay_s = sim_uniform(sim, 1, 40);
  sim_schedule(sim, delay_s, sim_store_handle, call);
  double deadline_s = output->kind == FK_OUTPUT_WATCH
                          ? output->delay_s + output->seconds + WATCH_DEADLINE_MARGIN_S
                          : STORE_DEADLINE_S;
  sim_schedule(sim, deadline_s, sim_call_timed_out, call);
}

static void send_to_cloud(Sim *sim, SimCall *call) {
  double delay_s = CLOUD_DELAY_S;
  if (sim_zones_partitioned(sim, sim_controller_zone(call->controller), NULL))
    delay_s = sim_partition_remaining_s(sim);
  else if (sim_chance(sim, sim->plan.late))
    delay_s = sim_uniform(sim, 1, 20);
  sim_schedule(sim, delay_s, sim_cloud_handle, call);
  sim_schedule(sim, CLOUD_DEADLINE_S, sim_call_timed_out, call);
}

static double command_delay_s(Sim *sim, const SimCall *call, const SimWorker *worker) {
  const SimController *c = &sim->controllers[call->controller];
  if (worker && sim_zones_partitioned(sim, sim_controller_zone(call->controller), worker->model.zone))
    return sim_partition_remaining_s(sim);
  if (sim->now < c->worker_partition_until)
    return seconds_until(sim, c->worker_partition_until);
  if (sim_chance(sim, sim->plan.late))
    return sim_uniform(sim, 1, 30);
  if (sim->now < sim->command_delay_until && sim_chance(sim, sim->command_delay_share))
    return sim_uniform(sim, 1, 15);
  return WORKER_DELAY_S;
}

static void send_commands(Sim *sim, SimCall *call) {
  const SimWorker *worker = g_hash_table_lookup(sim->workers_by_id, call->output->addr);
  sim_schedule(sim, command_delay_s(sim, call, worker), sim_worker_command_arrives, call);
  sim_schedule(sim, COMMAND_DEADLINE_S, sim_call_timed_out, call);
}

static void reply_to_worker(Sim *sim, int controller, const SimRequest *request, const FkOutput *output) {
  if (sim_chance(sim, sim->plan.lost) || sim->now < sim->controllers[controller].worker_partition_until ||
      sim_zones_partitioned(sim, sim_controller_zone(controller), request->worker->model.zone))
    return;
  SimReply *reply = g_new0(SimReply, 1);
  *reply = (SimReply){.worker = request->worker,
                      .request = *request,
                      .status = output->status,
                      .fencing_token = output->fencing_token,
                      .commands = output->commands ? g_ptr_array_ref(output->commands) : NULL,
                      .redirect_to = output->redirect_to ? sim_controller_index(output->redirect_to) : -1};
  double delay_s = sim_chance(sim, sim->plan.late) ? sim_uniform(sim, 0.5, 6) : WORKER_DELAY_S;
  sim_schedule(sim, delay_s, sim_worker_reply_arrives, reply);
}

/* Answers a user's query or a worker's heartbeat. */
static void send_reply(Sim *sim, int controller, const FkOutput *output) {
  gpointer id, request;
  if (!g_hash_table_steal_extended(sim->requests, &output->request.n, &id, &request))
    return;
  g_free(id);
  g_autofree SimRequest *answered = request;
  if (!answered->user)
    reply_to_worker(sim, controller, answered, output);
  else if (!sim_zones_partitioned(sim, sim_controller_zone(controller), NULL))
    sim_user_answered(sim, answered, output);
}

static SimCall *new_call(Sim *sim, int controller, FkOutput *output) {
  const SimController *c = &sim->controllers[controller];
  SimCall *call = g_new0(SimCall, 1);
  *call = (SimCall){.sim = sim,
                    .controller = controller,
                    .generation = c->generation,
                    .output = output,
                    .sent = sim->now,
                    .version = c->version};
  if (output->kind == FK_OUTPUT_WATCH)
    call->sent = sim->now + (gint64)(output->delay_s * 1e6);
  g_ptr_array_add(sim->calls, call);
  return call;
}

static void dispatch(Sim *sim, int controller, FkOutput *output) {
  SimCall *call = new_call(sim, controller, output);
  switch (output->kind) {
  case FK_OUTPUT_USER_REPLY:
  case FK_OUTPUT_HEARTBEAT_REPLY:
    send_reply(sim, controller, output);
    break;
  case FK_OUTPUT_COMMANDS:
    send_commands(sim, call);
    break;
  case FK_OUTPUT_PEER_QUERY:
    sim_schedule(sim, sim_uniform(sim, PEER_DELAY_MIN_S, PEER_DELAY_MAX_S), sim_peer_query_arrives, call);
    break;
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
  case FK_OUTPUT_PROVISION:
  case FK_OUTPUT_TERMINATE:
  case FK_OUTPUT_LIST_MACHINES:
    send_to_cloud(sim, call);
    break;
  case FK_OUTPUT_COMMIT:
  case FK_OUTPUT_GET:
  case FK_OUTPUT_LIST:
  case FK_OUTPUT_WATCH:
  case FK_OUTPUT_LEASE_GRANT:
  case FK_OUTPUT_LEASE_KEEPALIVE:
    send_to_store(sim, call);
  }
}

void sim_dispatch_outputs(Sim *sim, int controller) {
  SimController *c = &sim->controllers[controller];
  FkOutput *output;
  while (c->core && (output = c->version->next_output(c->core))) {
    if (sim->plan.sent)
      sim->plan.sent(sim->plan.sent_data, sim->now, controller, c->version, output);
    dispatch(sim, controller, output);
  }
}

/* ------------------------------------------------------------------ processes */

int sim_controller_index(const char *name) { return name[2] - '0'; } /* "c-0" */

const char *sim_controller_zone(int controller) { return controller == 1 ? "south" : "north"; }

/* When it is killed, to come back with the present version. */
static gint64 upgrade_time(const Sim *sim, int controller) {
  return (gint64)((sim->plan.upgrade_at_s + controller * sim->plan.upgrade_interval_s) * 1e6);
}

static void start(Sim *sim, gpointer data) {
  int controller = GPOINTER_TO_INT(data);
  SimController *c = &sim->controllers[controller];
  gboolean is_old = sim->plan.previous_version && sim->now < upgrade_time(sim, controller);
  g_autofree char *incarnation = g_strdup_printf("life%u", ++c->starts);
  g_clear_pointer(&c->settings, c->settings_free);
  c->version = is_old ? sim->plan.previous_version : &fk_version_present;
  g_autofree char *platform = sim_platform_settings(sim, controller);
  g_autofree char *operator_settings =
      g_strdup_printf("{\"tell_after_s\":%g}", sim->settings->tuning.cancellation_barrier_s);
  c->settings = c->version->parse_settings(platform, operator_settings);
  c->settings_free = c->version->settings_free;
  g_assert_nonnull(c->settings);
  c->core = c->version->controller_new(c->settings, incarnation, (guint32)g_rand_int(sim->rand),
                                       sim_controller_now(sim, controller));
}

static void crash_event(Sim *sim, gpointer data) { sim_crash_controller(sim, GPOINTER_TO_INT(data)); }

void sim_crash_controller(Sim *sim, int controller) {
  SimController *c = &sim->controllers[controller];
  if (!c->core)
    return;
  c->version->controller_free(c->core);
  c->core = NULL;
  c->paused_until = 0;
  c->generation++;
  double restart_s =
      sim->plan.fast_restarts ? sim_uniform(sim, FAST_RESTART_MIN_S, FAST_RESTART_MAX_S) : RESTART_S;
  sim_schedule(sim, restart_s, start, GINT_TO_POINTER(controller));
  if (sim->plan.fast_restarts && sim_chance(sim, CRASH_AGAIN_CHANCE))
    sim_schedule(sim, restart_s + sim_uniform(sim, CRASH_AGAIN_MIN_S, CRASH_AGAIN_MAX_S), crash_event,
                 GINT_TO_POINTER(controller));
}

static void tick(Sim *sim, gpointer data) {
  int controller = GPOINTER_TO_INT(data);
  SimController *c = &sim->controllers[controller];
  if (c->core && sim->now >= c->paused_until) {
    gint64 began = sim_profile_begin(sim);
    c->version->tick(c->core, sim_controller_now(sim, controller), sim->now + WALL_CLOCK_OFFSET_US);
    sim_profile_end(sim, began);
    sim_dispatch_outputs(sim, controller);
  }
  sim_schedule(sim, TICK_S, tick, data);
}

void sim_controllers_start(Sim *sim) {
  for (int i = 0; i < sim->controller_count; i++) {
    start(sim, GINT_TO_POINTER(i));
    sim_schedule(sim, 0.01 * i, tick, GINT_TO_POINTER(i)); /* not all in one moment */
    if (sim->plan.previous_version)
      sim_schedule(sim, (double)upgrade_time(sim, i) / 1e6, crash_event, GINT_TO_POINTER(i));
  }
}

void sim_controllers_free(Sim *sim) {
  for (int i = 0; i < sim->controller_count; i++) {
    SimController *c = &sim->controllers[i];
    if (c->core)
      c->version->controller_free(c->core);
    g_clear_pointer(&c->settings, c->settings_free);
  }
}
