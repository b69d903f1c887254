/* The command line of `flaxknot-sim scale`. */
#pragma once
#include "simulation/scale/plan.h"

/* What the process does. The coordinator starts the others, with hidden options. */
typedef enum {
  FK_SCALE_ROLE_COORDINATOR,
  FK_SCALE_ROLE_STORE,
  FK_SCALE_ROLE_WORKERS,
  FK_SCALE_ROLE_USERS
} FkScaleRole;

typedef struct {
  FkScaleRole role;
  FkScalePlan *plan;     /* the coordinator's, from its options; else loaded from the file */
  guint region, process; /* of the other roles; `process` of the workers' */
} FkScaleOptions;

/* FALSE with an error when an option is malformed or out of its range, or the plan can't be loaded. `--help`
 * ends the process. */
gboolean fk_scale_options_parse(FkScaleOptions *options, int argc, char **argv, GError **error);
void fk_scale_options_clear(FkScaleOptions *options);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(FkScaleOptions, fk_scale_options_clear)
/* The value of `--play` for a role, also the prefix of its processes' files; NULL for the coordinator. */
const char *fk_scale_role_name(FkScaleRole role);
