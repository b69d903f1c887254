/* A live job as the view and the scheduler see it. */
#pragma once
#include "core/state/job.h"
#include "fair_share/fair_share.h"

/* `rev` and `spec` are the record's; times are on the steady clock of this process, as first seen by it. */
typedef struct {
  gint ref_count;   /* the view's, and one for each probe */
  gboolean removed; /* the view has dropped it: none of its tasks waits */
  guint list_index; /* its place in the view's list of jobs */
  FkSpec *spec;
  FkRev rev;
  gboolean cancelled;
  FkTime cancelled_at; /* when this controller first saw that */
  guint32 chunk_count;
  FkChunk **base_chunks; /* the records; NULL: no task of the chunk was ever started */
  FkChunk **chunks;      /* ... with the completions that count already */
  guint32 done, allocated;
  guint32 first_waiting_chunk_hint; /* no chunk before this one has a waiting task */
  FkTime first_seen_at;             /* when this controller first saw it */
  FkTime attempt_lost_at;           /* when an attempt ended last without a result */
  FkTime retry_at;                  /* backoff after failures */
  gboolean has_failed;              /* an attempt has failed */
  gboolean failing;                 /* it seems to fail on every machine: one task at a time */
  FkTime last_trial_at;             /* ... and the scheduling cycle that tried it last */
  guint64 wait_times_window;        /* the window in which so many of its waits were counted: */
  guint wait_times_counted;
  FkAttempt gang_attempt;           /* of the launch under way */
  guint32 gang_allocated;           /* tasks that the launch has allocated so far */
  FkTime preempted_for_at;          /* when others were preempted for it last */
  double waiting_cpu_s;             /* work of its waiting tasks; sorts the queue */
  FkJobPriority effective_priority; /* in the queue: its own, or what its team's share gives it */
  FkStanding fair_share_standing;   /* its team's, among those with demand */
  guint queue_position;             /* in the queue, from 1; 0: never yet */
  gboolean urgent;                  /* goes first within its priority and its team's standing */
  gboolean quota_available;    /* its team's quota had room for one more task, at its last scheduling cycle */
  double demand_cpus;          /* as counted for its team in the scheduling queue */
  guint waiting_service_tasks; /* tasks of a service that wait, as counted there */
  guint64 last_cycle;          /* its last scheduling cycle */
  gboolean size_recorded;      /* its size is in the service level's statistics */
  FkTime probed_at;
  double seconds_to_latest_start; /* how far off its latest useful start is; sorts the queue */
  FkTime gang_launch_until;       /* a gang's launch may go on in further transactions until then */
  gint64 submitted_us;            /* on the steady clock, by the time of day */
  gint64 startable_us; /* since when it could start: its submission, or the end of its last dependency */
  gint64 deadline_us;  /* on the steady clock, its dependents' included; G_MAXINT64: none */
  FkJobPriority inherited_priority; /* the highest of its own and its direct and indirect dependents' */
  gboolean blocked;                 /* a dependency is not done: it takes no part in scheduling */
  gboolean ancestor_cancelled;      /* cancelled with a dependency; its own record may not say so */
} FkJob;

/* An allocation as the table of its machine has it. */
typedef struct {
  FkJob *job;
  guint32 task;
  FkAttempt attempt;
  gboolean stop_requested;
  FkTime first_seen_at;
} FkAllocationRef;

FkJob *fk_job_ref(FkJob *job);
void fk_job_unref(gpointer job);
/* By its id and not by its address, so that tables of jobs have the same order in every run. */
guint fk_job_hash(gconstpointer job);
/* When it must be done by its own deadline, on the steady clock; G_MAXINT64: at any time. */
gint64 fk_job_own_deadline_us(const FkJob *job);
/* Seconds from when it could start until it must be done, its dependents' deadlines included; < 0: any. */
double fk_job_allowed_s(const FkJob *job);
/* Cancelled, running (a task is allocated) or queued. */
FkPhase fk_job_phase(const FkJob *job);
/* All tasks are done. */
gboolean fk_job_is_complete(const FkJob *job);
/* Tasks that wait for an allocation. Of a failing job that is one at a time: nothing is provisioned,
 * preempted or reserved for the others. */
guint32 fk_job_waiting_tasks(const FkJob *job);
