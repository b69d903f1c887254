/* The commands that make a worker start, stop or forget attempts, sent in the reply to the worker's heartbeat
 * or by a direct call. The commands are computed each time from the latest heartbeat and the allocations, so
 * a lost command is sent again as long as it is needed. */
#include "core/controller.h"
#include "core/workers/workers_internal.h"

#define COMMANDS_MAX 200 /* most commands in one message; keeps the message far below 64 KiB */
/* For a task with checkpoints, the grace period of a stop is the time to save a checkpoint plus this many
 * seconds. */
#define SAVE_SLACK_S 1.0
/* Pause before the next direct call after a call that the worker refused, or that got no usable reply. */
#define RETRY_REFUSED_S 0.2
#define RETRY_UNANSWERED_S 1.0
#define FIRST_INCARNATION 1 /* incarnation assumed for a worker from which no heartbeat was received */

static FkCommand *command_new(FkCommandKind kind, const char *job, guint32 task, FkAttempt attempt) {
  FkCommand *command = g_new0(FkCommand, 1);
  *command = (FkCommand){.kind = kind, .job = g_strdup(job), .task = task, .attempt = attempt};
  return command;
}

static FkCommand *command_for_status(FkCommandKind kind, const FkTaskStatus *status) {
  return command_new(kind, status->job, status->task, status->attempt);
}

static void command_free(gpointer data) {
  FkCommand *command = data;
  g_free(command->job);
  g_free(command);
}

/* ---- which commands a worker needs ---- */

static const FkAllocationRef *find_allocation(const FkMachine *machine, const FkTaskStatus *status) {
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    if (allocation->task == status->task && allocation->attempt.n == status->attempt.n &&
        g_str_equal(allocation->job->spec->id, status->job))
      return allocation;
  }
  return NULL;
}

static void add_stop_commands(const FkMachine *machine, GPtrArray *commands) {
  const GPtrArray *tasks = machine->worker->heartbeat->tasks;
  for (guint i = 0; i < tasks->len && commands->len < COMMANDS_MAX; i++) {
    const FkTaskStatus *status = tasks->pdata[i];
    if (status->state == FK_TASK_EXITED)
      continue;
    const FkAllocationRef *allocation = find_allocation(machine, status);
    if (!allocation || allocation->job->cancelled) {
      g_ptr_array_add(commands, command_for_status(FK_COMMAND_STOP, status));
    } else if (allocation->stop_requested && status->state != FK_TASK_SAVING) {
      const FkSpec *spec = allocation->job->spec;
      FkCommand *stop = command_for_status(FK_COMMAND_STOP, status);
      stop->grace_s = spec->checkpoint_s > 0 ? spec->save_s + SAVE_SLACK_S : 0;
      g_ptr_array_add(commands, stop);
    }
  }
}

/* Returns whether a start of the attempt may still be delivered, for the first time or again. */
static gboolean start_may_arrive(const FkWorkerState *worker, const char *attempt_key) {
  return g_hash_table_contains(worker->starts_unresolved, attempt_key) ||
         g_hash_table_contains(worker->starts_in_flight, attempt_key) ||
         g_hash_table_contains(worker->starts_in_reply, attempt_key);
}

/* Adds a command to forget each exited attempt without an allocation. An attempt whose start may still be
 * delivered is counted in `retained_attempts` instead: a worker that had forgotten the attempt would run it
 * again. */
static void add_forget_commands(const FkMachine *machine, GPtrArray *commands) {
  FkWorkerState *worker = machine->worker;
  const GPtrArray *tasks = worker->heartbeat->tasks;
  worker->retained_attempts = 0;
  for (guint i = 0; i < tasks->len && commands->len < COMMANDS_MAX; i++) {
    const FkTaskStatus *status = tasks->pdata[i];
    if (status->state != FK_TASK_EXITED || find_allocation(machine, status))
      continue;
    g_autofree char *key = fk_attempt_key(status->job, status->task, status->attempt);
    if (start_may_arrive(worker, key))
      worker->retained_attempts++;
    else
      g_ptr_array_add(commands, command_for_status(FK_COMMAND_FORGET, status));
  }
}

