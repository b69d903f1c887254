/* What a process of a scale run measures: named counters and gauges, written as one line of JSON a second. */
#pragma once
#include "wire/json.h"

typedef struct FkMetricsLog FkMetricsLog;

/* Lines go into `dir`/`name`.jsonl; each begins with the seconds since `begins_us`, and the processor
 * time and memory of the process `pid` (0: this one). NULL: the file can't be written. */
FkMetricsLog *fk_metrics_log_new(const char *dir, const char *name, gint64 start_us, guint pid,
                                 GError **error);
/* The process was started again under that number; its processor time is added up. */
void fk_metrics_log_set_pid(FkMetricsLog *s, guint pid);
/* Memory of a process now, in MB; 0: it isn't there. */
double fk_process_memory_mb(guint pid);
void fk_metrics_log_free(FkMetricsLog *s);
/* Adds to a counter; what a line has is the sum since the process began. `name` must live for ever. */
void fk_metrics_log_add(FkMetricsLog *s, const char *name, double n);
/* Sets a gauge. */
void fk_metrics_log_set(FkMetricsLog *s, const char *name, double n);
/* A line every second from now on; `sample` (or NULL) sets gauges before each. */
void fk_metrics_log_start(FkMetricsLog *s, void (*sample)(gpointer data), gpointer data);
