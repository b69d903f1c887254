/* A cycle runs the long path first, which is the leader's, and then every controller's short path; what both
 * place goes into one transaction. */
#include "core/scheduling/scheduling_cycle.h"

#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/long_path.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/short_path.h"

#define LAUNCH_WRITE_SHARE 0.3 /* of the store's write budget */
#define LAUNCH_PAUSE_MAX_S 3.0
#define RETRY_DELAY_MIN_S 0.15 /* after a failed write, drawn at random up to ... */
#define RETRY_DELAY_MAX_S 0.5
#define CYCLE_PAUSE_PER_MACHINE_S 1e-4 /* the pause between cycles grows with the fleet ... */
#define CYCLE_PAUSE_MAX_S 0.1          /* ... up to this */
#define URGENT_INTERVAL_S 0.2
#define URGENT_PAUSE_MIN_S 0.7 /* a shorter pause isn't worth the writes of a launch of its own */

/* ------------------------------------------------------------------ the launch fence */

static double retry_delay_s(FkController *c) {
  return g_rand_double_range(c->rand, RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S);
}

static void on_fence_committed(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                               GPtrArray *failed) {
  c->launches.fencing = FALSE;
  if (outcome == FK_OUTCOME_OK)
    c->launches.fence_needed = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->launches.wait_rev = epoch;
  else
    c->launches.launch_after = fk_time_add(c->now, retry_delay_s(c));
}

/* Launches of this controller, of an earlier incarnation or without an answer, may still be in flight. Every
 * launch is guarded by the controller's fence: once it has changed and the view shows that, none of them can
 * commit any more, and those that did are in the view, so that they count against the team's quota. */
static void write_fence(FkController *c) {
  FkOutput *txn = fk_transaction_new(c, FK_PRIORITY_SHARD);
  char *path = fk_store_key_path(FK_STORE_KEY_LAUNCH_FENCE, c->settings->node);
  fk_transaction_guard(txn, g_strdup(path), fk_view_launch_fence_rev(c->view, c->settings->node));
  FkRecord *record = fk_record_new(FK_STORE_KEY_LAUNCH_FENCE);
  record->supports_dependencies = TRUE;
  fk_transaction_put(txn, path, record, (FkRev){0});
  c->launches.fencing = TRUE;
  fk_transaction_send(c, txn, on_fence_committed, NULL, NULL);
}

/* ------------------------------------------------------------------ the launch */

typedef struct {
  FkWaitTimes waits; /* of the short tasks that it starts */
} Launch;

static void on_launch_committed(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                GPtrArray *failed) {
  const Launch *launch = data;
  c->launches.launching = FALSE;
  c->launches.launched++;
  if (outcome == FK_OUTCOME_CONFLICT) {
    c->launches.conflicts++;
    g_debug("launch rejected guard=%s", failed && failed->len ? (char *)failed->pdata[0] : "unknown");
  }
  if (outcome != FK_OUTCOME_OK && outcome != FK_OUTCOME_CONFLICT)
    c->launches.failures++;
  if (outcome == FK_OUTCOME_UNKNOWN)
    c->launches.fence_needed = TRUE; /* it may yet commit: not beside the next one */
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->launches.wait_rev = epoch; /* the next decision needs a view that shows this */
  else
    c->launches.launch_after = c->launches.bypass_after = fk_time_add(c->now, retry_delay_s(c));
  if (outcome == FK_OUTCOME_OK)
    fk_wait_times_add(&c->window.waits, &launch->waits);
}

/* The next cycle's pause: the launch's writes at the pace of this controller's part of the write budget. */
static void pause_after_launch(FkController *c, guint writes, gboolean high_priority_only) {
  /* the leader places all services, so it may write as much as all others together */
  guint parts = c->leader.is_leader ? 2 : 1 + g_hash_table_size(c->view->nodes);
  double pace_s = fk_write_pace_s(c, writes, LAUNCH_WRITE_SHARE * fk_controller_live_count(c) * 2 / parts);
  double left_s = high_priority_only ? MAX(0, fk_time_between(c->now, c->launches.launch_after)) : 0;
  c->launches.launch_after = fk_time_add(c->now, MIN(LAUNCH_PAUSE_MAX_S, left_s + pace_s));
}

static void send_launch(FkController *c, const FkLaunchBatch *batch) {
  Launch *launch = g_new0(Launch, 1);
  launch->waits = batch->waits;
  c->launches.launching = TRUE;
  pause_after_launch(c, batch->txn->writes->len - 1, batch->high_priority_only);
  fk_transaction_send(c, batch->txn, on_launch_committed, launch, g_free);
}

/* ------------------------------------------------------------------ the cycle */

