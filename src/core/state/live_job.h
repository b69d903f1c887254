/* A live job: its records, and the view's and the scheduler's state of it. */
#pragma once
#include "core/state/job.h"
#include "fair_share/fair_share.h"

/* A live job. `spec`, `rev` and `cancelled` are as in its record. Fields of type FkTime, and those in `_us`,
 * are on the steady clock of this process. */
typedef struct {
  gint ref_count;   /* one reference is the view's, and one is held by each probe */
  gboolean removed; /* the view has removed the job: it has no waiting tasks */
  guint list_index; /* index in the view's `live_jobs` */
  FkSpec *spec;
  FkRev rev;
  gboolean cancelled;
  FkTime cancelled_at; /* when this controller first saw the cancellation */
  guint32 chunk_count;
  FkChunk **base_chunks; /* the chunks as stored; an element is NULL if no task of it was ever started */
  FkChunk **chunks;      /* the effective chunks: the stored ones with the pending completions applied */
  guint32 done, allocated;
  guint32 unstarted_hint; /* no chunk before this index has a waiting task */
  FkTime first_seen_at;   /* when this controller first saw the job, or saw it become unblocked */
  FkTime attempt_lost_at; /* when an attempt last ended without a result */
  FkTime retry_at;        /* end of the backoff after failures */
  gboolean has_failed;    /* an attempt has failed */
  gboolean failing;       /* seems to fail on every machine: its tasks are started one at a time */
  FkTime cycle_tried_at;  /* last scheduling cycle that tried to start a task of it while it was failing */
  /* Number of waits counted in the capped sum of the window `wait_times_window` (FkWaitTimes). */
  guint64 wait_times_window;
  guint wait_times_counted;
  FkAttempt gang_attempt;           /* attempt number of the gang launch in progress */
  guint32 gang_allocated;           /* tasks allocated so far by that launch */
  FkTime preempted_for_at;          /* when tasks of other jobs were last preempted for this one */
  double waiting_cpu_s;             /* CPU-seconds of its waiting tasks; sort key of the scheduling queue */
  FkJobPriority effective_priority; /* in the queue, after the rules of fair share and aging */
  FkStanding fair_share_standing;   /* fair-share standing of its team */
  guint queue_position;             /* position in the queue, from 1; 0 if it has never been queued */
  gboolean urgent;                  /* sorts first among jobs of equal priority and standing */
  gboolean quota_available; /* its team's quota had room for another task in its last scheduling cycle */
  double demand_cpus;       /* CPUs counted for it in its team's demand in the scheduling queue */
  guint waiting_services;   /* waiting service tasks counted for it in the scheduling queue */
  guint64 last_cycle;       /* number of its last scheduling cycle */
  gboolean size_recorded;   /* its size is in the service-level statistics */
  FkTime probed_at;         /* when probes were last placed for it */
  double latest_start_s;    /* seconds until its latest useful start; sort key of the scheduling queue */
  FkTime gang_until;        /* a gang launch in several transactions may continue until then */
  gint64 submitted_us;      /* time of submission, converted from the wall clock */
  gint64 startable_us;      /* when it became startable: on submission, or when its last dependency ended */
  gint64 deadline_us;       /* the earlier of its own and its dependents' deadline; G_MAXINT64 if none */
  FkJobPriority inherited_priority; /* the highest among the job and its direct and indirect dependents */
  gboolean blocked;                 /* a dependency is not done: the job is not scheduled */
  gboolean ancestor_cancelled;      /* cancelled because an ancestor is; its own record may not show that */
} FkJob;

/* An allocation in the list of its machine. */
typedef struct {
  FkJob *job;
  guint32 task;
  FkAttempt attempt;
  gboolean stop_requested;
  FkTime first_seen_at;
} FkAllocationRef;

FkJob *fk_job_ref(FkJob *job);
void fk_job_unref(gpointer job);
/* Hashes the job's id, not its address, so that tables of jobs have the same iteration order in every run. */
guint fk_job_hash(gconstpointer job);
/* Returns the job's own deadline on the steady clock, in us; G_MAXINT64 if it has none. */
gint64 fk_job_own_deadline_us(const FkJob *job);
/* Returns the seconds from when the job became startable until its deadline, its dependents' deadlines
 * included; < 0 if there is none. */
double fk_job_allowed_s(const FkJob *job);
/* Returns CANCELLED, RUNNING (a task is allocated) or QUEUED. */
FkPhase fk_job_phase(const FkJob *job);
/* Returns whether all tasks are done. */
gboolean fk_job_is_complete(const FkJob *job);
/* Returns the number of tasks that wait for an allocation. For a failing job, unless it is a gang, it is at
 * most one, so that nothing is provisioned, preempted or reserved for its other tasks. */
guint32 fk_job_waiting_tasks(const FkJob *job);
