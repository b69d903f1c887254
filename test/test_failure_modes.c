/* Troubles that were on no list, at one controller core fed by hand: copies of reports and repeats of what
 * was carried out, machines that hear nothing or have begun anew, a controller alone with its workers or
 * without a view, jobs that wait too long to begin. Each case fails with its guard taken out
 * (docs/service-checks.md). */
#include <string.h>

#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/scheduling_queue.h"
#include "rig.h"
#include "wire/store.h"

/* run-1's first task is booked on i-1. */
static void book(Rig *r) {
  const char *lines[] = {"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}",
                         NULL};
  watched(r, lines);
}

static guint64 claim_rev(Rig *r) {
  g_autofree char *group = fk_shard_id_for_machine("north", "i-1");
  return fk_view_ensure_shard(fk_controller_view(r->c), group)->rev.n;
}

static guint orders_of(const FkOutput *o, FkCommandKind op) {
  guint n = 0;
  for (guint i = 0; o && o->commands && i < o->commands->len; i++)
    n += ((FkCommand *)o->commands->pdata[i])->kind == op;
  return n;
}

static FkOutput *latest(Rig *r, FkOutputKind kind) { return find(r, kind, NULL); }

static void forget_outs(Rig *r) { g_ptr_array_set_size(r->outs, 0); }

/* A direct call comes back with what the machine says now. */
static void answered(Rig *r, FkOutcome o, FkHeartbeat *says_now) {
  FkOutput *call = latest(r, FK_OUTPUT_COMMANDS);
  g_assert_nonnull(call);
  guint64 id = call->call;
  forget_outs(r);
  fk_controller_command_reply_received(r->c, r->now, id, o, says_now);
  pump(r);
}

static FkHeartbeat *with_task(FkHeartbeat *r, FkTaskState state, FkExitReason why) {
  FkTaskStatus *t = g_new0(FkTaskStatus, 1);
  *t = (FkTaskStatus){g_strdup("run-1"), 0, {1}, state, why};
  g_ptr_array_add(r->tasks, t);
  return r;
}

static void says_now(Rig *r, FkHeartbeat *report) {
  fk_controller_heartbeat_received(r->c, r->now, (FkRequestId){++r->tally}, report);
  pump(r);
}

static FkHeartbeat *i_1(Rig *r, guint64 session, guint64 seq) {
  return says(r, "i-1", "north", session, seq);
}

/* A start that was sent straight to the machine, and carried out, may be repeated by the network after its
 * attempt was forgotten: it would run again, while the task may run elsewhere (ran_twice), beyond its team's
 * limit (quota: seed 7919 of sim_copies), or be cancelled. So it isn't forgotten under the same token. */
static void test_repeated_command(void) {
  Rig *r = rig_new(TRUE);
  says_now(r, i_1(r, 1, 1));
  forget_outs(r);
  book(r);
  tick(r, 0.3);
  g_assert_cmpuint(orders_of(latest(r, FK_OUTPUT_COMMANDS), FK_COMMAND_START), ==, 1);
  answered(r, FK_OUTCOME_OK, with_task(i_1(r, 1, 2), FK_TASK_RUNNING, FK_EXIT_NONE));
  says_now(r, with_task(i_1(r, 1, 3), FK_TASK_EXITED, FK_EXIT_DONE));
  tick(r, 0.6);
  /* its end is committed */
  watched(r,
          (const char *const[]){"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":2,\"d\":[0],\"b\":[]}", NULL});
  forget_outs(r);
  says_now(r, with_task(i_1(r, 1, 4), FK_TASK_EXITED, FK_EXIT_DONE));
  g_assert_cmpuint(orders_of(latest(r, FK_OUTPUT_HEARTBEAT_REPLY), FK_COMMAND_FORGET), ==, 0);
  /* a later token makes it void wherever it is */
  g_autofree char *claim = group_key("g");
  watched(r, (const char *const[]){claim, "{\"node\":\"c-0\",\"life\":\"now\"}", NULL});
  forget_outs(r);
  says_now(r, with_task(i_1(r, 1, 5), FK_TASK_EXITED, FK_EXIT_DONE));
  g_assert_cmpuint(orders_of(latest(r, FK_OUTPUT_HEARTBEAT_REPLY), FK_COMMAND_FORGET), ==, 1);
  rig_free(r);
}

