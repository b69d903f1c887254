/* The gate decides who may come in, whose request is taken, and who must go: a state machine without sockets
 * or clocks. Every operation takes constant time, however many connections there are; times are microseconds
 * of the steady clock and never go back. */
#pragma once
#include "admission/limits.h"

typedef struct FkAdmission FkAdmission;
typedef struct FkAddressUsage FkAddressUsage; /* all connections of one address */

typedef enum {
  FK_STAGE_UNTRACKED, /* not in the gate's care */
  FK_STAGE_CONNECTED, /* connected, and nothing said yet */
  FK_STAGE_HEAD,      /* a part of a request's head has come */
  FK_STAGE_BODY,      /* a part of its body */
  FK_STAGE_HANDLING,  /* the request is under way */
  FK_STAGE_SENDING,   /* its answer isn't taken as fast as it is given */
  FK_STAGE_IDLE,      /* between two requests */
  FK_STAGE_LINGERING, /* told to go: what it still sends is thrown away for a moment, so that it reads why */
  FK_STAGES
} FkConnectionStage;

/* One connection. Lives in its owner's record; only gate.c writes it. */
typedef struct {
  FkAddressUsage *address;
  FkConnectionClass connection_class;
  FkRequestClass request_class;
  FkConnectionStage stage;
  gboolean answered; /* has had an answer */
  gint64 since_us;   /* in this stage */
  gsize buffered;    /* bytes */
  GList stage_link, address_link;
} FkConnectionSlot;

/* What is to be answered before a connection is closed; status 0: nothing. `why` is static. */
typedef struct {
  guint status;
  guint retry_after_s;
  const char *reason;
} FkRejection;

typedef enum {
  FK_REJECTION_TIMEOUT,        /* a step took too long */
  FK_REJECTION_EVICTED,        /* closed for others, of its address or of its kind */
  FK_REJECTION_OVERLOADED,     /* too many requests under way */
  FK_REJECTION_MEMORY,         /* too many bytes held */
  FK_REJECTION_MALFORMED,      /* not a request that this door takes */
  FK_REJECTION_HANDLER_CLOSED, /* by its handler, while it was still sending */
  FK_REJECTION_REASONS
} FkRejectionReason;

FkAdmission *fk_admission_new(const FkAdmissionLimits *limits);
/* All slots must have left. */
void fk_admission_free(FkAdmission *g);
const FkAdmissionLimits *fk_admission_limits(const FkAdmission *g);

/* A connection came, from `address` (copied; without the port). */
void fk_admission_connection_opened(FkAdmission *g, FkConnectionSlot *s, const char *address,
                                    FkConnectionClass guest, gint64 now_us);
/* It is gone. Harmless if it left before. */
void fk_admission_connection_closed(FkAdmission *g, FkConnectionSlot *s);
/* Its first byte of a request, then the first of a body, came. */
void fk_admission_begin_stage(FkAdmission *g, FkConnectionSlot *s, FkConnectionStage stage, gint64 now_us);
/* A request's head is complete: may it go on? FALSE: it must be answered with `v`, and is ending. */
gboolean fk_admission_admit_request(FkAdmission *g, FkConnectionSlot *s, FkRequestClass ask, gint64 now_us,
                                    FkRejection *v);
/* The request is complete and goes to its handler. Only now its sender counts as what it said to be: a half
 * report would hold a place of the workers'. */
void fk_admission_request_complete(FkAdmission *g, FkConnectionSlot *s, gint64 now_us);
/* Its answer has been written, in part or (`all`) whole. */
void fk_admission_response_written(FkAdmission *g, FkConnectionSlot *s, gboolean all, gint64 now_us);
/* It holds so many bytes now. FALSE: too many with all others', and it must be answered with `v` and closed.
 */
gboolean fk_admission_set_buffered(FkAdmission *g, FkConnectionSlot *s, gsize bytes, FkRejection *v);
/* Its owner closes it for a reason of its own. */
void fk_admission_reject(FkAdmission *g, FkConnectionSlot *s, FkRejectionReason why, gint64 now_us);

/* The next one that must go, or NULL: its time is over, or others need its place. In FK_STAGE_LINGERING: it
 * is to be answered with `v`; in FK_STAGE_UNTRACKED: to be closed at once, there is nothing to say to it. */
FkConnectionSlot *fk_admission_next_eviction(FkAdmission *g, gint64 now_us, FkRejection *v);
/* When next() may have something again, at the latest; G_MAXINT64: never. */
gint64 fk_admission_next_deadline_us(const FkAdmission *g);

/* Figures for the log. */
guint fk_admission_connections(const FkAdmission *g, FkConnectionClass guest);
guint fk_admission_requests(const FkAdmission *g);
gsize fk_admission_buffered_bytes(const FkAdmission *g);
guint fk_admission_addresses(const FkAdmission *g);
guint64 fk_admission_rejections(const FkAdmission *g, FkRejectionReason why); /* since the start */
guint64 fk_admission_accepted(const FkAdmission *g);
/* What the door did since `last` was taken, in words, to be freed; `last` is brought up to date. `bad`:
 * somebody was refused or closed for want of room, or sent what is no request. */
typedef struct {
  guint64 accepted, rejections[FK_REJECTION_REASONS];
} FkAdmissionCounters;
char *fk_admission_summary(const FkAdmission *g, FkAdmissionCounters *last, gboolean *bad);
/* For tests: aborts unless every count is the sum of its parts. */
void fk_admission_verify(const FkAdmission *g);
