/* How the process itself is doing: the longest iteration of the main loop, how late its timer fires, and the
 * heap. One log line a window, at info. */
#pragma once
#include <glib.h>

typedef struct FkProcessMetrics FkProcessMetrics;
FkProcessMetrics *fk_process_metrics_new(double window_s);
/* NULL is fine. */
void fk_process_metrics_free(FkProcessMetrics *metrics);
/* CPU time of this thread. */
gint64 fk_process_metrics_cpu_ns(void);
/* An iteration of the main loop begins after a wait, and ends before the next one, for `polled` descriptors;
 * both at a CPU time of this thread. */
void fk_process_metrics_iteration_begin(FkProcessMetrics *metrics, gint64 cpu_ns);
void fk_process_metrics_iteration_end(FkProcessMetrics *metrics, gint64 cpu_ns, guint polled);
/* The main loop's timer has fired so much later than it should have. */
void fk_process_metrics_timer_fired(FkProcessMetrics *metrics, double late_s);
