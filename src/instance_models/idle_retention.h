/* How long an idle machine is worth keeping, learnt from what came of giving others back: where much of what
 * goes is rented again soon, the next one is kept longer (the renter's problem: keep paying, or pay the boot
 * again). Pure; amounts are CPUs. Ways weighed: docs/guests.md, "Idle machines". */
#pragma once
#include "core/types.h"

typedef struct {
  double terminated_cpus, reprovisioned_cpus; /* CPUs given back, and of them rented again soon; both fade */
  GArray *recent;                             /* what was given back in the last while, the oldest first */
  FkTime decayed_at;
} FkIdleRetention;

void fk_idle_retention_init(FkIdleRetention *h, FkTime now);
void fk_idle_retention_clear(FkIdleRetention *h);
void fk_idle_retention_terminated(FkIdleRetention *h, double cpus, FkTime now);
void fk_idle_retention_provisioned(FkIdleRetention *h, double cpus, FkTime now);
/* How many times as long as usual an idle machine is kept: 1 to FK_IDLE_RETENTION_FACTOR_MAX. */
double fk_idle_retention_factor(FkIdleRetention *h, FkTime now);
#define FK_IDLE_RETENTION_FACTOR_MAX 8.0
