/* Whose turn it is: the order of waiting jobs, who must leave room to whom, and what each team is due. */
#include "core/scheduling/scheduling_queue.h"

#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/launch_batch.h"
#include "scheduling_queue/wait_queue.h"

#include <string.h>

/* A look costs by what has changed since the last, not by what waits: jobs whose waiting may have changed
 * take their places anew, and of the others so many a look, in turns; then the first of them are read off.
 * With fewer jobs than this all take part in every look. */
#define REFRESHED_A_LOOK 256
#define FIRST_A_LOOK 256
#define LOOKED_AT_MOST (4 * FIRST_A_LOOK)

#define ROOM_S 1.0   /* the fleet's size is looked at so often */
#define AHEAD_MOST 4 /* of the jobs that others yield to, the first */
#define YIELD_S 1.0  /* who has waited for less may yet find room beside them */

struct FkTurn {
  FkWaitQueue *queue;    /* FkJob, with a reference: those with tasks that wait */
  guint cursor;          /* of the view's list of jobs: who takes its place anew next */
  guint64 look;          /* counts them */
  guint n_teams;         /* of the settings */
  double *wanted;        /* CPUs of the fleet that a team's jobs wait for; in the settings' order of teams */
  guint services;        /* tasks of services that wait */
  guint64 touched;       /* jobs that took their places anew, in all looks */
  FkClaimant *claimants; /* in the settings' order of teams */
  double cpus, gpus;     /* of the machines that are up */
  FkTime counted;
  GPtrArray *ahead; /* FkJob, with a reference: arrays that wait though it is their turn */
  double ahead_cpus, ahead_s;
};

FkTurn *fk_turn_new(const FkSettings *s) {
  FkTurn *o = g_new0(FkTurn, 1);
  o->queue = fk_wait_queue_new();
  o->n_teams = s->teams->len;
  o->wanted = g_new0(double, s->teams->len);
  o->claimants = g_new0(FkClaimant, s->teams->len);
  o->ahead = g_ptr_array_new_with_free_func(fk_job_unref);
  return o;
}

void fk_turn_free(FkTurn *o) {
  if (!o)
    return;
  fk_turn_forget(o);
  fk_wait_queue_free(o->queue);
  g_free(o->wanted);
  g_free(o->claimants);
  g_ptr_array_unref(o->ahead);
  g_free(o);
}

static gboolean any(gpointer job, gpointer unused) { return TRUE; }

void fk_turn_forget(FkTurn *o) {
  g_autoptr(GPtrArray) jobs = g_ptr_array_new_with_free_func(fk_job_unref);
  fk_wait_queue_first(o->queue, G_MAXUINT, G_MAXUINT, any, NULL, jobs);
  fk_wait_queue_clear(o->queue);
  memset(o->wanted, 0, o->n_teams * sizeof *o->wanted);
  o->services = 0;
  g_ptr_array_set_size(o->ahead, 0);
  o->ahead_cpus = o->ahead_s = 0;
}

double fk_job_latest_start(FkController *c, const FkJob *j, double slack) {
  const FkSpec *s = j->spec;
  double left = slack * fk_view_run_s(c->view, s) + fk_time_between((FkTime){j->could_us}, c->now);
  double best = G_MAXDOUBLE;
  double due = fk_job_due_s(j);
  if (due >= left)
    best = due - left;
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *o = c->settings->objectives->pdata[i];
    /* a service's aim is its start: after an outage those that can still have it come before those that can't
     */
    if (g_strcmp0(o->kind, s->shape == FK_SHAPE_SERVICE ? "wait" : "finished") == 0 &&
        g_strcmp0(o->class_name, s->class_name) == 0 && o->within_s >= left)
      best = MIN(best, o->within_s - left);
  }
  return best;
}

static void count_room(FkController *c, FkTurn *o) {
  if (fk_time_between(o->counted, c->now) < ROOM_S)
    return;
  o->counted = c->now;
  o->cpus = o->gpus = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    const FkType *t = m->rec && !m->mark ? fk_type_of(c, m) : NULL;
    o->cpus += t ? t->cpus : 0;
    o->gpus += t ? t->gpus : 0;
  }
}

/* What each team is due, by what waits and what is booked now. */
static void share_out(FkController *c, FkTurn *o) {
  for (guint i = 0; i < o->n_teams; i++) {
    const FkTeam *t = c->settings->teams->pdata[i];
    const FkTeamUse *use = fk_view_team(c->view, t->name);
    o->claimants[i] = (FkClaimant){.guarantee = fk_share_dominant(t->cpus, t->gpus, o->cpus, o->gpus),
                                   .most = t->cpus_max,
                                   .used = fk_share_dominant(use->cpus, use->gpus, o->cpus, o->gpus),
                                   .wanted = o->wanted[i] > FK_EPS ? o->wanted[i] : 0};
  }
  fk_share_out(o->claimants, o->n_teams, o->cpus);
}

