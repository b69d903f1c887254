#include "core/scheduling/reservation.h"

void fk_machine_adjust_reserved(FkMachine *machine, const FkSpec *spec, int sign) {
  machine->reserved_cpus += sign * spec->cpus;
  machine->reserved_gpus += sign * spec->gpus;
  machine->reserved_mem_gb += sign * spec->mem_gb;
}

void fk_reservation_add(FkController *c, FkMachine *machine, const FkSpec *spec) {
  FkReservation reservation = {machine->id, g_intern_string(spec->team), spec->cpus, spec->gpus, spec->mem_gb,
                               spec->cpus};
  g_array_append_val(c->launches.reservations, reservation);
  fk_machine_adjust_reserved(machine, spec, 1);
  FkTeamUsage *usage = fk_view_ensure_team(c->view, spec->team);
  usage->reserved_cpus += spec->cpus;
  usage->reserved_gpus += spec->gpus;
}

void fk_reservation_clear_all(FkController *c) {
  for (guint i = 0; i < c->launches.reservations->len; i++) {
    const FkReservation *reservation = &g_array_index(c->launches.reservations, FkReservation, i);
    FkMachine *machine = fk_view_find_machine(c->view, reservation->machine);
    if (machine)
      machine->reserved_cpus = machine->reserved_gpus = machine->reserved_mem_gb = 0;
    FkTeamUsage *usage = fk_view_ensure_team(c->view, reservation->team);
    usage->reserved_cpus = usage->reserved_gpus = 0;
  }
  g_array_set_size(c->launches.reservations, 0);
}
