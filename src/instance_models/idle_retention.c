/* Estimates the share of terminated CPUs that are provisioned again soon, with exponential decay. */
#include "instance_models/idle_retention.h"

#include <math.h>

/* If capacity is provisioned within this time after a machine's termination, the machine should have been
 * kept. */
#define REPROVISION_WINDOW_S 90.0
#define DECAY_TIME_CONSTANT_S 120.0
#define DECAY_INTERVAL_S 1.0
/* A termination within this time after an entry is added to that entry, which bounds the array. */
#define TERMINATION_MERGE_S 1.0
#define SATURATION_SHARE 0.5 /* from this share of reprovisioned CPUs on, the factor is highest */
#define SAMPLE_CPUS_MIN 16.0 /* with fewer terminated CPUs, the factor is 1 */

/* Machines terminated within TERMINATION_MERGE_S after `at`, and how many of their CPUs have not been matched
 * with provisioned CPUs yet. */
typedef struct {
  FkTime at;
  double cpus;
} Termination;

void fk_idle_retention_init(FkIdleRetention *retention, FkTime now) {
  *retention = (FkIdleRetention){.recent = g_array_new(FALSE, FALSE, sizeof(Termination)), .decayed_at = now};
}

void fk_idle_retention_clear(FkIdleRetention *retention) {
  g_clear_pointer(&retention->recent, g_array_unref);
}

static Termination *latest_termination(FkIdleRetention *retention) {
  GArray *recent = retention->recent;
  return recent->len ? &g_array_index(recent, Termination, recent->len - 1) : NULL;
}

static void drop_old_terminations(FkIdleRetention *retention, FkTime now) {
  GArray *recent = retention->recent;
  guint old = 0;
  while (old < recent->len &&
         fk_time_between(g_array_index(recent, Termination, old).at, now) > REPROVISION_WINDOW_S)
    old++;
  if (old)
    g_array_remove_range(recent, 0, old);
}

static void decay(FkIdleRetention *retention, FkTime now) {
  double elapsed_s = fk_time_between(retention->decayed_at, now);
  if (elapsed_s < DECAY_INTERVAL_S)
    return;
  retention->decayed_at = now;
  retention->terminated_cpus *= exp(-elapsed_s / DECAY_TIME_CONSTANT_S);
  retention->reprovisioned_cpus *= exp(-elapsed_s / DECAY_TIME_CONSTANT_S);
  drop_old_terminations(retention, now);
}

void fk_idle_retention_terminated(FkIdleRetention *retention, double cpus, FkTime now) {
  decay(retention, now);
  retention->terminated_cpus += cpus;
  Termination *latest = latest_termination(retention);
  if (latest && fk_time_between(latest->at, now) < TERMINATION_MERGE_S) {
    latest->cpus += cpus;
    return;
  }
  Termination termination = {now, cpus};
  g_array_append_val(retention->recent, termination);
}

/* Matches the provisioned CPUs with terminated ones, the latest terminations first. */
void fk_idle_retention_provisioned(FkIdleRetention *retention, double cpus, FkTime now) {
  decay(retention, now);
  Termination *latest;
  while (cpus > 0 && (latest = latest_termination(retention))) {
    double matched = MIN(cpus, latest->cpus);
    retention->reprovisioned_cpus += matched;
    cpus -= matched;
    latest->cpus -= matched;
    if (latest->cpus <= 0)
      g_array_set_size(retention->recent, retention->recent->len - 1);
  }
}

double fk_idle_retention_factor(FkIdleRetention *retention, FkTime now) {
  decay(retention, now);
  if (retention->terminated_cpus < SAMPLE_CPUS_MIN)
    return 1;
  double share = retention->reprovisioned_cpus / retention->terminated_cpus;
  return 1 + (FK_IDLE_RETENTION_FACTOR_MAX - 1) * CLAMP(share / SATURATION_SHARE, 0, 1);
}
