/* The limits of admission control: connections by class, the time that each stage of a request may take,
 * bytes that may be buffered. What the operators don't set is derived from the controller's resources, so
 * that no flood of requests takes what the store, the cloud, workers and peers need. Plain data. */
#pragma once
#include <glib.h>

/* Who is at the other end of a connection. All are clients until a request tells more. */
typedef enum {
  FK_CONNECTION_CLASS_CLIENT, /* users, and all that isn't known */
  FK_CONNECTION_CLASS_WORKER,
  FK_CONNECTION_CLASS_HEALTH_CHECK,
  FK_CONNECTION_CLASS_PEER, /* other controllers */
  FK_CONNECTION_CLASSES
} FkConnectionClass;

/* What a request asks for, in the order in which requests are served under overload. */
typedef enum {
  FK_REQUEST_CLASS_HEALTH,
  FK_REQUEST_CLASS_PEER,
  FK_REQUEST_CLASS_HEARTBEAT,
  FK_REQUEST_CLASS_CANCEL,
  FK_REQUEST_CLASS_POLL,
  FK_REQUEST_CLASS_SUBMIT,
  FK_REQUEST_CLASS_OTHER,
  FK_REQUEST_CLASSES
} FkRequestClass;

/* What a controller has. */
typedef struct {
  double sockets, ram_mb;
  guint peers;
} FkAdmissionResources;

/* What operators may set; 0: derived. Times in seconds. */
typedef struct {
  double connections; /* of FK_CONNECTION_CLASS_CLIENT */
  double head_s, body_s, idle_s, send_s;
  double memory_mb; /* buffered for requests in progress */
} FkAdmissionOptions;

typedef struct {
  /* inbound connections at once */
  guint connections[FK_CONNECTION_CLASSES];
  guint lingering; /* rejected ones that are still read from for a moment */
  guint backlog;   /* of each listening socket */
  /* outbound connections at once */
  guint store_connections, cloud_connections, worker_connections, peer_connections;
  /* all requests in progress together */
  guint requests;
  gsize buffered_bytes; /* of requests and responses */
  /* one request */
  gsize head_bytes;
  gsize body_bytes;
  gsize wire_bytes; /* all of it, with chunk headers */
  /* one response to a call of our own */
  gsize response_bytes, store_response_bytes;
  /* how long a connection may stay in a stage */
  gint64 first_byte_us, head_us, body_us, idle_us, send_us, linger_us;
} FkAdmissionLimits;

FkAdmissionLimits fk_admission_limits_derive(const FkAdmissionResources *resources,
                                             const FkAdmissionOptions *options);
