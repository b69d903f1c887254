#include "simulation/scale/metrics_reader.h"

#include <string.h>

#define PEAK_WINDOW_LINES 10U /* a line per second */

void fk_metrics_clear(FkMetrics *metrics) { g_ptr_array_unref(metrics->lines); }

gboolean fk_metrics_read(const FkScalePlan *plan, const char *name, FkMetrics *metrics, GError **error) {
  g_autofree char *base = g_strconcat(name, ".jsonl", NULL),
                  *path = g_build_filename(plan->output_dir, base, NULL), *text = NULL;
  metrics->lines = g_ptr_array_new_with_free_func((GDestroyNotify)cJSON_Delete);
  if (!g_file_get_contents(path, &text, NULL, error))
    return FALSE;
  g_auto(GStrv) rows = g_strsplit(text, "\n", -1);
  for (char **row = rows; *row; row++) {
    cJSON *line = **row ? fk_json_parse(*row, strlen(*row)) : NULL;
    if (line)
      g_ptr_array_add(metrics->lines, line);
  }
  return TRUE;
}

static double line_time_s(const cJSON *line) { return fk_json_num_or(line, "second", 0); }

/* The last line at or before that time, or the first; NULL when there are no lines. */
static const cJSON *line_at(const FkMetrics *metrics, double time_s) {
  const GPtrArray *lines = metrics->lines;
  const cJSON *found = lines->len ? lines->pdata[0] : NULL;
  for (guint i = 0; i < lines->len && line_time_s(lines->pdata[i]) <= time_s; i++)
    found = lines->pdata[i];
  return found;
}

static double rate_between(const cJSON *from, const cJSON *to, const char *name) {
  double seconds = line_time_s(to) - line_time_s(from);
  return seconds > 0 ? (fk_json_num_or(to, name, 0) - fk_json_num_or(from, name, 0)) / seconds : 0;
}

double fk_metrics_rate(const FkMetrics *metrics, const char *name, double from_s, double to_s) {
  return rate_between(line_at(metrics, from_s), line_at(metrics, to_s), name);
}

double fk_metrics_mean(const FkMetrics *metrics, const char *name, double from_s, double to_s) {
  double sum = 0;
  guint count = 0;
  for (guint i = 0; i < metrics->lines->len; i++) {
    const cJSON *line = metrics->lines->pdata[i];
    if (line_time_s(line) < from_s || line_time_s(line) > to_s)
      continue;
    sum += fk_json_num_or(line, name, 0);
    count++;
  }
  return count ? sum / count : 0;
}

double fk_metrics_max(const FkMetrics *metrics, const char *name) {
  double max = 0;
  for (guint i = 0; i < metrics->lines->len; i++)
    max = MAX(max, fk_json_num_or(metrics->lines->pdata[i], name, 0));
  return max;
}

double fk_metrics_peak_cpu(const FkMetrics *metrics) {
  const GPtrArray *lines = metrics->lines;
  double peak = 0;
  for (guint i = PEAK_WINDOW_LINES; i < lines->len; i++)
    peak = MAX(peak, rate_between(lines->pdata[i - PEAK_WINDOW_LINES], lines->pdata[i], "processor_s"));
  return peak;
}
