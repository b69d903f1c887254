/* A home's dealings with its machines. Level-triggered: whenever a report or the view changes, the orders
 * that would bring the machine in line with the bookings are worked out anew. */
#include "core/controller.h"
#include "core/controller_internal.h"

#define COMMANDS_MAX 200 /* an answer's line stays far below 64 KiB */
/* A worker that was sent to its home and can't reach it is back after 4 s for the answer, 1 s of pause and
 * half a second on its way; one that never heard of it, since nothing reaches it, goes through all
 * controllers at 5 s each: with two of them alive it is back after 10 s at the soonest. */
#define RETURN_WINDOW_S 9.0
#define RETURNED_SHARE_MIN 0.15   /* of a group's machines that come back: its home can't be reached */
#define REACQUIRE_AFTER_S 3.0     /* a claim made anew must have had time to be heard of */
#define PROBE_AFTER_INTERVALS 1.4 /* report intervals without a report: ask the machine itself */
#define SERVICE_INTERVAL_MAX_S                                                                               \
  3.0 /* machines with services are looked after as if they reported at least so often */
#define PROBE_REPLY_WAIT_S 2.3 /* and the answer is waited for so long */
#define LINGERING_ATTEMPTS_MAX                                                                               \
  64                       /* ended attempts in a machine's reports; its group is claimed anew beyond it */
#define SCAN_SLICES 5      /* machines are looked through in so many ticks */
#define FULL_SCAN_ROUNDS 4 /* every so many times, a machine with nothing pending is gone through as well */
#define STALE_VIEW_S 2.5   /* a view so old may lack a claim */
#define ANNOUNCEMENTS_PER_SHARD 2 /* machines of a group just claimed are told at once */
#define OUTAGE_CHECK_S 1.0        /* whether a zone is dark is looked at twice as often */
#define JUST_NOW_S                                                                                           \
  1.3 /* shorter than an answer is waited for: who cuts us off is noticed before anybody is marked */
#define EXPECTED_JUST_NOW_MIN 8.0 /* of so few nothing can be said in a moment */
#define OUTAGE_SHARE 0.25         /* when fewer than this share are heard, it is we who are cut off */

static FkWorkerState *worker_state_new(void) {
  FkWorkerState *h = g_new0(FkWorkerState, 1);
  h->starts_in_doubt = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  h->starts_in_flight = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  h->starts_replied = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return h;
}

static void worker_state_free(gpointer p) {
  FkWorkerState *h = p;
  g_hash_table_unref(h->starts_in_doubt);
  g_hash_table_unref(h->starts_in_flight);
  g_hash_table_unref(h->starts_replied);
  fk_heartbeat_free(h->heartbeat);
  g_free(h);
}

static gboolean view_is_current(FkController *c) {
  return fk_controller_is_ready(c) &&
         fk_time_between(fk_read_freshness_confirmed_at(c), c->now) < fk_stale_view_trust_s(c->settings);
}

/* It may lack a claim. */
static gboolean view_is_stale(FkController *c) {
  return fk_time_between(fk_read_freshness_confirmed_at(c), c->now) >= STALE_VIEW_S;
}

static FkTaskStatus *heartbeat_find_task(const FkHeartbeat *r, const char *job, guint32 task,
                                         FkAttempt attempt) {
  for (guint i = 0; r && i < r->tasks->len; i++) {
    FkTaskStatus *t = r->tasks->pdata[i];
    if (t->task == task && t->attempt.n == attempt.n && g_str_equal(t->job, job))
      return t;
  }
  return NULL;
}

static FkAllocationRef *allocation_find(const FkMachine *m, const char *job, guint32 task,
                                        FkAttempt attempt) {
  for (guint i = 0; i < m->allocations->len; i++) {
    FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
    if (b->task == task && b->attempt.n == attempt.n && g_str_equal(b->job->spec->id, job))
      return b;
  }
  return NULL;
}

static gboolean allocation_is_leaving(const FkAllocationRef *b) {
  return b->stop_requested || b->job->cancelled;
}

/* ------------------------------------------------------------------ orders */

static FkCommand *command_new(FkCommandKind op, const char *job, guint32 task, FkAttempt attempt,
                              double grace) {
  FkCommand *o = g_new0(FkCommand, 1);
  *o = (FkCommand){op, g_strdup(job), task, attempt, grace};
  return o;
}

static void command_free(gpointer p) {
  FkCommand *o = p;
  g_free(o->job);
  g_free(o);
}

