/* Calls of the controllers to the store, the cloud, the workers and each other: answers, and their absence.
 */
#include "simulation/check_view.h"
#include "simulation/simulation_internal.h"

#define RESUME_DELAY_S 0.01 /* after a pause, until what waited is handled */
#define REPLY_MIN_S 0.001
#define REPLY_MAX_S 0.008
#define VIEW_CHECK_EVENTS 11       /* the view is checked in one of so many watch answers */
#define VIEW_CHECK_EVENTS_LARGE 97 /* ... where a check takes long */
#define LARGE_CLUSTER_MACHINES 100

gboolean sim_call_is_pending(SimCall *call) {
  const SimController *c = &call->sim->controllers[call->controller];
  return !call->answered && c->core && c->generation == call->generation;
}

gboolean sim_defer_while_paused(Sim *sim, int controller, SimEventFn fn, gpointer data) {
  gint64 paused_until = sim->controllers[controller].paused_until;
  if (sim->now >= paused_until)
    return FALSE;
  sim_schedule(sim, (double)(paused_until - sim->now) / 1e6 + RESUME_DELAY_S, fn, data);
  return TRUE;
}

static void answer_clear(SimAnswer *answer) {
  g_clear_pointer(&answer->list, g_ptr_array_unref);
  g_clear_pointer(&answer->heartbeat, fk_heartbeat_free);
}

/* The view's running sums must be what a full recomputation gives. */
static void maybe_check_view(const Sim *sim, const SimController *c) {
  guint events = sim->plan.up > LARGE_CLUSTER_MACHINES ? VIEW_CHECK_EVENTS_LARGE : VIEW_CHECK_EVENTS;
  if (c->version == &fk_version_present && sim->event_count % events == 0)
    sim_check_view(fk_controller_view(c->core));
}

/* Takes the only event of the list, if there is one. */
static FkStoreEvent *take_event(FkOutcome outcome, GPtrArray *list) {
  if (outcome != FK_OUTCOME_OK || !list->len)
    return NULL;
  FkStoreEvent *event = list->pdata[0];
  g_ptr_array_set_free_func(list, NULL);
  return event;
}

/* Hands the answer to the controller. `list` is never NULL. */
static void deliver(Sim *sim, SimCall *call, SimAnswer *answer, GPtrArray *list) {
  SimController *c = &sim->controllers[call->controller];
  const FkVersion *v = call->version;
  FkTime now = sim_controller_now(sim, call->controller);
  FkTime sent = sim_controller_time(sim, call->controller, call->sent);
  guint64 id = call->output->call;
  FkOutcome outcome = answer->outcome;
  switch (call->output->kind) {
  case FK_OUTPUT_COMMIT:
    v->commit_received(c->core, now, id, outcome, answer->epoch, list);
    break;
  case FK_OUTPUT_GET:
    v->get_received(c->core, now, id, outcome, take_event(outcome, list));
    break;
  case FK_OUTPUT_LIST:
    v->list_received(c->core, now, outcome, list, answer->more, answer->epoch);
    break;
  case FK_OUTPUT_WATCH:
    v->watch_received(c->core, now, outcome, list, answer->epoch, sent);
    maybe_check_view(sim, c);
    break;
  case FK_OUTPUT_LEASE_GRANT:
    v->lease_grant_received(c->core, now, outcome, answer->epoch, sent);
    break;
  case FK_OUTPUT_LEASE_KEEPALIVE:
    v->lease_keepalive_received(c->core, now, outcome, sent);
    break;
  case FK_OUTPUT_COMMANDS:
    v->command_reply_received(c->core, now, id, outcome, g_steal_pointer(&answer->heartbeat));
    break;
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
    v->instance_types_received(c->core, now, outcome, list);
    break;
  case FK_OUTPUT_LIST_MACHINES:
    v->machines_received(c->core, now, outcome, list, answer->more);
    break;
  case FK_OUTPUT_PROVISION:
    v->provision_received(c->core, now, id, outcome, list);
    break;
  case FK_OUTPUT_TERMINATE:
    v->terminate_received(c->core, now, id, outcome);
    break;
  case FK_OUTPUT_USER_REPLY:
  case FK_OUTPUT_HEARTBEAT_REPLY:
  case FK_OUTPUT_PEER_QUERY:
    g_assert_not_reached(); /* the first two are no calls, the last is answered by peer_query_arrives() */
  }
}

