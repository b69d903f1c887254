/* The controller: its session with the store, and the users' requests. */
#include "core/internal.h"
#include "core/overdue.h"
#include "core/turn.h"

#include <string.h>

#include "teams/limits.h"

#define HOLD_S 6.0
#define WATCH_S 2.0
#define WATCH_SHARE 0.35  /* of the store's requests, all controllers together */
#define VERIFY_SHARE 0.15 /* the same, for checking what polls are told */
#define PEER_EVERY_S 1.0
#define PEER_AFTER_S 2.5 /* without a look at the store */
#define ALONE_S 2.5
#define CUT_OFF_S 6.0     /* the others are asked from PEER_AFTER_S on, once a second */
#define READS_MAX 16      /* questions at a time that are read from the store by a controller that lists it */
#define OUTAGE_S 3.0      /* the store is asked all the time: no answer for so long is an outage */
#define VERIFY_MAX 2000   /* polls waiting to be checked; more are told to come back */
#define TELL_EVERY_S 0.15 /* while somebody waits to hear of a cancellation */
#define TELL_WAIT_S 0.7   /* so long, as for a transaction; then 503 */

/* ------------------------------------------------------------------ small things */

FkReport *fk_report_new(void);

static void task_report_free(gpointer p) {
  FkTaskReport *t = p;
  g_free(t->job);
  g_free(t);
}

FkReport *fk_report_new(void) {
  FkReport *r = g_new0(FkReport, 1);
  r->tasks = g_ptr_array_new_with_free_func(task_report_free);
  r->notice_s = -1;
  return r;
}

void fk_report_free(FkReport *r) {
  if (!r)
    return;
  g_free(r->machine);
  g_free(r->addr);
  g_free(r->type);
  g_free(r->zone);
  g_ptr_array_unref(r->tasks);
  g_free(r);
}

void fk_type_free(gpointer p) {
  FkType *t = p;
  g_free(t->name);
  g_strfreev(t->zones);
  g_free(t);
}

void fk_listed_free(gpointer p) {
  FkListed *l = p;
  g_free(l->id);
  g_free(l->addr);
  g_free(l->type);
  g_free(l->zone);
  g_free(l);
}

void fk_out_free(FkOut *o) {
  if (!o)
    return;
  g_free(o->job);
  if (o->orders)
    g_ptr_array_unref(o->orders);
  g_free(o->report_to);
  if (o->guards) {
    for (guint i = 0; i < o->guards->len; i++)
      g_free(g_array_index(o->guards, FkGuard, i).path);
    g_array_unref(o->guards);
  }
  if (o->writes) {
    for (guint i = 0; i < o->writes->len; i++) {
      g_free(g_array_index(o->writes, FkWrite, i).path);
      fk_record_free(g_array_index(o->writes, FkWrite, i).record);
    }
    g_array_unref(o->writes);
  }
  g_free(o->path);
  g_free(o->after);
  g_free(o->machine);
  g_free(o->addr);
  g_free(o->name);
  g_free(o->type);
  g_free(o->zone);
  if (o->names)
    g_ptr_array_unref(o->names);
  g_free(o);
}

FkOut *fk_out(FkController *c, FkOutKind kind) {
  FkOut *o = g_new0(FkOut, 1);
  o->kind = kind;
  g_queue_push_tail(c->outs, o);
  return o;
}

FkOut *fk_controller_next(FkController *c) { return g_queue_pop_head(c->outs); }

FkView *fk_controller_view(FkController *c) { return c->view; }

FkMeter *fk_controller_meter(FkController *c) { return &c->meter; }

gboolean fk_ready(FkController *c) { return c->sync == FK_SYNC_READY; }

gboolean fk_alive(FkController *c, const char *node) {
  return node && g_hash_table_contains(c->view->nodes, node);
}

gboolean fk_spec_long(FkController *c, const FkSpec *s) {
  return s->shape != FK_SHAPE_ARRAY || s->estimate_s >= c->settings->tuning.cutoff_s;
}

/* ------------------------------------------------------------------ transactions */

typedef struct {
  FkCommitted committed;
  FkGot got;
  gpointer data;
  GDestroyNotify free_data;
} Call;

static void call_free(gpointer p) {
  Call *call = p;
  if (call->free_data)
    call->free_data(call->data);
  g_free(call);
}

FkOut *fk_txn_new(FkController *c, FkPrio prio) {
  FkOut *t = g_new0(FkOut, 1);
  t->kind = FK_OUT_COMMIT;
  t->prio = prio;
  t->guards = g_array_new(FALSE, FALSE, sizeof(FkGuard));
  t->writes = g_array_new(FALSE, FALSE, sizeof(FkWrite));
  return t;
}

void fk_txn_guard(FkOut *t, char *path, FkRev rev) {
  for (guint i = 0; i < t->guards->len; i++)
    if (g_str_equal(g_array_index(t->guards, FkGuard, i).path, path)) {
      g_free(path);
      return;
    }
  FkGuard g = {path, rev};
  g_array_append_val(t->guards, g);
}

