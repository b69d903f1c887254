/* Elastic Sizing (Dice, section 3.2): how many machines are closed to newly arrived long jobs. */
#pragma once
#include "core/types.h"

typedef struct {
  double short_share; /* measured: the short tasks' part of booked time, smoothed; zero at start */
  double mean_wait_s;
  double wait_ratio;
  guint floor, blacklisted;
} FkElasticSizing;

/* One window's decision. `span` is a share of `machines`; `short_time` and `long_time` are what was booked in
 * the window. Returns how many machines to close: the floor, and above it p times the span. */
guint fk_elastic_sizing_update(FkElasticSizing *s, double sum_s, guint64 count, double max_wait_s,
                               double span, guint machines, double short_time, double long_time);
