/* Heartbeats: a worker of an owned shard gets commands in reply; others are redirected to their shard's
 * owner, or held for a moment while this controller acquires the shard. */
#include "core/controller.h"
#include "core/workers/workers_internal.h"

#define HOLD_MAX_S 3.0              /* a heartbeat waits so long for its shard to be acquired */
#define DUPLICATE_PROBE_AFTER_S 1.0 /* a flood of duplicates costs one probe a second at the most */

/* HTTP statuses of a reply to a heartbeat. */
#define STATUS_OK 200
#define STATUS_MISDIRECTED 421 /* another controller is, or seems to be, the owner */
#define STATUS_UNAVAILABLE 503

FkOutput *fk_heartbeat_reply_new(FkController *c, FkRequestId request, int status) {
  FkOutput *output = fk_output_new(c, FK_OUTPUT_HEARTBEAT_REPLY);
  output->request = request;
  output->status = status;
  return output;
}

/* ---- shards that this controller doesn't own ---- */

/* The owner is in another incarnation than the one that acquired the shard: it will acquire it again by
 * itself. */
static gboolean owner_is_restarting(FkController *c, const FkShard *shard) {
  const FkControllerNode *node = shard->owner ? g_hash_table_lookup(c->view->nodes, shard->owner) : NULL;
  return node && g_strcmp0(node->incarnation, shard->owner_incarnation) != 0;
}

/* The controller that should answer: the shard's owner if that is another one that lives, else the one that
 * all controllers agree should own it. */
static const char *responsible_controller(FkController *c, const FkShard *shard) {
  gboolean owned_by_other =
      shard->owner && !g_str_equal(shard->owner, c->settings->node) && fk_node_is_alive(c, shard->owner);
  return owned_by_other ? shard->owner : fk_shard_preferred_owner(c, shard);
}

/* Another controller should answer. Returns whether the worker is redirected there. */
static gboolean redirect(FkController *c, FkShard *shard, const char *responsible,
                         const FkHeldHeartbeat *message, gboolean was_held) {
  const char *machine = message->heartbeat->machine;
  /* A worker that is back soon after having been sent there can't reach that controller. */
  if (!was_held && fk_redirect_is_recent(c, machine, responsible) && !owner_is_restarting(c, shard))
    fk_redirect_note_return(c, shard, machine);
  if (shard->acquire_wanted || (was_held && fk_rev_equal(message->shard_rev, shard->rev)))
    return FALSE;
  fk_redirect_send(c, message->request, machine, responsible);
  return TRUE;
}

static void hold(FkController *c, const FkHeldHeartbeat *message) {
  g_queue_push_tail(c->workers.held_heartbeats, g_memdup2(message, sizeof *message));
}

static void handle_for_other_shard(FkController *c, FkShard *shard, FkHeldHeartbeat message /* taken */,
                                   gboolean was_held) {
  g_autoptr(FkHeartbeat) heartbeat = message.heartbeat;
  const char *responsible = responsible_controller(c, shard);
  if (!g_str_equal(responsible, c->settings->node)) {
    if (redirect(c, shard, responsible, &message, was_held))
      return;
  } else if (!shard->owner || !fk_node_is_alive(c, shard->owner)) {
    shard->acquire_wanted = TRUE;
  }
  if (fk_time_between(message.received_at, c->now) > HOLD_MAX_S) {
    fk_heartbeat_reply_new(c, message.request, STATUS_UNAVAILABLE);
    return;
  }
  if (!was_held)
    message.shard_rev = shard->rev;
  message.heartbeat = g_steal_pointer(&heartbeat);
  hold(c, &message);
}

/* ---- shards that this controller owns ---- */

/* The status to reject a heartbeat with because of its fencing token, or 0. */
static int rejection_by_token(FkController *c, const FkShard *shard, FkFencingToken token) {
  /* The worker has seen no token, so a later owner's, that would keep our reply out, may be forgotten: it has
   * restarted. One that has seen a token has it from an owner that knew to be the owner. */
  if (!token.n && fk_worker_view_is_stale(c))
    return STATUS_UNAVAILABLE;
  /* There is a later owner. With a fresh view there can be none. */
  if (MAX(token.n, shard->later_token.n) > shard->rev.n) {
    c->workers.impossible_tokens += !shard->later_token.n && !fk_worker_view_is_stale(c);
    return STATUS_MISDIRECTED;
  }
  return 0;
}

/* Nobody waits for the reply to a duplicate, unless the worker has restarted, and its sequence with it: that
 * is asked of the worker itself. */
static void reject_duplicate(FkController *c, FkRequestId request, FkMachine *machine) {
  c->workers.duplicate_heartbeats++;
  fk_heartbeat_reply_new(c, request, STATUS_UNAVAILABLE);
  if (fk_time_between(machine->worker->failure_detector.last_contact_at, c->now) >= DUPLICATE_PROBE_AFTER_S)
    fk_commands_send(c, machine, TRUE);
}

