/* The state that a shard's owner keeps for each worker: the newest heartbeat, and the starts that may still
 * be delivered. */
#include "core/workers/workers_internal.h"

#define STALE_VIEW_S 2.5 /* a view confirmed longer ago than this may lack a later owner of a shard */
/* Maximum number of workers of a newly acquired shard that are sent the new fencing token immediately,
 * without waiting for their heartbeats. */
#define ANNOUNCEMENTS_PER_SHARD 2

gboolean fk_worker_view_is_current(FkController *c) {
  return fk_controller_is_ready(c) &&
         fk_time_between(fk_read_freshness_confirmed_at(c), c->now) < fk_stale_view_trust_s(c->settings);
}

gboolean fk_worker_view_is_stale(FkController *c) {
  return fk_time_between(fk_read_freshness_confirmed_at(c), c->now) >= STALE_VIEW_S;
}

/* ---- heartbeats and their statuses ---- */

FkHeartbeatSequence fk_heartbeat_sequence(const FkHeartbeat *heartbeat) {
  return (FkHeartbeatSequence){heartbeat->incarnation, heartbeat->sequence};
}

const FkTaskStatus *fk_heartbeat_find_task(const FkHeartbeat *heartbeat, const char *job, guint32 task,
                                           FkAttempt attempt) {
  for (guint i = 0; heartbeat && i < heartbeat->tasks->len; i++) {
    const FkTaskStatus *status = heartbeat->tasks->pdata[i];
    if (status->task == task && status->attempt.n == attempt.n && g_str_equal(status->job, job))
      return status;
  }
  return NULL;
}

const FkTaskStatus *fk_worker_find_task(const FkMachine *machine, const FkAllocationRef *allocation) {
  return fk_heartbeat_find_task(machine->worker->heartbeat, allocation->job->spec->id, allocation->task,
                                allocation->attempt);
}

/* Returns whether `in` lists every attempt that `from` lists. */
static gboolean heartbeat_includes(const FkHeartbeat *in, const FkHeartbeat *from) {
  for (guint i = 0; i < from->tasks->len; i++) {
    const FkTaskStatus *status = from->tasks->pdata[i];
    if (!fk_heartbeat_find_task(in, status->job, status->task, status->attempt))
      return FALSE;
  }
  return TRUE;
}

/* Returns whether the attempts that the heartbeats list differ, which only a command of this controller can
 * have caused. FALSE if `older` is NULL or from another incarnation. */
static gboolean heartbeat_shows_effect(const FkHeartbeat *older, const FkHeartbeat *newer) {
  if (!older || older->incarnation != newer->incarnation)
    return FALSE;
  return !heartbeat_includes(older, newer) || !heartbeat_includes(newer, older);
}

/* ---- creating and updating a worker's state ---- */

gboolean fk_worker_has_echoed_token(const FkMachine *machine) {
  if (!machine->worker)
    return FALSE;
  FkRev echoed = machine->worker->failure_detector.token_echoed;
  return echoed.n && echoed.n == machine->shard->rev.n;
}

static FkWorkerState *worker_state_new(void) {
  FkWorkerState *worker = g_new0(FkWorkerState, 1);
  worker->starts_unresolved = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  worker->starts_in_flight = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  worker->starts_in_reply = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return worker;
}

static void worker_state_free(gpointer data) {
  FkWorkerState *worker = data;
  g_hash_table_unref(worker->starts_unresolved);
  g_hash_table_unref(worker->starts_in_flight);
  g_hash_table_unref(worker->starts_in_reply);
  fk_heartbeat_free(worker->heartbeat);
  g_free(worker);
}

void fk_worker_state_refresh(FkController *c, FkMachine *machine) {
  FkShard *shard = machine->shard;
  if (!machine->worker) {
    machine->worker = worker_state_new();
    machine->worker_state_free = worker_state_free;
  }
  FkWorkerState *worker = machine->worker;
  if (worker->shard_rev.n != shard->rev.n) {
    worker->shard_rev = shard->rev;
    worker->shard_rev_since = c->now;
  }
  if (!worker->owned) {
    worker->owned = TRUE;
    shard->announcements_due = ANNOUNCEMENTS_PER_SHARD;
    fk_failure_detector_acquired(&worker->failure_detector, c->now);
  }
}

