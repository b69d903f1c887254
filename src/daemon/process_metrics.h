/* Metrics of the process: the CPU time of the longest iteration of the main loop, the lateness of the
 * daemon's timer, and the size of the heap. One log line is written per window, at level info. */
#pragma once
#include <glib.h>

typedef struct FkProcessMetrics FkProcessMetrics;
/* Creates the metrics. `window_s` is the interval of the log lines in seconds. */
FkProcessMetrics *fk_process_metrics_new(double window_s);
/* Frees the metrics; `metrics` may be NULL. */
void fk_process_metrics_free(FkProcessMetrics *metrics);
/* Returns the CPU time of the calling thread in nanoseconds. */
gint64 fk_process_metrics_cpu_ns(void);
/* Record the start of an iteration of the main loop (after a poll) and the iteration's end (before the next
 * poll, which waits for `polled` descriptors). `cpu_ns` is the thread's CPU time at that start or end. */
void fk_process_metrics_iteration_begin(FkProcessMetrics *metrics, gint64 cpu_ns);
void fk_process_metrics_iteration_end(FkProcessMetrics *metrics, gint64 cpu_ns, guint polled);
/* Records that the daemon's timer fired `late_s` seconds late. Writes the log line at the end of a window. */
void fk_process_metrics_timer_fired(FkProcessMetrics *metrics, double late_s);
