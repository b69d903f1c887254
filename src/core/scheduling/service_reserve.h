/* Capacity that arrays leave free for the services that arrive next. How much follows from the rate at which
 * services arrive; it stays a small share of the machines, since with few of them it would cost more than it
 * brings. Measured in slots: how many tasks of the latest service seen would fit. */
#pragma once
#include "core/controller_internal.h"

/* Slots that are free on these machines beyond the reserve; may be negative. `machine_count` bounds the
 * reserve, `share` is the part of all services that these machines must absorb. G_MAXDOUBLE: no service was
 * seen yet, and nothing is reserved. */
double fk_service_reserve_spare_slots(FkController *c, GPtrArray *machines, guint machine_count,
                                      double share);

/* Whether a task may take capacity on the machine; if so, the slots that it costs are taken off
 * `spare_slots`. Only arrays are bound by the reserve. */
gboolean fk_service_reserve_permits(FkController *c, FkMachine *machine, const FkSpec *spec,
                                    double *spare_slots);
