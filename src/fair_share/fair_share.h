/* Fair shares of the fleet's capacity: guarantees first, then what is left by water-filling among all teams
 * that demand more, each to the same level, best-effort teams like any other. The number of tasks doesn't
 * matter: 25,000 tasks of one team are one demand. Pure. Amounts are in one unit, the dominant resource (the
 * larger part of the fleet's CPUs or GPUs), expressed in CPUs. Alternatives weighed:
 * docs/best-effort-teams.md, "Borrowed room". */
#pragma once
#include <glib.h>

/* One team's demand, and its share. */
typedef struct {
  double guarantee; /* 0: none */
  double quota;     /* its limit; infinite: none */
  double used;      /* allocated */
  double wanted;    /* what its waiting tasks ask for */
  double share;     /* output: its share of the capacity */
} FkFairShareDemand;

/* The dominant resource of these amounts in a fleet of `all_cpus` and `all_gpus`, in CPUs. */
double fk_fair_share_dominant(double cpus, double gpus, double all_cpus, double all_gpus);

/* Fills in the shares of `capacity` CPUs. No share is larger than what the team uses and wants, nor than its
 * quota; their sum is at most the capacity. */
void fk_fair_share_divide(FkFairShareDemand *demands, guint count, double capacity);

/* How a team's use compares with its share. Lower goes first. */
typedef enum {
  FK_STANDING_WITHIN_GUARANTEE, /* everything it demands fits its guarantee: it doesn't wait for others */
  FK_STANDING_BELOW_SHARE,      /* well below its share */
  FK_STANDING_NEAR_SHARE,       /* near it */
  FK_STANDING_ABOVE_SHARE       /* well above it */
} FkStanding;
/* Needs the share to be filled in. */
FkStanding fk_fair_share_standing(const FkFairShareDemand *demand);
