/* The users: what they submit, ask and are told, held against the rules. */
#include <string.h>

#include "simulation/simulation_internal.h"

UJob *job_of(Sim *m, const char *id) { return g_hash_table_lookup(m->job_by_id, id); }

void ujob_free(gpointer p) {
  UJob *j = p;
  g_free(j->id);
  g_free(j->team);
  g_free(j->zone);
  g_free(j->finished);
  if (j->needs)
    g_ptr_array_unref(j->needs);
  g_free(j);
}

enum { SUBMIT, POLL, CANCEL, POLL_GHOST };

static FkSpec *spec_of(const UJob *j) {
  FkSpec *s = fk_spec_new();
  s->id = g_strdup(j->id);
  s->class_name = g_strdup(j->class_name);
  s->team = g_strdup(j->team);
  s->shape = j->shape;
  s->rank = j->rank;
  s->tasks = j->tasks;
  s->cpus = j->cpus;
  s->mem_gb = 2;
  s->image = g_strdup("img");
  s->image_gb = 1;
  s->zone = g_strdup(j->zone);
  s->one_zone = j->one_zone;
  s->spread = j->spread;
  s->spot = j->spot;
  s->estimate_s = j->shape == FK_SHAPE_SERVICE ? 0 : j->run_s;
  if (j->needs || j->names) {
    g_autoptr(GStrvBuilder) b = g_strv_builder_new();
    for (guint i = 0; j->needs && i < j->needs->len; i++)
      g_strv_builder_add(b, ((UJob *)j->needs->pdata[i])->id);
    if (j->names)
      g_strv_builder_add(b, j->names);
    s->needs = g_strv_builder_end(b);
  }
  return s;
}

gboolean needs_done(const UJob *j) {
  for (guint i = 0; j->needs && i < j->needs->len; i++) {
    const UJob *d = j->needs->pdata[i];
    if (memchr(d->finished, 0, d->tasks))
      return FALSE;
  }
  return TRUE;
}

/* The first moment at which the user of a job that it needs, directly or through others, was told that it is
 * cancelled; G_MAXINT64: none was. */
static gint64 ancestor_told(const UJob *j) {
  gint64 first = G_MAXINT64;
  for (guint i = 0; j->needs && i < j->needs->len; i++) {
    const UJob *d = j->needs->pdata[i];
    if (d->told_cancelled)
      first = MIN(first, d->cancelled_at);
    gint64 further = ancestor_told(d); /* MIN evaluates its arguments twice */
    first = MIN(first, further);
  }
  return first;
}

gboolean called_off(const UJob *j) {
  if (j->asked_cancel)
    return TRUE;
  for (guint i = 0; j->needs && i < j->needs->len; i++)
    if (called_off(j->needs->pdata[i]))
      return TRUE;
  return FALSE;
}

static void ask_at(Sim *m, UJob *j, int kind, int i) {
  Ctl *c = &m->ctl[i];
  if (!c->core || apart(m, ctl_zone(i), NULL) || m->now < c->frozen)
    return;
  guint64 id = ++m->next_req;
  Req *r = g_new0(Req, 1);
  *r = (Req){1, NULL, {m->now}, 0, 0, j, kind};
  g_hash_table_insert(m->requests, g_memdup2(&id, sizeof id), r);
  FkTime now = ctl_now(m, i);
  if (kind == SUBMIT)
    c->v->submit(c->core, now, (FkRequest){id}, spec_of(j));
  else if (kind == POLL)
    c->v->get(c->core, now, (FkRequest){id}, j->id);
  else if (kind == CANCEL)
    c->v->cancel(c->core, now, (FkRequest){id}, j->id);
  else
    c->v->get(c->core, now, (FkRequest){id}, "run-999999");
  drain(m, i);
}

static void ask(Sim *m, UJob *j, int kind) { ask_at(m, j, kind, g_rand_int_range(m->rand, 0, m->n)); }