const FkClaimant *fk_turn_claimant(FkController *c, const char *team) {
  return &c->turn->claimants[fk_settings_team_index(c->settings, team)];
}

/* A rank orders a team's own work, and that of teams which have a claim to room. Who has none can't outrank
 * them by it; and who is hardly served at all, or hasn't begun for too long, gets a floor, as if its rank
 * were the usual one. (A guest's six sweeps waited for up to 352 s to begin on a recorded day.) */
static void take_place(FkController *c, FkJob *j) {
  j->rank_now = j->pulled_rank;
  gboolean overdue = fk_overdue(c, j);
  j->urgent = overdue || fk_serving_largest_starved(c, j);
  j->standing = fk_share_standing(fk_turn_claimant(c, j->spec->team));
  if (fk_settings_team(c->settings, j->spec->team)->cpus <= 0)
    j->rank_now = MAX(j->rank_now, FK_RANK_NORMAL);
  /* whoever must begin soon is lifted until its first task has */
  if (j->rank_now < FK_RANK_NORMAL || !(overdue || fk_serving_lifts(c, j, c->turn->cpus)))
    return;
  j->rank_now = FK_RANK_NORMAL;
  j->standing = FK_STANDING_PROTECTED;
}

/* Arrays of the usual rank that could have started, but for room. */
static void note_ahead(FkController *c, FkTurn *o, GPtrArray *jobs) {
  g_ptr_array_set_size(o->ahead, 0);
  o->ahead_cpus = o->ahead_s = 0;
  for (guint i = 0; i < jobs->len; i++) {
    FkJob *j = jobs->pdata[i];
    double waited = fk_time_between(j->seen, c->now);
    if (j->rank_now > FK_RANK_NORMAL)
      break;
    if (j->spec->shape != FK_SHAPE_ARRAY || j->doubted || waited < YIELD_S || !fk_team_allows(c, j->spec))
      continue;
    o->ahead_cpus += fk_job_waiting(j) * j->spec->cpus;
    if (!o->ahead->len)
      o->ahead_s = waited;
    if (o->ahead->len < AHEAD_MOST)
      g_ptr_array_add(o->ahead, fk_job_ref(j));
  }
}

static gboolean has_aims(FkController *c, const FkSpec *s) {
  for (guint i = 0; i < c->settings->objectives->len; i++)
    if (g_strcmp0(((FkObjective *)c->settings->objectives->pdata[i])->class_name, s->class_name) == 0)
      return TRUE;
  return s->deadline_s >= 0;
}

#define ENOUGH 0.5 /* of a class is served */

gboolean fk_turn_frugal(FkController *c, const FkJob *j) {
  const FkTeam *team = fk_settings_team(c->settings, j->spec->team);
  const FkServedRow *row = fk_served_class(c->view->served, j->spec->class_name);
  return team->cpus <= 0 && j->spec->shape == FK_SHAPE_ARRAY && !has_aims(c, j->spec) && row &&
         (row->due <= 0 || fk_served_share(row) >= ENOUGH) && !fk_serving_lifts(c, j, c->turn->cpus);
}

gboolean fk_turn_yields(FkController *c, const FkJob *j, const FkMachine *m) {
  if (fk_overdue_keeps(c, j, m))
    return TRUE;
  if (j->rank_now <= FK_RANK_NORMAL || j->urgent || j->spec->shape == FK_SHAPE_SERVICE)
    return FALSE;
  for (guint i = 0; i < c->turn->ahead->len; i++) {
    const FkJob *first = c->turn->ahead->pdata[i];
    if (fk_job_waiting(first) && fk_job_allows(c, first, m))
      return TRUE;
  }
  return FALSE;
}

double fk_turn_room(FkController *c) { return c->turn->cpus; }

const FkJob *fk_turn_first(FkController *c) {
  const FkJob *j = c->turn->ahead->len ? c->turn->ahead->pdata[0] : NULL;
  return j && fk_job_waiting(j) ? j : NULL;
}

double fk_turn_ahead(FkController *c, double *waited_s) {
  *waited_s = c->turn->ahead_s;
  return c->turn->ahead_cpus;
}

/* ------------------------------------------------------------------ the order, kept */

static gboolean waits(FkController *c, const FkJob *j) {
  return fk_job_waiting(j) && fk_settings_team(c->settings, j->spec->team);
}

/* What it wants counts for its team, and for the services. */
static void count_wants(FkController *c, FkTurn *o, FkJob *j) {
  const FkSpec *s = j->spec;
  if (!fk_settings_team(c->settings, s->team))
    return;
  double tasks = fk_job_waiting(j);
  double wants = fk_share_dominant(tasks * s->cpus, tasks * s->gpus, o->cpus, o->gpus);
  guint services = s->shape == FK_SHAPE_SERVICE ? fk_job_waiting(j) : 0;
  o->wanted[fk_settings_team_index(c->settings, s->team)] += wants - j->wants;
  o->services += services - j->services_counted;
  j->wants = wants;
  j->services_counted = services;
}

