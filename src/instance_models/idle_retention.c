#include "instance_models/idle_retention.h"

#include <math.h>

#define SOON_S 90.0   /* a machine rented again within this had better been kept */
#define FADES_S 120.0 /* what was learnt fades with this time constant */
#define MUCH 0.5      /* of what went being rented again is as bad as all of it */
#define LEAST 16.0    /* CPUs: of so little given back nothing is learnt */

typedef struct {
  FkTime at;
  double cpus;
} Went;

void fk_hold_init(FkHold *h, FkTime now) {
  *h = (FkHold){.lately = g_array_new(FALSE, FALSE, sizeof(Went)), .faded = now};
}

void fk_hold_clear(FkHold *h) { g_clear_pointer(&h->lately, g_array_unref); }

static void fade(FkHold *h, FkTime now) {
  double s = fk_time_between(h->faded, now);
  if (s < 1)
    return;
  h->faded = now;
  h->returned *= exp(-s / FADES_S);
  h->again *= exp(-s / FADES_S);
  guint old = 0;
  while (old < h->lately->len && fk_time_between(g_array_index(h->lately, Went, old).at, now) > SOON_S)
    old++;
  if (old)
    g_array_remove_range(h->lately, 0, old);
}

void fk_hold_returned(FkHold *h, double cpus, FkTime now) {
  fade(h, now);
  h->returned += cpus;
  /* one entry a second is enough: the list is bounded by the time that it covers */
  Went *last = h->lately->len ? &g_array_index(h->lately, Went, h->lately->len - 1) : NULL;
  if (last && fk_time_between(last->at, now) < 1) {
    last->cpus += cpus;
    return;
  }
  Went w = {now, cpus};
  g_array_append_val(h->lately, w);
}

void fk_hold_rented(FkHold *h, double cpus, FkTime now) {
  fade(h, now);
  while (cpus > 0 && h->lately->len) {
    Went *last = &g_array_index(h->lately, Went, h->lately->len - 1);
    double n = MIN(cpus, last->cpus);
    h->again += n;
    cpus -= n;
    last->cpus -= n;
    if (last->cpus <= 0)
      g_array_set_size(h->lately, h->lately->len - 1);
  }
}

double fk_hold_times(FkHold *h, FkTime now) {
  fade(h, now);
  if (h->returned < LEAST)
    return 1;
  return 1 + (FK_HOLD_MOST - 1) * CLAMP(h->again / h->returned / MUCH, 0, 1);
}
