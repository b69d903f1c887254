#include "fair_share/quota.h"

#include <math.h>

#define AMOUNT_EPSILON 1e-6 /* tolerance for rounding errors: amounts are sums of fractions */

double fk_quota_from_setting(double setting) { return setting > 0 ? setting : INFINITY; }

gboolean fk_quota_is_limited(double quota) { return isfinite(quota); }

gboolean fk_quota_allows(double quota, double used, double per_task, double tasks) {
  return used + per_task * tasks <= quota + AMOUNT_EPSILON;
}

double fk_quota_left(double quota, double used) { return MAX(0, quota - used); }

FkTeamKind fk_team_kind(double guarantee, double quota) {
  if (guarantee <= 0)
    return fk_quota_is_limited(quota) ? FK_TEAM_WITHOUT_GUARANTEE : FK_TEAM_BEST_EFFORT;
  if (!fk_quota_is_limited(quota))
    return FK_TEAM_UNLIMITED;
  return quota < guarantee ? FK_TEAM_QUOTA_BELOW_GUARANTEE : FK_TEAM_ORDINARY;
}

const char *fk_team_kind_name(FkTeamKind kind) {
  static const char *const names[] = {
      "guarantee and quota",
      "neither guarantee nor quota: best-effort, uses capacity that no other team has a claim to",
      "guarantee, no quota", "quota, no guarantee", "quota below the guarantee: the quota applies"};
  return names[kind];
}
