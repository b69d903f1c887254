/* The fleet, a round at a time: the list, what goes back, what is rented, what is idle. */
#include "core/autoscaler/autoscaler_internal.h"

#define TICK_S 0.5
#define IDLE_EVERY_S 2.0 /* while services wait for the store's writes: more machines a page */

#define HIRES_MAX 3 /* requests a tick */

static void hire_planned(FkController *c, const Bins *bins) {
  guint requests = 0;
  for (guint i = 0; i < bins->hire->len; i++) {
    Bin *h = &g_array_index(bins->hire, Bin, i);
    while (h->count && requests < HIRES_MAX) {
      guint n = MIN(h->count, 50);
      fk_fleet_rent(c, h->key.type->name, h->key.zone, h->key.spot, n);
      h->count -= n;
      requests++;
    }
  }
}

void fk_fleet_tick(FkController *c) {
  FkFleet *f = c->fleet;
  if (!f->list_pending && fk_time_reached(c->now, f->list_next)) {
    FkOut *o = fk_out(c, FK_OUT_MACHINES);
    o->after = g_strdup(f->after ? f->after : "");
    f->list_pending = TRUE;
  }
  fk_fleet_return_some(c);
  for (guint i = 0; i < f->hires->len; i++) {
    Hire *h = f->hires->pdata[i];
    if (!h->under_way && fk_time_reached(c->now, h->again))
      fk_fleet_hire_send(c, h);
  }
  /* a new leader first learns what there is */
  if (!f->listed_once && fk_time_between(c->led_since, c->now) < 5)
    return;
  if (!fk_time_reached(c->now, f->next) || !g_hash_table_size(c->types))
    return;
  f->next = fk_time_add(c->now, TICK_S);
  fk_fleet_learn_rates(c, TICK_S);
  Bins bins = {g_array_new(FALSE, TRUE, sizeof(Bin)),
               g_hash_table_new_full(fk_bin_hash, fk_bin_equal, g_free, NULL),
               g_array_new(FALSE, TRUE, sizeof(Bin))};
  fk_fleet_demand(c, &bins);
  hire_planned(c, &bins);
  if (!fk_services_first(c) || fk_time_reached(c->now, f->idle_next)) {
    f->idle_next = fk_time_add(c->now, IDLE_EVERY_S);
    fk_fleet_give_back_idle(c, &bins);
  }
  fk_fleet_drain_dear(c);
  g_array_unref(bins.list);
  g_array_unref(bins.hire);
  g_hash_table_unref(bins.index);
}
