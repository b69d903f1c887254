/* Workers that are sent to their shard's owner, and those that come back because they can't reach it. */
#include "core/workers/workers_internal.h"

/* A worker that can't reach the owner it was sent to is back after 4 s for the answer, 1 s of pause and half
 * a second on its way. One that never received the redirect, since nothing reaches it, goes through all
 * controllers at 5 s each: with two of them alive it is back after 10 s at the soonest. */
#define RETURN_WINDOW_S 9.0
#define RETURN_MEMORY_S (3 * RETURN_WINDOW_S) /* returns are remembered for so long */
#define RETURNED_SHARE_MIN 0.15               /* of a shard's workers: its owner can't be reached */
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

static void remember_return(FkController *c, FkShard *shard, const char *machine) {
  FkReturnedWorker *returned = g_hash_table_lookup(shard->returned_machines, machine);
  if (!returned) {
    returned = g_new0(FkReturnedWorker, 1);
    g_hash_table_insert(shard->returned_machines, g_strdup(machine), returned);
  }
  returned->previous_at = returned->last_at;
  returned->last_at = c->now;
}

/* How many workers have come back lately, those that came back twice counted double. Old returns are dropped.
 */
static guint count_recent_returns(FkController *c, FkShard *shard) {
  guint recent = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, shard->returned_machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkReturnedWorker *returned = value;
    double age_s = fk_time_between(returned->last_at, c->now);
    gboolean twice = returned->previous_at.us &&
                     fk_time_between(returned->previous_at, returned->last_at) < RETURN_MEMORY_S;
    if (age_s < RETURN_WINDOW_S)
      recent += twice ? 2 : 1;
    if (age_s > RETURN_MEMORY_S)
      g_hash_table_iter_remove(&iter);
  }
  return recent;
}

/* The workers can't reach the shard's owner when a part of them came back from there. A few of many prove
 * nothing but that the owner is slow; and an owner that has only just taken the shard from this controller
 * can be reached, since the workers were there. Without both rules, two busy controllers take the same shards
 * from each other again and again, and each time all their workers must receive a new token. */
void fk_redirect_note_return(FkController *c, FkShard *shard, const char *machine) {
  remember_return(c, shard, machine);
  guint recent = count_recent_returns(c, shard);
  double enough = MAX(RETURNED_MIN, RETURNED_SHARE_MIN * shard->machines->len);
  if (fk_time_reached(c->now, shard->ignore_returns_until) && (recent >= enough || shard->machines->len <= 1))
    shard->acquire_wanted = TRUE;
}
