/* A home's dealings with its machines. Level-triggered: whenever a report or the view changes, the orders
 * that would bring the machine in line with the bookings are worked out anew. */
#include "core/controller.h"
#include "core/controller_internal.h"

#define MAX_ORDERS 200 /* an answer's line stays far below 64 KiB */
/* A worker that was sent to its home and can't reach it is back after 4 s for the answer, 1 s of pause and
 * half a second on its way; one that never heard of it, since nothing reaches it, goes through all
 * controllers at 5 s each: with two of them alive it is back after 10 s at the soonest. */
#define COME_BACK_S 9.0
#define BACK_SHARE 0.15   /* of a group's machines that come back: its home can't be reached */
#define RECLAIM_S 3.0     /* a claim made anew must have had time to be heard of */
#define PROBE_AFTER 1.4   /* report intervals without a report: ask the machine itself */
#define WATCHED_S 3.0     /* machines with services are looked after as if they reported at least so often */
#define SILENT_MORE_S 2.3 /* and the answer is waited for so long */
#define LINGER_MAX 64     /* ended attempts in a machine's reports; its group is claimed anew beyond it */
#define SLICES 5          /* machines are looked through in so many ticks */
#define THOROUGH 4        /* every so many times, a machine with nothing pending is gone through as well */
#define STALE_S 2.5       /* a view so old may lack a claim */
#define INTRODUCED 2      /* machines of a group just claimed are told at once */
#define DARK_LOOK_S 1.0   /* whether a zone is dark is looked at twice as often */
#define BRIEF_S                                                                                              \
  1.3 /* shorter than an answer is waited for: who cuts us off is noticed before anybody is marked */
#define BRIEF_LEAST 8.0 /* of so few nothing can be said in a moment */
#define CUT_OFF 0.25    /* when fewer than this share are heard, it is we who are cut off */

static FkHome *home_new(void) {
  FkHome *h = g_new0(FkHome, 1);
  h->unsure = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  h->sending = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  h->offered = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return h;
}

static void home_free(gpointer p) {
  FkHome *h = p;
  g_hash_table_unref(h->unsure);
  g_hash_table_unref(h->sending);
  g_hash_table_unref(h->offered);
  fk_report_free(h->report);
  g_free(h);
}

static gboolean current(FkController *c) {
  return fk_ready(c) && fk_time_between(fk_confirmed(c), c->now) < fk_trust_s(c->settings);
}

/* It may lack a claim. */
static gboolean view_old(FkController *c) { return fk_time_between(fk_confirmed(c), c->now) >= STALE_S; }

static FkTaskReport *report_find(const FkReport *r, const char *job, guint32 task, FkAttempt attempt) {
  for (guint i = 0; r && i < r->tasks->len; i++) {
    FkTaskReport *t = r->tasks->pdata[i];
    if (t->task == task && t->attempt.n == attempt.n && g_str_equal(t->job, job))
      return t;
  }
  return NULL;
}

static FkBookRef *book_find(const FkMachine *m, const char *job, guint32 task, FkAttempt attempt) {
  for (guint i = 0; i < m->books->len; i++) {
    FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
    if (b->task == task && b->attempt.n == attempt.n && g_str_equal(b->job->spec->id, job))
      return b;
  }
  return NULL;
}

static gboolean leaving(const FkBookRef *b) { return b->stop || b->job->cancelled; }

/* ------------------------------------------------------------------ orders */

static FkOrder *order_new(FkOrderOp op, const char *job, guint32 task, FkAttempt attempt, double grace) {
  FkOrder *o = g_new0(FkOrder, 1);
  *o = (FkOrder){op, g_strdup(job), task, attempt, grace};
  return o;
}

static void order_free(gpointer p) {
  FkOrder *o = p;
  g_free(o->job);
  g_free(o);
}

