/* How a team's limit is kept when several controllers launch for it. Shared: every launch changes the team's
 * record and is guarded by it, so that launches go one after another. Split: the record gives each controller
 * a share, launches are only guarded by it, and each controller counts what it launched itself. Both ways the
 * sum of bookings stays within the limit; docs/design.md, "quota". */
#include "core/controller_internal.h"

#include <string.h>

#include "fair_share/quota.h"

#define SHARED_S 4.0       /* a team that has just been found short of shares stays shared for so long ... */
#define SHARED_MAX_S 120.0 /* ... and twice as long each time that this comes soon again */
#define SHARE_TASKS 4      /* a share must have room for so many of the team's largest tasks */
#define LEADER_WEIGHT 2.0  /* it places services for all */
#define SPLIT_MIN_S 1.0
#define PAUSE_MAX_S 3.0
#define FREE_MIN 0.2 /* a limit is split only while so much of it is free */

static void changed(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->splitting = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->split_wait = epoch;
}

/* Writes the team's record. `guarded` FALSE only for a pause: nobody may launch on it, so it is safe whatever
 * was there before. */
static void change(FkController *c, const char *team, FkTeamUse *use, GHashTable *split /* taken, or NULL */,
                   gboolean guarded) {
  FkOut *t = fk_txn_new(c, FK_PRIO_CLAIM);
  FkRecord *r = fk_record_new(FK_KEY_TEAM);
  r->split = split;
  r->node = g_strdup(guarded ? use->was_short : c->settings->node);
  if (guarded)
    fk_txn_guard(t, fk_key(FK_KEY_TEAM, team), use->rev);
  fk_txn_put(t, fk_key(FK_KEY_TEAM, team), r, (FkRev){0});
  c->splitting = TRUE;
  fk_txn_send(c, t, changed, NULL, NULL);
}

/* Who places the services, and who was short of it last, get more. */
static double weight(FkController *c, const FkTeamUse *use, const char *node, guint n) {
  return (g_strcmp0(node, c->view->leader) == 0 ? LEADER_WEIGHT : 1) +
         (g_strcmp0(use->was_short, node) == 0 ? n : 0);
}

static GHashTable *shares(FkController *c, const FkTeam *team, const FkTeamUse *use) {
  GHashTable *split = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  guint n = g_hash_table_size(c->view->nodes);
  double weights = 0, free = fk_limit_left(team->cpus_max, use->cpus);
  GHashTableIter it;
  gpointer name;
  g_hash_table_iter_init(&it, c->view->nodes);
  while (g_hash_table_iter_next(&it, &name, NULL))
    weights += weight(c, use, name, n);
  g_hash_table_iter_init(&it, c->view->nodes);
  while (g_hash_table_iter_next(&it, &name, NULL)) {
    double *mine = g_hash_table_lookup(use->by, g_intern_string(name)), *share = g_new(double, 1);
    *share = (mine ? *mine : 0) + free * weight(c, use, name, n) / weights;
    g_hash_table_insert(split, g_strdup(name), share);
  }
  return split;
}

/* Whether everybody's share would be of use. */
static gboolean room_to_split(FkController *c, const FkTeam *team, const FkTeamUse *use) {
  double free = fk_limit_left(team->cpus_max, use->cpus), largest = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkSpec *s = ((FkJob *)p)->spec;
    if (g_str_equal(s->team, team->name))
      largest = MAX(largest, s->cpus * (s->shape == FK_SHAPE_GANG ? s->tasks : 1));
  }
  return free > FREE_MIN * team->cpus_max &&
         free > SHARE_TASKS * largest * (g_hash_table_size(c->view->nodes) + LEADER_WEIGHT - 1);
}

/* Shares are of CPUs: a team whose GPUs are limited too needs its record, and one without a limit needs none.
 */
static gboolean splittable(const FkTeam *team) {
  return fk_limited(team->cpus_max) && !fk_limited(team->gpus_max);
}

static gboolean paused(const FkTeamUse *use) { return use->split && !g_hash_table_size(use->split); }

/* Shares change in two steps. A pause gives nobody anything: launches on the revisions before it are void, so
 * that a view of the pause shows exactly what everybody has launched. Then who paused deals out shares, or
 * has the limit shared, guarded by the pause's revision. */
static void deal_out(FkController *c, const FkTeam *team, FkTeamUse *use) {
  if (room_to_split(c, team, use)) {
    g_info("the limit of %s is split: %.0f of %.0f in use", team->name, use->cpus, team->cpus_max);
    change(c, team->name, use, shares(c, team, use), TRUE);
    return;
  }
  g_info("the limit of %s is shared: %.0f of %.0f in use", team->name, use->cpus, team->cpus_max);
  use->shared_s = MIN(SHARED_MAX_S, MAX(SHARED_S, 2 * use->shared_s));
  change(c, team->name, use, NULL, TRUE);
}

void fk_quota_tick(FkController *c) {
  if (c->splitting || c->view->applied.n < c->split_wait.n)
    return;
  for (guint i = 0; i < c->settings->teams->len && !c->splitting; i++) {
    FkTeam *team = c->settings->teams->pdata[i];
    FkTeamUse *use = fk_view_team(c->view, team->name);
    double age = fk_time_between(use->changed, c->now);
    if (paused(use)) {
      if (g_strcmp0(use->was_short, c->settings->node) == 0 || (c->leading && age > PAUSE_MAX_S))
        deal_out(c, team, use);
    } else if (use->split ? use->starved && age > SPLIT_MIN_S
                          : c->leading && g_hash_table_size(c->view->nodes) > 1 && splittable(team) &&
                                fk_time_between(use->shared_since, c->now) > MAX(SHARED_S, use->shared_s) &&
                                room_to_split(c, team, use)) {
      change(c, team->name, use, g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free), FALSE);
    }
    if (use->split)
      use->shared_since = c->now;
    use->starved = FALSE;
  }
}
