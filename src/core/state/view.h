/* The view: an in-memory replica of the store's live records. Once ready, it applies changes in the order of
 * the store's revisions and shows a consistent, possibly stale, state. */
#pragma once
#include "core/settings.h"
#include "core/state/live_job.h"
#include "core/state/records.h"
#include "dependency_graph/dependency_graph.h"
#include "fair_share/service_level.h"
#include "fault_attribution/fault_attribution.h"

/* A page of completions, written by one controller. */
typedef struct {
  FkRev rev;
  GPtrArray *records; /* FkCompletionRecord */
} FkCompletionPage;

/* How an allocation ended. */
typedef enum {
  FK_COMPLETION_DONE,
  FK_COMPLETION_RELEASED, /* stopped, refused by the worker, or lost with its machine */
  FK_COMPLETION_FAILED    /* the worker reported that the task failed */
} FkCompletionKind;

typedef struct FkWorkerState FkWorkerState;

/* Times of the two latest returns of a worker. A return is a heartbeat to this controller after this
 * controller had redirected the worker to the shard's owner. Returns suggest that the worker cannot reach the
 * owner. */
typedef struct {
  FkTime last_at, previous_at; /* 0 if none */
} FkReturnedWorker;

/* The largest number of pages that describe the machines of one shard. The first page is named by the shard's
 * id, such as "north.3". A further page appends "+" and the page's index, such as "north.3+1". Further pages
 * are used when one value of the store cannot hold all machines. Only versions that support job dependencies
 * read further pages. */
#define FK_SHARD_PAGES_MAX 8

/* A subset of the machines of one zone that have a common owner. The fencing token of a shard's owner is the
 * revision of the record that names the owner. */
typedef struct {
  const char *id, *zone;           /* interned */
  char *owner, *owner_incarnation; /* the controller that owns the shard; NULL if none does */
  /* The owner hears almost none of its workers in the zone: nobody knows whether the shard's machines are up.
   */
  gboolean unreachable;
  FkRev rev;                           /* revision of the owner's record; 0 if there is no record */
  FkRev page_revs[FK_SHARD_PAGES_MAX]; /* revisions of the shard's machine pages; 0 if not seen */
  gboolean oversized;                  /* a page exceeds FK_MACHINE_PAGE_MAX_BYTES and is to be divided */
  GPtrArray *machines;     /* FkMachine; includes machines that are in no page but have sent heartbeats */
  gboolean was_owned;      /* whether this controller owned the shard when last checked */
  gboolean acquire_wanted; /* acquire the shard; if already the owner, acquire a new fencing token */
  FkTime acquire_after;    /* earliest time of the next attempt to acquire the shard */
  /* Time until which this controller does not take the shard back from a live owner. Set when this controller
   * loses the shard while healthy: the workers probably could not reach this controller. */
  FkTime no_handback_until;
  /* Time until which workers that come back after a redirect don't cause this controller to acquire the
   * shard. Set when this controller loses the shard: the new owner acquired it just now, so workers were able
   * to reach the owner. */
  FkTime ignore_returns_until;
  GHashTable *returned_machines; /* id -> FkReturnedWorker* */
  /* The highest fencing token that the shard's workers have reported while this controller's view was stale.
   * If the token is above `rev`, another controller has acquired the shard. */
  FkRev later_token;
  guint announcements_due;  /* number of workers to send the new fencing token without delay */
  gboolean page_dirty;      /* a page has changes that are not written yet */
  FkTime page_dirty_since;  /* since when changes have waited to be written */
  FkTime removal_write_due; /* when to write the removal of machines; 0 if none is pending */
} FkShard;

/* How a machine's free capacity is left to blocked jobs (scheduling/scheduling_queue.h). */
typedef struct {
  guint64 cycle;       /* the scheduling cycle in which `usable_in_s` was computed; 0 if none */
  double usable_in_s;  /* expected seconds until a blocked job can use the machine; G_MAXDOUBLE if none can */
  guint blocked_index; /* index of that job in the cycle's list of blocked jobs */
  FkTime since;        /* since when capacity is left while nothing starts or ends here; 0 if it isn't */
  FkTime last_at;      /* when capacity was last left */
} FkYield;

