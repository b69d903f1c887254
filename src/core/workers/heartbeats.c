/* Handles workers' heartbeats. A worker of an owned shard gets commands in reply. Another shard's worker is
 * redirected to that shard's owner, or its heartbeat is held briefly while this controller acquires the
 * shard. */
#include "core/controller.h"
#include "core/workers/workers_internal.h"

#define HOLD_MAX_S 3.0 /* longest time that a heartbeat is held before it is rejected */
/* A probe of a worker that may have restarted is given up after this long, and sent again. */
#define RESTART_PROBE_TIMEOUT_S 0.3
#define DUPLICATE_PROBE_AFTER_S 1.0 /* minimum age of the last contact for a duplicate to cause a probe */

/* HTTP statuses of a reply to a heartbeat. */
#define STATUS_OK 200
#define STATUS_MISDIRECTED 421 /* another controller is the owner, or seems to be */
#define STATUS_UNAVAILABLE 503

FkOutput *fk_heartbeat_reply_new(FkController *c, FkRequestId request, int status) {
  FkOutput *output = fk_output_new(c, FK_OUTPUT_HEARTBEAT_REPLY);
  output->request = request;
  output->status = status;
  return output;
}

/* ---- heartbeats of shards that this controller doesn't own ---- */

/* Returns whether the shard's owner is alive, but has restarted and not yet reacquired the shard. The owner
 * reacquires its shards by itself. */
static gboolean owner_is_restarting(FkController *c, const FkShard *shard) {
  const FkControllerNode *node = shard->owner ? g_hash_table_lookup(c->view->nodes, shard->owner) : NULL;
  return node && g_strcmp0(node->incarnation, shard->owner_incarnation) != 0;
}

/* Returns the controller that should handle the shard's heartbeats: the owner if that is another live
 * controller, else the shard's preferred owner, which is the same for all controllers with the same view. */
static const char *responsible_controller(FkController *c, const FkShard *shard) {
  gboolean owned_by_other =
      shard->owner && !g_str_equal(shard->owner, c->settings->node) && fk_node_is_alive(c, shard->owner);
  return owned_by_other ? shard->owner : fk_shard_preferred_owner(c, shard);
}

/* Redirects the worker to the controller `responsible`, which isn't this one. Returns FALSE without a
 * redirect if this controller is to acquire the shard, or if the shard hasn't changed since the heartbeat was
 * first held. */
static gboolean redirect_worker(FkController *c, FkShard *shard, const char *responsible,
                                const FkHeldHeartbeat *message, gboolean was_held) {
  const char *machine = message->heartbeat->machine;
  /* A worker that returns soon after a redirect can't reach the controller `responsible`, unless that
   * controller is restarting. */
  if (!was_held && fk_redirect_is_recent(c, machine, responsible) && !owner_is_restarting(c, shard))
    fk_redirect_record_return(c, shard, machine);
  if (shard->acquire_wanted || (was_held && fk_rev_equal(message->shard_rev, shard->rev)))
    return FALSE;
  fk_redirect_send(c, message->request, machine, responsible);
  return TRUE;
}

static void hold_heartbeat(FkController *c, const FkHeldHeartbeat *message) {
  g_queue_push_tail(c->workers.held_heartbeats, g_memdup2(message, sizeof *message));
}

