/* The platform's settings file of a controller in a scale run. */
#pragma once
#include "simulation/scale/plan.h"

/* The caller owns the result. */
cJSON *fk_scale_controller_settings(const FkScalePlan *plan, guint region, guint controller);