/* A start in the answer to a report is dropped after 4 s: nothing of it can come again. */
static void test_replied_start(void) {
  Rig *r = rig_new(TRUE);
  book(r);
  says_now(r, i_1(r, 1, 1));
  g_assert_cmpuint(starts(latest(r, FK_OUTPUT_HEARTBEAT_REPLY)), ==, 1);
  rig_free(r);
}

/* What a copy must not do, at a home that has heard the machine: be answered 200, take orders, renew
 * anything, or cost more than a question in two seconds, however many there are. */
static void test_duplicate_heartbeats(void) {
  Rig *r = rig_new(TRUE);
  says_now(r, i_1(r, 1, 5));
  says_now(r, i_1(r, 1, 6));
  tick(r, 4);
  forget_outs(r);
  guint refused = 0, asked = 0;
  for (guint k = 0; k < 200; k++) {
    says_now(r, i_1(r, 1, 1 + k % 6));
    FkOutput *o = latest(r, FK_OUTPUT_HEARTBEAT_REPLY);
    g_assert_cmpint(o->status, ==, 503);
    g_assert_true(!o->commands);
    refused++;
    FkOutput *q = latest(r, FK_OUTPUT_COMMANDS);
    asked += q != NULL;
    if (q)
      answered(r, FK_OUTCOME_UNKNOWN, NULL);
    forget_outs(r);
    if (k % 20 == 19)
      tick(r, 0.1);
  }
  g_assert_cmpuint(refused, ==, 200);
  g_assert_cmpuint(asked, <=, 3);
  rig_free(r);
}

/* A copy about a machine that was returned, or that nobody knows, brings nothing into the roster, and nothing
 * is booked there; who is there answers a question, and is written down at once. */
static void test_unknown_machines(void) {
  for (guint there = 0; there < 2; there++) {
    Rig *r = rig_new(TRUE);
    g_autofree char *page = group_key("m");
    watched(r, (const char *const[]){page, "{\"zone\":\"north\",\"m\":[]}", NULL});
    forget_outs(r);
    FkHeartbeat *copy = i_1(r, 1, 9);
    copy->fencing_token.n--;
    says_now(r, copy);
    g_assert_nonnull(latest(r, FK_OUTPUT_COMMANDS));
    answered(r, there ? FK_OUTCOME_OK : FK_OUTCOME_UNKNOWN, there ? i_1(r, 1, 10) : NULL);
    tick(r, 2);
    g_assert_cmpint(find(r, FK_OUTPUT_COMMIT, page) != NULL, ==, there);
    g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/"));
    rig_free(r);
  }
}

/* Its reports come, and nothing reaches it: nothing new is booked there, it is marked, and its reports are no
 * longer answered, so that its lease proves what it is to prove. One whose reports show what was ordered
 * hears them, whatever becomes of the direct calls. */
