/* Shard ownership: which controller owns which shard of machines. A shard is acquired by writing one record;
 * that record's revision is the fencing token of every machine in the shard, so that a failover of a crashed
 * controller's machines costs a few writes however many they are. A machine's shard never changes, so its
 * token only ever rises. */
#include "core/controller_internal.h"

#include <string.h>

#define HANDBACK_AFTER_S 10.0      /* a controller that came back takes its shards back after this */
#define IGNORE_RETURNS_LEASES 0.33 /* leases: work survives it, should the new owner fail at once */
#define NO_HANDBACK_S 60.0         /* a shard lost to a live controller is left there for so long */
#define STARTUP_PAUSE_S 1.0        /* a controller just started acquires no shards of dead ones */
#define ACQUIRE_PAUSE_S 0.5        /* between two attempts to acquire one shard */
#define SHARDS_PER_TRANSACTION_MAX 16
#define HANDBACKS_MAX 2 /* shards taken back from live controllers at a time */
#define HANDBACK_PAUSE_S 2.0

gboolean fk_shard_is_owned(FkController *c, const FkShard *shard) {
  return shard->owner && g_str_equal(shard->owner, c->settings->node) &&
         g_str_equal(shard->owner_incarnation, c->incarnation);
}

gboolean fk_machine_is_owned(FkController *c, const FkMachine *machine) {
  return machine->shard && fk_shard_is_owned(c, machine->shard);
}

/* ---- the preferred owner ---- */

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
    FkPeer *peer = c->settings->peers->pdata[i];
    if (!zone || g_str_equal(peer->zone, zone))
      g_ptr_array_add(names, peer->name);
  }
  g_ptr_array_sort(names, compare_names);
  return names;
}

static void remove_dead(FkController *c, GPtrArray *names) {
  guint i = 0;
  while (i < names->len)
    if (controller_is_alive(c, names->pdata[i]))
      i++;
    else
      g_ptr_array_remove_index(names, i);
}

/* The number of the shard within its zone. */
static guint shard_index(const FkShard *shard) {
  const char *dot = strrchr(shard->id, '.');
  return dot ? (guint)g_ascii_strtoull(dot + 1, NULL, 10) : 0;
}

/* A shard's place among the controllers of a zone (NULL: all), or NULL if none of them lives. A dead
 * controller's shards are dealt out among the living. */
static const char *assigned_controller(FkController *c, const char *zone, guint index) {
  g_autoptr(GPtrArray) names = controllers_in(c, zone);
  if (!names->len)
    return NULL;
  const char *first = names->pdata[index % names->len];
  if (controller_is_alive(c, first))
    return first;
  guint rest = index / names->len;
  remove_dead(c, names);
  return names->len ? names->pdata[rest % names->len] : NULL;
}

/* Every controller comes to the same answer from the same view. */
const char *fk_shard_preferred_owner(FkController *c, const FkShard *shard) {
  guint index = shard_index(shard);
  const char *owner = assigned_controller(c, shard->zone, index);
  if (!owner)
    owner = assigned_controller(c, NULL, index);
  return owner ? owner : c->settings->node;
}

/* ---- whether to acquire a shard ---- */

/* Since when the view is there and the store answers. */
static FkTime healthy_since(FkController *c) {
  FkTime recovered = c->store_session.store_recovered_at, ready = c->store_session.ready_since;
  return recovered.us > ready.us ? recovered : ready;
}

static gboolean owned_by_live_peer(FkController *c, const FkShard *shard) {
  return shard->owner && !g_str_equal(shard->owner, c->settings->node) && fk_node_is_alive(c, shard->owner);
}

/* A shard lost while this controller was healthy was lost because its workers can't reach us: it is left
 * where it is for a while. Lost just after a start, or while the store couldn't be reached, it was only taken
 * in the meantime: what runs there would die in the next partition, its owner outside. */
