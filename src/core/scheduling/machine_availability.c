#include "core/scheduling/machine_availability.h"

#include "core/scheduling/placement.h"

#include <math.h>

/* A stopping task is expected to end within this time. Any other task is expected to run on for at least this
 * long. */
#define STOPPING_S 1.0

/* Capacity that is expected to become free in `in_s` seconds. */
typedef struct {
  double in_s, cpus, gpus, mem_gb;
} Release;

static int compare_by_time(gconstpointer a, gconstpointer b) {
  const Release *x = a, *y = b;
  return x->in_s < y->in_s ? -1 : x->in_s > y->in_s;
}

/* Returns whether a task of `spec` fits the machine once the released capacity is free. */
static gboolean fits(const FkInstanceType *type, const FkMachine *machine, const Release *released,
                     const FkSpec *spec) {
  return machine->allocated_cpus + machine->reserved_cpus - released->cpus + spec->cpus <=
             type->cpus + FK_AMOUNT_EPSILON &&
         machine->allocated_gpus + machine->reserved_gpus - released->gpus + spec->gpus <=
             type->gpus + FK_AMOUNT_EPSILON &&
         machine->allocated_mem_gb + machine->reserved_mem_gb - released->mem_gb + spec->mem_gb <=
             type->mem_gb + FK_AMOUNT_EPSILON;
}

static double remaining_s(FkController *c, const FkAllocationRef *allocation, double run_time_margin) {
  double left_s = run_time_margin * fk_view_expected_run_s(c->view, allocation->job->spec) -
                  fk_time_between(allocation->first_seen_at, c->now);
  return MAX(STOPPING_S, fabs(left_s));
}

/* Returns the expected releases (Release) of the machine's tasks, the earliest first. */
static GArray *expected_releases(FkController *c, const FkMachine *machine, double run_time_margin) {
  GArray *releases = g_array_new(FALSE, FALSE, sizeof(Release));
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    const FkSpec *spec = allocation->job->spec;
    gboolean stopping = allocation->stop_requested || allocation->job->cancelled;
    if (spec->shape == FK_SHAPE_SERVICE && !stopping)
      continue;
    double in_s = stopping ? STOPPING_S : remaining_s(c, allocation, run_time_margin);
    Release release = {in_s, spec->cpus, spec->gpus, spec->mem_gb};
    g_array_append_val(releases, release);
  }
  g_array_sort(releases, compare_by_time);
  return releases;
}

double fk_machine_available_in_s(FkController *c, const FkMachine *machine, const FkSpec *spec,
                                 double run_time_margin) {
  const FkInstanceType *type = fk_machine_type(c, machine);
  Release total = {0};
  if (fits(type, machine, &total, spec))
    return 0;
  g_autoptr(GArray) releases = expected_releases(c, machine, run_time_margin);
  for (guint i = 0; i < releases->len; i++) {
    const Release *release = &g_array_index(releases, Release, i);
    total.cpus += release->cpus;
    total.gpus += release->gpus;
    total.mem_gb += release->mem_gb;
    if (fits(type, machine, &total, spec))
      return release->in_s;
  }
  return G_MAXDOUBLE;
}
