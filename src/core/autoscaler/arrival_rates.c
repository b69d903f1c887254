/* Estimates the arrival rate of the services of each class. The autoscaler provisions headroom for the
 * expected arrivals. */
#include "core/autoscaler/autoscaler_internal.h"

#define TIME_CONSTANT_S 30.0 /* time constant of the smoothing of the rates */
#define INITIAL_PER_S 0.02   /* first estimate of a class's rate */
/* Before smoothing, the measured rate is limited to this multiple of the estimate, plus one per second, so
 * that an initial burst doesn't dominate the estimate. */
#define GROWTH_MAX 2.0
/* Services first seen before a change of leadership, or within this time after it, aren't counted: they
 * probably arrived before the change. */
#define LEADER_STABLE_S 1

static FkArrivalRate *rate_of_class(FkAutoscaler *a, const FkJob *job) {
  FkArrivalRate *rate = g_hash_table_lookup(a->arrival_rates, job->spec->class_name);
  if (!rate) {
    rate = g_new0(FkArrivalRate, 1);
    rate->spec = fk_spec_ref(job->spec);
    rate->per_s = INITIAL_PER_S;
    g_hash_table_insert(a->arrival_rates, g_strdup(job->spec->class_name), rate);
  }
  return rate;
}

static void count_arrivals(FkController *c) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  gint64 stable_us = c->leader.since.us + LEADER_STABLE_S * G_USEC_PER_SEC;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkJob *job = value;
    if (job->spec->shape != FK_SHAPE_SERVICE || job->first_seen_at.us <= a->arrivals_counted_at.us)
      continue;
    FkArrivalRate *rate = rate_of_class(a, job);
    if (job->first_seen_at.us <= stable_us)
      continue;
    rate->arrivals++;
    fk_spec_unref(rate->spec);
    rate->spec = fk_spec_ref(job->spec);
  }
  a->arrivals_counted_at = c->now;
}

void fk_autoscaler_update_arrival_rates(FkController *c, double interval_s) {
  count_arrivals(c);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->autoscaling.autoscaler->arrival_rates);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkArrivalRate *rate = value;
    double measured = MIN(rate->arrivals / interval_s, GROWTH_MAX * rate->per_s + 1);
    rate->per_s += (measured - rate->per_s) * MIN(1, interval_s / TIME_CONSTANT_S);
    rate->arrivals = 0;
  }
}