typedef struct {
  UJob *job;
  int kind, ctl;
} Look;

static void look(Sim *m, gpointer p) {
  Look *l = p;
  if (l->kind == CANCEL)
    user_cancels(m, l->job);
  m->r.looks++;
  ask_at(m, l->job, l->kind, l->ctl);
  g_free(l);
}

/* Just after something was told its user asks everywhere, within milliseconds, and submits it once more. */
static void look_closely(Sim *m, UJob *j) {
  if (m->now >= m->looks_until)
    return;
  gboolean cancels = j->accepted && !j->large && m->plan.cancels && chance(m, 0.15);
  for (int i = 0; i < m->n; i++)
    for (guint k = 0; k < 3; k++) {
      Look *l = g_new0(Look, 1);
      *l = (Look){j, k == 1 ? SUBMIT : k == 2 && cancels ? CANCEL : POLL, i};
      after(m, between(m, 0.001, 0.05), look, l);
    }
}

/* Its team's limit holds what it needs at once: a task of an array, all tasks of another job. */
static gboolean within_limit(const Sim *m, const UJob *j) {
  const FkTeam *t = fk_settings_team(m->s, j->team);
  return t->cpus_max <= 0 || (j->shape == FK_SHAPE_ARRAY ? 1 : j->tasks) * j->cpus <= t->cpus_max + 1e-6;
}

void user_told(Sim *m, const Req *r, const FkOut *o) {
  UJob *j = r->job;
  if (j->impossible) {
    m->r.odd += o->status == 422;
    if (o->status == 200 || o->status == 201)
      broken(m, "accepted, and can never run", j->id);
    else if (o->status != 422 && o->status != 503 && o->status != 429)
      broken(m, "odd answer", j->id);
    return;
  }
  if (r->kind == POLL_GHOST) {
    if (o->status == 200)
      broken(m, "invented", o->job);
    return;
  }
  if (o->status == 404 && j->accepted && r->sent.us > j->accepted_at)
    broken(m, "forgotten", j->id);
  if (r->kind == SUBMIT && (o->status == 400 || (o->status == 422 && (j->accepted || within_limit(m, j)))))
    broken(m, j->accepted ? "forgotten" : "refused, and could run", j->id);
  if (o->status != 200 && o->status != 201)
    return;
  j->answered_at = m->now;
  gboolean told_done = j->told_done && r->sent.us > j->done_at;
  gboolean told_cancelled = j->told_cancelled && r->sent.us > j->cancelled_at;
  if (r->kind == SUBMIT && !j->accepted) {
    j->accepted = TRUE;
    j->accepted_at = m->now;
    m->r.accepted++;
    look_closely(m, j);
  }
  if (o->phase == FK_PHASE_DONE) {
    for (guint i = 0; i < j->tasks; i++)
      if (!j->finished[i])
        broken(m, "not_done", j->id);
    if (!j->told_done) {
      j->done_at = m->now;
      look_closely(m, j);
    }
    j->told_done = TRUE;
  }
  if (o->phase == FK_PHASE_CANCELLED) {
    if (!called_off(j))
      broken(m, "went_back", j->id);
    if (!j->told_cancelled) {
      g_debug("WORLD %.3f the user of %s is told that it is cancelled", m->now / 1e6, j->id);
      j->cancelled_at = m->now;
      m->r.told_s = MAX(m->r.told_s, (double)(m->now - j->asked_at) / 1e6);
      look_closely(m, j);
    }
    j->told_cancelled = TRUE;
  } /* withdrawn with a job that it needs, within cancel_s of that one's user being told */
  gint64 told = j->needs ? ancestor_told(j) : G_MAXINT64;
  if (told != G_MAXINT64 && (o->phase == FK_PHASE_QUEUED || o->phase == FK_PHASE_RUNNING) &&
      r->sent.us > told + (gint64)(m->s->cancel_s * 1e6))
    broken(m, "orphaned", j->id);
  /* an answer to a question asked before the user was told may still be the older one */
  if ((told_done && o->phase != FK_PHASE_DONE) || (told_cancelled && o->phase != FK_PHASE_CANCELLED))
    broken(m, "went_back", j->id);
}

