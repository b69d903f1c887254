/* The simulated workers of one region and process: each has an address, an incarnation, a lease and tasks
 * that end after their run time; none runs anything. With several processes, each knows all workers of the
 * start but plays only its share; a worker that another one plays is kept here for the cloud's list and for
 * faults.
 *
 * This module has the machines, leases and tasks. `heartbeats.h` adds the exchange with the controllers,
 * `cloud_stand_in.h` the cloud, `worker_faults.h` the plan's faults. */
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
  FkWorkerModel model; /* the first member: the model's hooks cast it to the worker */
  guint number;        /* in the order of creation, in its region */
  gboolean up, terminated;
  gboolean remote;      /* played by another process of the region */
  gint64 created_us;    /* as the cloud lists it */
  gint64 failed_us;     /* 0: it didn't fail */
  gint64 terminated_us; /* by a request to the cloud; 0: it wasn't */
  int listener;         /* of its address; -1: not listening */
  guint boots;          /* events planned for an earlier boot are void */
  guint controller;     /* that it sends its heartbeats to */
  guint64 heartbeat_id; /* the heartbeat that is planned or in flight; all others are void */
  gboolean heartbeat_in_flight;
  gint64 heartbeat_sent_us; /* of the latest heartbeat */
  gboolean state_changed;   /* since the latest heartbeat */
  gint64 token_change_us;   /* when a higher fencing token last counted as a change */
  GHashTable *images;       /* names of the images that it has */
  GPtrArray *executed;      /* bodies of direct commands (late_copies.h); NULL: none */
  GPtrArray *copies;        /* those of before the restart, which reach it again; NULL: none */
  gboolean gets_copies;     /* its latest restart was one after which copies reach it */
} FkSimulatedWorker;

typedef struct FkSimulatedWorkers FkSimulatedWorkers;

/* Called by this module; set by `heartbeats.h`. */
typedef struct {
  void (*on_booted)(FkSimulatedWorkers *workers, FkSimulatedWorker *worker);
  /* Something that a heartbeat would show has changed. */
  void (*on_state_changed)(FkSimulatedWorkers *workers, FkSimulatedWorker *worker);
} FkSimulatedWorkersHooks;

struct FkSimulatedWorkers {
  const FkScalePlan *plan;
  guint region, process;
  GRand *rand;
  GRand *fault_rand; /* yields the same sequence in all processes of a region */
  FkEventQueue *event_queue;
  FkHttpClient *http;
  FkMetricsLog *metrics;
  FkEventLog *events;
  FkStandInListener *listener;
  FkSimulatedWorkersHooks hooks;
  FkWorkerHooks model_hooks;
  GPtrArray *all;             /* FkSimulatedWorker, by number; never removed */
  GHashTable *by_addr;        /* address -> FkSimulatedWorker */
  GHashTable *specs;          /* job id -> FkSpec */
  GHashTable *finished_tasks; /* "JOB/TASK" that ended in this process */
  guint64 last_serial;        /* of tasks and heartbeats */
  gint64 release_time_us;     /* while an expired lease is handled: its end; else 0 */
};

/* No workers yet, and no events until the event queue's clock is started. FALSE with an error when a file
 * can't be written. `listener` is left to the caller. */
gboolean fk_simulated_workers_open(FkSimulatedWorkers *workers, const FkScalePlan *plan, guint region,
                                   guint process, GError **error);
/* Voids what is planned or in flight and closes the files. */
void fk_simulated_workers_close(FkSimulatedWorkers *workers);
/* Creates the workers that exist from the start. */
void fk_simulated_workers_boot_initial(FkSimulatedWorkers *workers);
void fk_simulated_workers_schedule(FkSimulatedWorkers *workers, double delay_s, FkEventQueueFn fn,
                                   gpointer data);
/* Creates a worker, which is up after `boot_s`; it belongs to `workers`. */
FkSimulatedWorker *fk_simulated_workers_boot(FkSimulatedWorkers *workers, const char *zone, gboolean spot,
                                             double boot_s);
/* The worker and its tasks are gone for good; nothing happens when they already are. */
void fk_simulated_workers_terminate(FkSimulatedWorkers *workers, FkSimulatedWorker *worker);
/* The machine fails for good: terminated, and the cloud finds out later. */
void fk_simulated_workers_fail(FkSimulatedWorkers *workers, FkSimulatedWorker *worker);
/* The machine is back within seconds, in its first incarnation and without tasks or images. */
void fk_simulated_workers_restart(FkSimulatedWorkers *workers, FkSimulatedWorker *worker);
/* As above, but back within half a second, when copies of earlier commands reach it (late_copies.h). */
void fk_simulated_workers_restart_at_once(FkSimulatedWorkers *workers, FkSimulatedWorker *worker);
/* When the lease has expired by `now`, its tasks are released as of the lease's end, however late this is
 * noticed, and the next incarnation begins. Whether it had expired. */
gboolean fk_simulated_workers_check_lease(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, gint64 now);
/* Workers that aren't terminated. */
guint fk_simulated_workers_count(const FkSimulatedWorkers *workers);
/* Borrowed; NULL when the id is no job of the run. */
const FkSpec *fk_simulated_workers_spec(FkSimulatedWorkers *workers, const char *job);
/* Sets the gauges of the metrics log. */
void fk_simulated_workers_sample(FkSimulatedWorkers *workers);