void fk_worker_state_clear(FkMachine *machine) { g_clear_pointer(&machine->worker, worker_state_free); }

static void discard_earlier_starts(FkWorkerState *worker) {
  g_hash_table_remove_all(worker->starts_unresolved);
  g_hash_table_remove_all(worker->starts_in_reply);
}

static gboolean sent_under_older_token(gpointer key, gpointer sent_under, gpointer token) {
  return *(guint64 *)sent_under < *(guint64 *)token;
}

/* Returns whether the heartbeat echoes the shard's present token. FALSE for a worker that restarted under
 * this token, since the heartbeat may be a duplicate from before the restart. */
static gboolean heartbeat_echoes_token(const FkMachine *machine, const FkHeartbeat *heartbeat) {
  FkRev token = machine->shard->rev;
  return heartbeat->fencing_token.n == token.n && !fk_rev_equal(machine->worker->restart_token, token);
}

void fk_worker_state_set_heartbeat(FkController *c, FkMachine *machine,
                                   FkHeartbeat *heartbeat /* ownership passes to the callee */) {
  FkWorkerState *worker = machine->worker;
  FkFailureDetector *detector = &worker->failure_detector;
  /* A worker ignores commands that were sent to an earlier incarnation. */
  if (worker->heartbeat && heartbeat->incarnation > worker->heartbeat->incarnation)
    discard_earlier_starts(worker);
  if (fk_failure_detector_is_suspected(detector) && heartbeat_shows_effect(worker->heartbeat, heartbeat))
    fk_failure_detector_effect_seen(detector);
  /* From now on the worker rejects starts sent under an older token. Starts sent under the present token may
   * still be executed. */
  if (heartbeat_echoes_token(machine, heartbeat) &&
      fk_failure_detector_token_echoed(detector, machine->shard->rev, c->now))
    g_hash_table_foreach_remove(worker->starts_unresolved, sent_under_older_token, &machine->shard->rev.n);
  fk_heartbeat_free(worker->heartbeat);
  worker->heartbeat = heartbeat;
  /* The heartbeat may be a duplicate from a machine that was terminated long ago. The machine is therefore
   * registered only after an echo of the present token, which proves that the machine exists now. */
  if (!machine->record && fk_worker_has_echoed_token(machine))
    fk_machine_registry_add(c, machine, worker->heartbeat);
}

/* Discards the record of starts sent before the restart. The network may still deliver duplicates of those
 * starts until the worker has received the next token. An echo of the present token isn't
 * counted after the restart, since the heartbeat that carries it may be from before the restart. */
void fk_worker_state_restart(FkController *c, FkMachine *machine,
                             FkHeartbeat *heartbeat /* ownership passes to the callee */) {
  FkWorkerState *worker = machine->worker;
  g_message("worker restarted machine=%s", machine->id);
  discard_earlier_starts(worker);
  worker->restart_token = machine->shard->rev;
  g_clear_pointer(&worker->heartbeat, fk_heartbeat_free);
  fk_worker_state_set_heartbeat(c, machine, heartbeat);
}

/* ---- tokens of later owners ---- */

/* A controller that can reach its workers, but neither the store nor its peers, learns from a worker's token
 * that another controller has acquired the shard. The new owner immediately sends its token to up to two
 * workers of each shard. As the token applies to the whole shard, one worker that echoes it is enough: from
 * then on each of the shard's workers is redirected at its next heartbeat, even if it hasn't received the
 * token yet. In an outage of the whole store no controller can acquire shards, so no worker is redirected
 * without need. A token that a fresh view lacks was never issued; this function ignores such a token, which
 * affects only the worker that echoes it. */
void fk_worker_record_token(FkController *c, FkShard *shard, FkFencingToken token) {
  if (!fk_worker_view_is_stale(c)) {
    shard->later_token.n = 0;
    return;
  }
  if (token.n <= MAX(shard->rev.n, shard->later_token.n))
    return;
  shard->later_token.n = token.n;
  g_message("shard lost shard=%s token=%" G_GUINT64_FORMAT " reason=later_token", shard->id, token.n);
}
