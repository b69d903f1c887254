#include "daemon/process_metrics.h"

#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <math.h>
#include <time.h>

/* Lateness from 1 ms to 100 s, in steps of a quarter. */
#define LATENESS_BINS 52
#define LATENESS_BIN_RATIO 1.25

struct FkProcessMetrics {
  double window_s;
  gint64 window_end;
  gsl_histogram *lateness;
  double worst_lateness_s;
  gint64 iteration_start_ns, longest_iteration_ns;
  guint iterations, polled_max;
};

FkProcessMetrics *fk_process_metrics_new(double window_s) {
  FkProcessMetrics *v = g_new0(FkProcessMetrics, 1);
  double edges[LATENESS_BINS + 1];
  edges[0] = 0;
  for (guint i = 1; i <= LATENESS_BINS; i++)
    edges[i] = 0.001 * pow(LATENESS_BIN_RATIO, i - 1);
  v->lateness = gsl_histogram_alloc(LATENESS_BINS);
  gsl_histogram_set_ranges(v->lateness, edges, LATENESS_BINS + 1);
  v->window_s = window_s;
  v->iteration_start_ns = fk_process_metrics_cpu_ns();
  return v;
}

void fk_process_metrics_free(FkProcessMetrics *v) {
  if (!v)
    return;
  gsl_histogram_free(v->lateness);
  g_free(v);
}

gint64 fk_process_metrics_cpu_ns(void) {
  struct timespec t;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return (gint64)t.tv_sec * 1000000000 + t.tv_nsec;
}

void fk_process_metrics_iteration_begin(FkProcessMetrics *v, gint64 cpu_ns) {
  v->iteration_start_ns = cpu_ns;
}

void fk_process_metrics_iteration_end(FkProcessMetrics *v, gint64 cpu_ns, guint watched) {
  v->longest_iteration_ns = MAX(v->longest_iteration_ns, cpu_ns - v->iteration_start_ns);
  v->polled_max = MAX(v->polled_max, watched);
  v->iterations++;
}

/* The upper edge of the bin in which that share of the ticks ends. */
static double quantile(const gsl_histogram *h, double share) {
  double all = gsl_histogram_sum(h), sum = 0, low = 0, high = 0;
  for (gsize i = 0; i < gsl_histogram_bins(h) && sum < share * all; i++) {
    sum += gsl_histogram_get(h, i);
    gsl_histogram_get_range(h, i, &low, &high);
  }
  return high;
}

static void log_window(FkProcessMetrics *v) {
  struct mallinfo2 m = mallinfo2();
  g_info("vitals: %u turns, the longest %.1f ms of processor time, at most %u sockets watched; ticks late by "
         "%.0f ms (p50), %.0f ms (p99), "
         "%.0f ms (worst); heap %.1f MB used, %.1f MB held",
         v->iterations, (double)v->longest_iteration_ns / 1e6, v->polled_max,
         1e3 * quantile(v->lateness, 0.5), 1e3 * quantile(v->lateness, 0.99), 1e3 * v->worst_lateness_s,
         (double)(m.uordblks + m.hblkhd) / 1e6, (double)(m.arena + m.hblkhd) / 1e6);
  gsl_histogram_reset(v->lateness);
  v->worst_lateness_s = 0;
  v->longest_iteration_ns = 0;
  v->iterations = v->polled_max = 0;
}

void fk_process_metrics_timer_fired(FkProcessMetrics *v, double late_s) {
  gsl_histogram_increment(v->lateness, CLAMP(late_s, 0, 100));
  v->worst_lateness_s = MAX(v->worst_lateness_s, late_s);
  gint64 now = g_get_monotonic_time();
  if (now < v->window_end)
    return;
  if (v->window_end)
    log_window(v);
  v->window_end = now + (gint64)(v->window_s * 1e6);
}
