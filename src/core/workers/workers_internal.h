/* Shared by the files that deal with this controller's own workers. */
#pragma once
#include "core/controller_internal.h"

/* ---- worker_state.c ---- */

/* Whether the view is fresh enough to answer and command workers by it. */
gboolean fk_worker_view_is_current(FkController *c);
/* Whether the view is so old that a later owner of a shard may be missing from it. */
gboolean fk_worker_view_is_stale(FkController *c);

/* Brings the state kept of an owned worker up to date with its shard's revision; creates it if needed. */
void fk_worker_state_refresh(FkController *c, FkMachine *machine);
/* Frees the state of a worker that another controller owns by now. */
void fk_worker_state_clear(FkMachine *machine);
/* Takes the heartbeat, which must be the newest one, as the worker's present state. */
void fk_worker_state_set_heartbeat(FkController *c, FkMachine *machine, FkHeartbeat *heartbeat /* taken */);
/* The same after the worker has restarted, and its sequence numbers with it. */
void fk_worker_state_restart(FkController *c, FkMachine *machine, FkHeartbeat *heartbeat /* taken */);
/* Notes a fencing token that a worker of the shard has shown. */
void fk_worker_note_token(FkController *c, FkShard *shard, FkFencingToken token);

FkHeartbeatSequence fk_heartbeat_sequence(const FkHeartbeat *heartbeat);
/* The attempt's status in the heartbeat (NULL: none has come yet), or NULL. */
const FkTaskStatus *fk_heartbeat_find_task(const FkHeartbeat *heartbeat, const char *job, guint32 task,
                                           FkAttempt attempt);
/* The status that the worker last reported of an allocation, or NULL. */
const FkTaskStatus *fk_worker_find_task(const FkMachine *machine, const FkAllocationRef *allocation);

/* ---- commands.c ---- */

/* The commands that bring the worker, as its latest heartbeat shows it, in line with its allocations. */
GPtrArray *fk_commands_for_worker(FkController *c, FkMachine *machine);
/* Adds the attempts that are started by `commands` to a set of attempt keys. */
void fk_commands_remember_starts(GHashTable *attempts, const GPtrArray *commands);
/* Sends commands straight to the worker, one call at a time; does nothing when there is nothing urgent to say
 * unless `probe`, which asks whether the worker still answers. */
void fk_commands_send(FkController *c, FkMachine *machine, gboolean probe);

/* ---- reconciliation.c ---- */

gboolean fk_allocation_is_leaving(const FkAllocationRef *allocation);
/* Compares the worker's latest heartbeat with its allocations, and acts on the differences. */
void fk_reconciliation_run(FkController *c, FkMachine *machine);
/* Adds a completion for each allocation that has certainly ended. `lease_expired`: nothing runs there. */
void fk_reconciliation_complete_ended(FkController *c, FkMachine *machine, gboolean lease_expired);
/* Asks for a new fencing token where the present one proves nothing, or keeps too many attempts alive. */
void fk_reconciliation_renew_token(FkController *c, FkMachine *machine);
/* Asks for the machine to be drained. A termination notice may become silence; otherwise the first reason
 * stays. */
void fk_reconciliation_set_drain_reason(FkController *c, FkMachine *machine, const char *reason,
                                        double notice_s);

/* ---- redirects.c ---- */

/* Sends a worker to the controller `owner`. */
void fk_redirect_send(FkController *c, FkRequestId request, const char *machine, const char *owner);
/* Whether the worker was sent to `owner` so lately that its return shows that it can't reach it. */
gboolean fk_redirect_is_recent(FkController *c, const char *machine, const char *owner);
/* Notes that a worker has come back from the shard's owner; acquires the shard when enough have. */
void fk_redirect_note_return(FkController *c, FkShard *shard, const char *machine);
void fk_redirects_expire(FkController *c);

/* ---- zone_reachability.c ---- */

/* Counts each zone's workers that were heard lately, and notes outages. */
void fk_zone_reachability_update(FkController *c);
/* The zone's counts, valid until the next new zone; all 0 before the first update. */
FkZoneReachability *fk_zone_reachability_find(FkController *c, const char *zone);
/* Seconds of silence after which the worker is asked itself. */
double fk_worker_probe_after_s(FkController *c, const FkMachine *machine);
FkTime fk_worker_silent_since(const FkMachine *machine);
/* Whether the worker is silent while others of its zone are heard. */
gboolean fk_worker_is_silent(FkController *c, const FkMachine *machine, const FkZoneReachability *zone);
/* Whether the worker is heard and doesn't hear this controller, while others of its zone do. */
gboolean fk_worker_is_partitioned(FkController *c, const FkMachine *machine, const FkZoneReachability *zone);

/* ---- heartbeats.c ---- */

/* Replies to a worker's heartbeat with an HTTP status; the reply's other members may be filled in. */
FkOutput *fk_heartbeat_reply_new(FkController *c, FkRequestId request, int status);
/* Handles the heartbeats that wait for a shard again. */
void fk_heartbeats_retry_held(FkController *c);
