/* How long an idle machine is worth keeping, learnt from what came of giving others back: where much of what
 * goes is rented again soon, the next one is kept longer (the renter's problem: keep paying, or pay the boot
 * again). Pure; amounts are CPUs. Ways weighed: docs/guests.md, "Idle machines". */
#pragma once
#include "core/types.h"

typedef struct {
  double returned, again; /* CPUs given back, and of them rented again soon; both fade */
  GArray *lately;         /* what was given back in the last while, the oldest first */
  FkTime faded;
} FkHold;

void fk_hold_init(FkHold *h, FkTime now);
void fk_hold_clear(FkHold *h);
void fk_hold_returned(FkHold *h, double cpus, FkTime now);
void fk_hold_rented(FkHold *h, double cpus, FkTime now);
/* How many times as long as usual an idle machine is kept: 1 to FK_HOLD_MOST. */
double fk_hold_times(FkHold *h, FkTime now);
#define FK_HOLD_MOST 8.0