void user_cancels(Sim *m, gpointer p) {
  UJob *j = p;
  if (!j->accepted || j->asked_cancel)
    return;
  j->asked_cancel = TRUE;
  j->asked_at = m->now;
  ask(m, j, CANCEL);
}

/* A user names only what was accepted; some wait until it is over. */
static gboolean may_be_submitted(const UJob *j) {
  for (guint i = 0; j->needs && i < j->needs->len; i++) {
    const UJob *d = j->needs->pdata[i];
    if (!d->accepted || (j->waits_for_ends && !d->told_done && !d->told_cancelled))
      return FALSE;
  }
  return TRUE;
}

static void user_acts(Sim *m, gpointer p) {
  UJob *j = p;
  if (m->plan.ask_no_more && (j->told_done || j->told_cancelled))
    return;
  if (!j->accepted && !may_be_submitted(j)) {
    after(m, between(m, 0.01, 0.3), user_acts, j);
    return;
  }
  if (!j->accepted)
    ask(m, j, SUBMIT);
  else if (j->asked_cancel && !j->told_cancelled && !j->told_done)
    ask(m, j, CANCEL);
  else
    ask(m, j, chance(m, 0.05) ? SUBMIT : POLL);
  if (j->accepted && m->plan.cancels && !j->large && !j->told_done && !j->asked_cancel &&
      chance(m, m->now < m->rush_until         ? 0.33
                : j->shape == FK_SHAPE_SERVICE ? 0.1
                                               : 0.006)) {
    user_cancels(m, j);
  }
  if (j->accepted && j->faulty && !j->asked_cancel && m->now > j->accepted_at + 60000000) {
    user_cancels(m, j);
  }
  if (chance(m, 0.02))
    ask(m, j, POLL_GHOST);
  after(m, between(m, 0.5, 3), user_acts, j);
}

/* A service of one task, alone in being asked for: its user comes again until it is accepted, then no more.
 */
static void service_asked(Sim *m, gpointer p) {
  UJob *j = p;
  if (j->accepted)
    return;
  ask(m, j, SUBMIT);
  after(m, between(m, 0.5, 3), service_asked, j);
}

static UJob *new_job(Sim *m) {
  UJob *j = g_new0(UJob, 1);
  j->id = g_strdup_printf("run-%06u", m->r.submitted++);
  g_ptr_array_add(m->jobs, j);
  g_hash_table_insert(m->job_by_id, j->id, j);
  return j;
}

void submit_services(Sim *m) {
  for (guint i = 0; i < m->plan.services; i++) {
    UJob *j = new_job(m);
    j->team = g_strdup(i % 2 ? "red" : "blue");
    j->class_name = "live";
    j->rank = FK_RANK_HIGH;
    j->shape = FK_SHAPE_SERVICE;
    j->tasks = 1;
    j->cpus = 8; /* a machine each */
    j->finished = g_new0(guint8, 1);
    after(m, between(m, 1, 0.6 * m->plan.loss_at), service_asked, j);
  }
}

