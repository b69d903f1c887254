/* The state service, after PROTOCOL. */
#include <string.h>

#include "simulation/check_transaction.h"
#include "simulation/simulation_internal.h"
#include "wire/store.h"

static GPtrArray *changes_after(Sim *m, const FkVersion *v, const FkOut *o) {
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)v->event_free);
  g_autoptr(GPtrArray) changes = fk_store_model_changes(m->store, o->path, o->rev.n);
  for (guint i = 0; i < changes->len; i++) {
    const FkStoreChange *c = changes->pdata[i];
    FkEvent *e = v->event(c->path, c->value, c->stamp);
    g_assert_true(e || v != &fk_version_present);
    if (e)
      g_ptr_array_add(events, e);
  }
  return events;
}

gsize value_most(const Sim *m) {
  gboolean fallen = m->plan.limits_at > 0 && m->now >= (gint64)(m->plan.limits_at * 1e6);
  return (gsize)(1024 * (fallen ? m->s->value_kb : m->s->now_value_kb));
}

guint ops_most(const Sim *m) {
  gboolean fallen = m->plan.limits_at > 0 && m->now >= (gint64)(m->plan.limits_at * 1e6);
  return fallen || !m->plan.now_txn_ops ? m->s->txn_ops : m->plan.now_txn_ops;
}

/* Refused for its size, whatever the guards say. */
static gboolean over_limits(Sim *m, const FkVersion *v, const FkOut *o) {
  gboolean over = o->writes->len > ops_most(m) || o->guards->len > 4 * ops_most(m);
  for (guint i = 0; i < o->writes->len && !over; i++) {
    const FkWrite *w = &g_array_index(o->writes, FkWrite, i);
    g_autoptr(cJSON) j = w->record ? v->record_to_json(w->record) : NULL;
    g_autofree char *text = j ? fk_json_print(j) : NULL;
    over = text && strlen(text) > value_most(m);
    if (over)
      g_message("WORLD %.3f %s has %zu bytes", m->now / 1e6, w->path, strlen(text));
  }
  m->r.over_limits += over && v == &fk_version_present;
  return over;
}

/* What the controller's transaction is to the store; the values are printed by its version's codec. */
static FkStoreOutcome apply(Sim *m, const FkVersion *v, const FkOut *o, GPtrArray *failed) {
  g_autoptr(GArray) guards = g_array_new(FALSE, FALSE, sizeof(FkStoreGuard)),
                    writes = g_array_new(FALSE, FALSE, sizeof(FkStoreWrite));
  g_autoptr(GPtrArray) values = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < o->guards->len; i++) {
    const FkGuard *g = &g_array_index(o->guards, FkGuard, i);
    FkStoreGuard guard = {g->path, g->rev.n};
    g_array_append_val(guards, guard);
  }
  for (guint i = 0; i < o->writes->len; i++) {
    const FkWrite *w = &g_array_index(o->writes, FkWrite, i);
    g_autoptr(cJSON) j = w->record ? v->record_to_json(w->record) : NULL;
    FkStoreWrite write = {w->path, j ? fk_json_print(j) : NULL, w->hold.n};
    g_ptr_array_add(values, (gpointer)write.value);
    g_array_append_val(writes, write);
  }
  return fk_store_model_commit(m->store, guards, writes, failed);
}

static gboolean names_leader(const FkOut *o) {
  for (guint i = 0; i < o->writes->len; i++) {
    const FkRecord *r = g_array_index(o->writes, FkWrite, i).record;
    if (r && r->kind == FK_KEY_LEADER)
      return TRUE;
  }
  return FALSE;
}

static FkOutcome commit(Sim *m, const FkVersion *v, const FkOut *o, FkRev *epoch, GPtrArray *failed) {
  g_autofree char *unguarded = check_txn(o);
  if (unguarded)
    broken(m, "unguarded", unguarded);
  if (over_limits(m, v, o))
    return FK_INVALID;
  FkStoreOutcome r = apply(m, v, o, failed);
  if (r == FK_STORE_NO_HOLD)
    return FK_INVALID;
  *epoch = (FkRev){fk_store_model_epoch(m->store)};
  if (r == FK_STORE_CONFLICT)
    return FK_CONFLICT;
  if (names_leader(o))
    kept_reports_come(m);
  return FK_OK;
}

gboolean refused(Sim *m, int ctl) { return m->now < m->outage || m->now < m->refused_until[ctl]; }

static void watch_answer(Sim *m, Call *c) {
  answer(c, FK_OK, (FkRev){fk_store_model_epoch(m->store)}, changes_after(m, c->v, c->out), FALSE, NULL);
}

void notify(Sim *m) {
  for (guint i = 0; i < m->watches->len;) {
    Call *c = m->watches->pdata[i];
    if (!refused(m, c->ctl) && fk_store_model_epoch(m->store) > c->out->rev.n) {
      g_ptr_array_remove_index_fast(m->watches, i);
      watch_answer(m, c);
    } else {
      i++;
    }
  }
}

/* What it would change lies below the prefix. */
static gboolean touches(const FkOut *o, const char *prefix) {
  for (guint i = 0; i < o->writes->len; i++)
    if (!prefix || g_str_has_prefix(g_array_index(o->writes, FkWrite, i).path, prefix))
      return TRUE;
  return FALSE;
}

