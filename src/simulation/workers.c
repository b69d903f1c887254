/* The machines: what they run, what they report, what they are told. */
#include <string.h>

#include "simulation/simulation_internal.h"

#define BOX_CPUS 8.0 /* of the only type of machine */

void worker_free(gpointer p) {
  Worker *w = p;
  fk_worker_model_clear(&w->model);
  g_free(w);
}

static char *truth_key(const FkWorkerTask *t) { return g_strdup_printf("%s/%u", t->job, t->task); }

static double cpus_of(gpointer sim, const char *job) { return job_of(sim, job)->cpus; }

static void step(Sim *m, gpointer p);

typedef struct {
  Worker *w;
  guint64 serial;
  int step;
} Step;

/* The model is a worker's first member. */
static Worker *owner_of(FkWorkerModel *model) { return (Worker *)model; }

static void task_accepted(gpointer sim, FkWorkerModel *model, FkWorkerTask *t) {
  Step *s = g_new0(Step, 1);
  *s = (Step){owner_of(model), t->serial, 0};
  after(sim, between(sim, 0.1, 3), step, s);
}

static void task_left(gpointer sim, FkWorkerModel *model, FkWorkerTask *t) {
  Sim *m = sim;
  g_autofree char *key = truth_key(t);
  if (g_hash_table_lookup(m->truth, key) == owner_of(model))
    g_hash_table_remove(m->truth, key);
}

static FkWorkerHooks hooks_of(Sim *m) {
  return (FkWorkerHooks){cpus_of, task_accepted, task_left, m, &m->next_serial};
}

static void wipe(Sim *m, Worker *w) {
  g_debug("WORLD %.3f %s wiped", m->now / 1e6, w->model.id);
  const FkWorkerHooks hooks = hooks_of(m);
  fk_worker_model_wipe(&w->model, &hooks);
}

/* It is no more, and nothing that ran there. */
void lose(Sim *m, Worker *w) {
  wipe(m, w);
  w->gone = TRUE;
}

gboolean hung(Sim *m, const Worker *w) { return m->now < w->hung; }

/* One of the replicas that were lost together runs again. */
static void came_back(Sim *m, UJob *j) {
  SimRecovery *r = &m->r.recovery;
  if (!j->lost)
    return;
  j->lost = FALSE;
  double s = (double)(m->now - m->lost_at) / 1e6;
  if (!r->back++)
    r->first_s = s;
  if (r->back == (r->lost + 1) / 2)
    r->half_s = s;
  r->last_s = s;
  if (r->back == r->lost) {
    r->core_ms = (double)m->core_ns / 1e6;
    m->over = TRUE;
  }
}

static void check_start(Sim *m, Worker *w, FkWorkerTask *t) {
  g_debug("WORLD %.3f %s/%u try %" G_GUINT64_FORMAT " starts on %s session %" G_GUINT64_FORMAT
          " token %" G_GUINT64_FORMAT,
          m->now / 1e6, t->job, t->task, t->attempt, w->model.id, w->model.session, w->model.token);
  UJob *j = job_of(m, t->job);
  g_autofree char *key = truth_key(t);
  if (g_hash_table_contains(m->truth, key))
    broken(m, "ran_twice", key);
  if (!needs_done(j))
    broken(m, "too_early", key);
  if ((w->model.spot && !j->spot) || (j->zone && !g_str_equal(j->zone, w->model.zone)))
    broken(m, "wrong_place", key);
  double used = j->cpus;
  guint same = 1;
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *o = m->workers->pdata[i];
    for (guint k = 0; k < o->model.tasks->len; k++) {
      FkWorkerTask *x = o->model.tasks->pdata[k];
      if (!x->on)
        continue;
      UJob *xj = job_of(m, x->job);
      if (g_str_equal(xj->team, j->team))
        used += xj->cpus;
      if (xj == j) {
        if (j->one_zone && !g_str_equal(o->model.zone, w->model.zone))
          broken(m, "wrong_place", key);
        same += g_str_equal(o->model.zone, w->model.zone);
      }
    }
  }
  if (j->spread && same > (j->tasks + 1) / 2)
    broken(m, "wrong_place", key);
  if (used > fk_settings_team(m->s, j->team)->cpus_max + 1e-6)
    broken(m, "quota", key);
  if (j->told_cancelled && m->now > j->cancelled_at + (gint64)(m->s->cancel_s * 1e6))
    broken(m, "ran_cancelled", key);
  m->r.started++;
}

