/* A region's cloud and its hollow workers, in one process: each worker has an address, a session, a lease and
 * tasks that end by the clock; none of them runs anything. */
#pragma once
#include "lab/scale/plan.h"

/* Plays until the run is over; an exit status. */
int fk_scale_fleet(const FkScalePlan *p, guint region);
