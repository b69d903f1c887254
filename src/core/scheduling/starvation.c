#include "core/scheduling/starvation.h"

#define CHECK_INTERVAL_S 1.0

static FkServiceLevelJob service_level_job(FkController *c, const FkJob *job) {
  return (FkServiceLevelJob){.class_name = job->spec->class_name,
                             .team = job->spec->team,
                             .age_s = fk_time_between((FkTime){job->startable_us}, c->now),
                             .tasks = job->spec->tasks,
                             .done = job->done,
                             .running = job->allocated,
                             .waiting = fk_job_waiting_tasks(job),
                             .cpus = job->allocated * job->spec->cpus,
                             .size = fk_spec_cpu_seconds(job->spec)};
}

/* Returns whether the job counts towards the service level. Cancelled, blocked and failing jobs don't count:
 * more capacity wouldn't help a failing job before its user has fixed it. */
static gboolean is_counted(const FkJob *job) { return !job->cancelled && !job->failing && !job->blocked; }

void fk_starvation_tick(FkController *c) {
  FkServiceLevel *level = c->view->service_level;
  if (fk_time_between(c->leader.starvation_checked_at, c->now) < CHECK_INTERVAL_S)
    return;
  c->leader.starvation_checked_at = c->now;
  fk_service_level_begin(level);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkJob *job = value;
    if (!job->size_recorded) {
      fk_service_level_add_size(level, job->spec->class_name, fk_spec_cpu_seconds(job->spec));
      job->size_recorded = TRUE;
    }
    if (!is_counted(job))
      continue;
    const FkServiceLevelJob live = service_level_job(c, job);
    fk_service_level_add_live_job(level, &live);
  }
  g_autoptr(GPtrArray) rows = fk_service_level_rows(level);
  c->leader.starving = FALSE;
  for (guint i = 0; i < rows->len; i++)
    c->leader.starving |= fk_service_level_is_starved(rows->pdata[i]);
}

gboolean fk_starvation_affects_class(FkController *c, const FkJob *job) {
  const FkServiceLevelRow *row = fk_service_level_class(c->view->service_level, job->spec->class_name);
  return c->leader.starving && row && fk_service_level_is_starved(row);
}

gboolean fk_starvation_affects_largest(FkController *c, const FkJob *job) {
  const FkServiceLevel *level = c->view->service_level;
  const char *class_name = job->spec->class_name;
  const FkServiceLevelRow *row = c->leader.starving ? fk_service_level_largest(level, class_name) : NULL;
  return row && fk_service_level_is_starved(row) &&
         fk_service_level_is_large(level, class_name, fk_spec_cpu_seconds(job->spec));
}

gboolean fk_starvation_raises_priority(FkController *c, const FkJob *job, double cluster_cpus) {
  if (!c->leader.starving)
    return FALSE;
  const FkServiceLevelRow *rows[] = {fk_service_level_class(c->view->service_level, job->spec->class_name),
                                     fk_service_level_team(c->view->service_level, job->spec->team)};
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i] && fk_service_level_is_starved(rows[i]) &&
        rows[i]->cpus < FK_SERVICE_FLOOR_SHARE * cluster_cpus)
      return TRUE;
  return FALSE;
}

static const char *kind_name(const FkServiceLevelRow *row) {
  static const char *const names[] = {[FK_SERVICE_LEVEL_CLASS] = "class",
                                      [FK_SERVICE_LEVEL_LARGEST] = "largest_of_class",
                                      [FK_SERVICE_LEVEL_TEAM] = "team"};
  return names[row->kind];
}

void fk_starvation_log(FkController *c) {
  g_autoptr(GPtrArray) rows = fk_service_level_rows(c->view->service_level);
  for (guint i = 0; i < rows->len; i++) {
    const FkServiceLevelRow *row = rows->pdata[i];
    if (!row->live && !row->waiting)
      continue;
    gboolean starved = fk_service_level_is_starved(row);
    g_log(G_LOG_DOMAIN, starved ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_INFO,
          "service level %s=%s served_percent=%.0f of_jobs=%.0f jobs_done=%u jobs_live=%u "
          "tasks_running=%" G_GUINT64_FORMAT " tasks_waiting=%" G_GUINT64_FORMAT
          " oldest_wait_s=%.0f starving=%s",
          kind_name(row), row->name, 100 * fk_service_level_share(row), row->expected_jobs, row->ended,
          row->live, row->running, row->waiting, row->oldest_wait_s, starved ? "yes" : "no");
  }
}
