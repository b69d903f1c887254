#include "fair_share/fair_share.h"

/* So far from what is due is no injustice yet: within it other reasons decide whose turn it is, and what runs
 * for a minute leaves nobody more exact. */
#define SHARE_TOLERANCE 0.2
#define EPS 1e-6

double fk_fair_share_dominant(double cpus, double gpus, double all_cpus, double all_gpus) {
  return all_gpus > 0 ? MAX(cpus, gpus / all_gpus * all_cpus) : cpus;
}

static double demand(const FkFairShareDemand *c) { return MIN(c->used + c->wanted, c->quota); }

static double guaranteed(const FkFairShareDemand *c) { return MIN(c->guarantee, demand(c)); }

/* What all are due together when those who want more than their guarantee are filled up to `level` above it.
 */
static double total_at_level(const FkFairShareDemand *claimants, guint n, double level) {
  double sum = 0;
  for (guint i = 0; i < n; i++)
    sum += MIN(demand(&claimants[i]), guaranteed(&claimants[i]) + level);
  return sum;
}

void fk_fair_share_divide(FkFairShareDemand *claimants, guint n, double room) {
  double sure = total_at_level(claimants, n, 0), most = 0, level = 0;
  for (guint i = 0; i < n; i++)
    most = MAX(most, demand(&claimants[i]));
  if (total_at_level(claimants, n, most) <= room) {
    level = most;
  } else if (sure < room) {
    /* the sum grows with the level: halving finds it to a millionth in 40 steps, whatever the numbers */
    double low = 0, high = most;
    for (guint i = 0; i < 40; i++) {
      level = (low + high) / 2;
      *(total_at_level(claimants, n, level) <= room ? &low : &high) = level;
    }
    level = low;
  }
  /* more guaranteed than there is: all give way alike */
  double scale = sure > room && sure > 0 ? room / sure : 1;
  for (guint i = 0; i < n; i++)
    claimants[i].share = scale < 1 ? scale * guaranteed(&claimants[i])
                                   : MIN(demand(&claimants[i]), guaranteed(&claimants[i]) + level);
}

FkStanding fk_fair_share_standing(const FkFairShareDemand *c) {
  if (c->guarantee > 0 && c->used + c->wanted <= c->guarantee + EPS)
    return FK_STANDING_PROTECTED;
  if (c->used < (1 - SHARE_TOLERANCE) * c->share - EPS)
    return FK_STANDING_SHORT;
  return c->used > (1 + SHARE_TOLERANCE) * c->share + EPS ? FK_STANDING_OVER : FK_STANDING_FAIR;
}