/* What would bring the machine in line with its bookings. */
static GPtrArray *orders_for(FkController *c, FkMachine *m) {
  FkHome *h = m->home;
  GPtrArray *orders = g_ptr_array_new_with_free_func(order_free);
  h->lingering = 0;
  /* Stops first: an answer renews the lease of all that it doesn't stop, and an answer's length is bounded.
   */
  for (guint i = 0; i < h->report->tasks->len && orders->len < MAX_ORDERS; i++) {
    FkTaskReport *t = h->report->tasks->pdata[i];
    if (t->state == FK_TASK_EXITED)
      continue;
    FkBookRef *b = book_find(m, t->job, t->task, t->attempt);
    if (!b || b->job->cancelled) {
      g_ptr_array_add(orders, order_new(FK_ORDER_STOP, t->job, t->task, t->attempt, 0));
    } else if (b->stop && t->state != FK_TASK_SAVING) {
      double grace = b->job->spec->checkpoint_s > 0 ? b->job->spec->save_s + 1 : 0;
      g_ptr_array_add(orders, order_new(FK_ORDER_STOP, t->job, t->task, t->attempt, grace));
    }
  }
  for (guint i = 0; i < h->report->tasks->len && orders->len < MAX_ORDERS; i++) {
    FkTaskReport *t = h->report->tasks->pdata[i];
    if (t->state != FK_TASK_EXITED || book_find(m, t->job, t->task, t->attempt))
      continue;
    /* An attempt whose start may still arrive, or arrive again, must not be forgotten: it would run again. */
    g_autofree char *key = fk_attempt_key(t->job, t->task, t->attempt);
    if (g_hash_table_contains(h->unsure, key) || g_hash_table_contains(h->sending, key) ||
        g_hash_table_contains(h->offered, key))
      h->lingering++;
    else
      g_ptr_array_add(orders, order_new(FK_ORDER_FORGET, t->job, t->task, t->attempt, 0));
  }
  for (guint i = 0; i < m->books->len && orders->len < MAX_ORDERS; i++) {
    FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
    if (!leaving(b) && !report_find(h->report, b->job->spec->id, b->task, b->attempt) && !fk_ending(c, m, b))
      g_ptr_array_add(orders, order_new(FK_ORDER_START, b->job->spec->id, b->task, b->attempt, 0));
  }
  return orders;
}

static void note_starts(GHashTable *set, GPtrArray *orders) {
  for (guint i = 0; i < orders->len; i++) {
    FkOrder *o = orders->pdata[i];
    if (o->op == FK_ORDER_START)
      g_hash_table_add(set, fk_attempt_key(o->job, o->task, o->attempt));
  }
}

/* Sends orders straight to the machine, one call at a time, when there's something to say, or to see whether
 * it is still there. */
static void command(FkController *c, FkMachine *m, gboolean probe) {
  FkHome *h = m->home;
  h->settled = FALSE;
  if (h->command || !(m->rec || h->report) || !fk_time_reached(c->now, h->command_after) || !current(c) ||
      (view_old(c) && !fk_home_heard(m)))
    return;
  GPtrArray *orders;
  if (h->report) {
    orders = orders_for(c, m);
    /* what is only to be forgotten can wait for the next report */
    gboolean pressing = FALSE;
    for (guint i = 0; i < orders->len && !pressing; i++)
      pressing = ((FkOrder *)orders->pdata[i])->op != FK_ORDER_FORGET;
    if (!pressing && fk_home_heard(m) && !probe) {
      h->settled = TRUE;
      g_ptr_array_unref(orders);
      return;
    }
  } else {
    /* a machine that we have taken over: let it see the new token, and us its state */
    orders = g_ptr_array_new_with_free_func(order_free);
  }
  FkOut *o = fk_out(c, FK_OUT_COMMANDS);
  o->call = ++c->next_call;
  o->machine = g_strdup(m->id);
  o->addr = g_strdup(m->rec ? m->rec->addr : h->report->addr);
  o->token = (FkToken){m->group->rev.n};
  o->session = h->report ? h->report->session : 1;
  o->orders = orders;
  note_starts(h->sending, orders);
  g_debug("%s commands %s: session %" G_GUINT64_FORMAT ", token %" G_GUINT64_FORMAT ", %u orders",
          c->settings->node, m->id, o->session, o->token.n, orders->len);
  h->command = o->call;
  h->command_rev = m->group->rev;
  fk_evidence_asked(&h->evidence);
  g_hash_table_insert(c->commands, g_memdup2(&o->call, sizeof o->call), (gpointer)m->id);
}

/* ------------------------------------------------------------------ results */

/* A booking whose task has certainly gone, without a result. */
typedef enum { GO_STAY, GO_RELEASE, GO_DONE } Go;

static Go judge(FkController *c, FkMachine *m, const FkBookRef *b, gboolean lease_over,
                gboolean *need_claim) {
  FkHome *h = m->home;
  if (lease_over)
    return GO_RELEASE;
  if (!h || !fk_home_heard(m) || !h->report)
    return GO_STAY;
  FkTaskReport *t = report_find(h->report, b->job->spec->id, b->task, b->attempt);
  if (t)
    return t->state != FK_TASK_EXITED ? GO_STAY : t->why == FK_WHY_DONE ? GO_DONE : GO_RELEASE;
  if (!leaving(b))
    return GO_STAY;
  /* Absent, and to leave: only proof when no start of it can be under way. */
  g_autofree char *key = fk_attempt_key(b->job->spec->id, b->task, b->attempt);
  if (g_hash_table_contains(h->sending, key) || g_hash_table_contains(h->offered, key))
    return GO_STAY;
  if (g_hash_table_contains(h->unsure, key)) {
    *need_claim = TRUE;
    return GO_STAY;
  }
  return GO_RELEASE;
}

