/* The launch in the making, and what there is room for. */
#include "core/scheduling/launch_batch.h"

#include <math.h>
#include <string.h>

#include "fair_share/quota.h"

#define TRANSACTION_BYTES_MAX 40000 /* of the store's 64 KiB */

/* Types are never freed while the controller lives, so that a machine can keep its own at hand. */
const FkInstanceType *fk_machine_type(FkController *c, const FkMachine *m) {
  if (!m->type && m->record)
    ((FkMachine *)m)->type = g_hash_table_lookup(c->autoscaling.instance_types, m->record->type);
  return m->record ? m->type : NULL;
}

gboolean fk_placement_fits_type(const FkSpec *s, const FkInstanceType *t) {
  if (s->types && !g_strv_contains((const char *const *)s->types, t->name))
    return FALSE;
  if (s->zone && !g_strv_contains((const char *const *)t->zones, s->zone))
    return FALSE;
  return s->cpus <= t->cpus + FK_AMOUNT_EPSILON && s->gpus <= t->gpus + FK_AMOUNT_EPSILON &&
         s->mem_gb <= t->mem_gb + FK_AMOUNT_EPSILON;
}

/* Type, zone and kind of machine, given the job's other tasks. */
gboolean fk_placement_is_allowed(FkController *c, const FkJob *j, const FkMachine *m) {
  const FkSpec *s = j->spec;
  const FkInstanceType *t = fk_machine_type(c, m);
  if (j->has_failed && fk_fault_attribution_job_avoids(c->view->fault_attribution, s->id, m->id, c->now))
    return FALSE;
  if (!t || !fk_placement_fits_type(s, t) || (m->record->spot && !s->spot) ||
      (s->zone && !g_str_equal(s->zone, m->record->zone)))
    return FALSE;
  if (!s->one_zone && !s->spread)
    return TRUE;
  guint here = 0;
  for (guint32 i = 0; i < j->chunk_count; i++) {
    if (!j->chunks[i])
      continue;
    for (guint k = 0; k < j->chunks[i]->allocations->len; k++) {
      FkMachine *o =
          fk_view_find_machine(c->view, g_array_index(j->chunks[i]->allocations, FkAllocation, k).machine);
      if (!o || !o->record)
        return FALSE; /* where it is isn't known: wait until the booking has ended */
      gboolean same = g_str_equal(o->record->zone, m->record->zone);
      if (s->one_zone && !same)
        return FALSE;
      here += same;
    }
  }
  return !s->spread || here < (s->tasks + 1) / 2;
}

gboolean fk_placement_fits_machine(FkController *c, const FkMachine *m, const FkSpec *s) {
  const FkInstanceType *t = fk_machine_type(c, m);
  return t && m->allocated_cpus + m->reserved_cpus + s->cpus <= t->cpus + FK_AMOUNT_EPSILON &&
         m->allocated_gpus + m->reserved_gpus + s->gpus <= t->gpus + FK_AMOUNT_EPSILON &&
         m->allocated_mem_gb + m->reserved_mem_gb + s->mem_gb <= t->mem_gb + FK_AMOUNT_EPSILON;
}

/* CPUs of a team that this controller may book: what is left of the limit, or of its own share when the limit
 * is split. */
static double team_cpus_left(FkController *c, const FkTeam *team, const FkTeamUsage *use) {
  if (!use->partition)
    return fk_quota_left(team->max_cpus, use->cpus + use->reserved_cpus);
  double *share = g_hash_table_lookup(use->partition, c->settings->node);
  double *mine = g_hash_table_lookup(use->cpus_by_controller, g_intern_string(c->settings->node));
  return (share ? *share : 0) - (mine ? *mine : 0) - use->reserved_cpus;
}

gboolean fk_team_quota_allows_tasks(FkController *c, const FkSpec *s, guint32 tasks) {
  FkTeam *team = fk_settings_find_team(c->settings, s->team);
  FkTeamUsage *use = fk_view_ensure_team(c->view, s->team);
  if (!team || !fk_quota_allows(team->max_gpus, use->gpus + use->reserved_gpus, s->gpus, tasks))
    return FALSE;
  if (tasks * s->cpus <= team_cpus_left(c, team, use) + FK_AMOUNT_EPSILON)
    return TRUE;
  use->share_exhausted |= use->partition && g_hash_table_size(use->partition) &&
                          fk_quota_allows(team->max_cpus, use->cpus + use->reserved_cpus, s->cpus, tasks);
  return FALSE;
}

