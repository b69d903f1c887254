/* Scales in: drains idle machines that the plan doesn't use, so that they are terminated. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/scheduling/placement.h"

/* Idle limits are shorter in clusters with more machines than this, because their demand is smoother. */
#define SMALL_CLUSTER_MACHINES 50.0
#define IDLE_BASE_SHARE 0.5 /* share of the idle limit that doesn't depend on the cluster's size */
/* Idle limit of spot machines divided by that of on-demand machines in a very large cluster, if their
 * retention factors (fk_autoscaler_retention_factor()) are equal. */
#define SPOT_IDLE_RATIO 1.5
/* Added to SPOT_IDLE_RATIO in a small cluster, where a boot costs more than idle spot capacity; in a larger
 * cluster, only a part of this is added. */
#define SPOT_IDLE_RATIO_SMALL 2.5
/* Least idle time before a spot machine is drained while on-demand machines run tasks that could run on spot
 * machines. */
#define SPOT_IDLE_MIN_S 60.0

/* Orders machines by idle time, longest first. */
static int compare_by_idle_time(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  return x->idle_since.us < y->idle_since.us ? -1 : x->idle_since.us > y->idle_since.us;
}

/* Returns the seconds that the machine may be idle before it is drained. `retention` holds the factors of
 * fk_autoscaler_retention_factor() for on-demand and spot machines. */
static double idle_limit_s(FkController *c, const FkMachine *machine, const double retention[2]) {
  double small_cluster_weight = MIN(1, SMALL_CLUSTER_MACHINES / MAX(1, g_hash_table_size(c->view->machines)));
  double spot_ratio =
      machine->record->spot ? SPOT_IDLE_RATIO + SPOT_IDLE_RATIO_SMALL * small_cluster_weight : 1;
  return c->settings->tuning.idle_s * (IDLE_BASE_SHARE + (1 - IDLE_BASE_SHARE) * small_cluster_weight) *
         spot_ratio * retention[machine->record->spot != 0];
}

static gboolean is_idle(const FkMachine *machine) {
  return machine->record && !machine->drain_reason && !machine->pending_drain_reason &&
         !machine->allocations->len && machine->reserved_cpus <= 0;
}

/* Returns the machines that have been idle for longer than their limits, longest idle time first (FkMachine,
 * borrowed). */
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

/* Returns the CPUs of array tasks that run on on-demand machines but could run on spot machines. Idle spot
 * machines with as many CPUs are kept for SPOT_IDLE_MIN_S, so that the next tasks run on these machines, and
 * on-demand machines, which cost several times as much, become idle instead. */
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

static gboolean machine_matches_bin(const FkMachine *machine, const FkCapacityBin *bin) {
  return machine->type == bin->key.type && machine->record->spot == (gboolean)bin->key.spot &&
         g_str_equal(machine->record->zone, bin->key.zone);
}

static void drain_idle_machine(FkController *c, FkMachine *machine) {
  FkIdleRetention *retention = &c->autoscaling.autoscaler->retention[machine->record->spot != 0];
  fk_machine_registry_set_drain_reason(c, machine, FK_DRAIN_REASON_IDLE, -1);
  fk_idle_retention_terminated(retention, machine->type->cpus, c->now);
}

/* Drains as many of the idle machines of the bin's offer as the plan leaves idle, except for spot machines
 * that are kept. Machines that have been handled are set to NULL in `idle`. `movable_cpus` holds the CPUs of
 * tasks that could run on spot instead of on-demand machines; the CPUs of each kept spot machine are
 * subtracted. */
static void scale_in_bin(FkController *c, const FkCapacityBin *bin, GPtrArray *idle, double *movable_cpus) {
  guint spare = bin->count;
  for (guint i = 0; i < idle->len && spare; i++) {
    FkMachine *machine = idle->pdata[i];
    if (!machine || !machine_matches_bin(machine, bin))
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
