#include "admission/limits.h"

#define US 1e6
#define KIB 1024
#define OWN_SOCKETS 8 /* listeners, the poll set, a log */
/* What a connection costs while nothing is asked on it (measured, docs/operators/limits.md), and the part of
 * the memory that outsiders' connections may take. */
#define CONNECTION_BYTES (10 * KIB)
#define CONNECTIONS_PART 0.25
#define HELD_PART 0.125
/* Workers' connections: so many where the sockets allow it, and more where the memory does. A fleet may have
 * a single controller to report to for a while, and who is closed for another has to connect anew. */
#define WORKERS_LEAST 4000
#define WORKERS_PART 0.5
#define REQUEST_BYTES (16 * KIB) /* a request under way: its message, its body, what the core keeps */

static guint part(double of, double share, guint least, guint most) {
  return (guint)CLAMP(of * share, least, most);
}

static gint64 us(double wish, double fallback_s) { return (gint64)((wish > 0 ? wish : fallback_s) * US); }

FkDoorLimits fk_door_limits(const FkDoorMeans *m, const FkDoorWishes *w) {
  FkDoorLimits l = {0};
  double ram = m->ram_mb * KIB * KIB;
  l.store_calls = part(m->sockets, 0.1, 2, 32);
  l.cloud_calls = part(m->sockets, 0.02, 1, 4);
  l.peer_calls = MAX(1, 2 * m->peers);
  l.worker_calls = part(m->sockets, 0.2, 2, 400);
  l.guests[FK_GUEST_PEER] = 4 * m->peers + 4;
  double inwards = m->sockets - OWN_SOCKETS - l.store_calls - l.cloud_calls - l.peer_calls - l.worker_calls -
                   l.guests[FK_GUEST_PEER];
  l.guests[FK_GUEST_CHECKER] = part(inwards, 0.02, 2, 32);
  guint workers = (guint)MAX(WORKERS_LEAST, WORKERS_PART * ram / CONNECTION_BYTES);
  l.guests[FK_GUEST_REPORTER] = part(inwards, 0.4, 2, workers);
  l.endings = part(inwards, 0.05, 2, 128);
  double outsiders = inwards - l.guests[FK_GUEST_CHECKER] - l.guests[FK_GUEST_REPORTER] - l.endings;
  double affordable = CONNECTIONS_PART * ram / CONNECTION_BYTES;
  l.guests[FK_GUEST_OUTSIDER] = (guint)MAX(2, MIN(outsiders, affordable));
  if (w->connections > 0)
    l.guests[FK_GUEST_OUTSIDER] = (guint)CLAMP(w->connections, 2, MAX(2, outsiders));
  l.backlog = l.guests[FK_GUEST_OUTSIDER] + l.guests[FK_GUEST_REPORTER] + l.guests[FK_GUEST_CHECKER];
  l.held = (gsize)(w->memory_mb > 0 ? w->memory_mb * KIB * KIB : HELD_PART * ram);
  l.requests = part((double)l.held, 1.0 / REQUEST_BYTES, 16, 8192);
  l.head = 16 * KIB;
  l.body = 64 * KIB; /* the protocol's */
  /* chunks of a byte each take six: what is within the body's limit may still be out of all proportion */
  l.raw = l.head + 2 * l.body;
  l.answer = 2 * KIB * KIB;
  l.store_answer = (gsize)MAX(4.0 * KIB * KIB, 0.15 * ram);
  l.fresh_us = us(w->head_s, 10);
  l.head_us = us(w->head_s, 10);
  l.body_us = us(w->body_s, 10);
  l.idle_us = us(w->idle_s, 120);
  l.send_us = us(w->send_s, 10);
  l.linger_us = (gint64)(1 * US);
  return l;
}