static void test_inbound_partition(void) {
  for (guint hears = 0; hears < 2; hears++) {
    Rig *r = rig_new(TRUE);
    g_autofree char *page = group_key("m");
    guint64 seq = 0;
    says_now(r, i_1(r, 1, ++seq));
    book(r);
    gboolean marked = FALSE;
    int last = 0;
    for (guint step = 0; step < 60 && !marked; step++) {
      FkOutput *call = latest(r, FK_OUTPUT_COMMANDS);
      if (call)
        answered(r, FK_OUTCOME_UNKNOWN, NULL);
      if (step % 5 == 4) {
        FkHeartbeat *rep = i_1(r, 1, ++seq);
        says_now(r, hears ? with_task(rep, FK_TASK_RUNNING, FK_EXIT_NONE) : rep);
        last = latest(r, FK_OUTPUT_HEARTBEAT_REPLY)->status;
        g_assert_cmpint(last, ==, 200);
      }
      tick(r, 0.3);
      marked = find(r, FK_OUTPUT_COMMIT, page) != NULL;
      watched(r, NULL);
    }
    g_assert_cmpint(marked, ==, !hears);
    if (!hears) {
      FkMachine *m = fk_view_find_machine(fk_controller_view(r->c), "i-1");
      g_assert_false(fk_machine_is_usable(r->c, m));
      watched(
          r, (const char *const[]){
                 page, "{\"zone\":\"north\",\"m\":[[\"i-1\",\"box8\",\"127.0.0.1:9\",0,\"silent\"]]}", NULL});
      says_now(r, i_1(r, 1, ++seq));
      g_assert_cmpint(latest(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, 503);
    }
    rig_free(r);
  }
}

/* Back within a moment, session and report starting anew: its reports look like old copies, and stay so for
 * ever unless it is asked. What it had is started again there, at once; the token that it has seen proves
 * nothing until a later claim. */
static void test_worker_restart(void) {
  Rig *r = rig_new(TRUE);
  says_now(r, i_1(r, 1, 40));
  book(r);
  answered(r, FK_OUTCOME_OK, with_task(i_1(r, 1, 41), FK_TASK_RUNNING, FK_EXIT_NONE));
  tick(r, 1.5);
  forget_outs(r);
  FkHeartbeat *fresh = i_1(r, 1, 1);
  fresh->fencing_token.n = 0;
  says_now(r, fresh);
  g_assert_cmpint(latest(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, 503);
  answered(r, FK_OUTCOME_OK, i_1(r, 1, 2));
  /* it is empty: the task is started again, and not taken for ended */
  g_assert_cmpuint(starts(latest(r, FK_OUTPUT_COMMANDS)), ==, 1);
  g_assert_false(fk_worker_has_echoed_token(fk_view_find_machine(fk_controller_view(r->c), "i-1")));
  answered(r, FK_OUTCOME_OK, with_task(i_1(r, 1, 3), FK_TASK_RUNNING, FK_EXIT_NONE));
  g_autofree char *claim = group_key("g");
  tick(r, 4);
  g_assert_nonnull(find(r, FK_OUTPUT_COMMIT, claim));
  watched(r, (const char *const[]){claim, "{\"node\":\"c-0\",\"life\":\"now\"}", NULL});
  says_now(r, with_task(i_1(r, 1, 4), FK_TASK_RUNNING, FK_EXIT_NONE));
  g_assert_true(fk_worker_has_echoed_token(fk_view_find_machine(fk_controller_view(r->c), "i-1")));
  rig_free(r);
}

/* A controller that has lost the store and its peers learns from one machine that its group has another home,
 * and sends all of the group's workers away. With a fresh view a token that the store never gave counts for
 * nothing but its own machine; and in an outage of the whole store nobody has a later token. */
static void test_controller_isolated(void) {
  static const struct {
    gboolean stale, later;
    int other; /* what the other machine of the group is answered */
  } cases[] = {{TRUE, TRUE, 421}, {TRUE, FALSE, 200}, {FALSE, TRUE, 200}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    if (cases[i].stale)
      tick(r, 5);
    FkHeartbeat *rep = i_1(r, 1, 1);
    rep->fencing_token.n = claim_rev(r) + (cases[i].later ? 100 : 0);
    says_now(r, rep);
    g_assert_cmpint(latest(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, cases[i].later ? 421 : 200);
    g_autofree char *group = fk_shard_id_for_machine("north", "i-1"), *mate = NULL;
    for (guint k = 2; !mate; k++) {
      g_autofree char *id = g_strdup_printf("i-%u", k), *of = fk_shard_id_for_machine("north", id);
      if (g_str_equal(of, group))
        mate = g_steal_pointer(&id);
    }
    says_now(r, says(r, mate, "north", 1, 1));
    g_assert_cmpint(latest(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, cases[i].other);
    /* a view that is fresh again would show such a claim: the group is ours, and answered */
    watched(r, NULL);
    says_now(r, says(r, mate, "north", 1, 2));
    g_assert_cmpint(latest(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, 200);
    rig_free(r);
  }
}

/* Users of one that is alone are sent elsewhere; while others answer, an outage of the store takes nobody
 * out. */
static void test_store_outage_availability(void) {
  for (guint peers = 0; peers < 2; peers++) {
    Rig *r = rig_new(TRUE);
    g_assert_true(fk_controller_is_serving(r->c, r->now));
    for (guint k = 0; k < 20; k++) {
      tick(r, 0.5);
      if (peers)
        fk_controller_peer_progress_received(r->c, r->now, "c-1", "x", (FkRev){1}, (FkRev){1}, 9, r->now);
    }
    g_assert_cmpint(fk_controller_is_serving(r->c, r->now), ==, peers);
    rig_free(r);
  }
}

/* A question to a controller that lists the store is read from the store itself, a few at a time. */
static void test_reads_without_view(void) {
  Rig *r = rig_new(TRUE);
  g_autoptr(GPtrArray) none = g_ptr_array_new();
  fk_controller_watch_received(r->c, r->now, FK_OUTCOME_GONE, none, (FkRev){0}, r->now);
  pump(r);
  forget_outs(r);
  for (guint k = 0; k < 40; k++)
    fk_controller_poll_received(r->c, r->now, (FkRequestId){100 + k}, "run-7");
  pump(r);
  guint reads = 0, refused = 0;
  guint64 call = 0;
  for (guint i = 0; i < r->outs->len; i++) {
    const FkOutput *o = r->outs->pdata[i];
    reads += o->kind == FK_OUTPUT_GET;
    refused += o->kind == FK_OUTPUT_USER_REPLY && o->status == 503;
    call = o->kind == FK_OUTPUT_GET && !call ? o->call : call;
  }
  g_assert_cmpuint(reads, ==, 16);
  g_assert_cmpuint(refused, ==, 24);
  /* neither live nor final: never accepted; and there is room for the next question */
  forget_outs(r);
  fk_controller_get_received(r->c, r->now, call, FK_OUTCOME_GONE, NULL);
  pump(r);
  call = latest(r, FK_OUTPUT_GET)->call;
  fk_controller_get_received(r->c, r->now, call, FK_OUTCOME_GONE, NULL);
  pump(r);
  g_assert_cmpint(latest(r, FK_OUTPUT_USER_REPLY)->status, ==, 404);
  forget_outs(r);
  fk_controller_poll_received(r->c, r->now, (FkRequestId){200}, "run-7");
  pump(r);
  g_assert_nonnull(latest(r, FK_OUTPUT_GET));
  rig_free(r);
}

#define WHOLE                                                                                                \
  "{\"class\":\"w\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":2,\"cpus\":8,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16}"

/* One that waits too long to begin goes first, and a machine is kept for it; others go there only if they
 * have ended by the time that it can begin. */
/* The store compared while our view showed the job; before its answer the view is read again, as after a long
 * refusal. That the new view lacks the job proves nothing: 404 for an accepted job would be `forgotten`. The
 * job is read, then its final. */
static void test_read_check_across_relist(void) {
  Rig *r = rig_new(TRUE);
  forget_outs(r);
  fk_controller_poll_received(r->c, r->now, (FkRequestId){300}, "run-1");
  pump(r);
  guint64 call = latest(r, FK_OUTPUT_COMMIT)->call;
  g_autoptr(GPtrArray) none = g_ptr_array_new();
  fk_controller_watch_received(r->c, r->now, FK_OUTCOME_GONE, none, (FkRev){0}, r->now);
  pump(r);
  forget_outs(r);
  fk_controller_commit_received(r->c, r->now, call, FK_OUTCOME_OK, (FkRev){r->epoch}, none);
  pump(r);
  g_assert_null(find(r, FK_OUTPUT_USER_REPLY, NULL));
  call = latest(r, FK_OUTPUT_GET)->call;
  FkStoreEvent *e = g_new0(FkStoreEvent, 1);
  g_autoptr(cJSON) j = fk_json_parse(SPEC, strlen(SPEC));
  *e = (FkStoreEvent){g_strdup("fk/l/j/run-1"), fk_store_record_from_json("fk/l/j/run-1", j), {11}};
  fk_controller_get_received(r->c, r->now, call, FK_OUTCOME_OK, e);
  pump(r);
  g_assert_cmpint(latest(r, FK_OUTPUT_USER_REPLY)->status, ==, 200);
  rig_free(r);
}

static void test_backfill_reservation(void) {
  static const struct {
    double waited_s;
    gboolean begun, urgent;
  } cases[] = {{100, FALSE, FALSE}, {140, FALSE, TRUE}, {140, TRUE, FALSE}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    r->s->heartbeat_interval_s = 1000;
    ((FkTeam *)r->s->teams->pdata[0])->max_cpus = 100;
    ((FkTeam *)r->s->teams->pdata[1])->max_cpus = 100;
    says_now(r, i_1(r, 1, 1));
    watched(r, (const char *const[]){"fk/l/j/run-2", WHOLE, "fk/l/t/run-1/00000",
                                     "{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}", NULL});
    r->now = r->c->now = fk_time_add(r->now, 3); /* the next look */
    FkView *v = fk_controller_view(r->c);
    FkJob *big = fk_view_find_job(v, "run-2"), *small = fk_view_find_job(v, "run-1");
    FkMachine *m = fk_view_find_machine(v, "i-1");
    big->startable_us = r->now.us - (gint64)(cases[i].waited_s * 1e6);
    small->startable_us = r->now.us;
    big->allocated += cases[i].begun;
    g_autoptr(GPtrArray) jobs = fk_scheduling_queue_select_jobs(r->c);
    g_assert_cmpint(big->urgent, ==, cases[i].urgent);
    g_assert_true(!cases[i].urgent || jobs->pdata[0] == big);
    g_assert_cmpint(fk_backfill_reservation_blocks(r->c, small, m), ==, cases[i].urgent);
    g_assert_false(fk_backfill_reservation_blocks(r->c, big, m));
    g_assert_true(fk_backfill_reservation_holder(r->c, m) == (cases[i].urgent ? big : NULL));
    big->allocated -= cases[i].begun;
    rig_free(r);
  }
}

/* A home whose view is old, and a machine that has begun anew: the token of a later home, which would keep
 * the old one's answers out, is forgotten with all else. It is given nothing: what the old view has booked
 * there may have ended, and run elsewhere. Who has seen a token, or ours, is answered. */
static void test_worker_restart_stale_view(void) {
  static const struct {
    gboolean old;
    guint64 token; /* 0, or 1: an earlier one, or 2: ours */
    int status;
  } cases[] = {{TRUE, 0, 503}, {TRUE, 1, 200}, {TRUE, 2, 200}, {FALSE, 0, 200}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    book(r);
    if (cases[i].old)
      tick(r, 5);
    forget_outs(r);
    FkHeartbeat *rep = i_1(r, 1, 1);
    rep->fencing_token.n = cases[i].token == 2 ? claim_rev(r) : cases[i].token;
    says_now(r, rep);
    g_assert_cmpint(latest(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, cases[i].status);
    g_assert_cmpuint(starts(latest(r, FK_OUTPUT_HEARTBEAT_REPLY)), ==, cases[i].status == 200);
    rig_free(r);
  }
  /* it had shown our token, and is asked, since its reports look like copies */
  for (guint old = 0; old < 2; old++) {
    Rig *r = rig_new(TRUE);
    says_now(r, i_1(r, 1, 40));
    book(r);
    answered(r, FK_OUTCOME_OK, with_task(i_1(r, 1, 41), FK_TASK_RUNNING, FK_EXIT_NONE));
    tick(r, old ? 5 : 1.5);
    forget_outs(r);
    FkHeartbeat *fresh = i_1(r, 1, 1);
    fresh->fencing_token.n = 0;
    says_now(r, fresh);
    if (latest(r, FK_OUTPUT_COMMANDS))
      answered(r, FK_OUTCOME_OK, i_1(r, 1, 2));
    for (guint k = 0; k < r->outs->len; k++)
      g_assert_cmpuint(starts(r->outs->pdata[k]), ==, old ? 0 : 1);
    rig_free(r);
  }
}

/* A machine with hundreds of ended attempts in its reports and one task of a cancelled job: the answer, which
 * renews the lease of all that it doesn't stop, stops that one, whatever else there is to say. */
static void test_stop_commands_first(void) {
  Rig *r = rig_new(TRUE);
  book(r);
  FkHeartbeat *rep = i_1(r, 1, 1);
  for (guint k = 0; k < 300; k++) {
    FkTaskStatus *t = g_new0(FkTaskStatus, 1);
    *t = (FkTaskStatus){g_strdup("run-9"), k, {1}, FK_TASK_EXITED, FK_EXIT_DONE};
    g_ptr_array_add(rep->tasks, t);
  }
  with_task(rep, FK_TASK_RUNNING, FK_EXIT_NONE);
  g_autofree char *cancelled = g_strdup(SPEC);
  cancelled[strlen(cancelled) - 1] = 0;
  g_autofree char *record = g_strconcat(cancelled, ",\"cancelled\":true}", NULL);
  watched(r, (const char *const[]){"fk/l/j/run-1", record, NULL});
  g_assert_true(fk_view_find_job(fk_controller_view(r->c), "run-1")->cancelled);
  forget_outs(r);
  says_now(r, rep);
  g_assert_cmpuint(orders_of(latest(r, FK_OUTPUT_HEARTBEAT_REPLY), FK_COMMAND_STOP), ==, 1);
  g_assert_cmpuint(orders_of(latest(r, FK_OUTPUT_HEARTBEAT_REPLY), FK_COMMAND_FORGET), >, 100);
  rig_free(r);
}

/* Transactions that were sent, by their call, since the outs were forgotten. */
static guint sends_of(Rig *r, guint64 call) {
  guint n = 0;
  for (guint i = 0; i < r->outs->len; i++) {
    const FkOutput *o = r->outs->pdata[i];
    n += o->kind == FK_OUTPUT_COMMIT && o->call == call;
  }
  return n;
}

/* No answer: the same transaction is sent again, a few times, later each time, and not before it was sent at
 * all. One send that was refused says nothing of the others; the first answer counts, and only that. A user
 * waited for 2 s, and so did all launches, for each one that got lost (day meet-late: 0.68 of the submissions
 * in time). */
static void test_transaction_retry(void) {
  static const struct {
    gboolean sent;
    FkOutcome first, second; /* FK_OUTCOME_UNKNOWN: none comes */
    int status;              /* 0: the user still waits */
    guint most;              /* sends */
  } cases[] = {{FALSE, FK_OUTCOME_UNKNOWN, FK_OUTCOME_UNKNOWN, 0, 1},
               {TRUE, FK_OUTCOME_UNKNOWN, FK_OUTCOME_UNKNOWN, 0, 4},
               {TRUE, FK_OUTCOME_UNKNOWN, FK_OUTCOME_OK, 201, 4},
               {TRUE, FK_OUTCOME_REFUSED, FK_OUTCOME_UNKNOWN, 0, 4},
               {TRUE, FK_OUTCOME_REFUSED, FK_OUTCOME_OK, 201, 4},
               {TRUE, FK_OUTCOME_REFUSED, FK_OUTCOME_REFUSED, 503, 4}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    forget_outs(r);
    FkSpec *spec = fk_spec_new();
    spec->id = g_strdup("run-77");
    spec->team = g_strdup("red");
    spec->image = g_strdup("i");
    spec->class_name = g_strdup("c");
    spec->tasks = 1;
    spec->cpus = spec->mem_gb = 1;
    fk_controller_submission_received(r->c, r->now, (FkRequestId){900}, spec);
    pump(r);
    FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/j/run-77");
    g_assert_nonnull(t);
    g_assert_true(guarded(t, "fk/l/j/run-77") && guarded(t, "fk/d/run-77"));
    guint64 call = t->call;
    if (cases[i].sent)
      fk_controller_transaction_sent(r->c, r->now, call);
    tick(r, 0.2);
    g_assert_cmpuint(sends_of(r, call), ==, 1); /* a slow answer is no lost one */
    tick(r, 0.4);
    g_assert_cmpuint(sends_of(r, call), ==, cases[i].sent ? 2 : 1);
    if (cases[i].first != FK_OUTCOME_UNKNOWN)
      fk_controller_commit_received(r->c, r->now, call, cases[i].first, (FkRev){0}, NULL);
    if (cases[i].second != FK_OUTCOME_UNKNOWN)
      fk_controller_commit_received(r->c, r->now, call, cases[i].second, (FkRev){r->epoch + 5}, NULL);
    pump(r);
    const FkOutput *a = latest(r, FK_OUTPUT_USER_REPLY);
    g_assert_cmpint(a ? a->status : 0, ==, cases[i].status);
    for (guint k = 0; k < 5; k++) {
      if (cases[i].sent)
        fk_controller_transaction_sent(r->c, r->now, call);
      tick(r, 2);
    }
    if (!cases[i].status)
      g_assert_cmpuint(sends_of(r, call), ==, cases[i].most);
    /* the deadline of the first ends it; nothing more is said to the user */
    fk_controller_commit_received(r->c, r->now, call, FK_OUTCOME_UNKNOWN, (FkRev){0}, NULL);
    fk_controller_commit_received(r->c, r->now, call, FK_OUTCOME_OK, (FkRev){r->epoch + 5}, NULL);
    pump(r);
    guint answers = 0;
    for (guint k = 0; k < r->outs->len; k++)
      answers += ((FkOutput *)r->outs->pdata[k])->kind == FK_OUTPUT_USER_REPLY;
    g_assert_cmpuint(answers, ==, 1);
    rig_free(r);
  }
}

/* While many get lost, what has no answer is sent again at once; not while hardly any does, since each send
 * is a write of the store's budget. */
static void test_retry_under_loss(void) {
  for (guint lossy = 0; lossy < 2; lossy++) {
    Rig *r = rig_new(TRUE);
    guint64 call = 0;
    for (guint k = 0; k < 12; k++) {
      forget_outs(r);
      g_autofree char *id = g_strdup_printf("run-%u", 100 + k);
      fk_controller_poll_received(r->c, r->now, (FkRequestId){100 + k}, id);
      tick(r, 0.6); /* past the pace of the questions */
      call = latest(r, FK_OUTPUT_COMMIT)->call;
      fk_controller_transaction_sent(r->c, r->now, call);
      if (k == 11)
        break;
      if (lossy) {
        tick(r, 0.6);
        fk_controller_transaction_sent(r->c, r->now, call);
      }
      fk_controller_commit_received(r->c, r->now, call, FK_OUTCOME_OK, (FkRev){r->epoch}, NULL);
    }
    tick(r, 0.2);
    g_assert_cmpuint(sends_of(r, call), ==, 1 + lossy);
    rig_free(r);
  }
}

static void quiet(const char *domain, GLogLevelFlags level, const char *text, gpointer data) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    g_log_default_handler(domain, level, text, data);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_default_handler(quiet, NULL);
  g_test_add_func("/failure_modes/repeated_command", test_repeated_command);
  g_test_add_func("/failure_modes/replied_start", test_replied_start);
  g_test_add_func("/failure_modes/duplicate_heartbeats", test_duplicate_heartbeats);
  g_test_add_func("/failure_modes/unknown_machines", test_unknown_machines);
  g_test_add_func("/failure_modes/inbound_partition", test_inbound_partition);
  g_test_add_func("/failure_modes/worker_restart", test_worker_restart);
  g_test_add_func("/failure_modes/controller_isolated", test_controller_isolated);
  g_test_add_func("/failure_modes/store_outage_availability", test_store_outage_availability);
  g_test_add_func("/failure_modes/reads_without_view", test_reads_without_view);
  g_test_add_func("/failure_modes/read_check_across_relist", test_read_check_across_relist);
  g_test_add_func("/failure_modes/backfill_reservation", test_backfill_reservation);
  g_test_add_func("/failure_modes/worker_restart_stale_view", test_worker_restart_stale_view);
  g_test_add_func("/failure_modes/stop_commands_first", test_stop_commands_first);
  g_test_add_func("/failure_modes/transaction_retry", test_transaction_retry);
  g_test_add_func("/failure_modes/retry_under_loss", test_retry_under_loss);
  return g_test_run();
}
