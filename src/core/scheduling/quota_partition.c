/* How a team's limit is kept when several controllers launch for it. Shared: every launch changes the team's
 * record and is guarded by it, so that launches go one after another. Split: the record gives each controller
 * a share, launches are only guarded by it, and each controller counts what it launched itself. Both ways the
 * sum of bookings stays within the limit; docs/design.md, "quota". */
#include "core/controller_internal.h"

#include <string.h>

#include "fair_share/quota.h"

#define SERIALIZED_MIN_S                                                                                     \
  4.0 /* a team that has just been found short of shares stays shared for so long ... */
#define SERIALIZED_MAX_S 120.0 /* ... and twice as long each time that this comes soon again */
#define SHARE_TASKS_MIN 4      /* a share must have room for so many of the team's largest tasks */
#define LEADER_WEIGHT 2.0      /* it places services for all */
#define PARTITIONED_MIN_S 1.0
#define PAUSE_MAX_S 3.0
#define FREE_SHARE_MIN 0.2 /* a limit is split only while so much of it is free */

static void on_record_committed(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->launches.quota_partitioning = FALSE;
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->launches.quota_wait_rev = epoch;
}

/* Writes the team's record. `guarded` FALSE only for a pause: nobody may launch on it, so it is safe whatever
 * was there before. */
static void write_record(FkController *c, const char *team, FkTeamUsage *use,
                         GHashTable *split /* taken, or NULL */, gboolean guarded) {
  FkOutput *t = fk_transaction_new(c, FK_PRIORITY_SHARD);
  FkRecord *r = fk_record_new(FK_KEY_TEAM);
  r->partition = split;
  r->last_exhausted_by = g_strdup(guarded ? use->last_exhausted_by : c->settings->node);
  if (guarded)
    fk_transaction_guard(t, fk_key_path(FK_KEY_TEAM, team), use->rev);
  fk_transaction_put(t, fk_key_path(FK_KEY_TEAM, team), r, (FkRev){0});
  c->launches.quota_partitioning = TRUE;
  fk_transaction_send(c, t, on_record_committed, NULL, NULL);
}

/* Who places the services, and who was short of it last, get more. */
static double share_weight(FkController *c, const FkTeamUsage *use, const char *node, guint n) {
  return (g_strcmp0(node, c->view->leader) == 0 ? LEADER_WEIGHT : 1) +
         (g_strcmp0(use->last_exhausted_by, node) == 0 ? n : 0);
}

static GHashTable *compute_shares(FkController *c, const FkTeam *team, const FkTeamUsage *use) {
  GHashTable *split = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  guint n = g_hash_table_size(c->view->nodes);
  double weights = 0, free = fk_quota_left(team->max_cpus, use->cpus);
  GHashTableIter it;
  gpointer name;
  g_hash_table_iter_init(&it, c->view->nodes);
  while (g_hash_table_iter_next(&it, &name, NULL))
    weights += share_weight(c, use, name, n);
  g_hash_table_iter_init(&it, c->view->nodes);
  while (g_hash_table_iter_next(&it, &name, NULL)) {
    double *mine = g_hash_table_lookup(use->cpus_by_controller, g_intern_string(name)),
           *share = g_new(double, 1);
    *share = (mine ? *mine : 0) + free * share_weight(c, use, name, n) / weights;
    g_hash_table_insert(split, g_strdup(name), share);
  }
  return split;
}

/* Whether everybody's share would be of use. */
static gboolean is_worth_partitioning(FkController *c, const FkTeam *team, const FkTeamUsage *use) {
  double free = fk_quota_left(team->max_cpus, use->cpus), largest = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkSpec *s = ((FkJob *)p)->spec;
    if (g_str_equal(s->team, team->name))
      largest = MAX(largest, s->cpus * (s->shape == FK_SHAPE_GANG ? s->tasks : 1));
  }
  return free > FREE_SHARE_MIN * team->max_cpus &&
         free > SHARE_TASKS_MIN * largest * (g_hash_table_size(c->view->nodes) + LEADER_WEIGHT - 1);
}

/* Shares are of CPUs: a team whose GPUs are limited too needs its record, and one without a limit needs none.
 */
static gboolean can_partition(const FkTeam *team) {
  return fk_quota_is_limited(team->max_cpus) && !fk_quota_is_limited(team->max_gpus);
}

static gboolean is_paused(const FkTeamUsage *use) {
  return use->partition && !g_hash_table_size(use->partition);
}

/* Shares change in two steps. A pause gives nobody anything: launches on the revisions before it are void, so
 * that a view of the pause shows exactly what everybody has launched. Then who paused deals out shares, or
 * has the limit shared, guarded by the pause's revision. */
static void finish_pause(FkController *c, const FkTeam *team, FkTeamUsage *use) {
  if (is_worth_partitioning(c, team, use)) {
    g_info("the limit of %s is split: %.0f of %.0f in use", team->name, use->cpus, team->max_cpus);
    write_record(c, team->name, use, compute_shares(c, team, use), TRUE);
    return;
  }
  g_info("the limit of %s is shared: %.0f of %.0f in use", team->name, use->cpus, team->max_cpus);
  use->serialized_min_s = MIN(SERIALIZED_MAX_S, MAX(SERIALIZED_MIN_S, 2 * use->serialized_min_s));
  write_record(c, team->name, use, NULL, TRUE);
}

void fk_quota_partition_tick(FkController *c) {
  if (c->launches.quota_partitioning || c->view->applied.n < c->launches.quota_wait_rev.n)
    return;
  for (guint i = 0; i < c->settings->teams->len && !c->launches.quota_partitioning; i++) {
    FkTeam *team = c->settings->teams->pdata[i];
    FkTeamUsage *use = fk_view_ensure_team(c->view, team->name);
    double age = fk_time_between(use->changed_at, c->now);
    if (is_paused(use)) {
      if (g_strcmp0(use->last_exhausted_by, c->settings->node) == 0 ||
          (c->leader.is_leader && age > PAUSE_MAX_S))
        finish_pause(c, team, use);
    } else if (use->partition
                   ? use->share_exhausted && age > PARTITIONED_MIN_S
                   : c->leader.is_leader && g_hash_table_size(c->view->nodes) > 1 && can_partition(team) &&
                         fk_time_between(use->serialized_since, c->now) >
                             MAX(SERIALIZED_MIN_S, use->serialized_min_s) &&
                         is_worth_partitioning(c, team, use)) {
      write_record(c, team->name, use, g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free), FALSE);
    }
    if (use->partition)
      use->serialized_since = c->now;
    use->share_exhausted = FALSE;
  }
}
