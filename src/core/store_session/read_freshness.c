/* Proof that our view is current though the store can't be reached, and what the other controllers know. */
#include "core/controller.h"
#include "core/controller_internal.h"

#define PEER_QUERY_INTERVAL_S 1.0
#define BARRIER_QUERY_INTERVAL_S 0.15 /* while somebody waits to hear of a cancellation */

const char *fk_controller_store_progress(FkController *c, FkTime now, FkRev *seen, FkRev *applied,
                                         double *store_age_s) {
  *seen = c->store_session.latest_rev_seen;
  *applied = fk_controller_is_ready(c) ? c->view->applied : (FkRev){0};
  *store_age_s = fk_time_between(c->store_session.store_answered_at, now);
  return c->incarnation;
}

/* While the store can't be reached, work may go on where it's proven that nobody has decided anything that we
 * don't know of: every other controller, in the life that our view knows, has seen no later revision than our
 * view has. A controller that started anew proves nothing: its last life may have told a user of a
 * cancellation. */
void fk_read_freshness_peer_received(FkController *c, const char *peer, const char *life, FkRev seen,
                                     double store_age_s, FkTime sent) {
  FkTime ok = fk_time_add(sent, -store_age_s);
  if (ok.us > c->store_session.peer_store_answered_at.us)
    c->store_session.peer_store_answered_at = ok;
  FkControllerNode *n = g_hash_table_lookup(c->view->nodes, peer);
  if (!fk_controller_is_ready(c) || !n || g_strcmp0(n->incarnation, life) != 0 || seen.n > c->view->applied.n)
    return;
  g_hash_table_replace(c->store_session.peer_confirmed_at, g_strdup(peer), g_memdup2(&sent, sizeof sent));
}

FkTime fk_read_freshness_confirmed_at(FkController *c) {
  FkTime proof = c->now;
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkTime *t = g_hash_table_lookup(c->store_session.peer_confirmed_at,
                                    ((FkPeer *)c->settings->peers->pdata[i])->name);
    if (!t)
      return c->store_session.confirmed_at;
    if (t->us < proof.us)
      proof = *t;
  }
  /* what we have committed ourselves counts as well */
  if (c->store_session.latest_rev_seen.n > c->view->applied.n || proof.us < c->store_session.confirmed_at.us)
    return c->store_session.confirmed_at;
  return proof;
}

void fk_read_freshness_tick(FkController *c, FkRev needed) {
  gboolean behind = fk_time_between(c->store_session.confirmed_at, c->now) >= FK_PEER_QUERY_AFTER_S;
  if (!fk_time_reached(c->now, c->store_session.next_peer_query) ||
      (!behind && g_queue_is_empty(c->requests.awaiting_cancellation)))
    return;
  c->store_session.next_peer_query =
      fk_time_add(c->now, needed.n ? BARRIER_QUERY_INTERVAL_S : PEER_QUERY_INTERVAL_S);
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkPeer *p = c->settings->peers->pdata[i];
    if (!behind && fk_cancellation_barrier_has_applied(c->requests.cancellation_barrier, p->name, needed))
      continue;
    FkOutput *o = fk_output_new(c, FK_OUTPUT_PEER_QUERY);
    o->name = g_strdup(p->name);
    o->addr = g_strdup(p->addr);
  }
}
