#include "core/scheduling/capacity_index.h"

#include "core/scheduling/placement.h"
#include "scheduling_queue/capacity_buckets.h"

#define FREE_CPUS_MIN 0.25 /* spot machines with fewer free CPUs aren't counted */

struct FkCapacityIndex {
  FkCapacityBuckets *all, *owned; /* FkMachine by CPUs that aren't allocated; reservations are ignored */
  guint64 examined_count;
};

FkCapacityIndex *fk_capacity_index_new(void) {
  FkCapacityIndex *index = g_new0(FkCapacityIndex, 1);
  index->all = fk_capacity_buckets_new();
  index->owned = fk_capacity_buckets_new();
  return index;
}

void fk_capacity_index_free(FkCapacityIndex *index) {
  if (!index)
    return;
  fk_capacity_buckets_free(index->all);
  fk_capacity_buckets_free(index->owned);
  g_free(index);
}

void fk_capacity_index_reset(FkCapacityIndex *index) {
  fk_capacity_buckets_clear(index->all);
  fk_capacity_buckets_clear(index->owned);
}

static void remove_machine(FkCapacityIndex *index, gpointer machine) {
  fk_capacity_buckets_remove(index->all, machine);
  fk_capacity_buckets_remove(index->owned, machine);
}

/* Updates the machine in the index. Returns FALSE if the machine's type isn't known yet, so that the machine
 * must be updated again later. */
static gboolean update_machine(FkController *c, FkMachine *machine) {
  FkCapacityIndex *index = c->leader.capacity_index;
  const FkInstanceType *type = fk_machine_type(c, machine);
  index->examined_count++;
  if (!machine->record || !type) {
    remove_machine(index, machine);
    return !machine->record;
  }
  double free_cpus = type->cpus - machine->allocated_cpus;
  fk_capacity_buckets_put(index->all, machine, free_cpus);
  if (machine->shard && fk_shard_is_owned(c, machine->shard))
    fk_capacity_buckets_put(index->owned, machine, free_cpus);
  else
    fk_capacity_buckets_remove(index->owned, machine);
  return TRUE;
}

void fk_capacity_index_refresh(FkController *c) {
  for (guint i = 0; i < c->view->removed_machines->len; i++)
    remove_machine(c->leader.capacity_index, c->view->removed_machines->pdata[i]);
  g_ptr_array_set_size(c->view->removed_machines, 0);
  g_autoptr(GHashTable) changed = c->view->capacity_changed;
  c->view->capacity_changed = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init(&it, changed);
  while (g_hash_table_iter_next(&it, &id, NULL)) {
    FkMachine *machine = fk_view_find_machine(c->view, id);
    if (machine && !update_machine(c, machine))
      g_hash_table_add(c->view->capacity_changed, id);
  }
}

typedef struct {
  FkController *controller;
  double cpus, mem_gb;
} Requirement;

static gboolean is_open(gpointer machine, gpointer data) {
  const Requirement *required = data;
  return fk_placement_has_capacity(required->controller, machine, required->cpus, required->mem_gb) &&
         fk_machine_is_usable(required->controller, machine);
}

/* Appends the machines of `buckets` that satisfy `wanted` to `machines`. Skips the buckets of machines with
 * fewer than `cpus` free CPUs. */
static void find_machines(FkCapacityIndex *index, const FkCapacityBuckets *buckets, double cpus,
                          gboolean (*wanted)(gpointer machine, gpointer data), gpointer data,
                          GPtrArray *machines) {
  guint count = fk_capacity_buckets_items(buckets)->len;
  index->examined_count += fk_capacity_buckets_find(buckets, cpus, count, wanted, data, machines);
}

GPtrArray *fk_capacity_index_find_open(FkController *c, gboolean owned_only, double cpus, double mem_gb) {
  FkCapacityIndex *index = c->leader.capacity_index;
  GPtrArray *open = g_ptr_array_new();
  Requirement required = {c, cpus, mem_gb};
  find_machines(index, owned_only ? index->owned : index->all, cpus, is_open, &required, open);
  return open;
}

const GPtrArray *fk_capacity_index_owned_machines(FkController *c) {
  return fk_capacity_buckets_items(c->leader.capacity_index->owned);
}

static gboolean is_available_spot(gpointer item, gpointer unused) {
  const FkMachine *machine = item;
  return machine->record->spot && fk_machine_is_available(machine);
}

double fk_capacity_index_spot_cpus(FkController *c, double needed) {
  FkCapacityIndex *index = c->leader.capacity_index;
  g_autoptr(GPtrArray) spot = g_ptr_array_new();
  find_machines(index, index->all, FREE_CPUS_MIN, is_available_spot, NULL, spot);
  double cpus = 0;
  for (guint i = 0; i < spot->len && cpus < needed; i++) {
    const FkMachine *machine = spot->pdata[i];
    cpus += MAX(0, machine->type->cpus - machine->allocated_cpus - machine->reserved_cpus);
  }
  return cpus;
}

guint64 fk_capacity_index_examined_count(const FkCapacityIndex *index) { return index->examined_count; }

GPtrArray *fk_capacity_index_usable_machines(FkController *c) {
  GPtrArray *machines = g_ptr_array_new();
  GHashTableIter it;
  gpointer machine;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &machine))
    if (fk_machine_is_usable(c, machine))
      g_ptr_array_add(machines, machine);
  return machines;
}
