/* Admission control. Decides which requests a server admits, and which connections it closes because of a
 * timeout or a limit. Without it, a flood of requests from a few addresses would starve heartbeats, health
 * checks and other users. The module uses no sockets and no clock: the caller passes times in, as
 * microseconds of the monotonic clock. The time of an operation does not grow with the number of connections.
 * One exception: an eviction skips, one by one, the addresses that have no evictable connection. */
#pragma once
#include "admission/limits.h"

typedef struct FkAdmission FkAdmission;
/* The resource usage of one remote address: counts, and its evictable connections. */
typedef struct FkAddressUsage FkAddressUsage;

typedef enum {
  FK_STAGE_UNTRACKED, /* not under admission control */
  FK_STAGE_CONNECTED, /* no byte of a request was received */
  FK_STAGE_HEAD,      /* a part of a request's head was received */
  FK_STAGE_BODY,      /* the head was received and admitted; the body is incomplete */
  FK_STAGE_HANDLING,  /* the request is complete: queued for its handler, or in the handler */
  FK_STAGE_SENDING,   /* the handler has written the response; a part of it is not sent yet */
  FK_STAGE_IDLE,      /* between two requests */
  FK_STAGE_LINGERING, /* rejected: input is discarded for a time, so that the client can read the response */
  FK_STAGES
} FkConnectionStage;

/* The state of one connection. Embedded in its owner's structure; only this module writes it. */
typedef struct {
  FkAddressUsage *address; /* NULL if untracked */
  FkConnectionClass connection_class;
  FkRequestClass request_class; /* class of the latest request */
  FkConnectionStage stage;
  gboolean answered; /* a whole response was sent */
  gint64 since_us;   /* when the current stage began */
  gsize buffered;    /* bytes of the request and the response */
  GList stage_link, address_link;
} FkConnectionSlot;

/* The response to a rejected connection. */
typedef struct {
  guint status;        /* 0 if no response is sent */
  guint retry_after_s; /* 0 if the response has no Retry-After header */
  const char *reason;  /* a static string */
} FkRejection;

typedef enum {
  FK_REJECTION_TIMEOUT,        /* a stage took too long */
  FK_REJECTION_EVICTED,        /* too many connections */
  FK_REJECTION_OVERLOADED,     /* too many requests in progress */
  FK_REJECTION_MEMORY,         /* too many bytes buffered */
  FK_REJECTION_MALFORMED,      /* not an HTTP request, or over a size limit */
  FK_REJECTION_HANDLER_CLOSED, /* closed by its handler while input was left */
  FK_REJECTION_REASONS
} FkRejectionReason;

FkAdmission *fk_admission_new(const FkAdmissionLimits *limits);
/* Frees the admission control, whose connections must all be closed. `admission` may be NULL. */
void fk_admission_free(FkAdmission *admission);
const FkAdmissionLimits *fk_admission_limits(const FkAdmission *admission);

/* ---- events of a connection ---- */

/* Records that a connection was accepted from `address`, a remote address without the port, which is copied.
 * The slot must be zero. */
void fk_admission_connection_opened(FkAdmission *admission, FkConnectionSlot *slot, const char *address,
                                    FkConnectionClass connection_class, gint64 now_us);
/* Records that a connection is closed, and clears the slot. Does nothing for an untracked slot. */
void fk_admission_connection_closed(FkAdmission *admission, FkConnectionSlot *slot);
/* Records that the first byte of a request was received (FK_STAGE_HEAD), or that its head was admitted
 * (FK_STAGE_BODY). */
void fk_admission_begin_stage(FkAdmission *admission, FkConnectionSlot *slot, FkConnectionStage stage,
                              gint64 now_us);
/* Decides whether a request whose head is complete is admitted. Returns FALSE if not: `rejection` is the
 * response to send, and the connection lingers. */
gboolean fk_admission_admit_request(FkAdmission *admission, FkConnectionSlot *slot,
                                    FkRequestClass request_class, gint64 now_us, FkRejection *rejection);
/* Records that a request is complete and goes to its handler. Only now does the connection change to the
 * class that fits the request, and only if that class has room. If it changed earlier, an incomplete
 * heartbeat would occupy a worker's place. */
void fk_admission_request_complete(FkAdmission *admission, FkConnectionSlot *slot, gint64 now_us);
/* Records that the handler has written the response. `all` is TRUE if the whole response was sent. */
void fk_admission_response_written(FkAdmission *admission, FkConnectionSlot *slot, gboolean all,
                                   gint64 now_us);
/* Sets the number of bytes buffered for the connection. Returns FALSE if that exceeds the memory limit or the
 * share of its address: the caller must then reject the connection with `rejection`. */
gboolean fk_admission_set_buffered(FkAdmission *admission, FkConnectionSlot *slot, gsize bytes,
                                   FkRejection *rejection);
/* Rejects a connection: it lingers, and `reason` is counted. */
void fk_admission_reject(FkAdmission *admission, FkConnectionSlot *slot, FkRejectionReason reason,
                         gint64 now_us);

/* ---- evictions ---- */

/* Returns the next connection that has timed out or exceeds a limit; NULL if there is none. If it is in
 * FK_STAGE_LINGERING, the caller must send it `rejection`. If it is in FK_STAGE_UNTRACKED, the caller must
 * close it at once. */
FkConnectionSlot *fk_admission_next_eviction(FkAdmission *admission, gint64 now_us, FkRejection *rejection);
/* Returns when the next connection times out; G_MAXINT64 if no timeout is running. */
gint64 fk_admission_next_deadline_us(const FkAdmission *admission);

/* ---- metrics ---- */

/* Returns the number of open connections of a class, without the lingering ones. */
guint fk_admission_connections(const FkAdmission *admission, FkConnectionClass connection_class);
/* Returns the number of requests in progress: in FK_STAGE_HANDLING or FK_STAGE_SENDING. */
guint fk_admission_requests(const FkAdmission *admission);
/* Returns the number of bytes buffered for all connections. */
gsize fk_admission_buffered_bytes(const FkAdmission *admission);
/* Returns the number of remote addresses that have connections. */
guint fk_admission_addresses(const FkAdmission *admission);
/* Returns the number of rejections for `reason` since the start. */
guint64 fk_admission_rejections(const FkAdmission *admission, FkRejectionReason reason);
/* Returns the number of connections accepted since the start. */
guint64 fk_admission_accepted(const FkAdmission *admission);

/* Counters since the start, as of the latest summary. */
typedef struct {
  guint64 accepted, rejections[FK_REJECTION_REASONS];
} FkAdmissionCounters;
/* Returns a log line, which the caller frees: the current state, and the changes since `last`. Updates
 * `last`. Sets `has_rejections` to whether there were rejections since `last` for any reason but
 * FK_REJECTION_TIMEOUT and FK_REJECTION_HANDLER_CLOSED. */
char *fk_admission_summary(const FkAdmission *admission, FkAdmissionCounters *last, gboolean *has_rejections);

/* For tests: aborts unless each count equals the sum over the connections. */
void fk_admission_verify(const FkAdmission *admission);
