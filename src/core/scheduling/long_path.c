/* The long path: the leader places services, gangs and long arrays, each task on the best machine that isn't
 * barred; and the other controllers leave it the room that it would take. */
#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/scheduling_queue.h"

#define GANG_LAUNCH_S 8.0 /* all transactions of one gang's launch */

/* ------------------------------------------------------------------ the long path */

/* How long the task's image takes to be there. */
static double image_fetch_s(FkController *c, const FkJob *j, const FkMachine *m) {
  if (g_hash_table_contains(m->images, j->spec->image))
    return 0;
  return j->spec->image_gb / MAX(0.01, fk_machine_type(c, m)->fetch_gb_per_s);
}

/* Lower is better. */
static double long_cost(FkController *c, const FkJob *j, const FkMachine *m) {
  const FkInstanceType *t = fk_machine_type(c, m);
  double fetch = image_fetch_s(c, j, m);
  double price = fk_instance_type_price(t, m->record->spot);
  double left = (t->cpus - m->allocated_cpus - m->reserved_cpus - j->spec->cpus) / t->cpus;
  /* Whether it must fetch at all counts most, then what it costs to keep the machine for as long as the task
   * runs there: a few replicas must not hold the largest machine. Last, the fuller machine. */
  return (fetch > 0.3 ? 10 : 0) + fetch * 0.5 + price * 3 + left - (m->allocated_long_cpus > 0 ? 0.5 : 0);
}

/* The blacklist protects short tasks from newly arrived long ones of their own rank or below. Live services
 * of a higher rank would wait behind work that they may preempt, and a long job that has itself waited for
 * longer than the bound on short waits is no longer newly arrived: for both a barred machine is the last
 * choice. */
static gboolean ignores_blacklist(FkController *c, const FkJob *j) {
  return j->spec->priority < FK_JOB_PRIORITY_NORMAL ||
         fk_time_between((FkTime){j->startable_us}, c->now) > c->settings->tuning.max_wait_s;
}

FkMachine *fk_long_path_best_machine(FkController *c, const FkJob *j, GPtrArray *machines, const char *zone) {
  FkMachine *best = NULL;
  double best_cost = 0;
  for (guint k = 0; k < machines->len; k++) {
    FkMachine *m = machines->pdata[k];
    if ((m->blacklisted && !ignores_blacklist(c, j)) || (zone && !g_str_equal(zone, m->record->zone)) ||
        !fk_placement_fits_machine(c, m, j->spec) || !fk_placement_is_allowed(c, j, m) ||
        fk_backfill_reservation_blocks(c, j, m))
      continue;
    double cost = long_cost(c, j, m) + (m->blacklisted ? 1000 : 0);
    if (!best || cost < best_cost) {
      best = m;
      best_cost = cost;
    }
  }
  return best;
}

/* Where all waiting tasks of a gang could go, at this moment; NULL when there isn't room for all of them. */
static GPtrArray *gang_plan(FkController *c, FkJob *j, GPtrArray *machines, const char *zone) {
  g_autoptr(GPtrArray) plan = g_ptr_array_new();
  g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
  guint32 waiting = fk_job_waiting_tasks(j), half = (j->spec->tasks + 1) / 2;
  g_autoptr(GPtrArray) open = g_ptr_array_copy(machines, NULL, NULL);
  for (guint32 i = 0; i < j->chunk_count; i++)
    for (guint k = 0; j->chunks[i] && k < j->chunks[i]->allocations->len; k++) {
      FkMachine *m =
          fk_view_find_machine(c->view, g_array_index(j->chunks[i]->allocations, FkAllocation, k).machine);
      if (m && m->record)
        g_hash_table_insert(
            zones, (gpointer)m->record->zone,
            GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(zones, m->record->zone)) + 1));
    }
  while (plan->len < waiting) {
    FkMachine *m = fk_long_path_best_machine(c, j, open, zone);
    if (!m)
      break;
    guint in_zone = GPOINTER_TO_UINT(g_hash_table_lookup(zones, m->record->zone));
    if (j->spec->spread && in_zone >= half) {
      g_ptr_array_remove_fast(open, m);
      continue;
    }
    g_hash_table_insert(zones, (gpointer)m->record->zone, GUINT_TO_POINTER(in_zone + 1));
    fk_reservation_apply(m, j->spec, 1);
    g_ptr_array_add(plan, m);
  }
  for (guint i = 0; i < plan->len; i++)
    fk_reservation_apply(plan->pdata[i], j->spec, -1);
  return plan->len == waiting ? g_steal_pointer(&plan) : NULL;
}

