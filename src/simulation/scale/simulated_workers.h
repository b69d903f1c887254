/* What the files of the fleet's process share. */
#pragma once
#include "net/http_client.h"
#include "simulation/event_queue.h"
#include "simulation/scale/event_log.h"
#include "simulation/scale/http_stand_in.h"
#include "simulation/scale/metrics_log.h"
#include "simulation/scale/plan.h"
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
} FkSimulatedWorker;

typedef struct {
  const FkScalePlan *plan;
  guint region, part;
  GRand *rand;
  GRand *fault_rand; /* the same in all processes of a region */
  FkEventQueue *agenda;
  FkHttpClient *http;
  FkMetricsLog *series;
  FkEventLog *events;
  FkStandInListener *addresses;
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
} FkSimulatedWorkers;

/* fleet.c */
/* A fleet without machines, whose agenda runs by the clock; FALSE: a file or an address can't be had. */
gboolean fk_worker_stand_in_open(FkSimulatedWorkers *f, const FkScalePlan *p, guint region, guint part,
                                 GError **error);
/* The machines that are there from the start. */
void fk_simulated_workers_boot_initial(FkSimulatedWorkers *f);
/* Its files are complete, and nothing happens there any more. */
void fk_worker_stand_in_close(FkSimulatedWorkers *f);
void fk_simulated_workers_schedule(FkSimulatedWorkers *f, double seconds, FkEventQueueFn fn, gpointer data);
FkSimulatedWorker *fk_simulated_workers_boot(FkSimulatedWorkers *f, const char *zone, gboolean spot,
                                             double boot_s);
/* It is no more, and nothing that ran there. */
void fk_simulated_workers_terminate(FkSimulatedWorkers *f, FkSimulatedWorker *m);
/* Where the machine's lease has run out by now, its tasks left at the lease's end, however late this is
 * noticed, and the next session has begun. Whether it has. */
gboolean fk_simulated_workers_check_lease(FkSimulatedWorkers *f, FkSimulatedWorker *m, gint64 now);
guint fk_simulated_workers_count(const FkSimulatedWorkers *f);
const FkSpec *fk_simulated_workers_spec(FkSimulatedWorkers *f, const char *job);

/* reports.c */
#define FK_WORKER_TERMINATE_PATH "/returned" /* from the cloud to the process that plays the worker */
/* The first report of a life goes out within a moment. */
void fk_heartbeats_start(FkSimulatedWorkers *f, FkSimulatedWorker *m);
/* Something that a report would show is new. */
void fk_heartbeats_state_changed(FkSimulatedWorkers *f, FkSimulatedWorker *m);
void fk_heartbeats_on_command(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
                              gpointer fleet);

/* cloud_service.c */
gboolean fk_cloud_stand_in_open(FkSimulatedWorkers *f, GError **error);
