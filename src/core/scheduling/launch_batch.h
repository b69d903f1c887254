/* What the two paths of placement share: the launch in the making, and what there is room for. */
#pragma once
#include "core/controller_internal.h"

#define FK_LAUNCH_WRITES_MIN 2       /* writes that must be free for a launch ... */
#define FK_LAUNCH_WRITES_ALLOWANCE 4 /* ... which may then take so many: a little debt is soon paid */

/* A transaction that books tasks in their jobs' chunks, guarded by all that it looked at. */
typedef struct {
  FkOutput *txn;
  GHashTable *chunks; /* path -> FkChunk, owned by the transaction */
  GHashTable *teams;
  guint bytes;
  FkWaitTimes waits;
  guint allocated;
  gboolean urgent_only; /* it goes before its time: nothing else may share its writes */
} FkLaunchBatch;

/* No further task goes in. */
gboolean fk_launch_batch_is_full(FkController *c, const FkLaunchBatch *b);
/* Only tasks of chunks that are open already still find room. */
gboolean fk_launch_batch_is_out_of_chunks(FkController *c, const FkLaunchBatch *b);
/* Books the job's first waiting task on the machine; FALSE: it doesn't go in. */
gboolean fk_launch_batch_allocate(FkController *c, FkLaunchBatch *b, FkJob *j, FkMachine *m);
/* Books the first waiting task on the machine, and asks the victims to leave it, in the same transaction:
 * their home sends the stops and the start in one message, in this order. FALSE: it doesn't go in. */
gboolean fk_launch_batch_preempt(FkController *c, FkLaunchBatch *b, FkJob *j, FkMachine *m,
                                 const GArray *victims);
/* Room promised to launches that the view doesn't show yet is given up: the view shows them now, or they
 * failed. */
void fk_reservation_clear_all(FkController *c);
void fk_reservation_apply(FkMachine *m, const FkSpec *s, int sign);
gboolean fk_team_quota_allows_tasks(FkController *c, const FkSpec *s, guint32 tasks);
/* The team's whole limit has room for one more task, whoever may book it. Unlike fk_team_quota_allows_task()
 * it doesn't mark a controller's share of the limit as too small. */
gboolean fk_team_quota_has_room(FkController *c, const FkSpec *s);
gboolean fk_placement_has_capacity(FkController *c, const FkMachine *m, double cpus, double mem);

/* Room for the next services: slots above the reserve of these machines, which is for `part` of all services.
 */
double fk_service_reserve_spare_slots(FkController *c, GPtrArray *machines, guint looked_after, double part);
/* Whether an array's task may go there, and what is spare then. */
gboolean fk_service_reserve_permits(FkController *c, FkMachine *m, const FkSpec *s, double *spare);

/* displace.c: room made by stopping tasks of lower ranks */
/* What stopping a task that has run since then loses, in core-seconds. */
double fk_preemption_work_lost(FkController *c, const FkSpec *s, FkTime since);
/* The work that would be lost, in core-seconds; < 0: there is no room to be made. `at_once`: only by tasks
 * that end as soon as they are told. Who would be stopped goes into `victims` (FkAllocationRef). */
double fk_preemption_cost(FkController *c, const FkSpec *s, const FkMachine *m, gboolean at_once,
                          GArray *victims);
/* Where the least is lost, less than `most`; a machine without the image counts 1000 core-seconds. NULL:
 * nowhere. */
FkMachine *fk_preemption_best_machine(FkController *c, const FkJob *j, GPtrArray *machines, gboolean at_once,
                                      double most, GArray *victims);

/* long.c */
void fk_long_path_place(FkController *c, FkLaunchBatch *b, GPtrArray *jobs, GPtrArray *machines);
void fk_long_path_reserve(FkController *c, GPtrArray *jobs, GPtrArray *machines, GArray *kept);
void fk_long_path_release(FkController *c, GArray *kept);

/* short.c */
void fk_short_path_place(FkController *c, FkLaunchBatch *b, GPtrArray *jobs);
