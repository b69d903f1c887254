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
  FkWaitTimes waits; /* wait times of the short tasks that this controller launched in the window */
} FkWindow;

/* The state of leader election on this controller, and the state that the controller needs as the leader. */
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
  gboolean starving;              /* whether some class or team was starving at `starvation_checked_at` */
  FkTime next_finalization_at;    /* before this time, only jobs that other jobs depend on are finalized */
  gboolean preempting;            /* whether a transaction that stops tasks is in flight */
  FkRev preempt_wait_rev;         /* the view must reach this revision before tasks are stopped again */
  FkTime next_preemption_at;      /* tasks aren't stopped again before this time */
  FkTime next_preemption_scan_at; /* time of the next scan for tasks to stop */
  FkTime quota_reclaimed_at;      /* when capacity was last reclaimed for a blocked job */
  gboolean finalizing;            /* whether a transaction that finalizes jobs is in flight */
  FkRev finalize_wait_rev;        /* the view must reach this revision before jobs are finalized again */
} FkLeadership;

/* Calls fk_leader_preemption_tick() if this controller is the leader. Called when the view has changed, after
 * the scheduling cycle. */
void fk_leader_view_changed(FkController *c);
/* Tries to acquire leadership if there is no leader. If this controller is the leader, does the leader's
 * periodic work that is due. */
void fk_leader_tick(FkController *c);
/* When the current window is over, writes its wait times to the store, logs statistics, and starts a new
 * window. The leader also sizes the short partition. */
void fk_windows_tick(FkController *c);
