/* Users' questions, and when they are answered. */
#include <string.h>

#include "core/controller.h"
#include "core/controller_internal.h"
#include "fair_share/quota.h"

#define VERIFY_SHARE 0.15 /* the same, for checking what polls are told */
#define READS_MAX 16      /* questions at a time that are read from the store by a controller that lists it */
#define VERIFY_MAX 2000   /* polls waiting to be checked; more are told to come back */
#define TELL_WAIT_S 0.7   /* so long, as for a transaction; then 503 */
#define SEEN_S 5.0        /* far less than cancel_s */
#define TRIES_MAX 64      /* steps that an answer may take */

typedef enum { ASK_GET, ASK_SUBMIT, ASK_CANCEL } AskKind;
/* What is done once our view has reached a revision. */
typedef enum { THEN_ANSWER, THEN_VERIFY, THEN_ACCEPT } Then;
typedef struct {
  FkController *of; /* whose table has it */
  AskKind kind;
  FkRequest request;
  char *id;
  FkSpec *spec;
  FkTime since;
  guint tries;
  guint reads;    /* 1: one of those that are read though there is no view */
  gboolean shown; /* our view showed the job when the store was asked to compare */
  Then then;
  FkRev until;
  gboolean withdrawn; /* a job that it names is cancelled */
  gboolean unsure;    /* the end of an ancestor is being read */
  guint compared;     /* jobs that it names, of which the store was asked whether they are there */
} Ask;

