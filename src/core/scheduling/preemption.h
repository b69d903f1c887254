/* Preemption by fair share: tasks of a team that uses more than its fair share are stopped to free capacity
 * for a blocked array of another team. Tasks with the least lost work per CPU are chosen first. */
#pragma once
#include "core/scheduling/stop_transaction.h"

/* The leader's periodic check. If the first blocked job (scheduling_queue.h) has waited long enough and the
 * blocked jobs need enough CPUs, adds stop requests for a limited number of tasks to `stops`. */
void fk_preemption_reclaim(FkController *c, FkStopTransaction *stops);