/* A start that was refused says something of the machine, or of what it knows of the job, and nothing of how
 * the task would have gone. */
static void after_refusal(FkController *c, FkMachine *m, const FkBookRef *b, FkWhy why) {
  if (why == FK_WHY_FULL || why == FK_WHY_BUSY)
    m->full_until = fk_time_add(c->now, 2);
  else if (why == FK_WHY_UNKNOWN)
    b->job->retry_at = fk_time_add(c->now, 1);
}

static FkWhy why_ended(const FkMachine *m, const FkBookRef *b) {
  FkTaskReport *t = m->home ? report_find(m->home->report, b->job->spec->id, b->task, b->attempt) : NULL;
  return t && t->state == FK_TASK_EXITED ? t->why : FK_WHY_NONE;
}

/* A new token makes the starts that may still arrive void. */
static void claim_anew(FkController *c, FkMachine *m) {
  if (fk_time_between(m->home->claimed_at, c->now) > RECLAIM_S)
    m->group->wanted = TRUE;
}

/* Notes what has certainly ended on this machine, to be written down. */
static void judge_all(FkController *c, FkMachine *m, gboolean lease_over) {
  gboolean need_claim = FALSE;
  for (guint i = 0; i < m->books->len; i++) {
    FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
    if (fk_ending(c, m, b))
      continue;
    Go go = judge(c, m, b, lease_over, &need_claim);
    if (go == GO_STAY)
      continue;
    g_debug("%s/%u attempt %" G_GUINT64_FORMAT " on %s has ended: %s%s", b->job->spec->id, b->task,
            b->attempt.n, m->id, go == GO_DONE ? "done" : "released", lease_over ? ", lease over" : "");
    FkWhy why = why_ended(m, b);
    fk_end_book(c, m, b,
                go == GO_DONE                        ? FK_END_DONE
                : why == FK_WHY_ERROR && !lease_over ? FK_END_FAILED
                                                     : FK_END_RELEASED,
                TRUE);
    after_refusal(c, m, b, why);
  }
  if (need_claim)
    claim_anew(c, m);
}

/* A machine that began anew is believed again under a new token; and attempts that must not be forgotten
 * under this one would fill its reports. */
static void claim_if_needed(FkController *c, FkMachine *m) {
  const FkHome *h = m->home;
  if (h->lingering > LINGER_MAX || (h->anew.n && fk_rev_eq(h->anew, m->group->rev)))
    claim_anew(c, m);
}

/* A mark may be raised from a notice to silent, and taken back; otherwise the first stays. */
static void mark(FkController *c, FkMachine *m, const char *why, double notice_s) {
  gboolean worse = m->mark && why && g_str_equal(m->mark, "notice") && g_str_equal(why, "silent");
  if (!m->rec || g_strcmp0(m->mark, why) == 0 || (m->mark && why && !worse))
    return;
  if (why && g_strcmp0(m->want_mark, why) != 0)
    g_message("machine %s is to be marked: %s", m->id, why);
  fk_roster_mark(c, m, why, notice_s);
}

/* ------------------------------------------------------------------ reports */

static gboolean sent_before(gpointer key, gpointer rev, gpointer token) {
  return *(guint64 *)rev < *(guint64 *)token;
}

/* Something in the new report that only an order of ours brings about: an attempt that is new, or one that
 * has gone. Asked only while it is in doubt whether the machine hears us. */
static gboolean shows_effect(const FkReport *old, const FkReport *new) {
  if (!old || old->session != new->session)
    return FALSE;
  for (guint i = 0; i < new->tasks->len; i++) {
    const FkTaskReport *t = new->tasks->pdata[i];
    if (!report_find(old, t->job, t->task, t->attempt))
      return TRUE;
  }
  for (guint i = 0; i < old->tasks->len; i++) {
    const FkTaskReport *t = old->tasks->pdata[i];
    if (!report_find(new, t->job, t->task, t->attempt))
      return TRUE;
  }
  return FALSE;
}

/* The machine's state is what this says. */
static void replace_report(FkController *c, FkMachine *m, FkReport *r /* taken */) {
  FkHome *h = m->home;
  if (h->report && r->session > h->report->session) {
    /* nothing sent in an earlier session can arrive any more */
    g_hash_table_remove_all(h->unsure);
    g_hash_table_remove_all(h->offered);
  }
  if (fk_evidence_doubtful(&h->evidence) && shows_effect(h->report, r))
    fk_evidence_effect(&h->evidence);
  /* The token shows that it isn't older than our claim; what began anew under it has shown nothing yet. */
  if (r->token.n == m->group->rev.n && !fk_rev_eq(h->anew, m->group->rev) &&
      fk_evidence_shows(&h->evidence, m->group->rev, c->now)) {
    /* Starts sent under an older token can't be carried out any more. Those sent under this one before it was
     * heard of still can. */
    g_hash_table_foreach_remove(h->unsure, sent_before, &m->group->rev.n);
  }
  fk_report_free(h->report);
  h->report = r;
  /* A copy may be of a machine that was returned long ago: who hasn't shown that it is there now isn't
   * written down. */
  if (!m->rec && fk_home_heard(m))
    fk_roster_join(c, m, h->report);
}

