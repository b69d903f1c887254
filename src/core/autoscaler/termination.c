/* Terminates machines, and releases their allocations once the cloud has confirmed the termination. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/controller.h"

#define TERMINATE_NAMES_MAX 100 /* most machines per call: the cloud's limit */
#define TERMINATION_INTERVAL_S 0.7
#define TERMINATION_RETRY_S 1.0
/* How long confirmed terminations are remembered: much longer than the lag of the cloud's list. */
#define TERMINATED_RETENTION_S 300.0
/* Least time between the drain of an empty machine and its termination: a task that was launched on the
 * machine just before the drain may not be in the view yet. */
#define DRAIN_STABLE_S 0.5

#define MIN_BILLED_S 60.0   /* the shortest time billed: terminating an instance earlier saves nothing */
#define JOIN_TIMEOUT_S 45.0 /* time allowed for joining once the cloud lists the instance as running */
#define BOOT_AGE_MAX 4.0    /* highest age of an instance that isn't listed as running, in boot times */
/* An instance that the cloud doesn't list as running is terminated if the probability that it joins within
 * the next BOOT_PROBABILITY_WITHIN boot times is less than BOOT_PROBABILITY_TERMINATE. */
#define BOOT_PROBABILITY_WITHIN 2.0
#define BOOT_PROBABILITY_TERMINATE 0.1

/* ------------------------------------------------------------------ replies */

/* Releases the allocations of a terminated machine, and removes the machine's record once the machine has no
 * allocations. The cloud's confirmation proves that the machine and all its tasks have ended, whichever
 * controller owns the shard. All allocations are therefore released at once, hundreds in one write. If this
 * controller ends before that write, the next leader terminates the machine again and gets the same reply. */
static void release_terminated_machine(FkController *c, FkMachine *machine) {
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    if (!fk_completion_is_pending(c, machine, allocation))
      fk_completions_add(c, machine, allocation, FK_COMPLETION_RELEASED, FALSE);
  }
  if (!machine->allocations->len)
    fk_machine_registry_remove(c, machine);
}

static void termination_confirmed(FkController *c, const char *id) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  g_hash_table_replace(a->terminated, g_strdup(id), g_memdup2(&c->now, sizeof c->now));
  g_hash_table_remove(a->booting, id);
  FkMachine *machine = fk_view_find_machine(c->view, id);
  if (machine && machine->record && fk_controller_is_ready(c))
    release_terminated_machine(c, machine);
}

void fk_controller_terminate_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome) {
  c->now = now;
  FkAutoscaler *a = c->autoscaling.autoscaler;
  gpointer key, value;
  if (!g_hash_table_steal_extended(a->terminate_calls, &call, &key, &value))
    return;
  g_free(key);
  g_autoptr(GPtrArray) ids = value;
  g_info("termination answered machines=%u outcome=%d", ids->len, outcome);
  for (guint i = 0; i < ids->len; i++) {
    g_hash_table_remove(a->terminating, ids->pdata[i]);
    if (outcome == FK_OUTCOME_OK)
      termination_confirmed(c, ids->pdata[i]);
  }
  if (outcome != FK_OUTCOME_OK)
    a->next_termination_at = fk_time_add(now, TERMINATION_RETRY_S);
}

/* ------------------------------------------------------------------ what to terminate */

static gboolean terminated_entry_expired(gpointer id, gpointer confirmed_at, gpointer now) {
  return fk_time_between(*(FkTime *)confirmed_at, *(FkTime *)now) > TERMINATED_RETENTION_S;
}

/* Returns whether the machine, which has a drain reason, is terminated only once it has no allocations. */
static gboolean terminates_when_empty(const FkMachine *machine) {
  return g_str_equal(machine->drain_reason, FK_DRAIN_REASON_IDLE) ||
         g_str_equal(machine->drain_reason, FK_DRAIN_REASON_DRAIN);
}

/* Returns whether the machine, which has a drain reason, may be terminated now. A machine drained as idle or
 * for consolidation must be empty, and DRAIN_STABLE_S must have passed since the drain. A machine with a
 * termination notice isn't terminated here, because the cloud itself terminates it. A machine whose
 * termination is in flight isn't terminated again. */
static gboolean can_terminate(FkController *c, const FkMachine *machine) {
  if (g_hash_table_contains(c->autoscaling.autoscaler->terminating, machine->id) ||
      g_str_equal(machine->drain_reason, "notice"))
    return FALSE;
  return !terminates_when_empty(machine) ||
         (!machine->allocations->len &&
          fk_time_between(machine->drain_reason_since, c->now) >= DRAIN_STABLE_S);
}

