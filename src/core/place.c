/* Placement: the leader's long path, and each controller's sampled short path. One transaction is under way
 * at a time; it books tasks in their jobs' chunks and writes the teams' records, guarded by all that it
 * looked at. */
#include "core/internal.h"

#include <math.h>
#include <string.h>

#define EPS 1e-6
#define QUEUE_MAX 24      /* probes a machine */
#define TXN_BYTES 40000   /* of the store's 64 KiB */
#define LAUNCH_MIN 4      /* writes that must be free for a launch */
#define GANG_LAUNCH_S 8.0 /* all transactions of one gang's launch */

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
  return s->cpus <= t->cpus + EPS && s->gpus <= t->gpus + EPS && s->mem_gb <= t->mem_gb + EPS;
}

/* Type, zone and kind of machine, given the job's other tasks. */
gboolean fk_job_allows(FkController *c, const FkJob *j, const FkMachine *m) {
  const FkSpec *s = j->spec;
  const FkType *t = fk_type_of(c, m);
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
  return t && m->cpus + m->pend_cpus + s->cpus <= t->cpus + EPS &&
         m->gpus + m->pend_gpus + s->gpus <= t->gpus + EPS &&
         m->mem_gb + m->pend_mem + s->mem_gb <= t->mem_gb + EPS;
}

/* CPUs of a team that this controller may book: what is left of the limit, or of its own share when the limit is
 * split. */
static double team_left(FkController *c, const FkTeam *team, const FkTeamUse *use) {
  if (!use->split)
    return team->cpus_max - use->cpus - use->pend_cpus;
  double *share = g_hash_table_lookup(use->split, c->settings->node);
  double *mine = g_hash_table_lookup(use->by, g_intern_string(c->settings->node));
  return (share ? *share : 0) - (mine ? *mine : 0) - use->pend_cpus;
}

static gboolean team_allows(FkController *c, const FkSpec *s, guint32 tasks) {
  FkTeam *team = fk_settings_team(c->settings, s->team);
  FkTeamUse *use = fk_view_team(c->view, s->team);
  if (!team || use->gpus + use->pend_gpus + tasks * s->gpus > team->gpus_max + EPS)
    return FALSE;
  if (tasks * s->cpus <= team_left(c, team, use) + EPS)
    return TRUE;
  use->starved |= use->split && g_hash_table_size(use->split) && use->cpus + use->pend_cpus + tasks * s->cpus <= team->cpus_max + EPS;
  return FALSE;
}

gboolean fk_team_allows(FkController *c, const FkSpec *s) { return team_allows(c, s, 1); }

/* ------------------------------------------------------------------ the transaction in the making */

typedef struct {
  FkOut *txn;
  GHashTable *chunks; /* path -> FkChunk, owned by the transaction */
  GHashTable *teams;
  guint bytes;
  double wait_sum;
  guint64 wait_count;
  guint booked;
} Batch;

typedef struct {
  double wait_sum;
  guint64 wait_count;
  guint writes;
} LaunchCall;

/* What is built goes out at once: a launch that waits for its turn in the budget is out of date by then. */
static gboolean batch_full(FkController *c, const Batch *b) {
  return b->txn && (b->txn->writes->len + 2 > MIN(c->settings->txn_ops, MAX(LAUNCH_MIN, c->write_room)) ||
                    b->txn->guards->len + 4 > c->settings->txn_ops * 4 || b->bytes > TXN_BYTES);
}

