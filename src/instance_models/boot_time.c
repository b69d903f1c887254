/* A Kaplan-Meier estimator over bins of age, with exponential decay. */
#include "instance_models/boot_time.h"

#include <math.h>

#define BIN_WIDTH 0.25     /* boot times; the last bin has all that came later */
#define DECAY_FACTOR 0.995 /* with each instance: the last few hundred count */
#define PRIOR_WEIGHT 20.0  /* instances */
#define PRIOR_LATE_SHARE 0.1
#define PRIOR_NEVER_SHARE 0.02
#define WEIGHT_EPSILON 1e-9

static guint bin_index(double age) { return (guint)CLAMP(floor(age / BIN_WIDTH), 0, FK_BOOT_TIME_BINS - 1); }

static double bin_start(guint bin) { return bin * BIN_WIDTH; }

/* Instances that were given up count as being at risk for as long as they were awaited. */
static void observe(FkBootTimeModel *model, double age, gboolean joined, double weight) {
  guint last = bin_index(age);
  for (guint i = 0; i <= last; i++)
    model->at_risk[i] += weight;
  if (joined)
    model->joined[last] += weight;
}

void fk_boot_time_init(FkBootTimeModel *model) {
  /* The prior has late instances: without them, one that takes three boot times would always be given up
   * before, and it would never be learnt that such instances join. */
  static const double usual[] = {0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4};
  static const double late[] = {2.0, 2.5, 3.0, 3.7};
  *model = (FkBootTimeModel){0};
  for (guint i = 0; i < G_N_ELEMENTS(usual); i++)
    observe(model, usual[i], TRUE,
            PRIOR_WEIGHT * (1 - PRIOR_LATE_SHARE - PRIOR_NEVER_SHARE) / G_N_ELEMENTS(usual));
  for (guint i = 0; i < G_N_ELEMENTS(late); i++)
    observe(model, late[i], TRUE, PRIOR_WEIGHT * PRIOR_LATE_SHARE / G_N_ELEMENTS(late));
  observe(model, FK_BOOT_TIME_BINS * BIN_WIDTH, FALSE, PRIOR_WEIGHT * PRIOR_NEVER_SHARE);
}

static void decay(FkBootTimeModel *model) {
  for (guint i = 0; i < FK_BOOT_TIME_BINS; i++) {
    model->joined[i] *= DECAY_FACTOR;
    model->at_risk[i] *= DECAY_FACTOR;
  }
}

void fk_boot_time_observe_joined(FkBootTimeModel *model, double age) {
  decay(model);
  observe(model, age, TRUE, 1);
}

void fk_boot_time_observe_given_up(FkBootTimeModel *model, double age) {
  decay(model);
  observe(model, age, FALSE, 1);
}

/* The probability that an instance awaited at the bin's start joins in it. */
static double hazard(const FkBootTimeModel *model, guint bin) {
  return model->at_risk[bin] > WEIGHT_EPSILON ? MIN(1, model->joined[bin] / model->at_risk[bin]) : 0;
}

double fk_boot_time_join_probability(const FkBootTimeModel *model, double age, double within) {
  double survival = 1; /* not joined yet */
  guint last = bin_index(age + within);
  for (guint i = bin_index(age); i <= last; i++)
    survival *= 1 - hazard(model, i);
  return 1 - survival;
}

double fk_boot_time_remaining(const FkBootTimeModel *model, double age) {
  double survival = 1, weighted = 0, joined = 0;
  for (guint i = bin_index(age); i < FK_BOOT_TIME_BINS; i++) {
    double joins = survival * hazard(model, i);
    weighted += joins * MAX(BIN_WIDTH / 2, bin_start(i) + BIN_WIDTH / 2 - age);
    joined += joins;
    survival -= joins;
  }
  return joined > WEIGHT_EPSILON ? weighted / joined : FK_BOOT_TIME_BINS * BIN_WIDTH;
}
