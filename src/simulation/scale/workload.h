/* The jobs of a scale run. A job follows from the plan and its id alone, so the processes of users, workers
 * and the checker need not exchange specifications. Even job numbers are bulk jobs, odd ones urgent. */
#pragma once
#include "core/state/job.h"
#include "simulation/scale/plan.h"

/* To be freed. */
char *fk_scale_job_id(guint region, guint64 number);
/* A new reference; NULL when the id is none of a scale run. */
FkSpec *fk_scale_job(const FkScalePlan *plan, const char *id);
gboolean fk_scale_job_is_urgent(const FkSpec *spec);
/* Run time of one task, in seconds. */
double fk_scale_task_run_s(const FkScalePlan *plan, const FkSpec *spec, guint32 task);
/* To be freed. */
char *fk_scale_team_name(guint team);