/* The same in any zone, or in the first one that has room for all where one zone must hold them. */
static GPtrArray *gang_plan_anywhere(FkController *c, FkJob *j, GPtrArray *machines) {
  if (!j->spec->one_zone)
    return gang_plan(c, j, machines, NULL);
  GPtrArray *plan = NULL;
  for (guint z = 0; !plan && z < c->settings->zones->len; z++)
    plan = gang_plan(c, j, machines, c->settings->zones->pdata[z]);
  return plan;
}

/* A gang is placed whole: a part of it would only wait on its machines. */
static void place_gang(FkController *c, FkLaunchBatch *b, FkJob *j, GPtrArray *machines) {
  guint32 waiting = fk_job_waiting_tasks(j);
  /* A launch goes on only while every task that it has booked still is: a task that has left since must not
   * get the same attempt number again. */
  if ((j->allocated && (fk_time_reached(c->now, j->gang_until) || j->allocated != j->gang_allocated)) ||
      !fk_team_quota_allows_tasks(c, j->spec, waiting))
    return;
  g_autoptr(GPtrArray) plan = gang_plan_anywhere(c, j, machines);
  if (!plan)
    return;
  if (!j->allocated) {
    j->gang_until = fk_time_add(c->now, GANG_LAUNCH_S);
    j->gang_attempt.n = 1;
    j->gang_allocated = 0;
    for (guint32 i = 0; i < j->chunk_count; i++)
      if (j->chunks[i])
        j->gang_attempt.n = MAX(j->gang_attempt.n, j->chunks[i]->next_attempt);
  }
  for (guint i = 0; i < plan->len; i++) {
    if (!fk_launch_batch_allocate(c, b, j, plan->pdata[i]))
      return;
    j->gang_allocated++;
  }
}

#define IMAGE_FETCH_LONG_S 1.0    /* of an image: a service that must wait so long is late */
#define WORK_LOST_MAX_CORE_S 60.0 /* core-seconds that a service may cost rather than wait for an image */
#define PREEMPTION_SEARCHES_MAX 3 /* a look: each goes through all machines and what they run */

/* A service needn't wait for an image, or for room, where it is at hand but for tasks of a lower rank that
 * end at once when they are told. */
static gboolean preempt_for_service(FkController *c, FkLaunchBatch *b, FkJob *j, GPtrArray **usable,
                                    double most) {
  g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(FkAllocationRef));
  if (!*usable)
    *usable = fk_capacity_index_usable_machines(c);
  FkMachine *m = fk_preemption_best_machine(c, j, *usable, TRUE, most, victims);
  if (!m || !fk_launch_batch_preempt(c, b, j, m, victims))
    return FALSE;
  /* who leaves it for this one must not be counted on twice */
  g_ptr_array_remove_fast(*usable, m);
  return TRUE;
}

/* Two jobs that want the same: where one finds nothing, the other won't. */
static gboolean has_same_demand(const FkSpec *a, const FkSpec *b) {
  return a->cpus == b->cpus && a->gpus == b->gpus && a->mem_gb == b->mem_gb && a->priority == b->priority &&
         a->spot == b->spot && g_strcmp0(a->zone, b->zone) == 0 && !a->types && !b->types &&
         g_str_equal(a->image, b->image) && !a->one_zone && !b->one_zone && !a->spread && !b->spread;
}

static gboolean is_unplaceable(const GPtrArray *unplaceable, const FkSpec *s) {
  for (guint i = 0; i < unplaceable->len; i++)
    if (has_same_demand(unplaceable->pdata[i], s))
      return TRUE;
  return FALSE;
}

void fk_long_path_place(FkController *c, FkLaunchBatch *b, GPtrArray *jobs, GPtrArray *machines) {
  g_autoptr(GPtrArray) usable = NULL;
  g_autoptr(GPtrArray) unplaceable = g_ptr_array_new(); /* FkSpec, borrowed: no room, and none to be made */
  guint searches = PREEMPTION_SEARCHES_MAX;
  double spare = fk_service_reserve_spare_slots(c, machines, g_hash_table_size(c->view->machines), 1);
  /* Each job needs a chunk of its own: once the writes are used up, a look at all machines for each of
   * hundreds of jobs that wait would be for nothing. */
  for (guint i = 0;
       i < jobs->len && !fk_launch_batch_is_full(c, b) && !fk_launch_batch_is_out_of_chunks(c, b); i++) {
    FkJob *j = jobs->pdata[i];
    if (!fk_spec_is_long(c, j->spec) || is_unplaceable(unplaceable, j->spec))
      continue;
    if (j->spec->shape == FK_SHAPE_GANG) {
      place_gang(c, b, j, machines);
      continue;
    }
    guint32 waiting = fk_job_waiting_tasks(j);
    while (waiting-- && fk_team_quota_allows_task(c, j->spec)) {
      FkMachine *best = fk_long_path_best_machine(c, j, machines, NULL);
      if (searches && j->spec->priority < FK_JOB_PRIORITY_NORMAL &&
          (!best || image_fetch_s(c, j, best) > IMAGE_FETCH_LONG_S)) {
        searches--;
        if (preempt_for_service(c, b, j, &usable, best ? WORK_LOST_MAX_CORE_S : G_MAXDOUBLE))
          continue;
        if (!best && !j->has_failed)
          g_ptr_array_add(unplaceable, j->spec);
      }
      if (!best || fk_scheduling_queue_must_back_off(c, j, best) ||
          !(j->urgent || fk_service_reserve_permits(c, best, j->spec, &spare)) ||
          !fk_launch_batch_allocate(c, b, j, best))
        break;
    }
  }
}

