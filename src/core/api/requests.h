/* The queues of users' requests that have not been answered yet. */
#pragma once
#include "core/api/cancellation_barrier.h"
#include "core/messages.h"

/* Users' requests that have not been answered yet. `pending` owns them; the queues borrow them. */
typedef struct {
  GHashTable *pending; /* set of FkPendingRequest: all of them; owned */
  GQueue *to_verify;   /* FkPendingRequest: those waiting for the next read check */
  gboolean verifying;  /* whether a read check is in flight */
  FkTime verify_after; /* the next read check isn't sent before this time */
  guint store_reads;   /* requests that are reading the store because there is no view */
  FkCancellationBarrier *cancellation_barrier;
  GQueue *awaiting_cancellation; /* FkPendingRequest: those waiting for the cancellation barrier */
  GQueue *awaiting_view;         /* FkPendingRequest: those waiting for the view to reach `barrier_rev` */
  /* set of ids of jobs that others depend on and whose terminal states are being read from the store */
  GHashTable *terminal_states_requested;
  FkTime inherited_at; /* when inherited priorities and deadlines were last computed */
  gboolean inheriting; /* whether the last computation found any job that inherits */
} FkPendingRequests;

/* Frees a request. GDestroyNotify of the table of pending requests. */
void fk_pending_request_free(gpointer request);
/* Sends the queued read checks as one transaction, if none is in flight and their rate limit allows it. */
void fk_requests_send_read_checks(FkController *c);
/* Replies to the requests in `awaiting_cancellation` whose cancellation barrier is passed, and replies 503 to
 * those that have waited for too long. */
void fk_requests_reply_cancelled(FkController *c);
/* Resumes the requests in `awaiting_view` whose revision the view has reached, and replies 503 to those that
 * have waited for too long. */
void fk_requests_pass_read_barrier(FkController *c);
/* Returns the highest revision of the jobs whose cancellations wait to be acknowledged; 0 if no cancellation
 * waits. When every other controller has applied this revision, all of these cancellations can be
 * acknowledged. */
FkRev fk_requests_awaited_rev(FkController *c);
