/* Metrics of the process itself: the longest iteration of the main loop, how late its timer fires, and the
 * size of the heap. One log line per window, at level info. */
#pragma once
#include <glib.h>

typedef struct FkProcessMetrics FkProcessMetrics;
FkProcessMetrics *fk_process_metrics_new(double window_s);
/* `metrics` may be NULL. */
void fk_process_metrics_free(FkProcessMetrics *metrics);
/* Returns the CPU time of the calling thread in nanoseconds. */
gint64 fk_process_metrics_cpu_ns(void);
/* Record that an iteration of the main loop begins after a poll, and that it ends before the next poll, which
 * waits for `polled` descriptors. `cpu_ns` is the thread's CPU time at that moment. */
void fk_process_metrics_iteration_begin(FkProcessMetrics *metrics, gint64 cpu_ns);
void fk_process_metrics_iteration_end(FkProcessMetrics *metrics, gint64 cpu_ns, guint polled);
/* Records that the main loop's timer fired `late_s` seconds late. */
void fk_process_metrics_timer_fired(FkProcessMetrics *metrics, double late_s);
