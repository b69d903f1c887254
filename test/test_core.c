/* Tests of a single controller core: each test provides the core's inputs and checks its outputs. Covered are
 * the guards of transactions, when the controller takes over or gives up shards and machines, and how records
 * from the store are applied. */
#include <string.h>

#include "core/scheduling/preemption.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/starvation.h"
#include "core/scheduling/stop_transaction.h"
#include "core/scheduling/team_quota.h"
#include "daemon/rate_limiter.h"
#include "rig.h"
#include "wire/settings.h"
#include "wire/store.h"

/* A launch must be guarded by every record that the decision was based on, so that the launch fails if one of
 * these records has changed. */
static void test_launch_guards(void) {
  static const char *const expected_guards[] = {"fk/l/f/c-0", "fk/l/g/north.", "fk/l/j/run-1", "fk/l/q/red",
                                                "fk/l/t/run-1/"};
  Rig *r = rig_new(TRUE);
  report(r, 1, 1, 11, NULL, FK_EXIT_NONE);
  tick(r, 1);
  /* the first write changes the launch fence, a record that guards every launch, so that launches of an
   * earlier incarnation of the controller can't be applied */
  FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/f/");
  g_assert_nonnull(t);
  g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/"));
  fk_controller_commit_received(r->c, r->now, t->call, FK_OUTCOME_OK, (FkRev){r->epoch + 1}, NULL);
  const char *fence[] = {"fk/l/f/c-0", "{}", NULL};
  watched(r, fence);
  tick(r, 1);
  t = find(r, FK_OUTPUT_COMMIT, "fk/l/t/");
  g_assert_nonnull(t);
  for (guint i = 0; i < G_N_ELEMENTS(expected_guards); i++)
    g_assert_true(guarded(t, expected_guards[i]));
  /* A launch without a reply may still be applied: nothing is launched until the fence has changed. */
  fk_controller_commit_received(r->c, r->now, t->call, FK_OUTCOME_UNKNOWN, (FkRev){0}, NULL);
  g_ptr_array_set_size(r->outs, 0);
  tick(r, 2);
  g_assert_nonnull(find(r, FK_OUTPUT_COMMIT, "fk/l/f/"));
  g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/"));
  rig_free(r);
}

#define ONE_ALLOCATION "{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}"

/* An attempt whose completion was sent to the store must not be started again, even if the view still shows
 * the attempt as allocated. */
static void test_completion_is_final(void) {
  Rig *r = rig_new(TRUE);
  const char *chunk[] = {"fk/l/t/run-1/00000", ONE_ALLOCATION, NULL};
  watched(r, chunk);
  report(r, 1, 1, 11, "running", FK_EXIT_NONE);
  report(r, 1, 2, 11, "exited", FK_EXIT_ERROR);
  tick(r, 1);
  FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/r/c-0/");
  g_assert_nonnull(t);
  g_assert_true(guarded(t, "fk/l/g/north."));
  g_assert_true(guarded(t, "fk/l/r/c-0/"));
  /* The worker's lease expires, and the worker reconnects without tasks while the completion has no reply
   * yet. */
  fk_controller_commit_received(r->c, r->now, t->call, FK_OUTCOME_UNKNOWN, (FkRev){0}, NULL);
  g_ptr_array_set_size(r->outs, 0);
  report(r, 2, 3, 11, NULL, FK_EXIT_NONE);
  FkOutput *reply = find(r, FK_OUTPUT_HEARTBEAT_REPLY, NULL);
  g_assert_nonnull(reply);
  g_assert_cmpint(reply->status, ==, 200);
  g_assert_cmpuint(starts(reply), ==, 0);
  tick(r, 1);
  for (guint i = 0; i < r->outs->len; i++)
    g_assert_cmpuint(starts(r->outs->pdata[i]), ==, 0);
  rig_free(r);
}

/* The previous owner of a machine may renew the lease of the machine's worker for as long as it trusts its
 * unconfirmed view (fk_stale_view_trust_s). Until the worker has echoed this controller's token, the
 * machine's allocations may be ended only after that time plus the length of a lease. */
static void test_previous_owner_trust(void) {
  Rig *r = rig_new(FALSE);
  const char *chunk[] = {"fk/l/t/run-1/00000", ONE_ALLOCATION, NULL};
  watched(r, chunk);
  g_autofree char *owner_key = group_key("g");
  const char *ownership[] = {owner_key, "{\"node\":\"c-0\",\"life\":\"now\"}", NULL};
  watched(r, ownership);
  double trust = fk_stale_view_trust_s(r->s), lease = r->s->worker_lease_s;
  double waited = 0;
  while (waited < trust + lease + 20 && !find(r, FK_OUTPUT_COMMIT, "fk/l/r/")) {
    tick(r, 0.5);
    waited += 0.5;
    watched(r, NULL); /* the store stays reachable */
  }
  g_assert_cmpfloat(waited, >=, trust + lease);
  g_assert_cmpfloat(waited, <, trust + lease + 10);
  rig_free(r);
}

/* A shard's machines are listed in a record of the store, the shard's page. Marking a machine as drained in
 * the page doesn't change the shard's fencing token. A machine that is missing from the page is removed from
 * the view. */
