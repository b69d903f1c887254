/* A region's cloud and its hollow workers, in one process: each worker has an address, a session, a lease and
 * tasks that end by the clock; none of them runs anything. */
#pragma once
#include "simulation/scale/plan.h"

/* With several processes for a region, each knows all machines that were there from the start, plays its
 * share of them, and works out the same faults of all; part 0 has the cloud, and plays those that are rented.
 * What has ended is known to the process alone where it did: a task that is run again on a worker of another
 * one, as its end was never reported, takes its whole time again.
 *
 * Plays until the run is over; an exit status. */
int fk_scale_worker_stand_in(const FkScalePlan *p, guint region, guint part);
