/* The launch state of a controller: the launches and quota changes that it has in flight, the reservations
 * that go with them, and the pacing of launches. */
#pragma once
#include "core/messages.h"

/* Capacity and quota reserved for a launch that the view doesn't show yet. */
typedef struct {
  const char *machine; /* interned */
  const char *team;    /* interned */
  double cpus, gpus, mem_gb;
  double quota_cpus; /* the part of `cpus` that counts against this controller's share of the team's quota */
} FkReservation;

typedef struct {
  GHashTable *hindrances; /* reason why a cycle launched nothing -> number of cycles in this window */
  /* launches whose outcome was reported in this window; of these, those rejected by a guard, and those that
   * failed or whose outcome is unknown */
  guint launched, conflicts, failures;
  guint services_waiting; /* waiting tasks of services as of the last cycle */
  /* a launch with an unknown outcome may still commit: none is sent until a write of this controller's fence
   * has made that impossible */
  gboolean fence_needed;
  gboolean fencing;     /* the write of the fence is in flight */
  FkRev fence_wait_rev; /* unused: `wait_rev` holds the fence's revision */
  gboolean launching;   /* a launch is in flight */
  FkRev wait_rev;       /* no cycle runs until the view has applied this revision: the last launch or fence */
  FkTime launch_after;  /* end of the pause between launches */
  FkTime urgent_after;  /* urgent jobs may bypass the pause from this time on */
  GArray *reservations; /* FkReservation */
  double write_room;    /* writes that the daemon's rate limiter would send without delay */
  gboolean quota_partitioning; /* a write that changes a team's quota partition is in flight */
  FkRev quota_wait_rev;        /* no further such write until the view has applied this revision */
} FkLaunches;
