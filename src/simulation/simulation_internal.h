/* What the modules of the simulation share. Times are microseconds of simulated time. */
#pragma once
#include "simulation/event_queue.h"
#include "simulation/simulation.h"
#include "simulation/store_model.h"
#include "simulation/version.h"
#include "simulation/worker_model.h"
#define SIM_CONTROLLERS_MAX 5
#define SIM_FREE_CPUS_SAMPLES 90 /* one a second */
#define SIM_MACHINE_CPUS 8.0     /* of the only instance type */
#define SIM_FAULTS_SHARE 0.6     /* of the simulated time: later on no faults are injected */
#define SIM_TICK_S 0.2           /* between two rounds of checks */
#define SIM_TICK_US (G_USEC_PER_SEC / 5)

/* What happens at a moment of the simulation. */
typedef void (*SimEventFn)(Sim *sim, gpointer data);

/* What users ask. */
typedef enum { SIM_QUERY_SUBMIT, SIM_QUERY_POLL, SIM_QUERY_CANCEL, SIM_QUERY_POLL_UNKNOWN } SimQueryKind;

typedef struct {
  FkController *core; /* NULL: down */
  const FkVersion *version;
  FkSettings *settings; /* its version's */
  void (*settings_free)(FkSettings *);
  guint generation, starts;
  gint64 store_partition_until, worker_partition_until;
  gint64 peer_partition_until;
  gint64 paused_until; /* the process stops until then; what is sent to it waits */
} SimController;

typedef struct {
  FkWorkerModel model;
  gboolean up, gone, faulty;
  gint64 hung_until;
  gint64 inbound_partition_until;         /* until then nothing reaches it; what it sends arrives */
  gboolean inbound_held;                  /* ... and commands are held back until then, not lost */
  gint64 outbound_partition_until;        /* until then it reaches no controller; direct commands reach it */
  float free_cpus[SIM_FREE_CPUS_SAMPLES]; /* a ring of samples, one a second */
  guint controller;
  GPtrArray
      *direct_starts; /* SimCall, borrowed: the latest direct commands with starts that it carried out */
  guint64 heartbeat_in_flight; /* 0: none */
  gint64 created_at, gone_at;
  gboolean listed; /* the cloud's list has had it */
} SimWorker;

typedef struct {
  char *id, *team;
  FkShape shape;
  guint32 tasks;
  double cpus;
  gboolean spot;
  char *zone;
  gboolean one_zone, spread;
  gboolean accepted, reported_done, reported_cancelled, cancel_requested;
  gint64 cancel_requested_at, cancelled_at, done_at, accepted_at;
  gint64 answered_at; /* the last query about it that was answered */
  gint64 started_at;  /* its first task started; 0: not yet */
  gboolean large;
  guint8 *finished;
  double run_s;
  gboolean lost; /* with its machine, and it doesn't run again yet */
  gboolean always_fails;
  double attempt_failure_chance; /* of each attempt to run a task */
  const char *class_name;
  FkJobPriority priority;
  guint starts;       /* starts of a faulty one */
  guint placed;       /* tasks on machines, fetching ones too */
  guint north, south; /* ... by zone */
  gint64
      startable_since; /* since then a machine that fits has room, and nothing of it was started; 0: not so */
  guint startable_starts;
  gboolean impossible;                /* it can never run */
  GPtrArray *dependencies;            /* SimJob; NULL: none */
  gboolean submit_after_dependencies; /* submitted once all of them are over */
  const char *unknown_dependency;     /* a job that nobody submitted, or NULL */
} SimJob;

typedef struct {
  gboolean user; /* FALSE: a worker's heartbeat */
  SimWorker *worker;
  FkTime sent;
  guint64 heartbeat, incarnation;
  SimJob *job;
  SimQueryKind kind;
} SimRequest;

