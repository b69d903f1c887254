/* The load balancer in front of a region's controllers (PROTOCOL, "Users -> controller nodes"): it probes
 * them, and chooses one for each connection. Pure; times are microseconds of the owner's clock. */
#pragma once
#include <glib.h>

typedef struct FkBalancer FkBalancer;

FkBalancer *fk_balancer_new(guint nodes);
void fk_balancer_free(FkBalancer *b);
/* A probe of /up was answered with 200, or it wasn't. */
void fk_balancer_probed(FkBalancer *b, guint node, gboolean good, gint64 now);
/* The node for a new connection, which counts as open from here on; -1: none is healthy. */
int fk_balancer_pick(FkBalancer *b, gint64 now);
/* A connection to the node is over; `refused`: it never came to be. */
void fk_balancer_closed(FkBalancer *b, guint node, gboolean refused, gint64 now);
guint fk_balancer_healthy(const FkBalancer *b);
