/* Proof that our view is current though the store can't be reached, and what the other controllers know. */
#include "core/controller.h"
#include "core/controller_internal.h"

#define PEER_EVERY_S 1.0
#define TELL_EVERY_S 0.15 /* while somebody waits to hear of a cancellation */

const char *fk_controller_seen(FkController *c, FkTime now, FkRev *seen, FkRev *applied,
                               double *store_age_s) {
  *seen = c->seen;
  *applied = fk_ready(c) ? c->view->applied : (FkRev){0};
  *store_age_s = fk_time_between(c->store_ok, now);
  return c->life;
}

/* While the store can't be reached, work may go on where it's proven that nobody has decided anything that we
 * don't know of: every other controller, in the life that our view knows, has seen no later revision than our
 * view has. A controller that started anew proves nothing: its last life may have told a user of a
 * cancellation. */
void fk_proof_peer(FkController *c, const char *peer, const char *life, FkRev seen, double store_age_s,
                   FkTime sent) {
  FkTime ok = fk_time_add(sent, -store_age_s);
  if (ok.us > c->peer_store_ok.us)
    c->peer_store_ok = ok;
  FkNode *n = g_hash_table_lookup(c->view->nodes, peer);
  if (!fk_ready(c) || !n || g_strcmp0(n->life, life) != 0 || seen.n > c->view->applied.n)
    return;
  g_hash_table_replace(c->peer_proof, g_strdup(peer), g_memdup2(&sent, sizeof sent));
}

FkTime fk_confirmed(FkController *c) {
  FkTime proof = c->now;
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkTime *t = g_hash_table_lookup(c->peer_proof, ((FkPeer *)c->settings->peers->pdata[i])->name);
    if (!t)
      return c->confirmed;
    if (t->us < proof.us)
      proof = *t;
  }
  /* what we have committed ourselves counts as well */
  if (c->seen.n > c->view->applied.n || proof.us < c->confirmed.us)
    return c->confirmed;
  return proof;
}

void fk_proof_tick(FkController *c, FkRev needed) {
  gboolean behind = fk_time_between(c->confirmed, c->now) >= FK_PEER_AFTER_S;
  if (!fk_time_reached(c->now, c->peer_next) || (!behind && g_queue_is_empty(c->telling)))
    return;
  c->peer_next = fk_time_add(c->now, needed.n ? TELL_EVERY_S : PEER_EVERY_S);
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkPeer *p = c->settings->peers->pdata[i];
    if (!behind && fk_tell_knows(c->tell, p->name, needed))
      continue;
    FkOut *o = fk_out(c, FK_OUT_PEER);
    o->name = g_strdup(p->name);
    o->addr = g_strdup(p->addr);
  }
}
