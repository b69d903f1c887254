/* The launch state of a controller: its launches and quota changes in flight, the reservations for them, and
 * the pacing of launches. */
#pragma once
#include "core/messages.h"

/* Capacity and quota reserved for one task: of a launch that the view doesn't show yet, or of a service or
 * gang that the leader is expected to place (long_path.h). */
typedef struct {
  const char *machine; /* interned; NULL if only quota is reserved */
  const char *team;    /* interned */
  double cpus, gpus, mem_gb;
  double quota_cpus; /* the part of `cpus` that is also reserved from the team's quota */
} FkReservation;

typedef struct {
  /* id of a blocked job (owned) -> how often in this window free capacity was left to it */
  GHashTable *yields;
  GHashTable *no_launch_reasons; /* reason why a cycle launched nothing -> number of cycles in this window */
  guint launched;             /* launches in this window whose outcome was reported, whatever the outcome */
  guint conflicts;            /* launches in this window that a guard rejected */
  guint failures;             /* launches in this window that failed or whose outcome is unknown */
  guint queued_service_tasks; /* waiting tasks of services as of the last cycle */
  /* TRUE if an earlier launch may still commit, since its outcome is unknown. No launch is sent until a write
   * of this controller's launch fence has ruled that out. */
  gboolean fence_needed;
  gboolean fencing;     /* the write of the fence is in flight */
  FkRev fence_wait_rev; /* unused: `wait_rev` also holds the revision of the fence */
  gboolean launching;   /* a launch is in flight */
  FkRev wait_rev;      /* revision of the last launch or fence; no cycle runs until the view has applied it */
  FkTime launch_after; /* end of the pause between launches */
  /* time from which jobs above the normal priority may bypass the pause between launches */
  FkTime bypass_after;
  GArray *reservations;           /* FkReservation of the launch in flight */
  double launch_writes_available; /* writes to the store that this process's rate limiter would send without
                                     delay */
  gboolean quota_partitioning;    /* a write that changes a team's quota partition is in flight */
  FkRev quota_wait_rev; /* no write of a quota partition is sent until the view has applied this revision */
} FkLaunches;
