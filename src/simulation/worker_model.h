/* One machine's worker as a model without a clock or a socket of its own: session, tokens, lease, tasks and
 * commands, as PROTOCOL has them ("Workers -> controller nodes"). The simulated world and the hollow workers
 * that listen on loopback both own such models. Times are microseconds of the owner's clock. */
#pragma once
#include "core/messages.h"

typedef struct {
  char *job;
  guint32 task;
  guint64 attempt;
  FkTaskState state;
  FkExitReason exit_reason;
  guint64 serial;    /* tells this try from all others of the process */
  gboolean resident; /* holds its image: on the machine */
} FkWorkerTask;

typedef struct {
  char *id, *addr, *type, *zone;
  gboolean spot;
  double cpus; /* in all */
  guint64 incarnation, sequence, fencing_token;
  gint64 lease_start; /* when the report that was answered last was sent, or the session began */
  GPtrArray *tasks;   /* FkWorkerTask */
} FkWorkerModel;

/* What the owner knows and does. */
typedef struct {
  double (*cpus_of)(gpointer owner, const char *job); /* what a task takes; < 0: no such job */
  /* The task was accepted, and fetches its image: the owner lets it begin, and end. */
  void (*on_accepted)(gpointer owner, FkWorkerModel *w, FkWorkerTask *t);
  /* The task was on the machine, and is no more. */
  void (*on_released)(gpointer owner, FkWorkerModel *w, FkWorkerTask *t);
  gpointer owner;
  guint64 *last_serial; /* the latest serial given */
} FkWorkerHooks;

/* Session 1, without tasks; takes copies of the names. */
void fk_worker_model_init(FkWorkerModel *w, const char *id, const char *addr, const char *type,
                          const char *zone, gboolean spot, double cpus);
void fk_worker_model_clear(FkWorkerModel *w);
FkWorkerTask *fk_worker_model_task(const FkWorkerModel *w, guint64 serial);
/* A report of what there is now, counted. */
FkHeartbeat *fk_worker_model_heartbeat(FkWorkerModel *w);
/* Carries the orders out one after the other. */
void fk_worker_model_execute(FkWorkerModel *w, const FkWorkerHooks *h, const GPtrArray *orders);
/* The answer to a report of that session that was sent then; FALSE: it is dropped. */
gboolean fk_worker_model_heartbeat_answered(FkWorkerModel *w, const FkWorkerHooks *h, guint64 session,
                                            gint64 sent, FkFencingToken token, const GPtrArray *orders);
/* A direct command; FALSE: refused, and nothing is carried out. */
gboolean fk_worker_model_command(FkWorkerModel *w, const FkWorkerHooks *h, guint64 session,
                                 FkFencingToken token, const GPtrArray *orders);
/* Everything that it has is lost, without an end. */
void fk_worker_model_clear_tasks(FkWorkerModel *w, const FkWorkerHooks *h);
/* Where the lease has run out, the next session begins with nothing. Whether it has. */
gboolean fk_worker_model_check_lease(FkWorkerModel *w, const FkWorkerHooks *h, gint64 now, double lease_s);
/* It isn't there any more. */
void fk_worker_model_release_task(FkWorkerModel *w, const FkWorkerHooks *h, FkWorkerTask *t);
