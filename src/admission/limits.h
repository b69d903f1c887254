/* What the front door allows: how many connections of which kind, how long each step may take, how much may
 * be held. Everything that the operators don't set is derived from the controller's own resources, so that no
 * crowd at the door takes what the store, the cloud, workers and peers need. Plain data. */
#pragma once
#include <glib.h>

/* Who is at the other end. Everybody is an outsider until a request says otherwise. */
typedef enum {
  FK_CONNECTION_CLASS_CLIENT,
  FK_CONNECTION_CLASS_WORKER,
  FK_CONNECTION_CLASS_HEALTH_CHECK,
  FK_CONNECTION_CLASS_PEER,
  FK_CONNECTION_CLASSES
} FkConnectionClass;

/* What is asked, in the order in which it is served under overload (docs/design.md, "The front door"). */
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

/* What operators may set; 0: derived. Seconds, kB. */
typedef struct {
  double connections, head_s, body_s, idle_s, send_s, memory_mb;
} FkAdmissionOptions;

typedef struct {
  guint connections[FK_CONNECTION_CLASSES]; /* connections at once, inwards */
  guint lingering;                          /* of those told to go that are still read from for a moment */
  guint backlog;                            /* of each listener: all that may come in */
  guint store_connections, cloud_connections, worker_connections,
      peer_connections; /* connections at once, outwards */
  guint requests;       /* under way at once */
  gsize buffered_bytes; /* bytes of requests and answers under way */
  gsize head_bytes, body_bytes,
      wire_bytes; /* bytes of one request: before its body, its body, all of it on the wire */
  gsize response_bytes, store_response_bytes; /* bytes of one answer to ourselves */
  gint64 first_byte_us, head_us, body_us, idle_us, send_us, linger_us;
} FkAdmissionLimits;

FkAdmissionLimits fk_admission_limits_derive(const FkAdmissionResources *means,
                                             const FkAdmissionOptions *wishes);