static void handle_for_other_shard(FkController *c, FkShard *shard,
                                   FkHeldHeartbeat message /* ownership passes to the callee */,
                                   gboolean was_held) {
  g_autoptr(FkHeartbeat) heartbeat = message.heartbeat;
  const char *responsible = responsible_controller(c, shard);
  if (!g_str_equal(responsible, c->settings->node)) {
    if (redirect_worker(c, shard, responsible, &message, was_held))
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
  hold_heartbeat(c, &message);
}

/* ---- heartbeats of shards that this controller owns ---- */

/* Returns the HTTP status that rejects a heartbeat because of its fencing token, or 0 to accept it. */
static int rejection_by_token(FkController *c, const FkShard *shard, FkFencingToken token) {
  /* A worker without a token may have restarted and forgotten the token of a later owner, so it no longer
   * ignores this controller's replies. With a stale view a later owner can't be ruled out. A worker with a
   * token received the token after its latest start, from a controller that owned the shard. */
  if (!token.n && fk_worker_view_is_stale(c))
    return STATUS_UNAVAILABLE;
  /* A token above the shard's revision shows that there is a later owner. A fresh view would show that owner,
   * so a token above the revision in a fresh view was never issued; the heartbeat is counted in
   * `impossible_tokens`. */
  if (MAX(token.n, shard->later_token.n) > shard->rev.n) {
    c->workers.impossible_tokens += !shard->later_token.n && !fk_worker_view_is_stale(c);
    return STATUS_MISDIRECTED;
  }
  return 0;
}

/* Rejects a heartbeat that looks like a duplicate. The heartbeats of a restarted worker look like duplicates
 * too, since its sequence numbers have started over. A probe distinguishes the two cases; it is sent unless
 * there was contact with the worker just before. */
static void reject_duplicate(FkController *c, FkRequestId request, FkMachine *machine) {
  c->workers.duplicate_heartbeats++;
  fk_heartbeat_reply_new(c, request, STATUS_UNAVAILABLE);
  if (fk_time_between(machine->worker->failure_detector.last_contact_at, c->now) >= DUPLICATE_PROBE_AFTER_S)
    fk_commands_send(c, machine, TRUE);
}

/* Returns whether the heartbeat is from another life of the worker than the newest message: a worker never
 * loses its token, but by a restart. Either the worker has restarted, or the heartbeat is a copy from before
 * a restart. An older heartbeat of the same life may still be on its way. */
static gboolean is_from_another_life(const FkMachine *machine, const FkHeartbeat *heartbeat) {
  const FkFailureDetector *detector = &machine->worker->failure_detector;
  FkHeartbeatSequence sequence = fk_heartbeat_sequence(heartbeat);
  gboolean in_order = fk_heartbeat_sequence_after(sequence, detector->newest_heartbeat) &&
                      !fk_heartbeat_sequence_after(sequence, detector->newest_message);
  return heartbeat->fencing_token.n < detector->token_echoed.n && !in_order;
}

/* Rejects a heartbeat from another life of the worker, and probes the worker at once: if it has restarted, it
 * executes copies of all earlier starts until it receives a token that is later than theirs. A call in flight
 * was probably sent before the restart, and gets no reply. */
static void reject_from_another_life(FkController *c, FkRequestId request, FkMachine *machine,
                                     FkFencingToken token) {
  g_debug("heartbeat from another life node=%s machine=%s token=%" G_GUINT64_FORMAT
          " echoed=%" G_GUINT64_FORMAT,
          c->settings->node, machine->id, token.n, machine->worker->failure_detector.token_echoed.n);
  c->workers.duplicate_heartbeats++;
  fk_heartbeat_reply_new(c, request, STATUS_UNAVAILABLE);
  fk_commands_abandon_call(c, machine, RESTART_PROBE_TIMEOUT_S);
  fk_commands_send(c, machine, TRUE);
}

/* Replies with the commands for the state that the latest heartbeat shows. The worker need not know the
 * present fencing token yet, since the reply carries it. */
static void reply_with_commands(FkController *c, FkRequestId request, FkMachine *machine,
                                FkHeartbeatSequence sequence) {
  FkWorkerState *worker = machine->worker;
  FkOutput *output = fk_heartbeat_reply_new(c, request, STATUS_OK);
  output->fencing_token = (FkFencingToken){machine->shard->rev.n};
  output->commands = fk_commands_for_worker(c, machine);
  fk_commands_remember_starts(worker->starts_in_reply, output->commands);
  worker->starts_in_reply_to = sequence;
  fk_failure_detector_reply_sent(&worker->failure_detector, c->now);
  g_debug("heartbeat answered node=%s machine=%s incarnation=%" G_GUINT64_FORMAT " token=%" G_GUINT64_FORMAT
          " commands=%u",
          c->settings->node, machine->id, worker->heartbeat->incarnation, output->fencing_token.n,
          output->commands->len);
}

static void handle_from_worker(FkController *c, FkRequestId request, FkMachine *machine, FkHeartbeat *taken) {
  g_autoptr(FkHeartbeat) heartbeat = taken;
  if (is_from_another_life(machine, heartbeat)) {
    reject_from_another_life(c, request, machine, heartbeat->fencing_token);
    return;
  }
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
  /* The worker has read or dropped the replies to its earlier heartbeats, so the starts in those replies
   * can't be delivered any more. */
  if (fk_heartbeat_sequence_after(sequence, worker->starts_in_reply_to))
    g_hash_table_remove_all(worker->starts_in_reply);
  if (g_strcmp0(machine->drain_reason, FK_DRAIN_REASON_SILENT) == 0 &&
      fk_failure_detector_is_partitioned(detector, c->now)) {
    /* The machine is drained as silent and will be terminated. The worker may never receive a reply, but each
     * reply would postpone the time at which the worker's lease is known to have expired. */
    fk_heartbeat_reply_new(c, request, STATUS_UNAVAILABLE);
    return;
  }
  reply_with_commands(c, request, machine, sequence);
  fk_reconciliation_run(c, machine);
}

static void handle_for_owned_shard(FkController *c, FkShard *shard,
                                   FkHeldHeartbeat message /* ownership passes to the callee */) {
  g_autoptr(FkHeartbeat) heartbeat = message.heartbeat;
  c->view->now = c->now;
  FkMachine *machine = fk_view_ensure_machine(c->view, heartbeat->machine);
  fk_view_assign_shard(c->view, machine, heartbeat->zone);
  if (machine->shard != shard) {
    /* The heartbeat names another zone than the machine's, but a machine's shard never changes. */
    fk_heartbeat_reply_new(c, message.request, STATUS_MISDIRECTED);
    return;
  }
  if (!machine->worker)
    fk_worker_state_refresh(c, machine);
  fk_worker_record_token(c, shard, heartbeat->fencing_token);
  int rejection = rejection_by_token(c, shard, heartbeat->fencing_token);
  if (rejection) {
    fk_heartbeat_reply_new(c, message.request, rejection);
    return;
  }
  handle_from_worker(c, message.request, machine, g_steal_pointer(&heartbeat));
}

/* ---- dispatch of heartbeats, by whether this controller owns the shard ---- */

/* Replies to the heartbeat or holds it. `was_held`: the heartbeat was held by an earlier call. */
static void handle_heartbeat(FkController *c, FkHeldHeartbeat message /* ownership passes to the callee */,
                             gboolean was_held) {
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
  handle_heartbeat(c, (FkHeldHeartbeat){.request = request, .heartbeat = heartbeat, .received_at = now},
                   FALSE);
}

void fk_heartbeats_retry_held(FkController *c) {
  GQueue *held = c->workers.held_heartbeats;
  for (guint n = held->length; n; n--) {
    g_autofree FkHeldHeartbeat *message = g_queue_pop_head(held);
    handle_heartbeat(c, *message, TRUE);
  }
}
