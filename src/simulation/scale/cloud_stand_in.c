#include "simulation/scale/cloud_stand_in.h"

#include <stdlib.h>
#include <string.h>

#include "common/random.h"
#include "simulation/scale/addresses.h"
#include "simulation/scale/heartbeats.h"
#include "wire/cloud.h"

#define LIST_DELAY_S 10.0           /* the list shows the state of that time ago */
#define FAILURE_LISTED_AFTER_S 30.0 /* until then a failed machine is listed as running */
#define CAPACITY 1.1                /* in machines, relative to the plan */
#define BOOT_S 20.0
#define BOOT_FACTOR_MIN 0.6
#define BOOT_FACTOR_MAX 1.5
#define PRICE_PER_HOUR 1
#define SPOT_PRICE_PER_HOUR 0.3
#define MEMORY_GB_PER_CPU 4
#define FETCH_GB_PER_S 1
#define PAGE_MAX 500
#define TERMINATE_TIMEOUT_S 1

static void respond_text(SoupServerMessage *message, guint status, const char *body) {
  fk_stand_in_respond(message, status, g_strdup(body));
}

static guint free_capacity(const FkSimulatedWorkers *workers) {
  guint capacity = (guint)(CAPACITY * fk_scale_region_workers(workers->plan, workers->region)) + 1;
  guint used = fk_simulated_workers_count(workers);
  return capacity > used ? capacity - used : 0;
}

/* ------------------------------------------------------------------ starting machines */

static GPtrArray *start_instances(FkSimulatedWorkers *workers, const FkInstanceRequest *request,
                                  guint count) {
  GPtrArray *ids = g_ptr_array_new();
  for (guint i = 0; i < count; i++) {
    double boot_s = BOOT_S * fk_random_uniform(workers->rand, BOOT_FACTOR_MIN, BOOT_FACTOR_MAX);
    FkSimulatedWorker *worker = fk_simulated_workers_boot(workers, request->zone, request->spot, boot_s);
    g_ptr_array_add(ids, worker->model.id);
  }
  fk_metrics_log_add(workers->metrics, "rented", count);
  return ids;
}

/* A repeated request gets the machines of the first one. */
static void on_instance_request(FkCloudStandIn *cloud, SoupServerMessage *message, const char *body,
                                gsize len) {
  g_autoptr(FkInstanceRequest) request = fk_cloud_parse_instance_request(body, len);
  if (!request) {
    respond_text(message, 400, "{}");
    return;
  }
  GPtrArray *ids = g_hash_table_lookup(cloud->instances_by_request, request->name);
  guint count = MIN(request->count, free_capacity(cloud->workers));
  if (!ids && !count) {
    fk_stand_in_respond(message, 503, fk_cloud_print_no_capacity());
    return;
  }
  if (!ids) {
    ids = start_instances(cloud->workers, request, count);
    g_hash_table_insert(cloud->instances_by_request, g_strdup(request->name), ids);
  }
  fk_stand_in_respond(message, 200, fk_cloud_print_machine_ids(ids));
}

/* ------------------------------------------------------------------ terminating machines */

static void ignore_answer(gpointer data, guint status, const char *body, gsize len) {}

/* The process that plays the worker is told, too. */
static void terminate_instance(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  if (worker->remote && !worker->terminated)
    fk_http_client_call(workers->http, "POST", worker->model.addr, FK_WORKER_TERMINATE_PATH, "{}",
                        TERMINATE_TIMEOUT_S, ignore_answer, NULL);
  fk_simulated_workers_terminate(workers, worker);
  worker->terminated_us = g_get_monotonic_time();
  fk_metrics_log_add(workers->metrics, "returned", 1);
}

static void on_terminate_request(FkCloudStandIn *cloud, SoupServerMessage *message, const char *body,
                                 gsize len) {
  FkSimulatedWorkers *workers = cloud->workers;
  g_autoptr(GPtrArray) ids = fk_cloud_parse_machine_ids(body, len);
  if (!ids) {
    respond_text(message, 400, "{}");
    return;
  }
  g_autoptr(GHashTable) requested = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < ids->len; i++)
    g_hash_table_add(requested, ids->pdata[i]);
  for (guint i = 0; i < workers->all->len; i++) {
    FkSimulatedWorker *worker = workers->all->pdata[i];
    if (!worker->terminated_us && g_hash_table_contains(requested, worker->model.id))
      terminate_instance(workers, worker);
  }
  respond_text(message, 200, "{}");
}

/* ------------------------------------------------------------------ listing machines */

static gboolean is_listed_as_failed(const FkSimulatedWorker *worker, gint64 at_us) {
  return worker->failed_us && (double)(at_us - worker->failed_us) / 1e6 > FAILURE_LISTED_AFTER_S;
}

