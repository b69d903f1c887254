/* The autoscaler's plan: capacity that is free now or will be, and the machines to provision.
 *
 * Machines with the same offer, free capacity and time of availability share a bin with a count, so that a
 * plan for thousands of machines stays small. So do the resources that running tasks will release. */
#pragma once
#include "core/messages.h"
#include "core/state/job.h"

/* An amount of resources. */
typedef struct {
  double cpus, gpus, mem_gb;
} FkCapacity;

/* An offer of the cloud: an instance type in a zone, on-demand or spot. */
typedef struct {
  const FkInstanceType *type; /* borrowed */
  const char *zone;           /* borrowed */
  gboolean spot;
} FkOffer;

/* What a bin consists of. */
typedef enum {
  FK_CAPACITY_BIN_IDLE,    /* machines without allocated or planned tasks */
  FK_CAPACITY_BIN_IN_USE,  /* free capacity on machines with allocated or planned tasks */
  FK_CAPACITY_BIN_BOOTING, /* machines that are requested or booting */
  FK_CAPACITY_BIN_RELEASED /* capacity that running tasks will release */
} FkCapacityBinKind;

/* Identifies a bin. Keys are compared byte by byte, padding included: keys for lookups are created only by
 * fk_capacity_plan_add(), which clears the padding. */
typedef struct {
  const FkInstanceType *type;
  const char *zone; /* interned */
  guint32 spot, kind;
  gint64 cpu_steps, gpu_steps, mem_steps, time_steps; /* multiples of 1/4 CPU, 1/4 GPU, 1/2 GB, 2 s */
} FkCapacityBinKey;

/* Machines, or parts of machines, that are alike. */
typedef struct {
  FkCapacityBinKey key;
  guint count;        /* number of machines or parts of machines */
  FkCapacity free;    /* free capacity of each, from `available_s` on */
  double available_s; /* seconds from now */
} FkCapacityBin;

/* Capacity in bins, and the machines to provision. Owns all members. */
typedef struct {
  GArray *bins;         /* FkCapacityBin */
  GHashTable *index;    /* FkCapacityBinKey -> index of the bin + 1 */
  GArray *to_provision; /* FkCapacityBin: only type, zone and spot of the key, and the count, are set */
} FkCapacityPlan;

FkCapacityPlan *fk_capacity_plan_new(void);
void fk_capacity_plan_free(FkCapacityPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkCapacityPlan, fk_capacity_plan_free)

/* Returns how many tasks with this spec fit into `free` at the same time, at most 100,000. */
guint fk_capacity_task_slots(FkCapacity free, const FkSpec *spec);

/* Adds `count` machines, or parts of machines, each with `free` capacity from `available_s` seconds on.
 * Capacity below the limits in capacity_plan.c is omitted: it is treated as too small for any task. */
void fk_capacity_plan_add(FkCapacityPlan *plan, FkCapacityBinKind kind, const FkOffer *offer, guint count,
                          FkCapacity free, double available_s);

/* Returns the index of the earliest available bin that has room for a task; -1 if no bin has room. Among bins
 * available at the same time, machines in use are preferred. */
int fk_capacity_plan_earliest_bin(const FkCapacityPlan *plan, const FkSpec *spec);

/* Allocates up to `tasks` tasks in the bin, filling one machine after another. Unless the tasks are of a
 * service, their capacity is added to the plan again, available `run_s` seconds after the bin. Returns the
 * number of tasks allocated. */
guint fk_capacity_plan_allocate(FkCapacityPlan *plan, int bin_index, const FkSpec *spec, guint tasks,
                                double run_s);

/* Adds `count` machines of the offer to those to provision. The plan treats them as booting, ready in
 * `ready_s` seconds. */
void fk_capacity_plan_provision(FkCapacityPlan *plan, const FkOffer *offer, guint count, double ready_s);
