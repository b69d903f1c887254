/* The periodic window of statistics. At the end of each window, every controller writes the wait times of its
 * short tasks to the store and logs its statistics. The leader adds up the wait times of all controllers and
 * sizes the short partition, the machines that newly arrived long jobs may not use (Elastic Sizing). */
#include "core/leader/leader_internal.h"
#include "core/scheduling/starvation.h"

#include <string.h>

#include "core/scheduling/backfill_reservation.h"

void fk_window_clear_blacklist(FkController *c) {
  GHashTableIter it;
  gpointer machine;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &machine))
    ((FkMachine *)machine)->blacklisted = FALSE;
}

/* ------------------------------------------------------------------ sizing */

/* Orders machines by the allocated CPUs of long tasks, fewest first, then spot machines first, then by id. */
static int compare_by_long_work(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  if (x->allocated_long_cpus != y->allocated_long_cpus)
    return x->allocated_long_cpus < y->allocated_long_cpus ? -1 : 1;
  if (x->record->spot != y->record->spot)
    return x->record->spot ? -1 : 1;
  return g_strcmp0(x->id, y->id);
}

/* CPUs of the allocated and waiting tasks: of short tasks, and of long tasks. */
typedef struct {
  double short_cpus, long_cpus;
} Demand;

/* Returns all machines that can take tasks (FkMachine, borrowed). Adds their allocated CPUs to `demand`. */
static GPtrArray *usable_machines(FkController *c, Demand *demand) {
  GPtrArray *machines = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkMachine *machine = value;
    if (!fk_machine_is_usable(c, machine))
      continue;
    g_ptr_array_add(machines, machine);
    demand->long_cpus += machine->allocated_long_cpus;
    demand->short_cpus += machine->allocated_cpus - machine->allocated_long_cpus;
  }
  return machines;
}

/* Adds the CPUs of waiting tasks to `demand`. A short partition that covers all machines keeps long tasks
 * from being allocated: if only allocated tasks counted, the partition's minimum size would never be lowered
 * again. */
static void add_waiting(FkController *c, Demand *demand) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkJob *job = value;
    double cpus = fk_job_waiting_tasks(job) * job->spec->cpus;
    if (fk_spec_is_long(c, job->spec))
      demand->long_cpus += cpus;
    else
      demand->short_cpus += cpus;
  }
}

static FkWaitTimes total_wait_times(FkController *c) {
  FkWaitTimes total = {0};
  GHashTableIter it;
  gpointer wait_times;
  g_hash_table_iter_init(&it, c->view->wait_times);
  while (g_hash_table_iter_next(&it, NULL, &wait_times))
    fk_wait_times_add(&total, wait_times);
  return total;
}

static void size_short_partition(FkController *c) {
  const FkTuning *tuning = &c->settings->tuning;
  FkElasticSizing *sizing = &c->leader.sizing;
  FkWaitTimes waits = total_wait_times(c);
  Demand demand = {0};
  g_autoptr(GPtrArray) machines = usable_machines(c, &demand);
  add_waiting(c, &demand);
  guint partition = fk_elastic_sizing_update(sizing, waits.capped_sum_s, waits.capped_count,
                                             tuning->max_wait_s, tuning->short_partition_span, machines->len,
                                             demand.short_cpus, demand.long_cpus);
  fk_window_clear_blacklist(c);
  g_ptr_array_sort(machines, compare_by_long_work);
  for (guint i = 0; i < partition && i < machines->len; i++)
    ((FkMachine *)machines->pdata[i])->blacklisted = TRUE;
  g_info("short partition sized starts=%" G_GUINT64_FORMAT " mean_wait_s=%.2f all_starts=%" G_GUINT64_FORMAT
         " all_mean_wait_s=%.2f wait_ratio=%.3f floor=%u blacklisted_above_floor=%u machines=%u",
         waits.capped_count, sizing->mean_wait_s, waits.count,
         waits.count ? waits.sum_s / (double)waits.count : 0, sizing->wait_ratio, sizing->floor,
         sizing->blacklisted, machines->len);
}

/* ------------------------------------------------------------------ logs */

