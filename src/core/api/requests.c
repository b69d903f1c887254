/* Users' questions, and when they are answered. */
#include <string.h>

#include "core/controller.h"
#include "core/controller_internal.h"
#include "core/scheduling/placement.h"
#include "fair_share/quota.h"

#define READ_CHECK_REQUEST_SHARE 0.15 /* the same, for checking what polls are told */
#define STORE_READS_MAX                                                                                      \
  16 /* questions at a time that are read from the store by a controller that lists it */
#define READ_CHECKS_QUEUED_MAX 2000 /* polls waiting to be checked; more are told to come back */
#define REPLY_WAIT_MAX_S 0.7        /* so long, as for a transaction; then 503 */
#define FRESH_VIEW_S 5.0            /* far less than cancel_s */
#define STEPS_MAX 64                /* steps that an answer may take */

typedef enum { FK_REQUEST_POLL, FK_REQUEST_SUBMIT, FK_REQUEST_CANCEL } FkRequestKind;
/* What is done once our view has reached a revision. */
typedef enum { FK_BARRIER_REPLY, FK_BARRIER_READ_CHECK, FK_BARRIER_ACCEPT } FkBarrierAction;
typedef struct {
  FkController *of; /* whose table has it */
  FkRequestKind kind;
  FkRequestId request;
  char *id;
  FkSpec *spec;
  FkTime since;
  guint tries;
  guint reads;    /* 1: one of those that are read though there is no view */
  gboolean shown; /* our view showed the job when the store was asked to compare */
  FkBarrierAction then;
  FkRev until;
  gboolean withdrawn; /* a job that it names is cancelled */
  gboolean unsure;    /* the end of an ancestor is being read */
  guint compared;     /* jobs that it names, of which the store was asked whether they are there */
} FkPendingRequest;

void fk_pending_request_free(gpointer p) {
  FkPendingRequest *a = p;
  g_free(a->id);
  fk_spec_unref(a->spec);
  g_free(a);
}

static void pending_request_free(FkPendingRequest *a) {
  a->of->requests.store_reads -= a->reads;
  g_hash_table_remove(a->of->requests.pending, a);
}

static FkPendingRequest *pending_request_new(FkController *c, FkRequestKind kind, FkRequestId r,
                                             const char *id, FkSpec *spec) {
  FkPendingRequest *a = g_new0(FkPendingRequest, 1);
  a->of = c;
  g_hash_table_add(c->requests.pending, a);
  a->kind = kind;
  a->request = r;
  a->id = g_strdup(id);
  a->spec = spec;
  a->since = c->now;
  return a;
}

static FkOutput *reply_new(FkController *c, const FkPendingRequest *a, int status) {
  FkOutput *o = fk_output_new(c, FK_OUTPUT_USER_REPLY);
  o->request = a->request;
  o->status = status;
  o->job = g_strdup(a->id);
  return o;
}

static void reply_unavailable(FkController *c, FkPendingRequest *a) {
  FkOutput *o = reply_new(c, a, 503);
  o->retry_s = 1 + g_rand_int_range(c->rand, 0, 2);
  pending_request_free(a);
}

static void reply_terminal(FkController *c, FkPendingRequest *a, FkPhase phase, guint32 tasks) {
  FkOutput *o = reply_new(c, a, 200);
  o->phase = phase;
  o->done = tasks;
  pending_request_free(a);
}

static void reply_from_view(FkController *c, FkPendingRequest *a, const FkJob *j) {
  FkOutput *o = reply_new(c, a, 200);
  o->phase = fk_job_phase(j);
  o->done = j->done;
  o->running = j->allocated;
  pending_request_free(a);
}

/* The job is cancelled as the store has it, and that may be told now or not yet. Waits for the others' word
 * as it would for a transaction's; who can't be told then is told to come back. */
static void await_cancellation_barrier(FkController *c, FkPendingRequest *a) {
  if (c->settings->tuning.cancellation_barrier_s <= 0) {
    reply_terminal(c, a, FK_PHASE_CANCELLED, 0);
    return;
  }
  a->since = c->now;
  if (!fk_controller_is_ready(c) || c->requests.awaiting_cancellation->length >= READ_CHECKS_QUEUED_MAX) {
    reply_unavailable(c, a);
    return;
  }
  g_queue_push_tail(c->requests.awaiting_cancellation, a);
  fk_requests_reply_cancelled(c);
  fk_read_freshness_tick(c, fk_requests_awaited_rev(c));
}

