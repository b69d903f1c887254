/* The view: an in-memory replica of the store's live records, which applies their changes in the order of the
 * store's revisions and so shows a consistent, possibly stale, state. */
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

/* A worker that reported to this controller again after being redirected to its shard's owner, which is a
 * sign that the worker cannot reach the owner: the times of its two latest such returns. */
typedef struct {
  FkTime last_at, previous_at;
} FkReturnedWorker;

/* The largest number of pages that describe the machines of one shard. The first page is named "zone.k";
 * further pages, "zone.k+1" and so on, are added when a value of the store can no longer hold all machines.
 * Only versions that support job dependencies read the further pages. */
#define FK_SHARD_PAGES_MAX 8

/* A subset of the machines of one zone that have a common owner. The revision of the record that names the
 * owner is the fencing token of all of them. */
typedef struct {
  const char *id, *zone;               /* interned */
  char *owner, *owner_incarnation;     /* the controller that owns the shard; NULL if none does */
  FkRev rev;                           /* of the owner's record; 0 if there is none */
  FkRev page_revs[FK_SHARD_PAGES_MAX]; /* of the pages that describe its machines */
  gboolean oversized;                  /* a page exceeds the size limit that is to apply in future */
  GPtrArray *machines; /* FkMachine: machines in the shard's pages, and others that have sent heartbeats */
  gboolean was_owned;  /* whether this controller owned the shard at its last tick */
  gboolean acquire_wanted; /* the shard's workers cannot reach its owner, or need a new fencing token */
  FkTime acquire_after;    /* earliest time of the next attempt to acquire the shard */
  /* Time until which this controller leaves the shard to the owner that took it over, because the shard's
   * workers could not reach this controller. */
  FkTime no_handback_until;
  /* Time until which returned workers are not taken as a sign that the owner is unreachable: it has only just
   * acquired the shard from this controller, so the workers were able to reach it. */
  FkTime ignore_returns_until;
  GHashTable *returned_machines; /* id -> FkReturnedWorker* */
  /* The highest fencing token that the shard's workers have reported while this controller's view was stale.
   * If the token is above `rev`, another controller has acquired the shard. */
  FkRev later_token;
  guint announcements_due; /* number of workers that are to be sent a new fencing token at once */
  gboolean page_dirty;     /* a page has changes that are not written yet */
  FkTime page_dirty_since;
  FkTime removal_due; /* latest time to write the removal of a machine; 0 if none is pending */
} FkShard;

/* A machine, with the state that the view, the shard's owner and the scheduler keep of the machine. */
typedef struct {
  const char *id;          /* interned */
  FkMachineRecord *record; /* NULL if the machine is not registered */
  FkShard *shard;          /* NULL if its zone is unknown */
  FkRev page_rev;          /* revision of the page that described the machine last */
  guint page_part;         /* index of the page that described the machine last */
  /* Changes of the machine's record that this controller wants the registry to write. */
  FkMachineRecord *pending_record;  /* the record to add, owned; NULL if none */
  const char *pending_drain_reason; /* interned: the drain reason to set; NULL if none */
  double pending_notice_s;          /* seconds from that drain reason until the termination; < 0 if unknown */
  gboolean pending_clear;           /* the drain reason is to be cleared */
  gboolean pending_removal;         /* the record is to be removed: the machine is terminated */
  struct FkInstanceType *type;      /* cached */
  GArray *allocations;              /* FkAllocationRef */
  double allocated_cpus, allocated_gpus, allocated_mem_gb;
  double reserved_cpus, reserved_gpus, reserved_mem_gb; /* reserved for launches in progress */
  double allocated_long_cpus;                           /* CPUs allocated to tasks of the long path */
  const char *drain_reason;  /* interned: why the machine is to be drained, or NULL */
  FkTime drain_reason_since; /* when this controller first saw the drain reason */
  FkTime record_seen;        /* when this controller first saw its record */
  double notice_s;           /* seconds from `drain_reason_since` until its termination; < 0 if unknown */
  FkTime idle_since;
  gboolean blacklisted;  /* in the short partition: closed to newly arrived long jobs */
  FkTime full_until;     /* time until which nothing is launched here: the machine refused a task as full */
  FkWorkerState *worker; /* state kept by the shard's owner; NULL if this controller keeps none */
  GDestroyNotify worker_state_free; /* frees `worker` */
  GHashTable *images;               /* interned: images of tasks that were allocated to the machine */
  GPtrArray *probes; /* FkJob, with a reference: short jobs that may start on the machine; NULL if none yet */
} FkMachine;

