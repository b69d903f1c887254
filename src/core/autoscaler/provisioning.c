/* Provisions machines. A request is retried under the same name until its reply is definite: granted, refused
 * for lack of capacity, or rejected. For a repeated name the cloud returns the same machines. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/controller.h"

#define REQUEST_RETRY_S 1.5       /* delay until a request without a definite reply is retried */
#define REJECTED_PLAN_DELAY_S 1.0 /* delay of the next plan after a rejected request */
#define PARTIAL_SHORTAGE_S 15.0   /* backoff after a reply with fewer machines than requested */
#define SHORTAGE_STEP_S 5.0       /* backoff per consecutive refusal */
#define SHORTAGE_MAX_S 30.0       /* longest backoff */

static void send_request(FkController *c, FkProvisionRequest *request) {
  FkOutput *output = fk_output_new(c, FK_OUTPUT_PROVISION);
  output->call = ++c->calls.last_id;
  output->name = g_strdup(request->name);
  output->type = g_strdup(request->type);
  output->zone = g_strdup(request->zone);
  output->spot = request->spot;
  output->count = request->count;
  request->in_flight = TRUE;
  request->call = output->call;
}

/* Returns a name that no other request has: it contains the number of this controller's lease, which the
 * store never issues twice, this controller's incarnation, and a counter. Owned by the caller. */
static char *request_name(FkController *c) {
  return g_strdup_printf("r-%" G_GUINT64_FORMAT "-%s-%" G_GUINT64_FORMAT, c->store_session.lease.n,
                         c->incarnation, ++c->autoscaling.autoscaler->request_counter);
}

void fk_autoscaler_provision(FkController *c, const FkOffer *offer, guint count) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  FkProvisionRequest *request = g_new0(FkProvisionRequest, 1);
  request->name = request_name(c);
  request->type = g_strdup(offer->type->name);
  request->zone = g_strdup(offer->zone);
  request->spot = offer->spot;
  request->count = MIN(count, FK_PROVISION_MACHINES_MAX);
  g_ptr_array_add(a->requests, request);
  fk_idle_retention_provisioned(&a->retention[offer->spot != 0], request->count * offer->type->cpus, c->now);
  g_info("scale-out requested type=%s zone=%s spot=%s count=%u name=%s", request->type, request->zone,
         request->spot ? "yes" : "no", request->count, request->name);
  send_request(c, request);
}

void fk_autoscaler_retry_requests(FkController *c) {
  GPtrArray *requests = c->autoscaling.autoscaler->requests;
  for (guint i = 0; i < requests->len; i++) {
    FkProvisionRequest *request = requests->pdata[i];
    if (!request->in_flight && fk_time_reached(c->now, request->retry_at))
      send_request(c, request);
  }
}

/* ------------------------------------------------------------------ replies */

static char *request_offer_key(const FkProvisionRequest *request) {
  const FkInstanceType type = {.name = request->type};
  const FkOffer offer = {&type, request->zone, request->spot};
  return fk_autoscaler_offer_key(&offer);
}

static void add_booting_instance(FkController *c, const FkProvisionRequest *request, const char *id) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  const FkMachine *machine = fk_view_find_machine(c->view, id);
  if ((machine && machine->record) || g_hash_table_contains(a->booting, id))
    return;
  FkBootingInstance *instance = g_new0(FkBootingInstance, 1);
  instance->id = g_strdup(id);
  instance->type = g_strdup(request->type);
  instance->zone = g_strdup(request->zone);
  instance->spot = request->spot;
  instance->request_time_exact = TRUE;
  instance->requested_at = c->now;
  g_hash_table_insert(a->booting, instance->id, instance);
}

/* Adds the machines of the reply as booting. If there are fewer machines than requested, the cloud has no
 * more capacity for the offer at present, and requests for the offer are suspended for PARTIAL_SHORTAGE_S. */
static void request_granted(FkController *c, const FkProvisionRequest *request, const GPtrArray *ids) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  g_autofree char *key = request_offer_key(request);
  for (guint i = 0; i < ids->len; i++)
    add_booting_instance(c, request, ids->pdata[i]);
  if (ids->len >= request->count) {
    g_hash_table_remove(a->shortages, key);
    return;
  }
  FkCapacityShortage *shortage = g_new0(FkCapacityShortage, 1);
  shortage->until = fk_time_add(c->now, PARTIAL_SHORTAGE_S);
  g_hash_table_replace(a->shortages, g_steal_pointer(&key), shortage);
}

/* Suspends requests for the offer after the cloud has replied that it has no capacity. The backoff grows with
 * each consecutive refusal, up to SHORTAGE_MAX_S. */
static void request_refused(FkController *c, const FkProvisionRequest *request) {
  GHashTable *shortages = c->autoscaling.autoscaler->shortages;
  g_autofree char *key = request_offer_key(request);
  FkCapacityShortage *shortage = g_hash_table_lookup(shortages, key);
  if (!shortage) {
    shortage = g_new0(FkCapacityShortage, 1);
    g_hash_table_insert(shortages, g_steal_pointer(&key), shortage);
  }
  shortage->refusals++;
  shortage->until = fk_time_add(c->now, MIN(SHORTAGE_MAX_S, SHORTAGE_STEP_S * shortage->refusals));
}

static int find_request(const FkAutoscaler *a, guint64 call) {
  for (guint i = 0; i < a->requests->len; i++) {
    const FkProvisionRequest *request = a->requests->pdata[i];
    if (request->in_flight && request->call == call)
      return (int)i;
  }
  return -1;
}

void fk_controller_provision_received(FkController *c, FkTime now, guint64 call, FkOutcome outcome,
                                      GPtrArray *names) {
  c->now = now;
  FkAutoscaler *a = c->autoscaling.autoscaler;
  int index = find_request(a, call);
  if (index < 0)
    return;
  FkProvisionRequest *request = a->requests->pdata[index];
  switch (outcome) {
  case FK_OUTCOME_OK:
    request_granted(c, request, names);
    g_ptr_array_remove_index(a->requests, (guint)index);
    break;
  case FK_OUTCOME_CONFLICT:
    request_refused(c, request);
    g_ptr_array_remove_index(a->requests, (guint)index);
    break;
  case FK_OUTCOME_INVALID:
  case FK_OUTCOME_REFUSED:
    g_ptr_array_remove_index(a->requests, (guint)index);
    a->next_plan_at = fk_time_add(c->now, REJECTED_PLAN_DELAY_S);
    break;
  case FK_OUTCOME_GONE:
  case FK_OUTCOME_UNKNOWN:
    request->in_flight = FALSE;
    request->retry_at = fk_time_add(c->now, REQUEST_RETRY_S);
  }
}
