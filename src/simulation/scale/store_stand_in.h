/* A region's state service on loopback: the model of lab/store_model.h behind PROTOCOL's HTTP interface. */
#pragma once
#include "simulation/scale/plan.h"

/* Serves until the run is over; an exit status. */
int fk_scale_store_stand_in(const FkScalePlan *p, guint region);