gboolean fk_team_quota_has_room(FkController *c, const FkSpec *s) {
  const FkTeam *team = fk_settings_find_team(c->settings, s->team);
  const FkTeamUsage *use = fk_view_ensure_team(c->view, s->team);
  return team && fk_quota_allows(team->max_cpus, use->cpus + use->reserved_cpus, s->cpus, 1) &&
         fk_quota_allows(team->max_gpus, use->gpus + use->reserved_gpus, s->gpus, 1);
}

gboolean fk_team_quota_allows_task(FkController *c, const FkSpec *s) {
  return fk_team_quota_allows_tasks(c, s, 1);
}

gboolean fk_placement_has_capacity(FkController *c, const FkMachine *m, double cpus, double mem) {
  const FkInstanceType *t = fk_machine_type(c, m);
  return t && m->allocated_cpus + m->reserved_cpus + cpus <= t->cpus + FK_AMOUNT_EPSILON &&
         m->allocated_mem_gb + m->reserved_mem_gb + mem <= t->mem_gb + FK_AMOUNT_EPSILON;
}

void fk_reservation_apply(FkMachine *m, const FkSpec *s, int sign) {
  m->reserved_cpus += sign * s->cpus;
  m->reserved_gpus += sign * s->gpus;
  m->reserved_mem_gb += sign * s->mem_gb;
}

/* ------------------------------------------------------------------ the transaction in the making */

/* What is built goes out at once: a launch that waits for its turn in the budget is out of date by then. So
 * no more chunks are opened than there are writes free; further tasks of those that are open cost nothing. */
static gboolean has_writes_left(FkController *c, const FkLaunchBatch *b, guint more) {
  return (b->txn ? b->txn->writes->len : 0) + more <=
         MIN(c->settings->transaction_ops_max, MAX(FK_LAUNCH_WRITES_ALLOWANCE, c->launches.write_room));
}

gboolean fk_launch_batch_is_out_of_chunks(FkController *c, const FkLaunchBatch *b) {
  return b->txn && !has_writes_left(c, b, 2);
}

gboolean fk_launch_batch_is_full(FkController *c, const FkLaunchBatch *b) {
  return b->txn &&
         (b->txn->guards->len + 4 > c->settings->transaction_ops_max * 4 || b->bytes > TRANSACTION_BYTES_MAX);
}

/* The job's chunk as the transaction will write it. */
static FkChunk *open_chunk(FkController *c, FkLaunchBatch *b, const FkJob *j, guint32 i) {
  char *path = fk_key_chunk_path(j->spec->id, i);
  FkChunk *copy = g_hash_table_lookup(b->chunks, path);
  if (copy) {
    g_free(path);
    return copy;
  }
  if (!b->txn) {
    b->txn = fk_transaction_new(c, FK_PRIORITY_LAUNCH);
    fk_transaction_guard(b->txn, fk_key_path(FK_KEY_LAUNCH_FENCE, c->settings->node),
                         fk_view_launch_fence_rev(c->view, c->settings->node));
  }
  const FkChunk *ch = j->chunks[i];
  copy = ch ? fk_chunk_copy(ch) : fk_chunk_new(i * j->spec->chunk_tasks, fk_spec_chunk_tasks(j->spec, i));
  FkRecord *r = fk_record_new(FK_KEY_CHUNK);
  r->chunk = copy;
  fk_transaction_guard(b->txn, g_strdup(path), copy->rev);
  fk_transaction_put(b->txn, g_strdup(path), r, (FkRev){0});
  fk_transaction_guard(b->txn, fk_key_path(FK_KEY_JOB, j->spec->id), j->rev);
  g_hash_table_insert(b->chunks, path, copy);
  b->bytes += 300 + copy->task_count / 4 + copy->allocations->len * 40;
  return copy;
}

/* What Elastic Sizing counts as a wait is for want of a machine: not the time that a task ran before its
 * machine was lost, nor an outage of the store, in which nothing can start wherever there is room. After a
 * mass loss the mean would stand at minutes, and bar machines from long jobs that nothing short asks for. */
static FkTime could_start_since(FkController *c, const FkJob *j) {
  FkTime since = {MAX(j->startable_us, j->attempt_lost_at.us)};
  return since.us > c->store_session.store_recovered_at.us ? since : c->store_session.store_recovered_at;
}

/* A limit is kept by the team's record: shared, every launch changes it; split, nobody may change it. Where
 * there is no limit there is nothing to keep, and a guest's launches wait for nobody else's. */