static FkTally tally_of(const FkReport *r) { return (FkTally){r->session, r->seq}; }

/* The machine's count began anew, and so did the machine: it was away for a moment, and nothing of what it
 * had is there. What was sent to it before belongs to connections that went with it; what the network may
 * repeat is made void by the next claim, before which its token proves nothing. */
static void begun_anew(FkController *c, FkMachine *m, FkReport *r /* taken */) {
  FkHome *h = m->home;
  g_message("machine %s has begun anew", m->id);
  g_hash_table_remove_all(h->unsure);
  g_hash_table_remove_all(h->offered);
  h->anew = m->group->rev;
  g_clear_pointer(&h->report, fk_report_free);
  replace_report(c, m, r);
}

static void act(FkController *c, FkMachine *m) {
  FkHome *h = m->home;
  if (!h || !h->report)
    return;
  judge_all(c, m, FALSE);
  command(c, m, FALSE);
  claim_if_needed(c, m);
  if (!m->rec)
    return;
  if (h->report->notice_s >= 0)
    mark(c, m, "notice", h->report->notice_s);
  else if (fk_blame_sick(c->view->blame, m->id))
    mark(c, m, "sick", -1);
  else if ((g_strcmp0(m->mark, "silent") == 0 || g_strcmp0(m->want_mark, "silent") == 0) &&
           fk_home_heard(m) && fk_time_between(h->evidence.heard, c->now) < 1 &&
           !fk_evidence_deaf(&h->evidence, c->now))
    fk_roster_mark(c, m, NULL, -1);
}

/* A controller that has lost the store and its peers, and has its workers still, learns from them that it
 * isn't alone in the world: who claims its groups shows the new token to a machine of each at once, and the
 * token of one is the token of all. Then all of the group's workers are sent away as they report, not one
 * after the other as each hears of it. In an outage of the whole store nobody can claim, so nobody is sent
 * away in vain. While the view is fresh a token that it lacks is no claim's, and counts for nothing but its
 * own machine. */
static void note_token(FkController *c, FkGroup *g, FkToken token) {
  if (!view_old(c)) {
    g->later.n = 0;
    return;
  }
  if (token.n <= MAX(g->rev.n, g->later.n))
    return;
  g->later.n = token.n;
  g_message("group %s has another home by now: its workers are sent away", g->id);
}

static FkOut *reply(FkController *c, FkRequest r, int status) {
  FkOut *o = fk_out(c, FK_OUT_REPLY);
  o->request = r;
  o->status = status;
  return o;
}

static void redirect(FkController *c, FkRequest r, const char *machine, const char *to) {
  FkRedirect *d = g_new0(FkRedirect, 1);
  d->when = c->now;
  d->to = g_strdup(to);
  g_hash_table_replace(c->redirects, g_strdup(machine), d);
  reply(c, r, 421)->report_to = g_strdup(to);
}

static void hold_report(FkController *c, FkRequest r, FkReport *report, FkTime since, FkRev rev) {
  FkHeldReport *held = g_new0(FkHeldReport, 1);
  *held = (FkHeldReport){r, report, since, rev};
  g_queue_push_tail(c->held, held);
}

/* Our claims as the view has them: new ones begin, lost ones end. */
static void refresh_claim(FkController *c, FkMachine *m) {
  if (!m->home) {
    m->home = home_new();
    m->home_free = home_free;
  }
  if (m->home->rev.n != m->group->rev.n) {
    m->home->rev = m->group->rev;
    m->home->claimed_at = c->now;
  }
  if (!m->home->owned) {
    m->home->owned = TRUE;
    m->group->introduce = INTRODUCED;
    fk_evidence_claimed(&m->home->evidence, c->now);
  }
}

/* Its workers can't reach the group's home, or the one that should have it, when a part of them came back
 * from there; one that came back twice counts for two. A few of many prove nothing but that the home is slow,
 * and a home that has only just taken the group from us can be reached, since its workers were there: without
 * both, two busy controllers take the same groups from each other again and again, and each time all their
 * machines must hear of a new token. */
