/* A model of boot times: how likely a requested instance is to join, and when. It learns from the instances
 * that joined; most do within one and a half boot times, some are late, a few never come.
 *
 * Times are in multiples of the boot time that the cloud states for the instance's type, so that all types
 * teach one model. Pure. */
#pragma once
#include <glib.h>

#define FK_BOOT_TIME_BINS 16

/* By age: how many instances joined, and how many were still awaited. Both decay as new ones are observed. */
typedef struct {
  double joined[FK_BOOT_TIME_BINS];
  double at_risk[FK_BOOT_TIME_BINS];
} FkBootTimeModel;

/* Starts with the distribution that the protocol describes, at the weight of a few instances. */
void fk_boot_time_init(FkBootTimeModel *model);

/* An instance joined at the age of `age` boot times. */
void fk_boot_time_observe_joined(FkBootTimeModel *model, double age);

/* An instance was given up, or is no longer awaited, at that age. */
void fk_boot_time_observe_given_up(FkBootTimeModel *model, double age);

/* The probability that an instance of this age joins within so many boot times more. */
double fk_boot_time_join_probability(const FkBootTimeModel *model, double age, double within);

/* The expected remaining time of an instance of this age, in boot times, if it joins at all. */
double fk_boot_time_remaining(const FkBootTimeModel *model, double age);
