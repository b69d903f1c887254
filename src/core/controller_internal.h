/* Shared between the core's own files; not for the shell. */
#pragma once
#include "core/api/cancellation_barrier.h"
#include "core/api/requests.h"
#include "core/controller_status.h"
#include "core/cpu_profile.h"
#include "core/messages.h"
#include "core/scheduling/elastic_sizing.h"
#include "core/shards/shards.h"
#include "core/state/job_dependencies.h"
#include "core/store_session/calls.h"
#include "core/store_session/read_freshness.h"
#include "core/store_session/session.h"
#include "core/workers/workers.h"

typedef struct FkAutoscaler FkAutoscaler;
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

/* Does it with its processor time charged to that purpose. */
void fk_cpu_profile_run(FkController *c, FkCpuPurpose what, void (*fn)(FkController *));

/* leader/leader.c */

/* After the view has changed and launches were tried: preempts, if this controller leads. */
void fk_leader_view_changed(FkController *c);
/* Campaigns for the leadership, and does the leader's periodic work. */
void fk_leader_tick(FkController *c);

/* leader/window.c */

/* Each window writes the wait times of short tasks and logs statistics; the leader sizes the short partition.
 */
void fk_windows_tick(FkController *c);

/* autoscaler/autoscaler.c */

FkAutoscaler *fk_autoscaler_new(FkTime now);
void fk_autoscaler_free(FkAutoscaler *autoscaler);
/* A round of the leader's autoscaler. */
void fk_autoscaler_tick(FkController *c);
/* Forgets everything: leadership has changed. */
void fk_autoscaler_reset(FkController *c);
/* The machine is being terminated, or the cloud has confirmed that it is gone. */
gboolean fk_autoscaler_is_terminating(FkController *c, const FkMachine *machine);
/* An hour's price of what the task takes on the cheapest type; G_MAXDOUBLE: it fits no type. */
double fk_autoscaler_cheapest_price(FkController *c, const FkSpec *spec);
/* An hour's price of the instances that have been provisioned and haven't joined. */
double fk_autoscaler_booting_price(FkController *c);
/* In how many times the configured idle time machines are terminated (instance_models/idle_retention.h). */
double fk_autoscaler_retention_factor(FkController *c, gboolean spot);

/* autoscaler/cost_accounting.c */

FkCostAccounting *fk_cost_accounting_new(void);
void fk_cost_accounting_free(FkCostAccounting *accounting);
/* Samples what the machines cost and are doing; called by the leader. */
void fk_cost_accounting_tick(FkController *c);
/* Logs the costs since the last call, and starts anew. */
void fk_cost_accounting_log(FkController *c);
