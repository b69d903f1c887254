#include "simulation/scale/load_balancer.h"

#define CONSECUTIVE_FAILURES_MAX 2 /* as many failed probes in a row remove a node */
#define WINDOW_FAILURES_MAX 3      /* or as many among the latest six */
#define WINDOW_MASK 0x3f           /* six probes */
#define CONSECUTIVE_SUCCESSES_MIN 2
#define PAUSE_S_MIN 3.0 /* a removed node is out for as long at least, doubled with each removal */
#define PAUSE_S_MAX 60.0
#define PAUSE_RESET_S 120.0 /* a removal so long after the previous one starts again at the minimum */
#define REFUSALS_MAX 3      /* as many refused connections in a row: the node is skipped */
#define SKIP_S 3.0

typedef struct {
  gboolean healthy, was_healthy;
  guint consecutive_successes, consecutive_failures;
  guint8 failure_window; /* a bit per probe, the latest lowest: it failed */
  guint open_connections;
  guint consecutive_refusals;
  gint64 skipped_until_us;
  gint64 removed_us;    /* 0: never */
  gint64 not_before_us; /* of the next return */
  double pause_s;
} Node;

struct FkLoadBalancer {
  Node *nodes;
  guint count;
};

FkLoadBalancer *fk_load_balancer_new(guint nodes) {
  FkLoadBalancer *balancer = g_new0(FkLoadBalancer, 1);
  balancer->nodes = g_new0(Node, nodes);
  balancer->count = nodes;
  return balancer;
}

void fk_load_balancer_free(FkLoadBalancer *balancer) {
  g_free(balancer->nodes);
  g_free(balancer);
}

static guint count_bits(guint8 bits) {
  guint count = 0;
  for (; bits; bits &= (guint8)(bits - 1))
    count++;
  return count;
}

static void remove_node(Node *node, gint64 now) {
  gboolean recently = node->removed_us && (double)(now - node->removed_us) / 1e6 < PAUSE_RESET_S;
  node->pause_s = recently ? MIN(PAUSE_S_MAX, 2 * node->pause_s) : PAUSE_S_MIN;
  node->healthy = FALSE;
  node->removed_us = now;
  node->not_before_us = now + (gint64)(node->pause_s * 1e6);
}

static gboolean must_be_removed(const Node *node) {
  return node->consecutive_failures >= CONSECUTIVE_FAILURES_MAX ||
         count_bits(node->failure_window) >= WINDOW_FAILURES_MAX;
}

/* The first success is enough for a node that was never healthy. */
static gboolean may_return(const Node *node, gint64 now) {
  return !node->was_healthy ||
         (node->consecutive_successes >= CONSECUTIVE_SUCCESSES_MIN && now >= node->not_before_us);
}

void fk_load_balancer_record_probe(FkLoadBalancer *balancer, guint number, gboolean success, gint64 now) {
  Node *node = &balancer->nodes[number];
  node->failure_window = (guint8)(((node->failure_window << 1) | !success) & WINDOW_MASK);
  node->consecutive_successes = success ? node->consecutive_successes + 1 : 0;
  node->consecutive_failures = success ? 0 : node->consecutive_failures + 1;
  if (node->healthy && must_be_removed(node))
    remove_node(node, now);
  else if (!node->healthy && success && may_return(node, now))
    node->healthy = node->was_healthy = TRUE;
}

int fk_load_balancer_pick(FkLoadBalancer *balancer, gint64 now) {
  int best = -1;
  for (guint i = 0; i < balancer->count; i++) {
    const Node *node = &balancer->nodes[i];
    gboolean available = node->healthy && now >= node->skipped_until_us;
    if (available && (best < 0 || node->open_connections < balancer->nodes[best].open_connections))
      best = (int)i;
  }
  if (best >= 0)
    balancer->nodes[best].open_connections++;
  return best;
}

void fk_load_balancer_connection_closed(FkLoadBalancer *balancer, guint number, gboolean refused,
                                        gint64 now) {
  Node *node = &balancer->nodes[number];
  node->open_connections--;
  node->consecutive_refusals = refused ? node->consecutive_refusals + 1 : 0;
  if (node->consecutive_refusals < REFUSALS_MAX)
    return;
  node->consecutive_refusals = 0;
  node->skipped_until_us = now + (gint64)(SKIP_S * 1e6);
}

guint fk_load_balancer_healthy_count(const FkLoadBalancer *balancer) {
  guint count = 0;
  for (guint i = 0; i < balancer->count; i++)
    count += balancer->nodes[i].healthy;
  return count;
}
