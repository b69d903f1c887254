/* The scheduling cycle: places waiting tasks and launches them. A controller has one launch transaction in
 * flight at a time. */
#pragma once
#include "core/controller_internal.h"

/* Runs one cycle, unless it is blocked by a launch in flight, a view that lags behind, the pause between
 * launches or the store's write budget. If the launch fence must be written, writes the fence instead. */
void fk_scheduling_cycle_run(FkController *c);