static gboolean batch_book(FkController *c, Batch *b, FkJob *j, FkMachine *m) {
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
    if (batch_full(c, b))
      return FALSE;
    if (!b->txn) {
      b->txn = fk_txn_new(c, FK_PRIO_LAUNCH);
      fk_txn_guard(b->txn, fk_key(FK_KEY_FENCE, c->settings->node), fk_view_fence(c->view, c->settings->node));
    }
    if (!copy) {
      copy = ch ? fk_chunk_copy(ch) : fk_chunk_new(i * j->spec->chunk, fk_spec_chunk_tasks(j->spec, i));
      FkRecord *r = fk_record_new(FK_KEY_CHUNK);
      r->chunk = copy;
      fk_txn_guard(b->txn, g_strdup(path), copy->rev);
      fk_txn_put(b->txn, g_strdup(path), r, (FkRev){0});
      fk_txn_guard(b->txn, fk_key(FK_KEY_JOB, j->spec->id), j->rev);
      g_hash_table_insert(b->chunks, g_steal_pointer(&path), copy);
      b->bytes += 300 + copy->count / 4 + copy->bookings->len * 40;
    }
    if (!g_hash_table_contains(b->teams, j->spec->team)) {
      FkTeamUse *use = fk_view_team(c->view, j->spec->team);
      fk_txn_guard(b->txn, fk_key(FK_KEY_TEAM, j->spec->team), use->rev);
      /* A shared limit is kept by every launch changing the team's record; a split one by nobody changing it. */
      if (!use->split)
        fk_txn_put(b->txn, fk_key(FK_KEY_TEAM, j->spec->team), fk_record_new(FK_KEY_TEAM), (FkRev){0});
      g_hash_table_add(b->teams, (gpointer)g_intern_string(j->spec->team));
      b->bytes += 200;
    }
    for (guint32 task = copy->first; task < copy->first + copy->count; task++)
      if (j->spec->shape == FK_SHAPE_GANG
              ? fk_chunk_book_as(copy, task, m->id, c->settings->node, j->gang_attempt)
              : fk_chunk_book(copy, task, m->id, c->settings->node))
        break;
    fk_txn_guard(b->txn, fk_key(FK_KEY_GROUP, m->group->id), m->group->rev);
    b->bytes += 60;
    b->booked++;
    FkPend p = {m->id,          g_intern_string(j->spec->team), j->spec->cpus, j->spec->gpus,
                j->spec->mem_gb, j->spec->cpus};
    g_array_append_val(c->pending, p);
    m->pend_cpus += p.cpus;
    m->pend_gpus += p.gpus;
    m->pend_mem += p.mem_gb;
    FkTeamUse *use = fk_view_team(c->view, j->spec->team);
    use->pend_cpus += p.cpus;
    use->pend_gpus += p.gpus;
    if (j->spec->shape == FK_SHAPE_SERVICE)
      g_info("%s goes to %s (%s) %.2f s after its submission%s", j->spec->id, m->id, m->rec->type,
             fk_time_between((FkTime){j->submitted_us}, c->now),
             g_hash_table_contains(m->images, j->spec->image) ? "" : ", without the image");
    if (!fk_spec_long(c, j->spec)) {
      b->wait_sum += fk_time_between((FkTime){j->submitted_us}, c->now);
      b->wait_count++;
    }
    return TRUE;
  }
  return FALSE;
}

static void pending_clear(FkController *c) {
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

static void launched(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  LaunchCall *call = data;
  c->launching = FALSE;
  c->launches++;
  if (o == FK_CONFLICT) {
    c->launch_conflicts++;
    g_debug("launch refused: %s", failed && failed->len ? (char *)failed->pdata[0] : "?");
  }
  if (o != FK_OK && o != FK_CONFLICT)
    c->launch_failures++;
  if (o == FK_UNKNOWN)
    c->fence_needed = TRUE; /* it may yet apply: not beside the next one */
  if (o == FK_OK || o == FK_CONFLICT)
    c->launch_wait = epoch; /* what comes next is decided on a view that shows this */
  else
    c->launch_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.15, 0.5));
  if (o == FK_OK) {
    c->wait_sum += call->wait_sum;
    c->wait_count += call->wait_count;
  }
}

/* ------------------------------------------------------------------ order of jobs */

