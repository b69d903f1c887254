/* The store: the model with the delays, refusals and duplicates of the plan. */
#include <string.h>

#include "simulation/check_transaction.h"
#include "simulation/simulation_internal.h"
#include "wire/store.h"

static GPtrArray *changes_after(Sim *sim, const FkVersion *v, const FkOutput *o) {
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)v->store_event_free);
  g_autoptr(GPtrArray) changes = fk_store_model_changes(sim->store, o->path, o->rev.n);
  for (guint i = 0; i < changes->len; i++) {
    const FkStoreChange *c = changes->pdata[i];
    FkStoreEvent *e = v->parse_event(c->path, c->value, c->revision);
    g_assert_true(e || v != &fk_version_present);
    if (e)
      g_ptr_array_add(events, e);
  }
  return events;
}

gsize sim_store_value_bytes_max(const Sim *sim) {
  gboolean fallen =
      sim->plan.limits_reduced_at_s > 0 && sim->now >= (gint64)(sim->plan.limits_reduced_at_s * 1e6);
  return (gsize)(1024 * (fallen ? sim->settings->value_kb : sim->settings->current_value_limit_kb));
}

guint sim_store_txn_ops_max(const Sim *sim) {
  gboolean fallen =
      sim->plan.limits_reduced_at_s > 0 && sim->now >= (gint64)(sim->plan.limits_reduced_at_s * 1e6);
  return fallen || !sim->plan.initial_txn_ops ? sim->settings->transaction_ops_max
                                              : sim->plan.initial_txn_ops;
}

/* Refused for its size, whatever the guards say. */
static gboolean exceeds_limits(Sim *sim, const FkVersion *v, const FkOutput *o) {
  gboolean over =
      o->writes->len > sim_store_txn_ops_max(sim) || o->guards->len > 4 * sim_store_txn_ops_max(sim);
  for (guint i = 0; i < o->writes->len && !over; i++) {
    const FkWrite *w = &g_array_index(o->writes, FkWrite, i);
    g_autoptr(cJSON) j = w->record ? v->record_to_json(w->record) : NULL;
    g_autofree char *text = j ? fk_json_print(j) : NULL;
    over = text && strlen(text) > sim_store_value_bytes_max(sim);
    if (over)
      g_message("WORLD %.3f %s has %zu bytes", sim->now / 1e6, w->path, strlen(text));
  }
  sim->result.oversized_transactions += over && v == &fk_version_present;
  return over;
}

/* What the controller's transaction is to the store; the values are printed by its version's codec. */
static FkStoreOutcome apply(Sim *sim, const FkVersion *v, const FkOutput *o, GPtrArray *failed) {
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
  return fk_store_model_commit(sim->store, guards, writes, failed);
}

static gboolean writes_leader_key(const FkOutput *o) {
  for (guint i = 0; i < o->writes->len; i++) {
    const FkRecord *r = g_array_index(o->writes, FkWrite, i).record;
    if (r && r->kind == FK_STORE_KEY_LEADER)
      return TRUE;
  }
  return FALSE;
}

static FkOutcome commit(Sim *sim, const FkVersion *v, const FkOutput *o, FkRev *epoch, GPtrArray *failed) {
  g_autofree char *missing_guard = sim_check_transaction(v, o);
  if (missing_guard)
    sim_violation(sim, "unguarded", missing_guard);
  if (exceeds_limits(sim, v, o))
    return FK_OUTCOME_INVALID;
  FkStoreOutcome r = apply(sim, v, o, failed);
  if (r == FK_STORE_LEASE_NOT_FOUND)
    return FK_OUTCOME_INVALID;
  *epoch = (FkRev){fk_store_model_revision(sim->store)};
  if (r == FK_STORE_CONFLICT)
    return FK_OUTCOME_CONFLICT;
  if (writes_leader_key(o))
    sim_release_stale_heartbeats(sim);
  return FK_OUTCOME_OK;
}

gboolean sim_store_refuses(Sim *sim, int controller) {
  return sim->now < sim->outage_until || sim->now < sim->store_refusal_until[controller];
}

static void watch_answer(Sim *sim, SimCall *c) {
  sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_OK,
                                .epoch = (FkRev){fk_store_model_revision(sim->store)},
                                .list = changes_after(sim, c->version, c->output)});
}