static gboolean replied_if_terminal(FkController *c, FkPendingRequest *a) {
  FkPhase phase;
  guint32 tasks;
  if (!fk_view_find_terminal_job(c->view, a->id, &phase, &tasks))
    return FALSE;
  reply_terminal(c, a, phase, tasks);
  return TRUE;
}

/* What is final, or cancelled, never changes: no look at the store is needed. */
static gboolean replied_from_memory(FkController *c, FkPendingRequest *a) {
  if (replied_if_terminal(c, a))
    return TRUE;
  const FkJob *j = fk_view_find_job(c->view, a->id);
  if (!j || !j->cancelled)
    return FALSE;
  await_cancellation_barrier(c, a);
  return TRUE;
}

void fk_requests_reply_cancelled(FkController *c) {
  for (guint n = c->requests.awaiting_cancellation->length; n; n--) {
    FkPendingRequest *a = g_queue_pop_head(c->requests.awaiting_cancellation);
    if (replied_if_terminal(c, a))
      continue;
    const FkJob *j = fk_controller_is_ready(c) ? fk_view_find_job(c->view, a->id) : NULL;
    if (j && j->cancelled && fk_cancellation_barrier_is_passed(c, j))
      reply_from_view(c, a, j);
    else if (!fk_controller_is_ready(c) || fk_time_between(a->since, c->now) > REPLY_WAIT_MAX_S)
      reply_unavailable(c, a);
    else
      g_queue_push_tail(c->requests.awaiting_cancellation, a);
  }
}

/* A job that needs others says `withdrawn` when one of them is cancelled, whose record says so, not its own.
 * So that it waits, or runs, is told by a view that has all that was committed when the store was asked. */
static void await_read_barrier(FkController *c, FkPendingRequest *a, FkRev until, FkBarrierAction then) {
  if (!fk_controller_is_ready(c) || c->requests.awaiting_view->length >= READ_CHECKS_QUEUED_MAX ||
      a->tries++ >= STEPS_MAX) {
    reply_unavailable(c, a);
    return;
  }
  a->until = until;
  a->then = then;
  a->since = c->now;
  g_queue_push_tail(c->requests.awaiting_view, a);
}

static void commit_cancellation(FkController *c, FkPendingRequest *a, FkSpec *spec, FkRev rev);
static void read_job_record(FkController *c, FkPendingRequest *a);

static void terminal_record_received(FkController *c, gpointer data, FkOutcome o, FkStoreEvent *e) {
  FkPendingRequest *a = data;
  if (o == FK_OUTCOME_OK && e && e->record && e->record->kind == FK_KEY_TERMINAL_JOB) {
    fk_view_add_terminal_job(c->view, a->id, e->record->phase, e->record->tasks, e->record->ended_at_ms);
    reply_terminal(c, a, e->record->phase, e->record->tasks);
  } else if (o == FK_OUTCOME_GONE && a->kind != FK_REQUEST_SUBMIT) {
    reply_new(c, a, 404);
    pending_request_free(a);
  } else {
    reply_unavailable(c, a);
  }
}

static void job_record_received(FkController *c, gpointer data, FkOutcome o, FkStoreEvent *e) {
  FkPendingRequest *a = data;
  if (o == FK_OUTCOME_GONE) {
    /* a job moves from live to final, never back: so final is read after live */
    fk_read_send(c, fk_key_path(FK_KEY_TERMINAL_JOB, a->id), terminal_record_received, a, NULL);
    return;
  }
  if (o != FK_OUTCOME_OK || !e || !e->record || e->record->kind != FK_KEY_JOB) {
    reply_unavailable(c, a);
    return;
  }
  if (e->record->cancelled) {
    await_cancellation_barrier(c, a);
    return;
  }
  if (a->kind == FK_REQUEST_CANCEL) {
    commit_cancellation(c, a, e->record->spec, e->rev);
    return;
  }
  if (replied_from_memory(c, a))
    return;
  FkJob *j = fk_view_find_job(c->view, a->id);
  if (e->record->spec->dependencies && (!j || j->blocked)) {
    await_read_barrier(c, a, e->rev, FK_BARRIER_READ_CHECK);
  } else if (j) {
    reply_from_view(c, a, j);
  } else {
    reply_new(c, a, 200)->phase = FK_PHASE_QUEUED;
    pending_request_free(a);
  }
}

