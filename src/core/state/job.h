/* Job specifications, the chunks that hold the states of a job's tasks, and the allowed state changes. */
#pragma once
#include "common/types.h"

/* ARRAY: independent tasks, each run once to completion. SERVICE: tasks that run until the job is cancelled.
 * GANG: tasks that run only if all of them run at the same time. */
typedef enum { FK_SHAPE_ARRAY, FK_SHAPE_SERVICE, FK_SHAPE_GANG } FkShape;
/* A lower value is a higher priority. */
typedef enum {
  FK_JOB_PRIORITY_PRODUCTION,
  FK_JOB_PRIORITY_HIGH,
  FK_JOB_PRIORITY_NORMAL,
  FK_JOB_PRIORITY_LOW
} FkJobPriority;
typedef enum { FK_PHASE_QUEUED, FK_PHASE_RUNNING, FK_PHASE_DONE, FK_PHASE_CANCELLED } FkPhase;

/* A job as the user submitted it. Immutable once the job is accepted; shared by reference counting. */
typedef struct {
  gint ref_count;
  char *id, *class_name, *team;
  FkShape shape;
  FkJobPriority priority;
  guint32 tasks;
  double cpus, gpus, mem_gb;
  char *image;
  double image_gb;
  char **types; /* instance types that the job may run on; NULL if any */
  char *zone;   /* zone that the job must run in; NULL if any */
  gboolean one_zone, spread, spot;
  double estimate_s, checkpoint_s, save_s;
  double deadline_s;   /* seconds from submission; < 0 if none */
  gint64 submitted_ms; /* time of submission, wall clock */
  char *owner;         /* name of the controller that accepted the job and places the job's short tasks */
  guint32 chunk_tasks; /* tasks per chunk */
  char **dependencies; /* ids of the jobs that must be done before this job starts; NULL if none */
} FkSpec;

FkSpec *fk_spec_new(void);
FkSpec *fk_spec_ref(FkSpec *spec);
void fk_spec_unref(FkSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkSpec, fk_spec_unref)
/* Returns the CPU-seconds of all tasks together, by the user's estimate. */
double fk_spec_cpu_seconds(const FkSpec *spec);
/* Returns an upper bound on the size of the job's record, in bytes. */
guint fk_spec_record_bytes(const FkSpec *spec);
guint32 fk_spec_chunk_count(const FkSpec *spec);
guint32 fk_spec_chunk_tasks(const FkSpec *spec, guint32 chunk);

/* An attempt to run a task on a machine. An allocation ends only on proof that the attempt is not running on
 * that machine and never will be. */
typedef struct {
  guint32 task;
  FkAttempt attempt;
  const char *machine;     /* interned */
  const char *launched_by; /* interned: controller that launched the attempt, from its quota share */
  gboolean stop_requested; /* the worker is to stop the task */
  FkTime first_seen_at;    /* when this controller first saw the allocation; not in the store */
  gboolean start_observed; /* FALSE if the allocation may be older than `first_seen_at` */
} FkAllocation;

/* The states of up to `chunk_tasks` consecutive tasks of a job: one record in the store. */
typedef struct {
  FkRev rev;
  guint32 first_task, task_count;
  guint64 next_attempt;
  guint8 *done; /* one byte per task; 1 if the task is done */
  guint32 done_count;
  GArray *allocations; /* FkAllocation */
} FkChunk;

FkChunk *fk_chunk_new(guint32 first, guint32 count);
FkChunk *fk_chunk_copy(const FkChunk *chunk);
void fk_chunk_free(FkChunk *chunk);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkChunk, fk_chunk_free)
/* Returns whether the chunk's record stays within `value_kb` KiB after `controller` adds an allocation to
 * `machine`. If `machine` is NULL, checks the chunk without a new allocation. */
gboolean fk_chunk_fits(const FkChunk *chunk, double value_kb, const char *machine, const char *controller);
/* Returns the number of tasks per chunk for a size limit of `value_kb` KiB: the number of allocations that
 * fit into one record, limited to a fixed minimum and maximum. Assumes that the names of the launching
 * controllers are as long as `controller`. */
guint32 fk_chunk_max_tasks(double value_kb, const char *controller);
/* Returns the task's allocation, valid until the chunk next changes; NULL if it has none. */
FkAllocation *fk_chunk_find_allocation(const FkChunk *chunk, guint32 task);

/* The allowed state changes. Each function returns FALSE, and changes nothing, if the change is not allowed.
 */

/* Allocates a task with the chunk's next attempt number. Not allowed if the task is done or allocated. */
gboolean fk_chunk_allocate(FkChunk *chunk, guint32 task, const char *machine, const char *controller);
/* Allocates a task of a gang with the given attempt number. All tasks of one gang launch share one number,
 * which must be higher than the numbers of all earlier launches of the gang. */
gboolean fk_chunk_allocate_attempt(FkChunk *chunk, guint32 task, const char *machine, const char *controller,
                                   FkAttempt attempt);
/* Removes the allocation of an attempt that ended without a result. The task then waits for a new allocation.
 */
gboolean fk_chunk_release(FkChunk *chunk, guint32 task, FkAttempt attempt);
/* Removes the allocation of an attempt that succeeded, and marks the task done. */
gboolean fk_chunk_finish(FkChunk *chunk, guint32 task, FkAttempt attempt);
/* Marks an allocated task to be stopped. The allocation stays until the attempt is proven to have ended. */
gboolean fk_chunk_request_stop(FkChunk *chunk, guint32 task);
