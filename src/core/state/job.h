/* Jobs, their tasks, and the legal changes of a task's state. */
#pragma once
#include "core/types.h"

/* A gang's tasks run only all together. */
typedef enum { FK_SHAPE_ARRAY, FK_SHAPE_SERVICE, FK_SHAPE_GANG } FkShape;
/* Lower value: goes first. */
typedef enum {
  FK_JOB_PRIORITY_PRODUCTION,
  FK_JOB_PRIORITY_HIGH,
  FK_JOB_PRIORITY_NORMAL,
  FK_JOB_PRIORITY_LOW
} FkJobPriority;
typedef enum { FK_PHASE_QUEUED, FK_PHASE_RUNNING, FK_PHASE_DONE, FK_PHASE_CANCELLED } FkPhase;

/* What the user asked for. Never changes once accepted, and is shared by reference. */
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
  char *owner;         /* the controller that accepted it: places it while it is short */
  guint32 chunk_tasks; /* tasks a chunk */
  char **dependencies; /* jobs that must be done before any of its tasks starts; NULL: none */
} FkSpec;

FkSpec *fk_spec_new(void);
FkSpec *fk_spec_ref(FkSpec *s);
void fk_spec_unref(FkSpec *s);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkSpec, fk_spec_unref)
/* What all of its tasks take together, by their owner's estimate, in CPU-seconds. */
double fk_spec_cpu_seconds(const FkSpec *s);
guint32 fk_spec_chunk_count(const FkSpec *s);
guint32 fk_spec_chunk_tasks(const FkSpec *s, guint32 chunk);

/* A task's place on a machine. It ends only on proof that the task is not, and won't be, there. */
typedef struct {
  guint32 task;
  FkAttempt attempt;
  const char *machine;     /* interned */
  const char *launched_by; /* interned: the controller that launched it; its share of the team's limit pays */
  gboolean stop_requested; /* a controller decided that the task must leave */
  FkTime first_seen_at;    /* when this controller first saw it; not in the store */
  gboolean start_observed; /* `since` is when it was made, not when we came to know of it */
} FkAllocation;

/* The state of up to `chunk` neighbouring tasks, one store record. */
typedef struct {
  FkRev rev;
  guint32 first_task, task_count;
  guint64 next_attempt;
  guint8 *done; /* a byte a task */
  guint32 done_count;
  GArray *allocations; /* FkAllocation */
} FkChunk;

FkChunk *fk_chunk_new(guint32 first, guint32 count);
FkChunk *fk_chunk_copy(const FkChunk *c);
void fk_chunk_free(FkChunk *c);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkChunk, fk_chunk_free)
/* Whether its record stays within so many KiB, with one more booking (NULL: as it is). */
gboolean fk_chunk_fits(const FkChunk *c, double value_kb, const char *machine, const char *by);
/* Tasks a chunk of which every one may be booked within so many KiB, by controllers with names of that
 * length. */
guint32 fk_chunk_max_tasks(double value_kb, const char *by);
FkAllocation *fk_chunk_find_allocation(const FkChunk *c, guint32 task);

/* The legal changes. Each returns FALSE, and changes nothing, when the change isn't legal. */
gboolean fk_chunk_allocate(FkChunk *c, guint32 task, const char *machine, const char *by);
/* A gang's tasks start together only under one number; it must be above all earlier ones. */
gboolean fk_chunk_allocate_attempt(FkChunk *c, guint32 task, const char *machine, const char *by,
                                   FkAttempt attempt);
gboolean fk_chunk_release(FkChunk *c, guint32 task, FkAttempt attempt);
gboolean fk_chunk_finish(FkChunk *c, guint32 task, FkAttempt attempt);
/* Asks a booked task to leave; the booking stays until the task has. */
gboolean fk_chunk_request_stop(FkChunk *c, guint32 task);
