/* How fresh the view is for certain, and what the other controllers know. */
#pragma once
#include "core/messages.h"

#define FK_PEER_QUERY_AFTER_S 2.5 /* without an answer of the store, the other controllers are asked */

/* Queries the other controllers while the view is not confirmed, or a cancellation waits for them. `needed`:
 * the revision that they must have applied for it; 0: none. */
void fk_read_freshness_tick(FkController *c, FkRev needed);
/* Another controller's answer to a query that was sent at `sent`: its incarnation, the latest revision that
 * it has seen, and how long ago the store last answered it. */
void fk_read_freshness_peer_received(FkController *c, const char *peer, const char *incarnation, FkRev seen,
                                     double store_age_s, FkTime sent);
/* The latest moment up to which every decision of any controller is in the view for certain. */
FkTime fk_read_freshness_confirmed_at(FkController *c);