void user_submits(Sim *m, gpointer p) {
  UJob *j = new_job(m);
  j->team = g_strdup(chance(m, 0.5) ? "red" : "blue");
  j->shape = chance(m, 0.15)                   ? FK_SHAPE_SERVICE
             : m->plan.gangs && chance(m, 0.2) ? FK_SHAPE_GANG
                                               : FK_SHAPE_ARRAY;
  j->tasks = (guint32)(j->shape == FK_SHAPE_ARRAY ? g_rand_int_range(m->rand, 1, chance(m, 0.1) ? 40 : 6)
                                                  : g_rand_int_range(m->rand, 1, 4));
  j->cpus = chance(m, 0.5) ? 2 : 4;
  j->spot = j->shape != FK_SHAPE_SERVICE && chance(m, 0.7);
  j->zone = chance(m, 0.1) ? g_strdup("south") : NULL;
  j->one_zone = chance(m, 0.15);
  j->spread = !j->one_zone && !j->zone && chance(m, 0.1);
  j->run_s = m->plan.run_s > 0 ? m->plan.run_s : between(m, 1, 15);
  j->rank = j->shape == FK_SHAPE_SERVICE ? FK_RANK_HIGH : FK_RANK_NORMAL;
  j->class_name = j->shape == FK_SHAPE_SERVICE ? "live" : j->shape == FK_SHAPE_GANG ? "gangs" : "arrays";
  j->faulty = j->shape == FK_SHAPE_ARRAY && m->plan.faulty > 0 && chance(m, m->plan.faulty);
  j->finished = g_new0(guint8, j->tasks);
  user_acts(m, j);
  if (m->now < (gint64)((m->plan.submit_s > 0 ? m->plan.submit_s : m->plan.seconds * 0.6) * 1e6))
    after(m, between(m, 0.5, 6) / (m->plan.scale > 0 ? m->plan.scale : 1), user_submits, NULL);
}

/* Jobs that are hard to place: a whole machine for each task, in one zone, spread over both, a gang, one with
 * many tasks. Small ones fill every gap beside them. */
void large_ones_come(Sim *m, gpointer p) {
  static const struct {
    FkShape shape;
    guint32 tasks;
    double cpus;
    gboolean one_zone, spread, in_zone;
    const char *class_name;
  } kinds[] = {{FK_SHAPE_ARRAY, 6, 8, FALSE, FALSE, FALSE, "whole"},
               {FK_SHAPE_ARRAY, 4, 8, FALSE, FALSE, TRUE, "zoned"},
               {FK_SHAPE_ARRAY, 4, 8, TRUE, FALSE, FALSE, "together"},
               {FK_SHAPE_ARRAY, 4, 8, FALSE, TRUE, FALSE, "spread"},
               {FK_SHAPE_GANG, 3, 8, FALSE, FALSE, FALSE, "gangs"},
               {FK_SHAPE_ARRAY, 120, 4, FALSE, FALSE, FALSE, "arrays"}};
  for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
    UJob *j = new_job(m);
    j->team = g_strdup(i % 2 ? "red" : "blue");
    j->shape = kinds[i].shape;
    j->tasks = kinds[i].tasks;
    j->cpus = kinds[i].cpus;
    j->one_zone = kinds[i].one_zone;
    j->spread = kinds[i].spread;
    j->zone = kinds[i].in_zone ? g_strdup("south") : NULL;
    j->class_name = kinds[i].class_name;
    j->rank = FK_RANK_NORMAL;
    j->spot = TRUE;
    j->large = TRUE;
    j->run_s = 10;
    j->finished = g_new0(guint8, j->tasks);
    user_acts(m, j);
  }
}

#define ODD_EVERY_S 0.5

void odd_requests(Sim *m, gpointer p) {
  if (m->now >= m->odd_until)
    return;
  UJob *j = m->jobs->len ? m->jobs->pdata[g_rand_int_range(m->rand, 0, (gint)m->jobs->len)] : NULL;
  if (j && j->accepted && !j->told_done)
    ask(m, j, SUBMIT);
  else if (j && j->told_done)
    ask(m, j, CANCEL); /* of what is done: it stays done */
  j = new_job(m);
  guint kind = (guint)g_rand_int_range(
      m->rand, 0, m->plan.chains > 0 && m->now >= (gint64)(m->plan.chains_from * 1e6) ? 5 : 4);
  j->impossible = TRUE;
  j->team = g_strdup(kind == 1 ? "nobody" : "red");
  j->class_name = "odd";
  j->rank = FK_RANK_NORMAL;
  j->shape = kind == 3 ? FK_SHAPE_SERVICE : FK_SHAPE_ARRAY;
  j->tasks = kind == 3 ? 100000 : 1;
  j->cpus = kind == 0 ? 8.5 : 1;
  j->zone = kind == 2 ? g_strdup("nowhere") : NULL;
  j->names = kind == 4 ? "run-999998" : NULL;
  j->finished = g_new0(guint8, j->tasks);
  ask(m, j, SUBMIT);
  after(m, ODD_EVERY_S, odd_requests, NULL);
}