static void test_shards(void) {
  static const struct {
    const char *zone, *machine, *shard;
  } ids[] = {/* part of the store's layout: must never change */
             {"north", "i-000001", "north.14"},
             {"north", "i-000002", "north.8"},
             {"a.b", "i-000231", "a.b.17"}};
  for (guint i = 0; i < G_N_ELEMENTS(ids); i++) {
    g_autofree char *id = fk_shard_id_for_machine(ids[i].zone, ids[i].machine);
    g_assert_cmpstr(id, ==, ids[i].shard);
  }
  Rig *r = rig_new(TRUE);
  FkView *v = fk_controller_view(r->c);
  FkMachine *m = fk_view_find_machine(v, "i-1");
  guint64 token = m->shard->rev.n;
  g_autofree char *page = group_key("m");
  const char *marked[] = {
      page, "{\"zone\":\"north\",\"m\":[[\"i-1\",\"box8\",\"127.0.0.1:9\",0,\"idle\",-1]]}", NULL};
  watched(r, marked);
  g_assert_cmpstr(m->drain_reason, ==, "idle");
  g_assert_cmpuint(m->shard->rev.n, ==, token);
  const char *empty_page[] = {page, "{\"m\":[]}", NULL};
  watched(r, empty_page);
  m = fk_view_find_machine(v, "i-1");
  g_assert_true(!m || !m->record);
  rig_free(r);
}

/* A controller acquires another controller's shard if a sufficient share of the shard's workers return to it
 * after it has redirected them to the owner. The controller must not acquire the shard if only a few of many
 * workers return, or if the controller has only just lost the shard: two busy controllers once took the same
 * shards from each other for 25 s. */
static void test_redirected_workers_return(void) {
  static const struct {
    guint machines, returned;
    gboolean just_lost, acquired;
    /* seconds between two returns of a worker; a worker that never received the redirect takes longer, and
     * isn't counted */
    double interval_s;
  } cases[] = {{2, 2, FALSE, TRUE, 5},     {20, 2, FALSE, FALSE, 5}, {20, 3, FALSE, TRUE, 5},
               {40, 5, FALSE, FALSE, 5},   {40, 6, FALSE, TRUE, 5},  {20, 3, TRUE, FALSE, 5},
               {20, 20, FALSE, FALSE, 10}, {20, 6, FALSE, FALSE, 15}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(cases[i].just_lost);
    g_autofree char *owner_key = group_key("g"), *page = group_key("m");
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *members = machine_page("north", "i", cases[i].machines, ids);
    const char *lines[] = {owner_key, "{\"node\":\"c-2\",\"life\":\"y\"}", page, members, NULL};
    watched(r, lines);
    tick(r, 0.3);
    g_ptr_array_set_size(r->outs, 0);
    g_autofree char *shard_id = fk_shard_id_for_machine("north", "i-1");
    fk_view_ensure_shard(fk_controller_view(r->c), shard_id)->no_handback_until =
        fk_time_add(r->now, 100); /* until then, the shard isn't taken back from its live owner */
    for (guint round = 0; round < 3; round++) {
      for (guint k = 0; k < cases[i].returned; k++)
        report_of(r, ids->pdata[k], "north");
      for (double s = 0; s < cases[i].interval_s && round < (cases[i].interval_s < 9 ? 1 : 2); s += 0.5) {
        tick(r, 0.5);
        watched(r, NULL);
      }
      tick(r, 0.3);
      if (cases[i].interval_s < 9 && round)
        break; /* these cases are decided when each worker has returned once */
    }
    g_test_message("case %u", i);
    g_assert_cmpint(find(r, FK_OUTPUT_COMMIT, owner_key) != NULL, ==, cases[i].acquired);
    rig_free(r);
  }
}

/* Replies to all commands that were sent: with success for the machines in `responding`, which is then
 * cleared, and with an unknown outcome for the others. Returns whether the controller has sent a commit of
 * the shard's page `page`, which marks a machine as silent. */
static gboolean reply_to_commands(Rig *r, const char *page, GHashTable *responding) {
  gboolean marked = find(r, FK_OUTPUT_COMMIT, page) != NULL;
  g_autoptr(GPtrArray) outs = g_steal_pointer(&r->outs);
  r->outs = g_ptr_array_new_with_free_func((GDestroyNotify)fk_output_free);
  for (guint i = 0; i < outs->len; i++) {
    FkOutput *o = outs->pdata[i];
    gboolean answers = o->kind == FK_OUTPUT_COMMANDS && g_hash_table_contains(responding, o->machine);
    if (o->kind == FK_OUTPUT_COMMANDS)
      fk_controller_command_reply_received(
          r->c, r->now, o->call, answers ? FK_OUTCOME_OK : FK_OUTCOME_UNKNOWN,
          answers ? says(r, o->machine, g_str_has_prefix(o->machine, "s") ? "south" : "north", 1, ++r->tally)
                  : NULL);
  }
  pump(r);
  g_hash_table_remove_all(responding);
  watched(r, NULL);
  return marked;
}

static void report_and_respond(Rig *r, GHashTable *responding, const char *machine, const char *zone) {
  report_of(r, machine, zone);
  g_hash_table_add(responding, (gpointer)machine);
}

/* An owner that receives heartbeats from its own zone and none from another zone is partitioned from that
 * zone. It must not mark that zone's machines as silent, because they would all be terminated together with
 * their tasks. If only one machine of a zone sends no heartbeats, this machine is marked as silent. */
