/* Shard ownership: which controller owns which shard of machines. A controller acquires a shard by writing
 * one record, whose revision is the fencing token of every machine in the shard. The failover of a crashed
 * controller's machines therefore costs only a few writes, regardless of their number. A machine's shard
 * never changes, so its token only increases. */
#include "core/controller_internal.h"

#include <string.h>

/* Seconds for which the view must have been ready, and the store reachable, before this controller takes back
 * shards from live controllers. A shard that a live controller takes earlier than that counts as taken over
 * only temporarily. */
#define HANDBACK_AFTER_S 10.0
/* For this many worker leases after the loss of a shard, workers that come back after a redirect to the new
 * owner (workers/redirects.c) don't cause this controller to acquire the shard again. The time is less than
 * one worker lease, so that the workers' tasks survive if the new owner fails right away. */
#define IGNORE_RETURNS_LEASES 0.33
/* A shard that a live controller took over isn't taken back for this many seconds, unless it was taken over
 * only temporarily (see HANDBACK_AFTER_S). */
#define NO_HANDBACK_S 60.0
/* For this many seconds after its start, a controller acquires a shard without a live owner only if workers
 * need the shard, or if an earlier incarnation of the controller owned it. */
#define STARTUP_PAUSE_S 1.0
#define ACQUIRE_PAUSE_S 0.5 /* pause between two attempts to acquire the same shard */
#define SHARDS_PER_TRANSACTION_MAX 16
#define HANDBACKS_MAX 2 /* most shards that one transaction takes back from live controllers */
/* Pause between two transactions that take back shards from live controllers. */
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

/* Returns the names of the controllers of a zone, or of all zones if `zone` is NULL, in an order that is the
 * same on every controller. */
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

/* Returns the shard's index within its zone. */
static guint shard_index(const FkShard *shard) {
  const char *dot = strrchr(shard->id, '.');
  return dot ? (guint)g_ascii_strtoull(dot + 1, NULL, 10) : 0;
}

/* Returns the controller that shard number `index` is assigned to among the controllers of a zone, or of all
 * zones if `zone` is NULL. Returns NULL if none of these controllers is alive. The shards of a dead
 * controller are distributed among the live ones. */
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

/* Prefers the live controllers of the shard's zone to those of other zones. */
const char *fk_shard_preferred_owner(FkController *c, const FkShard *shard) {
  guint index = shard_index(shard);
  const char *owner = assigned_controller(c, shard->zone, index);
  if (!owner)
    owner = assigned_controller(c, NULL, index);
  return owner ? owner : c->settings->node;
}

/* ---- whether to acquire a shard ---- */

/* Returns the time since which the view has been ready and the store has been reachable. */
static FkTime healthy_since(FkController *c) {
  FkTime recovered = c->store_session.store_recovered_at, ready = c->store_session.ready_since;
  return recovered.us > ready.us ? recovered : ready;
}

static gboolean owned_by_live_peer(FkController *c, const FkShard *shard) {
  return shard->owner && !g_str_equal(shard->owner, c->settings->node) && fk_node_is_alive(c, shard->owner);
}

/* Detects the loss of a shard, and sets how soon the shard may be taken back, and for how long workers that
 * come back after a redirect don't cause this controller to acquire the shard. If a live controller takes a
 * shard while this controller is healthy, the shard's workers can't reach this controller, so the shard isn't
 * taken back for a while. A shard lost soon after a start, or soon after the store was unreachable, was taken
 * over only temporarily and may be taken back soon: its present owner may be in another zone, and the shard's
 * tasks would be lost if a partition separated the zones. */
static void detect_loss(FkController *c, FkShard *shard, gboolean owned) {
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

/* Returns whether to acquire the shard now. `handbacks`: number of shards that this transaction takes back
 * from live controllers, incremented if this shard is one of them. */
static gboolean should_acquire(FkController *c, FkShard *shard, guint *handbacks) {
  gboolean owned = fk_shard_is_owned(c, shard);
  detect_loss(c, shard, owned);
  if (!fk_time_reached(c->now, shard->acquire_after))
    return FALSE;
  if (owned || shard->acquire_wanted)
    return shard->acquire_wanted;
  if (shard->owner && g_str_equal(shard->owner, c->settings->node))
    return TRUE; /* an earlier incarnation of this controller owned the shard */
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

/* Adds a write that makes this controller, in its present incarnation, the shard's owner. */
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
  g_info("acquiring shards count=%u handbacks=%u", transaction->writes->len, handbacks);
  c->shards.acquiring = TRUE;
  fk_transaction_send(c, transaction, ownership_written, NULL, NULL);
}
