/* The launch in the making, and what there is room for. */
#include "core/scheduling/launch_batch.h"

#include <math.h>
#include <string.h>

#include "fair_share/quota.h"

#define TXN_BYTES 40000 /* of the store's 64 KiB */

/* Types are never freed while the controller lives, so that a machine can keep its own at hand. */
const FkType *fk_type_of(FkController *c, const FkMachine *m) {
  if (!m->type && m->rec)
    ((FkMachine *)m)->type = g_hash_table_lookup(c->types, m->rec->type);
  return m->rec ? m->type : NULL;
}

gboolean fk_job_fits_type(const FkSpec *s, const FkType *t) {
  if (s->types && !g_strv_contains((const char *const *)s->types, t->name))
    return FALSE;
  if (s->zone && !g_strv_contains((const char *const *)t->zones, s->zone))
    return FALSE;
  return s->cpus <= t->cpus + FK_EPS && s->gpus <= t->gpus + FK_EPS && s->mem_gb <= t->mem_gb + FK_EPS;
}

/* Type, zone and kind of machine, given the job's other tasks. */
gboolean fk_job_allows(FkController *c, const FkJob *j, const FkMachine *m) {
  const FkSpec *s = j->spec;
  const FkType *t = fk_type_of(c, m);
  if (j->faulted && fk_blame_avoids(c->view->blame, s->id, m->id, c->now))
    return FALSE;
  if (!t || !fk_job_fits_type(s, t) || (m->rec->spot && !s->spot) ||
      (s->zone && !g_str_equal(s->zone, m->rec->zone)))
    return FALSE;
  if (!s->one_zone && !s->spread)
    return TRUE;
  guint here = 0;
  for (guint32 i = 0; i < j->n_chunks; i++) {
    if (!j->chunks[i])
      continue;
    for (guint k = 0; k < j->chunks[i]->bookings->len; k++) {
      FkMachine *o = fk_view_machine(c->view, g_array_index(j->chunks[i]->bookings, FkBooking, k).machine);
      if (!o || !o->rec)
        return FALSE; /* where it is isn't known: wait until the booking has ended */
      gboolean same = g_str_equal(o->rec->zone, m->rec->zone);
      if (s->one_zone && !same)
        return FALSE;
      here += same;
    }
  }
  return !s->spread || here < (s->tasks + 1) / 2;
}

gboolean fk_room(FkController *c, const FkMachine *m, const FkSpec *s) {
  const FkType *t = fk_type_of(c, m);
  return t && m->cpus + m->pend_cpus + s->cpus <= t->cpus + FK_EPS &&
         m->gpus + m->pend_gpus + s->gpus <= t->gpus + FK_EPS &&
         m->mem_gb + m->pend_mem + s->mem_gb <= t->mem_gb + FK_EPS;
}

/* CPUs of a team that this controller may book: what is left of the limit, or of its own share when the limit
 * is split. */
static double team_left(FkController *c, const FkTeam *team, const FkTeamUse *use) {
  if (!use->split)
    return fk_limit_left(team->cpus_max, use->cpus + use->pend_cpus);
  double *share = g_hash_table_lookup(use->split, c->settings->node);
  double *mine = g_hash_table_lookup(use->by, g_intern_string(c->settings->node));
  return (share ? *share : 0) - (mine ? *mine : 0) - use->pend_cpus;
}

gboolean fk_team_allows_tasks(FkController *c, const FkSpec *s, guint32 tasks) {
  FkTeam *team = fk_settings_team(c->settings, s->team);
  FkTeamUse *use = fk_view_team(c->view, s->team);
  if (!team || !fk_limit_allows(team->gpus_max, use->gpus + use->pend_gpus, s->gpus, tasks))
    return FALSE;
  if (tasks * s->cpus <= team_left(c, team, use) + FK_EPS)
    return TRUE;
  use->starved |= use->split && g_hash_table_size(use->split) &&
                  fk_limit_allows(team->cpus_max, use->cpus + use->pend_cpus, s->cpus, tasks);
  return FALSE;
}

