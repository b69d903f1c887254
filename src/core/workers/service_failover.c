/* Failover of services after the loss of many machines: limits the rate at which silent machines with
 * services are terminated, and reports the replicas that need capacity elsewhere.
 *
 * A service on an unreachable machine may go on serving until the worker's lease ends or the machine is
 * terminated. Silent machines with services are therefore terminated no faster than the services can be
 * started elsewhere. If the machines are dead, the limit costs nothing: the replacements would have to wait
 * for store writes anyway. If the machines are only cut off, a service goes on until its machine is selected
 * for termination. Services on machines that are heard from again before that aren't interrupted at all. */
#include "core/controller_internal.h"

/* Limit on the number of unplaced replicas, at which no further machine is selected for termination. The
 * limit is the number of writes that the store accepts in UNPLACED_WRITE_SECONDS, since each start needs a
 * write, but at least UNPLACED_MIN. */
#define UNPLACED_WRITE_SECONDS 0.5
#define UNPLACED_MIN 2

static gboolean is_live_service(const FkAllocationRef *allocation) {
  return allocation->job->spec->shape == FK_SHAPE_SERVICE && !allocation->job->cancelled;
}

guint fk_machine_service_tasks(const FkMachine *machine) {
  guint count = 0;
  for (guint i = 0; i < machine->allocations->len; i++)
    count += is_live_service(&g_array_index(machine->allocations, FkAllocationRef, i));
  return count;
}

/* Returns the number of unplaced replicas: those that wait for a machine, and those on a machine whose
 * termination has been requested or confirmed. Replicas of cancelled services on a machine to be terminated
 * aren't counted. */
static guint unplaced_services(FkController *c) {
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->view->jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkJob *job = value;
    count += job->spec->shape == FK_SHAPE_SERVICE ? fk_job_waiting_tasks(job) : 0;
  }
  g_hash_table_iter_init(&iter, c->view->machines);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    count += fk_autoscaler_is_terminating(c, value) ? fk_machine_service_tasks(value) : 0;
  return count;
}

static int compare_drain_age(gconstpointer a, gconstpointer b) {
  const FkMachine *first = *(FkMachine *const *)a, *second = *(FkMachine *const *)b;
  gint64 first_us = first->drain_reason_since.us, second_us = second->drain_reason_since.us;
  if (first_us != second_us)
    return first_us < second_us ? -1 : 1;
  return g_strcmp0(first->id, second->id);
}

void fk_service_failover_select(FkController *c, GPtrArray *serving, GPtrArray *names, guint names_max) {
  if (!serving->len)
    return;
  guint unplaced = unplaced_services(c);
  guint unplaced_max = (guint)MAX(UNPLACED_MIN, UNPLACED_WRITE_SECONDS * c->settings->store_write_rps);
  g_ptr_array_sort(serving, compare_drain_age);
  /* The last selected machine may bring the number of unplaced replicas above the limit. Otherwise a machine
   * with more services than the limit would wait until no other service is unplaced, and block the machines
   * drained after it (a machine with sixty replicas waited for twenty seconds). */
  for (guint i = 0; i < serving->len && names->len < names_max && unplaced < unplaced_max; i++) {
    const FkMachine *machine = serving->pdata[i];
    unplaced += fk_machine_service_tasks(machine);
    g_ptr_array_add(names, g_strdup(machine->id));
  }
}

/* Capacity is requested for all services at once, although their machines are terminated one after the other.
 * Where no machine has free capacity, the new machines would otherwise boot one after the other as well (in
 * the simulation the failover of a fifth of 2,000 machines took 53 s that way, and takes 23 s if all capacity
 * is requested at once). If the silent machines are heard from again, the new machines are idle and are
 * terminated. */
GPtrArray *fk_service_failover_demand(FkController *c) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->view->machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkMachine *machine = value;
    if (!machine->record || g_strcmp0(machine->drain_reason, FK_DRAIN_REASON_SILENT) != 0)
      continue;
    for (guint i = 0; i < machine->allocations->len; i++) {
      const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
      if (is_live_service(allocation))
        g_ptr_array_add(jobs, allocation->job);
    }
  }
  return jobs;
}
