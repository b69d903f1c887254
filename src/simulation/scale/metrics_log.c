#include "simulation/scale/metrics_log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct FkMetricsLog {
  FILE *file;
  gint64 start_us;
  guint pid;
  double processor_before_s; /* of earlier lives */
  double processor_s;        /* of this one */
  GHashTable *values;        /* name -> double* */
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
  FkMetricsLog *s = g_new0(FkMetricsLog, 1);
  s->file = file;
  s->start_us = start_us;
  s->pid = pid ? pid : (guint)getpid();
  s->values = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  return s;
}

void fk_metrics_log_free(FkMetricsLog *s) {
  if (!s)
    return;
  g_clear_handle_id(&s->timer, g_source_remove);
  fclose(s->file);
  g_hash_table_unref(s->values);
  g_free(s);
}

static double *value_of(FkMetricsLog *s, const char *name) {
  double *value = g_hash_table_lookup(s->values, name);
  if (!value)
    g_hash_table_insert(s->values, (gpointer)name, value = g_new0(double, 1));
  return value;
}

void fk_metrics_log_add(FkMetricsLog *s, const char *name, double n) { *value_of(s, name) += n; }

void fk_metrics_log_set(FkMetricsLog *s, const char *name, double n) { *value_of(s, name) = n; }

void fk_metrics_log_set_pid(FkMetricsLog *s, guint pid) {
  s->pid = pid;
  s->processor_before_s += s->processor_s;
  s->processor_s = 0;
}

/* NULL: there is no such process. */
static char *read_proc(guint pid, const char *what) {
  g_autofree char *path = g_strdup_printf("/proc/%u/%s", pid, what);
  char *text = NULL;
  return g_file_get_contents(path, &text, NULL, NULL) ? text : NULL;
}

/* Fields 14 and 15 of /proc/PID/stat; the name in the second may hold anything but ends with the last ')'. */
static void read_processor(FkMetricsLog *s) {
  g_autofree char *text = read_proc(s->pid, "stat");
  const char *rest = text ? strrchr(text, ')') : NULL;
  unsigned long user, system;
  if (rest && sscanf(rest, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system) == 2)
    s->processor_s = (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

double fk_process_memory_mb(guint pid) {
  g_autofree char *text = read_proc(pid, "statm");
  unsigned long pages;
  if (!text || sscanf(text, "%*u %lu", &pages) != 1)
    return 0;
  return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1048576;
}

static gboolean write_line(gpointer data) {
  FkMetricsLog *s = data;
  read_processor(s);
  if (s->sample)
    s->sample(s->data);
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddNumberToObject(o, "second", (double)(g_get_monotonic_time() - s->start_us) / 1e6);
  cJSON_AddNumberToObject(o, "processor_s", s->processor_before_s + s->processor_s);
  cJSON_AddNumberToObject(o, "memory_mb", fk_process_memory_mb(s->pid));
  GHashTableIter it;
  gpointer name, value;
  g_hash_table_iter_init(&it, s->values);
  while (g_hash_table_iter_next(&it, &name, &value))
    cJSON_AddNumberToObject(o, name, *(double *)value);
  g_autofree char *line = fk_json_print(o);
  fprintf(s->file, "%s\n", line);
  fflush(s->file);
  return G_SOURCE_CONTINUE;
}

void fk_metrics_log_start(FkMetricsLog *s, void (*sample)(gpointer data), gpointer data) {
  s->sample = sample;
  s->data = data;
  s->timer = g_timeout_add(1000, write_line, s);
}
