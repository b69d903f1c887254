/* Up to which time the view is known to be current, from the store's replies and from the other controllers'.
 */
#pragma once
#include "core/messages.h"

/* The other controllers are queried when no reply of the store has confirmed the view for this long. */
#define FK_PEER_QUERY_AFTER_S 2.5

/* Queries the other controllers while the view is not confirmed, or while cancellations wait until all
 * controllers have applied them. `needed`: the latest revision that they must have applied; 0 if there is
 * none. */
void fk_read_freshness_tick(FkController *c, FkRev needed);
/* Handles another controller's reply to the query sent at `sent`. `incarnation`: of the replying controller;
 * `seen`: the latest revision that it has seen; `store_age_s`: seconds between the store's last reply to that
 * controller and its reply here. */
void fk_read_freshness_peer_received(FkController *c, const char *peer, const char *incarnation, FkRev seen,
                                     double store_age_s, FkTime sent);
/* Returns the latest time for which the view is known to include every decision that any controller had made.
 */
FkTime fk_read_freshness_confirmed_at(FkController *c);
