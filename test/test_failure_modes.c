/* Tests one controller core against failure modes: duplicate heartbeats, commands delivered twice, workers
 * that receive nothing or have restarted, a controller that is isolated with its workers or has no view, lost
 * transactions, jobs that wait too long to start. The test provides all of the core's inputs. Each test fails
 * when the code that it guards is removed (docs/service-checks.md). */
#include <string.h>

#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/scheduling_queue.h"
#include "rig.h"
#include "wire/store.h"

/* Allocates the first task of run-1 on machine i-1. */
static void allocate_first_task(Rig *r) {
  const char *lines[] = {"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}",
                         NULL};
  watched(r, lines);
}

static guint64 shard_rev(Rig *r) {
  g_autofree char *shard = fk_shard_id_for_machine("north", "i-1");
  return fk_view_ensure_shard(fk_controller_view(r->c), shard)->rev.n;
}

static guint count_commands(const FkOutput *o, FkCommandKind kind) {
  guint n = 0;
  for (guint i = 0; o && o->commands && i < o->commands->len; i++)
    n += ((FkCommand *)o->commands->pdata[i])->kind == kind;
  return n;
}

static FkOutput *latest_output(Rig *r, FkOutputKind kind) { return find(r, kind, NULL); }

static void clear_outputs(Rig *r) { g_ptr_array_set_size(r->outs, 0); }

/* Ends the latest direct call with `outcome`. `heartbeat`: the heartbeat in the worker's reply, NULL if there
 * is no reply. */
static void reply_to_command(Rig *r, FkOutcome outcome, FkHeartbeat *heartbeat) {
  FkOutput *call = latest_output(r, FK_OUTPUT_COMMANDS);
  g_assert_nonnull(call);
  guint64 id = call->call;
  clear_outputs(r);
  fk_controller_command_reply_received(r->c, r->now, id, outcome, heartbeat);
  pump(r);
}

static FkHeartbeat *add_run_1_status(FkHeartbeat *heartbeat, FkTaskState state, FkExitReason reason) {
  FkTaskStatus *status = g_new0(FkTaskStatus, 1);
  *status = (FkTaskStatus){g_strdup("run-1"), 0, {1}, state, reason};
  g_ptr_array_add(heartbeat->tasks, status);
  return heartbeat;
}

static void receive_heartbeat(Rig *r, FkHeartbeat *heartbeat) {
  fk_controller_heartbeat_received(r->c, r->now, (FkRequestId){++r->tally}, heartbeat);
  pump(r);
}

static FkHeartbeat *heartbeat_of_i_1(Rig *r, guint64 incarnation, guint64 sequence) {
  return says(r, "i-1", "north", incarnation, sequence);
}

/* The network may deliver a direct call twice. If the worker has forgotten the attempt by the time of the
 * second delivery, the repeated start runs the attempt again. By then, the task may run elsewhere (the
 * simulation's check ran_twice), exceed its team's quota (check quota, seed 7919 of sim_copies) or be
 * cancelled. The worker is therefore not told to forget the attempt before the worker has echoed a fencing
 * token newer than that of the start. */
static void test_repeated_command(void) {
  Rig *r = rig_new(TRUE);
  receive_heartbeat(r, heartbeat_of_i_1(r, 1, 1));
  clear_outputs(r);
  allocate_first_task(r);
  tick(r, 0.3);
  g_assert_cmpuint(count_commands(latest_output(r, FK_OUTPUT_COMMANDS), FK_COMMAND_START), ==, 1);
  reply_to_command(r, FK_OUTCOME_OK,
                   add_run_1_status(heartbeat_of_i_1(r, 1, 2), FK_TASK_RUNNING, FK_EXIT_NONE));
  receive_heartbeat(r, add_run_1_status(heartbeat_of_i_1(r, 1, 3), FK_TASK_EXITED, FK_EXIT_DONE));
  tick(r, 0.6);
  /* the task's end is committed */
  watched(r,
          (const char *const[]){"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":2,\"d\":[0],\"b\":[]}", NULL});
  clear_outputs(r);
  receive_heartbeat(r, add_run_1_status(heartbeat_of_i_1(r, 1, 4), FK_TASK_EXITED, FK_EXIT_DONE));
  g_assert_cmpuint(count_commands(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY), FK_COMMAND_FORGET), ==, 0);
  /* under a new token the worker rejects a repeated start, so the attempt may be forgotten */
  g_autofree char *shard_key = group_key("g");
  watched(r, (const char *const[]){shard_key, "{\"node\":\"c-0\",\"life\":\"now\"}", NULL});
  clear_outputs(r);
  receive_heartbeat(r, add_run_1_status(heartbeat_of_i_1(r, 1, 5), FK_TASK_EXITED, FK_EXIT_DONE));
  g_assert_cmpuint(count_commands(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY), FK_COMMAND_FORGET), ==, 1);
  rig_free(r);
}

