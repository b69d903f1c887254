#include "core/scheduling/quota_partition.h"

#include "fair_share/quota.h"

/* minimum time for which a team's launches stay serialized (each writes the team's record) before its quota
 * may be partitioned again */
#define SERIALIZED_MIN_S 4.0
/* the minimum time doubles whenever the shares are found too small again, up to this limit */
#define SERIALIZED_MAX_S 120.0
/* minimum free quota per controller, as a multiple of the team's largest launch; the leader counts as
 * LEADER_WEIGHT controllers */
#define SHARE_LAUNCHES_MIN 4
/* the leader's weight when free quota is divided, compared to 1 for other controllers: the leader also places
 * all services */
#define LEADER_WEIGHT 2.0
#define PARTITIONED_MIN_S 1.0 /* minimum time for which the shares of a partition stay the same */
#define PAUSE_MAX_S 3.0       /* once another controller's pause has lasted this long, the leader ends it */
#define FREE_SHARE_MIN 0.2    /* a quota is partitioned only while more than this share of it is free */

/* Returns an empty partition: controller -> double* (its share in CPUs). A partition without shares means
 * that the team's launches are paused. */
static GHashTable *partition_new(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void on_record_result(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                             GPtrArray *failed) {
  c->launches.quota_partitioning = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->launches.quota_wait_rev = epoch;
}

static void send_record(FkController *c, const char *team, FkOutput *txn,
                        FkRecord *record /* ownership passes to the callee */) {
  fk_transaction_put(txn, fk_store_key_path(FK_STORE_KEY_TEAM, team), record, (FkRev){0});
  c->launches.quota_partitioning = TRUE;
  fk_transaction_send(c, txn, on_record_result, NULL, NULL);
}

/* Pauses the team's launches. The write needs no guard: no controller may launch during a pause, so a pause
 * is safe whatever the record was before. */
static void write_pause(FkController *c, const char *team) {
  FkOutput *txn = fk_transaction_new(c, FK_PRIORITY_SHARD);
  FkRecord *record = fk_record_new(FK_STORE_KEY_TEAM);
  record->partition = partition_new();
  record->last_exhausted_by = g_strdup(c->settings->node);
  send_record(c, team, txn, record);
}

/* Ends the pause that the view shows. The new record holds the partition or, if `partition` is NULL,
 * serializes the launches. */
static void write_partition(FkController *c, const char *team, const FkTeamUsage *usage,
                            GHashTable *partition /* ownership passes to the callee */) {
  FkOutput *txn = fk_transaction_new(c, FK_PRIORITY_SHARD);
  FkRecord *record = fk_record_new(FK_STORE_KEY_TEAM);
  record->partition = partition;
  record->last_exhausted_by = g_strdup(usage->last_exhausted_by);
  fk_transaction_guard(txn, fk_store_key_path(FK_STORE_KEY_TEAM, team), usage->rev);
  send_record(c, team, txn, record);
}

/* Returns the weight of a controller when free quota is divided. The leader, which places the services, has a
 * higher weight, and so does the controller that exhausted its share last. */
static double share_weight(FkController *c, const FkTeamUsage *usage, const char *node) {
  guint node_count = g_hash_table_size(c->view->nodes);
  return (g_strcmp0(node, c->view->leader) == 0 ? LEADER_WEIGHT : 1) +
         (g_strcmp0(usage->last_exhausted_by, node) == 0 ? node_count : 0);
}

/* Returns the partition in which each controller's share is what the controller uses and a weighted part of
 * the free quota. */
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

/* Returns the CPUs of the team's largest launch: one task or, for a gang, all of its tasks. */
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

/* Returns whether enough of the quota is free to make every controller's share useful. */
static gboolean is_worth_partitioning(FkController *c, const FkTeam *team, const FkTeamUsage *usage) {
  double free_cpus = fk_quota_left(team->max_cpus, usage->cpus);
  return free_cpus > FREE_SHARE_MIN * team->max_cpus &&
         free_cpus > SHARE_LAUNCHES_MIN * largest_launch_cpus(c, team) *
                         (g_hash_table_size(c->view->nodes) + LEADER_WEIGHT - 1);
}

/* Returns whether the team's quota can be partitioned. Shares are in CPUs, so a team whose GPUs are limited
 * too isn't partitioned; a team without a quota has nothing to divide. */
static gboolean can_partition(const FkTeam *team) {
  return fk_quota_is_limited(team->max_cpus) && !fk_quota_is_limited(team->max_gpus);
}

static gboolean is_paused(const FkTeamUsage *usage) {
  return usage->partition && !g_hash_table_size(usage->partition);
}

/* Ends a pause. Shares change in two steps. First, the pause gives no controller a share and invalidates
 * launches that are guarded by earlier revisions of the record, so that a view of the pause shows exactly
 * what every controller has launched. Then one controller (must_finish_pause()) divides the quota or
 * serializes the launches; this write is guarded by the revision of the pause. */
static void finish_pause(FkController *c, const FkTeam *team, FkTeamUsage *usage) {
  if (is_worth_partitioning(c, team, usage)) {
    g_info("quota partitioning requested team=%s used_cpus=%.0f max_cpus=%.0f", team->name, usage->cpus,
           team->max_cpus);
    write_partition(c, team->name, usage, compute_shares(c, team, usage));
    return;
  }
  g_info("quota serialization requested team=%s used_cpus=%.0f max_cpus=%.0f", team->name, usage->cpus,
         team->max_cpus);
  usage->serialized_min_s = MIN(SERIALIZED_MAX_S, MAX(SERIALIZED_MIN_S, 2 * usage->serialized_min_s));
  write_partition(c, team->name, usage, NULL);
}

/* Returns whether this controller must end the pause: it wrote the pause, or it is the leader and the pause
 * has lasted so long that the controller that wrote it seems to have failed. */
static gboolean must_finish_pause(FkController *c, const FkTeamUsage *usage) {
  return g_strcmp0(usage->last_exhausted_by, c->settings->node) == 0 ||
         (c->leader.is_leader && fk_time_between(usage->changed_at, c->now) > PAUSE_MAX_S);
}

/* Returns whether this controller must pause the team to change its shares or mode: this controller's share
 * of a partitioned quota is exhausted, or this controller is the leader and a serialized quota is worth
 * partitioning. A mode is kept for a minimum time. */
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
