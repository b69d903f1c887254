/* The core: takes inputs, and returns what to send, write and answer. It has no input or output of its own:
 * time and randomness come in as arguments, and everything to do goes into a queue that the shell drains. */
#pragma once
#include "core/cpu_profile.h"
#include "core/messages.h"

/* ---- life ---- */
FkController *fk_controller_new(const FkSettings *s, const char *life, guint32 seed, FkTime now);
void fk_controller_free(FkController *c);
FkOutput *fk_controller_next_output(FkController *c); /* NULL: nothing more to do */
gboolean fk_controller_is_serving(FkController *c, FkTime now);
FkView *fk_controller_view(FkController *c);
FkCpuProfile *fk_controller_cpu_profile(FkController *c);
/* This controller's part of the store's request and write budgets. */
double fk_controller_request_share(FkController *c);
double fk_controller_write_share(FkController *c);
/* The shell says how many writes would go out at once, before each tick and answer of the store. */
void fk_controller_set_write_capacity(FkController *c, double writes);

/* ---- inputs ---- */
void fk_controller_tick(FkController *c, FkTime now, gint64 wall_us);

void fk_controller_submission_received(FkController *c, FkTime now, FkRequestId r, FkSpec *spec /* taken */);
void fk_controller_poll_received(FkController *c, FkTime now, FkRequestId r, const char *id);
void fk_controller_cancellation_received(FkController *c, FkTime now, FkRequestId r, const char *id);
void fk_controller_heartbeat_received(FkController *c, FkTime now, FkRequestId r,
                                      FkHeartbeat *report /* taken */);
void fk_controller_request_closed(FkController *c, FkRequestId r);

void fk_controller_list_received(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, gboolean more,
                                 FkRev epoch);
void fk_controller_watch_received(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, FkRev epoch,
                                  FkTime sent);
void fk_controller_lease_grant_received(FkController *c, FkTime now, FkOutcome o, FkRev hold, FkTime sent);
void fk_controller_lease_keepalive_received(FkController *c, FkTime now, FkOutcome o, FkTime sent);
void fk_controller_commit_received(FkController *c, FkTime now, guint64 call, FkOutcome o, FkRev epoch,
                                   GPtrArray *failed);
/* A transaction went out: its answer is waited for from now on, not from when it joined the budget's queue.
 */
void fk_controller_transaction_sent(FkController *c, FkTime now, guint64 call);
void fk_controller_get_received(FkController *c, FkTime now, guint64 call, FkOutcome o, FkStoreEvent *e);
void fk_controller_command_reply_received(FkController *c, FkTime now, guint64 call, FkOutcome o,
                                          FkHeartbeat *report /* taken */);
/* What this controller has seen of the store: its life, and the latest revision that it knows to be
 * committed. */
/* `store_age_s`: how long ago the store last answered it. */
/* `applied`: the revision that its view has reached; 0: it has no view. */
const char *fk_controller_store_progress(FkController *c, FkTime now, FkRev *seen, FkRev *applied,
                                         double *store_age_s);
void fk_controller_peer_progress_received(FkController *c, FkTime now, const char *peer, const char *life,
                                          FkRev seen, FkRev applied, double store_age_s, FkTime sent);
void fk_controller_instance_types_received(FkController *c, FkTime now, FkOutcome o, GPtrArray *types);
void fk_controller_machines_received(FkController *c, FkTime now, FkOutcome o, GPtrArray *listed,
                                     gboolean more);
void fk_controller_provision_received(FkController *c, FkTime now, guint64 call, FkOutcome o,
                                      GPtrArray *names);
void fk_controller_terminate_received(FkController *c, FkTime now, guint64 call, FkOutcome o);
