#include "core/scheduling/service_reserve.h"

#include "core/scheduling/placement.h"
#include "core/scheduling/reservation.h"

#include <math.h>

#define RESERVE_ARRIVALS_S 5.0 /* of arrivals: freeing or booting capacity takes about as long */
#define RESERVE_SHARE_MAX 0.02 /* slots a machine */

/* Tasks of the service that fit the machine's free capacity. */
static double service_slots(FkController *c, const FkMachine *machine, const FkSpec *service) {
  const FkInstanceType *type = fk_machine_type(c, machine);
  if (!type || (machine->record->spot && !service->spot) || !fk_placement_fits_type(service, type))
    return 0;
  double free_cpus = type->cpus - machine->allocated_cpus - machine->reserved_cpus;
  double free_mem_gb = type->mem_gb - machine->allocated_mem_gb - machine->reserved_mem_gb;
  double slots = service->cpus > 0 ? floor(free_cpus / service->cpus + FK_AMOUNT_EPSILON) : 0;
  if (service->mem_gb > 0)
    slots = MIN(slots, floor(free_mem_gb / service->mem_gb + FK_AMOUNT_EPSILON));
  return MAX(0, slots);
}

double fk_service_reserve_spare_slots(FkController *c, GPtrArray *machines, guint machine_count,
                                      double share) {
  const FkSpec *service = c->view->latest_service;
  if (!service)
    return G_MAXDOUBLE;
  double free_slots = 0;
  for (guint i = 0; i < machines->len; i++)
    free_slots += service_slots(c, machines->pdata[i], service);
  double expected = share * c->view->service_arrival_rate * RESERVE_ARRIVALS_S;
  return free_slots - floor(MIN(expected, RESERVE_SHARE_MAX * machine_count));
}

gboolean fk_service_reserve_permits(FkController *c, FkMachine *machine, const FkSpec *spec,
                                    double *spare_slots) {
  const FkSpec *service = c->view->latest_service;
  if (!service || *spare_slots == G_MAXDOUBLE || spec->shape != FK_SHAPE_ARRAY)
    return TRUE;
  double before = service_slots(c, machine, service);
  if (before <= 0)
    return TRUE;
  fk_machine_adjust_reserved(machine, spec, 1);
  double lost = before - service_slots(c, machine, service);
  fk_machine_adjust_reserved(machine, spec, -1);
  if (lost > 0 && *spare_slots < lost)
    return FALSE;
  *spare_slots -= lost;
  return TRUE;
}
