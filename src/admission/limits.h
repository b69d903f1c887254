/* What the front door allows: how many connections of which kind, how long each step may take, how much may
 * be held. Everything that the operators don't set is derived from the controller's own resources, so that no
 * crowd at the door takes what the store, the cloud, workers and peers need. Plain data. */
#pragma once
#include <glib.h>

/* Who is at the other end. Everybody is an outsider until a request says otherwise. */
typedef enum { FK_GUEST_OUTSIDER, FK_GUEST_REPORTER, FK_GUEST_CHECKER, FK_GUEST_PEER, FK_GUESTS } FkGuest;

/* What is asked, in the order in which it is served under overload (docs/design.md, "The front door"). */
typedef enum {
  FK_ASK_HEALTH,
  FK_ASK_PEER,
  FK_ASK_REPORT,
  FK_ASK_CANCEL,
  FK_ASK_POLL,
  FK_ASK_SUBMIT,
  FK_ASK_OTHER,
  FK_ASKS
} FkAsk;

/* What a controller has. */
typedef struct {
  double sockets, ram_mb;
  guint peers;
} FkDoorMeans;

/* What operators may set; 0: derived. Seconds, kB. */
typedef struct {
  double connections, head_s, body_s, idle_s, send_s, memory_mb;
} FkDoorWishes;

typedef struct {
  guint guests[FK_GUESTS]; /* connections at once, inwards */
  guint endings;           /* of those told to go that are still read from for a moment */
  guint backlog;           /* of each listener: all that may come in */
  guint store_calls, cloud_calls, worker_calls, peer_calls; /* connections at once, outwards */
  guint requests;                                           /* under way at once */
  gsize held;                                               /* bytes of requests and answers under way */
  gsize head, body, raw;      /* bytes of one request: before its body, its body, all of it on the wire */
  gsize answer, store_answer; /* bytes of one answer to ourselves */
  gint64 fresh_us, head_us, body_us, idle_us, send_us, linger_us;
} FkDoorLimits;

FkDoorLimits fk_door_limits(const FkDoorMeans *means, const FkDoorWishes *wishes);