/* What would bring the machine in line with its bookings. */
static GPtrArray *commands_for(FkController *c, FkMachine *m) {
  FkWorkerState *h = m->worker;
  GPtrArray *orders = g_ptr_array_new_with_free_func(command_free);
  h->lingering_attempts = 0;
  /* Stops first: an answer renews the lease of all that it doesn't stop, and an answer's length is bounded.
   */
  for (guint i = 0; i < h->heartbeat->tasks->len && orders->len < COMMANDS_MAX; i++) {
    FkTaskStatus *t = h->heartbeat->tasks->pdata[i];
    if (t->state == FK_TASK_EXITED)
      continue;
    FkAllocationRef *b = allocation_find(m, t->job, t->task, t->attempt);
    if (!b || b->job->cancelled) {
      g_ptr_array_add(orders, command_new(FK_COMMAND_STOP, t->job, t->task, t->attempt, 0));
    } else if (b->stop_requested && t->state != FK_TASK_SAVING) {
      double grace = b->job->spec->checkpoint_s > 0 ? b->job->spec->save_s + 1 : 0;
      g_ptr_array_add(orders, command_new(FK_COMMAND_STOP, t->job, t->task, t->attempt, grace));
    }
  }
  for (guint i = 0; i < h->heartbeat->tasks->len && orders->len < COMMANDS_MAX; i++) {
    FkTaskStatus *t = h->heartbeat->tasks->pdata[i];
    if (t->state != FK_TASK_EXITED || allocation_find(m, t->job, t->task, t->attempt))
      continue;
    /* An attempt whose start may still arrive, or arrive again, must not be forgotten: it would run again. */
    g_autofree char *key = fk_attempt_key(t->job, t->task, t->attempt);
    if (g_hash_table_contains(h->starts_in_doubt, key) || g_hash_table_contains(h->starts_in_flight, key) ||
        g_hash_table_contains(h->starts_replied, key))
      h->lingering_attempts++;
    else
      g_ptr_array_add(orders, command_new(FK_COMMAND_FORGET, t->job, t->task, t->attempt, 0));
  }
  for (guint i = 0; i < m->allocations->len && orders->len < COMMANDS_MAX; i++) {
    FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
    if (!allocation_is_leaving(b) &&
        !heartbeat_find_task(h->heartbeat, b->job->spec->id, b->task, b->attempt) &&
        !fk_completion_is_pending(c, m, b))
      g_ptr_array_add(orders, command_new(FK_COMMAND_START, b->job->spec->id, b->task, b->attempt, 0));
  }
  return orders;
}

static void remember_starts(GHashTable *set, GPtrArray *orders) {
  for (guint i = 0; i < orders->len; i++) {
    FkCommand *o = orders->pdata[i];
    if (o->kind == FK_COMMAND_START)
      g_hash_table_add(set, fk_attempt_key(o->job, o->task, o->attempt));
  }
}

/* Sends orders straight to the machine, one call at a time, when there's something to say, or to see whether
 * it is still there. */
static void send_commands(FkController *c, FkMachine *m, gboolean probe) {
  FkWorkerState *h = m->worker;
  h->reconciled = FALSE;
  if (h->command_call || !(m->record || h->heartbeat) || !fk_time_reached(c->now, h->command_after) ||
      !view_is_current(c) || (view_is_stale(c) && !fk_worker_has_echoed_token(m)))
    return;
  GPtrArray *orders;
  if (h->heartbeat) {
    orders = commands_for(c, m);
    /* what is only to be forgotten can wait for the next report */
    gboolean pressing = FALSE;
    for (guint i = 0; i < orders->len && !pressing; i++)
      pressing = ((FkCommand *)orders->pdata[i])->kind != FK_COMMAND_FORGET;
    if (!pressing && fk_worker_has_echoed_token(m) && !probe) {
      h->reconciled = TRUE;
      g_ptr_array_unref(orders);
      return;
    }
  } else {
    /* a machine that we have taken over: let it see the new token, and us its state */
    orders = g_ptr_array_new_with_free_func(command_free);
  }
  FkOutput *o = fk_output_new(c, FK_OUTPUT_COMMANDS);
  o->call = ++c->calls.last_id;
  o->machine = g_strdup(m->id);
  o->addr = g_strdup(m->record ? m->record->addr : h->heartbeat->addr);
  o->fencing_token = (FkFencingToken){m->shard->rev.n};
  o->incarnation = h->heartbeat ? h->heartbeat->incarnation : 1;
  o->commands = orders;
  remember_starts(h->starts_in_flight, orders);
  g_debug("%s commands %s: session %" G_GUINT64_FORMAT ", token %" G_GUINT64_FORMAT ", %u orders",
          c->settings->node, m->id, o->incarnation, o->fencing_token.n, orders->len);
  h->command_call = o->call;
  h->command_shard_rev = m->shard->rev;
  fk_failure_detector_probe_sent(&h->failure_detector);
  g_hash_table_insert(c->workers.commands, g_memdup2(&o->call, sizeof o->call), (gpointer)m->id);
}

/* ------------------------------------------------------------------ results */

/* A booking whose task has certainly gone, without a result. */
typedef enum { VERDICT_KEEP, VERDICT_RELEASED, VERDICT_DONE } Verdict;

static Verdict allocation_verdict(FkController *c, FkMachine *m, const FkAllocationRef *b,
                                  gboolean lease_over, gboolean *need_claim) {
  FkWorkerState *h = m->worker;
  if (lease_over)
    return VERDICT_RELEASED;
  if (!h || !fk_worker_has_echoed_token(m) || !h->heartbeat)
    return VERDICT_KEEP;
  FkTaskStatus *t = heartbeat_find_task(h->heartbeat, b->job->spec->id, b->task, b->attempt);
  if (t)
    return t->state != FK_TASK_EXITED       ? VERDICT_KEEP
           : t->exit_reason == FK_EXIT_DONE ? VERDICT_DONE
                                            : VERDICT_RELEASED;
  if (!allocation_is_leaving(b))
    return VERDICT_KEEP;
  /* Absent, and to leave: only proof when no start of it can be under way. */
  g_autofree char *key = fk_attempt_key(b->job->spec->id, b->task, b->attempt);
  if (g_hash_table_contains(h->starts_in_flight, key) || g_hash_table_contains(h->starts_replied, key))
    return VERDICT_KEEP;
  if (g_hash_table_contains(h->starts_in_doubt, key)) {
    *need_claim = TRUE;
    return VERDICT_KEEP;
  }
  return VERDICT_RELEASED;
}