static void test_zone_partition_is_not_silence(void) {
  /* The scenarios differ in which machines of zone north respond:
   *
   * - 0: all but one.
   * - 1: none.
   * - 2: all for the first 10 s, none afterwards.
   * - 3: as 2, but later all machines respond again, the machine with the service a little after the others.
   * - 4: as 3, but the machine with the service never responds again.
   *
   * In scenarios 2 to 4, the first machine runs a service, and is therefore probed (by a message that the
   * controller sends to it) before the next heartbeats of the other machines are due. */
  for (guint scenario = 0; scenario < 5; scenario++) {
    Rig *r = rig_new(TRUE);
    r->s->heartbeat_interval_s = scenario >= 2 ? 10 : r->s->heartbeat_interval_s;
    g_autoptr(GPtrArray) north = g_ptr_array_new_with_free_func(g_free),
                         south = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *page = group_key("m"), *members = machine_page("north", "i", 4, north),
                    *south_members = machine_page("south", "s", 6, south);
    g_autofree char *shard_id = fk_shard_id_for_machine("south", "s-1"),
                    *owner_key = g_strconcat("fk/l/g/", shard_id, NULL),
                    *south_page = g_strconcat("fk/l/m/", shard_id, NULL);
    const char *lines[] = {page,       members,       owner_key, "{\"node\":\"c-0\",\"life\":\"now\"}",
                           south_page, south_members, NULL};
    watched(r, lines);
    const char *service[] = {"fk/l/j/run-9", SERVICE, "fk/l/t/run-9/00000",
                             "{\"f\":0,\"n\":1,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}", NULL};
    if (scenario >= 2)
      watched(r, service);
    gboolean marked = FALSE;
    g_autoptr(GHashTable) responding = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint step = 0; step < (scenario > 2 ? 160 : 60) && !marked; step++) {
      for (guint i = 0; i < south->len; i++)
        report_and_respond(r, responding, south->pdata[i], "south");
      gboolean heals = scenario > 2 && step >= 90;
      for (guint i = scenario >= 2 ? 0 : 1; i < north->len; i++)
        if (!scenario || (scenario >= 2 && step < 20) || (heals && (i || (scenario == 3 && step > 104))))
          report_and_respond(r, responding, north->pdata[i], "north");
      tick(r, 0.5);
      marked = reply_to_commands(r, page, responding);
    }
    g_assert_cmpint(marked, ==, !scenario || scenario == 4);
    rig_free(r);
  }
}

/* A shard that another controller took over while this controller couldn't reach the store is taken back
 * soon. A shard that was taken over while this controller was healthy is left with its new owner, because its
 * workers can't reach this controller. */
static void test_handback(void) {
  for (guint outage = 0; outage < 2; outage++) {
    Rig *r = rig_new(TRUE);
    for (guint i = 0; i < 30; i++) {
      tick(r, 0.5);
      watched(r, NULL);
    }
    if (outage)
      tick(r, 8);
    g_autofree char *owner_key = group_key("g");
    watched(r, (const char *const[]){owner_key, "{\"node\":\"c-2\",\"life\":\"y\"}", NULL});
    g_ptr_array_set_size(r->outs, 0);
    double acquired_after_s = -1;
    for (double s = 0; s < 30 && acquired_after_s < 0; s += 0.5) {
      tick(r, 0.5);
      watched(r, NULL);
      acquired_after_s = find(r, FK_OUTPUT_COMMIT, owner_key) ? s : -1;
    }
    g_assert_true(outage ? acquired_after_s >= 9 && acquired_after_s < 15 : acquired_after_s < 0);
    rig_free(r);
  }
}

/* An owner that loses contact with all its workers must detect the partition before it marks any of them as
 * silent. The worker with a service is the first to stop sending heartbeats, and is probed just after the
 * partition begins. The probe times out while the others' last heartbeats are still recent. If only that
 * worker is lost, it is marked as silent. */
static void test_owner_partitioned(void) {
  for (guint all_lost = 0; all_lost < 2; all_lost++) {
    Rig *r = rig_new(TRUE);
    r->s->heartbeat_interval_s = 10;
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *page = group_key("m"), *members = machine_page("north", "i", 70, ids);
    watched(r, (const char *const[]){page, members, "fk/l/j/run-9", SERVICE, "fk/l/t/run-9/00000",
                                     "{\"f\":0,\"n\":1,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}", NULL});
    gboolean marked = FALSE;
    g_autoptr(GHashTable) responding = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint step = 0; step < 260 && !marked; step++) {
      if (!all_lost || step < 200)
        report_and_respond(r, responding, ids->pdata[1 + step % 69], "north");
      if (step < 160)
        report_and_respond(r, responding, ids->pdata[0], "north");
      tick(r, 0.1);
      marked = reply_to_commands(r, page, responding);
    }
    g_assert_cmpint(marked, ==, !all_lost);
    rig_free(r);
  }
}

/* A cancellation is committed and acted on at once. It is acknowledged as soon as no shard owner that hasn't
 * seen the cancellation can still renew leases of the job's workers beyond the deadline: see
 * core/api/cancellation_barrier.c. Machine i-1 is owned by c-1 unless `owned` is set, and run-1 has an
 * allocation there if `allocated` is set. */
