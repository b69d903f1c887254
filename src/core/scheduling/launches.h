/* Launches: what a controller has under way to start tasks, and how it paces that. */
#pragma once
#include "core/messages.h"

/* Capacity of a machine reserved for a launch that the view doesn't show yet. */
typedef struct {
  const char *machine; /* interned */
  const char *team;    /* interned */
  double cpus, gpus, mem_gb;
  double quota_cpus; /* of those, what counts against the team's quota */
} FkReservation;

typedef struct {
  GHashTable *no_launch_reasons;       /* why nothing was launched -> cycles, in this window */
  guint launched, conflicts, failures; /* in this window */
  guint queued_service_tasks;          /* tasks, at the last cycle */
  gboolean fence_needed; /* a launch may yet be carried out: a write of our fence makes that impossible */
  gboolean fencing;      /* that write is under way ... */
  FkRev fence_wait_rev;  /* ... or the view must reach it */
  gboolean launching;    /* a launch is under way ... */
  FkRev wait_rev;        /* ... or the view must reach it */
  FkTime launch_after;
  FkTime bypass_after;            /* urgent work may be launched before `launch_after`, from here on */
  GArray *reservations;           /* FkReservation */
  double launch_writes_available; /* writes that would go out at once, by the daemon's rate limiter */
  gboolean quota_partitioning;    /* a team's quota is being partitioned ... */
  FkRev quota_wait_rev;           /* ... or the view must reach that */
} FkLaunches;