struct Sim {
  const FkSettings *settings;
  SimPlan plan;
  GRand *rand;
  gint64 now;
  guint64 event_count, next_request, next_machine, next_serial;
  FkEventQueue *events;
  FkStoreModel *store;
  FkStoreRateLimit rate_limit;
  GHashTable *provisioned; /* name -> GPtrArray */
  guint lists;             /* of machines, so far */
  gint64 outage_until;
  SimController controllers[SIM_CONTROLLERS_MAX];
  int controller_count; /* controllers */
  gint64 slow_until, store_refusal_until[SIM_CONTROLLERS_MAX], peer_refusal_until;
  gint64 late_writes_until, command_delay_until, duplicates_until,
      cancel_burst_until;                                          /* faults of the plan, ... */
  double slow_factor;                                              /* times as slow as usual */
  double late_writes_share, command_delay_share, duplicates_share; /* ... and their shares */
  gint64 lost_replies_until, cancel_at_completion_until, query_burst_until, invalid_requests_until,
      stale_heartbeats_until, cloud_outage_until;
  double lost_replies_share, cancel_at_completion_share, stale_heartbeats_share;
  const char *lost_replies_prefix; /* transactions that write below it lose their answers; NULL: all */
  GPtrArray *stale_heartbeats;     /* FkHeartbeat: for the next leader */
  const char *partitioned_zone;    /* cut off from everything outside, */
  gint64 zone_partition_until;     /* until then */
  GPtrArray *workers, *jobs, *calls, *watches;
  GHashTable *workers_by_id, *jobs_by_id;
  GHashTable *requests;    /* number -> SimRequest */
  GHashTable *running_on;  /* "job/task" -> SimWorker: where it truly runs */
  gint64 machines_lost_at; /* when the recovery experiment's machines were lost; 0: not yet */
  gboolean finished;       /* the recovery experiment is over */
  gint64 core_ns;          /* spent in the controllers' cores since then */
  SimResult result;
};

typedef struct {
  Sim *sim;
  int controller;
  guint generation;
  FkOutput *output;
  gboolean answered;
  gint64 sent;
  const FkVersion *version;
} SimCall;

/* The answer to a call. */
typedef struct {
  FkOutcome outcome;
  FkRev epoch;
  GPtrArray *list; /* as the kind of call has it; may be NULL */
  gboolean more;
  FkHeartbeat *heartbeat; /* of commands; may be NULL */
} SimAnswer;

/* What a worker is answered, under way. */
typedef struct {
  SimWorker *worker;
  SimRequest request;
  int status;
  FkFencingToken fencing_token;
  GPtrArray *commands;
  int redirect_to;
} SimReply;

/* simulation.c */

void sim_schedule(Sim *sim, double delay_s, SimEventFn fn, gpointer data);
gboolean sim_chance(Sim *sim, double probability);
double sim_uniform(Sim *sim, double from, double to);
/* A rule was broken: the first one ends the run. */
void sim_violation(Sim *sim, const char *rule, const char *what);
/* The controller's clock, at a moment of the simulation and now. */
FkTime sim_controller_time(const Sim *sim, int controller, gint64 when);
FkTime sim_controller_now(Sim *sim, int controller);
/* Whether a partition lies between the two zones; store, cloud and users have none (NULL). */
gboolean sim_zones_partitioned(const Sim *sim, const char *a, const char *b);
/* When what is sent across the partition arrives. */
double sim_partition_remaining_s(const Sim *sim);
/* Counts processor time that cores take, from here to there. */
gint64 sim_profile_begin(const Sim *sim);
void sim_profile_end(Sim *sim, gint64 began);

/* controllers.c */

/* Starts all controllers, and their ticks. */
void sim_controllers_start(Sim *sim);
void sim_controllers_free(Sim *sim);
/* It ends, and is back within seconds. */
void sim_crash_controller(Sim *sim, int controller);
/* Sends what the controller has to send. Called after each of its inputs. */
void sim_dispatch_outputs(Sim *sim, int controller);
const char *sim_controller_zone(int controller);
/* From its name, "c-0" to "c-4". */
int sim_controller_index(const char *name);

/* platform_settings.c */

/* What the platform hands the controller. Owned by the caller. */
char *sim_platform_settings(const Sim *sim, int controller);

/* calls.c */

gboolean sim_call_is_pending(SimCall *call);
/* The answer reaches the controller, unless it has given up or is gone. Takes the answer. */
void sim_call_complete(SimCall *call, SimAnswer answer);
/* Sends the answer: it may be lost, or late. Takes the answer. */
void sim_call_reply(SimCall *call, SimAnswer answer);
/* The controller gives up waiting. An event's function, as the next one. */
void sim_call_timed_out(Sim *sim, gpointer call);
/* Controllers ask each other what they have seen of the store. */
void sim_peer_query_arrives(Sim *sim, gpointer call);
/* What would reach a paused controller reaches it when it goes on. Whether it is so. */
gboolean sim_defer_while_paused(Sim *sim, int controller, SimEventFn fn, gpointer data);

