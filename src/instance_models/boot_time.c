#include "instance_models/boot_time.h"

#include <math.h>

#define BIN_WIDTH 0.25     /* boot times; the last bin has all that came later */
#define DECAY_FACTOR 0.995 /* with each machine: the last few hundred count */
#define PRIOR_WEIGHT 20.0  /* machines' worth of what the cloud's description promises */
#define PRIOR_LATE_SHARE 0.1
#define PRIOR_NEVER_SHARE 0.02

static guint bin_index(double ratio) {
  return (guint)CLAMP(floor(ratio / BIN_WIDTH), 0, FK_BOOT_TIME_BINS - 1);
}

static double bin_start(guint bin) { return bin * BIN_WIDTH; }

/* An estimate by the chance to come in each bin of those that were still awaited in it (Kaplan and Meier
 * 1958): machines that were given up count for as long as they were waited for. */
static void observe(FkBootTimeModel *b, double ratio, gboolean came, double weight) {
  guint last = bin_index(ratio);
  for (guint i = 0; i <= last; i++)
    b->at_risk[i] += weight;
  if (came)
    b->joined[last] += weight;
}

void fk_boot_time_init(FkBootTimeModel *b) {
  *b = (FkBootTimeModel){0};
  /* 0.6 to 1.5 boot times, some several, a few never. Were none expected so late, who comes three times as
   * late would always be given up before, and that it comes would never be learnt. */
  static const double usual[] = {0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4}, late[] = {2.0, 2.5, 3.0, 3.7};
  for (guint i = 0; i < G_N_ELEMENTS(usual); i++)
    observe(b, usual[i], TRUE,
            PRIOR_WEIGHT * (1 - PRIOR_LATE_SHARE - PRIOR_NEVER_SHARE) / G_N_ELEMENTS(usual));
  for (guint i = 0; i < G_N_ELEMENTS(late); i++)
    observe(b, late[i], TRUE, PRIOR_WEIGHT * PRIOR_LATE_SHARE / G_N_ELEMENTS(late));
  observe(b, FK_BOOT_TIME_BINS * BIN_WIDTH, FALSE, PRIOR_WEIGHT * PRIOR_NEVER_SHARE);
}

static void decay(FkBootTimeModel *b) {
  for (guint i = 0; i < FK_BOOT_TIME_BINS; i++) {
    b->joined[i] *= DECAY_FACTOR;
    b->at_risk[i] *= DECAY_FACTOR;
  }
}

void fk_boot_time_observe_joined(FkBootTimeModel *b, double ratio) {
  decay(b);
  observe(b, ratio, TRUE, 1);
}

void fk_boot_time_observe_given_up(FkBootTimeModel *b, double ratio) {
  decay(b);
  observe(b, ratio, FALSE, 1);
}

static double hazard(const FkBootTimeModel *b, guint bin) {
  return b->at_risk[bin] > 1e-9 ? MIN(1, b->joined[bin] / b->at_risk[bin]) : 0;
}

double fk_boot_time_probability(const FkBootTimeModel *b, double age, double within) {
  double stays = 1;
  guint last = bin_index(age + within);
  for (guint i = bin_index(age); i <= last; i++)
    stays *= 1 - hazard(b, i);
  return 1 - stays;
}

double fk_boot_time_remaining(const FkBootTimeModel *b, double age) {
  double stays = 1, sum = 0, came = 0;
  for (guint i = bin_index(age); i < FK_BOOT_TIME_BINS; i++) {
    double now = stays * hazard(b, i);
    sum += now * MAX(BIN_WIDTH / 2, bin_start(i) + BIN_WIDTH / 2 - age);
    came += now;
    stays -= now;
  }
  return came > 1e-9 ? sum / came : FK_BOOT_TIME_BINS * BIN_WIDTH;
}
