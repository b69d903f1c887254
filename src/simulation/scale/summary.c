#include "simulation/scale/summary.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <string.h>

#include "daemon/log.h"
#include "simulation/scale/addresses.h"
#include "simulation/scale/check_rules.h"
#include "simulation/scale/metrics_reader.h"
#include "simulation/scale/workload.h"

#define URGENT_START_S_MAX 1.8
#define RUNNING_SHARE_MIN                                                                                    \
  0.85 /* of the tasks that the load keeps running: less, and the region didn't fill */
#define STARTED_SHARE_MIN 0.85 /* of the tasks submitted per second */
#define SETTLE_S 5.0           /* jobs submitted so late in the window are not judged */

/* ------------------------------------------------------------------ one region */

typedef struct {
  const FkScalePlan *plan;
  guint number;
  double from_s, to_s; /* the measured window */
  cJSON *json;
  FkScaleSummary *summary;
} Region;

static void add_failure(FkScaleSummary *summary, char *text /* taken */) {
  g_ptr_array_add(summary->failures, text);
}

static void add_rates(Region *region, const FkMetrics *metrics, const char *const *names) {
  for (; *names; names++)
    cJSON_AddNumberToObject(region->json, *names,
                            fk_metrics_rate(metrics, *names, region->from_s, region->to_s));
}

static gboolean add_process(Region *region, const char *kind, FkMetrics *metrics, GError **error) {
  g_autofree char *name = g_strdup_printf("%s-%u", kind, region->number),
                  *share = g_strdup_printf("%s_core_share", kind),
                  *memory = g_strdup_printf("%s_memory_mb", kind);
  if (!fk_metrics_read(region->plan, name, metrics, error))
    return FALSE;
  cJSON_AddNumberToObject(region->json, share,
                          fk_metrics_rate(metrics, "processor_s", region->from_s, region->to_s));
  cJSON_AddNumberToObject(region->json, memory, fk_metrics_max(metrics, "memory_mb"));
  return TRUE;
}

static gboolean add_store(Region *region, GError **error) {
  static const char *const rates[] = {"requests",     "transactions", "writes",      "guards",
                                      "conflicts",    "bytes_in",     "bytes_out",   "watch_answers",
                                      "watch_events", "watch_bytes",  "over_budget", NULL};
  g_auto(FkMetrics) metrics = {0};
  if (!add_process(region, "state", &metrics, error))
    return FALSE;
  add_rates(region, &metrics, rates);
  cJSON_AddNumberToObject(region->json, "keys",
                          fk_metrics_mean(&metrics, "keys", region->from_s, region->to_s));
  return TRUE;
}

/* Sums over the processes that play a region's workers; `peak_cpu` is the maximum. */
typedef struct {
  double core_share, memory_mb, peak_cpu, running, workers, starts;
} WorkerTotals;

static void add_to_total(Region *region, const char *name, double value) {
  cJSON *total = cJSON_GetObjectItemCaseSensitive(region->json, name);
  if (total)
    cJSON_SetNumberValue(total, total->valuedouble + value);
  else
    cJSON_AddNumberToObject(region->json, name, value);
}

static gboolean add_worker_process(Region *region, guint process, WorkerTotals *totals, GError **error) {
  static const char *const rates[] = {
      "reports", "report_bytes", "answer_bytes", "commands", "command_bytes", "command_answer_bytes", "began",
      "ended",   "left",         "leases_ended", "died",     "restarted",     "reports_unanswered",   NULL};
  g_auto(FkMetrics) metrics = {0};
  g_autofree char *name = fk_scale_worker_process_name(region->number, process);
  if (!fk_metrics_read(region->plan, name, &metrics, error))
    return FALSE;
  for (const char *const *rate = rates; *rate; rate++)
    add_to_total(region, *rate, fk_metrics_rate(&metrics, *rate, region->from_s, region->to_s));
  totals->core_share += fk_metrics_rate(&metrics, "processor_s", region->from_s, region->to_s);
  totals->memory_mb += fk_metrics_max(&metrics, "memory_mb");
  totals->peak_cpu = MAX(totals->peak_cpu, fk_metrics_peak_cpu(&metrics));
  totals->running += fk_metrics_mean(&metrics, "running", region->from_s, region->to_s);
  totals->workers += fk_metrics_mean(&metrics, "up", region->from_s, region->to_s);
  totals->starts += fk_metrics_rate(&metrics, "began", region->from_s, region->to_s);
  return TRUE;
}

