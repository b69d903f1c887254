/* Reservations: capacity and quota that launches in flight will take. They are made with the decision to
 * launch and end at the next scheduling cycle, when the view shows the result of the launch. */
#pragma once
#include "core/controller_internal.h"

/* Adds one task's amounts to the machine's reserved capacity (`sign` 1) or subtracts them (-1). */
void fk_machine_adjust_reserved(FkMachine *machine, const FkSpec *spec, int sign);

/* Reserves capacity and quota for a launch in flight, until fk_reservation_clear_all(). */
void fk_reservation_add(FkController *c, FkMachine *machine, const FkSpec *spec);

/* Ends the reservations of all launches in flight. */
void fk_reservation_clear_all(FkController *c);