static void add_start_commands(FkController *c, const FkMachine *machine, GPtrArray *commands) {
  for (guint i = 0; i < machine->allocations->len && commands->len < COMMANDS_MAX; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    if (!fk_allocation_is_stopping(allocation) && !fk_worker_find_task(machine, allocation) &&
        !fk_completion_is_pending(c, machine, allocation))
      g_ptr_array_add(commands, command_new(FK_COMMAND_START, allocation->job->spec->id, allocation->task,
                                            allocation->attempt));
  }
}

/* Stops come first because the number of commands is bounded, and a reply renews the lease of every task that
 * it doesn't stop. */
GPtrArray *fk_commands_for_worker(FkController *c, FkMachine *machine) {
  GPtrArray *commands = g_ptr_array_new_with_free_func(command_free);
  add_stop_commands(machine, commands);
  add_forget_commands(machine, commands);
  add_start_commands(c, machine, commands);
  return commands;
}

void fk_commands_remember_starts(GHashTable *attempts, const GPtrArray *commands) {
  for (guint i = 0; i < commands->len; i++) {
    const FkCommand *command = commands->pdata[i];
    if (command->kind == FK_COMMAND_START)
      g_hash_table_add(attempts, fk_attempt_key(command->job, command->task, command->attempt));
  }
}

/* ---- direct calls ---- */

static gboolean can_call(FkController *c, const FkMachine *machine) {
  const FkWorkerState *worker = machine->worker;
  gboolean address_known = machine->record || worker->heartbeat;
  return !worker->command_call && address_known && fk_time_reached(c->now, worker->command_after) &&
         fk_worker_view_is_current(c) && (!fk_worker_view_is_stale(c) || fk_worker_has_echoed_token(machine));
}

/* Returns whether any command is urgent. Every command except FORGET is; a FORGET can wait for the reply to
 * the next heartbeat. */
static gboolean has_urgent(const GPtrArray *commands) {
  for (guint i = 0; i < commands->len; i++)
    if (((FkCommand *)commands->pdata[i])->kind != FK_COMMAND_FORGET)
      return TRUE;
  return FALSE;
}

static void call_worker(FkController *c, FkMachine *machine,
                        GPtrArray *commands /* ownership passes to the callee */) {
  FkWorkerState *worker = machine->worker;
  const FkHeartbeat *heartbeat = worker->heartbeat;
  FkOutput *output = fk_output_new(c, FK_OUTPUT_COMMANDS);
  output->call = ++c->calls.last_id;
  output->machine = g_strdup(machine->id);
  output->addr = g_strdup(machine->record ? machine->record->addr : heartbeat->addr);
  output->fencing_token = (FkFencingToken){machine->shard->rev.n};
  output->incarnation = heartbeat ? heartbeat->incarnation : FIRST_INCARNATION;
  output->commands = commands;
  fk_commands_remember_starts(worker->starts_in_flight, commands);
  g_debug("commands sent node=%s machine=%s incarnation=%" G_GUINT64_FORMAT " token=%" G_GUINT64_FORMAT
          " commands=%u",
          c->settings->node, machine->id, output->incarnation, output->fencing_token.n, commands->len);
  worker->command_call = output->call;
  worker->command_sent_at = c->now;
  worker->command_shard_rev = machine->shard->rev;
  fk_failure_detector_probe_sent(&worker->failure_detector);
  g_hash_table_insert(c->workers.commands, g_memdup2(&output->call, sizeof output->call),
                      (gpointer)machine->id);
}

void fk_commands_send(FkController *c, FkMachine *machine, gboolean probe) {
  FkWorkerState *worker = machine->worker;
  worker->reconciled = FALSE;
  if (!can_call(c, machine))
    return;
  /* A newly acquired worker from which no heartbeat was received is called without commands: the call
   * delivers the new token, and its reply contains the worker's state. */
  g_autoptr(GPtrArray) commands =
      worker->heartbeat ? fk_commands_for_worker(c, machine) : g_ptr_array_new_with_free_func(command_free);
  if (worker->heartbeat && !has_urgent(commands) && fk_worker_has_echoed_token(machine) && !probe) {
    worker->reconciled = TRUE;
    return;
  }
  call_worker(c, machine, g_steal_pointer(&commands));
}

