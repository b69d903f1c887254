/* Scaling in: idle machines that the plan has no use for are drained and terminated. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/scheduling/placement.h"

#define SMALL_CLUSTER_MACHINES 50.0 /* with more of them demand is smoother: spare machines show sooner */
#define IDLE_BASE_SHARE 0.5         /* of the idle time that the size of the cluster doesn't change */
#define SPOT_IDLE_RATIO 1.5         /* of on-demand machines' idle time, ... */
#define SPOT_IDLE_RATIO_SMALL 2.5   /* ... and more in a small cluster: spot costs little against a boot */
#define SPOT_IDLE_MIN_S 60.0        /* while on-demand machines run work that spot machines could */

/* The longest idle first. */
static int compare_by_idle_time(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  return x->idle_since.us < y->idle_since.us ? -1 : x->idle_since.us > y->idle_since.us;
}

/* How long a machine may be idle; `retention`: factors by purchase option. */
static double idle_limit_s(FkController *c, const FkMachine *machine, const double retention[2]) {
  double smallness = MIN(1, SMALL_CLUSTER_MACHINES / MAX(1, g_hash_table_size(c->view->machines)));
  double spot_ratio = machine->record->spot ? SPOT_IDLE_RATIO + SPOT_IDLE_RATIO_SMALL * smallness : 1;
  return c->settings->tuning.idle_s * (IDLE_BASE_SHARE + (1 - IDLE_BASE_SHARE) * smallness) * spot_ratio *
         retention[machine->record->spot != 0];
}

static gboolean is_idle(const FkMachine *machine) {
  return machine->record && !machine->drain_reason && !machine->pending_drain_reason &&
         !machine->allocations->len && machine->reserved_cpus <= 0;
}

/* FkMachine, borrowed: idle for longer than their limits, the longest idle first. */
static GPtrArray *long_idle_machines(FkController *c) {
  GPtrArray *idle = g_ptr_array_new();
  const double retention[2] = {fk_autoscaler_retention_factor(c, FALSE),
                               fk_autoscaler_retention_factor(c, TRUE)};
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkMachine *machine = value;
    if (is_idle(machine) && fk_machine_type(c, machine) &&
        fk_time_between(machine->idle_since, c->now) > idle_limit_s(c, machine, retention))
      g_ptr_array_add(idle, machine);
  }
  g_ptr_array_sort(idle, compare_by_idle_time);
  return idle;
}

/* CPUs of tasks on on-demand machines that spot machines could run. While there are any, an idle spot machine
 * is worth keeping for the next tasks: the on-demand machines, which cost several times as much, run empty
 * instead. */
static double spot_capable_cpus_on_demand(FkController *c) {
  double cpus = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkMachine *machine = value;
    if (!machine->record || machine->record->spot)
      continue;
    for (guint i = 0; i < machine->allocations->len; i++) {
      const FkSpec *spec = g_array_index(machine->allocations, FkAllocationRef, i).job->spec;
      cpus += spec->spot && spec->shape == FK_SHAPE_ARRAY ? spec->cpus : 0;
    }
  }
  return cpus;
}

static gboolean machine_is_in_bin(const FkMachine *machine, const FkCapacityBin *bin) {
  return machine->type == bin->key.type && machine->record->spot == (gboolean)bin->key.spot &&
         g_str_equal(machine->record->zone, bin->key.zone);
}

static void drain_idle_machine(FkController *c, FkMachine *machine) {
  FkIdleRetention *retention = &c->autoscaling.autoscaler->retention[machine->record->spot != 0];
  fk_machine_registry_set_drain_reason(c, machine, FK_DRAIN_REASON_IDLE, -1);
  fk_idle_retention_terminated(retention, machine->type->cpus, c->now);
}

/* Drains as many of the bin's machines as the plan has left idle. Machines that are dealt with are set to
 * NULL in `idle`; `movable_cpus` is what kept spot machines are kept for. */
static void scale_in_bin(FkController *c, const FkCapacityBin *bin, GPtrArray *idle, double *movable_cpus) {
  guint spare = bin->count;
  for (guint i = 0; i < idle->len && spare; i++) {
    FkMachine *machine = idle->pdata[i];
    if (!machine || !machine_is_in_bin(machine, bin))
      continue;
    idle->pdata[i] = NULL;
    spare--;
    gboolean keep = machine->record->spot && *movable_cpus > 0 &&
                    fk_time_between(machine->idle_since, c->now) < SPOT_IDLE_MIN_S;
    if (keep)
      *movable_cpus -= machine->type->cpus;
    else
      drain_idle_machine(c, machine);
  }
}

void fk_autoscaler_scale_in_idle(FkController *c, const FkCapacityPlan *plan) {
  g_autoptr(GPtrArray) idle = long_idle_machines(c);
  double movable_cpus = spot_capable_cpus_on_demand(c);
  for (guint i = 0; i < plan->bins->len; i++) {
    const FkCapacityBin *bin = &g_array_index(plan->bins, FkCapacityBin, i);
    if (bin->key.kind == FK_CAPACITY_BIN_IDLE)
      scale_in_bin(c, bin, idle, &movable_cpus);
  }
}