static gboolean add_workers(Region *region, GError **error) {
  WorkerTotals totals = {0};
  for (guint process = 0; process < region->plan->worker_processes; process++)
    if (!add_worker_process(region, process, &totals, error))
      return FALSE;
  double expected = region->plan->task_starts_per_s / region->plan->regions * region->plan->task_run_s;
  cJSON_AddNumberToObject(region->json, "fleet_core_share", totals.core_share);
  cJSON_AddNumberToObject(region->json, "fleet_busiest_core_share", totals.peak_cpu);
  cJSON_AddNumberToObject(region->json, "fleet_memory_mb", totals.memory_mb);
  cJSON_AddNumberToObject(region->json, "running", totals.running);
  cJSON_AddNumberToObject(region->json, "workers", totals.workers);
  if (totals.running < RUNNING_SHARE_MIN * expected)
    add_failure(region->summary, g_strdup_printf("region %u didn't fill: %.0f tasks run of %.0f",
                                                 region->number, totals.running, expected));
  if (totals.starts < STARTED_SHARE_MIN * region->plan->task_starts_per_s / region->plan->regions)
    add_failure(region->summary,
                g_strdup_printf("region %u started %.1f tasks a second of %.1f", region->number,
                                totals.starts, region->plan->task_starts_per_s / region->plan->regions));
  return TRUE;
}

gboolean fk_scale_count_malformed_heartbeats(const FkScalePlan *plan, guint region, guint *count,
                                             GError **error) {
  *count = 0;
  for (guint i = 0; i < fk_scale_region_controllers(plan, region); i++) {
    g_autofree char *base = g_strdup_printf("control-%u-%u.log", region, i),
                    *path = g_build_filename(plan->output_dir, base, NULL), *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, error))
      return FALSE;
    for (const char *at = text; (at = strstr(at, FK_LOG_MALFORMED_HEARTBEAT));
         at += strlen(FK_LOG_MALFORMED_HEARTBEAT))
      ++*count;
  }
  return TRUE;
}

static gboolean add_malformed_heartbeats(Region *region, GError **error) {
  guint n;
  if (!fk_scale_count_malformed_heartbeats(region->plan, region->number, &n, error))
    return FALSE;
  cJSON_AddNumberToObject(region->json, "malformed_reports", n);
  if (n)
    add_failure(region->summary, g_strdup_printf("region %u: %u malformed reports reached its controllers",
                                                 region->number, n));
  return TRUE;
}

static gboolean add_controllers(Region *region, GError **error) {
  double cpu = 0, peak_cpu = 0, memory_mb = 0;
  guint n = fk_scale_region_controllers(region->plan, region->number);
  for (guint i = 0; i < n; i++) {
    g_auto(FkMetrics) metrics = {0};
    g_autofree char *name = g_strdup_printf("control-%u-%u", region->number, i);
    if (!fk_metrics_read(region->plan, name, &metrics, error))
      return FALSE;
    cpu += fk_metrics_rate(&metrics, "processor_s", region->from_s, region->to_s);
    peak_cpu = MAX(peak_cpu, fk_metrics_peak_cpu(&metrics));
    memory_mb = MAX(memory_mb, fk_metrics_max(&metrics, "memory_mb"));
  }
  cJSON_AddNumberToObject(region->json, "controllers", n);
  cJSON_AddNumberToObject(region->json, "controllers_core_share", cpu);
  cJSON_AddNumberToObject(region->json, "busiest_controller_core_share", peak_cpu);
  cJSON_AddNumberToObject(region->json, "largest_controller_memory_mb", memory_mb);
  return TRUE;
}

