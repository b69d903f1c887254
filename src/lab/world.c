#include "lab/sim.h"

#include <string.h>

#include "lab/check_view.h"
#include "wire/store.h"

static int by_time(gconstpointer a, gconstpointer b, gpointer d) {
  const Event *x = a, *y = b;
  return x->at != y->at ? (x->at < y->at ? -1 : 1) : x->order < y->order ? -1 : 1;
}

void after(Sim *m, double s, void (*fn)(Sim *, gpointer), gpointer data) {
  Event *e = g_new0(Event, 1);
  *e = (Event){m->now + (gint64)(s * 1e6), ++m->order, fn, data};
  g_sequence_insert_sorted(m->events, e, by_time, NULL);
}

gboolean chance(Sim *m, double p) { return g_rand_double(m->rand) < p; }

double between(Sim *m, double a, double b) { return g_rand_double_range(m->rand, a, b); }

void broken(Sim *m, const char *rule, const char *what) {
  if (!m->r.broken)
    m->r.broken = g_strdup_printf("%s: %s at %.3f s (seed %" G_GUINT64_FORMAT ")", rule, what, m->now / 1e6,
                                  m->plan.seed);
}

/* The steady clocks drift apart: by all that is allowed, one fast and the others slow, or each a little more
 * than the one before. */
static FkTime ctl_time(const Sim *m, int i, gint64 when) {
  double off = m->plan.clocks ? (i % 2 ? 0.0005 : -0.0005) : 0.0005 * (i - 1);
  return (FkTime){1000000 + (gint64)((double)when * (1 + off))};
}

FkTime ctl_now(Sim *m, int i) { return ctl_time(m, i, m->now); }

/* The cores' processor time is counted from here ... */
static gint64 core_begins(const Sim *m) { return m->lost_at && m->plan.clock_ns ? m->plan.clock_ns() : 0; }

/* ... to here. */
static void core_ends(Sim *m, gint64 began) {
  if (began)
    m->core_ns += m->plan.clock_ns() - began;
}

const char *ctl_zone(int i) { return i == 1 ? "south" : "north"; }

/* Store, cloud and users have no zone (NULL). */
gboolean apart(const Sim *m, const char *a, const char *b) {
  return m->now < m->cut_until && (g_strcmp0(a, m->cut_zone) == 0) != (g_strcmp0(b, m->cut_zone) == 0);
}

/* What is sent across a cut is held back, and delivered late. */
static double until_healed(const Sim *m) { return (double)(m->cut_until - m->now) / 1e6 + 0.01; }

/* ------------------------------------------------------------------ the state service */

static void item_free(gpointer p) {
  Item *i = p;
  g_free(i->value);
  g_free(i);
}

static void change_free(gpointer p) {
  Change *c = p;
  g_free(c->path);
  g_free(c->value);
  g_free(c);
}

static void record_change(Sim *m, const char *path, const char *value) {
  Change *c = g_new0(Change, 1);
  *c = (Change){g_strdup(path), value != NULL, m->epoch, g_strdup(value)};
  g_ptr_array_add(m->history, c);
}

static void expire_holds(Sim *m) {
  GHashTableIter it, kt;
  gpointer k, v, path, item;
  g_hash_table_iter_init(&it, m->holds);
  while (m->now >= m->outage && g_hash_table_iter_next(&it, &k, &v)) {
    if (((Hold *)v)->until > m->now)
      continue;
    m->epoch++;
    g_hash_table_iter_init(&kt, m->store);
    while (g_hash_table_iter_next(&kt, &path, &item))
      if (((Item *)item)->hold == *(guint64 *)k) {
        record_change(m, path, NULL);
        g_hash_table_iter_remove(&kt);
      }
    g_hash_table_iter_remove(&it);
  }
}

static GPtrArray *changes_after(Sim *m, guint64 after_rev) {
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_event_free);
  g_autoptr(GHashTable) last = g_hash_table_new(g_str_hash, g_str_equal);
  guint first = m->history->len;
  while (first && ((Change *)m->history->pdata[first - 1])->stamp > after_rev)
    first--;
  for (guint i = first; i < m->history->len; i++) {
    Change *c = m->history->pdata[i];
    FkEvent *e = g_new0(FkEvent, 1);
    e->path = g_strdup(c->path);
    e->rev.n = c->stamp;
    if (c->put) {
      g_autoptr(cJSON) j = fk_json_parse(c->value, strlen(c->value));
      e->record = fk_store_record_from_json(c->path, j);
      g_assert_nonnull(e->record);
    }
    g_ptr_array_add(events, e);
  }
  return events;
}

