/* A region's users behind its load balancer: they submit jobs, poll them, and cancel some. */
#pragma once
#include "simulation/scale/plan.h"

/* Plays until the run is over; returns an exit status. */
int fk_user_stand_in_run(const FkScalePlan *plan, guint region);
