/* A simulation in one thread and simulated time: controllers' cores, and models of the store, the cloud, the
 * workers and the users, all after the protocol. Messages may be slow, lost, late or duplicated; processes
 * and machines may crash, pause or hang. Safety rules are checked at every step against what truly happens on
 * the machines, liveness once all faults are over. Runs with equal plans are equal. */
#pragma once
#include "simulation/version.h"
typedef struct Sim Sim;

/* A planned fault. A crash, a machine's death and its restart have no duration. */
typedef enum {
  SIM_FAULT_CRASH,            /* back after 3 s, or at once where the plan has `fast_restarts` */
  SIM_FAULT_PAUSE,            /* the process stops while its clocks run */
  SIM_FAULT_STORE_REFUSAL,    /* the store answers 503 to it alone */
  SIM_FAULT_STORE_PARTITION,  /* messages to the store are delivered late */
  SIM_FAULT_WORKER_PARTITION, /* messages to and from its workers are delivered late */
  SIM_FAULT_ISOLATION,        /* from store and peers, not from workers and users */
  SIM_FAULT_STORE_OUTAGE,     /* the store refuses everybody */
  SIM_FAULT_STORE_SLOW,       /* the store answers after up to 1.5 s */
  SIM_FAULT_LATE_WRITES,    /* a part of the transactions gets no answer and is carried out 2 to 12 s later */
  SIM_FAULT_PEER_REFUSAL,   /* controllers refuse each other */
  SIM_FAULT_ZONE_PARTITION, /* a zone from everything outside */
  SIM_FAULT_MACHINE_HANG,   /* machines, which resume later */
  SIM_FAULT_INBOUND_PARTITION,  /* machines receive nothing; what they send arrives */
  SIM_FAULT_MACHINE_DEATH,      /* machines, with all tasks */
  SIM_FAULT_MACHINE_RESTART,    /* machines are back at once, without tasks */
  SIM_FAULT_COMMAND_DELAY,      /* direct commands arrive after seconds, or their answers don't */
  SIM_FAULT_DUPLICATES,         /* heartbeats, commands and transactions arrive twice */
  SIM_FAULT_CANCEL_BURST,       /* users cancel a third of what they ask about */
  SIM_FAULT_OUTBOUND_PARTITION, /* machines reach no controller; commands reach them */
  SIM_FAULT_CANCEL_RUNNING, /* a share of the jobs that run is cancelled within 0.2 s; up to eight of their
                     machines hang for `duration_s` */
  SIM_FAULT_CANCEL_AT_COMPLETION, /* a share of the jobs that end is cancelled at the moment of the end */
  SIM_FAULT_QUERY_BURST, /* users ask at all controllers within 1-50 ms after a job was accepted, ended or
                cancelled, repeat the submission, and cancel some */
  SIM_FAULT_INVALID_REQUESTS, /* unfinished jobs submitted again, jobs that are done cancelled, jobs that can
                                 never run */
  SIM_FAULT_LOST_REPLIES, /* a share of the transactions is carried out at once, and only the answer is lost
                           */
  SIM_FAULT_STALE_HEARTBEATS, /* a share of the heartbeats is held back, and comes to every controller when a
                                 leader begins */
  SIM_FAULT_CLOUD_OUTAGE,     /* the cloud refuses everything */
  SIM_FAULT_KINDS
} SimFaultKind;
typedef enum {
  SIM_TARGET_ANY,
  SIM_TARGET_LEADER,
  SIM_TARGET_FOLLOWER,
  SIM_TARGET_ALL
} SimFaultTarget; /* of the controllers */
typedef struct {
  double at_s, duration_s;
  SimFaultKind kind;
  SimFaultTarget target; /* which controllers */
  double share;          /* of the machines, jobs or messages; 0: a third */
  const char
      *key_prefix; /* SIM_FAULT_LOST_REPLIES: only of transactions that write below this prefix; NULL: all */
} SimFault;

