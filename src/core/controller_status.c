/* Readiness, number of live controllers, and shares of the store's write budget. */
#include "core/controller_internal.h"

/* The controller is partitioned from the store if it has had no reply for ISOLATED_FROM_STORE_S while the
 * store has replied to another controller within PEER_STORE_RECENT_S, and at least PEER_STORE_LEAD_S after
 * its last reply to this one. */
#define ISOLATED_FROM_STORE_S 2.5
#define PEER_STORE_LEAD_S 1
#define PEER_STORE_RECENT_S 5
/* The controller is partitioned from everything if it has had no reply of the store for this long, and none
 * of another controller since it began to query them, once a second, after FK_PEER_QUERY_AFTER_S. */
#define ISOLATED_FROM_ALL_S 6.0

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
  return c->launches.services_waiting >= SERVICES_WAITING_MIN;
}

/* The leader launches the services of all controllers. So its weight is 2, and while services have priority
 * it is as high as that of all other controllers together. */
double fk_store_write_share(FkController *c) {
  guint live = fk_controller_live_count(c);
  double leader_weight = fk_services_have_priority(c) ? MAX(2, live - 1) : 2;
  return (c->leader.is_leader ? leader_weight : 1.0) / (live - 1 + leader_weight);
}

gboolean fk_controller_can_serve(FkController *c, FkTime now) {
  /* If the store answers other controllers but not this one, users are better served by the others. If the
   * store answers no controller, to stop serving would only slow down the recovery. */
  double without_store_s = fk_time_between(c->store_session.store_answered_at, now);
  gboolean isolated_from_store =
      without_store_s > ISOLATED_FROM_STORE_S &&
      fk_time_between(c->store_session.store_answered_at, c->store_session.peer_store_answered_at) >
          PEER_STORE_LEAD_S &&
      fk_time_between(c->store_session.peer_store_answered_at, now) < PEER_STORE_RECENT_S;
  /* Without replies of the store and of all other controllers, this one is on the small side of a partition,
   * even if clients still reach it: it would answer each of their requests with 503. */
  gboolean isolated_from_all =
      c->settings->peers->len && without_store_s > ISOLATED_FROM_ALL_S &&
      fk_time_between(c->store_session.peer_answered_at, now) > ISOLATED_FROM_ALL_S - FK_PEER_QUERY_AFTER_S;
  return fk_controller_is_ready(c) && g_hash_table_size(c->autoscaling.instance_types) > 0 &&
         !isolated_from_store && !isolated_from_all;
}