/* A live controller. */
typedef struct {
  char *name, *incarnation;
  FkRev rev;
} FkControllerNode;

/* The resources allocated to a team, and how its quota is divided among the controllers
 * (scheduling/quota_partition.c). */
typedef struct {
  FkRev rev;
  double cpus, gpus;                   /* allocated to the team's tasks */
  double reserved_cpus, reserved_gpus; /* reserved for launches in progress */
  gboolean share_exhausted; /* this controller's share of the quota is used up, although the quota is not */
  FkTime serialized_since, changed_at;
  char *last_exhausted_by;        /* the last controller to use up its share, or NULL */
  double serialized_min_s;        /* shortest time for which launches stay serialized */
  GHashTable *cpus_by_controller; /* controller (interned) -> double*: CPUs allocated by its launches */
  GHashTable *partition; /* controller -> double*: its share of the quota; NULL if launches are serialized */
} FkTeamUsage;

/* A controller's launch fence: each of its launches is guarded by the revision of this record. Every
 * incarnation of the controller writes the record before its first launch, so the record also shows the
 * capabilities of the version that the controller runs. */
typedef struct {
  FkRev rev;
  gboolean supports_dependencies; /* job dependencies, and several pages per shard */
} FkLaunchFence;

/* Hash tables own their values unless noted otherwise. The owner of the view sets `now` and `wall_offset_us`
 * before it applies changes. */
typedef struct FkView FkView;
struct FkView {
  const FkSettings *settings;
  FkRev applied;                    /* the view includes all changes up to this revision */
  GHashTable *jobs;                 /* id -> FkJob */
  GHashTable *machines;             /* id -> FkMachine */
  GHashTable *shards;               /* id -> FkShard */
  GHashTable *completion_pages;     /* "node/n" -> FkCompletionPage */
  GHashTable *completions_by_chunk; /* "job/index" -> GPtrArray of FkCompletionRecord, owned by their pages */
  GHashTable *launch_fences;        /* controller -> FkLaunchFence* */
  FkDependencyGraph *dependencies;  /* of the live jobs */
  GHashTable *nodes;                /* controller -> FkControllerNode */
  GHashTable *teams;                /* name -> FkTeamUsage */
  GHashTable *wait_times;           /* controller -> FkWaitTimes */
  GHashTable *terminal_phases;      /* id -> FkPhase + 1 */
  GHashTable *terminal_task_counts; /* id -> number of tasks done */
  GQueue *terminal_order;           /* ids, owned by `terminal_phases`: oldest first */
  GHashTable *estimate_corrections; /* class -> double*: ratio of actual to estimated run time, smoothed */
  FkSpec *latest_service;           /* the service that was added last, or NULL */
  double service_rate;              /* arrival rate of services in tasks per second, smoothed */
  guint services_since_rate;        /* tasks of services that arrived since `service_rate` was last updated */
  FkTime service_rate_at;           /* when `service_rate` was last updated */
  double finished_run_s;            /* in this window: run times of completed array and gang tasks, summed */
  guint finished_count;             /* in this window: the number of those tasks */
  double lost_cpu_s; /* in this window: CPU-seconds of array and gang tasks that ended without a result */
  FkServiceLevel *service_level;
  FkFaultAttribution *fault_attribution;
  FkTime failing_reviewed_at; /* when the failing jobs were last reviewed */
  GHashTable *orphan_chunks;  /* paths of chunks without a job -> FkRev* */
  char *leader, *leader_incarnation;
  FkRev leader_rev;
  GHashTable *changed_machines; /* ids: allocations, record or owner changed since the last cycle */
  GPtrArray *capacity_removed;  /* addresses of freed FkMachine, for the capacity index; not dereferenced */
  GHashTable *capacity_changed; /* ids: the same changes since the last update of the capacity index */
  GPtrArray *live_jobs;         /* FkJob: the values of `jobs`, in no particular order */
  GHashTable *changed_jobs; /* FkJob, with a reference: waiting tasks may have changed since the last cycle */
  guint64 allocation_updates; /* allocations added or subtracted so far: the cost of applying changes */
  gboolean caught_up;    /* the list and its catch-up are complete: changes applied now have just happened */
  FkTime now;            /* set by the owner before it applies changes */
  gint64 wall_offset_us; /* wall clock minus steady clock */
};

