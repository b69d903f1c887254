#include "core/scheduling/backfill_reservation.h"

#include "core/scheduling/launch_batch.h"

#define BEGIN_S 240.0 /* a job must have begun by then, whatever else waits (the operators' check) */
#define AGED 0.55     /* of it: what is left is enough for a machine to run empty */
#define LOOK_S 2.0
#define JOBS_MOST 3   /* that room is kept for at a time, the first in the order */
#define FOR_ONE 32    /* machines kept for one job at the most: a gang's */
#define ENDS_LATE 1.5 /* times its estimate: by then what runs here has mostly ended */
#define TOLD_MOST 5

typedef struct {
  char *job;
  FkRank rank;
  guint place;
  FkTime free_at;
} Kept;

struct FkOverdue {
  GHashTable *kept; /* machine id (interned) -> Kept */
  FkTime looked;
};

static void kept_free(gpointer p) {
  g_free(((Kept *)p)->job);
  g_free(p);
}

FkOverdue *fk_overdue_new(void) {
  FkOverdue *o = g_new0(FkOverdue, 1);
  o->kept = g_hash_table_new_full(g_str_hash, g_direct_equal, NULL, kept_free);
  return o;
}

void fk_overdue_free(FkOverdue *o) {
  g_hash_table_unref(o->kept);
  g_free(o);
}

static double waited_s(FkController *c, const FkJob *j) {
  return fk_time_between((FkTime){j->could_us}, c->now);
}

double fk_overdue_s(FkController *c, const FkJob *j) {
  return j->booked || j->done || j->doubted ? -1 : waited_s(c, j) - AGED * BEGIN_S;
}

gboolean fk_overdue(FkController *c, const FkJob *j) { return fk_overdue_s(c, j) > 0; }

/* ------------------------------------------------------------------ where room comes soonest */

typedef struct {
  double at, cpus, gpus, mem_gb;
} Leaves;

static int by_end(gconstpointer a, gconstpointer b) {
  const Leaves *x = a, *y = b;
  return x->at < y->at ? -1 : x->at > y->at;
}

static gboolean fits(const FkType *t, const FkMachine *m, const Leaves *left, const FkSpec *s) {
  return m->cpus + m->pend_cpus - left->cpus + s->cpus <= t->cpus + FK_EPS &&
         m->gpus + m->pend_gpus - left->gpus + s->gpus <= t->gpus + FK_EPS &&
         m->mem_gb + m->pend_mem - left->mem_gb + s->mem_gb <= t->mem_gb + FK_EPS;
}

/* Seconds until the machine has room for such a task if nothing more is placed there; G_MAXDOUBLE: never. */
static double free_in(FkController *c, const FkMachine *m, const FkSpec *s) {
  const FkType *t = fk_type_of(c, m);
  Leaves gone = {0};
  if (fits(t, m, &gone, s))
    return 0;
  g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(Leaves));
  for (guint i = 0; i < m->books->len; i++) {
    const FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
    const FkSpec *o = b->job->spec;
    gboolean leaving = b->stop || b->job->cancelled;
    if (o->shape == FK_SHAPE_SERVICE && !leaving)
      continue;
    double left =
        leaving ? 1 : MAX(1, ENDS_LATE * fk_view_run_s(c->view, o) - fk_time_between(b->since, c->now));
    Leaves l = {left, o->cpus, o->gpus, o->mem_gb};
    g_array_append_val(ends, l);
  }
  g_array_sort(ends, by_end);
  for (guint i = 0; i < ends->len; i++) {
    const Leaves *l = &g_array_index(ends, Leaves, i);
    gone.cpus += l->cpus;
    gone.gpus += l->gpus;
    gone.mem_gb += l->mem_gb;
    if (fits(t, m, &gone, s))
      return l->at;
  }
  return G_MAXDOUBLE;
}

typedef struct {
  const FkMachine *machine;
  double in_s;
} Place;

static int soonest(gconstpointer a, gconstpointer b) {
  const Place *x = a, *y = b;
  return x->in_s != y->in_s ? (x->in_s < y->in_s ? -1 : 1) : g_strcmp0(x->machine->id, y->machine->id);
}

/* Where the job could begin, the soonest first; in one zone, or in any (NULL). */
static GArray *places(FkController *c, const FkJob *j, const char *zone) {
  GArray *all = g_array_new(FALSE, FALSE, sizeof(Place));
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    if (!m->rec || m->mark || g_hash_table_contains(c->overdue->kept, m->id) ||
        (zone && !g_str_equal(zone, m->rec->zone)) || !fk_job_allows(c, j, m))
      continue;
    Place at = {m, free_in(c, m, j->spec)};
    if (at.in_s < G_MAXDOUBLE)
      g_array_append_val(all, at);
  }
  g_array_sort(all, soonest);
  return all;
}

/* Machines that must be there together for the job to begin: one for each of a gang's tasks, else one. */
static guint needed(const FkJob *j) {
  return j->spec->shape == FK_SHAPE_GANG ? MIN(j->spec->tasks, FOR_ONE) : 1;
}

