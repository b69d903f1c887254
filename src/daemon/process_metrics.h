/* How the process itself is doing: the longest turn of the main loop, how late its timer fires, and the heap.
 * One line a window, at info. */
#pragma once
#include <glib.h>

typedef struct FkVitals FkVitals;
FkVitals *fk_vitals_new(double window_s);
void fk_vitals_free(FkVitals *v);
/* Processor time of this thread. */
gint64 fk_vitals_clock_ns(void);
/* A turn of the main loop: between two waits for so many sockets and timers; processor time at its ends. */
void fk_vitals_turn_begins(FkVitals *v, gint64 cpu_ns);
void fk_vitals_turn_ends(FkVitals *v, gint64 cpu_ns, guint watched);
/* The timer has fired, so much later than it should have. */
void fk_vitals_tick(FkVitals *v, double late_s);
