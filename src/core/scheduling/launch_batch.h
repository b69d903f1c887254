/* A launch batch: one transaction that allocates tasks to machines and asks victims of preemption to stop.
 * The transaction commits only if the records that guard it haven't changed: this controller's launch fence,
 * the chunks that the batch writes and their jobs, the shards of the machines, the records of teams with
 * a quota, and what zone_guard.h adds. */
#pragma once
#include "core/controller_internal.h"

#define FK_LAUNCH_WRITES_MIN 2 /* a launch starts only if at least this many writes are available */
/* a launch may contain this many writes even if fewer are available: the write budget soon recovers from a
 * small overdraft */
#define FK_LAUNCH_WRITES_ALLOWANCE 4

typedef struct {
  FkOutput *txn;      /* the transaction; NULL while it is empty */
  GHashTable *chunks; /* path -> FkChunk as it will be written, owned by the transaction */
  GHashTable *teams;  /* set of interned names: the teams whose records guard the transaction */
  guint bytes;        /* estimated size of the transaction */
  FkWaitTimes waits;  /* waits of the short tasks that the batch starts */
  guint allocated;    /* number of tasks allocated by the batch */
  /* TRUE if the launch bypasses the pause between launches; it may then start only tasks of jobs above the
   * normal priority */
  gboolean high_priority_only;
} FkLaunchBatch;

/* Returns whether the batch is full: no further task can be added. */
gboolean fk_launch_batch_is_full(FkController *c, const FkLaunchBatch *batch);
/* Returns whether the batch can't write another chunk, since too few writes are available. Tasks of chunks
 * that the batch already writes can still be added. */
gboolean fk_launch_batch_is_out_of_writes(FkController *c, const FkLaunchBatch *batch);
/* Returns whether a record of so many bytes that the store has can be written again, as a part of a launch.
 */
gboolean fk_launch_batch_record_fits(FkController *c, guint bytes);
/* Returns whether the batch writes the key. */
gboolean fk_launch_batch_writes(const FkLaunchBatch *batch, const char *path);
/* Returns the transaction's copy of chunk `index` of the job. Adds the chunk to the transaction first if
 * necessary, guarded by its revision and the job's. */
FkChunk *fk_launch_batch_open_chunk(FkController *c, FkLaunchBatch *batch, const FkJob *job, guint32 index);
/* Allocates the job's first waiting task to the machine. Returns FALSE if no task of the job can be added to
 * the batch. */
gboolean fk_launch_batch_allocate(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine);
/* Allocates the job's first waiting task to the machine and asks the victims (FkAllocationRef) to stop, in
 * the same transaction. The controller that owns the machine then sends the stops and the start in one
 * message, in this order. Returns FALSE if the batch has no room for the whole change or no task of the job
 * can start. */
gboolean fk_launch_batch_preempt(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine,
                                 const GArray *victims);
