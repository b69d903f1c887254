/* Serve-by-half, watched: every controller looks at each class and team once a second, tells once a window,
 * and knows who must be lifted up. */
#include "core/controller_internal.h"

#define CHECK_INTERVAL_S 1.0
static FkServiceLevelJob service_level_job(const FkJob *j) {
  return (FkServiceLevelJob){.class_name = j->spec->class_name,
                             .team = j->spec->team,
                             .tasks = j->spec->tasks,
                             .done = j->done,
                             .running = j->allocated,
                             .waiting = fk_job_waiting_tasks(j),
                             .cpus = j->allocated * j->spec->cpus,
                             .size = fk_spec_cpu_seconds(j->spec)};
}

void fk_starvation_tick(FkController *c) {
  if (fk_time_between(c->leader.starvation_checked_at, c->now) < CHECK_INTERVAL_S)
    return;
  c->leader.starvation_checked_at = c->now;
  fk_service_level_begin(c->view->service_level);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (!j->size_recorded) {
      fk_service_level_add_size(c->view->service_level, j->spec->class_name, fk_spec_cpu_seconds(j->spec));
      j->size_recorded = TRUE;
    }
    /* one that fails everywhere is its user's to mend: no room would serve it */
    if (j->cancelled || j->failing || j->blocked)
      continue;
    FkServiceLevelJob s = service_level_job(j);
    s.age_s = fk_time_between((FkTime){j->startable_us}, c->now);
    fk_service_level_add_live_job(c->view->service_level, &s);
  }
  g_autoptr(GPtrArray) rows = fk_service_level_rows(c->view->service_level);
  c->leader.starving = FALSE;
  for (guint i = 0; i < rows->len; i++)
    c->leader.starving |= fk_service_level_is_starved(rows->pdata[i]);
}

gboolean fk_starvation_affects_class(FkController *c, const FkJob *j) {
  const FkServiceLevelRow *row = fk_service_level_class(c->view->service_level, j->spec->class_name);
  return c->leader.starving && row && fk_service_level_is_starved(row);
}

gboolean fk_starvation_affects_largest(FkController *c, const FkJob *j) {
  const FkServiceLevelRow *row =
      c->leader.starving ? fk_service_level_largest(c->view->service_level, j->spec->class_name) : NULL;
  return row && fk_service_level_is_starved(row) &&
         fk_service_level_is_large(c->view->service_level, j->spec->class_name, fk_spec_cpu_seconds(j->spec));
}

gboolean fk_starvation_lifts(FkController *c, const FkJob *j, double room) {
  if (!c->leader.starving)
    return FALSE;
  const FkServiceLevelRow *rows[] = {fk_service_level_class(c->view->service_level, j->spec->class_name),
                                     fk_service_level_team(c->view->service_level, j->spec->team)};
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i] && fk_service_level_is_starved(rows[i]) && rows[i]->cpus < FK_SERVICE_FLOOR_SHARE * room)
      return TRUE;
  return FALSE;
}

void fk_starvation_log(FkController *c) {
  g_autoptr(GPtrArray) rows = fk_service_level_rows(c->view->service_level);
  for (guint i = 0; i < rows->len; i++) {
    const FkServiceLevelRow *r = rows->pdata[i];
    if (!r->live && !r->waiting)
      continue;
    gboolean starved = fk_service_level_is_starved(r);
    g_log(G_LOG_DOMAIN, starved ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_INFO,
          "served: %s %s: %u jobs done, %u live, %" G_GUINT64_FORMAT " tasks run, %" G_GUINT64_FORMAT
          " wait, the oldest for %.0f s; %.0f%% of %.0f jobs are served%s",
          r->kind == FK_SERVICE_LEVEL_TEAM    ? "team"
          : r->kind == FK_SERVICE_LEVEL_CLASS ? "class"
                                              : "the largest of",
          r->name, r->ended, r->live, r->running, r->waiting, r->oldest_wait_s,
          100 * fk_service_level_share(r), r->expected_jobs, starved ? "; LESS THAN HALF" : "");
  }
}