void sim_store_notify_watches(Sim *sim) {
  for (guint i = 0; i < sim->watches->len;) {
    SimCall *c = sim->watches->pdata[i];
    if (!sim_store_refuses(sim, c->controller) && fk_store_model_revision(sim->store) > c->output->rev.n) {
      g_ptr_array_remove_index_fast(sim->watches, i);
      watch_answer(sim, c);
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

static void watch_timed_out(Sim *sim, gpointer p) {
  if (g_ptr_array_remove_fast(sim->watches, p) && !sim_store_refuses(sim, ((SimCall *)p)->controller))
    watch_answer(sim, p);
}

/* The store's budgets; FALSE: refused. */
static gboolean within_rate_limit(Sim *sim, const FkOutput *o) {
  guint writes = o->kind == FK_OUTPUT_COMMIT ? o->writes->len : 0;
  gboolean fallen =
      sim->plan.limits_reduced_at_s > 0 && sim->now >= (gint64)(sim->plan.limits_reduced_at_s * 1e6);
  double write_rate = fallen ? sim->settings->next_store_write_rps : sim->settings->store_write_rps;
  if (sim->plan.rate_limited &&
      !fk_store_rate_limit_take(&sim->rate_limit, sim->now, sim->settings->store_rps, write_rate, writes)) {
    sim->result.refused++;
    return FALSE;
  }
  sim->result.requests++;
  sim->result.writes += writes;
  if (sim->machines_lost_at) {
    sim->result.recovery.requests++;
    sim->result.recovery.writes += writes;
  }
  return TRUE;
}

/* When a copy of what was sent arrives. */
double sim_duplicate_delay_s(Sim *sim) { return sim_uniform(sim, 1, 2.5 * sim->settings->worker_lease_s); }

/* A transaction that was carried out comes once more, or one that got no answer is carried out now. */
static void repeat_commit(Sim *sim, gpointer p) {
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  FkRev epoch;
  if (sim->now < sim->outage_until) { /* nothing is carried out in an outage */
    sim_schedule(sim, (double)(sim->outage_until - sim->now) / 1e6 + 0.01, repeat_commit, p);
    return;
  }
  fk_store_model_expire_leases(sim->store, sim->now);
  commit(sim, ((SimCall *)p)->version, ((SimCall *)p)->output, &epoch, failed);
  sim_store_notify_watches(sim);
}

static void handle_commit(Sim *sim, SimCall *c) {
  const FkOutput *o = c->output;
  if (o->writes->len && sim->now < sim->late_writes_until && sim_chance(sim, sim->late_writes_share)) {
    sim_schedule(sim, sim_uniform(sim, 2, 12), repeat_commit,
                 c); /* no answer, and carried out after newer ones */
    return;
  }
  FkRev epoch = {fk_store_model_revision(sim->store)};
  GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
  FkOutcome r = commit(sim, c->version, o, &epoch, failed);
  if (sim->now < sim->lost_replies_until && touches(o, sim->lost_replies_prefix) &&
      sim_chance(sim, sim->lost_replies_share))
    g_ptr_array_unref(failed); /* others see what it wrote; its sender is told nothing */
  else
    sim_call_reply(c, (SimAnswer){.outcome = r, .epoch = epoch, .list = failed});
  if (o->writes->len && sim_chance(sim, sim_duplicate_share(sim)))
    sim_schedule(sim, sim_duplicate_delay_s(sim), repeat_commit, c);
}

static void add_item(GPtrArray *events, const FkVersion *v, const FkStoreItem *item) {
  FkStoreEvent *e = v->parse_event(item->path, item->value, item->revision);
  if (e)
    g_ptr_array_add(events, e);
}

static void handle_get(Sim *sim, SimCall *c) {
  const FkStoreItem *item = fk_store_model_get(sim->store, c->output->path);
  GPtrArray *one = g_ptr_array_new_with_free_func((GDestroyNotify)c->version->store_event_free);
  if (item)
    add_item(one, c->version, item);
  sim_call_reply(c, (SimAnswer){.outcome = item ? FK_OUTCOME_OK : FK_OUTCOME_GONE,
                                .epoch = (FkRev){fk_store_model_revision(sim->store)},
                                .list = one});
}

#define LIST_PAGE_SMALL 7 /* small pages: many of them */
#define LIST_PAGE_LARGE 200

static void handle_list(Sim *sim, SimCall *c) {
  gboolean more;
  g_autoptr(GPtrArray) items =
      fk_store_model_list(sim->store, c->output->path, c->output->after,
                          sim->plan.up > 50 ? LIST_PAGE_LARGE : LIST_PAGE_SMALL, G_MAXSIZE, &more);
  GPtrArray *events = g_ptr_array_new_with_free_func((GDestroyNotify)c->version->store_event_free);
  for (guint i = 0; i < items->len; i++)
    add_item(events, c->version, items->pdata[i]);
  sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_OK,
                                .epoch = (FkRev){fk_store_model_revision(sim->store)},
                                .list = events,
                                .more = more});
}

static void handle_watch(Sim *sim, SimCall *c) {
  if (fk_store_model_revision(sim->store) > c->output->rev.n || c->output->seconds <= 0) {
    watch_answer(sim, c);
    return;
  }
  g_ptr_array_add(sim->watches, c);
  sim_schedule(sim, c->output->seconds, watch_timed_out, c);
}

void sim_store_handle(Sim *sim, gpointer p) {
  SimCall *c = p;
  FkRev epoch = {fk_store_model_revision(sim->store)};
  if (sim_store_refuses(sim, c->controller) || !within_rate_limit(sim, c->output)) {
    sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_REFUSED, .epoch = epoch});
    return;
  }
  fk_store_model_expire_leases(sim->store, sim->now);
  switch (c->output->kind) {
  case FK_OUTPUT_COMMIT:
    handle_commit(sim, c);
    break;
  case FK_OUTPUT_GET:
    handle_get(sim, c);
    break;
  case FK_OUTPUT_LIST:
    handle_list(sim, c);
    break;
  case FK_OUTPUT_WATCH:
    handle_watch(sim, c);
    break;
  case FK_OUTPUT_LEASE_GRANT:
    epoch.n = fk_store_model_grant_lease(sim->store, sim->now, c->output->seconds);
    sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_OK, .epoch = epoch});
    break;
  default: {
    gboolean held = fk_store_model_keep_alive(sim->store, sim->now, c->output->rev.n);
    sim_call_reply(c, (SimAnswer){.outcome = held ? FK_OUTCOME_OK : FK_OUTCOME_GONE, .epoch = epoch});
  }
  }
  sim_store_notify_watches(sim);
}
