/* One controller core, fed by hand: what its transactions are guarded by, and what it takes for proof. */
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

/* A launch counts only while all that it was decided on still stands. */
static void test_launch_guards(void) {
  static const char *const needed[] = {"fk/l/f/c-0", "fk/l/g/north.", "fk/l/j/run-1", "fk/l/q/red",
                                       "fk/l/t/run-1/"};
  Rig *r = rig_new(TRUE);
  report(r, 1, 1, 11, NULL, FK_EXIT_NONE);
  tick(r, 1);
  /* before anything else, launches of an earlier life are made impossible */
  FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/f/");
  g_assert_nonnull(t);
  g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/"));
  fk_controller_commit_received(r->c, r->now, t->call, FK_OUTCOME_OK, (FkRev){r->epoch + 1}, NULL);
  const char *fence[] = {"fk/l/f/c-0", "{}", NULL};
  watched(r, fence);
  tick(r, 1);
  t = find(r, FK_OUTPUT_COMMIT, "fk/l/t/");
  g_assert_nonnull(t);
  for (guint i = 0; i < G_N_ELEMENTS(needed); i++)
    g_assert_true(guarded(t, needed[i]));
  /* unanswered, it may yet apply: nothing more is launched before the fence has changed */
  fk_controller_commit_received(r->c, r->now, t->call, FK_OUTCOME_UNKNOWN, (FkRev){0}, NULL);
  g_ptr_array_set_size(r->outs, 0);
  tick(r, 2);
  g_assert_nonnull(find(r, FK_OUTPUT_COMMIT, "fk/l/f/"));
  g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/"));
  rig_free(r);
}

#define BOOKED "{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}"

