/* The autoscaler's plan: capacity that is free now or will be, and the machines to provision.
 *
 * Many machines are alike, and so are the resources that running tasks will release. Those that are alike
 * share a bin with a count, so that a plan for thousands of machines stays small. */
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
  FK_CAPACITY_BIN_IDLE,    /* machines without allocated tasks */
  FK_CAPACITY_BIN_IN_USE,  /* free capacity on machines with tasks */
  FK_CAPACITY_BIN_BOOTING, /* machines that are requested or booting */
  FK_CAPACITY_BIN_RELEASED /* capacity that running tasks will release */
} FkCapacityBinKind;

/* Identifies a bin. Compared byte by byte, padding included: only fk_capacity_plan_add() creates keys. */
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

/* A plan. Owns all members. */
typedef struct {
  GArray *bins;         /* FkCapacityBin */
  GHashTable *index;    /* FkCapacityBinKey -> index of the bin + 1 */
  GArray *to_provision; /* FkCapacityBin: only the offer and the count are set */
} FkCapacityPlan;

FkCapacityPlan *fk_capacity_plan_new(void);
void fk_capacity_plan_free(FkCapacityPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkCapacityPlan, fk_capacity_plan_free)

/* Returns how many tasks with this spec fit into `free`. */
guint fk_capacity_task_slots(FkCapacity free, const FkSpec *spec);

/* Adds `count` machines, or parts of machines, each with `free` capacity from `available_s` seconds on.
 * Capacity that is too small for any task is omitted. */
void fk_capacity_plan_add(FkCapacityPlan *plan, FkCapacityBinKind kind, const FkOffer *offer, guint count,
                          FkCapacity free, double available_s);

/* Returns the index of the bin that is available earliest and has room for a task, preferring machines in use
 * over idle ones; -1 if no bin has room. */
int fk_capacity_plan_earliest_bin(const FkCapacityPlan *plan, const FkSpec *spec);

/* Allocates up to `tasks` tasks in the bin, filling one machine after another. The capacity of tasks that
 * aren't services is available again after `run_s`. Returns the number of tasks allocated. */
guint fk_capacity_plan_allocate(FkCapacityPlan *plan, int bin_index, const FkSpec *spec, guint tasks,
                                double run_s);

/* Adds `count` machines of the offer to those to provision. The plan treats them as booting, ready in
 * `ready_s` seconds. */
void fk_capacity_plan_provision(FkCapacityPlan *plan, const FkOffer *offer, guint count, double ready_s);
