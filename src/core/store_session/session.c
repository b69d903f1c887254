/* The session with the store: its hold, the list that a start reads, the watch that moves the view. */
#include "core/controller.h"
#include "core/controller_internal.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/scheduling_queue.h"

#define HOLD_S 6.0
#define WATCH_S 2.0
#define WATCH_SHARE 0.35 /* of the store's requests, all controllers together */

static void list_next(FkController *c) {
  FkOut *o = fk_out(c, FK_OUT_LIST);
  o->path = g_strdup(FK_LIVE);
  o->after = g_strdup(c->list_after);
  c->listing = TRUE;
}

static void sync_start(FkController *c) {
  if (fk_ready(c)) {
    /* What we knew of starts under way goes with the view: a new life claims every machine again, and the new
     * tokens make the old starts void. */
    char *life = g_strdup_printf("%s+%u", c->life, g_rand_int_range(c->rand, 0, 1 << 30));
    g_free(c->life);
    c->life = life;
  }
  fk_view_clear(c->view);
  fk_turn_forget(c->turn);
  fk_rooms_forget(c->rooms);
  g_hash_table_remove_all(c->peer_proof);
  g_hash_table_remove_all(c->finals_asked);
  g_clear_pointer(&c->list_after, g_free);
  c->list_epoch.n = 0;
  c->catch_up.n = 0;
  c->sync = FK_SYNC_LISTING;
  c->launching = c->finalizing = c->stopping = FALSE;
  c->claiming = c->roster_sending = c->ends_sending = c->fencing = c->splitting = FALSE;
  c->fence_needed = TRUE;
  fk_ends_clear(c);
  list_next(c);
}

static void watch_next(FkController *c, double delay_s) {
  FkOut *o = fk_out(c, FK_OUT_WATCH);
  o->path = g_strdup(FK_ROOT);
  o->rev = c->view->applied;
  o->seconds = c->sync == FK_SYNC_READY ? WATCH_S : 0;
  o->delay_s = delay_s;
  c->watching = TRUE;
}

static void apply_events(FkController *c, GPtrArray *events) {
  FkCost before = fk_meter_enter(&c->meter, FK_COST_APPLY);
  c->view->now = c->now;
  for (guint i = 0; i < events->len; i++) {
    FkEvent *e = events->pdata[i];
    fk_view_apply(c->view, e->path, g_steal_pointer(&e->record), e->rev);
  }
  fk_meter_leave(&c->meter, before);
}

void fk_controller_listed(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, gboolean more,
                          FkRev epoch) {
  c->now = now;
  c->listing = FALSE;
  fk_store_answered(c, o);
  if (c->sync != FK_SYNC_LISTING)
    return;
  if (o != FK_OK) {
    c->sync_failures++;
    c->sync_retry =
        fk_time_add(now, MIN(2.0, 0.2 * c->sync_failures) * g_rand_double_range(c->rand, 0.7, 1.3));
    return;
  }
  c->sync_failures = 0;
  /* Pages may be of different moments: everything after the first page's is replayed by the watch. */
  if (!c->list_epoch.n)
    c->list_epoch = epoch;
  if (epoch.n > c->catch_up.n)
    c->catch_up = epoch;
  apply_events(c, events);
  if (more && events->len) {
    g_free(c->list_after);
    c->list_after = g_strdup(((FkEvent *)events->pdata[events->len - 1])->path);
    list_next(c);
    return;
  }
  c->view->applied = c->list_epoch;
  c->sync = FK_SYNC_CATCHING_UP;
  watch_next(c, 0);
}

static void became_ready(FkController *c) {
  c->sync = FK_SYNC_READY;
  c->view->live = TRUE;
  c->ready_since = c->now;
  g_info("view ready at revision %" G_GUINT64_FORMAT ": %u jobs, %u machines", c->view->applied.n,
         g_hash_table_size(c->view->jobs), g_hash_table_size(c->view->machines));
}