/* An attempt whose end was sent to the store never starts again, whatever the view still shows. */
static void test_completion_is_final(void) {
  Rig *r = rig_new(TRUE);
  const char *booked[] = {"fk/l/t/run-1/00000", BOOKED, NULL};
  watched(r, booked);
  report(r, 1, 1, 11, "running", FK_EXIT_NONE);
  report(r, 1, 2, 11, "exited", FK_EXIT_ERROR);
  tick(r, 1);
  FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/r/c-0/");
  g_assert_nonnull(t);
  g_assert_true(guarded(t, "fk/l/g/north."));
  g_assert_true(guarded(t, "fk/l/r/c-0/"));
  /* the worker's lease runs out: it comes back with nothing, while the end is unanswered */
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

/* Until a machine taken over has shown our token, its earlier home may have gone on answering for as long as
 * it trusted its view: only then does the lease begin to run out. */
static void test_previous_owner_trust(void) {
  Rig *r = rig_new(FALSE);
  const char *booked[] = {"fk/l/t/run-1/00000", BOOKED, NULL};
  watched(r, booked);
  g_autofree char *claim = group_key("g");
  const char *ours[] = {claim, "{\"node\":\"c-0\",\"life\":\"now\"}", NULL};
  watched(r, ours);
  double trust = fk_stale_view_trust_s(r->s), lease = r->s->worker_lease_s;
  double waited = 0;
  while (waited < trust + lease + 20 && !find(r, FK_OUTPUT_COMMIT, "fk/l/r/")) {
    tick(r, 0.5);
    waited += 0.5;
    watched(r, NULL); /* the store is there all the time */
  }
  g_assert_cmpfloat(waited, >=, trust + lease);
  g_assert_cmpfloat(waited, <, trust + lease + 10);
  rig_free(r);
}

/* A group's token stays the same when machines join it or are marked; a page without a machine says it's
 * gone. */
static void test_shards(void) {
  static const struct {
    const char *zone, *machine, *group;
  } ids[] = {/* part of the store's layout: never to change */
             {"north", "i-000001", "north.14"},
             {"north", "i-000002", "north.8"},
             {"a.b", "i-000231", "a.b.17"}};
  for (guint i = 0; i < G_N_ELEMENTS(ids); i++) {
    g_autofree char *id = fk_shard_id_for_machine(ids[i].zone, ids[i].machine);
    g_assert_cmpstr(id, ==, ids[i].group);
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
  const char *gone[] = {page, "{\"m\":[]}", NULL};
  watched(r, gone);
  m = fk_view_find_machine(v, "i-1");
  g_assert_true(!m || !m->record);
  rig_free(r);
}

/* A page of so many machines of the zone, all in the group of the first; their names go into `ids`. */
static char *page_of(const char *zone, const char *name, guint n, GPtrArray *ids) {
  g_autofree char *one = g_strconcat(name, "-1", NULL), *group = fk_shard_id_for_machine(zone, one);
  GString *page = g_string_new(NULL);
  g_string_printf(page, "{\"zone\":\"%s\",\"m\":[", zone);
  guint first = ids->len;
  for (guint k = 1; ids->len < first + n; k++) {
    g_autofree char *id = g_strdup_printf("%s-%u", name, k), *of = fk_shard_id_for_machine(zone, id);
    if (!g_str_equal(of, group))
      continue;
    g_string_append_printf(page, "%s[\"%s\",\"box8\",\"127.0.0.1:9\",0]", ids->len > first ? "," : "", id);
    g_ptr_array_add(ids, g_steal_pointer(&id));
  }
  g_string_append(page, "]}");
  return g_string_free(page, FALSE);
}

/* Another's group is claimed when a part of its machines were sent there and came back; a few of many, or a
 * group just lost, prove nothing: two busy controllers once took the same groups from each other for 25 s. */
static void test_redirected_workers_return(void) {
  static const struct {
    guint machines, back;
    gboolean just_lost, claimed;
    double after_s; /* one that hears nothing of where it was sent is back later, and moves no group */
  } cases[] = {{2, 2, FALSE, TRUE, 5},     {20, 2, FALSE, FALSE, 5}, {20, 3, FALSE, TRUE, 5},
               {40, 5, FALSE, FALSE, 5},   {40, 6, FALSE, TRUE, 5},  {20, 3, TRUE, FALSE, 5},
               {20, 20, FALSE, FALSE, 10}, {20, 6, FALSE, FALSE, 15}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(cases[i].just_lost);
    g_autofree char *claim = group_key("g"), *page = group_key("m");
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *members = page_of("north", "i", cases[i].machines, ids);
    const char *lines[] = {claim, "{\"node\":\"c-2\",\"life\":\"y\"}", page, members, NULL};
    watched(r, lines);
    tick(r, 0.3);
    g_ptr_array_set_size(r->outs, 0);
    g_autofree char *group = fk_shard_id_for_machine("north", "i-1");
    fk_view_ensure_shard(fk_controller_view(r->c), group)->no_handback_until =
        fk_time_add(r->now, 100); /* not to be taken back */
    for (guint round = 0; round < 3; round++) {
      for (guint k = 0; k < cases[i].back; k++)
        report_of(r, ids->pdata[k], "north");
      for (double s = 0; s < cases[i].after_s && round < (cases[i].after_s < 9 ? 1 : 2); s += 0.5) {
        tick(r, 0.5);
        watched(r, NULL);
      }
      tick(r, 0.3);
      if (cases[i].after_s < 9 && round)
        break; /* those that come back once are enough, or too few */
    }
    g_test_message("case %u", i);
    g_assert_cmpint(find(r, FK_OUTPUT_COMMIT, claim) != NULL, ==, cases[i].claimed);
    rig_free(r);
  }
}

/* Of the machines only those of `awake` answer what they are asked; whether one was then marked in the page.
 */
static gboolean marked_unless(Rig *r, const char *page, GHashTable *awake) {
  gboolean marked = find(r, FK_OUTPUT_COMMIT, page) != NULL;
  g_autoptr(GPtrArray) outs = g_steal_pointer(&r->outs);
  r->outs = g_ptr_array_new_with_free_func((GDestroyNotify)fk_output_free);
  for (guint i = 0; i < outs->len; i++) {
    FkOutput *o = outs->pdata[i];
    gboolean answers = o->kind == FK_OUTPUT_COMMANDS && g_hash_table_contains(awake, o->machine);
    if (o->kind == FK_OUTPUT_COMMANDS)
      fk_controller_command_reply_received(
          r->c, r->now, o->call, answers ? FK_OUTCOME_OK : FK_OUTCOME_UNKNOWN,
          answers ? says(r, o->machine, g_str_has_prefix(o->machine, "s") ? "south" : "north", 1, ++r->tally)
                  : NULL);
  }
  pump(r);
  g_hash_table_remove_all(awake);
  watched(r, NULL);
  return marked;
}

static void reports_awake(Rig *r, GHashTable *awake, const char *machine, const char *zone) {
  report_of(r, machine, zone);
  g_hash_table_add(awake, (gpointer)machine);
}

/* A home that hears its own zone and none of another is cut off from that one: marking its machines silent
 * would give them all back, with what runs there. One quiet machine among others is silent. */
static void test_zone_partition_is_not_silence(void) {
  /* 0: one is quiet; 1: all of the zone always were; 2: all are from a moment on, one of them with a service,
   * so that it is asked sooner than the others would report; 3: as 2, but then the zone is heard again, all
   * but the one with the service, which answers a little later; 4: it never does */
  for (guint cut_off = 0; cut_off < 5; cut_off++) {
    Rig *r = rig_new(TRUE);
    r->s->heartbeat_interval_s = cut_off >= 2 ? 10 : r->s->heartbeat_interval_s;
    g_autoptr(GPtrArray) north = g_ptr_array_new_with_free_func(g_free),
                         south = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *page = group_key("m"), *members = page_of("north", "i", 4, north),
                    *others = page_of("south", "s", 6, south);
    g_autofree char *group = fk_shard_id_for_machine("south", "s-1"),
                    *claim = g_strconcat("fk/l/g/", group, NULL),
                    *south_page = g_strconcat("fk/l/m/", group, NULL);
    const char *lines[] = {page,       members, claim, "{\"node\":\"c-0\",\"life\":\"now\"}",
                           south_page, others,  NULL};
    watched(r, lines);
    const char *service[] = {"fk/l/j/run-9", SERVICE, "fk/l/t/run-9/00000",
                             "{\"f\":0,\"n\":1,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}", NULL};
    if (cut_off >= 2)
      watched(r, service);
    gboolean marked = FALSE;
    g_autoptr(GHashTable) awake = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint step = 0; step < (cut_off > 2 ? 160 : 60) && !marked; step++) {
      for (guint i = 0; i < south->len; i++)
        reports_awake(r, awake, south->pdata[i], "south");
      gboolean heals = cut_off > 2 && step >= 90;
      for (guint i = cut_off >= 2 ? 0 : 1; i < north->len; i++)
        if (!cut_off || (cut_off >= 2 && step < 20) || (heals && (i || (cut_off == 3 && step > 104))))
          reports_awake(r, awake, north->pdata[i], "north");
      tick(r, 0.5);
      marked = marked_unless(r, page, awake);
    }
    g_assert_cmpint(marked, ==, !cut_off || cut_off == 4);
    rig_free(r);
  }
}

/* Ends that a home writes down count against the chunk's bookings, until the chunk says so itself. */
/* What was taken while we couldn't reach the store is taken back soon; what was taken from us while we were
 * well is left where it is: its workers can't reach us. */
static void test_handback(void) {
  for (guint outage = 0; outage < 2; outage++) {
    Rig *r = rig_new(TRUE);
    for (guint i = 0; i < 30; i++) {
      tick(r, 0.5);
      watched(r, NULL);
    }
    if (outage)
      tick(r, 8);
    g_autofree char *claim = group_key("g");
    watched(r, (const char *const[]){claim, "{\"node\":\"c-2\",\"life\":\"y\"}", NULL});
    g_ptr_array_set_size(r->outs, 0);
    double back = -1;
    for (double s = 0; s < 30 && back < 0; s += 0.5) {
      tick(r, 0.5);
      watched(r, NULL);
      back = find(r, FK_OUTPUT_COMMIT, claim) ? s : -1;
    }
    g_assert_true(outage ? back >= 9 && back < 15 : back < 0);
    rig_free(r);
  }
}

/* A home that loses its workers must notice before it marks any: the one with a service had been quiet for a
 * while, was asked just after the cut, and would be judged while the others still count as heard lately.
 * Should it alone be lost, it is marked. */
static void test_owner_partitioned(void) {
  for (guint cut = 0; cut < 2; cut++) {
    Rig *r = rig_new(TRUE);
    r->s->heartbeat_interval_s = 10;
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *page = group_key("m"), *members = page_of("north", "i", 70, ids);
    watched(r, (const char *const[]){page, members, "fk/l/j/run-9", SERVICE, "fk/l/t/run-9/00000",
                                     "{\"f\":0,\"n\":1,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}", NULL});
    gboolean marked = FALSE;
    g_autoptr(GHashTable) awake = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint step = 0; step < 260 && !marked; step++) {
      if (!cut || step < 200)
        reports_awake(r, awake, ids->pdata[1 + step % 69], "north");
      if (step < 160)
        reports_awake(r, awake, ids->pdata[0], "north");
      tick(r, 0.1);
      marked = marked_unless(r, page, awake);
    }
    g_assert_cmpint(marked, ==, !cut);
    rig_free(r);
  }
}

