/* Which workers are silent, and which zones are out of reach.
 *
 * A worker is silent when it is neither heard nor answers although others of its zone do. If they aren't
 * heard either, it is this controller that is cut off, and terminating all of them would throw away what runs
 * there. This is counted by zone: a controller that a partition has cut off from another zone still hears its
 * own, and must not take all workers over there for silent. */
#include "core/workers/workers_internal.h"

#define PROBE_AFTER_INTERVALS 1.4  /* heartbeat intervals without a heartbeat: the worker itself is asked */
#define PROBE_REPLY_WAIT_S 2.3     /* how long its answer is waited for */
#define SERVICE_INTERVAL_MAX_S 3.0 /* workers with services are probed as if they reported that often */
#define OUTAGE_CHECK_S 1.0         /* the counts are updated twice as often */
#define OUTAGE_SHARE 0.25          /* with fewer than this share heard, this controller may be cut off */
#define JUST_NOW_S 1.3 /* below PROBE_REPLY_WAIT_S: an outage is noticed before anybody is drained for it */
#define EXPECTED_JUST_NOW_MIN 8.0 /* fewer heartbeats expected than this prove nothing in a moment */

/* ---- counting ---- */

FkZoneReachability *fk_zone_reachability_find(FkController *c, const char *zone) {
  GArray *zones = c->workers.zones;
  for (guint i = 0; i < zones->len; i++)
    if (g_array_index(zones, FkZoneReachability, i).zone == zone)
      return &g_array_index(zones, FkZoneReachability, i);
  FkZoneReachability added = {.zone = zone};
  g_array_append_val(zones, added);
  return &g_array_index(zones, FkZoneReachability, zones->len - 1);
}

static void reset_counts(FkZoneReachability *zone) {
  zone->machines = zone->recently_seen = zone->just_seen = zone->partitioned = 0;
  zone->expected_just_now = 0;
}

/* Shorter than the shortest silence: when the first worker of a zone is judged after a cut, none of the
 * others may count as heard from before the cut. */
static double recent_contact_s(FkController *c) {
  double interval_s = c->settings->heartbeat_interval_s;
  double shortest_silence_s =
      PROBE_AFTER_INTERVALS * MIN(interval_s, SERVICE_INTERVAL_MAX_S) + PROBE_REPLY_WAIT_S;
  return MIN(1.25 * interval_s + 1.5, shortest_silence_s - 1);
}

static void count_shard(FkController *c, FkZoneReachability *zone, const FkShard *shard, double lately_s) {
  double interval_s = c->settings->heartbeat_interval_s;
  for (guint i = 0; i < shard->machines->len; i++) {
    const FkMachine *machine = shard->machines->pdata[i];
    if (!machine->worker || !machine->record)
      continue;
    const FkFailureDetector *detector = &machine->worker->failure_detector;
    double since_contact_s = fk_time_between(detector->last_contact_at, c->now);
    zone->machines++;
    zone->partitioned += fk_failure_detector_is_partitioned(detector, c->now);
    zone->recently_seen += since_contact_s < lately_s;
    zone->just_seen += since_contact_s < JUST_NOW_S;
    if (!machine->drain_reason)
      zone->expected_just_now += MIN(1, JUST_NOW_S / MIN(interval_s, fk_worker_probe_after_s(c, machine)));
  }
}

/* Where there are enough workers, the last moment tells more than the last seconds: a worker that was quiet
 * for seconds before a cut is probed just after it, and judged while the others still count as heard lately
 * (thirty machines with 107 replicas were terminated in the three seconds after a controller lost its
 * workers). */
static gboolean may_be_cut_off(const FkZoneReachability *zone) {
  if (!zone->machines)
    return FALSE;
  return zone->recently_seen < OUTAGE_SHARE * (zone->machines - 1) ||
         (zone->expected_just_now >= EXPECTED_JUST_NOW_MIN &&
          zone->just_seen < OUTAGE_SHARE * zone->expected_just_now);
}

