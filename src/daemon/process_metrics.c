#include "daemon/process_metrics.h"

#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <math.h>
#include <time.h>

/* Lateness from 1 ms to 100 s, in steps of a quarter. */
#define BINS 52
#define STEP 1.25

struct FkVitals {
  double window_s;
  gint64 window_end;
  gsl_histogram *late;
  double worst_late_s;
  gint64 turn_ns, longest_ns;
  guint turns, watched;
};

FkVitals *fk_vitals_new(double window_s) {
  FkVitals *v = g_new0(FkVitals, 1);
  double edges[BINS + 1];
  edges[0] = 0;
  for (guint i = 1; i <= BINS; i++)
    edges[i] = 0.001 * pow(STEP, i - 1);
  v->late = gsl_histogram_alloc(BINS);
  gsl_histogram_set_ranges(v->late, edges, BINS + 1);
  v->window_s = window_s;
  v->turn_ns = fk_vitals_clock_ns();
  return v;
}

void fk_vitals_free(FkVitals *v) {
  if (!v)
    return;
  gsl_histogram_free(v->late);
  g_free(v);
}

gint64 fk_vitals_clock_ns(void) {
  struct timespec t;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return (gint64)t.tv_sec * 1000000000 + t.tv_nsec;
}

void fk_vitals_turn_begins(FkVitals *v, gint64 cpu_ns) { v->turn_ns = cpu_ns; }

void fk_vitals_turn_ends(FkVitals *v, gint64 cpu_ns, guint watched) {
  v->longest_ns = MAX(v->longest_ns, cpu_ns - v->turn_ns);
  v->watched = MAX(v->watched, watched);
  v->turns++;
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

static void report(FkVitals *v) {
  struct mallinfo2 m = mallinfo2();
  g_info("vitals: %u turns, the longest %.1f ms of processor time, at most %u sockets watched; ticks late by "
         "%.0f ms (p50), %.0f ms (p99), "
         "%.0f ms (worst); heap %.1f MB used, %.1f MB held",
         v->turns, (double)v->longest_ns / 1e6, v->watched, 1e3 * quantile(v->late, 0.5),
         1e3 * quantile(v->late, 0.99), 1e3 * v->worst_late_s, (double)(m.uordblks + m.hblkhd) / 1e6,
         (double)(m.arena + m.hblkhd) / 1e6);
  gsl_histogram_reset(v->late);
  v->worst_late_s = 0;
  v->longest_ns = 0;
  v->turns = v->watched = 0;
}

void fk_vitals_tick(FkVitals *v, double late_s) {
  gsl_histogram_increment(v->late, CLAMP(late_s, 0, 100));
  v->worst_late_s = MAX(v->worst_late_s, late_s);
  gint64 now = g_get_monotonic_time();
  if (now < v->window_end)
    return;
  if (v->window_end)
    report(v);
  v->window_end = now + (gint64)(v->window_s * 1e6);
}
