/* Elastic Sizing (Dice, section 3.2): how many machines are blacklisted for newly arrived long jobs, so that
 * short tasks find room there. */
#pragma once
#include "common/types.h"

typedef struct {
  double short_share; /* measured: the short tasks' part of allocated time, smoothed; zero at start */
  double mean_wait_s; /* of short tasks, in the latest window */
  double wait_ratio;  /* of the mean wait to its bound; from 0 to 1 */
  guint floor;        /* machines that the short tasks' share of the load stands for ... */
  guint blacklisted;  /* ... and those above it, by the wait ratio */
} FkElasticSizing;

/* Decides for one window. `sum_s` and `count` are its short tasks' waits, `max_wait_s` the bound on their
 * mean. `span` is the share of `machines` that may be blacklisted above the floor; `short_time` and
 * `long_time` are what was allocated in the window, in any one unit. Returns how many machines to
 * blacklist. */
guint fk_elastic_sizing_update(FkElasticSizing *sizing, double sum_s, guint64 count, double max_wait_s,
                               double span, guint machines, double short_time, double long_time);
