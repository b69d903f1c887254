/* The store as this controller sees it: a consistent prefix of its history, applied in order. */
#pragma once
#include "core/settings.h"
#include "core/state/live_job.h"
#include "core/state/records.h"
#include "dependency_graph/dependency_graph.h"
#include "fair_share/service_level.h"
#include "fault_attribution/fault_attribution.h"

/* A page of completions. */
typedef struct {
  FkRev rev;
  GPtrArray *records; /* FkCompletionRecord */
} FkCompletionPage;

/* How an allocation ended. */
typedef enum {
  FK_COMPLETION_DONE,
  FK_COMPLETION_RELEASED, /* stopped, refused, or lost with its machine */
  FK_COMPLETION_FAILED    /* the worker says that the task failed */
} FkCompletionKind;

typedef struct FkWorkerState FkWorkerState;

/* When a worker that was redirected to its shard's owner last came back from there, and the time before. */
typedef struct {
  FkTime last_at, previous_at;
} FkReturnedWorker;

/* The most parts of a shard's machine page. It is one record while a value holds it, then several: "zone.k",
 * "zone.k+1", ... Only versions that support dependencies read those with a number. */
#define FK_SHARD_PAGES_MAX 8

/* Machines of one zone that have one owner together: the revision of the record that names the owner is the
 * fencing token of them all. */
typedef struct {
  const char *id, *zone;               /* interned */
  char *owner, *owner_incarnation;     /* the controller; NULL: none yet */
  FkRev rev;                           /* of the owner's record; 0: none */
  FkRev page_revs[FK_SHARD_PAGES_MAX]; /* of the pages that describe its machines */
  gboolean oversized;                  /* a page was written under larger limits than those to come */
  GPtrArray *machines;                 /* FkMachine: those in the pages, and others that were heard */
  gboolean was_owned;                  /* by this controller, at the last tick */
  gboolean acquire_wanted;             /* its workers can't reach their owner, or need a new fencing token */
  FkTime acquire_after;
  FkTime no_handback_until;      /* its workers couldn't reach this controller: it is left with its owner */
  FkTime ignore_returns_until;   /* another has just taken it from us: workers that come back prove nothing */
  GHashTable *returned_machines; /* id -> FkReturnedWorker*: those that came back from their owner lately */
  FkRev later_token; /* the highest token that its workers have shown while our view was old: above `rev`,
                        another controller owns it by now */
  guint announcements_due; /* workers to be shown a new token at once */
  gboolean page_dirty;     /* a page is to be written ... */
  FkTime page_dirty_since;
  FkTime removal_write_due; /* ... by then at the latest, since a machine is to be removed; 0: none is */
} FkShard;

/* A machine, with what the view, its shard's owner and the scheduler know of it. */
typedef struct {
  const char *id;          /* interned */
  FkMachineRecord *record; /* NULL: not registered */
  FkShard *shard;          /* NULL: its zone isn't known */
  FkRev page_rev;          /* the latest of its shard's pages that described it ... */
  guint record_page_index; /* ... and which that is */
  /* What this controller asks the registry to write of it. */
  FkMachineRecord *pending_record;  /* owned; NULL: it needn't be added */
  const char *pending_drain_reason; /* interned; NULL: it stays as it is */
  double pending_termination_notice_s;
  gboolean pending_drain_clear; /* it needn't go any more */
  gboolean pending_removal;     /* it is gone */
  struct FkInstanceType *type;  /* cached */
  GArray *allocations;          /* FkAllocationRef */
  double allocated_cpus, allocated_gpus, allocated_mem_gb;
  double reserved_cpus, reserved_gpus, reserved_mem_gb; /* by launches under way */
  double allocated_long_cpus;                           /* of those allocated, to the long path's tasks */
  const char *drain_reason;                             /* interned: why it should go, or NULL ... */
  FkTime drain_reason_since;                            /* ... and since when this controller knows */
  FkTime record_seen_at;                                /* when this controller first saw its record */
  double notice_s; /* seconds from then until its termination; < 0: none was given */
  FkTime idle_since;
  gboolean blacklisted;             /* in the short partition: closed to newly arrived long jobs */
  FkTime full_until;                /* it refused a start: nothing new for a while */
  FkWorkerState *worker;            /* what this controller keeps of it as its owner, or NULL */
  GDestroyNotify worker_state_free; /* of `worker` */
  GHashTable *images;               /* interned: images started there lately */
  GPtrArray *probes; /* FkJob, with a reference: short jobs that may start here; NULL: none yet */
} FkMachine;

/* A live controller. */
typedef struct {
  char *name, *incarnation;
  FkRev rev;
} FkControllerNode;

/* What a team has allocated, and how its quota is kept (scheduling/quota_partition.c). */
typedef struct {
  FkRev rev;
  double cpus, gpus; /* allocated to the team's tasks */
  double reserved_cpus, reserved_gpus;
  gboolean share_exhausted; /* this controller's share is used up, the team's quota is not */
  FkTime serialized_since, changed_at;
  char *last_exhausted_by; /* the controller that used up its share last, or NULL */
  double serialized_min_s;
  GHashTable *cpus_by_controller; /* controller (interned) -> double*: allocated by its launches */
  GHashTable *partition; /* controller -> double*: its share of the quota; NULL: launches are serialized */
} FkTeamUsage;

