/* Reconciliation compares a worker's latest heartbeat with its allocations. Each allocation that has
 * certainly ended becomes a completion; the other differences become commands. Reconciliation is
 * level-triggered: it runs again whenever a heartbeat or the reply to a direct call is received or the view
 * changes, and keeps no record of its earlier runs. */
#include "core/workers/workers_internal.h"

/* Minimum age of a fencing token before a new one is requested, so that the workers have time to receive the
 * present one. */
#define RENEW_TOKEN_AFTER_S 3.0
/* The same after a restart of a worker, which executes copies of earlier starts until it has a new token. The
 * limit bounds the renewals when many of a shard's workers restart together. */
#define RENEW_TOKEN_AFTER_RESTART_S 0.5
/* Number of retained attempts of a worker above which a new token is requested. */
#define RETAINED_ATTEMPTS_MAX 64
/* A machine that refused a start as full or busy gets no new allocation for this long. */
#define RETRY_FULL_MACHINE_S 2.0
/* A job that a worker refused as unknown gets no new allocation for this long. */
#define RETRY_UNKNOWN_JOB_S 1.0
/* The drain of a silent machine ends only if the last contact is less than this many seconds old. */
#define REACHABLE_AGAIN_S 1.0

gboolean fk_allocation_is_stopping(const FkAllocationRef *allocation) {
  return allocation->stop_requested || allocation->job->cancelled;
}

/* ---- fencing tokens ---- */

/* Requests a new token for the shard, unless the present one is younger than `min_age_s`. A worker that has
 * received the new token rejects starts that were sent under older ones. */
static void request_new_token(FkController *c, FkMachine *machine, double min_age_s) {
  if (fk_time_between(machine->worker->shard_rev_since, c->now) > min_age_s)
    machine->shard->acquire_wanted = TRUE;
}

void fk_reconciliation_renew_token(FkController *c, FkMachine *machine) {
  const FkWorkerState *worker = machine->worker;
  gboolean restarted = worker->restart_token.n && fk_rev_equal(worker->restart_token, machine->shard->rev);
  if (restarted)
    request_new_token(c, machine, RENEW_TOKEN_AFTER_RESTART_S);
  else if (worker->retained_attempts > RETAINED_ATTEMPTS_MAX)
    request_new_token(c, machine, RENEW_TOKEN_AFTER_S);
}

/* ---- allocations that have ended ---- */

typedef enum {
  VERDICT_KEEP,           /* running, may still start, or state not known */
  VERDICT_RELEASED,       /* certainly ended without success: failed, stopped, refused, or lease expired */
  VERDICT_DONE,           /* the task is done */
  VERDICT_NEEDS_NEW_TOKEN /* to be stopped and not running, but an earlier start may still be delivered until
                             the worker has echoed a new token */
} Verdict;

static Verdict verdict_by_status(const FkTaskStatus *status) {
  if (status->state != FK_TASK_EXITED)
    return VERDICT_KEEP;
  return status->exit_reason == FK_EXIT_DONE ? VERDICT_DONE : VERDICT_RELEASED;
}

static Verdict allocation_verdict(const FkMachine *machine, const FkAllocationRef *allocation,
                                  gboolean lease_expired) {
  const FkWorkerState *worker = machine->worker;
  if (lease_expired)
    return VERDICT_RELEASED;
  if (!worker || !worker->heartbeat || !fk_worker_has_echoed_token(machine))
    return VERDICT_KEEP;
  const FkTaskStatus *status = fk_worker_find_task(machine, allocation);
  if (status)
    return verdict_by_status(status);
  if (!fk_allocation_is_stopping(allocation))
    return VERDICT_KEEP;
  /* The worker doesn't report an allocation that is to be stopped. This proves that the allocation has ended
   * only if no start of it can still be delivered. */
  g_autofree char *key = fk_attempt_key(allocation->job->spec->id, allocation->task, allocation->attempt);
  if (g_hash_table_contains(worker->starts_in_flight, key) ||
      g_hash_table_contains(worker->starts_in_reply, key))
    return VERDICT_KEEP;
  return g_hash_table_contains(worker->starts_unresolved, key) ? VERDICT_NEEDS_NEW_TOKEN : VERDICT_RELEASED;
}

static FkExitReason exit_reason(const FkMachine *machine, const FkAllocationRef *allocation) {
  const FkTaskStatus *status = machine->worker ? fk_worker_find_task(machine, allocation) : NULL;
  return status && status->state == FK_TASK_EXITED ? status->exit_reason : FK_EXIT_NONE;
}

/* Pauses new allocations after a refused start: on the machine if the machine was full or busy, of the job if
 * the machine didn't know the job yet. A refusal isn't a failure of the task. */
