/* The session with the store: its hold, the list that a start reads, the watch that moves the view. */
#include "core/controller.h"
#include "core/controller_internal.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/scheduling_queue.h"

#define STORE_LEASE_S 6.0
#define WATCH_S 2.0
#define WATCH_REQUEST_SHARE 0.35 /* of the store's requests, all controllers together */

static void send_list(FkController *c) {
  FkOutput *o = fk_output_new(c, FK_OUTPUT_LIST);
  o->path = g_strdup(FK_STORE_LIVE_ROOT);
  o->after = g_strdup(c->store_session.list_after);
  c->store_session.listing = TRUE;
}

static void start_sync(FkController *c) {
  if (fk_controller_is_ready(c)) {
    /* What we knew of starts under way goes with the view: a new life claims every machine again, and the new
     * tokens make the old starts void. */
    char *life = g_strdup_printf("%s+%u", c->incarnation, g_rand_int_range(c->rand, 0, 1 << 30));
    g_free(c->incarnation);
    c->incarnation = life;
  }
  fk_view_clear(c->view);
  fk_scheduling_queue_reset(c->leader.scheduling_queue);
  fk_capacity_index_reset(c->leader.capacity_index);
  g_hash_table_remove_all(c->store_session.peer_confirmed_at);
  g_hash_table_remove_all(c->requests.terminal_states_requested);
  g_clear_pointer(&c->store_session.list_after, g_free);
  c->store_session.list_epoch.n = 0;
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
  FkOutput *o = fk_output_new(c, FK_OUTPUT_WATCH);
  o->path = g_strdup(FK_STORE_ROOT);
  o->rev = c->view->applied;
  o->seconds = c->store_session.sync == FK_SYNC_READY ? WATCH_S : 0;
  o->delay_s = delay_s;
  c->store_session.watching = TRUE;
}

static void apply_events(FkController *c, GPtrArray *events) {
  FkCpuPurpose before = fk_cpu_profile_enter(&c->cpu_profile, FK_CPU_APPLY);
  c->view->now = c->now;
  for (guint i = 0; i < events->len; i++) {
    FkStoreEvent *e = events->pdata[i];
    fk_view_apply(c->view, e->path, g_steal_pointer(&e->record), e->rev);
  }
  fk_cpu_profile_leave(&c->cpu_profile, before);
}

void fk_controller_list_received(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, gboolean more,
                                 FkRev epoch) {
  c->now = now;
  c->store_session.listing = FALSE;
  fk_store_session_note_outcome(c, o);
  if (c->store_session.sync != FK_SYNC_LISTING)
    return;
  if (o != FK_OUTCOME_OK) {
    c->store_session.failures++;
    c->store_session.retry_at =
        fk_time_add(now, MIN(2.0, 0.2 * c->store_session.failures) * g_rand_double_range(c->rand, 0.7, 1.3));
    return;
  }
  c->store_session.failures = 0;
  /* Pages may be of different moments: everything after the first page's is replayed by the watch. */
  if (!c->store_session.list_epoch.n)
    c->store_session.list_epoch = epoch;
  if (epoch.n > c->store_session.catch_up_rev.n)
    c->store_session.catch_up_rev = epoch;
  apply_events(c, events);
  if (more && events->len) {
    g_free(c->store_session.list_after);
    c->store_session.list_after = g_strdup(((FkStoreEvent *)events->pdata[events->len - 1])->path);
    send_list(c);
    return;
  }
  c->view->applied = c->store_session.list_epoch;
  c->store_session.sync = FK_SYNC_CATCHING_UP;
  send_watch(c, 0);
}

static void became_ready(FkController *c) {
  c->store_session.sync = FK_SYNC_READY;
  c->view->caught_up = TRUE;
  c->store_session.ready_since = c->now;
  g_info("view ready at revision %" G_GUINT64_FORMAT ": %u jobs, %u machines", c->view->applied.n,
         g_hash_table_size(c->view->jobs), g_hash_table_size(c->view->machines));
}

