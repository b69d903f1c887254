/* A region's key-value store on loopback: the model of simulation/store_model.h behind PROTOCOL's HTTP
 * interface, with its rate limits, bounded history and planned outages. */
#pragma once
#include "simulation/scale/plan.h"

/* Serves until the run is over; returns an exit status. */
int fk_store_stand_in_run(const FkScalePlan *plan, guint region);