/* ------------------------------------------------------------------ room kept for the long path */

static void reserve(FkController *c, GArray *reserved, FkMachine *m, const FkSpec *s) {
  FkReservation p = {m ? m->id : NULL, g_intern_string(s->team), s->cpus, s->gpus, s->mem_gb, s->cpus};
  g_array_append_val(reserved, p);
  if (m)
    fk_reservation_apply(m, s, 1);
  FkTeamUsage *use = fk_view_ensure_team(c->view, s->team);
  if (use->partition && s->shape != FK_SHAPE_GANG) {
    /* it will be paid from the leader's share, not from ours */
    g_array_index(reserved, FkReservation, reserved->len - 1).quota_cpus = 0;
    return;
  }
  use->reserved_cpus += s->cpus;
  use->reserved_gpus += s->gpus;
}

void fk_long_path_release(FkController *c, GArray *reserved) {
  for (guint i = 0; i < reserved->len; i++) {
    FkReservation *p = &g_array_index(reserved, FkReservation, i);
    FkMachine *m = p->machine ? fk_view_find_machine(c->view, p->machine) : NULL;
    FkTeamUsage *use = fk_view_ensure_team(c->view, p->team);
    if (m) {
      m->reserved_cpus -= p->cpus;
      m->reserved_gpus -= p->gpus;
      m->reserved_mem_gb -= p->mem_gb;
    }
    use->reserved_cpus -= p->quota_cpus;
    use->reserved_gpus -= p->quota_cpus > 0 ? p->gpus : 0;
  }
}

#define RESERVED_TASKS_MAX 24      /* services' and gangs' tasks that room is kept for in one look */
#define GANG_RESERVES_QUOTA_S 60.0 /* of its team's limit, from when it is overdue */

/* A gang that waits for its team's limit keeps what ends of it: tasks that come one by one would else keep it
 * waiting for ever. One that waits for machines instead must not: with a spread gang in a fleet that had lost
 * all of one zone's machines, nothing else of its team could start beside idle ones. An overdue gang may keep
 * the limit for a while all the same, so that room can be made for it. */
static gboolean gang_reserves_quota(FkController *c, const FkJob *j, gboolean has_machines) {
  double overdue_s = fk_backfill_reservation_aged_s(c, j);
  return has_machines || (overdue_s >= 0 && overdue_s < GANG_RESERVES_QUOTA_S);
}

static void reserve_for_gang(FkController *c, FkJob *j, GPtrArray *machines, GArray *reserved,
                             guint *budget) {
  g_autoptr(GPtrArray) plan = gang_plan_anywhere(c, j, machines);
  if (!gang_reserves_quota(c, j, plan != NULL))
    return;
  guint tasks = MIN(fk_job_waiting_tasks(j), *budget);
  for (guint i = 0; i < tasks; i++)
    reserve(c, reserved, plan && !c->leader.is_leader ? plan->pdata[i] : NULL, j->spec);
  *budget -= tasks;
}

static void reserve_for_service(FkController *c, FkJob *j, GPtrArray *machines, GArray *reserved,
                                guint *budget) {
  for (guint32 left = fk_job_waiting_tasks(j); left && *budget; left--, (*budget)--) {
    FkMachine *m = c->leader.is_leader ? NULL : fk_long_path_best_machine(c, j, machines, NULL);
    if (m)
      reserve(c, reserved, m, j->spec);
  }
}

/* The leader places services and gangs from the same view at the same moment: the short path leaves them the
 * room that they would take, or both would book it and the worker would refuse one ("full"). */
void fk_long_path_reserve(FkController *c, GPtrArray *jobs, GPtrArray *machines, GArray *reserved) {
  guint budget = RESERVED_TASKS_MAX;
  for (guint i = 0; i < jobs->len && budget; i++) {
    FkJob *j = jobs->pdata[i];
    if (j->spec->shape == FK_SHAPE_GANG)
      reserve_for_gang(c, j, machines, reserved, &budget);
    else if (j->spec->shape == FK_SHAPE_SERVICE)
      reserve_for_service(c, j, machines, reserved, &budget);
  }
}
