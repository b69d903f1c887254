/* Shared between the core's own files; not for the shell. */
#pragma once
#include "core/cpu_profile.h"
#include "core/messages.h"
#include "core/scheduling/elastic_sizing.h"
#include "core/workers/failure_detector.h"

typedef void (*FkTransactionCallback)(FkController *c, gpointer data, FkOutcome o, FkRev epoch,
                                      GPtrArray *failed);
typedef void (*FkReadCallback)(FkController *c, gpointer data, FkOutcome o, FkStoreEvent *e);

/* A machine in this home's care. */
struct FkWorkerState {
  gboolean owned; /* the view has shown our claim */
  FkFailureDetector failure_detector;
  FkHeartbeat *heartbeat; /* the latest by (session, seq) */
  FkRev restarted_under;  /* the claim under which it began anew: that token proves nothing of its new life */
  guint64 command_call;   /* the direct call under way, or 0 */
  FkRev command_shard_rev;      /* and its token */
  GHashTable *starts_in_doubt;  /* starts that may arrive, or arrive again: "job/task#attempt" -> the token
                          that they  were  sent under */
  GHashTable *starts_in_flight; /* starts in the direct call under way */
  GHashTable *starts_replied;   /* starts in the answer to the latest report */
  FkHeartbeatSequence starts_replied_to;
  guint lingering_attempts; /* ended attempts that must not be forgotten yet */
  FkTime command_after;
  gboolean
      reconciled;  /* nothing pressing was found when it was looked at last, and its report shows our token */
  FkRev shard_rev; /* the claim, and since when */
  FkTime shard_rev_since;
};

typedef struct {
  FkRequestId request;
  FkHeartbeat *heartbeat;
  FkTime received_at;
  FkRev shard_rev; /* the claim when it came */
} FkHeldHeartbeat;

typedef struct {
  FkTime sent_at;
  char *target;
} FkRedirect;

/* This home's machines of one zone, and how many of them were heard lately. */
typedef struct {
  const char *zone; /* interned */
  guint heard_lately, machines;
  guint heard_just_now;     /* heard in the last moment ... */
  double expected_just_now; /* ... and how many should have been */
  FkTime outage_seen_at;    /* the last moment at which so few were heard that it may be we who are cut off */
  FkTime outage_began;      /* when that began */
  FkTime all_silent_at;     /* ... at which none were */
  guint partitioned;        /* speak, and don't hear us */
} FkZoneReachability;

typedef struct FkAutoscaler FkAutoscaler;
typedef struct FkCompletion FkCompletion;
typedef struct FkCancellationBarrier FkCancellationBarrier;
typedef struct FkCostAccounting FkCostAccounting;
typedef struct FkSchedulingQueue FkSchedulingQueue;
typedef struct FkCapacityIndex FkCapacityIndex;
typedef struct FkBackfillReservations FkBackfillReservations;

#define FK_AMOUNT_EPSILON 1e-6 /* amounts are sums of fractions */
#define FK_SERVICE_FLOOR_SHARE                                                                               \
  0.05 /* of the fleet's CPUs: what a class that is hardly served is lifted up to, and left                  \
        */
#define FK_CLOCK_DRIFT 0.0012 /* two clocks, each off by 0.05%, and a little */
#define FK_LEASE_MARGIN_S 2.0

#define FK_DRAIN_REASON_IDLE "idle"
#define FK_DRAIN_REASON_DRAIN "drain" /* what runs there moves, then it goes */

typedef struct {
  const char *machine; /* interned */
  const char *team;    /* interned */
  double cpus, gpus, mem_gb;
  double quota_cpus; /* of those, what counts against the team */
} FkReservation;

/* Calls to the store that are under way, and how quickly it has answered lately. */
typedef struct {
  guint64 last_id;
  double usual_delay_s;             /* how late the store usually answers a transaction; 0: none has been */
  double lost_share;                /* part of the transactions that had to be sent again, lately */
  guint resent;                     /* answered after more than one send, in this window */
  GHashTable *pending_transactions; /* call -> callback */
  GHashTable *pending_reads;
  guint transactions[FK_PRIORITY_RESULT + 1];       /* in this window, by purpose */
  guint transaction_writes[FK_PRIORITY_RESULT + 1]; /* ... and their writes */
} FkCalls;