static void read_job_record(FkController *c, FkPendingRequest *a) {
  fk_read_send(c, fk_key_path(FK_KEY_JOB, a->id), job_record_received, a, NULL);
}

/* Polls are checked in batches, by transactions that only compare: one batch is under way, the next gathers.
 */

static void read_checks_done(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  GPtrArray *asks = data;
  c->requests.verifying = FALSE;
  g_autoptr(GHashTable) bad = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; o == FK_OUTCOME_CONFLICT && failed && i < failed->len; i++) {
    guint32 chunk;
    char *id = NULL;
    if (fk_key_parse(failed->pdata[i], &id, &chunk) != FK_KEY_OTHER)
      g_hash_table_add(bad, id);
  }
  for (guint i = 0; i < asks->len; i++) {
    FkPendingRequest *a = asks->pdata[i];
    if (o != FK_OUTCOME_OK && (o != FK_OUTCOME_CONFLICT || !g_hash_table_size(bad))) {
      reply_unavailable(c, a);
      continue;
    }
    if (replied_from_memory(c, a))
      continue;
    FkJob *j = fk_view_find_job(c->view, a->id);
    if (g_hash_table_contains(bad, a->id)) {
      read_job_record(c, a);
    } else if (j && j->blocked) {
      await_read_barrier(c, a, epoch, FK_BARRIER_REPLY);
    } else if (j) {
      reply_from_view(c, a, j);
    } else if (a->shown) {
      /* it was there when the store compared; our view has been read again since, or was cleared to be: what
       * the view lacks proves nothing */
      read_job_record(c, a);
    } else {
      /* neither live nor final when the store compared */
      reply_new(c, a, 404);
      pending_request_free(a);
    }
  }
  fk_requests_send_read_checks(c);
}

static void pending_requests_free(gpointer p) { g_ptr_array_unref(p); }

void fk_requests_send_read_checks(FkController *c) {
  if (c->requests.verifying || g_queue_is_empty(c->requests.to_verify) ||
      !fk_time_reached(c->now, c->requests.verify_after))
    return;
  c->requests.verify_after =
      fk_time_add(c->now, fk_controller_live_count(c) / (READ_CHECK_REQUEST_SHARE * c->settings->store_rps));
  FkOutput *t = fk_transaction_new(c, FK_PRIORITY_USER);
  GPtrArray *asks = g_ptr_array_new();
  guint max = MIN(c->settings->transaction_ops_max * 4, 400);
  while (t->guards->len + 2 <= max && !g_queue_is_empty(c->requests.to_verify)) {
    FkPendingRequest *a = g_queue_pop_head(c->requests.to_verify);
    FkJob *j = fk_view_find_job(c->view, a->id);
    fk_transaction_guard(t, fk_key_path(FK_KEY_JOB, a->id), j ? j->rev : (FkRev){0});
    a->shown = j != NULL;
    if (!j)
      fk_transaction_guard(t, fk_key_path(FK_KEY_TERMINAL_JOB, a->id), (FkRev){0});
    g_ptr_array_add(asks, a);
  }
  c->requests.verifying = TRUE;
  fk_transaction_send(c, t, read_checks_done, asks, pending_requests_free);
}

static gboolean is_store_unreachable(FkController *c) {
  /* nothing heard for a while although requests are made all the time: don't let users wait for it */
  return fk_time_between(c->store_session.store_answered_at, c->now) > 3.0;
}

/* A controller without a view asks the store itself, for a few at a time: a question must not stay open for
 * as long as somebody lists. Nothing can be accepted so: that needs to know who may run, and where. */
static void read_without_view(FkController *c, FkPendingRequest *a) {
  if (c->requests.store_reads >= STORE_READS_MAX) {
    reply_unavailable(c, a);
    return;
  }
  c->requests.store_reads += a->reads = 1;
  read_job_record(c, a);
}

