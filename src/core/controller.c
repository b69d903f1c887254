/* The controller: its calls to the store, its life and its clock. */
#include "core/controller.h"
#include "core/controller_internal.h"
#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/scheduling_queue.h"

/* ------------------------------------------------------------------ shares, and whether it serves */

FkOut *fk_controller_next(FkController *c) { return g_queue_pop_head(c->outs); }

FkView *fk_controller_view(FkController *c) { return c->view; }

FkMeter *fk_controller_meter(FkController *c) { return &c->meter; }

void fk_controller_room(FkController *c, double writes) { c->write_room = writes; }

double fk_controller_share(FkController *c) { return 1.0 / fk_controllers(c); }

double fk_controller_write_share(FkController *c) { return fk_write_share(c); }

gboolean fk_controller_up(FkController *c, FkTime now) { return fk_serves(c, now); }

/* ------------------------------------------------------------------ life */

static void redirect_free(gpointer p) {
  FkRedirect *r = p;
  g_free(r->to);
  g_free(r);
}

FkController *fk_controller_new(const FkSettings *s, const char *life, guint32 seed, FkTime now) {
  FkController *c = g_new0(FkController, 1);
  c->settings = s;
  c->life = g_strdup(life);
  c->rand = g_rand_new_with_seed(seed);
  c->now = c->started = now;
  c->view = fk_view_new(s);
  c->outs = g_queue_new();
  c->commits = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, fk_call_free);
  c->gets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, fk_call_free);
  c->asks = g_hash_table_new_full(g_direct_hash, g_direct_equal, fk_users_ask_free, NULL);
  c->verify = g_queue_new();
  c->tell = fk_tell_new();
  c->telling = g_queue_new();
  c->settling = g_queue_new();
  c->finals_asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  c->peer_proof = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  c->held = g_queue_new();
  c->fence_needed = TRUE;
  c->hindrances = g_hash_table_new(g_direct_hash, g_direct_equal);
  c->ending_on = g_hash_table_new(g_direct_hash, g_direct_equal);
  c->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, fk_ending_free);
  c->redirects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, redirect_free);
  c->commands = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  c->types = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, fk_type_free);
  c->heard = g_array_new(FALSE, FALSE, sizeof(FkHeard));
  c->fleet = fk_fleet_new(now);
  c->money = fk_money_new();
  c->turn = fk_turn_new(s);
  c->rooms = fk_rooms_new();
  c->overdue = fk_overdue_new();
  c->pending = g_array_new(FALSE, FALSE, sizeof(FkPend));
  c->window_end = fk_time_add(now, s->tuning.window_s);
  c->store_ok = now;
  c->write_room = s->txn_ops;
  return c;
}

void fk_controller_free(FkController *c) {
  if (!c)
    return;
  FkOut *o;
  while ((o = fk_controller_next(c)))
    fk_out_free(o);
  g_queue_free(c->outs);
  g_hash_table_unref(c->commits);
  g_hash_table_unref(c->gets);
  g_queue_free(c->verify);
  g_queue_free(c->telling);
  g_queue_free(c->settling);
  g_hash_table_unref(c->finals_asked);
  g_hash_table_unref(c->asks);
  fk_tell_free(c->tell);
  FkHeldReport *h;
  while ((h = g_queue_pop_head(c->held))) {
    fk_report_free(h->report);
    g_free(h);
  }
  g_queue_free(c->held);
  g_hash_table_unref(c->peer_proof);
  g_hash_table_unref(c->redirects);
  g_hash_table_unref(c->ended);
  g_hash_table_unref(c->ending_on);
  g_hash_table_unref(c->hindrances);
  g_hash_table_unref(c->commands);
  g_array_unref(c->heard);
  g_array_unref(c->pending);
  g_hash_table_unref(c->types);
  fk_fleet_free(c->fleet);
  fk_money_free(c->money);
  fk_turn_free(c->turn);
  fk_rooms_free(c->rooms);
  fk_overdue_free(c->overdue);
  fk_view_free(c->view);
  g_rand_free(c->rand);
  g_free(c->list_after);
  g_free(c->life);
  g_free(c);
}