static void step(Sim *m, gpointer p) {
  Step *s = p;
  Worker *w = s->w;
  FkWorkerTask *t = w->gone ? NULL : fk_worker_model_task(&w->model, s->serial);
  if (!t || t->state == FK_TASK_EXITED) {
    g_free(s);
    return;
  }
  if (hung(m, w)) {
    after(m, (w->hung - m->now) / 1e6 + 0.01, step, s);
    return;
  }
  UJob *j = job_of(m, t->job);
  gboolean fails = (w->sick || j->faulty) && !j->finished[t->task];
  if (s->step == 0) {
    check_start(m, w, t);
    g_autofree char *key = truth_key(t);
    g_hash_table_insert(m->truth, g_steal_pointer(&key), w);
    t->on = TRUE;
    t->state = FK_TASK_RUNNING;
    s->step = 1;
    came_back(m, j);
    if (!j->began_at)
      j->began_at = m->now;
    j->tries++;
    if (fails || j->finished[t->task] || j->shape != FK_SHAPE_SERVICE) {
      after(m, j->finished[t->task] ? 0 : fails ? 0.5 : j->run_s * between(m, 0.5, 1.5), step, s);
      return;
    }
    g_free(s);
    return;
  }
  const FkWorkerHooks hooks = hooks_of(m);
  fk_worker_model_leave(&w->model, &hooks, t);
  t->state = FK_TASK_EXITED;
  t->why = fails ? FK_WHY_ERROR : FK_WHY_DONE;
  if (t->why == FK_WHY_DONE) {
    j->finished[t->task] = 1;
    m->r.finished++;
    if (m->now < m->cancel_at_end_until && !memchr(j->finished, 0, j->tasks) && chance(m, m->cancel_at_end))
      after(m, between(m, 0, 0.05), user_cancels, j);
  }
  g_free(s);
}

Worker *worker_of(Sim *m, const char *id) { return g_hash_table_lookup(m->by_id, id); }

void check_lease(Sim *m, Worker *w) {
  const FkWorkerHooks hooks = hooks_of(m);
  gboolean had_tasks = w->model.tasks->len > 0;
  if (!fk_worker_model_expire(&w->model, &hooks, m->now, m->s->lease_s))
    return;
  m->r.lapsed += had_tasks;
  g_debug("WORLD %.3f %s session %" G_GUINT64_FORMAT " has begun", m->now / 1e6, w->model.id,
          w->model.session);
}

/* What arrives at the worker is carried out if token and session stand, however late, and as often as it
 * comes. Whether it was; -1: it can't arrive now. */
static int take_command(Sim *m, Call *c, void (*again)(Sim *, gpointer)) {
  Worker *w = worker_of(m, c->out->addr);
  if (!w || w->gone || !w->up || w->life != c->life)
    return -1;
  if (m->now < w->deaf && !w->deaf_holds)
    return -1;
  if (hung(m, w) || m->now < w->deaf) {
    after(m, (MAX(w->hung, w->deaf) - m->now) / 1e6 + 0.02, again, c);
    return -1;
  }
  check_lease(m, w);
  const FkWorkerHooks hooks = hooks_of(m);
  return fk_worker_model_commanded(&w->model, &hooks, c->out->session, c->out->token, c->out->orders);
}

static void command_repeated(Sim *m, gpointer p) { take_command(m, p, command_repeated); }

void worker_commanded(Sim *m, gpointer p) {
  Call *c = p;
  int ok = take_command(m, c, worker_commanded);
  if (ok < 0)
    return;
  FkReport *says = fk_worker_model_report(&worker_of(m, c->out->addr)->model);
  if (m->now < m->held_until && chance(m, m->held))
    fk_report_free(says); /* the answer is held for longer than anybody waits for it */
  else
    answer(c, ok ? FK_OK : FK_CONFLICT, (FkRev){0}, NULL, FALSE, says);
  if (chance(m, copies_now(m)))
    after(m, once_more_after(m), command_repeated, c);
}

