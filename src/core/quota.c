/* How a team's limit is kept when several controllers launch for it. Shared: every launch changes the team's
 * record and is guarded by it, so that launches go one after another. Split: the record gives each controller a
 * share, launches are only guarded by it, and each controller counts what it launched itself. Both ways the sum
 * of bookings stays within the limit; docs/design.md, "quota". */
#include "core/internal.h"

#include <string.h>

#define SHARED_S 4.0      /* a team that has just been found short of shares stays shared for so long ... */
#define SHARED_MAX_S 120.0 /* ... and twice as long each time that this comes soon again */
#define SHARE_TASKS 4     /* a share must have room for so many of the team's largest tasks */
#define LEADER_WEIGHT 2.0 /* it places services for all */
#define PLENTY 0.3
#define FREE_MIN 0.2      /* a limit is split only while so much of it is free */

static void changed(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->splitting = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->split_wait = epoch;
}

/* From shared to split what everybody has launched must be known exactly: while the limit is shared each launch
 * changes the record, so a view of the revision that guards this shows them all. From split to shared anything goes:
 * launches on the old shares are void with the new revision. */
static void change(FkController *c, const char *team, FkTeamUse *use, GHashTable *split /* taken, or NULL */) {
  FkOut *t = fk_txn_new(c, FK_PRIO_CLAIM);
  FkRecord *r = fk_record_new(FK_KEY_TEAM);
  r->split = split;
  if (!split)
    r->node = g_strdup(c->settings->node); /* who was short of it */
  fk_txn_guard(t, fk_key(FK_KEY_TEAM, team), use->rev);
  fk_txn_put(t, fk_key(FK_KEY_TEAM, team), r, (FkRev){0});
  c->splitting = TRUE;
  fk_txn_send(c, t, changed, NULL, NULL);
}

/* Who places the services, and who was short of it last, get more. */
static double weight(FkController *c, const FkTeamUse *use, const char *node, guint n) {
  return (g_str_equal(node, c->settings->node) ? LEADER_WEIGHT : 1) + (g_strcmp0(use->was_short, node) == 0 ? n : 0);
}

static GHashTable *shares(FkController *c, const FkTeam *team, const FkTeamUse *use) {
  GHashTable *split = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  guint n = g_hash_table_size(c->view->nodes);
  double weights = 0, free = team->cpus_max - use->cpus;
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
  double free = team->cpus_max - use->cpus, largest = 0;
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

void fk_quota_tick(FkController *c) {
  if (c->splitting || c->view->applied.n < c->split_wait.n)
    return;
  for (guint i = 0; i < c->settings->teams->len && !c->splitting; i++) {
    FkTeam *team = c->settings->teams->pdata[i];
    FkTeamUse *use = fk_view_team(c->view, team->name);
    if (use->split) {
      use->shared_since = c->now;
      if (use->starved) {
        /* with little left, shares only get in each other's way */
        use->shared_s = team->cpus_max - use->cpus > PLENTY * team->cpus_max
                            ? SHARED_S
                            : MIN(SHARED_MAX_S, MAX(SHARED_S, 2 * use->shared_s));
        g_info("the limit of %s is shared again", team->name);
        change(c, team->name, use, NULL);
      }
    } else if (c->leading && g_hash_table_size(c->view->nodes) > 1 && team->gpus_max <= 0 &&
               fk_time_between(use->shared_since, c->now) > MAX(SHARED_S, use->shared_s) && use->pend_cpus <= 0 &&
               room_to_split(c, team, use)) {
      use->shared_since = c->now;
      g_info("the limit of %s is split: %.0f of %.0f in use", team->name, use->cpus, team->cpus_max);
      change(c, team->name, use, shares(c, team, use));
    }
    use->starved = FALSE;
  }
}
