#include "core/scheduling/elastic_sizing.h"

#include <math.h>

guint fk_elastic_sizing_update(FkElasticSizing *s, double sum_s, guint64 count, double max_wait_s,
                               double span, guint machines, double short_time, double long_time) {
  s->mean_wait_s = count ? sum_s / (double)count : 0;
  /* the Linear model, and everything above the bound */
  s->wait_ratio = CLAMP(s->mean_wait_s / max_wait_s, 0.0, 1.0);
  s->blacklisted = (guint)lround(s->wait_ratio * span * machines);
  if (short_time + long_time > 0) {
    double share = short_time / (short_time + long_time);
    s->short_share += 0.3 * (share - s->short_share);
  }
  s->floor = (guint)floor(s->short_share * machines);
  return MIN(machines, s->floor + s->blacklisted);
}
