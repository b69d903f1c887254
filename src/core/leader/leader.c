/* The leader: a key on a hold names it. It places long jobs, sizes the short partition, rents and returns.
 * Nothing is unsafe when two controllers think they lead: every decision is guarded by itself. */
#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/long_path.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/preemption_cost.h"
#include "core/scheduling/starvation.h"
#include "core/scheduling/stop_transaction.h"
#include "core/scheduling/team_quota.h"

#include <string.h>

static void on_leader_key_written(FkController *c, gpointer data, FkOutcome o, FkRev epoch,
                                  GPtrArray *failed) {
  c->leader.write_pending = FALSE;
  c->leader.retry_at = fk_time_add(c->now, o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT ? 0.1 : 0.5);
  c->leader.wait_rev = epoch;
}

/* A leader that has begun another life leads no more, though its hold may last for seconds yet. */
static gboolean leader_is_absent(FkController *c) {
  FkControllerNode *n = c->view->leader ? g_hash_table_lookup(c->view->nodes, c->view->leader) : NULL;
  return !c->view->leader || (n && g_strcmp0(n->incarnation, c->view->leader_incarnation) != 0);
}

static void campaign(FkController *c) {
  if (!leader_is_absent(c) || !c->store_session.lease.n || c->leader.write_pending ||
      !fk_time_reached(c->now, c->leader.retry_at) || c->view->applied.n < c->leader.wait_rev.n ||
      !fk_controller_can_serve(c, c->now))
    return;
  FkOutput *t = fk_transaction_new(c, FK_PRIORITY_LEASE);
  FkRecord *r = fk_record_new(FK_KEY_LEADER);
  r->node = g_strdup(c->settings->node);
  r->incarnation = g_strdup(c->incarnation);
  fk_transaction_guard(t, fk_key_path(FK_KEY_LEADER, ""), c->view->leader_rev);
  fk_transaction_put(t, fk_key_path(FK_KEY_LEADER, ""), r, c->store_session.lease);
  c->leader.write_pending = TRUE;
  fk_transaction_send(c, t, on_leader_key_written, NULL, NULL);
}

static void clear_blacklist(FkController *c) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    ((FkMachine *)p)->blacklisted = FALSE;
}

/* ------------------------------------------------------------------ windows */

static int compare_by_long_work(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  if (x->allocated_long_cpus != y->allocated_long_cpus)
    return x->allocated_long_cpus < y->allocated_long_cpus ? -1 : 1;
  if (x->record->spot != y->record->spot)
    return x->record->spot ? -1 : 1;
  return g_strcmp0(x->id, y->id);
}

static void size_short_partition(FkController *c) {
  FkWaitTimes all = {0};
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->wait_times);
  while (g_hash_table_iter_next(&it, NULL, &p))
    fk_wait_times_add(&all, p);
  g_autoptr(GPtrArray) machines = g_ptr_array_new();
  double short_cpus = 0, long_cpus = 0;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    if (!fk_machine_is_usable(c, m))
      continue;
    g_ptr_array_add(machines, m);
    long_cpus += m->allocated_long_cpus;
    short_cpus += m->allocated_cpus - m->allocated_long_cpus;
  }
  /* Waiting work counts like booked work: otherwise the floor, once it has closed everything to long jobs,
   * would never see any. */
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    *(fk_spec_is_long(c, j->spec) ? &long_cpus : &short_cpus) += fk_job_waiting_tasks(j) * j->spec->cpus;
  }
  guint n = fk_elastic_sizing_update(&c->leader.sizing, all.capped_sum_s, all.capped_count,
                                     c->settings->tuning.max_wait_s, c->settings->tuning.short_partition_span,
                                     machines->len, short_cpus, long_cpus);
  clear_blacklist(c);
  g_ptr_array_sort(machines, compare_by_long_work);
  for (guint i = 0; i < n && i < machines->len; i++)
    ((FkMachine *)machines->pdata[i])->blacklisted = TRUE;
  g_info("window: %" G_GUINT64_FORMAT
         " short starts, mean wait %.2f s (all of them %.2f s, %" G_GUINT64_FORMAT
         "), p %.3f, floor %u, barred above it %u, of %u machines",
         all.capped_count, c->leader.sizing.mean_wait_s, all.count ? all.sum_s / (double)all.count : 0,
         all.count, c->leader.sizing.wait_ratio, c->leader.sizing.floor, c->leader.sizing.blacklisted,
         machines->len);
}