/* The pause saves writes for what comes next, and urgent jobs are what they are saved for. They bypass it, a
 * few times a second, and what they write is added to the pause of the others: after a launch of twenty
 * writes they would else wait for up to 3 s. */
static gboolean can_bypass_pause(FkController *c) {
  return fk_time_between(c->now, c->launches.launch_after) > URGENT_PAUSE_MIN_S &&
         fk_time_reached(c->now, c->launches.bypass_after) && fk_scheduling_queue_has_high_priority(c);
}

/* Why no cycle can run now, or NULL. */
static const char *blocking_reason(FkController *c, gboolean high_priority_only) {
  if (!fk_controller_is_ready(c) || !g_hash_table_size(c->autoscaling.instance_types))
    return "not_ready";
  if (c->launches.launching || c->launches.fencing)
    return "launch_in_flight";
  if (c->view->applied.n < c->launches.wait_rev.n)
    return "view_behind";
  if (!fk_time_reached(c->now, c->launches.launch_after) && !high_priority_only)
    return "pause";
  if (!c->launches.fence_needed && c->launches.launch_writes_available < FK_LAUNCH_WRITES_MIN)
    return "write_budget";
  return NULL;
}

/* Counts why nothing was launched, for the log of the window. */
static void count_hindrance(FkController *c, const char *reason) {
  guint count = GPOINTER_TO_UINT(g_hash_table_lookup(c->launches.no_launch_reasons, reason));
  g_hash_table_insert(c->launches.no_launch_reasons, (gpointer)reason, GUINT_TO_POINTER(count + 1));
}

/* Keeps the jobs above the normal priority, which come first. */
static void keep_urgent_jobs(GPtrArray *jobs) {
  guint urgent = 0;
  while (urgent < jobs->len && ((FkJob *)jobs->pdata[urgent])->effective_priority < FK_JOB_PRIORITY_NORMAL)
    urgent++;
  g_ptr_array_set_size(jobs, (gint)urgent);
}

/* Machines with room for the smallest task of the long path. */
static GPtrArray *open_machines_for_long_path(FkController *c, GPtrArray *jobs) {
  double cpus = G_MAXDOUBLE, mem_gb = G_MAXDOUBLE;
  for (guint i = 0; i < jobs->len; i++) {
    const FkSpec *spec = ((FkJob *)jobs->pdata[i])->spec;
    if (fk_spec_is_long(c, spec)) {
      cpus = MIN(cpus, spec->cpus);
      mem_gb = MIN(mem_gb, spec->mem_gb);
    }
  }
  return cpus == G_MAXDOUBLE ? g_ptr_array_new() : fk_capacity_index_find_open(c, FALSE, cpus, mem_gb);
}

static void pause_after_cycle(FkController *c, gboolean high_priority_only) {
  double pause_s = CYCLE_PAUSE_PER_MACHINE_S * g_hash_table_size(c->view->machines);
  c->launches.bypass_after = fk_time_add(c->now, URGENT_INTERVAL_S);
  if (!high_priority_only)
    c->launches.launch_after = fk_time_add(c->now, MIN(CYCLE_PAUSE_MAX_S, pause_s));
}

static void place_jobs(FkController *c, FkLaunchBatch *batch, GPtrArray *jobs) {
  g_autoptr(GPtrArray) machines = open_machines_for_long_path(c, jobs);
  g_autoptr(GArray) reserved = g_array_new(FALSE, FALSE, sizeof(FkReservation));
  if (c->leader.is_leader)
    fk_long_path_place(c, batch, jobs, machines);
  fk_long_path_reserve(c, jobs, machines, reserved);
  fk_short_path_place(c, batch, jobs);
  fk_long_path_release(c, reserved);
}

void fk_scheduling_cycle_run(FkController *c) {
  gboolean high_priority_only = can_bypass_pause(c);
  const char *reason = blocking_reason(c, high_priority_only);
  if (reason) {
    count_hindrance(c, reason);
    return;
  }
  if (c->launches.fence_needed) {
    write_fence(c);
    return;
  }
  fk_reservation_clear_all(c);
  fk_capacity_index_refresh(c);
  g_autoptr(GPtrArray) jobs = fk_scheduling_queue_select_jobs(c);
  if (high_priority_only)
    keep_urgent_jobs(jobs);
  if (!jobs->len)
    return;
  pause_after_cycle(c, high_priority_only);
  g_autoptr(GHashTable) chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr(GHashTable) teams = g_hash_table_new(g_str_hash, g_str_equal);
  FkLaunchBatch batch = {.chunks = chunks, .teams = teams, .high_priority_only = high_priority_only};
  place_jobs(c, &batch, jobs);
  if (batch.txn)
    send_launch(c, &batch);
  else
    count_hindrance(c, fk_capacity_index_owned_machines(c)->len ? "no_capacity" : "no_machine");
}
