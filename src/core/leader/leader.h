/* The leader: its key in the store, and what only the leader does. */
#pragma once
#include "core/messages.h"
#include "core/scheduling/elastic_sizing.h"

typedef struct FkSchedulingQueue FkSchedulingQueue;
typedef struct FkCapacityIndex FkCapacityIndex;
typedef struct FkBackfillReservations FkBackfillReservations;

/* The window of Elastic Sizing: short tasks' waits are summed in each. */
typedef struct {
  guint64 index;
  FkTime end;
  FkWaitTimes waits; /* of this controller's short tasks, so far */
} FkWindow;

typedef struct {
  gboolean write_pending; /* of the leader's key */
  FkTime retry_at;
  FkRev wait_rev; /* the view must reach it */
  gboolean is_leader;
  FkTime since; /* when this controller became the leader */
  FkElasticSizing sizing;
  FkSchedulingQueue *scheduling_queue;
  FkCapacityIndex *capacity_index;
  FkBackfillReservations *backfill_reservations;
  FkTime starvation_checked_at;
  gboolean starving; /* some class or team is, by the latest check */
  FkTime next_sweep;
  gboolean preempting;    /* a transaction that asks tasks to leave is under way ... */
  FkRev preempt_wait_rev; /* ... or the view must reach it */
  FkTime next_preemption_at, preempt_checked_at, quota_reclaimed_at;
  gboolean finalizing;     /* a transaction that moves jobs to their terminal state is under way ... */
  FkRev finalize_wait_rev; /* ... or the view must reach it */
} FkLeadership;

/* Acts on a change of the view, after launches were tried. */
void fk_leader_view_changed(FkController *c);
/* Acquires or keeps the leadership, and does what is due as the leader. */
void fk_leader_tick(FkController *c);
/* Begins a new window of Elastic Sizing when the last one is over. */
void fk_windows_tick(FkController *c);
