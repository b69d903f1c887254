/* Preemption by fair share: tasks of a team that uses more than its fair share are stopped to free capacity
 * for blocked arrays with a better claim to it, where the least work is lost. */
#pragma once
#include "core/scheduling/stop_transaction.h"

/* The leader's periodic check: once the first blocked job (scheduling_queue.h) has waited long enough, adds a
 * limited number of tasks that must stop to the transaction. */
void fk_preemption_reclaim(FkController *c, FkStopTransaction *stops);
