/* Placement, a launch at a time. The long path, the leader's, comes first,
 * then each controller's short path; what both book goes into one transaction. */
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/scheduling_queue.h"

#include <string.h>

typedef struct {
  FkWaits waits;
} LaunchCall;

static void launched(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  LaunchCall *call = data;
  c->launching = FALSE;
  c->launches++;
  if (o == FK_CONFLICT) {
    c->launch_conflicts++;
    g_debug("launch refused: %s", failed && failed->len ? (char *)failed->pdata[0] : "?");
  }
  if (o != FK_OK && o != FK_CONFLICT)
    c->launch_failures++;
  if (o == FK_UNKNOWN)
    c->fence_needed = TRUE; /* it may yet apply: not beside the next one */
  if (o == FK_OK || o == FK_CONFLICT)
    c->launch_wait = epoch; /* what comes next is decided on a view that shows this */
  else
    c->launch_after = c->urgent_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.15, 0.5));
  if (o == FK_OK)
    fk_waits_add(&c->waits, &call->waits);
}

/* ------------------------------------------------------------------ */

static void fenced(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->fencing = FALSE;
  if (o == FK_OK)
    c->fence_needed = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->launch_wait = epoch;
  else
    c->launch_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.15, 0.5));
}

/* Launches of this controller, of an earlier life or unanswered, may still be on their way. Every launch is
 * guarded by our fence: once it has changed, and our view shows that, none of them can apply any more, and
 * those that did are in our view, so that they count against the team's limit. */
static void fence(FkController *c) {
  FkOut *t = fk_txn_new(c, FK_PRIO_CLAIM);
  char *key = fk_key(FK_KEY_FENCE, c->settings->node);
  fk_txn_guard(t, g_strdup(key), fk_view_fence(c->view, c->settings->node));
  FkRecord *r = fk_record_new(FK_KEY_FENCE);
  r->chains = TRUE;
  fk_txn_put(t, key, r, (FkRev){0});
  c->fencing = TRUE;
  fk_txn_send(c, t, fenced, NULL, NULL);
}

#define LAUNCH_SHARE 0.3      /* of the store's write budget */
#define LOOK_PER_MACHINE 1e-4 /* s: the pause between two looks grows with what there is to look at, ... */
#define LOOK_PAUSE_MOST_S 0.1 /* ... up to this: a look at very many costs no more */

/* The smallest wanted by jobs of other shapes than arrays decides which machines the long path looks at. */
static GPtrArray *open_for_long(FkController *c, GPtrArray *jobs) {
  double cpus = G_MAXDOUBLE, mem = G_MAXDOUBLE;
  for (guint i = 0; i < jobs->len; i++) {
    const FkSpec *s = ((FkJob *)jobs->pdata[i])->spec;
    if (fk_spec_long(c, s)) {
      cpus = MIN(cpus, s->cpus);
      mem = MIN(mem, s->mem_gb);
    }
  }
  return cpus == G_MAXDOUBLE ? g_ptr_array_new() : fk_rooms_open(c, FALSE, cpus, mem);
}

#define URGENT_EVERY_S 0.2
#define URGENT_PATIENCE_S                                                                                    \
  0.7 /* a shorter pause is waited out: a launch of its own costs writes that bulk work shares */

/* The pace saves the store's writes for what comes next; urgent work is what they are saved for. It goes
 * before its time, a few times a second, and what it writes is added to the pause of the others: behind a
 * launch of twenty writes it would wait for up to 3 s. */
static gboolean goes_before_its_time(FkController *c) {
  return fk_time_between(c->now, c->launch_after) > URGENT_PATIENCE_S &&
         fk_time_reached(c->now, c->urgent_after) && fk_turn_urgent_waits(c);
}

/* Why nothing can be launched now, or NULL. */
static const char *hindrance(FkController *c, gboolean urgent_only) {
  if (!fk_ready(c) || !g_hash_table_size(c->types))
    return "not ready";
  if (c->launching || c->fencing)
    return "a launch is under way";
  if (c->view->applied.n < c->launch_wait.n)
    return "the view is behind";
  if (!fk_time_reached(c->now, c->launch_after) && !urgent_only)
    return "pace";
  return !c->fence_needed && c->write_room < FK_LAUNCH_MIN ? "the store's budget" : NULL;
}

/* The order goes by rank first. */
static void keep_urgent(GPtrArray *jobs) {
  guint n = 0;
  while (n < jobs->len && ((FkJob *)jobs->pdata[n])->rank_now < FK_RANK_NORMAL)
    n++;
  g_ptr_array_set_size(jobs, (gint)n);
}

static void pause_after_look(FkController *c, gboolean urgent_only) {
  double pause_s = LOOK_PER_MACHINE * g_hash_table_size(c->view->machines);
  c->urgent_after = fk_time_add(c->now, URGENT_EVERY_S);
  if (!urgent_only)
    c->launch_after = fk_time_add(c->now, MIN(LOOK_PAUSE_MOST_S, pause_s));
}

#define PACE_MOST_S 3.0

static void pause_after_launch(FkController *c, guint writes, gboolean urgent_only) {
  /* The leader places all services, so it may write like all the others together. */
  guint n = c->leading ? 2 : 1 + g_hash_table_size(c->view->nodes);
  double pace_s = fk_pace_s(c, writes, LAUNCH_SHARE * fk_controllers(c) * 2 / n);
  double before_s = urgent_only ? MAX(0, fk_time_between(c->now, c->launch_after)) : 0;
  c->launch_after = fk_time_add(c->now, MIN(PACE_MOST_S, before_s + pace_s));
}

void fk_place(FkController *c) {
  gboolean urgent_only = goes_before_its_time(c);
  const char *why = hindrance(c, urgent_only);
  if (why) {
    guint n = GPOINTER_TO_UINT(g_hash_table_lookup(c->hindrances, why));
    g_hash_table_insert(c->hindrances, (gpointer)why, GUINT_TO_POINTER(n + 1));
    return;
  }
  if (c->fence_needed) {
    fence(c);
    return;
  }
  fk_pending_clear(c);
  fk_rooms_refresh(c);
  g_autoptr(GPtrArray) jobs = fk_turn_waiting(c);
  if (urgent_only)
    keep_urgent(jobs);
  if (!jobs->len)
    return;
  pause_after_look(c, urgent_only);
  g_autoptr(GPtrArray) all = open_for_long(c, jobs);
  FkBatch b = {.urgent_only = urgent_only};
  g_autoptr(GHashTable) chunks = b.chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr(GHashTable) teams = b.teams = g_hash_table_new(g_str_hash, g_str_equal);
  g_autoptr(GArray) kept = g_array_new(FALSE, FALSE, sizeof(FkPend));
  if (c->leading)
    fk_place_long(c, &b, jobs, all);
  fk_keep_for_long(c, jobs, all, kept);
  fk_place_short(c, &b, jobs);
  fk_give_up_kept(c, kept);
  if (!b.txn) {
    const char *none = fk_rooms_ours(c)->len ? "no room, or not allowed" : "no machine";
    g_hash_table_insert(c->hindrances, (gpointer)none,
                        GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(c->hindrances, none)) + 1));
    return;
  }
  LaunchCall *call = g_new0(LaunchCall, 1);
  call->waits = b.waits;
  c->launching = TRUE;
  pause_after_launch(c, b.txn->writes->len - 1, urgent_only);
  fk_txn_send(c, b.txn, launched, call, g_free);
}