static gboolean has_booted(const FkSimulatedWorker *worker) {
  return worker->up || worker->terminated || worker->boots;
}

/* The machine as the list of `at_us` shows it; FALSE when it wasn't in that list. */
static gboolean list_entry(const FkSimulatedWorker *worker, gint64 at_us, FkCloudMachine *entry) {
  if (worker->created_us > at_us || (worker->terminated_us && worker->terminated_us <= at_us))
    return FALSE;
  *entry = (FkCloudMachine){.id = worker->model.id,
                            .addr = worker->model.addr,
                            .type = worker->model.type,
                            .zone = worker->model.zone,
                            .spot = worker->model.spot,
                            .state = is_listed_as_failed(worker, at_us) ? FK_CLOUD_MACHINE_FAILED
                                     : has_booted(worker)               ? FK_CLOUD_MACHINE_RUNNING
                                                                        : FK_CLOUD_MACHINE_BOOTING,
                            .age_s = (double)(at_us - worker->created_us) / 1e6};
  return TRUE;
}

static void on_list(FkCloudStandIn *cloud, SoupServerMessage *message, GHashTable *query) {
  const GPtrArray *all = cloud->workers->all;
  const char *after = fk_stand_in_query(query, "after");
  guint page = (guint)CLAMP(atoi(fk_stand_in_query(query, "page")), 1, PAGE_MAX);
  gint64 at_us = g_get_monotonic_time() - (gint64)(LIST_DELAY_S * 1e6);
  g_autoptr(GPtrArray) listed = g_ptr_array_new_with_free_func(g_free);
  gboolean more = FALSE;
  for (guint i = 0; i < all->len && !more; i++) {
    const FkSimulatedWorker *worker = all->pdata[i];
    FkCloudMachine entry;
    if (strcmp(worker->model.id, after) <= 0 || !list_entry(worker, at_us, &entry))
      continue;
    if (listed->len == page)
      more = TRUE;
    else
      g_ptr_array_add(listed, g_memdup2(&entry, sizeof entry));
  }
  fk_stand_in_respond(message, 200, fk_cloud_print_machines(listed, more));
}

/* ------------------------------------------------------------------ the server */

static gboolean take_call(FkCloudStandIn *cloud) {
  double calls_per_s = cloud->workers->plan->cloud_calls_per_s;
  return fk_store_rate_limit_take(&cloud->rate_limit, g_get_monotonic_time(), calls_per_s, 1, 0);
}

static void on_request(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
                       gpointer data) {
  FkCloudStandIn *cloud = data;
  gsize len;
  const char *body = fk_stand_in_request_body(message, &len);
  gboolean is_post = g_str_equal(soup_server_message_get_method(message), "POST");
  fk_metrics_log_add(cloud->workers->metrics, "cloud_calls", 1);
  if (!take_call(cloud))
    respond_text(message, 429, "{}");
  else if (g_str_equal(path, "/machine_types"))
    fk_stand_in_respond(message, 200, fk_cloud_print_types(cloud->types));
  else if (g_str_equal(path, "/machines/return"))
    on_terminate_request(cloud, message, body, len);
  else if (g_str_equal(path, "/machines") && is_post)
    on_instance_request(cloud, message, body, len);
  else if (g_str_equal(path, "/machines"))
    on_list(cloud, message, query);
  else
    respond_text(message, 400, "{}");
}

static FkInstanceType *instance_type(const FkScalePlan *plan, guint region) {
  guint zones = fk_scale_region_zones(plan, region);
  double cpus = fk_scale_worker_cpus(plan);
  FkInstanceType *type = g_new0(FkInstanceType, 1);
  *type = (FkInstanceType){.name = g_strdup(FK_SCALE_INSTANCE_TYPE),
                           .cpus = cpus,
                           .mem_gb = MEMORY_GB_PER_CPU * cpus,
                           .fetch_gb_per_s = FETCH_GB_PER_S,
                           .price = PRICE_PER_HOUR,
                           .spot_price = SPOT_PRICE_PER_HOUR,
                           .boot_s = BOOT_S,
                           .zones = g_new0(char *, zones + 1)};
  for (guint i = 0; i < zones; i++)
    type->zones[i] = fk_scale_zone(region, i);
  return type;
}

gboolean fk_cloud_stand_in_open(FkCloudStandIn *cloud, FkSimulatedWorkers *workers, GError **error) {
  g_autofree char *addr = fk_scale_cloud_addr(workers->plan, workers->region);
  *cloud = (FkCloudStandIn){.workers = workers};
  cloud->instances_by_request =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  cloud->types = g_ptr_array_new_with_free_func(fk_instance_type_free);
  g_ptr_array_add(cloud->types, instance_type(workers->plan, workers->region));
  cloud->server = fk_stand_in_serve(addr, on_request, cloud, error);
  return cloud->server != NULL;
}
