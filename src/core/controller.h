/* The controller's state machine. It does no input or output of its own: inputs, time and randomness come in
 * as arguments, and all that is to be done goes into a queue of outputs that the daemon, or the simulation,
 * drains after each input. Every function is called from one thread. `now` is the steady clock's and never
 * goes back. */
#pragma once
#include "core/cpu_profile.h"
#include "core/messages.h"

/* ---- life cycle ---- */

/* `settings` must outlive the controller. `incarnation` names this start, and must differ from all others;
 * `seed` is that of all random numbers. */
FkController *fk_controller_new(const FkSettings *settings, const char *incarnation, guint32 seed,
                                FkTime now);
void fk_controller_free(FkController *c); /* NULL is fine */
/* The next output, owned by the caller; NULL: nothing more to do. */
FkOutput *fk_controller_next_output(FkController *c);
/* It can take users' requests: the answer to a readiness check. */
gboolean fk_controller_is_serving(FkController *c, FkTime now);
/* Borrowed, for logs and checks. */
FkView *fk_controller_view(FkController *c);
FkCpuProfile *fk_controller_cpu_profile(FkController *c);
/* This controller's share of the store's request and write budgets, from 0 to 1. */
double fk_controller_request_share(FkController *c);
double fk_controller_write_share(FkController *c);
/* How many writes the budget would let out at once; told before each tick and each answer of the store. */
void fk_controller_set_write_capacity(FkController *c, double writes);

/* ---- inputs: time ---- */

/* Several times a second. `wall_us`: the time of day. */
void fk_controller_tick(FkController *c, FkTime now, gint64 wall_us);

/* ---- inputs: users ---- */

/* Each gets one FK_OUTPUT_USER_REPLY with the same request id. */
void fk_controller_submission_received(FkController *c, FkTime now, FkRequestId request_id,
                                       FkSpec *spec /* taken */);
void fk_controller_poll_received(FkController *c, FkTime now, FkRequestId request_id, const char *job_id);
void fk_controller_cancellation_received(FkController *c, FkTime now, FkRequestId request_id,
                                         const char *job_id);
/* The client has closed its connection: nobody waits for the reply. */
void fk_controller_request_closed(FkController *c, FkRequestId request_id);

/* ---- inputs: workers ---- */

/* Gets one FK_OUTPUT_HEARTBEAT_REPLY with the same request id. */
void fk_controller_heartbeat_received(FkController *c, FkTime now, FkRequestId request_id,
                                      FkHeartbeat *heartbeat /* taken */);
/* A worker's reply to direct commands. `heartbeat`: taken; NULL: the reply had none. */
void fk_controller_command_reply_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                          FkHeartbeat *heartbeat);

/* ---- inputs: the store ---- */

/* One page of a list. `events`: FkStoreEvent, whose records are taken; `more`: other pages follow; `epoch`:
 * the store's revision at the answer. */
void fk_controller_list_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *events,
                                 gboolean more, FkRev epoch);
/* `sent`: when the watch was. */
void fk_controller_watch_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *events,
                                  FkRev epoch, FkTime sent);
void fk_controller_lease_grant_received(FkController *c, FkTime now, FkOutcome outcome, FkRev lease,
                                        FkTime sent);
void fk_controller_lease_keepalive_received(FkController *c, FkTime now, FkOutcome outcome, FkTime sent);
/* A transaction has left the budget's queue: its answer is waited for from now on. */
void fk_controller_transaction_sent(FkController *c, FkTime now, guint64 call);
/* `failed`: the paths (char*) of the guards that did not hold, or NULL. */
void fk_controller_commit_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome, FkRev epoch,
                                   GPtrArray *failed);
/* `event`: taken; NULL: nothing was read. */
void fk_controller_get_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                FkStoreEvent *event);

/* ---- inputs: other controllers ---- */

/* What this controller tells others: its incarnation (borrowed), the latest revision that it knows to be
 * committed, the one that its view has reached (0: it has no view), and how long ago the store last answered.
 */
const char *fk_controller_store_progress(FkController *c, FkTime now, FkRev *seen, FkRev *applied,
                                         double *store_age_s);
/* The same from another controller, which was asked at `sent`. */
void fk_controller_peer_progress_received(FkController *c, FkTime now, const char *peer,
                                          const char *incarnation, FkRev seen, FkRev applied,
                                          double store_age_s, FkTime sent);

/* ---- inputs: the cloud ---- */

/* `types`: FkInstanceType; those taken are replaced by NULL. */
void fk_controller_instance_types_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *types);
/* `machines`: FkCloudMachine; `more`: other pages follow. */
void fk_controller_machines_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *machines,
                                     gboolean more);
/* `names`: char*, of the machines that were provisioned. */
void fk_controller_provision_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                      GPtrArray *names);
void fk_controller_terminate_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome);
