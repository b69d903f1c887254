/* The session with the store: the controller's lease, the initial list of the store's live keys, and the
 * watch that keeps the view up to date. */
#pragma once
#include "core/messages.h"

/* State of the session with the key-value store. */
typedef struct {
  enum { FK_SYNC_IDLE, FK_SYNC_LISTING, FK_SYNC_CATCHING_UP, FK_SYNC_READY } sync;
  char *list_after;           /* path after which the next page of the list begins; NULL for the first page */
  FkRev list_rev;             /* the store's revision at the list's first page; the watch starts from it */
  FkRev catch_up_rev;         /* highest revision of the list's pages; the view must reach it to be ready */
  gboolean listing, watching; /* a list request, or a watch, is in flight or queued */
  FkTime retry_at;            /* earliest time to send a failed list request again */
  FkTime confirmed_at;        /* latest time at which the store's replies prove that the view was current */
  FkRev latest_rev_seen;      /* highest revision shown by the replies to transactions and watches */
  /* controller -> FkTime*: when this controller sent that controller the latest query whose reply confirmed
   * the view */
  GHashTable *peer_confirmed_at;
  FkTime next_peer_query;        /* earliest time of the next queries to the other controllers */
  FkTime peer_answered_at;       /* when another controller last replied to this controller */
  FkTime peer_store_answered_at; /* latest known time of a store reply to another controller */
  FkTime store_answered_at;      /* when the store last replied to this controller */
  FkTime store_recovered_at; /* when the store first replied after its latest outage; 0 if there was none */
  FkTime ready_since;        /* when the view last became ready */
  guint failures;            /* consecutive failures of list requests */
  FkRev lease;               /* the controller's lease; 0 if there is none */
  gboolean lease_pending;    /* a grant or keepalive request is in flight */
  FkTime next_keepalive, lease_request_sent;
  gboolean node_pending; /* a write of the node key is in flight */
  FkRev node_wait_rev;   /* the node key is not written again before the view includes this revision */
  FkTime node_retry_at;  /* earliest time of the next write of the node key after a failure */
} FkStoreSession;

/* Sends the requests that are due: the list, the lease's grant or keepalive, the write of the node key. */
void fk_store_session_tick(FkController *c);
/* Handles the reply to a watch, or its failure: applies the events to the view and sends the next watch.
 * `sent`: when the watch was sent. */
void fk_store_session_watch_received(FkController *c, FkOutcome outcome, GPtrArray *events, FkRev store_rev,
                                     FkTime sent);
/* Records the time of the store's reply, if the outcome of a call shows that the store replied. */
void fk_store_session_record_outcome(FkController *c, FkOutcome outcome);