/* A start that was refused says something of the machine, or of what it knows of the job, and nothing of how
 * the task would have gone. */
static void back_off_after_refusal(FkController *c, FkMachine *m, const FkAllocationRef *b,
                                   FkExitReason why) {
  if (why == FK_EXIT_FULL || why == FK_EXIT_BUSY)
    m->full_until = fk_time_add(c->now, 2);
  else if (why == FK_EXIT_UNKNOWN)
    b->job->retry_at = fk_time_add(c->now, 1);
}

static FkExitReason exit_reason(const FkMachine *m, const FkAllocationRef *b) {
  FkTaskStatus *t =
      m->worker ? heartbeat_find_task(m->worker->heartbeat, b->job->spec->id, b->task, b->attempt) : NULL;
  return t && t->state == FK_TASK_EXITED ? t->exit_reason : FK_EXIT_NONE;
}

/* A new token makes the starts that may still arrive void. */
static void request_new_token(FkController *c, FkMachine *m) {
  if (fk_time_between(m->worker->shard_rev_since, c->now) > REACQUIRE_AFTER_S)
    m->shard->acquire_wanted = TRUE;
}

/* Notes what has certainly ended on this machine, to be written down. */
static void complete_ended_allocations(FkController *c, FkMachine *m, gboolean lease_over) {
  gboolean need_claim = FALSE;
  for (guint i = 0; i < m->allocations->len; i++) {
    FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
    if (fk_completion_is_pending(c, m, b))
      continue;
    Verdict go = allocation_verdict(c, m, b, lease_over, &need_claim);
    if (go == VERDICT_KEEP)
      continue;
    g_debug("%s/%u attempt %" G_GUINT64_FORMAT " on %s has ended: %s%s", b->job->spec->id, b->task,
            b->attempt.n, m->id, go == VERDICT_DONE ? "done" : "released", lease_over ? ", lease over" : "");
    FkExitReason why = exit_reason(m, b);
    fk_completions_add(c, m, b,
                       go == VERDICT_DONE                    ? FK_COMPLETION_DONE
                       : why == FK_EXIT_ERROR && !lease_over ? FK_COMPLETION_FAILED
                                                             : FK_COMPLETION_RELEASED,
                       TRUE);
    back_off_after_refusal(c, m, b, why);
  }
  if (need_claim)
    request_new_token(c, m);
}

/* A machine that began anew is believed again under a new token; and attempts that must not be forgotten
 * under this one would fill its reports. */
static void request_new_token_if_needed(FkController *c, FkMachine *m) {
  const FkWorkerState *h = m->worker;
  if (h->lingering_attempts > LINGERING_ATTEMPTS_MAX ||
      (h->restarted_under.n && fk_rev_equal(h->restarted_under, m->shard->rev)))
    request_new_token(c, m);
}

/* A mark may be raised from a notice to silent, and taken back; otherwise the first stays. */
static void set_drain_reason(FkController *c, FkMachine *m, const char *why, double notice_s) {
  gboolean worse =
      m->drain_reason && why && g_str_equal(m->drain_reason, "notice") && g_str_equal(why, "silent");
  if (!m->record || g_strcmp0(m->drain_reason, why) == 0 || (m->drain_reason && why && !worse))
    return;
  if (why && g_strcmp0(m->pending_drain_reason, why) != 0)
    g_message("machine %s is to be marked: %s", m->id, why);
  fk_machine_registry_set_drain_reason(c, m, why, notice_s);
}

/* ------------------------------------------------------------------ reports */

static gboolean sent_under_older_token(gpointer key, gpointer rev, gpointer token) {
  return *(guint64 *)rev < *(guint64 *)token;
}

/* Something in the new report that only an order of ours brings about: an attempt that is new, or one that
 * has gone. Asked only while it is in doubt whether the machine hears us. */
static gboolean heartbeat_shows_effect(const FkHeartbeat *old, const FkHeartbeat *new) {
  if (!old || old->incarnation != new->incarnation)
    return FALSE;
  for (guint i = 0; i < new->tasks->len; i++) {
    const FkTaskStatus *t = new->tasks->pdata[i];
    if (!heartbeat_find_task(old, t->job, t->task, t->attempt))
      return TRUE;
  }
  for (guint i = 0; i < old->tasks->len; i++) {
    const FkTaskStatus *t = old->tasks->pdata[i];
    if (!heartbeat_find_task(new, t->job, t->task, t->attempt))
      return TRUE;
  }
  return FALSE;
}

/* The machine's state is what this says. */
static void replace_heartbeat(FkController *c, FkMachine *m, FkHeartbeat *r /* taken */) {
  FkWorkerState *h = m->worker;
  if (h->heartbeat && r->incarnation > h->heartbeat->incarnation) {
    /* nothing sent in an earlier session can arrive any more */
    g_hash_table_remove_all(h->starts_in_doubt);
    g_hash_table_remove_all(h->starts_replied);
  }
  if (fk_failure_detector_is_suspected(&h->failure_detector) && heartbeat_shows_effect(h->heartbeat, r))
    fk_failure_detector_effect_seen(&h->failure_detector);
  /* The token shows that it isn't older than our claim; what began anew under it has shown nothing yet. */
  if (r->fencing_token.n == m->shard->rev.n && !fk_rev_equal(h->restarted_under, m->shard->rev) &&
      fk_failure_detector_token_echoed(&h->failure_detector, m->shard->rev, c->now)) {
    /* Starts sent under an older token can't be carried out any more. Those sent under this one before it was
     * heard of still can. */
    g_hash_table_foreach_remove(h->starts_in_doubt, sent_under_older_token, &m->shard->rev.n);
  }
  fk_heartbeat_free(h->heartbeat);
  h->heartbeat = r;
  /* A copy may be of a machine that was returned long ago: who hasn't shown that it is there now isn't
   * written down. */
  if (!m->record && fk_worker_has_echoed_token(m))
    fk_machine_registry_add(c, m, h->heartbeat);
}