static void test_cancellation_barrier(void) {
  static const struct {
    const char *what;
    gboolean owned, token_echoed, allocated;
    guint64 applied[2]; /* revisions reported by c-1 and c-2; 0 if none */
    double barrier_s;   /* the setting tell_after_s, in seconds; 0 disables the barrier */
    /* expected time of the acknowledgement in seconds, or up to 1 s later; -1 if not within 20 s */
    double acknowledged_s;
  } cases[] = {
      {"no controller has reported its revision", FALSE, FALSE, TRUE, {0, 0}, 30, -1},
      {"only one controller has applied the revision", FALSE, FALSE, TRUE, {1000, 0}, 30, -1},
      {"one controller is behind", FALSE, FALSE, TRUE, {1000, 2}, 30, -1},
      {"all controllers have applied the revision", FALSE, FALSE, TRUE, {1000, 1000}, 30, 0},
      {"no owner may still trust an older view", FALSE, FALSE, TRUE, {0, 0}, 5, 5},
      {"the job has no allocations", FALSE, FALSE, FALSE, {0, 0}, 30, 0},
      {"the machine is owned, but hasn't echoed the token", TRUE, FALSE, TRUE, {0, 0}, 30, -1},
      {"the machine is owned and has echoed the token", TRUE, TRUE, TRUE, {0, 0}, 30, 0},
      {"the barrier is disabled", FALSE, FALSE, TRUE, {0, 0}, 0, 0},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(cases[i].owned);
    r->s->tuning.cancellation_barrier_s = cases[i].barrier_s;
    if (cases[i].allocated)
      watched(r, (const char *const[]){"fk/l/t/run-1/00000", ONE_ALLOCATION, NULL});
    if (cases[i].token_echoed) {
      g_autofree char *id = fk_shard_id_for_machine("north", "i-1");
      report(r, 1, 1, fk_view_ensure_shard(fk_controller_view(r->c), id)->rev.n, "running", FK_EXIT_NONE);
    }
    fk_controller_cancellation_received(r->c, r->now, (FkRequestId){77}, "run-1");
    pump(r);
    FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/j/run-1");
    g_assert_nonnull(t);
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    fk_controller_commit_received(r->c, r->now, t->call, FK_OUTCOME_OK, (FkRev){r->epoch + 1}, none);
    g_autofree char *cancelled_spec =
        g_strdup_printf("%.*s,\"cancelled\":true}", (int)strlen(SPEC) - 1, SPEC);
    watched(r, (const char *const[]){"fk/l/j/run-1", cancelled_spec, NULL});
    g_assert_true(fk_view_find_job(fk_controller_view(r->c), "run-1")->cancelled);
    double acknowledged_s = -1;
    for (double s = 0; s < 20 && acknowledged_s < 0; s += 0.5) {
      for (guint k = 0; k < 2; k++)
        if (cases[i].applied[k])
          fk_controller_peer_progress_received(r->c, r->now, k ? "c-2" : "c-1", "y", (FkRev){1000},
                                               (FkRev){cases[i].applied[k]}, 0, r->now);
      fk_controller_poll_received(r->c, r->now, (FkRequestId){100 + (guint64)(2 * s)}, "run-1");
      tick(r, 0.5);
      for (guint k = 0; k < r->outs->len; k++) {
        FkOutput *o = r->outs->pdata[k];
        if (o->kind != FK_OUTPUT_USER_REPLY)
          continue;
        /* The reply never shows the earlier state. If the state can't be confirmed, the reply is 503 and
         * tells the client to retry. */
        g_assert_true(o->status == 503 ? o->retry_s >= 1
                                       : o->status == 200 && o->phase == FK_PHASE_CANCELLED);
        if (o->status == 200 && acknowledged_s < 0)
          acknowledged_s = s;
      }
      g_ptr_array_set_size(r->outs, 0);
      watched(r, NULL);
    }
    g_test_message("%s: acknowledged after %.1f s", cases[i].what, acknowledged_s);
    g_assert_cmpfloat(acknowledged_s, >=, cases[i].acknowledged_s);
    g_assert_cmpfloat(acknowledged_s, <=, cases[i].acknowledged_s < 0 ? -1 : cases[i].acknowledged_s + 1);
    rig_free(r);
  }
}

