/* What an owner keeps of each of its workers: the newest heartbeat, and the starts that may still arrive. */
#include "core/workers/workers_internal.h"

#define STALE_VIEW_S 2.5          /* a view so old may lack a later owner of a shard */
#define ANNOUNCEMENTS_PER_SHARD 2 /* workers of a shard just acquired that are told at once */

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

/* Whether every attempt of `from` is in `in` as well. */
static gboolean heartbeat_includes(const FkHeartbeat *in, const FkHeartbeat *from) {
  for (guint i = 0; i < from->tasks->len; i++) {
    const FkTaskStatus *status = from->tasks->pdata[i];
    if (!fk_heartbeat_find_task(in, status->job, status->task, status->attempt))
      return FALSE;
  }
  return TRUE;
}

/* Whether the newer heartbeat shows something that only a command of ours brings about: an attempt that is
 * new, or one that has gone. Asked only while it is in doubt whether the worker receives our messages. */
static gboolean heartbeat_shows_effect(const FkHeartbeat *older, const FkHeartbeat *newer) {
  if (!older || older->incarnation != newer->incarnation)
    return FALSE;
  return !heartbeat_includes(older, newer) || !heartbeat_includes(newer, older);
}

/* ---- the state of a worker ---- */

gboolean fk_worker_has_echoed_token(const FkMachine *machine) {
  if (!machine->worker)
    return FALSE;
  FkRev echoed = machine->worker->failure_detector.token_echoed;
  return echoed.n && echoed.n == machine->shard->rev.n;
}

static FkWorkerState *worker_state_new(void) {
  FkWorkerState *worker = g_new0(FkWorkerState, 1);
  worker->starts_in_doubt = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  worker->starts_in_flight = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  worker->starts_replied = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return worker;
}

static void worker_state_free(gpointer data) {
  FkWorkerState *worker = data;
  g_hash_table_unref(worker->starts_in_doubt);
  g_hash_table_unref(worker->starts_in_flight);
  g_hash_table_unref(worker->starts_replied);
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

static void forget_earlier_starts(FkWorkerState *worker) {
  g_hash_table_remove_all(worker->starts_in_doubt);
  g_hash_table_remove_all(worker->starts_replied);
}

static gboolean sent_under_older_token(gpointer key, gpointer sent_under, gpointer token) {
  return *(guint64 *)sent_under < *(guint64 *)token;
}

/* Whether the heartbeat shows the shard's present token. What restarted under this token has shown nothing of
 * its new incarnation yet. */
static gboolean heartbeat_echoes_token(const FkMachine *machine, const FkHeartbeat *heartbeat) {
  FkRev token = machine->shard->rev;
  return heartbeat->fencing_token.n == token.n && !fk_rev_equal(machine->worker->restarted_under, token);
}

void fk_worker_state_set_heartbeat(FkController *c, FkMachine *machine, FkHeartbeat *heartbeat /* taken */) {
  FkWorkerState *worker = machine->worker;
  FkFailureDetector *detector = &worker->failure_detector;
  /* Nothing that was sent to an earlier incarnation can arrive any more. */
  if (worker->heartbeat && heartbeat->incarnation > worker->heartbeat->incarnation)
    forget_earlier_starts(worker);
  if (fk_failure_detector_is_suspected(detector) && heartbeat_shows_effect(worker->heartbeat, heartbeat))
    fk_failure_detector_effect_seen(detector);
  /* Starts sent under an older token can't be carried out any more. Those sent under this one before it was
   * echoed still can. */
  if (heartbeat_echoes_token(machine, heartbeat) &&
      fk_failure_detector_token_echoed(detector, machine->shard->rev, c->now))
    g_hash_table_foreach_remove(worker->starts_in_doubt, sent_under_older_token, &machine->shard->rev.n);
  fk_heartbeat_free(worker->heartbeat);
  worker->heartbeat = heartbeat;
  /* A duplicate may come from a machine that was terminated long ago: a machine that hasn't shown that it is
   * there now isn't registered. */
  if (!machine->record && fk_worker_has_echoed_token(machine))
    fk_machine_registry_add(c, machine, worker->heartbeat);
}

/* What was sent to the worker before it restarted belongs to connections that are gone. What the network may
 * repeat is fenced off by the next token; until then the present token proves nothing. */
void fk_worker_state_restart(FkController *c, FkMachine *machine, FkHeartbeat *heartbeat /* taken */) {
  FkWorkerState *worker = machine->worker;
  g_message("worker restarted machine=%s", machine->id);
  forget_earlier_starts(worker);
  worker->restarted_under = machine->shard->rev;
  g_clear_pointer(&worker->heartbeat, fk_heartbeat_free);
  fk_worker_state_set_heartbeat(c, machine, heartbeat);
}

/* ---- tokens of later owners ---- */

/* A controller that has lost the store and its peers, but still has its workers, learns from them that
 * another has taken over. The new owner announces its token to a worker of each shard at once, and the token
 * of one worker is the token of all; so all of the shard's workers are redirected as they report, not one
 * after the other as each hears of it. In an outage of the whole store nobody can acquire shards, so no
 * worker is redirected in vain. While the view is fresh, a token that it lacks was never issued, and counts
 * for nothing but its own worker. */
void fk_worker_note_token(FkController *c, FkShard *shard, FkFencingToken token) {
  if (!fk_worker_view_is_stale(c)) {
    shard->later_token.n = 0;
    return;
  }
  if (token.n <= MAX(shard->rev.n, shard->later_token.n))
    return;
  shard->later_token.n = token.n;
  g_message("shard lost shard=%s token=%" G_GUINT64_FORMAT " reason=later_token", shard->id, token.n);
}
