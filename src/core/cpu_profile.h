/* Processor time by purpose. The clock is an input: the shell gives one, tests may give none. What is going
 * on is a small stack kept by the callers: fk_meter_enter() says what begins, and returns what went on
 * before, to be handed to fk_meter_leave(). Time is charged to the innermost purpose only. */
#pragma once
#include <glib.h>

typedef enum {
  FK_COST_LOOP,     /* HTTP, sockets and the main loop: all that has no name of its own */
  FK_COST_REPORTS,  /* what workers say, and the answers */
  FK_COST_DECODE,   /* the store's answers become records */
  FK_COST_APPLY,    /* records become the view */
  FK_COST_ENCODE,   /* transactions become bodies */
  FK_COST_USERS,    /* submissions, polls, cancellations */
  FK_COST_LAUNCHES, /* placement */
  FK_COST_STOPS,    /* what must leave its machine */
  FK_COST_FLEET,    /* renting and returning */
  FK_COST_HOMES,    /* machines in this home's care, and their ends */
  FK_COST_CLAIMS,   /* claims, machines' pages, shares, session */
  FK_COST_IDLE,     /* waiting: nothing, where the clock is of processor time alone */
  FK_COSTS
} FkCost;

typedef struct {
  gint64 (*clock_ns)(void); /* processor time of this thread; NULL: nothing is measured */
  FkCost now;
  gint64 last_ns;
  gint64 spent_ns[FK_COSTS]; /* in this window */
  guint times[FK_COSTS];
} FkMeter;

static inline FkCost fk_meter_enter(FkMeter *m, FkCost what) {
  FkCost before = m->now;
  if (m->clock_ns && what != before) {
    gint64 t = m->clock_ns();
    m->spent_ns[before] += t - m->last_ns;
    m->last_ns = t;
    m->now = what;
  }
  m->times[what]++;
  return before;
}

static inline void fk_meter_leave(FkMeter *m, FkCost before) {
  if (m->clock_ns && m->now != before) {
    gint64 t = m->clock_ns();
    m->spent_ns[m->now] += t - m->last_ns;
    m->last_ns = t;
    m->now = before;
  }
}

/* Measures from here on. */
static inline void fk_meter_start(FkMeter *m, gint64 (*clock_ns)(void)) {
  m->clock_ns = clock_ns;
  m->last_ns = clock_ns();
}

const char *fk_cost_name(FkCost c);
