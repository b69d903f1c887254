/* What the core is told and what it wants done: plain data, owned as said. */
#pragma once
#include "core/state/view.h"

/* ---- what workers and the cloud say ---- */
typedef enum { FK_TASK_FETCHING, FK_TASK_RUNNING, FK_TASK_SAVING, FK_TASK_EXITED, FK_TASK_OTHER } FkTaskState;
typedef enum {
  FK_WHY_NONE,
  FK_WHY_DONE,
  FK_WHY_STOPPED,
  FK_WHY_ERROR,
  FK_WHY_FULL,
  FK_WHY_BUSY,
  FK_WHY_UNKNOWN
} FkWhy;

typedef struct {
  char *job;
  guint32 task;
  FkAttempt attempt;
  FkTaskState state;
  FkWhy why;
} FkTaskReport;

typedef struct {
  char *machine, *addr, *type, *zone;
  gboolean spot;
  guint64 session, seq;
  FkToken token;
  double notice_s;  /* < 0: none */
  GPtrArray *tasks; /* FkTaskReport */
} FkReport;

FkReport *fk_report_new(void);
void fk_report_free(FkReport *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkReport, fk_report_free)

typedef struct FkType {
  char *name;
  double cpus, gpus, mem_gb, fetch_gb_per_s, price, spot_price, boot_s;
  char **zones;
} FkType;

/* What such a machine costs now, an hour. */
static inline double fk_type_price(const FkType *t, gboolean spot) { return spot ? t->spot_price : t->price; }

typedef struct {
  char *id, *addr, *type, *zone;
  gboolean spot;
  enum { FK_MACHINE_BOOTING, FK_MACHINE_RUNNING, FK_MACHINE_FAILED } state;
  double age_s;
} FkListed;

void fk_type_free(gpointer t);
void fk_listed_free(gpointer l);

/* ---- outputs ---- */
typedef enum { FK_ORDER_START, FK_ORDER_STOP, FK_ORDER_FORGET } FkOrderOp;
typedef struct {
  FkOrderOp op;
  char *job;
  guint32 task;
  FkAttempt attempt;
  double grace_s;
} FkOrder;

typedef struct {
  char *path;
  FkRev rev;
} FkGuard;

typedef struct {
  char *path;
  FkRecord *record; /* NULL: delete */
  FkRev hold;       /* 0: none */
} FkWrite;

typedef enum { FK_PRIO_HOLD, FK_PRIO_USER, FK_PRIO_CLAIM, FK_PRIO_LAUNCH, FK_PRIO_RESULT } FkPrio;

typedef enum {
  FK_OUT_ANSWER,     /* to a user: status, job, phase, done, running, retry_s */
  FK_OUT_REPLY,      /* to a worker: status, token, orders, report_to */
  FK_OUT_COMMIT,     /* call, guards, writes, prio */
  FK_OUT_GET,        /* call, path */
  FK_OUT_LIST,       /* path (prefix), after */
  FK_OUT_WATCH,      /* rev, seconds, delay_s */
  FK_OUT_HOLD_NEW,   /* seconds */
  FK_OUT_HOLD_RENEW, /* rev (the hold) */
  FK_OUT_COMMANDS,   /* call, machine, addr, token, session, orders */
  FK_OUT_PEER,       /* name, addr: ask another controller what it has seen */
  FK_OUT_TYPES,
  FK_OUT_RENT,    /* call, name, type, zone, spot, count */
  FK_OUT_RETURN,  /* call, names */
  FK_OUT_MACHINES /* after */
} FkOutKind;

typedef struct {
  FkOutKind kind;
  FkRequest request;
  guint64 call;
  int status;
  char *job;
  FkPhase phase;
  guint32 done, running;
  double retry_s;
  FkToken token;
  guint64 session;
  GPtrArray *orders; /* FkOrder */
  char *report_to;
  GArray *guards; /* FkGuard */
  GArray *writes; /* FkWrite */
  FkPrio prio;
  char *path, *after, *machine, *addr, *name, *type, *zone;
  gboolean spot;
  guint count;
  GPtrArray *names;
  FkRev rev;
  double seconds, delay_s;
  guint tries;  /* the shell's: times refused for want of budget */
  guint shared; /* references beside the first */
} FkOut;

FkOut *fk_out_ref(FkOut *o);
void fk_out_free(FkOut *o); /* NULL is fine; gives one reference back */

/* The outcome of a call to another process. */
typedef enum {
  FK_OK,       /* 200 */
  FK_CONFLICT, /* 409 */
  FK_GONE,     /* 404, 410 */
  FK_REFUSED,  /* certainly not carried out (503, 429, never sent) */
  FK_INVALID,  /* 400 */
  FK_UNKNOWN   /* no answer: carried out, or not, or later */
} FkOutcome;