void fk_txn_put(FkOut *t, char *path, FkRecord *r, FkRev hold) {
  FkWrite w = {path, r, hold};
  g_array_append_val(t->writes, w);
}

void fk_txn_delete(FkOut *t, char *path) {
  FkWrite w = {path, NULL, {0}};
  g_array_append_val(t->writes, w);
}

void fk_txn_send(FkController *c, FkOut *t, FkCommitted done, gpointer data, GDestroyNotify free_data) {
  Call *call = g_new0(Call, 1);
  call->committed = done;
  call->data = data;
  call->free_data = free_data;
  t->call = ++c->next_call;
  c->txns[t->prio]++;
  c->txn_writes[t->prio] += t->writes->len;
  g_hash_table_insert(c->commits, g_memdup2(&t->call, sizeof t->call), call);
  g_queue_push_tail(c->outs, t);
}

void fk_get_send(FkController *c, char *path, FkGot done, gpointer data, GDestroyNotify free_data) {
  Call *call = g_new0(Call, 1);
  call->got = done;
  call->data = data;
  call->free_data = free_data;
  FkOut *o = fk_out(c, FK_OUT_GET);
  o->path = path;
  o->call = ++c->next_call;
  g_hash_table_insert(c->gets, g_memdup2(&o->call, sizeof o->call), call);
}

static Call *take_call(GHashTable *table, guint64 id) {
  gpointer key, value;
  if (!g_hash_table_steal_extended(table, &id, &key, &value))
    return NULL;
  g_free(key);
  return value;
}

static void store_answered(FkController *c, FkOutcome o) {
  if (o == FK_REFUSED || o == FK_UNKNOWN)
    return;
  if (fk_time_between(c->store_ok, c->now) > OUTAGE_S)
    c->store_back = c->now;
  c->store_ok = c->now;
}

void fk_controller_committed(FkController *c, FkTime now, guint64 id, FkOutcome o, FkRev epoch,
                             GPtrArray *failed) {
  c->now = now;
  store_answered(c, o);
  if (o == FK_OK && epoch.n > c->seen.n)
    c->seen = epoch;
  Call *call = take_call(c->commits, id);
  if (!call)
    return;
  call->committed(c, call->data, o, epoch, failed);
  call_free(call);
}

void fk_controller_got(FkController *c, FkTime now, guint64 id, FkOutcome o, FkEvent *e) {
  c->now = now;
  store_answered(c, o);
  Call *call = take_call(c->gets, id);
  if (call) {
    call->got(c, call->data, o, e);
    call_free(call);
  }
  fk_event_free(e);
}

FkRecord *fk_job_record(const FkJob *j, gboolean cancelled) {
  FkRecord *r = fk_record_new(FK_KEY_JOB);
  r->spec = fk_spec_ref(j->spec);
  r->cancelled = cancelled;
  return r;
}

gboolean fk_txn_finalize(FkController *c, FkOut *t, FkJob *j, guint writes_left) {
  if (writes_left < 2)
    return FALSE;
  FkRecord *r = fk_record_new(FK_KEY_FINAL);
  r->phase = j->cancelled ? FK_PHASE_CANCELLED : FK_PHASE_DONE;
  r->tasks = j->cancelled ? j->done : j->spec->tasks;
  fk_txn_guard(t, fk_key(FK_KEY_JOB, j->spec->id), j->rev);
  fk_txn_put(t, fk_key(FK_KEY_FINAL, j->spec->id), r, (FkRev){0});
  fk_txn_delete(t, fk_key(FK_KEY_JOB, j->spec->id));
  writes_left -= 2;
  for (guint32 i = 0; i < j->n_chunks && writes_left; i++)
    if (j->chunks[i]) {
      fk_txn_delete(t, fk_key_chunk(j->spec->id, i));
      writes_left--;
    }
  return TRUE;
}

/* ------------------------------------------------------------------ the session with the store */

static void list_next(FkController *c) {
  FkOut *o = fk_out(c, FK_OUT_LIST);
  o->path = g_strdup(FK_LIVE);
  o->after = g_strdup(c->list_after);
  c->listing = TRUE;
}

static void sync_start(FkController *c) {
  if (fk_ready(c)) {
    /* What we knew of starts under way goes with the view: a new life claims every machine again, and the new
     * tokens make the old starts void. */
    char *life = g_strdup_printf("%s+%u", c->life, g_rand_int_range(c->rand, 0, 1 << 30));
    g_free(c->life);
    c->life = life;
  }
  fk_view_clear(c->view);
  fk_turn_forget(c->turn);
  g_hash_table_remove_all(c->peer_proof);
  g_clear_pointer(&c->list_after, g_free);
  c->list_epoch.n = 0;
  c->catch_up.n = 0;
  c->sync = FK_SYNC_LISTING;
  c->launching = c->finalizing = c->stopping = FALSE;
  c->claiming = c->roster_sending = c->ends_sending = c->fencing = c->splitting = FALSE;
  c->fence_needed = TRUE;
  fk_ends_clear(c);
  list_next(c);
}