static FkHeartbeatSequence heartbeat_sequence(const FkHeartbeat *r) {
  return (FkHeartbeatSequence){r->incarnation, r->sequence};
}

/* The machine's count began anew, and so did the machine: it was away for a moment, and nothing of what it
 * had is there. What was sent to it before belongs to connections that went with it; what the network may
 * repeat is made void by the next claim, before which its token proves nothing. */
static void worker_restarted(FkController *c, FkMachine *m, FkHeartbeat *r /* taken */) {
  FkWorkerState *h = m->worker;
  g_message("machine %s has begun anew", m->id);
  g_hash_table_remove_all(h->starts_in_doubt);
  g_hash_table_remove_all(h->starts_replied);
  h->restarted_under = m->shard->rev;
  g_clear_pointer(&h->heartbeat, fk_heartbeat_free);
  replace_heartbeat(c, m, r);
}

static void reconcile(FkController *c, FkMachine *m) {
  FkWorkerState *h = m->worker;
  if (!h || !h->heartbeat)
    return;
  complete_ended_allocations(c, m, FALSE);
  send_commands(c, m, FALSE);
  request_new_token_if_needed(c, m);
  if (!m->record)
    return;
  if (h->heartbeat->termination_notice_s >= 0)
    set_drain_reason(c, m, "notice", h->heartbeat->termination_notice_s);
  else if (fk_fault_attribution_machine_is_faulty(c->view->fault_attribution, m->id))
    set_drain_reason(c, m, "sick", -1);
  else if ((g_strcmp0(m->drain_reason, "silent") == 0 || g_strcmp0(m->pending_drain_reason, "silent") == 0) &&
           fk_worker_has_echoed_token(m) && fk_time_between(h->failure_detector.last_heard_at, c->now) < 1 &&
           !fk_failure_detector_is_partitioned(&h->failure_detector, c->now))
    fk_machine_registry_set_drain_reason(c, m, NULL, -1);
}

/* A controller that has lost the store and its peers, and has its workers still, learns from them that it
 * isn't alone in the world: who claims its groups shows the new token to a machine of each at once, and the
 * token of one is the token of all. Then all of the group's workers are sent away as they report, not one
 * after the other as each hears of it. In an outage of the whole store nobody can claim, so nobody is sent
 * away in vain. While the view is fresh a token that it lacks is no claim's, and counts for nothing but its
 * own machine. */
static void note_later_token(FkController *c, FkShard *g, FkFencingToken token) {
  if (!view_is_stale(c)) {
    g->later_token.n = 0;
    return;
  }
  if (token.n <= MAX(g->rev.n, g->later_token.n))
    return;
  g->later_token.n = token.n;
  g_message("group %s has another home by now: its workers are sent away", g->id);
}

static FkOutput *reply_to_worker(FkController *c, FkRequestId r, int status) {
  FkOutput *o = fk_output_new(c, FK_OUTPUT_HEARTBEAT_REPLY);
  o->request = r;
  o->status = status;
  return o;
}

static void redirect_worker(FkController *c, FkRequestId r, const char *machine, const char *to) {
  FkRedirect *d = g_new0(FkRedirect, 1);
  d->sent_at = c->now;
  d->target = g_strdup(to);
  g_hash_table_replace(c->workers.redirects, g_strdup(machine), d);
  reply_to_worker(c, r, 421)->redirect_to = g_strdup(to);
}

static void hold_heartbeat(FkController *c, FkRequestId r, FkHeartbeat *report, FkTime since, FkRev rev) {
  FkHeldHeartbeat *held = g_new0(FkHeldHeartbeat, 1);
  *held = (FkHeldHeartbeat){r, report, since, rev};
  g_queue_push_tail(c->workers.held_heartbeats, held);
}

/* Our claims as the view has them: new ones begin, lost ones end. */
static void refresh_worker_state(FkController *c, FkMachine *m) {
  if (!m->worker) {
    m->worker = worker_state_new();
    m->worker_state_free = worker_state_free;
  }
  if (m->worker->shard_rev.n != m->shard->rev.n) {
    m->worker->shard_rev = m->shard->rev;
    m->worker->shard_rev_since = c->now;
  }
  if (!m->worker->owned) {
    m->worker->owned = TRUE;
    m->shard->announcements_due = ANNOUNCEMENTS_PER_SHARD;
    fk_failure_detector_acquired(&m->worker->failure_detector, c->now);
  }
}

/* Its workers can't reach the group's home, or the one that should have it, when a part of them came back
 * from there; one that came back twice counts for two. A few of many prove nothing but that the home is slow,
 * and a home that has only just taken the group from us can be reached, since its workers were there: without
 * both, two busy controllers take the same groups from each other again and again, and each time all their
 * machines must hear of a new token. */
