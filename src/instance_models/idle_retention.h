/* How long an idle machine is worth keeping, learnt from what followed earlier terminations: where much of
 * what is terminated is provisioned again soon, the next machine is kept longer (the ski-rental problem: keep
 * paying, or pay the boot again). Pure; amounts are CPUs. Alternatives: docs/best-effort-teams.md, "Idle
 * machines". */
#pragma once
#include "common/types.h"

#define FK_IDLE_RETENTION_FACTOR_MAX 8.0

typedef struct {
  double terminated_cpus;    /* decays */
  double reprovisioned_cpus; /* of those, provisioned again soon; decays */
  GArray *recent;            /* terminations of the last while, the oldest first */
  FkTime decayed_at;
} FkIdleRetention;

void fk_idle_retention_init(FkIdleRetention *retention, FkTime now);
void fk_idle_retention_clear(FkIdleRetention *retention);

/* So many CPUs of idle machines were terminated. */
void fk_idle_retention_terminated(FkIdleRetention *retention, double cpus, FkTime now);

/* So many CPUs were provisioned. */
void fk_idle_retention_provisioned(FkIdleRetention *retention, double cpus, FkTime now);

/* In how many times the configured idle time a machine is terminated: 1 to FK_IDLE_RETENTION_FACTOR_MAX. */
double fk_idle_retention_factor(FkIdleRetention *retention, FkTime now);
