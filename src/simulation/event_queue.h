/* A queue of events by time: the clock of the simulation, and the one timer of a process with thousands of
 * simulated workers. Times are microseconds; of equal ones the first added runs first. */
#pragma once
#include <glib.h>

typedef struct FkEventQueue FkEventQueue;
typedef void (*FkEventQueueFn)(gpointer owner, gpointer data);

/* `owner` is handed to each function. */
FkEventQueue *fk_event_queue_new(gpointer owner);
/* Drops all events; their data isn't freed. */
void fk_event_queue_free(FkEventQueue *a);
/* Drops all events; their data is freed by `data_free`. */
void fk_event_queue_clear(FkEventQueue *a, GDestroyNotify data_free);
void fk_event_queue_add(FkEventQueue *a, gint64 at, FkEventQueueFn fn, gpointer data);
/* When the next event is due; G_MAXINT64: there is none. */
gint64 fk_event_queue_next_due(const FkEventQueue *a);
/* Removes and runs the next event; there must be one. */
void fk_event_queue_run_next(FkEventQueue *a);
/* Runs all events that are due by then. */
void fk_event_queue_run_until(FkEventQueue *a, gint64 now);
/* From now on runs events by the monotonic clock, in the default main context. */
void fk_event_queue_start_clock(FkEventQueue *a);