static void watch_ends(Sim *m, gpointer p) {
  if (g_ptr_array_remove_fast(m->watches, p) && !refused(m, ((Call *)p)->ctl))
    watch_answer(m, p);
}

/* The store's budgets; FALSE: refused. */
static gboolean within_budget(Sim *m, const FkOut *o) {
  guint writes = o->kind == FK_OUT_COMMIT ? o->writes->len : 0;
  gboolean fallen = m->plan.limits_at > 0 && m->now >= (gint64)(m->plan.limits_at * 1e6);
  double write_rate = fallen ? m->s->next_write_rps : m->s->state_write_rps;
  if (m->plan.budgets && !fk_store_budget_take(&m->budget, m->now, m->s->state_rps, write_rate, writes)) {
    m->r.refused++;
    return FALSE;
  }
  m->r.requests++;
  m->r.writes += writes;
  if (m->lost_at) {
    m->r.recovery.requests++;
    m->r.recovery.writes += writes;
  }
  return TRUE;
}

/* When a copy of what was sent arrives. */
double once_more_after(Sim *m) { return between(m, 1, 2.5 * m->s->lease_s); }

/* A transaction that was carried out comes once more, or one that got no answer is carried out now. */
static void commit_repeated(Sim *m, gpointer p) {
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  FkRev epoch;
  if (m->now < m->outage) { /* nothing is carried out in an outage */
    after(m, (double)(m->outage - m->now) / 1e6 + 0.01, commit_repeated, p);
    return;
  }
  fk_store_model_expire(m->store, m->now);
  commit(m, ((Call *)p)->v, ((Call *)p)->out, &epoch, failed);
  notify(m);
}

static void handle_commit(Sim *m, Call *c) {
  const FkOut *o = c->out;
  if (o->writes->len && m->now < m->late_writes_until && chance(m, m->late_writes)) {
    after(m, between(m, 2, 12), commit_repeated, c); /* no answer, and carried out after newer ones */
    return;
  }
  FkRev epoch = {fk_store_model_epoch(m->store)};
  GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
  FkOutcome r = commit(m, c->v, o, &epoch, failed);
  if (m->now < m->lost_answers_until && touches(o, m->lost_of) && chance(m, m->lost_answers))
    g_ptr_array_unref(failed); /* others see what it wrote; its sender is told nothing */
  else
    answer(c, r, epoch, failed, FALSE, NULL);
  if (o->writes->len && chance(m, copies_now(m)))
    after(m, once_more_after(m), commit_repeated, c);
}

static void add_item(GPtrArray *events, const FkVersion *v, const FkStoreItem *item) {
  FkEvent *e = v->event(item->path, item->value, item->stamp);
  if (e)
    g_ptr_array_add(events, e);
}

static void handle_get(Sim *m, Call *c) {
  const FkStoreItem *item = fk_store_model_get(m->store, c->out->path);
  GPtrArray *one = g_ptr_array_new_with_free_func((GDestroyNotify)c->v->event_free);
  if (item)
    add_item(one, c->v, item);
  answer(c, item ? FK_OK : FK_GONE, (FkRev){fk_store_model_epoch(m->store)}, one, FALSE, NULL);
}

#define LIST_FEW 7 /* small pages: many of them */
#define LIST_MANY 200

static void handle_list(Sim *m, Call *c) {
  gboolean more;
  g_autoptr(GPtrArray) items = fk_store_model_list(m->store, c->out->path, c->out->after,
                                                   m->plan.up > 50 ? LIST_MANY : LIST_FEW, G_MAXSIZE, &more);
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)c->v->event_free);
  for (guint i = 0; i < items->len; i++)
    add_item(events, c->v, items->pdata[i]);
  answer(c, FK_OK, (FkRev){fk_store_model_epoch(m->store)}, events, more, NULL);
}

static void handle_watch(Sim *m, Call *c) {
  if (fk_store_model_epoch(m->store) > c->out->rev.n || c->out->seconds <= 0) {
    watch_answer(m, c);
    return;
  }
  g_ptr_array_add(m->watches, c);
  after(m, c->out->seconds, watch_ends, c);
}

void store_handles(Sim *m, gpointer p) {
  Call *c = p;
  FkRev epoch = {fk_store_model_epoch(m->store)};
  if (refused(m, c->ctl) || !within_budget(m, c->out)) {
    answer(c, FK_REFUSED, epoch, NULL, FALSE, NULL);
    return;
  }
  fk_store_model_expire(m->store, m->now);
  switch (c->out->kind) {
  case FK_OUT_COMMIT:
    handle_commit(m, c);
    break;
  case FK_OUT_GET:
    handle_get(m, c);
    break;
  case FK_OUT_LIST:
    handle_list(m, c);
    break;
  case FK_OUT_WATCH:
    handle_watch(m, c);
    break;
  case FK_OUT_HOLD_NEW:
    epoch.n = fk_store_model_hold(m->store, m->now, c->out->seconds);
    answer(c, FK_OK, epoch, NULL, FALSE, NULL);
    break;
  default: {
    gboolean held = fk_store_model_renew(m->store, m->now, c->out->rev.n);
    answer(c, held ? FK_OK : FK_GONE, epoch, NULL, FALSE, NULL);
  }
  }
  notify(m);
}