static void take_place_anew(FkController *c, FkTurn *o, FkJob *j) {
  o->touched++;
  if (!waits(c, j)) {
    if (fk_wait_queue_remove(o->queue, j))
      fk_job_unref(j);
    return;
  }
  j->latest_s = fk_job_latest_start(c, j, 1.0);
  take_place(c, j);
  j->left_cpu_s = fk_job_waiting(j) * fk_view_run_s(c->view, j->spec) * j->spec->cpus;
  const FkWaitKey key = {j->rank_now,   j->standing, j->urgent, j->latest_s < G_MAXDOUBLE,
                         j->left_cpu_s, j->could_us};
  if (!fk_wait_queue_place(o->queue, j))
    fk_job_ref(j);
  fk_wait_queue_put(o->queue, j, &key);
}

/* Whose waiting may have changed, and the next of all jobs in turns: references. */
static GPtrArray *to_refresh(FkController *c, FkTurn *o) {
  GPtrArray *jobs = g_ptr_array_new_with_free_func(fk_job_unref);
  GHashTableIter it;
  gpointer j;
  g_hash_table_iter_init(&it, c->view->jobs_touched);
  while (g_hash_table_iter_next(&it, &j, NULL))
    g_ptr_array_add(jobs, fk_job_ref(j));
  g_hash_table_remove_all(c->view->jobs_touched);
  const GPtrArray *all = c->view->job_list;
  for (guint i = 0; i < MIN(all->len, REFRESHED_A_LOOK); i++)
    g_ptr_array_add(jobs, fk_job_ref(all->pdata[o->cursor++ % all->len]));
  return jobs;
}

static gboolean may_start(gpointer job, gpointer controller) {
  FkController *c = controller;
  FkJob *j = job;
  /* where more wait than are looked at, those that can start nowhere give up their places to others */
  gboolean crowded = fk_wait_queue_size(c->turn->queue) > FIRST_A_LOOK;
  j->limit_left = fk_team_has_limit_left(c, j->spec);
  return waits(c, j) && fk_time_reached(c->now, j->retry_at) && (j->limit_left || !crowded);
}

static int by_place(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  return x->place < y->place ? -1 : x->place > y->place;
}

/* The first in the order, and those of the jobs refreshed now that come after them: so each has its turn. */
static GPtrArray *read_off(FkController *c, FkTurn *o, const GPtrArray *refreshed) {
  GPtrArray *jobs = g_ptr_array_new();
  o->look++;
  fk_wait_queue_first(o->queue, FIRST_A_LOOK, LOOKED_AT_MOST, may_start, c, jobs);
  guint first = jobs->len;
  for (guint i = 0; i < first; i++) {
    FkJob *j = jobs->pdata[i];
    j->place = i + 1;
    j->look = o->look;
  }
  for (guint i = 0; i < refreshed->len && fk_wait_queue_size(o->queue) > first; i++) {
    FkJob *j = refreshed->pdata[i];
    if (j->look == o->look || !may_start(j, c))
      continue;
    j->place = MAX(first + 1, fk_wait_queue_place(o->queue, j));
    j->look = o->look;
    g_ptr_array_add(jobs, j);
  }
  if (jobs->len > first)
    g_ptr_array_sort(jobs, by_place);
  return jobs;
}

static gboolean is_urgent(FkController *c, const FkJob *j) {
  return j->pulled_rank < FK_RANK_NORMAL && waits(c, j) && fk_time_reached(c->now, j->retry_at) &&
         (c->leading || !fk_spec_long(c, j->spec)) && fk_team_has_limit_left(c, j->spec);
}

gboolean fk_turn_urgent_waits(FkController *c) {
  g_autoptr(GPtrArray) first = g_ptr_array_new();
  fk_wait_queue_first(c->turn->queue, 1, 1, any, NULL, first);
  if (first->len && is_urgent(c, first->pdata[0]))
    return TRUE;
  GHashTableIter it;
  gpointer j;
  g_hash_table_iter_init(&it, c->view->jobs_touched);
  while (g_hash_table_iter_next(&it, &j, NULL))
    if (is_urgent(c, j))
      return TRUE;
  return FALSE;
}

guint64 fk_turn_touched(const FkTurn *o) { return o->touched; }

GPtrArray *fk_turn_waiting(FkController *c) {
  FkTurn *o = c->turn;
  g_autoptr(GPtrArray) refreshed = to_refresh(c, o);
  count_room(c, o);
  for (guint i = 0; i < refreshed->len; i++)
    count_wants(c, o, refreshed->pdata[i]);
  share_out(c, o);
  for (guint i = 0; i < refreshed->len; i++)
    take_place_anew(c, o, refreshed->pdata[i]);
  GPtrArray *jobs = read_off(c, o, refreshed);
  c->services_waiting = o->services;
  note_ahead(c, o, jobs);
  fk_overdue_look(c, jobs);
  return jobs;
}
