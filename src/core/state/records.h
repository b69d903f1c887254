/* Records of the store: what goes under each kind of key. */
#pragma once
#include "core/state/job.h"
#include "core/state/store_keys.h"

/* A machine as its shard's page describes it. Only the drain reason changes. */
typedef struct {
  char *id, *addr;
  const char *type, *zone; /* interned */
  gboolean spot;
  const char *drain_reason; /* interned: why the machine should go, or NULL */
  double notice_s;          /* with a reason: how long it has left */
} FkMachineRecord;

FkMachineRecord *fk_machine_record_copy(const FkMachineRecord *machine);
void fk_machine_record_free(gpointer machine); /* NULL is fine */
/* The most that the machine takes of a page, in bytes. */
guint fk_machine_record_bytes(const FkMachineRecord *machine);

#define FK_MACHINE_PAGE_OVERHEAD_BYTES 100 /* of a page, whatever its machines */
#define FK_MACHINE_PAGE_MAX_BYTES(value_kb) ((guint)((value_kb)*1000) - 100)

/* An attempt that ended without a result. */
typedef struct {
  guint32 task;
  guint32 task_failed; /* boolean: the worker said so; it was not stopped, nor lost with its machine */
  FkAttempt attempt;
} FkReleasedAttempt;

/* The completions of one chunk's allocations, as a controller has proven them. It counts until the chunk's
 * own record says so. */
typedef struct {
  char *chunk;        /* "job/index" */
  GByteArray *done;   /* a byte a task */
  GArray *released;   /* FkReleasedAttempt */
  gconstpointer page; /* the FkCompletionPage that has it, in the view; NULL once replaced */
} FkCompletionRecord;

FkCompletionRecord *fk_completion_record_new(const char *chunk);
FkCompletionRecord *fk_completion_record_copy(const FkCompletionRecord *completion);
void fk_completion_record_free(gpointer completion); /* NULL is fine */

/* How long a controller's short tasks waited in one window. A capped sum counts a few tasks of each job only,
 * so that no large job decides the mean. */
typedef struct {
  guint64 window;
  double capped_sum_s;
  guint64 capped_count;
  double sum_s;
  guint64 count;
} FkWaitTimes;

/* Adds the sums and counts, not the window. */
void fk_wait_times_add(FkWaitTimes *to, const FkWaitTimes *more);

/* What is under one key: a tagged union, which owns its members. Only those of its `kind` may be read or
 * written. */
typedef struct {
  FkStoreKeyKind kind;
  union {
    struct { /* JOB */
      FkSpec *spec;
      gboolean cancelled;
    };
    FkChunk *chunk;         /* CHUNK */
    GPtrArray *machines;    /* MACHINE_PAGE: FkMachineRecord */
    GPtrArray *completions; /* COMPLETIONS: FkCompletionRecord */
    struct {                /* SHARD and LEADER: the owner; NODE: only its incarnation */
      char *node, *incarnation;
    };
    struct {                   /* TEAM */
      char *last_exhausted_by; /* the controller that used up its share last, or NULL */
      GHashTable *partition;   /* controller -> double* CPUs; NULL: launches are serialized */
    };
    struct { /* TERMINAL_JOB */
      FkPhase phase;
      guint32 tasks;      /* done */
      gint64 ended_at_ms; /* time of day; 0: not known */
    };
    FkWaitTimes wait_times;         /* WAIT_TIMES */
    gboolean supports_dependencies; /* LAUNCH_FENCE */
  };
} FkRecord;

FkRecord *fk_record_new(FkStoreKeyKind kind);
void fk_record_free(FkRecord *record); /* NULL is fine */
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkRecord, fk_record_free)

/* A change of one key, or its state when it was listed or read. */
typedef struct {
  char *path;
  FkRecord *record; /* NULL: deleted */
  FkRev rev;
} FkStoreEvent;

void fk_store_event_free(FkStoreEvent *event); /* NULL is fine */
