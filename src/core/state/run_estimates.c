/* Estimates of run times and of the arrival rate of services, learned from the jobs in the view. */
#include "core/state/view_internal.h"

#define ESTIMATE_MIN_S 0.1 /* jobs with a shorter estimate are ignored */
#define CORRECTION_EWMA_WEIGHT 0.08
#define CORRECTION_MIN 0.2
#define CORRECTION_MAX 8.0
#define ARRIVAL_RATE_INTERVAL_S 1
#define ARRIVAL_RATE_WINDOW_S 20.0
/* Limits how far a burst raises the rate: an interval counts as at most this multiple of the current rate,
 * plus ARRIVAL_RATE_FLOOR tasks per second. */
#define ARRIVAL_RATE_GROWTH_MAX 2.0
#define ARRIVAL_RATE_FLOOR 0.5

/* Users' estimates are biased, and the bias depends on the class. The correction factor of a class is an
 * exponential moving average over completed tasks. */
void fk_view_learn_run_time(FkView *v, const FkSpec *spec, double took_s) {
  if (spec->shape == FK_SHAPE_SERVICE || spec->estimate_s < ESTIMATE_MIN_S)
    return;
  v->finished_run_s += took_s;
  v->finished_count++;
  double ratio = CLAMP(took_s / spec->estimate_s, CORRECTION_MIN, CORRECTION_MAX);
  double *correction = g_hash_table_lookup(v->estimate_corrections, spec->class_name);
  if (!correction) {
    correction = g_new(double, 1);
    *correction = 1;
    g_hash_table_insert(v->estimate_corrections, g_strdup(spec->class_name), correction);
  }
  *correction += CORRECTION_EWMA_WEIGHT * (ratio - *correction);
}

void fk_view_update_service_arrival_rate(FkView *v) {
  double elapsed_s = fk_time_between(v->service_arrival_rate_updated_at, v->now);
  if (elapsed_s < ARRIVAL_RATE_INTERVAL_S)
    return;
  double rate = MIN(v->service_arrivals / elapsed_s,
                    ARRIVAL_RATE_GROWTH_MAX * v->service_arrival_rate + ARRIVAL_RATE_FLOOR);
  v->service_arrival_rate += (rate - v->service_arrival_rate) * MIN(1, elapsed_s / ARRIVAL_RATE_WINDOW_S);
  v->service_arrivals = 0;
  v->service_arrival_rate_updated_at = v->now;
}

double fk_view_expected_run_s(FkView *v, const FkSpec *spec) {
  double *correction = g_hash_table_lookup(v->estimate_corrections, spec->class_name);
  return spec->estimate_s * (correction ? *correction : 1);
}