static int job_order(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  if (x->spec->rank != y->spec->rank)
    return (int)x->spec->rank - (int)y->spec->rank;
  if (x->below != y->below)
    return x->below ? -1 : 1;
  gboolean hope_x = x->latest_s < G_MAXDOUBLE, hope_y = y->latest_s < G_MAXDOUBLE;
  if (hope_x != hope_y)
    return hope_x ? -1 : 1;
  /* Under overload not all can be on time: what is soonest complete makes the most jobs so. */
  if (hope_x && x->left_cpu_s != y->left_cpu_s)
    return x->left_cpu_s < y->left_cpu_s ? -1 : 1;
  return x->submitted_us < y->submitted_us ? -1 : x->submitted_us > y->submitted_us;
}

double fk_job_latest_start(FkController *c, const FkJob *j, double slack) {
  const FkSpec *s = j->spec;
  double left = slack * fk_view_run_s(c->view, s) + fk_time_between((FkTime){j->submitted_us}, c->now);
  double best = G_MAXDOUBLE;
  if (s->deadline_s >= left)
    best = s->deadline_s - left;
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *o = c->settings->objectives->pdata[i];
    if (g_strcmp0(o->kind, "finished") == 0 && g_strcmp0(o->class_name, s->class_name) == 0 &&
        o->within_s >= left)
      best = MIN(best, o->within_s - left);
  }
  return best;
}

static GPtrArray *waiting_jobs(FkController *c) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (fk_job_waiting(j) && fk_time_reached(c->now, j->retry_at) &&
        fk_settings_team(c->settings, j->spec->team)) {
      j->latest_s = fk_job_latest_start(c, j, 1.0);
      j->below = fk_view_team(c->view, j->spec->team)->cpus < fk_settings_team(c->settings, j->spec->team)->cpus;
      j->left_cpu_s = fk_job_waiting(j) * fk_view_run_s(c->view, j->spec) * j->spec->cpus;
      g_ptr_array_add(jobs, j);
    }
  }
  g_ptr_array_sort(jobs, job_order);
  for (guint i = 0; i < jobs->len; i++)
    ((FkJob *)jobs->pdata[i])->place = i + 1;
  return jobs;
}

static void promise(FkMachine *m, const FkSpec *s, int sign) {
  m->pend_cpus += sign * s->cpus;
  m->pend_gpus += sign * s->gpus;
  m->pend_mem += sign * s->mem_gb;
}


/* ------------------------------------------------------------------ room for the next services */

#define RESERVE_S 5.0 /* services that arrive in this time find room; it takes about as long to make some */

/* Machines on which services may run keep some room for the next ones: arrays take only what is above it. How much
 * follows from how fast services arrive; with many machines it is next to nothing, with a few it would cost more than
 * it brings, so it stays a small share. */
#define RESERVE_SHARE 0.02
static double slots_for(FkController *c, const FkMachine *m, const FkSpec *s) {
  const FkType *t = fk_type_of(c, m);
  if (!t || (m->rec->spot && !s->spot) || !fk_job_fits_type(s, t))
    return 0;
  double n = s->cpus > 0 ? floor((t->cpus - m->cpus - m->pend_cpus) / s->cpus + EPS) : 0;
  return MAX(0, s->mem_gb > 0 ? MIN(n, floor((t->mem_gb - m->mem_gb - m->pend_mem) / s->mem_gb + EPS)) : n);
}

/* Slots above the reserve, of these machines; the reserve is for `part` of all services. */
static double spare_slots(FkController *c, GPtrArray *machines, guint looked_after, double part) {
  const FkSpec *s = c->view->service;
  if (!s)
    return G_MAXDOUBLE;
  double free = 0;
  for (guint i = 0; i < machines->len; i++)
    free += slots_for(c, machines->pdata[i], s);
  return free - floor(MIN(part * c->view->service_rate * RESERVE_S, RESERVE_SHARE * looked_after));
}