/* A job that must be in one zone gets all in the one where the last of them comes soonest. */
static GArray *best_places(FkController *c, const FkJob *j) {
  if (!j->spec->one_zone)
    return places(c, j, NULL);
  GArray *best = NULL;
  guint n = needed(j);
  for (guint z = 0; z < c->settings->zones->len; z++) {
    GArray *in = places(c, j, c->settings->zones->pdata[z]);
    if (in->len >= n &&
        (!best || g_array_index(in, Place, n - 1).in_s < g_array_index(best, Place, n - 1).in_s)) {
      g_clear_pointer(&best, g_array_unref);
      best = g_array_ref(in);
    }
    g_array_unref(in);
  }
  return best ? best : g_array_new(FALSE, FALSE, sizeof(Place));
}

static void keep_for(FkController *c, const FkJob *j) {
  g_autoptr(GArray) at = best_places(c, j);
  g_autoptr(GHashTable) zones = g_hash_table_new(g_direct_hash, g_direct_equal);
  guint n = needed(j), half = (j->spec->tasks + 1) / 2;
  for (guint i = 0; i < at->len && n; i++) {
    const Place *p = &g_array_index(at, Place, i);
    guint here = GPOINTER_TO_UINT(g_hash_table_lookup(zones, p->machine->rec->zone));
    if (j->spec->spread && here >= half)
      continue;
    g_hash_table_insert(zones, (gpointer)p->machine->rec->zone, GUINT_TO_POINTER(here + 1));
    Kept *k = g_new0(Kept, 1);
    *k = (Kept){g_strdup(j->spec->id), j->rank_now, j->place, fk_time_add(c->now, p->in_s)};
    g_hash_table_insert(c->overdue->kept, (gpointer)p->machine->id, k);
    n--;
  }
}

void fk_overdue_look(FkController *c, GPtrArray *jobs) {
  FkOverdue *o = c->overdue;
  if (fk_time_between(o->looked, c->now) < LOOK_S)
    return;
  o->looked = c->now;
  g_hash_table_remove_all(o->kept);
  guint left = JOBS_MOST;
  for (guint i = 0; i < jobs->len && left; i++) {
    const FkJob *j = jobs->pdata[i];
    if (!j->urgent || !fk_team_allows_tasks(c, j->spec, j->spec->shape == FK_SHAPE_GANG ? j->spec->tasks : 1))
      continue;
    keep_for(c, j);
    left--;
  }
}

/* Asked of every job and machine that are looked at: mostly none is kept. */
static const Kept *kept_on(FkController *c, const FkMachine *m) {
  return g_hash_table_size(c->overdue->kept) ? g_hash_table_lookup(c->overdue->kept, m->id) : NULL;
}

static FkJob *still_waits(FkController *c, const Kept *k) {
  FkJob *j = fk_view_job(c->view, k->job);
  return j && fk_job_waiting(j) && j->urgent ? j : NULL;
}

gboolean fk_overdue_keeps(FkController *c, const FkJob *j, const FkMachine *m) {
  const Kept *k = kept_on(c, m);
  if (!k || g_str_equal(k->job, j->spec->id) || j->rank_now < k->rank ||
      (j->rank_now == k->rank && j->place < k->place) || !still_waits(c, k))
    return FALSE;
  double run_s = ENDS_LATE * fk_view_run_s(c->view, j->spec);
  return j->spec->shape != FK_SHAPE_ARRAY || !fk_time_reached(k->free_at, fk_time_add(c->now, run_s));
}

GPtrArray *fk_overdue_machines(FkController *c) {
  GPtrArray *machines = g_ptr_array_new();
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init(&it, c->overdue->kept);
  while (g_hash_table_iter_next(&it, &id, NULL)) {
    FkMachine *m = fk_view_machine(c->view, id);
    if (m)
      g_ptr_array_add(machines, m);
  }
  return machines;
}

FkJob *fk_overdue_for(FkController *c, const FkMachine *m) {
  const Kept *k = kept_on(c, m);
  return k ? still_waits(c, k) : NULL;
}

static const char *want_of(FkController *c, const FkJob *j) {
  if (!fk_settings_team(c->settings, j->spec->team))
    return "its team is gone";
  if (!fk_team_allows_tasks(c, j->spec, j->spec->shape == FK_SHAPE_GANG ? j->spec->tasks : 1))
    return "its team's limit";
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init(&it, c->overdue->kept);
  while (g_hash_table_iter_next(&it, NULL, &k))
    if (g_str_equal(((Kept *)k)->job, j->spec->id))
      return "room, which is kept for it";
  return "room";
}

void fk_overdue_tell(FkController *c) {
  guint n = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkJob *j = p;
    if (!fk_job_waiting(j) || !fk_overdue(c, j) || n++ >= TOLD_MOST)
      continue;
    g_message("%s (class %s, team %s, %u tasks) has waited for %.0f s to begin, for want of %s", j->spec->id,
              j->spec->class_name, j->spec->team, j->spec->tasks, waited_s(c, j), want_of(c, j));
  }
  if (n > TOLD_MOST)
    g_message("%u jobs have waited for more than %.0f s to begin", n, AGED * BEGIN_S);
}