/* A cancellation is committed and acted on at once, and told when no home that may still answer for its tasks
 * can lack it: see core/tell.c. Machine i-1 is c-1's, and run-1 is booked there. */
static void test_cancellation_barrier(void) {
  static const struct {
    const char *what;
    gboolean ours, heard, booked;
    guint64 applied[2]; /* by c-1 and c-2, beyond the cancellation's revision or before it; 0: not asked */
    double after_s;     /* tell_after_s */
    double told_s;      /* the least, and the most a little later; -1: not within 20 s */
  } cases[] = {
      {"nobody has said that he knows", FALSE, FALSE, TRUE, {0, 0}, 30, -1},
      {"one has", FALSE, FALSE, TRUE, {1000, 0}, 30, -1},
      {"one is behind", FALSE, FALSE, TRUE, {1000, 2}, 30, -1},
      {"all know", FALSE, FALSE, TRUE, {1000, 1000}, 30, 0},
      {"longer ago than anybody may answer for", FALSE, FALSE, TRUE, {0, 0}, 5, 5},
      {"nothing is booked", FALSE, FALSE, FALSE, {0, 0}, 30, 0},
      {"ours, but an earlier home may be answering", TRUE, FALSE, TRUE, {0, 0}, 30, -1},
      {"ours alone", TRUE, TRUE, TRUE, {0, 0}, 30, 0},
      {"switched off", FALSE, FALSE, TRUE, {0, 0}, 0, 0},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(cases[i].ours);
    r->s->tuning.cancellation_barrier_s = cases[i].after_s;
    if (cases[i].booked)
      watched(r, (const char *const[]){"fk/l/t/run-1/00000", BOOKED, NULL});
    if (cases[i].heard) {
      g_autofree char *id = fk_shard_id_for_machine("north", "i-1");
      report(r, 1, 1, fk_view_ensure_shard(fk_controller_view(r->c), id)->rev.n, "running", FK_EXIT_NONE);
    }
    fk_controller_cancellation_received(r->c, r->now, (FkRequestId){77}, "run-1");
    pump(r);
    FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/j/run-1");
    g_assert_nonnull(t);
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    fk_controller_commit_received(r->c, r->now, t->call, FK_OUTCOME_OK, (FkRev){r->epoch + 1}, none);
    g_autofree char *gone = g_strdup_printf("%.*s,\"cancelled\":true}", (int)strlen(SPEC) - 1, SPEC);
    watched(r, (const char *const[]){"fk/l/j/run-1", gone, NULL});
    g_assert_true(fk_view_find_job(fk_controller_view(r->c), "run-1")->cancelled);
    double told = -1;
    for (double s = 0; s < 20 && told < 0; s += 0.5) {
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
        /* never the older state, and who must come back hears it at once */
        g_assert_true(o->status == 503 ? o->retry_s >= 1
                                       : o->status == 200 && o->phase == FK_PHASE_CANCELLED);
        if (o->status == 200 && told < 0)
          told = s;
      }
      g_ptr_array_set_size(r->outs, 0);
      watched(r, NULL);
    }
    g_test_message("%s: told after %.1f s", cases[i].what, told);
    g_assert_cmpfloat(told, >=, cases[i].told_s);
    g_assert_cmpfloat(told, <=, cases[i].told_s < 0 ? -1 : cases[i].told_s + 1);
    rig_free(r);
  }
}

