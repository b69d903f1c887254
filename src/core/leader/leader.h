/* The leader: leader election through a key in the store, and the work that only the leader does. */
#pragma once
#include "core/messages.h"
#include "core/scheduling/elastic_sizing.h"

typedef struct FkSchedulingQueue FkSchedulingQueue;
typedef struct FkCapacityIndex FkCapacityIndex;
typedef struct FkBackfillReservations FkBackfillReservations;

/* The current window of Elastic Sizing, in which the wait times of short tasks are summed. */
typedef struct {
  guint64 index;
  FkTime end;
  FkWaitTimes waits; /* of the short tasks that this controller has started in this window */
} FkWindow;

/* The state of leader election on this controller, and the state that it keeps as the leader. */
typedef struct {
  gboolean write_pending; /* whether a write of the leader key is in flight */
  FkTime retry_at;        /* the leader key isn't written again before this time */
  FkRev wait_rev;         /* the view must reach this revision before the leader key is written again */
  gboolean is_leader;
  FkTime since; /* when `is_leader` last changed */
  FkElasticSizing sizing;
  FkSchedulingQueue *scheduling_queue;
  FkCapacityIndex *capacity_index;
  FkBackfillReservations *backfill_reservations;
  FkTime starvation_checked_at;
  gboolean starving; /* whether some class or team was starving at the last check */
  FkTime next_finalization_at;
  gboolean preempting;    /* whether a transaction that stops tasks is in flight */
  FkRev preempt_wait_rev; /* the view must reach this revision before tasks are stopped again */
  FkTime preempt_after;   /* tasks aren't stopped again before this time */
  FkTime preempt_checked_at, quota_reclaimed_at;
  gboolean finalizing;     /* whether a transaction that finalizes jobs is in flight */
  FkRev finalize_wait_rev; /* the view must reach this revision before jobs are finalized again */
} FkLeadership;

/* Preempts tasks if necessary after a change of the view. Called after a scheduling cycle. */
void fk_leader_view_changed(FkController *c);
/* Tries to acquire leadership if there is no leader. Does the periodic work that is due if this controller is
 * the leader. */
void fk_leader_tick(FkController *c);
/* Starts a new window of Elastic Sizing when the current one is over. */
void fk_windows_tick(FkController *c);
