/* Placement constraints: on which instance types and machines a job's tasks may run, and whether a machine
 * has enough free capacity for one of them. */
#pragma once
#include "core/controller_internal.h"

/* Returns the machine's instance type; NULL if its record or the list of types isn't known yet. Types aren't
 * freed during the controller's lifetime. */
const FkInstanceType *fk_machine_type(FkController *c, const FkMachine *machine);

/* Returns whether a task fits an empty machine of the type, and its job allows the type and one of the type's
 * zones. */
gboolean fk_placement_fits_type(const FkSpec *spec, const FkInstanceType *type);

/* Returns whether the job may run on the machine: its type, zone and purchase option (spot or not) are
 * allowed, `one_zone` and `spread` hold given where the job's other tasks run, and the job hasn't failed
 * there recently. Free capacity isn't checked. */
gboolean fk_placement_is_allowed(FkController *c, const FkJob *job, const FkMachine *machine);

/* Returns whether the machine has free capacity for one task, in addition to all allocations and
 * reservations. */
gboolean fk_placement_fits_machine(FkController *c, const FkMachine *machine, const FkSpec *spec);

/* Returns whether the machine has `cpus` and `mem_gb` free; GPUs aren't checked. */
gboolean fk_placement_has_capacity(FkController *c, const FkMachine *machine, double cpus, double mem_gb);
