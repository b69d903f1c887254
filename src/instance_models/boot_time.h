/* When a rented machine will be up, learnt from those that came: most within one and a half boot times, some
 * late, a few never. Times are in boot times of the machine's type, so that all types teach together. Pure.
 */
#pragma once
#include <glib.h>

#define FK_BOOT_TIME_BINS 16

/* How many came at which age, and how many were still awaited then; both fade as new ones come. */
typedef struct {
  double joined[FK_BOOT_TIME_BINS];
  double at_risk[FK_BOOT_TIME_BINS];
} FkBootTimeModel;

/* What PROTOCOL says of boots, worth a few machines' experience. */
void fk_boot_time_init(FkBootTimeModel *b);
/* One came `ratio` boot times after it was rented. */
void fk_boot_time_observe_joined(FkBootTimeModel *b, double ratio);
/* One was given up, or is waited for no longer, at that age. */
void fk_boot_time_observe_given_up(FkBootTimeModel *b, double ratio);
/* The chance that one of this age comes within so many boot times more. */
double fk_boot_time_probability(const FkBootTimeModel *b, double age, double within);
/* How much longer one of this age takes, if it comes, in boot times. */
double fk_boot_time_remaining(const FkBootTimeModel *b, double age);