static FkOutcome commit(Sim *m, const FkOut *o, FkRev *epoch, GPtrArray *failed) {
  for (guint i = 0; i < o->guards->len; i++) {
    const FkGuard *g = &g_array_index(o->guards, FkGuard, i);
    Item *it = g_hash_table_lookup(m->store, g->path);
    if ((it ? it->stamp : 0) != g->rev.n)
      g_ptr_array_add(failed, g_strdup(g->path));
  }
  g_assert_cmpuint(o->writes->len, <=, m->s->txn_ops);
  g_assert_cmpuint(o->guards->len, <=, 4 * m->s->txn_ops);
  for (guint i = 0; i < o->writes->len; i++) {
    const FkWrite *w = &g_array_index(o->writes, FkWrite, i);
    if (w->record && w->hold.n && !g_hash_table_contains(m->holds, &w->hold.n))
      return FK_INVALID;
  }
  *epoch = (FkRev){m->epoch};
  if (failed->len)
    return FK_CONFLICT;
  if (!o->writes->len)
    return FK_OK;
  m->epoch++;
  for (guint i = 0; i < o->writes->len; i++) {
    const FkWrite *w = &g_array_index(o->writes, FkWrite, i);
    if (w->record) {
      g_autoptr(cJSON) j = fk_store_record_to_json(w->record);
      Item *it = g_new0(Item, 1);
      *it = (Item){fk_json_print(j), m->epoch, w->hold.n};
      g_assert_cmpuint(strlen(it->value), <=, (gsize)(m->s->value_kb * 1024));
      record_change(m, w->path, it->value);
      g_hash_table_replace(m->store, g_strdup(w->path), it);
    } else if (g_hash_table_remove(m->store, w->path)) {
      record_change(m, w->path, NULL);
    }
  }
  *epoch = (FkRev){m->epoch};
  return FK_OK;
}

/* ------------------------------------------------------------------ calls */

static gboolean refused(Sim *m, int ctl) { return m->now < m->outage || m->now < m->refused_until[ctl]; }

static gboolean alive(Call *c) {
  return !c->answered && c->sim->ctl[c->ctl].core && c->sim->ctl[c->ctl].gen == c->gen;
}

static void give_up(Sim *m, gpointer p);

/* The answer reaches the controller, unless it has given up or is gone. */
static void deliver(Call *c, FkOutcome o, FkRev epoch, GPtrArray *list, gboolean more, FkReport *report) {
  Sim *m = c->sim;
  if (!alive(c)) {
    if (list)
      g_ptr_array_unref(list);
    fk_report_free(report);
    return;
  }
  c->answered = TRUE;
  FkController *core = m->ctl[c->ctl].core;
  FkTime now = ctl_now(m, c->ctl);
  FkTime sent = ctl_time(m, c->ctl, c->sent);
  g_autoptr(GPtrArray) empty = g_ptr_array_new();
  GPtrArray *l = list ? list : empty;
  gint64 began = core_begins(m);
  switch (c->out->kind) {
  case FK_OUT_COMMIT:
    fk_controller_committed(core, now, c->out->call, o, epoch, l);
    break;
  case FK_OUT_GET: {
    FkEvent *e = NULL;
    if (o == FK_OK && l->len) {
      e = l->pdata[0];
      g_ptr_array_set_free_func(l, NULL);
    }
    fk_controller_got(core, now, c->out->call, o, e);
    break;
  }
  case FK_OUT_LIST:
    fk_controller_listed(core, now, o, l, more, epoch);
    break;
  case FK_OUT_WATCH:
    fk_controller_watched(core, now, o, l, epoch, sent);
    /* what is kept by difference must be what a full look gives; a full look takes long where there is much
     */
    if (m->order % (m->plan.up > 100 ? 97 : 11) == 0)
      check_view(fk_controller_view(core));
    break;
  case FK_OUT_HOLD_NEW:
    fk_controller_held(core, now, o, epoch, sent);
    break;
  case FK_OUT_HOLD_RENEW:
    fk_controller_renewed(core, now, o, sent);
    break;
  case FK_OUT_COMMANDS:
    fk_controller_commanded(core, now, c->out->call, o, report);
    report = NULL;
    break;
  case FK_OUT_TYPES:
    fk_controller_types(core, now, o, l);
    break;
  case FK_OUT_MACHINES:
    fk_controller_machines(core, now, o, l, more);
    break;
  case FK_OUT_RENT:
    fk_controller_rented(core, now, c->out->call, o, l);
    break;
  default:
    fk_controller_returned(core, now, c->out->call, o);
  }
  core_ends(m, began);
  fk_report_free(report);
  if (list)
    g_ptr_array_unref(list);
  drain(m, c->ctl);
}

/* What would reach a frozen controller reaches it when it goes on. Whether it is so. */
static gboolean waits_for_frozen(Sim *m, int ctl, void (*fn)(Sim *, gpointer), gpointer data) {
  if (m->now >= m->ctl[ctl].frozen)
    return FALSE;
  after(m, (double)(m->ctl[ctl].frozen - m->now) / 1e6 + 0.01, fn, data);
  return TRUE;
}

static void give_up(Sim *m, gpointer p) {
  if (!waits_for_frozen(m, ((Call *)p)->ctl, give_up, p))
    deliver(p, FK_UNKNOWN, (FkRev){0}, NULL, FALSE, NULL);
}

typedef struct {
  Call *call;
  FkOutcome o;
  FkRev epoch;
  GPtrArray *list;
  gboolean more;
  FkReport *report;
} Answer;

static void answer_arrives(Sim *m, gpointer p) {
  Answer *a = p;
  if (waits_for_frozen(m, a->call->ctl, answer_arrives, a))
    return;
  deliver(a->call, a->o, a->epoch, a->list, a->more, a->report);
  g_free(a);
}

