/* Leader election and the leader's periodic work.
 *
 * A key of the store that is attached to a controller's lease names the leader. The leader places long jobs,
 * sizes the short partition and runs the autoscaler. Safety doesn't depend on there being only one: every
 * transaction is guarded by itself, so that two controllers that both believe to lead do no harm. */
#include "core/leader/leader_internal.h"

#define CAMPAIGN_RETRY_S 0.1        /* after an answer: the view shows soon who leads */
#define CAMPAIGN_FAILED_RETRY_S 0.5 /* after a failed or unanswered transaction */

static void on_leader_key_written(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                  GPtrArray *failed) {
  gboolean answered = outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT;
  c->leader.write_pending = FALSE;
  c->leader.retry_at = fk_time_add(c->now, answered ? CAMPAIGN_RETRY_S : CAMPAIGN_FAILED_RETRY_S);
  c->leader.wait_rev = epoch;
}

/* Nobody leads, or the leader has restarted: its new incarnation isn't the leader, although the lease of the
 * old one may last for seconds yet. */
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

/* Claims the leader key, guarded by its revision in our view. */
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
  fk_transaction_send(c, transaction, on_leader_key_written, NULL, NULL);
}

/* Whether the leader key names this incarnation of this controller. */
static gboolean view_names_us(FkController *c) {
  return c->view->leader && g_str_equal(c->view->leader, c->settings->node) &&
         g_strcmp0(c->view->leader_incarnation, c->incarnation) == 0;
}

/* What a leader has learnt about the cluster is void when leadership changes. */
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
  gboolean is_leader = view_names_us(c);
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
