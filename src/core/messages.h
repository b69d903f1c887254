/* Messages of the core: what it receives, and the outputs that it wants carried out. Plain data; a struct
 * owns what it points to unless it says otherwise. */
#pragma once
#include "core/state/view.h"

/* ---- received from workers and the cloud ---- */

/* OTHER: a state that this version does not know. */
typedef enum { FK_TASK_FETCHING, FK_TASK_RUNNING, FK_TASK_SAVING, FK_TASK_EXITED, FK_TASK_OTHER } FkTaskState;
typedef enum {
  FK_EXIT_NONE, /* it has not exited */
  FK_EXIT_DONE,
  FK_EXIT_STOPPED, /* by a command */
  FK_EXIT_ERROR,   /* the task failed */
  FK_EXIT_FULL,    /* refused: the machine has no capacity for it */
  FK_EXIT_BUSY,    /* refused: the worker is busy */
  FK_EXIT_UNKNOWN
} FkExitReason;

/* One attempt on a worker. */
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
  double termination_notice_s; /* < 0: none */
  GPtrArray *tasks;            /* FkTaskStatus */
} FkHeartbeat;

FkHeartbeat *fk_heartbeat_new(void);
void fk_heartbeat_free(FkHeartbeat *heartbeat); /* NULL is fine */
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkHeartbeat, fk_heartbeat_free)

/* A type of machines that the cloud offers. Prices are an hour's. */
typedef struct FkInstanceType {
  char *name;
  double cpus, gpus, mem_gb, fetch_gb_per_s, price, spot_price, boot_s;
  char **zones;
} FkInstanceType;

/* The present price of such a machine, an hour. */
static inline double fk_instance_type_price(const FkInstanceType *type, gboolean spot) {
  return spot ? type->spot_price : type->price;
}

/* A machine in the cloud's list. */
typedef struct {
  char *id, *addr, *type, *zone;
  gboolean spot;
  enum { FK_CLOUD_MACHINE_BOOTING, FK_CLOUD_MACHINE_RUNNING, FK_CLOUD_MACHINE_FAILED } state;
  double age_s;
} FkCloudMachine;

void fk_instance_type_free(gpointer type);
void fk_cloud_machine_free(gpointer machine);

/* ---- outputs ---- */

/* START launches an attempt, STOP ends it, FORGET drops an attempt that has ended from the worker's
 * heartbeats. */
typedef enum { FK_COMMAND_START, FK_COMMAND_STOP, FK_COMMAND_FORGET } FkCommandKind;
typedef struct {
  FkCommandKind kind;
  char *job;
  guint32 task;
  FkAttempt attempt;
  double grace_s; /* STOP: until the task is killed */
} FkCommand;

/* The key must still have that revision; 0: it must not exist. */
typedef struct {
  char *path;
  FkRev rev;
} FkGuard;

typedef struct {
  char *path;
  FkRecord *record; /* NULL: delete */
  FkRev lease;      /* the key ends with it; 0: none */
} FkWrite;

/* What goes first when the write budget is short, in this order. */
typedef enum {
  FK_PRIORITY_LEASE,
  FK_PRIORITY_USER,
  FK_PRIORITY_SHARD,
  FK_PRIORITY_LAUNCH,
  FK_PRIORITY_RESULT
} FkTransactionPriority;

/* What is to be done, and the members of FkOutput that it has. */
typedef enum {
  FK_OUTPUT_USER_REPLY,      /* to a user: status, job, phase, done, running, retry_s */
  FK_OUTPUT_HEARTBEAT_REPLY, /* to a worker: status, fencing_token, commands, redirect_to */
  FK_OUTPUT_COMMIT,          /* call, guards, writes, priority */
  FK_OUTPUT_GET,             /* call, path */
  FK_OUTPUT_LIST,            /* path (prefix), after */
  FK_OUTPUT_WATCH,           /* rev, seconds, delay_s */
  FK_OUTPUT_LEASE_GRANT,     /* seconds */
  FK_OUTPUT_LEASE_KEEPALIVE, /* rev (the lease) */
  FK_OUTPUT_COMMANDS,        /* call, machine, addr, fencing_token, incarnation, commands */
  FK_OUTPUT_PEER_QUERY,      /* name, addr: asks another controller for its progress */
  FK_OUTPUT_LIST_INSTANCE_TYPES,
  FK_OUTPUT_PROVISION,    /* call, name, type, zone, spot, count */
  FK_OUTPUT_TERMINATE,    /* call, names */
  FK_OUTPUT_LIST_MACHINES /* after */
} FkOutputKind;

/* Its layout is shared with the version in production (test versions_layout). */
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
  guint rate_limit_retries; /* the daemon's: how often the budget has refused it */
  guint extra_refs;         /* references beside the first */
} FkOutput;

FkOutput *fk_output_ref(FkOutput *output);
/* Drops one reference; the last one frees. NULL is fine. */
void fk_output_free(FkOutput *output);

/* The outcome of a call to the store, the cloud, a worker or another controller; HTTP statuses for instance.
 */
typedef enum {
  FK_OUTCOME_OK,       /* 200 */
  FK_OUTCOME_CONFLICT, /* 409 */
  FK_OUTCOME_GONE,     /* 404, 410 */
  FK_OUTCOME_REFUSED,  /* certainly not carried out: 503, 429, never sent */
  FK_OUTCOME_INVALID,  /* 400 */
  FK_OUTCOME_UNKNOWN   /* no answer: it was carried out, or was not, or will be */
} FkOutcome;
