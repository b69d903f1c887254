/* CPU time by purpose. The daemon provides the clock; without a clock, no time is measured. Purposes nest,
 * and the callers keep the stack: fk_cpu_profile_enter() returns the outer purpose, which the caller passes
 * to fk_cpu_profile_leave(). Time is charged to the innermost purpose only. */
#pragma once
#include <glib.h>

typedef enum {
  FK_CPU_LOOP,          /* HTTP, sockets and the main loop: everything without a purpose of its own */
  FK_CPU_HEARTBEATS,    /* workers' heartbeats, and workers' replies to commands */
  FK_CPU_DECODE,        /* decoding the store's replies to records */
  FK_CPU_APPLY,         /* applying records to the view */
  FK_CPU_ENCODE,        /* encoding transactions to request bodies */
  FK_CPU_USER_REQUESTS, /* users' requests, and the ticks of job dependencies and starvation detection */
  FK_CPU_SCHEDULING,    /* the scheduling cycle */
  FK_CPU_PREEMPTION,    /* leader election, preemption and finalization of jobs */
  FK_CPU_AUTOSCALER,    /* scale-out, scale-in and cost accounting */
  FK_CPU_WORKERS,       /* workers of owned shards, and completions */
  FK_CPU_SHARDS,        /* ownership of shards, machine pages, quota partitions, statistics windows */
  FK_CPU_IDLE,          /* waiting for events; 0 if the clock counts CPU time only */
  FK_CPU_PURPOSES
} FkCpuPurpose;

typedef struct {
  gint64 (*clock_ns)(void); /* clock, such as the CPU time of this thread; NULL if no time is measured */
  FkCpuPurpose current;
  gint64 last_ns;                   /* time up to which `spent_ns` is complete */
  gint64 spent_ns[FK_CPU_PURPOSES]; /* time charged in this window */
  guint entries[FK_CPU_PURPOSES];   /* number of calls of fk_cpu_profile_enter() in this window */
} FkCpuProfile;

/* Charges time to `purpose` from now on. Returns the outer purpose, for fk_cpu_profile_leave(). */
static inline FkCpuPurpose fk_cpu_profile_enter(FkCpuProfile *profile, FkCpuPurpose purpose) {
  FkCpuPurpose outer = profile->current;
  if (profile->clock_ns && purpose != outer) {
    gint64 now_ns = profile->clock_ns();
    profile->spent_ns[outer] += now_ns - profile->last_ns;
    profile->last_ns = now_ns;
    profile->current = purpose;
  }
  profile->entries[purpose]++;
  return outer;
}

/* Charges time to the outer purpose again. */
static inline void fk_cpu_profile_leave(FkCpuProfile *profile, FkCpuPurpose outer) {
  if (profile->clock_ns && profile->current != outer) {
    gint64 now_ns = profile->clock_ns();
    profile->spent_ns[profile->current] += now_ns - profile->last_ns;
    profile->last_ns = now_ns;
    profile->current = outer;
  }
}

/* Starts measuring time with `clock_ns`. */
static inline void fk_cpu_profile_start(FkCpuProfile *profile, gint64 (*clock_ns)(void)) {
  profile->clock_ns = clock_ns;
  profile->last_ns = clock_ns();
}

/* Returns the purpose's name for the log; a static string. */
const char *fk_cpu_purpose_name(FkCpuPurpose purpose);