static void guard_team_quota(FkController *c, FkLaunchBatch *b, const char *name) {
  const FkTeam *team = fk_settings_find_team(c->settings, name);
  if (!fk_team_has_limit(team) || g_hash_table_contains(b->teams, name))
    return;
  FkTeamUsage *use = fk_view_ensure_team(c->view, name);
  fk_transaction_guard(b->txn, fk_key_path(FK_KEY_TEAM, name), use->rev);
  if (!use->partition)
    fk_transaction_put(b->txn, fk_key_path(FK_KEY_TEAM, name), fk_record_new(FK_KEY_TEAM), (FkRev){0});
  g_hash_table_add(b->teams, (gpointer)g_intern_string(name));
  b->bytes += 200;
}

/* "A big array's waiting tasks swing the mean, letting one guest team bar the whole span" (DESIGN): so no job
 * counts for more than a few starts in a window. Short jobs of a few tasks, which Elastic Sizing is there
 * for, weigh as they did. */
#define WAITS_PER_JOB_MAX 20

static void count_wait(FkController *c, FkWaitTimes *w, FkJob *j) {
  double s = fk_time_between(could_start_since(c, j), c->now);
  w->sum_s += s;
  w->count++;
  if (j->wait_times_window != c->window.index)
    j->wait_times_counted = 0;
  j->wait_times_window = c->window.index;
  if (j->wait_times_counted++ >= WAITS_PER_JOB_MAX)
    return;
  w->capped_sum_s += s;
  w->capped_count++;
}

gboolean fk_launch_batch_allocate(FkController *c, FkLaunchBatch *b, FkJob *j, FkMachine *m) {
  if (j->blocked || j->cancelled) /* a start needs the committed ends of all that it needs */
    return FALSE;
  if (j->failing && j->spec->shape != FK_SHAPE_GANG) {
    /* one task tells whether it fails everywhere */
    if (j->allocated || j->cycle_tried_at.us == c->now.us)
      return FALSE;
    j->cycle_tried_at = c->now;
  }
  /* spread and together look at the view: one task a transaction keeps them true */
  if ((j->spec->one_zone || j->spec->spread) && j->spec->shape != FK_SHAPE_GANG && b->txn)
    for (guint i = 0; i < b->txn->guards->len; i++) {
      g_autofree char *key = fk_key_path(FK_KEY_JOB, j->spec->id);
      if (g_str_equal(g_array_index(b->txn->guards, FkGuard, i).path, key))
        return FALSE;
    }
  /* the first waiting task */
  for (guint32 i = j->unstarted_hint; i < j->chunk_count; i++) {
    g_autofree char *path = fk_key_chunk_path(j->spec->id, i);
    FkChunk *copy = g_hash_table_lookup(b->chunks, path);
    const FkChunk *ch = copy ? copy : j->chunks[i];
    if (ch && ch->done_count + ch->allocations->len >= ch->task_count) {
      if (i == j->unstarted_hint && !copy)
        j->unstarted_hint++;
      continue;
    }
    /* one from before the limits were known may be larger than they allow when all of it is booked */
    if (ch && !fk_chunk_fits(ch, c->settings->value_kb, m->id, c->settings->node))
      continue;
    if (fk_launch_batch_is_full(c, b) || (!copy && fk_launch_batch_is_out_of_chunks(c, b)))
      return FALSE;
    if (!copy)
      copy = open_chunk(c, b, j, i);
    guard_team_quota(c, b, j->spec->team);
    for (guint32 task = copy->first_task; task < copy->first_task + copy->task_count; task++)
      if (j->spec->shape == FK_SHAPE_GANG
              ? fk_chunk_allocate_attempt(copy, task, m->id, c->settings->node, j->gang_attempt)
              : fk_chunk_allocate(copy, task, m->id, c->settings->node))
        break;
    fk_transaction_guard(b->txn, fk_key_path(FK_KEY_SHARD, m->shard->id), m->shard->rev);
    b->bytes += 60;
    b->allocated++;
    FkReservation p = {
        m->id, g_intern_string(j->spec->team), j->spec->cpus, j->spec->gpus, j->spec->mem_gb, j->spec->cpus};
    g_array_append_val(c->launches.reservations, p);
    m->reserved_cpus += p.cpus;
    m->reserved_gpus += p.gpus;
    m->reserved_mem_gb += p.mem_gb;
    FkTeamUsage *use = fk_view_ensure_team(c->view, j->spec->team);
    use->reserved_cpus += p.cpus;
    use->reserved_gpus += p.gpus;
    if (j->spec->shape == FK_SHAPE_SERVICE)
      g_info("%s goes to %s (%s) %.2f s after its submission%s", j->spec->id, m->id, m->record->type,
             fk_time_between((FkTime){j->startable_us}, c->now),
             g_hash_table_contains(m->images, j->spec->image) ? "" : ", without the image");
    if (!fk_spec_is_long(c, j->spec))
      count_wait(c, &b->waits, j);
    return TRUE;
  }
  return FALSE;
}

