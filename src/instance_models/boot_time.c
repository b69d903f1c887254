#include "instance_models/boot_time.h"

#include <math.h>

#define BIN 0.25   /* boot times; the last bin has all that came later */
#define FADE 0.995 /* with each machine: the last few hundred count */
#define PRIOR 20.0 /* machines' worth of what the cloud's description promises */
#define PRIOR_LATE 0.1
#define PRIOR_NEVER 0.02

static guint bin_of(double ratio) { return (guint)CLAMP(floor(ratio / BIN), 0, FK_BOOT_BINS - 1); }

static double age_of(guint bin) { return bin * BIN; }

/* An estimate by the chance to come in each bin of those that were still awaited in it (Kaplan and Meier
 * 1958): machines that were given up count for as long as they were waited for. */
static void learn(FkBoots *b, double ratio, gboolean came, double weight) {
  guint last = bin_of(ratio);
  for (guint i = 0; i <= last; i++)
    b->awaited[i] += weight;
  if (came)
    b->came[last] += weight;
}

void fk_boots_init(FkBoots *b) {
  *b = (FkBoots){0};
  /* 0.6 to 1.5 boot times, some several, a few never. Were none expected so late, who comes three times as
   * late would always be given up before, and that it comes would never be learnt. */
  static const double usual[] = {0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4}, late[] = {2.0, 2.5, 3.0, 3.7};
  for (guint i = 0; i < G_N_ELEMENTS(usual); i++)
    learn(b, usual[i], TRUE, PRIOR * (1 - PRIOR_LATE - PRIOR_NEVER) / G_N_ELEMENTS(usual));
  for (guint i = 0; i < G_N_ELEMENTS(late); i++)
    learn(b, late[i], TRUE, PRIOR * PRIOR_LATE / G_N_ELEMENTS(late));
  learn(b, FK_BOOT_BINS * BIN, FALSE, PRIOR * PRIOR_NEVER);
}

static void fade(FkBoots *b) {
  for (guint i = 0; i < FK_BOOT_BINS; i++) {
    b->came[i] *= FADE;
    b->awaited[i] *= FADE;
  }
}

void fk_boots_came(FkBoots *b, double ratio) {
  fade(b);
  learn(b, ratio, TRUE, 1);
}

void fk_boots_missed(FkBoots *b, double ratio) {
  fade(b);
  learn(b, ratio, FALSE, 1);
}

static double hazard(const FkBoots *b, guint bin) {
  return b->awaited[bin] > 1e-9 ? MIN(1, b->came[bin] / b->awaited[bin]) : 0;
}

double fk_boots_chance(const FkBoots *b, double age, double within) {
  double stays = 1;
  guint last = bin_of(age + within);
  for (guint i = bin_of(age); i <= last; i++)
    stays *= 1 - hazard(b, i);
  return 1 - stays;
}

double fk_boots_left(const FkBoots *b, double age) {
  double stays = 1, sum = 0, came = 0;
  for (guint i = bin_of(age); i < FK_BOOT_BINS; i++) {
    double now = stays * hazard(b, i);
    sum += now * MAX(BIN / 2, age_of(i) + BIN / 2 - age);
    came += now;
    stays -= now;
  }
  return came > 1e-9 ? sum / came : FK_BOOT_BINS * BIN;
}
