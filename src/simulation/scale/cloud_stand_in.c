/* The region's cloud (PROTOCOL, "Controller nodes -> cloud"): it rents hollow workers, and lists them late.
 */
#include <stdlib.h>
#include <string.h>

#include "simulation/scale/addresses.h"
#include "simulation/scale/simulated_workers.h"
#include "wire/cloud.h"

#define LAG_S 10.0         /* of the list */
#define DIED_LISTED_S 30.0 /* a machine that died still appears as running */
#define CAPACITY 1.1       /* times the machines of the plan */
#define BOOT_S 20.0
#define PAGE_MOST 500

static void refuse(SoupServerMessage *m, guint status, const char *body) {
  fk_stand_in_respond(m, status, g_strdup(body));
}

static FkInstanceType *hollow_type(const FkSimulatedWorkers *f) {
  FkInstanceType *t = g_new0(FkInstanceType, 1);
  guint zones = fk_scale_region_zones(f->plan, f->region);
  *t = (FkInstanceType){g_strdup(FK_SCALE_INSTANCE_TYPE),
                        fk_scale_worker_cpus(f->plan),
                        0,
                        4 * fk_scale_worker_cpus(f->plan),
                        1,
                        1,
                        0.3,
                        BOOT_S,
                        g_new0(char *, zones + 1)};
  for (guint z = 0; z < zones; z++)
    t->zones[z] = fk_scale_zone(f->region, z);
  return t;
}

static guint free_capacity(const FkSimulatedWorkers *f) {
  guint most = (guint)(CAPACITY * fk_scale_region_workers(f->plan, f->region)) + 1,
        alive = fk_simulated_workers_count(f);
  return most > alive ? most - alive : 0;
}

static void on_rent(FkSimulatedWorkers *f, SoupServerMessage *m, const char *body, gsize len) {
  g_autoptr(FkInstanceRequest) r = fk_cloud_parse_instance_request(body, len);
  if (!r) {
    refuse(m, 400, "{}");
    return;
  }
  GPtrArray *names = g_hash_table_lookup(f->hires, r->name);
  guint count = MIN(r->count, free_capacity(f));
  if (!names && !count) {
    fk_stand_in_respond(m, 503, fk_cloud_print_no_capacity());
    return;
  }
  if (!names) {
    names = g_ptr_array_new();
    for (guint i = 0; i < count; i++) {
      double boot_s = BOOT_S * g_rand_double_range(f->rand, 0.6, 1.5);
      g_ptr_array_add(names, fk_simulated_workers_boot(f, r->zone, r->spot, boot_s)->model.id);
    }
    g_hash_table_insert(f->hires, g_strdup(r->name), names);
    fk_metrics_log_add(f->series, "rented", count);
  }
  fk_stand_in_respond(m, 200, fk_cloud_print_names(names));
}

static void told(gpointer unused, guint status, const char *body, gsize len) {}

/* The process that plays it hears of it too. */
static void take_back(FkSimulatedWorkers *f, FkSimulatedWorker *x) {
  if (x->elsewhere && !x->gone)
    fk_http_client_call(f->http, "POST", x->model.addr, FK_WORKER_TERMINATE_PATH, "{}", 1, told, NULL);
  fk_simulated_workers_terminate(f, x);
  x->returned = g_get_monotonic_time();
  fk_metrics_log_add(f->series, "returned", 1);
}

static void on_return(FkSimulatedWorkers *f, SoupServerMessage *m, const char *body, gsize len) {
  g_autoptr(GPtrArray) names = fk_cloud_parse_names(body, len);
  if (!names) {
    refuse(m, 400, "{}");
    return;
  }
  g_autoptr(GHashTable) wanted = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < names->len; i++)
    g_hash_table_add(wanted, names->pdata[i]);
  for (guint i = 0; i < f->machines->len; i++) {
    FkSimulatedWorker *x = f->machines->pdata[i];
    if (!x->returned && g_hash_table_contains(wanted, x->model.id))
      take_back(f, x);
  }
  refuse(m, 200, "{}");
}

/* As it was when the list was made; FALSE: it wasn't there. */
static gboolean list_entry(const FkSimulatedWorker *x, gint64 at, FkCloudMachine *out) {
  if (x->born > at || (x->returned && x->returned <= at))
    return FALSE;
  gboolean failed = x->died && (double)(at - x->died) / 1e6 > DIED_LISTED_S;
  *out = (FkCloudMachine){.id = x->model.id,
                          .addr = x->model.addr,
                          .type = x->model.type,
                          .zone = x->model.zone,
                          .spot = x->model.spot,
                          .state = failed                        ? FK_CLOUD_MACHINE_FAILED
                                   : x->up || x->gone || x->life ? FK_CLOUD_MACHINE_RUNNING
                                                                 : FK_CLOUD_MACHINE_BOOTING,
                          .age_s = (double)(at - x->born) / 1e6};
  return TRUE;
}

static void on_list(FkSimulatedWorkers *f, SoupServerMessage *m, GHashTable *query) {
  const char *after = fk_stand_in_query(query, "after");
  guint page = (guint)CLAMP(atoi(fk_stand_in_query(query, "page")), 1, PAGE_MOST);
  gint64 at = g_get_monotonic_time() - (gint64)(LAG_S * 1e6);
  g_autoptr(GPtrArray) listed = g_ptr_array_new_with_free_func(g_free);
  gboolean more = FALSE;
  for (guint i = 0; i < f->machines->len && !more; i++) {
    const FkSimulatedWorker *x = f->machines->pdata[i];
    FkCloudMachine entry;
    if (strcmp(x->model.id, after) <= 0 || !list_entry(x, at, &entry))
      continue;
    if (listed->len == page)
      more = TRUE;
    else
      g_ptr_array_add(listed, g_memdup2(&entry, sizeof entry));
  }
  fk_stand_in_respond(m, 200, fk_cloud_print_machines(listed, more));
}

static void on_request(SoupServer *server, SoupServerMessage *m, const char *path, GHashTable *query,
                       gpointer fleet) {
  FkSimulatedWorkers *f = fleet;
  gsize len;
  const char *body = fk_stand_in_request_body(m, &len);
  gboolean post = g_str_equal(soup_server_message_get_method(m), "POST");
  fk_metrics_log_add(f->series, "cloud_calls", 1);
  if (!fk_store_rate_limit_take(&f->cloud_budget, g_get_monotonic_time(), f->plan->cloud_calls_per_s, 1, 0))
    refuse(m, 429, "{}");
  else if (g_str_equal(path, "/machine_types"))
    fk_stand_in_respond(m, 200, fk_cloud_print_types(f->types));
  else if (g_str_equal(path, "/machines/return"))
    on_return(f, m, body, len);
  else if (g_str_equal(path, "/machines") && post)
    on_rent(f, m, body, len);
  else if (g_str_equal(path, "/machines"))
    on_list(f, m, query);
  else
    refuse(m, 400, "{}");
}

gboolean fk_cloud_stand_in_open(FkSimulatedWorkers *f, GError **error) {
  g_autofree char *addr = fk_scale_cloud_addr(f->plan, f->region);
  f->types = g_ptr_array_new_with_free_func(fk_instance_type_free);
  g_ptr_array_add(f->types, hollow_type(f));
  f->cloud = fk_stand_in_serve(addr, on_request, f, error);
  return f->cloud != NULL;
}
