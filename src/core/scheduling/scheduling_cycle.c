/* Placement, a launch at a time. The long path, the leader's, comes first,
 * then each controller's short path; what both book goes into one transaction. */
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/scheduling_queue.h"

#include <string.h>

typedef struct {
  FkWaitTimes waits;
} LaunchCall;

static void on_launch_committed(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  LaunchCall *call = data;
  c->launches.launching = FALSE;
  c->launches.launched++;
  if (o == FK_OUTCOME_CONFLICT) {
    c->launches.conflicts++;
    g_debug("launch refused: %s", failed && failed->len ? (char *)failed->pdata[0] : "?");
  }
  if (o != FK_OUTCOME_OK && o != FK_OUTCOME_CONFLICT)
    c->launches.failures++;
  if (o == FK_OUTCOME_UNKNOWN)
    c->launches.fence_needed = TRUE; /* it may yet apply: not beside the next one */
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->launches.wait_rev = epoch; /* what comes next is decided on a view that shows this */
  else
    c->launches.launch_after = c->launches.urgent_after =
        fk_time_add(c->now, g_rand_double_range(c->rand, 0.15, 0.5));
  if (o == FK_OUTCOME_OK)
    fk_wait_times_add(&c->window.waits, &call->waits);
}

/* ------------------------------------------------------------------ */

static void on_fence_committed(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->launches.fencing = FALSE;
  if (o == FK_OUTCOME_OK)
    c->launches.fence_needed = FALSE;
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->launches.wait_rev = epoch;
  else
    c->launches.launch_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.15, 0.5));
}

/* Launches of this controller, of an earlier life or unanswered, may still be on their way. Every launch is
 * guarded by our fence: once it has changed, and our view shows that, none of them can apply any more, and
 * those that did are in our view, so that they count against the team's limit. */
static void write_fence(FkController *c) {
  FkOutput *t = fk_transaction_new(c, FK_PRIORITY_SHARD);
  char *key = fk_key_path(FK_KEY_LAUNCH_FENCE, c->settings->node);
  fk_transaction_guard(t, g_strdup(key), fk_view_launch_fence_rev(c->view, c->settings->node));
  FkRecord *r = fk_record_new(FK_KEY_LAUNCH_FENCE);
  r->supports_dependencies = TRUE;
  fk_transaction_put(t, key, r, (FkRev){0});
  c->launches.fencing = TRUE;
  fk_transaction_send(c, t, on_fence_committed, NULL, NULL);
}

#define LAUNCH_WRITE_SHARE 0.3 /* of the store's write budget */
#define CYCLE_PAUSE_PER_MACHINE_S                                                                            \
  1e-4                        /* s: the pause between two looks grows with what there is to look at, ... */
#define CYCLE_PAUSE_MAX_S 0.1 /* ... up to this: a look at very many costs no more */

/* The smallest wanted by jobs of other shapes than arrays decides which machines the long path looks at. */
static GPtrArray *open_machines_for_long_path(FkController *c, GPtrArray *jobs) {
  double cpus = G_MAXDOUBLE, mem = G_MAXDOUBLE;
  for (guint i = 0; i < jobs->len; i++) {
    const FkSpec *s = ((FkJob *)jobs->pdata[i])->spec;
    if (fk_spec_is_long(c, s)) {
      cpus = MIN(cpus, s->cpus);
      mem = MIN(mem, s->mem_gb);
    }
  }
  return cpus == G_MAXDOUBLE ? g_ptr_array_new() : fk_capacity_index_find_open(c, FALSE, cpus, mem);
}

#define URGENT_INTERVAL_S 0.2
#define URGENT_PAUSE_MIN_S                                                                                   \
  0.7 /* a shorter pause is waited out: a launch of its own costs writes that bulk work shares */

/* The pace saves the store's writes for what comes next; urgent work is what they are saved for. It goes
 * before its time, a few times a second, and what it writes is added to the pause of the others: behind a
 * launch of twenty writes it would wait for up to 3 s. */
static gboolean can_bypass_pause(FkController *c) {
  return fk_time_between(c->now, c->launches.launch_after) > URGENT_PAUSE_MIN_S &&
         fk_time_reached(c->now, c->launches.urgent_after) && fk_scheduling_queue_has_urgent(c);
}

