/* Processor time by purpose. The clock is an input: the daemon gives one, tests may give none. Purposes nest,
 * and callers keep the stack: fk_cpu_profile_enter() returns the outer purpose, which is handed to
 * fk_cpu_profile_leave(). Time is charged to the innermost purpose only. */
#pragma once
#include <glib.h>

typedef enum {
  FK_CPU_LOOP,          /* HTTP, sockets and the main loop: all that has no purpose of its own */
  FK_CPU_HEARTBEATS,    /* of workers, and the replies */
  FK_CPU_DECODE,        /* answers of the store to records */
  FK_CPU_APPLY,         /* records to the view */
  FK_CPU_ENCODE,        /* transactions to request bodies */
  FK_CPU_USER_REQUESTS, /* submissions, polls, cancellations */
  FK_CPU_SCHEDULING,    /* the scheduling cycle */
  FK_CPU_PREEMPTION,    /* the leader's stops */
  FK_CPU_AUTOSCALER,    /* scale-out and scale-in */
  FK_CPU_WORKERS,       /* owned machines, and completions */
  FK_CPU_SHARDS,        /* ownership, machine pages, quota partitions */
  FK_CPU_IDLE,          /* waiting; nothing where the clock is of processor time alone */
  FK_CPU_PURPOSES
} FkCpuPurpose;

typedef struct {
  gint64 (*clock_ns)(void); /* processor time of this thread; NULL: nothing is measured */
  FkCpuPurpose current;
  gint64 last_ns;
  gint64 spent_ns[FK_CPU_PURPOSES]; /* in this window */
  guint entries[FK_CPU_PURPOSES];
} FkCpuProfile;

/* Charges to `purpose` from now on; returns the outer one. */
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

/* Charges to the outer purpose again. */
static inline void fk_cpu_profile_leave(FkCpuProfile *profile, FkCpuPurpose outer) {
  if (profile->clock_ns && profile->current != outer) {
    gint64 now_ns = profile->clock_ns();
    profile->spent_ns[profile->current] += now_ns - profile->last_ns;
    profile->last_ns = now_ns;
    profile->current = outer;
  }
}

/* Measures from now on. */
static inline void fk_cpu_profile_start(FkCpuProfile *profile, gint64 (*clock_ns)(void)) {
  profile->clock_ns = clock_ns;
  profile->last_ns = clock_ns();
}

/* As the log has it; static. */
const char *fk_cpu_purpose_name(FkCpuPurpose purpose);
