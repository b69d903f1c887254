/* The store as this controller sees it: a consistent prefix of its history, applied in order. */
#pragma once
#include "core/settings.h"
#include "core/state/job.h"
#include "dependency_graph/dependency_graph.h"
#include "fair_share/fair_share.h"
#include "fair_share/service_level.h"
#include "fault_attribution/fault_attribution.h"

typedef enum {
  FK_KEY_OTHER,
  FK_KEY_JOB,
  FK_KEY_CHUNK,
  FK_KEY_SHARD,
  FK_KEY_MACHINE_PAGE,
  FK_KEY_COMPLETIONS,
  FK_KEY_LAUNCH_FENCE,
  FK_KEY_NODE,
  FK_KEY_TEAM,
  FK_KEY_LEADER,
  FK_KEY_WAIT_TIMES,
  FK_KEY_TERMINAL_JOB
} FkKeyKind;

#define FK_STORE_ROOT "fk/"
#define FK_STORE_LIVE_ROOT "fk/l/"

/* What a machine is. It never changes, but for the mark: why the machine should go, or NULL. */
typedef struct {
  char *id, *addr;
  const char *type, *zone; /* interned */
  gboolean spot;
  const char *drain_reason; /* interned */
  double notice_s;
} FkMachineRecord;

/* What has ended of one chunk's bookings, as a home wrote it down: tasks that are done, and attempts that
 * ended without a result. It counts until the chunk itself says so. */
typedef struct {
  char *chunk;        /* "job/index" */
  GByteArray *done;   /* a byte a task */
  GArray *released;   /* FkReleasedAttempt */
  gconstpointer page; /* the FkCompletionPage that has it, in the view; NULL once replaced */
} FkCompletionRecord;
typedef struct {
  guint32 task;
  guint32 task_failed; /* the worker said so: not stopped, nor lost with its machine */
  FkAttempt attempt;
} FkReleasedAttempt;
FkCompletionRecord *fk_completion_record_new(const char *chunk);
FkCompletionRecord *fk_completion_record_copy(const FkCompletionRecord *e);
void fk_completion_record_free(gpointer e);
void fk_machine_record_free(gpointer m);

/* A controller's short tasks' waits of one window: all of them, and with no job counting for more than a few.
 */
typedef struct {
  guint64 window;
  double capped_sum_s;
  guint64 capped_count;
  double sum_s;
  guint64 count;
} FkWaitTimes;

void fk_wait_times_add(FkWaitTimes *to, const FkWaitTimes *more);

/* What goes under one key. Which members count depends on `kind`. */
typedef struct {
  FkKeyKind kind;
  FkSpec *spec;                   /* JOB */
  gboolean cancelled;             /* JOB */
  FkChunk *chunk;                 /* CHUNK */
  GPtrArray *machines;            /* PAGE: FkMachineRecord */
  GPtrArray *completions;         /* ENDS: FkCompletionRecord */
  GHashTable *partition;          /* TEAM: controller -> double* CPUs, or NULL: the limit is shared */
  char *node, *incarnation;       /* NODE, LEADER, GROUP: the home */
  FkPhase phase;                  /* FINAL */
  guint32 tasks;                  /* FINAL */
  FkWaitTimes wait_times;         /* WAITS */
  gboolean supports_dependencies; /* FENCE */
  gint64 ended_at_ms;             /* FINAL: when it ended, time of day; 0: not said */
} FkRecord;

FkRecord *fk_record_new(FkKeyKind kind);
void fk_record_free(FkRecord *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkRecord, fk_record_free)
FkMachineRecord *fk_machine_record_copy(const FkMachineRecord *m);
typedef struct {
  FkRev rev;
  GPtrArray *ends; /* FkCompletionRecord */
} FkCompletionPage;

/* Splits a path. `id` and `chunk` are set where the kind has them. */
FkKeyKind fk_key_parse(const char *path, char **id, guint32 *chunk);
char *fk_key_path(FkKeyKind kind, const char *id);
char *fk_key_chunk_path(const char *job, guint32 chunk);
char *fk_key_machine_page_path(const char *group, guint part);
/* What a machine takes of a page, and what the page itself does, in bytes at the most. */
guint fk_machine_record_bytes(const FkMachineRecord *m);
#define FK_MACHINE_PAGE_OVERHEAD_BYTES 100
#define FK_MACHINE_PAGE_MAX_BYTES(value_kb) ((guint)((value_kb)*1000) - 100)

typedef struct {
  char *path;
  FkRecord *record; /* NULL: deleted */
  FkRev rev;
} FkStoreEvent;
void fk_store_event_free(FkStoreEvent *e);

