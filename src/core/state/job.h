/* Specifications of jobs, and the chunks that hold the states of their tasks with the legal changes. */
#pragma once
#include "common/types.h"

/* An array's tasks run one by one, a service's until it is cancelled, a gang's only all together. */
typedef enum { FK_SHAPE_ARRAY, FK_SHAPE_SERVICE, FK_SHAPE_GANG } FkShape;
/* Lower value: goes first. */
typedef enum {
  FK_JOB_PRIORITY_PRODUCTION,
  FK_JOB_PRIORITY_HIGH,
  FK_JOB_PRIORITY_NORMAL,
  FK_JOB_PRIORITY_LOW
} FkJobPriority;
typedef enum { FK_PHASE_QUEUED, FK_PHASE_RUNNING, FK_PHASE_DONE, FK_PHASE_CANCELLED } FkPhase;

/* What the user submitted. Never changes once accepted, and is shared by reference. */
typedef struct {
  gint ref_count;
  char *id, *class_name, *team;
  FkShape shape;
  FkJobPriority priority;
  guint32 tasks;
  double cpus, gpus, mem_gb;
  char *image;
  double image_gb;
  char **types; /* NULL: any */
  char *zone;   /* NULL: any */
  gboolean one_zone, spread, spot;
  double estimate_s, checkpoint_s, save_s;
  double deadline_s;   /* < 0: none */
  gint64 submitted_ms; /* time of day */
  char *owner;         /* the controller that accepted it, whose short path places it */
  guint32 chunk_tasks; /* tasks a chunk */
  char **dependencies; /* jobs that must be done before any of its tasks starts; NULL: none */
} FkSpec;

FkSpec *fk_spec_new(void);
FkSpec *fk_spec_ref(FkSpec *spec);
void fk_spec_unref(FkSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkSpec, fk_spec_unref)
/* CPU-seconds of all tasks together, by the user's estimate. */
double fk_spec_cpu_seconds(const FkSpec *spec);
guint32 fk_spec_chunk_count(const FkSpec *spec);
guint32 fk_spec_chunk_tasks(const FkSpec *spec, guint32 chunk);

/* An attempt to run a task on a machine. It ends only on proof that the task does not, and will not, run
 * there. */
typedef struct {
  guint32 task;
  FkAttempt attempt;
  const char *machine;     /* interned */
  const char *launched_by; /* interned: the controller whose share of the team's quota it uses */
  gboolean stop_requested; /* the task is to be stopped */
  FkTime first_seen_at;    /* when this controller first saw it; not in the store */
  gboolean start_observed; /* that was when it was made, not when this controller came to know of it */
} FkAllocation;

/* The state of up to `chunk_tasks` neighbouring tasks: one record of the store. */
typedef struct {
  FkRev rev;
  guint32 first_task, task_count;
  guint64 next_attempt;
  guint8 *done; /* a byte a task */
  guint32 done_count;
  GArray *allocations; /* FkAllocation */
} FkChunk;

FkChunk *fk_chunk_new(guint32 first, guint32 count);
FkChunk *fk_chunk_copy(const FkChunk *chunk);
void fk_chunk_free(FkChunk *chunk);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkChunk, fk_chunk_free)
/* Whether its record stays within so many KiB, with one more allocation (`machine` NULL: as it is). */
gboolean fk_chunk_fits(const FkChunk *chunk, double value_kb, const char *machine, const char *controller);
/* The most tasks of a chunk that all fit its record when allocated by controllers with names of that length.
 */
guint32 fk_chunk_max_tasks(double value_kb, const char *controller);
/* Borrowed, until the next change; NULL: the task has no allocation. */
FkAllocation *fk_chunk_find_allocation(const FkChunk *chunk, guint32 task);

/* The legal changes. Each returns FALSE, and changes nothing, when the change is not legal. */
/* A task that is neither done nor allocated, under the next attempt number. */
gboolean fk_chunk_allocate(FkChunk *chunk, guint32 task, const char *machine, const char *controller);
/* A gang's tasks start together under one attempt number; it must be above all earlier ones. */
gboolean fk_chunk_allocate_attempt(FkChunk *chunk, guint32 task, const char *machine, const char *controller,
                                   FkAttempt attempt);
/* The attempt has ended without a result. */
gboolean fk_chunk_release(FkChunk *chunk, guint32 task, FkAttempt attempt);
/* The attempt has ended, and the task is done. */
gboolean fk_chunk_finish(FkChunk *chunk, guint32 task, FkAttempt attempt);
/* Marks an allocated task to be stopped; the allocation stays until it has ended. */
gboolean fk_chunk_request_stop(FkChunk *chunk, guint32 task);