static int by_text(gconstpointer a, gconstpointer b) { return strcmp(*(char *const *)a, *(char *const *)b); }

/* Machines that went silent with services on them are given up no faster than these find places, one with
 * many of them too; room for all of them is rented at once. Two machines have none, and go at once. */
static void test_service_failover_pacing(void) {
  static const struct {
    guint on_first, waiting, given_up;
  } cases[] = {{1, 0, 2 + 4}, {1, 3, 2 + 1}, {6, 0, 2 + 1}, {6, 1, 2 + 1}, {1, 4, 2}};
  for (guint k = 0; k < G_N_ELEMENTS(cases); k++) {
    Rig *r = rig_new(TRUE);
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *page = group_key("m"), *members = page_of("north", "i", 12, ids);
    g_autoptr(GString) marked = g_string_new(members);
    for (guint at = 0; at < marked->len; at++)
      if (marked->str[at] == ']' && at && g_ascii_isdigit(marked->str[at - 1])) {
        g_string_insert(marked, (gssize)at, ",\"silent\",-1");
        at += 12;
      }
    watched(r, (const char *const[]){page, marked->str, "fk/l/leader", "{\"node\":\"c-0\",\"life\":\"now\"}",
                                     NULL});
    g_ptr_array_sort(ids, by_text);
    guint jobs = 0;
    for (guint i = 0; i + 2 < ids->len; i++)
      for (guint n = i ? 1 : cases[k].on_first; n; n--) {
        g_autofree char *job = g_strdup_printf("fk/l/j/run-5%u", jobs),
                        *chunk = g_strdup_printf("fk/l/t/run-5%u/00000", jobs++),
                        *booked = g_strdup_printf("{\"f\":0,\"n\":1,\"a\":2,\"b\":[[0,1,\"%s\",\"c-0\"]]}",
                                                  (char *)ids->pdata[i]);
        watched(r, (const char *const[]){job, SERVICE, chunk, booked, NULL});
      }
    for (guint i = 0; i < cases[k].waiting; i++) {
      g_autofree char *job = g_strdup_printf("fk/l/j/run-6%u", i);
      watched(r, (const char *const[]){job, SERVICE, NULL});
    }
    r->s->store_write_rps = 8; /* four services' worth */
    guint given_up = 0, rented = 0;
    for (guint s = 0; s < 7; s++)
      tick(r, 1);
    for (guint i = 0; i < r->outs->len; i++) {
      FkOutput *o = r->outs->pdata[i];
      given_up += o->kind == FK_OUTPUT_TERMINATE ? o->names->len : 0;
      rented += o->kind == FK_OUTPUT_PROVISION ? o->count : 0;
    }
    g_assert_cmpuint(given_up, ==, cases[k].given_up);
    g_assert_cmpuint(rented, >=,
                     3); /* of eight CPUs: for ten or more, of a CPU each, and two for what comes */
    rig_free(r);
  }
}