typedef struct {
  Worker *w;
  guint64 report;
  double next_s;
  gboolean move;
} Next;

static void next_report(Sim *m, gpointer p) {
  Next *n = p;
  Worker *w = n->w;
  if (w->inflight == n->report) {
    w->inflight = 0;
    if (n->move)
      w->home = (w->home + 1) % (guint)m->n;
    report_sent(m, w);
  }
  g_free(n);
}

static void next_in(Sim *m, Worker *w, guint64 report, double s, gboolean move) {
  Next *n = g_new0(Next, 1);
  *n = (Next){w, report, 0, move};
  after(m, s, next_report, n);
}

typedef struct {
  int ctl;
  guint gen;
  FkReport *report;
  Req *req;
} Hello;

#define KEPT_MAX 200

static FkReport *report_copy(const FkReport *r) {
  FkReport *n = fk_report_new();
  n->machine = g_strdup(r->machine);
  n->addr = g_strdup(r->addr);
  n->type = g_strdup(r->type);
  n->zone = g_strdup(r->zone);
  n->spot = r->spot;
  n->session = r->session;
  n->seq = r->seq;
  n->token = r->token;
  n->notice_s = r->notice_s;
  for (guint i = 0; i < r->tasks->len; i++) {
    FkTaskReport *t = g_memdup2(r->tasks->pdata[i], sizeof(FkTaskReport));
    t->job = g_strdup(t->job);
    g_ptr_array_add(n->tasks, t);
  }
  return n;
}

/* A copy of a report comes, at any controller in any life; nobody waits for its answer. */
static void copy_arrives(Sim *m, gpointer p) {
  FkReport *report = p;
  int i = g_rand_int_range(m->rand, 0, m->n);
  if (!m->ctl[i].core || m->now < m->ctl[i].frozen) {
    fk_report_free(report);
    return;
  }
  m->ctl[i].v->report(m->ctl[i].core, ctl_now(m, i), (FkRequest){++m->next_req}, report);
  drain(m, i);
}

typedef struct {
  FkReport *report;
  int ctl;
} Kept;

static void kept_arrives(Sim *m, gpointer p) {
  Kept *k = p;
  if (waits_for_frozen(m, k->ctl, kept_arrives, k))
    return;
  if (m->ctl[k->ctl].core) {
    m->ctl[k->ctl].v->report(m->ctl[k->ctl].core, ctl_now(m, k->ctl), (FkRequest){++m->next_req}, k->report);
    drain(m, k->ctl);
  } else {
    fk_report_free(k->report);
  }
  g_free(k);
}

void kept_reports_come(Sim *m) {
  for (guint i = 0; i < m->kept->len; i++)
    for (int to = 0; to < m->n; to++) {
      Kept *k = g_new0(Kept, 1);
      *k = (Kept){report_copy(m->kept->pdata[i]), to};
      /* before the new leader has acted, as it does, and after */
      after(m, chance(m, 0.5) ? between(m, 0, 0.3) : between(m, 0.3, 4), kept_arrives, k);
    }
  g_ptr_array_set_size(m->kept, 0);
}

static void report_arrives(Sim *m, gpointer p) {
  Hello *h = p;
  Ctl *c = &m->ctl[h->ctl];
  if (waits_for_frozen(m, h->ctl, report_arrives, h))
    return;
  if (c->core && c->gen == h->gen) {
    guint64 id = ++m->next_req;
    g_hash_table_insert(m->requests, g_memdup2(&id, sizeof id), h->req);
    gint64 began = core_begins(m);
    c->v->report(c->core, ctl_now(m, h->ctl), (FkRequest){id}, h->report);
    core_ends(m, began);
    drain(m, h->ctl);
  } else {
    fk_report_free(h->report);
    g_free(h->req);
  }
  g_free(h);
}

