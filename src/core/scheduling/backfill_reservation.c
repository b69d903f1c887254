#include "core/scheduling/backfill_reservation.h"

#include "core/scheduling/machine_availability.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/team_quota.h"

#define START_DEADLINE_S 240.0 /* a job must start within this time, according to the service check */
/* a job is aged after this share of START_DEADLINE_S: the remaining time is long enough for a machine to
 * become empty */
#define AGED_SHARE 0.55
#define REFRESH_INTERVAL_S 2.0
/* maximum number of jobs with reservations: the first urgent ones in queue order whose team's quota
 * allows a start */
#define RESERVING_JOBS_MAX 3
#define MACHINES_PER_JOB_MAX 32
#define LOGGED_JOBS_MAX 5

typedef struct {
  char *job; /* id of the job that holds the reservation */
  FkJobPriority priority;
  guint queue_position;
  FkTime available_at; /* time at which the holder is expected to be able to start on the machine */
} Reservation;

struct FkBackfillReservations {
  GHashTable *by_machine; /* machine id (interned) -> Reservation */
  FkTime refreshed_at;
};

static void reservation_free(gpointer reservation) {
  g_free(((Reservation *)reservation)->job);
  g_free(reservation);
}

FkBackfillReservations *fk_backfill_reservation_new(void) {
  FkBackfillReservations *reservations = g_new0(FkBackfillReservations, 1);
  reservations->by_machine = g_hash_table_new_full(g_str_hash, g_direct_equal, NULL, reservation_free);
  return reservations;
}

void fk_backfill_reservation_free(FkBackfillReservations *reservations) {
  g_hash_table_unref(reservations->by_machine);
  g_free(reservations);
}

/* ------------------------------------------------------------------ aging */

/* Returns for how many seconds the job has waited without a task running: since it could start or, if some of
 * its tasks are done, since its last allocation ended, as far as this controller has seen. */
static double waited_s(FkController *c, const FkJob *job) {
  if (!job->done)
    return fk_time_between((FkTime){job->startable_us}, c->now);
  return fk_time_between(job->unallocated_since.us ? job->unallocated_since : job->first_seen_at, c->now);
}

double fk_backfill_reservation_aged_s(FkController *c, const FkJob *job) {
  return job->allocated || job->failing ? -1 : waited_s(c, job) - AGED_SHARE * START_DEADLINE_S;
}

gboolean fk_backfill_reservation_is_aged(FkController *c, const FkJob *job) {
  return fk_backfill_reservation_aged_s(c, job) > 0;
}

/* ------------------------------------------------------------------ candidates */

typedef struct {
  const FkMachine *machine;
  double available_in_s;
} Candidate;

static int compare_by_availability(gconstpointer a, gconstpointer b) {
  const Candidate *x = a, *y = b;
  if (x->available_in_s != y->available_in_s)
    return x->available_in_s < y->available_in_s ? -1 : 1;
  return g_strcmp0(x->machine->id, y->machine->id);
}

static gboolean can_be_reserved(FkController *c, const FkMachine *machine, const char *zone) {
  return fk_machine_is_available(machine) &&
         !g_hash_table_contains(c->leader.backfill_reservations->by_machine, machine->id) &&
         (!zone || g_str_equal(zone, machine->record->zone));
}

/* Returns the machines (Candidate) that can be reserved for the job, the earliest available first, limited to
 * `zone` (NULL: any zone). */
static GArray *find_candidates(FkController *c, const FkJob *job, const char *zone) {
  GArray *candidates = g_array_new(FALSE, FALSE, sizeof(Candidate));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkMachine *machine = value;
    if (!can_be_reserved(c, machine, zone) || !fk_placement_is_allowed(c, job, machine))
      continue;
    Candidate candidate = {machine, fk_machine_available_in_s(c, machine, job->spec, FK_RUN_TIME_MARGIN)};
    if (candidate.available_in_s < G_MAXDOUBLE)
      g_array_append_val(candidates, candidate);
  }
  g_array_sort(candidates, compare_by_availability);
  return candidates;
}

/* Returns how many machines are reserved for the job: one for each task of a gang, at most
 * MACHINES_PER_JOB_MAX; one for any other job. */
static guint machines_needed(const FkJob *job) {
  return job->spec->shape == FK_SHAPE_GANG ? MIN(job->spec->tasks, MACHINES_PER_JOB_MAX) : 1;
}

/* Returns the candidates for the job. If the job must run in one zone, all of them are in the zone where
 * machines_needed() machines become available soonest; the array is empty if no zone has enough machines. */
static GArray *best_candidates(FkController *c, const FkJob *job) {
  if (!job->spec->one_zone)
    return find_candidates(c, job, NULL);
  g_autoptr(GArray) best = NULL;
  guint last = machines_needed(job) - 1;
  for (guint i = 0; i < c->settings->zones->len; i++) {
    g_autoptr(GArray) in_zone = find_candidates(c, job, c->settings->zones->pdata[i]);
    if (in_zone->len <= last)
      continue;
    if (!best || g_array_index(in_zone, Candidate, last).available_in_s <
                     g_array_index(best, Candidate, last).available_in_s) {
      g_clear_pointer(&best, g_array_unref);
      best = g_steal_pointer(&in_zone);
    }
  }
  return best ? g_steal_pointer(&best) : g_array_new(FALSE, FALSE, sizeof(Candidate));
}

/* ------------------------------------------------------------------ reservations */

static void reserve_machine(FkController *c, const FkJob *job, const Candidate *candidate) {
  Reservation *reservation = g_new0(Reservation, 1);
  reservation->job = g_strdup(job->spec->id);
  reservation->priority = job->effective_priority;
  reservation->queue_position = job->queue_position;
  reservation->available_at = fk_time_add(c->now, candidate->available_in_s);
  g_hash_table_insert(c->leader.backfill_reservations->by_machine, (gpointer)candidate->machine->id,
                      reservation);
}

