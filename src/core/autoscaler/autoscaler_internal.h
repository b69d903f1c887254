/* What the files of the fleet share: what is rented and on its way, and the plan of what to rent. */
#pragma once
#include "core/controller_internal.h"
#include "core/scheduling/scheduling_queue.h"
#include "instance_models/boot_time.h"
#include "instance_models/idle_retention.h"

typedef struct {
  char *id, *type, *zone;
  gboolean spot;
  FkTime since; /* rented, or first seen in the list */
  gboolean listed, failed, running;
  FkTime listed_at, running_since;
  gboolean hired; /* by us, so that `since` is exact */
} Booting;

typedef struct {
  char *name, *type, *zone;
  gboolean spot;
  guint count;
  guint64 call; /* under way */
  gboolean under_way;
  FkTime again;
} Hire;

typedef struct {
  FkTime until;
  guint refusals;
} Closed;

struct FkFleet {
  GHashTable *booting; /* id -> Booting: rented, no claim yet */
  GPtrArray *hires;    /* Hire: requests without a certain answer */
  GHashTable *closed;  /* "type/zone/spot" -> Closed: no capacity lately */
  GHashTable *gone;    /* ids that the cloud confirmed gone -> FkTime* */
  GHashTable *calls;   /* return call -> GPtrArray of ids */
  GHashTable *returning;
  guint64 counter;
  FkTime next, list_next, return_next, drain_next, idle_next;
  gboolean list_pending, listed_once;
  char *after;
  FkTime list_began;
  GHashTable *rates; /* class -> Rate */
  FkTime counted;    /* jobs seen before this are in the rates */
  FkBoots boots;
  FkHold hold[2]; /* ordinary, spot: what came of giving idle machines back */
};

typedef struct {
  FkSpec *spec;
  double rate; /* arrivals a second, smoothed */
  guint since; /* seen since the last look */
} Rate;

/* What the fleet would do, played through in thought: room now, room when running tasks end and when machines
 * come up. Only work that would wait for too long is worth renting for. Machines, and the room that tasks
 * will leave, are alike in large numbers: those that are go into one bin with a count. */
typedef enum { BIN_IDLE, BIN_UP, BIN_COMING, BIN_LATER } BinKind;
typedef struct {
  const FkType *type;
  const char *zone; /* interned */
  guint32 spot, kind;
  gint64 cpus4, gpus4, mem2, at2; /* in steps of 1/4 CPU and GPU, 1/2 GB, 2 s */
} BinKey;
typedef struct {
  BinKey key;
  guint count;
  double cpus, gpus, mem; /* free in each, from `at` on */
  double at;              /* seconds from now */
} Bin;
typedef struct {
  GArray *list;      /* Bin */
  GHashTable *index; /* BinKey -> place in the list + 1 */
  GArray *hire;      /* Bin: what to rent, and how many */
} Bins;

guint fk_bin_hash(gconstpointer key);
gboolean fk_bin_equal(gconstpointer a, gconstpointer b);

#define RECKONED 0.3   /* chance to come within a boot time */
#define GIVEN_UP 0.1   /* chance to come within two more */
#define CHARGED_S 60.0 /* a machine costs so much at the least: going sooner saves nothing */
#define BOOTS_MOST 4.0

/* fleet.c */
char *fk_fleet_offer_key(const char *type, const char *zone, gboolean spot);
void fk_fleet_rent(FkController *c, const char *type, const char *zone, gboolean spot, guint count);
/* Sends the request, for the first time or once more. */
void fk_fleet_hire_send(FkController *c, Hire *h);

/* fleet_plan.c */
/* Arrivals of services are learnt, so that some room is up when the next one comes. */
void fk_fleet_learn_rates(FkController *c, double dt);
/* Plays what waits through: what is there, and what to rent. */
void fk_fleet_demand(FkController *c, Bins *bins);
/* How many such tasks that much has room for. */
guint fk_fleet_slots(double cpus, double gpus, double mem, const FkSpec *s);
/* In usual boot times. */
double fk_fleet_boot_age(FkController *c, const Booting *b, const FkType *t);

/* fleet_return.c */
void fk_fleet_return_some(FkController *c);
/* Idle machines that the plan has no use for. */
void fk_fleet_give_back_idle(FkController *c, const Bins *bins);
/* A machine that costs far more than what runs there needs is left by it. */
void fk_fleet_drain_dear(FkController *c);