gboolean fk_team_has_limit_left(FkController *c, const FkSpec *s) {
  const FkTeam *team = fk_settings_team(c->settings, s->team);
  const FkTeamUse *use = fk_view_team(c->view, s->team);
  return team && fk_limit_allows(team->cpus_max, use->cpus + use->pend_cpus, s->cpus, 1) &&
         fk_limit_allows(team->gpus_max, use->gpus + use->pend_gpus, s->gpus, 1);
}

gboolean fk_team_allows(FkController *c, const FkSpec *s) { return fk_team_allows_tasks(c, s, 1); }

gboolean fk_has_room(FkController *c, const FkMachine *m, double cpus, double mem) {
  const FkType *t = fk_type_of(c, m);
  return t && m->cpus + m->pend_cpus + cpus <= t->cpus + FK_EPS &&
         m->mem_gb + m->pend_mem + mem <= t->mem_gb + FK_EPS;
}

void fk_promise(FkMachine *m, const FkSpec *s, int sign) {
  m->pend_cpus += sign * s->cpus;
  m->pend_gpus += sign * s->gpus;
  m->pend_mem += sign * s->mem_gb;
}

/* ------------------------------------------------------------------ the transaction in the making */

/* What is built goes out at once: a launch that waits for its turn in the budget is out of date by then. So
 * no more chunks are opened than there are writes free; further tasks of those that are open cost nothing. */
static gboolean takes_writes(FkController *c, const FkBatch *b, guint more) {
  return (b->txn ? b->txn->writes->len : 0) + more <=
         MIN(c->settings->txn_ops, MAX(FK_LAUNCH_LEAST, c->write_room));
}

gboolean fk_batch_no_more_chunks(FkController *c, const FkBatch *b) {
  return b->txn && !takes_writes(c, b, 2);
}

gboolean fk_batch_full(FkController *c, const FkBatch *b) {
  return b->txn && (b->txn->guards->len + 4 > c->settings->txn_ops * 4 || b->bytes > TXN_BYTES);
}

/* The job's chunk as the transaction will write it. */
static FkChunk *open_chunk(FkController *c, FkBatch *b, const FkJob *j, guint32 i) {
  char *path = fk_key_chunk(j->spec->id, i);
  FkChunk *copy = g_hash_table_lookup(b->chunks, path);
  if (copy) {
    g_free(path);
    return copy;
  }
  if (!b->txn) {
    b->txn = fk_txn_new(c, FK_PRIO_LAUNCH);
    fk_txn_guard(b->txn, fk_key(FK_KEY_FENCE, c->settings->node), fk_view_fence(c->view, c->settings->node));
  }
  const FkChunk *ch = j->chunks[i];
  copy = ch ? fk_chunk_copy(ch) : fk_chunk_new(i * j->spec->chunk, fk_spec_chunk_tasks(j->spec, i));
  FkRecord *r = fk_record_new(FK_KEY_CHUNK);
  r->chunk = copy;
  fk_txn_guard(b->txn, g_strdup(path), copy->rev);
  fk_txn_put(b->txn, g_strdup(path), r, (FkRev){0});
  fk_txn_guard(b->txn, fk_key(FK_KEY_JOB, j->spec->id), j->rev);
  g_hash_table_insert(b->chunks, path, copy);
  b->bytes += 300 + copy->count / 4 + copy->bookings->len * 40;
  return copy;
}

/* What Elastic Sizing counts as a wait is for want of a machine: not the time that a task ran before its
 * machine was lost, nor an outage of the store, in which nothing can start wherever there is room. After a
 * mass loss the mean would stand at minutes, and bar machines from long jobs that nothing short asks for. */
static FkTime could_start_since(FkController *c, const FkJob *j) {
  FkTime since = {MAX(j->could_us, j->lost_at.us)};
  return since.us > c->store_back.us ? since : c->store_back;
}

/* A limit is kept by the team's record: shared, every launch changes it; split, nobody may change it. Where
 * there is no limit there is nothing to keep, and a guest's launches wait for nobody else's. */
