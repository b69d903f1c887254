/* The workers of the shards that this controller owns: their heartbeats, the commands they are given, and
 * which of them are out of reach. */
#pragma once
#include "core/messages.h"
#include "core/workers/failure_detector.h"

/* What an owner keeps of one worker. */
struct FkWorkerState {
  gboolean owned;         /* the view has shown our ownership of its shard */
  FkRev shard_rev;        /* the fencing token at present ... */
  FkTime shard_rev_since; /* ... and since when */
  FkFailureDetector failure_detector;
  FkHeartbeat *heartbeat; /* the newest, or NULL */
  FkRev restarted_under;  /* the token under which the worker restarted: it proves nothing of what runs now */
  guint64 command_call;   /* the direct call under way, or 0 ... */
  FkRev command_shard_rev; /* ... and its token */
  FkTime command_after;    /* no direct call before this */
  gboolean reconciled;     /* nothing urgent was found at the last check, and its heartbeat shows our token */
  /* Starts of attempts ("job/task#attempt") that the worker may still carry out. */
  GHashTable *starts_in_doubt;           /* they may arrive, or arrive again -> guint64*, their token */
  GHashTable *starts_in_flight;          /* in the direct call under way */
  GHashTable *starts_replied;            /* in the reply to ... */
  FkHeartbeatSequence starts_replied_to; /* ... this heartbeat */
  guint retained_attempts;               /* ended attempts that must not be forgotten yet */
};

/* A heartbeat that waits until this controller owns the worker's shard. */
typedef struct {
  FkRequestId request;
  FkHeartbeat *heartbeat;
  FkTime received_at;
  FkRev shard_rev; /* the shard's revision when it was received */
} FkHeldHeartbeat;

/* A worker was sent to another controller. */
typedef struct {
  FkTime sent_at;
  char *target; /* the controller's name */
} FkRedirect;

/* This controller's registered workers of one zone, and how many of them were heard lately. */
typedef struct {
  const char *zone; /* interned */
  guint machines;
  guint recently_seen;      /* heard within the shortest silence that counts */
  guint just_seen;          /* heard in the last moment ... */
  double expected_just_now; /* ... and how many should have been */
  guint partitioned;        /* heard, and don't hear us */
  FkTime outage_seen_at;    /* the last moment with so few heard that it may be we who are cut off ... */
  FkTime outage_began;      /* ... and when that began */
  FkTime all_silent_at;     /* the last moment with none heard */
} FkZoneReachability;

typedef struct {
  GQueue *held_heartbeats;    /* FkHeldHeartbeat, owned */
  guint duplicate_heartbeats; /* rejected in this window */
  guint impossible_tokens;    /* heartbeats rejected in this window for a token that was never issued */
  GHashTable *redirects;      /* machine id -> FkRedirect */
  GHashTable *commands;       /* direct call -> machine id, interned */
  FkTime last_tick;
  FkTime behind_until; /* this controller was too slow lately to tell who is silent */
  guint slice;         /* of the workers, checked in the last tick */
  guint round;         /* how often all were checked */
  GArray *zones;       /* FkZoneReachability */
} FkWorkerPool;

/* Checks a slice of the workers; retries held heartbeats. To be called at each tick while the view is ready.
 */
void fk_workers_tick(FkController *c);
/* Reconciles the machines that the view has marked as changed. */
void fk_workers_view_changed(FkController *c);
/* Whether a message under the shard's present token has come: commands and replies under older tokens are
 * void.
 */
gboolean fk_worker_has_echoed_token(const FkMachine *machine);
/* Whether the machine may be given new tasks. */
gboolean fk_machine_is_usable(FkController *c, const FkMachine *machine);

/* ---- service_failover.c ---- */

/* Tasks of services allocated there that nobody has cancelled. */
guint fk_machine_service_tasks(const FkMachine *machine);
/* Adds to `names`, up to `names_max`, the ids of those of the silent machines `serving` (FkMachine, with
 * services; sorted here) that may be terminated now. */
void fk_service_failover_select(FkController *c, GPtrArray *serving, GPtrArray *names, guint names_max);
/* FkJob, borrowed from the view, one for each task of a service on a silent machine: capacity for them is
 * wanted. */
GPtrArray *fk_service_failover_demand(FkController *c);
