/* The autoscaler's plan: capacity that is free now or will be, and the machines to provision.
 *
 * Machines of the same kind and offer, with about the same free capacity and time of availability, share a
 * bin with a count, so that a plan for thousands of machines stays small. The capacity that tasks will
 * release is grouped into bins in the same way. */
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
  FK_CAPACITY_BIN_IN_USE,  /* free capacity on joined machines with allocated or planned tasks */
  FK_CAPACITY_BIN_BOOTING, /* free capacity of machines that are booting, requested or planned */
  FK_CAPACITY_BIN_RELEASED /* capacity that running or planned tasks will release */
} FkCapacityBinKind;

/* Identifies a bin. Keys are compared byte by byte, padding included: keys for lookups are created only by
 * bin_key() in capacity_plan.c, which clears the padding. */
typedef struct {
  const FkInstanceType *type;
  const char *zone; /* interned */
  guint32 spot, kind;
  gint64 cpu_steps, gpu_steps, mem_steps; /* free capacity in multiples of 1/4 CPU, 1/4 GPU, 1/2 GB */
  gint64 time_steps; /* 0 if available now, else 1 + seconds until available / 2, rounded down */
} FkCapacityBinKey;

/* Machines, or parts of machines, with the same key. */
typedef struct {
  FkCapacityBinKey key;
  guint count;        /* number of machines or parts of machines */
  FkCapacity free;    /* free capacity of each machine or part, from `available_s` on */
  double available_s; /* seconds from now until the capacity is available; 0 if now */
} FkCapacityBin;

/* Capacity in bins, and the machines to provision. Owns all members. */
typedef struct {
  GArray *bins;         /* FkCapacityBin */
  GHashTable *index;    /* FkCapacityBinKey -> index of the bin + 1 */
  GArray *to_provision; /* FkCapacityBin; only `count`, and `type`, `zone` and `spot` in `key`, are set */
} FkCapacityPlan;

FkCapacityPlan *fk_capacity_plan_new(void);
void fk_capacity_plan_free(FkCapacityPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkCapacityPlan, fk_capacity_plan_free)

/* Returns how many tasks with this spec fit into `free` at the same time, at most 100,000. */
guint fk_capacity_task_slots(FkCapacity free, const FkSpec *spec);

/* Adds `count` machines, or parts of machines, each with `free` capacity from `available_s` seconds on. Omits
 * capacity that is too small for any task (see BIN_CPUS_MIN in capacity_plan.c). */
void fk_capacity_plan_add(FkCapacityPlan *plan, FkCapacityBinKind kind, const FkOffer *offer, guint count,
                          FkCapacity free, double available_s);

/* Returns the index of the earliest available bin that has room for a task with this spec; -1 if no bin has
 * room. Among bins available at the same time, machines in use are preferred. */
int fk_capacity_plan_earliest_bin(const FkCapacityPlan *plan, const FkSpec *spec);

/* Allocates up to `tasks` tasks in the bin, which must have room for one, and fills one machine after
 * another. Unless the tasks are of a service, adds the capacity that the tasks will release to the plan,
 * available `run_s` seconds after the bin. Returns the number of tasks allocated. */
guint fk_capacity_plan_allocate(FkCapacityPlan *plan, int bin_index, const FkSpec *spec, guint tasks,
                                double run_s);

/* Adds `count` machines of the offer to those to provision. The plan treats them as booting, ready in
 * `ready_s` seconds. */
void fk_capacity_plan_provision(FkCapacityPlan *plan, const FkOffer *offer, guint count, double ready_s);
