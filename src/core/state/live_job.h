/* Live jobs: a job's records, and the state that the view and the scheduler keep of the job. */
#pragma once
#include "core/state/job.h"
#include "fair_share/fair_share.h"

/* A live job. `spec`, `rev` and `cancelled` are as in its record. Fields of type FkTime, and those in `_us`,
 * are on the steady clock of this process. */
typedef struct {
  gint ref_count;   /* number of references; the view and each probe hold one */
  gboolean removed; /* the job was removed from the view and has no waiting tasks */
  guint list_index; /* index in the view's `live_jobs` */
  FkSpec *spec;
  FkRev rev;
  gboolean cancelled;
  FkTime cancelled_at; /* when this controller first saw the cancellation */
  guint32 chunk_count;
  FkChunk **base_chunks; /* the chunks as stored; NULL for a chunk of which no task was ever started */
  FkChunk **chunks;      /* the effective chunks: as stored, with the completions in the view applied */
  guint32 done, allocated;
  guint32 unstarted_hint; /* no chunk before this index has a waiting task */
  FkTime first_seen_at; /* when this controller first saw the job or, if blocked, its last dependency done */
  FkTime attempt_lost_at; /* when an attempt last ended without a result */
  FkTime retry_at;        /* end of the backoff after failures */
  gboolean has_failed;    /* an attempt has failed */
  gboolean failing;       /* the job seems to fail on every machine: its tasks are started one at a time */
  FkTime cycle_tried_at;  /* when a scheduling cycle last tried to start a task of the failing job */
  /* Number of waits counted in the capped sum of the window `wait_times_window` (FkWaitTimes). */
  guint64 wait_times_window;
  guint wait_times_counted;
  FkAttempt gang_attempt;           /* attempt number of the gang launch in progress */
  guint32 gang_allocated;           /* number of tasks allocated so far by the gang launch in progress */
  FkTime preempted_for_at;          /* when tasks of other jobs were last preempted for this one */
  double waiting_cpu_s;             /* CPU-seconds of the waiting tasks; sort key of the scheduling queue */
  FkJobPriority effective_priority; /* priority in the scheduling queue, after fair share and aging */
  FkStanding fair_share_standing;   /* fair-share standing of the job's team */
  guint queue_position;     /* position in the scheduling queue, from 1; 0 if the job was never queued */
  gboolean urgent;          /* sorts first among jobs of equal priority and standing */
  gboolean quota_available; /* the team's quota allowed another task in the job's last scheduling cycle */
  double demand_cpus;       /* CPUs of the job in the scheduling queue's sum of its team's demand */
  guint waiting_services;   /* tasks of the job in the scheduling queue's count of waiting services */
  guint64 last_cycle;       /* number of the job's last scheduling cycle */
  gboolean size_recorded;   /* the job's size is included in the service-level statistics */
  FkTime probed_at;         /* when probes for the job were last placed */
  double latest_start_s;    /* seconds until its latest useful start; G_MAXDOUBLE if too late for any goal */
  FkTime gang_until;        /* time until which a gang launch may continue in further transactions */
  gint64 submitted_us;      /* time of submission, converted from the wall clock */
  gint64 startable_us; /* when the job became startable: its submission, or the end of its last dependency */
  gint64 deadline_us;  /* earliest of its own and its dependents' deadlines; G_MAXINT64 if none */
  FkJobPriority inherited_priority; /* highest priority of the job and its direct and indirect dependents */
  gboolean blocked;                 /* the job has an unfinished dependency and is not scheduled */
  gboolean ancestor_cancelled;      /* an ancestor was cancelled; the job's own record may not show it yet */
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
