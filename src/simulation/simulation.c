#include "simulation/simulation_internal.h"

#include <math.h>
#include <string.h>

#include "simulation/check_view.h"

/* An agenda's functions know nothing of the world. */
typedef struct {
  void (*fn)(Sim *, gpointer);
  gpointer data;
} Planned;

static void happens(gpointer sim, gpointer data) {
  Planned planned = *(Planned *)data;
  g_free(data);
  planned.fn(sim, planned.data);
}

void after(Sim *m, double s, void (*fn)(Sim *, gpointer), gpointer data) {
  Planned *planned = g_new0(Planned, 1);
  *planned = (Planned){fn, data};
  m->order++;
  fk_agenda_add(m->agenda, m->now + (gint64)(s * 1e6), happens, planned);
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
FkTime ctl_time(const Sim *m, int i, gint64 when) {
  double off = m->plan.clocks ? (i % 2 ? 0.0005 : -0.0005) : 0.0005 * (i - 1);
  return (FkTime){1000000 + (gint64)((double)when * (1 + off))};
}

FkTime ctl_now(Sim *m, int i) { return ctl_time(m, i, m->now); }

/* The cores' processor time is counted from here ... */
gint64 core_begins(const Sim *m) { return m->lost_at && m->plan.clock_ns ? m->plan.clock_ns() : 0; }

/* ... to here. */
void core_ends(Sim *m, gint64 began) {
  if (began)
    m->core_ns += m->plan.clock_ns() - began;
}

const char *ctl_zone(int i) { return i == 1 ? "south" : "north"; }

/* Store, cloud and users have no zone (NULL). */
gboolean apart(const Sim *m, const char *a, const char *b) {
  return m->now < m->cut_until && (g_strcmp0(a, m->cut_zone) == 0) != (g_strcmp0(b, m->cut_zone) == 0);
}

/* What is sent across a cut is held back, and delivered late. */
double until_healed(const Sim *m) { return (double)(m->cut_until - m->now) / 1e6 + 0.01; }

/* ------------------------------------------------------------------ calls */

gboolean alive(Call *c) {
  return !c->answered && c->sim->ctl[c->ctl].core && c->sim->ctl[c->ctl].gen == c->gen;
}

static void give_up(Sim *m, gpointer p);

/* The answer reaches the controller, unless it has given up or is gone. */
void deliver(Call *c, FkOutcome o, FkRev epoch, GPtrArray *list, gboolean more, FkReport *report) {
  Sim *m = c->sim;
  if (!alive(c)) {
    if (list)
      g_ptr_array_unref(list);
    fk_report_free(report);
    return;
  }
  c->answered = TRUE;
  FkController *core = m->ctl[c->ctl].core;
  const FkVersion *v = c->v;
  FkTime now = ctl_now(m, c->ctl);
  FkTime sent = ctl_time(m, c->ctl, c->sent);
  g_autoptr(GPtrArray) empty = g_ptr_array_new();
  GPtrArray *l = list ? list : empty;
  gint64 began = core_begins(m);
  switch (c->out->kind) {
  case FK_OUT_COMMIT:
    v->committed(core, now, c->out->call, o, epoch, l);
    break;
  case FK_OUT_GET: {
    FkEvent *e = NULL;
    if (o == FK_OK && l->len) {
      e = l->pdata[0];
      g_ptr_array_set_free_func(l, NULL);
    }
    v->got(core, now, c->out->call, o, e);
    break;
  }
  case FK_OUT_LIST:
    v->listed(core, now, o, l, more, epoch);
    break;
  case FK_OUT_WATCH:
    v->watched(core, now, o, l, epoch, sent);
    /* what is kept by difference must be what a full look gives; a full look takes long where there is much
     */
    if (v == &fk_version_present && m->order % (m->plan.up > 100 ? 97 : 11) == 0)
      check_view(fk_controller_view(core));
    break;
  case FK_OUT_HOLD_NEW:
    v->held(core, now, o, epoch, sent);
    break;
  case FK_OUT_HOLD_RENEW:
    v->renewed(core, now, o, sent);
    break;
  case FK_OUT_COMMANDS:
    v->commanded(core, now, c->out->call, o, report);
    report = NULL;
    break;
  case FK_OUT_TYPES:
    v->types(core, now, o, l);
    break;
  case FK_OUT_MACHINES:
    v->machines(core, now, o, l, more);
    break;
  case FK_OUT_RENT:
    v->rented(core, now, c->out->call, o, l);
    break;
  default:
    v->returned(core, now, c->out->call, o);
  }
  core_ends(m, began);
  fk_report_free(report);
  if (list)
    g_ptr_array_unref(list);
  drain(m, c->ctl);
}

/* What would reach a frozen controller reaches it when it goes on. Whether it is so. */
gboolean waits_for_frozen(Sim *m, int ctl, void (*fn)(Sim *, gpointer), gpointer data) {
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

void answer(Call *c, FkOutcome o, FkRev epoch, GPtrArray *list, gboolean more, FkReport *report) {
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
  after(m, apart(m, ctl_zone(c->ctl), w ? w->model.zone : NULL) ? until_healed(m) : s, answer_arrives, a);
}

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
  const char *life = m->ctl[to].v->seen(m->ctl[to].core, ctl_now(m, to), &seen, &applied, &age_s);
  c->answered = TRUE;
  c->v->peer(m->ctl[c->ctl].core, ctl_now(m, c->ctl), c->out->name, life, seen, applied, age_s,
             ctl_time(m, c->ctl, c->sent));
  drain(m, c->ctl);
}

/* ------------------------------------------------------------------ controllers and troubles */

static void to_store(Sim *m, int i, Call *c) {
  if (c->out->kind == FK_OUT_COMMIT)
    c->v->sent(m->ctl[i].core, ctl_now(m, i), c->out->call);
  double d = between(m, 0.001, 0.006) * (m->now < m->slow_until ? m->slow : 1) + c->out->delay_s;
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
  while (m->ctl[i].core && (o = m->ctl[i].v->next(m->ctl[i].core))) {
    if (m->plan.sent)
      m->plan.sent(m->plan.sent_data, m->now, i, m->ctl[i].v, o);
    Call *c = g_new0(Call, 1);
    *c = (Call){m, i, m->ctl[i].gen, o, FALSE, m->now, .v = m->ctl[i].v};
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
                 !apart(m, ctl_zone(i), req->w->model.zone)) {
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
      double d = w && apart(m, ctl_zone(i), w->model.zone) ? until_healed(m)
                 : m->now < m->ctl[i].cut_workers          ? (m->ctl[i].cut_workers - m->now) / 1e6 + 0.01
                 : chance(m, m->plan.late)                 ? between(m, 1, 30)
                 : m->now < m->held_until && chance(m, m->held) ? between(m, 1, 15)
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

/* When it is killed to come back with the present version. */
static gint64 upgraded_at(const Sim *m, int i) {
  return (gint64)((m->plan.roll_at + i * m->plan.roll_every_s) * 1e6);
}

static cJSON *peer_json(int i) {
  cJSON *o = cJSON_CreateObject();
  g_autofree char *name = g_strdup_printf("c-%d", i);
  cJSON_AddStringToObject(o, "node", name);
  cJSON_AddStringToObject(o, "site", ctl_zone(i));
  return o;
}

/* What the platform hands a controller, whatever its version. */
static char *settings_text(const Sim *m, int i) {
  const FkSettings *s = m->s;
  g_autoptr(cJSON) o = peer_json(i);
  cJSON_AddStringToObject(o, "serve_on", "127.0.0.1:8080");
  cJSON_AddStringToObject(o, "mesh_addr", "127.0.0.1:8081");
  cJSON *seeds = cJSON_AddArrayToObject(o, "seeds"), *out = cJSON_AddObjectToObject(o, "outside"),
        *d = cJSON_AddObjectToObject(o, "deployment"), *zones = cJSON_AddArrayToObject(d, "zones"),
        *teams = cJSON_AddArrayToObject(d, "teams"), *w = cJSON_AddObjectToObject(d, "workers"),
        *st = cJSON_AddObjectToObject(d, "state"), *cl = cJSON_AddObjectToObject(d, "cloud");
  for (int k = 0; k < m->n; k++)
    if (k != i) {
      cJSON *p = peer_json(k);
      cJSON_AddStringToObject(p, "peer_addr", "127.0.0.1:1");
      cJSON_AddItemToArray(seeds, p);
    }
  cJSON_AddStringToObject(out, "cloud", "127.0.0.1:2");
  cJSON_AddStringToObject(out, "state", "127.0.0.1:3");
  cJSON_AddItemToArray(zones, cJSON_CreateString("north"));
  cJSON_AddItemToArray(zones, cJSON_CreateString("south"));
  for (guint t = 0; t < s->teams->len; t++) {
    const FkTeam *team = s->teams->pdata[t];
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, "name", team->name);
    cJSON_AddNumberToObject(j, "cpus", team->cpus);
    cJSON_AddNumberToObject(j, "cpus_max", isfinite(team->cpus_max) ? team->cpus_max : 0);
    cJSON_AddNumberToObject(j, "gpus", team->gpus);
    cJSON_AddNumberToObject(j, "gpus_max", isfinite(team->gpus_max) ? team->gpus_max : 0);
    cJSON_AddItemToArray(teams, j);
  }
  cJSON_AddNumberToObject(w, "report_s", s->report_s);
  cJSON_AddNumberToObject(w, "lease_s", s->lease_s);
  cJSON_AddNumberToObject(w, "cancel_s", s->cancel_s);
  cJSON_AddNumberToObject(st, "rps", s->state_rps);
  cJSON_AddNumberToObject(st, "write_rps", s->state_write_rps);
  cJSON_AddNumberToObject(st, "value_kb", s->now_value_kb);
  cJSON_AddNumberToObject(st, "txn_ops", m->plan.now_txn_ops ? m->plan.now_txn_ops : s->txn_ops);
  cJSON *next = cJSON_AddObjectToObject(st, "next");
  cJSON_AddNumberToObject(next, "write_rps", s->next_write_rps);
  cJSON_AddNumberToObject(next, "value_kb", s->value_kb);
  cJSON_AddNumberToObject(next, "txn_ops", s->txn_ops);
  cJSON_AddBoolToObject(next, "not_known_yet", TRUE);
  cJSON_AddNumberToObject(cl, "rps", s->cloud_rps);
  cJSON_AddNumberToObject(cl, "list_lag_s", s->list_lag_s);
  return fk_json_print(o);
}

static void start(Sim *m, gpointer p) {
  int i = GPOINTER_TO_INT(p);
  Ctl *c = &m->ctl[i];
  g_autofree char *life = g_strdup_printf("life%u", ++c->starts);
  c->v = m->plan.before && m->now < upgraded_at(m, i) ? m->plan.before : &fk_version_present;
  g_clear_pointer(&c->settings, c->settings_free);
  g_autofree char *text = settings_text(m, i),
                  *wishes = g_strdup_printf("{\"tell_after_s\":%g}", m->s->tuning.tell_after_s);
  c->settings = c->v->settings(text, wishes);
  c->settings_free = c->v->settings_free;
  g_assert_nonnull(c->settings);
  c->core = c->v->start(c->settings, life, (guint32)g_rand_int(m->rand), ctl_now(m, i));
}

static void ends_again(Sim *m, gpointer p) { crash(m, GPOINTER_TO_INT(p)); }

void crash(Sim *m, int i) {
  Ctl *c = &m->ctl[i];
  if (!c->core)
    return;
  c->v->free(c->core);
  c->core = NULL;
  c->frozen = 0;
  c->gen++;
  double s = m->plan.quick ? between(m, 0.05, 0.5) : 3;
  after(m, s, start, GINT_TO_POINTER(i));
  if (m->plan.quick && chance(m, 0.3))
    after(m, s + between(m, 0.05, 8), ends_again, GINT_TO_POINTER(i));
}

static void tick(Sim *m, gpointer p) {
  int i = GPOINTER_TO_INT(p);
  if (m->ctl[i].core && m->now >= m->ctl[i].frozen) {
    gint64 began = core_begins(m);
    m->ctl[i].v->tick(m->ctl[i].core, ctl_now(m, i), m->now + 5000000);
    core_ends(m, began);
    drain(m, i);
  }
  after(m, 0.1, tick, p);
}

static void world_tick(Sim *m, gpointer p) {
  if (m->now >= m->outage)
    fk_store_model_expire(m->store, m->now);
  notify(m);
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *w = m->workers->pdata[i];
    if (w->gone || !w->up)
      continue;
    check_lease(m, w); /* a hanging machine may resume within its lease, not after */
    for (guint k = 0; k < w->model.tasks->len; k++) {
      FkWorkerTask *t = w->model.tasks->pdata[k];
      UJob *j = job_of(m, t->job);
      if (t->on && j->told_cancelled)
        m->r.gone_s = MAX(m->r.gone_s, (double)(m->now - j->cancelled_at) / 1e6);
      if (t->on && j->told_cancelled && m->now > j->cancelled_at + (gint64)(m->s->cancel_s * 1e6) &&
          !hung(m, w))
        broken(m, "ran_cancelled", t->job);
    }
  }
  users_tick(m);
  after(m, 0.2, world_tick, NULL);
}

static guint keys_below(const Sim *m, const char *prefix) {
  gboolean more;
  g_autoptr(GPtrArray) keys = fk_store_model_list(m->store, prefix, NULL, G_MAXUINT, G_MAXSIZE, &more);
  return keys->len;
}

static void sim_free(Sim *m) {
  for (int i = 0; i < m->n; i++) {
    if (m->ctl[i].core)
      m->ctl[i].v->free(m->ctl[i].core);
    g_clear_pointer(&m->ctl[i].settings, m->ctl[i].settings_free);
  }
  for (guint i = 0; i < m->calls->len; i++) {
    Call *call = m->calls->pdata[i];
    call->v->out_free(call->out);
    g_free(call);
  }
  g_ptr_array_unref(m->calls);
  g_ptr_array_unref(m->watches);
  fk_agenda_free(m->agenda);
  g_hash_table_unref(m->requests);
  g_hash_table_unref(m->truth);
  fk_store_model_free(m->store);
  g_hash_table_unref(m->hires);
  g_ptr_array_unref(m->kept);
  g_hash_table_unref(m->by_id);
  g_hash_table_unref(m->job_by_id);
  g_ptr_array_unref(m->workers);
  g_ptr_array_unref(m->jobs);
  g_rand_free(m->rand);
  g_free(m);
}

SimResult sim_run(const FkSettings *s, const SimPlan *plan) {
  Sim *m = g_new0(Sim, 1);
  m->s = s;
  m->plan = *plan;
  m->n = plan->controllers ? (int)plan->controllers : 3;
  m->rand = g_rand_new_with_seed((guint32)plan->seed);
  m->agenda = fk_agenda_new(m);
  m->store = fk_store_model_new(0);
  m->hires = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  m->kept = g_ptr_array_new_with_free_func((GDestroyNotify)fk_report_free);
  m->workers = g_ptr_array_new_with_free_func(worker_free);
  m->jobs = g_ptr_array_new_with_free_func(ujob_free);
  m->by_id = g_hash_table_new(g_str_hash, g_str_equal);
  m->job_by_id = g_hash_table_new(g_str_hash, g_str_equal);
  m->calls = g_ptr_array_new();
  m->watches = g_ptr_array_new();
  m->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  m->truth = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < m->n; i++) {
    start(m, GINT_TO_POINTER(i));
    after(m, 0.01 * i, tick, GINT_TO_POINTER(i));
    if (plan->before)
      after(m, (double)upgraded_at(m, i) / 1e6, ends_again, GINT_TO_POINTER(i));
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
    if (plan->chains > 0)
      after(m, MAX(5, plan->chains_from), pipelines_come, NULL);
    if (plan->deep || plan->fan)
      after(m, MAX(5, plan->chains_from), deep_ones_come, NULL);
    if (plan->tiny > 0)
      after(m, 15, tiny_ones_come, NULL);
    if (plan->n_faults)
      faults_plan(m);
    else
      after(m, 20, trouble, NULL);
  }
  while (m->now < (gint64)(plan->seconds * 1e6) && !m->r.broken && !m->over) {
    m->now = fk_agenda_next(m->agenda);
    fk_agenda_run_next(m->agenda);
  }
  for (guint i = 0; i < m->jobs->len; i++) {
    UJob *j = m->jobs->pdata[i];
    m->r.done += j->told_done;
    m->r.cancelled += j->told_cancelled;
    m->r.chained += j->needs && j->told_done;
    m->r.withdrawn += j->needs && j->told_cancelled && !j->asked_cancel;
    if (j->accepted && j->shape != FK_SHAPE_SERVICE && !j->told_done && !called_off(j)) {
      m->r.unfinished++;
      g_message("unfinished: %s shape %d tasks %u", j->id, j->shape, j->tasks);
    }
  }
  m->r.worst_class = worst_class(m);
  m->r.live_jobs = keys_below(m, "fk/l/j/");
  m->r.live_keys = keys_below(m, "fk/l/");
  SimResult r = m->r;
  sim_free(m);
  return r;
}
