/* The limits of admission control: connections by class, the time that each stage of a request may take, and
 * buffered bytes. Limits of connections and memory that operators do not set are derived from the
 * controller's resources; times have fixed defaults. The derived limits leave sockets for calls to the store,
 * the cloud, workers and peers, so that no flood of requests can stop these. */
#pragma once
#include <glib.h>

/* The kind of remote end of a connection. Connections to the listener for clients start in the class of
 * clients, until a request shows another class. */
typedef enum {
  FK_CONNECTION_CLASS_CLIENT, /* users, and connections whose class is unknown */
  FK_CONNECTION_CLASS_WORKER,
  FK_CONNECTION_CLASS_HEALTH_CHECK,
  FK_CONNECTION_CLASS_PEER, /* other controllers */
  FK_CONNECTION_CLASSES
} FkConnectionClass;

/* The kind of a request, highest priority under overload first. */
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

/* The resources of a server process. */
typedef struct {
  double sockets, ram_mb;
  guint peers; /* number of configured peer controllers */
} FkAdmissionResources;

/* Limits that operators may set; 0 if not set. Times are in seconds. */
typedef struct {
  double connections; /* connections of FK_CONNECTION_CLASS_CLIENT */
  double head_s, body_s, idle_s, send_s;
  double memory_mb; /* buffered for requests and responses */
} FkAdmissionOptions;

typedef struct {
  /* concurrent inbound connections */
  guint connections[FK_CONNECTION_CLASSES];
  guint lingering; /* rejected connections whose input is discarded until a timeout */
  guint backlog;   /* listen backlog of each listening socket */
  /* concurrent outbound connections */
  guint store_connections, cloud_connections, worker_connections, peer_connections;
  /* requests in progress, of all classes */
  guint requests;
  gsize buffered_bytes; /* bytes buffered for all requests and responses */
  /* size of one request */
  gsize head_bytes;
  gsize body_bytes;
  gsize wire_bytes; /* the whole request, with its chunk framing */
  /* size of one response to an outbound call */
  gsize response_bytes, store_response_bytes;
  /* time limits of the stages of a connection */
  gint64 first_byte_us, head_us, body_us, idle_us, send_us, linger_us;
} FkAdmissionLimits;

/* Returns the limits for a controller with these resources and options. */
FkAdmissionLimits fk_admission_limits_derive(const FkAdmissionResources *resources,
                                             const FkAdmissionOptions *options);