static void answer(Call *c, FkOutcome o, FkRev epoch, GPtrArray *list, gboolean more, FkReport *report) {
  Sim *m = c->sim;
  if (chance(m, m->plan.lost)) {
    if (list)
      g_ptr_array_unref(list);
    fk_report_free(report);
    return;
  }
  Answer *a = g_new0(Answer, 1);
  *a = (Answer){c, o, epoch, list, more, report};
  const Worker *w = c->out->kind == FK_OUT_COMMANDS ? g_hash_table_lookup(m->by_id, c->out->addr) : NULL;
  double s = between(m, 0.001, 0.008);
  after(m, apart(m, ctl_zone(c->ctl), w ? w->zone : NULL) ? until_healed(m) : s, answer_arrives, a);
}

static void watch_answer(Sim *m, Call *c) {
  answer(c, FK_OK, (FkRev){m->epoch}, changes_after(m, c->out->rev.n), FALSE, NULL);
}

static void notify(Sim *m) {
  for (guint i = 0; i < m->watches->len;) {
    Call *c = m->watches->pdata[i];
    if (!refused(m, c->ctl) && m->epoch > c->out->rev.n) {
      g_ptr_array_remove_index_fast(m->watches, i);
      watch_answer(m, c);
    } else {
      i++;
    }
  }
}

static void watch_ends(Sim *m, gpointer p) {
  if (g_ptr_array_remove_fast(m->watches, p) && !refused(m, ((Call *)p)->ctl))
    watch_answer(m, p);
}

/* The store's budgets, with bursts of one second's worth. */
static gboolean within_budget(Sim *m, const FkOut *o) {
  double s = (m->now - m->filled) / 1e6;
  guint writes = o->kind == FK_OUT_COMMIT ? o->writes->len : 0;
  m->filled = m->now;
  m->tokens = MIN(m->s->state_rps, m->tokens + s * m->s->state_rps);
  m->write_tokens = MIN(m->s->state_write_rps, m->write_tokens + s * m->s->state_write_rps);
  if (m->plan.budgets && (m->tokens < 1 || (writes && m->write_tokens < writes))) {
    m->r.refused++;
    return FALSE;
  }
  m->tokens -= 1;
  m->write_tokens -= writes;
  m->r.requests++;
  m->r.writes += writes;
  if (m->lost_at) {
    m->r.recovery.requests++;
    m->r.recovery.writes += writes;
  }
  return TRUE;
}

/* When a copy of what was sent arrives. */
static double once_more_after(Sim *m) { return between(m, 1, 2.5 * m->s->lease_s); }

/* A transaction that was carried out comes once more. */
static void commit_repeated(Sim *m, gpointer p) {
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  FkRev epoch;
  expire_holds(m);
  commit(m, ((Call *)p)->out, &epoch, failed);
  notify(m);
}

static void store_handles(Sim *m, gpointer p) {
  Call *c = p;
  FkOut *o = c->out;
  FkRev epoch = {m->epoch};
  if (m->now < m->outage || m->now < m->refused_until[c->ctl] || !within_budget(m, o)) {
    answer(c, FK_REFUSED, epoch, NULL, FALSE, NULL);
    return;
  }
  expire_holds(m);
  switch (o->kind) {
  case FK_OUT_COMMIT: {
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    FkOutcome r = commit(m, o, &epoch, failed);
    answer(c, r, epoch, failed, FALSE, NULL);
    if (o->writes->len && chance(m, m->plan.copies))
      after(m, once_more_after(m), commit_repeated, c);
    break;
  }
  case FK_OUT_GET: {
    Item *it = g_hash_table_lookup(m->store, o->path);
    GPtrArray *one = g_ptr_array_new_with_free_func((GDestroyNotify)fk_event_free);
    if (it) {
      g_autoptr(cJSON) j = fk_json_parse(it->value, strlen(it->value));
      FkEvent *e = g_new0(FkEvent, 1);
      *e = (FkEvent){g_strdup(o->path), fk_store_record_from_json(o->path, j), {it->stamp}};
      g_ptr_array_add(one, e);
    }
    answer(c, it ? FK_OK : FK_GONE, epoch, one, FALSE, NULL);
    break;
  }
  case FK_OUT_LIST: {
    GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_event_free);
    g_autoptr(GList) keys = g_list_sort(g_hash_table_get_keys(m->store), (GCompareFunc)g_strcmp0);
    gboolean more = FALSE;
    for (GList *l = keys; l && !more; l = l->next) {
      if (!g_str_has_prefix(l->data, o->path) || g_strcmp0(l->data, o->after) <= 0)
        continue;
      Item *it = g_hash_table_lookup(m->store, l->data);
      g_autoptr(cJSON) j = fk_json_parse(it->value, strlen(it->value));
      FkEvent *e = g_new0(FkEvent, 1);
      *e = (FkEvent){g_strdup(l->data), fk_store_record_from_json(l->data, j), {it->stamp}};
      g_ptr_array_add(events, e);
      more = events->len >= (m->plan.up > 50 ? 200 : 7); /* small pages: many of them */
    }
    answer(c, FK_OK, epoch, events, more, NULL);
    break;
  }
  case FK_OUT_WATCH:
    if (m->epoch > o->rev.n || o->seconds <= 0) {
      watch_answer(m, c);
    } else {
      g_ptr_array_add(m->watches, c);
      after(m, o->seconds, watch_ends, c);
    }
    break;
  case FK_OUT_HOLD_NEW: {
    Hold *h = g_new0(Hold, 1);
    *h = (Hold){m->now + (gint64)(o->seconds * 1e6), o->seconds};
    epoch.n = ++m->next_hold;
    g_hash_table_insert(m->holds, g_memdup2(&epoch.n, sizeof epoch.n), h);
    answer(c, FK_OK, epoch, NULL, FALSE, NULL);
    break;
  }
  default: {
    Hold *h = g_hash_table_lookup(m->holds, &o->rev.n);
    if (h)
      h->until = m->now + (gint64)(h->ttl * 1e6);
    answer(c, h ? FK_OK : FK_GONE, epoch, NULL, FALSE, NULL);
  }
  }
  notify(m);
}