typedef struct {
  gint ref_count;   /* the view's, and one for each probe */
  gboolean removed; /* the view has it no more: nothing of it waits */
  guint list_index; /* its place in the view's list of jobs */
  FkSpec *spec;
  FkRev rev;
  gboolean cancelled;
  FkTime cancelled_at; /* when this controller first saw that */
  guint32 chunk_count;
  FkChunk **base_chunks; /* the chunks' records; NULL: no task of it was ever started */
  FkChunk **chunks;      /* ... with what homes have written down of ends */
  guint32 done, allocated;
  guint32 unstarted_hint;    /* no chunk before this one has a waiting task */
  FkTime first_seen_at;      /* when this controller first saw it */
  FkTime attempt_lost_at;    /* when a task of it lost its place last, its result not there yet */
  FkTime retry_at;           /* slowed after failures */
  gboolean has_failed;       /* a task of it has failed */
  gboolean failing;          /* it seems to fail everywhere: one task at a time */
  FkTime cycle_tried_at;     /* ... and the look that it went into */
  guint64 wait_times_window; /* of its waits so many were counted in this window */
  guint wait_times_counted;
  FkAttempt gang_attempt;           /* the number of the launch under way */
  guint32 gang_allocated;           /* tasks that it has booked so far */
  FkTime preempted_for_at;          /* room for it was asked for lately */
  double waiting_cpu_s;             /* work that waits; sorts the queue */
  FkJobPriority effective_priority; /* its place in the queue: its rank, or what its team has a claim to */
  FkStanding fair_share_standing;   /* its team's, among those who want room */
  guint queue_position;             /* in the queue, from 1; 0: never yet */
  gboolean urgent;                  /* goes first among its rank and its team's standing */
  gboolean
      quota_available; /* its team's limit had room for one more task, at the look that it went into last */
  double demand_cpus;  /* of the fleet, in CPUs; as counted for its team (turn.c) */
  guint waiting_services; /* tasks of a service that wait, as counted (turn.c) */
  guint64 last_cycle;     /* the look that it went into last */
  gboolean size_recorded; /* its size is in the books */
  FkTime probed_at;
  double latest_start_s; /* how far off its latest useful start is; sorts the queue */
  FkTime gang_until;     /* a gang's launch may go on in further transactions until then */
  gint64 submitted_us;   /* on the steady clock, by the time of day */
  gint64
      startable_us; /* since when it could start: its submission, or the end of the last job that it needs */
  gint64 deadline_us; /* on the steady clock; G_MAXINT64: never. Its own deadline, or what those need that
                         need it */
  FkJobPriority
      inherited_priority; /* the highest of those that need it, directly or through others, and its own */
  gboolean blocked; /* a job that it needs isn't done: it waits for nothing else, and takes part in nothing */
  gboolean ancestor_cancelled; /* cancelled with a job that it needs; its own record needn't say so */
} FkJob;

typedef struct {
  FkJob *job;
  guint32 task;
  FkAttempt attempt;
  gboolean stop_requested;
  FkTime first_seen_at;
} FkAllocationRef;

/* How a booking ended. */
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

/* A group's page is one record while a value holds it, then several: "zone.k", "zone.k+1", ... Only versions
 * that know of chains read those with a number. */
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
  FkTime removal_due; /* ... by then at the latest, since a machine is to be removed; 0: none is */
} FkShard;

