/* What every part of the core asks of its state. */
#include "core/controller_internal.h"

#define ALONE_S 2.5
#define CUT_OFF_S 6.0 /* the others are asked from FK_PEER_AFTER_S on, once a second */

FkOut *fk_out(FkController *c, FkOutKind kind) {
  FkOut *o = g_new0(FkOut, 1);
  o->kind = kind;
  g_queue_push_tail(c->outs, o);
  return o;
}

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

#define SERVICES_MANY 4

gboolean fk_services_first(FkController *c) { return c->services_waiting >= SERVICES_MANY; }

/* The leader writes for the services of all: it has two parts, and as many as all the others together while
 * services wait. Everybody counts them in the same view, so that the parts make up the whole. */
double fk_write_share(FkController *c) {
  guint n = fk_controllers(c);
  double leader = fk_services_first(c) ? MAX(2, n - 1) : 2;
  return (c->leading ? leader : 1.0) / (n - 1 + leader);
}

gboolean fk_serves(FkController *c, FkTime now) {
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

gboolean fk_group_mine(FkController *c, const FkGroup *g) {
  return g->home && g_str_equal(g->home, c->settings->node) && g_str_equal(g->life, c->life);
}

gboolean fk_is_mine(FkController *c, const FkMachine *m) { return m->group && fk_group_mine(c, m->group); }

gboolean fk_home_heard(const FkMachine *m) {
  return m->home && m->home->evidence.shown.n && m->home->evidence.shown.n == m->group->rev.n;
}