static void watch_next(FkController *c, double delay_s) {
  FkOut *o = fk_out(c, FK_OUT_WATCH);
  o->path = g_strdup(FK_ROOT);
  o->rev = c->view->applied;
  o->seconds = c->sync == FK_SYNC_READY ? WATCH_S : 0;
  o->delay_s = delay_s;
  c->watching = TRUE;
}

static void apply_events(FkController *c, GPtrArray *events) {
  FkCost before = fk_meter_enter(&c->meter, FK_COST_APPLY);
  c->view->now = c->now;
  for (guint i = 0; i < events->len; i++) {
    FkEvent *e = events->pdata[i];
    fk_view_apply(c->view, e->path, g_steal_pointer(&e->record), e->rev);
  }
  fk_meter_leave(&c->meter, before);
}

void fk_controller_listed(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, gboolean more,
                          FkRev epoch) {
  c->now = now;
  c->listing = FALSE;
  store_answered(c, o);
  if (c->sync != FK_SYNC_LISTING)
    return;
  if (o != FK_OK) {
    c->sync_failures++;
    c->sync_retry =
        fk_time_add(now, MIN(2.0, 0.2 * c->sync_failures) * g_rand_double_range(c->rand, 0.7, 1.3));
    return;
  }
  c->sync_failures = 0;
  /* Pages may be of different moments: everything after the first page's is replayed by the watch. */
  if (!c->list_epoch.n)
    c->list_epoch = epoch;
  if (epoch.n > c->catch_up.n)
    c->catch_up = epoch;
  apply_events(c, events);
  if (more && events->len) {
    g_free(c->list_after);
    c->list_after = g_strdup(((FkEvent *)events->pdata[events->len - 1])->path);
    list_next(c);
    return;
  }
  c->view->applied = c->list_epoch;
  c->sync = FK_SYNC_CATCHING_UP;
  watch_next(c, 0);
}

/* Does it with its processor time charged to that purpose. */
static void metered(FkController *c, FkCost what, void (*fn)(FkController *)) {
  FkCost before = fk_meter_enter(&c->meter, what);
  fn(c);
  fk_meter_leave(&c->meter, before);
}

static void became_ready(FkController *c) {
  c->sync = FK_SYNC_READY;
  c->view->live = TRUE;
  c->ready_since = c->now;
  g_info("view ready at revision %" G_GUINT64_FORMAT ": %u jobs, %u machines", c->view->applied.n,
         g_hash_table_size(c->view->jobs), g_hash_table_size(c->view->machines));
}

static void tell_those_waiting(FkController *c);

void fk_controller_watched(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, FkRev epoch,
                           FkTime sent) {
  c->now = now;
  c->watching = FALSE;
  store_answered(c, o);
  if (c->sync != FK_SYNC_READY && c->sync != FK_SYNC_CATCHING_UP)
    return;
  if (o == FK_GONE) {
    g_message("the store no longer has our place in its history: reading all again");
    sync_start(c);
    return;
  }
  if (o != FK_OK) {
    watch_next(c, g_rand_double_range(c->rand, 0.1, 0.4));
    return;
  }
  apply_events(c, events);
  if (epoch.n > c->view->applied.n)
    c->view->applied = epoch;
  if (c->view->applied.n > c->seen.n)
    c->seen = c->view->applied;
  if (sent.us > c->confirmed.us)
    c->confirmed = sent;
  if (c->sync == FK_SYNC_CATCHING_UP && c->view->applied.n >= c->catch_up.n)
    became_ready(c);
  tell_those_waiting(c);
  /* A short pause lets several changes come in one answer: the watch's share of the request budget stays
   * small. */
  watch_next(c, events->len ? MAX(0.02, fk_controllers(c) / (WATCH_SHARE * c->settings->state_rps)) : 0);
  if (fk_ready(c)) {
    metered(c, FK_COST_CLAIMS, fk_claims_tick);
    metered(c, FK_COST_HOMES, fk_homes_view_changed);
    metered(c, FK_COST_HOMES, fk_ends_tick);
    metered(c, FK_COST_LAUNCHES, fk_place);
    metered(c, FK_COST_STOPS, fk_leader_act);
  }
}

void fk_controller_held(FkController *c, FkTime now, FkOutcome o, FkRev hold, FkTime sent) {
  c->now = now;
  store_answered(c, o);
  c->hold_pending = FALSE;
  if (o == FK_OK) {
    c->hold = hold;
    c->hold_next = fk_time_add(now, HOLD_S / 4);
    c->node_wait.n = 0;
  } else {
    c->hold_next = fk_time_add(now, g_rand_double_range(c->rand, 0.2, 0.6));
  }
}

void fk_controller_renewed(FkController *c, FkTime now, FkOutcome o, FkTime sent) {
  c->now = now;
  store_answered(c, o);
  c->hold_pending = FALSE;
  c->hold_next = fk_time_add(now, o == FK_OK ? HOLD_S / 4 : g_rand_double_range(c->rand, 0.2, 0.6));
  if (o == FK_GONE) {
    g_message("our hold %" G_GUINT64_FORMAT " has ended", c->hold.n);
    c->hold.n = 0;
    c->hold_next = now;
  }
}