/* ------------------------------------------------------------------ latencies of jobs */

typedef struct {
  gint64 submitted_us, accepted_us, started_us;
  gboolean urgent;
} JobTimes;

static GHashTable *collect_job_times(const Region *region, const GArray *events) {
  GHashTable *jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < events->len; i++) {
    const FkRunEvent *event = &g_array_index(events, FkRunEvent, i);
    JobTimes *times = g_hash_table_lookup(jobs, event->job);
    if (!times) {
      g_autoptr(FkSpec) spec = fk_scale_job(region->plan, event->job);
      g_hash_table_insert(jobs, event->job, times = g_new0(JobTimes, 1));
      times->urgent = spec && fk_scale_job_is_urgent(spec);
    }
    if (event->kind == FK_RUN_EVENT_SUBMITTED)
      times->submitted_us = event->at_us;
    else if (event->kind == FK_RUN_EVENT_ACCEPTED && !times->accepted_us)
      times->accepted_us = event->at_us;
    else if (event->kind == FK_RUN_EVENT_TASK_STARTED && !times->started_us)
      times->started_us = event->at_us;
  }
  return jobs;
}

/* 0 when there are no samples. */
static double quantile(GArray *sorted, double probability) {
  return sorted->len ? gsl_stats_quantile_from_sorted_data((double *)(void *)sorted->data, 1, sorted->len,
                                                           probability)
                     : 0;
}

static void add_quantiles(Region *region, const char *what, GArray *seconds) {
  g_autofree char *p50 = g_strdup_printf("%s_p50_s", what), *p99 = g_strdup_printf("%s_p99_s", what),
                  *count = g_strdup_printf("%s_count", what);
  gsl_sort((double *)(void *)seconds->data, 1, seconds->len);
  cJSON_AddNumberToObject(region->json, count, seconds->len);
  cJSON_AddNumberToObject(region->json, p50, quantile(seconds, 0.5));
  cJSON_AddNumberToObject(region->json, p99, quantile(seconds, 0.99));
}

typedef struct {
  GArray *accept_s, *urgent_start_s, *bulk_start_s; /* double */
  guint not_accepted;
} Latencies;

static gint64 run_time_us(const Region *region, double second) {
  return region->plan->start_us + (gint64)(second * 1e6);
}

/* What had not happened by the end of the window counts as happening then. */
static double latency_s(const Region *region, gint64 from_us, gint64 to_us) {
  return (double)((to_us ? to_us : run_time_us(region, region->to_s)) - from_us) / 1e6;
}

static void add_job(const Region *region, const JobTimes *times, Latencies *latencies) {
  double accept_s = latency_s(region, times->submitted_us, times->accepted_us);
  g_array_append_val(latencies->accept_s, accept_s);
  if (!times->accepted_us) {
    latencies->not_accepted++;
    return;
  }
  double start_s = latency_s(region, times->accepted_us, times->started_us);
  g_array_append_val(times->urgent ? latencies->urgent_start_s : latencies->bulk_start_s, start_s);
}

/* Of the jobs that were submitted in the window, but for its last seconds. */
static void collect_latencies(const Region *region, GHashTable *jobs, Latencies *latencies) {
  gint64 from_us = run_time_us(region, region->from_s), to_us = run_time_us(region, region->to_s - SETTLE_S);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const JobTimes *times = value;
    if (times->submitted_us >= from_us && times->submitted_us <= to_us)
      add_job(region, times, latencies);
  }
}

