#include "simulation/scale/metrics_log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define INTERVAL_MS 1000
#define BYTES_PER_MB 1048576

struct FkMetricsLog {
  FILE *file;
  gint64 start_us;
  guint pid;
  double earlier_cpu_s; /* of earlier processes */
  double cpu_s;         /* of the process `pid` */
  GHashTable *values;   /* name -> double* */
  void (*sample)(gpointer data);
  gpointer data;
  guint timer;
};

FkMetricsLog *fk_metrics_log_new(const char *dir, const char *name, gint64 start_us, guint pid,
                                 GError **error) {
  g_autofree char *base = g_strconcat(name, ".jsonl", NULL), *path = g_build_filename(dir, base, NULL);
  FILE *file = fopen(path, "w");
  if (!file) {
    g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s can't be written", path);
    return NULL;
  }
  FkMetricsLog *log = g_new0(FkMetricsLog, 1);
  log->file = file;
  log->start_us = start_us;
  log->pid = pid ? pid : (guint)getpid();
  log->values = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  return log;
}

void fk_metrics_log_free(FkMetricsLog *log) {
  if (!log)
    return;
  g_clear_handle_id(&log->timer, g_source_remove);
  fclose(log->file);
  g_hash_table_unref(log->values);
  g_free(log);
}

static double *value_of(FkMetricsLog *log, const char *name) {
  double *value = g_hash_table_lookup(log->values, name);
  if (!value)
    g_hash_table_insert(log->values, (gpointer)name, value = g_new0(double, 1));
  return value;
}

void fk_metrics_log_add(FkMetricsLog *log, const char *name, double increment) {
  *value_of(log, name) += increment;
}

void fk_metrics_log_set(FkMetricsLog *log, const char *name, double value) { *value_of(log, name) = value; }

void fk_metrics_log_set_pid(FkMetricsLog *log, guint pid) {
  log->pid = pid;
  log->earlier_cpu_s += log->cpu_s;
  log->cpu_s = 0;
}

/* NULL when there is no such process; to be freed. */
static char *read_proc_file(guint pid, const char *name) {
  g_autofree char *path = g_strdup_printf("/proc/%u/%s", pid, name);
  char *text = NULL;
  return g_file_get_contents(path, &text, NULL, NULL) ? text : NULL;
}

/* Fields 14 and 15 of /proc/PID/stat. The command in field 2 may contain anything, but ends with the last
 * ')'. */
static void update_cpu_time(FkMetricsLog *log) {
  g_autofree char *text = read_proc_file(log->pid, "stat");
  const char *rest = text ? strrchr(text, ')') : NULL;
  unsigned long user, system;
  if (rest && sscanf(rest, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system) == 2)
    log->cpu_s = (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

double fk_process_memory_mb(guint pid) {
  g_autofree char *text = read_proc_file(pid, "statm");
  unsigned long pages;
  if (!text || sscanf(text, "%*u %lu", &pages) != 1)
    return 0;
  return (double)pages * (double)sysconf(_SC_PAGESIZE) / BYTES_PER_MB;
}

static gboolean on_interval(gpointer data) {
  FkMetricsLog *log = data;
  update_cpu_time(log);
  if (log->sample)
    log->sample(log->data);
  g_autoptr(cJSON) line = cJSON_CreateObject();
  cJSON_AddNumberToObject(line, "second", (double)(g_get_monotonic_time() - log->start_us) / 1e6);
  cJSON_AddNumberToObject(line, "processor_s", log->earlier_cpu_s + log->cpu_s);
  cJSON_AddNumberToObject(line, "memory_mb", fk_process_memory_mb(log->pid));
  GHashTableIter iter;
  gpointer name, value;
  g_hash_table_iter_init(&iter, log->values);
  while (g_hash_table_iter_next(&iter, &name, &value))
    cJSON_AddNumberToObject(line, name, *(double *)value);
  g_autofree char *text = fk_json_print(line);
  fprintf(log->file, "%s\n", text);
  fflush(log->file);
  return G_SOURCE_CONTINUE;
}

void fk_metrics_log_start(FkMetricsLog *log, void (*sample)(gpointer data), gpointer data) {
  log->sample = sample;
  log->data = data;
  log->timer = g_timeout_add(INTERVAL_MS, on_interval, log);
}