static void reserve_for_job(FkController *c, const FkJob *job) {
  g_autoptr(GArray) candidates = best_candidates(c, job);
  g_autoptr(GHashTable) by_zone = g_hash_table_new(g_direct_hash, g_direct_equal);
  guint needed = machines_needed(job), half = (job->spec->tasks + 1) / 2;
  for (guint i = 0; i < candidates->len && needed; i++) {
    const Candidate *candidate = &g_array_index(candidates, Candidate, i);
    const char *zone = candidate->machine->record->zone;
    guint in_zone = GPOINTER_TO_UINT(g_hash_table_lookup(by_zone, zone));
    if (job->spec->spread && in_zone >= half)
      continue;
    g_hash_table_insert(by_zone, (gpointer)zone, GUINT_TO_POINTER(in_zone + 1));
    reserve_machine(c, job, candidate);
    needed--;
  }
}

/* Returns whether the team's quota allows the job to start: all tasks of a gang, or one task of any other
 * job. */
static gboolean quota_allows_start(FkController *c, const FkSpec *spec) {
  return fk_team_quota_allows_tasks(c, spec, spec->shape == FK_SHAPE_GANG ? spec->tasks : 1);
}

void fk_backfill_reservation_refresh(FkController *c, GPtrArray *jobs) {
  FkBackfillReservations *reservations = c->leader.backfill_reservations;
  if (fk_time_between(reservations->refreshed_at, c->now) < REFRESH_INTERVAL_S)
    return;
  reservations->refreshed_at = c->now;
  g_hash_table_remove_all(reservations->by_machine);
  guint jobs_left = RESERVING_JOBS_MAX;
  for (guint i = 0; i < jobs->len && jobs_left; i++) {
    const FkJob *job = jobs->pdata[i];
    if (!job->urgent || !quota_allows_start(c, job->spec))
      continue;
    reserve_for_job(c, job);
    jobs_left--;
  }
}

/* Returns the machine's reservation; NULL if there is none. This function is called very often in a cycle, so
 * it skips the lookup if no machine is reserved, which is the usual case. */
static const Reservation *find_reservation(FkController *c, const FkMachine *machine) {
  GHashTable *by_machine = c->leader.backfill_reservations->by_machine;
  return g_hash_table_size(by_machine) ? g_hash_table_lookup(by_machine, machine->id) : NULL;
}

/* Returns the job that holds the reservation; NULL if none of the job's tasks waits or the job
 * is no longer urgent. */
static FkJob *find_waiting_holder(FkController *c, const Reservation *reservation) {
  FkJob *job = fk_view_find_job(c->view, reservation->job);
  return job && fk_job_waiting_tasks(job) && job->urgent ? job : NULL;
}

static gboolean precedes_holder(const FkJob *job, const Reservation *reservation) {
  return job->effective_priority < reservation->priority ||
         (job->effective_priority == reservation->priority &&
          job->queue_position < reservation->queue_position);
}

gboolean fk_backfill_reservation_blocks(FkController *c, const FkJob *job, const FkMachine *machine) {
  const Reservation *reservation = find_reservation(c, machine);
  if (!reservation || g_str_equal(reservation->job, job->spec->id) || precedes_holder(job, reservation) ||
      !find_waiting_holder(c, reservation))
    return FALSE;
  double run_s = FK_RUN_TIME_MARGIN * fk_view_expected_run_s(c->view, job->spec);
  return job->spec->shape != FK_SHAPE_ARRAY ||
         !fk_time_reached(reservation->available_at, fk_time_add(c->now, run_s));
}

GPtrArray *fk_backfill_reservation_machines(FkController *c) {
  GPtrArray *machines = g_ptr_array_new();
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init(&it, c->leader.backfill_reservations->by_machine);
  while (g_hash_table_iter_next(&it, &id, NULL)) {
    FkMachine *machine = fk_view_find_machine(c->view, id);
    if (machine)
      g_ptr_array_add(machines, machine);
  }
  return machines;
}

FkJob *fk_backfill_reservation_holder(FkController *c, const FkMachine *machine) {
  const Reservation *reservation = find_reservation(c, machine);
  return reservation ? find_waiting_holder(c, reservation) : NULL;
}

/* ------------------------------------------------------------------ log */

static gboolean has_reservation(FkController *c, const FkJob *job) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->leader.backfill_reservations->by_machine);
  while (g_hash_table_iter_next(&it, NULL, &value))
    if (g_str_equal(((Reservation *)value)->job, job->spec->id))
      return TRUE;
  return FALSE;
}

static const char *blocking_reason(FkController *c, const FkJob *job) {
  if (!fk_settings_find_team(c->settings, job->spec->team))
    return "team_removed";
  if (!quota_allows_start(c, job->spec))
    return "team_quota";
  return has_reservation(c, job) ? "capacity_reserved_for_it" : "capacity";
}

void fk_backfill_reservation_log(FkController *c) {
  guint aged = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkJob *job = value;
    if (!fk_job_waiting_tasks(job) || !fk_backfill_reservation_is_aged(c, job) || aged++ >= LOGGED_JOBS_MAX)
      continue;
    g_message("job start overdue job=%s class=%s team=%s tasks=%u wait_s=%.0f blocked_by=%s", job->spec->id,
              job->spec->class_name, job->spec->team, job->spec->tasks, waited_s(c, job),
              blocking_reason(c, job));
  }
  if (aged > LOGGED_JOBS_MAX)
    g_message("job starts overdue jobs=%u after_s=%.0f", aged, AGED_SHARE * START_DEADLINE_S);
}
