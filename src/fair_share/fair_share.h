/* Fair shares of the fleet's capacity. Guarantees are served first; the rest is divided by water-filling
 * among all teams that demand more, each up to the same level, best-effort teams like any other. The number
 * of tasks doesn't matter: 25,000 tasks of one team are one demand. Pure functions. All amounts are of
 * the dominant resource (the larger part of the fleet's CPUs or GPUs), expressed in CPUs. Alternatives
 * considered: docs/best-effort-teams.md, "Borrowed room". */
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
  FK_STANDING_PROTECTED, /* its whole demand is within its guarantee: it doesn't wait for others */
  FK_STANDING_SHORT,     /* well below its share */
  FK_STANDING_FAIR,      /* near its share */
  FK_STANDING_OVER       /* well above its share */
} FkStanding;
/* Returns the team's standing. Its share must be set. */
FkStanding fk_fair_share_standing(const FkFairShareDemand *demand);