/* Whether an array's task may go there, and what is spare then. */
static gboolean leaves_reserve(FkController *c, FkMachine *m, const FkSpec *s, double *spare) {
  if (!c->view->service || *spare == G_MAXDOUBLE || s->shape != FK_SHAPE_ARRAY)
    return TRUE;
  double before = slots_for(c, m, c->view->service);
  if (before <= 0)
    return TRUE;
  promise(m, s, 1);
  double lost = before - slots_for(c, m, c->view->service);
  promise(m, s, -1);
  if (lost > 0 && *spare < lost)
    return FALSE;
  *spare -= lost;
  return TRUE;
}

/* ------------------------------------------------------------------ the long path */

/* Lower is better. */
static double long_cost(FkController *c, const FkJob *j, const FkMachine *m) {
  const FkType *t = fk_type_of(c, m);
  double fetch =
      g_hash_table_contains(m->images, j->spec->image) ? 0 : j->spec->image_gb / MAX(0.01, t->fetch_gb_per_s);
  double price = m->rec->spot ? t->spot_price : t->price;
  double left = (t->cpus - m->cpus - m->pend_cpus - j->spec->cpus) / t->cpus;
  /* Whether it must fetch at all counts most, then what it costs to keep the machine for as long as the task
   * runs there: a few replicas must not hold the largest machine. Last, the fuller machine. */
  return (fetch > 0.3 ? 10 : 0) + fetch * 0.5 + price * 3 + left - (m->long_cpus > 0 ? 0.5 : 0);
}

/* The blacklist protects short tasks from newly arrived long ones of their own rank or below. Live services
 * of a higher rank would wait behind work that they may preempt, and a long job that has itself waited for
 * longer than the bound on short waits is no longer newly arrived: for both a barred machine is the last
 * choice. */
static gboolean passes_bar(FkController *c, const FkJob *j) {
  return j->spec->rank < FK_RANK_NORMAL ||
         fk_time_between((FkTime){j->submitted_us}, c->now) > c->settings->tuning.max_wait_s;
}

FkMachine *fk_best_for_long(FkController *c, const FkJob *j, GPtrArray *machines, const char *zone) {
  FkMachine *best = NULL;
  double best_cost = 0;
  for (guint k = 0; k < machines->len; k++) {
    FkMachine *m = machines->pdata[k];
    if ((m->barred && !passes_bar(c, j)) || (zone && !g_str_equal(zone, m->rec->zone)) ||
        !fk_room(c, m, j->spec) || !fk_job_allows(c, j, m))
      continue;
    double cost = long_cost(c, j, m) + (m->barred ? 1000 : 0);
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
  guint32 waiting = fk_job_waiting(j), half = (j->spec->tasks + 1) / 2;
  g_autoptr(GPtrArray) open = g_ptr_array_copy(machines, NULL, NULL);
  for (guint32 i = 0; i < j->n_chunks; i++)
    for (guint k = 0; j->chunks[i] && k < j->chunks[i]->bookings->len; k++) {
      FkMachine *m = fk_view_machine(c->view, g_array_index(j->chunks[i]->bookings, FkBooking, k).machine);
      if (m && m->rec)
        g_hash_table_insert(zones, (gpointer)m->rec->zone,
                            GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(zones, m->rec->zone)) + 1));
    }
  while (plan->len < waiting) {
    FkMachine *m = fk_best_for_long(c, j, open, zone);
    if (!m)
      break;
    guint in_zone = GPOINTER_TO_UINT(g_hash_table_lookup(zones, m->rec->zone));
    if (j->spec->spread && in_zone >= half) {
      g_ptr_array_remove_fast(open, m);
      continue;
    }
    g_hash_table_insert(zones, (gpointer)m->rec->zone, GUINT_TO_POINTER(in_zone + 1));
    promise(m, j->spec, 1);
    g_ptr_array_add(plan, m);
  }
  for (guint i = 0; i < plan->len; i++)
    promise(plan->pdata[i], j->spec, -1);
  return plan->len == waiting ? g_steal_pointer(&plan) : NULL;
}