static void guard_limit(FkController *c, FkBatch *b, const char *name) {
  const FkTeam *team = fk_settings_team(c->settings, name);
  if (!fk_team_limited(team) || g_hash_table_contains(b->teams, name))
    return;
  FkTeamUse *use = fk_view_team(c->view, name);
  fk_txn_guard(b->txn, fk_key(FK_KEY_TEAM, name), use->rev);
  if (!use->split)
    fk_txn_put(b->txn, fk_key(FK_KEY_TEAM, name), fk_record_new(FK_KEY_TEAM), (FkRev){0});
  g_hash_table_add(b->teams, (gpointer)g_intern_string(name));
  b->bytes += 200;
}

/* "A big array's waiting tasks swing the mean, letting one guest team bar the whole span" (DESIGN): so no job
 * counts for more than a few starts in a window. Short jobs of a few tasks, which Elastic Sizing is there
 * for, weigh as they did. */
#define WAITS_OF_ONE 20

static void count_wait(FkController *c, FkWaits *w, FkJob *j) {
  double s = fk_time_between(could_start_since(c, j), c->now);
  w->all_sum_s += s;
  w->all_count++;
  if (j->waits_window != c->window)
    j->waits_counted = 0;
  j->waits_window = c->window;
  if (j->waits_counted++ >= WAITS_OF_ONE)
    return;
  w->sum_s += s;
  w->count++;
}

gboolean fk_batch_book(FkController *c, FkBatch *b, FkJob *j, FkMachine *m) {
  if (j->held || j->cancelled) /* a start needs the committed ends of all that it needs */
    return FALSE;
  if (j->doubted && j->spec->shape != FK_SHAPE_GANG) {
    /* one task tells whether it fails everywhere */
    if (j->booked || j->tried.us == c->now.us)
      return FALSE;
    j->tried = c->now;
  }
  /* spread and together look at the view: one task a transaction keeps them true */
  if ((j->spec->one_zone || j->spec->spread) && j->spec->shape != FK_SHAPE_GANG && b->txn)
    for (guint i = 0; i < b->txn->guards->len; i++) {
      g_autofree char *key = fk_key(FK_KEY_JOB, j->spec->id);
      if (g_str_equal(g_array_index(b->txn->guards, FkGuard, i).path, key))
        return FALSE;
    }
  /* the first waiting task */
  for (guint32 i = j->unstarted_hint; i < j->n_chunks; i++) {
    g_autofree char *path = fk_key_chunk(j->spec->id, i);
    FkChunk *copy = g_hash_table_lookup(b->chunks, path);
    const FkChunk *ch = copy ? copy : j->chunks[i];
    if (ch && ch->done_count + ch->bookings->len >= ch->count) {
      if (i == j->unstarted_hint && !copy)
        j->unstarted_hint++;
      continue;
    }
    /* one from before the limits were known may be larger than they allow when all of it is booked */
    if (ch && !fk_chunk_fits(ch, c->settings->value_kb, m->id, c->settings->node))
      continue;
    if (fk_batch_full(c, b) || (!copy && fk_batch_no_more_chunks(c, b)))
      return FALSE;
    if (!copy)
      copy = open_chunk(c, b, j, i);
    guard_limit(c, b, j->spec->team);
    for (guint32 task = copy->first; task < copy->first + copy->count; task++)
      if (j->spec->shape == FK_SHAPE_GANG
              ? fk_chunk_book_as(copy, task, m->id, c->settings->node, j->gang_attempt)
              : fk_chunk_book(copy, task, m->id, c->settings->node))
        break;
    fk_txn_guard(b->txn, fk_key(FK_KEY_GROUP, m->group->id), m->group->rev);
    b->bytes += 60;
    b->booked++;
    FkPend p = {m->id,        g_intern_string(j->spec->team), j->spec->cpus, j->spec->gpus, j->spec->mem_gb,
                j->spec->cpus};
    g_array_append_val(c->pending, p);
    m->pend_cpus += p.cpus;
    m->pend_gpus += p.gpus;
    m->pend_mem += p.mem_gb;
    FkTeamUse *use = fk_view_team(c->view, j->spec->team);
    use->pend_cpus += p.cpus;
    use->pend_gpus += p.gpus;
    if (j->spec->shape == FK_SHAPE_SERVICE)
      g_info("%s goes to %s (%s) %.2f s after its submission%s", j->spec->id, m->id, m->rec->type,
             fk_time_between((FkTime){j->could_us}, c->now),
             g_hash_table_contains(m->images, j->spec->image) ? "" : ", without the image");
    if (!fk_spec_long(c, j->spec))
      count_wait(c, &b->waits, j);
    return TRUE;
  }
  return FALSE;
}

