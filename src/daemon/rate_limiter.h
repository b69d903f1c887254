/* A rate budget: what may go out at once does, the rest waits in order of priority, and a full queue sheds.
 */
#pragma once
#include <glib.h>

typedef struct FkBudget FkBudget;
typedef void (*FkBudgetSend)(gpointer data, gpointer item);

/* `rate` and `write_rate` a second, with bursts of `burst_s` seconds. The first `urgent` levels may run it
 * into debt. */
FkBudget *fk_budget_new(double rate, double write_rate, double burst_s, guint levels, guint urgent,
                        guint max_queue, FkBudgetSend send, FkBudgetSend shed, gpointer data);
void fk_budget_free(FkBudget *b);
void fk_budget_add(FkBudget *b, guint level, guint writes, gpointer item);
/* What this controller's share is now. */
void fk_budget_rates(FkBudget *b, double rate, double write_rate);
/* Writes that would go out at once at this level. */
double fk_budget_room(FkBudget *b, guint level);
/* Refused for want of budget: the others have used it. It goes first again, after a pause. */
void fk_budget_again(FkBudget *b, guint level, guint writes, gpointer item);
/* Counts a request that goes out in any case (hold renewals, watches). */
void fk_budget_count(FkBudget *b);