/* A gang is placed whole: a part of it would only wait on its machines. */
static void place_gang(FkController *c, Batch *b, FkJob *j, GPtrArray *machines) {
  guint32 waiting = fk_job_waiting(j);
  /* A launch goes on only while every task that it has booked still is: a task that has left since must not
   * get the same attempt number again. */
  if ((j->booked && (fk_time_reached(c->now, j->gang_until) || j->booked != j->gang_booked)) ||
      !team_allows(c, j->spec, waiting))
    return;
  g_autoptr(GPtrArray) plan = NULL;
  if (!j->spec->one_zone)
    plan = gang_plan(c, j, machines, NULL);
  for (guint z = 0; !plan && j->spec->one_zone && z < c->settings->zones->len; z++)
    plan = gang_plan(c, j, machines, c->settings->zones->pdata[z]);
  if (!plan)
    return;
  if (!j->booked) {
    j->gang_until = fk_time_add(c->now, GANG_LAUNCH_S);
    j->gang_attempt.n = 1;
    j->gang_booked = 0;
    for (guint32 i = 0; i < j->n_chunks; i++)
      if (j->chunks[i])
        j->gang_attempt.n = MAX(j->gang_attempt.n, j->chunks[i]->next_attempt);
  }
  for (guint i = 0; i < plan->len; i++) {
    if (!batch_book(c, b, j, plan->pdata[i]))
      return;
    j->gang_booked++;
  }
}

static void place_long(FkController *c, Batch *b, GPtrArray *jobs, GPtrArray *machines) {
  double spare = spare_slots(c, machines, g_hash_table_size(c->view->machines), 1);
  for (guint i = 0; i < jobs->len && !batch_full(c, b); i++) {
    FkJob *j = jobs->pdata[i];
    if (!fk_spec_long(c, j->spec))
      continue;
    if (j->spec->shape == FK_SHAPE_GANG) {
      place_gang(c, b, j, machines);
      continue;
    }
    guint32 waiting = fk_job_waiting(j);
    while (waiting-- && fk_team_allows(c, j->spec)) {
      FkMachine *best = fk_best_for_long(c, j, machines, NULL);
      if (!best || !leaves_reserve(c, best, j->spec, &spare) || !batch_book(c, b, j, best))
        break;
    }
  }
}

GPtrArray *fk_usable_machines(FkController *c) {
  GPtrArray *all = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (fk_machine_usable(c, p))
      g_ptr_array_add(all, p);
  return all;
}

/* ------------------------------------------------------------------ the short path */

static GQueue *queue_of(FkController *c, FkMachine *m) {
  GQueue *q = g_hash_table_lookup(c->queues, m->id);
  if (!q) {
    q = g_queue_new();
    g_hash_table_insert(c->queues, (gpointer)m->id, q);
  }
  return q;
}

#define TURN_S 0.5

/* A short job is its owner's first. What the owner has no room for goes round: one other controller at a time may
 * take its tasks, so that they don't all write the same chunk. */
static gboolean short_is_ours(FkController *c, const FkJob *j) {
  const char *owner = j->spec->owner;
  if (!owner || g_str_equal(owner, c->settings->node))
    return TRUE;
  if (fk_alive(c, owner) && fk_time_between(j->seen, c->now) <= c->settings->tuning.steal_after_s)
    return FALSE;
  guint before = 0, n = c->settings->peers->len + 1;
  for (guint i = 0; i < c->settings->peers->len; i++)
    before += strcmp(((FkPeer *)c->settings->peers->pdata[i])->name, c->settings->node) < 0;
  guint64 turn = (guint64)((c->now.us + c->view->wall_offset_us) / (gint64)(TURN_S * 1e6));
  return (g_str_hash(j->spec->id) + turn) % n == before;
}

static gint find_id(gconstpointer a, gconstpointer b) { return strcmp(a, b); }

/* Batch sampling: some of our machines, drawn at random, get a probe of the job in their queues; machines with room
 * first. */
