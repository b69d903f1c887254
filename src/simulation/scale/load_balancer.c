#include "simulation/scale/load_balancer.h"

#define BAD_IN_A_ROW 2
#define BAD_OF_SIX 3
#define GOOD_IN_A_ROW 2
#define PAUSE_S 3.0
#define PAUSE_MOST_S 60.0
#define PAUSE_FORGOTTEN_S 120.0
#define REFUSALS 3 /* in a row: skipped ... */
#define SKIP_S 3.0 /* ... for so long */

typedef struct {
  gboolean healthy, ever;
  guint good, bad; /* in a row */
  guint8 last_six; /* a bit a probe: bad */
  guint open;
  guint refusals;
  gint64 skip_until, removed, not_before;
  double pause_s;
} Node;

struct FkLoadBalancer {
  Node *nodes;
  guint n;
};

FkLoadBalancer *fk_load_balancer_new(guint nodes) {
  FkLoadBalancer *b = g_new0(FkLoadBalancer, 1);
  b->nodes = g_new0(Node, nodes);
  b->n = nodes;
  return b;
}

void fk_load_balancer_free(FkLoadBalancer *b) {
  g_free(b->nodes);
  g_free(b);
}

static guint bits(guint8 x) {
  guint n = 0;
  for (; x; x &= (guint8)(x - 1))
    n++;
  return n;
}

static void remove_node(Node *n, gint64 now) {
  gboolean again = n->removed && (double)(now - n->removed) / 1e6 < PAUSE_FORGOTTEN_S;
  n->pause_s = again ? MIN(PAUSE_MOST_S, 2 * n->pause_s) : PAUSE_S;
  n->healthy = FALSE;
  n->removed = now;
  n->not_before = now + (gint64)(n->pause_s * 1e6);
}

void fk_load_balancer_record_probe(FkLoadBalancer *b, guint node, gboolean good, gint64 now) {
  Node *n = &b->nodes[node];
  n->last_six = (guint8)(((n->last_six << 1) | !good) & 0x3f);
  n->good = good ? n->good + 1 : 0;
  n->bad = good ? 0 : n->bad + 1;
  if (n->healthy && (n->bad >= BAD_IN_A_ROW || bits(n->last_six) >= BAD_OF_SIX))
    remove_node(n, now);
  else if (!n->healthy && good && (!n->ever || (n->good >= GOOD_IN_A_ROW && now >= n->not_before)))
    n->healthy = n->ever = TRUE;
}

int fk_load_balancer_pick(FkLoadBalancer *b, gint64 now) {
  int best = -1;
  for (guint i = 0; i < b->n; i++) {
    const Node *n = &b->nodes[i];
    if (n->healthy && now >= n->skip_until && (best < 0 || n->open < b->nodes[best].open))
      best = (int)i;
  }
  if (best >= 0)
    b->nodes[best].open++;
  return best;
}

void fk_load_balancer_connection_closed(FkLoadBalancer *b, guint node, gboolean refused, gint64 now) {
  Node *n = &b->nodes[node];
  n->open--;
  n->refusals = refused ? n->refusals + 1 : 0;
  if (n->refusals < REFUSALS)
    return;
  n->refusals = 0;
  n->skip_until = now + (gint64)(SKIP_S * 1e6);
}

guint fk_load_balancer_healthy_count(const FkLoadBalancer *b) {
  guint n = 0;
  for (guint i = 0; i < b->n; i++)
    n += b->nodes[i].healthy;
  return n;
}
