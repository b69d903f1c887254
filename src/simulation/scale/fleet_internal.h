/* What the files of the fleet's process share. */
#pragma once
#include "net/http_client.h"
#include "simulation/event_queue.h"
#include "simulation/scale/events.h"
#include "simulation/scale/listen.h"
#include "simulation/scale/plan.h"
#include "simulation/scale/series.h"
#include "simulation/store_model.h"
#include "simulation/worker_model.h"

typedef struct {
  FkWorkerModel model; /* its first member: hooks find the machine by it */
  guint number;
  gboolean up, gone;
  gboolean elsewhere; /* another process plays it; here it is for the cloud's list, and for faults */
  gint64 born, died;  /* `died`: by itself; 0: it hasn't */
  gint64 returned;    /* 0: it wasn't */
  int listening;      /* of its address */
  guint life;         /* timers of an earlier one are void */
  guint home;         /* the controller that it reports to */
  guint64 report;     /* the plan for the next report, or the report under way; others are void */
  gboolean under_way;
  gint64 sent; /* the latest report */
  gboolean changed;
  gint64 token_counted; /* when a higher token was last a reason to report */
  GHashTable *images;
} Machine;

typedef struct {
  const FkScalePlan *plan;
  guint region, part;
  GRand *rand;
  GRand *fault_rand; /* the same in all processes of a region */
  FkEventQueue *agenda;
  FkHttpClient *http;
  FkSeries *series;
  FkEventLog *events;
  FkManyAddresses *addresses;
  SoupServer *cloud;
  FkStoreRateLimit cloud_budget;
  GPtrArray *machines;  /* Machine, by number */
  GHashTable *by_addr;  /* address -> Machine */
  GHashTable *specs;    /* job id -> FkSpec */
  GHashTable *finished; /* "job/task" */
  GHashTable *hires;    /* name -> GPtrArray of names */
  FkWorkerHooks hooks;
  guint64 serial;
  gint64 left_us;   /* while a lease is ended: its end, when the tasks left; else 0: now */
  GPtrArray *types; /* FkInstanceType */
} Fleet;

/* fleet.c */
/* A fleet without machines, whose agenda runs by the clock; FALSE: a file or an address can't be had. */
gboolean fk_fleet_open(Fleet *f, const FkScalePlan *p, guint region, guint part, GError **error);
/* The machines that are there from the start. */
void fk_fleet_boot_first(Fleet *f);
/* Its files are complete, and nothing happens there any more. */
void fk_fleet_close(Fleet *f);
void fk_fleet_after(Fleet *f, double seconds, FkEventQueueFn fn, gpointer data);
Machine *fk_fleet_boot(Fleet *f, const char *zone, gboolean spot, double boot_s);
/* It is no more, and nothing that ran there. */
void fk_fleet_lose(Fleet *f, Machine *m);
/* Where the machine's lease has run out by now, its tasks left at the lease's end, however late this is
 * noticed, and the next session has begun. Whether it has. */
gboolean fk_fleet_expire(Fleet *f, Machine *m, gint64 now);
guint fk_fleet_alive(const Fleet *f);
const FkSpec *fk_fleet_spec(Fleet *f, const char *job);

/* reports.c */
#define FK_FLEET_RETURNED "/returned" /* from the cloud to the process that plays the worker */
/* The first report of a life goes out within a moment. */
void fk_fleet_begin_reports(Fleet *f, Machine *m);
/* Something that a report would show is new. */
void fk_fleet_changed(Fleet *f, Machine *m);
void fk_fleet_on_command(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
                         gpointer fleet);

/* cloud_service.c */
gboolean fk_fleet_open_cloud(Fleet *f, GError **error);
