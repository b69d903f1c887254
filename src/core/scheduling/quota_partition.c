#include "core/scheduling/quota_partition.h"

#include "fair_share/quota.h"

#define SERIALIZED_MIN_S 4.0   /* a team whose shares were found too small stays serialized for so long ... */
#define SERIALIZED_MAX_S 120.0 /* ... and twice as long, up to this, each time that it happens again */
#define SHARE_TASKS_MIN 4      /* a share must have room for so many of the team's largest tasks */
#define LEADER_WEIGHT 2.0      /* the leader places services for all */
#define PARTITIONED_MIN_S 1.0
#define PAUSE_MAX_S 3.0
#define FREE_SHARE_MIN 0.2 /* a quota is partitioned only while so much of it is free */

/* controller -> double*: its share in CPUs. Empty: a pause. */
static GHashTable *partition_new(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void on_record_committed(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                GPtrArray *failed) {
  c->launches.quota_partitioning = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->launches.quota_wait_rev = epoch;
}

static void send_record(FkController *c, const char *team, FkOutput *txn, FkRecord *record /* taken */) {
  fk_transaction_put(txn, fk_store_key_path(FK_STORE_KEY_TEAM, team), record, (FkRev){0});
  c->launches.quota_partitioning = TRUE;
  fk_transaction_send(c, txn, on_record_committed, NULL, NULL);
}

/* Pauses the team's launches. Needs no guard: nobody may launch on a pause, so it is safe whatever the record
 * was before. */
static void write_pause(FkController *c, const char *team) {
  FkOutput *txn = fk_transaction_new(c, FK_PRIORITY_SHARD);
  FkRecord *record = fk_record_new(FK_STORE_KEY_TEAM);
  record->partition = partition_new();
  record->last_exhausted_by = g_strdup(c->settings->node);
  send_record(c, team, txn, record);
}

/* Ends the pause that the view shows: with a partition, or serialized (NULL). */
static void write_partition(FkController *c, const char *team, const FkTeamUsage *usage,
                            GHashTable *partition /* taken */) {
  FkOutput *txn = fk_transaction_new(c, FK_PRIORITY_SHARD);
  FkRecord *record = fk_record_new(FK_STORE_KEY_TEAM);
  record->partition = partition;
  record->last_exhausted_by = g_strdup(usage->last_exhausted_by);
  fk_transaction_guard(txn, fk_store_key_path(FK_STORE_KEY_TEAM, team), usage->rev);
  send_record(c, team, txn, record);
}

/* The leader, which places the services, and who exhausted its share last get more. */
static double share_weight(FkController *c, const FkTeamUsage *usage, const char *node) {
  guint node_count = g_hash_table_size(c->view->nodes);
  return (g_strcmp0(node, c->view->leader) == 0 ? LEADER_WEIGHT : 1) +
         (g_strcmp0(usage->last_exhausted_by, node) == 0 ? node_count : 0);
}

/* Each controller keeps what it uses, and gets its part of what is free. */
static GHashTable *compute_shares(FkController *c, const FkTeam *team, const FkTeamUsage *usage) {
  GHashTable *partition = partition_new();
  double weights = 0, free_cpus = fk_quota_left(team->max_cpus, usage->cpus);
  GHashTableIter it;
  gpointer node;
  g_hash_table_iter_init(&it, c->view->nodes);
  while (g_hash_table_iter_next(&it, &node, NULL))
    weights += share_weight(c, usage, node);
  g_hash_table_iter_init(&it, c->view->nodes);
  while (g_hash_table_iter_next(&it, &node, NULL)) {
    const double *used = g_hash_table_lookup(usage->cpus_by_controller, g_intern_string(node));
    double *share = g_new(double, 1);
    *share = (used ? *used : 0) + free_cpus * share_weight(c, usage, node) / weights;
    g_hash_table_insert(partition, g_strdup(node), share);
  }
  return partition;
}

/* CPUs of the team's largest launch: a task, or a whole gang. */
static double largest_launch_cpus(FkController *c, const FkTeam *team) {
  double largest = 0;
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &job)) {
    const FkSpec *spec = ((FkJob *)job)->spec;
    if (g_str_equal(spec->team, team->name))
      largest = MAX(largest, spec->cpus * (spec->shape == FK_SHAPE_GANG ? spec->tasks : 1));
  }
  return largest;
}

