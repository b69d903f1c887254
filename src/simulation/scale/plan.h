/* One run of `flaxknot-sim scale`: sizes, addresses, jobs and faults, which every process of the run works
 * out from the same file. Rates are per second, durations in seconds, times microseconds of the steady clock.
 */
#pragma once
#include "core/settings.h"
#include "core/state/job.h"
#include "wire/json.h"

typedef enum {
  FK_FAULT_KILL,  /* a controller: kill -9, started again after `for_s` */
  FK_FAULT_STOP,  /* a controller: stopped, continued after `for_s` */
  FK_FAULT_RACK,  /* 40 neighbouring machines die */
  FK_FAULT_ZONE,  /* all machines of one zone die */
  FK_FAULT_STATE, /* the state service answers 503 for `for_s` */
  FK_FAULT_APART, /* the regions can't reach each other for `for_s` */
  FK_FAULT_CHURN  /* a day's failures and restarts, in proportion to the machines, spread over `for_s` */
} FkFaultKind;

typedef struct {
  FkFaultKind kind;
  double at_s, for_s;
} FkFault;

typedef struct {
  guint regions, zones, controllers, workers, teams; /* of all regions together */
  double tasks_per_worker;                           /* when all is full */
  double starts;                                     /* bulk tasks a second that are submitted */
  double urgent;                                     /* urgent jobs a second and region */
  guint tasks_per_job;                               /* bulk jobs, in the mean */
  double run_s;                                      /* of a bulk task, in the mean */
  double seconds, ramp_s;
  guint64 seed;
  double state_requests, state_writes, cloud_calls; /* of one region */
  double report_s, lease_s, cancel_s;
  guint fleet_processes; /* of one region: they play its workers in turn */
  guint base;            /* second part of the addresses: 127.BASE+region.x.y */
  gint64 begins_us;      /* when the run began */
  char *dir, *program;
  GArray *faults; /* FkFault */
} FkScalePlan;

FkScalePlan *fk_scale_plan_new(void); /* one small region */
void fk_scale_plan_free(FkScalePlan *p);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkScalePlan, fk_scale_plan_free)
/* "kind@seconds" or "kind@seconds:duration". */
gboolean fk_scale_plan_add_fault(FkScalePlan *p, const char *text, GError **error);
/* Whether such a run makes sense. */
gboolean fk_scale_plan_check(const FkScalePlan *p, GError **error);
cJSON *fk_scale_plan_to_json(const FkScalePlan *p);
FkScalePlan *fk_scale_plan_from_json(const cJSON *o);
FkScalePlan *fk_scale_plan_load(const char *file, GError **error);

/* Of `all`, what belongs to that region: as even as whole numbers allow. */
guint fk_scale_part(guint all, guint regions, guint region);
guint fk_scale_region_workers(const FkScalePlan *p, guint region);
guint fk_scale_region_zones(const FkScalePlan *p, guint region);
guint fk_scale_region_controllers(const FkScalePlan *p, guint region);
double fk_scale_worker_cpus(const FkScalePlan *p);
/* CPUs that a team's tasks may use in that region. */
double fk_scale_team_limit(const FkScalePlan *p, guint region);

/* The name of a fleet process's files; part 0 has the region's cloud too. */
char *fk_scale_fleet_name(guint region, guint part);

char *fk_scale_state_addr(const FkScalePlan *p, guint region);
char *fk_scale_cloud_addr(const FkScalePlan *p, guint region);
char *fk_scale_user_addr(const FkScalePlan *p, guint region, guint controller);
char *fk_scale_mesh_addr(const FkScalePlan *p, guint region, guint controller);
/* The machine that was made as number `machine` of its region. */
char *fk_scale_worker_addr(const FkScalePlan *p, guint region, guint machine);
char *fk_scale_zone(guint region, guint zone);
char *fk_scale_node(guint region, guint controller);
/* What the platform hands a controller. */
cJSON *fk_scale_settings(const FkScalePlan *p, guint region, guint controller);

#define FK_SCALE_TYPE "hollow"

/* Jobs follow from their id alone, so that users and workers needn't tell each other. Even numbers are bulk
 * jobs, odd ones urgent. */
char *fk_scale_job_id(guint region, guint64 number);
/* NULL: no id of this run. */
FkSpec *fk_scale_job(const FkScalePlan *p, const char *id);
gboolean fk_scale_job_urgent(const FkSpec *s);
/* How long that task runs. */
double fk_scale_task_s(const FkScalePlan *p, const FkSpec *s, guint32 task);
