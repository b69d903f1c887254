/* The workers of the shards that this controller owns: their heartbeats, the commands sent to them, and the
 * detection of unreachable workers. */
#pragma once
#include "core/messages.h"
#include "core/workers/failure_detector.h"

/* The state that a shard's owner keeps for each worker. */
struct FkWorkerState {
  gboolean owned;         /* the view has shown that this controller owns the worker's shard */
  FkRev shard_rev;        /* the shard's latest known revision, its fencing token */
  FkTime shard_rev_since; /* when the view first showed `shard_rev` */
  FkFailureDetector failure_detector;
  FkHeartbeat *heartbeat;  /* the newest heartbeat, owned; NULL if none was received */
  FkRev restart_token;     /* the shard's fencing token when the worker's last restart was detected, 0 if none
                              was. An echo of this token proves nothing: the message may be from before the
                              restart */
  guint64 command_call;    /* id of the direct call in flight, 0 if there is none */
  FkTime command_sent_at;  /* when the latest direct call was sent */
  FkRev command_shard_rev; /* the fencing token of the latest direct call */
  FkTime command_after;    /* earliest time of the next direct call */
  gboolean reconciled;     /* the latest fk_commands_send found that no direct call was needed */
  /* Starts that the worker may still execute, keyed by attempt ("job/task#attempt"). */
  GHashTable *starts_unresolved; /* starts sent by earlier direct calls, which may be delivered late or twice:
                                    attempt key -> guint64*, the fencing token of the call */
  GHashTable *starts_in_flight;  /* starts sent by the direct call in flight: a set of attempt keys */
  GHashTable *starts_in_reply;   /* starts sent in heartbeat replies that may still be delivered: a set of
                                    attempt keys */
  /* Incarnation and sequence number of the heartbeat that was last replied to with status 200. */
  FkHeartbeatSequence starts_in_reply_to;
  guint retained_attempts; /* number of exited attempts without an allocation that the worker must still
                              remember, since their start may still be delivered */
};

/* A heartbeat that is held for a few seconds, until this controller owns the worker's shard or knows where to
 * redirect the worker. */
typedef struct {
  FkRequestId request;
  FkHeartbeat *heartbeat; /* owned */
  FkTime received_at;
  FkRev shard_rev; /* the shard's revision when the heartbeat was first held */
} FkHeldHeartbeat;

/* The latest redirect of a worker to another controller. */
typedef struct {
  FkTime sent_at;
  char *target; /* name of the controller that the worker was redirected to */
} FkRedirect;

/* Reachability of one zone: the number of this controller's registered workers there, and how many of them
 * were heard from lately. */
typedef struct {
  const char *zone;    /* interned */
  guint machines;      /* number of this controller's registered workers in the zone */
  guint recently_seen; /* number of workers heard from recently (recent_contact_s in zone_reachability.c) */
  guint seen_just_now; /* number of workers heard from within the last 1.3 s */
  double expected_just_now; /* expected value of `seen_just_now`, given the heartbeat and probe intervals;
                               drained machines count as 0 */
  guint partitioned;        /* number of workers with a one-way partition: they send heartbeats but don't
                               receive this controller's messages */
  FkTime outage_seen_at;    /* latest time at which so few workers of the zone were heard from that this
                               controller may be isolated; 0 if never */
  FkTime outage_started_at; /* when the latest outage was first detected; 0 if there was none */
  gboolean outage_logged;   /* the log has the beginning of the latest outage, but not its end */
  FkTime all_silent_at;     /* when `recently_seen` was last 0 although the zone has workers; 0 if never */
} FkZoneReachability;

/* This controller's state that concerns more than one worker. */
typedef struct {
  GQueue *held_heartbeats;    /* FkHeldHeartbeat, owned */
  guint duplicate_heartbeats; /* heartbeats rejected as duplicates in this statistics window */
  guint impossible_tokens;    /* heartbeats rejected in this statistics window for a fencing token that was
                                 never issued */
  GHashTable *redirects;      /* machine id -> FkRedirect */
  GHashTable *commands;       /* id of a direct call -> machine id, interned */
  FkTime last_tick;           /* time of the last tick, 0 before the first */
  FkTime behind_until; /* until this time a worker's silence proves nothing, because a tick came too late */
  guint slice;         /* index of the slice of the workers that the last tick checked */
  guint round;         /* number of times that all slices have been checked */
  GArray *zones;       /* FkZoneReachability */
} FkWorkerPool;

/* Retries the held heartbeats, announces newly acquired shards and checks one slice of the workers. Called at
 * each tick while the view is ready. */
void fk_workers_tick(FkController *c);
/* Handles the machines that the view marks as changed: reconciles those that this controller owns, and frees
 * the worker state of the others. Then retries the held heartbeats. */
void fk_workers_view_changed(FkController *c);
/* Returns whether a message from the worker has echoed the shard's present fencing token. A worker that has
 * received this token ignores commands and replies that carry an older one. */
gboolean fk_worker_has_echoed_token(const FkMachine *machine);
/* Returns whether the machine is registered, isn't drained, and its shard's owner is in contact with its
 * workers of the zone. Only such machines count as capacity. */
gboolean fk_machine_is_available(const FkMachine *machine);
/* Returns whether the machine may be given new tasks now, as far as this controller knows: it is available,
 * hasn't just refused a start, and is in contact if this controller owns it. */
gboolean fk_machine_is_usable(FkController *c, const FkMachine *machine);

/* ---- zone_reachability.c ---- */

/* Returns the zones in which this controller has heard almost none of its workers for some time, sorted; NULL
 * if there is none. Either the workers are gone, or this controller is cut off from them. Owned by the
 * caller. */
char **fk_workers_unreachable_zones(FkController *c);

/* ---- service_failover.c ---- */

/* Returns how many tasks of services that aren't cancelled are allocated on the machine. */
guint fk_machine_service_tasks(const FkMachine *machine);
/* Selects silent machines with services that may be terminated now, and adds their ids to `names` until it
 * holds `names_max`. `serving`: the silent machines with services (FkMachine) that wait for termination;
 * sorted in place. */
void fk_service_failover_select(FkController *c, GPtrArray *serving, GPtrArray *names, guint names_max);
/* Returns the services on registered machines that are drained as silent: one FkJob, borrowed from the view,
 * for each replica that needs capacity elsewhere. Cancelled services are left out. */
GPtrArray *fk_service_failover_demand(FkController *c);
