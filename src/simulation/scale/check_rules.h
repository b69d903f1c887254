/* Checks PROTOCOL's rules against what happened in a region of a scale run. */
#pragma once
#include "simulation/scale/event_log.h"
#include "simulation/scale/plan.h"

/* The violations, as lines "RULE: JOB/TASK at SECONDS: DETAIL"; empty when no rule was broken. `events` are
 * all events of the region, sorted by time. The rule wrong_place isn't checked: jobs of scale runs aren't
 * bound to a place. The caller owns the result. */
GPtrArray *fk_scale_check_rules(const FkScalePlan *plan, guint region, const GArray *events);