static void add_latencies(Region *region, const GArray *events) {
  g_autoptr(GHashTable) jobs = collect_job_times(region, events);
  g_autoptr(GArray) accept_s = g_array_new(FALSE, FALSE, sizeof(double)),
                    urgent_start_s = g_array_new(FALSE, FALSE, sizeof(double)),
                    bulk_start_s = g_array_new(FALSE, FALSE, sizeof(double));
  Latencies latencies = {accept_s, urgent_start_s, bulk_start_s, 0};
  collect_latencies(region, jobs, &latencies);
  add_quantiles(region, "accept", accept_s);
  add_quantiles(region, "urgent_start", urgent_start_s);
  add_quantiles(region, "bulk_start", bulk_start_s);
  cJSON_AddNumberToObject(region->json, "not_accepted", latencies.not_accepted);
  double urgent_p99_s = quantile(urgent_start_s, 0.99);
  if (urgent_p99_s > URGENT_START_S_MAX)
    add_failure(region->summary,
                g_strdup_printf("region %u: urgent work began after %.2f s (p99 of %u), not %.1f",
                                region->number, urgent_p99_s, urgent_start_s->len, URGENT_START_S_MAX));
}

static gboolean add_users(Region *region, GError **error) {
  static const char *const rates[] = {"submitted", "accepted",     "shed",     "unanswered",
                                      "polls",     "polls_failed", "given_up", NULL};
  g_auto(FkMetrics) metrics = {0};
  if (!add_process(region, "users", &metrics, error))
    return FALSE;
  add_rates(region, &metrics, rates);
  cJSON_AddNumberToObject(region->json, "live_jobs",
                          fk_metrics_mean(&metrics, "live", region->from_s, region->to_s));
  return TRUE;
}

static gboolean add_events(Region *region, GError **error) {
  g_autofree char *users = g_strdup_printf("users-%u", region->number);
  g_autoptr(GArray) events = fk_run_events_new();
  for (guint process = 0; process < region->plan->worker_processes; process++) {
    g_autofree char *workers = fk_scale_worker_process_name(region->number, process);
    if (!fk_event_log_read(region->plan->output_dir, workers, events, error))
      return FALSE;
  }
  if (!fk_event_log_read(region->plan->output_dir, users, events, error))
    return FALSE;
  fk_run_events_sort(events);
  g_autoptr(GPtrArray) violations = fk_scale_check_rules(region->plan, region->number, events);
  for (guint i = 0; i < violations->len; i++)
    add_failure(region->summary, g_strdup_printf("region %u: a rule is broken: %s", region->number,
                                                 (char *)violations->pdata[i]));
  region->summary->violations += violations->len;
  add_latencies(region, events);
  return TRUE;
}

/* ------------------------------------------------------------------ the run */

static gboolean add_region(FkScaleSummary *summary, const FkScalePlan *plan, guint number, cJSON *regions,
                           GError **error) {
  Region region = {.plan = plan,
                   .number = number,
                   .from_s = plan->ramp_s,
                   .to_s = plan->duration_s - 1,
                   .json = cJSON_CreateObject(),
                   .summary = summary};
  cJSON_AddItemToArray(regions, region.json);
  return add_store(&region, error) && add_workers(&region, error) && add_controllers(&region, error) &&
         add_malformed_heartbeats(&region, error) && add_users(&region, error) && add_events(&region, error);
}

FkScaleSummary *fk_scale_summary_new(const FkScalePlan *plan, GError **error) {
  FkScaleSummary *summary = g_new0(FkScaleSummary, 1);
  summary->failures = g_ptr_array_new_with_free_func(g_free);
  summary->figures = cJSON_CreateObject();
  cJSON_AddItemToObject(summary->figures, "plan", fk_scale_plan_to_json(plan));
  cJSON *regions = cJSON_AddArrayToObject(summary->figures, "regions");
  for (guint i = 0; i < plan->regions; i++)
    if (!add_region(summary, plan, i, regions, error)) {
      fk_scale_summary_free(summary);
      return NULL;
    }
  cJSON *failures = cJSON_AddArrayToObject(summary->figures, "not_carried");
  for (guint i = 0; i < summary->failures->len; i++)
    cJSON_AddItemToArray(failures, cJSON_CreateString(summary->failures->pdata[i]));
  summary->passed = !summary->failures->len;
  return summary;
}

void fk_scale_summary_free(FkScaleSummary *summary) {
  g_ptr_array_unref(summary->failures);
  cJSON_Delete(summary->figures);
  g_free(summary);
}