/* One-task jobs, so many a second for as long as jobs are submitted; a quarter of them is cancelled, at any
 * time or at the moment of the end. */
void tiny_ones_come(Sim *m, gpointer p) {
  UJob *j = new_job(m);
  j->team = g_strdup(chance(m, 0.5) ? "red" : "blue");
  j->class_name = "tiny";
  j->rank = FK_RANK_NORMAL;
  j->shape = FK_SHAPE_ARRAY;
  j->tasks = 1;
  j->cpus = 0.5;
  j->spot = TRUE;
  j->run_s = between(m, 1, 15);
  j->finished = g_new0(guint8, 1);
  user_acts(m, j);
  if (m->plan.cancels && chance(m, 0.25))
    after(m, between(m, 0.05, 1.5 * j->run_s), user_cancels, j);
  if (m->now < (gint64)((m->plan.submit_s > 0 ? m->plan.submit_s : m->plan.seconds * 0.6) * 1e6))
    after(m, 1 / m->plan.tiny, tiny_ones_come, NULL);
}

static UJob *stage(Sim *m, const char *class_name, guint32 tasks, double run_s, FkRank rank,
                   GPtrArray *needs) {
  UJob *j = new_job(m);
  j->team = g_strdup(chance(m, 0.5) ? "red" : "blue");
  j->class_name = class_name;
  j->rank = rank;
  j->shape = FK_SHAPE_ARRAY;
  j->tasks = tasks;
  j->cpus = 1;
  j->spot = TRUE;
  j->run_s = run_s;
  j->needs = needs;
  j->finished = g_new0(guint8, tasks);
  return j;
}

static GPtrArray *list_of(UJob *a, UJob *b) {
  GPtrArray *l = g_ptr_array_new();
  g_ptr_array_add(l, a);
  if (b)
    g_ptr_array_add(l, b);
  return l;
}

/* First -> two wide ones -> third -> last, which needs the first as well; sometimes one that runs already. */
void pipelines_come(Sim *m, gpointer p) {
  UJob *earlier = m->jobs->len ? m->jobs->pdata[g_rand_int_range(m->rand, 0, (gint)m->jobs->len)] : NULL;
  if (earlier && (earlier->shape != FK_SHAPE_ARRAY || earlier->impossible || !chance(m, 0.4)))
    earlier = NULL;
  UJob *s[5];
  s[0] = stage(m, "first", 3, between(m, 1, 6), FK_RANK_LOW, earlier ? list_of(earlier, NULL) : NULL);
  s[1] = stage(m, "wide", 12, between(m, 2, 8), FK_RANK_LOW, list_of(s[0], NULL));
  s[2] = stage(m, "wide", 6, between(m, 2, 8), FK_RANK_LOW, list_of(s[0], NULL));
  s[3] = stage(m, "third", 2, between(m, 1, 6), FK_RANK_NORMAL, list_of(s[1], s[2]));
  s[4] = stage(m, "last", 2, between(m, 1, 4), FK_RANK_HIGH, list_of(s[0], s[3]));
  s[4]->waits_for_ends = chance(m, 0.15);
  for (guint i = 0; i < 5; i++)
    user_acts(m, s[i]);
  if (chance(m, 0.2))
    after(m, between(m, 0.2, 40), user_cancels, s[g_rand_int_range(m->rand, 0, 5)]);
  if (m->now < (gint64)((m->plan.submit_s > 0 ? m->plan.submit_s : m->plan.seconds * 0.6) * 1e6))
    after(m, between(m, 0.5, 1.5) / m->plan.chains, pipelines_come, NULL);
}

