#include "daemon/process_metrics.h"

#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <math.h>
#include <time.h>

/* Bins of the timer's lateness, up to 88 s. The first bin ends at 1 ms. Each further bin ends at 1.25 times
 * the end of the previous bin. */
#define LATENESS_BINS 52
#define LATENESS_BIN_RATIO 1.25
#define LATENESS_MIN_S 0.001
#define LATENESS_MAX_S 100

struct FkProcessMetrics {
  double window_s;
  gint64 window_end_us; /* monotonic time of the end of the current window; 0 before the first window */
  gsl_histogram *lateness;
  double worst_lateness_s;
  gint64 iteration_start_ns, longest_iteration_ns;
  guint iterations, polled_max;
};

FkProcessMetrics *fk_process_metrics_new(double window_s) {
  FkProcessMetrics *metrics = g_new0(FkProcessMetrics, 1);
  double edges[LATENESS_BINS + 1];
  edges[0] = 0;
  for (guint i = 1; i <= LATENESS_BINS; i++)
    edges[i] = LATENESS_MIN_S * pow(LATENESS_BIN_RATIO, i - 1);
  metrics->lateness = gsl_histogram_alloc(LATENESS_BINS);
  gsl_histogram_set_ranges(metrics->lateness, edges, LATENESS_BINS + 1);
  metrics->window_s = window_s;
  metrics->iteration_start_ns = fk_process_metrics_cpu_ns();
  return metrics;
}

void fk_process_metrics_free(FkProcessMetrics *metrics) {
  if (!metrics)
    return;
  gsl_histogram_free(metrics->lateness);
  g_free(metrics);
}

gint64 fk_process_metrics_cpu_ns(void) {
  struct timespec t;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return (gint64)t.tv_sec * 1000000000 + t.tv_nsec;
}

void fk_process_metrics_iteration_begin(FkProcessMetrics *metrics, gint64 cpu_ns) {
  metrics->iteration_start_ns = cpu_ns;
}

void fk_process_metrics_iteration_end(FkProcessMetrics *metrics, gint64 cpu_ns, guint polled) {
  metrics->longest_iteration_ns = MAX(metrics->longest_iteration_ns, cpu_ns - metrics->iteration_start_ns);
  metrics->polled_max = MAX(metrics->polled_max, polled);
  metrics->iterations++;
}

/* Returns the upper edge of the bin in which the `fraction` quantile lies; 0 if the histogram is empty. */
static double quantile(const gsl_histogram *histogram, double fraction) {
  double total = gsl_histogram_sum(histogram), sum = 0, low = 0, high = 0;
  for (gsize i = 0; i < gsl_histogram_bins(histogram) && sum < fraction * total; i++) {
    sum += gsl_histogram_get(histogram, i);
    gsl_histogram_get_range(histogram, i, &low, &high);
  }
  return high;
}

static void log_window(const FkProcessMetrics *metrics) {
  struct mallinfo2 heap = mallinfo2();
  g_info("process iterations=%u longest_iteration_cpu_ms=%.1f polled_max=%u tick_late_ms_p50=%.0f "
         "tick_late_ms_p99=%.0f tick_late_ms_max=%.0f heap_used_mb=%.1f heap_held_mb=%.1f",
         metrics->iterations, (double)metrics->longest_iteration_ns / 1e6, metrics->polled_max,
         1e3 * quantile(metrics->lateness, 0.5), 1e3 * quantile(metrics->lateness, 0.99),
         1e3 * metrics->worst_lateness_s, (double)(heap.uordblks + heap.hblkhd) / 1e6,
         (double)(heap.arena + heap.hblkhd) / 1e6);
}

static void begin_window(FkProcessMetrics *metrics) {
  gsl_histogram_reset(metrics->lateness);
  metrics->worst_lateness_s = 0;
  metrics->longest_iteration_ns = 0;
  metrics->iterations = metrics->polled_max = 0;
}

void fk_process_metrics_timer_fired(FkProcessMetrics *metrics, double late_s) {
  gsl_histogram_increment(metrics->lateness, CLAMP(late_s, 0, LATENESS_MAX_S));
  metrics->worst_lateness_s = MAX(metrics->worst_lateness_s, late_s);
  gint64 now_us = g_get_monotonic_time();
  if (now_us < metrics->window_end_us)
    return;
  if (metrics->window_end_us) {
    log_window(metrics);
    begin_window(metrics);
  }
  metrics->window_end_us = now_us + (gint64)(metrics->window_s * 1e6);
}
