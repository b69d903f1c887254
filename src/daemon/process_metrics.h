/* How the process itself is doing: the longest turn of the main loop, how late its timer fires, and the heap.
 * One line a window, at info. */
#pragma once
#include <glib.h>

typedef struct FkProcessMetrics FkProcessMetrics;
FkProcessMetrics *fk_process_metrics_new(double window_s);
void fk_process_metrics_free(FkProcessMetrics *v);
/* Processor time of this thread. */
gint64 fk_process_metrics_cpu_ns(void);
/* A turn of the main loop: between two waits for so many sockets and timers; processor time at its ends. */
void fk_process_metrics_iteration_begin(FkProcessMetrics *v, gint64 cpu_ns);
void fk_process_metrics_iteration_end(FkProcessMetrics *v, gint64 cpu_ns, guint watched);
/* The timer has fired, so much later than it should have. */
void fk_process_metrics_timer_fired(FkProcessMetrics *v, double late_s);