/* Starts are also sent in replies to heartbeats. A worker ignores a reply that comes after 4 s, so the start
 * in a reply can't be executed later. */
static void test_replied_start(void) {
  Rig *r = rig_new(TRUE);
  allocate_first_task(r);
  receive_heartbeat(r, heartbeat_of_i_1(r, 1, 1));
  g_assert_cmpuint(starts(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)), ==, 1);
  rig_free(r);
}

/* When the owner of a worker's shard receives a duplicate heartbeat, the owner's reply must have neither
 * status 200 nor commands, since such a reply would renew a lease. Many duplicates must cause only a few
 * probes. */
static void test_duplicate_heartbeats(void) {
  Rig *r = rig_new(TRUE);
  receive_heartbeat(r, heartbeat_of_i_1(r, 1, 5));
  receive_heartbeat(r, heartbeat_of_i_1(r, 1, 6));
  tick(r, 4);
  clear_outputs(r);
  guint rejected = 0, probes = 0;
  for (guint k = 0; k < 200; k++) {
    receive_heartbeat(r, heartbeat_of_i_1(r, 1, 1 + k % 6));
    FkOutput *o = latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY);
    g_assert_cmpint(o->status, ==, 503);
    g_assert_true(!o->commands);
    rejected++;
    FkOutput *probe = latest_output(r, FK_OUTPUT_COMMANDS);
    probes += probe != NULL;
    if (probe)
      reply_to_command(r, FK_OUTCOME_UNKNOWN, NULL);
    clear_outputs(r);
    if (k % 20 == 19)
      tick(r, 0.1);
  }
  g_assert_cmpuint(rejected, ==, 200);
  g_assert_cmpuint(probes, <=, 3);
  rig_free(r);
}

/* A duplicate heartbeat of a terminated or unknown machine must neither register the machine nor cause an
 * allocation on it. A machine that exists replies to the probe and is registered immediately. */
static void test_unknown_machines(void) {
  for (guint exists = 0; exists < 2; exists++) {
    Rig *r = rig_new(TRUE);
    g_autofree char *page = group_key("m");
    watched(r, (const char *const[]){page, "{\"zone\":\"north\",\"m\":[]}", NULL});
    clear_outputs(r);
    FkHeartbeat *duplicate = heartbeat_of_i_1(r, 1, 9);
    duplicate->fencing_token.n--;
    receive_heartbeat(r, duplicate);
    g_assert_nonnull(latest_output(r, FK_OUTPUT_COMMANDS));
    reply_to_command(r, exists ? FK_OUTCOME_OK : FK_OUTCOME_UNKNOWN,
                     exists ? heartbeat_of_i_1(r, 1, 10) : NULL);
    tick(r, 2);
    g_assert_cmpint(find(r, FK_OUTPUT_COMMIT, page) != NULL, ==, exists);
    g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/"));
    rig_free(r);
  }
}

/* A one-way partition: the worker's heartbeats arrive, but no message reaches the worker. The machine gets no
 * new allocations and is drained as silent. The worker then gets no more replies with status 200, so that its
 * lease provably expires. A worker whose heartbeats show the effect of commands does receive the replies,
 * even if all direct calls fail. */
