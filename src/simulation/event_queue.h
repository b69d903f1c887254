/* What is to happen later, in the order of its time: the clock of the simulated world, and the one timer of a
 * process that plays thousands of workers. Times are microseconds; of equal ones the first added goes first.
 */
#pragma once
#include <glib.h>

typedef struct FkAgenda FkAgenda;
typedef void (*FkAgendaFn)(gpointer owner, gpointer data);

/* `owner` is handed to each function. */
FkAgenda *fk_agenda_new(gpointer owner);
/* What hasn't happened is dropped; its data isn't freed. */
void fk_agenda_free(FkAgenda *a);
/* Drops what hasn't happened; its data is freed by `data_free`. */
void fk_agenda_drop(FkAgenda *a, GDestroyNotify data_free);
void fk_agenda_add(FkAgenda *a, gint64 at, FkAgendaFn fn, gpointer data);
/* When the next is due; G_MAXINT64: nothing is. */
gint64 fk_agenda_next(const FkAgenda *a);
/* Takes the next out and lets it happen; there must be one. */
void fk_agenda_run_next(FkAgenda *a);
/* All that is due by then. */
void fk_agenda_run_until(FkAgenda *a, gint64 now);
/* From now on runs by the steady clock, in the default main context. */
void fk_agenda_start_clock(FkAgenda *a);