/* Adds the ids of the machines to terminate to `ids`, and releases the allocations of machines whose
 * termination the cloud has confirmed. Silent machines with services are passed to
 * fk_service_failover_select(), which limits how fast these machines are terminated. */
static void select_machines(FkController *c, GPtrArray *ids) {
  const FkAutoscaler *a = c->autoscaling.autoscaler;
  g_autoptr(GPtrArray) silent_with_services = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkMachine *machine = value;
    if (!machine->record || !machine->drain_reason || ids->len >= TERMINATE_NAMES_MAX)
      continue;
    if (g_hash_table_contains(a->terminated, machine->id))
      release_terminated_machine(c, machine);
    else if (!can_terminate(c, machine))
      continue;
    else if (g_str_equal(machine->drain_reason, "silent") && fk_machine_service_tasks(machine))
      g_ptr_array_add(silent_with_services, machine);
    else
      g_ptr_array_add(ids, g_strdup(machine->id));
  }
  fk_service_failover_select(c, silent_with_services, ids, TERMINATE_NAMES_MAX);
}

/* Returns whether the instance has failed to boot in time. Returns FALSE for an instance requested less than
 * MIN_BILLED_S ago, and TRUE for any other instance of unknown type. For an instance that the cloud has
 * listed as running, the time since then counts rather than the age, because thousands of machines that boot
 * at once take longer to join. */
static gboolean boot_timed_out(FkController *c, const FkBootingInstance *instance,
                               const FkInstanceType *type) {
  if (fk_time_between(instance->requested_at, c->now) < MIN_BILLED_S)
    return FALSE;
  if (!type)
    return TRUE;
  if (instance->running)
    return fk_time_between(instance->running_since, c->now) > JOIN_TIMEOUT_S;
  const FkBootTimeModel *boot_times = &c->autoscaling.autoscaler->boot_times;
  double age = fk_autoscaler_boot_age(c, instance, type);
  return age > BOOT_AGE_MAX ||
         fk_boot_time_join_probability(boot_times, age, BOOT_PROBABILITY_WITHIN) < BOOT_PROBABILITY_TERMINATE;
}

/* Adds the ids of instances that failed to boot to `ids`. Removes from `booting` the instances that have
 * joined or are terminated. Updates the model of boot times with the instances that joined or failed to
 * boot, unless their request times are only estimated. */
static void select_booting_instances(FkController *c, GPtrArray *ids) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, a->booting);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkBootingInstance *instance = value;
    const FkMachine *machine = fk_view_find_machine(c->view, instance->id);
    const FkInstanceType *type = g_hash_table_lookup(c->autoscaling.instance_types, instance->type);
    gboolean joined = machine && machine->record;
    gboolean is_observation = type && instance->request_time_exact;
    if (joined || g_hash_table_contains(a->terminated, instance->id)) {
      if (joined && is_observation)
        fk_boot_time_observe_joined(&a->boot_times, fk_autoscaler_boot_age(c, instance, type));
      g_hash_table_iter_remove(&it);
      continue;
    }
    if ((!instance->failed && !boot_timed_out(c, instance, type)) || ids->len >= TERMINATE_NAMES_MAX ||
        g_hash_table_contains(a->terminating, instance->id))
      continue;
    if (is_observation)
      fk_boot_time_observe_given_up(&a->boot_times, fk_autoscaler_boot_age(c, instance, type));
    g_ptr_array_add(ids, g_strdup(instance->id));
  }
}

/* Sends a call to the cloud that terminates the machines. Takes ownership of `ids`. */
static void send_termination(FkController *c, GPtrArray *ids) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  FkOutput *output = fk_output_new(c, FK_OUTPUT_TERMINATE);
  output->call = ++c->calls.last_id;
  output->names = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < ids->len; i++) {
    g_ptr_array_add(output->names, g_strdup(ids->pdata[i]));
    g_hash_table_add(a->terminating, g_strdup(ids->pdata[i]));
  }
  g_hash_table_insert(a->terminate_calls, g_memdup2(&output->call, sizeof output->call), ids);
  a->next_termination_at = fk_time_add(c->now, TERMINATION_INTERVAL_S);
}

void fk_autoscaler_terminate_machines(FkController *c) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  g_hash_table_foreach_remove(a->terminated, terminated_entry_expired, &c->now);
  if (!fk_time_reached(c->now, a->next_termination_at))
    return;
  g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
  select_machines(c, ids);
  select_booting_instances(c, ids);
  if (ids->len)
    send_termination(c, g_steal_pointer(&ids));
}
