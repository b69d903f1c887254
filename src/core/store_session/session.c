/* The session with the store. It keeps a lease, to which the controller's node key is attached, and
 * synchronises the view: a paginated list reads the initial state, and a watch applies all later changes. The
 * pages of the list may show different revisions. Therefore the watch replays every change after the revision
 * of the first page, and the view becomes ready when it reaches the highest revision of any page. */
#include "common/random.h"
#include "core/controller.h"
#include "core/controller_internal.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/scheduling_queue.h"

#define STORE_LEASE_S 6.0
#define KEEPALIVE_INTERVAL_S (STORE_LEASE_S / 4)
#define LEASE_RETRY_MIN_S 0.2
#define LEASE_RETRY_MAX_S 0.6
#define NODE_KEY_RETRY_S 0.3
#define LIST_RETRY_STEP_S 0.2 /* backoff per consecutive failure */
#define LIST_RETRY_MAX_S 2.0
#define WATCH_S 2.0 /* longest time that the store holds a watch open */
#define WATCH_RETRY_MIN_S 0.1
#define WATCH_RETRY_MAX_S 0.4
#define WATCH_PAUSE_MIN_S 0.02 /* shortest pause after a watch that returned changes */
/* Share of the store's request rate that the watches of all controllers together may use. */
#define WATCH_REQUEST_SHARE 0.35

static void send_list(FkController *c) {
  FkOutput *output = fk_output_new(c, FK_OUTPUT_LIST);
  output->path = g_strdup(FK_STORE_LIVE_ROOT);
  output->after = g_strdup(c->store_session.list_after);
  c->store_session.listing = TRUE;
}

static void start_sync(FkController *c) {
  if (fk_controller_is_ready(c)) {
    /* Clearing the view also drops the state of launches in flight. Under a new incarnation the controller
     * acquires all of its shards again, and the new fencing tokens invalidate start commands that are still
     * in flight. */
    char *incarnation = g_strdup_printf("%s+%u", c->incarnation, g_rand_int_range(c->rand, 0, 1 << 30));
    g_free(c->incarnation);
    c->incarnation = incarnation;
  }
  fk_view_clear(c->view);
  fk_scheduling_queue_reset(c->leader.scheduling_queue);
  fk_capacity_index_reset(c->leader.capacity_index);
  g_hash_table_remove_all(c->store_session.peer_confirmed_at);
  g_hash_table_remove_all(c->requests.terminal_states_requested);
  g_clear_pointer(&c->store_session.list_after, g_free);
  c->store_session.list_rev.n = 0;
  c->store_session.catch_up_rev.n = 0;
  c->store_session.sync = FK_SYNC_LISTING;
  c->launches.launching = c->leader.finalizing = c->leader.preempting = FALSE;
  c->shards.acquiring = c->shards.page_writing = c->completions.writing = c->launches.fencing =
      c->launches.quota_partitioning = FALSE;
  c->launches.fence_needed = TRUE;
  fk_completions_clear(c);
  send_list(c);
}

static void send_watch(FkController *c, double delay_s) {
  FkOutput *output = fk_output_new(c, FK_OUTPUT_WATCH);
  output->path = g_strdup(FK_STORE_ROOT);
  output->rev = c->view->applied;
  output->seconds = c->store_session.sync == FK_SYNC_READY ? WATCH_S : 0;
  output->delay_s = delay_s;
  c->store_session.watching = TRUE;
}

static void apply_events(FkController *c, GPtrArray *events) {
  FkCpuPurpose previous_purpose = fk_cpu_profile_enter(&c->cpu_profile, FK_CPU_APPLY);
  c->view->now = c->now;
  for (guint i = 0; i < events->len; i++) {
    FkStoreEvent *event = events->pdata[i];
    fk_view_apply(c->view, event->path, g_steal_pointer(&event->record), event->rev);
  }
  fk_cpu_profile_leave(&c->cpu_profile, previous_purpose);
}

