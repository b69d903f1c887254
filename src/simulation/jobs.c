/* What the simulation knows of a job: its specification, and what it depends on. */
#include <string.h>

#include "simulation/simulation_internal.h"

SimJob *sim_job_find(Sim *sim, const char *id) { return g_hash_table_lookup(sim->jobs_by_id, id); }

void sim_job_free(gpointer data) {
  SimJob *job = data;
  g_free(job->id);
  g_free(job->team);
  g_free(job->zone);
  g_free(job->finished);
  if (job->dependencies)
    g_ptr_array_unref(job->dependencies);
  g_free(job);
}

gboolean sim_job_dependencies_done(const SimJob *job) {
  for (guint i = 0; job->dependencies && i < job->dependencies->len; i++) {
    const SimJob *dependency = job->dependencies->pdata[i];
    if (memchr(dependency->finished, 0, dependency->tasks))
      return FALSE;
  }
  return TRUE;
}

gboolean sim_job_cancel_requested(const SimJob *job) {
  if (job->cancel_requested)
    return TRUE;
  for (guint i = 0; job->dependencies && i < job->dependencies->len; i++)
    if (sim_job_cancel_requested(job->dependencies->pdata[i]))
      return TRUE;
  return FALSE;
}

FkSpec *sim_job_spec(const SimJob *job) {
  FkSpec *spec = fk_spec_new();
  spec->id = g_strdup(job->id);
  spec->class_name = g_strdup(job->class_name);
  spec->team = g_strdup(job->team);
  spec->shape = job->shape;
  spec->priority = job->priority;
  spec->tasks = job->tasks;
  spec->cpus = job->cpus;
  spec->mem_gb = 2;
  spec->image = g_strdup("img");
  spec->image_gb = 1;
  spec->zone = g_strdup(job->zone);
  spec->one_zone = job->one_zone;
  spec->spread = job->spread;
  spec->spot = job->spot;
  spec->estimate_s = job->shape == FK_SHAPE_SERVICE ? 0 : job->run_s;
  if (job->dependencies || job->unknown_dependency) {
    g_autoptr(GStrvBuilder) b = g_strv_builder_new();
    for (guint i = 0; job->dependencies && i < job->dependencies->len; i++)
      g_strv_builder_add(b, ((SimJob *)job->dependencies->pdata[i])->id);
    if (job->unknown_dependency)
      g_strv_builder_add(b, job->unknown_dependency);
    spec->dependencies = g_strv_builder_end(b);
  }
  return spec;
}
