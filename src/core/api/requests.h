/* Users' requests that wait for a reply. */
#pragma once
#include "core/messages.h"

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
