#include "fair_share/quota.h"

#include <math.h>

#define EPS 1e-6

double fk_quota_from_setting(double setting) { return setting > 0 ? setting : INFINITY; }

gboolean fk_quota_is_limited(double most) { return isfinite(most); }

gboolean fk_quota_allows(double most, double used, double each, double times) {
  return used + each * times <= most + EPS;
}

double fk_quota_left(double most, double used) { return MAX(0, most - used); }

FkTeamKind fk_team_kind(double guarantee, double most) {
  if (guarantee <= 0)
    return fk_quota_is_limited(most) ? FK_TEAM_WITHOUT_GUARANTEE : FK_TEAM_BEST_EFFORT;
  if (!fk_quota_is_limited(most))
    return FK_TEAM_UNLIMITED;
  return most < guarantee ? FK_TEAM_QUOTA_BELOW_GUARANTEE : FK_TEAM_ORDINARY;
}

const char *fk_team_kind_name(FkTeamKind kind) {
  static const char *const names[] = {"guaranteed, and limited",
                                      "no guarantee, no limit: room that nobody has a claim to",
                                      "guaranteed, without a limit", "limited, without a guarantee",
                                      "limited below its guarantee: the limit holds"};
  return names[kind];
}
