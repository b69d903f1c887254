/* What a team may use at most, and what it is owed: the one place that knows what a zero in the platform's
 * settings means (DEPLOY: "A value of 0 means none"). Amounts are CPUs or GPUs. */
#pragma once
#include <glib.h>

/* A guarantee of 0 is no guarantee; a limit of 0 is no limit. A team with neither is a guest: it is let in,
 * runs on what nobody else has a claim to, and is bounded by nothing but that (docs/guests.md argues it). No
 * limit is infinity here, so that "within the limit" needs no special case. */
double fk_quota_from_setting(double setting);
gboolean fk_quota_is_limited(double most);

/* Whether `used` and so much more, `each` of `times`, stay within. Sums are taken in doubles: 100,000 tasks
 * of the largest setting there is (1e9) are exact below 2^53. */
gboolean fk_quota_allows(double most, double used, double each, double times);

/* What is left; never negative. */
double fk_quota_left(double most, double used);

typedef enum {
  FK_TEAM_ORDINARY,             /* guarantee and limit */
  FK_TEAM_BEST_EFFORT,          /* neither */
  FK_TEAM_UNLIMITED,            /* a guarantee, and no limit */
  FK_TEAM_WITHOUT_GUARANTEE,    /* a limit, and no guarantee */
  FK_TEAM_QUOTA_BELOW_GUARANTEE /* the limit is below the guarantee: the limit holds */
} FkTeamKind;

/* `most` as fk_quota_from_setting() gives it. */
FkTeamKind fk_team_kind(double guarantee, double most);
/* In words, for operators; static. */
const char *fk_team_kind_name(FkTeamKind kind);
