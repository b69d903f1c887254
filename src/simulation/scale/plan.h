/* The plan of one run of `flaxknot-sim scale`: sizes, rates and faults. Every process of the run loads the
 * same plan from the same file. Rates are per second, durations are seconds, and times are microseconds of
 * the monotonic clock, which all processes of a machine share. */
#pragma once
#include <glib.h>

#include "wire/json.h"

#define FK_SCALE_TASK_CPUS 1.0          /* of every task */
#define FK_SCALE_INSTANCE_TYPE "hollow" /* in heartbeats, whose size is measured */

typedef enum {
  FK_SCALE_FAULT_KILL,      /* a controller: SIGKILL, restarted after `duration_s` */
  FK_SCALE_FAULT_STOP,      /* a controller: SIGSTOP, continued after `duration_s` */
  FK_SCALE_FAULT_RACK,      /* 40 neighbouring machines fail */
  FK_SCALE_FAULT_ZONE,      /* all machines of one zone fail */
  FK_SCALE_FAULT_STORE,     /* the key-value store answers 503 for `duration_s` */
  FK_SCALE_FAULT_PARTITION, /* the regions can't reach each other for `duration_s` */
  FK_SCALE_FAULT_RESTART,   /* all machines are back at once, and copies of earlier commands reach them */
  FK_SCALE_FAULT_CHURN      /* a day's failures and restarts, proportional to the machines, in `duration_s` */
} FkScaleFaultKind;

typedef struct {
  FkScaleFaultKind kind;
  double at_s; /* after the start of the run */
  double duration_s;
} FkScaleFault;

typedef struct {
  guint regions, zones, controllers, workers, teams; /* totals of all regions */
  double tasks_per_worker;                           /* at full utilization */
  double task_starts_per_s;                          /* bulk tasks submitted, all regions */
  double urgent_jobs_per_s;                          /* of each region */
  guint tasks_per_job;                               /* mean of the bulk jobs */
  double task_run_s;                                 /* mean of the bulk tasks */
  double duration_s;                                 /* of the run */
  double ramp_s;                                     /* at the start, left out of the measurements */
  guint64 seed;
  double store_requests_per_s, store_writes_per_s, cloud_calls_per_s; /* rate limits of each region */
  double heartbeat_s, lease_s, cancel_s;                              /* the platform's worker settings */
  guint worker_processes; /* of each region: its workers are partitioned among them */
  guint address_base;     /* region R uses the addresses 127.(address_base + R).x.y */
  gint64 start_us;        /* when the run started */
  char *output_dir;
  char *program;  /* the service's executable; not part of the file */
  GArray *faults; /* FkScaleFault */
} FkScalePlan;

/* The default plan: one small region. */
FkScalePlan *fk_scale_plan_new(void);
/* Accepts NULL. */
void fk_scale_plan_free(FkScalePlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkScalePlan, fk_scale_plan_free)
/* Appends a fault given as "KIND@SECONDS" or "KIND@SECONDS:DURATION". FALSE with G_OPTION_ERROR_BAD_VALUE
 * when the text is malformed. */
gboolean fk_scale_plan_add_fault(FkScalePlan *plan, const char *text, GError **error);
/* Whether the plan has a fault of that kind. */
gboolean fk_scale_plan_has_fault(const FkScalePlan *plan, FkScaleFaultKind kind);
/* FALSE with G_OPTION_ERROR_BAD_VALUE when an option is out of its range. */
gboolean fk_scale_plan_validate(const FkScalePlan *plan, GError **error);
/* The plan as written to plan.json and into the summary; the caller owns the result. */
cJSON *fk_scale_plan_to_json(const FkScalePlan *plan);
/* The reverse; missing fields are 0. */
FkScalePlan *fk_scale_plan_from_json(const cJSON *json);
/* NULL with an error when the file can't be read. */
FkScalePlan *fk_scale_plan_load(const char *file, GError **error);

/* The share of `total` that belongs to the region; shares differ by one at most. */
guint fk_scale_region_share(guint total, guint regions, guint region);
guint fk_scale_region_workers(const FkScalePlan *plan, guint region);
guint fk_scale_region_zones(const FkScalePlan *plan, guint region);
guint fk_scale_region_controllers(const FkScalePlan *plan, guint region);
/* CPUs of one worker. */
double fk_scale_worker_cpus(const FkScalePlan *plan);
/* An even share of the region's CPUs among the teams. */
double fk_scale_team_share_cpus(const FkScalePlan *plan, guint region);
/* The most CPUs that tasks of one team may use in that region. */
double fk_scale_team_quota_cpus(const FkScalePlan *plan, guint region);