static void node_put(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->node_pending = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->node_wait = epoch;
  else
    c->node_retry = fk_time_add(c->now, 0.3);
  if (o == FK_INVALID) {
    /* the hold is gone */
    c->hold.n = 0;
    c->hold_next = c->now;
  }
}

static void session_tick(FkController *c) {
  if (c->sync == FK_SYNC_IDLE)
    sync_start(c);
  else if (c->sync == FK_SYNC_LISTING && !c->listing && fk_time_reached(c->now, c->sync_retry))
    list_next(c);
  if (!c->hold_pending && fk_time_reached(c->now, c->hold_next)) {
    FkOut *o = fk_out(c, c->hold.n ? FK_OUT_HOLD_RENEW : FK_OUT_HOLD_NEW);
    o->rev = c->hold;
    o->seconds = HOLD_S;
    c->hold_pending = TRUE;
  }
  if (!fk_ready(c) || !c->hold.n || c->node_pending || c->view->applied.n < c->node_wait.n ||
      !fk_time_reached(c->now, c->node_retry))
    return;
  FkNode *n = g_hash_table_lookup(c->view->nodes, c->settings->node);
  if (n && g_str_equal(n->life, c->life))
    return;
  FkOut *t = fk_txn_new(c, FK_PRIO_HOLD);
  FkRecord *r = fk_record_new(FK_KEY_NODE);
  r->life = g_strdup(c->life);
  /* A repeat of an earlier life's, whose hold may last for seconds yet, must not undo this. */
  fk_txn_guard(t, fk_key(FK_KEY_NODE, c->settings->node), n ? n->rev : (FkRev){0});
  fk_txn_put(t, fk_key(FK_KEY_NODE, c->settings->node), r, c->hold);
  c->node_pending = TRUE;
  fk_txn_send(c, t, node_put, NULL, NULL);
}

/* ------------------------------------------------------------------ other controllers */

typedef enum { ASK_GET, ASK_SUBMIT, ASK_CANCEL } AskKind;
typedef struct {
  FkController *of; /* whose table has it */
  AskKind kind;
  FkRequest request;
  char *id;
  FkSpec *spec;
  FkTime since;
  guint tries;
  guint reads; /* 1: one of those that are read though there is no view */
} Ask;

const char *fk_controller_seen(FkController *c, FkTime now, FkRev *seen, FkRev *applied,
                               double *store_age_s) {
  *seen = c->seen;
  *applied = fk_ready(c) ? c->view->applied : (FkRev){0};
  *store_age_s = fk_time_between(c->store_ok, now);
  return c->life;
}

/* While the store can't be reached, work may go on where it's proven that nobody has decided anything that we
 * don't know of: every other controller, in the life that our view knows, has seen no later revision than our
 * view has. A controller that started anew proves nothing: its last life may have told a user of a
 * cancellation. */
void fk_controller_peer(FkController *c, FkTime now, const char *peer, const char *life, FkRev seen,
                        FkRev applied, double store_age_s, FkTime sent) {
  c->now = c->peer_heard = now;
  fk_tell_applied(c->tell, peer, applied);
  tell_those_waiting(c);
  FkTime ok = fk_time_add(sent, -store_age_s);
  if (ok.us > c->peer_store_ok.us)
    c->peer_store_ok = ok;
  FkNode *n = g_hash_table_lookup(c->view->nodes, peer);
  if (!fk_ready(c) || !n || g_strcmp0(n->life, life) != 0 || seen.n > c->view->applied.n)
    return;
  g_hash_table_replace(c->peer_proof, g_strdup(peer), g_memdup2(&sent, sizeof sent));
}

FkTime fk_confirmed(FkController *c) {
  FkTime proof = c->now;
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkTime *t = g_hash_table_lookup(c->peer_proof, ((FkPeer *)c->settings->peers->pdata[i])->name);
    if (!t)
      return c->confirmed;
    if (t->us < proof.us)
      proof = *t;
  }
  /* what we have committed ourselves counts as well */
  if (c->seen.n > c->view->applied.n || proof.us < c->confirmed.us)
    return c->confirmed;
  return proof;
}

/* The latest revision that somebody who waits to hear of a cancellation needs all to have applied; 0: none.
 */
static FkRev waited_for(FkController *c) {
  FkRev latest = {0};
  for (GList *l = c->telling->head; l; l = l->next) {
    const FkJob *j = fk_view_job(c->view, ((Ask *)l->data)->id);
    if (j && j->rev.n > latest.n)
      latest = j->rev;
  }
  return latest;
}

static void peers_tick(FkController *c) {
  gboolean behind = fk_time_between(c->confirmed, c->now) >= PEER_AFTER_S;
  if (!fk_time_reached(c->now, c->peer_next) || (!behind && g_queue_is_empty(c->telling)))
    return;
  FkRev needed = waited_for(c);
  c->peer_next = fk_time_add(c->now, needed.n ? TELL_EVERY_S : PEER_EVERY_S);
  for (guint i = 0; i < c->settings->peers->len; i++) {
    FkPeer *p = c->settings->peers->pdata[i];
    if (!behind && fk_tell_knows(c->tell, p->name, needed))
      continue;
    FkOut *o = fk_out(c, FK_OUT_PEER);
    o->name = g_strdup(p->name);
    o->addr = g_strdup(p->addr);
  }
}

