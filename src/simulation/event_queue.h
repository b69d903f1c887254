/* What is to happen later, in the order of its time: the clock of the simulated world, and the one timer of a
 * process that plays thousands of workers. Times are microseconds; of equal ones the first added goes first.
 */
#pragma once
#include <glib.h>

typedef struct FkEventQueue FkEventQueue;
typedef void (*FkEventQueueFn)(gpointer owner, gpointer data);

/* `owner` is handed to each function. */
FkEventQueue *fk_event_queue_new(gpointer owner);
/* What hasn't happened is dropped; its data isn't freed. */
void fk_event_queue_free(FkEventQueue *a);
/* Drops what hasn't happened; its data is freed by `data_free`. */
void fk_agenda_drop(FkEventQueue *a, GDestroyNotify data_free);
void fk_event_queue_add(FkEventQueue *a, gint64 at, FkEventQueueFn fn, gpointer data);
/* When the next is due; G_MAXINT64: nothing is. */
gint64 fk_event_queue_next_due(const FkEventQueue *a);
/* Takes the next out and lets it happen; there must be one. */
void fk_event_queue_run_next(FkEventQueue *a);
/* All that is due by then. */
void fk_event_queue_run_until(FkEventQueue *a, gint64 now);
/* From now on runs by the steady clock, in the default main context. */
void fk_event_queue_start_clock(FkEventQueue *a);
