#include "core/scheduling/capacity_index.h"

#include "core/scheduling/launch_batch.h"
#include "scheduling_queue/capacity_buckets.h"

#define FREE_CPUS_MIN 0.25 /* CPUs: with less a machine counts as full */

struct FkCapacityIndex {
  FkCapacityBuckets *all, *owned;
  guint64 examined_count;
};

FkCapacityIndex *fk_capacity_index_new(void) {
  FkCapacityIndex *r = g_new0(FkCapacityIndex, 1);
  r->all = fk_capacity_buckets_new();
  r->owned = fk_capacity_buckets_new();
  return r;
}

void fk_capacity_index_free(FkCapacityIndex *r) {
  if (!r)
    return;
  fk_capacity_buckets_free(r->all);
  fk_capacity_buckets_free(r->owned);
  g_free(r);
}

void fk_capacity_index_reset(FkCapacityIndex *r) {
  fk_capacity_buckets_clear(r->all);
  fk_capacity_buckets_clear(r->owned);
}

static void remove_machine(FkCapacityIndex *r, gpointer machine) {
  fk_capacity_buckets_remove(r->all, machine);
  fk_capacity_buckets_remove(r->owned, machine);
}

/* FALSE: its type isn't known yet, so that it must be looked at again. */
static gboolean update_machine(FkController *c, FkMachine *m) {
  const FkInstanceType *t = fk_machine_type(c, m);
  c->leader.capacity_index->examined_count++;
  if (!m->record || !t) {
    remove_machine(c->leader.capacity_index, m);
    return !m->record;
  }
  fk_capacity_buckets_put(c->leader.capacity_index->all, m, t->cpus - m->allocated_cpus);
  if (m->shard && fk_shard_is_owned(c, m->shard))
    fk_capacity_buckets_put(c->leader.capacity_index->owned, m, t->cpus - m->allocated_cpus);
  else
    fk_capacity_buckets_remove(c->leader.capacity_index->owned, m);
  return TRUE;
}

void fk_capacity_index_refresh(FkController *c) {
  for (guint i = 0; i < c->view->capacity_removed->len; i++)
    remove_machine(c->leader.capacity_index, c->view->capacity_removed->pdata[i]);
  g_ptr_array_set_size(c->view->capacity_removed, 0);
  g_autoptr(GHashTable) changed = c->view->capacity_changed;
  c->view->capacity_changed = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init(&it, changed);
  while (g_hash_table_iter_next(&it, &id, NULL)) {
    FkMachine *m = fk_view_find_machine(c->view, id);
    if (m && !update_machine(c, m))
      g_hash_table_add(c->view->capacity_changed, id);
  }
}

typedef struct {
  FkController *c;
  double cpus, mem_gb;
} Requirement;

static gboolean is_open(gpointer machine, gpointer wanted) {
  const Requirement *w = wanted;
  return fk_placement_has_capacity(w->c, machine, w->cpus, w->mem_gb) && fk_machine_is_usable(w->c, machine);
}

/* No look leaves out a machine with room: as many as there are may be taken. */
static guint as_many(const FkCapacityBuckets *rooms) { return fk_capacity_buckets_items(rooms)->len; }

GPtrArray *fk_capacity_index_find_open(FkController *c, gboolean ours, double cpus, double mem_gb) {
  GPtrArray *open = g_ptr_array_new();
  Requirement w = {c, cpus, mem_gb};
  const FkCapacityBuckets *rooms = ours ? c->leader.capacity_index->owned : c->leader.capacity_index->all;
  c->leader.capacity_index->examined_count +=
      fk_capacity_buckets_find(rooms, cpus, as_many(rooms), is_open, &w, open);
  return open;
}

const GPtrArray *fk_capacity_index_owned_machines(FkController *c) {
  return fk_capacity_buckets_items(c->leader.capacity_index->owned);
}

static gboolean is_spot(gpointer machine, gpointer unused) {
  const FkMachine *m = machine;
  return m->record->spot && !m->drain_reason;
}

double fk_capacity_index_spot_cpus(FkController *c, double needed) {
  g_autoptr(GPtrArray) spot = g_ptr_array_new();
  c->leader.capacity_index->examined_count +=
      fk_capacity_buckets_find(c->leader.capacity_index->all, FREE_CPUS_MIN,
                               as_many(c->leader.capacity_index->all), is_spot, NULL, spot);
  double room = 0;
  for (guint i = 0; i < spot->len && room < needed; i++) {
    const FkMachine *m = spot->pdata[i];
    room += MAX(0, m->type->cpus - m->allocated_cpus - m->reserved_cpus);
  }
  return room;
}

guint64 fk_capacity_index_examined_count(const FkCapacityIndex *r) { return r->examined_count; }

GPtrArray *fk_capacity_index_usable_machines(FkController *c) {
  GPtrArray *all = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (fk_machine_is_usable(c, p))
      g_ptr_array_add(all, p);
  return all;
}
