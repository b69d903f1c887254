/* The load balancer in front of a region's controllers (PROTOCOL, "Users -> controller nodes"): it probes
 * them, and chooses one for each connection. Pure; times are microseconds of the owner's clock. */
#pragma once
#include <glib.h>

typedef struct FkLoadBalancer FkLoadBalancer;

FkLoadBalancer *fk_load_balancer_new(guint nodes);
void fk_load_balancer_free(FkLoadBalancer *b);
/* A probe of /up was answered with 200, or it wasn't. */
void fk_load_balancer_record_probe(FkLoadBalancer *b, guint node, gboolean good, gint64 now);
/* The node for a new connection, which counts as open from here on; -1: none is healthy. */
int fk_load_balancer_pick(FkLoadBalancer *b, gint64 now);
/* A connection to the node is over; `refused`: it never came to be. */
void fk_load_balancer_connection_closed(FkLoadBalancer *b, guint node, gboolean refused, gint64 now);
guint fk_load_balancer_healthy_count(const FkLoadBalancer *b);