void sim_call_complete(SimCall *call, SimAnswer answer) {
  Sim *sim = call->sim;
  if (!sim_call_is_pending(call)) {
    answer_clear(&answer);
    return;
  }
  call->answered = TRUE;
  g_autoptr(GPtrArray) empty = g_ptr_array_new();
  gint64 began = sim_profile_begin(sim);
  deliver(sim, call, &answer, answer.list ? answer.list : empty);
  sim_profile_end(sim, began);
  answer_clear(&answer);
  sim_dispatch_outputs(sim, call->controller);
}

void sim_call_timed_out(Sim *sim, gpointer data) {
  SimCall *call = data;
  if (!sim_defer_while_paused(sim, call->controller, sim_call_timed_out, call))
    sim_call_complete(call, (SimAnswer){.outcome = FK_OUTCOME_UNKNOWN});
}

/* ------------------------------------------------------------------ answers under way */

typedef struct {
  SimCall *call;
  SimAnswer answer;
} PendingReply;

static void reply_arrives(Sim *sim, gpointer data) {
  PendingReply *reply = data;
  if (sim_defer_while_paused(sim, reply->call->controller, reply_arrives, reply))
    return;
  sim_call_complete(reply->call, reply->answer);
  g_free(reply);
}

/* The zone of the worker that answers; NULL: store and cloud have none. */
static const char *answering_zone(const Sim *sim, const SimCall *call) {
  if (call->output->kind != FK_OUTPUT_COMMANDS)
    return NULL;
  const SimWorker *worker = g_hash_table_lookup(sim->workers_by_id, call->output->addr);
  return worker ? worker->model.zone : NULL;
}

void sim_call_reply(SimCall *call, SimAnswer answer) {
  Sim *sim = call->sim;
  if (sim_chance(sim, sim->plan.lost)) {
    answer_clear(&answer);
    return;
  }
  PendingReply *reply = g_new0(PendingReply, 1);
  *reply = (PendingReply){call, answer};
  double delay_s = sim_uniform(sim, REPLY_MIN_S, REPLY_MAX_S);
  if (sim_zones_partitioned(sim, sim_controller_zone(call->controller), answering_zone(sim, call)))
    delay_s = sim_partition_remaining_s(sim);
  sim_schedule(sim, delay_s, reply_arrives, reply);
}

/* ------------------------------------------------------------------ peers */

static gboolean peers_connected(Sim *sim, int from, int to) {
  const SimController *a = &sim->controllers[from], *b = &sim->controllers[to];
  return !sim_zones_partitioned(sim, sim_controller_zone(from), sim_controller_zone(to)) &&
         !sim_chance(sim, sim->plan.lost) && sim->now >= sim->peer_refusal_until &&
         sim->now >= MAX(a->peer_partition_until, b->peer_partition_until) && sim->now >= a->paused_until &&
         sim->now >= b->paused_until;
}

void sim_peer_query_arrives(Sim *sim, gpointer data) {
  SimCall *call = data;
  int from = call->controller, to = sim_controller_index(call->output->name);
  const SimController *peer = &sim->controllers[to];
  if (!sim_call_is_pending(call) || !peer->core || !peers_connected(sim, from, to))
    return;
  FkRev seen, applied;
  double store_age_s;
  const char *incarnation =
      peer->version->store_progress(peer->core, sim_controller_now(sim, to), &seen, &applied, &store_age_s);
  call->answered = TRUE;
  call->version->peer_progress_received(sim->controllers[from].core, sim_controller_now(sim, from),
                                        call->output->name, incarnation, seen, applied, store_age_s,
                                        sim_controller_time(sim, from, call->sent));
  sim_dispatch_outputs(sim, from);
}
