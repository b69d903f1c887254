/* Elastic Sizing (Dice, section 3.2): computes how many machines are blacklisted for newly arrived long jobs,
 * so that short tasks find free capacity on these machines. */
#pragma once
#include "common/types.h"

typedef struct {
  double short_share; /* short tasks' share of allocated time, smoothed over the windows; initially 0 */
  double mean_wait_s; /* mean wait of short tasks in the latest window */
  double wait_ratio;  /* `mean_wait_s` divided by its bound, at most 1 */
  guint floor;        /* number of machines that corresponds to `short_share` */
  guint blacklisted;  /* machines blacklisted in addition to `floor`, in proportion to `wait_ratio` */
} FkElasticSizing;

/* Updates the sizing after one window and returns how many machines to blacklist. `sum_s` and `count` are the
 * sum and number of the waits of short tasks in the window; `max_wait_s` is the bound on their mean. `span`
 * is the share of `machines` that may be blacklisted in addition to `floor`. `short_allocated_time` and
 * `long_allocated_time` are the allocated time of short and long tasks in the window, in the same unit. */
guint fk_elastic_sizing_update(FkElasticSizing *sizing, double sum_s, guint64 count, double max_wait_s,
                               double span, guint machines, double short_allocated_time,
                               double long_allocated_time);
