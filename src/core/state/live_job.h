/* Live jobs: a job's records, and the state that the view and the scheduler keep of the job. */
#pragma once
#include "core/state/job.h"
#include "fair_share/fair_share.h"

/* A live job. Fields of type FkTime, and fields whose names end in `_us`, are times on this process's
 * monotonic clock. */
typedef struct {
  gint ref_count;   /* number of references, held for example by the view and the scheduling queue */
  gboolean removed; /* the job was removed from the view and has no waiting tasks */
  guint list_index; /* index in the view's `live_jobs` */
  FkSpec *spec;
  FkRev rev;           /* revision of the job's record */
  gboolean cancelled;  /* the job or one of its ancestors was cancelled */
  FkTime cancelled_at; /* when this controller first saw the cancellation */
  guint32 chunk_count;
  FkChunk **base_chunks;   /* the chunks as stored; NULL for a chunk without a record */
  FkChunk **chunks;        /* stored chunks with the view's completions applied; NULL as in `base_chunks` */
  guint32 done, allocated; /* numbers of tasks */
  guint32 first_waiting_chunk_hint; /* no chunk before this index has a waiting task */
  FkTime first_seen_at; /* when this controller first saw the job; reset when the job stops being blocked */
  FkTime unallocated_since;  /* when the last of the job's allocations ended; 0 if not seen */
  FkTime attempt_lost_at;    /* when an attempt of the job last ended without a result; 0 if none */
  FkTime retry_at;           /* end of the job's backoff; 0 if there was none */
  gboolean has_failed;       /* an attempt has failed */
  gboolean failing;          /* the job seems to fail on every machine; see fk_job_waiting_tasks() */
  FkTime last_trial_at;      /* when a scheduling cycle last tried to start a task while `failing` */
  guint64 wait_times_window; /* number of the statistics window of `wait_times_counted` */
  guint wait_times_counted;  /* number of the job's waits added to FkWaitTimes in `wait_times_window` */
  FkAttempt gang_attempt;    /* attempt number of the gang launch in progress */
  guint32 gang_allocated;    /* number of tasks allocated so far by the gang launch in progress */
  FkTime preempted_for_at;   /* when tasks of other jobs were last preempted for this job */
  double waiting_cpu_s;      /* CPU-seconds of the waiting tasks; sort key of the scheduling queue */
  FkJobPriority effective_priority; /* priority in the scheduling queue, after fair share and aging */
  FkStanding fair_share_standing;   /* fair-share standing of the job's team */
  guint queue_position;             /* queue position when the job was last selected, from 1; 0 if never */
  gboolean urgent;                  /* sorts before other jobs of equal effective priority and standing */
  gboolean quota_available;         /* the team's quota allowed another task when last checked */
  double demand_cpus;               /* CPUs that the job adds to its team's demand in the queue */
  guint waiting_service_tasks;    /* tasks that the job adds to the queue's count of waiting service tasks */
  guint64 last_cycle;             /* number of the last scheduling cycle that selected the job */
  gboolean size_recorded;         /* the job's size is included in the service-level statistics */
  FkTime probed_at;               /* when probes for the job were last placed */
  double seconds_to_latest_start; /* seconds until the latest start for a deadline or objective; G_MAXDOUBLE
                                     if none */
  FkTime gang_launch_until;       /* time until which a gang launch may continue in further transactions */
  gint64 submitted_us; /* time of submission on the monotonic clock, converted from the wall clock */
  gint64 startable_us; /* when the job became startable: its submission, or the end of its last dependency */
  /* Latest end with which the job, and its direct and indirect dependents, can meet their deadlines;
   * G_MAXINT64 if there is no deadline. */
  gint64 deadline_us;
  FkJobPriority inherited_priority; /* highest priority of the job and its direct and indirect dependents */
  gboolean blocked;                 /* the job has an unfinished dependency and is not scheduled */
  gboolean ancestor_cancelled;      /* an ancestor was cancelled, even if the job's record does not show it */
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
/* Returns the job's own deadline on the monotonic clock, in us; G_MAXINT64 if the job has none. */
gint64 fk_job_own_deadline_us(const FkJob *job);
/* Returns the seconds from `startable_us` to `deadline_us`, at least 0; < 0 if there is no deadline. */
double fk_job_allowed_s(const FkJob *job);
/* Returns CANCELLED, RUNNING (a task is allocated) or QUEUED. */
FkPhase fk_job_phase(const FkJob *job);
/* Returns whether all tasks are done. */
gboolean fk_job_is_complete(const FkJob *job);
/* Returns the number of tasks that wait for an allocation; 0 if the job is cancelled, removed or blocked. For
 * a failing job that is not a gang, returns at most 1, so that nothing is provisioned, preempted or reserved
 * for the job's other tasks. */
guint32 fk_job_waiting_tasks(const FkJob *job);