static void test_inbound_partition(void) {
  for (guint receives = 0; receives < 2; receives++) {
    Rig *r = rig_new(TRUE);
    g_autofree char *page = group_key("m");
    guint64 sequence = 0;
    receive_heartbeat(r, heartbeat_of_i_1(r, 1, ++sequence));
    allocate_first_task(r);
    gboolean drained = FALSE;
    int last = 0;
    for (guint step = 0; step < 60 && !drained; step++) {
      FkOutput *call = latest_output(r, FK_OUTPUT_COMMANDS);
      if (call)
        reply_to_command(r, FK_OUTCOME_UNKNOWN, NULL);
      if (step % 5 == 4) {
        FkHeartbeat *heartbeat = heartbeat_of_i_1(r, 1, ++sequence);
        receive_heartbeat(r,
                          receives ? add_run_1_status(heartbeat, FK_TASK_RUNNING, FK_EXIT_NONE) : heartbeat);
        last = latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)->status;
        g_assert_cmpint(last, ==, 200);
      }
      tick(r, 0.3);
      drained = find(r, FK_OUTPUT_COMMIT, page) != NULL;
      watched(r, NULL);
    }
    g_assert_cmpint(drained, ==, !receives);
    if (!receives) {
      FkMachine *m = fk_view_find_machine(fk_controller_view(r->c), "i-1");
      g_assert_false(fk_machine_is_usable(r->c, m));
      watched(
          r, (const char *const[]){
                 page, "{\"zone\":\"north\",\"m\":[[\"i-1\",\"box8\",\"127.0.0.1:9\",0,\"silent\"]]}", NULL});
      receive_heartbeat(r, heartbeat_of_i_1(r, 1, ++sequence));
      g_assert_cmpint(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, 503);
    }
    rig_free(r);
  }
}

/* A worker restarts quickly, and its incarnation and sequence numbers start over. Only a probe distinguishes
 * its heartbeats from old duplicates. The worker's tasks are started on it again immediately. An echo of the
 * present token isn't counted until the shard is acquired again, since the heartbeat that carries it may be
 * from before the restart. */
static void test_worker_restart(void) {
  Rig *r = rig_new(TRUE);
  receive_heartbeat(r, heartbeat_of_i_1(r, 1, 40));
  allocate_first_task(r);
  reply_to_command(r, FK_OUTCOME_OK,
                   add_run_1_status(heartbeat_of_i_1(r, 1, 41), FK_TASK_RUNNING, FK_EXIT_NONE));
  tick(r, 1.5);
  clear_outputs(r);
  FkHeartbeat *restarted = heartbeat_of_i_1(r, 1, 1);
  restarted->fencing_token.n = 0;
  receive_heartbeat(r, restarted);
  g_assert_cmpint(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, 503);
  reply_to_command(r, FK_OUTCOME_OK, heartbeat_of_i_1(r, 1, 2));
  /* the restarted worker reports no task: the task is started again and doesn't count as ended */
  g_assert_cmpuint(starts(latest_output(r, FK_OUTPUT_COMMANDS)), ==, 1);
  g_assert_false(fk_worker_has_echoed_token(fk_view_find_machine(fk_controller_view(r->c), "i-1")));
  reply_to_command(r, FK_OUTCOME_OK,
                   add_run_1_status(heartbeat_of_i_1(r, 1, 3), FK_TASK_RUNNING, FK_EXIT_NONE));
  g_autofree char *shard_key = group_key("g");
  tick(r, 4);
  g_assert_nonnull(find(r, FK_OUTPUT_COMMIT, shard_key));
  watched(r, (const char *const[]){shard_key, "{\"node\":\"c-0\",\"life\":\"now\"}", NULL});
  receive_heartbeat(r, add_run_1_status(heartbeat_of_i_1(r, 1, 4), FK_TASK_RUNNING, FK_EXIT_NONE));
  g_assert_true(fk_worker_has_echoed_token(fk_view_find_machine(fk_controller_view(r->c), "i-1")));
  rig_free(r);
}

/* A restarted worker, which has no token, executes copies of earlier starts: it is probed although there was
 * contact with it just before, and although a call is in flight, which may get no reply. A heartbeat with a
 * lower token is never taken for the worker's state, whatever its sequence number is. */
static void test_worker_without_token(void) {
  Rig *r = rig_new(TRUE);
  FkMachine *machine = fk_view_find_machine(fk_controller_view(r->c), "i-1");
  receive_heartbeat(r, heartbeat_of_i_1(r, 1, 40));
  g_assert_true(fk_worker_has_echoed_token(machine));
  for (guint sequence = 1; sequence <= 81; sequence += 40) {
    clear_outputs(r);
    FkHeartbeat *restarted = heartbeat_of_i_1(r, 1, sequence);
    restarted->fencing_token.n = 0;
    receive_heartbeat(r, restarted);
    g_assert_cmpint(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, 503);
    g_assert_nonnull(latest_output(r, FK_OUTPUT_COMMANDS));
    g_assert_cmpuint(machine->worker->heartbeat->sequence, ==, 40);
    tick(r, 0.4);
  }
  rig_free(r);
}

