/* Calls to the store, and what waits for their answers.
 *
 * A transaction that gets no answer is sent again, the very same, a few times as late as answers usually
 * come: what got lost, or is carried out in ten seconds' time, must not keep a user, or all of a home's
 * launches, waiting for the deadline. That is as safe as the network's own repeats (docs/design.md, "Asked
 * again"): its guards let it be carried out once at the most. */
#include "core/controller.h"
#include "core/controller_internal.h"

#define AGAIN_TIMES 4.0    /* as late as answers usually come ... */
#define AGAIN_LEAST_S 0.08 /* ... but not sooner than that, */
#define AGAIN_MOST_S 1.0   /* nor later; each time twice as late */
#define PATIENT_S 0.4      /* while hardly any gets lost: some answers are slow, and each send is a write */
#define LOSSY 0.1          /* of the transactions had to be sent again */
#define SENDS_MAX 4
#define USUAL_S 0.02 /* an answer's time, before any has come */
#define NEWEST 0.1   /* the newest one's weight in what is usual */
#define OUTAGE_S 3.0 /* the store is asked all the time: no answer for so long is an outage */

typedef struct {
  FkCommitted committed;
  FkGot got;
  gpointer data;
  GDestroyNotify free_data;
  FkOut *out;  /* the transaction */
  FkTime sent; /* when it went out last; 0: it waits for the budget */
  guint sends; /* times that it was sent, or waits to be */
  guint open;  /* of those, the ones of which it isn't known that they were refused */
} Call;

void fk_call_free(gpointer p) {
  Call *call = p;
  if (call->free_data)
    call->free_data(call->data);
  fk_out_free(call->out);
  g_free(call);
}

void fk_controller_sent(FkController *c, FkTime now, guint64 id) {
  Call *call = g_hash_table_lookup(c->commits, &id);
  if (call)
    call->sent = now;
}

static double again_after_s(const FkController *c, const Call *call) {
  double usual = c->usual_s > 0 ? c->usual_s : USUAL_S;
  double least = c->lost > LOSSY ? AGAIN_LEAST_S : PATIENT_S;
  return CLAMP(AGAIN_TIMES * usual, least, AGAIN_MOST_S) * (1 << (call->sends - 1));
}

void fk_calls_again(FkController *c) {
  GHashTableIter it;
  gpointer p;
  double room = c->write_room;
  g_hash_table_iter_init(&it, c->commits);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Call *call = p;
    if (!call->sent.us || call->sends >= SENDS_MAX ||
        fk_time_between(call->sent, c->now) < again_after_s(c, call))
      continue;
    guint writes = call->out->writes->len;
    if (call->out->prio > FK_PRIO_USER && writes > room)
      continue; /* what is over the budget would only keep others waiting */
    room -= writes;
    call->sent.us = 0;
    call->sends++;
    call->open++;
    g_queue_push_tail(c->outs, fk_out_ref(call->out));
  }
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
  call->out = fk_out_ref(t);
  call->sends = call->open = 1;
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

void fk_store_answered(FkController *c, FkOutcome o) {
  if (o == FK_REFUSED || o == FK_UNKNOWN)
    return;
  if (fk_time_between(c->store_ok, c->now) > OUTAGE_S)
    c->store_back = c->now;
  c->store_ok = c->now;
}

void fk_controller_committed(FkController *c, FkTime now, guint64 id, FkOutcome o, FkRev epoch,
                             GPtrArray *failed) {
  c->now = now;
  fk_store_answered(c, o);
  if (o == FK_OK && epoch.n > c->seen.n)
    c->seen = epoch;
  Call *call = g_hash_table_lookup(c->commits, &id);
  if (!call)
    return;
  if ((o == FK_REFUSED || o == FK_INVALID) && --call->open)
    return; /* another of its sends may yet be carried out */
  if ((o == FK_OK || o == FK_CONFLICT) && call->sent.us) {
    c->usual_s += NEWEST * (fk_time_between(call->sent, now) - c->usual_s);
    c->lost += NEWEST * ((call->sends > 1) - c->lost);
    c->asked_again += call->sends > 1;
  }
  call = take_call(c->commits, id);
  call->committed(c, call->data, o, epoch, failed);
  fk_call_free(call);
}

void fk_controller_got(FkController *c, FkTime now, guint64 id, FkOutcome o, FkEvent *e) {
  c->now = now;
  fk_store_answered(c, o);
  Call *call = take_call(c->gets, id);
  if (call) {
    call->got(c, call->data, o, e);
    fk_call_free(call);
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
  if (fk_deps_needed(c->view->deps, j->spec->id))
    r->at_ms =
        (c->now.us + c->view->wall_offset_us) / 1000; /* from when those that need it count their times */
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