/* ------------------------------------------------------------------ workers */

static void wtask_free(gpointer p) {
  WTask *t = p;
  g_free(t->job);
  g_free(t);
}

static void worker_free(gpointer p) {
  Worker *w = p;
  g_free(w->id);
  g_free(w->type);
  g_free(w->zone);
  g_ptr_array_unref(w->tasks);
  g_free(w);
}

static char *truth_key(const WTask *t) { return g_strdup_printf("%s/%u", t->job, t->task); }

static void leaves(Sim *m, Worker *w, WTask *t) {
  if (!t->on)
    return;
  t->on = FALSE;
  g_autofree char *key = truth_key(t);
  if (g_hash_table_lookup(m->truth, key) == w)
    g_hash_table_remove(m->truth, key);
}

static void wipe(Sim *m, Worker *w) {
  g_debug("WORLD %.3f %s wiped", m->now / 1e6, w->id);
  for (guint i = 0; i < w->tasks->len; i++)
    leaves(m, w, w->tasks->pdata[i]);
  g_ptr_array_set_size(w->tasks, 0);
}

/* It is no more, and nothing that ran there. */
void lose(Sim *m, Worker *w) {
  wipe(m, w);
  w->gone = TRUE;
}

static gboolean hung(Sim *m, const Worker *w) { return m->now < w->hung; }

static FkReport *report_of(Worker *w) {
  FkReport *r = fk_report_new();
  r->machine = g_strdup(w->id);
  r->addr = g_strdup(w->id);
  r->type = g_strdup(w->type);
  r->zone = g_strdup(w->zone);
  r->spot = w->spot;
  r->session = w->session;
  r->seq = ++w->seq;
  r->token.n = w->token;
  for (guint i = 0; i < w->tasks->len; i++) {
    WTask *t = w->tasks->pdata[i];
    FkTaskReport *tr = g_new0(FkTaskReport, 1);
    *tr = (FkTaskReport){g_strdup(t->job), t->task, {t->attempt}, t->state, t->why};
    g_ptr_array_add(r->tasks, tr);
  }
  return r;
}

typedef struct {
  Worker *w;
  guint64 serial;
  int step;
} Step;

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