/* A controller that is isolated from the store and its peers learns from a worker's token that the shard
 * has another owner, and redirects all of the shard's workers. With a fresh view, a token that was never
 * issued affects only the worker that echoes it. In an outage of the whole store, no worker has a later
 * token. */
static void test_controller_isolated(void) {
  static const struct {
    gboolean stale, later;
    int other_status; /* expected status of the reply to the shard's other worker */
  } cases[] = {{TRUE, TRUE, 421}, {TRUE, FALSE, 200}, {FALSE, TRUE, 200}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    if (cases[i].stale)
      tick(r, 5);
    FkHeartbeat *heartbeat = heartbeat_of_i_1(r, 1, 1);
    heartbeat->fencing_token.n = shard_rev(r) + (cases[i].later ? 100 : 0);
    receive_heartbeat(r, heartbeat);
    g_assert_cmpint(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, cases[i].later ? 421 : 200);
    g_autofree char *shard = fk_shard_id_for_machine("north", "i-1"), *other_machine = NULL;
    for (guint k = 2; !other_machine; k++) {
      g_autofree char *id = g_strdup_printf("i-%u", k), *of = fk_shard_id_for_machine("north", id);
      if (g_str_equal(of, shard))
        other_machine = g_steal_pointer(&id);
    }
    receive_heartbeat(r, says(r, other_machine, "north", 1, 1));
    g_assert_cmpint(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, cases[i].other_status);
    /* the view is confirmed and shows no later owner, so this controller accepts heartbeats */
    watched(r, NULL);
    receive_heartbeat(r, says(r, other_machine, "north", 1, 2));
    g_assert_cmpint(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, 200);
    rig_free(r);
  }
}

/* An isolated controller stops serving users, so that users turn to another controller. In an outage of the
 * store during which other controllers are heard from, a controller goes on serving. */
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

/* While a controller has no view because it is listing the store, a user's query is answered by a read from
 * the store. The number of concurrent reads is limited. */
static void test_reads_without_view(void) {
  Rig *r = rig_new(TRUE);
  g_autoptr(GPtrArray) none = g_ptr_array_new();
  fk_controller_watch_received(r->c, r->now, FK_OUTCOME_GONE, none, (FkRev){0}, r->now);
  pump(r);
  clear_outputs(r);
  for (guint k = 0; k < 40; k++)
    fk_controller_poll_received(r->c, r->now, (FkRequestId){100 + k}, "run-7");
  pump(r);
  guint reads = 0, rejected = 0;
  guint64 call = 0;
  for (guint i = 0; i < r->outs->len; i++) {
    const FkOutput *o = r->outs->pdata[i];
    reads += o->kind == FK_OUTPUT_GET;
    rejected += o->kind == FK_OUTPUT_USER_REPLY && o->status == 503;
    call = o->kind == FK_OUTPUT_GET && !call ? o->call : call;
  }
  g_assert_cmpuint(reads, ==, 16);
  g_assert_cmpuint(rejected, ==, 24);
  /* a job with neither a live nor a final record was never accepted; the next query reads the store again */
  clear_outputs(r);
  fk_controller_get_received(r->c, r->now, call, FK_OUTCOME_GONE, NULL);
  pump(r);
  call = latest_output(r, FK_OUTPUT_GET)->call;
  fk_controller_get_received(r->c, r->now, call, FK_OUTCOME_GONE, NULL);
  pump(r);
  g_assert_cmpint(latest_output(r, FK_OUTPUT_USER_REPLY)->status, ==, 404);
  clear_outputs(r);
  fk_controller_poll_received(r->c, r->now, (FkRequestId){200}, "run-7");
  pump(r);
  g_assert_nonnull(latest_output(r, FK_OUTPUT_GET));
  rig_free(r);
}

#define WHOLE_MACHINE_SPEC                                                                                   \
  "{\"class\":\"w\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":2,\"cpus\":8,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16}"