/* One line a window: what is up, and how much of it is booked. */
static void log_cluster(FkController *c) {
  g_autoptr(GString) line = g_string_new(NULL);
  GHashTableIter types, machines;
  gpointer p, q;
  g_hash_table_iter_init(&types, c->autoscaling.instance_types);
  while (g_hash_table_iter_next(&types, NULL, &p)) {
    const FkInstanceType *t = p;
    for (int spot = 0; spot < 2; spot++) {
      guint n = 0;
      double booked = 0, services = 0;
      g_hash_table_iter_init(&machines, c->view->machines);
      while (g_hash_table_iter_next(&machines, NULL, &q)) {
        const FkMachine *m = q;
        if (!m->record || m->record->spot != spot || !g_str_equal(m->record->type, t->name))
          continue;
        n++;
        booked += m->allocated_cpus;
        services += m->allocated_long_cpus;
      }
      if (n)
        g_string_append_printf(line, " %s%s: %u with %.0f of %.0f cpus booked (%.0f long);", t->name,
                               spot ? " spot" : "", n, booked, n * t->cpus, services);
    }
  }
  g_info("fleet:%s", line->str);
  FkView *v = c->view;
  g_info(
      "tasks done %u, mean %.1f s from booking to end; services %.2f a second; idle machines are kept %.1f "
      "times as long as usual, spot ones %.1f",
      v->finished_count, v->finished_count ? v->finished_run_s / v->finished_count : 0, v->service_rate,
      fk_autoscaler_retention_factor(c, FALSE), fk_autoscaler_retention_factor(c, TRUE));
  v->finished_run_s = 0;
  v->finished_count = 0;
}

/* Where the window's processor time went: milliseconds, and how many times, by purpose. */
static void log_cpu_profile(FkController *c) {
  FkCpuProfile *m = &c->cpu_profile;
  if (!m->clock_ns)
    return;
  fk_cpu_profile_leave(m, fk_cpu_profile_enter(m, FK_CPU_LOOP)); /* what goes on counts up to now */
  g_autoptr(GString) line = g_string_new(NULL);
  double all = 0;
  for (guint i = 0; i < FK_CPU_PURPOSES; i++) {
    double ms = (double)m->spent_ns[i] / 1e6;
    all += i == FK_CPU_IDLE ? 0 : ms;
    g_string_append_printf(line, "%s %s %.0f/%u", i ? "," : "", fk_cpu_purpose_name(i), ms, m->entries[i]);
    m->spent_ns[i] = 0;
    m->entries[i] = 0;
  }
  g_info("cost: %.0f ms, ms and times by purpose:%s", all, line->str);
}

/* The tables that grow with the load or with time. */
static void log_table_sizes(FkController *c) {
  FkView *v = c->view;
  guint books = 0, homes = 0, probes = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, v->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    books += ((FkMachine *)p)->allocations->len;
    homes += ((FkMachine *)p)->worker != NULL;
    probes += ((FkMachine *)p)->probes ? ((FkMachine *)p)->probes->len : 0;
  }
  g_info(
      "sizes: %u jobs, %u machines (%u ours), %u bookings, %u finals, %u chunks with ends, %u ends to write, "
      "%u probes, %u reports held (%u copies and %u with impossible tokens refused), %u redirects, %u calls, "
      "%u jobs and %u machines with failures",
      g_hash_table_size(v->jobs), g_hash_table_size(v->machines), homes, books,
      g_hash_table_size(v->terminal_phases), g_hash_table_size(v->completions_by_chunk),
      g_hash_table_size(c->completions.pending), probes, c->workers.held_heartbeats->length,
      c->workers.duplicate_heartbeats, c->workers.impossible_tokens, g_hash_table_size(c->workers.redirects),
      g_hash_table_size(c->calls.pending_transactions) + g_hash_table_size(c->calls.pending_reads),
      fk_fault_attribution_job_count(v->fault_attribution),
      fk_fault_attribution_machine_count(v->fault_attribution));
  c->workers.duplicate_heartbeats = c->workers.impossible_tokens = 0;
}