/* store.c */
/* The store's limits for values, in bytes, and changes in a transaction, now. */
gsize sim_store_value_bytes_max(const Sim *sim);
guint sim_store_txn_ops_max(const Sim *sim);
void sim_store_notify_watches(Sim *sim);
gboolean sim_store_refuses(Sim *sim, int controller);
void sim_store_handle(Sim *sim, gpointer p);
/* Until a duplicate of what was sent arrives. */
double sim_duplicate_delay_s(Sim *sim);

/* workers.c */
/* The machine is gone, with all that ran there. */
void sim_worker_lose(Sim *sim, SimWorker *w);
/* The machine restarts within a fraction of a second, without tasks. */
void sim_worker_restart(Sim *sim, SimWorker *w);
void sim_worker_free(gpointer p);
SimWorker *sim_worker_find(Sim *sim, const char *id);
SimWorker *sim_worker_new(Sim *sim, const char *zone, gboolean spot, double boot);
gboolean sim_worker_is_hung(Sim *sim, const SimWorker *w);
void sim_worker_check_lease(Sim *sim, SimWorker *w);
void sim_worker_command_arrives(Sim *sim, gpointer p);
void sim_worker_send_heartbeat(Sim *sim, gpointer p);
void sim_worker_reply_arrives(Sim *sim, gpointer p);
/* A leader begins: the heartbeats that were held back come to every controller. */
void sim_release_stale_heartbeats(Sim *sim);

/* cloud.c */
void sim_cloud_handle(Sim *sim, gpointer p);

/* jobs.c */

SimJob *sim_job_find(Sim *sim, const char *id);
void sim_job_free(gpointer job);
/* Owned by the caller. */
FkSpec *sim_job_spec(const SimJob *job);
/* Somebody has asked to cancel it, or a job that it depends on, directly or through others. */
gboolean sim_job_cancel_requested(const SimJob *job);
/* All that it depends on is done, truly. */
gboolean sim_job_dependencies_done(const SimJob *job);

/* users.c */

/* Sends a query to a random controller. */
void sim_user_query(Sim *sim, SimJob *job, SimQueryKind kind);
/* Checks an answer against what truly happened. */
void sim_user_answered(Sim *sim, const SimRequest *request, const FkOutput *answer);
/* Cancels the job if it was accepted and isn't cancelled yet. An event's function. */
void sim_user_cancel(Sim *sim, gpointer job);
/* The job's user submits it, polls it from then on, and sometimes cancels it. An event's function. */
void sim_user_step(Sim *sim, gpointer job);
/* The job's user submits it until it is accepted, and does nothing else. An event's function. */
void sim_user_submit_only(Sim *sim, gpointer job);

/* workload.c: events' functions, but for the first */

void sim_submit_services(Sim *sim);
void sim_submit_jobs(Sim *sim, gpointer unused);
void sim_submit_best_effort_jobs(Sim *sim, gpointer round);
void sim_submit_large_jobs(Sim *sim, gpointer unused);
void sim_submit_small_jobs(Sim *sim, gpointer unused);
void sim_submit_zone_bound_jobs(Sim *sim, gpointer unused);
void sim_submit_pipelines(Sim *sim, gpointer unused);
void sim_submit_chain_and_fan(Sim *sim, gpointer unused);
void sim_submit_invalid_requests(Sim *sim, gpointer unused);

/* check_liveness.c */

/* Every query is answered and nobody starves, once all faults are over. Called every SIM_TICK_S. */
void sim_check_liveness(Sim *sim);
/* Percent of the jobs of the class that was served worst, as the service's users see it; 100: none is due. */
guint sim_worst_class_percent(Sim *sim);

/* planned_faults.c */
/* The number of the controller that the store names as the leader; -1: none. */
int sim_leader(Sim *sim);
/* Schedules the plan's faults. */
void sim_schedule_faults(Sim *sim);
/* The store refuses everybody; once that is over every lease has its full time again. */
void sim_begin_store_outage(Sim *sim, double s);
/* The probability that a message is duplicated now. */
double sim_duplicate_share(const Sim *sim);

/* machine_loss.c */
/* The recovery experiment's loss of machines, whatever runs there. An event's function. */
void sim_lose_machines(Sim *sim, gpointer unused);

/* random_faults.c */
/* Injects faults by chance, again and again. An event's function. */
void sim_random_fault(Sim *sim, gpointer p);
