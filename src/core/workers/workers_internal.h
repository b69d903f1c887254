/* Internal interface of the files in this directory, which manage the workers that this controller owns. */
#pragma once
#include "core/controller_internal.h"

/* ---- workers.c ---- */

/* Returns the time at which the worker has certainly ended all of its tasks if its lease isn't renewed
 * before. */
FkTime fk_worker_lease_expires_at(FkController *c, const FkMachine *machine);

/* ---- worker_state.c ---- */

/* Returns whether the view is ready and fresh enough to reply to workers and to send them commands. */
gboolean fk_worker_view_is_current(FkController *c);
/* Returns whether the view is so old that it may lack a later owner of a shard. */
gboolean fk_worker_view_is_stale(FkController *c);

/* Updates an owned worker's state to its shard's present revision, and creates the state if there is none.
 * For new state, requests that the ownership be announced to some of the shard's workers. */
void fk_worker_state_refresh(FkController *c, FkMachine *machine);
/* Frees the state of a worker that this controller no longer owns, if there is one. */
void fk_worker_state_clear(FkMachine *machine);
/* Stores `heartbeat`, which must be newer than the stored one. Requests that the machine be registered if it
 * isn't registered yet and the worker has echoed the present fencing token. */
void fk_worker_state_set_heartbeat(FkController *c, FkMachine *machine,
                                   FkHeartbeat *heartbeat /* ownership passes to the callee */);
/* Stores the first heartbeat after the worker has restarted and its sequence numbers have started over. */
void fk_worker_state_restart(FkController *c, FkMachine *machine,
                             FkHeartbeat *heartbeat /* ownership passes to the callee */);
/* Handles a fencing token that a worker of the shard has echoed. With a stale view, a token above the shard's
 * revision is recorded as proof of a later owner. With a fresh view, an earlier record is discarded. */
void fk_worker_record_token(FkController *c, FkShard *shard, FkFencingToken token);

/* Returns the heartbeat's incarnation and sequence number. */
FkHeartbeatSequence fk_heartbeat_sequence(const FkHeartbeat *heartbeat);
/* Returns the attempt's status in the heartbeat, or NULL if the heartbeat doesn't list the attempt or is
 * NULL. */
const FkTaskStatus *fk_heartbeat_find_task(const FkHeartbeat *heartbeat, const char *job, guint32 task,
                                           FkAttempt attempt);
/* Returns the allocation's status in the worker's latest heartbeat, or NULL if it isn't listed there or no
 * heartbeat was received. */
const FkTaskStatus *fk_worker_find_task(const FkMachine *machine, const FkAllocationRef *allocation);

/* ---- commands.c ---- */

/* Returns the commands that bring the worker, as its latest heartbeat shows it, in line with its allocations.
 * The number of commands is bounded. A heartbeat must have been received. */
GPtrArray *fk_commands_for_worker(FkController *c, FkMachine *machine);
/* Adds the key of each attempt that `commands` start to `attempts`, a set of attempt keys. */
void fk_commands_remember_starts(GHashTable *attempts, const GPtrArray *commands);
/* Sends the worker's commands by a direct call, unless a call is in flight, a retry isn't due yet, the
 * address is unknown, or the view is too old. If there is no command to start or stop a task, the call is
 * made only if no heartbeat was received yet, if the worker hasn't echoed the present fencing token, or if
 * `probe` is TRUE: the reply to a call shows that the worker is alive. */
void fk_commands_send(FkController *c, FkMachine *machine, gboolean probe);

/* Gives up the direct call in flight if it was sent at least `min_age_s` seconds ago, so that another one can
 * be sent; its reply will be ignored. Starts that it carries may still be delivered. */
void fk_commands_abandon_call(FkController *c, FkMachine *machine, double min_age_s);

/* ---- reconciliation.c ---- */

