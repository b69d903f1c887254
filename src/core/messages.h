/* What the core is told and what it wants done: plain data, owned as said. */
#pragma once
#include "core/state/view.h"

/* ---- what workers and the cloud say ---- */
typedef enum { FK_TASK_FETCHING, FK_TASK_RUNNING, FK_TASK_SAVING, FK_TASK_EXITED, FK_TASK_OTHER } FkTaskState;
typedef enum {
  FK_EXIT_NONE,
  FK_EXIT_DONE,
  FK_EXIT_STOPPED,
  FK_EXIT_ERROR,
  FK_EXIT_FULL,
  FK_EXIT_BUSY,
  FK_EXIT_UNKNOWN
} FkExitReason;

typedef struct {
  char *job;
  guint32 task;
  FkAttempt attempt;
  FkTaskState state;
  FkExitReason exit_reason;
} FkTaskStatus;

typedef struct {
  char *machine, *addr, *type, *zone;
  gboolean spot;
  guint64 incarnation, sequence;
  FkFencingToken fencing_token;
  double termination_notice_s; /* < 0: none */
  GPtrArray *tasks;            /* FkTaskStatus */
} FkHeartbeat;

FkHeartbeat *fk_heartbeat_new(void);
void fk_heartbeat_free(FkHeartbeat *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkHeartbeat, fk_heartbeat_free)

typedef struct FkInstanceType {
  char *name;
  double cpus, gpus, mem_gb, fetch_gb_per_s, price, spot_price, boot_s;
  char **zones;
} FkInstanceType;

/* What such a machine costs now, an hour. */
static inline double fk_instance_type_price(const FkInstanceType *t, gboolean spot) {
  return spot ? t->spot_price : t->price;
}

typedef struct {
  char *id, *addr, *type, *zone;
  gboolean spot;
  enum { FK_CLOUD_MACHINE_BOOTING, FK_CLOUD_MACHINE_RUNNING, FK_CLOUD_MACHINE_FAILED } state;
  double age_s;
} FkCloudMachine;

void fk_instance_type_free(gpointer t);
void fk_cloud_machine_free(gpointer l);

/* ---- outputs ---- */
typedef enum { FK_COMMAND_START, FK_COMMAND_STOP, FK_COMMAND_FORGET } FkCommandKind;
typedef struct {
  FkCommandKind kind;
  char *job;
  guint32 task;
  FkAttempt attempt;
  double grace_s;
} FkCommand;

typedef struct {
  char *path;
  FkRev rev;
} FkGuard;

typedef struct {
  char *path;
  FkRecord *record; /* NULL: delete */
  FkRev lease;      /* 0: none */
} FkWrite;

typedef enum {
  FK_PRIORITY_LEASE,
  FK_PRIORITY_USER,
  FK_PRIORITY_SHARD,
  FK_PRIORITY_LAUNCH,
  FK_PRIORITY_RESULT
} FkTransactionPriority;

typedef enum {
  FK_OUTPUT_USER_REPLY,      /* to a user: status, job, phase, done, running, retry_s */
  FK_OUTPUT_HEARTBEAT_REPLY, /* to a worker: status, token, orders, report_to */
  FK_OUTPUT_COMMIT,          /* call, guards, writes, prio */
  FK_OUTPUT_GET,             /* call, path */
  FK_OUTPUT_LIST,            /* path (prefix), after */
  FK_OUTPUT_WATCH,           /* rev, seconds, delay_s */
  FK_OUTPUT_LEASE_GRANT,     /* seconds */
  FK_OUTPUT_LEASE_KEEPALIVE, /* rev (the hold) */
  FK_OUTPUT_COMMANDS,        /* call, machine, addr, token, session, orders */
  FK_OUTPUT_PEER_QUERY,      /* name, addr: ask another controller what it has seen */
  FK_OUTPUT_LIST_INSTANCE_TYPES,
  FK_OUTPUT_PROVISION,    /* call, name, type, zone, spot, count */
  FK_OUTPUT_TERMINATE,    /* call, names */
  FK_OUTPUT_LIST_MACHINES /* after */
} FkOutputKind;

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
  guint budget_refusals; /* the shell's: times refused for want of budget */
  guint extra_refs;      /* references beside the first */
} FkOutput;

FkOutput *fk_output_ref(FkOutput *o);
void fk_output_free(FkOutput *o); /* NULL is fine; gives one reference back */

/* The outcome of a call to another process. */
typedef enum {
  FK_OUTCOME_OK,       /* 200 */
  FK_OUTCOME_CONFLICT, /* 409 */
  FK_OUTCOME_GONE,     /* 404, 410 */
  FK_OUTCOME_REFUSED,  /* certainly not carried out (503, 429, never sent) */
  FK_OUTCOME_INVALID,  /* 400 */
  FK_OUTCOME_UNKNOWN   /* no answer: carried out, or not, or later */
} FkOutcome;