/* The session with the key-value store: its lease, the view's synchronisation and how fresh the view is. */
typedef struct {
  enum { FK_SYNC_IDLE, FK_SYNC_LISTING, FK_SYNC_CATCHING_UP, FK_SYNC_READY } sync;
  char *list_after;
  FkRev list_epoch, catch_up_rev;
  gboolean listing, watching;
  FkTime retry_at;
  FkTime confirmed_at;           /* the view was current at this moment, for certain */
  FkRev latest_rev_seen;         /* the latest revision that an answer has told us of */
  GHashTable *peer_confirmed_at; /* controller -> FkTime*: when it had seen nothing that our view lacks */
  FkTime next_peer_query;
  FkTime peer_answered_at;       /* when another controller answered last */
  FkTime peer_store_answered_at; /* the last moment at which a peer is known to have had an answer from the
                                    store */
  FkTime store_answered_at;      /* the last time that the store answered at all */
  FkTime store_recovered_at;     /* when it did again after an outage */
  FkTime ready_since;
  guint failures;
  FkRev lease; /* 0: none */
  gboolean lease_pending;
  FkTime next_keepalive, lease_request_sent;
  gboolean node_pending;
  FkRev node_wait_rev;
  FkTime node_retry_at;
} FkStoreSession;

/* Users' requests that aren't answered yet. */
typedef struct {
  GHashTable *pending; /* every question of a user's that isn't answered yet: FkPendingRequest */
  GQueue *to_verify;   /* FkPendingRequest: waiting for a read check */
  gboolean verifying;
  FkTime verify_after;
  guint store_reads; /* questions that are read from the store while there is no view */
  FkCancellationBarrier *cancellation_barrier;
  GQueue *awaiting_cancellation; /* FkPendingRequest: what they ask about is cancelled, and they may not be
                                    told yet */
  GQueue *awaiting_view;         /* FkPendingRequest: answered once our view has reached a revision */
  GHashTable
      *terminal_states_requested; /* ids of jobs that others need, whose terminal states are being read */
  FkTime inherited_at;            /* when that was worked out last what dependents ask for, */
  gboolean inheriting;            /* and whether any did */
} FkPendingRequests;

/* Heartbeats and direct commands of the workers that this controller owns. */
typedef struct {
  GQueue *held_heartbeats;        /* FkHeldHeartbeat: waiting for a shard to be acquired */
  guint duplicate_heartbeats;     /* refused in this window: copies */
  guint impossible_tokens;        /* refused in this window: with a token that no shard has */
  GHashTable *redirects;          /* machine -> FkRedirect */
  GHashTable *commands;           /* call -> machine id (interned) */
  FkTime last_tick, behind_until; /* we were too slow lately to tell who is silent */
  guint slice, round;             /* of the machines, to be looked through next; how often all were */
  GArray *zones;                  /* FkZoneReachability, counted once in all slices */
} FkWorkerPool;

/* Completions that are proven and not committed yet. */
typedef struct {
  GHashTable *pending;            /* attempt -> FkCompletion: proven, to be written down */
  GHashTable *pending_by_machine; /* machine (interned) -> how many of them are there */
  gboolean writing;
  guint page;
  FkRev wait_rev;
  gboolean urgent; /* a service waits to be started elsewhere: not for the pace */
  FkTime write_after;
} FkCompletions;

/* Acquiring shards, and writing their machine registry's pages. */
typedef struct {
  gboolean acquiring;
  FkRev acquire_wait_rev;
  FkTime acquire_after, handback_after;
  gboolean page_writing;
  FkRev page_wait_rev;
  FkTime page_write_after;
} FkShardOwnership;

/* Launches: their fence, the one under way and what it reserves. */
typedef struct {
  GHashTable *hindrances;              /* why nothing was launched -> cycles, in this window */
  guint launched, conflicts, failures; /* in this window */
  guint services_waiting;              /* tasks, at the last cycle */
  gboolean fence_needed, fencing; /* a launch may yet apply: a write of our fence makes that impossible */
  FkRev fence_wait_rev;
  gboolean launching;
  FkRev wait_rev;
  FkTime launch_after;
  FkTime urgent_after;  /* urgent work may be launched before `launch_after`, from here on */
  GArray *reservations; /* FkReservation: capacity reserved for launches that the view doesn't show yet */
  double write_room;    /* writes that would go out at once */
  gboolean quota_partitioning;
  FkRev quota_wait_rev;
} FkLaunches;

/* The window of Elastic Sizing: short tasks' waits are summed in each. */
typedef struct {
  guint64 index;
  FkTime end;
  FkWaitTimes waits;
} FkWindow;

/* The leader's key, and what only the leader does. */
typedef struct {
  gboolean write_pending;
  FkTime retry_at;
  FkRev wait_rev;
  gboolean is_leader;
  FkTime since;
  FkElasticSizing sizing;
  FkSchedulingQueue *scheduling_queue;
  FkCapacityIndex *capacity_index;
  FkBackfillReservations *backfill_reservations;
  FkTime starvation_checked_at;
  gboolean starving; /* some class or team is, by the latest check */
  FkTime next_sweep;
  gboolean preempting;
  FkRev preempt_wait_rev;
  FkTime preempt_after, preempt_checked_at, quota_reclaimed_at;
  gboolean finalizing;
  FkRev finalize_wait_rev;
} FkLeadership;

