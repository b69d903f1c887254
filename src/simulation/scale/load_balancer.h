/* The load balancer in front of a region's controllers (PROTOCOL, "Users -> controller nodes"): it takes the
 * results of health probes and picks a node for each connection. It does no I/O; times are microseconds of
 * the caller's clock. */
#pragma once
#include <glib.h>

typedef struct FkLoadBalancer FkLoadBalancer;

/* No node is healthy at first. */
FkLoadBalancer *fk_load_balancer_new(guint nodes);
void fk_load_balancer_free(FkLoadBalancer *balancer);
/* `success`: the node answered GET /up with 200. */
void fk_load_balancer_record_probe(FkLoadBalancer *balancer, guint node, gboolean success, gint64 now);
/* The healthy node with the fewest open connections, for a new connection that counts as open from here on;
 * -1 when none is healthy. */
int fk_load_balancer_pick(FkLoadBalancer *balancer, gint64 now);
/* A connection to the node is closed; `refused`: it could not be opened. */
void fk_load_balancer_connection_closed(FkLoadBalancer *balancer, guint node, gboolean refused, gint64 now);
guint fk_load_balancer_healthy_count(const FkLoadBalancer *balancer);