static void note_returned_worker(FkController *c, FkShard *g, const char *machine) {
  FkHandback *b = g_hash_table_lookup(g->returned_machines, machine);
  if (!b) {
    b = g_new0(FkHandback, 1);
    g_hash_table_insert(g->returned_machines, g_strdup(machine), b);
  }
  b->previous_at = b->last_at;
  b->last_at = c->now;
  guint lately = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, g->returned_machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    b = p;
    double ago = fk_time_between(b->last_at, c->now);
    if (ago < RETURN_WINDOW_S)
      lately +=
          b->previous_at.us && fk_time_between(b->previous_at, b->last_at) < 3 * RETURN_WINDOW_S ? 2 : 1;
    if (ago > 3 * RETURN_WINDOW_S)
      g_hash_table_iter_remove(&it);
  }
  double enough = MAX(2, RETURNED_SHARE_MIN * g->machines->len);
  if (fk_time_reached(c->now, g->ignore_returns_until) && (lately >= enough || g->machines->len <= 1))
    g->acquire_wanted = TRUE;
}

/* The group's home is in another life than the one that claimed it: it will claim it again by itself. */
static gboolean owner_is_restarting(FkController *c, const FkShard *g) {
  FkControllerNode *n = g->owner ? g_hash_table_lookup(c->view->nodes, g->owner) : NULL;
  return n && g_strcmp0(n->incarnation, g->owner_incarnation) != 0;
}

#define DUPLICATE_PROBE_AFTER_S 1.0
#define UNREGISTERED_PROBES_MAX 2 /* to a machine that no page has */

/* Nobody waits for the answer to a copy, unless the machine has begun anew, and its count with it: that is
 * asked of the machine itself, and a flood of copies costs one question a second at the most. */
static void reject_duplicate(FkController *c, FkRequestId r, FkMachine *m) {
  FkWorkerState *h = m->worker;
  c->workers.duplicate_heartbeats++;
  reply_to_worker(c, r, 503);
  if (fk_time_between(h->failure_detector.last_heard_at, c->now) >= DUPLICATE_PROBE_AFTER_S)
    send_commands(c, m, TRUE);
}

/* `seen`: the claim's revision when the report first came, or NULL if it comes only now. */
static void handle_heartbeat(FkController *c, FkRequestId r, FkHeartbeat *report /* taken */, FkTime since,
                             const FkRev *seen) {
  if (!fk_controller_is_ready(c) || !view_is_current(c)) {
    reply_to_worker(c, r, 503);
    fk_heartbeat_free(report);
    return;
  }
  g_autofree char *group = fk_shard_id_for_machine(report->zone, report->machine);
  FkShard *g = fk_view_ensure_shard(c->view, group);
  if (!fk_shard_is_owned(c, g)) {
    gboolean others = g->owner && !g_str_equal(g->owner, c->settings->node) && fk_node_is_alive(c, g->owner);
    const char *to = others ? g->owner : fk_shard_preferred_owner(c, g);
    FkRedirect *d = g_hash_table_lookup(c->workers.redirects, report->machine);
    gboolean sent_there =
        d && g_str_equal(d->target, to) && fk_time_between(d->sent_at, c->now) < RETURN_WINDOW_S;
    if (!g_str_equal(to, c->settings->node)) {
      /* It belongs to another. If it comes back soon after having been sent there, it can't reach that one.
       */
      if (!seen && sent_there && !owner_is_restarting(c, g))
        note_returned_worker(c, g, report->machine);
      if (!g->acquire_wanted && !(seen && fk_rev_equal(*seen, g->rev))) {
        redirect_worker(c, r, report->machine, to);
        fk_heartbeat_free(report);
        return;
      }
    } else if (!g->owner || !fk_node_is_alive(c, g->owner)) {
      g->acquire_wanted = TRUE;
    }
    if (fk_time_between(since, c->now) > 3.0) {
      reply_to_worker(c, r, 503);
      fk_heartbeat_free(report);
      return;
    }
    hold_heartbeat(c, r, report, since, seen ? *seen : g->rev);
    return;
  }
  c->view->now = c->now;
  FkMachine *m = fk_view_ensure_machine(c->view, report->machine);
  fk_view_assign_shard(c->view, m, report->zone);
  if (m->shard != g) {
    /* the zone isn't what it was: not a machine that we know how to deal with */
    reply_to_worker(c, r, 421);
    fk_heartbeat_free(report);
    return;
  }
  if (!m->worker)
    refresh_worker_state(c, m);
  FkWorkerState *h = m->worker;
  note_later_token(c, g, report->fencing_token);
  if (!report->fencing_token.n && view_is_stale(c)) {
    /* It has seen no token, so a later home's, that would keep our answer out, may be forgotten: a machine
     * that has begun anew. Who has seen one has had it from a home that knew its claim to stand. */
    reply_to_worker(c, r, 503);
    fk_heartbeat_free(report);
    return;
  }
  if (MAX(report->fencing_token.n, g->later_token.n) > g->rev.n) {
    /* a later claim than ours has been seen; with a fresh view there can be none */
    c->workers.impossible_tokens += !g->later_token.n && !view_is_stale(c);
    reply_to_worker(c, r, 421);
    fk_heartbeat_free(report);
    return;
  }
  FkHeartbeatSequence at = heartbeat_sequence(report);
  FkHeartbeatFreshness news =
      fk_failure_detector_heartbeat(&h->failure_detector, at, c->settings->worker_lease_s, c->now);
  if (news == FK_HEARTBEAT_DUPLICATE) {
    reject_duplicate(c, r, m);
    fk_heartbeat_free(report);
    return;
  }
  if (news == FK_HEARTBEAT_NEW)
    replace_heartbeat(c, m, report);
  else
    fk_heartbeat_free(report);
  /* the worker has read or dropped the answer to its report before this one */
  if (fk_heartbeat_sequence_after(at, h->starts_replied_to))
    g_hash_table_remove_all(h->starts_replied);
  if (g_strcmp0(m->drain_reason, "silent") == 0 &&
      fk_failure_detector_is_partitioned(&h->failure_detector, c->now)) {
    /* it goes; and an answer that it may never get would put off the proof by its lease for ever */
    reply_to_worker(c, r, 503);
    return;
  }
  FkOutput *o = reply_to_worker(c, r, 200);
  o->fencing_token = (FkFencingToken){m->shard->rev.n};
  /* Orders count only for the state that the latest report shows; with the token new to the worker they are
   * just as good, since the answer itself carries it. */
  o->commands = commands_for(c, m);
  remember_starts(h->starts_replied, o->commands);
  h->starts_replied_to = at;
  fk_failure_detector_replied(&h->failure_detector, c->now);
  g_debug("%s answers %s: session %" G_GUINT64_FORMAT ", token %" G_GUINT64_FORMAT ", %u orders",
          c->settings->node, m->id, h->heartbeat->incarnation, o->fencing_token.n, o->commands->len);
  reconcile(c, m);
}

