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

/* Which machines the recovery experiment loses. */
typedef enum {
  SIM_LOSS_SHARE,               /* a share of all */
  SIM_LOSS_WORKERS_OF_FOLLOWER, /* all that report to one controller, which isn't the leader */
  SIM_LOSS_WORKERS_OF_LEADER    /* all that report to the leader */
} SimLoss;

/* What is simulated. All that isn't set is off, or as said. Probabilities are of each message, job or
 * machine.
 */
typedef struct {
  guint64 seed;
  double seconds; /* simulated */

  /* the cluster */
  guint machines;             /* the cloud has no more than these */
  guint up;                   /* machines at the start, if more than three */
  guint controllers;          /* 0: three */
  double boot_s;              /* the longest boot; 0: 1 to 8 s */
  gboolean rate_limited;      /* the store refuses what is over its rates */
  guint initial_txn_ops;      /* of the store, until its limits are reduced; 0: as the settings have it */
  double limits_reduced_at_s; /* the store's limits become the settings' next ones; 0: never */
  gboolean clock_skew;        /* the monotonic clocks are off by all that the protocol allows, in turn */

  /* the workload */
  double submit_until_s; /* 0: for 0.6 of the time */
  double scale;          /* times as many jobs; 0: once */
  double run_s;          /* tasks run for 0.5 to 1.5 times this; 0: 1 to 15 s */
  gboolean cancels, gangs;
  gboolean
      best_effort_teams;   /* a team without guarantee and quota, one without quota, one without guarantee */
  gboolean large_jobs;     /* one job of each kind that is hard to place, under a stream of small ones */
  double small_jobs_per_s; /* one-task jobs, a quarter of them cancelled */
  double zone_bound_jobs_per_s; /* jobs in one zone or spread over zones, of more tasks than a chunk holds, of
                                   which some attempts fail */
  double failing_job_chance;    /* the job fails on every machine, until its user cancels it after a minute */
  double pipelines_per_s;       /* of four stages; a fifth of them is cancelled somewhere */
  double pipelines_from_s;      /* pipelines, chain and fan come from then on */
  guint chain_length;           /* a chain of so many jobs, ... */
  guint fan_out;                /* ... and a job that so many depend on */
  double cancel_chain_at_s;     /* the first job of both is cancelled; 0: never */
  gboolean stop_polling_when_final; /* a user who was told the terminal state doesn't ask again */
  guint services; /* the recovery experiment: nothing but so many services of one task, all up ... */
  double loss_at_s, loss_share; /* ... when machines are lost: this share of them, ... */
  SimLoss loss;                 /* ... or others */
  gboolean loss_hangs;          /* the machines hang until the end, and stay in the cloud's list as running */

  /* faults by chance, for 0.6 of the time; none if there are planned ones */
  double lost, late;       /* probability that an answer is lost, that a message is late */
  double duplicate_chance; /* a heartbeat, command or transaction arrives once more, up to 2.5 leases later */
  double boot_failure_chance;
  gboolean controller_crashes, partitions, outages, machine_deaths, machine_hangs;
  gboolean store_and_peer_faults; /* a slow store, one that refuses one controller, peers that refuse */
  gboolean mass_failures;         /* zones are partitioned, many machines die or hang at once */
  gboolean pauses;                /* controllers stop for 5 to 60 s while their clocks run */
  gboolean inbound_partitions;   /* machines receive nothing for seconds to minutes; what they send arrives */
  gboolean controller_isolation; /* a controller loses the store and its peers, but not its workers */
  /* After a machine's restart the direct commands with starts that it had carried out before arrive once
   * more, so long after it is back; 0 for `late_copies_to_s`: they don't. */
  double late_copies_from_s, late_copies_to_s;
  gboolean fast_restarts; /* what crashes is back within 0.5 s, sometimes to crash again; machines as well */

  /* planned faults, borrowed */
  const SimFault *faults;
  guint fault_count;

  /* a rolling upgrade: all start with the previous version (NULL: the present one) and come back with the
   * present one in turn; whoever crashes before its turn comes back with the previous one */
  const FkVersion *previous_version;
  double upgrade_at_s, upgrade_interval_s;

  gboolean skip_starvation_check; /* another schedule of the same faults checks it */

  /* Processor time so far, in ns; NULL: what the cores take isn't measured. */
  gint64 (*clock_ns)(void);
  /* Is shown everything that a controller sends, before it takes effect: the simulated moment in
   * microseconds, the controller's number and version, and the output. Draws no random numbers and changes
   * nothing. */
  void (*sent)(gpointer data, gint64 now_us, int controller, const FkVersion *v, const FkOutput *o);
  gpointer sent_data;
} SimPlan;

/* What the loss of many machines costs, from the loss to the last replica's start; simulated seconds. */
typedef struct {
  guint up;                       /* services up just before */
  guint machines_lost;            /* machines, with services or without */
  guint lost;                     /* of them, those whose machine was lost */
  guint recovered;                /* of those, the ones that run again */
  double first_s, half_s, last_s; /* until the first, half and the last of them ran again */
  guint requests, writes;         /* at the store */
  guint terminate_calls, provision_calls;
  double provisioned_s; /* until the first machines after the loss were provisioned; 0: none were */
  double core_ms;       /* processor time of all controllers' cores, in real milliseconds */
} SimRecovery;

typedef struct {
  guint submitted, accepted, done, cancelled, unfinished; /* jobs */
  guint started, finished;                                /* tasks */
  guint worst_class_percent;       /* served, of the class that was served worst; 100: no job is due */
  guint healthy_terminated;        /* machines with tasks and without a fault */
  guint requests, writes, refused; /* at the store */
  guint expired_leases;            /* of machines with tasks */
  double cancel_reported_max_s;    /* from a cancellation to its user being told */
  double cancel_stopped_max_s;     /* ... from then until the last task had stopped */
  double unanswered_max_s;         /* without an answer about a job, once all faults were over */
  double start_wait_max_s;         /* of a job, once all faults were over */
  double large_start_wait_max_s;   /* of a large job, faults or not */
  double starved_max_s; /* of a job beside free capacity that it may use, once all faults were over */
  double quota_use_max; /* of a team, as a share of its quota */
  guint burst_queries;
  guint invalid_answered;                      /* invalid requests that were refused as such */
  guint dependents_done, dependents_cancelled; /* the latter without a cancellation of their own */
  guint oversized_transactions; /* of the present version, for the store's limits at that moment */
  guint live_jobs, live_keys;   /* at the end: jobs' records, all records below fk/l/ */
  char *violation;              /* the first rule that was broken; NULL: none. Owned by the caller */
  SimRecovery recovery;
} SimResult;

/* Runs the plan. `settings`: what the platform gives the controllers. */
SimResult sim_run(const FkSettings *settings, const SimPlan *plan);