static void on_waits_written(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {}

/* Each window every controller writes the sum and the count of its short tasks' waits. */
void fk_windows_tick(FkController *c) {
  if (!fk_time_reached(c->now, c->window.end))
    return;
  c->window.end = fk_time_add(c->now, c->settings->tuning.window_s);
  c->window.index++;
  FkWaitTimes *last = g_hash_table_lookup(c->view->wait_times, c->settings->node);
  if (c->store_session.lease.n && (c->window.waits.count || (last && last->count))) {
    FkOutput *t = fk_transaction_new(c, FK_PRIORITY_RESULT);
    FkRecord *r = fk_record_new(FK_KEY_WAIT_TIMES);
    r->wait_times = c->window.waits;
    r->wait_times.window = c->window.index;
    fk_transaction_put(t, fk_key_path(FK_KEY_WAIT_TIMES, c->settings->node), r, c->store_session.lease);
    fk_transaction_send(c, t, on_waits_written, NULL, NULL);
  }
  g_autoptr(GString) why = g_string_new(NULL);
  GHashTableIter it;
  gpointer reason, looks;
  g_hash_table_iter_init(&it, c->launches.hindrances);
  while (g_hash_table_iter_next(&it, &reason, &looks))
    g_string_append_printf(why, "; %s: %u", (char *)reason, GPOINTER_TO_UINT(looks));
  g_info("looks without a launch%s", why->str);
  g_hash_table_remove_all(c->launches.hindrances);
  g_info("launches %u, refused %u, failed %u; to write down: %u ends", c->launches.launched,
         c->launches.conflicts, c->launches.failures, g_hash_table_size(c->completions.pending));
  c->launches.launched = c->launches.conflicts = c->launches.failures = 0;
  g_info("store, transactions and writes: holds %u/%u, users %u/%u, claims %u/%u, launches and pages %u/%u, "
         "ends %u/%u; asked again %u, answers usually take %.0f ms",
         c->calls.transactions[0], c->calls.transaction_writes[0], c->calls.transactions[1],
         c->calls.transaction_writes[1], c->calls.transactions[2], c->calls.transaction_writes[2],
         c->calls.transactions[3], c->calls.transaction_writes[3], c->calls.transactions[4],
         c->calls.transaction_writes[4], c->calls.resent, 1e3 * c->calls.usual_delay_s);
  c->calls.resent = 0;
  memset(c->calls.transactions, 0, sizeof c->calls.transactions);
  memset(c->calls.transaction_writes, 0, sizeof c->calls.transaction_writes);
  log_cpu_profile(c);
  log_table_sizes(c);
  c->window.waits = (FkWaitTimes){0};
  if (c->leader.is_leader) {
    size_short_partition(c);
    log_cluster(c);
    fk_cost_accounting_log(c);
    fk_starvation_log(c);
    fk_backfill_reservation_log(c);
  }
}

/* ------------------------------------------------------------------ ended jobs */

static void on_finalized(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->leader.finalizing = FALSE;
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->leader.finalize_wait_rev = epoch;
}

#define SWEEP_WRITES_MIN 3 /* writes that must be free */

/* Jobs that are done and that others need: whatever else waits for the store's writes, these are what keeps
 * the others from starting. */
static gboolean sweep_dependencies(FkController *c) {
  if (!fk_dependency_graph_size(c->view->dependencies))
    return FALSE;
  FkOutput *t = NULL;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (j->allocated || j->cancelled || !fk_job_is_complete(j) ||
        !fk_dependency_graph_has_dependents(c->view->dependencies, j->spec->id))
      continue;
    if (!t)
      t = fk_transaction_new(c, FK_PRIORITY_SHARD);
    if (!fk_transaction_finalize_job(c, t, j, c->settings->transaction_ops_max - t->writes->len) ||
        t->writes->len + 3 > c->settings->transaction_ops_max)
      break;
  }
  if (!t)
    return FALSE;
  c->leader.finalizing = TRUE;
  fk_transaction_send(c, t, on_finalized, NULL, NULL);
  return TRUE;
}