static void came_back(FkController *c, FkGroup *g, const char *machine) {
  FkBack *b = g_hash_table_lookup(g->back, machine);
  if (!b) {
    b = g_new0(FkBack, 1);
    g_hash_table_insert(g->back, g_strdup(machine), b);
  }
  b->before = b->last;
  b->last = c->now;
  guint lately = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, g->back);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    b = p;
    double ago = fk_time_between(b->last, c->now);
    if (ago < COME_BACK_S)
      lately += b->before.us && fk_time_between(b->before, b->last) < 3 * COME_BACK_S ? 2 : 1;
    if (ago > 3 * COME_BACK_S)
      g_hash_table_iter_remove(&it);
  }
  double enough = MAX(2, BACK_SHARE * g->machines->len);
  if (fk_time_reached(c->now, g->theirs_until) && (lately >= enough || g->machines->len <= 1))
    g->wanted = TRUE;
}

/* The group's home is in another life than the one that claimed it: it will claim it again by itself. */
static gboolean restarting(FkController *c, const FkGroup *g) {
  FkNode *n = g->home ? g_hash_table_lookup(c->view->nodes, g->home) : NULL;
  return n && g_strcmp0(n->life, g->life) != 0;
}

#define COPY_ASK_S 1.0
#define STRANGER_CALLS 2 /* to a machine that no page has */

/* Nobody waits for the answer to a copy, unless the machine has begun anew, and its count with it: that is
 * asked of the machine itself, and a flood of copies costs one question a second at the most. */
static void refuse_copy(FkController *c, FkRequest r, FkMachine *m) {
  FkHome *h = m->home;
  c->copies++;
  reply(c, r, 503);
  if (fk_time_between(h->evidence.heard, c->now) >= COPY_ASK_S)
    command(c, m, TRUE);
}

/* `seen`: the claim's revision when the report first came, or NULL if it comes only now. */
static void handle_report(FkController *c, FkRequest r, FkReport *report /* taken */, FkTime since,
                          const FkRev *seen) {
  if (!fk_ready(c) || !current(c)) {
    reply(c, r, 503);
    fk_report_free(report);
    return;
  }
  g_autofree char *group = fk_group_id(report->zone, report->machine);
  FkGroup *g = fk_view_group(c->view, group);
  if (!fk_group_mine(c, g)) {
    gboolean others = g->home && !g_str_equal(g->home, c->settings->node) && fk_alive(c, g->home);
    const char *to = others ? g->home : fk_group_preferred(c, g);
    FkRedirect *d = g_hash_table_lookup(c->redirects, report->machine);
    gboolean sent_there = d && g_str_equal(d->to, to) && fk_time_between(d->when, c->now) < COME_BACK_S;
    if (!g_str_equal(to, c->settings->node)) {
      /* It belongs to another. If it comes back soon after having been sent there, it can't reach that one.
       */
      if (!seen && sent_there && !restarting(c, g))
        came_back(c, g, report->machine);
      if (!g->wanted && !(seen && fk_rev_eq(*seen, g->rev))) {
        redirect(c, r, report->machine, to);
        fk_report_free(report);
        return;
      }
    } else if (!g->home || !fk_alive(c, g->home)) {
      g->wanted = TRUE;
    }
    if (fk_time_between(since, c->now) > 3.0) {
      reply(c, r, 503);
      fk_report_free(report);
      return;
    }
    hold_report(c, r, report, since, seen ? *seen : g->rev);
    return;
  }
  c->view->now = c->now;
  FkMachine *m = fk_view_machine_ensure(c->view, report->machine);
  fk_view_set_group(c->view, m, report->zone);
  if (m->group != g) {
    /* the zone isn't what it was: not a machine that we know how to deal with */
    reply(c, r, 421);
    fk_report_free(report);
    return;
  }
  if (!m->home)
    refresh_claim(c, m);
  FkHome *h = m->home;
  note_token(c, g, report->token);
  if (!report->token.n && view_old(c)) {
    /* It has seen no token, so a later home's, that would keep our answer out, may be forgotten: a machine
     * that has begun anew. Who has seen one has had it from a home that knew its claim to stand. */
    reply(c, r, 503);
    fk_report_free(report);
    return;
  }
  if (MAX(report->token.n, g->later.n) > g->rev.n) {
    /* a later claim than ours has been seen; with a fresh view there can be none */
    c->impossible += !g->later.n && !view_old(c);
    reply(c, r, 421);
    fk_report_free(report);
    return;
  }
  FkTally at = tally_of(report);
  FkNews news = fk_evidence_report(&h->evidence, at, c->settings->lease_s, c->now);
  if (news == FK_NEWS_COPY) {
    refuse_copy(c, r, m);
    fk_report_free(report);
    return;
  }
  if (news == FK_NEWS_NEW)
    replace_report(c, m, report);
  else
    fk_report_free(report);
  /* the worker has read or dropped the answer to its report before this one */
  if (fk_tally_after(at, h->offered_at))
    g_hash_table_remove_all(h->offered);
  if (g_strcmp0(m->mark, "silent") == 0 && fk_evidence_deaf(&h->evidence, c->now)) {
    /* it goes; and an answer that it may never get would put off the proof by its lease for ever */
    reply(c, r, 503);
    return;
  }
  FkOut *o = reply(c, r, 200);
  o->token = (FkToken){m->group->rev.n};
  /* Orders count only for the state that the latest report shows; with the token new to the worker they are
   * just as good, since the answer itself carries it. */
  o->orders = orders_for(c, m);
  note_starts(h->offered, o->orders);
  h->offered_at = at;
  fk_evidence_answered(&h->evidence, c->now);
  g_debug("%s answers %s: session %" G_GUINT64_FORMAT ", token %" G_GUINT64_FORMAT ", %u orders",
          c->settings->node, m->id, h->report->session, o->token.n, o->orders->len);
  act(c, m);
}

