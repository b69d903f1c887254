/* Claims: which controller is home to which group of machines. A group is claimed by one record; the claim's
 * revision is the token of every machine in it, so that taking over a crashed controller's machines costs a
 * few puts however many they are. A machine's group never changes, so its token only ever rises. */
#include "core/controller_internal.h"

#include <string.h>

#define HANDBACK_AFTER_S 10.0         /* a controller that came back takes its groups back after this */
#define IGNORE_RETURNS_LEASES 0.33    /* leases: work survives it, should the new home fail at once */
#define NO_HANDBACK_S 60.0            /* a group lost to a live controller is left there for so long */
#define SHARDS_PER_TRANSACTION_MAX 16 /* a transaction */
#define HANDBACKS_MAX 2               /* groups taken back from the living at a time */
#define HANDBACK_PAUSE_S 2.0

static gboolean controller_is_alive(FkController *c, const char *node) {
  return g_str_equal(node, c->settings->node) || fk_node_is_alive(c, node);
}

static int compare_names(gconstpointer a, gconstpointer b) {
  return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The controllers of a zone (NULL: all), in an order that all agree on. */
static GPtrArray *controllers_in(FkController *c, const char *zone) {
  GPtrArray *names = g_ptr_array_new();
  if (!zone || g_str_equal(c->settings->zone, zone))
    g_ptr_array_add(names, c->settings->node);
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkPeer *p = c->settings->peers->pdata[i];
    if (!zone || g_str_equal(p->zone, zone))
      g_ptr_array_add(names, p->name);
  }
  g_ptr_array_sort(names, compare_names);
  return names;
}

/* Every controller comes to the same answer from the same view: dealt out evenly among the zone's
 * controllers, a dead one's groups dealt out among the living. */
const char *fk_shard_preferred_owner(FkController *c, const FkShard *g) {
  const char *dot = strrchr(g->id, '.');
  guint k = dot ? (guint)g_ascii_strtoull(dot + 1, NULL, 10) : 0;
  for (int pass = 0; pass < 2; pass++) {
    g_autoptr(GPtrArray) all = controllers_in(c, pass ? NULL : g->zone);
    if (!all->len)
      continue;
    const char *first = all->pdata[k % all->len];
    if (controller_is_alive(c, first))
      return first;
    guint rest = k / all->len;
    for (guint i = 0; i < all->len;)
      if (controller_is_alive(c, all->pdata[i]))
        i++;
      else
        g_ptr_array_remove_index(all, i);
    if (all->len)
      return all->pdata[rest % all->len];
  }
  return c->settings->node;
}

/* The view is there, and the store answers. */
static FkTime healthy_since(FkController *c) {
  return c->store_session.store_recovered_at.us > c->store_session.ready_since.us
             ? c->store_session.store_recovered_at
             : c->store_session.ready_since;
}

static gboolean should_acquire(FkController *c, FkShard *g, guint *handbacks) {
  gboolean mine = fk_shard_is_owned(c, g);
  /* lost while we were well: the workers can't reach us. Lost just after a start, or while the store couldn't
   * be reached, it was only taken in the meantime: what runs there would die in the next cut, its home
   * outside. */
  if (g->was_owned && !mine && g->owner && !g_str_equal(g->owner, c->settings->node) &&
      fk_node_is_alive(c, g->owner) && fk_time_between(healthy_since(c), c->now) > HANDBACK_AFTER_S)
    g->no_handback_until = fk_time_add(c->now, NO_HANDBACK_S);
  if (g->was_owned && !mine)
    g->ignore_returns_until = fk_time_add(c->now, c->settings->worker_lease_s * IGNORE_RETURNS_LEASES);
  g->was_owned = mine;
  if (!fk_time_reached(c->now, g->acquire_after))
    return FALSE;
  if (mine || g->acquire_wanted)
    return g->acquire_wanted;
  if (g->owner && g_str_equal(g->owner, c->settings->node))
    return TRUE; /* ours in an earlier life */
  if (!g->owner || !fk_node_is_alive(c, g->owner))
    return g->machines->len && fk_time_between(c->started_at, c->now) > 1.0 &&
           g_str_equal(fk_shard_preferred_owner(c, g), c->settings->node);
  if (*handbacks >= HANDBACKS_MAX || fk_time_between(healthy_since(c), c->now) < HANDBACK_AFTER_S ||
      !fk_time_reached(c->now, g->no_handback_until) || !fk_time_reached(c->now, c->shards.handback_after) ||
      !g_str_equal(fk_shard_preferred_owner(c, g), c->settings->node))
    return FALSE;
  ++*handbacks;
  return TRUE;
}

static void ownership_written(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->shards.acquiring = FALSE;
  if (o != FK_OUTCOME_OK)
    g_info("groups not claimed: outcome %d", o);
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->shards.acquire_wait_rev = epoch;
  else
    c->shards.acquire_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.2, 0.5));
}

/* Names this controller, in this life, as the home of the groups that it should have. */
void fk_shard_ownership_tick(FkController *c) {
  if (c->shards.acquiring || c->view->applied.n < c->shards.acquire_wait_rev.n ||
      !fk_time_reached(c->now, c->shards.acquire_after))
    return;
  FkOutput *t = NULL;
  guint handbacks = 0, max = MIN(c->settings->transaction_ops_max, SHARDS_PER_TRANSACTION_MAX);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->shards);
  while ((!t || t->writes->len < max) && g_hash_table_iter_next(&it, NULL, &p)) {
    FkShard *g = p;
    if (!should_acquire(c, g, &handbacks))
      continue;
    if (!t)
      t = fk_transaction_new(c, FK_PRIORITY_SHARD);
    FkRecord *r = fk_record_new(FK_KEY_SHARD);
    r->node = g_strdup(c->settings->node);
    r->incarnation = g_strdup(c->incarnation);
    fk_transaction_guard(t, fk_key_path(FK_KEY_SHARD, g->id), g->rev);
    fk_transaction_put(t, fk_key_path(FK_KEY_SHARD, g->id), r, (FkRev){0});
    g->acquire_wanted = FALSE;
    g->acquire_after = fk_time_add(c->now, 0.5);
  }
  if (handbacks)
    c->shards.handback_after = fk_time_add(c->now, HANDBACK_PAUSE_S);
  if (!t)
    return;
  g_info("claiming %u groups, %u of them from the living", t->writes->len, handbacks);
  c->shards.acquiring = TRUE;
  fk_transaction_send(c, t, ownership_written, NULL, NULL);
}
