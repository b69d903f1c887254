/* A model of one machine's worker without a clock or a socket of its own: incarnation, fencing token, lease,
 * tasks and commands, as the protocol has them ("Workers -> controller nodes"). Used by the simulation and by
 * the simulated workers of scale runs. Times are microseconds of the owner's clock. */
#pragma once
#include "core/messages.h"

typedef struct {
  char *job;
  guint32 task;
  guint64 attempt;
  FkTaskState state;
  FkExitReason exit_reason;
  guint64 serial;    /* tells this attempt from all others of the process */
  gboolean resident; /* on the machine: it holds its resources */
} FkWorkerTask;

typedef struct {
  char *id, *addr, *type, *zone;
  gboolean spot;
  double cpus; /* in all */
  guint64 incarnation, sequence, fencing_token;
  gint64 lease_start; /* when the last answered heartbeat was sent, or the incarnation began */
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

/* Incarnation 1, without tasks; copies the strings. */
void fk_worker_model_init(FkWorkerModel *w, const char *id, const char *addr, const char *type,
                          const char *zone, gboolean spot, double cpus);
void fk_worker_model_clear(FkWorkerModel *w);
/* NULL: there is no such task. */
FkWorkerTask *fk_worker_model_task(const FkWorkerModel *w, guint64 serial);
/* A heartbeat of the present state, with the next sequence number. Owned by the caller. */
FkHeartbeat *fk_worker_model_heartbeat(FkWorkerModel *w);
/* Carries out FkCommand after FkCommand. */
void fk_worker_model_execute(FkWorkerModel *w, const FkWorkerHooks *h, const GPtrArray *commands);
/* The answer to a heartbeat of that incarnation that was sent then renews the lease; FALSE: it is dropped. */
gboolean fk_worker_model_heartbeat_answered(FkWorkerModel *w, const FkWorkerHooks *h, guint64 incarnation,
                                            gint64 sent, FkFencingToken token, const GPtrArray *commands);
/* Direct commands; FALSE: refused for their token or incarnation, and nothing is carried out. */
gboolean fk_worker_model_command(FkWorkerModel *w, const FkWorkerHooks *h, guint64 incarnation,
                                 FkFencingToken token, const GPtrArray *commands);
/* All tasks are lost, without an exit. */
void fk_worker_model_clear_tasks(FkWorkerModel *w, const FkWorkerHooks *h);
/* An expired lease begins the next incarnation, without tasks. Whether it has. */
gboolean fk_worker_model_check_lease(FkWorkerModel *w, const FkWorkerHooks *h, gint64 now, double lease_s);
/* The task leaves the machine: its resources are free. */
void fk_worker_model_release_task(FkWorkerModel *w, const FkWorkerHooks *h, FkWorkerTask *t);