void fk_controller_report(FkController *c, FkTime now, FkRequest r, FkReport *report) {
  c->now = now;
  handle_report(c, r, report, now, NULL);
}

void fk_controller_commanded(FkController *c, FkTime now, guint64 call, FkOutcome o, FkReport *report) {
  c->now = now;
  const char *id = g_hash_table_lookup(c->commands, &call);
  g_hash_table_remove(c->commands, &call);
  FkMachine *m = id && fk_ready(c) ? fk_view_machine(c->view, id) : NULL;
  if (!m || !m->home || m->home->command != call) {
    fk_report_free(report);
    return;
  }
  FkHome *h = m->home;
  h->command = 0;
  gboolean answered = (o == FK_OK || o == FK_CONFLICT) && report;
  /* Carried out or not, its starts may arrive at any later time, and those that were carried out may arrive
   * again, as long as token and session stand. What was refused is older than one of them for good. */
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init(&it, h->sending);
  while (o != FK_CONFLICT && g_hash_table_iter_next(&it, &key, NULL))
    g_hash_table_replace(h->unsure, g_strdup(key), g_memdup2(&h->command_rev.n, sizeof h->command_rev.n));
  g_hash_table_remove_all(h->sending);
  if (o == FK_CONFLICT)
    h->command_after = fk_time_add(now, 0.2);
  if (!answered) {
    h->command_after = fk_time_add(now, 1.0);
    fk_evidence_no_reply(&h->evidence, now);
  }
  if (answered && fk_is_mine(c, m))
    note_token(c, m->group, report->token);
  if (!answered || !fk_is_mine(c, m) || report->token.n > m->group->rev.n) {
    fk_report_free(report);
    return;
  }
  FkNews news = fk_evidence_reply(&h->evidence, tally_of(report), c->settings->lease_s, now);
  if (news == FK_NEWS_ANEW)
    begun_anew(c, m, report);
  else if (news == FK_NEWS_NEW)
    replace_report(c, m, report);
  else
    fk_report_free(report);
  act(c, m);
}

/* ------------------------------------------------------------------ view and time */

void fk_homes_view_changed(FkController *c) {
  GHashTableIter it;
  gpointer key;
  g_autoptr(GHashTable) touched = g_steal_pointer(&c->view->touched);
  c->view->touched = g_hash_table_new(g_str_hash, g_str_equal);
  g_hash_table_iter_init(&it, touched);
  while (g_hash_table_iter_next(&it, &key, NULL)) {
    FkMachine *m = fk_view_machine(c->view, key);
    if (!m)
      continue;
    if (!fk_is_mine(c, m)) {
      g_clear_pointer(&m->home, home_free);
      g_clear_pointer(&m->probes, g_ptr_array_unref);
      continue;
    }
    refresh_claim(c, m);
    act(c, m);
  }
  /* reports that waited for a claim */
  guint n = c->held->length;
  while (n--) {
    FkHeldReport *held = g_queue_pop_head(c->held);
    handle_report(c, held->request, held->report, held->since, &held->rev);
    g_free(held);
  }
}

/* The moment after which the worker has certainly ended its tasks, if nobody has answered it since. */
static FkTime lease_end(FkController *c, const FkMachine *m) {
  FkTime from = fk_evidence_lease_from(&m->home->evidence, fk_trust_s(c->settings));
  return fk_time_add(from, fk_lease_over_s(c->settings));
}

static gboolean has_service(const FkMachine *m) {
  for (guint i = 0; i < m->books->len; i++)
    if (g_array_index(m->books, FkBookRef, i).job->spec->shape == FK_SHAPE_SERVICE)
      return TRUE;
  return FALSE;
}

/* How long a machine may be quiet until it is asked itself. Where reports are rare, a machine with services
 * isn't left alone for that long. */