/* Each needs the one before it; and many that need one. */
void deep_ones_come(Sim *m, gpointer p) {
  UJob *last = NULL;
  for (guint i = 0; i < m->plan.deep; i++) {
    UJob *j = stage(m, "deep", 1, i ? 1 : 60, FK_RANK_NORMAL, last ? list_of(last, NULL) : NULL);
    user_acts(m, j);
    if (!i && m->plan.cancel_deep_s > 0)
      after(m, m->plan.cancel_deep_s - 5, user_cancels, j);
    last = j;
  }
  UJob *first = m->plan.fan ? stage(m, "deep", 1, 60, FK_RANK_NORMAL, NULL) : NULL;
  if (first) {
    user_acts(m, first);
    if (m->plan.cancel_deep_s > 0)
      after(m, m->plan.cancel_deep_s - 5, user_cancels, first);
  }
  for (guint i = 0; i < m->plan.fan; i++) {
    UJob *j = stage(m, "deep", 1, 2, FK_RANK_NORMAL, list_of(first, NULL));
    after(m, between(m, 0, 0.02 * m->plan.fan), user_acts, j);
  }
}

#define FORGOTTEN_S 75.0
#define LEFT_WAITING_S ((double)ROOM_KEPT)

static gint64 troubles_end(const Sim *m) {
  gint64 end = MAX(MAX(m->outage, m->cut_until), MAX(m->slow_until, m->peers_refuse_until));
  end = MAX(MAX(end, m->late_writes_until), MAX(m->held_until, m->copies_until));
  end = MAX(MAX(end, m->lost_answers_until), m->cloud_until);
  for (int i = 0; i < m->n; i++)
    end = MAX(MAX(end, m->refused_until[i]), MAX(MAX(m->ctl[i].cut_state, m->ctl[i].cut_workers),
                                                 MAX(m->ctl[i].cut_peers, m->ctl[i].frozen)));
  for (guint i = 0; i < m->workers->len; i++) {
    const Worker *w = m->workers->pdata[i];
    end = w->gone ? end : MAX(end, MAX(w->mute, MAX(w->hung, w->deaf)));
  }
  return MAX(end, (gint64)(0.6e6 * m->plan.seconds));
}

static float room_on(Sim *m, const Worker *w) {
  float room = 8;
  if (w->gone || !w->up || w->sick || m->now < MAX(w->hung, MAX(w->deaf, w->mute)))
    return 0;
  for (guint k = 0; k < w->model.tasks->len; k++) {
    const FkWorkerTask *t = w->model.tasks->pdata[k];
    room -= t->state != FK_TASK_EXITED ? (float)job_of(m, t->job)->cpus : 0;
  }
  return room;
}

static guint look_number(const Sim *m) { return (guint)(m->now / 1000000 % ROOM_KEPT); }

/* What was free all the time, so long. */
static float lasting_room(const Worker *w) {
  float least = w->room[0];
  for (guint i = 1; i < ROOM_KEPT; i++)
    least = MIN(least, w->room[i]);
  return least;
}

/* What the machines have, by job and team. */
static void count_placed(Sim *m, GHashTable *team_cpus) {
  for (guint i = 0; i < m->jobs->len; i++) {
    UJob *j = m->jobs->pdata[i];
    j->placed = j->north = j->south = 0;
  }
  for (guint i = 0; i < m->workers->len; i++) {
    const Worker *w = m->workers->pdata[i];
    for (guint k = 0; !w->gone && k < w->model.tasks->len; k++) {
      const FkWorkerTask *t = w->model.tasks->pdata[k];
      UJob *j = job_of(m, t->job);
      if (t->state == FK_TASK_EXITED || j->finished[t->task])
        continue;
      j->placed++;
      (w->model.zone[0] == 'n' ? j->north++ : j->south++);
      double *used = g_hash_table_lookup(team_cpus, j->team);
      if (!used)
        g_hash_table_insert(team_cpus, j->team, used = g_new0(double, 1));
      *used += j->cpus;
    }
  }
}

