/* Failover of services after the loss of many machines: how fast silent machines with services are
 * terminated, and for how many replicas capacity is wanted meanwhile.
 *
 * A service that can't be reached still serves until its lease ends or its machine is terminated. So a
 * machine that has gone silent with services on it is terminated no faster than they can be started
 * elsewhere: were it dead, they would wait for the store's writes instead; should it only be cut off, they go
 * on until their turn, and those whose turn doesn't come before it is heard again aren't lost at all. */
#include "core/controller_internal.h"

/* So many services may be without a machine: what the store's writes of half a second can start. */
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

/* Tasks of services that wait for a machine, or whose machine is being terminated. */
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
  /* The last machine may exceed the limit: one with more services than this would else wait until nothing
   * else does, and all drained after it with it (one with sixty replicas stood for twenty seconds). */
  for (guint i = 0; i < serving->len && names->len < names_max && unplaced < unplaced_max; i++) {
    const FkMachine *machine = serving->pdata[i];
    unplaced += fk_machine_service_tasks(machine);
    g_ptr_array_add(names, g_strdup(machine->id));
  }
}

/* All of them at once, although their machines are terminated one after the other: where no machine has free
 * capacity that would be one boot after the other (in the simulation a fifth of 2,000 machines took 53 s, now
 * 23 s). Should the machines be heard again, what was provisioned is idle, and is terminated. */
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