static double probe_after_s(FkController *c, const FkMachine *m) {
  double report_s = c->settings->report_s;
  return PROBE_AFTER * (has_service(m) ? MIN(report_s, WATCHED_S) : report_s);
}

static double silent_after_s(FkController *c, const FkMachine *m) {
  double own = c->settings->tuning.silent_s;
  return own > 0 ? MAX(own, PROBE_AFTER * c->settings->report_s) : probe_after_s(c, m) + SILENT_MORE_S;
}

static FkTime heard_at(const FkMachine *m) { return fk_evidence_quiet_since(&m->home->evidence); }

/* A machine is silent when it wasn't heard, nor answered, although others were heard in the meantime. If they
 * weren't either, it is we who are cut off: returning them all would throw away what runs there. A zone that
 * was dark comes back one machine after the other: the first ones heard must not condemn the rest, which have
 * had no time to answer, so that their quiet counts from the end of the dark, and for longer after a long
 * one. */
static gboolean is_silent(FkController *c, const FkMachine *m, const FkHeard *zone) {
  double quiet = fk_time_between(heard_at(m), c->now), limit = silent_after_s(c, m);
  /* Not answering a direct question is what counts: without one, or when we have been too slow to hear, quiet
   * proves nothing. */
  if (quiet <= limit || !m->home->evidence.unanswered || !fk_time_reached(c->now, c->late_until))
    return FALSE;
  if (zone->all <= 1)
    return quiet > 2 * limit;
  double lit = fk_time_between(zone->dark, c->now), some = fk_time_between(zone->none, c->now);
  if (lit <= DARK_LOOK_S)
    return MIN(quiet, some) > 3 * limit;
  return heard_at(m).us > zone->dark.us || lit > limit + MIN(limit, fk_time_between(zone->since, zone->dark));
}

/* One that speaks and doesn't hear goes as one that is silent. When more than half of them do, it is our
 * answers that get lost, and the others' workers find another home. */
static gboolean is_deaf(FkController *c, const FkMachine *m, const FkHeard *zone) {
  return fk_evidence_deaf(&m->home->evidence, c->now) && m->home->evidence.unanswered &&
         2 * zone->deaf <= MAX(2, zone->all) && fk_time_reached(c->now, c->late_until);
}

static gboolean redirect_old(gpointer machine, gpointer redirect, gpointer now) {
  return fk_time_between(((FkRedirect *)redirect)->when, *(FkTime *)now) > COME_BACK_S;
}

/* Silence and the lease's end come by themselves, and are looked for each time. All else comes with a report,
 * an answer or a change of the view, and is dealt with then: a machine with nothing pending is gone through
 * now and then only (`thorough`). */
static void look_after(FkController *c, FkMachine *m, const FkHeard *zone, gboolean thorough) {
  FkHome *h = m->home;
  double quiet = fk_time_between(heard_at(m), c->now);
  if (is_silent(c, m, zone))
    mark(c, m, "silent", -1);
  if (m->rec && !m->mark && is_deaf(c, m, zone)) {
    g_message("machine %s is heard and hears nothing: %u questions unanswered%s", m->id,
              h->evidence.unanswered,
              h->evidence.lapsed ? ", its lease ran out though its reports were answered" : "");
    mark(c, m, "silent", -1);
  }
  claim_if_needed(c, m);
  if (!m->rec && h->evidence.unanswered >= STRANGER_CALLS)
    return; /* only copies speak of it */
  gboolean probe = quiet > probe_after_s(c, m) || fk_evidence_doubtful(&h->evidence);
  if (fk_time_reached(c->now, lease_end(c, m)))
    judge_all(c, m, TRUE);
  else if (h->settled && !probe && !thorough)
    return;
  else
    command(c, m, probe);
  if (h->report)
    judge_all(c, m, FALSE);
}

/* Machines that are nobody's: gone, with nothing booked, or only heard of. A machine that no page has is gone
 * for good, and so is what was booked there: the leader writes that down. */
static void drop_gone(FkController *c) {
  g_autoptr(GPtrArray) drop = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    if (m->rec)
      continue;
    for (guint i = 0; c->leading && i < m->books->len; i++) {
      FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
      if (!fk_ending(c, m, b) && fk_time_between(b->since, c->now) > 1)
        fk_end_book(c, m, b, FK_END_RELEASED, FALSE);
    }
    gboolean heard = m->home && fk_time_between(heard_at(m), c->now) < 60;
    if (!m->books->len && m->pend_cpus <= 0 && !heard)
      g_ptr_array_add(drop, m);
  }
  for (guint i = 0; i < drop->len; i++)
    fk_view_drop_machine(c->view, drop->pdata[i]);
}

