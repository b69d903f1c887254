/* Placement constraints: on which instance types and machines a job's tasks may run, and whether a machine
 * has enough free capacity for one of them. */
#pragma once
#include "core/controller_internal.h"

/* The machine's instance type; NULL while its record or the list of types isn't known. Types are never freed
 * while the controller lives. */
const FkInstanceType *fk_machine_type(FkController *c, const FkMachine *machine);

/* Whether a task fits an empty machine of the type, and its job allows the type and one of its zones. */
gboolean fk_placement_fits_type(const FkSpec *spec, const FkInstanceType *type);

/* Whether the job allows the machine: its type, zone and purchase option (spot or not), where the job's other
 * tasks run, and whether the job has failed there lately. Free capacity isn't checked. */
gboolean fk_placement_is_allowed(FkController *c, const FkJob *job, const FkMachine *machine);

/* Whether the machine has free capacity for one task, beside all allocations and reservations. */
gboolean fk_placement_fits_machine(FkController *c, const FkMachine *machine, const FkSpec *spec);

/* The same for amounts of CPU and memory; GPUs aren't checked. */
gboolean fk_placement_has_capacity(FkController *c, const FkMachine *machine, double cpus, double mem_gb);