typedef struct {
  const char *id;          /* interned */
  FkMachineRecord *record; /* NULL: not registered */
  FkShard *shard;          /* NULL: its zone isn't known */
  FkRev page_rev;          /* the latest of its shard's pages that described it ... */
  guint page_part;         /* ... and which that is */
  /* What this controller asks the registry to write of it. */
  FkMachineRecord *pending_record;  /* owned; NULL: it needn't be added */
  const char *pending_drain_reason; /* interned; NULL: it stays as it is */
  double pending_notice_s;
  gboolean pending_clear;      /* it needn't go any more */
  gboolean pending_removal;    /* it is gone */
  struct FkInstanceType *type; /* cached */
  GArray *allocations;         /* FkAllocationRef */
  double allocated_cpus, allocated_gpus, allocated_mem_gb;
  double reserved_cpus, reserved_gpus, reserved_mem_gb; /* by launches under way */
  double allocated_long_cpus;                           /* of those allocated, to the long path's tasks */
  const char *drain_reason;                             /* interned: why it should go, or NULL ... */
  FkTime drain_reason_since;                            /* ... and since when this controller knows */
  FkTime record_seen;                                   /* when this controller first saw its record */
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

typedef struct {
  FkRev rev;
  double cpus, gpus; /* booked by the team's tasks */
  double reserved_cpus, reserved_gpus;
  gboolean share_exhausted; /* our share is too small, though the team has room */
  FkTime serialized_since, changed_at;
  char *last_exhausted_by; /* the controller that ran out of its share last, or NULL */
  double serialized_min_s;
  GHashTable *cpus_by_controller; /* controller (interned) -> double*: CPUs of what it launched */
  GHashTable *partition;          /* controller -> double*: its share of the limit; NULL: shared */
} FkTeamUsage;

/* The guard of a controller's launches. Each of its lives writes it before it launches anything, so that it
 * also says what the version knows that wrote it last. */
typedef struct {
  FkRev rev;
  gboolean supports_dependencies; /* jobs that need others, records in parts */
} FkLaunchFence;

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
  FkDependencyGraph *dependencies;  /* who waits for whom, of the live jobs */
  GHashTable *nodes;                /* name -> FkControllerNode */
  GHashTable *teams;                /* name -> FkTeamUsage */
  GHashTable *wait_times;           /* node -> FkWaitTimes */
  GHashTable *terminal_phases;      /* id -> FkPhase+1 */
  GHashTable *terminal_task_counts;
  GQueue *terminal_order;
  GHashTable *estimate_corrections; /* class -> double*: how long tasks really take, by their estimate */
  FkSpec *latest_service;           /* the latest service seen, or NULL */
  double service_rate;              /* services seen a second, smoothed */
  guint services_since_rate;        /* since the rate was worked out last */
  FkTime service_rate_at;
  double finished_run_s; /* of arrays' tasks done in this window: from booking to end, summed */
  guint finished_count;
  double lost_cpu_s; /* of arrays' tasks that ended without a result in this window */
  FkServiceLevel *service_level;
  FkFaultAttribution *fault_attribution;
  FkTime failing_reviewed_at;
  GHashTable *orphan_chunks; /* paths of chunks without a job -> FkRev* */
  char *leader, *leader_incarnation;
  FkRev leader_rev;
  GHashTable *changed_machines; /* machines whose bookings changed since the last look */
  GPtrArray
      *capacity_removed; /* machines that are no more, for the index of rooms: names, not to be followed */
  GHashTable *capacity_changed; /* the same, for the index of rooms */
  GPtrArray *live_jobs;         /* FkJob: those of `jobs`, in no order */
  GHashTable *changed_jobs; /* FkJob, with a reference: whose waiting may have changed since the last look */
  guint64 allocation_updates; /* bookings counted in or out: what applying changes costs */
  gboolean caught_up;         /* what comes now has just happened: the past has been read */
  FkTime now;                 /* set by the owner before applying */
  gint64 wall_offset_us;      /* steady = time of day - offset */
};

FkView *fk_view_new(const FkSettings *s);
void fk_view_free(FkView *v);
void fk_view_clear(FkView *v);
void fk_view_apply(FkView *v, const char *path, FkRecord *record /* taken, NULL: gone */, FkRev rev);
FkJob *fk_view_find_job(FkView *v, const char *id);
FkMachine *fk_view_find_machine(FkView *v, const char *id);
FkMachine *fk_view_ensure_machine(FkView *v, const char *id);
void fk_view_remove_machine(FkView *v, FkMachine *m);
FkShard *fk_view_ensure_shard(FkView *v, const char *id);
/* The group that a machine belongs to, for good, by its zone and id. */
char *fk_shard_id_for_machine(const char *zone, const char *machine);
void fk_view_assign_shard(FkView *v, FkMachine *m, const char *zone);
FkRev fk_view_launch_fence_rev(FkView *v, const char *node);
FkTeamUsage *fk_view_ensure_team(FkView *v, const char *name);
gboolean fk_view_find_terminal_job(FkView *v, const char *id, FkPhase *phase, guint32 *tasks);
/* `at_ms`: when it ended, time of day; 0: not known. */
void fk_view_add_terminal_job(FkView *v, const char *id, FkPhase phase, guint32 tasks, gint64 at_ms);
/* When it must be done by its own deadline, on the steady clock; G_MAXINT64: at any time. */
gint64 fk_job_own_deadline_us(const FkJob *j);
/* Seconds from when the job could start until it must be done; < 0: at any time. */
double fk_job_allowed_s(const FkJob *j);
/* The owner's estimate, corrected by what finished tasks of the class took. */
double fk_view_expected_run_s(FkView *v, const FkSpec *s);
/* Now and then: which jobs seem to fail everywhere, by what has outlived their failures since. */
void fk_view_review_failing_jobs(FkView *v);
/* Once a second or so: how fast services arrive. */
void fk_view_update_service_rate(FkView *v);
FkJob *fk_job_ref(FkJob *j);
void fk_job_unref(gpointer j);
/* By its id and not by its address, so that tables of jobs have the same order in every run. */
guint fk_job_hash(gconstpointer j);
FkPhase fk_job_phase(const FkJob *j);
gboolean fk_job_is_complete(const FkJob *j);
/* Tasks that want a place. Of a job that seems to fail everywhere that is one, and only when none is under
 * way: nothing is rented, displaced or kept for the others. */
guint32 fk_job_waiting_tasks(const FkJob *j);
