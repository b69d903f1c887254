/* Shared by the modules of the users' API: the pending request, the replies to it, and the ways to read a
 * job's state. Every function that replies also frees the request. */
#pragma once
#include "core/controller_internal.h"

#define FK_REQUESTS_QUEUED_MAX 2000 /* most requests in each queue; further requests get 503 */
#define FK_REQUEST_WAIT_MAX_S 0.7   /* longest wait for a barrier; a longer wait ends with 503 */
#define FK_REQUEST_STEPS_MAX 64     /* most steps (FkPendingRequest.steps); a further one ends with 503 */

typedef enum { FK_REQUEST_POLL, FK_REQUEST_SUBMIT, FK_REQUEST_CANCEL } FkRequestKind;

/* The action on a request once the view has reached the request's `barrier_rev`: reply with the job's state,
 * queue a read check, or go on with accepting the submission. */
typedef enum { FK_BARRIER_REPLY, FK_BARRIER_READ_CHECK, FK_BARRIER_ACCEPT } FkBarrierAction;

/* A user's request that has not been answered yet. */
typedef struct {
  FkController *controller; /* borrowed; its table of pending requests owns this request */
  FkRequestKind kind;
  FkRequestId request_id;
  char *job_id;
  FkSpec *spec;           /* owned; NULL unless `kind` is FK_REQUEST_SUBMIT */
  FkTime waiting_since;   /* when the request arrived or last began to wait for a barrier */
  guint steps;            /* number of commit conflicts, reads of dependencies and read barriers so far */
  guint store_reads;      /* 1 if the request is counted in FkPendingRequests.store_reads, else 0 */
  gboolean shown_by_view; /* whether the view had the job when the latest read check was sent */
  FkBarrierAction after_barrier; /* the action once the view has reached `barrier_rev` */
  FkRev barrier_rev;             /* the view must reach this revision before `after_barrier` is performed */
  gboolean dependency_cancelled; /* SUBMIT: whether a dependency of the job is cancelled in the view */
  gboolean ancestor_unknown;     /* SUBMIT: whether the view lacks an ancestor's terminal state */
  guint compared_count;          /* SUBMIT: number of dependencies in the latest check for existence */
} FkPendingRequest;

/* pending_request.c */

/* Adds a request to the controller's table, which owns the request. Takes ownership of `spec`, which is NULL
 * except for submissions. */
FkPendingRequest *fk_pending_request_new(FkController *c, FkRequestKind kind, FkRequestId request_id,
                                         const char *job_id, FkSpec *spec);
/* Replies with an HTTP status only. */
void fk_pending_request_reply_status(FkController *c, FkPendingRequest *request, int status);
/* Replies with an HTTP status and a phase. The reply gives 0 running and 0 done tasks. */
void fk_pending_request_reply_phase(FkController *c, FkPendingRequest *request, int status, FkPhase phase);
/* Replies 503 with a random delay of 1 or 2 seconds until the client's next attempt. */
void fk_pending_request_reply_unavailable(FkController *c, FkPendingRequest *request);
/* Replies 200 with a terminal phase and the number of tasks done. */
void fk_pending_request_reply_terminal(FkController *c, FkPendingRequest *request, FkPhase phase,
                                       guint32 tasks);
/* Replies 200 with the job's state as shown by the view. */
void fk_pending_request_reply_from_view(FkController *c, FkPendingRequest *request, const FkJob *job);
/* Replies and returns TRUE if the view has the job's terminal state. Otherwise returns FALSE without changing
 * the request. */
gboolean fk_pending_request_reply_if_terminal(FkController *c, FkPendingRequest *request);

/* job_reads.c */

/* Handles a request for a job that is terminal or cancelled in the view: replies, or, for a cancelled job,
 * waits for the cancellation barrier. Both states are permanent, so that the store need not be read. Returns
 * FALSE, without changing the request, if the job is in neither state. */
gboolean fk_job_reads_handle_permanent_state(FkController *c, FkPendingRequest *request);
/* Handles a request while the store is unreachable (replies 503) or the view isn't ready (reads the job's
 * record from the store, if not too many requests do so already). Returns FALSE, without changing the
 * request, if neither is the case. */
gboolean fk_job_reads_handle_unavailable(FkController *c, FkPendingRequest *request);
/* Reads the job's live record from the store, or the terminal record if there is no live one, and goes on
 * with the request according to the result. */
void fk_job_reads_read_record(FkController *c, FkPendingRequest *request);
/* Queues the request for a read check. Replies 503 if the queue is full. If the store is unreachable or the
 * view isn't ready, calls fk_job_reads_handle_unavailable() instead. */
void fk_job_reads_queue_check(FkController *c, FkPendingRequest *request);
/* Queues the request until the view has reached `rev`, and then performs `action`. Replies 503 if the view
 * isn't ready, the queue is full, or the request has taken FK_REQUEST_STEPS_MAX steps. */
void fk_job_reads_await_view(FkController *c, FkPendingRequest *request, FkRev rev, FkBarrierAction action);

/* submissions.c */

/* Looks up the job's dependencies, in the store if necessary, and then commits the submission. If the view
 * has the job already, queues the request for a read check instead. */
void fk_submissions_accept(FkController *c, FkPendingRequest *request);

/* cancellations.c */

/* Commits the cancellation of a job whose record has the content `spec` and the revision `rev`. */
void fk_cancellations_commit(FkController *c, FkPendingRequest *request, FkSpec *spec, FkRev rev);
/* Queues the request until the cancellation barrier is passed, and then replies. Replies at once if the
 * barrier is disabled by the settings. Replies 503 if the view isn't ready, the queue is full, or the wait
 * exceeds FK_REQUEST_WAIT_MAX_S. The cancellation must already be committed to the store. */
void fk_cancellations_await_barrier(FkController *c, FkPendingRequest *request);
