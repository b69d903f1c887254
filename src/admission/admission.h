/* Admission control: which connections a server keeps, which requests it takes, and which connections must
 * go. A state machine without sockets or clocks. Each operation takes constant time however many connections
 * there are. Times are microseconds of the monotonic clock. */
#pragma once
#include "admission/limits.h"

typedef struct FkAdmission FkAdmission;
/* All connections of one remote address. */
typedef struct FkAddressUsage FkAddressUsage;

typedef enum {
  FK_STAGE_UNTRACKED, /* not under admission control */
  FK_STAGE_CONNECTED, /* no byte has come yet */
  FK_STAGE_HEAD,      /* a part of a request's head has come */
  FK_STAGE_BODY,      /* a part of its body */
  FK_STAGE_HANDLING,  /* its handler has the request */
  FK_STAGE_SENDING,   /* the client takes the response more slowly than it is written */
  FK_STAGE_IDLE,      /* between two requests */
  FK_STAGE_LINGERING, /* rejected: input is discarded for a moment, so that the client can read why */
  FK_STAGES
} FkConnectionStage;

/* One connection. Embedded in its owner's record; only this module writes it. */
typedef struct {
  FkAddressUsage *address;
  FkConnectionClass connection_class;
  FkRequestClass request_class; /* of the latest request */
  FkConnectionStage stage;
  gboolean answered; /* a response was sent */
  gint64 since_us;   /* in this stage */
  gsize buffered;    /* bytes of its request and response */
  GList stage_link, address_link;
} FkConnectionSlot;

/* The response to a connection that is closed; `status` 0: none. */
typedef struct {
  guint status;
  guint retry_after_s; /* 0: not said */
  const char *reason;  /* static */
} FkRejection;

typedef enum {
  FK_REJECTION_TIMEOUT,        /* a stage took too long */
  FK_REJECTION_EVICTED,        /* too many connections */
  FK_REJECTION_OVERLOADED,     /* too many requests in progress */
  FK_REJECTION_MEMORY,         /* too many bytes buffered */
  FK_REJECTION_MALFORMED,      /* not an HTTP request, or too long */
  FK_REJECTION_HANDLER_CLOSED, /* closed by its handler while the client was still sending */
  FK_REJECTION_REASONS
} FkRejectionReason;

FkAdmission *fk_admission_new(const FkAdmissionLimits *limits);
/* All connections must be closed. NULL is fine. */
void fk_admission_free(FkAdmission *admission);
const FkAdmissionLimits *fk_admission_limits(const FkAdmission *admission);

/* ---- events of a connection ---- */

/* A connection was accepted from `address` (copied; without the port). The slot must be zero. */
void fk_admission_connection_opened(FkAdmission *admission, FkConnectionSlot *slot, const char *address,
                                    FkConnectionClass connection_class, gint64 now_us);
/* The connection is closed, and the slot zero again. An untracked slot is fine. */
void fk_admission_connection_closed(FkAdmission *admission, FkConnectionSlot *slot);
/* The first byte of a request (FK_STAGE_HEAD) or of its body (FK_STAGE_BODY) came. */
void fk_admission_begin_stage(FkAdmission *admission, FkConnectionSlot *slot, FkConnectionStage stage,
                              gint64 now_us);
/* A request's head is complete. FALSE: the request is rejected with `rejection`, and the connection lingers.
 */
gboolean fk_admission_admit_request(FkAdmission *admission, FkConnectionSlot *slot,
                                    FkRequestClass request_class, gint64 now_us, FkRejection *rejection);
/* The request is complete, and goes to its handler. Only now the connection changes its class: an incomplete
 * heartbeat would hold a worker's place. */
void fk_admission_request_complete(FkAdmission *admission, FkConnectionSlot *slot, gint64 now_us);
/* The handler has written the response, and the client has taken a part of it or (`all`) the whole. */
void fk_admission_response_written(FkAdmission *admission, FkConnectionSlot *slot, gboolean all,
                                   gint64 now_us);
/* So many bytes are buffered for the connection now. FALSE: too many with all others'; it is to be rejected
 * with `rejection`. */
gboolean fk_admission_set_buffered(FkAdmission *admission, FkConnectionSlot *slot, gsize bytes,
                                   FkRejection *rejection);
/* Its owner rejects it: it lingers, and the reason is counted. */
void fk_admission_reject(FkAdmission *admission, FkConnectionSlot *slot, FkRejectionReason reason,
                         gint64 now_us);

/* ---- evictions ---- */

/* The next connection that must go, because its time is over or others need its place; NULL: none. In
 * FK_STAGE_LINGERING: it is to be sent `rejection`; in FK_STAGE_UNTRACKED: it is to be closed at once. */
FkConnectionSlot *fk_admission_next_eviction(FkAdmission *admission, gint64 now_us, FkRejection *rejection);
/* When a connection's time is over next; G_MAXINT64: never. */
gint64 fk_admission_next_deadline_us(const FkAdmission *admission);

/* ---- metrics ---- */

/* Open connections of a class, without the lingering ones. */
guint fk_admission_connections(const FkAdmission *admission, FkConnectionClass connection_class);
/* Requests that a handler has. */
guint fk_admission_requests(const FkAdmission *admission);
gsize fk_admission_buffered_bytes(const FkAdmission *admission);
/* Remote addresses with connections. */
guint fk_admission_addresses(const FkAdmission *admission);
/* Since the start. */
guint64 fk_admission_rejections(const FkAdmission *admission, FkRejectionReason reason);
/* Connections since the start. */
guint64 fk_admission_accepted(const FkAdmission *admission);

typedef struct {
  guint64 accepted, rejections[FK_REJECTION_REASONS];
} FkAdmissionCounters;
/* A line for the log: the present state, and what happened since `last` was taken, which is brought up to
 * date. To be freed. `has_rejections`: for want of capacity, or of what is no request. */
char *fk_admission_summary(const FkAdmission *admission, FkAdmissionCounters *last, gboolean *has_rejections);

/* For tests: aborts unless each count is the sum of its parts. */
void fk_admission_verify(const FkAdmission *admission);