/* Why nothing can be launched now, or NULL. */
static const char *blocking_reason(FkController *c, gboolean urgent_only) {
  if (!fk_controller_is_ready(c) || !g_hash_table_size(c->autoscaling.instance_types))
    return "not ready";
  if (c->launches.launching || c->launches.fencing)
    return "a launch is under way";
  if (c->view->applied.n < c->launches.wait_rev.n)
    return "the view is behind";
  if (!fk_time_reached(c->now, c->launches.launch_after) && !urgent_only)
    return "pace";
  return !c->launches.fence_needed && c->launches.write_room < FK_LAUNCH_WRITES_MIN ? "the store's budget"
                                                                                    : NULL;
}

/* The order goes by rank first. */
static void keep_urgent_jobs(GPtrArray *jobs) {
  guint n = 0;
  while (n < jobs->len && ((FkJob *)jobs->pdata[n])->effective_priority < FK_JOB_PRIORITY_NORMAL)
    n++;
  g_ptr_array_set_size(jobs, (gint)n);
}

static void pause_after_cycle(FkController *c, gboolean urgent_only) {
  double pause_s = CYCLE_PAUSE_PER_MACHINE_S * g_hash_table_size(c->view->machines);
  c->launches.urgent_after = fk_time_add(c->now, URGENT_INTERVAL_S);
  if (!urgent_only)
    c->launches.launch_after = fk_time_add(c->now, MIN(CYCLE_PAUSE_MAX_S, pause_s));
}

#define LAUNCH_PAUSE_MAX_S 3.0

static void pause_after_launch(FkController *c, guint writes, gboolean urgent_only) {
  /* The leader places all services, so it may write like all the others together. */
  guint n = c->leader.is_leader ? 2 : 1 + g_hash_table_size(c->view->nodes);
  double pace_s = fk_write_pace_s(c, writes, LAUNCH_WRITE_SHARE * fk_controller_live_count(c) * 2 / n);
  double before_s = urgent_only ? MAX(0, fk_time_between(c->now, c->launches.launch_after)) : 0;
  c->launches.launch_after = fk_time_add(c->now, MIN(LAUNCH_PAUSE_MAX_S, before_s + pace_s));
}

void fk_scheduling_cycle_run(FkController *c) {
  gboolean urgent_only = can_bypass_pause(c);
  const char *why = blocking_reason(c, urgent_only);
  if (why) {
    guint n = GPOINTER_TO_UINT(g_hash_table_lookup(c->launches.hindrances, why));
    g_hash_table_insert(c->launches.hindrances, (gpointer)why, GUINT_TO_POINTER(n + 1));
    return;
  }
  if (c->launches.fence_needed) {
    write_fence(c);
    return;
  }
  fk_reservation_clear_all(c);
  fk_capacity_index_refresh(c);
  g_autoptr(GPtrArray) jobs = fk_scheduling_queue_select_jobs(c);
  if (urgent_only)
    keep_urgent_jobs(jobs);
  if (!jobs->len)
    return;
  pause_after_cycle(c, urgent_only);
  g_autoptr(GPtrArray) all = open_machines_for_long_path(c, jobs);
  g_autoptr(GHashTable) chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr(GHashTable) teams = g_hash_table_new(g_str_hash, g_str_equal);
  FkLaunchBatch b = {.urgent_only = urgent_only, .chunks = chunks, .teams = teams};
  g_autoptr(GArray) reserved = g_array_new(FALSE, FALSE, sizeof(FkReservation));
  if (c->leader.is_leader)
    fk_long_path_place(c, &b, jobs, all);
  fk_long_path_reserve(c, jobs, all, reserved);
  fk_short_path_place(c, &b, jobs);
  fk_long_path_release(c, reserved);
  if (!b.txn) {
    const char *none = fk_capacity_index_owned_machines(c)->len ? "no room, or not allowed" : "no machine";
    g_hash_table_insert(
        c->launches.hindrances, (gpointer)none,
        GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(c->launches.hindrances, none)) + 1));
    return;
  }
  LaunchCall *call = g_new0(LaunchCall, 1);
  call->waits = b.waits;
  c->launches.launching = TRUE;
  pause_after_launch(c, b.txn->writes->len - 1, urgent_only);
  fk_transaction_send(c, b.txn, on_launch_committed, call, g_free);
}