/* The view shows a job, and the controller asks the store to confirm that. Before the store's reply arrives,
 * the view is discarded and listed again, as after a long time in which the store refused all requests. The
 * new view may lack an accepted job, and status 404 for an accepted job would count as a lost job
 * (`forgotten`). So the job's record is read, then its final record if there is no live one. */
static void test_read_check_across_relist(void) {
  Rig *r = rig_new(TRUE);
  clear_outputs(r);
  fk_controller_poll_received(r->c, r->now, (FkRequestId){300}, "run-1");
  pump(r);
  guint64 call = latest_output(r, FK_OUTPUT_COMMIT)->call;
  g_autoptr(GPtrArray) none = g_ptr_array_new();
  fk_controller_watch_received(r->c, r->now, FK_OUTCOME_GONE, none, (FkRev){0}, r->now);
  pump(r);
  clear_outputs(r);
  fk_controller_commit_received(r->c, r->now, call, FK_OUTCOME_OK, (FkRev){r->epoch}, none);
  pump(r);
  g_assert_null(find(r, FK_OUTPUT_USER_REPLY, NULL));
  call = latest_output(r, FK_OUTPUT_GET)->call;
  FkStoreEvent *e = g_new0(FkStoreEvent, 1);
  g_autoptr(cJSON) j = fk_json_parse(SPEC, strlen(SPEC));
  *e = (FkStoreEvent){g_strdup("fk/l/j/run-1"), fk_store_record_from_json("fk/l/j/run-1", j), {11}};
  fk_controller_get_received(r->c, r->now, call, FK_OUTCOME_OK, e);
  pump(r);
  g_assert_cmpint(latest_output(r, FK_OUTPUT_USER_REPLY)->status, ==, 200);
  rig_free(r);
}

/* A job that has waited too long to start is placed first, and a machine is reserved for it. Other jobs are
 * backfilled on this machine only if they end before the reserved job can start. */
static void test_backfill_reservation(void) {
  static const struct {
    double waited_s;
    gboolean started, urgent;
  } cases[] = {{100, FALSE, FALSE}, {140, FALSE, TRUE}, {140, TRUE, FALSE}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    r->s->heartbeat_interval_s = 1000;
    ((FkTeam *)r->s->teams->pdata[0])->max_cpus = 100;
    ((FkTeam *)r->s->teams->pdata[1])->max_cpus = 100;
    receive_heartbeat(r, heartbeat_of_i_1(r, 1, 1));
    watched(r, (const char *const[]){"fk/l/j/run-2", WHOLE_MACHINE_SPEC, "fk/l/t/run-1/00000",
                                     "{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}", NULL});
    r->now = r->c->now = fk_time_add(r->now, 3); /* the next scheduling cycle */
    FkView *v = fk_controller_view(r->c);
    FkJob *big = fk_view_find_job(v, "run-2"), *small = fk_view_find_job(v, "run-1");
    FkMachine *m = fk_view_find_machine(v, "i-1");
    big->startable_us = r->now.us - (gint64)(cases[i].waited_s * 1e6);
    small->startable_us = r->now.us;
    big->allocated += cases[i].started;
    g_autoptr(GPtrArray) jobs = fk_scheduling_queue_select_jobs(r->c);
    g_assert_cmpint(big->urgent, ==, cases[i].urgent);
    g_assert_true(!cases[i].urgent || jobs->pdata[0] == big);
    g_assert_cmpint(fk_backfill_reservation_blocks(r->c, small, m), ==, cases[i].urgent);
    g_assert_false(fk_backfill_reservation_blocks(r->c, big, m));
    g_assert_true(fk_backfill_reservation_holder(r->c, m) == (cases[i].urgent ? big : NULL));
    big->allocated -= cases[i].started;
    rig_free(r);
  }
}

/* A restarted worker has forgotten the token of a later owner, so it no longer rejects the replies of an
 * earlier owner. An earlier owner whose view is stale must therefore send no starts to a worker without a
 * token: the tasks that its view allocates there may have ended or run elsewhere. A worker that echoes this
 * controller's token or an earlier one gets starts. */
