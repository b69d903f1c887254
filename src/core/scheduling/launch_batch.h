/* A launch in the making: one transaction that allocates tasks to machines, and asks victims of preemption to
 * stop. It is guarded by everything that its decisions were based on, so that it commits only while they
 * hold. */
#pragma once
#include "core/controller_internal.h"

#define FK_LAUNCH_WRITES_MIN 2       /* writes that must be left in the budget for a launch to begin ... */
#define FK_LAUNCH_WRITES_ALLOWANCE 4 /* ... and how many it may use: a small overdraft is soon made up */

typedef struct {
  FkOutput *txn;      /* the transaction; NULL while it is empty */
  GHashTable *chunks; /* path -> FkChunk as it will be written, owned by the transaction */
  GHashTable *teams;  /* set of interned names: teams whose quota the transaction guards */
  guint bytes;        /* estimated size */
  FkWaitTimes waits;  /* of the short tasks that it starts */
  guint allocated;    /* tasks */
  gboolean
      high_priority_only; /* it bypasses the pause between launches: only urgent jobs may share its writes */
} FkLaunchBatch;

/* No further task can be added. */
gboolean fk_launch_batch_is_full(FkController *c, const FkLaunchBatch *batch);
/* Only tasks of chunks that the batch writes already can be added. */
gboolean fk_launch_batch_is_out_of_writes(FkController *c, const FkLaunchBatch *batch);
/* Allocates the job's first waiting task to the machine. FALSE: it can't be added. */
gboolean fk_launch_batch_allocate(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine);
/* Allocates the first waiting task to the machine and asks the victims (FkAllocationRef) to stop, in the same
 * transaction: the machine's owner sends the stops and the start in one message, in this order. FALSE: it
 * can't be added. */
gboolean fk_launch_batch_preempt(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine,
                                 const GArray *victims);