FkView *fk_view_new(const FkSettings *settings); /* `settings` must outlive the view */
void fk_view_free(FkView *view);                 /* NULL is fine */
/* Removes everything that a list of the store will restore. Keeps terminal jobs, which never change, and the
 * learned estimates. */
void fk_view_clear(FkView *view);
/* Applies one change. Takes `record`, which is NULL if the key was deleted. A change that is older than the
 * view's state of the key is ignored. */
void fk_view_apply(FkView *view, const char *path, FkRecord *record, FkRev rev);

/* Returns the entry, owned by the view; NULL if it is not in the view. */
FkJob *fk_view_find_job(FkView *view, const char *id);
FkMachine *fk_view_find_machine(FkView *view, const char *id);
/* Returns the entry, owned by the view. Creates the entry if necessary, because other records may refer to it
 * before its own record arrives. */
FkMachine *fk_view_ensure_machine(FkView *view, const char *id);
FkShard *fk_view_ensure_shard(FkView *view, const char *id);
FkTeamUsage *fk_view_ensure_team(FkView *view, const char *name);
/* Removes the machine from the view and frees it. */
void fk_view_remove_machine(FkView *view, FkMachine *machine);
/* Returns the id of a machine's shard, as a string that the caller owns. It is computed from the machine's
 * zone and id only, so that a machine never changes its shard. */
char *fk_shard_id_for_machine(const char *zone, const char *machine);
/* Assigns a machine that has no shard yet to its shard. */
void fk_view_assign_shard(FkView *view, FkMachine *machine, const char *zone);
/* Returns the revision of a controller's launch fence; 0 if it has none. */
FkRev fk_view_launch_fence_rev(FkView *view, const char *node);

/* terminal_jobs.c */

/* Looks up a terminal job. Returns FALSE if the job is not in memory, which does not prove that it is not
 * terminal: only the most recent terminal jobs are kept. */
gboolean fk_view_find_terminal_job(FkView *view, const char *id, FkPhase *phase, guint32 *tasks);
/* Adds a terminal job, unless the view has it. `ended_at_ms`: wall clock; 0 if unknown. */
void fk_view_add_terminal_job(FkView *view, const char *id, FkPhase phase, guint32 tasks, gint64 ended_at_ms);

/* run_estimates.c */

/* Returns the seconds that a task is expected to run: the user's estimate, corrected by the run times of
 * completed tasks of its class. */
double fk_view_expected_run_s(FkView *view, const FkSpec *spec);
/* Updates the arrival rate of services, at most once a second: calls in between do nothing. */
void fk_view_update_service_rate(FkView *view);

/* failing_jobs.c */

/* Reevaluates, at most once a second, which of the failing jobs still seem to fail on every machine. */
void fk_view_review_failing_jobs(FkView *view);
