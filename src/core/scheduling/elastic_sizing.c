#include "core/scheduling/elastic_sizing.h"

#include <math.h>

#define SHORT_SHARE_SMOOTHING 0.3 /* weight of the latest window in `short_share` */

guint fk_elastic_sizing_update(FkElasticSizing *sizing, double sum_s, guint64 count, double max_wait_s,
                               double span, guint machines, double short_allocated_time,
                               double long_allocated_time) {
  sizing->mean_wait_s = count ? sum_s / (double)count : 0;
  /* the Linear model of the Dice paper; a mean wait above `max_wait_s` counts as `max_wait_s` */
  sizing->wait_ratio = CLAMP(sizing->mean_wait_s / max_wait_s, 0.0, 1.0);
  sizing->blacklisted = (guint)lround(sizing->wait_ratio * span * machines);
  if (short_allocated_time + long_allocated_time > 0) {
    double share = short_allocated_time / (short_allocated_time + long_allocated_time);
    sizing->short_share += SHORT_SHARE_SMOOTHING * (share - sizing->short_share);
  }
  sizing->floor = (guint)floor(sizing->short_share * machines);
  return MIN(machines, sizing->floor + sizing->blacklisted);
}
