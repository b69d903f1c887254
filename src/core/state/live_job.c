/* Live jobs: reference counting, and values derived from a job's state. */
#include "core/state/live_job.h"

FkJob *fk_job_ref(FkJob *job) {
  job->ref_count++;
  return job;
}

void fk_job_unref(gpointer data) {
  FkJob *job = data;
  if (--job->ref_count > 0)
    return;
  fk_spec_unref(job->spec);
  g_free(job);
}

gint64 fk_job_own_deadline_us(const FkJob *job) {
  return job->spec->deadline_s < 0 ? G_MAXINT64 : job->submitted_us + (gint64)(job->spec->deadline_s * 1e6);
}

double fk_job_allowed_s(const FkJob *job) {
  return job->deadline_us == G_MAXINT64 ? -1 : MAX(0, (double)(job->deadline_us - job->startable_us) / 1e6);
}

FkPhase fk_job_phase(const FkJob *job) {
  if (job->cancelled)
    return FK_PHASE_CANCELLED;
  return job->allocated ? FK_PHASE_RUNNING : FK_PHASE_QUEUED;
}

gboolean fk_job_is_complete(const FkJob *job) { return job->done == job->spec->tasks; }

guint32 fk_job_waiting_tasks(const FkJob *job) {
  if (job->cancelled || job->removed || job->blocked)
    return 0;
  guint32 waiting = job->spec->tasks - job->done - job->allocated;
  return !job->failing || job->spec->shape == FK_SHAPE_GANG ? waiting : job->allocated ? 0 : MIN(1, waiting);
}

guint fk_job_hash(gconstpointer job) { return g_str_hash(((const FkJob *)job)->spec->id); }