/* A machine, with the state that the view, the shard's owner and the scheduler keep of the machine. */
typedef struct {
  const char *id;          /* interned */
  FkMachineRecord *record; /* NULL if the machine is not registered */
  FkShard *shard;          /* NULL if its zone is unknown */
  FkRev page_rev;          /* revision of the page that last contained the machine's record */
  guint record_page_index; /* index of the page that last contained the machine's record */
  /* Changes of the machine's record that are not written to the store yet. */
  FkMachineRecord *pending_record;     /* the record to add, owned; NULL if none */
  const char *pending_drain_reason;    /* interned: the drain reason to set; NULL if none */
  double pending_termination_notice_s; /* for `pending_drain_reason`: seconds until the termination; < 0 if
                                          unknown */
  gboolean pending_drain_clear;        /* the drain reason is to be cleared */
  gboolean pending_removal;            /* the record is to be removed: the machine is terminated */
  struct FkInstanceType *type;         /* cached; NULL if not looked up yet */
  GArray *allocations;                 /* FkAllocationRef */
  double allocated_cpus, allocated_gpus, allocated_mem_gb;
  double reserved_cpus, reserved_gpus, reserved_mem_gb; /* reserved for launches in progress */
  double allocated_long_cpus;                           /* CPUs allocated to tasks of the long path */
  const char *drain_reason;  /* interned: why the machine is to be drained; NULL if it is not */
  FkTime drain_reason_since; /* when this controller first saw the drain reason */
  FkTime record_seen_at;     /* when this controller first saw the machine's record */
  FkTime listed_at;          /* when this controller last saw the machine in the cloud's list; 0 if never */
  double notice_s;           /* seconds from `drain_reason_since` until the termination; < 0 if unknown */
  FkTime idle_since;         /* when the machine last became idle */
  gboolean blacklisted;      /* in the short partition, which newly arrived long jobs may not use */
  FkTime full_until;         /* until then no task is launched here, because the worker was full or busy */
  FkWorkerState *worker;     /* state kept by the shard's owner; NULL if this controller keeps none */
  GDestroyNotify worker_state_free; /* frees `worker` */
  FkYield yield;
  GHashTable *images; /* interned: images of tasks that were allocated to the machine */
  GPtrArray *probes;  /* FkJob, with references: short jobs that placed probes here; NULL before the first */
} FkMachine;

/* A live controller. */
typedef struct {
  char *name, *incarnation;
  /* The zones in which the controller hears almost none of its workers, sorted; NULL if there is none. */
  char **unreachable_zones;
  FkRev rev;
} FkControllerNode;

/* The resources allocated to a team, and how the team's quota is divided among the controllers
 * (scheduling/quota_partition.c). A quota that is not divided is serialized: each launch of the team writes
 * the team's record. */
typedef struct {
  FkRev rev;
  double cpus, gpus;                   /* allocated to the team's tasks */
  double reserved_cpus, reserved_gpus; /* reserved for launches in progress */
  gboolean share_exhausted; /* this controller's share of the quota did not allow a launch that the quota
                               allowed */
  FkTime serialized_since;  /* when the quota was last seen partitioned, or paused; 0 if never */
  FkTime changed_at;        /* when the team's record last changed */
  char *last_exhausted_by;  /* the last controller to use up its share; NULL if none */
  double serialized_min_s;  /* shortest time for which launches stay serialized */
  GHashTable *cpus_by_controller; /* controller (interned) -> double*: CPUs allocated by its launches */
  /* controller -> double*: its share of the CPU quota. Empty while launches are paused; NULL if launches are
   * serialized. */
  GHashTable *partition;
} FkTeamUsage;

/* A controller's launch fence. The revision of the launch fence guards each of the controller's launches.
 * Every incarnation writes the launch fence before its first launch, so the launch fence also shows which
 * capabilities the controller's version has. */
typedef struct {
  FkRev rev;
  FkFeatures features;
} FkLaunchFence;

/* The replica of the store's live records, with statistics learned from their changes. Hash tables own their
 * values unless noted otherwise. */