static void back_off_after_refusal(FkController *c, FkMachine *machine, const FkAllocationRef *allocation,
                                   FkExitReason reason) {
  if (reason == FK_EXIT_FULL || reason == FK_EXIT_BUSY)
    machine->full_until = fk_time_add(c->now, RETRY_FULL_MACHINE_S);
  else if (reason == FK_EXIT_UNKNOWN)
    allocation->job->retry_at = fk_time_add(c->now, RETRY_UNKNOWN_JOB_S);
}

static FkCompletionKind completion_kind(Verdict verdict, FkExitReason reason, gboolean lease_expired) {
  if (verdict == VERDICT_DONE)
    return FK_COMPLETION_DONE;
  return reason == FK_EXIT_ERROR && !lease_expired ? FK_COMPLETION_FAILED : FK_COMPLETION_RELEASED;
}

static void add_completion(FkController *c, FkMachine *machine, const FkAllocationRef *allocation,
                           Verdict verdict, gboolean lease_expired) {
  g_debug("allocation ended job=%s task=%u attempt=%" G_GUINT64_FORMAT " machine=%s outcome=%s%s",
          allocation->job->spec->id, allocation->task, allocation->attempt.n, machine->id,
          verdict == VERDICT_DONE ? "done" : "released", lease_expired ? " reason=lease_expired" : "");
  FkExitReason reason = exit_reason(machine, allocation);
  fk_completions_add(c, machine, allocation, completion_kind(verdict, reason, lease_expired), TRUE);
  back_off_after_refusal(c, machine, allocation, reason);
}

void fk_reconciliation_complete_ended(FkController *c, FkMachine *machine, gboolean lease_expired) {
  gboolean token_needed = FALSE;
  guint ended = 0;
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    if (fk_completion_is_pending(c, machine, allocation))
      continue;
    Verdict verdict = allocation_verdict(machine, allocation, lease_expired);
    switch (verdict) {
    case VERDICT_KEEP:
      break;
    case VERDICT_NEEDS_NEW_TOKEN:
      token_needed = TRUE;
      break;
    case VERDICT_RELEASED:
    case VERDICT_DONE:
      add_completion(c, machine, allocation, verdict, lease_expired);
      ended++;
      break;
    }
  }
  if (ended && lease_expired)
    g_message("worker lease expired machine=%s released=%u silent_s=%.1f drain_reason=%s", machine->id, ended,
              fk_time_between(fk_worker_silent_since(machine), c->now),
              machine->drain_reason ? machine->drain_reason : "none");
  if (token_needed)
    request_new_token(c, machine, RENEW_TOKEN_AFTER_S);
}

/* ---- draining ---- */

void fk_reconciliation_set_drain_reason(FkController *c, FkMachine *machine, const char *reason,
                                        double notice_s) {
  const char *present = machine->drain_reason;
  if (!machine->record || g_strcmp0(present, reason) == 0)
    return;
  gboolean worse = present && reason && g_str_equal(present, FK_DRAIN_REASON_NOTICE) &&
                   g_str_equal(reason, FK_DRAIN_REASON_SILENT);
  if (present && reason && !worse)
    return;
  if (reason && g_strcmp0(machine->pending_drain_reason, reason) != 0)
    g_message("machine to be drained machine=%s reason=%s", machine->id, reason);
  fk_machine_registry_set_drain_reason(c, machine, reason, notice_s);
}

static gboolean is_reachable_again(FkController *c, const FkMachine *machine) {
  const FkFailureDetector *detector = &machine->worker->failure_detector;
  return fk_worker_has_echoed_token(machine) &&
         fk_time_between(detector->last_contact_at, c->now) < REACHABLE_AGAIN_S &&
         !fk_failure_detector_is_partitioned(detector, c->now);
}

static void update_drain_reason(FkController *c, FkMachine *machine) {
  double notice_s = machine->worker->heartbeat->termination_notice_s;
  if (notice_s >= 0)
    fk_reconciliation_set_drain_reason(c, machine, FK_DRAIN_REASON_NOTICE, notice_s);
  else if (fk_fault_attribution_machine_is_faulty(c->view->fault_attribution, machine->id))
    fk_reconciliation_set_drain_reason(c, machine, FK_DRAIN_REASON_FAULTY, -1);
  else if (fk_machine_is_drained_as_silent(machine) && is_reachable_again(c, machine))
    fk_machine_registry_set_drain_reason(c, machine, NULL, -1);
}

void fk_reconciliation_run(FkController *c, FkMachine *machine) {
  if (!machine->worker || !machine->worker->heartbeat)
    return;
  fk_reconciliation_complete_ended(c, machine, FALSE);
  fk_commands_send(c, machine, FALSE);
  fk_reconciliation_renew_token(c, machine);
  if (machine->record)
    update_drain_reason(c, machine);
}
