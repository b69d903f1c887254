/* Leader election and the leader's periodic work.
 *
 * A key in the store, attached to a controller's lease, names the leader. The leader places long jobs, sizes
 * the short partition, finalizes jobs, preempts tasks and runs the autoscaler. Safety doesn't depend on
 * having a single leader: every transaction has its own guards, so that two leaders at the same time are
 * harmless. */
#include "core/leader/leader_internal.h"

#define CAMPAIGN_RETRY_S 0.1 /* delay after a success or conflict: the view will soon show the leader */
#define CAMPAIGN_FAILED_RETRY_S 0.5 /* delay after a failed or unanswered transaction */

static void on_leader_key_write_reply(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                      GPtrArray *failed) {
  gboolean answered = outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT;
  c->leader.write_pending = FALSE;
  c->leader.retry_at = fk_time_add(c->now, answered ? CAMPAIGN_RETRY_S : CAMPAIGN_FAILED_RETRY_S);
  c->leader.wait_rev = epoch;
}

/* Returns whether the view shows no leader, or an earlier incarnation of a controller as the leader. The new
 * incarnation isn't the leader, although the lease of the earlier one may last for several more seconds. */
static gboolean leader_is_absent(FkController *c) {
  if (!c->view->leader)
    return TRUE;
  const FkControllerNode *node = g_hash_table_lookup(c->view->nodes, c->view->leader);
  return node && g_strcmp0(node->incarnation, c->view->leader_incarnation) != 0;
}

static gboolean can_campaign(FkController *c) {
  return leader_is_absent(c) && c->store_session.lease.n && !c->leader.write_pending &&
         fk_time_reached(c->now, c->leader.retry_at) && c->view->applied.n >= c->leader.wait_rev.n &&
         fk_controller_can_serve(c, c->now);
}

/* Writes this controller's name into the leader key, guarded by the key's revision in the view. */
static void campaign(FkController *c) {
  if (!can_campaign(c))
    return;
  FkOutput *transaction = fk_transaction_new(c, FK_PRIORITY_LEASE);
  FkRecord *record = fk_record_new(FK_STORE_KEY_LEADER);
  record->node = g_strdup(c->settings->node);
  record->incarnation = g_strdup(c->incarnation);
  fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_LEADER, ""), c->view->leader_rev);
  fk_transaction_put(transaction, fk_store_key_path(FK_STORE_KEY_LEADER, ""), record, c->store_session.lease);
  c->leader.write_pending = TRUE;
  fk_transaction_send(c, transaction, on_leader_key_write_reply, NULL, NULL);
}

/* Returns whether the leader key names this incarnation of this controller. */
static gboolean is_named_leader(FkController *c) {
  return c->view->leader && g_str_equal(c->view->leader, c->settings->node) &&
         g_strcmp0(c->view->leader_incarnation, c->incarnation) == 0;
}

/* Records that this controller has gained or lost leadership. Resets the sizing of the short partition, the
 * blacklist and the autoscaler, because their state is out of date. */
static void leadership_changed(FkController *c, gboolean is_leader) {
  g_message("leadership %s", is_leader ? "acquired" : "lost");
  c->leader.is_leader = is_leader;
  c->leader.since = c->now;
  c->leader.sizing = (FkElasticSizing){0};
  fk_window_clear_blacklist(c);
  fk_autoscaler_reset(c);
}

void fk_leader_view_changed(FkController *c) {
  if (c->leader.is_leader)
    fk_leader_preemption_tick(c);
}

void fk_leader_tick(FkController *c) {
  campaign(c);
  gboolean is_leader = is_named_leader(c);
  if (is_leader != c->leader.is_leader)
    leadership_changed(c, is_leader);
  if (!is_leader)
    return;
  fk_job_finalization_tick(c);
  fk_leader_preemption_tick(c);
  FkCpuPurpose before = fk_cpu_profile_enter(&c->cpu_profile, FK_CPU_AUTOSCALER);
  fk_autoscaler_tick(c);
  fk_cost_accounting_tick(c);
  fk_cpu_profile_leave(&c->cpu_profile, before);
}
