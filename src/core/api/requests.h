/* The queues of users' requests that have not been answered yet. */
#pragma once
#include "core/api/cancellation_barrier.h"
#include "core/messages.h"

/* Users' requests that have not been answered yet. `pending` owns the requests, and the queues borrow
 * them. */
typedef struct {
  GHashTable *pending;           /* set of FkPendingRequest: all requests; owned */
  GQueue *awaiting_read_check;   /* FkPendingRequest: requests waiting for a read check */
  gboolean read_check_in_flight; /* whether a read check is in flight */
  FkTime next_read_check_at;     /* the next read check isn't sent before this time */
  guint store_reads;             /* number of requests that read the store because the view wasn't ready */
  FkCancellationBarrier *cancellation_barrier;
  GQueue *awaiting_cancellation; /* FkPendingRequest: requests waiting for the cancellation barrier */
  GQueue *awaiting_view;         /* FkPendingRequest: requests waiting for the view to reach `barrier_rev` */
  /* set of ids of jobs that other jobs depend on and whose terminal states are being read from the store */
  GHashTable *terminal_states_requested;
  /* when the priorities and deadlines that jobs inherit from their dependents were last computed */
  FkTime inherited_at;
  gboolean inheriting; /* whether any job inherited a priority or deadline at `inherited_at` */
} FkPendingRequests;

/* Frees a request. GDestroyNotify of the table of pending requests. */
void fk_pending_request_free(gpointer request);
/* Sends a read check for the oldest queued requests, as many as fit into one transaction, if no read check is
 * in flight and the rate limit of read checks allows it. */
void fk_requests_send_read_checks(FkController *c);
/* Replies to the requests in `awaiting_cancellation` whose job is terminal or whose cancellation barrier is
 * passed. Replies 503 to requests that have waited for longer than FK_REQUEST_WAIT_MAX_S, and to all that
 * remain if the view isn't ready. */
void fk_requests_reply_cancelled(FkController *c);
/* Resumes the requests in `awaiting_view` whose `barrier_rev` the view has reached. Replies 503 to the other
 * requests if they have waited for longer than FK_REQUEST_WAIT_MAX_S, and to all requests if the view isn't
 * ready. */
void fk_requests_pass_read_barrier(FkController *c);
/* Returns the highest revision of the jobs in the view whose cancellations wait to be acknowledged; 0 if
 * there is none. Once every other controller has applied this revision, all of these cancellations can be
 * acknowledged. */
FkRev fk_requests_awaited_rev(FkController *c);
