/* Reservations: capacity and quota that launches in flight will take, from the moment that they are decided
 * until the view shows them or they have failed. */
#pragma once
#include "core/controller_internal.h"

/* Adds (`sign` 1) or removes (-1) one task's amounts to or from the machine's reserved capacity. */
void fk_machine_adjust_reserved(FkMachine *machine, const FkSpec *spec, int sign);

/* Reserves capacity and quota for a launch in flight, until fk_reservation_clear_all(). */
void fk_reservation_add(FkController *c, FkMachine *machine, const FkSpec *spec);

/* Ends the reservations of all launches in flight. */
void fk_reservation_clear_all(FkController *c);
