/* Capacity that arrays leave free for the services that arrive next. The reserve follows from the arrival
 * rate of services. It is limited to a small number of slots per machine, since in a small fleet a larger
 * reserve would cost more than it gains. A slot is the capacity for one task of the service that was seen
 * last. */
#pragma once
#include "core/controller_internal.h"

/* Returns the number of free slots on `machines` beyond the reserve; may be negative. The limit of the
 * reserve is proportional to `machine_count`. `share` is the part of all arriving services that these
 * machines must absorb. Returns G_MAXDOUBLE if no service has been seen yet: nothing is reserved. */
double fk_service_reserve_spare_slots(FkController *c, GPtrArray *machines, guint machine_count,
                                      double share);

/* Returns whether a task of `spec` may take capacity on the machine; if so, subtracts the slots that the task
 * uses from `spare_slots`. The reserve restricts arrays only. */
gboolean fk_service_reserve_permits(FkController *c, FkMachine *machine, const FkSpec *spec,
                                    double *spare_slots);
