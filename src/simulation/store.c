/* The state service, after PROTOCOL. */
#include <string.h>

#include "simulation/check_transaction.h"
#include "simulation/simulation_internal.h"
#include "wire/store.h"

static GPtrArray *changes_after(Sim *m, const FkVersion *v, const FkOutput *o) {
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)v->store_event_free);
  g_autoptr(GPtrArray) changes = fk_store_model_changes(m->store, o->path, o->rev.n);
  for (guint i = 0; i < changes->len; i++) {
    const FkStoreChange *c = changes->pdata[i];
    FkStoreEvent *e = v->parse_event(c->path, c->value, c->revision);
    g_assert_true(e || v != &fk_version_present);
    if (e)
      g_ptr_array_add(events, e);
  }
  return events;
}

gsize sim_store_value_bytes_max(const Sim *m) {
  gboolean fallen = m->plan.limits_reduced_at_s > 0 && m->now >= (gint64)(m->plan.limits_reduced_at_s * 1e6);
  return (gsize)(1024 * (fallen ? m->settings->value_kb : m->settings->current_value_kb));
}

guint sim_store_txn_ops_max(const Sim *m) {
  gboolean fallen = m->plan.limits_reduced_at_s > 0 && m->now >= (gint64)(m->plan.limits_reduced_at_s * 1e6);
  return fallen || !m->plan.initial_txn_ops ? m->settings->transaction_ops_max : m->plan.initial_txn_ops;
}

/* Refused for its size, whatever the guards say. */
static gboolean exceeds_limits(Sim *m, const FkVersion *v, const FkOutput *o) {
  gboolean over = o->writes->len > sim_store_txn_ops_max(m) || o->guards->len > 4 * sim_store_txn_ops_max(m);
  for (guint i = 0; i < o->writes->len && !over; i++) {
    const FkWrite *w = &g_array_index(o->writes, FkWrite, i);
    g_autoptr(cJSON) j = w->record ? v->record_to_json(w->record) : NULL;
    g_autofree char *text = j ? fk_json_print(j) : NULL;
    over = text && strlen(text) > sim_store_value_bytes_max(m);
    if (over)
      g_message("WORLD %.3f %s has %zu bytes", m->now / 1e6, w->path, strlen(text));
  }
  m->result.oversized_transactions += over && v == &fk_version_present;
  return over;
}

/* What the controller's transaction is to the store; the values are printed by its version's codec. */
static FkStoreOutcome apply(Sim *m, const FkVersion *v, const FkOutput *o, GPtrArray *failed) {
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
    FkStoreWrite write = {w->path, j ? fk_json_print(j) : NULL, w->lease.n};
    g_ptr_array_add(values, (gpointer)write.value);
    g_array_append_val(writes, write);
  }
  return fk_store_model_commit(m->store, guards, writes, failed);
}

static gboolean writes_leader_key(const FkOutput *o) {
  for (guint i = 0; i < o->writes->len; i++) {
    const FkRecord *r = g_array_index(o->writes, FkWrite, i).record;
    if (r && r->kind == FK_KEY_LEADER)
      return TRUE;
  }
  return FALSE;
}

static FkOutcome commit(Sim *m, const FkVersion *v, const FkOutput *o, FkRev *epoch, GPtrArray *failed) {
  g_autofree char *missing_guard = sim_check_transaction(v, o);
  if (missing_guard)
    sim_violation(m, "unguarded", missing_guard);
  if (exceeds_limits(m, v, o))
    return FK_OUTCOME_INVALID;
  FkStoreOutcome r = apply(m, v, o, failed);
  if (r == FK_STORE_LEASE_NOT_FOUND)
    return FK_OUTCOME_INVALID;
  *epoch = (FkRev){fk_store_model_revision(m->store)};
  if (r == FK_STORE_CONFLICT)
    return FK_OUTCOME_CONFLICT;
  if (writes_leader_key(o))
    sim_release_stale_heartbeats(m);
  return FK_OUTCOME_OK;
}

gboolean sim_store_refuses(Sim *m, int ctl) {
  return m->now < m->outage_until || m->now < m->store_refusal_until[ctl];
}

static void watch_answer(Sim *m, SimCall *c) {
  sim_call_reply(c, FK_OUTCOME_OK, (FkRev){fk_store_model_revision(m->store)}, changes_after(m, c->v, c->out),
                 FALSE, NULL);
}

void sim_store_notify_watches(Sim *m) {
  for (guint i = 0; i < m->watches->len;) {
    SimCall *c = m->watches->pdata[i];
    if (!sim_store_refuses(m, c->ctl) && fk_store_model_revision(m->store) > c->out->rev.n) {
      g_ptr_array_remove_index_fast(m->watches, i);
      watch_answer(m, c);
    } else {
      i++;
    }
  }
}

/* What it would change lies below the prefix. */
static gboolean touches(const FkOutput *o, const char *prefix) {
  for (guint i = 0; i < o->writes->len; i++)
    if (!prefix || g_str_has_prefix(g_array_index(o->writes, FkWrite, i).path, prefix))
      return TRUE;
  return FALSE;
}

static void watch_timed_out(Sim *m, gpointer p) {
  if (g_ptr_array_remove_fast(m->watches, p) && !sim_store_refuses(m, ((SimCall *)p)->ctl))
    watch_answer(m, p);
}

