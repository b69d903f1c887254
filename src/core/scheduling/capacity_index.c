#include "core/scheduling/capacity_index.h"

#include "core/scheduling/launch_batch.h"
#include "scheduling_queue/capacity_buckets.h"

#define SOME_ROOM 0.25 /* CPUs: with less a machine counts as full */

struct FkRooms {
  FkCapacity *all, *ours;
  guint64 looked_at;
};

FkRooms *fk_rooms_new(void) {
  FkRooms *r = g_new0(FkRooms, 1);
  r->all = fk_capacity_new();
  r->ours = fk_capacity_new();
  return r;
}

void fk_rooms_free(FkRooms *r) {
  if (!r)
    return;
  fk_capacity_free(r->all);
  fk_capacity_free(r->ours);
  g_free(r);
}

void fk_rooms_forget(FkRooms *r) {
  fk_capacity_clear(r->all);
  fk_capacity_clear(r->ours);
}

static void drop(FkRooms *r, gpointer machine) {
  fk_capacity_remove(r->all, machine);
  fk_capacity_remove(r->ours, machine);
}

/* FALSE: its type isn't known yet, so that it must be looked at again. */
static gboolean take_over(FkController *c, FkMachine *m) {
  const FkType *t = fk_type_of(c, m);
  c->rooms->looked_at++;
  if (!m->rec || !t) {
    drop(c->rooms, m);
    return !m->rec;
  }
  fk_capacity_put(c->rooms->all, m, t->cpus - m->cpus);
  if (m->group && fk_group_mine(c, m->group))
    fk_capacity_put(c->rooms->ours, m, t->cpus - m->cpus);
  else
    fk_capacity_remove(c->rooms->ours, m);
  return TRUE;
}

void fk_rooms_refresh(FkController *c) {
  for (guint i = 0; i < c->view->room_dropped->len; i++)
    drop(c->rooms, c->view->room_dropped->pdata[i]);
  g_ptr_array_set_size(c->view->room_dropped, 0);
  g_autoptr(GHashTable) changed = c->view->room_touched;
  c->view->room_touched = g_hash_table_new(g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init(&it, changed);
  while (g_hash_table_iter_next(&it, &id, NULL)) {
    FkMachine *m = fk_view_machine(c->view, id);
    if (m && !take_over(c, m))
      g_hash_table_add(c->view->room_touched, id);
  }
}

typedef struct {
  FkController *c;
  double cpus, mem_gb;
} Wanted;

static gboolean has_room(gpointer machine, gpointer wanted) {
  const Wanted *w = wanted;
  return fk_has_room(w->c, machine, w->cpus, w->mem_gb) && fk_machine_usable(w->c, machine);
}

/* No look leaves out a machine with room: as many as there are may be taken. */
static guint as_many(const FkCapacity *rooms) { return fk_capacity_items(rooms)->len; }

GPtrArray *fk_rooms_open(FkController *c, gboolean ours, double cpus, double mem_gb) {
  GPtrArray *open = g_ptr_array_new();
  Wanted w = {c, cpus, mem_gb};
  const FkCapacity *rooms = ours ? c->rooms->ours : c->rooms->all;
  c->rooms->looked_at += fk_capacity_at_least(rooms, cpus, as_many(rooms), has_room, &w, open);
  return open;
}

const GPtrArray *fk_rooms_ours(FkController *c) { return fk_capacity_items(c->rooms->ours); }

static gboolean is_spot(gpointer machine, gpointer unused) {
  const FkMachine *m = machine;
  return m->rec->spot && !m->mark;
}

double fk_rooms_spot(FkController *c, double needed) {
  g_autoptr(GPtrArray) spot = g_ptr_array_new();
  c->rooms->looked_at +=
      fk_capacity_at_least(c->rooms->all, SOME_ROOM, as_many(c->rooms->all), is_spot, NULL, spot);
  double room = 0;
  for (guint i = 0; i < spot->len && room < needed; i++) {
    const FkMachine *m = spot->pdata[i];
    room += MAX(0, m->type->cpus - m->cpus - m->pend_cpus);
  }
  return room;
}

guint64 fk_rooms_looked_at(const FkRooms *r) { return r->looked_at; }

GPtrArray *fk_usable_machines(FkController *c) {
  GPtrArray *all = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (fk_machine_usable(c, p))
      g_ptr_array_add(all, p);
  return all;
}
