/* Redirects of workers to their shard's owner. A worker that can't reach the owner returns: it sends its
 * heartbeats again to the controller that redirected it. If enough workers return, this controller acquires
 * the shard. */
#include "core/workers/workers_internal.h"

/* A return within this time after a redirect means that the worker can't reach the owner. A worker that can't
 * reach the owner waits for a reply for 4 s, pauses for 1 s, and its next heartbeat takes up to half a second
 * to arrive. A worker that didn't receive the redirect tries all controllers at 5 s each: with two
 * controllers alive it returns after 10 s at the earliest. */
#define RETURN_WINDOW_S 9.0
#define RETURN_MEMORY_S (3 * RETURN_WINDOW_S) /* time for which a return is remembered */
/* Minimum number of recent returns that shows that a shard's owner can't be reached: RETURNED_SHARE_MIN times
 * the number of the shard's machines, but at least RETURNED_MIN. */
#define RETURNED_SHARE_MIN 0.15
#define RETURNED_MIN 2

#define STATUS_MISDIRECTED 421

void fk_redirect_send(FkController *c, FkRequestId request, const char *machine, const char *owner) {
  FkRedirect *redirect = g_new0(FkRedirect, 1);
  redirect->sent_at = c->now;
  redirect->target = g_strdup(owner);
  g_hash_table_replace(c->workers.redirects, g_strdup(machine), redirect);
  fk_heartbeat_reply_new(c, request, STATUS_MISDIRECTED)->redirect_to = g_strdup(owner);
}

gboolean fk_redirect_is_recent(FkController *c, const char *machine, const char *owner) {
  const FkRedirect *redirect = g_hash_table_lookup(c->workers.redirects, machine);
  return redirect && g_str_equal(redirect->target, owner) &&
         fk_time_between(redirect->sent_at, c->now) < RETURN_WINDOW_S;
}

static gboolean redirect_is_expired(gpointer machine, gpointer redirect, gpointer now) {
  return fk_time_between(((FkRedirect *)redirect)->sent_at, *(FkTime *)now) > RETURN_WINDOW_S;
}

void fk_redirects_expire(FkController *c) {
  g_hash_table_foreach_remove(c->workers.redirects, redirect_is_expired, &c->now);
}

static void record_return(FkController *c, FkShard *shard, const char *machine) {
  FkReturnedWorker *worker = g_hash_table_lookup(shard->returned_machines, machine);
  if (!worker) {
    worker = g_new0(FkReturnedWorker, 1);
    g_hash_table_insert(shard->returned_machines, g_strdup(machine), worker);
  }
  worker->previous_at = worker->last_at;
  worker->last_at = c->now;
}

/* Returns how many workers have returned within the last RETURN_WINDOW_S. A worker counts as two if its last
 * two returns were less than RETURN_MEMORY_S apart. Removes workers that last returned more than
 * RETURN_MEMORY_S ago. */
static guint count_recent_returns(FkController *c, FkShard *shard) {
  guint recent = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, shard->returned_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkReturnedWorker *worker = value;
    double age_s = fk_time_between(worker->last_at, c->now);
    gboolean twice =
        worker->previous_at.us && fk_time_between(worker->previous_at, worker->last_at) < RETURN_MEMORY_S;
    if (age_s < RETURN_WINDOW_S)
      recent += twice ? 2 : 1;
    if (age_s > RETURN_MEMORY_S)
      g_hash_table_iter_remove(&iter);
  }
  return recent;
}

/* Requests that this controller acquire the shard if enough of the shard's workers have returned recently. In
 * a shard with at most one machine, one return is enough. Two rules prevent two busy controllers from taking
 * the same shards from each other again and again, with a new token for all their workers each time. First, a
 * few returns among many workers are ignored, since the owner may only be slow. Second, all returns are
 * ignored for a while after the owner has taken the shard from this controller, since the workers had reached
 * that owner. */
void fk_redirect_record_return(FkController *c, FkShard *shard, const char *machine) {
  record_return(c, shard, machine);
  guint recent = count_recent_returns(c, shard);
  double enough = MAX(RETURNED_MIN, RETURNED_SHARE_MIN * shard->machines->len);
  if (fk_time_reached(c->now, shard->ignore_returns_until) && (recent >= enough || shard->machines->len <= 1))
    shard->acquire_wanted = TRUE;
}