static void test_worker_restart_stale_view(void) {
  static const struct {
    gboolean stale;
    guint64 token; /* the worker's token: 0 none; 1 an earlier one; 2 this controller's */
    int status;
  } cases[] = {{TRUE, 0, 503}, {TRUE, 1, 200}, {TRUE, 2, 200}, {FALSE, 0, 200}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    allocate_first_task(r);
    if (cases[i].stale)
      tick(r, 5);
    clear_outputs(r);
    FkHeartbeat *heartbeat = heartbeat_of_i_1(r, 1, 1);
    heartbeat->fencing_token.n = cases[i].token == 2 ? shard_rev(r) : cases[i].token;
    receive_heartbeat(r, heartbeat);
    g_assert_cmpint(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)->status, ==, cases[i].status);
    g_assert_cmpuint(starts(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY)), ==, cases[i].status == 200);
    rig_free(r);
  }
  /* the worker had echoed this controller's token; the worker is probed since its heartbeats look like
   * duplicates */
  for (guint stale = 0; stale < 2; stale++) {
    Rig *r = rig_new(TRUE);
    receive_heartbeat(r, heartbeat_of_i_1(r, 1, 40));
    allocate_first_task(r);
    reply_to_command(r, FK_OUTCOME_OK,
                     add_run_1_status(heartbeat_of_i_1(r, 1, 41), FK_TASK_RUNNING, FK_EXIT_NONE));
    tick(r, stale ? 5 : 1.5);
    clear_outputs(r);
    FkHeartbeat *restarted = heartbeat_of_i_1(r, 1, 1);
    restarted->fencing_token.n = 0;
    receive_heartbeat(r, restarted);
    if (latest_output(r, FK_OUTPUT_COMMANDS))
      reply_to_command(r, FK_OUTCOME_OK, heartbeat_of_i_1(r, 1, 2));
    for (guint k = 0; k < r->outs->len; k++)
      g_assert_cmpuint(starts(r->outs->pdata[k]), ==, stale ? 0 : 1);
    rig_free(r);
  }
}

/* A worker reports hundreds of exited attempts and one running task of a cancelled job. The number of
 * commands in a reply is bounded, and a reply renews the lease of every task that it doesn't stop, so the
 * reply must stop that task before it lists attempts to forget. */
static void test_stop_commands_first(void) {
  Rig *r = rig_new(TRUE);
  allocate_first_task(r);
  FkHeartbeat *heartbeat = heartbeat_of_i_1(r, 1, 1);
  for (guint k = 0; k < 300; k++) {
    FkTaskStatus *t = g_new0(FkTaskStatus, 1);
    *t = (FkTaskStatus){g_strdup("run-9"), k, {1}, FK_TASK_EXITED, FK_EXIT_DONE};
    g_ptr_array_add(heartbeat->tasks, t);
  }
  add_run_1_status(heartbeat, FK_TASK_RUNNING, FK_EXIT_NONE);
  g_autofree char *cancelled = g_strdup(SPEC);
  cancelled[strlen(cancelled) - 1] = 0;
  g_autofree char *record = g_strconcat(cancelled, ",\"cancelled\":true}", NULL);
  watched(r, (const char *const[]){"fk/l/j/run-1", record, NULL});
  g_assert_true(fk_view_find_job(fk_controller_view(r->c), "run-1")->cancelled);
  clear_outputs(r);
  receive_heartbeat(r, heartbeat);
  g_assert_cmpuint(count_commands(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY), FK_COMMAND_STOP), ==, 1);
  g_assert_cmpuint(count_commands(latest_output(r, FK_OUTPUT_HEARTBEAT_REPLY), FK_COMMAND_FORGET), >, 100);
  rig_free(r);
}

/* Returns how often the transaction of a call was sent since the outputs were cleared. */
static guint count_sends(Rig *r, guint64 call) {
  guint n = 0;
  for (guint i = 0; i < r->outs->len; i++) {
    const FkOutput *o = r->outs->pdata[i];
    n += o->kind == FK_OUTPUT_COMMIT && o->call == call;
  }
  return n;
}

/* A transaction without a reply is retried a few times, with growing delays, unless its first send is still
 * queued. The first result ends the call, except a refusal while another send may still be carried out.
 * Later results are ignored. Without retries, the user and all launches waited 2 s for each lost
 * transaction (scenario meet-late in test/days: only 0.68 of the submissions were in time). */
