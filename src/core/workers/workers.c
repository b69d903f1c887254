/* Periodic checks of this controller's workers for expired leases and silence, and reconciliation after
 * changes of the view. */
#include "core/workers/workers_internal.h"

#define SCAN_SLICES 5 /* number of slices of each shard's workers; each tick checks one slice */
/* A round is SCAN_SLICES ticks, which check all workers once. A worker with nothing pending is fully checked
 * only once in FULL_CHECK_ROUNDS rounds. */
#define FULL_CHECK_ROUNDS 4
/* A tick that comes more than TICK_LATE_S after the previous tick shows that this controller is overloaded.
 * For BEHIND_PAUSE_S after a late tick no worker counts as silent or partitioned. */
#define TICK_LATE_S 0.7
#define BEHIND_PAUSE_S 3.0
/* Number of missed probes after which a machine that isn't registered isn't probed any more. */
#define UNREGISTERED_PROBES_MAX 2
/* A machine that isn't registered stays in the view for at least this long after the last contact. */
#define UNREGISTERED_CONTACT_S 60.0
/* An allocation on a machine that isn't registered is released when the view has shown the allocation for
 * longer than this. */
#define UNREGISTERED_ALLOCATION_S 1.0
/* A machine gets no new tasks when the last contact is older than both USABLE_CONTACT_MIN_S and
 * USABLE_CONTACT_INTERVALS heartbeat intervals. */
#define USABLE_CONTACT_MIN_S 5.0
#define USABLE_CONTACT_INTERVALS 2.0

/* ---- changes of the view ---- */

void fk_workers_view_changed(FkController *c) {
  g_autoptr(GHashTable) changed = g_steal_pointer(&c->view->changed_machines);
  c->view->changed_machines = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init(&iter, changed);
  while (g_hash_table_iter_next(&iter, &id, NULL)) {
    FkMachine *machine = fk_view_find_machine(c->view, id);
    if (!machine)
      continue;
    if (!fk_machine_is_owned(c, machine)) {
      fk_worker_state_clear(machine);
      g_clear_pointer(&machine->probes, g_ptr_array_unref);
      continue;
    }
    fk_worker_state_refresh(c, machine);
    fk_reconciliation_run(c, machine);
  }
  fk_heartbeats_retry_held(c);
}

/* ---- liveness check of one worker ---- */

FkTime fk_worker_lease_expires_at(FkController *c, const FkMachine *machine) {
  FkTime from =
      fk_failure_detector_lease_start(&machine->worker->failure_detector, fk_stale_view_trust_s(c->settings));
  return fk_time_add(from, fk_lease_expiry_s(c->settings));
}

static void drain_if_unreachable(FkController *c, FkMachine *machine, const FkZoneReachability *zone) {
  const FkFailureDetector *detector = &machine->worker->failure_detector;
  if (fk_worker_is_silent(c, machine, zone))
    fk_reconciliation_set_drain_reason(c, machine, FK_DRAIN_REASON_SILENT, -1);
  if (machine->record && !machine->drain_reason && fk_worker_is_partitioned(c, machine, zone)) {
    g_message("worker partitioned machine=%s missed_probes=%u lease_lapsed=%s", machine->id,
              detector->missed_probes, detector->lease_lapsed ? "true" : "false");
    fk_reconciliation_set_drain_reason(c, machine, FK_DRAIN_REASON_SILENT, -1);
  }
}

/* Every check looks for silence and for an expired lease, since no event informs the controller of them. All
 * other changes come with a heartbeat, a reply or a change of the view and are handled at that time. For a
 * worker with nothing pending, the commands are therefore computed only if `fully` is TRUE or the worker must
 * be probed. */
static void check_worker(FkController *c, FkMachine *machine, const FkZoneReachability *zone,
                         gboolean fully) {
  FkWorkerState *worker = machine->worker;
  const FkFailureDetector *detector = &worker->failure_detector;
  double silent_s = fk_time_between(fk_worker_silent_since(machine), c->now);
  drain_if_unreachable(c, machine, zone);
  fk_reconciliation_renew_token(c, machine);
  if (!machine->record && detector->missed_probes >= UNREGISTERED_PROBES_MAX)
    return; /* the machine doesn't reply, so the heartbeats that name it are probably duplicates */
  gboolean probe =
      silent_s > fk_worker_probe_after_s(c, machine) || fk_failure_detector_is_suspected(detector);
  if (fk_time_reached(c->now, fk_worker_lease_expires_at(c, machine)))
    fk_reconciliation_complete_ended(c, machine, TRUE);
  else if (worker->reconciled && !probe && !fully)
    return;
  else
    fk_commands_send(c, machine, probe);
  if (worker->heartbeat)
    fk_reconciliation_complete_ended(c, machine, FALSE);
}