static void test_completions(void) {
  static const struct {
    const char *ends;
    guint done, booked;
  } cases[] = {
      {"{\"run-1/0\":{\"d\":\"1\"}}", 1, 1},          {"{\"run-1/0\":{\"r\":[0,1]}}", 0, 1},
      {"{\"run-1/0\":{\"r\":[0,7]}}", 0, 2},          {"{\"run-1/0\":{\"d\":\"2\",\"r\":[0,1]}}", 1, 0},
      {"{\"run-1/9\":{\"d\":\"f\"},\"x\":{}}", 0, 2}, {"{\"run-1/0\":{\"d\":\"c\"}}", 0, 2}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
    for (int first = 0; first < 2; first++) {
      Rig *r = rig_new(FALSE);
      const char *chunk[] = {"fk/l/t/run-1/00000",
                             "{\"f\":0,\"n\":4,\"a\":3,\"b\":[[0,1,\"i-1\",\"c-0\"],[1,2,\"i-1\",\"c-1\"]]}",
                             NULL},
                 *ends[] = {"fk/l/r/c-1/0", cases[i].ends, NULL};
      watched(r, first ? ends : chunk);
      watched(r, first ? chunk : ends);
      FkJob *j = fk_view_find_job(fk_controller_view(r->c), "run-1");
      g_assert_cmpuint(j->done, ==, cases[i].done);
      g_assert_cmpuint(j->allocated, ==, cases[i].booked);
      g_assert_cmpfloat(fk_view_find_machine(fk_controller_view(r->c), "i-1")->allocated_cpus, ==,
                        2 * cases[i].booked);
      /* the chunk takes it over, the page drops it */
      const char *folded[] = {"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":3,\"d\":\"3\",\"b\":[]}",
                              "fk/l/r/c-1/0", "{}", NULL};
      watched(r, folded);
      g_assert_cmpuint(j->done, ==, 2);
      g_assert_cmpuint(j->allocated, ==, 0);
      rig_free(r);
    }
}

/* One home has written that the task is done, another that the same attempt has ended: the result counts, in
 * whatever order they are read. */
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

/* A chunk whose job isn't there is swept by the leader, on the store's word that there is none; one that was
 * read before its job, as in a list read while the job was accepted, isn't. */
static void test_orphan_chunks(void) {
  for (int comes = 0; comes < 2; comes++) {
    Rig *r = rig_new(FALSE);
    const char *chunk[] = {"fk/l/t/run-8/00000", "{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"i-1\",\"c-0\"]]}",
                           NULL},
               *job[] = {"fk/l/j/run-8", SPEC, NULL},
               *leader[] = {"fk/l/leader", "{\"node\":\"c-0\",\"life\":\"now\"}", NULL};
    watched(r, chunk);
    if (comes) {
      watched(r, job);
      watched(r, chunk);
    }
    watched(r, leader);
    tick(r, 1);
    FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/t/run-8/00000");
    g_assert_true((t != NULL) == !comes);
    gboolean guarded = FALSE;
    for (guint i = 0; t && i < t->guards->len; i++) {
      FkGuard *g = &g_array_index(t->guards, FkGuard, i);
      guarded |= g_str_equal(g->path, "fk/l/j/run-8") && !g->rev.n;
    }
    g_assert_true(guarded == !comes);
    rig_free(r);
  }
}

/* What applying a change costs follows from what changed, not from how large the chunk or the page is. */
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
    const char *page; /* what the page of ends says; NULL: a launch */
    guint booked;     /* bookings in the chunk's record, from task 0 on */
    guint work;
  } steps[] = {{NULL, 60, 60},
               {NULL, 61, 1},
               {"{\"run-9/0\":{\"d\":\"1\"}}", 61, 1},
               {"{\"run-9/0\":{\"d\":\"1\"}}", 61, 0},
               {"{\"run-9/0\":{\"d\":\"3\",\"r\":[5,6]}}", 61, 2},
               {"{}", 61, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(steps); i++) {
    g_autoptr(GString) chunk = g_string_new(NULL);
    g_string_printf(chunk, "{\"f\":0,\"n\":128,\"a\":%u,\"b\":[", steps[i].booked + 1);
    for (guint t = 0; t < steps[i].booked; t++)
      g_string_append_printf(chunk, "%s[%u,%u,\"i-%u\",\"c-1\"]", t ? "," : "", t, t + 1, 100 + t % 20);
    g_string_append(chunk, "]}");
    const char *lines[] = {steps[i].page ? "fk/l/r/c-1/0" : "fk/l/t/run-9/00000",
                           steps[i].page ? steps[i].page : chunk->str, NULL};
    guint64 before = v->allocation_updates;
    watched(r, lines);
    g_assert_cmpuint(v->allocation_updates - before, ==, steps[i].work);
  }
  FkJob *j = fk_view_find_job(v, "run-9");
  g_assert_cmpuint(j->done, ==, 2);
  g_assert_cmpuint(j->allocated, ==, 58);
  rig_free(r);
}

