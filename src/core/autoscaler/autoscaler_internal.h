/* What the modules of the autoscaler share: the machines that are requested, booting and terminating, and the
 * steps of a round. The leader's autoscaler provisions machines for what waits and for some headroom, and
 * terminates those that are idle, failed or too expensive for what runs there. */
#pragma once
#include "core/autoscaler/capacity_plan.h"
#include "core/controller_internal.h"
#include "core/scheduling/scheduling_queue.h"
#include "instance_models/boot_time.h"
#include "instance_models/idle_retention.h"

#define FK_PROVISION_MACHINES_MAX 50 /* a request: the cloud's limit */

/* A machine that the cloud has and that no worker has joined from yet. */
typedef struct {
  char *id, *type, *zone;
  gboolean spot;
  FkTime requested_at;      /* by us, or by the age that the cloud's list says */
  gboolean requested_by_us; /* so that `requested_at` is exact */
  gboolean listed, failed, running;
  FkTime listed_at, running_since;
} FkBootingInstance;

/* A request for machines without a final answer. */
typedef struct {
  char *name; /* idempotency key: the same name gives the same machines */
  char *type, *zone;
  gboolean spot;
  guint count;
  guint64 call; /* valid while `in_flight` */
  gboolean in_flight;
  FkTime retry_at;
} FkProvisionRequest;

/* The cloud had no capacity for an offer. */
typedef struct {
  FkTime until;   /* not asked for again before */
  guint refusals; /* in a row */
} FkCapacityShortage;

/* How often services of a class arrive. */
typedef struct {
  FkSpec *spec;   /* of the latest one */
  double per_s;   /* smoothed */
  guint arrivals; /* since the last update */
} FkArrivalRate;

struct FkAutoscaler {
  GHashTable *booting;         /* id -> FkBootingInstance */
  GPtrArray *requests;         /* FkProvisionRequest */
  GHashTable *shortages;       /* fk_autoscaler_offer_key() -> FkCapacityShortage */
  GHashTable *terminating;     /* ids in `terminate_calls` */
  GHashTable *terminate_calls; /* call -> GPtrArray of ids */
  GHashTable *terminated;      /* id -> FkTime*: when the cloud confirmed it */
  guint64 request_counter;
  FkTime next_plan, next_list, next_termination, next_consolidation, next_idle_check;
  gboolean list_pending, listed_once;
  char *list_cursor;          /* the last id of the page before; NULL: from the start */
  GHashTable *arrival_rates;  /* class -> FkArrivalRate */
  FkTime arrivals_counted_at; /* jobs seen before this have been counted */
  FkBootTimeModel boot_times;
  FkIdleRetention retention[2]; /* by purchase option: on-demand, spot */
};

/* autoscaler.c */

/* "type/zone/spot". Owned by the caller. */
char *fk_autoscaler_offer_key(const FkOffer *offer);

/* Time since the request in boot times of the type. */
double fk_autoscaler_boot_age(FkController *c, const FkBootingInstance *instance, const FkInstanceType *type);

/* provisioning.c */

/* Requests up to FK_PROVISION_MACHINES_MAX machines from the cloud. */
void fk_autoscaler_provision(FkController *c, const FkOffer *offer, guint count);

/* Sends requests that had no certain answer again, under their names. */
void fk_autoscaler_retry_requests(FkController *c);

/* arrival_rates.c */

/* Counts the services that arrived in the last `interval_s` seconds into their classes' rates. */
void fk_autoscaler_update_arrival_rates(FkController *c, double interval_s);

/* scale_out_plan.c */

/* Simulates placing all that waits on what is free now or will be, and adds to `plan` what to provision for
 * work that would otherwise wait for too long. */
void fk_autoscaler_plan_demand(FkController *c, FkCapacityPlan *plan);

/* termination.c */

/* Terminates machines that are drained or lost, and instances that didn't boot. */
void fk_autoscaler_terminate_machines(FkController *c);

/* scale_in.c */

/* Drains machines that have been idle for too long and that the plan has left idle. */
void fk_autoscaler_scale_in_idle(FkController *c, const FkCapacityPlan *plan);

/* consolidation.c */

/* Drains the machine that costs most in proportion to what runs there, if its tasks fit elsewhere. */
void fk_autoscaler_consolidate(FkController *c);
