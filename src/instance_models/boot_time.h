/* A model of boot times: how likely a requested instance is to join, and when. The model is updated with each
 * instance that joins or is given up. Most instances join within one and a half boot times, some are late,
 * and a few never join.
 *
 * Times are in multiples of the boot time that the cloud states for the instance's type, so that one model
 * serves all types. The functions have no side effects besides changing the model. */
#pragma once
#include <glib.h>

#define FK_BOOT_TIME_BINS 16

/* Decaying counts of observed instances by bin of age. `joined[i]` counts the instances that joined at an age
 * in bin i. `at_risk[i]` counts the instances that reached bin i without having joined earlier. Each new
 * observation first multiplies all counts by DECAY_FACTOR. */
typedef struct {
  double joined[FK_BOOT_TIME_BINS];
  double at_risk[FK_BOOT_TIME_BINS];
} FkBootTimeModel;

/* Initializes the model with a prior: the distribution of boot times that the cloud's protocol describes,
 * with the weight of PRIOR_WEIGHT instances. */
void fk_boot_time_init(FkBootTimeModel *model);

/* Records that an instance joined at the age of `age` boot times. */
void fk_boot_time_observe_joined(FkBootTimeModel *model, double age);

/* Records that an instance that hadn't joined was given up at the age of `age` boot times. */
void fk_boot_time_observe_given_up(FkBootTimeModel *model, double age);

/* Returns the probability that an instance that hasn't joined at the age of `age` boot times joins within
 * `within` further boot times. */
double fk_boot_time_join_probability(const FkBootTimeModel *model, double age, double within);

/* Returns the expected remaining time, in boot times, until an instance of the age of `age` boot times joins,
 * given that it joins at all; the total width of all bins if the model has no instance that joined at that
 * age or later. */
double fk_boot_time_remaining(const FkBootTimeModel *model, double age);
