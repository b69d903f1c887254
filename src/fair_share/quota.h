/* A team's quota (the limit of its use) and guarantee. A setting of 0 means that the team has none;
 * fk_quota_from_setting() turns a quota of 0 into infinity. Amounts are CPUs or GPUs. */
#pragma once
#include <glib.h>

/* Converts a setting to a quota: infinite for 0, so that a team without a quota needs no special case. A team
 * with neither quota nor guarantee is best-effort: it runs on capacity to which no other team has a claim,
 * and nothing else limits it (reasons: docs/best-effort-teams.md). */
double fk_quota_from_setting(double setting);
/* Returns whether the quota is a limit, that is, not infinite. */
gboolean fk_quota_is_limited(double quota);

/* Returns whether `used` plus `tasks` tasks of `per_task` each stay within the quota. Doubles are exact
 * enough: 100,000 tasks of the largest amount per task (1e9) stay below 2^53. */
gboolean fk_quota_allows(double quota, double used, double per_task, double tasks);

/* Returns what is left of the quota after `used`; never negative. */
double fk_quota_left(double quota, double used);

/* Kinds of teams, by whether they have a guarantee and a quota. */
typedef enum {
  FK_TEAM_ORDINARY,             /* a guarantee and a quota */
  FK_TEAM_BEST_EFFORT,          /* neither a guarantee nor a quota */
  FK_TEAM_UNLIMITED,            /* a guarantee, no quota */
  FK_TEAM_WITHOUT_GUARANTEE,    /* a quota, no guarantee */
  FK_TEAM_QUOTA_BELOW_GUARANTEE /* a quota below the guarantee: the quota applies */
} FkTeamKind;

/* Returns the kind of a team. `quota` is a return value of fk_quota_from_setting(). */
FkTeamKind fk_team_kind(double guarantee, double quota);
/* Returns a description for operators; a static string. */
const char *fk_team_kind_name(FkTeamKind kind);
