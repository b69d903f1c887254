/* What the files of the users' interface share: a request that is not answered yet, its replies, and the ways
 * to learn a job's state. Every function that replies also frees the request. */
#pragma once
#include "core/controller_internal.h"

#define FK_REQUESTS_QUEUED_MAX 2000 /* requests in one of the queues; more are told to come back */
#define FK_REQUEST_WAIT_MAX_S 0.7   /* the longest wait for a view or for other controllers; then 503 */
#define FK_REQUEST_STEPS_MAX 64     /* reads and barriers that one request may take */

typedef enum { FK_REQUEST_POLL, FK_REQUEST_SUBMIT, FK_REQUEST_CANCEL } FkRequestKind;

/* What is done with a request once the view has reached its revision. */
typedef enum { FK_BARRIER_REPLY, FK_BARRIER_READ_CHECK, FK_BARRIER_ACCEPT } FkBarrierAction;

typedef struct {
  FkController *controller; /* whose table of pending requests owns it */
  FkRequestKind kind;
  FkRequestId request_id;
  char *job_id;
  FkSpec *spec; /* SUBMIT: owned; else NULL */
  FkTime waiting_since;
  guint steps;            /* reads and barriers so far */
  guint store_reads;      /* 1: counted among the reads without a view; else 0 */
  gboolean shown_by_view; /* the view had the job when its read check was sent */
  FkBarrierAction after_barrier;
  FkRev barrier_rev;             /* the revision that the view must reach */
  gboolean dependency_cancelled; /* SUBMIT: a job that it depends on is cancelled */
  gboolean ancestor_unknown;     /* SUBMIT: the terminal state of an ancestor is being read */
  guint compared_count;          /* SUBMIT: dependencies whose absence the store was asked to compare */
} FkPendingRequest;

/* pending_request.c */

/* A request in the controller's table. `spec` is taken; NULL but for submissions. */
FkPendingRequest *fk_pending_request_new(FkController *c, FkRequestKind kind, FkRequestId request_id,
                                         const char *job_id, FkSpec *spec);
/* Replies with an HTTP status alone. */
void fk_pending_request_reply_status(FkController *c, FkPendingRequest *request, int status);
/* Replies with a status and the phase of a job that has no tasks running or done. */
void fk_pending_request_reply_phase(FkController *c, FkPendingRequest *request, int status, FkPhase phase);
/* Replies 503 with a random delay of 1 or 2 seconds until the client's next attempt. */
void fk_pending_request_reply_unavailable(FkController *c, FkPendingRequest *request);
/* Replies with a terminal state and the number of tasks done. */
void fk_pending_request_reply_terminal(FkController *c, FkPendingRequest *request, FkPhase phase,
                                       guint32 tasks);
/* Replies with the job's state in the view. */
void fk_pending_request_reply_from_view(FkController *c, FkPendingRequest *request, const FkJob *job);
/* Replies if the view remembers the job's terminal state. FALSE: nothing was done. */
gboolean fk_pending_request_reply_if_terminal(FkController *c, FkPendingRequest *request);

/* job_reads.c */

/* Deals with a request about a job that is terminal or cancelled in the view: both are permanent, so that the
 * store need not be read. FALSE: nothing was done. */
gboolean fk_job_reads_reply_from_memory(FkController *c, FkPendingRequest *request);
/* Deals with a request that comes while the store, or the view, is missing. FALSE: nothing was done. */
gboolean fk_job_reads_handle_without_view(FkController *c, FkPendingRequest *request);
/* Reads the job's record from the store, then its terminal record, and goes on with what is found. */
void fk_job_reads_read_record(FkController *c, FkPendingRequest *request);
/* Queues the request for the next batch of read checks. */
void fk_job_reads_queue_check(FkController *c, FkPendingRequest *request);
/* Goes on with the request, as `action` says, once the view has reached `rev`. */
void fk_job_reads_await_view(FkController *c, FkPendingRequest *request, FkRev rev, FkBarrierAction action);

/* submissions.c */

/* Commits the submission, after what it depends on has been looked up. */
void fk_submissions_accept(FkController *c, FkPendingRequest *request);

/* cancellations.c */

/* Commits the cancellation of a job whose record is `spec` at revision `rev`. */
void fk_cancellations_commit(FkController *c, FkPendingRequest *request, FkSpec *spec, FkRev rev);
/* The store has the job as cancelled: replies as soon as the cancellation barrier is passed. */
void fk_cancellations_await_barrier(FkController *c, FkPendingRequest *request);