/* Jobs that have ended leave the live records; chunks that a large job left behind follow. */
static void sweep(FkController *c) {
  if (c->leader.finalizing || c->view->applied.n < c->leader.finalize_wait_rev.n || sweep_dependencies(c) ||
      !fk_time_reached(c->now, c->leader.next_sweep) || c->launches.write_room < SWEEP_WRITES_MIN)
    return;
  guint room = (guint)MIN(c->settings->transaction_ops_max, c->launches.write_room);
  c->leader.next_sweep = fk_time_add(c->now, 0.3);
  GHashTableIter it;
  gpointer key, p;
  FkOutput *t = NULL;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    /* that a job is cancelled is known from its record: its end can wait */
    if (j->allocated || !(j->cancelled ? !fk_services_have_priority(c) : fk_job_is_complete(j)))
      continue;
    if (!t)
      t = fk_transaction_new(c, FK_PRIORITY_RESULT);
    if (!fk_transaction_finalize_job(c, t, j, c->settings->transaction_ops_max - t->writes->len))
      break;
    if (t->writes->len + 3 > room)
      break;
  }
  if (!t && g_hash_table_size(c->view->orphan_chunks)) {
    t = fk_transaction_new(c, FK_PRIORITY_RESULT);
    g_hash_table_iter_init(&it, c->view->orphan_chunks);
    while (t->writes->len < MIN(c->settings->transaction_ops_max, 12) &&
           g_hash_table_iter_next(&it, &key, &p)) {
      g_autofree char *id = NULL;
      guint32 chunk;
      fk_key_parse(key, &id, &chunk);
      fk_transaction_guard(t, g_strdup(key), *(FkRev *)p);
      /* Only the store says that there is no such job: to a list read page by page, a job accepted meanwhile
       * is missing, and its first chunk isn't. Deleting that would start its tasks a second time. */
      fk_transaction_guard(t, fk_key_path(FK_KEY_JOB, id), (FkRev){0});
      fk_transaction_delete(t, g_strdup(key));
    }
  }
  if (!t)
    return;
  c->leader.finalizing = TRUE;
  c->leader.next_sweep = fk_time_add(c->now, MIN(2.0, t->writes->len / (0.4 * c->settings->store_write_rps)));
  fk_transaction_send(c, t, on_finalized, NULL, NULL);
}

/* ------------------------------------------------------------------ stopping */

#define PREEMPT_INTERVAL_S 4.0

/* Room for a job of a higher rank that fits nowhere: where the least work is lost, and the image is at hand.
 */
static void preempt_for(FkController *c, FkStopTransaction *stops, FkJob *j, GPtrArray *machines) {
  if (!fk_team_quota_allows_task(c, j->spec) ||
      fk_time_between(j->preempted_for_at, c->now) < PREEMPT_INTERVAL_S ||
      fk_long_path_best_machine(c, j, machines, NULL))
    return;
  g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(FkAllocationRef));
  FkMachine *best = fk_preemption_best_machine(c, j, machines, FALSE, G_MAXDOUBLE, victims);
  if (!best)
    return;
  for (guint i = 0; i < victims->len; i++) {
    FkAllocationRef *v = &g_array_index(victims, FkAllocationRef, i);
    g_info("%s/%u leaves %s for %s", v->job->spec->id, v->task, best->id, j->spec->id);
    fk_stop_transaction_add(c, stops, v->job, v->task);
  }
  j->preempted_for_at = c->now;
  /* two services that wait must not count on the same room */
  best->reserved_cpus += j->spec->cpus;
  best->reserved_gpus += j->spec->gpus;
  best->reserved_mem_gb += j->spec->mem_gb;
  FkReservation p = {best->id, g_intern_string(j->spec->team), j->spec->cpus, j->spec->gpus, j->spec->mem_gb,
                     0};
  g_array_append_val(c->launches.reservations, p);
}