void fk_users_ask_free(gpointer p) {
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
  fk_users_tell_waiting(c);
  fk_proof_tick(c, fk_users_wait_for(c));
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

void fk_users_tell_waiting(FkController *c) {
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

/* A job that needs others says `withdrawn` when one of them is cancelled, whose record says so, not its own.
 * So that it waits, or runs, is told by a view that has all that was committed when the store was asked. */
static void settle(FkController *c, Ask *a, FkRev until, Then then) {
  if (!fk_ready(c) || c->settling->length >= VERIFY_MAX || a->tries++ >= TRIES_MAX) {
    answer_later(c, a);
    return;
  }
  a->until = until;
  a->then = then;
  a->since = c->now;
  g_queue_push_tail(c->settling, a);
}

static void cancel_commit(FkController *c, Ask *a, FkSpec *spec, FkRev rev);
static void read_live(FkController *c, Ask *a);

static void got_final(FkController *c, gpointer data, FkOutcome o, FkEvent *e) {
  Ask *a = data;
  if (o == FK_OK && e && e->record && e->record->kind == FK_KEY_FINAL) {
    fk_view_remember_final(c->view, a->id, e->record->phase, e->record->tasks, e->record->at_ms);
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
  if (e->record->spec->needs && (!j || j->held)) {
    settle(c, a, e->rev, THEN_VERIFY);
  } else if (j) {
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
    } else if (j && j->held) {
      settle(c, a, epoch, THEN_ANSWER);
    } else if (j) {
      answer_view(c, a, j);
    } else if (a->shown) {
      /* it was there when the store compared; our view has been read again since, or was cleared to be: what
       * the view lacks proves nothing */
      read_live(c, a);
    } else {
      /* neither live nor final when the store compared */
      answer(c, a, 404);
      ask_free(a);
    }
  }
  fk_users_verify(c);
}

static void free_asks(gpointer p) { g_ptr_array_unref(p); }

void fk_users_verify(FkController *c) {
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
    a->shown = j != NULL;
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
  fk_users_verify(c);
}

void fk_controller_get(FkController *c, FkTime now, FkRequest r, const char *id) {
  c->now = now;
  Ask *a = ask_new(c, ASK_GET, r, id, NULL);
  if (!answered_from_memory(c, a))
    verify_add(c, a);
}

/* The view has what the store had when it was asked. */
static void answer_held(FkController *c, Ask *a) {
  if (answered_from_memory(c, a))
    return;
  const FkJob *j = fk_view_job(c->view, a->id);
  if (!j)
    read_live(c, a);
  else if (!fk_deps_sure(c->view->deps, a->id))
    answer_later(c, a); /* an ancestor's end is being read */
  else
    answer_view(c, a, j);
}

static void accept(FkController *c, Ask *a);

void fk_users_settle(FkController *c) {
  for (guint n = c->settling->length; n; n--) {
    Ask *a = g_queue_pop_head(c->settling);
    if (!fk_ready(c) || (c->view->applied.n < a->until.n && fk_time_between(a->since, c->now) > TELL_WAIT_S))
      answer_later(c, a);
    else if (c->view->applied.n < a->until.n)
      g_queue_push_tail(c->settling, a);
    else if (a->then == THEN_ANSWER)
      answer_held(c, a);
    else if (a->then == THEN_VERIFY)
      verify_add(c, a);
    else
      accept(c, a);
  }
}

static void accepted(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  Ask *a = data;
  if (o == FK_OK && a->spec->needs && (a->unsure || fk_time_between(c->confirmed, c->now) > SEEN_S)) {
    /* what became long ago of those that it needs, this view may not show */
    settle(c, a, epoch, THEN_ANSWER);
  } else if (o == FK_OK) {
    answer(c, a, 201)->phase = a->withdrawn ? FK_PHASE_CANCELLED : FK_PHASE_QUEUED;
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
  accept(c, a);
}

/* ------------------------------------------------------------------ accepting */

static void got_dependency(FkController *c, gpointer data, FkOutcome o, FkEvent *e) {
  Ask *a = data;
  if (o != FK_OK || !e || !e->record || e->record->kind != FK_KEY_FINAL) {
    answer_later(c, a);
    return;
  }
  g_autofree char *id = NULL;
  guint32 chunk;
  fk_key_parse(e->path, &id, &chunk);
  fk_view_remember_final(c->view, id, e->record->phase, e->record->tasks, e->record->at_ms);
  accept(c, a);
}

/* Those that the store has too are live, and our view is behind, or have ended, and are read one after
 * another: each step is remembered, also for the same submission's next attempt. */
static void compared(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  Ask *a = data;
  const char *ended = NULL;
  guint there = 0;
  if (o == FK_OK) {
    /* at one moment neither it nor any of them was there, live or ended */
    answer(c, a, 422);
    ask_free(a);
    return;
  }
  for (guint i = 0; o == FK_CONFLICT && failed && i < failed->len; i++) {
    g_autofree char *id = NULL;
    guint32 chunk;
    FkKeyKind kind = fk_key_parse(failed->pdata[i], &id, &chunk);
    if (g_strcmp0(id, a->id) == 0) {
      read_live(c, a);
      return;
    }
    there++;
    if (kind == FK_KEY_FINAL)
      ended = failed->pdata[i];
  }
  if (!there)
    answer_later(c, a);
  else if (there < a->compared) {
    answer(c, a, 422); /* the others weren't there, and neither was it */
    ask_free(a);
  } else if (ended && a->tries++ < TRIES_MAX)
    fk_get_send(c, g_strdup(ended), got_dependency, a, NULL);
  else
    settle(c, a, epoch, THEN_ACCEPT);
}

/* What is known of those that it names. Done is for good, and needn't be written down; so is cancelled, and
 * that one was accepted. FALSE: the store is asked. Nothing of this needs a guard: that a job was accepted
 * never changes, and what becomes of it is seen by whoever has it in its view. */
static gboolean dependencies_known(FkController *c, Ask *a) {
  char **needs = a->spec->needs;
  g_autoptr(GStrvBuilder) open = g_strv_builder_new();
  FkOut *t = NULL;
  guint n_open = 0;
  a->compared = 0;
  a->withdrawn = a->unsure = FALSE;
  for (guint i = 0; needs && needs[i]; i++) {
    FkPhase phase;
    guint32 tasks;
    const FkJob *d = fk_view_job(c->view, needs[i]);
    gboolean final = fk_view_final(c->view, needs[i], &phase, &tasks);
    if ((d && d->spec->shape == FK_SHAPE_SERVICE) || g_str_equal(needs[i], a->id)) {
      if (t)
        fk_out_free(t);
      answer(c, a, 422);
      ask_free(a);
      return FALSE;
    }
    if (final && phase == FK_PHASE_DONE)
      continue;
    if (d || final) {
      a->withdrawn |= final || d->cancelled;
      a->unsure |= !fk_deps_sure(c->view->deps, needs[i]);
      g_strv_builder_add(open, needs[i]);
      n_open++;
      continue;
    }
    if (!t) {
      t = fk_txn_new(c, FK_PRIO_USER);
      fk_txn_guard(t, fk_key(FK_KEY_JOB, a->id), (FkRev){0});
      fk_txn_guard(t, fk_key(FK_KEY_FINAL, a->id), (FkRev){0});
    }
    if (t->guards->len + 2 > 4 * c->settings->txn_ops)
      break; /* in steps */
    fk_txn_guard(t, fk_key(FK_KEY_JOB, needs[i]), (FkRev){0});
    fk_txn_guard(t, fk_key(FK_KEY_FINAL, needs[i]), (FkRev){0});
    a->compared++;
  }
  if (t) {
    fk_txn_send(c, t, compared, a, NULL);
    return FALSE;
  }
  g_strfreev(a->spec->needs);
  a->spec->needs = n_open ? g_strv_builder_end(open) : NULL;
  return TRUE;
}

static void accept(FkController *c, Ask *a) {
  FkSpec *spec = a->spec;
  if (fk_view_job(c->view, a->id)) {
    verify_add(c, a);
    return;
  }
  if (spec->needs && !fk_chains_known(c)) {
    answer_later(c, a); /* a version that doesn't know what it waits for would start it */
    return;
  }
  if (!dependencies_known(c, a))
    return;
  g_free(spec->owner);
  spec->owner = g_strdup(c->settings->node);
  spec->submitted_ms = (c->now.us + c->view->wall_offset_us) / 1000;
  /* a chunk with every task booked stays within a value's limit */
  spec->chunk = fk_chunk_tasks_within(c->settings->value_kb, c->settings->node);
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

/* The latest revision that somebody who waits to hear of a cancellation needs all to have applied; 0: none.
 */
FkRev fk_users_wait_for(FkController *c) {
  FkRev latest = {0};
  for (GList *l = c->telling->head; l; l = l->next) {
    const FkJob *j = fk_view_job(c->view, ((Ask *)l->data)->id);
    if (j && j->rev.n > latest.n)
      latest = j->rev;
  }
  return latest;
}
