/* The session with the store: its lease, the list that a start reads, and the watch that moves the view. */
#pragma once
#include "core/messages.h"

/* The session with the key-value store: its lease, the view's synchronisation and how fresh the view is. */
typedef struct {
  enum { FK_SYNC_IDLE, FK_SYNC_LISTING, FK_SYNC_CATCHING_UP, FK_SYNC_READY } sync;
  char *list_after;
  FkRev list_rev, catch_up_rev;
  gboolean listing, watching;
  FkTime retry_at;
  FkTime confirmed_at;           /* the view was current at this moment, for certain */
  FkRev latest_rev_seen;         /* the latest revision that any answer has shown */
  GHashTable *peer_confirmed_at; /* controller -> FkTime*: when it had seen nothing that our view lacks */
  FkTime next_peer_query;
  FkTime peer_answered_at;       /* when another controller answered last */
  FkTime peer_store_answered_at; /* the last moment at which a peer is known to have had an answer from the
                                    store */
  FkTime store_answered_at;      /* the last time that the store answered at all */
  FkTime store_recovered_at;     /* when it did again after an outage */
  FkTime ready_since;
  guint failures;
  FkRev lease; /* 0: none */
  gboolean lease_pending;
  FkTime next_keepalive, lease_request_sent;
  gboolean node_pending;
  FkRev node_wait_rev;
  FkTime node_retry_at;
} FkStoreSession;

/* Sends what is due: the list, the lease's keepalive, the controller's node key. */
void fk_store_session_tick(FkController *c);
/* A watch was answered, or failed: its events are applied to the view, and the next watch is sent. `sent`:
 * when it was. */
void fk_store_session_watch_received(FkController *c, FkOutcome outcome, GPtrArray *events, FkRev epoch,
                                     FkTime sent);
/* A call has ended: whether the store has answered at all. */
void fk_store_session_record_outcome(FkController *c, FkOutcome outcome);