/* The guard of a controller's launches. Each incarnation writes it before it launches anything, so that it
 * also says what the version that wrote it last supports. */
typedef struct {
  FkRev rev;
  gboolean supports_dependencies; /* between jobs, and machine pages in parts */
} FkLaunchFence;

/* Tables own their values unless it says otherwise. `now` and `wall_offset_us` are set by the owner before
 * changes are applied. */
typedef struct FkView FkView;
struct FkView {
  const FkSettings *settings;
  FkRev applied;
  GHashTable *jobs;                 /* id -> FkJob */
  GHashTable *machines;             /* id -> FkMachine */
  GHashTable *shards;               /* id -> FkShard */
  GHashTable *completion_pages;     /* "node/n" -> FkCompletionPage */
  GHashTable *completions_by_chunk; /* "job/index" -> GPtrArray of FkCompletionRecord, the pages' */
  GHashTable *launch_fences;        /* node -> FkLaunchFence* */
  FkDependencyGraph *dependencies;  /* of the live jobs */
  GHashTable *nodes;                /* name -> FkControllerNode */
  GHashTable *teams;                /* name -> FkTeamUsage */
  GHashTable *wait_times;           /* node -> FkWaitTimes */
  GHashTable *terminal_phases;      /* id -> FkPhase+1 */
  GHashTable *terminal_task_counts;
  GQueue *terminal_order;
  GHashTable *estimate_corrections; /* class -> double*: how long tasks really take, by their estimate */
  FkSpec *latest_service;           /* the latest service seen, or NULL */
  double service_arrival_rate;      /* services that arrive a second, smoothed */
  guint service_arrivals;           /* since the rate was updated last */
  FkTime service_arrival_rate_updated_at;
  double finished_run_s; /* of arrays' tasks done in this window: from allocation to end, summed */
  guint finished_count;
  double lost_cpu_s; /* of arrays' tasks that ended without a result in this window */
  FkServiceLevel *service_level;
  FkFaultAttribution *fault_attribution;
  FkTime failing_reviewed_at;
  GHashTable *orphan_chunks; /* paths of chunks without a job -> FkRev* */
  char *leader, *leader_incarnation;
  FkRev leader_rev;
  GHashTable *changed_machines; /* ids: allocations, record or owner changed since the last cycle */
  GPtrArray *removed_machines;  /* addresses of freed machines, for the capacity index: not to be followed */
  GHashTable *capacity_changed; /* ids, as above, for the capacity index */
  GPtrArray *live_jobs;         /* FkJob: those of `jobs`, in no order */
  GHashTable *changed_jobs; /* FkJob, with a reference: waiting tasks may have changed since the last cycle */
  guint64 allocation_updates; /* allocations counted in or out: the cost of applying changes */
  gboolean caught_up;         /* what comes now has just happened: the list and its catch-up are over */
  FkTime now;                 /* set by the owner before applying */
  gint64 wall_offset_us;      /* steady = time of day - offset */
};

FkView *fk_view_new(const FkSettings *settings); /* `settings` must outlive it */
void fk_view_free(FkView *view);                 /* NULL is fine */
/* Forgets everything but terminal jobs, which never change, before the store is listed again. */
void fk_view_clear(FkView *view);
/* Applies one change. `record` is taken; NULL: the key was deleted. What is older than the view is ignored.
 */
void fk_view_apply(FkView *view, const char *path, FkRecord *record, FkRev rev);

/* Borrowed; NULL: not in the view. */
FkJob *fk_view_find_job(FkView *view, const char *id);
FkMachine *fk_view_find_machine(FkView *view, const char *id);
/* Made if the view does not have it: other records may name it before its own comes. */
FkMachine *fk_view_ensure_machine(FkView *view, const char *id);
FkShard *fk_view_ensure_shard(FkView *view, const char *id);
FkTeamUsage *fk_view_ensure_team(FkView *view, const char *name);
/* Frees the machine. */
void fk_view_remove_machine(FkView *view, FkMachine *machine);
/* The shard of a machine, for good, by its zone and id; owned by the caller. */
char *fk_shard_id_for_machine(const char *zone, const char *machine);
/* Puts a machine that has no shard into its own. */
void fk_view_assign_shard(FkView *view, FkMachine *machine, const char *zone);
/* The revision of a controller's launch fence; 0: it has none. */
FkRev fk_view_launch_fence_rev(FkView *view, const char *node);

/* terminal_jobs.c */

/* FALSE: the job is not known as terminal, which does not mean that it isn't. */
gboolean fk_view_find_terminal_job(FkView *view, const char *id, FkPhase *phase, guint32 *tasks);
/* `ended_at_ms`: time of day; 0: not known. */
void fk_view_add_terminal_job(FkView *view, const char *id, FkPhase phase, guint32 tasks, gint64 ended_at_ms);

/* run_estimates.c */

/* Seconds that a task is expected to run: the user's estimate, corrected by what tasks of its class took. */
double fk_view_expected_run_s(FkView *view, const FkSpec *spec);
/* Updates the rate at which services arrive; at most once a second, calls between do nothing. */
void fk_view_update_service_arrival_rate(FkView *view);

/* failing_jobs.c */

/* Reviews, at most once a second, which jobs still seem to fail on every machine. */
void fk_view_review_failing_jobs(FkView *view);