/* There is room for what the job waits with, a task or the whole gang: now, or for all of the last 90 s on
 * the same machines. */
static gboolean fits_somewhere(Sim *m, const UJob *j, guint waiting, gboolean lasting) {
  guint need = j->shape == FK_SHAPE_GANG ? waiting : 1, north = 0, south = 0;
  for (guint i = 0; i < m->workers->len; i++) {
    const Worker *w = m->workers->pdata[i];
    if (w->gone || (w->model.spot && !j->spot) || (j->zone && !g_str_equal(j->zone, w->model.zone)))
      continue;
    float room = lasting ? lasting_room(w) : w->room[look_number(m)];
    *(w->model.zone[0] == 'n' ? &north : &south) += (guint)(room / j->cpus + 1e-4);
  }
  if (j->one_zone)
    return j->north ? north >= need : j->south ? south >= need : MAX(north, south) >= need;
  if (j->spread) {
    guint half = (j->tasks + 1) / 2;
    return MIN(north, half - MIN(half, j->north)) + MIN(south, half - MIN(half, j->south)) >= need;
  }
  return north + south >= need;
}

/* Nobody waits for long while a machine that fits has room and its team is under its limit. */
static void check_left_waiting(Sim *m, gint64 calm_at) {
  g_autoptr(GHashTable) team_cpus = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  count_placed(m, team_cpus);
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *w = m->workers->pdata[i];
    w->room[look_number(m)] = room_on(m, w);
  }
  for (guint i = 0; i < m->s->teams->len; i++) {
    const FkTeam *t = m->s->teams->pdata[i];
    const double *used = g_hash_table_lookup(team_cpus, t->name);
    if (used && t->cpus_max > 0)
      m->r.at_limit = MAX(m->r.at_limit, *used / t->cpus_max);
  }
  for (guint i = 0; i < m->jobs->len; i++) {
    UJob *j = m->jobs->pdata[i];
    if (!j->accepted || called_off(j) || j->faulty || j->impossible || !needs_done(j))
      continue;
    guint done = 0;
    for (guint t = 0; t < j->tasks; t++)
      done += j->finished[t];
    guint waiting = j->tasks - done - MIN(j->placed, j->tasks - done);
    const double *used = g_hash_table_lookup(team_cpus, j->team);
    const FkTeam *team = fk_settings_team(m->s, j->team);
    double need = j->cpus * (j->shape == FK_SHAPE_GANG ? waiting : 1);
    gboolean could = waiting && (team->cpus_max <= 0 || (used ? *used : 0) + need <= team->cpus_max + 1e-6) &&
                     fits_somewhere(m, j, waiting, FALSE);
    if (!could || j->tries != j->could_tries)
      j->could_since = 0;
    j->could_tries = j->tries;
    if (!could)
      continue;
    if (!j->could_since)
      j->could_since = m->now;
    double s = (double)(m->now - MAX(j->could_since, MAX(calm_at, j->accepted_at))) / 1e6;
    m->r.room_s = MAX(m->r.room_s, s);
    if (s > LEFT_WAITING_S && !m->plan.waits_apart && fits_somewhere(m, j, waiting, TRUE)) {
      g_autofree char *what =
          g_strdup_printf("%s: shape %d, %u of %u tasks of %g cpus wait, %u placed, zone %s, %s%s%s", j->id,
                          j->shape, waiting, j->tasks, j->cpus, j->placed, j->zone ? j->zone : "any",
                          j->spot ? "spot " : "", j->one_zone ? "together " : "", j->spread ? "spread" : "");
      for (guint k = 0; k < m->workers->len; k++) {
        const Worker *w = m->workers->pdata[k];
        if (!w->gone && lasting_room(w) >= j->cpus)
          g_message("WORLD %s %s spot %d has had %.1f CPUs free, token %" G_GUINT64_FORMAT
                    " session %" G_GUINT64_FORMAT " home c-%u",
                    w->model.id, w->model.zone, w->model.spot, lasting_room(w), w->model.token,
                    w->model.session, w->home);
      }
      broken(m, "left waiting", what);
    }
  }
}

