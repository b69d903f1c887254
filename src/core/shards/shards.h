/* Shards of machines: their ownership, the registry of their machines, and the completions of the allocations
 * on them. */
#pragma once
#include "core/messages.h"

/* Reasons for draining a machine, as written in the store. */
#define FK_DRAIN_REASON_IDLE "idle"     /* the machine isn't needed any more */
#define FK_DRAIN_REASON_DRAIN "drain"   /* for consolidation: the machine's tasks move elsewhere */
#define FK_DRAIN_REASON_NOTICE "notice" /* the cloud gave notice that it will terminate the machine */
#define FK_DRAIN_REASON_SILENT "silent" /* the worker is silent or partitioned, or the instance failed */
#define FK_DRAIN_REASON_FAULTY "sick"   /* fault attribution found the machine faulty */

/* State of the transactions that acquire shards and that write the machine registry's pages. */
typedef struct {
  gboolean acquiring;      /* a transaction that acquires shards is in flight */
  FkRev acquire_wait_rev;  /* revision of the last transaction that acquired shards: no new one is sent until
                              the view reaches this revision */
  FkTime acquire_after;    /* earliest time of the next transaction that acquires shards */
  FkTime handback_after;   /* earliest time at which shards may be taken back from a live controller */
  gboolean page_writing;   /* a transaction that writes registry pages is in flight */
  FkRev page_wait_rev;     /* revision of the last transaction that wrote pages: no new one is sent until the
                              view reaches this revision */
  FkTime page_write_after; /* earliest time of the next transaction that writes pages */
} FkShardWrites;

/* A completion: the proven end of one allocation, still to be recorded in the store. Kept until the view no
 * longer shows the allocation, or until the completion can't be written any more, e.g. because the shard has
 * a new revision. */
typedef struct FkCompletion FkCompletion;

/* The pending completions, and the state of the transactions that write them. */
typedef struct {
  GHashTable *pending;            /* attempt key -> FkCompletion */
  GHashTable *pending_by_machine; /* machine id (interned) -> number of pending completions */
  gboolean writing;               /* a transaction that writes completions is in flight */
  FkRev wait_rev;     /* revision of the last transaction: no new one is sent until the view reaches
                         this revision */
  FkTime write_after; /* earliest time of the next transaction, unless `urgent` */
  gboolean urgent;    /* a task must be started elsewhere soon: don't wait until `write_after` */
  guint page;         /* number of the page written last */
} FkCompletions;

/* Returns when to retry a failed write. The time is jittered so that controllers retry at different times. */
FkTime fk_write_retry_at(FkController *c);
/* Returns how many seconds to pause after a transaction of `writes` writes: long enough that all controllers
 * together use at most `share` of the store's write rate, but only a short time while enough of this
 * controller's write budget is unused. */
double fk_write_pace_s(FkController *c, guint writes, double share);

/* ---- shard_ownership.c ---- */

/* Returns whether the view shows this controller, in its present incarnation, as the shard's owner. */
gboolean fk_shard_is_owned(FkController *c, const FkShard *shard);
/* Returns whether this controller owns the machine's shard; FALSE if the machine has no shard. */
gboolean fk_machine_is_owned(FkController *c, const FkMachine *machine);
/* Returns the controller that should own the shard. Controllers with the same view get the same result. */
const char *fk_shard_preferred_owner(FkController *c, const FkShard *shard);
/* Sends a transaction, if one is due, that acquires shards that this controller should own. */
void fk_shard_ownership_tick(FkController *c);

/* ---- machine_registry.c ---- */

/* Requests that a machine that sends heartbeats be registered, if it isn't registered yet. */
void fk_machine_registry_add(FkController *c, FkMachine *machine, const FkHeartbeat *heartbeat);
/* Returns whether the machine is drained as silent, or a request for this is still to be written. */
gboolean fk_machine_is_drained_as_silent(const FkMachine *machine);
/* Requests that a registered machine be drained for `reason`, or no longer be drained if `reason` is NULL. A
 * later fk_machine_registry_tick writes the change. `notice_s`: seconds until the cloud terminates the
 * machine, < 0 if the cloud gave no notice. */
void fk_machine_registry_set_drain_reason(FkController *c, FkMachine *machine, const char *reason,
                                          double notice_s);
/* Requests that a machine that is proven gone be removed from the registry. The machine is removed once it
 * has no allocations. */
void fk_machine_registry_remove(FkController *c, FkMachine *machine);
/* Sends a transaction, if one is due, that writes the requested changes to the registry's pages. */
void fk_machine_registry_tick(FkController *c);

/* ---- completions.c ---- */

/* Returns the attempt's key, "job/task#attempt". */
char *fk_attempt_key(const char *job, guint32 task, FkAttempt attempt);
/* Returns whether a completion of the allocation is pending: the allocation has certainly ended, but the view
 * may not show its end yet. */
gboolean fk_completion_is_pending(FkController *c, const FkMachine *machine,
                                  const FkAllocationRef *allocation);
/* Adds the completion of an allocation that is proven to have ended. `guarded`: the proof is valid only while
 * this controller owns the machine's shard, so the write is conditional on the ownership. */
void fk_completions_add(FkController *c, const FkMachine *machine, const FkAllocationRef *allocation,
                        FkCompletionKind kind, gboolean guarded);
/* Sends a transaction, if one is due, that writes pending completions to the store. */
void fk_completions_tick(FkController *c);
/* Discards all pending completions. */
void fk_completions_clear(FkController *c);
void fk_completion_free(gpointer completion);
