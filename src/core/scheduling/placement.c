#include "core/scheduling/placement.h"

/* Once found, the type is cached in the machine. */
const FkInstanceType *fk_machine_type(FkController *c, const FkMachine *machine) {
  if (!machine->type && machine->record)
    ((FkMachine *)machine)->type = g_hash_table_lookup(c->autoscaling.instance_types, machine->record->type);
  return machine->record ? machine->type : NULL;
}

gboolean fk_placement_fits_type(const FkSpec *spec, const FkInstanceType *type) {
  if (spec->types && !g_strv_contains((const char *const *)spec->types, type->name))
    return FALSE;
  if (spec->zone && !g_strv_contains((const char *const *)type->zones, spec->zone))
    return FALSE;
  return spec->cpus <= type->cpus + FK_AMOUNT_EPSILON && spec->gpus <= type->gpus + FK_AMOUNT_EPSILON &&
         spec->mem_gb <= type->mem_gb + FK_AMOUNT_EPSILON;
}

/* Returns whether one more task in the zone respects `one_zone` and `spread`, given the zones of the job's
 * allocated tasks. */
static gboolean zone_is_allowed(FkController *c, const FkJob *job, const char *zone) {
  const FkSpec *spec = job->spec;
  guint tasks_in_zone = 0;
  for (guint32 i = 0; i < job->chunk_count; i++) {
    if (!job->chunks[i])
      continue;
    const GArray *allocations = job->chunks[i]->allocations;
    for (guint k = 0; k < allocations->len; k++) {
      const FkMachine *other =
          fk_view_find_machine(c->view, g_array_index(allocations, FkAllocation, k).machine);
      if (!other || !other->record)
        return FALSE; /* the zone of the other task isn't known: wait until its allocation has ended */
      gboolean same_zone = g_str_equal(other->record->zone, zone);
      if (spec->one_zone && !same_zone)
        return FALSE;
      tasks_in_zone += same_zone;
    }
  }
  return !spec->spread || tasks_in_zone < (spec->tasks + 1) / 2;
}

gboolean fk_placement_is_allowed(FkController *c, const FkJob *job, const FkMachine *machine) {
  const FkSpec *spec = job->spec;
  const FkInstanceType *type = fk_machine_type(c, machine);
  if (job->has_failed &&
      fk_fault_attribution_job_avoids(c->view->fault_attribution, spec->id, machine->id, c->now))
    return FALSE;
  if (!type || !fk_placement_fits_type(spec, type) || (machine->record->spot && !spec->spot) ||
      (spec->zone && !g_str_equal(spec->zone, machine->record->zone)))
    return FALSE;
  return (!spec->one_zone && !spec->spread) || zone_is_allowed(c, job, machine->record->zone);
}

gboolean fk_placement_has_capacity(FkController *c, const FkMachine *machine, double cpus, double mem_gb) {
  const FkInstanceType *type = fk_machine_type(c, machine);
  return type && machine->allocated_cpus + machine->reserved_cpus + cpus <= type->cpus + FK_AMOUNT_EPSILON &&
         machine->allocated_mem_gb + machine->reserved_mem_gb + mem_gb <= type->mem_gb + FK_AMOUNT_EPSILON;
}

gboolean fk_placement_fits_machine(FkController *c, const FkMachine *machine, const FkSpec *spec) {
  const FkInstanceType *type = fk_machine_type(c, machine);
  return fk_placement_has_capacity(c, machine, spec->cpus, spec->mem_gb) &&
         machine->allocated_gpus + machine->reserved_gpus + spec->gpus <= type->gpus + FK_AMOUNT_EPSILON;
}
