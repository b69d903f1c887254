/* The controller: its calls to the store, its life and its clock. */
#include "core/internal.h"
#include "core/overdue.h"
#include "core/rooms.h"
#include "core/turn.h"

#define ALONE_S 2.5
#define CUT_OFF_S 6.0 /* the others are asked from FK_PEER_AFTER_S on, once a second */

/* ------------------------------------------------------------------ small things */

FkReport *fk_report_new(void);

static void task_report_free(gpointer p) {
  FkTaskReport *t = p;
  g_free(t->job);
  g_free(t);
}

FkReport *fk_report_new(void) {
  FkReport *r = g_new0(FkReport, 1);
  r->tasks = g_ptr_array_new_with_free_func(task_report_free);
  r->notice_s = -1;
  return r;
}

void fk_report_free(FkReport *r) {
  if (!r)
    return;
  g_free(r->machine);
  g_free(r->addr);
  g_free(r->type);
  g_free(r->zone);
  g_ptr_array_unref(r->tasks);
  g_free(r);
}

void fk_type_free(gpointer p) {
  FkType *t = p;
  g_free(t->name);
  g_strfreev(t->zones);
  g_free(t);
}

void fk_listed_free(gpointer p) {
  FkListed *l = p;
  g_free(l->id);
  g_free(l->addr);
  g_free(l->type);
  g_free(l->zone);
  g_free(l);
}

FkOut *fk_out_ref(FkOut *o) {
  o->shared++;
  return o;
}

void fk_out_free(FkOut *o) {
  if (!o || o->shared--)
    return;
  g_free(o->job);
  if (o->orders)
    g_ptr_array_unref(o->orders);
  g_free(o->report_to);
  if (o->guards) {
    for (guint i = 0; i < o->guards->len; i++)
      g_free(g_array_index(o->guards, FkGuard, i).path);
    g_array_unref(o->guards);
  }
  if (o->writes) {
    for (guint i = 0; i < o->writes->len; i++) {
      g_free(g_array_index(o->writes, FkWrite, i).path);
      fk_record_free(g_array_index(o->writes, FkWrite, i).record);
    }
    g_array_unref(o->writes);
  }
  g_free(o->path);
  g_free(o->after);
  g_free(o->machine);
  g_free(o->addr);
  g_free(o->name);
  g_free(o->type);
  g_free(o->zone);
  if (o->names)
    g_ptr_array_unref(o->names);
  g_free(o);
}

FkOut *fk_out(FkController *c, FkOutKind kind) {
  FkOut *o = g_new0(FkOut, 1);
  o->kind = kind;
  g_queue_push_tail(c->outs, o);
  return o;
}

FkOut *fk_controller_next(FkController *c) { return g_queue_pop_head(c->outs); }

FkView *fk_controller_view(FkController *c) { return c->view; }

FkMeter *fk_controller_meter(FkController *c) { return &c->meter; }

gboolean fk_ready(FkController *c) { return c->sync == FK_SYNC_READY; }

gboolean fk_alive(FkController *c, const char *node) {
  return node && g_hash_table_contains(c->view->nodes, node);
}

gboolean fk_spec_long(FkController *c, const FkSpec *s) {
  return s->shape != FK_SHAPE_ARRAY || s->estimate_s >= c->settings->tuning.cutoff_s;
}

/* Does it with its processor time charged to that purpose. */
void fk_metered(FkController *c, FkCost what, void (*fn)(FkController *)) {
  FkCost before = fk_meter_enter(&c->meter, what);
  fn(c);
  fk_meter_leave(&c->meter, before);
}

guint fk_controllers(FkController *c) {
  guint all = c->settings->peers->len + 1;
  return fk_ready(c) ? CLAMP(g_hash_table_size(c->view->nodes), 1, all) : all;
}

void fk_controller_room(FkController *c, double writes) { c->write_room = writes; }

double fk_controller_share(FkController *c) { return 1.0 / fk_controllers(c); }

/* The leader writes for the services of all: it has two parts, and as many as all the others together while
 * services wait. Everybody counts them in the same view, so that the parts make up the whole. */
#define SERVICES_MANY 4

gboolean fk_services_first(FkController *c) { return c->services_waiting >= SERVICES_MANY; }

double fk_controller_write_share(FkController *c) {
  guint n = fk_controllers(c);
  double leader = fk_services_first(c) ? MAX(2, n - 1) : 2;
  return (c->leading ? leader : 1.0) / (n - 1 + leader);
}

gboolean fk_controller_up(FkController *c, FkTime now) {
  /* When the store answers others and not us, users are better served by them. When it answers nobody, taking
   * ourselves out would only make the return slower. */
  double without = fk_time_between(c->store_ok, now);
  gboolean alone = without > ALONE_S && fk_time_between(c->store_ok, c->peer_store_ok) > 1 &&
                   fk_time_between(c->peer_store_ok, now) < 5;
  /* Without the store and without any other controller it is we who are cut off, whoever else still reaches
   * us: every question would hear 503. */
  gboolean cut_off = c->settings->peers->len && without > CUT_OFF_S &&
                     fk_time_between(c->peer_heard, now) > CUT_OFF_S - FK_PEER_AFTER_S;
  return fk_ready(c) && g_hash_table_size(c->types) > 0 && !alone && !cut_off;
}

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
  fk_proof_tick(c);
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
