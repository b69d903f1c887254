/* The result of a scale run, computed from the metrics, events and logs of its processes. */
#pragma once
#include "simulation/scale/plan.h"

typedef struct {
  gboolean passed;     /* the load was sustained and no rule was broken */
  guint violations;    /* of PROTOCOL's rules */
  GPtrArray *failures; /* char *: why it didn't pass */
  cJSON *figures;      /* the contents of summary.json */
} FkScaleSummary;

/* NULL with an error when a file of the run can't be read. */
FkScaleSummary *fk_scale_summary_new(const FkScalePlan *plan, GError **error);
void fk_scale_summary_free(FkScaleSummary *summary);
/* Heartbeats that the region's controllers logged as malformed. The simulated workers send none, so each is a
 * fault of a stand-in or of an HTTP client. FALSE with an error when a log can't be read. */
gboolean fk_scale_count_malformed_heartbeats(const FkScalePlan *plan, guint region, guint *count,
                                             GError **error);