static void probe(FkController *c, FkJob *j, GPtrArray *mine) {
  guint want = (guint)ceil(fk_job_waiting(j) * c->settings->tuning.probe_ratio);
  guint n = mine->len, tries = MIN(n, 2 * want + 8);
  for (guint i = 0; i < tries && want; i++) {
    guint k = (guint)g_rand_int_range(c->rand, (gint)i, (gint)n);
    gpointer t = mine->pdata[i];
    mine->pdata[i] = mine->pdata[k];
    mine->pdata[k] = t;
    FkMachine *m = mine->pdata[i];
    if (!fk_job_allows(c, j, m))
      continue;
    GQueue *q = queue_of(c, m);
    if (q->length >= QUEUE_MAX || g_queue_find_custom(q, j->spec->id, find_id)) {
      want -= q->length < QUEUE_MAX;
      continue;
    }
    g_queue_push_tail(q, g_strdup(j->spec->id));
    want--;
  }
}

/* Late binding: a machine with room takes the tasks in its queue that are still waiting, in the order of jobs, not
 * of arrival: ranks and deadlines hold inside a queue too. */
static void bind_queue(FkController *c, Batch *b, FkMachine *m, double *spare) {
  GQueue *q = g_hash_table_lookup(c->queues, m->id);
  if (!q || g_queue_is_empty(q))
    return;
  FkJob *waiting[QUEUE_MAX];
  guint n = 0;
  for (GList *l = q->head; l;) {
    GList *next = l->next;
    FkJob *j = fk_view_job(c->view, l->data);
    if (!j || !fk_job_waiting(j) || n >= QUEUE_MAX) {
      g_free(l->data);
      g_queue_delete_link(q, l);
    } else if (j->place && fk_time_reached(c->now, j->retry_at)) {
      guint at = n++;
      for (; at && waiting[at - 1]->place > j->place; at--)
        waiting[at] = waiting[at - 1];
      waiting[at] = j;
    }
    l = next;
  }
  for (guint i = 0; i < n && !batch_full(c, b); i++) {
    FkJob *j = waiting[i];
    while (short_is_ours(c, j) && fk_room(c, m, j->spec) && fk_team_allows(c, j->spec) && fk_job_allows(c, j, m) &&
           leaves_reserve(c, m, j->spec, spare) && batch_book(c, b, j, m))
      ;
  }
}

static int by_load(gconstpointer a, gconstpointer b, gpointer data) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  const FkType *tx = fk_type_of(data, x), *ty = fk_type_of(data, y);
  /* Spot first: services can't use it. Then what is cheaper to keep, so that the dearest machines run empty
   * first and go back; then the fuller. */
  if (x->rec->spot != y->rec->spot)
    return x->rec->spot ? -1 : 1;
  double px = tx ? tx->price : 0, py = ty ? ty->price : 0;
  if (px != py)
    return px < py ? -1 : 1;
  return x->cpus > y->cpus ? -1 : x->cpus < y->cpus;
}

/* The smallest that waits: a machine with less room than this isn't worth a look. */
static gboolean least_wanted(GPtrArray *jobs, gboolean arrays, double *cpus, double *mem) {
  gboolean any = FALSE;
  for (guint i = 0; i < jobs->len; i++) {
    const FkSpec *s = ((FkJob *)jobs->pdata[i])->spec;
    if (arrays != (s->shape == FK_SHAPE_ARRAY))
      continue;
    *cpus = any ? MIN(*cpus, s->cpus) : s->cpus;
    *mem = any ? MIN(*mem, s->mem_gb) : s->mem_gb;
    any = TRUE;
  }
  return any;
}

static gboolean has_room(FkController *c, const FkMachine *m, double cpus, double mem) {
  const FkType *t = fk_type_of(c, m);
  return t && m->cpus + m->pend_cpus + cpus <= t->cpus + EPS && m->mem_gb + m->pend_mem + mem <= t->mem_gb + EPS;
}

