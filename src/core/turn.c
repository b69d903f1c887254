/* Whose turn it is: the order of waiting jobs, who must leave room to whom, and what each team is due. */
#include "core/turn.h"

#include "core/batch.h"
#include "core/overdue.h"

#define ROOM_S 1.0   /* the fleet's size is looked at so often */
#define AHEAD_MOST 4 /* of the jobs that others yield to, the first */
#define YIELD_S 1.0  /* who has waited for less may yet find room beside them */

struct FkTurn {
  FkClaimant *claimants; /* in the settings' order of teams */
  double cpus, gpus;     /* of the machines that are up */
  FkTime counted;
  GPtrArray *ahead; /* FkJob, with a reference: arrays that wait though it is their turn */
  double ahead_cpus, ahead_s;
};

FkTurn *fk_turn_new(const FkSettings *s) {
  FkTurn *o = g_new0(FkTurn, 1);
  o->claimants = g_new0(FkClaimant, s->teams->len);
  o->ahead = g_ptr_array_new_with_free_func(fk_job_unref);
  return o;
}

void fk_turn_free(FkTurn *o) {
  if (!o)
    return;
  g_free(o->claimants);
  g_ptr_array_unref(o->ahead);
  g_free(o);
}

void fk_turn_forget(FkTurn *o) {
  g_ptr_array_set_size(o->ahead, 0);
  o->ahead_cpus = o->ahead_s = 0;
}

static int job_order(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  if (x->rank_now != y->rank_now)
    return (int)x->rank_now - (int)y->rank_now;
  if (x->standing != y->standing)
    return (int)x->standing - (int)y->standing;
  if (x->urgent != y->urgent)
    return x->urgent ? -1 : 1;
  gboolean hope_x = x->latest_s < G_MAXDOUBLE, hope_y = y->latest_s < G_MAXDOUBLE;
  if (hope_x != hope_y)
    return hope_x ? -1 : 1;
  /* Under overload not all can be on time: what is soonest complete makes the most jobs so. */
  if (hope_x && x->left_cpu_s != y->left_cpu_s)
    return x->left_cpu_s < y->left_cpu_s ? -1 : 1;
  return x->could_us < y->could_us ? -1 : x->could_us > y->could_us;
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
static void share_out(FkController *c, FkTurn *o, GPtrArray *jobs) {
  guint n = c->settings->teams->len;
  for (guint i = 0; i < n; i++) {
    const FkTeam *t = c->settings->teams->pdata[i];
    const FkTeamUse *use = fk_view_team(c->view, t->name);
    o->claimants[i] = (FkClaimant){.guarantee = fk_share_dominant(t->cpus, t->gpus, o->cpus, o->gpus),
                                   .most = t->cpus_max,
                                   .used = fk_share_dominant(use->cpus, use->gpus, o->cpus, o->gpus)};
  }
  for (guint i = 0; i < jobs->len; i++) {
    const FkJob *j = jobs->pdata[i];
    double tasks = fk_job_waiting(j);
    o->claimants[fk_settings_team_index(c->settings, j->spec->team)].wanted +=
        fk_share_dominant(tasks * j->spec->cpus, tasks * j->spec->gpus, o->cpus, o->gpus);
  }
  fk_share_out(o->claimants, n, o->cpus);
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

GPtrArray *fk_turn_waiting(FkController *c) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (fk_job_waiting(j) && fk_time_reached(c->now, j->retry_at) &&
        fk_settings_team(c->settings, j->spec->team))
      g_ptr_array_add(jobs, j);
  }
  count_room(c, c->turn);
  share_out(c, c->turn, jobs);
  for (guint i = 0; i < jobs->len; i++) {
    FkJob *j = jobs->pdata[i];
    j->latest_s = fk_job_latest_start(c, j, 1.0);
    take_place(c, j);
    j->left_cpu_s = fk_job_waiting(j) * fk_view_run_s(c->view, j->spec) * j->spec->cpus;
  }
  g_ptr_array_sort(jobs, job_order);
  c->services_waiting = 0;
  for (guint i = 0; i < jobs->len; i++) {
    FkJob *j = jobs->pdata[i];
    j->place = i + 1;
    c->services_waiting += j->spec->shape == FK_SHAPE_SERVICE ? fk_job_waiting(j) : 0;
  }
  note_ahead(c, c->turn, jobs);
  fk_overdue_look(c, jobs);
  return jobs;
}