static FkHeard *zone_heard(FkController *c, const char *zone) {
  for (guint i = 0; i < c->heard->len; i++)
    if (g_array_index(c->heard, FkHeard, i).zone == zone)
      return &g_array_index(c->heard, FkHeard, i);
  FkHeard h = {.zone = zone};
  g_array_append_val(c->heard, h);
  return &g_array_index(c->heard, FkHeard, c->heard->len - 1);
}

/* Counted by zone: a home that a partition has cut off from another zone still hears its own, and must not
 * take all the machines over there for silent. What counts as lately is shorter than the shortest silence:
 * when the first machine over there would be judged, none of the others may count as heard from before the
 * cut. Where there are enough of them the last moment tells more: a machine that was quiet for seconds before
 * the cut is asked just after it, and judged while the others still count as heard lately (thirty machines
 * with 107 replicas were returned in the three seconds after a controller lost its workers). */
static void count_heard(FkController *c) {
  for (guint i = 0; i < c->heard->len; i++) {
    FkHeard *h = &g_array_index(c->heard, FkHeard, i);
    h->all = h->fresh = h->brief = h->deaf = 0;
    h->expected = 0;
  }
  double report_s = c->settings->report_s,
         recent = MIN(1.25 * report_s + 1.5, PROBE_AFTER * MIN(report_s, WATCHED_S) + SILENT_MORE_S - 1);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->groups);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkGroup *g = p;
    if (!fk_group_mine(c, g))
      continue;
    FkHeard *h = zone_heard(c, g->zone);
    for (guint i = 0; i < g->machines->len; i++) {
      FkMachine *m = g->machines->pdata[i];
      if (!m->home || !m->rec)
        continue;
      h->all++;
      double ago = fk_time_between(m->home->evidence.heard, c->now);
      h->deaf += fk_evidence_deaf(&m->home->evidence, c->now);
      h->fresh += ago < recent;
      h->brief += ago < BRIEF_S;
      h->expected += m->mark ? 0 : MIN(1, BRIEF_S / MIN(report_s, probe_after_s(c, m)));
    }
  }
  for (guint i = 0; i < c->heard->len; i++) {
    FkHeard *h = &g_array_index(c->heard, FkHeard, i);
    if (h->all && (h->fresh < CUT_OFF * (h->all - 1) ||
                   (h->expected >= BRIEF_LEAST && h->brief < CUT_OFF * h->expected))) {
      if (fk_time_between(h->dark, c->now) > DARK_LOOK_S)
        h->since = c->now;
      h->dark = c->now;
    }
    if (h->all && !h->fresh)
      h->none = c->now;
  }
}

/* Shows the claim to a machine or two of the group at once, without waiting for it to report. */
static void introduce(FkController *c, FkGroup *g) {
  for (guint i = 0; i < g->machines->len && g->introduce; i++) {
    FkMachine *m = g->machines->pdata[i];
    if (!m->rec || !m->home || fk_home_heard(m))
      continue;
    command(c, m, TRUE);
    g->introduce--;
  }
  g->introduce = 0;
}

#define LATE_S 0.7 /* a tick so much later than the last: we are behind */
#define LATE_PAUSE_S 3.0

void fk_homes_tick(FkController *c) {
  if (c->last_tick.us && fk_time_between(c->last_tick, c->now) > LATE_S)
    c->late_until = fk_time_add(c->now, LATE_PAUSE_S);
  c->last_tick = c->now;
  g_hash_table_foreach_remove(c->redirects, redirect_old, &c->now);
  guint n = c->held->length;
  while (n--) {
    FkHeldReport *held = g_queue_pop_head(c->held);
    handle_report(c, held->request, held->report, held->since, &held->rev);
    g_free(held);
  }
  GHashTableIter it;
  gpointer p;
  c->slice = (c->slice + 1) % SLICES;
  c->round += !c->slice;
  if (!c->slice) {
    drop_gone(c);
    count_heard(c);
  }
  g_hash_table_iter_init(&it, c->view->groups);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkGroup *g = p;
    const FkHeard *h = zone_heard(c, g->zone);
    if (fk_group_mine(c, g))
      introduce(c, g);
    for (guint i = c->slice; fk_group_mine(c, g) && i < g->machines->len; i += SLICES)
      if (((FkMachine *)g->machines->pdata[i])->home)
        look_after(c, g->machines->pdata[i], h, (i / SLICES + c->round) % THOROUGH == 0);
  }
}

gboolean fk_machine_usable(FkController *c, const FkMachine *m) {
  if (!m->rec || m->mark || !fk_time_reached(c->now, m->full_until))
    return FALSE;
  /* what isn't heard, or doesn't hear, is as good as gone: nothing new until it is and does again */
  return !fk_is_mine(c, m) || !m->home ||
         (!fk_evidence_doubtful(&m->home->evidence) &&
          fk_time_between(m->home->evidence.heard, c->now) < MAX(5, 2 * c->settings->report_s));
}
