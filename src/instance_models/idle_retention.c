#include "instance_models/idle_retention.h"

#include <math.h>

#define REPROVISION_WINDOW_S 90.0   /* a machine rented again within this had better been kept */
#define DECAY_TIME_CONSTANT_S 120.0 /* what was learnt fades with this time constant */
#define SATURATION_SHARE 0.5        /* of what went being rented again is as bad as all of it */
#define SAMPLE_CPUS_MIN 16.0        /* CPUs: of so little given back nothing is learnt */

typedef struct {
  FkTime at;
  double cpus;
} Termination;

void fk_idle_retention_init(FkIdleRetention *h, FkTime now) {
  *h = (FkIdleRetention){.recent = g_array_new(FALSE, FALSE, sizeof(Termination)), .decayed_at = now};
}

void fk_idle_retention_clear(FkIdleRetention *h) { g_clear_pointer(&h->recent, g_array_unref); }

static void decay(FkIdleRetention *h, FkTime now) {
  double s = fk_time_between(h->decayed_at, now);
  if (s < 1)
    return;
  h->decayed_at = now;
  h->terminated_cpus *= exp(-s / DECAY_TIME_CONSTANT_S);
  h->reprovisioned_cpus *= exp(-s / DECAY_TIME_CONSTANT_S);
  guint old = 0;
  while (old < h->recent->len &&
         fk_time_between(g_array_index(h->recent, Termination, old).at, now) > REPROVISION_WINDOW_S)
    old++;
  if (old)
    g_array_remove_range(h->recent, 0, old);
}

void fk_idle_retention_terminated(FkIdleRetention *h, double cpus, FkTime now) {
  decay(h, now);
  h->terminated_cpus += cpus;
  /* one entry a second is enough: the list is bounded by the time that it covers */
  Termination *last = h->recent->len ? &g_array_index(h->recent, Termination, h->recent->len - 1) : NULL;
  if (last && fk_time_between(last->at, now) < 1) {
    last->cpus += cpus;
    return;
  }
  Termination w = {now, cpus};
  g_array_append_val(h->recent, w);
}

void fk_idle_retention_provisioned(FkIdleRetention *h, double cpus, FkTime now) {
  decay(h, now);
  while (cpus > 0 && h->recent->len) {
    Termination *last = &g_array_index(h->recent, Termination, h->recent->len - 1);
    double n = MIN(cpus, last->cpus);
    h->reprovisioned_cpus += n;
    cpus -= n;
    last->cpus -= n;
    if (last->cpus <= 0)
      g_array_set_size(h->recent, h->recent->len - 1);
  }
}

double fk_idle_retention_factor(FkIdleRetention *h, FkTime now) {
  decay(h, now);
  if (h->terminated_cpus < SAMPLE_CPUS_MIN)
    return 1;
  return 1 + (FK_IDLE_RETENTION_FACTOR_MAX - 1) *
                 CLAMP(h->reprovisioned_cpus / h->terminated_cpus / SATURATION_SHARE, 0, 1);
}