void fk_controller_list_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *events,
                                 gboolean more, FkRev store_rev) {
  c->now = now;
  c->store_session.listing = FALSE;
  fk_store_session_record_outcome(c, outcome);
  if (c->store_session.sync != FK_SYNC_LISTING)
    return;
  if (outcome != FK_OUTCOME_OK) {
    c->store_session.failures++;
    c->store_session.retry_at =
        fk_time_add(now, MIN(LIST_RETRY_MAX_S, LIST_RETRY_STEP_S * c->store_session.failures) *
                             fk_random_uniform(c->rand, 0.7, 1.3));
    return;
  }
  c->store_session.failures = 0;
  if (!c->store_session.list_rev.n)
    c->store_session.list_rev = store_rev;
  if (store_rev.n > c->store_session.catch_up_rev.n)
    c->store_session.catch_up_rev = store_rev;
  apply_events(c, events);
  if (more && events->len) {
    g_free(c->store_session.list_after);
    c->store_session.list_after = g_strdup(((FkStoreEvent *)events->pdata[events->len - 1])->path);
    send_list(c);
    return;
  }
  c->view->applied = c->store_session.list_rev;
  c->store_session.sync = FK_SYNC_CATCHING_UP;
  send_watch(c, 0);
}

static void mark_ready(FkController *c) {
  c->store_session.sync = FK_SYNC_READY;
  c->view->caught_up = TRUE;
  c->store_session.ready_since = c->now;
  g_info("view ready rev=%" G_GUINT64_FORMAT " jobs=%u machines=%u", c->view->applied.n,
         g_hash_table_size(c->view->jobs), g_hash_table_size(c->view->machines));
}

void fk_store_session_watch_received(FkController *c, FkOutcome outcome, GPtrArray *events, FkRev store_rev,
                                     FkTime sent) {
  c->store_session.watching = FALSE;
  fk_store_session_record_outcome(c, outcome);
  if (c->store_session.sync != FK_SYNC_READY && c->store_session.sync != FK_SYNC_CATCHING_UP)
    return;
  if (outcome == FK_OUTCOME_GONE) {
    g_message("watch position compacted: listing again rev=%" G_GUINT64_FORMAT, c->view->applied.n);
    start_sync(c);
    return;
  }
  if (outcome != FK_OUTCOME_OK) {
    send_watch(c, fk_random_uniform(c->rand, WATCH_RETRY_MIN_S, WATCH_RETRY_MAX_S));
    return;
  }
  apply_events(c, events);
  if (store_rev.n > c->view->applied.n)
    c->view->applied = store_rev;
  if (c->view->applied.n > c->store_session.latest_rev_seen.n)
    c->store_session.latest_rev_seen = c->view->applied;
  if (sent.us > c->store_session.confirmed_at.us)
    c->store_session.confirmed_at = sent;
  if (c->store_session.sync == FK_SYNC_CATCHING_UP && c->view->applied.n >= c->store_session.catch_up_rev.n)
    mark_ready(c);
  fk_requests_reply_cancelled(c);
  fk_requests_pass_read_barrier(c);
  fk_calls_retry_overdue(c);
  /* A short pause batches several changes into one reply, which limits the watches' share of the store's
   * requests. */
  send_watch(c, events->len ? MAX(WATCH_PAUSE_MIN_S, fk_controller_live_count(c) /
                                                         (WATCH_REQUEST_SHARE * c->settings->store_rps))
                            : 0);
}

static double lease_retry_s(FkController *c) {
  return fk_random_uniform(c->rand, LEASE_RETRY_MIN_S, LEASE_RETRY_MAX_S);
}

void fk_controller_lease_grant_received(FkController *c, FkTime now, FkOutcome outcome, FkRev lease,
                                        FkTime sent) {
  c->now = now;
  fk_store_session_record_outcome(c, outcome);
  c->store_session.lease_pending = FALSE;
  if (outcome == FK_OUTCOME_OK) {
    c->store_session.lease = lease;
    c->store_session.next_keepalive = fk_time_add(now, KEEPALIVE_INTERVAL_S);
    c->store_session.node_wait_rev.n = 0;
  } else {
    c->store_session.next_keepalive = fk_time_add(now, lease_retry_s(c));
  }
}