#define PROBE_EVERY_S 1.0 /* a job that waits gets further probes, on full machines too */

static void place_short(FkController *c, Batch *b, GPtrArray *jobs, GPtrArray *mine) {
  double cpus = 0, mem = 0;
  if (!least_wanted(jobs, TRUE, &cpus, &mem))
    return;
  g_autoptr(GPtrArray) open = g_ptr_array_new();
  for (guint i = 0; i < mine->len; i++)
    if (has_room(c, mine->pdata[i], cpus, mem))
      g_ptr_array_add(open, mine->pdata[i]);
  for (guint i = 0; i < jobs->len; i++) {
    FkJob *j = jobs->pdata[i];
    if (fk_spec_long(c, j->spec) || !short_is_ours(c, j))
      continue;
    probe(c, j, open);
    if (fk_time_between(j->probed, c->now) > PROBE_EVERY_S) {
      probe(c, j, mine);
      j->probed = c->now;
    }
  }
  g_ptr_array_sort_with_data(open, by_load, c);
  double spare = spare_slots(c, open, mine->len, 1.0 / fk_controllers(c));
  for (guint i = 0; i < open->len && !batch_full(c, b); i++)
    bind_queue(c, b, open->pdata[i], &spare);
}

/* ------------------------------------------------------------------ room kept for the long path */

static void keep(FkController *c, GArray *kept, FkMachine *m, const FkSpec *s) {
  FkPend p = {m ? m->id : NULL, g_intern_string(s->team), s->cpus, s->gpus, s->mem_gb, s->cpus};
  g_array_append_val(kept, p);
  if (m)
    promise(m, s, 1);
  FkTeamUse *use = fk_view_team(c->view, s->team);
  if (use->split && s->shape != FK_SHAPE_GANG) {
    /* it will be paid from the leader's share, not from ours */
    g_array_index(kept, FkPend, kept->len - 1).cpus_team = 0;
    return;
  }
  use->pend_cpus += s->cpus;
  use->pend_gpus += s->gpus;
}

static void give_up_kept(FkController *c, GArray *kept) {
  for (guint i = 0; i < kept->len; i++) {
    FkPend *p = &g_array_index(kept, FkPend, i);
    FkMachine *m = p->machine ? fk_view_machine(c->view, p->machine) : NULL;
    FkTeamUse *use = fk_view_team(c->view, p->team);
    if (m) {
      m->pend_cpus -= p->cpus;
      m->pend_gpus -= p->gpus;
      m->pend_mem -= p->mem_gb;
    }
    use->pend_cpus -= p->cpus_team;
    use->pend_gpus -= p->cpus_team > 0 ? p->gpus : 0;
  }
}

/* The leader places services and gangs from the same view at the same moment: the short path leaves them the
 * room that they would take, or both would book it and the worker would refuse one ("full"). A gang that must
 * wait keeps its part of the team's limit too: tasks that come one by one would keep it waiting for ever. */
static void keep_for_long(FkController *c, GPtrArray *jobs, GPtrArray *machines, GArray *kept) {
  guint budget = 24;
  for (guint i = 0; i < jobs->len && budget; i++) {
    FkJob *j = jobs->pdata[i];
    if (j->spec->shape == FK_SHAPE_ARRAY)
      continue;
    for (guint32 k = fk_job_waiting(j); k && budget; k--, budget--) {
      FkMachine *m =
          c->leading ? NULL : fk_best_for_long(c, j, machines, NULL);
      if (m || j->spec->shape == FK_SHAPE_GANG)
        keep(c, kept, m, j->spec);
    }
  }
}

/* ------------------------------------------------------------------ */

static void fenced(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->fencing = FALSE;
  if (o == FK_OK)
    c->fence_needed = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->launch_wait = epoch;
  else
    c->launch_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.15, 0.5));
}

/* Launches of this controller, of an earlier life or unanswered, may still be on their way. Every launch is guarded
 * by our fence: once it has changed, and our view shows that, none of them can apply any more, and those that did
 * are in our view, so that they count against the team's limit. */
