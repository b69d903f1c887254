/* Reads the metrics log of a process after a run. */
#pragma once
#include "simulation/scale/plan.h"

typedef struct {
  GPtrArray *lines; /* cJSON objects, by time */
} FkMetrics;

/* Releases what fk_metrics_read() allocated. */
void fk_metrics_clear(FkMetrics *metrics);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(FkMetrics, fk_metrics_clear)
/* Reads `name`.jsonl of the run; malformed lines are skipped. FALSE with an error when it can't be read. */
gboolean fk_metrics_read(const FkScalePlan *plan, const char *name, FkMetrics *metrics, GError **error);
/* Growth of a counter per second between two times (seconds after the start); 0 without two lines. */
double fk_metrics_rate(const FkMetrics *metrics, const char *name, double from_s, double to_s);
/* Mean of a gauge between two times; 0 without a line. */
double fk_metrics_mean(const FkMetrics *metrics, const char *name, double from_s, double to_s);
/* Maximum of a gauge over the whole run. */
double fk_metrics_max(const FkMetrics *metrics, const char *name);
/* Highest CPU use over ten seconds, in cores. */
double fk_metrics_peak_cpu(const FkMetrics *metrics);
