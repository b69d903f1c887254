/* Fair shares of the fleet's capacity. Guarantees are served first. The rest is divided by water-filling:
 * every team that demands more, whether best-effort or not, gets up to the same amount of it. The number of
 * tasks doesn't matter: 25,000 tasks of one team are one demand. Pure functions. All amounts are of the
 * dominant resource (CPUs or GPUs, whichever is the larger fraction of the fleet's), expressed in CPUs.
 * Alternatives considered: docs/best-effort-teams.md, "Borrowed room". */
#pragma once
#include <glib.h>

/* One team's demand and its share, in CPUs. */
typedef struct {
  double guarantee; /* guaranteed capacity; 0 if there is none */
  double quota;     /* limit of the team's use; infinite if there is none */
  double used;      /* allocated capacity */
  double wanted;    /* demand of the team's waiting tasks */
  double share;     /* output: the team's share of the capacity */
} FkFairShareDemand;

/* Returns the dominant resource of these amounts in a fleet of `all_cpus` and `all_gpus`, expressed in
 * CPUs. */
double fk_fair_share_dominant(double cpus, double gpus, double all_cpus, double all_gpus);

/* Sets each team's share of `capacity` CPUs. No share exceeds what the team uses and wants, nor its quota;
 * the sum of the shares is at most the capacity. */
void fk_fair_share_divide(FkFairShareDemand *demands, guint count, double capacity);

/* How a team's use compares with its share; lower values come first in the scheduling queue. */
typedef enum {
  FK_STANDING_WITHIN_GUARANTEE, /* the team's whole demand is within its guarantee */
  FK_STANDING_BELOW_SHARE,      /* the team uses well below its share */
  FK_STANDING_NEAR_SHARE,       /* the team uses about its share */
  FK_STANDING_ABOVE_SHARE       /* the team uses well above its share */
} FkStanding;
/* Returns the team's standing. Its share must be set. */
FkStanding fk_fair_share_standing(const FkFairShareDemand *demand);
