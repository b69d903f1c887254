/* A model of how long an idle machine is worth keeping. If much of the terminated capacity is provisioned
 * again soon, idle machines are kept for longer. This is the ski-rental problem: pay for the idle machine, or
 * pay for another boot. Amounts are in CPUs. The functions have no side effects besides changing the model.
 * Alternatives are described in docs/best-effort-teams.md, "Idle machines". */
#pragma once
#include "common/types.h"

#define FK_IDLE_RETENTION_FACTOR_MAX 8.0

/* The state of the model, for machines of one purchase option. */
typedef struct {
  double terminated_cpus;    /* CPUs of terminated machines, with exponential decay */
  double reprovisioned_cpus; /* the part of `terminated_cpus` that was soon provisioned again */
  GArray *recent; /* recent terminations whose CPUs haven't all been provisioned again, oldest first; owned */
  FkTime decayed_at; /* time of the last decay */
} FkIdleRetention;

void fk_idle_retention_init(FkIdleRetention *retention, FkTime now);
void fk_idle_retention_clear(FkIdleRetention *retention);

/* Records that idle machines with `cpus` CPUs are being terminated. */
void fk_idle_retention_terminated(FkIdleRetention *retention, double cpus, FkTime now);

/* Records that machines with `cpus` CPUs are being provisioned. */
void fk_idle_retention_provisioned(FkIdleRetention *retention, double cpus, FkTime now);

/* Returns the factor by which the configured idle time is multiplied: 1 to FK_IDLE_RETENTION_FACTOR_MAX. */
double fk_idle_retention_factor(FkIdleRetention *retention, FkTime now);
