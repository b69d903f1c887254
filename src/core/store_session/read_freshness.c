/* Freshness of the view: the latest time for which the view is confirmed to include every decision of any
 * controller. Normally, this is the time at which the latest answered watch was sent. While the store is
 * unreachable, the other controllers can confirm the view instead: if none of them has seen a later revision
 * than the view's, no controller has made a decision that the view lacks. A reply counts only if it comes
 * from the incarnation that the view shows for the replying controller. A restarted controller cannot confirm
 * the view, because its previous incarnation may have acknowledged a cancellation that the new incarnation
 * does not know. */
#include "core/controller.h"
#include "core/controller_internal.h"

#define PEER_QUERY_INTERVAL_S 1.0     /* interval of queries to the other controllers */
#define BARRIER_QUERY_INTERVAL_S 0.15 /* interval while a cancellation waits for other controllers */

const char *fk_controller_store_progress(FkController *c, FkTime now, FkRev *seen, FkRev *applied,
                                         double *store_age_s) {
  *seen = c->store_session.latest_rev_seen;
  *applied = fk_controller_is_ready(c) ? c->view->applied : (FkRev){0};
  *store_age_s = fk_time_between(c->store_session.store_answered_at, now);
  return c->incarnation;
}

void fk_read_freshness_peer_received(FkController *c, const char *peer, const char *incarnation, FkRev seen,
                                     double store_age_s, FkTime sent) {
  FkTime store_answered_at = fk_time_add(sent, -store_age_s);
  if (store_answered_at.us > c->store_session.peer_store_answered_at.us)
    c->store_session.peer_store_answered_at = store_answered_at;
  FkControllerNode *node = g_hash_table_lookup(c->view->nodes, peer);
  if (!fk_controller_is_ready(c) || !node || g_strcmp0(node->incarnation, incarnation) != 0 ||
      seen.n > c->view->applied.n)
    return;
  g_hash_table_replace(c->store_session.peer_confirmed_at, g_strdup(peer), g_memdup2(&sent, sizeof sent));
}

FkTime fk_read_freshness_confirmed_at(FkController *c) {
  FkTime confirmed_at = c->now;
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkTime *peer_confirmed_at = g_hash_table_lookup(c->store_session.peer_confirmed_at,
                                                    ((FkPeer *)c->settings->peers->pdata[i])->name);
    if (!peer_confirmed_at)
      return c->store_session.confirmed_at;
    if (peer_confirmed_at->us < confirmed_at.us)
      confirmed_at = *peer_confirmed_at;
  }
  /* Peers cannot confirm the view while this controller has seen a revision that the view lacks, such as the
   * revision of its own commit. */
  if (c->store_session.latest_rev_seen.n > c->view->applied.n ||
      confirmed_at.us < c->store_session.confirmed_at.us)
    return c->store_session.confirmed_at;
  return confirmed_at;
}

void fk_read_freshness_tick(FkController *c, FkRev needed) {
  gboolean behind = fk_time_between(c->store_session.confirmed_at, c->now) >= FK_PEER_QUERY_AFTER_S;
  if (!fk_time_reached(c->now, c->store_session.next_peer_query) ||
      (!behind && g_queue_is_empty(c->requests.awaiting_cancellation)))
    return;
  c->store_session.next_peer_query =
      fk_time_add(c->now, needed.n ? BARRIER_QUERY_INTERVAL_S : PEER_QUERY_INTERVAL_S);
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkPeer *peer = c->settings->peers->pdata[i];
    if (!behind && fk_cancellation_barrier_has_applied(c->requests.cancellation_barrier, peer->name, needed))
      continue;
    FkOutput *query = fk_output_new(c, FK_OUTPUT_PEER_QUERY);
    query->name = g_strdup(peer->name);
    query->addr = g_strdup(peer->addr);
  }
}