static int compare_strings(gconstpointer a, gconstpointer b) {
  return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Silent machines with services are terminated no faster than their services can be restarted on other
 * machines. A machine with many services is terminated too, but no other machine with services is terminated
 * at the same time. Capacity for the services of all silent machines is provisioned at once. The two machines
 * without services are terminated at once. */
static void test_service_failover_pacing(void) {
  static const struct {
    guint services_on_first, waiting, terminated;
  } cases[] = {{1, 0, 2 + 4}, {1, 3, 2 + 1}, {6, 0, 2 + 1}, {6, 1, 2 + 1}, {1, 4, 2}};
  for (guint k = 0; k < G_N_ELEMENTS(cases); k++) {
    Rig *r = rig_new(TRUE);
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *page = group_key("m"), *members = machine_page("north", "i", 12, ids);
    g_autoptr(GString) marked = g_string_new(members);
    for (guint at = 0; at < marked->len; at++)
      if (marked->str[at] == ']' && at && g_ascii_isdigit(marked->str[at - 1])) {
        g_string_insert(marked, (gssize)at, ",\"silent\",-1");
        at += 12;
      }
    watched(r, (const char *const[]){page, marked->str, "fk/l/leader", "{\"node\":\"c-0\",\"life\":\"now\"}",
                                     NULL});
    g_ptr_array_sort(ids, compare_strings);
    guint jobs = 0;
    for (guint i = 0; i + 2 < ids->len; i++)
      for (guint n = i ? 1 : cases[k].services_on_first; n; n--) {
        g_autofree char *job = g_strdup_printf("fk/l/j/run-5%u", jobs),
                        *chunk = g_strdup_printf("fk/l/t/run-5%u/00000", jobs++),
                        *chunk_record = g_strdup_printf(
                            "{\"f\":0,\"n\":1,\"a\":2,\"b\":[[0,1,\"%s\",\"c-0\"]]}", (char *)ids->pdata[i]);
        watched(r, (const char *const[]){job, SERVICE, chunk, chunk_record, NULL});
      }
    for (guint i = 0; i < cases[k].waiting; i++) {
      g_autofree char *job = g_strdup_printf("fk/l/j/run-6%u", i);
      watched(r, (const char *const[]){job, SERVICE, NULL});
    }
    /* at most four services may be without a machine: as many as 8 writes/s allow in half a second */
    r->s->store_write_rps = 8;
    guint terminated = 0, provisioned = 0;
    for (guint s = 0; s < 7; s++)
      tick(r, 1);
    for (guint i = 0; i < r->outs->len; i++) {
      FkOutput *o = r->outs->pdata[i];
      terminated += o->kind == FK_OUTPUT_TERMINATE ? o->names->len : 0;
      provisioned += o->kind == FK_OUTPUT_PROVISION ? o->count : 0;
    }
    g_assert_cmpuint(terminated, ==, cases[k].terminated);
    /* at least 19 CPUs are needed, on machines of eight CPUs each: at least ten CPUs for services of one
     * CPU each, one for headroom, and eight for the tasks of run-1 */
    g_assert_cmpuint(provisioned, >=, 3);
    rig_free(r);
  }
}

/* Each controller writes completions to records of its own, its pages of completions. The completions in a
 * page apply to a chunk's allocations until the chunk's record includes these completions. */
static void test_completions(void) {
  static const struct {
    const char *completions;
    guint done, allocated;
  } cases[] = {
      {"{\"run-1/0\":{\"d\":\"1\"}}", 1, 1},          {"{\"run-1/0\":{\"r\":[0,1]}}", 0, 1},
      {"{\"run-1/0\":{\"r\":[0,7]}}", 0, 2},          {"{\"run-1/0\":{\"d\":\"2\",\"r\":[0,1]}}", 1, 0},
      {"{\"run-1/9\":{\"d\":\"f\"},\"x\":{}}", 0, 2}, {"{\"run-1/0\":{\"d\":\"c\"}}", 0, 2}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
    for (int completions_first = 0; completions_first < 2; completions_first++) {
      Rig *r = rig_new(FALSE);
      const char *chunk[] = {"fk/l/t/run-1/00000",
                             "{\"f\":0,\"n\":4,\"a\":3,\"b\":[[0,1,\"i-1\",\"c-0\"],[1,2,\"i-1\",\"c-1\"]]}",
                             NULL},
                 *completions[] = {"fk/l/r/c-1/0", cases[i].completions, NULL};
      watched(r, completions_first ? completions : chunk);
      watched(r, completions_first ? chunk : completions);
      FkJob *j = fk_view_find_job(fk_controller_view(r->c), "run-1");
      g_assert_cmpuint(j->done, ==, cases[i].done);
      g_assert_cmpuint(j->allocated, ==, cases[i].allocated);
      g_assert_cmpfloat(fk_view_find_machine(fk_controller_view(r->c), "i-1")->allocated_cpus, ==,
                        2 * cases[i].allocated);
      /* the chunk's record includes the completions, and the page drops them */
      const char *merged[] = {"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":3,\"d\":\"3\",\"b\":[]}",
                              "fk/l/r/c-1/0", "{}", NULL};
      watched(r, merged);
      g_assert_cmpuint(j->done, ==, 2);
      g_assert_cmpuint(j->allocated, ==, 0);
      rig_free(r);
    }
}

/* If one controller has written that a task is done, and another that the same attempt was released, the task
 * counts as done, in whatever order the records are read. */
static void test_result_and_release(void) {
  const char *chunk[] = {"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":3,\"b\":[[0,1,\"i-1\",\"c-0\"]]}",
                         NULL},
             *done[] = {"fk/l/r/c-1/0", "{\"run-1/0\":{\"d\":\"1\"}}", NULL},
             *released[] = {"fk/l/r/c-2/0", "{\"run-1/0\":{\"r\":[0,1]}}", NULL};
  const char **orders[][3] = {{chunk, done, released}, {chunk, released, done}, {done, chunk, released},
                              {released, chunk, done}, {done, released, chunk}, {released, done, chunk}};
  for (guint i = 0; i < G_N_ELEMENTS(orders); i++) {
    Rig *r = rig_new(FALSE);
    for (guint k = 0; k < 3; k++)
      watched(r, orders[i][k]);
    FkJob *j = fk_view_find_job(fk_controller_view(r->c), "run-1");
    g_assert_cmpuint(j->done, ==, 1);
    g_assert_cmpuint(j->allocated, ==, 0);
    g_assert_cmpfloat(fk_view_find_machine(fk_controller_view(r->c), "i-1")->allocated_cpus, ==, 0);
    rig_free(r);
  }
}

/* The leader deletes a chunk whose job doesn't exist, guarded by the absence of the job in the store. It
 * doesn't delete a chunk that was read before its job, as happens if the job is accepted while the store is
 * listed. */
static void test_orphan_chunks(void) {
  for (int job_follows = 0; job_follows < 2; job_follows++) {
    Rig *r = rig_new(FALSE);
    const char *chunk[] = {"fk/l/t/run-8/00000", "{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}",
                           NULL},
               *job[] = {"fk/l/j/run-8", SPEC, NULL},
               *leader[] = {"fk/l/leader", "{\"node\":\"c-0\",\"life\":\"now\"}", NULL};
    watched(r, chunk);
    if (job_follows) {
      watched(r, job);
      watched(r, chunk);
    }
    watched(r, leader);
    tick(r, 1);
    FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/t/run-8/00000");
    g_assert_true((t != NULL) == !job_follows);
    gboolean has_absence_guard = FALSE;
    for (guint i = 0; t && i < t->guards->len; i++) {
      FkGuard *g = &g_array_index(t->guards, FkGuard, i);
      has_absence_guard |= g_str_equal(g->path, "fk/l/j/run-8") && !g->rev.n;
    }
    g_assert_true(has_absence_guard == !job_follows);
    rig_free(r);
  }
}

/* The work of applying a change depends on the number of changed allocations, not on the size of the chunk's
 * record or of the page of completions. */
static void test_incremental_work(void) {
  Rig *r = rig_new(FALSE);
  FkView *v = fk_controller_view(r->c);
  const char *big =
      "{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":128,\"cpus\":1,\"gpus\":0,"
      "\"mem\":1,\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,"
      "\"estimate\":10,\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-1\",\"chunk\":128}";
  const char *job[] = {"fk/l/j/run-9", big, NULL};
  watched(r, job);
  static const struct {
    const char *page; /* content of the page of completions; NULL if the chunk's record changes instead */
    guint allocated;  /* allocations in the chunk's record, from task 0 on */
    guint updates;    /* expected updates of allocations */
  } steps[] = {{NULL, 60, 60},
               {NULL, 61, 1},
               {"{\"run-9/0\":{\"d\":\"1\"}}", 61, 1},
               {"{\"run-9/0\":{\"d\":\"1\"}}", 61, 0},
               {"{\"run-9/0\":{\"d\":\"3\",\"r\":[5,6]}}", 61, 2},
               {"{}", 61, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(steps); i++) {
    g_autoptr(GString) chunk = g_string_new(NULL);
    g_string_printf(chunk, "{\"f\":0,\"n\":128,\"a\":%u,\"b\":[", steps[i].allocated + 1);
    for (guint t = 0; t < steps[i].allocated; t++)
      g_string_append_printf(chunk, "%s[%u,%u,\"i-%u\",\"c-1\"]", t ? "," : "", t, t + 1, 100 + t % 20);
    g_string_append(chunk, "]}");
    const char *lines[] = {steps[i].page ? "fk/l/r/c-1/0" : "fk/l/t/run-9/00000",
                           steps[i].page ? steps[i].page : chunk->str, NULL};
    guint64 before = v->allocation_updates;
    watched(r, lines);
    g_assert_cmpuint(v->allocation_updates - before, ==, steps[i].updates);
  }
  FkJob *j = fk_view_find_job(v, "run-9");
  g_assert_cmpuint(j->done, ==, 2);
  g_assert_cmpuint(j->allocated, ==, 58);
  rig_free(r);
}

/* If a team's quota is partitioned among the controllers, tasks launched by other controllers don't count
 * against this controller's share. While the partition is being changed, no controller has a share. */
static void test_partitioned_quota(void) {
  static const struct {
    const char *team, *chunk;
    gboolean allowed;
  } cases[] = {
      {"{}", "[[0,1,\"i-1\",\"c-0\"]]", TRUE},
      {"{\"split\":{\"c-0\":4}}", "[[0,1,\"i-1\",\"c-1\"],[1,2,\"i-1\",\"c-1\"]]", TRUE},
      {"{\"split\":{\"c-0\":4}}", "[[0,1,\"i-1\",\"c-0\"],[1,2,\"i-1\",\"c-0\"]]", FALSE},
      {"{\"split\":{\"c-1\":24}}", "[]", FALSE},
      {"{\"split\":{},\"node\":\"c-1\"}", "[]", FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(FALSE);
    g_autofree char *chunk = g_strdup_printf("{\"f\":0,\"n\":4,\"a\":3,\"b\":%s}", cases[i].chunk);
    const char *lines[] = {"fk/l/t/run-1/00000", chunk, "fk/l/q/red", cases[i].team, NULL};
    watched(r, lines);
    g_assert_cmpint(
        fk_team_quota_allows_task(r->c, fk_view_find_job(fk_controller_view(r->c), "run-1")->spec), ==,
        cases[i].allowed);
    rig_free(r);
  }
}

static void count_sent(gpointer data, gpointer item) { ++*(guint *)data; }
static void count_shed(gpointer data, gpointer item) { *(guint *)data += 1000; }

static FkRateLimiter *new_limiter(double requests_per_s, double writes_per_s, guint *sent) {
  const FkRateLimiterOptions options = {.requests_per_s = requests_per_s,
                                        .writes_per_s = writes_per_s,
                                        .burst_s = 1,
                                        .levels = 3,
                                        .urgent_levels = 1,
                                        .queue_max = 100};
  return fk_rate_limiter_new(&options, count_sent, count_shed, sent);
}

/* Background requests are sent only while the rate limiter has write tokens left; the last request may
 * overdraw the tokens. Urgent requests, for which users wait, may overdraw the tokens further. */
static void test_write_budget(void) {
  guint sent = 0;
  FkRateLimiter *limiter = new_limiter(100, 10, &sent);
  for (guint i = 0; i < 4; i++)
    /* 10 tokens, and 4 writes per request: two are sent, the third overdraws the tokens, the fourth waits */
    fk_rate_limiter_submit(limiter, 2, 4, &sent);
  g_assert_cmpuint(sent, ==, 3);
  /* no writes are available to a priority level with a waiting request */
  g_assert_cmpfloat(fk_rate_limiter_available_writes(limiter, 2), ==, 0);
  for (guint i = 0; i < 5; i++)
    fk_rate_limiter_submit(limiter, 0, 1, &sent);
  g_assert_cmpuint(sent, ==, 8);
  /* A request with more writes than there are tokens is sent while a few tokens (LARGE_REQUEST_WRITES) are
   * left. If such a request waited for a full bucket of tokens, smaller requests could delay it forever. */
  FkRateLimiter *partly_used = new_limiter(100, 10, &sent);
  fk_rate_limiter_submit(partly_used, 1, 7, &sent);
  fk_rate_limiter_submit(partly_used, 2, 24, &sent);
  g_assert_cmpuint(sent, ==, 10);
  fk_rate_limiter_free(partly_used);
  fk_rate_limiter_free(limiter);
  /* A burst of submissions may overdraw the tokens. Requests that would wait for more than one second are
   * rejected, and the share of the tokens that is reserved for launches stays available. Without the
   * reservation, a leader that received all submissions launched nothing for 10 s. */
  sent = 0;
  FkRateLimiter *burst = new_limiter(1000, 10, &sent);
  for (guint i = 0; i < 40; i++)
    fk_rate_limiter_submit(burst, 0, 1, &sent);
  g_assert_cmpuint(sent % 1000, ==, 17); /* 6.5 tokens for all levels, and 10 overdrawn */
  g_assert_cmpuint(sent / 1000, ==, 13); /* rejected; 10 wait */
  g_assert_cmpfloat(fk_rate_limiter_available_writes(burst, 2), >=, 3.5);
  fk_rate_limiter_submit(burst, 2, 3, &sent);
  g_assert_cmpuint(sent % 1000, ==, 18);
  g_assert_cmpfloat(fk_rate_limiter_available_writes(burst, 2), <, 1);
  fk_rate_limiter_free(burst);
}

static void log_only_errors(const char *domain, GLogLevelFlags level, const char *text, gpointer data) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    g_log_default_handler(domain, level, text, data);
}

/* A small task of low priority must not be backfilled on a machine that an array of higher priority waits
 * for, unless the array can't run there, fails on every machine, or has only just been submitted
 * (docs/incidents/, "Small tasks in every gap"). */
static void test_backfill_yields(void) {
  static const struct {
    const char *what;
    double waited_s;
    const char *type; /* instance type that the array requires; NULL if any */
    gboolean failing, yields;
  } cases[] = {{"an array waits", 3, NULL, FALSE, TRUE},
               {"the array has just been submitted", 0.1, NULL, FALSE, FALSE},
               {"the array can't run there", 3, "box64", FALSE, FALSE},
               {"the array fails on every machine", 3, NULL, TRUE, FALSE}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    g_autoptr(GString) low = g_string_new(SPEC), first = g_string_new(SPEC);
    g_string_replace(low, "\"rank\":2", "\"rank\":3", 0);
    if (cases[i].type)
      g_string_replace(first, "\"spot\"", "\"types\":[\"box64\"],\"spot\"", 0);
    g_test_message("%s", cases[i].what);
    watched(r, (const char *const[]){"fk/l/j/run-low", low->str, "fk/l/j/run-first", first->str, NULL});
    FkView *v = fk_controller_view(r->c);
    FkJob *one = fk_view_find_job(v, "run-1");
    one->cancelled = TRUE; /* excluded from scheduling */
    r->c->now = fk_time_add(r->now, cases[i].waited_s);
    fk_view_find_job(v, "run-first")->failing = cases[i].failing;
    g_autoptr(GPtrArray) jobs = fk_scheduling_queue_select_jobs(r->c);
    FkMachine *m = fk_view_find_machine(v, "i-1");
    g_assert_cmpuint(jobs->len, ==, 2);
    g_assert_cmpint(fk_scheduling_queue_must_yield(r->c, fk_view_find_job(v, "run-low"), m), ==,
                    cases[i].yields);
    g_assert_false(fk_scheduling_queue_must_yield(r->c, fk_view_find_job(v, "run-first"), m));
    rig_free(r);
  }
}

/* Capacity that a team uses beyond its fair share is reclaimed for a blocked job that has waited long enough
 * and has a better claim to it: a higher priority, or a team within its guarantee. No more tasks are stopped
 * than the job needs, the latest ones first, in one write. */
static void test_quota_reclaim(void) {
  static const struct {
    const char *what, *team;
    int rank;
    double waited_s;
    guint stops;
  } cases[] = {{"a lower priority", "blue", 3, 20, 4},
               {"the job has not waited long enough", "blue", 3, 10, 0},
               {"the same priority, for a team within its guarantee", "blue", 2, 20, 4},
               {"a higher priority of a team above its guarantee", "blue", 1, 20, 4},
               {"tasks of the same team", "red", 3, 20, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *page = group_key("m"), *members = machine_page("north", "i", 50, ids);
    g_autoptr(GString) spec = g_string_new(SPEC),
                       chunk = g_string_new("{\"f\":0,\"n\":100,\"a\":101,\"b\":[");
    g_autofree char *rank = g_strdup_printf("\"rank\":%d", cases[i].rank);
    g_autofree char *team = g_strdup_printf("\"team\":\"%s\"", cases[i].team);
    g_string_replace(spec, "\"rank\":2", rank, 0);
    g_string_replace(spec, "\"team\":\"red\"", team, 0);
    g_string_replace(spec, "\"tasks\":4", "\"tasks\":100", 0);
    g_string_replace(spec, "\"chunk\":16", "\"chunk\":128", 0);
    g_string_replace(spec, "\"class\":\"c\"", "\"class\":\"low\"", 0);
    for (guint k = 0; k < 100; k++)
      g_string_append_printf(chunk, "%s[%u,%u,\"%s\",\"c-0\"]", k ? "," : "", k, k + 1,
                             (char *)ids->pdata[k % 50]);
    g_string_append(chunk, "]}");
    g_test_message("%s", cases[i].what);
    r->s->value_kb = r->s->current_value_limit_kb = 32; /* so that a record with 100 allocations fits */
    watched(r, (const char *const[]){page, members, "fk/l/j/run-many", spec->str, "fk/l/t/run-many/00000",
                                     chunk->str, "fk/l/j/run-first", SPEC, NULL});
    fk_view_find_job(fk_controller_view(r->c), "run-1")->cancelled = TRUE; /* excluded from scheduling */
    if (g_str_equal(cases[i].team, "red")) {
      /* blue demands all of a large guarantee, so that red uses twice its fair share, within its limit */
      FkTeam *red = r->s->teams->pdata[0], *blue = r->s->teams->pdata[1];
      red->max_cpus = blue->max_cpus = 1000;
      blue->guaranteed_cpus = 300;
      g_string_replace(spec, "\"team\":\"red\"", "\"team\":\"blue\"", 0);
      g_string_replace(spec, "\"tasks\":100", "\"tasks\":150", 0);
      watched(r, (const char *const[]){"fk/l/j/run-blue", spec->str, NULL});
    }
    r->c->now = fk_time_add(r->now, cases[i].waited_s);
    fk_starvation_tick(r->c);
    g_autoptr(GPtrArray) jobs = fk_scheduling_queue_select_jobs(r->c);
    FkStopTransaction s = {0};
    fk_preemption_reclaim(r->c, &s);
    guint stopped = 0, last = 0;
    for (guint w = 0; s.txn && w < s.txn->writes->len; w++) {
      const FkChunk *ch = g_array_index(s.txn->writes, FkWrite, w).record->chunk;
      for (guint k = 0; k < ch->allocations->len; k++)
        if (g_array_index(ch->allocations, FkAllocation, k).stop_requested) {
          stopped++;
          last = g_array_index(ch->allocations, FkAllocation, k).task;
        }
    }
    g_assert_cmpuint(stopped, ==, cases[i].stops);
    g_assert_cmpuint(s.txn ? s.txn->writes->len : 0, ==, stopped ? 1 : 0);
    if (stopped)
      g_assert_cmpuint(last, ==, 99);
    g_clear_pointer(&s.chunks, g_hash_table_unref);
    g_clear_pointer(&s.txn, fk_output_free);
    rig_free(r);
  }
}

/* The pages of the shards with the most pending changes are written first, whatever the order of the hash
 * tables. A page's priority also grows with the age of its pending changes. */
static void test_registry_page_order(void) {
  Rig *r = rig_new(TRUE);
  const guint shards = 8;
  for (guint g = 1; g <= shards; g++) {
    g_autofree char *key = g_strdup_printf("fk/l/m/north.%u", 100 + g);
    g_autoptr(GString) page = g_string_new("{\"zone\":\"north\",\"m\":[");
    for (guint k = 0; k < g; k++)
      g_string_append_printf(page, "%s[\"g%u-%u\",\"box8\",\"127.0.0.1:9\",0]", k ? "," : "", g, k);
    g_string_append(page, "]}");
    watched(r, (const char *const[]){key, page->str, NULL});
  }
  for (guint g = 1; g <= shards; g++)
    for (guint k = 0; k < g; k++) {
      g_autofree char *id = g_strdup_printf("g%u-%u", g, k);
      fk_machine_registry_set_drain_reason(r->c, fk_view_find_machine(fk_controller_view(r->c), id),
                                           FK_DRAIN_REASON_IDLE, -1);
    }
  fk_controller_set_write_capacity(r->c, 3);
  g_ptr_array_set_size(r->outs, 0);
  fk_machine_registry_tick(r->c);
  pump(r);
  const FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/m/");
  g_assert_nonnull(t);
  g_assert_cmpuint(t->writes->len, ==, 3);
  for (guint i = 0; i < 3; i++) {
    g_autofree char *key = g_strdup_printf("fk/l/m/north.%u", 100 + shards - i);
    g_assert_cmpstr(g_array_index(t->writes, FkWrite, i).path, ==, key);
  }
  rig_free(r);
}

/* Delivers a list from the cloud with one machine that has no record yet. */
static void list_machine(Rig *r, gboolean running, double age_s) {
  g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(fk_cloud_machine_free);
  FkCloudMachine *l = g_new0(FkCloudMachine, 1);
  *l = (FkCloudMachine){g_strdup("i-9"),
                        g_strdup("127.0.0.1:10"),
                        g_strdup("box8"),
                        g_strdup("north"),
                        FALSE,
                        running ? FK_CLOUD_MACHINE_RUNNING : FK_CLOUD_MACHINE_BOOTING,
                        age_s};
  g_ptr_array_add(list, l);
  fk_controller_machines_received(r->c, r->now, FK_OUTCOME_OK, list, FALSE);
  pump(r);
}

/* Machines that are already running when the first controller starts get time to join, however old they are:
 * without that time, 1,166 of 3,040 were terminated within 25 s. A machine that is still booting after four
 * boot times is terminated soon, because it isn't expected to join any more. */
static void test_join_timeout(void) {
  static const struct {
    gboolean running;
    gboolean terminated_early, terminated_late; /* within 20 s, within 50 s */
  } cases[] = {{TRUE, FALSE, TRUE}, {FALSE, TRUE, TRUE}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    const char *leader[] = {"fk/l/leader", "{\"node\":\"c-0\",\"life\":\"now\"}", NULL};
    watched(r, leader);
    tick(r, 0.2); /* acquires leadership */
    list_machine(r, cases[i].running, 500);
    tick(r, 20);
    g_assert_cmpint(find(r, FK_OUTPUT_TERMINATE, NULL) != NULL, ==, cases[i].terminated_early);
    tick(r, 30);
    g_assert_cmpint(find(r, FK_OUTPUT_TERMINATE, NULL) != NULL, ==, cases[i].terminated_late);
    rig_free(r);
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_default_handler(log_only_errors, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
  g_test_add_func("/core/launch_guards", test_launch_guards);
  g_test_add_func("/core/completion_is_final", test_completion_is_final);
  g_test_add_func("/core/previous_owner_trust", test_previous_owner_trust);
  g_test_add_func("/core/shards", test_shards);
  g_test_add_func("/core/redirected_workers_return", test_redirected_workers_return);
  g_test_add_func("/core/zone_partition_is_not_silence", test_zone_partition_is_not_silence);
  g_test_add_func("/core/handback", test_handback);
  g_test_add_func("/core/owner_partitioned", test_owner_partitioned);
  g_test_add_func("/core/cancellation_barrier", test_cancellation_barrier);
  g_test_add_func("/core/service_failover_pacing", test_service_failover_pacing);
  g_test_add_func("/core/completions", test_completions);
  g_test_add_func("/core/result_and_release", test_result_and_release);
  g_test_add_func("/core/orphan_chunks", test_orphan_chunks);
  g_test_add_func("/core/incremental_work", test_incremental_work);
  g_test_add_func("/core/partitioned_quota", test_partitioned_quota);
  g_test_add_func("/core/backfill_yields", test_backfill_yields);
  g_test_add_func("/core/registry_page_order", test_registry_page_order);
  g_test_add_func("/core/quota_reclaim", test_quota_reclaim);
  g_test_add_func("/core/write_budget", test_write_budget);
  g_test_add_func("/core/join_timeout", test_join_timeout);
  return g_test_run();
}