/* Without the store, or without a view, the question is dealt with here. */
static gboolean handled_without_view(FkController *c, FkPendingRequest *a) {
  if (is_store_unreachable(c))
    reply_unavailable(c, a);
  else if (!fk_controller_is_ready(c))
    read_without_view(c, a);
  else
    return FALSE;
  return TRUE;
}

static void queue_read_check(FkController *c, FkPendingRequest *a) {
  if (handled_without_view(c, a))
    return;
  if (c->requests.to_verify->length >= READ_CHECKS_QUEUED_MAX) {
    reply_unavailable(c, a);
    return;
  }
  g_queue_push_tail(c->requests.to_verify, a);
  fk_requests_send_read_checks(c);
}

void fk_controller_poll_received(FkController *c, FkTime now, FkRequestId r, const char *id) {
  c->now = now;
  FkPendingRequest *a = pending_request_new(c, FK_REQUEST_POLL, r, id, NULL);
  if (!replied_from_memory(c, a))
    queue_read_check(c, a);
}

/* The view has what the store had when it was asked. */
static void reply_for_blocked_job(FkController *c, FkPendingRequest *a) {
  if (replied_from_memory(c, a))
    return;
  const FkJob *j = fk_view_find_job(c->view, a->id);
  if (!j)
    read_job_record(c, a);
  else if (!fk_dependency_graph_is_known(c->view->dependencies, a->id))
    reply_unavailable(c, a); /* an ancestor's end is being read */
  else
    reply_from_view(c, a, j);
}

static void accept_submission(FkController *c, FkPendingRequest *a);

void fk_requests_pass_read_barrier(FkController *c) {
  for (guint n = c->requests.awaiting_view->length; n; n--) {
    FkPendingRequest *a = g_queue_pop_head(c->requests.awaiting_view);
    if (!fk_controller_is_ready(c) ||
        (c->view->applied.n < a->until.n && fk_time_between(a->since, c->now) > REPLY_WAIT_MAX_S))
      reply_unavailable(c, a);
    else if (c->view->applied.n < a->until.n)
      g_queue_push_tail(c->requests.awaiting_view, a);
    else if (a->then == FK_BARRIER_REPLY)
      reply_for_blocked_job(c, a);
    else if (a->then == FK_BARRIER_READ_CHECK)
      queue_read_check(c, a);
    else
      accept_submission(c, a);
  }
}

static void submission_committed(FkController *c, gpointer data, FkOutcome o, FkRev epoch,
                                 GPtrArray *failed) {
  FkPendingRequest *a = data;
  if (o == FK_OUTCOME_OK && a->spec->dependencies &&
      (a->unsure || fk_time_between(c->store_session.confirmed_at, c->now) > FRESH_VIEW_S)) {
    /* what became long ago of those that it needs, this view may not show */
    await_read_barrier(c, a, epoch, FK_BARRIER_REPLY);
  } else if (o == FK_OUTCOME_OK) {
    reply_new(c, a, 201)->phase = a->withdrawn ? FK_PHASE_CANCELLED : FK_PHASE_QUEUED;
    pending_request_free(a);
  } else if (o == FK_OUTCOME_CONFLICT) {
    read_job_record(c, a);
  } else {
    reply_unavailable(c, a);
  }
}

/* Can never run, whatever happens. Only ever asked of jobs not accepted yet. */
static gboolean can_never_run(FkController *c, const FkSpec *s) {
  FkTeam *team = fk_settings_find_team(c->settings, s->team);
  double tasks = s->shape != FK_SHAPE_ARRAY ? s->tasks : 1;
  if (!team || !fk_quota_allows(team->max_cpus, 0, s->cpus, tasks) ||
      !fk_quota_allows(team->max_gpus, 0, s->gpus, tasks))
    return TRUE;
  GHashTableIter it;
  gpointer t;
  g_hash_table_iter_init(&it, c->autoscaling.instance_types);
  while (g_hash_table_iter_next(&it, NULL, &t))
    if (fk_placement_fits_type(s, t))
      return FALSE;
  return TRUE;
}

