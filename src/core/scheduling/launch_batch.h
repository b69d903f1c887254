/* A launch batch: one transaction that allocates tasks to machines and asks victims of preemption to stop. It
 * is guarded by every record that its decisions were based on, so that it commits only if none of them has
 * changed. */
#pragma once
#include "core/controller_internal.h"

#define FK_LAUNCH_WRITES_MIN 2 /* writes that must be available in the write budget for a launch to start */
/* writes that a launch may always use: a small overdraft of the write budget is soon made up */
#define FK_LAUNCH_WRITES_ALLOWANCE 4

typedef struct {
  FkOutput *txn;      /* the transaction; NULL while it is empty */
  GHashTable *chunks; /* path -> FkChunk as it will be written, owned by the transaction */
  GHashTable *teams;  /* set of interned names: teams whose quota the transaction guards */
  guint bytes;        /* estimated size of the transaction */
  FkWaitTimes waits;  /* waits of the short tasks that the batch starts */
  guint allocated;    /* number of tasks allocated by the batch */
  /* the launch bypasses the pause between launches, so it may only contain urgent jobs */
  gboolean urgent_only;
} FkLaunchBatch;

/* Returns whether the batch is full: no further task can be added. */
gboolean fk_launch_batch_is_full(FkController *c, const FkLaunchBatch *batch);
/* Returns whether the write budget is used up: only tasks of chunks that the batch already writes can be
 * added. */
gboolean fk_launch_batch_is_out_of_chunks(FkController *c, const FkLaunchBatch *batch);
/* Allocates the job's first waiting task to the machine. Returns FALSE if the batch can't take the task. */
gboolean fk_launch_batch_allocate(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine);
/* Allocates the job's first waiting task to the machine and asks the victims (FkAllocationRef) to stop, in
 * the same transaction: the controller that owns the machine sends the stops and the start in one message, in
 * this order. Returns FALSE if the batch can't take the task. */
gboolean fk_launch_batch_preempt(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine,
                                 const GArray *victims);