static void fence(FkController *c) {
  FkOut *t = fk_txn_new(c, FK_PRIO_CLAIM);
  char *key = fk_key(FK_KEY_FENCE, c->settings->node);
  fk_txn_guard(t, g_strdup(key), fk_view_fence(c->view, c->settings->node));
  fk_txn_put(t, key, fk_record_new(FK_KEY_FENCE), (FkRev){0});
  c->fencing = TRUE;
  fk_txn_send(c, t, fenced, NULL, NULL);
}

#define LAUNCH_SHARE 0.3   /* of the store's write budget */
#define LOOK_PER_MACHINE 1e-4 /* s: the pause between two looks grows with what there is to look at */

/* The smallest wanted by jobs of other shapes than arrays decides which machines the long path looks at. */
static GPtrArray *open_for_long(FkController *c, GPtrArray *jobs) {
  GPtrArray *open = g_ptr_array_new();
  double cpus = G_MAXDOUBLE, mem = G_MAXDOUBLE;
  for (guint i = 0; i < jobs->len; i++) {
    const FkSpec *s = ((FkJob *)jobs->pdata[i])->spec;
    if (fk_spec_long(c, s)) {
      cpus = MIN(cpus, s->cpus);
      mem = MIN(mem, s->mem_gb);
    }
  }
  if (cpus == G_MAXDOUBLE)
    return open;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (has_room(c, p, cpus, mem) && fk_machine_usable(c, p))
      g_ptr_array_add(open, p);
  return open;
}

static GPtrArray *usable_mine(FkController *c) {
  GPtrArray *mine = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->groups);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkGroup *g = p;
    for (guint i = 0; fk_group_mine(c, g) && i < g->machines->len; i++)
      if (fk_machine_usable(c, g->machines->pdata[i]))
        g_ptr_array_add(mine, g->machines->pdata[i]);
  }
  return mine;
}

void fk_place(FkController *c) {
  if (!fk_ready(c) || c->launching || c->fencing || c->view->applied.n < c->launch_wait.n ||
      !fk_time_reached(c->now, c->launch_after) || !g_hash_table_size(c->types))
    return;
  if (c->fence_needed) {
    fence(c);
    return;
  }
  if (c->write_room < LAUNCH_MIN)
    return;
  pending_clear(c);
  g_autoptr(GPtrArray) jobs = waiting_jobs(c);
  if (!jobs->len)
    return;
  c->launch_after = fk_time_add(c->now, MIN(1.0, LOOK_PER_MACHINE * g_hash_table_size(c->view->machines)));
  g_autoptr(GPtrArray) all = open_for_long(c, jobs);
  g_autoptr(GPtrArray) mine = usable_mine(c);
  Batch b = {0};
  g_autoptr(GHashTable) chunks = b.chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr(GHashTable) teams = b.teams = g_hash_table_new(g_str_hash, g_str_equal);
  g_autoptr(GArray) kept = g_array_new(FALSE, FALSE, sizeof(FkPend));
  if (c->leading)
    place_long(c, &b, jobs, all);
  keep_for_long(c, jobs, all, kept);
  place_short(c, &b, jobs, mine);
  give_up_kept(c, kept);
  if (!b.txn)
    return;
  LaunchCall *call = g_new0(LaunchCall, 1);
  *call = (LaunchCall){b.wait_sum, b.wait_count, b.txn->writes->len};
  c->launching = TRUE;
  /* The leader places all services, so it may write like all the others together. */
  guint n = c->leading ? 2 : 1 + g_hash_table_size(c->view->nodes);
  double pace = (b.txn->writes->len - 1) * n / (LAUNCH_SHARE * 2 * c->settings->state_write_rps);
  c->launch_after = fk_time_add(c->now, MIN(3.0, pace));
  fk_txn_send(c, b.txn, launched, call, g_free);
}
