/* Internal interface of the files in this directory, which manage the workers that this controller owns. */
#pragma once
#include "core/controller_internal.h"

/* ---- worker_state.c ---- */

/* Returns whether the view is fresh enough to reply to workers and to send them commands. */
gboolean fk_worker_view_is_current(FkController *c);
/* Returns whether the view is so old that it may lack a later owner of a shard. */
gboolean fk_worker_view_is_stale(FkController *c);

/* Updates an owned worker's state to its shard's present revision; creates the state if there is none. */
void fk_worker_state_refresh(FkController *c, FkMachine *machine);
/* Frees the state of a worker that another controller owns now. */
void fk_worker_state_clear(FkMachine *machine);
/* Stores the heartbeat, which must be the newest one, as the worker's present state. */
void fk_worker_state_set_heartbeat(FkController *c, FkMachine *machine, FkHeartbeat *heartbeat /* taken */);
/* Stores the first heartbeat after the worker has restarted and its sequence numbers have started over. */
void fk_worker_state_restart(FkController *c, FkMachine *machine, FkHeartbeat *heartbeat /* taken */);
/* Records a fencing token that a worker of the shard has echoed, which may be a later owner's. */
void fk_worker_record_token(FkController *c, FkShard *shard, FkFencingToken token);

FkHeartbeatSequence fk_heartbeat_sequence(const FkHeartbeat *heartbeat);
/* Returns the attempt's status in the heartbeat, or NULL if the heartbeat doesn't list the attempt or is
 * NULL. */
const FkTaskStatus *fk_heartbeat_find_task(const FkHeartbeat *heartbeat, const char *job, guint32 task,
                                           FkAttempt attempt);
/* Returns the status that the worker last reported for an allocation, or NULL if it reported none. */
const FkTaskStatus *fk_worker_find_task(const FkMachine *machine, const FkAllocationRef *allocation);

/* ---- commands.c ---- */

/* Returns the commands that bring the worker, as its latest heartbeat shows it, in line with its
 * allocations. */
GPtrArray *fk_commands_for_worker(FkController *c, FkMachine *machine);
/* Adds the key of each attempt that `commands` start to `attempts`, a set of attempt keys. */
void fk_commands_remember_starts(GHashTable *attempts, const GPtrArray *commands);
/* Sends commands to the worker by a direct call, one call at a time. Without urgent commands a call is made
 * only if the worker hasn't echoed the present fencing token yet or `probe` is TRUE, which checks that the
 * worker still replies. */
void fk_commands_send(FkController *c, FkMachine *machine, gboolean probe);

/* ---- reconciliation.c ---- */

/* Returns whether the allocation is to be stopped, or its job is cancelled. */
gboolean fk_allocation_is_stopping(const FkAllocationRef *allocation);
/* Compares the worker's latest heartbeat with its allocations and acts on the differences. */
void fk_reconciliation_run(FkController *c, FkMachine *machine);
/* Adds a completion for each allocation that has certainly ended. `lease_expired`: the worker's lease has
 * expired, so none of its tasks runs any more. */
void fk_reconciliation_complete_ended(FkController *c, FkMachine *machine, gboolean lease_expired);
/* Requests a new fencing token if the worker has restarted under the present one, or must retain too many
 * exited attempts under it. */
void fk_reconciliation_renew_token(FkController *c, FkMachine *machine);
/* Requests that the machine be drained. A reason that is already set stays, except that a termination notice
 * is replaced by silence. */
void fk_reconciliation_set_drain_reason(FkController *c, FkMachine *machine, const char *reason,
                                        double notice_s);

/* ---- redirects.c ---- */

/* Redirects a worker to the controller `owner`. */
void fk_redirect_send(FkController *c, FkRequestId request, const char *machine, const char *owner);
/* Returns whether the worker was redirected to `owner` so recently that its return means that it can't reach
 * `owner`. */
gboolean fk_redirect_is_recent(FkController *c, const char *machine, const char *owner);
/* Records that a worker has returned after a redirect to the shard's owner. Requests that this controller
 * acquire the shard when enough workers have returned. */
void fk_redirect_record_return(FkController *c, FkShard *shard, const char *machine);
/* Removes redirects that are too old for fk_redirect_is_recent. */
void fk_redirects_expire(FkController *c);

/* ---- zone_reachability.c ---- */

/* Counts the workers of each zone that were heard from lately, and records outages. */
void fk_zone_reachability_update(FkController *c);
/* Returns the zone's counts, adding an entry of zeros for a new zone. The pointer is valid until the next new
 * zone is added. */
FkZoneReachability *fk_zone_reachability_find(FkController *c, const char *zone);
/* Returns after how many seconds of silence the worker is probed. */
double fk_worker_probe_after_s(FkController *c, const FkMachine *machine);
/* Returns since when the worker hasn't been heard from. */
FkTime fk_worker_silent_since(const FkMachine *machine);
/* Returns whether the worker counts as silent: it is silent for longer than its limit, has missed a probe,
 * and others of its zone are heard from. The limit is longer if the zone has only one worker, and during an
 * outage. */
gboolean fk_worker_is_silent(FkController *c, const FkMachine *machine, const FkZoneReachability *zone);
/* Returns whether there is a one-way partition: the worker's heartbeats arrive, but it doesn't receive this
 * controller's messages. FALSE if that holds for more than half of its zone's workers (two or more), since
 * then the fault is on this controller's side. Also FALSE after a late tick of this controller. */
gboolean fk_worker_is_partitioned(FkController *c, const FkMachine *machine, const FkZoneReachability *zone);

/* ---- heartbeats.c ---- */

/* Queues the reply to a heartbeat request, with an HTTP status. Returns the output, which the controller
 * owns, so that the caller can set its other members. */
FkOutput *fk_heartbeat_reply_new(FkController *c, FkRequestId request, int status);
/* Handles the held heartbeats again. */
void fk_heartbeats_retry_held(FkController *c);
