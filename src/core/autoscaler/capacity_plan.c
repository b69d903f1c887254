/* Capacity plans: keeps bins of equal capacity in a hash table, with rounded amounts in the key. */
#include "core/autoscaler/capacity_plan.h"
#include "core/scheduling/placement.h"

#include <math.h>
#include <string.h>

#include "core/controller_internal.h"

#define CPU_STEPS 4.0   /* free CPUs and GPUs are rounded to multiples of 1/CPU_STEPS in a bin's key */
#define MEM_STEPS 2.0   /* free memory is rounded to multiples of 1/MEM_STEPS GB in a bin's key */
#define TIME_STEP_S 2.0 /* resolution of the time of availability in a bin's key */
/* Capacity is omitted from the plan, as too small for any task, if both its CPUs and its GPUs are less than
 * BIN_CPUS_MIN, or if its memory is less than BIN_MEM_GB_MIN. */
#define BIN_CPUS_MIN 0.25
#define BIN_MEM_GB_MIN 0.25
#define ROUND_UP_OFFSET 0.9999 /* added before rounding down, which thereby rounds up */
#define ROUND_DOWN_OFFSET 1e-6 /* added before rounding down; tolerates rounding errors */
#define AMOUNT_EPSILON 1e-6    /* tolerates rounding errors in sums of fractions */
#define SLOTS_MAX 100000       /* limit of fk_capacity_task_slots() */

static guint bin_key_hash(gconstpointer key) { /* FNV-1a */
  const guint8 *bytes = key;
  guint hash = 2166136261u;
  for (gsize i = 0; i < sizeof(FkCapacityBinKey); i++)
    hash = (hash ^ bytes[i]) * 16777619u;
  return hash;
}

static gboolean bin_key_equal(gconstpointer a, gconstpointer b) {
  return memcmp(a, b, sizeof(FkCapacityBinKey)) == 0;
}

FkCapacityPlan *fk_capacity_plan_new(void) {
  FkCapacityPlan *plan = g_new0(FkCapacityPlan, 1);
  plan->bins = g_array_new(FALSE, TRUE, sizeof(FkCapacityBin));
  plan->index = g_hash_table_new_full(bin_key_hash, bin_key_equal, g_free, NULL);
  plan->to_provision = g_array_new(FALSE, TRUE, sizeof(FkCapacityBin));
  return plan;
}

void fk_capacity_plan_free(FkCapacityPlan *plan) {
  g_array_unref(plan->bins);
  g_array_unref(plan->to_provision);
  g_hash_table_unref(plan->index);
  g_free(plan);
}

static gint64 to_steps(double amount, double steps, double rounding) {
  return (gint64)floor(amount * steps + rounding);
}

/* Returns the key of a bin. Free capacity is rounded down (CPU_STEPS, MEM_STEPS). Capacity that a task will
 * release is rounded up, so that another task with the same spec fits into it. */
static FkCapacityBinKey bin_key(FkCapacityBinKind kind, const FkOffer *offer, FkCapacity free,
                                double available_s) {
  double rounding = kind == FK_CAPACITY_BIN_RELEASED ? ROUND_UP_OFFSET : ROUND_DOWN_OFFSET;
  FkCapacityBinKey key;
  memset(&key, 0, sizeof key); /* the padding is hashed and compared too */
  key.type = offer->type;
  key.zone = g_intern_string(offer->zone);
  key.spot = (guint32)offer->spot;
  key.kind = kind;
  key.cpu_steps = to_steps(free.cpus, CPU_STEPS, rounding);
  key.gpu_steps = to_steps(free.gpus, CPU_STEPS, rounding);
  key.mem_steps = to_steps(free.mem_gb, MEM_STEPS, rounding);
  key.time_steps = available_s <= 0 ? 0 : 1 + (gint64)(available_s / TIME_STEP_S);
  return key;
}

void fk_capacity_plan_add(FkCapacityPlan *plan, FkCapacityBinKind kind, const FkOffer *offer, guint count,
                          FkCapacity free, double available_s) {
  if (!count || (free.cpus < BIN_CPUS_MIN && free.gpus < BIN_CPUS_MIN) || free.mem_gb < BIN_MEM_GB_MIN)
    return;
  FkCapacityBinKey key = bin_key(kind, offer, free, available_s);
  guint place = GPOINTER_TO_UINT(g_hash_table_lookup(plan->index, &key));
  if (place) {
    g_array_index(plan->bins, FkCapacityBin, place - 1).count += count;
    return;
  }
  FkCapacityBin bin = {
      .key = key,
      .count = count,
      .free = {key.cpu_steps / CPU_STEPS, key.gpu_steps / CPU_STEPS, key.mem_steps / MEM_STEPS},
      .available_s = MAX(0, available_s)};
  g_array_append_val(plan->bins, bin);
  g_hash_table_insert(plan->index, g_memdup2(&key, sizeof key), GUINT_TO_POINTER(plan->bins->len));
}