void fk_session_watched(FkController *c, FkOutcome o, GPtrArray *events, FkRev epoch, FkTime sent) {
  c->watching = FALSE;
  fk_store_answered(c, o);
  if (c->sync != FK_SYNC_READY && c->sync != FK_SYNC_CATCHING_UP)
    return;
  if (o == FK_GONE) {
    g_message("the store no longer has our place in its history: reading all again");
    sync_start(c);
    return;
  }
  if (o != FK_OK) {
    watch_next(c, g_rand_double_range(c->rand, 0.1, 0.4));
    return;
  }
  apply_events(c, events);
  if (epoch.n > c->view->applied.n)
    c->view->applied = epoch;
  if (c->view->applied.n > c->seen.n)
    c->seen = c->view->applied;
  if (sent.us > c->confirmed.us)
    c->confirmed = sent;
  if (c->sync == FK_SYNC_CATCHING_UP && c->view->applied.n >= c->catch_up.n)
    became_ready(c);
  fk_users_tell_waiting(c);
  fk_users_settle(c);
  fk_calls_again(c);
  /* A short pause lets several changes come in one answer: the watch's share of the request budget stays
   * small. */
  watch_next(c, events->len ? MAX(0.02, fk_controllers(c) / (WATCH_SHARE * c->settings->state_rps)) : 0);
}

void fk_controller_held(FkController *c, FkTime now, FkOutcome o, FkRev hold, FkTime sent) {
  c->now = now;
  fk_store_answered(c, o);
  c->hold_pending = FALSE;
  if (o == FK_OK) {
    c->hold = hold;
    c->hold_next = fk_time_add(now, HOLD_S / 4);
    c->node_wait.n = 0;
  } else {
    c->hold_next = fk_time_add(now, g_rand_double_range(c->rand, 0.2, 0.6));
  }
}

void fk_controller_renewed(FkController *c, FkTime now, FkOutcome o, FkTime sent) {
  c->now = now;
  fk_store_answered(c, o);
  c->hold_pending = FALSE;
  c->hold_next = fk_time_add(now, o == FK_OK ? HOLD_S / 4 : g_rand_double_range(c->rand, 0.2, 0.6));
  if (o == FK_GONE) {
    g_message("our hold %" G_GUINT64_FORMAT " has ended", c->hold.n);
    c->hold.n = 0;
    c->hold_next = now;
  }
}

static void node_put(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->node_pending = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->node_wait = epoch;
  else
    c->node_retry = fk_time_add(c->now, 0.3);
  if (o == FK_INVALID) {
    /* the hold is gone */
    c->hold.n = 0;
    c->hold_next = c->now;
  }
}

void fk_session_tick(FkController *c) {
  if (c->sync == FK_SYNC_IDLE)
    sync_start(c);
  else if (c->sync == FK_SYNC_LISTING && !c->listing && fk_time_reached(c->now, c->sync_retry))
    list_next(c);
  if (!c->hold_pending && fk_time_reached(c->now, c->hold_next)) {
    FkOut *o = fk_out(c, c->hold.n ? FK_OUT_HOLD_RENEW : FK_OUT_HOLD_NEW);
    o->rev = c->hold;
    o->seconds = HOLD_S;
    c->hold_pending = TRUE;
  }
  if (!fk_ready(c) || !c->hold.n || c->node_pending || c->view->applied.n < c->node_wait.n ||
      !fk_time_reached(c->now, c->node_retry))
    return;
  FkNode *n = g_hash_table_lookup(c->view->nodes, c->settings->node);
  if (n && g_str_equal(n->life, c->life))
    return;
  FkOut *t = fk_txn_new(c, FK_PRIO_HOLD);
  FkRecord *r = fk_record_new(FK_KEY_NODE);
  r->life = g_strdup(c->life);
  /* A repeat of an earlier life's, whose hold may last for seconds yet, must not undo this. */
  fk_txn_guard(t, fk_key(FK_KEY_NODE, c->settings->node), n ? n->rev : (FkRev){0});
  fk_txn_put(t, fk_key(FK_KEY_NODE, c->settings->node), r, c->hold);
  c->node_pending = TRUE;
  fk_txn_send(c, t, node_put, NULL, NULL);
}