static void note_outage(FkController *c, FkZoneReachability *zone) {
  if (may_be_cut_off(zone)) {
    if (fk_time_between(zone->outage_seen_at, c->now) > OUTAGE_CHECK_S)
      zone->outage_began = c->now;
    zone->outage_seen_at = c->now;
  }
  if (zone->machines && !zone->recently_seen)
    zone->all_silent_at = c->now;
}

void fk_zone_reachability_update(FkController *c) {
  GArray *zones = c->workers.zones;
  for (guint i = 0; i < zones->len; i++)
    reset_counts(&g_array_index(zones, FkZoneReachability, i));
  double lately_s = recent_contact_s(c);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->view->shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkShard *shard = value;
    if (fk_shard_is_owned(c, shard))
      count_shard(c, fk_zone_reachability_find(c, shard->zone), shard, lately_s);
  }
  for (guint i = 0; i < zones->len; i++)
    note_outage(c, &g_array_index(zones, FkZoneReachability, i));
}

/* ---- one worker ---- */

static gboolean runs_service(const FkMachine *machine) {
  for (guint i = 0; i < machine->allocations->len; i++)
    if (g_array_index(machine->allocations, FkAllocationRef, i).job->spec->shape == FK_SHAPE_SERVICE)
      return TRUE;
  return FALSE;
}

double fk_worker_probe_after_s(FkController *c, const FkMachine *machine) {
  double interval_s = c->settings->heartbeat_interval_s;
  return PROBE_AFTER_INTERVALS *
         (runs_service(machine) ? MIN(interval_s, SERVICE_INTERVAL_MAX_S) : interval_s);
}

/* How long a worker may be quiet until it counts as silent. */
static double silent_after_s(FkController *c, const FkMachine *machine) {
  double configured_s = c->settings->tuning.silent_after_s;
  if (configured_s > 0)
    return MAX(configured_s, PROBE_AFTER_INTERVALS * c->settings->heartbeat_interval_s);
  return fk_worker_probe_after_s(c, machine) + PROBE_REPLY_WAIT_S;
}

FkTime fk_worker_silent_since(const FkMachine *machine) {
  return fk_failure_detector_silent_since(&machine->worker->failure_detector);
}

/* Not answering a probe is what counts. Without one, or when this controller has been too slow to hear,
 * silence proves nothing. */
static gboolean silence_counts(FkController *c, const FkMachine *machine) {
  return machine->worker->failure_detector.missed_probes && fk_time_reached(c->now, c->workers.behind_until);
}

/* A zone comes back from an outage one worker after the other: the first ones heard must not condemn the
 * rest, which have had no time to answer. So their silence counts from the end of the outage, and for longer
 * after a long one. */
gboolean fk_worker_is_silent(FkController *c, const FkMachine *machine, const FkZoneReachability *zone) {
  FkTime since = fk_worker_silent_since(machine);
  double silent_s = fk_time_between(since, c->now);
  double limit_s = silent_after_s(c, machine);
  if (silent_s <= limit_s || !silence_counts(c, machine))
    return FALSE;
  if (zone->machines <= 1)
    return silent_s > 2 * limit_s;
  double outage_over_s = fk_time_between(zone->outage_seen_at, c->now);
  if (outage_over_s <= OUTAGE_CHECK_S)
    return MIN(silent_s, fk_time_between(zone->all_silent_at, c->now)) > 3 * limit_s;
  if (since.us > zone->outage_seen_at.us)
    return TRUE;
  double outage_s = fk_time_between(zone->outage_began, zone->outage_seen_at);
  return outage_over_s > limit_s + MIN(limit_s, outage_s);
}

/* When more than half of a zone's workers are heard and don't hear, it is this controller's replies that get
 * lost, and the workers find another owner. */
gboolean fk_worker_is_partitioned(FkController *c, const FkMachine *machine, const FkZoneReachability *zone) {
  return fk_failure_detector_is_partitioned(&machine->worker->failure_detector, c->now) &&
         2 * zone->partitioned <= MAX(2, zone->machines) && silence_counts(c, machine);
}
