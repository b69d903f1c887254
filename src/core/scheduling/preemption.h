/* Preemption by fair share: a team that uses more than its share gives capacity back to blocked arrays with a
 * better claim to it, where the least work is lost. */
#pragma once
#include "core/scheduling/stop_transaction.h"

/* The leader's periodic check: adds tasks that must stop to the transaction, some of them at a time, once the
 * first blocked job (scheduling_queue.h) has waited for long enough. */
void fk_preemption_reclaim(FkController *c, FkStopTransaction *stops);
