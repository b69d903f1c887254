/* Who is owed what of the room there is: guarantees first, then what is left by water-filling among all who
 * want more, each to the same level, a guest like any other. Never first come, first served: a guest's 25,000
 * tasks are one claimant. Pure. Amounts are in one unit, the dominant share (the larger part of the fleet's
 * CPUs or GPUs), given in CPUs. Ways weighed: docs/guests.md, "Borrowed room". */
#pragma once
#include <glib.h>

typedef struct {
  double guarantee; /* 0: none */
  double quota;     /* the limit; infinite: none */
  double used;      /* booked */
  double wanted;    /* waits for a place */
  double share;     /* out: what it is owed of the room there is */
} FkFairShareDemand;

/* CPUs that stand for so much of a fleet with `all_cpus` and `all_gpus`. */
double fk_fair_share_dominant(double cpus, double gpus, double all_cpus, double all_gpus);

/* Fills in what each is due of `room`. Never more than it uses and wants, nor than its limit; the sum is at
 * most the room. */
void fk_fair_share_divide(FkFairShareDemand *claimants, guint n, double room);

/* Lower: goes first. */
typedef enum {
  FK_STANDING_PROTECTED, /* all that it wants fits its guarantee: it need not wait for others (DEPLOY) */
  FK_STANDING_SHORT,     /* well below what it is due */
  FK_STANDING_FAIR,
  FK_STANDING_OVER /* well above */
} FkStanding;
FkStanding fk_fair_share_standing(const FkFairShareDemand *c);