/* ------------------------------------------------------------------ users */

static void ask_destroy(gpointer p) {
  Ask *a = p;
  g_free(a->id);
  fk_spec_unref(a->spec);
  g_free(a);
}

static void ask_free(Ask *a) {
  a->of->reads -= a->reads;
  g_hash_table_remove(a->of->asks, a);
}

static Ask *ask_new(FkController *c, AskKind kind, FkRequest r, const char *id, FkSpec *spec) {
  Ask *a = g_new0(Ask, 1);
  a->of = c;
  g_hash_table_add(c->asks, a);
  a->kind = kind;
  a->request = r;
  a->id = g_strdup(id);
  a->spec = spec;
  a->since = c->now;
  return a;
}

static FkOut *answer(FkController *c, const Ask *a, int status) {
  FkOut *o = fk_out(c, FK_OUT_ANSWER);
  o->request = a->request;
  o->status = status;
  o->job = g_strdup(a->id);
  return o;
}

static void answer_later(FkController *c, Ask *a) {
  FkOut *o = answer(c, a, 503);
  o->retry_s = 1 + g_rand_int_range(c->rand, 0, 2);
  ask_free(a);
}

static void answer_final(FkController *c, Ask *a, FkPhase phase, guint32 tasks) {
  FkOut *o = answer(c, a, 200);
  o->phase = phase;
  o->done = tasks;
  ask_free(a);
}

static void answer_view(FkController *c, Ask *a, const FkJob *j) {
  FkOut *o = answer(c, a, 200);
  o->phase = fk_job_phase(j);
  o->done = j->done;
  o->running = j->booked;
  ask_free(a);
}

/* The job is cancelled as the store has it, and that may be told now or not yet. Waits for the others' word
 * as it would for a transaction's; who can't be told then is told to come back. */
static void tell_later(FkController *c, Ask *a) {
  if (c->settings->tuning.tell_after_s <= 0) {
    answer_final(c, a, FK_PHASE_CANCELLED, 0);
    return;
  }
  a->since = c->now;
  if (!fk_ready(c) || c->telling->length >= VERIFY_MAX) {
    answer_later(c, a);
    return;
  }
  g_queue_push_tail(c->telling, a);
  tell_those_waiting(c);
  peers_tick(c);
}

static gboolean answered_from_final(FkController *c, Ask *a) {
  FkPhase phase;
  guint32 tasks;
  if (!fk_view_final(c->view, a->id, &phase, &tasks))
    return FALSE;
  answer_final(c, a, phase, tasks);
  return TRUE;
}

/* What is final, or cancelled, never changes: no look at the store is needed. */
static gboolean answered_from_memory(FkController *c, Ask *a) {
  if (answered_from_final(c, a))
    return TRUE;
  const FkJob *j = fk_view_job(c->view, a->id);
  if (!j || !j->cancelled)
    return FALSE;
  tell_later(c, a);
  return TRUE;
}

static void tell_those_waiting(FkController *c) {
  for (guint n = c->telling->length; n; n--) {
    Ask *a = g_queue_pop_head(c->telling);
    if (answered_from_final(c, a))
      continue;
    const FkJob *j = fk_ready(c) ? fk_view_job(c->view, a->id) : NULL;
    if (j && j->cancelled && fk_tell_may(c, j))
      answer_view(c, a, j);
    else if (!fk_ready(c) || fk_time_between(a->since, c->now) > TELL_WAIT_S)
      answer_later(c, a);
    else
      g_queue_push_tail(c->telling, a);
  }
}

static void cancel_commit(FkController *c, Ask *a, FkSpec *spec, FkRev rev);
static void read_live(FkController *c, Ask *a);

static void got_final(FkController *c, gpointer data, FkOutcome o, FkEvent *e) {
  Ask *a = data;
  if (o == FK_OK && e && e->record && e->record->kind == FK_KEY_FINAL) {
    fk_view_remember_final(c->view, a->id, e->record->phase, e->record->tasks);
    answer_final(c, a, e->record->phase, e->record->tasks);
  } else if (o == FK_GONE && a->kind != ASK_SUBMIT) {
    answer(c, a, 404);
    ask_free(a);
  } else {
    answer_later(c, a);
  }
}

static void got_live(FkController *c, gpointer data, FkOutcome o, FkEvent *e) {
  Ask *a = data;
  if (o == FK_GONE) {
    /* a job moves from live to final, never back: so final is read after live */
    fk_get_send(c, fk_key(FK_KEY_FINAL, a->id), got_final, a, NULL);
    return;
  }
  if (o != FK_OK || !e || !e->record || e->record->kind != FK_KEY_JOB) {
    answer_later(c, a);
    return;
  }
  if (e->record->cancelled) {
    tell_later(c, a);
    return;
  }
  if (a->kind == ASK_CANCEL) {
    cancel_commit(c, a, e->record->spec, e->rev);
    return;
  }
  if (answered_from_memory(c, a))
    return;
  FkJob *j = fk_view_job(c->view, a->id);
  if (j) {
    answer_view(c, a, j);
  } else {
    answer(c, a, 200)->phase = FK_PHASE_QUEUED;
    ask_free(a);
  }
}

