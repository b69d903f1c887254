/* The fleet, a round at a time: the list, what goes back, what is rented, what is idle. */
#include "core/autoscaler/autoscaler_internal.h"

#define PLAN_INTERVAL_S 0.5
#define IDLE_CHECK_INTERVAL_S 2.0 /* while services wait for the store's writes: more machines a page */

#define REQUESTS_PER_TICK_MAX 3 /* requests a tick */

static void provision_planned(FkController *c, const FkCapacityPlan *bins) {
  guint requests = 0;
  for (guint i = 0; i < bins->to_provision->len; i++) {
    FkCapacityBin *h = &g_array_index(bins->to_provision, FkCapacityBin, i);
    while (h->count && requests < REQUESTS_PER_TICK_MAX) {
      guint n = MIN(h->count, 50);
      fk_autoscaler_provision(c, h->key.type->name, h->key.zone, h->key.spot, n);
      h->count -= n;
      requests++;
    }
  }
}

void fk_autoscaler_tick(FkController *c) {
  FkAutoscaler *f = c->autoscaling.autoscaler;
  if (!f->list_pending && fk_time_reached(c->now, f->next_list)) {
    FkOutput *o = fk_output_new(c, FK_OUTPUT_LIST_MACHINES);
    o->after = g_strdup(f->list_cursor ? f->list_cursor : "");
    f->list_pending = TRUE;
  }
  fk_autoscaler_terminate_machines(c);
  for (guint i = 0; i < f->requests->len; i++) {
    FkInstanceRequest *h = f->requests->pdata[i];
    if (!h->in_flight && fk_time_reached(c->now, h->retry_at))
      fk_autoscaler_send_request(c, h);
  }
  /* a new leader first learns what there is */
  if (!f->listed_once && fk_time_between(c->leader.since, c->now) < 5)
    return;
  if (!fk_time_reached(c->now, f->next_plan) || !g_hash_table_size(c->autoscaling.instance_types))
    return;
  f->next_plan = fk_time_add(c->now, PLAN_INTERVAL_S);
  fk_autoscaler_update_arrival_rates(c, PLAN_INTERVAL_S);
  FkCapacityPlan bins = {g_array_new(FALSE, TRUE, sizeof(FkCapacityBin)),
                         g_hash_table_new_full(fk_capacity_bin_hash, fk_capacity_bin_equal, g_free, NULL),
                         g_array_new(FALSE, TRUE, sizeof(FkCapacityBin))};
  fk_autoscaler_plan_demand(c, &bins);
  provision_planned(c, &bins);
  if (!fk_services_have_priority(c) || fk_time_reached(c->now, f->next_idle_check)) {
    f->next_idle_check = fk_time_add(c->now, IDLE_CHECK_INTERVAL_S);
    fk_autoscaler_scale_in_idle(c, &bins);
  }
  fk_autoscaler_drain_overpriced(c);
  g_array_unref(bins.bins);
  g_array_unref(bins.to_provision);
  g_hash_table_unref(bins.index);
}
