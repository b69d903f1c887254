/* The session with the store: its lease, the list that a start reads, and the watch that moves the view. */
#pragma once
#include "core/messages.h"

/* Sends what is due: the list, the lease's keepalive, the controller's node key. */
void fk_store_session_tick(FkController *c);
/* A watch was answered, or failed: its events are applied to the view, and the next watch is sent. `sent`:
 * when it was. */
void fk_store_session_watch_received(FkController *c, FkOutcome outcome, GPtrArray *events, FkRev epoch,
                                     FkTime sent);
/* A call has ended: whether the store has answered at all. */
void fk_store_session_note_outcome(FkController *c, FkOutcome outcome);
