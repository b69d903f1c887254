/* Elastic Sizing (Dice, section 3.2): how many machines are blacklisted for newly arrived long jobs, so that
 * short tasks find free capacity there. */
#pragma once
#include "common/types.h"

typedef struct {
  double short_share; /* short tasks' share of allocated time, measured and smoothed; initially 0 */
  double mean_wait_s; /* mean wait of short tasks in the latest window */
  double wait_ratio;  /* mean wait divided by its bound, from 0 to 1 */
  guint floor;        /* machines that correspond to the short tasks' share of the load */
  guint blacklisted;  /* machines blacklisted above `floor`, in proportion to `wait_ratio` */
} FkElasticSizing;

/* Updates the sizing after one window and returns how many machines to blacklist. `sum_s` and `count` are the
 * sum and number of the waits of the window's short tasks; `max_wait_s` is the bound on their mean. `span` is
 * the share of `machines` that may be blacklisted above the floor; `short_allocated_time` and
 * `long_allocated_time` are the allocated time of short and long tasks in the window, in the same unit. */
guint fk_elastic_sizing_update(FkElasticSizing *sizing, double sum_s, guint64 count, double max_wait_s,
                               double span, guint machines, double short_allocated_time,
                               double long_allocated_time);