gboolean fk_batch_displace(FkController *c, FkBatch *b, FkJob *j, FkMachine *m, const GArray *victims) {
  guint guards = b->txn ? b->txn->guards->len : 0;
  if (!takes_writes(c, b, victims->len + 2) || guards + 2 * victims->len + 6 > c->settings->txn_ops * 4 ||
      fk_batch_full(c, b) || !fk_batch_book(c, b, j, m))
    return FALSE;
  for (guint i = 0; i < victims->len; i++) {
    const FkBookRef *v = &g_array_index(victims, FkBookRef, i);
    g_info("%s/%u leaves %s for %s", v->job->spec->id, v->task, m->id, j->spec->id);
    fk_chunk_stop(open_chunk(c, b, v->job, v->task / v->job->spec->chunk), v->task);
  }
  return TRUE;
}

void fk_pending_clear(FkController *c) {
  for (guint i = 0; i < c->pending->len; i++) {
    FkPend *p = &g_array_index(c->pending, FkPend, i);
    FkMachine *m = fk_view_machine(c->view, p->machine);
    if (m)
      m->pend_cpus = m->pend_gpus = m->pend_mem = 0;
    FkTeamUse *use = fk_view_team(c->view, p->team);
    use->pend_cpus = use->pend_gpus = 0;
  }
  g_array_set_size(c->pending, 0);
}

/* ------------------------------------------------------------------ room for the next services */

#define RESERVE_S 5.0 /* services that arrive in this time find room; it takes about as long to make some */

/* Machines on which services may run keep some room for the next ones: arrays take only what is above it. How
 * much follows from how fast services arrive; with many machines it is next to nothing, with a few it would
 * cost more than it brings, so it stays a small share. */
#define RESERVE_SHARE 0.02
static double slots_for(FkController *c, const FkMachine *m, const FkSpec *s) {
  const FkType *t = fk_type_of(c, m);
  if (!t || (m->rec->spot && !s->spot) || !fk_job_fits_type(s, t))
    return 0;
  double n = s->cpus > 0 ? floor((t->cpus - m->cpus - m->pend_cpus) / s->cpus + FK_EPS) : 0;
  return MAX(0,
             s->mem_gb > 0 ? MIN(n, floor((t->mem_gb - m->mem_gb - m->pend_mem) / s->mem_gb + FK_EPS)) : n);
}

/* Slots above the reserve, of these machines; the reserve is for `part` of all services. */
double fk_spare_slots(FkController *c, GPtrArray *machines, guint looked_after, double part) {
  const FkSpec *s = c->view->service;
  if (!s)
    return G_MAXDOUBLE;
  double free = 0;
  for (guint i = 0; i < machines->len; i++)
    free += slots_for(c, machines->pdata[i], s);
  return free - floor(MIN(part * c->view->service_rate * RESERVE_S, RESERVE_SHARE * looked_after));
}

/* Whether an array's task may go there, and what is spare then. */
gboolean fk_leaves_reserve(FkController *c, FkMachine *m, const FkSpec *s, double *spare) {
  if (!c->view->service || *spare == G_MAXDOUBLE || s->shape != FK_SHAPE_ARRAY)
    return TRUE;
  double before = slots_for(c, m, c->view->service);
  if (before <= 0)
    return TRUE;
  fk_promise(m, s, 1);
  double lost = before - slots_for(c, m, c->view->service);
  fk_promise(m, s, -1);
  if (lost > 0 && *spare < lost)
    return FALSE;
  *spare -= lost;
  return TRUE;
}
