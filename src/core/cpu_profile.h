/* Processor time by purpose. The clock is an input: the shell gives one, tests may give none. What is going
 * on is a small stack kept by the callers: fk_cpu_profile_enter() says what begins, and returns what went on
 * before, to be handed to fk_cpu_profile_leave(). Time is charged to the innermost purpose only. */
#pragma once
#include <glib.h>

typedef enum {
  FK_CPU_LOOP,          /* HTTP, sockets and the main loop: all that has no name of its own */
  FK_CPU_HEARTBEATS,    /* what workers say, and the answers */
  FK_CPU_DECODE,        /* the store's answers become records */
  FK_CPU_APPLY,         /* records become the view */
  FK_CPU_ENCODE,        /* transactions become bodies */
  FK_CPU_USER_REQUESTS, /* submissions, polls, cancellations */
  FK_CPU_SCHEDULING,    /* placement */
  FK_CPU_PREEMPTION,    /* what must leave its machine */
  FK_CPU_AUTOSCALER,    /* renting and returning */
  FK_CPU_WORKERS,       /* machines in this home's care, and their ends */
  FK_CPU_SHARDS,        /* claims, machines' pages, shares, session */
  FK_CPU_IDLE,          /* waiting: nothing, where the clock is of processor time alone */
  FK_CPU_PURPOSES
} FkCpuPurpose;

typedef struct {
  gint64 (*clock_ns)(void); /* processor time of this thread; NULL: nothing is measured */
  FkCpuPurpose current;
  gint64 last_ns;
  gint64 spent_ns[FK_CPU_PURPOSES]; /* in this window */
  guint entries[FK_CPU_PURPOSES];
} FkCpuProfile;

static inline FkCpuPurpose fk_cpu_profile_enter(FkCpuProfile *m, FkCpuPurpose what) {
  FkCpuPurpose before = m->current;
  if (m->clock_ns && what != before) {
    gint64 t = m->clock_ns();
    m->spent_ns[before] += t - m->last_ns;
    m->last_ns = t;
    m->current = what;
  }
  m->entries[what]++;
  return before;
}

static inline void fk_cpu_profile_leave(FkCpuProfile *m, FkCpuPurpose before) {
  if (m->clock_ns && m->current != before) {
    gint64 t = m->clock_ns();
    m->spent_ns[m->current] += t - m->last_ns;
    m->last_ns = t;
    m->current = before;
  }
}

/* Measures from here on. */
static inline void fk_cpu_profile_start(FkCpuProfile *m, gint64 (*clock_ns)(void)) {
  m->clock_ns = clock_ns;
  m->last_ns = clock_ns();
}

const char *fk_cpu_purpose_name(FkCpuPurpose c);