void fk_controller_request_gone(FkController *c, FkRequest r) {
  /* Answers to requests that are gone are dropped by the shell; only reports that wait are worth dropping
   * here. */
  for (GList *l = c->held->head; l; l = l->next) {
    FkHeldReport *h = l->data;
    if (h->request.n == r.n) {
      fk_report_free(h->report);
      g_free(h);
      g_queue_delete_link(c->held, l);
      return;
    }
  }
}

void fk_controller_types(FkController *c, FkTime now, FkOutcome o, GPtrArray *types) {
  c->now = now;
  c->types_pending = FALSE;
  if (o != FK_OK) {
    c->types_next = fk_time_add(now, g_rand_double_range(c->rand, 0.6, 1.4));
    return;
  }
  c->types_next = fk_time_add(now, 60);
  for (guint i = 0; i < types->len; i++) {
    FkType *t = types->pdata[i], *known = g_hash_table_lookup(c->types, t->name);
    types->pdata[i] = NULL;
    if (!known) {
      g_hash_table_replace(c->types, t->name, t);
      continue;
    }
    /* in place: machines hold on to theirs */
    FkType old = *known;
    *known = *t;
    known->name = old.name; /* the table's key */
    old.name = t->name;
    *t = old;
    fk_type_free(t);
  }
}

void fk_controller_tick(FkController *c, FkTime now, gint64 wall_us) {
  c->now = now;
  c->view->wall_offset_us = wall_us - now.us;
  fk_session_tick(c);
  fk_calls_again(c);
  if (!c->types_pending && fk_time_reached(now, c->types_next)) {
    fk_out(c, FK_OUT_TYPES);
    c->types_pending = TRUE;
  }
  fk_users_settle(c);
  if (!fk_ready(c))
    return;
  fk_metered(c, FK_COST_USERS, fk_users_verify);
  fk_metered(c, FK_COST_USERS, fk_chains_tick);
  fk_users_tell_waiting(c);
  fk_proof_tick(c, fk_users_wait_for(c));
  c->view->now = now;
  fk_view_rate_services(c->view);
  fk_view_review_doubts(c->view);
  fk_metered(c, FK_COST_CLAIMS, fk_claims_tick);
  fk_metered(c, FK_COST_USERS, fk_serving_tick);
  fk_metered(c, FK_COST_HOMES, fk_homes_tick);
  fk_metered(c, FK_COST_HOMES, fk_ends_tick);
  fk_metered(c, FK_COST_CLAIMS, fk_windows_tick);
  fk_metered(c, FK_COST_STOPS, fk_leader_tick);
  fk_metered(c, FK_COST_CLAIMS, fk_roster_tick);
  fk_metered(c, FK_COST_CLAIMS, fk_quota_tick);
  fk_metered(c, FK_COST_LAUNCHES, fk_place);
}

/* What has changed is acted on at once. */
void fk_controller_watched(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, FkRev epoch,
                           FkTime sent) {
  c->now = now;
  fk_session_watched(c, o, events, epoch, sent);
  if (o != FK_OK || !fk_ready(c))
    return;
  fk_metered(c, FK_COST_CLAIMS, fk_claims_tick);
  fk_metered(c, FK_COST_HOMES, fk_homes_view_changed);
  fk_metered(c, FK_COST_HOMES, fk_ends_tick);
  fk_metered(c, FK_COST_LAUNCHES, fk_place);
  fk_metered(c, FK_COST_STOPS, fk_leader_act);
}

void fk_controller_peer(FkController *c, FkTime now, const char *peer, const char *life, FkRev seen,
                        FkRev applied, double store_age_s, FkTime sent) {
  c->now = c->peer_heard = now;
  fk_tell_applied(c->tell, peer, applied);
  fk_users_tell_waiting(c);
  fk_proof_peer(c, peer, life, seen, store_age_s, sent);
}
