/* The state service, after PROTOCOL. */
#include <string.h>

#include "lab/check_txn.h"
#include "lab/sim.h"
#include "wire/store.h"

void item_free(gpointer p) {
  Item *i = p;
  g_free(i->value);
  g_free(i);
}

void change_free(gpointer p) {
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

void expire_holds(Sim *m) {
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

static GPtrArray *changes_after(Sim *m, const FkVersion *v, guint64 after_rev) {
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)v->event_free);
  guint first = m->history->len;
  while (first && ((Change *)m->history->pdata[first - 1])->stamp > after_rev)
    first--;
  for (guint i = first; i < m->history->len; i++) {
    Change *c = m->history->pdata[i];
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

static FkOutcome commit(Sim *m, const FkVersion *v, const FkOut *o, FkRev *epoch, GPtrArray *failed) {
  g_autofree char *unguarded = check_txn(o);
  if (unguarded)
    broken(m, "unguarded", unguarded);
  for (guint i = 0; i < o->guards->len; i++) {
    const FkGuard *g = &g_array_index(o->guards, FkGuard, i);
    Item *it = g_hash_table_lookup(m->store, g->path);
    if ((it ? it->stamp : 0) != g->rev.n)
      g_ptr_array_add(failed, g_strdup(g->path));
  }
  if (over_limits(m, v, o))
    return FK_INVALID;
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
      g_autoptr(cJSON) j = v->record_to_json(w->record);
      Item *it = g_new0(Item, 1);
      *it = (Item){fk_json_print(j), m->epoch, w->hold.n};
      record_change(m, w->path, it->value);
      g_hash_table_replace(m->store, g_strdup(w->path), it);
      if (w->record->kind == FK_KEY_LEADER)
        kept_reports_come(m);
    } else if (g_hash_table_remove(m->store, w->path)) {
      record_change(m, w->path, NULL);
    }
  }
  *epoch = (FkRev){m->epoch};
  return FK_OK;
}

gboolean refused(Sim *m, int ctl) { return m->now < m->outage || m->now < m->refused_until[ctl]; }

static void watch_answer(Sim *m, Call *c) {
  answer(c, FK_OK, (FkRev){m->epoch}, changes_after(m, c->v, c->out->rev.n), FALSE, NULL);
}

void notify(Sim *m) {
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

/* The store's budgets, with bursts of one second's worth. */
static gboolean within_budget(Sim *m, const FkOut *o) {
  double s = (m->now - m->filled) / 1e6;
  guint writes = o->kind == FK_OUT_COMMIT ? o->writes->len : 0;
  m->filled = m->now;
  m->tokens = MIN(m->s->state_rps, m->tokens + s * m->s->state_rps);
  gboolean fallen = m->plan.limits_at > 0 && m->now >= (gint64)(m->plan.limits_at * 1e6);
  double rate = fallen ? m->s->next_write_rps : m->s->state_write_rps;
  m->write_tokens = MIN(rate, m->write_tokens + s * rate);
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
double once_more_after(Sim *m) { return between(m, 1, 2.5 * m->s->lease_s); }

/* A transaction that was carried out comes once more, or one that got no answer is carried out now. */
static void commit_repeated(Sim *m, gpointer p) {
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  FkRev epoch;
  if (m->now < m->outage) { /* nothing is carried out in an outage */
    after(m, (double)(m->outage - m->now) / 1e6 + 0.01, commit_repeated, p);
    return;
  }
  expire_holds(m);
  commit(m, ((Call *)p)->v, ((Call *)p)->out, &epoch, failed);
  notify(m);
}

void store_handles(Sim *m, gpointer p) {
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
    if (o->writes->len && m->now < m->late_writes_until && chance(m, m->late_writes)) {
      after(m, between(m, 2, 12), commit_repeated, c); /* no answer, and carried out after newer ones */
      break;
    }
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    FkOutcome r = commit(m, c->v, o, &epoch, failed);
    if (m->now < m->lost_answers_until && touches(o, m->lost_of) && chance(m, m->lost_answers))
      g_ptr_array_unref(failed); /* others see what it wrote; its sender is told nothing */
    else
      answer(c, r, epoch, failed, FALSE, NULL);
    if (o->writes->len && chance(m, copies_now(m)))
      after(m, once_more_after(m), commit_repeated, c);
    break;
  }
  case FK_OUT_GET: {
    Item *it = g_hash_table_lookup(m->store, o->path);
    GPtrArray *one = g_ptr_array_new_with_free_func((GDestroyNotify)c->v->event_free);
    if (it) {
      FkEvent *e = c->v->event(o->path, it->value, it->stamp);
      if (e)
        g_ptr_array_add(one, e);
    }
    answer(c, it ? FK_OK : FK_GONE, epoch, one, FALSE, NULL);
    break;
  }
  case FK_OUT_LIST: {
    GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)c->v->event_free);
    g_autoptr(GList) keys = g_list_sort(g_hash_table_get_keys(m->store), (GCompareFunc)g_strcmp0);
    gboolean more = FALSE;
    for (GList *l = keys; l && !more; l = l->next) {
      if (!g_str_has_prefix(l->data, o->path) || g_strcmp0(l->data, o->after) <= 0)
        continue;
      Item *it = g_hash_table_lookup(m->store, l->data);
      FkEvent *e = c->v->event(l->data, it->value, it->stamp);
      if (e)
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