static void read_live(FkController *c, Ask *a) {
  fk_get_send(c, fk_key(FK_KEY_JOB, a->id), got_live, a, NULL);
}

/* Polls are checked in batches, by transactions that only compare: one batch is under way, the next gathers.
 */
static void verify_next(FkController *c);

static void verified(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  GPtrArray *asks = data;
  c->verifying = FALSE;
  g_autoptr(GHashTable) bad = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; o == FK_CONFLICT && failed && i < failed->len; i++) {
    guint32 chunk;
    char *id = NULL;
    if (fk_key_parse(failed->pdata[i], &id, &chunk) != FK_KEY_OTHER)
      g_hash_table_add(bad, id);
  }
  for (guint i = 0; i < asks->len; i++) {
    Ask *a = asks->pdata[i];
    if (o != FK_OK && (o != FK_CONFLICT || !g_hash_table_size(bad))) {
      answer_later(c, a);
      continue;
    }
    if (answered_from_memory(c, a))
      continue;
    FkJob *j = fk_view_job(c->view, a->id);
    if (g_hash_table_contains(bad, a->id)) {
      read_live(c, a);
    } else if (j) {
      answer_view(c, a, j);
    } else {
      /* neither live nor final when the store compared */
      answer(c, a, 404);
      ask_free(a);
    }
  }
  verify_next(c);
}

static void free_asks(gpointer p) { g_ptr_array_unref(p); }

static void verify_next(FkController *c) {
  if (c->verifying || g_queue_is_empty(c->verify) || !fk_time_reached(c->now, c->verify_after))
    return;
  c->verify_after = fk_time_add(c->now, fk_controllers(c) / (VERIFY_SHARE * c->settings->state_rps));
  FkOut *t = fk_txn_new(c, FK_PRIO_USER);
  GPtrArray *asks = g_ptr_array_new();
  guint max = MIN(c->settings->txn_ops * 4, 400);
  while (t->guards->len + 2 <= max && !g_queue_is_empty(c->verify)) {
    Ask *a = g_queue_pop_head(c->verify);
    FkJob *j = fk_view_job(c->view, a->id);
    fk_txn_guard(t, fk_key(FK_KEY_JOB, a->id), j ? j->rev : (FkRev){0});
    if (!j)
      fk_txn_guard(t, fk_key(FK_KEY_FINAL, a->id), (FkRev){0});
    g_ptr_array_add(asks, a);
  }
  c->verifying = TRUE;
  fk_txn_send(c, t, verified, asks, free_asks);
}

static gboolean store_lost(FkController *c) {
  /* nothing heard for a while although requests are made all the time: don't let users wait for it */
  return fk_time_between(c->store_ok, c->now) > 3.0;
}

/* A controller without a view asks the store itself, for a few at a time: a question must not stay open for
 * as long as somebody lists. Nothing can be accepted so: that needs to know who may run, and where. */
static void without_view(FkController *c, Ask *a) {
  if (c->reads >= READS_MAX) {
    answer_later(c, a);
    return;
  }
  c->reads += a->reads = 1;
  read_live(c, a);
}

/* Without the store, or without a view, the question is dealt with here. */
static gboolean dealt_with(FkController *c, Ask *a) {
  if (store_lost(c))
    answer_later(c, a);
  else if (!fk_ready(c))
    without_view(c, a);
  else
    return FALSE;
  return TRUE;
}

static void verify_add(FkController *c, Ask *a) {
  if (dealt_with(c, a))
    return;
  if (c->verify->length >= VERIFY_MAX) {
    answer_later(c, a);
    return;
  }
  g_queue_push_tail(c->verify, a);
  verify_next(c);
}

void fk_controller_get(FkController *c, FkTime now, FkRequest r, const char *id) {
  c->now = now;
  Ask *a = ask_new(c, ASK_GET, r, id, NULL);
  if (!answered_from_memory(c, a))
    verify_add(c, a);
}

static void accepted(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  Ask *a = data;
  if (o == FK_OK) {
    answer(c, a, 201)->phase = FK_PHASE_QUEUED;
    ask_free(a);
  } else if (o == FK_CONFLICT) {
    read_live(c, a);
  } else {
    answer_later(c, a);
  }
}

/* Can never run, whatever happens. Only ever asked of jobs not accepted yet. */
static gboolean impossible(FkController *c, const FkSpec *s) {
  FkTeam *team = fk_settings_team(c->settings, s->team);
  double tasks = s->shape != FK_SHAPE_ARRAY ? s->tasks : 1;
  if (!team || !fk_limit_allows(team->cpus_max, 0, s->cpus, tasks) ||
      !fk_limit_allows(team->gpus_max, 0, s->gpus, tasks))
    return TRUE;
  GHashTableIter it;
  gpointer t;
  g_hash_table_iter_init(&it, c->types);
  while (g_hash_table_iter_next(&it, NULL, &t))
    if (fk_job_fits_type(s, t))
      return FALSE;
  return TRUE;
}