/* A split limit: what others launched doesn't count against our share, and a pause gives nobody anything. */
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

/* What waits in the background stays within its share; what users wait for may run it into debt. */
static void test_write_budget(void) {
  guint sent = 0;
  FkRateLimiter *b = new_limiter(100, 10, &sent);
  for (guint i = 0; i < 4; i++)
    fk_rate_limiter_submit(b, 2, 4,
                           &sent); /* 10 writes are there: two go, the third into debt, the fourth waits */
  g_assert_cmpuint(sent, ==, 3);
  g_assert_cmpfloat(fk_rate_limiter_available_writes(b, 2), ==, 0); /* somebody waits already */
  for (guint i = 0; i < 5; i++)
    fk_rate_limiter_submit(b, 0, 1, &sent);
  g_assert_cmpuint(sent, ==, 8);
  /* ... and a large one needn't wait for a full budget that others keep from filling */
  FkRateLimiter *small = new_limiter(100, 10, &sent);
  fk_rate_limiter_submit(small, 1, 7, &sent);
  fk_rate_limiter_submit(small, 2, 24, &sent);
  g_assert_cmpuint(sent, ==, 10);
  fk_rate_limiter_free(small);
  fk_rate_limiter_free(b);
  /* A crowd of submissions runs into debt, waits for a second at the most, and leaves launches their part: a
   * leader that was sent the submissions of all once started nothing for 10 s. */
  sent = 0;
  FkRateLimiter *crowd = new_limiter(1000, 10, &sent);
  for (guint i = 0; i < 40; i++)
    fk_rate_limiter_submit(crowd, 0, 1, &sent);
  g_assert_cmpuint(sent % 1000, ==, 17); /* 6.5 that are for all, and 10 that are owed */
  g_assert_cmpuint(sent / 1000, ==, 13); /* 10 wait */
  g_assert_cmpfloat(fk_rate_limiter_available_writes(crowd, 2), >=, 3.5);
  fk_rate_limiter_submit(crowd, 2, 3, &sent);
  g_assert_cmpuint(sent % 1000, ==, 18);
  g_assert_cmpfloat(fk_rate_limiter_available_writes(crowd, 2), <, 1);
  fk_rate_limiter_free(crowd);
}

