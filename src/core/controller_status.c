/* The state of the controller as a whole. */
#include "core/controller_internal.h"

#define ISOLATED_FROM_STORE_S 2.5
#define PEER_STORE_LEAD_S 1 /* by how much later the store must have answered others */
#define PEER_STORE_RECENT_S 5
#define ISOLATED_FROM_ALL_S 6.0 /* the others are queried from FK_PEER_QUERY_AFTER_S on, once a second */

FkOutput *fk_output_new(FkController *c, FkOutputKind kind) {
  FkOutput *output = g_new0(FkOutput, 1);
  output->kind = kind;
  g_queue_push_tail(c->outputs, output);
  return output;
}

gboolean fk_controller_is_ready(FkController *c) { return c->store_session.sync == FK_SYNC_READY; }

gboolean fk_node_is_alive(FkController *c, const char *node) {
  return node && g_hash_table_contains(c->view->nodes, node);
}

gboolean fk_spec_is_long(FkController *c, const FkSpec *spec) {
  return spec->shape != FK_SHAPE_ARRAY || spec->estimate_s >= c->settings->tuning.short_cutoff_s;
}

/* Does it with its processor time charged to that purpose. */
void fk_cpu_profile_run(FkController *c, FkCpuPurpose purpose, void (*fn)(FkController *)) {
  FkCpuPurpose outer = fk_cpu_profile_enter(&c->cpu_profile, purpose);
  fn(c);
  fk_cpu_profile_leave(&c->cpu_profile, outer);
}

guint fk_controller_live_count(FkController *c) {
  guint all = c->settings->peers->len + 1;
  return fk_controller_is_ready(c) ? CLAMP(g_hash_table_size(c->view->nodes), 1, all) : all;
}

#define SERVICES_WAITING_MIN 4

gboolean fk_services_have_priority(FkController *c) {
  return c->launches.queued_service_tasks >= SERVICES_WAITING_MIN;
}

/* The leader launches the services of all controllers: its weight is two, and as much as all the others
 * together while services wait. */
double fk_store_write_share(FkController *c) {
  guint live = fk_controller_live_count(c);
  double leader = fk_services_have_priority(c) ? MAX(2, live - 1) : 2;
  return (c->leader.is_leader ? leader : 1.0) / (live - 1 + leader);
}

gboolean fk_controller_can_serve(FkController *c, FkTime now) {
  /* While the store answers other controllers and not this one, they serve users better. While it answers
   * nobody, to stop serving would only make the recovery slower. */
  double without_store_s = fk_time_between(c->store_session.store_answered_at, now);
  gboolean isolated_from_store =
      without_store_s > ISOLATED_FROM_STORE_S &&
      fk_time_between(c->store_session.store_answered_at, c->store_session.peer_store_answered_at) >
          PEER_STORE_LEAD_S &&
      fk_time_between(c->store_session.peer_store_answered_at, now) < PEER_STORE_RECENT_S;
  /* Without the store and all other controllers it is this one that is partitioned off, whoever else still
   * reaches it: every request would get a 503. */
  gboolean isolated_from_all =
      c->settings->peers->len && without_store_s > ISOLATED_FROM_ALL_S &&
      fk_time_between(c->store_session.peer_answered_at, now) > ISOLATED_FROM_ALL_S - FK_PEER_QUERY_AFTER_S;
  return fk_controller_is_ready(c) && g_hash_table_size(c->autoscaling.instance_types) > 0 &&
         !isolated_from_store && !isolated_from_all;
}
