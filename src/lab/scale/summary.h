/* A run's figures, worked out from its processes' lines and events when it is over. */
#pragma once
#include "lab/scale/plan.h"

typedef struct {
  gboolean carried; /* the load was: regions full, urgent work in time, nothing given up */
  guint broken;     /* rules */
  GPtrArray *why;   /* char*: what wasn't carried, and the rules that were broken */
  cJSON *figures;
} FkSummary;

FkSummary *fk_summary_of(const FkScalePlan *p, GError **error);
void fk_summary_free(FkSummary *s);