gboolean fk_launch_batch_preempt(FkController *c, FkLaunchBatch *b, FkJob *j, FkMachine *m,
                                 const GArray *victims) {
  guint guards = b->txn ? b->txn->guards->len : 0;
  if (!has_writes_left(c, b, victims->len + 2) ||
      guards + 2 * victims->len + 6 > c->settings->transaction_ops_max * 4 || fk_launch_batch_is_full(c, b) ||
      !fk_launch_batch_allocate(c, b, j, m))
    return FALSE;
  for (guint i = 0; i < victims->len; i++) {
    const FkAllocationRef *v = &g_array_index(victims, FkAllocationRef, i);
    g_info("%s/%u leaves %s for %s", v->job->spec->id, v->task, m->id, j->spec->id);
    fk_chunk_request_stop(open_chunk(c, b, v->job, v->task / v->job->spec->chunk_tasks), v->task);
  }
  return TRUE;
}

void fk_reservation_clear_all(FkController *c) {
  for (guint i = 0; i < c->launches.reservations->len; i++) {
    FkReservation *p = &g_array_index(c->launches.reservations, FkReservation, i);
    FkMachine *m = fk_view_find_machine(c->view, p->machine);
    if (m)
      m->reserved_cpus = m->reserved_gpus = m->reserved_mem_gb = 0;
    FkTeamUsage *use = fk_view_ensure_team(c->view, p->team);
    use->reserved_cpus = use->reserved_gpus = 0;
  }
  g_array_set_size(c->launches.reservations, 0);
}

/* ------------------------------------------------------------------ room for the next services */

#define RESERVE_S 5.0 /* services that arrive in this time find room; it takes about as long to make some */

/* Machines on which services may run keep some room for the next ones: arrays take only what is above it. How
 * much follows from how fast services arrive; with many machines it is next to nothing, with a few it would
 * cost more than it brings, so it stays a small share. */
#define RESERVE_SHARE 0.02
static double service_slots(FkController *c, const FkMachine *m, const FkSpec *s) {
  const FkInstanceType *t = fk_machine_type(c, m);
  if (!t || (m->record->spot && !s->spot) || !fk_placement_fits_type(s, t))
    return 0;
  double n =
      s->cpus > 0 ? floor((t->cpus - m->allocated_cpus - m->reserved_cpus) / s->cpus + FK_AMOUNT_EPSILON) : 0;
  return MAX(0, s->mem_gb > 0
                    ? MIN(n, floor((t->mem_gb - m->allocated_mem_gb - m->reserved_mem_gb) / s->mem_gb +
                                   FK_AMOUNT_EPSILON))
                    : n);
}

/* Slots above the reserve, of these machines; the reserve is for `part` of all services. */
double fk_service_reserve_spare_slots(FkController *c, GPtrArray *machines, guint looked_after, double part) {
  const FkSpec *s = c->view->latest_service;
  if (!s)
    return G_MAXDOUBLE;
  double free = 0;
  for (guint i = 0; i < machines->len; i++)
    free += service_slots(c, machines->pdata[i], s);
  return free - floor(MIN(part * c->view->service_rate * RESERVE_S, RESERVE_SHARE * looked_after));
}

/* Whether an array's task may go there, and what is spare then. */
gboolean fk_service_reserve_permits(FkController *c, FkMachine *m, const FkSpec *s, double *spare) {
  if (!c->view->latest_service || *spare == G_MAXDOUBLE || s->shape != FK_SHAPE_ARRAY)
    return TRUE;
  double before = service_slots(c, m, c->view->latest_service);
  if (before <= 0)
    return TRUE;
  fk_reservation_apply(m, s, 1);
  double lost = before - service_slots(c, m, c->view->latest_service);
  fk_reservation_apply(m, s, -1);
  if (lost > 0 && *spare < lost)
    return FALSE;
  *spare -= lost;
  return TRUE;
}