/* Whether every controller's share would be large enough to be of use. */
static gboolean is_worth_partitioning(FkController *c, const FkTeam *team, const FkTeamUsage *usage) {
  double free_cpus = fk_quota_left(team->max_cpus, usage->cpus);
  return free_cpus > FREE_SHARE_MIN * team->max_cpus &&
         free_cpus > SHARE_TASKS_MIN * largest_launch_cpus(c, team) *
                         (g_hash_table_size(c->view->nodes) + LEADER_WEIGHT - 1);
}

/* Shares are of CPUs: a team whose GPUs are limited too stays serialized, and one without a quota has nothing
 * to divide. */
static gboolean can_partition(const FkTeam *team) {
  return fk_quota_is_limited(team->max_cpus) && !fk_quota_is_limited(team->max_gpus);
}

static gboolean is_paused(const FkTeamUsage *usage) {
  return usage->partition && !g_hash_table_size(usage->partition);
}

/* Shares change in two steps. A pause gives nobody anything: launches guarded by earlier revisions of the
 * record are void, so that a view of the pause shows exactly what everybody has launched. Then the controller
 * that wrote the pause divides the quota, or serializes it, guarded by the pause's revision. */
static void finish_pause(FkController *c, const FkTeam *team, FkTeamUsage *usage) {
  if (is_worth_partitioning(c, team, usage)) {
    g_info("quota partitioned team=%s used_cpus=%.0f max_cpus=%.0f", team->name, usage->cpus, team->max_cpus);
    write_partition(c, team->name, usage, compute_shares(c, team, usage));
    return;
  }
  g_info("quota serialized team=%s used_cpus=%.0f max_cpus=%.0f", team->name, usage->cpus, team->max_cpus);
  usage->serialized_min_s = MIN(SERIALIZED_MAX_S, MAX(SERIALIZED_MIN_S, 2 * usage->serialized_min_s));
  write_partition(c, team->name, usage, NULL);
}

/* The controller that wrote the pause ends it; the leader does if that one seems to have failed. */
static gboolean must_finish_pause(FkController *c, const FkTeamUsage *usage) {
  return g_strcmp0(usage->last_exhausted_by, c->settings->node) == 0 ||
         (c->leader.is_leader && fk_time_between(usage->changed_at, c->now) > PAUSE_MAX_S);
}

/* A controller whose share is exhausted pauses a partitioned team; the leader, a serialized one that is worth
 * partitioning. */
static gboolean must_pause(FkController *c, const FkTeam *team, const FkTeamUsage *usage) {
  if (usage->partition)
    return usage->share_exhausted && fk_time_between(usage->changed_at, c->now) > PARTITIONED_MIN_S;
  return c->leader.is_leader && g_hash_table_size(c->view->nodes) > 1 && can_partition(team) &&
         fk_time_between(usage->serialized_since, c->now) > MAX(SERIALIZED_MIN_S, usage->serialized_min_s) &&
         is_worth_partitioning(c, team, usage);
}

static void review_team(FkController *c, const FkTeam *team, FkTeamUsage *usage) {
  if (is_paused(usage)) {
    if (must_finish_pause(c, usage))
      finish_pause(c, team, usage);
  } else if (must_pause(c, team, usage)) {
    write_pause(c, team->name);
  }
  if (usage->partition)
    usage->serialized_since = c->now;
  usage->share_exhausted = FALSE;
}

void fk_quota_partition_tick(FkController *c) {
  if (c->launches.quota_partitioning || c->view->applied.n < c->launches.quota_wait_rev.n)
    return;
  for (guint i = 0; i < c->settings->teams->len && !c->launches.quota_partitioning; i++) {
    const FkTeam *team = c->settings->teams->pdata[i];
    review_team(c, team, fk_view_ensure_team(c->view, team->name));
  }
}
