/* Freshness of the view: the latest time for which replies of the store or of the other controllers prove
 * that the view was current. */
#pragma once
#include "core/messages.h"

/* The other controllers are queried when no reply of the store has confirmed the view for this long. */
#define FK_PEER_QUERY_AFTER_S 2.5

/* Sends the queries to the other controllers that are due. Queries are sent while the store does not confirm
 * the view, and while cancellations wait until all controllers have applied them. `needed`: the revision that
 * the other controllers must have applied; 0 if there is none. */
void fk_read_freshness_tick(FkController *c, FkRev needed);
/* Handles another controller's reply to the query sent at `sent`. `incarnation`: incarnation of the replying
 * controller; `seen`: latest revision that the replying controller has seen; `store_age_s`: age in seconds of
 * the store's last reply to the replying controller. */
void fk_read_freshness_peer_received(FkController *c, const char *peer, const char *incarnation, FkRev seen,
                                     double store_age_s, FkTime sent);
/* Returns the latest time for which the view is known to include every decision that any controller had made
 * by then. */
FkTime fk_read_freshness_confirmed_at(FkController *c);
