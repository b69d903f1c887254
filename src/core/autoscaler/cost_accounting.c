/* Where each unit of money goes, as the leader sees it: what the machines cost is counted up by what they
 * were doing at each look, and told once a window. */
#include "core/controller_internal.h"
#include "core/scheduling/placement.h"

#define SAMPLE_INTERVAL_S 2.0

/* In the price's unit (money an hour) times seconds, since the last line. */
struct FkCostAccounting {
  double booting;     /* rented, not up yet */
  double terminating; /* on their way out, and what still runs there */
  double idle;        /* nothing booked */
  double unused;      /* the free part of machines in use */
  double needed;      /* what the tasks that are booked would cost on the cheapest machines they may have */
  double overpriced;  /* ... and what they cost above that */
  FkTime sampled_at;
};

FkCostAccounting *fk_cost_accounting_new(void) { return g_new0(FkCostAccounting, 1); }

void fk_cost_accounting_free(FkCostAccounting *m) { g_free(m); }

static void account_tasks(FkController *c, FkCostAccounting *a, const FkMachine *m, double price, double s) {
  const FkInstanceType *t = m->type;
  double part = 0;
  for (guint i = 0; i < m->allocations->len; i++) {
    const FkSpec *spec = g_array_index(m->allocations, FkAllocationRef, i).job->spec;
    double share = t->cpus > 0 ? spec->cpus / t->cpus : 0;
    double need = MIN(fk_autoscaler_cheapest_price(c, spec), share * price);
    part += share;
    a->needed += need * s;
    a->overpriced += (share * price - need) * s;
  }
  a->unused += MAX(0, 1 - part) * price * s;
}

static void take_sample(FkController *c, double s) {
  FkCostAccounting *a = c->autoscaling.cost_accounting;
  GHashTableIter it;
  gpointer p;
  a->booting += fk_autoscaler_booting_price(c) * s;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    const FkInstanceType *t = m->record ? fk_machine_type(c, m) : NULL;
    if (!t)
      continue;
    double price = fk_instance_type_price(t, m->record->spot);
    if (m->drain_reason)
      a->terminating += price * s;
    else if (!m->allocations->len)
      a->idle += price * s;
    else
      account_tasks(c, a, m, price, s);
  }
}

void fk_cost_accounting_tick(FkController *c) {
  FkCostAccounting *a = c->autoscaling.cost_accounting;
  double s = fk_time_between(a->sampled_at, c->now);
  if (s < SAMPLE_INTERVAL_S)
    return;
  a->sampled_at = c->now;
  if (s < 2 * SAMPLE_INTERVAL_S) /* longer: we weren't leading meanwhile */
    take_sample(c, s);
}

void fk_cost_accounting_log(FkController *c) {
  FkCostAccounting *a = c->autoscaling.cost_accounting;
  double all = a->booting + a->terminating + a->idle + a->unused + a->needed + a->overpriced,
         per = all > 0 ? 100 / all : 0;
  FkView *v = c->view;
  g_info(
      "money: %.3f; needed %.0f%%, dearer machines %.0f%%, partly empty %.0f%%, idle %.0f%%, booting %.0f%%, "
      "going %.0f%%; %.0f core-seconds were lost",
      all / 3600, a->needed * per, a->overpriced * per, a->unused * per, a->idle * per, a->booting * per,
      a->terminating * per, v->lost_cpu_s);
  v->lost_cpu_s = 0;
  *a = (FkCostAccounting){.sampled_at = a->sampled_at};
}
