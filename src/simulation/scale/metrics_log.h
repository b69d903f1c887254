/* Metrics of one process of a scale run: counters and gauges by name, written as a line of JSON per second.
 */
#pragma once
#include "wire/json.h"

typedef struct FkMetricsLog FkMetricsLog;

/* Writes to `dir`/`name`.jsonl. Each line starts with the seconds since `start_us`, and the CPU time and
 * memory of the process `pid` (0: this one). NULL with an error when the file can't be written. */
FkMetricsLog *fk_metrics_log_new(const char *dir, const char *name, gint64 start_us, guint pid,
                                 GError **error);
/* Accepts NULL. */
void fk_metrics_log_free(FkMetricsLog *log);
/* The observed process was restarted as `pid`; its CPU times are added up. */
void fk_metrics_log_set_pid(FkMetricsLog *log, guint pid);
/* Adds to a counter. `name` must stay valid as long as the log. */
void fk_metrics_log_add(FkMetricsLog *log, const char *name, double increment);
/* Sets a gauge; `name` as above. */
void fk_metrics_log_set(FkMetricsLog *log, const char *name, double value);
/* Writes a line every second from now on; `sample` (or NULL) sets gauges before each. */
void fk_metrics_log_start(FkMetricsLog *log, void (*sample)(gpointer data), gpointer data);
/* Resident memory of a process in MB; 0 when there is no such process. */
double fk_process_memory_mb(guint pid);