/* A machine that the cloud will take back: what can't end there in time moves now, rather than lose the rest
 * of the notice as well. A task that can save does so; one that will just end in time stays. */
static void evacuate_noticed_machines(FkController *c, FkStopTransaction *stops) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    gboolean drain = g_strcmp0(m->drain_reason, FK_DRAIN_REASON_DRAIN) == 0;
    if (!m->record || (!drain && g_strcmp0(m->drain_reason, "notice") != 0))
      continue;
    double notice = m->notice_s - fk_time_between(m->drain_reason_since, c->now);
    for (guint i = 0; i < m->allocations->len; i++) {
      const FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
      const FkSpec *s = b->job->spec;
      if (b->stop_requested || b->job->cancelled || s->shape == FK_SHAPE_GANG)
        continue;
      double left = fk_view_expected_run_s(c->view, s) - fk_time_between(b->first_seen_at, c->now);
      if (s->shape == FK_SHAPE_SERVICE || left > 1.5 * notice)
        fk_stop_transaction_add(c, stops, b->job, b->task);
    }
  }
}

/* What must leave its machine although its job goes on. */
static void preempt_tasks(FkController *c) {
  if (!fk_time_reached(c->now, c->leader.preempt_checked_at))
    return;
  c->leader.preempt_checked_at = fk_time_add(c->now, 0.1 + 1e-4 * g_hash_table_size(c->view->machines));
  if (c->leader.preempting || c->view->applied.n < c->leader.preempt_wait_rev.n ||
      !fk_time_reached(c->now, c->leader.preempt_after))
    return;
  FkStopTransaction stops = {0};
  g_autoptr(GPtrArray) machines = fk_capacity_index_usable_machines(c);
  evacuate_noticed_machines(c, &stops);
  GHashTableIter it;
  gpointer p;
  guint looks = 8; /* each looks at all machines */
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    /* a gang that lost a member can't go on: all start again together */
    if (j->spec->shape == FK_SHAPE_SERVICE && fk_job_waiting_tasks(j) &&
        fk_time_reached(c->now, j->retry_at) && !c->launches.launching &&
        c->view->applied.n >= c->launches.wait_rev.n &&
        fk_time_between(j->preempted_for_at, c->now) >= PREEMPT_INTERVAL_S && looks) {
      looks--;
      preempt_for(c, &stops, j, machines);
    }
    if (j->spec->shape == FK_SHAPE_GANG && !j->cancelled && j->allocated && fk_job_waiting_tasks(j) &&
        fk_time_reached(c->now, fk_time_add(j->gang_until, 2)))
      fk_stop_transaction_add_job(c, &stops, j);
  }
  fk_preemption_reclaim(c, &stops);
  fk_stop_transaction_send(c, &stops);
}

void fk_leader_view_changed(FkController *c) {
  if (c->leader.is_leader)
    preempt_tasks(c);
}

void fk_leader_tick(FkController *c) {
  campaign(c);
  gboolean leading = c->view->leader && g_str_equal(c->view->leader, c->settings->node) &&
                     g_strcmp0(c->view->leader_incarnation, c->incarnation) == 0;
  if (leading != c->leader.is_leader) {
    g_message("%s", leading ? "leading" : "no longer leading");
    c->leader.is_leader = leading;
    c->leader.since = c->now;
    c->leader.sizing = (FkElasticSizing){0};
    clear_blacklist(c);
    fk_autoscaler_reset(c);
  }
  if (!leading)
    return;
  sweep(c);
  preempt_tasks(c);
  FkCpuPurpose before = fk_cpu_profile_enter(&c->cpu_profile, FK_CPU_AUTOSCALER);
  fk_autoscaler_tick(c);
  fk_cost_accounting_tick(c);
  fk_cpu_profile_leave(&c->cpu_profile, before);
}