static void quiet(const char *domain, GLogLevelFlags level, const char *text, gpointer data) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    g_log_default_handler(domain, level, text, data);
}

/* A small task of a low rank leaves a machine's room to an array whose turn it is, unless that can't run
 * there, seems to fail everywhere, or has only just come (docs/incidents/, "Small tasks in every gap"). */
static void test_backfill_yields(void) {
  static const struct {
    const char *what;
    double waited_s;
    const char *type; /* that the array needs; NULL: any */
    gboolean doubted, yields;
  } cases[] = {{"an array waits", 3, NULL, FALSE, TRUE},
               {"just come", 0.1, NULL, FALSE, FALSE},
               {"it can't run there", 3, "box64", FALSE, FALSE},
               {"it fails everywhere", 3, NULL, TRUE, FALSE}};
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
    one->cancelled = TRUE; /* not in the way */
    r->c->now = fk_time_add(r->now, cases[i].waited_s);
    fk_view_find_job(v, "run-first")->failing = cases[i].doubted;
    g_autoptr(GPtrArray) jobs = fk_scheduling_queue_select_jobs(r->c);
    const FkMachine *m = fk_view_find_machine(v, "i-1");
    g_assert_cmpuint(jobs->len, ==, 2);
    g_assert_cmpint(fk_scheduling_queue_must_yield(r->c, fk_view_find_job(v, "run-low"), m), ==,
                    cases[i].yields);
    g_assert_false(fk_scheduling_queue_must_yield(r->c, fk_view_find_job(v, "run-first"), m));
    rig_free(r);
  }
}

