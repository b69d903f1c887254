#include "admission/limits.h"

#define MICROSECONDS_PER_S 1e6
#define KIB 1024
#define MIB (1024 * KIB)

#define RESERVED_SOCKETS 8 /* reserved for the listeners, the epoll set, and the log */
/* Memory of a connection without a request (docs/operators/limits.md). */
#define CONNECTION_BYTES (10 * KIB)
/* Fraction of the memory for client connections, unless operators set their number. */
#define CLIENT_CONNECTIONS_RAM_FRACTION 0.25
/* Fraction of the memory for buffered requests and responses, unless operators set it. */
#define BUFFERED_RAM_FRACTION 0.125

/* Maximum number of worker connections that the memory allows: as many as fit into
 * WORKER_CONNECTIONS_RAM_FRACTION of it, but at least WORKER_CONNECTIONS_MAX_FLOOR. The number of sockets may
 * set a lower limit. The floor is high because all workers of a fleet may report to a single controller for
 * a while, and an evicted worker has to reconnect. */
#define WORKER_CONNECTIONS_MAX_FLOOR 4000
#define WORKER_CONNECTIONS_RAM_FRACTION 0.5
/* memory of a request in progress: its message object, its body, and its state in the handler */
#define REQUEST_BYTES (16 * KIB)
#define STORE_RESPONSE_RAM_FRACTION 0.15

#define DEFAULT_HEAD_S 10
#define DEFAULT_BODY_S 10
#define DEFAULT_IDLE_S 120
#define DEFAULT_SEND_S 10
#define LINGER_S 1

/* Returns a fraction of `total`, clamped to `min` and `max`. */
static guint clamped_fraction(double total, double part, guint min, guint max) {
  return (guint)CLAMP(total * part, min, max);
}

static gint64 timeout_us(double option_s, double default_s) {
  return (gint64)((option_s > 0 ? option_s : default_s) * MICROSECONDS_PER_S);
}

static void set_outbound(FkAdmissionLimits *limits, const FkAdmissionResources *resources) {
  limits->store_connections = clamped_fraction(resources->sockets, 0.1, 2, 32);
  limits->cloud_connections = clamped_fraction(resources->sockets, 0.02, 1, 4);
  limits->peer_connections = MAX(1, 2 * resources->peers);
  limits->worker_connections = clamped_fraction(resources->sockets, 0.2, 2, 400);
}

/* Divides the sockets that are not reserved or outbound among the classes of inbound connections. */
static void set_inbound(FkAdmissionLimits *limits, const FkAdmissionResources *resources,
                        const FkAdmissionOptions *options) {
  guint *connections = limits->connections;
  double ram_bytes = resources->ram_mb * MIB;
  connections[FK_CONNECTION_CLASS_PEER] = 4 * resources->peers + 4;
  double sockets = resources->sockets - RESERVED_SOCKETS - limits->store_connections -
                   limits->cloud_connections - limits->peer_connections - limits->worker_connections -
                   connections[FK_CONNECTION_CLASS_PEER];
  connections[FK_CONNECTION_CLASS_HEALTH_CHECK] = clamped_fraction(sockets, 0.02, 2, 32);
  guint workers_max = (guint)MAX(WORKER_CONNECTIONS_MAX_FLOOR,
                                 WORKER_CONNECTIONS_RAM_FRACTION * ram_bytes / CONNECTION_BYTES);
  connections[FK_CONNECTION_CLASS_WORKER] = clamped_fraction(sockets, 0.4, 2, workers_max);
  limits->lingering = clamped_fraction(sockets, 0.05, 2, 128);
  double clients = sockets - connections[FK_CONNECTION_CLASS_HEALTH_CHECK] -
                   connections[FK_CONNECTION_CLASS_WORKER] - limits->lingering;
  double affordable = CLIENT_CONNECTIONS_RAM_FRACTION * ram_bytes / CONNECTION_BYTES;
  connections[FK_CONNECTION_CLASS_CLIENT] = options->connections > 0
                                                ? (guint)CLAMP(options->connections, 2, MAX(2, clients))
                                                : (guint)MAX(2, MIN(clients, affordable));
  limits->backlog = connections[FK_CONNECTION_CLASS_CLIENT] + connections[FK_CONNECTION_CLASS_WORKER] +
                    connections[FK_CONNECTION_CLASS_HEALTH_CHECK];
}

static void set_sizes(FkAdmissionLimits *limits, const FkAdmissionResources *resources,
                      const FkAdmissionOptions *options) {
  double ram_bytes = resources->ram_mb * MIB;
  limits->buffered_bytes =
      (gsize)(options->memory_mb > 0 ? options->memory_mb * MIB : BUFFERED_RAM_FRACTION * ram_bytes);
  limits->requests = clamped_fraction((double)limits->buffered_bytes, 1.0 / REQUEST_BYTES, 16, 8192);
  limits->head_bytes = 16 * KIB;
  limits->body_bytes = 64 * KIB; /* the protocol's limit for the body of a request */
  /* The head and the body as received. A chunk with one byte of data takes six bytes on the wire, so chunked
   * encoding can make a body six times as long. A request that exceeds this sum is rejected. */
  limits->wire_bytes = limits->head_bytes + 2 * limits->body_bytes;
  limits->response_bytes = 2 * MIB;
  limits->store_response_bytes = (gsize)MAX(4.0 * MIB, STORE_RESPONSE_RAM_FRACTION * ram_bytes);
}

static void set_timeouts(FkAdmissionLimits *limits, const FkAdmissionOptions *options) {
  limits->first_byte_us = timeout_us(options->head_s, DEFAULT_HEAD_S);
  limits->head_us = timeout_us(options->head_s, DEFAULT_HEAD_S);
  limits->body_us = timeout_us(options->body_s, DEFAULT_BODY_S);
  limits->idle_us = timeout_us(options->idle_s, DEFAULT_IDLE_S);
  limits->send_us = timeout_us(options->send_s, DEFAULT_SEND_S);
  limits->linger_us = (gint64)(LINGER_S * MICROSECONDS_PER_S);
}

FkAdmissionLimits fk_admission_limits_derive(const FkAdmissionResources *resources,
                                             const FkAdmissionOptions *options) {
  FkAdmissionLimits limits = {0};
  set_outbound(&limits, resources);
  set_inbound(&limits, resources, options);
  set_sizes(&limits, resources, options);
  set_timeouts(&limits, options);
  return limits;
}