/* ---- unregistered machines ---- */

/* Releases the allocations of an unregistered machine, which is permanently gone. Allocations that the view
 * has shown for at most UNREGISTERED_ALLOCATION_S are skipped. Called only on the leader. */
static void release_allocations(FkController *c, const FkMachine *machine) {
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    if (!fk_completion_is_pending(c, machine, allocation) &&
        fk_time_between(allocation->first_seen_at, c->now) > UNREGISTERED_ALLOCATION_S)
      fk_completions_add(c, machine, allocation, FK_COMPLETION_RELEASED, FALSE);
  }
}

/* Removes unregistered machines from the view. Machines with allocations, reserved CPUs or recent contact
 * stay. On the leader, releases the allocations on unregistered machines. */
static void remove_gone_machines(FkController *c) {
  g_autoptr(GPtrArray) gone = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->view->machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    FkMachine *machine = value;
    if (machine->record)
      continue;
    if (c->leader.is_leader)
      release_allocations(c, machine);
    gboolean in_contact =
        machine->worker && fk_time_between(fk_worker_silent_since(machine), c->now) < UNREGISTERED_CONTACT_S;
    if (!machine->allocations->len && machine->reserved_cpus <= 0 && !in_contact)
      g_ptr_array_add(gone, machine);
  }
  for (guint i = 0; i < gone->len; i++)
    fk_view_remove_machine(c->view, gone->pdata[i]);
}

/* ---- periodic checks of the workers ---- */

/* Calls at most `announcements_due` registered workers of the shard to deliver its new fencing token without
 * waiting for their heartbeats. Workers that have echoed the token are skipped. */
static void announce_ownership(FkController *c, FkShard *shard) {
  for (guint i = 0; i < shard->machines->len && shard->announcements_due; i++) {
    FkMachine *machine = shard->machines->pdata[i];
    if (!machine->record || !machine->worker || fk_worker_has_echoed_token(machine))
      continue;
    fk_commands_send(c, machine, TRUE);
    shard->announcements_due--;
  }
  shard->announcements_due = 0;
}

static void detect_late_tick(FkController *c) {
  FkTime last = c->workers.last_tick;
  if (last.us && fk_time_between(last, c->now) > TICK_LATE_S)
    c->workers.behind_until = fk_time_add(c->now, BEHIND_PAUSE_S);
  c->workers.last_tick = c->now;
}

static void check_slice(FkController *c, FkShard *shard, const FkZoneReachability *zone) {
  for (guint i = c->workers.slice; fk_shard_is_owned(c, shard) && i < shard->machines->len;
       i += SCAN_SLICES) {
    FkMachine *machine = shard->machines->pdata[i];
    gboolean fully = (i / SCAN_SLICES + c->workers.round) % FULL_CHECK_ROUNDS == 0;
    if (machine->worker)
      check_worker(c, machine, zone, fully);
  }
}

void fk_workers_tick(FkController *c) {
  detect_late_tick(c);
  fk_redirects_expire(c);
  fk_heartbeats_retry_held(c);
  c->workers.slice = (c->workers.slice + 1) % SCAN_SLICES;
  if (!c->workers.slice) {
    c->workers.round++;
    remove_gone_machines(c);
    fk_zone_reachability_update(c);
  }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->view->shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    FkShard *shard = value;
    const FkZoneReachability *zone = fk_zone_reachability_find(c, shard->zone);
    if (fk_shard_is_owned(c, shard))
      announce_ownership(c, shard);
    check_slice(c, shard, zone);
  }
}

gboolean fk_machine_is_available(const FkMachine *machine) {
  return machine->record && !machine->drain_reason && !(machine->shard && machine->shard->unreachable);
}

/* An owned machine without recent contact, or one that doesn't receive messages, may be gone. It gets no new
 * tasks until there is contact again. Contact with another controller's machine is known only as far as the
 * owner reports the zone as unreachable. */
gboolean fk_machine_is_usable(FkController *c, const FkMachine *machine) {
  if (!fk_machine_is_available(machine) || !fk_time_reached(c->now, machine->full_until))
    return FALSE;
  if (!fk_machine_is_owned(c, machine) || !machine->worker)
    return TRUE;
  const FkFailureDetector *detector = &machine->worker->failure_detector;
  double contact_s = MAX(USABLE_CONTACT_MIN_S, USABLE_CONTACT_INTERVALS * c->settings->heartbeat_interval_s);
  return !fk_failure_detector_is_suspected(detector) &&
         fk_time_between(detector->last_contact_at, c->now) < contact_s;
}
