/* The controller as a deterministic state machine without I/O. Its inputs are events, the time and the seed
 * of its random numbers, all passed as arguments. Its actions go to a queue of outputs, which the daemon or
 * the simulation drains after each input. All functions must be called from one thread. `now` is a time on
 * the monotonic clock and never decreases. */
#pragma once
#include "core/cpu_profile.h"
#include "core/messages.h"

/* ---- life cycle ---- */

/* Creates a controller. `settings` must outlive the controller. `incarnation` identifies this start of the
 * controller and must be unique. `seed` seeds the controller's random numbers. */
FkController *fk_controller_new(const FkSettings *settings, const char *incarnation, guint32 seed,
                                FkTime now);
void fk_controller_free(FkController *c); /* NULL is fine */
/* Removes and returns the next output, owned by the caller; NULL if there is none. */
FkOutput *fk_controller_next_output(FkController *c);
/* Returns whether the controller can serve users' requests; used for health checks. */
gboolean fk_controller_is_serving(FkController *c, FkTime now);
/* Returns the controller's view, for logs and checks; owned by the controller. */
FkView *fk_controller_view(FkController *c);
/* Returns the controller's CPU profile; owned by the controller. */
FkCpuProfile *fk_controller_cpu_profile(FkController *c);
/* Returns this controller's share of the store's request budget, from 0 to 1. */
double fk_controller_request_share(FkController *c);
/* Returns this controller's share of the store's write budget, from 0 to 1. */
double fk_controller_write_share(FkController *c);
/* Sets the number of writes that the rate limiter could send immediately. Must be called before each tick and
 * each reply of the store. */
void fk_controller_set_write_capacity(FkController *c, double writes);

/* ---- inputs: time ---- */

/* Runs the periodic work. Must be called several times a second. `wall_us`: the wall clock in us. */
void fk_controller_tick(FkController *c, FkTime now, gint64 wall_us);

/* ---- inputs: users ---- */

/* A user's submission, poll and cancellation. Each is answered by one FK_OUTPUT_USER_REPLY with the same
 * request id. */
void fk_controller_submission_received(FkController *c, FkTime now, FkRequestId request_id,
                                       FkSpec *spec /* ownership passes to the callee */);
void fk_controller_poll_received(FkController *c, FkTime now, FkRequestId request_id, const char *job_id);
void fk_controller_cancellation_received(FkController *c, FkTime now, FkRequestId request_id,
                                         const char *job_id);
/* The client has closed the connection of a user's request or a worker's heartbeat, so no reply is needed. */
void fk_controller_request_closed(FkController *c, FkRequestId request_id);

/* ---- inputs: workers ---- */

/* A worker's heartbeat. Answered, possibly after a delay, by one FK_OUTPUT_HEARTBEAT_REPLY with the same
 * request id, unless the request is closed first. */
void fk_controller_heartbeat_received(FkController *c, FkTime now, FkRequestId request_id,
                                      FkHeartbeat *heartbeat /* ownership passes to the callee */);
/* A worker's reply to FK_OUTPUT_COMMANDS. `heartbeat`: ownership passes to the callee; NULL if the reply
 * contains none. */
void fk_controller_command_reply_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                          FkHeartbeat *heartbeat);

/* ---- inputs: the store ---- */

/* One page of the reply to a list request, or the request's failure. `events`: FkStoreEvent; the callee takes
 * ownership of their records. `more`: further pages follow. `store_rev`: the store's revision at the time of
 * the reply. */
void fk_controller_list_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *events,
                                 gboolean more, FkRev store_rev);
/* The reply to a watch request, or the request's failure. `events`: FkStoreEvent; the callee takes ownership
 * of their records. `sent`: when the request was sent. */
void fk_controller_watch_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *events,
                                  FkRev store_rev, FkTime sent);
void fk_controller_lease_grant_received(FkController *c, FkTime now, FkOutcome outcome, FkRev lease,
                                        FkTime sent);
void fk_controller_lease_keepalive_received(FkController *c, FkTime now, FkOutcome outcome, FkTime sent);
/* The rate limiter has sent a transaction. The delay before a retry of the transaction starts now. */
void fk_controller_transaction_sent(FkController *c, FkTime now, guint64 call);
/* The reply to a transaction, or its failure. `store_rev`: the store's revision at the reply; `failed`: paths
 * (char*) of the guards that did not hold, or NULL. */
void fk_controller_commit_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                   FkRev store_rev, GPtrArray *failed);
/* The reply to a read, or the read's failure. `event`: ownership passes to the callee; NULL if nothing was
 * read. */
void fk_controller_get_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                FkStoreEvent *event);

/* ---- inputs: other controllers ---- */

/* Returns this controller's reply to the queries of other controllers: its incarnation, owned by the
 * controller. `seen`: the latest revision that the controller has seen; `applied`: the revision that its view
 * has reached, 0 if the view is not ready; `store_age_s`: seconds since the store last replied. */
const char *fk_controller_store_progress(FkController *c, FkTime now, FkRev *seen, FkRev *applied,
                                         double *store_age_s);
/* Another controller's reply to the query sent at `sent`. The values are those of
 * fk_controller_store_progress() on the other controller. */
void fk_controller_peer_progress_received(FkController *c, FkTime now, const char *peer,
                                          const char *incarnation, FkRev seen, FkRev applied,
                                          double store_age_s, FkTime sent);

/* ---- inputs: the cloud ---- */

/* The cloud's instance types. `types`: FkInstanceType; if `outcome` is FK_OUTCOME_OK, the
 * controller takes ownership of the elements and replaces them by NULL. */
void fk_controller_instance_types_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *types);
/* One page of the cloud's list of machines. `machines`: FkCloudMachine; `more`: further pages follow. */
void fk_controller_machines_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *machines,
                                     gboolean more);
/* The reply to FK_OUTPUT_PROVISION. `names`: char*, the machines that were provisioned. */
void fk_controller_provision_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                      GPtrArray *names);
void fk_controller_terminate_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome);