/* Scale out and in, what instances cost, and which types there are. */
typedef struct {
  FkAutoscaler *autoscaler;
  FkCostAccounting *cost_accounting;
  GHashTable *instance_types; /* name -> FkInstanceType */
  gboolean types_pending;
  FkTime next_types_query;
} FkAutoscaling;

/* The state machine as a whole: it only holds its parts together. */
struct FkController {
  const FkSettings *settings;
  char *incarnation;
  GRand *rand;
  FkTime now;
  FkTime started_at;
  FkView *view;
  FkCpuProfile cpu_profile;
  GQueue *outputs; /* FkOutput */
  FkCalls calls;
  FkStoreSession store_session;
  FkPendingRequests requests;
  FkWorkerPool workers;
  FkShardOwnership shards;
  FkCompletions completions;
  FkLaunches launches;
  FkWindow window;
  FkLeadership leader;
  FkAutoscaling autoscaling;
};

/* state.c */
FkOutput *fk_output_new(FkController *c, FkOutputKind kind);
gboolean fk_controller_is_ready(FkController *c);
guint fk_controller_live_count(FkController *c); /* how many live */
/* Its part of the store's writes, by what the view says of the others. */
double fk_store_write_share(FkController *c);
/* It can take requests: it isn't the one that is cut off. */
gboolean fk_controller_can_serve(FkController *c, FkTime now);
gboolean fk_node_is_alive(FkController *c, const char *node);
gboolean fk_spec_is_long(FkController *c, const FkSpec *s);
/* Services wait, and the store's writes are what they wait for: what nobody waits for comes later. */
gboolean fk_services_have_priority(FkController *c);
FkRecord *fk_job_record_new(const FkJob *j, gboolean cancelled);
/* Ends a job whose tasks are all done, or that is cancelled with none left, in `t`. */
gboolean fk_transaction_finalize_job(FkController *c, FkOutput *t, FkJob *j, guint writes_left);

/* Does it with its processor time charged to that purpose. */
void fk_cpu_profile_run(FkController *c, FkCpuPurpose what, void (*fn)(FkController *));
/* The store has answered, or hasn't. */
void fk_store_session_note_outcome(FkController *c, FkOutcome o);

/* calls.c */
void fk_call_free(gpointer call);
/* Sends again what has had no answer for too long. */
void fk_calls_retry_overdue(FkController *c);
FkOutput *fk_transaction_new(FkController *c, FkTransactionPriority prio);
void fk_transaction_guard(FkOutput *t, char *path /* taken */, FkRev rev);
void fk_transaction_put(FkOutput *t, char *path /* taken */, FkRecord *r /* taken */, FkRev hold);
void fk_transaction_delete(FkOutput *t, char *path /* taken */);
void fk_transaction_send(FkController *c, FkOutput *t, FkTransactionCallback done, gpointer data,
                         GDestroyNotify free_data);
void fk_read_send(FkController *c, char *path /* taken */, FkReadCallback done, gpointer data,
                  GDestroyNotify free_data);
/* session.c */
void fk_store_session_tick(FkController *c);
/* A watch was answered, or failed: what it tells is applied. */
void fk_store_session_watch_received(FkController *c, FkOutcome o, GPtrArray *events, FkRev epoch,
                                     FkTime sent);

/* chains.c */
/* Every controller of the settings was started last in a version that knows of jobs that need others. What
 * such a version alone can read is written from then on only. */
gboolean fk_job_dependencies_are_supported(FkController *c);
void fk_job_dependencies_tick(FkController *c);

/* proof.c */
#define FK_PEER_QUERY_AFTER_S 2.5 /* without a look at the store, the others are asked */
/* Asks the others what they know; `needed`: the revision that somebody waits for them to have, or 0. */
void fk_read_freshness_tick(FkController *c, FkRev needed);
/* Another controller has answered. */
void fk_read_freshness_peer_received(FkController *c, const char *peer, const char *life, FkRev seen,
                                     double store_age_s, FkTime sent);
/* The latest moment at which nothing can have been decided that our view doesn't show. */
FkTime fk_read_freshness_confirmed_at(FkController *c);

/* users.c */
void fk_pending_request_free(gpointer ask);
/* Polls are checked in batches, by transactions that only compare: one batch is under way, the next gathers.
 */
