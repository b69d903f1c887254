/* What every part of the core asks of the controller as a whole: whether it is ready, how many controllers
 * there are, and how the request budget of the store is shared. */
#pragma once
#include "core/messages.h"

/* A new output at the end of the queue that the daemon drains; the queue owns it. */
FkOutput *fk_output_new(FkController *c, FkOutputKind kind);
/* The view is complete and follows the store. */
gboolean fk_controller_is_ready(FkController *c);
/* Controllers that the view shows as alive, this one included; all of the settings' while there is no view.
 */
guint fk_controller_live_count(FkController *c);
/* This controller's share of the store's write budget, from 0 to 1: all controllers compute the shares from
 * the same view, so that they add up to 1. */
double fk_store_write_share(FkController *c);
/* It can take users' requests: it is ready and not cut off from the store, or from all other controllers. */
gboolean fk_controller_can_serve(FkController *c, FkTime now);
/* The controller of that name has its node key; NULL: FALSE. */
gboolean fk_node_is_alive(FkController *c, const char *node);
/* The job's tasks are placed by the long path: services, gangs, and estimates above the cutoff. */
gboolean fk_spec_is_long(FkController *c, const FkSpec *s);
/* So many services wait that the store's writes go to them first. */
gboolean fk_services_have_priority(FkController *c);
