/* What the files of the fleet share: what is rented and on its way, and the plan of what to rent. */
#pragma once
#include "core/controller_internal.h"
#include "core/scheduling/scheduling_queue.h"
#include "instance_models/boot_time.h"
#include "instance_models/idle_retention.h"

typedef struct {
  char *id, *type, *zone;
  gboolean spot;
  FkTime requested_at; /* rented, or first seen in the list */
  gboolean listed, failed, running;
  FkTime listed_at, running_since;
  gboolean requested_by_us; /* by us, so that `since` is exact */
} FkBootingInstance;

typedef struct {
  char *name, *type, *zone;
  gboolean spot;
  guint count;
  guint64 call; /* under way */
  gboolean in_flight;
  FkTime retry_at;
} FkInstanceRequest;

typedef struct {
  FkTime until;
  guint refusals;
} FkCapacityShortage;

struct FkAutoscaler {
  GHashTable *booting;         /* id -> Booting: rented, no claim yet */
  GPtrArray *requests;         /* Hire: requests without a certain answer */
  GHashTable *shortages;       /* "type/zone/spot" -> Closed: no capacity lately */
  GHashTable *terminated;      /* ids that the cloud confirmed gone -> FkTime* */
  GHashTable *terminate_calls; /* return call -> GPtrArray of ids */
  GHashTable *terminating;
  guint64 request_counter;
  FkTime next_plan, next_list, next_termination, next_drain, next_idle_check;
  gboolean list_pending, listed_once;
  char *list_cursor;
  FkTime list_began;
  GHashTable *arrival_rates;  /* class -> Rate */
  FkTime arrivals_counted_at; /* jobs seen before this are in the rates */
  FkBootTimeModel boot_times;
  FkIdleRetention retention[2]; /* ordinary, spot: what came of giving idle machines back */
};

typedef struct {
  FkSpec *spec;
  double per_s;   /* arrivals a second, smoothed */
  guint arrivals; /* seen since the last look */
} FkArrivalRate;

/* What the fleet would do, played through in thought: room now, room when running tasks end and when machines
 * come up. Only work that would wait for too long is worth renting for. Machines, and the room that tasks
 * will leave, are alike in large numbers: those that are go into one bin with a count. */
typedef enum {
  FK_CAPACITY_BIN_IDLE,
  FK_CAPACITY_BIN_IN_USE,
  FK_CAPACITY_BIN_BOOTING,
  FK_CAPACITY_BIN_RELEASED
} FkCapacityBinKind;
typedef struct {
  const FkInstanceType *type;
  const char *zone; /* interned */
  guint32 spot, kind;
  gint64 cpu_steps, gpu_steps, mem_steps, time_steps; /* in steps of 1/4 CPU and GPU, 1/2 GB, 2 s */
} FkCapacityBinKey;
typedef struct {
  FkCapacityBinKey key;
  guint count;
  double cpus, gpus, mem_gb; /* free in each, from `at` on */
  double available_s;        /* seconds from now */
} FkCapacityBin;
typedef struct {
  GArray *bins;         /* Bin */
  GHashTable *index;    /* BinKey -> place in the list + 1 */
  GArray *to_provision; /* Bin: what to rent, and how many */
} FkCapacityPlan;

guint fk_capacity_bin_hash(gconstpointer key);
gboolean fk_capacity_bin_equal(gconstpointer a, gconstpointer b);

#define BOOT_PROBABILITY_PLANNED_MIN 0.3 /* chance to come within a boot time */
#define BOOT_PROBABILITY_TERMINATE 0.1   /* chance to come within two more */
#define MIN_BILLED_S 60.0 /* a machine costs so much at the least: going sooner saves nothing */
#define BOOT_AGE_MAX 4.0

/* fleet.c */
char *fk_autoscaler_offer_key(const char *type, const char *zone, gboolean spot);
void fk_autoscaler_provision(FkController *c, const char *type, const char *zone, gboolean spot, guint count);
/* Sends the request, for the first time or once more. */
void fk_autoscaler_send_request(FkController *c, FkInstanceRequest *h);

/* fleet_plan.c */
/* Arrivals of services are learnt, so that some room is up when the next one comes. */
void fk_autoscaler_update_arrival_rates(FkController *c, double dt);
/* Plays what waits through: what is there, and what to rent. */
void fk_autoscaler_plan_demand(FkController *c, FkCapacityPlan *bins);
/* How many such tasks that much has room for. */
guint fk_autoscaler_task_slots(double cpus, double gpus, double mem, const FkSpec *s);
/* In usual boot times. */
double fk_autoscaler_boot_age(FkController *c, const FkBootingInstance *b, const FkInstanceType *t);

/* fleet_return.c */
void fk_autoscaler_terminate_machines(FkController *c);
/* Idle machines that the plan has no use for. */
void fk_autoscaler_scale_in_idle(FkController *c, const FkCapacityPlan *bins);
/* A machine that costs far more than what runs there needs is left by it. */
void fk_autoscaler_drain_overpriced(FkController *c);
