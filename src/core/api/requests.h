/* Users' requests that wait for a reply. */
#pragma once
#include "core/api/cancellation_barrier.h"
#include "core/messages.h"

/* Users' requests that aren't answered yet. */
typedef struct {
  GHashTable *pending;         /* FkPendingRequest: all of them */
  GQueue *awaiting_read_check; /* FkPendingRequest: waiting for a read check */
  gboolean read_check_in_flight;
  FkTime next_read_check_at;
  guint store_reads; /* reads from the store under way while there is no view */
  FkCancellationBarrier *cancellation_barrier;
  GQueue *awaiting_cancellation; /* FkPendingRequest: of a cancelled job, not past the barrier yet */
  GQueue *awaiting_view;         /* FkPendingRequest: until the view has reached a revision */
  GHashTable *
      terminal_states_requested; /* ids of jobs that others depend on, whose terminal states are being read */
  FkTime inherited_at;           /* when inherited priorities and deadlines were computed last ... */
  gboolean inheriting;           /* ... and whether there were any */
} FkPendingRequests;

/* GDestroyNotify of the table of pending requests. */
void fk_pending_request_free(gpointer request);
/* Sends the queued read checks as one transaction, if none is under way and the request budget allows it. */
void fk_requests_send_read_checks(FkController *c);
/* Replies to those whose job is cancelled and past the cancellation barrier, or who have waited too long. */
void fk_requests_reply_cancelled(FkController *c);
/* Goes on with those whose revision the view has reached, or who have waited too long. */
void fk_requests_pass_read_barrier(FkController *c);
/* The latest revision that a pending cancellation needs all controllers to have applied; 0: none. */
FkRev fk_requests_awaited_rev(FkController *c);
