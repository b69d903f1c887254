/* Placement constraints: on which instance types and machines a job's tasks may run, and whether a machine
 * has enough free capacity for one of them. */
#pragma once
#include "core/controller_internal.h"

/* Returns the machine's instance type; NULL if its record or the list of types isn't known yet. Types aren't
 * freed during the controller's lifetime. */
const FkInstanceType *fk_machine_type(FkController *c, const FkMachine *machine);

/* Returns whether a task of `spec` fits an empty machine of the type, and `spec` allows the type and one of
 * its zones. */
gboolean fk_placement_fits_type(const FkSpec *spec, const FkInstanceType *type);

/* Returns whether the job may run on the machine: the job allows the machine's type, zone and purchase option
 * (spot or not), `one_zone` and `spread` allow another task in the zone, and the job doesn't avoid the
 * machine after a failure. Free capacity isn't checked. */
gboolean fk_placement_is_allowed(FkController *c, const FkJob *job, const FkMachine *machine);

/* Returns whether the machine has free capacity for one task, in addition to all allocations and
 * reservations. */
gboolean fk_placement_fits_machine(FkController *c, const FkMachine *machine, const FkSpec *spec);

/* Returns whether the machine has `cpus` and `mem_gb` neither allocated nor reserved; GPUs aren't checked. */
gboolean fk_placement_has_capacity(FkController *c, const FkMachine *machine, double cpus, double mem_gb);