/* Borrowed room is asked back for who has waited long enough and has the better claim, no more of it than
 * that wants, the latest tasks first, by one write. */
static void test_quota_reclaim(void) {
  static const struct {
    const char *what, *team;
    int rank;
    double waited_s;
    guint stops;
  } cases[] = {{"a lower rank", "blue", 3, 20, 4},
               {"not so soon", "blue", 3, 10, 0},
               {"the same rank, for who is within its guarantee", "blue", 2, 20, 4},
               {"a higher one, too: it is above its own guarantee", "blue", 1, 20, 4},
               {"never the team's own", "red", 3, 20, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *page = group_key("m"), *members = page_of("north", "i", 50, ids);
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
    r->s->value_kb = r->s->current_value_limit_kb = 32; /* a record of a hundred bookings fits */
    watched(r, (const char *const[]){page, members, "fk/l/j/run-many", spec->str, "fk/l/t/run-many/00000",
                                     chunk->str, "fk/l/j/run-first", SPEC, NULL});
    fk_view_find_job(fk_controller_view(r->c), "run-1")->cancelled = TRUE; /* not in the way */
    if (g_str_equal(cases[i].team, "red")) {
      /* blue wants all of a large guarantee, so that red holds twice what it is due, within its limit */
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

/* The page that settles the most is written first, whatever the order of the tables; what waits gains. */
static void test_registry_page_order(void) {
  Rig *r = rig_new(TRUE);
  const guint groups = 8;
  for (guint g = 1; g <= groups; g++) {
    g_autofree char *key = g_strdup_printf("fk/l/m/north.%u", 100 + g);
    g_autoptr(GString) page = g_string_new("{\"zone\":\"north\",\"m\":[");
    for (guint k = 0; k < g; k++)
      g_string_append_printf(page, "%s[\"g%u-%u\",\"box8\",\"127.0.0.1:9\",0]", k ? "," : "", g, k);
    g_string_append(page, "]}");
    watched(r, (const char *const[]){key, page->str, NULL});
  }
  for (guint g = 1; g <= groups; g++)
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
    g_autofree char *key = g_strdup_printf("fk/l/m/north.%u", 100 + groups - i);
    g_assert_cmpstr(g_array_index(t->writes, FkWrite, i).path, ==, key);
  }
  rig_free(r);
}

/* The cloud lists a machine that isn't described yet. */
static void listed(Rig *r, gboolean running, double age_s) {
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

/* Old machines that are up when the first controller begins have time to join, however old they are: 1,166 of
 * 3,040 were given back within 25 s. One that is still starting after four boot times never comes up. */
static void test_join_timeout(void) {
  static const struct {
    gboolean running, early, late; /* given back soon, in the end */
  } cases[] = {{TRUE, FALSE, TRUE}, {FALSE, TRUE, TRUE}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    const char *leader[] = {"fk/l/leader", "{\"node\":\"c-0\",\"life\":\"now\"}", NULL};
    watched(r, leader);
    tick(r, 0.2); /* it begins to lead */
    listed(r, cases[i].running, 500);
    tick(r, 20);
    g_assert_cmpint(find(r, FK_OUTPUT_TERMINATE, NULL) != NULL, ==, cases[i].early);
    tick(r, 30);
    g_assert_cmpint(find(r, FK_OUTPUT_TERMINATE, NULL) != NULL, ==, cases[i].late);
    rig_free(r);
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_default_handler(quiet, NULL);
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