typedef struct {
  guint64 seed;
  double seconds;
  double submit_until_s; /* new jobs until then; 0: for 0.6 of the time */
  double lost, late;     /* chance that a message's answer is lost, or the message is late */
  gboolean controller_crashes, partitions, outages, machine_deaths, machine_hangs, cancels, gangs;
  guint machines;
  guint controllers; /* 0: three */
  guint up;          /* machines at the start, if more than three; the cloud then has no more than these */
  double scale;      /* jobs come so many times as often; 0: once */
  gboolean rate_limited;          /* the store refuses what is over its rates */
  gboolean mass_failures;         /* zones are cut off, many machines die or hang at once */
  gboolean store_and_peer_faults; /* a slow store, one controller alone refused, controllers that refuse each
                                     other */
  double boot_failure_chance;     /* chance that a rented machine never comes up */
  double failing_job_chance;   /* chance that a job fails on every machine, until its user cancels it after a
                                  while */
  gboolean pauses;             /* controllers stand still for 5 to 60 s while their clocks run */
  gboolean best_effort_teams;  /* a team without guarantee or limit comes with one huge array, long tasks and
                       tiny jobs, one with   a guarantee alone and one with a limit alone with an array each */
  gboolean inbound_partitions; /* machines receive nothing; what they send arrives: one, or a tenth of all,
                                  for seconds to minutes */
  double duplicate_chance; /* chance that a report, a command or a transaction that was carried out comes once
                    more, a second to two and a half leases later; reports at any controller */
  gboolean
      controller_isolation; /* a controller loses the store and the other controllers, but not its workers */
  gboolean fast_restarts;   /* what ends is back after 0.05 to 0.5 s, sometimes to end again at once; machines
                       too,   with session, report and token starting anew */
  gboolean large_jobs;      /* one job of each kind that is hard to place, under a stream of small ones */
  double small_jobs_per_s;  /* one-task jobs a second, a quarter of them cancelled */
  double boot_s;            /* rented machines are up within this; 0: 1 to 8 s */
  double pipelines_from_s;  /* pipelines, and odd ones that need others, come from then on */
  double pipelines_per_s;   /* pipelines of four stages a second, a fifth of them called off somewhere */
  guint chain_length;       /* one chain of so many jobs, ... */
  guint fan_out;            /* ... and one job that so many need */
  const FkVersion *previous_version; /* all begin with it, and come back with the present one from `roll_at`
on, one by one; who ends before its turn comes back as it was. NULL: all are of the present */
  double upgrade_at_s, upgrade_interval_s;
  gboolean skip_starvation_check;   /* who is left waiting beside room is judged by a schedule of its own */
  gboolean stop_polling_when_final; /* who was told how it ended doesn't ask again: nobody reads old ends for
                                       the others */
  guint initial_txn_ops;            /* until the limits fall; 0: as the settings have them */
  double limits_reduced_at_s;       /* the store's limits fall to the next ones; 0: never */
  double cancel_chain_at_s;         /* the first of both is cancelled then; 0: never */
  const SimFault *faults;           /* by the plan alone; nothing else goes wrong by itself */
  guint fault_count;
  double run_s;        /* tasks run for 0.5 to 1.5 times this; 0: 1 to 15 s */
  gboolean clock_skew; /* the steady clocks are off by all that PROTOCOL allows, in turn */
  /* The growth experiment: nothing but so many services of one task, all up when a share of the machines is
   * lost at once. */
  guint services;
  double loss_at_s, loss_share;
  /* Processor time so far, in ns; NULL: what the cores take isn't measured. */
  gint64 (*clock_ns)(void);
  /* Is shown everything that a controller sends, before the world acts on it: the simulated moment in
   * microseconds, the controller's number and version, and the output. It draws no random numbers and changes
   * nothing. NULL: nobody looks. */
  void (*sent)(gpointer data, gint64 now_us, int controller, const FkVersion *v, const FkOutput *o);
  gpointer sent_data;
} SimPlan;

/* What a loss of many machines cost, from the moment of the loss to the last replica's start; seconds are
 * simulated ones. */
typedef struct {
  guint up;        /* services up just before */
  guint lost;      /* of them, those whose machine was lost */
  guint recovered; /* of those, the ones that run again */
  double first_s, half_s, last_s;
  guint requests, writes;                 /* at the store */
  guint terminate_calls, provision_calls; /* calls at the cloud */
  double core_ms;                         /* processor time of all controllers' cores, in real milliseconds */
} SimRecovery;

typedef struct {
  guint submitted, accepted, done, cancelled, started, finished;
  guint unfinished;
  guint
      worst_class_percent; /* percent of the jobs of the class that was served worst; 100 where none is due */
  guint healthy_terminated; /* healthy machines that were returned though nothing else was wrong with them */
  guint requests, writes, refused; /* at the store */
  guint expired_leases;            /* leases that ran out with tasks on the machine */
  double cancel_reported_max_s;    /* the longest from asking for a cancellation to being told */
  double cancel_stopped_max_s;     /* ... from then until its last task was gone */
  double unanswered_max_s; /* the longest without an answer about a job, once all troubles were over */
  double start_wait_max_s; /* the longest that a job waited for its first task, from its acceptance or the end
                     of the troubles on */
  double large_start_wait_max_s; /* ... a large one, troubles or not */
  double starved_max_s;   /* the longest that a job waited, once all troubles were over, while a machine that
                      fits had   room and its team was under its limit */
  double quota_use_max;   /* the most that a team with a limit used of it, as a share */
  guint burst_queries;    /* questions just after something was told */
  guint invalid_answered; /* odd requests that were answered */
  guint dependents_done, dependents_cancelled; /* jobs that need others: done, told to be withdrawn though
                                                  nobody cancelled them */
  guint oversized_transactions; /* transactions of the present version that were larger than the limits of
                                   their moment */
  guint live_jobs, live_keys;   /* at the end: jobs' records, all records below fk/l/ */
  char *violation;              /* the first broken rule, or NULL */
  SimRecovery recovery;
} SimResult;

SimResult sim_run(const FkSettings *s, const SimPlan *plan);
