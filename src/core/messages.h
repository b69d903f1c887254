/* Messages of the core: its inputs from workers and the cloud, and the outputs that the daemon or the
 * simulation carries out for it. Plain data; a struct owns what it points to unless noted otherwise. */
#pragma once
#include "core/state/view.h"

/* ---- received from workers and the cloud ---- */

/* State of an attempt on a worker. OTHER: a state that is unknown to this version. */
typedef enum { FK_TASK_FETCHING, FK_TASK_RUNNING, FK_TASK_SAVING, FK_TASK_EXITED, FK_TASK_OTHER } FkTaskState;
typedef enum {
  FK_EXIT_NONE, /* the task has not exited */
  FK_EXIT_DONE,
  FK_EXIT_STOPPED, /* stopped by a command */
  FK_EXIT_ERROR,   /* the task failed */
  FK_EXIT_FULL,    /* refused: the machine lacks the capacity for the task */
  FK_EXIT_BUSY,    /* refused: the worker is busy */
  FK_EXIT_UNKNOWN  /* refused: the worker does not know the job */
} FkExitReason;

/* A worker's report of one attempt. */
typedef struct {
  char *job;
  guint32 task;
  FkAttempt attempt;
  FkTaskState state;
  FkExitReason exit_reason;
} FkTaskStatus;

/* A worker's heartbeat. */
typedef struct {
  char *machine, *addr, *type, *zone;
  gboolean spot;
  guint64 incarnation, sequence;
  FkFencingToken fencing_token;
  double termination_notice_s; /* seconds until the machine is terminated; < 0 if not announced */
  GPtrArray *tasks;            /* FkTaskStatus */
} FkHeartbeat;

FkHeartbeat *fk_heartbeat_new(void);
void fk_heartbeat_free(FkHeartbeat *heartbeat); /* NULL is fine */
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkHeartbeat, fk_heartbeat_free)

/* A machine type that the cloud offers. Prices are per hour. */
typedef struct FkInstanceType {
  char *name;
  double cpus, gpus, mem_gb, fetch_gb_per_s, price, spot_price, boot_s;
  char **zones;
} FkInstanceType;

/* Returns the current hourly price of a machine of this type. */
static inline double fk_instance_type_price(const FkInstanceType *type, gboolean spot) {
  return spot ? type->spot_price : type->price;
}

/* A machine in the cloud's list of machines. */
typedef struct {
  char *id, *addr, *type, *zone;
  gboolean spot;
  enum { FK_CLOUD_MACHINE_BOOTING, FK_CLOUD_MACHINE_RUNNING, FK_CLOUD_MACHINE_FAILED } state;
  double age_s;
} FkCloudMachine;

void fk_instance_type_free(gpointer type);
void fk_cloud_machine_free(gpointer machine);

/* ---- outputs ---- */

/* START launches an attempt. STOP ends an attempt. FORGET removes an ended attempt from the worker's
 * heartbeats. */
typedef enum { FK_COMMAND_START, FK_COMMAND_STOP, FK_COMMAND_FORGET } FkCommandKind;
typedef struct {
  FkCommandKind kind;
  char *job;
  guint32 task;
  FkAttempt attempt;
  double grace_s; /* for STOP: seconds until the worker kills the task */
} FkCommand;

/* Condition of a transaction: the key at `path` is at revision `rev`, or does not exist if `rev` is 0. */
typedef struct {
  char *path;
  FkRev rev;
} FkGuard;

typedef struct {
  char *path;
  FkRecord *record; /* NULL to delete the key */
  FkRev lease;      /* lease whose expiry deletes the key; 0 if none */
} FkWrite;

/* Priorities in the write budget, highest first. */
typedef enum {
  FK_PRIORITY_LEASE,
  FK_PRIORITY_USER,
  FK_PRIORITY_SHARD,
  FK_PRIORITY_LAUNCH,
  FK_PRIORITY_RESULT
} FkTransactionPriority;

/* Kinds of outputs; each lists the members of FkOutput that it uses. */
typedef enum {
  FK_OUTPUT_USER_REPLY,      /* request, status, job, phase, done, running, retry_s */
  FK_OUTPUT_HEARTBEAT_REPLY, /* request, status, fencing_token, commands, redirect_to */
  FK_OUTPUT_COMMIT,          /* call, guards, writes, priority */
  FK_OUTPUT_GET,             /* call, path */
  FK_OUTPUT_LIST,            /* path (prefix), after */
  FK_OUTPUT_WATCH,           /* path (prefix), rev, seconds, delay_s */
  FK_OUTPUT_LEASE_GRANT,     /* seconds */
  FK_OUTPUT_LEASE_KEEPALIVE, /* rev (of the lease) */
  FK_OUTPUT_COMMANDS,        /* call, machine, addr, fencing_token, incarnation, commands */
  FK_OUTPUT_PEER_QUERY,      /* name, addr: queries another controller's progress */
  FK_OUTPUT_LIST_INSTANCE_TYPES,
  FK_OUTPUT_PROVISION,    /* call, name, type, zone, spot, count */
  FK_OUTPUT_TERMINATE,    /* call, names */
  FK_OUTPUT_LIST_MACHINES /* after */
} FkOutputKind;

/* An action to carry out. The layout of the struct is shared with the version in production (test
 * versions_layout). */
typedef struct {
  FkOutputKind kind;
  FkRequestId request;
  guint64 call;
  int status;
  char *job;
  FkPhase phase;
  guint32 done, running;
  double retry_s;
  FkFencingToken fencing_token;
  guint64 incarnation;
  GPtrArray *commands; /* FkCommand */
  char *redirect_to;
  GArray *guards; /* FkGuard */
  GArray *writes; /* FkWrite */
  FkTransactionPriority priority;
  char *path, *after, *machine, *addr, *name, *type, *zone;
  gboolean spot;
  guint count;
  GPtrArray *names;
  FkRev rev;
  double seconds, delay_s;
  guint rate_limit_retries; /* used by the daemon: how often the store rejected the request with status 429 */
  guint extra_refs;         /* number of references in addition to the first */
} FkOutput;

FkOutput *fk_output_ref(FkOutput *output);
/* Releases a reference; the last one frees the output. NULL is fine. */
void fk_output_free(FkOutput *output);

/* Outcome of a call to the store, the cloud, a worker or another controller. Each comment names the HTTP
 * statuses that map to the value. */
typedef enum {
  FK_OUTCOME_OK,       /* 200 */
  FK_OUTCOME_CONFLICT, /* 409: a guard did not hold; or 503 from the cloud: no capacity */
  FK_OUTCOME_GONE,     /* 404, 410 */
  FK_OUTCOME_REFUSED,  /* 429, other 503, or never sent: the call was certainly not carried out */
  FK_OUTCOME_INVALID,  /* 400 */
  FK_OUTCOME_UNKNOWN   /* no reply, or another status: the call may have been, or may still be, carried out */
} FkOutcome;
