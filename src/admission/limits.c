#include "admission/limits.h"

#define MICROSECONDS_PER_S 1e6
#define KIB 1024
#define RESERVED_SOCKETS 8 /* listeners, the poll set, a log */
/* What a connection costs while nothing is asked on it (measured, docs/operators/limits.md), and the part of
 * the memory that outsiders' connections may take. */
#define CONNECTION_BYTES (10 * KIB)
#define CONNECTIONS_PART 0.25
#define BUFFERED_PART 0.125
/* Workers' connections: so many where the sockets allow it, and more where the memory does. A fleet may have
 * a single controller to report to for a while, and who is closed for another has to connect anew. */
#define WORKERS_LEAST 4000
#define WORKERS_PART 0.5
#define REQUEST_BYTES (16 * KIB) /* a request under way: its message, its body, what the core keeps */

static guint share_of(double of, double share, guint least, guint most) {
  return (guint)CLAMP(of * share, least, most);
}

static gint64 timeout_us(double wish, double fallback_s) {
  return (gint64)((wish > 0 ? wish : fallback_s) * MICROSECONDS_PER_S);
}

FkAdmissionLimits fk_admission_limits_derive(const FkAdmissionResources *m, const FkAdmissionOptions *w) {
  FkAdmissionLimits l = {0};
  double ram = m->ram_mb * KIB * KIB;
  l.store_connections = share_of(m->sockets, 0.1, 2, 32);
  l.cloud_connections = share_of(m->sockets, 0.02, 1, 4);
  l.peer_connections = MAX(1, 2 * m->peers);
  l.worker_connections = share_of(m->sockets, 0.2, 2, 400);
  l.connections[FK_CONNECTION_CLASS_PEER] = 4 * m->peers + 4;
  double inwards = m->sockets - RESERVED_SOCKETS - l.store_connections - l.cloud_connections -
                   l.peer_connections - l.worker_connections - l.connections[FK_CONNECTION_CLASS_PEER];
  l.connections[FK_CONNECTION_CLASS_HEALTH_CHECK] = share_of(inwards, 0.02, 2, 32);
  guint workers = (guint)MAX(WORKERS_LEAST, WORKERS_PART * ram / CONNECTION_BYTES);
  l.connections[FK_CONNECTION_CLASS_WORKER] = share_of(inwards, 0.4, 2, workers);
  l.lingering = share_of(inwards, 0.05, 2, 128);
  double outsiders = inwards - l.connections[FK_CONNECTION_CLASS_HEALTH_CHECK] -
                     l.connections[FK_CONNECTION_CLASS_WORKER] - l.lingering;
  double affordable = CONNECTIONS_PART * ram / CONNECTION_BYTES;
  l.connections[FK_CONNECTION_CLASS_CLIENT] = (guint)MAX(2, MIN(outsiders, affordable));
  if (w->connections > 0)
    l.connections[FK_CONNECTION_CLASS_CLIENT] = (guint)CLAMP(w->connections, 2, MAX(2, outsiders));
  l.backlog = l.connections[FK_CONNECTION_CLASS_CLIENT] + l.connections[FK_CONNECTION_CLASS_WORKER] +
              l.connections[FK_CONNECTION_CLASS_HEALTH_CHECK];
  l.buffered_bytes = (gsize)(w->memory_mb > 0 ? w->memory_mb * KIB * KIB : BUFFERED_PART * ram);
  l.requests = share_of((double)l.buffered_bytes, 1.0 / REQUEST_BYTES, 16, 8192);
  l.head_bytes = 16 * KIB;
  l.body_bytes = 64 * KIB; /* the protocol's */
  /* chunks of a byte each take six: what is within the body's limit may still be out of all proportion */
  l.wire_bytes = l.head_bytes + 2 * l.body_bytes;
  l.response_bytes = 2 * KIB * KIB;
  l.store_response_bytes = (gsize)MAX(4.0 * KIB * KIB, 0.15 * ram);
  l.first_byte_us = timeout_us(w->head_s, 10);
  l.head_us = timeout_us(w->head_s, 10);
  l.body_us = timeout_us(w->body_s, 10);
  l.idle_us = timeout_us(w->idle_s, 120);
  l.send_us = timeout_us(w->send_s, 10);
  l.linger_us = (gint64)(1 * MICROSECONDS_PER_S);
  return l;
}