void users_tick(Sim *m) {
  if (m->plan.services)
    return;
  gint64 calm_at = troubles_end(m);
  if (m->now / 200000 % 5 == 0)
    check_left_waiting(m, calm_at);
  for (guint i = 0; i < m->jobs->len; i++) {
    const UJob *j = m->jobs->pdata[i];
    if (!j->accepted || (m->plan.ask_no_more && (j->told_done || j->told_cancelled)))
      continue;
    gint64 waits = MAX(MAX(j->accepted_at, calm_at), j->answered_at);
    if (m->now >= calm_at)
      m->r.silence_s = MAX(m->r.silence_s, (double)(m->now - waits) / 1e6);
    if (m->now - waits > (gint64)(FORGOTTEN_S * 1e6))
      broken(m, "forgotten, no answer", j->id);
    if (called_off(j) || j->faulty || j->needs)
      continue;
    gint64 until = j->began_at ? j->began_at : m->now;
    if (j->large)
      m->r.large_s = MAX(m->r.large_s, (double)(until - j->accepted_at) / 1e6);
    m->r.begin_s = MAX(m->r.begin_s, (double)(until - MAX(j->accepted_at, calm_at)) / 1e6);
  }
}

/* A guest's work: none of it has a claim to room, and all of it is to be served. */
static void guest_job(Sim *m, const char *team, const char *class_name, guint32 tasks, double cpus,
                      double run_s) {
  UJob *j = new_job(m);
  j->team = g_strdup(team);
  j->class_name = class_name;
  j->rank = FK_RANK_LOW;
  j->shape = FK_SHAPE_ARRAY;
  j->tasks = tasks;
  j->cpus = cpus;
  j->spot = TRUE;
  j->run_s = run_s;
  j->finished = g_new0(guint8, tasks);
  user_acts(m, j);
}

void guests_come(Sim *m, gpointer p) {
  guint round = GPOINTER_TO_UINT(p);
  if (!round)
    guest_job(m, "guest", "long", 60, 2, 40);
  if (round == 5) {
    guest_job(m, "unlimited", "free", 30, 2, 10);
    guest_job(m, "borrower", "bound", 30, 2, 10);
  }
  if (round == 10)
    guest_job(m, "guest", "huge", 400, 0.25, 2);
  if (round >= 20 && round < 60)
    guest_job(m, "guest", "tiny", 1, 0.25, 10);
  if (round < 60)
    after(m, 1, guests_come, GUINT_TO_POINTER(round + 1));
}

/* As the service's users see it: tasks that ran to their end, or replicas that were started. */
guint worst_class(Sim *m) {
  static const char *const names[] = {"live",  "arrays", "long",  "huge",     "tiny",  "free",
                                      "bound", "whole",  "zoned", "together", "spread"};
  double worst = 1;
  for (guint k = 0; k < G_N_ELEMENTS(names); k++) {
    double due = 0, served = 0;
    for (guint i = 0; i < m->jobs->len; i++) {
      const UJob *j = m->jobs->pdata[i];
      if (!g_str_equal(j->class_name, names[k]) || !j->accepted || called_off(j) ||
          m->now < j->accepted_at + 60000000)
        continue;
      guint done = 0;
      for (guint t = 0; t < j->tasks; t++)
        done += j->finished[t];
      due++;
      served += j->shape == FK_SHAPE_SERVICE ? j->tries > 0 : (double)done / j->tasks;
    }
    if (due >= 1)
      worst = MIN(worst, served / due);
  }
  return (guint)(100 * worst);
}