void fk_controller_lease_keepalive_received(FkController *c, FkTime now, FkOutcome outcome, FkTime sent) {
  c->now = now;
  fk_store_session_record_outcome(c, outcome);
  c->store_session.lease_pending = FALSE;
  c->store_session.next_keepalive =
      fk_time_add(now, outcome == FK_OUTCOME_OK ? KEEPALIVE_INTERVAL_S : lease_retry_s(c));
  if (outcome == FK_OUTCOME_GONE) {
    g_message("store lease expired lease=%" G_GUINT64_FORMAT, c->store_session.lease.n);
    c->store_session.lease.n = 0;
    c->store_session.next_keepalive = now;
  }
}

static void node_key_committed(FkController *c, gpointer data, FkOutcome outcome, FkRev store_rev,
                               GPtrArray *failed) {
  c->store_session.node_pending = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->store_session.node_wait_rev = store_rev;
  else
    c->store_session.node_retry_at = fk_time_add(c->now, NODE_KEY_RETRY_S);
  if (outcome == FK_OUTCOME_INVALID) {
    /* The lease has expired. */
    c->store_session.lease.n = 0;
    c->store_session.next_keepalive = c->now;
  }
}

static void send_keepalive(FkController *c) {
  FkOutput *output =
      fk_output_new(c, c->store_session.lease.n ? FK_OUTPUT_LEASE_KEEPALIVE : FK_OUTPUT_LEASE_GRANT);
  output->rev = c->store_session.lease;
  output->seconds = STORE_LEASE_S;
  c->store_session.lease_pending = TRUE;
}

static gboolean zones_equal(char **a, char **b) {
  return a && b ? g_strv_equal((const char *const *)a, (const char *const *)b) : a == b;
}

/* Writes the node key, unless the view shows the node key with the controller's current incarnation and its
 * unreachable zones. */
static void put_node_key(FkController *c) {
  FkControllerNode *node = g_hash_table_lookup(c->view->nodes, c->settings->node);
  g_auto(GStrv) unreachable_zones = fk_workers_unreachable_zones(c);
  if (node && g_str_equal(node->incarnation, c->incarnation) &&
      zones_equal(node->unreachable_zones, unreachable_zones))
    return;
  FkOutput *transaction = fk_transaction_new(c, FK_PRIORITY_LEASE);
  FkRecord *record = fk_record_new(FK_STORE_KEY_NODE);
  record->incarnation = g_strdup(c->incarnation);
  record->unreachable_zones = g_steal_pointer(&unreachable_zones);
  /* The guard prevents a delayed write of an earlier incarnation, whose lease may still be valid for seconds,
   * from overwriting the node key. */
  fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_NODE, c->settings->node),
                       node ? node->rev : (FkRev){0});
  fk_transaction_put(transaction, fk_store_key_path(FK_STORE_KEY_NODE, c->settings->node), record,
                     c->store_session.lease);
  c->store_session.node_pending = TRUE;
  fk_transaction_send(c, transaction, node_key_committed, NULL, NULL);
}

void fk_store_session_tick(FkController *c) {
  if (c->store_session.sync == FK_SYNC_IDLE)
    start_sync(c);
  else if (c->store_session.sync == FK_SYNC_LISTING && !c->store_session.listing &&
           fk_time_reached(c->now, c->store_session.retry_at))
    send_list(c);
  if (!c->store_session.lease_pending && fk_time_reached(c->now, c->store_session.next_keepalive))
    send_keepalive(c);
  gboolean view_has_latest = c->view->applied.n >= c->store_session.node_wait_rev.n;
  if (fk_controller_is_ready(c) && c->store_session.lease.n && !c->store_session.node_pending &&
      view_has_latest && fk_time_reached(c->now, c->store_session.node_retry_at))
    put_node_key(c);
}
