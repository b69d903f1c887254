/* What the view learns of run times and of the arrival of services. */
#include "core/state/view_internal.h"

#define ESTIMATE_MIN_S 0.1 /* shorter estimates teach nothing */
#define CORRECTION_EWMA_WEIGHT 0.08
#define CORRECTION_MIN 0.2
#define CORRECTION_MAX 8.0
#define SERVICE_RATE_INTERVAL_S 1
#define SERVICE_RATE_WINDOW_S 20.0
#define SERVICE_RATE_GROWTH_MAX 2.0 /* an interval counts for so many times the rate at most: bursts pass */
#define SERVICE_RATE_FLOOR 0.5      /* ... and this, services a second */

/* Estimates are biased by class: one ratio a class is learnt from finished tasks. */
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
  if (elapsed_s < SERVICE_RATE_INTERVAL_S)
    return;
  double rate = MIN(v->service_arrivals / elapsed_s,
                    SERVICE_RATE_GROWTH_MAX * v->service_arrival_rate + SERVICE_RATE_FLOOR);
  v->service_arrival_rate += (rate - v->service_arrival_rate) * MIN(1, elapsed_s / SERVICE_RATE_WINDOW_S);
  v->service_arrivals = 0;
  v->service_arrival_rate_updated_at = v->now;
}

double fk_view_expected_run_s(FkView *v, const FkSpec *spec) {
  double *correction = g_hash_table_lookup(v->estimate_corrections, spec->class_name);
  return spec->estimate_s * (correction ? *correction : 1);
}