void fk_controller_submission_received(FkController *c, FkTime now, FkRequestId r, FkSpec *spec) {
  c->now = now;
  FkPendingRequest *a = pending_request_new(c, FK_REQUEST_SUBMIT, r, spec->id, spec);
  if (replied_from_memory(c, a))
    return;
  if (handled_without_view(c, a))
    return;
  if (fk_view_find_job(c->view, a->id)) {
    queue_read_check(c, a);
    return;
  }
  if (!g_hash_table_size(c->autoscaling.instance_types)) {
    /* can't be judged yet */
    reply_unavailable(c, a);
    return;
  }
  if (can_never_run(c, spec)) {
    reply_new(c, a, 422);
    pending_request_free(a);
    return;
  }
  accept_submission(c, a);
}

/* ------------------------------------------------------------------ accepting */

static void dependency_record_received(FkController *c, gpointer data, FkOutcome o, FkStoreEvent *e) {
  FkPendingRequest *a = data;
  if (o != FK_OUTCOME_OK || !e || !e->record || e->record->kind != FK_KEY_TERMINAL_JOB) {
    reply_unavailable(c, a);
    return;
  }
  g_autofree char *id = NULL;
  guint32 chunk;
  fk_key_parse(e->path, &id, &chunk);
  fk_view_add_terminal_job(c->view, id, e->record->phase, e->record->tasks, e->record->ended_at_ms);
  accept_submission(c, a);
}

/* Those that the store has too are live, and our view is behind, or have ended, and are read one after
 * another: each step is remembered, also for the same submission's next attempt. */
static void compared(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  FkPendingRequest *a = data;
  const char *ended = NULL;
  guint there = 0;
  if (o == FK_OUTCOME_OK) {
    /* at one moment neither it nor any of them was there, live or ended */
    reply_new(c, a, 422);
    pending_request_free(a);
    return;
  }
  for (guint i = 0; o == FK_OUTCOME_CONFLICT && failed && i < failed->len; i++) {
    g_autofree char *id = NULL;
    guint32 chunk;
    FkKeyKind kind = fk_key_parse(failed->pdata[i], &id, &chunk);
    if (g_strcmp0(id, a->id) == 0) {
      read_job_record(c, a);
      return;
    }
    there++;
    if (kind == FK_KEY_TERMINAL_JOB)
      ended = failed->pdata[i];
  }
  if (!there)
    reply_unavailable(c, a);
  else if (there < a->compared) {
    reply_new(c, a, 422); /* the others weren't there, and neither was it */
    pending_request_free(a);
  } else if (ended && a->tries++ < STEPS_MAX)
    fk_read_send(c, g_strdup(ended), dependency_record_received, a, NULL);
  else
    await_read_barrier(c, a, epoch, FK_BARRIER_ACCEPT);
}

/* What is known of those that it names. Done is for good, and needn't be written down; so is cancelled, and
 * that one was accepted. FALSE: the store is asked. Nothing of this needs a guard: that a job was accepted
 * never changes, and what becomes of it is seen by whoever has it in its view. */
static gboolean dependencies_known(FkController *c, FkPendingRequest *a) {
  char **needs = a->spec->dependencies;
  g_autoptr(GStrvBuilder) open = g_strv_builder_new();
  FkOutput *t = NULL;
  guint n_open = 0;
  a->compared = 0;
  a->withdrawn = a->unsure = FALSE;
  for (guint i = 0; needs && needs[i]; i++) {
    FkPhase phase;
    guint32 tasks;
    const FkJob *d = fk_view_find_job(c->view, needs[i]);
    gboolean final = fk_view_find_terminal_job(c->view, needs[i], &phase, &tasks);
    if ((d && d->spec->shape == FK_SHAPE_SERVICE) || g_str_equal(needs[i], a->id)) {
      if (t)
        fk_output_free(t);
      reply_new(c, a, 422);
      pending_request_free(a);
      return FALSE;
    }
    if (final && phase == FK_PHASE_DONE)
      continue;
    if (d || final) {
      a->withdrawn |= final || d->cancelled;
      a->unsure |= !fk_dependency_graph_is_known(c->view->dependencies, needs[i]);
      g_strv_builder_add(open, needs[i]);
      n_open++;
      continue;
    }
    if (!t) {
      t = fk_transaction_new(c, FK_PRIORITY_USER);
      fk_transaction_guard(t, fk_key_path(FK_KEY_JOB, a->id), (FkRev){0});
      fk_transaction_guard(t, fk_key_path(FK_KEY_TERMINAL_JOB, a->id), (FkRev){0});
    }
    if (t->guards->len + 2 > 4 * c->settings->transaction_ops_max)
      break; /* in steps */
    fk_transaction_guard(t, fk_key_path(FK_KEY_JOB, needs[i]), (FkRev){0});
    fk_transaction_guard(t, fk_key_path(FK_KEY_TERMINAL_JOB, needs[i]), (FkRev){0});
    a->compared++;
  }
  if (t) {
    fk_transaction_send(c, t, compared, a, NULL);
    return FALSE;
  }
  g_strfreev(a->spec->dependencies);
  a->spec->dependencies = n_open ? g_strv_builder_end(open) : NULL;
  return TRUE;
}