static void check_start(Sim *m, Worker *w, WTask *t) {
  g_debug("WORLD %.3f %s/%u try %" G_GUINT64_FORMAT " starts on %s session %" G_GUINT64_FORMAT
          " token %" G_GUINT64_FORMAT,
          m->now / 1e6, t->job, t->task, t->attempt, w->id, w->session, w->token);
  UJob *j = job_of(m, t->job);
  g_autofree char *key = truth_key(t);
  if (g_hash_table_contains(m->truth, key))
    broken(m, "ran_twice", key);
  if ((w->spot && !j->spot) || (j->zone && !g_str_equal(j->zone, w->zone)))
    broken(m, "wrong_place", key);
  double used = j->cpus;
  guint same = 1;
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *o = m->workers->pdata[i];
    for (guint k = 0; k < o->tasks->len; k++) {
      WTask *x = o->tasks->pdata[k];
      if (!x->on)
        continue;
      UJob *xj = job_of(m, x->job);
      if (g_str_equal(xj->team, j->team))
        used += xj->cpus;
      if (xj == j) {
        if (j->one_zone && !g_str_equal(o->zone, w->zone))
          broken(m, "wrong_place", key);
        same += g_str_equal(o->zone, w->zone);
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
  WTask *t = NULL;
  for (guint i = 0; !w->gone && i < w->tasks->len; i++)
    if (((WTask *)w->tasks->pdata[i])->serial == s->serial)
      t = w->tasks->pdata[i];
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
  leaves(m, w, t);
  t->state = FK_TASK_EXITED;
  t->why = fails ? FK_WHY_ERROR : FK_WHY_DONE;
  if (t->why == FK_WHY_DONE) {
    j->finished[t->task] = 1;
    m->r.finished++;
  }
  g_free(s);
}

static void execute(Sim *m, Worker *w, GPtrArray *orders) {
  for (guint i = 0; orders && i < orders->len; i++) {
    FkOrder *o = orders->pdata[i];
    WTask *t = NULL;
    gboolean other = FALSE;
    double used = 0;
    for (guint k = 0; k < w->tasks->len; k++) {
      WTask *x = w->tasks->pdata[k];
      if (g_str_equal(x->job, o->job) && x->task == o->task) {
        if (x->attempt == o->attempt.n)
          t = x;
        else if (x->state != FK_TASK_EXITED)
          other = TRUE;
      }
      if (x->state != FK_TASK_EXITED)
        used += job_of(m, x->job)->cpus;
    }
    if (o->op == FK_ORDER_START && !t) {
      UJob *j = job_of(m, o->job);
      t = g_new0(WTask, 1);
      *t = (WTask){g_strdup(o->job), o->task,          o->attempt.n, FK_TASK_FETCHING,
                   FK_WHY_NONE,      ++m->next_serial, FALSE};
      if (used + j->cpus > 8 + 1e-6 || other) {
        t->state = FK_TASK_EXITED;
        t->why = other ? FK_WHY_BUSY : FK_WHY_FULL;
      } else {
        Step *s = g_new0(Step, 1);
        *s = (Step){w, t->serial, 0};
        after(m, between(m, 0.1, 3), step, s);
      }
      g_ptr_array_add(w->tasks, t);
    } else if (o->op == FK_ORDER_STOP && t && t->state != FK_TASK_EXITED) {
      leaves(m, w, t);
      t->state = FK_TASK_EXITED;
      t->why = FK_WHY_STOPPED;
    } else if (o->op == FK_ORDER_FORGET && t && t->state == FK_TASK_EXITED) {
      g_ptr_array_remove(w->tasks, t);
    }
  }
}

static Worker *worker_of(Sim *m, const char *id) { return g_hash_table_lookup(m->by_id, id); }

static void check_lease(Sim *m, Worker *w) {
  if (m->now - w->lease_base > (gint64)(m->s->lease_s * 1e6)) {
    m->r.lapsed += w->tasks->len > 0;
    wipe(m, w);
    g_debug("WORLD %.3f %s session %" G_GUINT64_FORMAT " is over", m->now / 1e6, w->id, w->session);
    w->session++;
    w->lease_base = m->now;
  }
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
  gboolean ok = c->out->token.n >= w->token && c->out->session == w->session;
  if (ok) {
    w->token = c->out->token.n;
    execute(m, w, c->out->orders);
  }
  return ok;
}

static void command_repeated(Sim *m, gpointer p) { take_command(m, p, command_repeated); }

static void worker_commanded(Sim *m, gpointer p) {
  Call *c = p;
  int ok = take_command(m, c, worker_commanded);
  if (ok < 0)
    return;
  answer(c, ok ? FK_OK : FK_CONFLICT, (FkRev){0}, NULL, FALSE, report_of(worker_of(m, c->out->addr)));
  if (chance(m, m->plan.copies))
    after(m, once_more_after(m), command_repeated, c);
}

static void report_sent(Sim *m, gpointer p);

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
  fk_controller_report(m->ctl[i].core, ctl_now(m, i), (FkRequest){++m->next_req}, report);
  drain(m, i);
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
    fk_controller_report(c->core, ctl_now(m, h->ctl), (FkRequest){id}, h->report);
    core_ends(m, began);
    drain(m, h->ctl);
  } else {
    fk_report_free(h->report);
    g_free(h->req);
  }
  g_free(h);
}

static void report_sent(Sim *m, gpointer p) {
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
  if (!c->core)
    return;
  Hello *h = g_new0(Hello, 1);
  Req *r = g_new0(Req, 1);
  *r = (Req){0, w, {m->now}, w->inflight, w->session, NULL, 0};
  *h = (Hello){(int)w->home, c->gen, report_of(w), r};
  for (guint copies = 3; copies && chance(m, m->plan.copies); copies--)
    after(m, once_more_after(m), copy_arrives, report_copy(h->report));
  /* a cut may hold a report back and deliver it late */
  double d = apart(m, ctl_zone((int)w->home), w->zone) ? until_healed(m)
             : m->now < c->cut_workers                 ? (c->cut_workers - m->now) / 1e6 + 0.01
             : chance(m, m->plan.late)                 ? between(m, 1, 20)
                                                       : 0.002;
  after(m, d, report_arrives, h);
}

typedef struct {
  Worker *w;
  Req req;
  int status;
  FkToken token;
  GPtrArray *orders;
  int to;
} Reply;