void report_sent(Sim *m, gpointer p) {
  Worker *w = p;
  if (w->gone || !w->up || w->inflight)
    return;
  if (hung(m, w)) {
    after(m, (w->hung - m->now) / 1e6 + 0.03, report_sent, w);
    return;
  }
  check_lease(m, w);
  w->inflight = ++m->next_serial;
  next_in(m, w, w->inflight, 5, TRUE); /* no answer within 4 s: the next, 1 s later */
  Ctl *c = &m->ctl[w->home];
  if (!c->core || m->now < w->mute)
    return;
  Hello *h = g_new0(Hello, 1);
  Req *r = g_new0(Req, 1);
  *r = (Req){0, w, {m->now}, w->inflight, w->model.session, NULL, 0};
  *h = (Hello){(int)w->home, c->gen, fk_worker_model_report(&w->model), r};
  for (guint copies = 3; copies && chance(m, copies_now(m)); copies--)
    after(m, once_more_after(m), copy_arrives, report_copy(h->report));
  if (m->now < m->keep_until && m->kept->len < KEPT_MAX && chance(m, m->keep))
    g_ptr_array_add(m->kept, report_copy(h->report));
  /* a cut may hold a report back and deliver it late */
  double d = apart(m, ctl_zone((int)w->home), w->model.zone) ? until_healed(m)
             : m->now < c->cut_workers                       ? (c->cut_workers - m->now) / 1e6 + 0.01
             : chance(m, m->plan.late)                       ? between(m, 1, 20)
                                                             : 0.002;
  after(m, d, report_arrives, h);
}

void reply_arrives(Sim *m, gpointer p) {
  Reply *r = p;
  Worker *w = r->w;
  if (!w->gone && !hung(m, w) && m->now >= w->deaf && w->inflight == r->req.report &&
      m->now - r->req.sent.us < 4000000) {
    check_lease(m, w);
    if (w->inflight == r->req.report) {
      guint64 report = w->inflight = ++m->next_serial; /* answered: its time can't run out any more */
      if (r->status == 200) {
        const FkWorkerHooks hooks = hooks_of(m);
        fk_worker_model_answered(&w->model, &hooks, r->req.session, r->req.sent.us, r->token, r->orders);
        next_in(m, w, report, m->s->report_s * between(m, 0.2, 1.25), FALSE);
      } else if (r->status == 421 && r->to >= 0 && r->to != (int)w->home) {
        w->home = (guint)r->to;
        next_in(m, w, report, 0.2, FALSE);
      } else {
        next_in(m, w, report, 1, TRUE);
      }
    }
  }
  if (r->orders)
    g_ptr_array_unref(r->orders);
  g_free(r);
}

static void boots(Sim *m, gpointer p) {
  Worker *w = p;
  if (w->gone)
    return;
  w->up = TRUE;
  w->model.lease_base = m->now;
  report_sent(m, w);
}

Worker *new_worker(Sim *m, const char *zone, gboolean spot, double boot) {
  Worker *w = g_new0(Worker, 1);
  g_autofree char *id = g_strdup_printf("i-%06" G_GUINT64_FORMAT, ++m->next_machine);
  fk_worker_model_init(&w->model, id, id, "box8", zone, spot, BOX_CPUS);
  w->home = (guint)g_rand_int_range(m->rand, 0, m->n);
  w->born = m->now;
  w->sick = m->plan.deaths && chance(m, 0.1);
  g_ptr_array_add(m->workers, w);
  g_hash_table_insert(m->by_id, w->model.id, w);
  if (boot < 0.6 || !chance(m, m->plan.stillborn))
    after(m, boot, boots, w);
  return w;
}

static void restarted(Sim *m, gpointer p) {
  Worker *w = p;
  if (w->gone)
    return;
  w->up = TRUE;
  w->model.session = 1;
  w->model.seq = w->model.token = w->inflight = 0;
  w->home = (guint)g_rand_int_range(m->rand, 0, m->n); /* it knows of nobody's claim */
  w->model.lease_base = m->now;
  report_sent(m, w);
}

void reboot(Sim *m, Worker *w) {
  if (w->gone || !w->up)
    return;
  g_debug("WORLD %.3f %s begins anew", m->now / 1e6, w->model.id);
  wipe(m, w);
  w->up = FALSE;
  w->life++;
  w->inflight = ++m->next_serial; /* no answer counts any more */
  after(m, between(m, 0.05, 0.5), restarted, w);
}