void fk_controller_submit(FkController *c, FkTime now, FkRequest r, FkSpec *spec) {
  c->now = now;
  Ask *a = ask_new(c, ASK_SUBMIT, r, spec->id, spec);
  if (answered_from_memory(c, a))
    return;
  if (dealt_with(c, a))
    return;
  if (fk_view_job(c->view, a->id)) {
    verify_add(c, a);
    return;
  }
  if (!g_hash_table_size(c->types)) {
    /* can't be judged yet */
    answer_later(c, a);
    return;
  }
  if (impossible(c, spec)) {
    answer(c, a, 422);
    ask_free(a);
    return;
  }
  spec->owner = g_strdup(c->settings->node);
  spec->submitted_ms = (c->now.us + c->view->wall_offset_us) / 1000;
  /* a chunk with every task booked stays within a value's limit */
  spec->chunk = (guint32)CLAMP((c->settings->value_kb * 1024 - 400) / 56, 8, 128);
  FkOut *t = fk_txn_new(c, FK_PRIO_USER);
  fk_txn_guard(t, fk_key(FK_KEY_JOB, spec->id), (FkRev){0});
  fk_txn_guard(t, fk_key(FK_KEY_FINAL, spec->id), (FkRev){0});
  FkRecord *rec = fk_record_new(FK_KEY_JOB);
  rec->spec = fk_spec_ref(spec);
  fk_txn_put(t, fk_key(FK_KEY_JOB, spec->id), rec, (FkRev){0});
  fk_txn_send(c, t, accepted, a, NULL);
}

static void cancelled(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  Ask *a = data;
  if (o == FK_OK)
    tell_later(c, a);
  else if (o == FK_CONFLICT && a->tries++ < 4)
    read_live(c, a);
  else
    answer_later(c, a);
}

static void cancel_commit(FkController *c, Ask *a, FkSpec *spec, FkRev rev) {
  FkOut *t = fk_txn_new(c, FK_PRIO_USER);
  FkRecord *rec = fk_record_new(FK_KEY_JOB);
  rec->spec = fk_spec_ref(spec);
  rec->cancelled = TRUE;
  fk_txn_guard(t, fk_key(FK_KEY_JOB, a->id), rev);
  fk_txn_put(t, fk_key(FK_KEY_JOB, a->id), rec, (FkRev){0});
  fk_txn_send(c, t, cancelled, a, NULL);
}

void fk_controller_cancel(FkController *c, FkTime now, FkRequest r, const char *id) {
  c->now = now;
  Ask *a = ask_new(c, ASK_CANCEL, r, id, NULL);
  if (answered_from_memory(c, a))
    return;
  if (dealt_with(c, a))
    return;
  FkJob *j = fk_view_job(c->view, id);
  if (j)
    cancel_commit(c, a, j->spec, j->rev);
  else
    read_live(c, a);
}

guint fk_controllers(FkController *c) {
  guint all = c->settings->peers->len + 1;
  return fk_ready(c) ? CLAMP(g_hash_table_size(c->view->nodes), 1, all) : all;
}

void fk_controller_room(FkController *c, double writes) { c->write_room = writes; }

double fk_controller_share(FkController *c) { return 1.0 / fk_controllers(c); }

/* The leader writes for the services of all: it has two parts, and as many as all the others together while
 * services wait. Everybody counts them in the same view, so that the parts make up the whole. */
#define SERVICES_MANY 4

gboolean fk_services_first(FkController *c) { return c->services_waiting >= SERVICES_MANY; }

double fk_controller_write_share(FkController *c) {
  guint n = fk_controllers(c);
  double leader = fk_services_first(c) ? MAX(2, n - 1) : 2;
  return (c->leading ? leader : 1.0) / (n - 1 + leader);
}

gboolean fk_controller_up(FkController *c, FkTime now) {
  /* When the store answers others and not us, users are better served by them. When it answers nobody, taking
   * ourselves out would only make the return slower. */
  double without = fk_time_between(c->store_ok, now);
  gboolean alone = without > ALONE_S && fk_time_between(c->store_ok, c->peer_store_ok) > 1 &&
                   fk_time_between(c->peer_store_ok, now) < 5;
  /* Without the store and without any other controller it is we who are cut off, whoever else still reaches
   * us: every question would hear 503. */
  gboolean cut_off = c->settings->peers->len && without > CUT_OFF_S &&
                     fk_time_between(c->peer_heard, now) > CUT_OFF_S - PEER_AFTER_S;
  return fk_ready(c) && g_hash_table_size(c->types) > 0 && !alone && !cut_off;
}

/* ------------------------------------------------------------------ life */

static void redirect_free(gpointer p) {
  FkRedirect *r = p;
  g_free(r->to);
  g_free(r);
}