/* Logs the number of machines of one type and purchase option, and the CPUs allocated on these machines. */
static void log_machine_type(FkController *c, const FkInstanceType *type, gboolean spot) {
  guint machines = 0;
  double allocated_cpus = 0, long_cpus = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkMachine *machine = value;
    if (!machine->record || machine->record->spot != spot || !g_str_equal(machine->record->type, type->name))
      continue;
    machines++;
    allocated_cpus += machine->allocated_cpus;
    long_cpus += machine->allocated_long_cpus;
  }
  if (machines)
    g_info("machines type=%s spot=%s machines=%u cpus=%.0f allocated_cpus=%.0f long_cpus=%.0f", type->name,
           spot ? "yes" : "no", machines, machines * type->cpus, allocated_cpus, long_cpus);
}

static void log_cluster(FkController *c) {
  GHashTableIter it;
  gpointer type;
  g_hash_table_iter_init(&it, c->autoscaling.instance_types);
  while (g_hash_table_iter_next(&it, NULL, &type)) {
    log_machine_type(c, type, FALSE);
    log_machine_type(c, type, TRUE);
  }
  FkView *view = c->view;
  double mean_run_s = view->finished_count ? view->finished_run_s / view->finished_count : 0;
  g_info("throughput tasks_done=%u mean_run_s=%.1f services_per_s=%.2f idle_retention_factor=%.1f "
         "idle_retention_factor_spot=%.1f",
         view->finished_count, mean_run_s, view->service_arrival_rate,
         fk_autoscaler_retention_factor(c, FALSE), fk_autoscaler_retention_factor(c, TRUE));
  view->finished_run_s = 0;
  view->finished_count = 0;
}

/* Logs the CPU time of the window by purpose: milliseconds, and how often each purpose was entered. This line
 * is parsed by src/simulation/scale/slopes.c. */
static void log_cpu_profile(FkController *c) {
  FkCpuProfile *profile = &c->cpu_profile;
  if (!profile->clock_ns)
    return;
  /* charges the time up to now to the current purpose */
  fk_cpu_profile_leave(profile, fk_cpu_profile_enter(profile, FK_CPU_LOOP));
  g_autoptr(GString) line = g_string_new(NULL);
  double total_ms = 0;
  for (guint i = 0; i < FK_CPU_PURPOSES; i++) {
    double spent_ms = (double)profile->spent_ns[i] / 1e6;
    total_ms += i == FK_CPU_IDLE ? 0 : spent_ms;
    g_string_append_printf(line, "%s %s %.0f/%u", i ? "," : "", fk_cpu_purpose_name(i), spent_ms,
                           profile->entries[i]);
    profile->spent_ns[i] = 0;
    profile->entries[i] = 0;
  }
  g_info("cpu profile total_ms=%.0f, ms and entries by purpose:%s", total_ms, line->str);
}

/* Logs the sizes of the tables that grow with the load or with time, and counts of rejected heartbeats. */
static void log_table_sizes(FkController *c) {
  FkView *view = c->view;
  guint owned = 0, allocations = 0, probes = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkMachine *machine = value;
    owned += machine->worker != NULL;
    allocations += machine->allocations->len;
    probes += machine->probes ? machine->probes->len : 0;
  }
  guint calls = g_hash_table_size(c->calls.pending_transactions) + g_hash_table_size(c->calls.pending_reads);
  g_info("view sizes jobs=%u machines=%u owned=%u allocations=%u terminal=%u chunks_with_completions=%u "
         "failing_jobs=%u failing_machines=%u",
         g_hash_table_size(view->jobs), g_hash_table_size(view->machines), owned, allocations,
         g_hash_table_size(view->terminal_phases), g_hash_table_size(view->completions_by_chunk),
         fk_fault_attribution_job_count(view->fault_attribution),
         fk_fault_attribution_machine_count(view->fault_attribution));
  g_info("controller sizes pending_completions=%u probes=%u held_heartbeats=%u redirects=%u calls=%u",
         g_hash_table_size(c->completions.pending), probes, c->workers.held_heartbeats->length,
         g_hash_table_size(c->workers.redirects), calls);
  g_info("heartbeats rejected duplicates=%u impossible_tokens=%u", c->workers.duplicate_heartbeats,
         c->workers.impossible_tokens);
  c->workers.duplicate_heartbeats = c->workers.impossible_tokens = 0;
}

/* Logs this controller's contact with its workers, by zone. */
static void log_zone_contact(FkController *c) {
  for (guint i = 0; i < c->workers.zones->len; i++) {
    const FkZoneReachability *zone = &g_array_index(c->workers.zones, FkZoneReachability, i);
    if (zone->machines)
      g_info("zone contact zone=%s machines=%u heard=%u outage=%s", zone->zone, zone->machines,
             zone->recently_seen, zone->outage_logged ? "yes" : "no");
  }
}