static void reply_arrives(Sim *m, gpointer p) {
  Reply *r = p;
  Worker *w = r->w;
  if (!w->gone && !hung(m, w) && m->now >= w->deaf && w->inflight == r->req.report &&
      m->now - r->req.sent.us < 4000000) {
    check_lease(m, w);
    if (w->inflight == r->req.report) {
      guint64 report = w->inflight = ++m->next_serial; /* answered: its time can't run out any more */
      if (r->status == 200) {
        if (r->token.n >= w->token && r->req.session == w->session) {
          w->token = r->token.n;
          w->lease_base = r->req.sent.us;
          execute(m, w, r->orders);
        }
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

/* ------------------------------------------------------------------ the cloud */

static void boots(Sim *m, gpointer p) {
  Worker *w = p;
  if (w->gone)
    return;
  w->up = TRUE;
  w->lease_base = m->now;
  report_sent(m, w);
}

static Worker *new_worker(Sim *m, const char *zone, gboolean spot, double boot) {
  Worker *w = g_new0(Worker, 1);
  w->id = g_strdup_printf("i-%06" G_GUINT64_FORMAT, ++m->next_machine);
  w->type = g_strdup("box8");
  w->zone = g_strdup(zone);
  w->spot = spot;
  w->session = 1;
  w->tasks = g_ptr_array_new_with_free_func(wtask_free);
  w->home = (guint)g_rand_int_range(m->rand, 0, m->n);
  w->born = m->now;
  w->sick = m->plan.deaths && chance(m, 0.1);
  g_ptr_array_add(m->workers, w);
  g_hash_table_insert(m->by_id, w->id, w);
  if (boot < 0.6 || !chance(m, m->plan.stillborn))
    after(m, boot, boots, w);
  return w;
}

/* Something runs there, or is to; ended attempts may stay in its reports for long. */
static gboolean at_work(const Worker *w) {
  for (guint i = 0; i < w->tasks->len; i++)
    if (((WTask *)w->tasks->pdata[i])->state != FK_TASK_EXITED)
      return TRUE;
  return FALSE;
}

static void cloud_handles(Sim *m, gpointer p) {
  Call *c = p;
  FkOut *o = c->out;
  switch (o->kind) {
  case FK_OUT_TYPES: {
    GPtrArray *types = g_ptr_array_new();
    FkType *t = g_new0(FkType, 1);
    *t = (FkType){g_strdup("box8"), 8, 0, 32, 1, 0.4, 0.1, 5, g_strsplit("north,south", ",", 0)};
    g_ptr_array_add(types, t);
    if (!alive(c)) {
      fk_type_free(t);
      g_ptr_array_unref(types);
    } else {
      deliver(c, FK_OK, (FkRev){0}, types, FALSE, NULL);
    }
    break;
  }
  case FK_OUT_RENT: {
    m->r.recovery.rents += m->lost_at > 0;
    GPtrArray *names = g_hash_table_lookup(m->hires, o->name);
    if (!names) {
      guint here = 0;
      for (guint i = 0; i < m->workers->len; i++)
        here += !((Worker *)m->workers->pdata[i])->gone;
      if (here >= MAX(m->plan.machines, m->plan.up)) {
        answer(c, FK_CONFLICT, (FkRev){0}, NULL, FALSE, NULL);
        return;
      }
      names = g_ptr_array_new_with_free_func(g_free);
      for (guint i = 0; i < o->count && here + i < MAX(m->plan.machines, m->plan.up); i++)
        g_ptr_array_add(names, g_strdup(new_worker(m, o->zone, o->spot, between(m, 1, 8))->id));
      g_hash_table_insert(m->hires, g_strdup(o->name), names);
    }
    answer(c, FK_OK, (FkRev){0}, g_ptr_array_ref(names), FALSE, NULL);
    break;
  }
  case FK_OUT_RETURN:
    m->r.recovery.returns += m->lost_at > 0;
    for (guint i = 0; i < o->names->len; i++) {
      Worker *w = worker_of(m, o->names->pdata[i]);
      if (w && !w->gone) {
        /* what runs there runs well, and is lost for nothing */
        m->r.sick += w->up && !w->sick && !m->plan.deaths && !m->plan.hangs && at_work(w);
        lose(m, w);
      }
    }
    answer(c, FK_OK, (FkRev){0}, NULL, FALSE, NULL);
    break;
  default: {
    GPtrArray *list = g_ptr_array_new_with_free_func(fk_listed_free);
    for (guint i = 0; i < m->workers->len; i++) {
      Worker *w = m->workers->pdata[i];
      if (w->gone || m->now - w->born < 4000000)
        continue; /* the list lags */
      FkListed *l = g_new0(FkListed, 1);
      *l = (FkListed){
          g_strdup(w->id),         g_strdup(w->id), g_strdup(w->type),
          g_strdup(w->zone),       w->spot,         w->up ? FK_MACHINE_RUNNING : FK_MACHINE_BOOTING,
          (m->now - w->born) / 1e6};
      g_ptr_array_add(list, l);
    }
    answer(c, FK_OK, (FkRev){0}, list, FALSE, NULL);
  }
  }
}

static FkSettings *named[N_MAX];

/* Controllers ask each other what they have seen of the store. */
static void peer_asked(Sim *m, gpointer p) {
  Call *c = p;
  int to = c->out->name[2] - '0';
  FkRev seen, applied;
  double age_s;
  if (!alive(c) || !m->ctl[to].core || apart(m, ctl_zone(c->ctl), ctl_zone(to)) || chance(m, m->plan.lost) ||
      m->now < m->peers_refuse_until || m->now < MAX(m->ctl[to].cut_peers, m->ctl[c->ctl].cut_peers) ||
      m->now < m->ctl[to].frozen || m->now < m->ctl[c->ctl].frozen)
    return;
  const char *life = fk_controller_seen(m->ctl[to].core, ctl_now(m, to), &seen, &applied, &age_s);
  c->answered = TRUE;
  fk_controller_peer(m->ctl[c->ctl].core, ctl_now(m, c->ctl), c->out->name, life, seen, applied, age_s,
                     ctl_time(m, c->ctl, c->sent));
  drain(m, c->ctl);
}

/* ------------------------------------------------------------------ controllers and troubles */

static void to_store(Sim *m, int i, Call *c) {
  double d = between(m, 0.001, 0.006) * (m->now < m->slow_until ? 15 : 1) + c->out->delay_s;
  if (apart(m, ctl_zone(i), NULL))
    d = until_healed(m);
  else if (m->now < m->ctl[i].cut_state)
    d = (m->ctl[i].cut_state - m->now) / 1e6 + 0.01; /* held back, and delivered late */
  else if (c->out->kind == FK_OUT_COMMIT && chance(m, m->plan.late))
    d = between(m, 1, 40);
  after(m, d, store_handles, c);
  double deadline = c->out->kind == FK_OUT_WATCH ? c->out->delay_s + c->out->seconds + 3 : DEADLINE_S;
  after(m, deadline, give_up, c);
}

void drain(Sim *m, int i) {
  FkOut *o;
  while (m->ctl[i].core && (o = fk_controller_next(m->ctl[i].core))) {
    Call *c = g_new0(Call, 1);
    *c = (Call){m, i, m->ctl[i].gen, o, FALSE, m->now};
    if (o->kind == FK_OUT_WATCH)
      c->sent = m->now + (gint64)(o->delay_s * 1e6);
    g_ptr_array_add(m->calls, c);
    switch (o->kind) {
    case FK_OUT_ANSWER:
    case FK_OUT_REPLY: {
      gpointer k, v;
      if (!g_hash_table_steal_extended(m->requests, &o->request.n, &k, &v))
        break;
      g_free(k);
      Req *req = v;
      if (req->user) {
        if (!apart(m, ctl_zone(i), NULL))
          user_told(m, req, o);
      } else if (!chance(m, m->plan.lost) && m->now >= m->ctl[i].cut_workers &&
                 !apart(m, ctl_zone(i), req->w->zone)) {
        Reply *r = g_new0(Reply, 1);
        *r = (Reply){req->w, *req, o->status, o->token, o->orders ? g_ptr_array_ref(o->orders) : NULL, -1};
        for (int n = 0; o->report_to && n < m->n; n++) {
          g_autofree char *name = g_strdup_printf("c-%d", n);
          if (g_str_equal(name, o->report_to))
            r->to = n;
        }
        after(m, chance(m, m->plan.late) ? between(m, 0.5, 6) : 0.002, reply_arrives, r);
      }
      g_free(req);
      break;
    }
    case FK_OUT_COMMANDS: {
      const Worker *w = g_hash_table_lookup(m->by_id, o->addr);
      c->life = w ? w->life : 0;
      double d = w && apart(m, ctl_zone(i), w->zone) ? until_healed(m)
                 : m->now < m->ctl[i].cut_workers    ? (m->ctl[i].cut_workers - m->now) / 1e6 + 0.01
                 : chance(m, m->plan.late)           ? between(m, 1, 30)
                                                     : 0.002;
      after(m, d, worker_commanded, c);
      after(m, DEADLINE_S, give_up, c);
      break;
    }
    case FK_OUT_PEER:
      after(m, between(m, 0.001, 0.3), peer_asked, c);
      break;
    case FK_OUT_TYPES:
    case FK_OUT_RENT:
    case FK_OUT_RETURN:
    case FK_OUT_MACHINES:
      after(m,
            apart(m, ctl_zone(i), NULL) ? until_healed(m)
            : chance(m, m->plan.late)   ? between(m, 1, 20)
                                        : 0.1,
            cloud_handles, c);
      after(m, 4, give_up, c);
      break;
    default:
      to_store(m, i, c);
    }
  }
}

static void start(Sim *m, gpointer p) {
  int i = GPOINTER_TO_INT(p);
  Ctl *c = &m->ctl[i];
  g_autofree char *life = g_strdup_printf("life%u", ++c->starts);
  c->core = fk_controller_new(named[i], life, (guint32)g_rand_int(m->rand), ctl_now(m, i));
}

static void ends_again(Sim *m, gpointer p) { crash(m, GPOINTER_TO_INT(p)); }

void crash(Sim *m, int i) {
  Ctl *c = &m->ctl[i];
  if (!c->core)
    return;
  fk_controller_free(c->core);
  c->core = NULL;
  c->frozen = 0;
  c->gen++;
  double s = m->plan.quick ? between(m, 0.05, 0.5) : 3;
  after(m, s, start, GINT_TO_POINTER(i));
  if (m->plan.quick && chance(m, 0.3))
    after(m, s + between(m, 0.05, 8), ends_again, GINT_TO_POINTER(i));
}

static void restarted(Sim *m, gpointer p) {
  Worker *w = p;
  if (w->gone)
    return;
  w->up = TRUE;
  w->session = 1;
  w->seq = w->token = w->inflight = 0;
  w->lease_base = m->now;
  report_sent(m, w);
}

void reboot(Sim *m, Worker *w) {
  if (w->gone || !w->up)
    return;
  g_debug("WORLD %.3f %s begins anew", m->now / 1e6, w->id);
  wipe(m, w);
  w->up = FALSE;
  w->life++;
  w->inflight = ++m->next_serial; /* no answer counts any more */
  after(m, between(m, 0.05, 0.5), restarted, w);
}

static void tick(Sim *m, gpointer p) {
  int i = GPOINTER_TO_INT(p);
  if (m->ctl[i].core && m->now >= m->ctl[i].frozen) {
    gint64 began = core_begins(m);
    fk_controller_tick(m->ctl[i].core, ctl_now(m, i), m->now + 5000000);
    core_ends(m, began);
    drain(m, i);
  }
  after(m, 0.1, tick, p);
}

static void world_tick(Sim *m, gpointer p) {
  expire_holds(m);
  notify(m);
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *w = m->workers->pdata[i];
    if (w->gone || !w->up)
      continue;
    check_lease(m, w); /* a hanging machine may resume within its lease, not after */
    for (guint k = 0; k < w->tasks->len; k++) {
      WTask *t = w->tasks->pdata[k];
      UJob *j = job_of(m, t->job);
      if (t->on && j->told_cancelled && m->now > j->cancelled_at + (gint64)(m->s->cancel_s * 1e6) &&
          !hung(m, w))
        broken(m, "ran_cancelled", t->job);
    }
  }
  users_tick(m);
  after(m, 0.2, world_tick, NULL);
}

SimResult sim_run(const FkSettings *s, const SimPlan *plan) {
  Sim *m = g_new0(Sim, 1);
  m->s = s;
  m->plan = *plan;
  m->n = plan->controllers ? (int)plan->controllers : 3;
  m->rand = g_rand_new_with_seed((guint32)plan->seed);
  m->events = g_sequence_new(g_free);
  m->store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, item_free);
  m->holds = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  m->hires = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  m->history = g_ptr_array_new_with_free_func(change_free);
  m->workers = g_ptr_array_new_with_free_func(worker_free);
  m->jobs = g_ptr_array_new_with_free_func(ujob_free);
  m->by_id = g_hash_table_new(g_str_hash, g_str_equal);
  m->job_by_id = g_hash_table_new(g_str_hash, g_str_equal);
  m->calls = g_ptr_array_new();
  m->watches = g_ptr_array_new();
  m->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  m->truth = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < m->n; i++) {
    named[i] = fk_settings_new();
    named[i]->node = g_strdup_printf("c-%d", i);
    named[i]->zone = g_strdup(ctl_zone(i));
    for (int k = 0; k < m->n; k++)
      if (k != i) {
        FkPeer *p = g_new0(FkPeer, 1);
        *p = (FkPeer){g_strdup_printf("c-%d", k), g_strdup(ctl_zone(k)), g_strdup("127.0.0.1:1")};
        g_ptr_array_add(named[i]->peers, p);
      }
    for (guint t = 0; t < s->teams->len; t++) {
      FkTeam *team = g_memdup2(s->teams->pdata[t], sizeof(FkTeam));
      team->name = g_strdup(team->name);
      g_ptr_array_add(named[i]->teams, team);
    }
    g_ptr_array_add(named[i]->zones, g_strdup("north"));
    g_ptr_array_add(named[i]->zones, g_strdup("south"));
    named[i]->report_s = s->report_s;
    named[i]->lease_s = s->lease_s;
    named[i]->cancel_s = s->cancel_s;
    named[i]->tuning.tell_after_s = s->tuning.tell_after_s;
    named[i]->state_rps = s->state_rps;
    named[i]->state_write_rps = s->state_write_rps;
    named[i]->value_kb = s->value_kb;
    named[i]->txn_ops = s->txn_ops;
    named[i]->cloud_rps = s->cloud_rps;
    named[i]->list_lag_s = s->list_lag_s;
    start(m, GINT_TO_POINTER(i));
    after(m, 0.01 * i, tick, GINT_TO_POINTER(i));
  }
  for (guint i = 0; i < MAX(3, plan->up); i++)
    new_worker(m, i % 3 ? "north" : "south", i % 3 == 2, 0.5);
  after(m, 1, world_tick, NULL);
  if (plan->services) {
    submit_services(m);
    after(m, plan->loss_at, lose_a_share, NULL);
  } else {
    after(m, 1, user_submits, NULL);
    if (plan->guests)
      after(m, 15, guests_come, NULL);
    if (plan->large)
      after(m, 15, large_ones_come, NULL);
    after(m, 20, trouble, NULL);
  }
  while (m->now < (gint64)(plan->seconds * 1e6) && !m->r.broken && !m->over) {
    GSequenceIter *it = g_sequence_get_begin_iter(m->events);
    Event e = *(Event *)g_sequence_get(it);
    g_sequence_remove(it);
    m->now = e.at;
    e.fn(m, e.data);
  }
  for (guint i = 0; i < m->jobs->len; i++) {
    UJob *j = m->jobs->pdata[i];
    m->r.done += j->told_done;
    m->r.cancelled += j->told_cancelled;
    if (j->accepted && j->shape != FK_SHAPE_SERVICE && !j->told_done && !j->asked_cancel) {
      m->r.unfinished++;
      g_message("unfinished: %s shape %d tasks %u", j->id, j->shape, j->tasks);
    }
  }
  m->r.worst_class = worst_class(m);
  SimResult r = m->r;
  for (int i = 0; i < m->n; i++) {
    fk_controller_free(m->ctl[i].core);
    fk_settings_free(named[i]);
  }
  for (guint i = 0; i < m->calls->len; i++) {
    fk_out_free(((Call *)m->calls->pdata[i])->out);
    g_free(m->calls->pdata[i]);
  }
  g_ptr_array_unref(m->calls);
  g_ptr_array_unref(m->watches);
  g_sequence_free(m->events);
  g_hash_table_unref(m->requests);
  g_hash_table_unref(m->truth);
  g_hash_table_unref(m->store);
  g_hash_table_unref(m->holds);
  g_hash_table_unref(m->hires);
  g_ptr_array_unref(m->history);
  g_hash_table_unref(m->by_id);
  g_hash_table_unref(m->job_by_id);
  g_ptr_array_unref(m->workers);
  g_ptr_array_unref(m->jobs);
  g_rand_free(m->rand);
  g_free(m);
  return r;
}
