/* Cost accounting: the leader samples the machines, attributes their cost to categories of use, and logs the
 * sums once per window. */
#include "core/controller_internal.h"
#include "core/scheduling/placement.h"

#define SAMPLE_INTERVAL_S 2.0
#define S_PER_HOUR 3600

/* Costs since the last log line, in money per hour (the unit of prices) times seconds. */
struct FkCostAccounting {
  double booting;     /* booting machines */
  double terminating; /* machines to be terminated, including tasks that still run there */
  double idle;        /* machines without allocations */
  double unused;      /* the free part of machines with allocations */
  /* cost that the allocated tasks would have on the cheapest machines, at most their actual cost */
  double needed;
  double overpriced; /* the actual cost of the allocated tasks beyond `needed` */
  FkTime sampled_at;
};

FkCostAccounting *fk_cost_accounting_new(void) { return g_new0(FkCostAccounting, 1); }

void fk_cost_accounting_free(FkCostAccounting *accounting) { g_free(accounting); }

/* Divides the machine's cost for `interval_s` seconds among its tasks and its unused part, by CPUs. */
static void account_tasks(FkController *c, const FkMachine *machine, double price, double interval_s) {
  FkCostAccounting *accounting = c->autoscaling.cost_accounting;
  const FkInstanceType *type = machine->type;
  double used_share = 0;
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkSpec *spec = g_array_index(machine->allocations, FkAllocationRef, i).job->spec;
    double share = type->cpus > 0 ? spec->cpus / type->cpus : 0;
    double needed_price = MIN(fk_autoscaler_cheapest_price(c, spec), share * price);
    used_share += share;
    accounting->needed += needed_price * interval_s;
    accounting->overpriced += (share * price - needed_price) * interval_s;
  }
  accounting->unused += MAX(0, 1 - used_share) * price * interval_s;
}

static void account_machine(FkController *c, FkMachine *machine, double interval_s) {
  FkCostAccounting *accounting = c->autoscaling.cost_accounting;
  const FkInstanceType *type = machine->record ? fk_machine_type(c, machine) : NULL;
  if (!type)
    return;
  double price = fk_instance_type_price(type, machine->record->spot);
  if (machine->drain_reason)
    accounting->terminating += price * interval_s;
  else if (!machine->allocations->len)
    accounting->idle += price * interval_s;
  else
    account_tasks(c, machine, price, interval_s);
}

static void take_sample(FkController *c, double interval_s) {
  c->autoscaling.cost_accounting->booting += fk_autoscaler_booting_price(c) * interval_s;
  GHashTableIter it;
  gpointer machine;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &machine))
    account_machine(c, machine, interval_s);
}

void fk_cost_accounting_tick(FkController *c) {
  FkCostAccounting *accounting = c->autoscaling.cost_accounting;
  double interval_s = fk_time_between(accounting->sampled_at, c->now);
  if (interval_s < SAMPLE_INTERVAL_S)
    return;
  accounting->sampled_at = c->now;
  /* an interval of 2 * SAMPLE_INTERVAL_S or more includes time in which this controller wasn't the leader:
   * the interval isn't accounted */
  if (interval_s < 2 * SAMPLE_INTERVAL_S)
    take_sample(c, interval_s);
}

void fk_cost_accounting_log(FkController *c) {
  FkCostAccounting *accounting = c->autoscaling.cost_accounting;
  double total = accounting->booting + accounting->terminating + accounting->idle + accounting->unused +
                 accounting->needed + accounting->overpriced;
  double percent = total > 0 ? 100 / total : 0;
  g_info("cost total=%.3f needed=%.0f%% overpriced=%.0f%% unused=%.0f%% idle=%.0f%% booting=%.0f%% "
         "terminating=%.0f%% lost_core_s=%.0f",
         total / S_PER_HOUR, accounting->needed * percent, accounting->overpriced * percent,
         accounting->unused * percent, accounting->idle * percent, accounting->booting * percent,
         accounting->terminating * percent, c->view->lost_cpu_s);
  c->view->lost_cpu_s = 0;
  *accounting = (FkCostAccounting){.sampled_at = accounting->sampled_at};
}
