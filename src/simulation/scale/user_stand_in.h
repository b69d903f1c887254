/* A region's users, behind its load balancer: they submit jobs, ask about them, and cancel some. */
#pragma once
#include "simulation/scale/plan.h"

/* Plays until the run is over; an exit status. */
int fk_scale_user_stand_in(const FkScalePlan *p, guint region);
