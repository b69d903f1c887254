/* A run's figures, worked out from its processes' lines and events when it is over. */
#pragma once
#include "simulation/scale/plan.h"

typedef struct {
  gboolean carried; /* the load was: regions full, urgent work in time, nothing given up */
  guint broken;     /* rules */
  GPtrArray *why;   /* char*: what wasn't carried, and the rules that were broken */
  cJSON *figures;
} FkScaleSummary;

FkScaleSummary *fk_scale_summary_new(const FkScalePlan *p, GError **error);
/* How many reports the region's controllers logged as malformed: the hollow workers send none, so each is a
 * fault of a stand-in or of a client's. FALSE: a log can't be read. */
gboolean fk_scale_count_malformed_heartbeats(const FkScalePlan *p, guint region, guint *count,
                                             GError **error);
void fk_scale_summary_free(FkScaleSummary *s);