guint fk_capacity_task_slots(FkCapacity free, const FkSpec *spec) {
  double slots = spec->cpus > 0 ? floor(free.cpus / spec->cpus + AMOUNT_EPSILON) : 1e6;
  if (spec->gpus > 0)
    slots = MIN(slots, floor(free.gpus / spec->gpus + AMOUNT_EPSILON));
  if (spec->mem_gb > 0)
    slots = MIN(slots, floor(free.mem_gb / spec->mem_gb + AMOUNT_EPSILON));
  return (guint)CLAMP(slots, 0, SLOTS_MAX);
}

/* Returns how many tasks with this spec fit into each machine, or part of a machine, of the bin; 0 if the
 * spec excludes the bin's offer. */
static guint bin_task_slots(const FkCapacityBin *bin, const FkSpec *spec) {
  if ((bin->key.spot && !spec->spot) || (spec->zone && !g_str_equal(spec->zone, bin->key.zone)) ||
      !fk_placement_fits_type(spec, bin->key.type))
    return 0;
  return fk_capacity_task_slots(bin->free, spec);
}

/* Returns whether `bin` is better than `best`: available earlier, or at the same time and on machines in use
 * while `best` isn't. */
static gboolean is_preferred(const FkCapacityBin *bin, const FkCapacityBin *best) {
  if (bin->available_s != best->available_s)
    return bin->available_s < best->available_s;
  return bin->key.kind == FK_CAPACITY_BIN_IN_USE && best->key.kind != FK_CAPACITY_BIN_IN_USE;
}

int fk_capacity_plan_earliest_bin(const FkCapacityPlan *plan, const FkSpec *spec) {
  int best = -1;
  for (guint i = 0; i < plan->bins->len; i++) {
    const FkCapacityBin *bin = &g_array_index(plan->bins, FkCapacityBin, i);
    if (!bin->count || (best >= 0 && !is_preferred(bin, &g_array_index(plan->bins, FkCapacityBin, best))))
      continue;
    if (bin_task_slots(bin, spec))
      best = (int)i;
  }
  return best;
}

/* Returns `free` minus the needs of `tasks` tasks with this spec. */
static FkCapacity capacity_after_tasks(FkCapacity free, guint tasks, const FkSpec *spec) {
  return (FkCapacity){free.cpus - tasks * spec->cpus, free.gpus - tasks * spec->gpus,
                      free.mem_gb - tasks * spec->mem_gb};
}

guint fk_capacity_plan_allocate(FkCapacityPlan *plan, int bin_index, const FkSpec *spec, guint tasks,
                                double run_s) {
  FkCapacityBin bin =
      g_array_index(plan->bins, FkCapacityBin, bin_index); /* a copy: the array may be reallocated */
  guint slots = bin_task_slots(&bin, spec);
  guint allocated = (guint)MIN((guint64)tasks, (guint64)slots * bin.count);
  guint full_machines = allocated / slots;
  guint rest = allocated % slots; /* tasks on one further machine, which isn't filled */
  FkCapacityBinKind kind = bin.key.kind == FK_CAPACITY_BIN_IDLE ? FK_CAPACITY_BIN_IN_USE : bin.key.kind;
  FkOffer offer = {bin.key.type, bin.key.zone, (gboolean)bin.key.spot};
  g_array_index(plan->bins, FkCapacityBin, bin_index).count -= full_machines + (rest > 0);
  fk_capacity_plan_add(plan, kind, &offer, full_machines, capacity_after_tasks(bin.free, slots, spec),
                       bin.available_s);
  fk_capacity_plan_add(plan, kind, &offer, rest > 0, capacity_after_tasks(bin.free, rest, spec),
                       bin.available_s);
  if (spec->shape != FK_SHAPE_SERVICE)
    fk_capacity_plan_add(plan, FK_CAPACITY_BIN_RELEASED, &offer, allocated,
                         (FkCapacity){spec->cpus, spec->gpus, spec->mem_gb}, bin.available_s + run_s);
  return allocated;
}

static gboolean bin_matches_offer(const FkCapacityBin *bin, const FkOffer *offer) {
  return bin->key.type == offer->type && bin->key.spot == (guint32)offer->spot &&
         g_str_equal(bin->key.zone, offer->zone);
}

void fk_capacity_plan_provision(FkCapacityPlan *plan, const FkOffer *offer, guint count, double ready_s) {
  const FkInstanceType *type = offer->type;
  fk_capacity_plan_add(plan, FK_CAPACITY_BIN_BOOTING, offer, count,
                       (FkCapacity){type->cpus, type->gpus, type->mem_gb}, ready_s);
  for (guint i = 0; i < plan->to_provision->len; i++) {
    FkCapacityBin *planned = &g_array_index(plan->to_provision, FkCapacityBin, i);
    if (bin_matches_offer(planned, offer)) {
      planned->count += count;
      return;
    }
  }
  FkCapacityBin planned = {.key = {.type = type, .zone = offer->zone, .spot = (guint32)offer->spot},
                           .count = count};
  g_array_append_val(plan->to_provision, planned);
}