/* Commands count only for the state that the latest heartbeat shows. With a token that is new to the worker
 * they are just as good, since the reply itself carries it. */
static void reply_with_commands(FkController *c, FkRequestId request, FkMachine *machine,
                                FkHeartbeatSequence sequence) {
  FkWorkerState *worker = machine->worker;
  FkOutput *output = fk_heartbeat_reply_new(c, request, STATUS_OK);
  output->fencing_token = (FkFencingToken){machine->shard->rev.n};
  output->commands = fk_commands_for_worker(c, machine);
  fk_commands_remember_starts(worker->starts_replied, output->commands);
  worker->starts_replied_to = sequence;
  fk_failure_detector_replied(&worker->failure_detector, c->now);
  g_debug("heartbeat answered node=%s machine=%s incarnation=%" G_GUINT64_FORMAT " token=%" G_GUINT64_FORMAT
          " commands=%u",
          c->settings->node, machine->id, worker->heartbeat->incarnation, output->fencing_token.n,
          output->commands->len);
}

static void handle_from_worker(FkController *c, FkRequestId request, FkMachine *machine, FkHeartbeat *taken) {
  g_autoptr(FkHeartbeat) heartbeat = taken;
  FkWorkerState *worker = machine->worker;
  FkFailureDetector *detector = &worker->failure_detector;
  FkHeartbeatSequence sequence = fk_heartbeat_sequence(heartbeat);
  FkHeartbeatFreshness freshness =
      fk_failure_detector_heartbeat(detector, sequence, c->settings->worker_lease_s, c->now);
  if (freshness == FK_HEARTBEAT_DUPLICATE) {
    reject_duplicate(c, request, machine);
    return;
  }
  if (freshness == FK_HEARTBEAT_NEW)
    fk_worker_state_set_heartbeat(c, machine, g_steal_pointer(&heartbeat));
  /* The worker has read or dropped the reply to its heartbeat before this one. */
  if (fk_heartbeat_sequence_after(sequence, worker->starts_replied_to))
    g_hash_table_remove_all(worker->starts_replied);
  if (g_strcmp0(machine->drain_reason, FK_DRAIN_REASON_SILENT) == 0 &&
      fk_failure_detector_is_partitioned(detector, c->now)) {
    /* It is being terminated; a reply that it may never get would put off the end of its lease for ever. */
    fk_heartbeat_reply_new(c, request, STATUS_UNAVAILABLE);
    return;
  }
  reply_with_commands(c, request, machine, sequence);
  fk_reconciliation_run(c, machine);
}

static void handle_for_owned_shard(FkController *c, FkShard *shard, FkHeldHeartbeat message /* taken */) {
  g_autoptr(FkHeartbeat) heartbeat = message.heartbeat;
  c->view->now = c->now;
  FkMachine *machine = fk_view_ensure_machine(c->view, heartbeat->machine);
  fk_view_assign_shard(c->view, machine, heartbeat->zone);
  if (machine->shard != shard) {
    /* Its zone isn't what it was: not a machine that we know how to deal with. */
    fk_heartbeat_reply_new(c, message.request, STATUS_MISDIRECTED);
    return;
  }
  if (!machine->worker)
    fk_worker_state_refresh(c, machine);
  fk_worker_note_token(c, shard, heartbeat->fencing_token);
  int rejection = rejection_by_token(c, shard, heartbeat->fencing_token);
  if (rejection) {
    fk_heartbeat_reply_new(c, message.request, rejection);
    return;
  }
  handle_from_worker(c, message.request, machine, g_steal_pointer(&heartbeat));
}

/* ---- all heartbeats ---- */

/* `was_held`: it was received earlier, and has waited for its shard since. */
static void handle(FkController *c, FkHeldHeartbeat message /* taken */, gboolean was_held) {
  FkHeartbeat *heartbeat = message.heartbeat;
  if (!fk_worker_view_is_current(c)) {
    fk_heartbeat_reply_new(c, message.request, STATUS_UNAVAILABLE);
    fk_heartbeat_free(heartbeat);
    return;
  }
  g_autofree char *shard_id = fk_shard_id_for_machine(heartbeat->zone, heartbeat->machine);
  FkShard *shard = fk_view_ensure_shard(c->view, shard_id);
  if (fk_shard_is_owned(c, shard))
    handle_for_owned_shard(c, shard, message);
  else
    handle_for_other_shard(c, shard, message, was_held);
}

void fk_controller_heartbeat_received(FkController *c, FkTime now, FkRequestId request,
                                      FkHeartbeat *heartbeat) {
  c->now = now;
  handle(c, (FkHeldHeartbeat){.request = request, .heartbeat = heartbeat, .received_at = now}, FALSE);
}

void fk_heartbeats_retry_held(FkController *c) {
  GQueue *held = c->workers.held_heartbeats;
  for (guint n = held->length; n; n--) {
    g_autofree FkHeldHeartbeat *message = g_queue_pop_head(held);
    handle(c, *message, TRUE);
  }
}
