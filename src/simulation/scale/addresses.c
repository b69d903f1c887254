#include "simulation/scale/addresses.h"

#define WORKERS_PER_SUBNET 250
#define FIRST_CONTROLLER_HOST 10

char *fk_scale_worker_process_name(guint region, guint process) {
  return process ? g_strdup_printf("fleet-%u-%u", region, process) : g_strdup_printf("fleet-%u", region);
}

char *fk_scale_store_addr(const FkScalePlan *plan, guint region) {
  return g_strdup_printf("127.%u.0.1:2379", plan->address_base + region);
}

char *fk_scale_cloud_addr(const FkScalePlan *plan, guint region) {
  return g_strdup_printf("127.%u.0.2:8443", plan->address_base + region);
}

char *fk_scale_user_addr(const FkScalePlan *plan, guint region, guint controller) {
  return g_strdup_printf("127.%u.0.%u:8080", plan->address_base + region, FIRST_CONTROLLER_HOST + controller);
}

char *fk_scale_peer_addr(const FkScalePlan *plan, guint region, guint controller) {
  return g_strdup_printf("127.%u.0.%u:8081", plan->address_base + region, FIRST_CONTROLLER_HOST + controller);
}

/* The subnet 0 has the store, the cloud and the controllers. */
char *fk_scale_worker_addr(const FkScalePlan *plan, guint region, guint worker) {
  return g_strdup_printf("127.%u.%u.%u:9000", plan->address_base + region, 1 + worker / WORKERS_PER_SUBNET,
                         1 + worker % WORKERS_PER_SUBNET);
}

char *fk_scale_zone(guint region, guint zone) { return g_strdup_printf("region%u-%c", region, 'a' + zone); }

char *fk_scale_controller_name(guint region, guint controller) {
  return g_strdup_printf("region%u-control%u", region, controller);
}