static void accept_submission(FkController *c, FkPendingRequest *a) {
  FkSpec *spec = a->spec;
  if (fk_view_find_job(c->view, a->id)) {
    queue_read_check(c, a);
    return;
  }
  if (spec->dependencies && !fk_job_dependencies_are_supported(c)) {
    reply_unavailable(c, a); /* a version that doesn't know what it waits for would start it */
    return;
  }
  if (!dependencies_known(c, a))
    return;
  g_free(spec->owner);
  spec->owner = g_strdup(c->settings->node);
  spec->submitted_ms = (c->now.us + c->view->wall_offset_us) / 1000;
  /* a chunk with every task booked stays within a value's limit */
  spec->chunk_tasks = fk_chunk_max_tasks(c->settings->value_kb, c->settings->node);
  FkOutput *t = fk_transaction_new(c, FK_PRIORITY_USER);
  fk_transaction_guard(t, fk_key_path(FK_KEY_JOB, spec->id), (FkRev){0});
  fk_transaction_guard(t, fk_key_path(FK_KEY_TERMINAL_JOB, spec->id), (FkRev){0});
  FkRecord *rec = fk_record_new(FK_KEY_JOB);
  rec->spec = fk_spec_ref(spec);
  fk_transaction_put(t, fk_key_path(FK_KEY_JOB, spec->id), rec, (FkRev){0});
  fk_transaction_send(c, t, submission_committed, a, NULL);
}

static void cancellation_committed(FkController *c, gpointer data, FkOutcome o, FkRev epoch,
                                   GPtrArray *failed) {
  FkPendingRequest *a = data;
  if (o == FK_OUTCOME_OK)
    await_cancellation_barrier(c, a);
  else if (o == FK_OUTCOME_CONFLICT && a->tries++ < 4)
    read_job_record(c, a);
  else
    reply_unavailable(c, a);
}

static void commit_cancellation(FkController *c, FkPendingRequest *a, FkSpec *spec, FkRev rev) {
  FkOutput *t = fk_transaction_new(c, FK_PRIORITY_USER);
  FkRecord *rec = fk_record_new(FK_KEY_JOB);
  rec->spec = fk_spec_ref(spec);
  rec->cancelled = TRUE;
  fk_transaction_guard(t, fk_key_path(FK_KEY_JOB, a->id), rev);
  fk_transaction_put(t, fk_key_path(FK_KEY_JOB, a->id), rec, (FkRev){0});
  fk_transaction_send(c, t, cancellation_committed, a, NULL);
}

void fk_controller_cancellation_received(FkController *c, FkTime now, FkRequestId r, const char *id) {
  c->now = now;
  FkPendingRequest *a = pending_request_new(c, FK_REQUEST_CANCEL, r, id, NULL);
  if (replied_from_memory(c, a))
    return;
  if (handled_without_view(c, a))
    return;
  FkJob *j = fk_view_find_job(c->view, id);
  if (j)
    commit_cancellation(c, a, j->spec, j->rev);
  else
    read_job_record(c, a);
}

/* The latest revision that somebody who waits to hear of a cancellation needs all to have applied; 0: none.
 */
FkRev fk_requests_awaited_rev(FkController *c) {
  FkRev latest = {0};
  for (GList *l = c->requests.awaiting_cancellation->head; l; l = l->next) {
    const FkJob *j = fk_view_find_job(c->view, ((FkPendingRequest *)l->data)->id);
    if (j && j->rev.n > latest.n)
      latest = j->rev;
  }
  return latest;
}
