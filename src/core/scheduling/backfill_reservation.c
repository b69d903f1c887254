#include "core/scheduling/backfill_reservation.h"

#include "core/scheduling/launch_batch.h"

#define START_DEADLINE_S 240.0 /* a job must have begun by then, whatever else waits (the operators' check)  \
                                */
#define AGED_SHARE 0.55        /* of it: what is left is enough for a machine to run empty */
#define REFRESH_INTERVAL_S 2.0
#define RESERVING_JOBS_MAX 3    /* that room is kept for at a time, the first in the order */
#define MACHINES_PER_JOB_MAX 32 /* machines kept for one job at the most: a gang's */
#define RUN_TIME_MARGIN 1.5     /* times its estimate: by then what runs here has mostly ended */
#define LOGGED_JOBS_MAX 5

typedef struct {
  char *job;
  FkJobPriority rank;
  guint place;
  FkTime free_at;
} Reservation;

struct FkBackfillReservations {
  GHashTable *by_machine; /* machine id (interned) -> Kept */
  FkTime refreshed_at;
};

static void reservation_free(gpointer p) {
  g_free(((Reservation *)p)->job);
  g_free(p);
}

FkBackfillReservations *fk_backfill_reservation_new(void) {
  FkBackfillReservations *o = g_new0(FkBackfillReservations, 1);
  o->by_machine = g_hash_table_new_full(g_str_hash, g_direct_equal, NULL, reservation_free);
  return o;
}

void fk_backfill_reservation_free(FkBackfillReservations *o) {
  g_hash_table_unref(o->by_machine);
  g_free(o);
}

static double waited_s(FkController *c, const FkJob *j) {
  return fk_time_between((FkTime){j->startable_us}, c->now);
}

double fk_backfill_reservation_aged_s(FkController *c, const FkJob *j) {
  return j->allocated || j->done || j->failing ? -1 : waited_s(c, j) - AGED_SHARE * START_DEADLINE_S;
}

gboolean fk_backfill_reservation_is_aged(FkController *c, const FkJob *j) {
  return fk_backfill_reservation_aged_s(c, j) > 0;
}

/* ------------------------------------------------------------------ where room comes soonest */

typedef struct {
  double at, cpus, gpus, mem_gb;
} Release;

static int compare_by_time(gconstpointer a, gconstpointer b) {
  const Release *x = a, *y = b;
  return x->at < y->at ? -1 : x->at > y->at;
}

static gboolean fits(const FkInstanceType *t, const FkMachine *m, const Release *left, const FkSpec *s) {
  return m->allocated_cpus + m->reserved_cpus - left->cpus + s->cpus <= t->cpus + FK_AMOUNT_EPSILON &&
         m->allocated_gpus + m->reserved_gpus - left->gpus + s->gpus <= t->gpus + FK_AMOUNT_EPSILON &&
         m->allocated_mem_gb + m->reserved_mem_gb - left->mem_gb + s->mem_gb <= t->mem_gb + FK_AMOUNT_EPSILON;
}

/* Seconds until the machine has room for such a task if nothing more is placed there; G_MAXDOUBLE: never. */
static double available_in_s(FkController *c, const FkMachine *m, const FkSpec *s) {
  const FkInstanceType *t = fk_machine_type(c, m);
  Release gone = {0};
  if (fits(t, m, &gone, s))
    return 0;
  g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(Release));
  for (guint i = 0; i < m->allocations->len; i++) {
    const FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
    const FkSpec *o = b->job->spec;
    gboolean leaving = b->stop_requested || b->job->cancelled;
    if (o->shape == FK_SHAPE_SERVICE && !leaving)
      continue;
    double left = leaving ? 1
                          : MAX(1, RUN_TIME_MARGIN * fk_view_expected_run_s(c->view, o) -
                                       fk_time_between(b->first_seen_at, c->now));
    Release l = {left, o->cpus, o->gpus, o->mem_gb};
    g_array_append_val(ends, l);
  }
  g_array_sort(ends, compare_by_time);
  for (guint i = 0; i < ends->len; i++) {
    const Release *l = &g_array_index(ends, Release, i);
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
} Candidate;

static int compare_by_availability(gconstpointer a, gconstpointer b) {
  const Candidate *x = a, *y = b;
  return x->in_s != y->in_s ? (x->in_s < y->in_s ? -1 : 1) : g_strcmp0(x->machine->id, y->machine->id);
}

/* Where the job could begin, the soonest first; in one zone, or in any (NULL). */
static GArray *find_candidates(FkController *c, const FkJob *j, const char *zone) {
  GArray *all = g_array_new(FALSE, FALSE, sizeof(Candidate));
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    if (!m->record || m->drain_reason ||
        g_hash_table_contains(c->leader.backfill_reservations->by_machine, m->id) ||
        (zone && !g_str_equal(zone, m->record->zone)) || !fk_placement_is_allowed(c, j, m))
      continue;
    Candidate at = {m, available_in_s(c, m, j->spec)};
    if (at.in_s < G_MAXDOUBLE)
      g_array_append_val(all, at);
  }
  g_array_sort(all, compare_by_availability);
  return all;
}

/* Machines that must be there together for the job to begin: one for each of a gang's tasks, else one. */
static guint machines_needed(const FkJob *j) {
  return j->spec->shape == FK_SHAPE_GANG ? MIN(j->spec->tasks, MACHINES_PER_JOB_MAX) : 1;
}

