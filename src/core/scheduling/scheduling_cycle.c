/* A cycle runs the long path first, on the leader only, and then the short path, on every controller. All
 * tasks placed by the cycle are launched by one transaction. */
#include "core/scheduling/scheduling_cycle.h"

#include "common/random.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/long_path.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/short_path.h"

#define LAUNCH_WRITE_SHARE 0.3 /* base share of the store's write budget, see pause_after_launch() */
#define LAUNCH_PAUSE_MAX_S 3.0
/* the delay after a failed write is drawn at random between these limits */
#define RETRY_DELAY_MIN_S 0.15
#define RETRY_DELAY_MAX_S 0.5
#define CYCLE_PAUSE_PER_MACHINE_S 1e-4 /* the pause between cycles grows with the number of machines */
#define CYCLE_PAUSE_MAX_S 0.1          /* upper limit of the pause between cycles */
#define BYPASS_INTERVAL_S 0.2          /* minimum time between a cycle and a launch that bypasses the pause */
/* a pause that ends sooner isn't bypassed: that isn't worth the writes of a separate launch */
#define BYPASS_PAUSE_MIN_S 0.7

/* ------------------------------------------------------------------ the launch fence */

static double retry_delay_s(FkController *c) {
  return fk_random_uniform(c->rand, RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S);
}

static void on_fence_result(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                            GPtrArray *failed) {
  c->launches.fencing = FALSE;
  if (outcome == FK_OUTCOME_OK)
    c->launches.fence_needed = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->launches.wait_rev = epoch;
  else
    c->launches.launch_after = fk_time_add(c->now, retry_delay_s(c));
}

/* Writes this controller's launch fence. Launches of an earlier incarnation of this controller, or launches
 * without an answer, may still be in flight. Every launch is guarded by the fence: once the fence has changed
 * and the view shows the change, no earlier launch can commit any more. Those that have committed are in the
 * view and count against the quotas of their teams. */
static void write_fence(FkController *c) {
  FkOutput *txn = fk_transaction_new(c, FK_PRIORITY_SHARD);
  char *path = fk_store_key_path(FK_STORE_KEY_LAUNCH_FENCE, c->settings->node);
  fk_transaction_guard(txn, g_strdup(path), fk_view_launch_fence_rev(c->view, c->settings->node));
  FkRecord *record = fk_record_new(FK_STORE_KEY_LAUNCH_FENCE);
  record->features = FK_FEATURES_ALL;
  fk_transaction_put(txn, path, record, (FkRev){0});
  c->launches.fencing = TRUE;
  fk_transaction_send(c, txn, on_fence_result, NULL, NULL);
}

/* ------------------------------------------------------------------ the launch */

typedef struct {
  FkWaitTimes waits; /* waits of the short tasks that the launch starts */
} Launch;

static void on_launch_result(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
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
    /* this launch may still commit: no other launch is sent until the fence rules that out */
    c->launches.fence_needed = TRUE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->launches.wait_rev = epoch; /* the next cycle needs a view that includes this launch */
  else
    c->launches.launch_after = c->launches.bypass_after = fk_time_add(c->now, retry_delay_s(c));
  if (outcome == FK_OUTCOME_OK)
    fk_wait_times_add(&c->window.waits, &launch->waits);
}

/* Sets the pause after a launch. The pause grows with the number of writes and is longer if this controller's
 * part of the write budget is smaller (fk_write_pace_s()). If the launch bypassed a pause, the rest of that
 * pause is added. The sum is limited to LAUNCH_PAUSE_MAX_S. */
static void pause_after_launch(FkController *c, guint writes, gboolean high_priority_only) {
  /* The leader places all services, so it gets a larger part of the budget. With three controllers, its part
   * is as large as the two other parts together. */
  guint divisor = c->leader.is_leader ? 2 : 1 + g_hash_table_size(c->view->nodes);
  double pace_s = fk_write_pace_s(c, writes, LAUNCH_WRITE_SHARE * fk_controller_live_count(c) * 2 / divisor);
  double left_s = high_priority_only ? MAX(0, fk_time_between(c->now, c->launches.launch_after)) : 0;
  c->launches.launch_after = fk_time_add(c->now, MIN(LAUNCH_PAUSE_MAX_S, left_s + pace_s));
}

static void send_launch(FkController *c, const FkLaunchBatch *batch) {
  Launch *launch = g_new0(Launch, 1);
  launch->waits = batch->waits;
  c->launches.launching = TRUE;
  pause_after_launch(c, batch->txn->writes->len - 1, batch->high_priority_only);
  fk_transaction_send(c, batch->txn, on_launch_result, launch, g_free);
}

/* ------------------------------------------------------------------ the cycle */

/* Returns whether jobs above the normal priority may bypass the pause between launches now. The pause keeps
 * writes available for these jobs. Launches bypass it at most a few times a second, and the time for their
 * writes is added to the pause. Without the bypass, jobs above the normal priority would wait for up to 3 s
 * after a launch of twenty writes. */
static gboolean can_bypass_pause(FkController *c) {
  return fk_time_between(c->now, c->launches.launch_after) > BYPASS_PAUSE_MIN_S &&
         fk_time_reached(c->now, c->launches.bypass_after) && fk_scheduling_queue_has_high_priority(c);
}

/* Returns why no cycle can run now, or NULL if one can. */
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

/* Counts a reason why nothing was launched, for the window's log. */
static void count_no_launch(FkController *c, const char *reason) {
  guint count = GPOINTER_TO_UINT(g_hash_table_lookup(c->launches.no_launch_reasons, reason));
  g_hash_table_insert(c->launches.no_launch_reasons, (gpointer)reason, GUINT_TO_POINTER(count + 1));
}

/* Keeps only the jobs above the normal priority, which are first in the queue. */
static void keep_high_priority_jobs(GPtrArray *jobs) {
  guint count = 0;
  while (count < jobs->len && ((FkJob *)jobs->pdata[count])->effective_priority < FK_JOB_PRIORITY_NORMAL)
    count++;
  g_ptr_array_set_size(jobs, (gint)count);
}

/* Returns the machines with enough free CPUs and memory for the smallest demand among the long path's jobs;
 * an empty array if the long path has no jobs. */
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
  c->launches.bypass_after = fk_time_add(c->now, BYPASS_INTERVAL_S);
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
    count_no_launch(c, reason);
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
    keep_high_priority_jobs(jobs);
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
    count_no_launch(c, fk_capacity_index_owned_machines(c)->len ? "no_capacity" : "no_machine");
}