/* Returns whether the allocation is to be stopped, or its job is cancelled. */
gboolean fk_allocation_is_stopping(const FkAllocationRef *allocation);
/* Compares the worker's latest heartbeat with its allocations and acts on the differences. Does nothing if no
 * heartbeat was received. */
void fk_reconciliation_run(FkController *c, FkMachine *machine);
/* Adds a completion for each allocation on the machine that has certainly ended and has no pending completion
 * yet. `lease_expired`: the worker's lease has expired, so all of its tasks have ended. */
void fk_reconciliation_complete_ended(FkController *c, FkMachine *machine, gboolean lease_expired);
/* Requests a new fencing token if the worker has restarted under the present one, or must remember too many
 * exited attempts, unless the present token is only a few seconds old. */
void fk_reconciliation_renew_token(FkController *c, FkMachine *machine);
/* Requests that the machine be drained for `reason`, or no longer be drained if `reason` is NULL. Does
 * nothing if the machine isn't registered. A reason in the store isn't replaced by another one, except that
 * FK_DRAIN_REASON_SILENT replaces FK_DRAIN_REASON_NOTICE. `notice_s`: see
 * fk_machine_registry_set_drain_reason. */
void fk_reconciliation_set_drain_reason(FkController *c, FkMachine *machine, const char *reason,
                                        double notice_s);

/* ---- redirects.c ---- */

/* Replies to a worker's heartbeat with a redirect to the controller `owner`, and remembers the redirect. */
void fk_redirect_send(FkController *c, FkRequestId request, const char *machine, const char *owner);
/* Returns whether the worker was redirected to `owner` so recently that its return means that it can't reach
 * `owner`. */
gboolean fk_redirect_is_recent(FkController *c, const char *machine, const char *owner);
/* Records that a worker has returned after a redirect to the controller responsible for the shard. If enough
 * workers have returned recently, requests that this controller acquire the shard. */
void fk_redirect_record_return(FkController *c, FkShard *shard, const char *machine);
/* Removes redirects that are too old for fk_redirect_is_recent. */
void fk_redirects_expire(FkController *c);

/* ---- zone_reachability.c ---- */

/* Counts this controller's registered workers in each zone, and how many of them were heard from lately.
 * Records outages. */
void fk_zone_reachability_update(FkController *c);
/* Returns the zone's counts, adding an entry of zeros for a new zone. The pointer is valid until the next new
 * zone is added. */
FkZoneReachability *fk_zone_reachability_find(FkController *c, const char *zone);
/* Returns after how many seconds without contact the worker is probed. */
double fk_worker_probe_after_s(FkController *c, const FkMachine *machine);
/* Returns the time of the last contact with the worker, or of the start of this controller's ownership if
 * that is later. */
FkTime fk_worker_silent_since(const FkMachine *machine);
/* Returns whether the worker counts as silent: it has missed a probe, and the last contact is longer ago than
 * the worker's limit. The limit is longer for the only worker of a zone, and during and after an outage of
 * the zone. FALSE for some seconds after a late tick of this controller. */
gboolean fk_worker_is_silent(FkController *c, const FkMachine *machine, const FkZoneReachability *zone);
/* Returns whether there is a one-way partition: the worker has missed a probe and doesn't receive this
 * controller's messages, although its heartbeats arrive. FALSE if at least two and more than half of the
 * zone's workers don't receive messages, since then the fault is on this controller's side. Also FALSE for
 * some seconds after a late tick of this controller. */
gboolean fk_worker_is_partitioned(FkController *c, const FkMachine *machine, const FkZoneReachability *zone);

/* ---- heartbeats.c ---- */

/* Queues the reply to a heartbeat request, with an HTTP status. Returns the output, which the controller
 * owns, so that the caller can set its other members. */
FkOutput *fk_heartbeat_reply_new(FkController *c, FkRequestId request, int status);
/* Handles all held heartbeats again. A heartbeat that still can't be replied to stays held. */
void fk_heartbeats_retry_held(FkController *c);