typedef struct FkView FkView;
struct FkView {
  const FkSettings *settings;
  FkRev applied;                    /* the view includes all changes up to this revision */
  GHashTable *jobs;                 /* id -> FkJob */
  GHashTable *machines;             /* id -> FkMachine */
  GHashTable *shards;               /* id -> FkShard */
  GHashTable *completion_pages;     /* "controller/page index" -> FkCompletionPage */
  GHashTable *completions_by_chunk; /* "job/index" -> GPtrArray of FkCompletionRecord, owned by their pages */
  GHashTable *launch_fences;        /* controller -> FkLaunchFence* */
  FkDependencyGraph *dependencies;  /* dependency graph of the live jobs */
  GHashTable *nodes;                /* controller -> FkControllerNode */
  GHashTable *teams;                /* name -> FkTeamUsage */
  GHashTable *wait_times;           /* controller -> FkWaitTimes */
  GHashTable *terminal_phases;      /* id -> FkPhase + 1 */
  GHashTable *terminal_task_counts; /* id -> number of tasks done */
  GQueue *terminal_order;           /* ids of terminal jobs, first added first; owned by `terminal_phases` */
  GHashTable *estimate_corrections; /* class -> double*: ratio of actual to estimated run time, smoothed */
  FkSpec *latest_service;           /* the service that was added last; NULL if none */
  double service_arrival_rate;      /* arrival rate of services in tasks per second, smoothed */
  guint service_arrivals; /* tasks of services that arrived since `service_arrival_rate` was last updated */
  FkTime service_arrival_rate_updated_at; /* when `service_arrival_rate` was last updated */
  double finished_run_s; /* sum of the measured run times of array and gang tasks completed in this window */
  guint finished_count;  /* number of tasks in `finished_run_s` */
  double lost_cpu_s; /* CPU-seconds lost in this window by array and gang tasks that ended without a result */
  FkServiceLevel *service_level;
  FkFaultAttribution *fault_attribution;
  FkTime failing_reviewed_at;        /* when the failing jobs were last reviewed */
  GHashTable *orphan_chunks;         /* path of a chunk whose job is not in the view -> FkRev* */
  char *leader, *leader_incarnation; /* NULL if there is no leader */
  FkRev leader_rev;                  /* revision of the leader's record; 0 if none */
  GHashTable *changed_machines;      /* ids of machines changed since the last scheduling cycle */
  GPtrArray *removed_machines;       /* addresses of freed machines in the capacity index; not dereferenced */
  GHashTable *capacity_changed;      /* ids of machines changed since the last update of the capacity index */
  GPtrArray *live_jobs;              /* FkJob: the values of `jobs`, in no particular order */
  GHashTable *changed_jobs;          /* FkJob, with references: waiting tasks may have changed since the last
                                        scheduling cycle */
  guint64 allocation_updates; /* number of allocations added or removed so far, which drives the cost of
                                 applying changes */
  gboolean caught_up;         /* the view is complete, so changes applied from now on have just happened */
  FkTime now;                 /* current time; set by the caller before it applies changes */
  gint64 wall_offset_us;      /* wall clock minus monotonic clock, in us; set by the caller */
};

FkView *fk_view_new(const FkSettings *settings); /* `settings` must outlive the view */
void fk_view_free(FkView *view);                 /* NULL is fine */
/* Removes all records of live keys, before they are listed again. Keeps terminal jobs, which never change,
 * and the learned estimates. */
void fk_view_clear(FkView *view);
/* Applies the change of one key at revision `rev`. Takes ownership of `record`, which is NULL if the key was
 * deleted. */
void fk_view_apply(FkView *view, const char *path, FkRecord *record, FkRev rev);

/* Return the entry, owned by the view; NULL if the view has no such entry. */
FkJob *fk_view_find_job(FkView *view, const char *id);
FkMachine *fk_view_find_machine(FkView *view, const char *id);
/* Return the entry, owned by the view. Create the entry if necessary, because other records may refer to the
 * entry before its own record arrives. */
FkMachine *fk_view_ensure_machine(FkView *view, const char *id);
FkShard *fk_view_ensure_shard(FkView *view, const char *id);
FkTeamUsage *fk_view_ensure_team(FkView *view, const char *name);
/* Removes the machine from the view and frees it. */
void fk_view_remove_machine(FkView *view, FkMachine *machine);
/* Returns the id of a machine's shard; owned by the caller. The shard depends only on the machine's zone and
 * id, so a machine never changes its shard. */
char *fk_shard_id_for_machine(const char *zone, const char *machine);
/* Assigns a machine to its shard, unless the machine has one already. */
void fk_view_assign_shard(FkView *view, FkMachine *machine, const char *zone);
/* Returns the revision of a controller's launch fence; 0 if the controller has none. */
FkRev fk_view_launch_fence_rev(FkView *view, const char *node);

/* terminal_jobs.c */

/* Looks up a terminal job: sets `phase` and `tasks`, the number of tasks done. Returns FALSE if the view
 * lacks the job. The job may be terminal even then, because the view keeps only the most recent terminal
 * jobs. */
gboolean fk_view_find_terminal_job(FkView *view, const char *id, FkPhase *phase, guint32 *tasks);
/* Adds a terminal job and sets its state in the dependency graph. `tasks`: number of tasks done.
 * `ended_at_ms`: when the job ended, wall clock; 0 if unknown. */
void fk_view_add_terminal_job(FkView *view, const char *id, FkPhase phase, guint32 tasks, gint64 ended_at_ms);

/* run_estimates.c */

/* Returns the seconds that a task is expected to run: the user's estimate times the correction factor of the
 * job's class. */
double fk_view_expected_run_s(FkView *view, const FkSpec *spec);
/* Updates the arrival rate of services. Does nothing if the last update was less than a second ago. */
void fk_view_update_service_arrival_rate(FkView *view);

/* failing_jobs.c */

/* Reevaluates which of the failing jobs still seem to fail on every machine. Does nothing if the last review
 * was less than a second ago. */
void fk_view_review_failing_jobs(FkView *view);
