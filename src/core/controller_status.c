/* Readiness, number of live controllers, and shares of the store's write budget. */
#include "core/controller_internal.h"

/* The controller counts as partitioned from the store if all of these hold: the store has not replied to this
 * controller for more than ISOLATED_FROM_STORE_S; the store replied to another controller less than
 * PEER_STORE_RECENT_S ago; and that reply came more than PEER_STORE_LEAD_S after the store's last reply to
 * this controller. */
#define ISOLATED_FROM_STORE_S 2.5
#define PEER_STORE_LEAD_S 1
#define PEER_STORE_RECENT_S 5
/* The controller counts as partitioned from the store and all other controllers if the store has not replied
 * for more than this time, and no controller has replied to the queries that are sent once a second after
 * FK_PEER_QUERY_AFTER_S without a reply of the store that confirms the view. */
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
  return c->launches.queued_service_tasks >= SERVICES_WAITING_MIN;
}

/* The store's write budget is divided among the controllers by weight. The leader launches the services
 * of all controllers. It has weight 2, or, while services have priority, the weight of all other controllers
 * together if that is more. Each other controller has weight 1. */
double fk_store_write_share(FkController *c) {
  guint live = fk_controller_live_count(c);
  double leader_weight = fk_services_have_priority(c) ? MAX(2, live - 1) : 2;
  return (c->leader.is_leader ? leader_weight : 1.0) / (live - 1 + leader_weight);
}

gboolean fk_controller_can_serve(FkController *c, FkTime now) {
  /* A controller that is partitioned from the store stops serving only if the store replies to other
   * controllers, which can serve the users. If the store replies to no controller, stopping would only slow
   * down the recovery. */
  double without_store_s = fk_time_between(c->store_session.store_answered_at, now);
  gboolean isolated_from_store =
      without_store_s > ISOLATED_FROM_STORE_S &&
      fk_time_between(c->store_session.store_answered_at, c->store_session.peer_store_answered_at) >
          PEER_STORE_LEAD_S &&
      fk_time_between(c->store_session.peer_store_answered_at, now) < PEER_STORE_RECENT_S;
  /* If neither the store nor any other controller replies, this controller counts as partitioned from both.
   * Clients may still reach this controller, which could only answer their requests with 503. */
  gboolean isolated_from_all =
      c->settings->peers->len && without_store_s > ISOLATED_FROM_ALL_S &&
      fk_time_between(c->store_session.peer_answered_at, now) > ISOLATED_FROM_ALL_S - FK_PEER_QUERY_AFTER_S;
  return fk_controller_is_ready(c) && g_hash_table_size(c->autoscaling.instance_types) > 0 &&
         !isolated_from_store && !isolated_from_all;
}