void fk_controller_heartbeat_received(FkController *c, FkTime now, FkRequestId r, FkHeartbeat *report) {
  c->now = now;
  handle_heartbeat(c, r, report, now, NULL);
}

void fk_controller_command_reply_received(FkController *c, FkTime now, guint64 call, FkOutcome o,
                                          FkHeartbeat *report) {
  c->now = now;
  const char *id = g_hash_table_lookup(c->workers.commands, &call);
  g_hash_table_remove(c->workers.commands, &call);
  FkMachine *m = id && fk_controller_is_ready(c) ? fk_view_find_machine(c->view, id) : NULL;
  if (!m || !m->worker || m->worker->command_call != call) {
    fk_heartbeat_free(report);
    return;
  }
  FkWorkerState *h = m->worker;
  h->command_call = 0;
  gboolean answered = (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT) && report;
  /* Carried out or not, its starts may arrive at any later time, and those that were carried out may arrive
   * again, as long as token and session stand. What was refused is older than one of them for good. */
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init(&it, h->starts_in_flight);
  while (o != FK_OUTCOME_CONFLICT && g_hash_table_iter_next(&it, &key, NULL))
    g_hash_table_replace(h->starts_in_doubt, g_strdup(key),
                         g_memdup2(&h->command_shard_rev.n, sizeof h->command_shard_rev.n));
  g_hash_table_remove_all(h->starts_in_flight);
  if (o == FK_OUTCOME_CONFLICT)
    h->command_after = fk_time_add(now, 0.2);
  if (!answered) {
    h->command_after = fk_time_add(now, 1.0);
    fk_failure_detector_probe_missed(&h->failure_detector, now);
  }
  if (answered && fk_machine_is_owned(c, m))
    note_later_token(c, m->shard, report->fencing_token);
  if (!answered || !fk_machine_is_owned(c, m) || report->fencing_token.n > m->shard->rev.n) {
    fk_heartbeat_free(report);
    return;
  }
  FkHeartbeatFreshness news = fk_failure_detector_probe_answered(
      &h->failure_detector, heartbeat_sequence(report), c->settings->worker_lease_s, now);
  if (news == FK_HEARTBEAT_RESTARTED)
    worker_restarted(c, m, report);
  else if (news == FK_HEARTBEAT_NEW)
    replace_heartbeat(c, m, report);
  else
    fk_heartbeat_free(report);
  reconcile(c, m);
}

/* ------------------------------------------------------------------ view and time */

void fk_workers_view_changed(FkController *c) {
  GHashTableIter it;
  gpointer key;
  g_autoptr(GHashTable) touched = g_steal_pointer(&c->view->changed_machines);
  c->view->changed_machines = g_hash_table_new(g_str_hash, g_str_equal);
  g_hash_table_iter_init(&it, touched);
  while (g_hash_table_iter_next(&it, &key, NULL)) {
    FkMachine *m = fk_view_find_machine(c->view, key);
    if (!m)
      continue;
    if (!fk_machine_is_owned(c, m)) {
      g_clear_pointer(&m->worker, worker_state_free);
      g_clear_pointer(&m->probes, g_ptr_array_unref);
      continue;
    }
    refresh_worker_state(c, m);
    reconcile(c, m);
  }
  /* reports that waited for a claim */
  guint n = c->workers.held_heartbeats->length;
  while (n--) {
    FkHeldHeartbeat *held = g_queue_pop_head(c->workers.held_heartbeats);
    handle_heartbeat(c, held->request, held->heartbeat, held->received_at, &held->shard_rev);
    g_free(held);
  }
}

/* The moment after which the worker has certainly ended its tasks, if nobody has answered it since. */
static FkTime lease_end_of(FkController *c, const FkMachine *m) {
  FkTime from =
      fk_failure_detector_lease_from(&m->worker->failure_detector, fk_stale_view_trust_s(c->settings));
  return fk_time_add(from, fk_lease_expiry_s(c->settings));
}

static gboolean has_service(const FkMachine *m) {
  for (guint i = 0; i < m->allocations->len; i++)
    if (g_array_index(m->allocations, FkAllocationRef, i).job->spec->shape == FK_SHAPE_SERVICE)
      return TRUE;
  return FALSE;
}

/* How long a machine may be quiet until it is asked itself. Where reports are rare, a machine with services
 * isn't left alone for that long. */
