/* Calls to the store, and what waits for their answers.
 *
 * A transaction that gets no answer is sent again, the very same, a few times as late as answers usually
 * come: what got lost, or is carried out in ten seconds' time, must not keep a user, or all of a home's
 * launches, waiting for the deadline. That is as safe as the network's own repeats (docs/design.md, "Asked
 * again"): its guards let it be carried out once at the most. */
#include "core/controller.h"
#include "core/controller_internal.h"

#define RETRY_LATENCY_FACTOR 4.0 /* as late as answers usually come ... */
#define RETRY_MIN_S 0.08         /* ... but not sooner than that, */
#define RETRY_MAX_S 1.0          /* nor later; each time twice as late */
#define RETRY_LOSSLESS_MIN_S                                                                                 \
  0.4 /* while hardly any gets lost: some answers are slow, and each send is a write */
#define LOSSY_RETRY_SHARE 0.1 /* of the transactions had to be sent again */
#define SENDS_MAX 4
#define DEFAULT_LATENCY_S 0.02  /* an answer's time, before any has come */
#define LATENCY_EWMA_WEIGHT 0.1 /* the newest one's weight in what is usual */
#define OUTAGE_S 3.0            /* the store is asked all the time: no answer for so long is an outage */

typedef struct {
  FkTransactionCallback committed;
  FkReadCallback got;
  gpointer data;
  GDestroyNotify free_data;
  FkOutput *out; /* the transaction */
  FkTime sent;   /* when it went out last; 0: it waits for the budget */
  guint sends;   /* times that it was sent, or waits to be */
  guint open;    /* of those, the ones of which it isn't known that they were refused */
} Call;

void fk_call_free(gpointer p) {
  Call *call = p;
  if (call->free_data)
    call->free_data(call->data);
  fk_output_free(call->out);
  g_free(call);
}

void fk_controller_transaction_sent(FkController *c, FkTime now, guint64 id) {
  Call *call = g_hash_table_lookup(c->calls.pending_transactions, &id);
  if (call)
    call->sent = now;
}

static double retry_after_s(const FkController *c, const Call *call) {
  double usual = c->calls.usual_delay_s > 0 ? c->calls.usual_delay_s : DEFAULT_LATENCY_S;
  double least = c->calls.lost_share > LOSSY_RETRY_SHARE ? RETRY_MIN_S : RETRY_LOSSLESS_MIN_S;
  return CLAMP(RETRY_LATENCY_FACTOR * usual, least, RETRY_MAX_S) * (1 << (call->sends - 1));
}

void fk_calls_retry_overdue(FkController *c) {
  GHashTableIter it;
  gpointer p;
  double room = c->launches.write_room;
  g_hash_table_iter_init(&it, c->calls.pending_transactions);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Call *call = p;
    if (!call->sent.us || call->sends >= SENDS_MAX ||
        fk_time_between(call->sent, c->now) < retry_after_s(c, call))
      continue;
    guint writes = call->out->writes->len;
    if (call->out->priority > FK_PRIORITY_USER && writes > room)
      continue; /* what is over the budget would only keep others waiting */
    room -= writes;
    call->sent.us = 0;
    call->sends++;
    call->open++;
    g_queue_push_tail(c->outputs, fk_output_ref(call->out));
  }
}

FkOutput *fk_transaction_new(FkController *c, FkTransactionPriority prio) {
  FkOutput *t = g_new0(FkOutput, 1);
  t->kind = FK_OUTPUT_COMMIT;
  t->priority = prio;
  t->guards = g_array_new(FALSE, FALSE, sizeof(FkGuard));
  t->writes = g_array_new(FALSE, FALSE, sizeof(FkWrite));
  return t;
}

void fk_transaction_guard(FkOutput *t, char *path, FkRev rev) {
  for (guint i = 0; i < t->guards->len; i++)
    if (g_str_equal(g_array_index(t->guards, FkGuard, i).path, path)) {
      g_free(path);
      return;
    }
  FkGuard g = {path, rev};
  g_array_append_val(t->guards, g);
}

void fk_transaction_put(FkOutput *t, char *path, FkRecord *r, FkRev hold) {
  FkWrite w = {path, r, hold};
  g_array_append_val(t->writes, w);
}

void fk_transaction_delete(FkOutput *t, char *path) {
  FkWrite w = {path, NULL, {0}};
  g_array_append_val(t->writes, w);
}

