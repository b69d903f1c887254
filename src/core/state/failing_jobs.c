/* Reports failed and successful attempts to fault attribution, which decides whether the job or the machine
 * is at fault. All controllers evaluate the same completions. A job that fails on every machine is retried
 * with a delay, and its failures do not mark machines as faulty. */
#include "core/state/view_internal.h"

#define FAILING_REVIEW_INTERVAL_S 1.0

/* Returns the age in seconds of the job's oldest current allocation; 0 if there is none. Ignores allocations
 * that are to be stopped, and those whose start this controller did not observe. */
static double longest_run_s(const FkView *v, const FkJob *job) {
  double longest_s = 0;
  for (guint32 i = 0; i < job->chunk_count; i++)
    for (guint k = 0; job->chunks[i] && k < job->chunks[i]->allocations->len; k++) {
      const FkAllocation *allocation = &g_array_index(job->chunks[i]->allocations, FkAllocation, k);
      if (!allocation->stop_requested && allocation->start_observed)
        longest_s = MAX(longest_s, fk_time_between(allocation->first_seen_at, v->now));
    }
  return longest_s;
}

void fk_view_attempt_failed(FkView *v, FkJob *job, const FkAllocation *allocation) {
  const char *id = job->spec->id;
  double took_s = allocation->start_observed ? fk_time_between(allocation->first_seen_at, v->now) : 0;
  fk_fault_attribution_task_failed(v->fault_attribution, id, allocation->machine, took_s, job->done > 0,
                                   v->now);
  fk_fault_attribution_task_survives(v->fault_attribution, id, longest_run_s(v, job));
  job->has_failed = TRUE;
  job->failing = fk_fault_attribution_job_is_failing(v->fault_attribution, id);
  job->retry_at = fk_time_add(v->now, fk_fault_attribution_retry_delay_s(v->fault_attribution, id));
}

void fk_view_attempt_succeeded(FkView *v, FkJob *job, const FkAllocation *allocation) {
  fk_fault_attribution_task_succeeded(v->fault_attribution, job->spec->id, allocation->machine);
  if (job->failing)
    job->retry_at = v->now;
  job->failing = FALSE;
}

void fk_view_review_failing_jobs(FkView *v) {
  if (fk_time_between(v->failing_reviewed_at, v->now) < FAILING_REVIEW_INTERVAL_S ||
      !fk_fault_attribution_job_count(v->fault_attribution))
    return;
  v->failing_reviewed_at = v->now;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, v->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkJob *job = value;
    if (!job->failing)
      continue;
    fk_fault_attribution_task_survives(v->fault_attribution, job->spec->id, longest_run_s(v, job));
    job->failing = fk_fault_attribution_job_is_failing(v->fault_attribution, job->spec->id);
    if (!job->failing)
      job->retry_at = v->now;
    fk_view_mark_job_changed(v, job);
  }
}