FkController *fk_controller_new(const FkSettings *s, const char *life, guint32 seed, FkTime now) {
  FkController *c = g_new0(FkController, 1);
  c->settings = s;
  c->life = g_strdup(life);
  c->rand = g_rand_new_with_seed(seed);
  c->now = c->started = now;
  c->view = fk_view_new(s);
  c->outs = g_queue_new();
  c->commits = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, call_free);
  c->gets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, call_free);
  c->asks = g_hash_table_new_full(g_direct_hash, g_direct_equal, ask_destroy, NULL);
  c->verify = g_queue_new();
  c->tell = fk_tell_new();
  c->telling = g_queue_new();
  c->peer_proof = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  c->held = g_queue_new();
  c->fence_needed = TRUE;
  c->hindrances = g_hash_table_new(g_direct_hash, g_direct_equal);
  c->ending_on = g_hash_table_new(g_direct_hash, g_direct_equal);
  c->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, fk_ending_free);
  c->redirects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, redirect_free);
  c->commands = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  c->types = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, fk_type_free);
  c->heard = g_array_new(FALSE, FALSE, sizeof(FkHeard));
  c->fleet = fk_fleet_new(now);
  c->money = fk_money_new();
  c->turn = fk_turn_new(s);
  c->overdue = fk_overdue_new();
  c->pending = g_array_new(FALSE, FALSE, sizeof(FkPend));
  c->window_end = fk_time_add(now, s->tuning.window_s);
  c->store_ok = now;
  c->write_room = s->txn_ops;
  return c;
}

void fk_controller_free(FkController *c) {
  if (!c)
    return;
  FkOut *o;
  while ((o = fk_controller_next(c)))
    fk_out_free(o);
  g_queue_free(c->outs);
  g_hash_table_unref(c->commits);
  g_hash_table_unref(c->gets);
  g_queue_free(c->verify);
  g_queue_free(c->telling);
  g_hash_table_unref(c->asks);
  fk_tell_free(c->tell);
  FkHeldReport *h;
  while ((h = g_queue_pop_head(c->held))) {
    fk_report_free(h->report);
    g_free(h);
  }
  g_queue_free(c->held);
  g_hash_table_unref(c->peer_proof);
  g_hash_table_unref(c->redirects);
  g_hash_table_unref(c->ended);
  g_hash_table_unref(c->ending_on);
  g_hash_table_unref(c->hindrances);
  g_hash_table_unref(c->commands);
  g_array_unref(c->heard);
  g_array_unref(c->pending);
  g_hash_table_unref(c->types);
  fk_fleet_free(c->fleet);
  fk_money_free(c->money);
  fk_turn_free(c->turn);
  fk_overdue_free(c->overdue);
  fk_view_free(c->view);
  g_rand_free(c->rand);
  g_free(c->list_after);
  g_free(c->life);
  g_free(c);
}

void fk_controller_request_gone(FkController *c, FkRequest r) {
  /* Answers to requests that are gone are dropped by the shell; only reports that wait are worth dropping
   * here. */
  for (GList *l = c->held->head; l; l = l->next) {
    FkHeldReport *h = l->data;
    if (h->request.n == r.n) {
      fk_report_free(h->report);
      g_free(h);
      g_queue_delete_link(c->held, l);
      return;
    }
  }
}

void fk_controller_types(FkController *c, FkTime now, FkOutcome o, GPtrArray *types) {
  c->now = now;
  c->types_pending = FALSE;
  if (o != FK_OK) {
    c->types_next = fk_time_add(now, g_rand_double_range(c->rand, 0.6, 1.4));
    return;
  }
  c->types_next = fk_time_add(now, 60);
  for (guint i = 0; i < types->len; i++) {
    FkType *t = types->pdata[i], *known = g_hash_table_lookup(c->types, t->name);
    types->pdata[i] = NULL;
    if (!known) {
      g_hash_table_replace(c->types, t->name, t);
      continue;
    }
    /* in place: machines hold on to theirs */
    FkType old = *known;
    *known = *t;
    known->name = old.name; /* the table's key */
    old.name = t->name;
    *t = old;
    fk_type_free(t);
  }
}

void fk_controller_tick(FkController *c, FkTime now, gint64 wall_us) {
  c->now = now;
  c->view->wall_offset_us = wall_us - now.us;
  session_tick(c);
  if (!c->types_pending && fk_time_reached(now, c->types_next)) {
    fk_out(c, FK_OUT_TYPES);
    c->types_pending = TRUE;
  }
  if (!fk_ready(c))
    return;
  metered(c, FK_COST_USERS, verify_next);
  tell_those_waiting(c);
  peers_tick(c);
  c->view->now = now;
  fk_view_rate_services(c->view);
  fk_view_review_doubts(c->view);
  metered(c, FK_COST_CLAIMS, fk_claims_tick);
  metered(c, FK_COST_USERS, fk_serving_tick);
  metered(c, FK_COST_HOMES, fk_homes_tick);
  metered(c, FK_COST_HOMES, fk_ends_tick);
  metered(c, FK_COST_CLAIMS, fk_windows_tick);
  metered(c, FK_COST_STOPS, fk_leader_tick);
  metered(c, FK_COST_CLAIMS, fk_roster_tick);
  metered(c, FK_COST_CLAIMS, fk_quota_tick);
  metered(c, FK_COST_LAUNCHES, fk_place);
}