void fk_store_session_watch_received(FkController *c, FkOutcome o, GPtrArray *events, FkRev epoch,
                                     FkTime sent) {
  c->store_session.watching = FALSE;
  fk_store_session_note_outcome(c, o);
  if (c->store_session.sync != FK_SYNC_READY && c->store_session.sync != FK_SYNC_CATCHING_UP)
    return;
  if (o == FK_OUTCOME_GONE) {
    g_message("the store no longer has our place in its history: reading all again");
    start_sync(c);
    return;
  }
  if (o != FK_OUTCOME_OK) {
    send_watch(c, g_rand_double_range(c->rand, 0.1, 0.4));
    return;
  }
  apply_events(c, events);
  if (epoch.n > c->view->applied.n)
    c->view->applied = epoch;
  if (c->view->applied.n > c->store_session.latest_rev_seen.n)
    c->store_session.latest_rev_seen = c->view->applied;
  if (sent.us > c->store_session.confirmed_at.us)
    c->store_session.confirmed_at = sent;
  if (c->store_session.sync == FK_SYNC_CATCHING_UP && c->view->applied.n >= c->store_session.catch_up_rev.n)
    became_ready(c);
  fk_requests_reply_cancelled(c);
  fk_requests_pass_read_barrier(c);
  fk_calls_retry_overdue(c);
  /* A short pause lets several changes come in one answer: the watch's share of the request budget stays
   * small. */
  send_watch(c, events->len
                    ? MAX(0.02, fk_controller_live_count(c) / (WATCH_REQUEST_SHARE * c->settings->store_rps))
                    : 0);
}

void fk_controller_lease_grant_received(FkController *c, FkTime now, FkOutcome o, FkRev hold, FkTime sent) {
  c->now = now;
  fk_store_session_note_outcome(c, o);
  c->store_session.lease_pending = FALSE;
  if (o == FK_OUTCOME_OK) {
    c->store_session.lease = hold;
    c->store_session.next_keepalive = fk_time_add(now, STORE_LEASE_S / 4);
    c->store_session.node_wait_rev.n = 0;
  } else {
    c->store_session.next_keepalive = fk_time_add(now, g_rand_double_range(c->rand, 0.2, 0.6));
  }
}

void fk_controller_lease_keepalive_received(FkController *c, FkTime now, FkOutcome o, FkTime sent) {
  c->now = now;
  fk_store_session_note_outcome(c, o);
  c->store_session.lease_pending = FALSE;
  c->store_session.next_keepalive =
      fk_time_add(now, o == FK_OUTCOME_OK ? STORE_LEASE_S / 4 : g_rand_double_range(c->rand, 0.2, 0.6));
  if (o == FK_OUTCOME_GONE) {
    g_message("our hold %" G_GUINT64_FORMAT " has ended", c->store_session.lease.n);
    c->store_session.lease.n = 0;
    c->store_session.next_keepalive = now;
  }
}

static void node_key_committed(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->store_session.node_pending = FALSE;
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->store_session.node_wait_rev = epoch;
  else
    c->store_session.node_retry_at = fk_time_add(c->now, 0.3);
  if (o == FK_OUTCOME_INVALID) {
    /* the hold is gone */
    c->store_session.lease.n = 0;
    c->store_session.next_keepalive = c->now;
  }
}

void fk_store_session_tick(FkController *c) {
  if (c->store_session.sync == FK_SYNC_IDLE)
    start_sync(c);
  else if (c->store_session.sync == FK_SYNC_LISTING && !c->store_session.listing &&
           fk_time_reached(c->now, c->store_session.retry_at))
    send_list(c);
  if (!c->store_session.lease_pending && fk_time_reached(c->now, c->store_session.next_keepalive)) {
    FkOutput *o =
        fk_output_new(c, c->store_session.lease.n ? FK_OUTPUT_LEASE_KEEPALIVE : FK_OUTPUT_LEASE_GRANT);
    o->rev = c->store_session.lease;
    o->seconds = STORE_LEASE_S;
    c->store_session.lease_pending = TRUE;
  }
  if (!fk_controller_is_ready(c) || !c->store_session.lease.n || c->store_session.node_pending ||
      c->view->applied.n < c->store_session.node_wait_rev.n ||
      !fk_time_reached(c->now, c->store_session.node_retry_at))
    return;
  FkControllerNode *n = g_hash_table_lookup(c->view->nodes, c->settings->node);
  if (n && g_str_equal(n->incarnation, c->incarnation))
    return;
  FkOutput *t = fk_transaction_new(c, FK_PRIORITY_LEASE);
  FkRecord *r = fk_record_new(FK_KEY_NODE);
  r->incarnation = g_strdup(c->incarnation);
  /* A repeat of an earlier life's, whose hold may last for seconds yet, must not undo this. */
  fk_transaction_guard(t, fk_key_path(FK_KEY_NODE, c->settings->node), n ? n->rev : (FkRev){0});
  fk_transaction_put(t, fk_key_path(FK_KEY_NODE, c->settings->node), r, c->store_session.lease);
  c->store_session.node_pending = TRUE;
  fk_transaction_send(c, t, node_key_committed, NULL, NULL);
}
