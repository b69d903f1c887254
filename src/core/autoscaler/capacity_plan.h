/* The plan that the autoscaler works on: capacity that is free now or will be, and what to provision.
 *
 * Machines, and the resources that running tasks will release, are alike in large numbers. Alike ones share a
 * bin with a count, so that a plan for thousands of machines stays small. */
#pragma once
#include "core/messages.h"
#include "core/state/job.h"

typedef struct {
  double cpus, gpus, mem_gb;
} FkCapacity;

/* What the cloud can be asked for. */
typedef struct {
  const FkInstanceType *type; /* borrowed */
  const char *zone;           /* borrowed */
  gboolean spot;
} FkOffer;

typedef enum {
  FK_CAPACITY_BIN_IDLE,    /* machines without tasks */
  FK_CAPACITY_BIN_IN_USE,  /* free capacity beside tasks */
  FK_CAPACITY_BIN_BOOTING, /* machines that have been requested */
  FK_CAPACITY_BIN_RELEASED /* what running tasks will release */
} FkCapacityBinKind;

/* What bins are told apart by. Compared byte by byte: created by fk_capacity_plan_add() only. */
typedef struct {
  const FkInstanceType *type;
  const char *zone; /* interned */
  guint32 spot, kind;
  gint64 cpu_steps, gpu_steps, mem_steps, time_steps; /* rounded: 1/4 CPU and GPU, 1/2 GB, 2 s */
} FkCapacityBinKey;

typedef struct {
  FkCapacityBinKey key;
  guint count;
  FkCapacity free;    /* of each, from `available_s` on */
  double available_s; /* from now */
} FkCapacityBin;

typedef struct {
  GArray *bins;         /* FkCapacityBin */
  GHashTable *index;    /* FkCapacityBinKey -> index of the bin + 1 */
  GArray *to_provision; /* FkCapacityBin: offer and count only */
} FkCapacityPlan;

FkCapacityPlan *fk_capacity_plan_new(void);
void fk_capacity_plan_free(FkCapacityPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkCapacityPlan, fk_capacity_plan_free)

/* How many tasks like this `free` has room for. */
guint fk_capacity_task_slots(FkCapacity free, const FkSpec *spec);

/* Adds `count` machines, or parts of machines, with so much free. What is too small for any task is left out.
 */
void fk_capacity_plan_add(FkCapacityPlan *plan, FkCapacityBinKind kind, const FkOffer *offer, guint count,
                          FkCapacity free, double available_s);

/* The bin with the earliest room for a task, machines in use before idle ones; -1: none has room. */
int fk_capacity_plan_earliest(const FkCapacityPlan *plan, const FkSpec *spec);

/* Allocates up to `tasks` tasks in the bin, each of its machines filled before the next one. What tasks other
 * than services take is free again after `run_s`. Returns how many were allocated. */
guint fk_capacity_plan_allocate(FkCapacityPlan *plan, int bin_index, const FkSpec *spec, guint tasks,
                                double run_s);

/* Plans to provision `count` such machines, which count as booting from now on. */
void fk_capacity_plan_provision(FkCapacityPlan *plan, const FkOffer *offer, guint count, double ready_s);