static double probe_after_s(FkController *c, const FkMachine *m) {
  double report_s = c->settings->heartbeat_interval_s;
  return PROBE_AFTER_INTERVALS * (has_service(m) ? MIN(report_s, SERVICE_INTERVAL_MAX_S) : report_s);
}

static double silent_after_s(FkController *c, const FkMachine *m) {
  double own = c->settings->tuning.silent_after_s;
  return own > 0 ? MAX(own, PROBE_AFTER_INTERVALS * c->settings->heartbeat_interval_s)
                 : probe_after_s(c, m) + PROBE_REPLY_WAIT_S;
}

static FkTime silent_since(const FkMachine *m) {
  return fk_failure_detector_silent_since(&m->worker->failure_detector);
}

/* A machine is silent when it wasn't heard, nor answered, although others were heard in the meantime. If they
 * weren't either, it is we who are cut off: returning them all would throw away what runs there. A zone that
 * was dark comes back one machine after the other: the first ones heard must not condemn the rest, which have
 * had no time to answer, so that their quiet counts from the end of the dark, and for longer after a long
 * one. */
static gboolean is_silent(FkController *c, const FkMachine *m, const FkZoneReachability *zone) {
  double quiet = fk_time_between(silent_since(m), c->now), limit = silent_after_s(c, m);
  /* Not answering a direct question is what counts: without one, or when we have been too slow to hear, quiet
   * proves nothing. */
  if (quiet <= limit || !m->worker->failure_detector.missed_probes ||
      !fk_time_reached(c->now, c->workers.behind_until))
    return FALSE;
  if (zone->machines <= 1)
    return quiet > 2 * limit;
  double lit = fk_time_between(zone->outage_seen_at, c->now),
         some = fk_time_between(zone->all_silent_at, c->now);
  if (lit <= OUTAGE_CHECK_S)
    return MIN(quiet, some) > 3 * limit;
  return silent_since(m).us > zone->outage_seen_at.us ||
         lit > limit + MIN(limit, fk_time_between(zone->outage_began, zone->outage_seen_at));
}

/* One that speaks and doesn't hear goes as one that is silent. When more than half of them do, it is our
 * answers that get lost, and the others' workers find another home. */
static gboolean is_partitioned(FkController *c, const FkMachine *m, const FkZoneReachability *zone) {
  return fk_failure_detector_is_partitioned(&m->worker->failure_detector, c->now) &&
         m->worker->failure_detector.missed_probes && 2 * zone->partitioned <= MAX(2, zone->machines) &&
         fk_time_reached(c->now, c->workers.behind_until);
}

static gboolean redirect_expired(gpointer machine, gpointer redirect_worker, gpointer now) {
  return fk_time_between(((FkRedirect *)redirect_worker)->sent_at, *(FkTime *)now) > RETURN_WINDOW_S;
}

/* Silence and the lease's end come by themselves, and are looked for each time. All else comes with a report,
 * an answer or a change of the view, and is dealt with then: a machine with nothing pending is gone through
 * now and then only (`thorough`). */
static void check_worker(FkController *c, FkMachine *m, const FkZoneReachability *zone, gboolean thorough) {
  FkWorkerState *h = m->worker;
  double quiet = fk_time_between(silent_since(m), c->now);
  if (is_silent(c, m, zone))
    set_drain_reason(c, m, "silent", -1);
  if (m->record && !m->drain_reason && is_partitioned(c, m, zone)) {
    g_message("machine %s is heard and hears nothing: %u questions unanswered%s", m->id,
              h->failure_detector.missed_probes,
              h->failure_detector.lease_lapsed ? ", its lease ran out though its reports were answered" : "");
    set_drain_reason(c, m, "silent", -1);
  }
  request_new_token_if_needed(c, m);
  if (!m->record && h->failure_detector.missed_probes >= UNREGISTERED_PROBES_MAX)
    return; /* only copies speak of it */
  gboolean probe = quiet > probe_after_s(c, m) || fk_failure_detector_is_suspected(&h->failure_detector);
  if (fk_time_reached(c->now, lease_end_of(c, m)))
    complete_ended_allocations(c, m, TRUE);
  else if (h->reconciled && !probe && !thorough)
    return;
  else
    send_commands(c, m, probe);
  if (h->heartbeat)
    complete_ended_allocations(c, m, FALSE);
}

/* Machines that are nobody's: gone, with nothing booked, or only heard of. A machine that no page has is gone
 * for good, and so is what was booked there: the leader writes that down. */
static void drop_gone_machines(FkController *c) {
  g_autoptr(GPtrArray) drop = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    if (m->record)
      continue;
    for (guint i = 0; c->leader.is_leader && i < m->allocations->len; i++) {
      FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
      if (!fk_completion_is_pending(c, m, b) && fk_time_between(b->first_seen_at, c->now) > 1)
        fk_completions_add(c, m, b, FK_COMPLETION_RELEASED, FALSE);
    }
    gboolean heard = m->worker && fk_time_between(silent_since(m), c->now) < 60;
    if (!m->allocations->len && m->reserved_cpus <= 0 && !heard)
      g_ptr_array_add(drop, m);
  }
  for (guint i = 0; i < drop->len; i++)
    fk_view_remove_machine(c->view, drop->pdata[i]);
}

static FkZoneReachability *zone_reachability(FkController *c, const char *zone) {
  for (guint i = 0; i < c->workers.zones->len; i++)
    if (g_array_index(c->workers.zones, FkZoneReachability, i).zone == zone)
      return &g_array_index(c->workers.zones, FkZoneReachability, i);
  FkZoneReachability h = {.zone = zone};
  g_array_append_val(c->workers.zones, h);
  return &g_array_index(c->workers.zones, FkZoneReachability, c->workers.zones->len - 1);
}