/* A job that must be in one zone gets all in the one where the last of them comes soonest. */
static GArray *best_candidates(FkController *c, const FkJob *j) {
  if (!j->spec->one_zone)
    return find_candidates(c, j, NULL);
  GArray *best = NULL;
  guint n = machines_needed(j);
  for (guint z = 0; z < c->settings->zones->len; z++) {
    GArray *in = find_candidates(c, j, c->settings->zones->pdata[z]);
    if (in->len >= n &&
        (!best || g_array_index(in, Candidate, n - 1).in_s < g_array_index(best, Candidate, n - 1).in_s)) {
      g_clear_pointer(&best, g_array_unref);
      best = g_array_ref(in);
    }
    g_array_unref(in);
  }
  return best ? best : g_array_new(FALSE, FALSE, sizeof(Candidate));
}

static void reserve_for(FkController *c, const FkJob *j) {
  g_autoptr(GArray) at = best_candidates(c, j);
  g_autoptr(GHashTable) zones = g_hash_table_new(g_direct_hash, g_direct_equal);
  guint n = machines_needed(j), half = (j->spec->tasks + 1) / 2;
  for (guint i = 0; i < at->len && n; i++) {
    const Candidate *p = &g_array_index(at, Candidate, i);
    guint here = GPOINTER_TO_UINT(g_hash_table_lookup(zones, p->machine->record->zone));
    if (j->spec->spread && here >= half)
      continue;
    g_hash_table_insert(zones, (gpointer)p->machine->record->zone, GUINT_TO_POINTER(here + 1));
    Reservation *k = g_new0(Reservation, 1);
    *k = (Reservation){g_strdup(j->spec->id), j->effective_priority, j->queue_position,
                       fk_time_add(c->now, p->in_s)};
    g_hash_table_insert(c->leader.backfill_reservations->by_machine, (gpointer)p->machine->id, k);
    n--;
  }
}

void fk_backfill_reservation_refresh(FkController *c, GPtrArray *jobs) {
  FkBackfillReservations *o = c->leader.backfill_reservations;
  if (fk_time_between(o->refreshed_at, c->now) < REFRESH_INTERVAL_S)
    return;
  o->refreshed_at = c->now;
  g_hash_table_remove_all(o->by_machine);
  guint left = RESERVING_JOBS_MAX;
  for (guint i = 0; i < jobs->len && left; i++) {
    const FkJob *j = jobs->pdata[i];
    if (!j->urgent ||
        !fk_team_quota_allows_tasks(c, j->spec, j->spec->shape == FK_SHAPE_GANG ? j->spec->tasks : 1))
      continue;
    reserve_for(c, j);
    left--;
  }
}

/* Asked of every job and machine that are looked at: mostly none is kept. */
static const Reservation *reservation_on(FkController *c, const FkMachine *m) {
  return g_hash_table_size(c->leader.backfill_reservations->by_machine)
             ? g_hash_table_lookup(c->leader.backfill_reservations->by_machine, m->id)
             : NULL;
}

static FkJob *waiting_holder(FkController *c, const Reservation *k) {
  FkJob *j = fk_view_find_job(c->view, k->job);
  return j && fk_job_waiting_tasks(j) && j->urgent ? j : NULL;
}

gboolean fk_backfill_reservation_blocks(FkController *c, const FkJob *j, const FkMachine *m) {
  const Reservation *k = reservation_on(c, m);
  if (!k || g_str_equal(k->job, j->spec->id) || j->effective_priority < k->rank ||
      (j->effective_priority == k->rank && j->queue_position < k->place) || !waiting_holder(c, k))
    return FALSE;
  double run_s = RUN_TIME_MARGIN * fk_view_expected_run_s(c->view, j->spec);
  return j->spec->shape != FK_SHAPE_ARRAY || !fk_time_reached(k->free_at, fk_time_add(c->now, run_s));
}

GPtrArray *fk_backfill_reservation_machines(FkController *c) {
  GPtrArray *machines = g_ptr_array_new();
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init(&it, c->leader.backfill_reservations->by_machine);
  while (g_hash_table_iter_next(&it, &id, NULL)) {
    FkMachine *m = fk_view_find_machine(c->view, id);
    if (m)
      g_ptr_array_add(machines, m);
  }
  return machines;
}

FkJob *fk_backfill_reservation_holder(FkController *c, const FkMachine *m) {
  const Reservation *k = reservation_on(c, m);
  return k ? waiting_holder(c, k) : NULL;
}

static const char *blocking_reason(FkController *c, const FkJob *j) {
  if (!fk_settings_find_team(c->settings, j->spec->team))
    return "its team is gone";
  if (!fk_team_quota_allows_tasks(c, j->spec, j->spec->shape == FK_SHAPE_GANG ? j->spec->tasks : 1))
    return "its team's limit";
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init(&it, c->leader.backfill_reservations->by_machine);
  while (g_hash_table_iter_next(&it, NULL, &k))
    if (g_str_equal(((Reservation *)k)->job, j->spec->id))
      return "room, which is kept for it";
  return "room";
}

void fk_backfill_reservation_log(FkController *c) {
  guint n = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkJob *j = p;
    if (!fk_job_waiting_tasks(j) || !fk_backfill_reservation_is_aged(c, j) || n++ >= LOGGED_JOBS_MAX)
      continue;
    g_message("%s (class %s, team %s, %u tasks) has waited for %.0f s to begin, for want of %s", j->spec->id,
              j->spec->class_name, j->spec->team, j->spec->tasks, waited_s(c, j), blocking_reason(c, j));
  }
  if (n > LOGGED_JOBS_MAX)
    g_message("%u jobs have waited for more than %.0f s to begin", n, AGED_SHARE * START_DEADLINE_S);
}
