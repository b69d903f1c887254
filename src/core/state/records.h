/* Records in the store: the contents of each kind of key. */
#pragma once
#include "core/state/job.h"
#include "core/state/store_keys.h"

/* A machine as a page of its shard describes it. Only `drain_reason` and `notice_s` ever change. */
typedef struct {
  char *id, *addr;
  const char *type, *zone; /* interned */
  gboolean spot;
  const char *drain_reason; /* interned: why the machine is to be drained; NULL if it is not */
  double notice_s;          /* seconds from the drain until the announced termination; < 0 if unknown */
} FkMachineRecord;

FkMachineRecord *fk_machine_record_copy(const FkMachineRecord *machine);
void fk_machine_record_free(gpointer machine); /* NULL is fine */
/* Returns an upper bound on the size of the machine's entry in a page, in bytes. */
guint fk_machine_record_bytes(const FkMachineRecord *machine);

#define FK_MACHINE_PAGE_OVERHEAD_BYTES 100 /* size of a page without machines */
/* Largest computed size of a page. The limit is below `value_kb` KiB, which leaves a safety margin. */
#define FK_MACHINE_PAGE_MAX_BYTES(value_kb) ((guint)((value_kb)*1000) - 100)

/* An attempt that ended without a result. */
typedef struct {
  guint32 task;
  guint32 task_failed; /* boolean: the worker reported that the task failed */
  FkAttempt attempt;
} FkReleasedAttempt;

/* Completions of allocations of one chunk, written by the controller that has proof of them: the shard's
 * owner or, for a terminated machine, the leader. The view applies the completions to its copy of the chunk
 * until the chunk's stored record includes them. */
typedef struct {
  char *chunk;        /* "job/index" */
  GByteArray *done;   /* one byte per task; not 0 if the task is done */
  GArray *released;   /* FkReleasedAttempt */
  gconstpointer page; /* in the view: the FkCompletionPage that contains this record; NULL if replaced */
} FkCompletionRecord;

FkCompletionRecord *fk_completion_record_new(const char *chunk);
FkCompletionRecord *fk_completion_record_copy(const FkCompletionRecord *completion);
void fk_completion_record_free(gpointer completion); /* NULL is fine */

/* Wait times of the short tasks that a controller launched in one statistics window. The capped sum includes
 * only the first tasks of each job, so that no large job dominates the mean. */
typedef struct {
  guint64 window;
  double capped_sum_s;
  guint64 capped_count;
  double sum_s;
  guint64 count;
} FkWaitTimes;

/* Adds the sums and counts of `more` to `to`; leaves `window` as it is. */
void fk_wait_times_add(FkWaitTimes *to, const FkWaitTimes *more);

/* What a controller's version can do, as far as the other controllers must know: a set of bits. */
typedef enum {
  FK_FEATURE_DEPENDENCIES = 1 << 0, /* job dependencies, and several pages per shard */
  FK_FEATURE_ZONE_GUARD = 1 << 1,   /* launches compare all that the choice of a zone read (zone_guard.h) */
} FkFeature;
typedef guint FkFeatures;
#define FK_FEATURES_ALL (FK_FEATURE_DEPENDENCIES | FK_FEATURE_ZONE_GUARD)

/* The value of one key: a tagged union that owns its members. Only the members of its `kind` may be accessed.
 * The comment of each member names the kind, without the prefix FK_KEY_. */
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
    struct {                /* SHARD: the shard's owner; LEADER: the leader; NODE: `node` is NULL */
      char *node, *incarnation;
      char **unreachable_zones; /* NODE: see FkControllerNode; owned */
    };
    struct {                   /* TEAM */
      char *last_exhausted_by; /* the last controller to use up its share; NULL if none */
      /* controller -> double*: its share of the CPU quota. Empty while launches are paused; NULL if launches
       * are serialized. */
      GHashTable *partition;
    };
    struct { /* TERMINAL_JOB */
      FkPhase phase;
      guint32 tasks;      /* number of tasks done */
      gint64 ended_at_ms; /* wall clock; 0 if unknown */
    };
    FkWaitTimes wait_times; /* WAIT_TIMES */
    FkFeatures features;    /* LAUNCH_FENCE */
  };
} FkRecord;

FkRecord *fk_record_new(FkStoreKeyKind kind);
void fk_record_free(FkRecord *record); /* NULL is fine */
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkRecord, fk_record_free)

/* A change of one key from a watch, or the state of a key from a list or read. */
typedef struct {
  char *path;
  FkRecord *record; /* NULL if the key was deleted */
  FkRev rev;
} FkStoreEvent;

void fk_store_event_free(FkStoreEvent *event); /* NULL is fine */