void fk_transaction_send(FkController *c, FkOutput *t, FkTransactionCallback done, gpointer data,
                         GDestroyNotify free_data) {
  Call *call = g_new0(Call, 1);
  call->committed = done;
  call->data = data;
  call->free_data = free_data;
  call->out = fk_output_ref(t);
  call->sends = call->open = 1;
  t->call = ++c->calls.last_id;
  c->calls.transactions[t->priority]++;
  c->calls.transaction_writes[t->priority] += t->writes->len;
  g_hash_table_insert(c->calls.pending_transactions, g_memdup2(&t->call, sizeof t->call), call);
  g_queue_push_tail(c->outputs, t);
}

void fk_read_send(FkController *c, char *path, FkReadCallback done, gpointer data, GDestroyNotify free_data) {
  Call *call = g_new0(Call, 1);
  call->got = done;
  call->data = data;
  call->free_data = free_data;
  FkOutput *o = fk_output_new(c, FK_OUTPUT_GET);
  o->path = path;
  o->call = ++c->calls.last_id;
  g_hash_table_insert(c->calls.pending_reads, g_memdup2(&o->call, sizeof o->call), call);
}

static Call *take_call(GHashTable *table, guint64 id) {
  gpointer key, value;
  if (!g_hash_table_steal_extended(table, &id, &key, &value))
    return NULL;
  g_free(key);
  return value;
}

void fk_store_session_note_outcome(FkController *c, FkOutcome o) {
  if (o == FK_OUTCOME_REFUSED || o == FK_OUTCOME_UNKNOWN)
    return;
  if (fk_time_between(c->store_session.store_answered_at, c->now) > OUTAGE_S)
    c->store_session.store_recovered_at = c->now;
  c->store_session.store_answered_at = c->now;
}

void fk_controller_commit_received(FkController *c, FkTime now, guint64 id, FkOutcome o, FkRev epoch,
                                   GPtrArray *failed) {
  c->now = now;
  fk_store_session_note_outcome(c, o);
  if (o == FK_OUTCOME_OK && epoch.n > c->store_session.latest_rev_seen.n)
    c->store_session.latest_rev_seen = epoch;
  Call *call = g_hash_table_lookup(c->calls.pending_transactions, &id);
  if (!call)
    return;
  if ((o == FK_OUTCOME_REFUSED || o == FK_OUTCOME_INVALID) && --call->open)
    return; /* another of its sends may yet be carried out */
  if ((o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT) && call->sent.us) {
    c->calls.usual_delay_s +=
        LATENCY_EWMA_WEIGHT * (fk_time_between(call->sent, now) - c->calls.usual_delay_s);
    c->calls.lost_share += LATENCY_EWMA_WEIGHT * ((call->sends > 1) - c->calls.lost_share);
    c->calls.resent += call->sends > 1;
  }
  call = take_call(c->calls.pending_transactions, id);
  call->committed(c, call->data, o, epoch, failed);
  fk_call_free(call);
}

void fk_controller_get_received(FkController *c, FkTime now, guint64 id, FkOutcome o, FkStoreEvent *e) {
  c->now = now;
  fk_store_session_note_outcome(c, o);
  Call *call = take_call(c->calls.pending_reads, id);
  if (call) {
    call->got(c, call->data, o, e);
    fk_call_free(call);
  }
  fk_store_event_free(e);
}

FkRecord *fk_job_record_new(const FkJob *j, gboolean cancelled) {
  FkRecord *r = fk_record_new(FK_KEY_JOB);
  r->spec = fk_spec_ref(j->spec);
  r->cancelled = cancelled;
  return r;
}

gboolean fk_transaction_finalize_job(FkController *c, FkOutput *t, FkJob *j, guint writes_left) {
  if (writes_left < 2)
    return FALSE;
  FkRecord *r = fk_record_new(FK_KEY_TERMINAL_JOB);
  r->phase = j->cancelled ? FK_PHASE_CANCELLED : FK_PHASE_DONE;
  r->tasks = j->cancelled ? j->done : j->spec->tasks;
  if (fk_dependency_graph_has_dependents(c->view->dependencies, j->spec->id))
    r->ended_at_ms =
        (c->now.us + c->view->wall_offset_us) / 1000; /* from when those that need it count their times */
  fk_transaction_guard(t, fk_key_path(FK_KEY_JOB, j->spec->id), j->rev);
  fk_transaction_put(t, fk_key_path(FK_KEY_TERMINAL_JOB, j->spec->id), r, (FkRev){0});
  fk_transaction_delete(t, fk_key_path(FK_KEY_JOB, j->spec->id));
  writes_left -= 2;
  for (guint32 i = 0; i < j->chunk_count && writes_left; i++)
    if (j->chunks[i]) {
      fk_transaction_delete(t, fk_key_chunk_path(j->spec->id, i));
      writes_left--;
    }
  return TRUE;
}
