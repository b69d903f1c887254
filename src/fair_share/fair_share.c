#include "fair_share/fair_share.h"

/* Use within this of the share counts as fair: other criteria decide the order there, and since tasks run for
 * a minute or so, use can't follow the share more exactly. */
#define SHARE_TOLERANCE 0.2
#define AMOUNT_EPSILON 1e-6 /* amounts are sums of fractions */
#define BISECTION_STEPS 40  /* to a millionth, whatever the amounts */

double fk_fair_share_dominant(double cpus, double gpus, double all_cpus, double all_gpus) {
  return all_gpus > 0 ? MAX(cpus, gpus / all_gpus * all_cpus) : cpus;
}

/* What it would use: never more than its quota. */
static double total_demand(const FkFairShareDemand *demand) {
  return MIN(demand->used + demand->wanted, demand->quota);
}

/* What it would use of its guarantee. */
static double guaranteed(const FkFairShareDemand *demand) {
  return MIN(demand->guarantee, total_demand(demand));
}

/* The sum of all shares when each is filled up to `level` above its guarantee, as far as it demands. */
static double total_at_level(const FkFairShareDemand *demands, guint count, double level) {
  double sum = 0;
  for (guint i = 0; i < count; i++)
    sum += MIN(total_demand(&demands[i]), guaranteed(&demands[i]) + level);
  return sum;
}

void fk_fair_share_divide(FkFairShareDemand *demands, guint count, double capacity) {
  double guaranteed_sum = total_at_level(demands, count, 0), highest = 0, level = 0;
  for (guint i = 0; i < count; i++)
    highest = MAX(highest, total_demand(&demands[i]));
  if (total_at_level(demands, count, highest) <= capacity) {
    level = highest;
  } else if (guaranteed_sum < capacity) {
    /* water-filling: the sum grows with the level, which is found by bisection */
    double low = 0, high = highest;
    for (guint i = 0; i < BISECTION_STEPS; i++) {
      level = (low + high) / 2;
      *(total_at_level(demands, count, level) <= capacity ? &low : &high) = level;
    }
    level = low;
  }
  /* more is guaranteed than there is: all are scaled down alike */
  double scale = guaranteed_sum > capacity && guaranteed_sum > 0 ? capacity / guaranteed_sum : 1;
  for (guint i = 0; i < count; i++)
    demands[i].share = scale < 1 ? scale * guaranteed(&demands[i])
                                 : MIN(total_demand(&demands[i]), guaranteed(&demands[i]) + level);
}

FkStanding fk_fair_share_standing(const FkFairShareDemand *demand) {
  if (demand->guarantee > 0 && demand->used + demand->wanted <= demand->guarantee + AMOUNT_EPSILON)
    return FK_STANDING_WITHIN_GUARANTEE;
  if (demand->used < (1 - SHARE_TOLERANCE) * demand->share - AMOUNT_EPSILON)
    return FK_STANDING_BELOW_SHARE;
  return demand->used > (1 + SHARE_TOLERANCE) * demand->share + AMOUNT_EPSILON ? FK_STANDING_ABOVE_SHARE
                                                                               : FK_STANDING_NEAR_SHARE;
}