static void note_loss(FkController *c, FkShard *shard, gboolean owned) {
  if (shard->was_owned && !owned) {
    if (owned_by_live_peer(c, shard) && fk_time_between(healthy_since(c), c->now) > HANDBACK_AFTER_S)
      shard->no_handback_until = fk_time_add(c->now, NO_HANDBACK_S);
    shard->ignore_returns_until = fk_time_add(c->now, c->settings->worker_lease_s * IGNORE_RETURNS_LEASES);
  }
  shard->was_owned = owned;
}

static gboolean is_preferred_owner(FkController *c, const FkShard *shard) {
  return g_str_equal(fk_shard_preferred_owner(c, shard), c->settings->node);
}

static gboolean should_fail_over(FkController *c, const FkShard *shard) {
  return shard->machines->len && fk_time_between(c->started_at, c->now) > STARTUP_PAUSE_S &&
         is_preferred_owner(c, shard);
}

static gboolean may_take_back(FkController *c, const FkShard *shard) {
  return fk_time_between(healthy_since(c), c->now) >= HANDBACK_AFTER_S &&
         fk_time_reached(c->now, shard->no_handback_until) &&
         fk_time_reached(c->now, c->shards.handback_after) && is_preferred_owner(c, shard);
}

/* `handbacks`: how many shards are being taken back from live controllers; counted up. */
static gboolean should_acquire(FkController *c, FkShard *shard, guint *handbacks) {
  gboolean owned = fk_shard_is_owned(c, shard);
  note_loss(c, shard, owned);
  if (!fk_time_reached(c->now, shard->acquire_after))
    return FALSE;
  if (owned || shard->acquire_wanted)
    return shard->acquire_wanted;
  if (shard->owner && g_str_equal(shard->owner, c->settings->node))
    return TRUE; /* ours in an earlier incarnation */
  if (!shard->owner || !fk_node_is_alive(c, shard->owner))
    return should_fail_over(c, shard);
  if (*handbacks >= HANDBACKS_MAX || !may_take_back(c, shard))
    return FALSE;
  ++*handbacks;
  return TRUE;
}

/* ---- acquiring ---- */

static void ownership_written(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                              GPtrArray *failed) {
  c->shards.acquiring = FALSE;
  if (outcome != FK_OUTCOME_OK)
    g_info("shards not acquired outcome=%d", outcome);
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->shards.acquire_wait_rev = epoch;
  else
    c->shards.acquire_after = fk_write_retry_at(c);
}

/* Names this controller, in its present incarnation, as the shard's owner. */
static void write_ownership(FkController *c, FkOutput *transaction, FkShard *shard) {
  FkRecord *record = fk_record_new(FK_STORE_KEY_SHARD);
  record->node = g_strdup(c->settings->node);
  record->incarnation = g_strdup(c->incarnation);
  fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_SHARD, shard->id), shard->rev);
  fk_transaction_put(transaction, fk_store_key_path(FK_STORE_KEY_SHARD, shard->id), record, (FkRev){0});
  shard->acquire_wanted = FALSE;
  shard->acquire_after = fk_time_add(c->now, ACQUIRE_PAUSE_S);
}

void fk_shard_ownership_tick(FkController *c) {
  if (c->shards.acquiring || c->view->applied.n < c->shards.acquire_wait_rev.n ||
      !fk_time_reached(c->now, c->shards.acquire_after))
    return;
  FkOutput *transaction = NULL;
  guint handbacks = 0, writes_max = MIN(c->settings->transaction_ops_max, SHARDS_PER_TRANSACTION_MAX);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->view->shards);
  while ((!transaction || transaction->writes->len < writes_max) &&
         g_hash_table_iter_next(&iter, NULL, &value)) {
    if (!should_acquire(c, value, &handbacks))
      continue;
    if (!transaction)
      transaction = fk_transaction_new(c, FK_PRIORITY_SHARD);
    write_ownership(c, transaction, value);
  }
  if (handbacks)
    c->shards.handback_after = fk_time_add(c->now, HANDBACK_PAUSE_S);
  if (!transaction)
    return;
  g_info("shards acquiring count=%u handbacks=%u", transaction->writes->len, handbacks);
  c->shards.acquiring = TRUE;
  fk_transaction_send(c, transaction, ownership_written, NULL, NULL);
}