/* Counted by zone: a home that a partition has cut off from another zone still hears its own, and must not
 * take all the machines over there for silent. What counts as lately is shorter than the shortest silence:
 * when the first machine over there would be judged, none of the others may count as heard from before the
 * cut. Where there are enough of them the last moment tells more: a machine that was quiet for seconds before
 * the cut is asked just after it, and judged while the others still count as heard lately (thirty machines
 * with 107 replicas were returned in the three seconds after a controller lost its workers). */
static void count_reachable(FkController *c) {
  for (guint i = 0; i < c->workers.zones->len; i++) {
    FkZoneReachability *h = &g_array_index(c->workers.zones, FkZoneReachability, i);
    h->machines = h->heard_lately = h->heard_just_now = h->partitioned = 0;
    h->expected_just_now = 0;
  }
  double report_s = c->settings->heartbeat_interval_s,
         recent = MIN(1.25 * report_s + 1.5,
                      PROBE_AFTER_INTERVALS * MIN(report_s, SERVICE_INTERVAL_MAX_S) + PROBE_REPLY_WAIT_S - 1);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->shards);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkShard *g = p;
    if (!fk_shard_is_owned(c, g))
      continue;
    FkZoneReachability *h = zone_reachability(c, g->zone);
    for (guint i = 0; i < g->machines->len; i++) {
      FkMachine *m = g->machines->pdata[i];
      if (!m->worker || !m->record)
        continue;
      h->machines++;
      double ago = fk_time_between(m->worker->failure_detector.last_heard_at, c->now);
      h->partitioned += fk_failure_detector_is_partitioned(&m->worker->failure_detector, c->now);
      h->heard_lately += ago < recent;
      h->heard_just_now += ago < JUST_NOW_S;
      h->expected_just_now += m->drain_reason ? 0 : MIN(1, JUST_NOW_S / MIN(report_s, probe_after_s(c, m)));
    }
  }
  for (guint i = 0; i < c->workers.zones->len; i++) {
    FkZoneReachability *h = &g_array_index(c->workers.zones, FkZoneReachability, i);
    if (h->machines && (h->heard_lately < OUTAGE_SHARE * (h->machines - 1) ||
                        (h->expected_just_now >= EXPECTED_JUST_NOW_MIN &&
                         h->heard_just_now < OUTAGE_SHARE * h->expected_just_now))) {
      if (fk_time_between(h->outage_seen_at, c->now) > OUTAGE_CHECK_S)
        h->outage_began = c->now;
      h->outage_seen_at = c->now;
    }
    if (h->machines && !h->heard_lately)
      h->all_silent_at = c->now;
  }
}

/* Shows the claim to a machine or two of the group at once, without waiting for it to report. */
static void announce_ownership(FkController *c, FkShard *g) {
  for (guint i = 0; i < g->machines->len && g->announcements_due; i++) {
    FkMachine *m = g->machines->pdata[i];
    if (!m->record || !m->worker || fk_worker_has_echoed_token(m))
      continue;
    send_commands(c, m, TRUE);
    g->announcements_due--;
  }
  g->announcements_due = 0;
}

#define TICK_LATE_S 0.7 /* a tick so much later than the last: we are behind */
#define BEHIND_PAUSE_S 3.0

void fk_workers_tick(FkController *c) {
  if (c->workers.last_tick.us && fk_time_between(c->workers.last_tick, c->now) > TICK_LATE_S)
    c->workers.behind_until = fk_time_add(c->now, BEHIND_PAUSE_S);
  c->workers.last_tick = c->now;
  g_hash_table_foreach_remove(c->workers.redirects, redirect_expired, &c->now);
  guint n = c->workers.held_heartbeats->length;
  while (n--) {
    FkHeldHeartbeat *held = g_queue_pop_head(c->workers.held_heartbeats);
    handle_heartbeat(c, held->request, held->heartbeat, held->received_at, &held->shard_rev);
    g_free(held);
  }
  GHashTableIter it;
  gpointer p;
  c->workers.slice = (c->workers.slice + 1) % SCAN_SLICES;
  c->workers.round += !c->workers.slice;
  if (!c->workers.slice) {
    drop_gone_machines(c);
    count_reachable(c);
  }
  g_hash_table_iter_init(&it, c->view->shards);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkShard *g = p;
    const FkZoneReachability *h = zone_reachability(c, g->zone);
    if (fk_shard_is_owned(c, g))
      announce_ownership(c, g);
    for (guint i = c->workers.slice; fk_shard_is_owned(c, g) && i < g->machines->len; i += SCAN_SLICES)
      if (((FkMachine *)g->machines->pdata[i])->worker)
        check_worker(c, g->machines->pdata[i], h,
                     (i / SCAN_SLICES + c->workers.round) % FULL_SCAN_ROUNDS == 0);
  }
}

gboolean fk_machine_is_usable(FkController *c, const FkMachine *m) {
  if (!m->record || m->drain_reason || !fk_time_reached(c->now, m->full_until))
    return FALSE;
  /* what isn't heard, or doesn't hear, is as good as gone: nothing new until it is and does again */
  return !fk_machine_is_owned(c, m) || !m->worker ||
         (!fk_failure_detector_is_suspected(&m->worker->failure_detector) &&
          fk_time_between(m->worker->failure_detector.last_heard_at, c->now) <
              MAX(5, 2 * c->settings->heartbeat_interval_s));
}
