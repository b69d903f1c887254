/* Shards of machines: who owns them, the registry of their machines, and the completions of what ran there.
 */
#pragma once
#include "core/messages.h"

/* Why a machine should go, as it is written in the store. */
#define FK_DRAIN_REASON_IDLE "idle"
#define FK_DRAIN_REASON_DRAIN "drain"   /* what runs there moves, then it goes */
#define FK_DRAIN_REASON_NOTICE "notice" /* the cloud has given notice of its termination */
#define FK_DRAIN_REASON_SILENT "silent"
#define FK_DRAIN_REASON_FAULTY "sick"

/* Acquiring shards, and writing their machine registry's pages. */
typedef struct {
  gboolean acquiring;     /* a transaction is under way ... */
  FkRev acquire_wait_rev; /* ... or the view must reach what the last one wrote */
  FkTime acquire_after;
  FkTime handback_after; /* no shard is taken back from a live controller before this */
  gboolean page_writing; /* the same for the registry's pages */
  FkRev page_wait_rev;
  FkTime page_write_after;
} FkShardWrites;

/* The end of one allocation, proven and not in the store yet. */
typedef struct FkCompletion FkCompletion;

typedef struct {
  GHashTable *pending;            /* attempt key -> FkCompletion */
  GHashTable *pending_by_machine; /* machine id (interned) -> how many of them */
  gboolean writing;               /* a transaction is under way ... */
  FkRev wait_rev;                 /* ... or the view must reach what the last one wrote */
  FkTime write_after;
  gboolean urgent; /* a task waits to be started elsewhere: the pause until `write_after` is skipped */
  guint page;      /* the number of the page written last */
} FkCompletions;

/* When to try again after a write that failed; spread, so that controllers don't collide. */
FkTime fk_write_retry_at(FkController *c);
/* Seconds that so many writes must last when all controllers together may use `share` of the store's write
 * budget. */
double fk_write_pace_s(FkController *c, guint writes, double share);

/* ---- shard_ownership.c ---- */

/* Whether this controller, in its present incarnation, owns the shard by the view. */
gboolean fk_shard_is_owned(FkController *c, const FkShard *shard);
gboolean fk_machine_is_owned(FkController *c, const FkMachine *machine);
/* The controller that should own the shard; all controllers agree on it while their views do. */
const char *fk_shard_preferred_owner(FkController *c, const FkShard *shard);
/* Acquires the shards that this controller should own. */
void fk_shard_ownership_tick(FkController *c);

/* ---- machine_registry.c ---- */

/* Asks for a machine that sends heartbeats to be registered. */
void fk_machine_registry_add(FkController *c, FkMachine *machine, const FkHeartbeat *heartbeat);
/* Asks the leader, through the store, to drain a registered machine; `reason` NULL: no longer. `notice_s`:
 * seconds until its termination, < 0: none. */
void fk_machine_registry_set_drain_reason(FkController *c, FkMachine *machine, const char *reason,
                                          double notice_s);
/* Asks for a machine to be removed that is proven gone and has no allocations. */
void fk_machine_registry_remove(FkController *c, FkMachine *machine);
/* Writes the pages with requested changes. */
void fk_machine_registry_tick(FkController *c);

/* ---- completions.c ---- */

/* "job/task#attempt". */
char *fk_attempt_key(const char *job, guint32 task, FkAttempt attempt);
/* Whether the allocation has certainly ended, and the view doesn't show it yet. */
gboolean fk_completion_is_pending(FkController *c, const FkMachine *machine,
                                  const FkAllocationRef *allocation);
/* Adds the proven end of an allocation. `guarded`: the proof stands on our ownership of the machine's shard.
 */
void fk_completions_add(FkController *c, const FkMachine *machine, const FkAllocationRef *allocation,
                        FkCompletionKind kind, gboolean guarded);
/* Writes what is pending. */
void fk_completions_tick(FkController *c);
/* Forgets what is pending. */
void fk_completions_clear(FkController *c);
void fk_completion_free(gpointer completion);
