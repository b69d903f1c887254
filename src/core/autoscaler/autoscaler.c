/* The autoscaler's state, and its periodic work: listing, terminating and provisioning machines, draining
 * idle machines, and consolidating tasks onto cheaper machines. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/scheduling/placement.h"

#define PLAN_INTERVAL_S 0.5
/* Interval of idle checks while services have priority for the store's writes. Less frequent checks drain
 * more machines per write, and so need fewer writes. */
#define IDLE_CHECK_INTERVAL_S 2.0
#define REQUESTS_PER_TICK_MAX 3
/* After this time, a new leader plans even if it hasn't received the cloud's whole list of machines. */
#define FIRST_LIST_TIMEOUT_S 5.0

static void booting_instance_free(gpointer data) {
  FkBootingInstance *instance = data;
  g_free(instance->id);
  g_free(instance->type);
  g_free(instance->zone);
  g_free(instance);
}

static void provision_request_free(gpointer data) {
  FkProvisionRequest *request = data;
  g_free(request->name);
  g_free(request->type);
  g_free(request->zone);
  g_free(request);
}

static void arrival_rate_free(gpointer data) {
  FkArrivalRate *rate = data;
  fk_spec_unref(rate->spec);
  g_free(rate);
}

FkAutoscaler *fk_autoscaler_new(FkTime now) {
  FkAutoscaler *a = g_new0(FkAutoscaler, 1);
  a->booting = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, booting_instance_free);
  a->requests = g_ptr_array_new_with_free_func(provision_request_free);
  a->shortages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  a->terminated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  a->terminate_calls =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  a->terminating = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  a->arrival_rates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, arrival_rate_free);
  fk_boot_time_init(&a->boot_times);
  fk_idle_retention_init(&a->retention[FALSE], now);
  fk_idle_retention_init(&a->retention[TRUE], now);
  return a;
}

void fk_autoscaler_free(FkAutoscaler *a) {
  g_hash_table_unref(a->booting);
  g_ptr_array_unref(a->requests);
  g_hash_table_unref(a->shortages);
  g_hash_table_unref(a->terminated);
  g_hash_table_unref(a->terminate_calls);
  g_hash_table_unref(a->terminating);
  g_hash_table_unref(a->arrival_rates);
  fk_idle_retention_clear(&a->retention[FALSE]);
  fk_idle_retention_clear(&a->retention[TRUE]);
  g_free(a->list_cursor);
  g_free(a);
}

void fk_autoscaler_reset(FkController *c) {
  gboolean list_pending = c->autoscaling.autoscaler->list_pending;
  fk_autoscaler_free(c->autoscaling.autoscaler);
  c->autoscaling.autoscaler = fk_autoscaler_new(c->now);
  c->autoscaling.autoscaler->list_pending = list_pending;
  c->autoscaling.autoscaler->list_reply_obsolete = list_pending;
}

double fk_autoscaler_booting_price(FkController *c) {
  double price = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->autoscaling.autoscaler->booting);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkBootingInstance *instance = value;
    const FkInstanceType *type = g_hash_table_lookup(c->autoscaling.instance_types, instance->type);
    price += type ? fk_instance_type_price(type, instance->spot) : 0;
  }
  return price;
}

double fk_autoscaler_cheapest_price(FkController *c, const FkSpec *spec) {
  double cheapest = G_MAXDOUBLE;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->autoscaling.instance_types);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkInstanceType *type = value;
    if (!fk_placement_fits_type(spec, type))
      continue;
    guint slots = fk_capacity_task_slots((FkCapacity){type->cpus, type->gpus, type->mem_gb}, spec);
    if (slots)
      cheapest = MIN(cheapest, fk_instance_type_price(type, spec->spot) / slots);
  }
  return cheapest;
}

double fk_autoscaler_retention_factor(FkController *c, gboolean spot) {
  return fk_idle_retention_factor(&c->autoscaling.autoscaler->retention[spot != 0], c->now);
}

gboolean fk_autoscaler_is_terminating(FkController *c, const FkMachine *machine) {
  const FkAutoscaler *a = c->autoscaling.autoscaler;
  return g_hash_table_contains(a->terminated, machine->id) ||
         g_hash_table_contains(a->terminating, machine->id);
}

char *fk_autoscaler_offer_key(const FkOffer *offer) {
  return g_strdup_printf("%s/%s/%d", offer->type->name, offer->zone, offer->spot);
}

double fk_autoscaler_boot_age(FkController *c, const FkBootingInstance *instance,
                              const FkInstanceType *type) {
  return fk_time_between(instance->requested_at, c->now) / MAX(1, type->boot_s);
}

/* ------------------------------------------------------------------ periodic work */

static void list_machines(FkController *c) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  if (a->list_pending || !fk_time_reached(c->now, a->next_list_at))
    return;
  FkOutput *output = fk_output_new(c, FK_OUTPUT_LIST_MACHINES);
  output->after = g_strdup(a->list_cursor ? a->list_cursor : "");
  if (!a->list_cursor)
    a->listing_began_at = c->now;
  a->list_pending = TRUE;
}

static void provision_planned(FkController *c, const FkCapacityPlan *plan) {
  guint requests = 0;
  for (guint i = 0; i < plan->to_provision->len; i++) {
    FkCapacityBin *planned = &g_array_index(plan->to_provision, FkCapacityBin, i);
    const FkOffer offer = {planned->key.type, planned->key.zone, (gboolean)planned->key.spot};
    while (planned->count && requests < REQUESTS_PER_TICK_MAX) {
      guint count = MIN(planned->count, FK_PROVISION_MACHINES_MAX);
      fk_autoscaler_provision(c, &offer, count);
      planned->count -= count;
      requests++;
    }
  }
}

/* Returns whether a plan is due and can be made. The instance types must be known. A new leader doesn't plan
 * until it has received the cloud's whole list of machines or has waited for FIRST_LIST_TIMEOUT_S. */
static gboolean can_plan(FkController *c) {
  const FkAutoscaler *a = c->autoscaling.autoscaler;
  gboolean knows_machines =
      a->listed_once || fk_time_between(c->leader.since, c->now) >= FIRST_LIST_TIMEOUT_S;
  return knows_machines && fk_time_reached(c->now, a->next_plan_at) &&
         g_hash_table_size(c->autoscaling.instance_types);
}

void fk_autoscaler_tick(FkController *c) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  list_machines(c);
  fk_autoscaler_terminate_machines(c);
  fk_autoscaler_retry_requests(c);
  if (!can_plan(c))
    return;
  a->next_plan_at = fk_time_add(c->now, PLAN_INTERVAL_S);
  fk_autoscaler_update_arrival_rates(c, PLAN_INTERVAL_S);
  g_autoptr(FkCapacityPlan) plan = fk_capacity_plan_new();
  fk_autoscaler_plan_demand(c, plan);
  provision_planned(c, plan);
  if (!fk_services_have_priority(c) || fk_time_reached(c->now, a->next_idle_check_at)) {
    a->next_idle_check_at = fk_time_add(c->now, IDLE_CHECK_INTERVAL_S);
    fk_autoscaler_scale_in_idle(c, plan);
  }
  fk_autoscaler_consolidate(c);
}
