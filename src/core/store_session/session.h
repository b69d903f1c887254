/* The session with the store: the controller's lease, the initial list of the store's live keys, and the
 * watch that keeps the view up to date. */
#pragma once
#include "core/messages.h"

/* State of the session with the key-value store. */
typedef struct {
  enum { FK_SYNC_IDLE, FK_SYNC_LISTING, FK_SYNC_CATCHING_UP, FK_SYNC_READY } sync;
  char *list_after;   /* path after which the next page of the list begins; NULL for the first page */
  FkRev list_epoch;   /* the store's revision at the list's first page; the watch starts from it */
  FkRev catch_up_rev; /* highest revision of the list's pages; the view is ready once it has reached this */
  gboolean listing, watching; /* a request is in flight */
  FkTime retry_at;            /* when a failed list request is sent again */
  FkTime confirmed_at;        /* latest time at which the store's replies prove that the view was current */
  FkRev latest_rev_seen;      /* highest revision shown by the replies to transactions and watches */
  GHashTable *peer_confirmed_at; /* controller -> FkTime*: when it last confirmed the view */
  FkTime next_peer_query;
  FkTime peer_answered_at;       /* when another controller last replied to this one */
  FkTime peer_store_answered_at; /* latest time at which the store is known to have replied to a peer */
  FkTime store_answered_at;      /* when the store last replied to this controller */
  FkTime store_recovered_at;     /* when the store first replied after its latest outage */
  FkTime ready_since;            /* when the view last became ready */
  guint failures;                /* consecutive failures of list requests */
  FkRev lease;                   /* 0 if there is none */
  gboolean lease_pending;        /* a lease request is in flight */
  FkTime next_keepalive, lease_request_sent;
  gboolean node_pending; /* a write of the node key is in flight */
  FkRev node_wait_rev;   /* the node key is not written again until the view has reached this revision */
  FkTime node_retry_at;
} FkStoreSession;

/* Sends the requests that are due: the list, the lease's grant or keepalive, the write of the node key. */
void fk_store_session_tick(FkController *c);
/* Handles the reply to a watch, or its failure: applies the events to the view and sends the next watch.
 * `sent`: when the watch was sent. */
void fk_store_session_watch_received(FkController *c, FkOutcome outcome, GPtrArray *events, FkRev store_rev,
                                     FkTime sent);
/* Records the time of the store's reply, if the outcome of a call shows that the store replied. */
void fk_store_session_note_outcome(FkController *c, FkOutcome outcome);