static void test_transaction_retry(void) {
  static const struct {
    gboolean sent;           /* FALSE if the first send is still queued */
    FkOutcome first, second; /* results of the first two sends; FK_OUTCOME_UNKNOWN if no result arrives */
    int status;              /* status of the reply to the user, 0 if there is none yet */
    guint sends_max;         /* expected number of sends; checked only if `status` is 0 */
  } cases[] = {{FALSE, FK_OUTCOME_UNKNOWN, FK_OUTCOME_UNKNOWN, 0, 1},
               {TRUE, FK_OUTCOME_UNKNOWN, FK_OUTCOME_UNKNOWN, 0, 4},
               {TRUE, FK_OUTCOME_UNKNOWN, FK_OUTCOME_OK, 201, 4},
               {TRUE, FK_OUTCOME_REFUSED, FK_OUTCOME_UNKNOWN, 0, 4},
               {TRUE, FK_OUTCOME_REFUSED, FK_OUTCOME_OK, 201, 4},
               {TRUE, FK_OUTCOME_REFUSED, FK_OUTCOME_REFUSED, 503, 4}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    clear_outputs(r);
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
    g_assert_cmpuint(count_sends(r, call), ==, 1); /* not retried yet: the reply may only be slow */
    tick(r, 0.4);
    g_assert_cmpuint(count_sends(r, call), ==, cases[i].sent ? 2 : 1);
    if (cases[i].first != FK_OUTCOME_UNKNOWN)
      fk_controller_commit_received(r->c, r->now, call, cases[i].first, (FkRev){0}, NULL);
    if (cases[i].second != FK_OUTCOME_UNKNOWN)
      fk_controller_commit_received(r->c, r->now, call, cases[i].second, (FkRev){r->epoch + 5}, NULL);
    pump(r);
    const FkOutput *a = latest_output(r, FK_OUTPUT_USER_REPLY);
    g_assert_cmpint(a ? a->status : 0, ==, cases[i].status);
    for (guint k = 0; k < 5; k++) {
      if (cases[i].sent)
        fk_controller_transaction_sent(r->c, r->now, call);
      tick(r, 2);
    }
    if (!cases[i].status)
      g_assert_cmpuint(count_sends(r, call), ==, cases[i].sends_max);
    /* the first send's deadline ends the call; the user gets no second reply */
    fk_controller_commit_received(r->c, r->now, call, FK_OUTCOME_UNKNOWN, (FkRev){0}, NULL);
    fk_controller_commit_received(r->c, r->now, call, FK_OUTCOME_OK, (FkRev){r->epoch + 5}, NULL);
    pump(r);
    guint replies = 0;
    for (guint k = 0; k < r->outs->len; k++)
      replies += ((FkOutput *)r->outs->pdata[k])->kind == FK_OUTPUT_USER_REPLY;
    g_assert_cmpuint(replies, ==, 1);
    rig_free(r);
  }
}

/* While many messages are lost, a transaction without a reply is retried quickly. While hardly any are
 * lost, the transaction is retried later, since each send uses a write of the store's budget. */
static void test_retry_under_loss(void) {
  for (guint lossy = 0; lossy < 2; lossy++) {
    Rig *r = rig_new(TRUE);
    guint64 call = 0;
    for (guint k = 0; k < 12; k++) {
      clear_outputs(r);
      g_autofree char *id = g_strdup_printf("run-%u", 100 + k);
      fk_controller_poll_received(r->c, r->now, (FkRequestId){100 + k}, id);
      tick(r, 0.6); /* longer than the minimum interval between checks at the store */
      call = latest_output(r, FK_OUTPUT_COMMIT)->call;
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
    g_assert_cmpuint(count_sends(r, call), ==, 1 + lossy);
    rig_free(r);
  }
}

static void log_errors_only(const char *domain, GLogLevelFlags level, const char *text, gpointer data) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    g_log_default_handler(domain, level, text, data);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_default_handler(log_errors_only, NULL);
  g_test_add_func("/failure_modes/repeated_command", test_repeated_command);
  g_test_add_func("/failure_modes/replied_start", test_replied_start);
  g_test_add_func("/failure_modes/duplicate_heartbeats", test_duplicate_heartbeats);
  g_test_add_func("/failure_modes/unknown_machines", test_unknown_machines);
  g_test_add_func("/failure_modes/inbound_partition", test_inbound_partition);
  g_test_add_func("/failure_modes/worker_restart", test_worker_restart);
  g_test_add_func("/failure_modes/worker_without_token", test_worker_without_token);
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
