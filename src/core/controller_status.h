/* State of the controller as a whole that several components use: whether it is ready, how many controllers
 * are live, and this controller's share of the store's write budget. */
#pragma once
#include "core/messages.h"

/* Appends a new output to the controller's queue of outputs and returns the output, which the queue owns. */
FkOutput *fk_output_new(FkController *c, FkOutputKind kind);
/* Returns whether the view is complete and follows the store's changes. */
gboolean fk_controller_is_ready(FkController *c);
/* Returns the number of live controllers in the view, this one included; while the view is not ready, the
 * number of controllers in the settings. */
guint fk_controller_live_count(FkController *c);
/* Returns this controller's share of the store's write budget, from 0 to 1. All controllers compute the
 * shares from their views; the shares add up to 1 if the views agree. */
double fk_store_write_share(FkController *c);
/* Returns whether the controller can serve users' requests: its view is ready, the instance types are known,
 * and the controller does not count as partitioned. */
gboolean fk_controller_can_serve(FkController *c, FkTime now);
/* Returns whether the controller named `node` has its node key in the view; FALSE if `node` is NULL. */
gboolean fk_node_is_alive(FkController *c, const char *node);
/* Returns whether the job's tasks are placed by the long path: services, gangs, and arrays whose estimate is
 * not below the cutoff. */
gboolean fk_spec_is_long(FkController *c, const FkSpec *spec);
/* Returns whether enough service tasks wait that launching services takes precedence in the store's write
 * budget. */
gboolean fk_services_have_priority(FkController *c);