/* Logs how often free capacity was left to each blocked job. */
static void log_yields(FkController *c) {
  GHashTableIter it;
  gpointer job, times;
  g_hash_table_iter_init(&it, c->launches.yields);
  while (g_hash_table_iter_next(&it, &job, &times))
    g_info("capacity left free for_job=%s times=%u", (char *)job, GPOINTER_TO_UINT(times));
  g_hash_table_remove_all(c->launches.yields);
}

/* Logs how many scheduling cycles launched nothing, by reason, and the outcomes of launches. */
static void log_launches(FkController *c) {
  g_autoptr(GString) reasons = g_string_new(NULL);
  GHashTableIter it;
  gpointer reason, cycles;
  g_hash_table_iter_init(&it, c->launches.no_launch_reasons);
  while (g_hash_table_iter_next(&it, &reason, &cycles))
    g_string_append_printf(reasons, "; %s: %u", (char *)reason, GPOINTER_TO_UINT(cycles));
  g_info("cycles without a launch%s", reasons->str);
  g_hash_table_remove_all(c->launches.no_launch_reasons);
  log_yields(c);
  g_info("launches launched=%u conflicts=%u failures=%u", c->launches.launched, c->launches.conflicts,
         c->launches.failures);
  c->launches.launched = c->launches.conflicts = c->launches.failures = 0;
}

/* Logs the number of transactions and of their writes in this window, by priority. */
static void log_store_use(FkController *c) {
  const guint *transactions = c->calls.transactions, *writes = c->calls.transaction_writes;
  g_info("store transactions/writes lease=%u/%u user=%u/%u shard=%u/%u launch=%u/%u result=%u/%u resent=%u "
         "usual_delay_ms=%.0f",
         transactions[FK_PRIORITY_LEASE], writes[FK_PRIORITY_LEASE], transactions[FK_PRIORITY_USER],
         writes[FK_PRIORITY_USER], transactions[FK_PRIORITY_SHARD], writes[FK_PRIORITY_SHARD],
         transactions[FK_PRIORITY_LAUNCH], writes[FK_PRIORITY_LAUNCH], transactions[FK_PRIORITY_RESULT],
         writes[FK_PRIORITY_RESULT], c->calls.retried_count, 1e3 * c->calls.latency_ewma_s);
  c->calls.retried_count = 0;
  memset(c->calls.transactions, 0, sizeof c->calls.transactions);
  memset(c->calls.transaction_writes, 0, sizeof c->calls.transaction_writes);
}

/* ------------------------------------------------------------------ windows */

/* Ignores the outcome: a failed write isn't retried, and loses the wait times of a single window. */
static void on_wait_times_write_reply(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                      GPtrArray *failed) {}

/* Writes the window's wait times to the store. Does nothing if this controller has no lease, or if neither
 * this window nor this controller's record in the view has wait times. */
static void write_wait_times(FkController *c) {
  const FkWaitTimes *written = g_hash_table_lookup(c->view->wait_times, c->settings->node);
  if (!c->store_session.lease.n || (!c->window.waits.count && !(written && written->count)))
    return;
  FkOutput *transaction = fk_transaction_new(c, FK_PRIORITY_RESULT);
  FkRecord *record = fk_record_new(FK_STORE_KEY_WAIT_TIMES);
  record->wait_times = c->window.waits;
  record->wait_times.window = c->window.index;
  fk_transaction_put(transaction, fk_store_key_path(FK_STORE_KEY_WAIT_TIMES, c->settings->node), record,
                     c->store_session.lease);
  fk_transaction_send(c, transaction, on_wait_times_write_reply, NULL, NULL);
}

void fk_windows_tick(FkController *c) {
  if (!fk_time_reached(c->now, c->window.end))
    return;
  c->window.end = fk_time_add(c->now, c->settings->tuning.window_s);
  c->window.index++;
  write_wait_times(c);
  log_launches(c);
  log_store_use(c);
  log_cpu_profile(c);
  log_table_sizes(c);
  log_zone_contact(c);
  c->window.waits = (FkWaitTimes){0};
  if (!c->leader.is_leader)
    return;
  size_short_partition(c);
  log_cluster(c);
  fk_cost_accounting_log(c);
  fk_starvation_log(c);
  fk_backfill_reservation_log(c);
}