/* ---- replies to direct calls ---- */

/* Removes the call from the calls in flight. Returns the machine that was called, or NULL if the reply can't
 * be used: the view isn't ready, the machine is no longer in the view or has no worker state, or the call is
 * not the machine's latest. */
static FkMachine *finish_call(FkController *c, guint64 call) {
  const char *id = g_hash_table_lookup(c->workers.commands, &call);
  g_hash_table_remove(c->workers.commands, &call);
  FkMachine *machine = id && fk_controller_is_ready(c) ? fk_view_find_machine(c->view, id) : NULL;
  if (!machine || !machine->worker || machine->worker->command_call != call)
    return NULL;
  machine->worker->command_call = 0;
  return machine;
}

/* Records that the starts of a finished call may still be delivered. The network may deliver the starts late
 * or twice for as long as the worker accepts the call's token and incarnation. The starts of a refused call
 * (FK_OUTCOME_CONFLICT) are dropped: the call's token or incarnation is outdated, so the worker will never
 * accept them. */
static void mark_starts_unresolved(FkWorkerState *worker, FkOutcome outcome) {
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init(&iter, worker->starts_in_flight);
  while (outcome != FK_OUTCOME_CONFLICT && g_hash_table_iter_next(&iter, &key, NULL))
    g_hash_table_replace(worker->starts_unresolved, g_strdup(key),
                         g_memdup2(&worker->command_shard_rev.n, sizeof worker->command_shard_rev.n));
  g_hash_table_remove_all(worker->starts_in_flight);
}

void fk_commands_abandon_call(FkController *c, FkMachine *machine, double min_age_s) {
  FkWorkerState *worker = machine->worker;
  if (!worker->command_call || fk_time_between(worker->command_sent_at, c->now) < min_age_s)
    return;
  mark_starts_unresolved(worker, FK_OUTCOME_UNKNOWN);
  worker->command_call = 0;
  worker->command_after.us = 0;
}

static void process_reply(FkController *c, FkMachine *machine,
                          FkHeartbeat *heartbeat /* ownership passes to the callee */) {
  FkFailureDetector *detector = &machine->worker->failure_detector;
  FkHeartbeatSequence sequence = fk_heartbeat_sequence(heartbeat);
  switch (fk_failure_detector_probe_answered(detector, sequence, c->settings->worker_lease_s, c->now)) {
  case FK_HEARTBEAT_RESTARTED:
    fk_worker_state_restart(c, machine, heartbeat);
    break;
  case FK_HEARTBEAT_NEW:
    fk_worker_state_set_heartbeat(c, machine, heartbeat);
    break;
  case FK_HEARTBEAT_STALE:
  case FK_HEARTBEAT_DUPLICATE:
    fk_heartbeat_free(heartbeat);
    break;
  }
}

void fk_controller_command_reply_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                          FkHeartbeat *taken) {
  g_autoptr(FkHeartbeat) heartbeat = taken;
  c->now = now;
  FkMachine *machine = finish_call(c, call);
  if (!machine)
    return;
  FkWorkerState *worker = machine->worker;
  gboolean answered = (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT) && heartbeat;
  mark_starts_unresolved(worker, outcome);
  if (outcome == FK_OUTCOME_CONFLICT)
    worker->command_after = fk_time_add(now, RETRY_REFUSED_S);
  if (!answered) {
    worker->command_after = fk_time_add(now, RETRY_UNANSWERED_S);
    fk_failure_detector_probe_missed(&worker->failure_detector, now);
    return;
  }
  if (!fk_machine_is_owned(c, machine))
    return;
  fk_worker_record_token(c, machine->shard, heartbeat->fencing_token);
  if (heartbeat->fencing_token.n > machine->shard->rev.n)
    return;
  process_reply(c, machine, g_steal_pointer(&heartbeat));
  fk_reconciliation_run(c, machine);
}
