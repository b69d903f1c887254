/* Capacity that arrays leave free for services that arrive next. The reserve follows from the arrival rate of
 * services and is limited to a small share of the machines, since with few machines it would cost more than
 * it gains. The unit is the slot: capacity for one task of the latest service seen. */
#pragma once
#include "core/controller_internal.h"

/* Returns the free slots on these machines beyond the reserve; may be negative. `machine_count` limits the
 * reserve; `share` is the part of all arriving services that these machines must absorb. Returns G_MAXDOUBLE
 * if no service has been seen yet: nothing is reserved. */
double fk_service_reserve_spare_slots(FkController *c, GPtrArray *machines, guint machine_count,
                                      double share);

/* Returns whether a task may take capacity on the machine; if so, subtracts the slots that it uses from
 * `spare_slots`. The reserve restricts arrays only. */
gboolean fk_service_reserve_permits(FkController *c, FkMachine *machine, const FkSpec *spec,
                                    double *spare_slots);
