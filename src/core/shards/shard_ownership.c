/* Claims: which controller is home to which group of machines. A group is claimed by one record; the claim's
 * revision is the token of every machine in it, so that taking over a crashed controller's machines costs a
 * few puts however many they are. A machine's group never changes, so its token only ever rises. */
#include "core/controller_internal.h"

#include <string.h>

#define SETTLED_S 10.0     /* a controller that came back takes its groups back after this */
#define THEIRS_LEASES 0.33 /* leases: work survives it, should the new home fail at once */
#define LOST_S 60.0        /* a group lost to a live controller is left there for so long */
#define CLAIMS_MAX 16      /* a transaction */
#define BACK_MAX 2         /* groups taken back from the living at a time */
#define BACK_PAUSE_S 2.0

static gboolean lives(FkController *c, const char *node) {
  return g_str_equal(node, c->settings->node) || fk_alive(c, node);
}

static int by_name(gconstpointer a, gconstpointer b) {
  return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The controllers of a zone (NULL: all), in an order that all agree on. */
static GPtrArray *controllers(FkController *c, const char *zone) {
  GPtrArray *names = g_ptr_array_new();
  if (!zone || g_str_equal(c->settings->zone, zone))
    g_ptr_array_add(names, c->settings->node);
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkPeer *p = c->settings->peers->pdata[i];
    if (!zone || g_str_equal(p->zone, zone))
      g_ptr_array_add(names, p->name);
  }
  g_ptr_array_sort(names, by_name);
  return names;
}

/* Every controller comes to the same answer from the same view: dealt out evenly among the zone's
 * controllers, a dead one's groups dealt out among the living. */
const char *fk_group_preferred(FkController *c, const FkGroup *g) {
  const char *dot = strrchr(g->id, '.');
  guint k = dot ? (guint)g_ascii_strtoull(dot + 1, NULL, 10) : 0;
  for (int pass = 0; pass < 2; pass++) {
    g_autoptr(GPtrArray) all = controllers(c, pass ? NULL : g->zone);
    if (!all->len)
      continue;
    const char *first = all->pdata[k % all->len];
    if (lives(c, first))
      return first;
    guint rest = k / all->len;
    for (guint i = 0; i < all->len;)
      if (lives(c, all->pdata[i]))
        i++;
      else
        g_ptr_array_remove_index(all, i);
    if (all->len)
      return all->pdata[rest % all->len];
  }
  return c->settings->node;
}

/* The view is there, and the store answers. */
static FkTime well_since(FkController *c) {
  return c->store_back.us > c->ready_since.us ? c->store_back : c->ready_since;
}

static gboolean to_claim(FkController *c, FkGroup *g, guint *taken_back) {
  gboolean mine = fk_group_mine(c, g);
  /* lost while we were well: the workers can't reach us. Lost just after a start, or while the store couldn't
   * be reached, it was only taken in the meantime: what runs there would die in the next cut, its home
   * outside. */
  if (g->was_mine && !mine && g->home && !g_str_equal(g->home, c->settings->node) && fk_alive(c, g->home) &&
      fk_time_between(well_since(c), c->now) > SETTLED_S)
    g->lost_until = fk_time_add(c->now, LOST_S);
  if (g->was_mine && !mine)
    g->theirs_until = fk_time_add(c->now, c->settings->lease_s * THEIRS_LEASES);
  g->was_mine = mine;
  if (!fk_time_reached(c->now, g->claim_after))
    return FALSE;
  if (mine || g->wanted)
    return g->wanted;
  if (g->home && g_str_equal(g->home, c->settings->node))
    return TRUE; /* ours in an earlier life */
  if (!g->home || !fk_alive(c, g->home))
    return g->machines->len && fk_time_between(c->started, c->now) > 1.0 &&
           g_str_equal(fk_group_preferred(c, g), c->settings->node);
  if (*taken_back >= BACK_MAX || fk_time_between(well_since(c), c->now) < SETTLED_S ||
      !fk_time_reached(c->now, g->lost_until) || !fk_time_reached(c->now, c->take_back_after) ||
      !g_str_equal(fk_group_preferred(c, g), c->settings->node))
    return FALSE;
  ++*taken_back;
  return TRUE;
}

static void claimed(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->claiming = FALSE;
  if (o != FK_OK)
    g_info("groups not claimed: outcome %d", o);
  if (o == FK_OK || o == FK_CONFLICT)
    c->claims_wait = epoch;
  else
    c->claims_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.2, 0.5));
}

/* Names this controller, in this life, as the home of the groups that it should have. */
void fk_claims_tick(FkController *c) {
  if (c->claiming || c->view->applied.n < c->claims_wait.n || !fk_time_reached(c->now, c->claims_after))
    return;
  FkOut *t = NULL;
  guint taken_back = 0, max = MIN(c->settings->txn_ops, CLAIMS_MAX);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->groups);
  while ((!t || t->writes->len < max) && g_hash_table_iter_next(&it, NULL, &p)) {
    FkGroup *g = p;
    if (!to_claim(c, g, &taken_back))
      continue;
    if (!t)
      t = fk_txn_new(c, FK_PRIO_CLAIM);
    FkRecord *r = fk_record_new(FK_KEY_GROUP);
    r->node = g_strdup(c->settings->node);
    r->life = g_strdup(c->life);
    fk_txn_guard(t, fk_key(FK_KEY_GROUP, g->id), g->rev);
    fk_txn_put(t, fk_key(FK_KEY_GROUP, g->id), r, (FkRev){0});
    g->wanted = FALSE;
    g->claim_after = fk_time_add(c->now, 0.5);
  }
  if (taken_back)
    c->take_back_after = fk_time_add(c->now, BACK_PAUSE_S);
  if (!t)
    return;
  g_info("claiming %u groups, %u of them from the living", t->writes->len, taken_back);
  c->claiming = TRUE;
  fk_txn_send(c, t, claimed, NULL, NULL);
}
