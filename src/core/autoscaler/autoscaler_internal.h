/* Shared by the modules of the autoscaler: the machines that are requested, booting and terminating, and the
 * functions for the periodic work. The autoscaler runs on the leader. It provisions machines for waiting
 * tasks and for headroom, and terminates machines that are idle, have failed, or are too expensive for their
 * tasks. */
#pragma once
#include "core/autoscaler/capacity_plan.h"
#include "core/controller_internal.h"
#include "core/scheduling/scheduling_queue.h"
#include "instance_models/boot_time.h"
#include "instance_models/idle_retention.h"

#define FK_PROVISION_MACHINES_MAX 50 /* most machines per request: the cloud's limit */

/* A machine that exists in the cloud and whose worker hasn't joined yet. */
typedef struct {
  char *id, *type, *zone;
  gboolean spot;
  FkTime requested_at;         /* when the instance was requested; estimated from the cloud's list unless
                                  `request_time_exact` */
  gboolean request_time_exact; /* whether `requested_at` is when the cloud replied to this leader's request */
  gboolean listed;             /* whether the instance has appeared in the cloud's list */
  gboolean failed;             /* whether the cloud's latest list shows the instance as failed, or lacks it */
  gboolean running;            /* whether the instance has been listed as running */
  FkTime listed_at;            /* when the instance was last listed */
  FkTime running_since;        /* when the instance was first listed as running; valid if `running` */
} FkBootingInstance;

/* A request for machines that has no definite reply yet. */
typedef struct {
  char *name; /* idempotency key: the cloud returns the same machines for the same name */
  char *type, *zone;
  gboolean spot;
  guint count;
  guint64 call; /* id of the call; valid while `in_flight` */
  gboolean in_flight;
  FkTime retry_at; /* when to send the request again; valid unless `in_flight` */
} FkProvisionRequest;

/* Backoff for an offer for which the cloud had too little capacity. */
typedef struct {
  FkTime until;   /* the offer isn't requested again before this time */
  guint refusals; /* consecutive replies that there is no capacity at all */
} FkCapacityShortage;

/* The arrival rate of the services of a class. */
typedef struct {
  FkSpec *spec;   /* spec of the latest service counted, or of the first one seen if none is counted; owned */
  double per_s;   /* smoothed arrivals per second */
  guint arrivals; /* services counted since the last update of the rate */
} FkArrivalRate;

struct FkAutoscaler {
  GHashTable *booting;         /* id -> FkBootingInstance */
  GPtrArray *requests;         /* FkProvisionRequest */
  GHashTable *shortages;       /* fk_autoscaler_offer_key() -> FkCapacityShortage */
  GHashTable *terminating;     /* set of the machine ids in `terminate_calls` */
  GHashTable *terminate_calls; /* id of a call in flight -> GPtrArray of machine ids */
  GHashTable *terminated;      /* id -> FkTime*: when the cloud confirmed the termination */
  guint64 request_counter;
  FkTime next_plan_at, next_list_at, next_termination_at, next_consolidation_at, next_idle_check_at;
  gboolean list_pending, listed_once;
  gboolean
      list_reply_obsolete;    /* the pending page was requested before the last reset and is to be ignored */
  FkTime listing_began_at;    /* when the first page of the present listing was requested */
  char *list_cursor;          /* the last id of the previous page; NULL to list from the start */
  GHashTable *arrival_rates;  /* class -> FkArrivalRate */
  FkTime arrivals_counted_at; /* services first seen up to this time aren't counted again */
  FkBootTimeModel boot_times;
  FkIdleRetention retention[2]; /* by purchase option: on-demand, spot */
};

/* autoscaler.c */

/* Returns "type/zone/spot". Owned by the caller. */
char *fk_autoscaler_offer_key(const FkOffer *offer);

/* Returns the instance's age (the time since `requested_at`) in multiples of its type's boot time, which
 * counts as 1 s if it is shorter. */
double fk_autoscaler_boot_age(FkController *c, const FkBootingInstance *instance, const FkInstanceType *type);

/* provisioning.c */

/* Requests `count` machines of the offer from the cloud, but at most FK_PROVISION_MACHINES_MAX. */
void fk_autoscaler_provision(FkController *c, const FkOffer *offer, guint count);

/* Resends the provision requests that got no definite reply, under the same names, once their `retry_at` is
 * reached. */
void fk_autoscaler_retry_requests(FkController *c);

/* arrival_rates.c */

/* Updates the arrival rates with the services first seen since the last update, which was about `interval_s`
 * seconds ago. */
void fk_autoscaler_update_arrival_rates(FkController *c, double interval_s);

/* scale_out_plan.c */

/* Simulates where tasks would be placed on capacity that is free now or will be: the services of silent
 * machines (which no longer respond), the services expected to arrive, and the waiting tasks. Adds to `plan`
 * the machines to provision for tasks that would otherwise wait for too long. */
void fk_autoscaler_plan_demand(FkController *c, FkCapacityPlan *plan);

/* termination.c */

/* Terminates machines that are silent or faulty, drained machines that are empty, and instances that failed
 * to boot. */
void fk_autoscaler_terminate_machines(FkController *c);

/* scale_in.c */

/* Drains machines that have been idle for too long and that the plan doesn't use. */
void fk_autoscaler_scale_in_idle(FkController *c, const FkCapacityPlan *plan);

/* consolidation.c */

/* Drains the machine whose price is highest relative to the needs of its tasks, if the ratio is high enough,
 * no task waits, and the machine's tasks fit on cheaper machines in use. */
void fk_autoscaler_consolidate(FkController *c);
