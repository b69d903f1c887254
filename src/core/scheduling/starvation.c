/* Serve-by-half, watched: every controller looks at each class and team once a second, tells once a window,
 * and knows who must be lifted up. */
#include "core/controller_internal.h"

#define LOOK_S 1.0
static FkServedJob as_served(const FkJob *j) {
  return (FkServedJob){.class_name = j->spec->class_name,
                       .team = j->spec->team,
                       .tasks = j->spec->tasks,
                       .done = j->done,
                       .running = j->booked,
                       .waiting = fk_job_waiting(j),
                       .cpus = j->booked * j->spec->cpus,
                       .size = fk_spec_size(j->spec)};
}

void fk_serving_tick(FkController *c) {
  if (fk_time_between(c->served_looked, c->now) < LOOK_S)
    return;
  c->served_looked = c->now;
  fk_served_begin(c->view->served);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (!j->sized) {
      fk_served_sized(c->view->served, j->spec->class_name, fk_spec_size(j->spec));
      j->sized = TRUE;
    }
    /* one that fails everywhere is its user's to mend: no room would serve it */
    if (j->cancelled || j->doubted || j->held)
      continue;
    FkServedJob s = as_served(j);
    s.age_s = fk_time_between((FkTime){j->could_us}, c->now);
    fk_served_live(c->view->served, &s);
  }
  g_autoptr(GPtrArray) rows = fk_served_rows(c->view->served);
  c->starving = FALSE;
  for (guint i = 0; i < rows->len; i++)
    c->starving |= fk_served_starved(rows->pdata[i]);
}

gboolean fk_serving_starved(FkController *c, const FkJob *j) {
  const FkServedRow *row = fk_served_class(c->view->served, j->spec->class_name);
  return c->starving && row && fk_served_starved(row);
}

gboolean fk_serving_largest_starved(FkController *c, const FkJob *j) {
  const FkServedRow *row = c->starving ? fk_served_largest(c->view->served, j->spec->class_name) : NULL;
  return row && fk_served_starved(row) &&
         fk_served_is_large(c->view->served, j->spec->class_name, fk_spec_size(j->spec));
}

gboolean fk_serving_lifts(FkController *c, const FkJob *j, double room) {
  if (!c->starving)
    return FALSE;
  const FkServedRow *rows[] = {fk_served_class(c->view->served, j->spec->class_name),
                               fk_served_team(c->view->served, j->spec->team)};
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i] && fk_served_starved(rows[i]) && rows[i]->cpus < FK_FLOOR * room)
      return TRUE;
  return FALSE;
}

void fk_serving_tell(FkController *c) {
  g_autoptr(GPtrArray) rows = fk_served_rows(c->view->served);
  for (guint i = 0; i < rows->len; i++) {
    const FkServedRow *r = rows->pdata[i];
    if (!r->live && !r->waiting)
      continue;
    gboolean starved = fk_served_starved(r);
    g_log(G_LOG_DOMAIN, starved ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_INFO,
          "served: %s %s: %u jobs done, %u live, %" G_GUINT64_FORMAT " tasks run, %" G_GUINT64_FORMAT
          " wait, the oldest for %.0f s; %.0f%% of %.0f jobs are served%s",
          r->kind == FK_SERVED_TEAM    ? "team"
          : r->kind == FK_SERVED_CLASS ? "class"
                                       : "the largest of",
          r->name, r->ended, r->live, r->running, r->waiting, r->oldest_s, 100 * fk_served_share(r), r->due,
          starved ? "; LESS THAN HALF" : "");
  }
}