void fk_requests_send_read_checks(FkController *c);
void fk_requests_reply_cancelled(FkController *c);
void fk_requests_pass_read_barrier(FkController *c);
/* The latest revision that somebody who waits to hear of a cancellation needs all to have applied; 0: none.
 */
FkRev fk_requests_awaited_rev(FkController *c);

/* claims.c */
gboolean fk_shard_is_owned(FkController *c, const FkShard *g);
const char *fk_shard_preferred_owner(FkController *c, const FkShard *g);
void fk_shard_ownership_tick(FkController *c);

/* roster.c */
/* Seconds that so many writes must last, when all controllers together may use `share` of the budget. */
double fk_write_pace_s(FkController *c, guint writes, double share);
void fk_machine_registry_add(FkController *c, FkMachine *m, const FkHeartbeat *r);
void fk_machine_registry_set_drain_reason(FkController *c, FkMachine *m, const char *why, double notice_s);
void fk_machine_registry_remove(FkController *c, FkMachine *m);
void fk_machine_registry_tick(FkController *c);

/* ends.c */
char *fk_attempt_key(const char *job, guint32 task, FkAttempt attempt);
gboolean fk_completion_is_pending(FkController *c, const FkMachine *m, const FkAllocationRef *b);
void fk_completions_add(FkController *c, const FkMachine *m, const FkAllocationRef *b, FkCompletionKind how,
                        gboolean guarded);
void fk_completions_tick(FkController *c);
void fk_completions_clear(FkController *c);
void fk_completion_free(gpointer e);

/* tell.c */
FkCancellationBarrier *fk_cancellation_barrier_new(void);
void fk_cancellation_barrier_free(FkCancellationBarrier *t);
/* A lease that nobody renews is over after this, by any clock, in seconds. */
double fk_lease_expiry_s(const FkSettings *s);
/* How long a home may answer for without a fresh look at the store, in seconds. */
double fk_stale_view_trust_s(const FkSettings *s);
/* A controller says that its view has reached the revision. */
void fk_cancellation_barrier_note_applied(FkCancellationBarrier *t, const char *peer, FkRev applied);
gboolean fk_cancellation_barrier_has_applied(const FkCancellationBarrier *t, const char *peer, FkRev rev);
/* Whether a user may hear that the job, cancelled in our view, is so. */
gboolean fk_cancellation_barrier_is_passed(FkController *c, const FkJob *j);

/* home.c */
/* A report at our present token has come: older tokens' commands and answers are void. */
gboolean fk_worker_has_echoed_token(const FkMachine *m);
void fk_workers_tick(FkController *c);
void fk_workers_view_changed(FkController *c);
gboolean fk_machine_is_owned(FkController *c, const FkMachine *m);
gboolean fk_machine_is_usable(FkController *c, const FkMachine *m);

/* leader.c */
/* After the view has changed and launches were tried. */
void fk_leader_view_changed(FkController *c);
void fk_leader_tick(FkController *c);
void fk_windows_tick(FkController *c);

/* fleet.c */
FkAutoscaler *fk_autoscaler_new(FkTime now);
void fk_autoscaler_free(FkAutoscaler *f);
void fk_autoscaler_tick(FkController *c);
void fk_autoscaler_reset(FkController *c);
/* The machine is being returned, or the cloud has said that it is gone. */
gboolean fk_autoscaler_is_terminating(FkController *c, const FkMachine *m);

/* What room for the task costs where it is cheapest, an hour; G_MAXDOUBLE: no type has any. */
double fk_autoscaler_cheapest_price(FkController *c, const FkSpec *s);
/* What the machines that are rented and not up yet cost, an hour. */
double fk_autoscaler_booting_price(FkController *c);

/* How many times as long as usual idle machines are kept (rent/hold.h). */
double fk_autoscaler_retention_factor(FkController *c, gboolean spot);

/* money.c */
FkCostAccounting *fk_cost_accounting_new(void);
void fk_cost_accounting_free(FkCostAccounting *m);
/* The leader's look at what its machines are doing. */
void fk_cost_accounting_tick(FkController *c);
/* Logs the accounts since the last time, and starts them anew. */
void fk_cost_accounting_log(FkController *c);

/* recover.c */
/* Tasks of services booked there that nobody has cancelled. */
guint fk_machine_service_tasks(const FkMachine *m);
/* Adds to `names`, up to `most_names`, the ids of those of the silent machines `serving` (with services,
 * sorted here) whose turn it is to be returned. */
void fk_service_failover_select(FkController *c, GPtrArray *serving, GPtrArray *names, guint most_names);
/* FkJob, borrowed from the view, one for each task of a service on a silent machine: room for them is wanted.
 */
GPtrArray *fk_service_failover_demand(FkController *c);
