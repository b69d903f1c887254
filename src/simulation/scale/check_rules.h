/* PROTOCOL's rules, held against what truly happened in a region. */
#pragma once
#include "simulation/scale/event_log.h"
#include "simulation/scale/plan.h"

/* What was broken, a line each: "rule: what, when"; empty when nothing was. `events` are sorted by time and
 * complete. wrong_place isn't looked at: no job of a scale run is bound to a place. */
GPtrArray *fk_scale_check_rules(const FkScalePlan *p, guint region, const GArray *events);
