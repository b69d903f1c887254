/* What every part of the core asks of its state. */
#include "core/controller_internal.h"

#define ISOLATED_FROM_STORE_S 2.5
#define ISOLATED_FROM_ALL_S 6.0 /* the others are asked from FK_PEER_QUERY_AFTER_S on, once a second */

FkOutput *fk_output_new(FkController *c, FkOutputKind kind) {
  FkOutput *o = g_new0(FkOutput, 1);
  o->kind = kind;
  g_queue_push_tail(c->outputs, o);
  return o;
}

gboolean fk_controller_is_ready(FkController *c) { return c->store_session.sync == FK_SYNC_READY; }

gboolean fk_node_is_alive(FkController *c, const char *node) {
  return node && g_hash_table_contains(c->view->nodes, node);
}

gboolean fk_spec_is_long(FkController *c, const FkSpec *s) {
  return s->shape != FK_SHAPE_ARRAY || s->estimate_s >= c->settings->tuning.short_cutoff_s;
}

/* Does it with its processor time charged to that purpose. */
void fk_cpu_profile_run(FkController *c, FkCpuPurpose what, void (*fn)(FkController *)) {
  FkCpuPurpose before = fk_cpu_profile_enter(&c->cpu_profile, what);
  fn(c);
  fk_cpu_profile_leave(&c->cpu_profile, before);
}

guint fk_controller_live_count(FkController *c) {
  guint all = c->settings->peers->len + 1;
  return fk_controller_is_ready(c) ? CLAMP(g_hash_table_size(c->view->nodes), 1, all) : all;
}

#define SERVICES_WAITING_MIN 4

gboolean fk_services_have_priority(FkController *c) {
  return c->launches.services_waiting >= SERVICES_WAITING_MIN;
}

/* The leader writes for the services of all: it has two parts, and as many as all the others together while
 * services wait. Everybody counts them in the same view, so that the parts make up the whole. */
double fk_store_write_share(FkController *c) {
  guint n = fk_controller_live_count(c);
  double leader = fk_services_have_priority(c) ? MAX(2, n - 1) : 2;
  return (c->leader.is_leader ? leader : 1.0) / (n - 1 + leader);
}

gboolean fk_controller_can_serve(FkController *c, FkTime now) {
  /* When the store answers others and not us, users are better served by them. When it answers nobody, taking
   * ourselves out would only make the return slower. */
  double without = fk_time_between(c->store_session.store_answered_at, now);
  gboolean alone =
      without > ISOLATED_FROM_STORE_S &&
      fk_time_between(c->store_session.store_answered_at, c->store_session.peer_store_answered_at) > 1 &&
      fk_time_between(c->store_session.peer_store_answered_at, now) < 5;
  /* Without the store and without any other controller it is we who are cut off, whoever else still reaches
   * us: every question would hear 503. */
  gboolean cut_off =
      c->settings->peers->len && without > ISOLATED_FROM_ALL_S &&
      fk_time_between(c->store_session.peer_answered_at, now) > ISOLATED_FROM_ALL_S - FK_PEER_QUERY_AFTER_S;
  return fk_controller_is_ready(c) && g_hash_table_size(c->autoscaling.instance_types) > 0 && !alone &&
         !cut_off;
}
