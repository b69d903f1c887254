/* A team's quota (how much it may use) and guarantee: the only place that knows that 0 in the platform's
 * settings means none. Amounts are CPUs or GPUs. */
#pragma once
#include <glib.h>

/* The quota that a setting means; infinite for 0, so that no quota needs no special case. A team with neither
 * quota nor guarantee is best-effort: it runs on capacity that nobody else has a claim to, and is limited by
 * nothing else (reasons: docs/best-effort-teams.md). */
double fk_quota_from_setting(double setting);
/* Whether there is a quota at all. */
gboolean fk_quota_is_limited(double quota);

/* Whether `used` and so many more tasks stay within the quota. Doubles are exact enough: 100,000 tasks of the
 * largest setting there is (1e9) stay below 2^53. */
gboolean fk_quota_allows(double quota, double used, double per_task, double tasks);

/* What is left of the quota; never negative. */
double fk_quota_left(double quota, double used);

/* Teams by which of the two they have. */
typedef enum {
  FK_TEAM_ORDINARY,             /* a guarantee and a quota */
  FK_TEAM_BEST_EFFORT,          /* neither */
  FK_TEAM_UNLIMITED,            /* a guarantee, no quota */
  FK_TEAM_WITHOUT_GUARANTEE,    /* a quota, no guarantee */
  FK_TEAM_QUOTA_BELOW_GUARANTEE /* a quota below the guarantee: the quota holds */
} FkTeamKind;

/* `quota` as fk_quota_from_setting() returns it. */
FkTeamKind fk_team_kind(double guarantee, double quota);
/* A description for operators; static. */
const char *fk_team_kind_name(FkTeamKind kind);