/* The store's budgets; FALSE: refused. */
static gboolean within_rate_limit(Sim *m, const FkOutput *o) {
  guint writes = o->kind == FK_OUTPUT_COMMIT ? o->writes->len : 0;
  gboolean fallen = m->plan.limits_reduced_at_s > 0 && m->now >= (gint64)(m->plan.limits_reduced_at_s * 1e6);
  double write_rate = fallen ? m->settings->next_store_write_rps : m->settings->store_write_rps;
  if (m->plan.rate_limited &&
      !fk_store_rate_limit_take(&m->rate_limit, m->now, m->settings->store_rps, write_rate, writes)) {
    m->result.refused++;
    return FALSE;
  }
  m->result.requests++;
  m->result.writes += writes;
  if (m->machines_lost_at) {
    m->result.recovery.requests++;
    m->result.recovery.writes += writes;
  }
  return TRUE;
}

/* When a copy of what was sent arrives. */
double sim_duplicate_delay_s(Sim *m) { return sim_uniform(m, 1, 2.5 * m->settings->worker_lease_s); }

/* A transaction that was carried out comes once more, or one that got no answer is carried out now. */
static void repeat_commit(Sim *m, gpointer p) {
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  FkRev epoch;
  if (m->now < m->outage_until) { /* nothing is carried out in an outage */
    sim_schedule(m, (double)(m->outage_until - m->now) / 1e6 + 0.01, repeat_commit, p);
    return;
  }
  fk_store_model_expire_leases(m->store, m->now);
  commit(m, ((SimCall *)p)->v, ((SimCall *)p)->out, &epoch, failed);
  sim_store_notify_watches(m);
}

static void handle_commit(Sim *m, SimCall *c) {
  const FkOutput *o = c->out;
  if (o->writes->len && m->now < m->late_writes_until && sim_chance(m, m->late_writes_share)) {
    sim_schedule(m, sim_uniform(m, 2, 12), repeat_commit,
                 c); /* no answer, and carried out after newer ones */
    return;
  }
  FkRev epoch = {fk_store_model_revision(m->store)};
  GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
  FkOutcome r = commit(m, c->v, o, &epoch, failed);
  if (m->now < m->lost_replies_until && touches(o, m->lost_replies_prefix) &&
      sim_chance(m, m->lost_replies_share))
    g_ptr_array_unref(failed); /* others see what it wrote; its sender is told nothing */
  else
    sim_call_reply(c, r, epoch, failed, FALSE, NULL);
  if (o->writes->len && sim_chance(m, sim_duplicate_share(m)))
    sim_schedule(m, sim_duplicate_delay_s(m), repeat_commit, c);
}

static void add_item(GPtrArray *events, const FkVersion *v, const FkStoreItem *item) {
  FkStoreEvent *e = v->parse_event(item->path, item->value, item->revision);
  if (e)
    g_ptr_array_add(events, e);
}

static void handle_get(Sim *m, SimCall *c) {
  const FkStoreItem *item = fk_store_model_get(m->store, c->out->path);
  GPtrArray *one = g_ptr_array_new_with_free_func((GDestroyNotify)c->v->store_event_free);
  if (item)
    add_item(one, c->v, item);
  sim_call_reply(c, item ? FK_OUTCOME_OK : FK_OUTCOME_GONE, (FkRev){fk_store_model_revision(m->store)}, one,
                 FALSE, NULL);
}

#define LIST_PAGE_SMALL 7 /* small pages: many of them */
#define LIST_PAGE_LARGE 200

static void handle_list(Sim *m, SimCall *c) {
  gboolean more;
  g_autoptr(GPtrArray) items =
      fk_store_model_list(m->store, c->out->path, c->out->after,
                          m->plan.up > 50 ? LIST_PAGE_LARGE : LIST_PAGE_SMALL, G_MAXSIZE, &more);
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)c->v->store_event_free);
  for (guint i = 0; i < items->len; i++)
    add_item(events, c->v, items->pdata[i]);
  sim_call_reply(c, FK_OUTCOME_OK, (FkRev){fk_store_model_revision(m->store)}, events, more, NULL);
}

static void handle_watch(Sim *m, SimCall *c) {
  if (fk_store_model_revision(m->store) > c->out->rev.n || c->out->seconds <= 0) {
    watch_answer(m, c);
    return;
  }
  g_ptr_array_add(m->watches, c);
  sim_schedule(m, c->out->seconds, watch_timed_out, c);
}

void sim_store_handle(Sim *m, gpointer p) {
  SimCall *c = p;
  FkRev epoch = {fk_store_model_revision(m->store)};
  if (sim_store_refuses(m, c->ctl) || !within_rate_limit(m, c->out)) {
    sim_call_reply(c, FK_OUTCOME_REFUSED, epoch, NULL, FALSE, NULL);
    return;
  }
  fk_store_model_expire_leases(m->store, m->now);
  switch (c->out->kind) {
  case FK_OUTPUT_COMMIT:
    handle_commit(m, c);
    break;
  case FK_OUTPUT_GET:
    handle_get(m, c);
    break;
  case FK_OUTPUT_LIST:
    handle_list(m, c);
    break;
  case FK_OUTPUT_WATCH:
    handle_watch(m, c);
    break;
  case FK_OUTPUT_LEASE_GRANT:
    epoch.n = fk_store_model_grant_lease(m->store, m->now, c->out->seconds);
    sim_call_reply(c, FK_OUTCOME_OK, epoch, NULL, FALSE, NULL);
    break;
  default: {
    gboolean held = fk_store_model_keep_alive(m->store, m->now, c->out->rev.n);
    sim_call_reply(c, held ? FK_OUTCOME_OK : FK_OUTCOME_GONE, epoch, NULL, FALSE, NULL);
  }
  }
  sim_store_notify_watches(m);
}
