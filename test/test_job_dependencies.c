/* Job dependencies in the core of one controller, with inputs simulated by the tests. Guards against replies
 * that contradict another controller's replies because the view is old, against accepting invalid
 * dependencies, and against starting a job before the terminal records of its dependencies are committed.
 * Each case fails if the check that it tests is removed (docs/job-dependencies.md). */
#include <string.h>

#include "rig.h"
#include "wire/store.h"

#define JOB_DEPENDING_ON(id)                                                                                 \
  "{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":3,\"tasks\":1,\"cpus\":2,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16,\"needs\":[\"" id "\"]}"
#define CANCELLED_JOB                                                                                        \
  "{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":4,\"cpus\":2,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16,\"cancelled\":true}"

static void clear_outputs(Rig *r) { g_ptr_array_set_size(r->outs, 0); }

static FkOutput *reply_to(Rig *r, guint64 request) {
  for (guint i = 0; i < r->outs->len; i++) {
    FkOutput *o = r->outs->pdata[i];
    if (o->kind == FK_OUTPUT_USER_REPLY && o->request.n == request)
      return o;
  }
  return NULL;
}

/* Feeds the store's reply to the latest transaction: its outcome, the store's revision, and the path of the
 * guard that failed (NULL if none). */
static void transaction_replied(Rig *r, FkOutcome o, guint64 store_rev, const char *failed) {
  guint64 call = find(r, FK_OUTPUT_COMMIT, NULL)->call;
  g_autoptr(GPtrArray) list = g_ptr_array_new();
  if (failed)
    g_ptr_array_add(list, (gpointer)failed);
  clear_outputs(r);
  fk_controller_commit_received(r->c, r->now, call, o, (FkRev){store_rev}, list);
  pump(r);
}

/* Feeds the deletion of a key as a watch event. */
static void key_deleted(Rig *r, const char *path) {
  g_autoptr(GPtrArray) events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_store_event_free);
  FkStoreEvent *e = g_new0(FkStoreEvent, 1);
  e->path = g_strdup(path);
  e->rev.n = ++r->epoch;
  g_ptr_array_add(events, e);
  fk_controller_watch_received(r->c, r->now, FK_OUTCOME_OK, events, (FkRev){r->epoch}, r->now);
  pump(r);
}

static Rig *rig_with_dependency_support(void) {
  Rig *r = rig_new(TRUE);
  watched(r, (const char *const[]){"fk/l/f/c-0", "{\"chains\":true}", "fk/l/f/c-1", "{\"chains\":true}",
                                   "fk/l/f/c-2", "{\"chains\":true}", NULL});
  return r;
}

static FkSpec *spec_new(const char *id, const char *const *dependencies) {
  FkSpec *s = fk_spec_new();
  s->id = g_strdup(id);
  s->class_name = g_strdup("c");
  s->team = g_strdup("red");
  s->image = g_strdup("i");
  s->priority = FK_JOB_PRIORITY_NORMAL;
  s->tasks = 1;
  s->cpus = 1;
  s->mem_gb = 1;
  s->dependencies = dependencies ? g_strdupv((char **)dependencies) : NULL;
  return s;
}

/* Another controller has acknowledged the cancellation of a dependency, and this controller's view lacks the
 * cancellation. The read check covers only the job's own record, which has not changed. The reply must
 * therefore wait for the view: a reply of `queued` could follow another controller's reply of `withdrawn`. */
static void test_waits_for_view(void) {
  Rig *r = rig_with_dependency_support();
  watched(r, (const char *const[]){"fk/l/j/run-2", JOB_DEPENDING_ON("run-1"), NULL});
  clear_outputs(r);
  fk_controller_poll_received(r->c, r->now, (FkRequestId){300}, "run-2");
  pump(r);
  transaction_replied(r, FK_OUTCOME_OK, r->epoch + 1, NULL);
  g_assert_null(reply_to(r, 300));
  watched(r, (const char *const[]){"fk/l/j/run-1", CANCELLED_JOB, NULL});
  g_assert_nonnull(reply_to(r, 300));
  g_assert_cmpint(reply_to(r, 300)->phase, ==, FK_PHASE_CANCELLED);
  rig_free(r);
}

/* A poll is answered with status 503 if the view does not reach the revision of the read check in time. */
static void test_unavailable_without_view(void) {
  Rig *r = rig_with_dependency_support();
  watched(r, (const char *const[]){"fk/l/j/run-2", JOB_DEPENDING_ON("run-1"), NULL});
  clear_outputs(r);
  fk_controller_poll_received(r->c, r->now, (FkRequestId){300}, "run-2");
  pump(r);
  transaction_replied(r, FK_OUTCOME_OK, r->epoch + 1, NULL);
  tick(r, 1.0);
  g_assert_cmpint(reply_to(r, 300)->status, ==, 503);
  rig_free(r);
}

/* A dependent does not become ready when a chunk shows that all tasks of its dependency are done, or when the
 * dependency's live record is deleted. It becomes ready when the terminal record arrives. */
static void test_terminal_state_releases(void) {
  Rig *r = rig_with_dependency_support();
  watched(r, (const char *const[]){"fk/l/j/run-2", JOB_DEPENDING_ON("run-1"), NULL});
  FkJob *j = fk_view_find_job(fk_controller_view(r->c), "run-2");
  watched(
      r, (const char *const[]){"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":5,\"d\":\"f\",\"b\":[]}", NULL});
  g_assert_cmpuint(fk_job_waiting_tasks(j), ==, 0);
  key_deleted(r, "fk/l/j/run-1");
  g_assert_cmpuint(fk_job_waiting_tasks(j), ==, 0);
  watched(r, (const char *const[]){"fk/d/run-1", "{\"phase\":2,\"tasks\":4}", NULL});
  g_assert_cmpuint(fk_job_waiting_tasks(j), ==, 1);
  rig_free(r);
}

/* The terminal record of a dependency that ended before the view was listed is read from the store, once for
 * all dependents. Polls of the dependents are answered 503 until the terminal state is known. */
static void test_reads_terminal_states(void) {
  Rig *r = rig_with_dependency_support();
  watched(r, (const char *const[]){"fk/l/j/run-2", JOB_DEPENDING_ON("run-9"), "fk/l/j/run-3",
                                   JOB_DEPENDING_ON("run-9"), NULL});
  clear_outputs(r);
  fk_controller_poll_received(r->c, r->now, (FkRequestId){300}, "run-2");
  pump(r);
  transaction_replied(r, FK_OUTCOME_OK, r->epoch, NULL);
  tick(r, 0.3);
  g_assert_cmpint(reply_to(r, 300)->status, ==, 503);
  guint reads = 0;
  guint64 call = 0;
  for (guint i = 0; i < r->outs->len; i++) {
    const FkOutput *o = r->outs->pdata[i];
    if (o->kind == FK_OUTPUT_GET && g_str_equal(o->path, "fk/d/run-9")) {
      reads++;
      call = o->call;
    }
  }
  g_assert_cmpuint(reads, ==, 1);
  const char *final = "{\"phase\":3,\"tasks\":0}";
  FkStoreEvent *e = g_new0(FkStoreEvent, 1);
  g_autoptr(cJSON) value = fk_json_parse(final, strlen(final));
  *e = (FkStoreEvent){g_strdup("fk/d/run-9"), fk_store_record_from_json("fk/d/run-9", value), {5}};
  fk_controller_get_received(r->c, r->now, call, FK_OUTCOME_OK, e);
  pump(r);
  clear_outputs(r);
  fk_controller_poll_received(r->c, r->now, (FkRequestId){301}, "run-3");
  pump(r);
  g_assert_cmpint(reply_to(r, 301)->phase, ==, FK_PHASE_CANCELLED);
  rig_free(r);
}

/* A job with dependencies is rejected as long as the launch fence of any controller, live or not, does not
 * show that its version supports dependencies. Jobs without dependencies are accepted all the same. */
static void test_version_fences(void) {
  for (guint missing = 0; missing < 4; missing++) {
    Rig *r = rig_new(TRUE);
    for (guint i = 0; i < 3; i++) {
      g_autofree char *path = g_strdup_printf("fk/l/f/c-%u", i);
      watched(r, (const char *const[]){path, i == missing ? "{}" : "{\"chains\":true}", NULL});
    }
    clear_outputs(r);
    fk_controller_submission_received(r->c, r->now, (FkRequestId){300},
                                      spec_new("run-5", (const char *const[]){"run-1", NULL}));
    fk_controller_submission_received(r->c, r->now, (FkRequestId){301}, spec_new("run-6", NULL));
    pump(r);
    g_assert_nonnull(find(r, FK_OUTPUT_COMMIT, "fk/l/j/run-6"));
    g_assert_cmpint(find(r, FK_OUTPUT_COMMIT, "fk/l/j/run-5") != NULL, ==, missing == 3);
    if (missing < 3)
      g_assert_cmpint(reply_to(r, 300)->status, ==, 503);
    rig_free(r);
  }
}

/* Acceptance of a job with dependencies: whether the store is queried first, and which reply follows. */
static void test_acceptance(void) {
  static const struct {
    const char *name, *dependency;
    const char *failed;     /* path of the guard that fails because the key exists; NULL if none fails */
    int status;             /* HTTP status of the reply; 0 if the submission proceeds */
    gboolean queries_store; /* the store is queried before the job is accepted */
  } cases[] = {
      {"live job", "run-1", NULL, 0, FALSE},
      {"done job is left out of the record", "run-7", NULL, 0, FALSE},
      {"the job itself", "run-5", NULL, 422, FALSE},
      {"service", "run-8", NULL, 422, FALSE},
      {"unknown job", "run-9", NULL, 422, TRUE},
      {"live job that the view lacks", "run-9", "fk/l/j/run-9", 0, TRUE},
      {"terminal job that the view lacks", "run-9", "fk/d/run-9", 0, TRUE},
      {"the submitted job exists already", "run-9", "fk/l/j/run-5", 0, TRUE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_with_dependency_support();
    watched(r,
            (const char *const[]){"fk/d/run-7", "{\"phase\":2,\"tasks\":4}", "fk/l/j/run-8", SERVICE, NULL});
    clear_outputs(r);
    fk_controller_submission_received(r->c, r->now, (FkRequestId){300},
                                      spec_new("run-5", (const char *const[]){cases[i].dependency, NULL}));
    pump(r);
    FkOutput *t = find(r, FK_OUTPUT_COMMIT, NULL);
    g_test_message("%s", cases[i].name);
    g_assert_cmpint(t && !t->writes->len, ==, cases[i].queries_store);
    if (cases[i].queries_store)
      transaction_replied(r, cases[i].failed ? FK_OUTCOME_CONFLICT : FK_OUTCOME_OK, r->epoch + 1,
                          cases[i].failed);
    const FkOutput *a = reply_to(r, 300);
    g_assert_cmpint(a ? a->status : 0, ==, cases[i].status);
    if (!cases[i].queries_store && !cases[i].status) {
      const FkRecord *rec =
          g_array_index(find(r, FK_OUTPUT_COMMIT, "fk/l/j/run-5")->writes, FkWrite, 0).record;
      g_assert_cmpint(rec->spec->dependencies != NULL, ==, g_str_equal(cases[i].dependency, "run-1"));
    }
    rig_free(r);
  }
}

/* Without write capacity, terminal records are delayed in favour of writes that users wait for, except the
 * records of jobs that others depend on. */
static void test_needed_terminal_states_first(void) {
  for (int needed = 0; needed < 2; needed++) {
    Rig *r = rig_with_dependency_support();
    watched(r, (const char *const[]){"fk/l/leader", "{\"node\":\"c-0\",\"life\":\"now\"}", "fk/l/j/run-2",
                                     JOB_DEPENDING_ON("run-9"), "fk/l/t/run-1/00000",
                                     "{\"f\":0,\"n\":4,\"a\":5,\"d\":\"f\",\"b\":[]}", NULL});
    if (needed)
      watched(r, (const char *const[]){"fk/l/j/run-3", JOB_DEPENDING_ON("run-1"), NULL});
    clear_outputs(r);
    fk_controller_set_write_capacity(r->c, 0);
    tick(r, 0.5);
    const FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/d/run-1");
    g_assert_cmpint(t != NULL, ==, needed);
    g_assert_true(!t || g_array_index(t->writes, FkWrite, 0).record->ended_at_ms > 0);
    rig_free(r);
  }
}

/* Jobs of low priority inherit the priority and the deadline of a direct or indirect dependent, and lose both
 * when that dependent is removed. */
static void test_inherited_priority(void) {
  Rig *r = rig_with_dependency_support();
  g_autofree char *last = g_strconcat(
      "{\"deadline\":500,\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":1,\"tasks\":1,\"cpus\":2,"
      "\"gpus\":0,\"mem\":2,"
      "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"
      "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16,\"needs\":[\"run-2\"]}",
      NULL);
  watched(r, (const char *const[]){"fk/l/j/run-2", JOB_DEPENDING_ON("run-1"), NULL});
  tick(r, 1.2);
  FkJob *first = fk_view_find_job(fk_controller_view(r->c), "run-1"),
        *middle = fk_view_find_job(fk_controller_view(r->c), "run-2");
  g_assert_cmpint(middle->inherited_priority, ==, FK_JOB_PRIORITY_LOW);
  g_assert_cmpfloat(fk_job_allowed_s(first), <, 0);
  watched(r, (const char *const[]){"fk/l/j/run-3", last, NULL}); /* arrives after its dependencies */
  tick(r, 1.2);
  g_assert_cmpint(first->inherited_priority, ==, FK_JOB_PRIORITY_HIGH);
  g_assert_cmpint(middle->inherited_priority, ==, FK_JOB_PRIORITY_HIGH);
  g_assert_cmpfloat(fk_job_allowed_s(middle), >, 0);
  g_assert_cmpint(first->deadline_us, <, middle->deadline_us);
  key_deleted(r, "fk/l/j/run-3"); /* the dependent with the deadline is removed */
  key_deleted(r, "fk/l/j/run-2");
  tick(r, 1.2);
  g_assert_cmpint(first->inherited_priority, ==, FK_JOB_PRIORITY_NORMAL);
  g_assert_cmpfloat(fk_job_allowed_s(first), <, 0);
  rig_free(r);
}

/* An earlier version wrote a page of machines under a larger size limit. The page stays whole while a
 * controller does not support several pages per shard. Once all controllers do, one transaction divides the
 * page: each new page is within the future size limit, no machine is lost, and later writes contain no page
 * of more than 23 machines. */
static void test_registry_page_divided(void) {
  for (int all_support_pages = 0; all_support_pages < 2; all_support_pages++) {
    Rig *r = rig_new(TRUE);
    r->s->value_kb = 2;
    r->s->current_value_limit_kb = 32;
    r->s->transaction_ops_max = 8;
    g_autofree char *page = group_key("m"), *shard = fk_shard_id_for_machine("north", "i-1");
    g_autoptr(GString) members =
        g_string_new("{\"zone\":\"north\",\"m\":[[\"i-1\",\"box8\",\"127.0.0.1:9\",0]");
    guint n = 1;
    for (guint i = 100; n < 60; i++) {
      g_autofree char *id = g_strdup_printf("i-%06u", i),
                      *machine_shard = fk_shard_id_for_machine("north", id);
      if (!g_str_equal(machine_shard, shard))
        continue;
      g_string_append_printf(members, ",[\"%s\",\"box8\",\"10.1.0.%u:9000\",0,\"silent\",-1]", id, n++);
    }
    g_string_append(members, "]}");
    watched(r, (const char *const[]){page, members->str, NULL});
    for (guint i = 0; i < 3; i++) {
      g_autofree char *path = g_strdup_printf("fk/l/f/c-%u", i);
      watched(r,
              (const char *const[]){path, i == 2 && !all_support_pages ? "{}" : "{\"chains\":true}", NULL});
    }
    clear_outputs(r);
    tick(r, 0.5);
    FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/m/");
    g_assert_cmpint(t != NULL, ==, all_support_pages);
    if (!all_support_pages) {
      rig_free(r);
      continue;
    }
    g_assert_cmpuint(t->writes->len, >, 2);
    g_assert_cmpuint(t->writes->len, <=, 8);
    g_assert_true(guarded(t, "fk/l/g/"));
    guint written = 0;
    g_autoptr(GPtrArray) events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_store_event_free);
    r->epoch++;
    for (guint i = 0; i < t->writes->len; i++) {
      const FkWrite *w = &g_array_index(t->writes, FkWrite, i);
      g_autoptr(cJSON) j = fk_store_record_to_json(w->record);
      g_autofree char *text = fk_json_print(j);
      g_assert_cmpuint(strlen(text), <=, 2048);
      written += w->record->machines->len;
      FkStoreEvent *e = g_new0(FkStoreEvent, 1);
      *e = (FkStoreEvent){g_strdup(w->path), fk_store_record_from_json(w->path, j), {r->epoch}};
      g_ptr_array_add(events, e);
    }
    g_assert_cmpuint(written, ==, n);
    transaction_replied(r, FK_OUTCOME_OK, r->epoch, NULL);
    fk_controller_watch_received(r->c, r->now, FK_OUTCOME_OK, events, (FkRev){r->epoch}, r->now);
    pump(r);
    guint registered = 0;
    const FkShard *g = fk_view_ensure_shard(fk_controller_view(r->c), shard);
    for (guint i = 0; i < g->machines->len; i++)
      registered += ((FkMachine *)g->machines->pdata[i])->record != NULL;
    g_assert_cmpuint(registered, ==, n);
    clear_outputs(r);
    tick(r, 3);
    for (guint i = 0; i < r->outs->len; i++) {
      const FkOutput *o = r->outs->pdata[i];
      for (guint k = 0; o->writes && k < o->writes->len; k++) {
        const FkWrite *w = &g_array_index(o->writes, FkWrite, k);
        g_assert_false(g_str_has_prefix(w->path, "fk/l/m/") && w->record->machines->len > 23);
      }
    }
    rig_free(r);
  }
}

#define ZONE_MACHINES 4500
#define TRANSACTION_BYTES_MAX 65536 /* the store's limit */
#define LONG_ADDR "[2001:db8:1234:5678::1234]:9000"

/* Feeds a successful reply and the watch events for each transaction among the outputs. Returns the size of
 * the largest transaction in bytes. */
static gsize commit_all(Rig *r, guint value_bytes_max) {
  g_autoptr(GPtrArray) outs = g_steal_pointer(&r->outs), none = g_ptr_array_new();
  gsize largest = 0;
  r->outs = g_ptr_array_new_with_free_func((GDestroyNotify)fk_output_free);
  for (guint i = 0; i < outs->len; i++) {
    const FkOutput *t = outs->pdata[i];
    if (t->kind != FK_OUTPUT_COMMIT)
      continue;
    g_autofree char *body = fk_store_print_commit(t);
    largest = MAX(largest, strlen(body));
    g_autoptr(GPtrArray) events = g_ptr_array_new_with_free_func((GDestroyNotify)fk_store_event_free);
    r->epoch++;
    for (guint k = 0; k < t->writes->len; k++) {
      const FkWrite *w = &g_array_index(t->writes, FkWrite, k);
      g_autoptr(cJSON) j = w->record ? fk_store_record_to_json(w->record) : NULL;
      g_autofree char *text = j ? fk_json_print(j) : g_strdup("");
      g_assert_cmpuint(strlen(text), <=, value_bytes_max);
      FkStoreEvent *e = g_new0(FkStoreEvent, 1);
      *e = (FkStoreEvent){g_strdup(w->path), j ? fk_store_record_from_json(w->path, j) : NULL, {r->epoch}};
      g_ptr_array_add(events, e);
    }
    fk_controller_commit_received(r->c, r->now, t->call, FK_OUTCOME_OK, (FkRev){r->epoch}, none);
    fk_controller_watch_received(r->c, r->now, FK_OUTCOME_OK, events, (FkRev){r->epoch}, r->now);
    pump(r);
  }
  return largest;
}

/* Returns the number of registered machines in the view. */
static guint count_registered(Rig *r) {
  GHashTableIter it;
  gpointer p;
  guint n = 0;
  g_hash_table_iter_init(&it, fk_controller_view(r->c)->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    n += ((FkMachine *)p)->record != NULL;
  return n;
}

/* 4,500 machines of one zone, with long ids and addresses, send their first heartbeats at once. All of them
 * are registered, also under the smallest size limit of a value, and no transaction exceeds the store's
 * limit. */
static void test_large_zone(void) {
  static const guint value_kb[] = {8, 64};
  for (guint i = 0; i < G_N_ELEMENTS(value_kb); i++) {
    Rig *r = rig_new(TRUE);
    r->s->value_kb = r->s->current_value_limit_kb = value_kb[i];
    r->s->store_write_rps = 6000;
    g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
    for (guint k = 0; k < 3; k++) {
      g_ptr_array_add(lines, g_strdup_printf("fk/l/f/c-%u", k));
      g_ptr_array_add(lines, g_strdup("{\"chains\":true}"));
    }
    for (guint k = 0; k < 32; k++) {
      g_ptr_array_add(lines, g_strdup_printf("fk/l/g/north.%u", k));
      g_ptr_array_add(lines, g_strdup("{\"node\":\"c-0\",\"life\":\"now\"}"));
    }
    g_ptr_array_add(lines, NULL);
    watched(r, (const char *const *)lines->pdata);
    for (guint k = 0; k < ZONE_MACHINES - 1; k++) { /* the rig adds one machine itself */
      g_autofree char *id = g_strdup_printf("i-%017u", k);
      FkHeartbeat *report = says(r, id, "north", 1, ++r->tally);
      g_free(report->addr);
      report->addr = g_strdup(LONG_ADDR);
      fk_controller_heartbeat_received(r->c, r->now, (FkRequestId){r->tally}, report);
    }
    pump(r);
    gsize largest = 0;
    for (guint k = 0; k < 60 && count_registered(r) < ZONE_MACHINES; k++) {
      fk_controller_set_write_capacity(r->c, 1000);
      tick(r, 0.1);
      gsize bytes = commit_all(r, value_kb[i] * 1024);
      largest = MAX(largest, bytes);
    }
    g_test_message("values of %u KiB: %u machines registered, %" G_GSIZE_FORMAT
                   " bytes in the largest transaction",
                   value_kb[i], count_registered(r), largest);
    g_assert_cmpuint(count_registered(r), ==, ZONE_MACHINES);
    g_assert_cmpuint(largest, <=, TRANSACTION_BYTES_MAX);
    rig_free(r);
  }
}

/* If all tasks of a job complete at once, the transaction that records their completions also ends the job,
 * however many tasks there are. */
static void test_all_tasks_complete_at_once(void) {
  static const guint tasks[] = {1, 4000, 4095, 4096, 4500};
  for (guint i = 0; i < G_N_ELEMENTS(tasks); i++) {
    Rig *r = rig_new(TRUE);
    r->s->value_kb = r->s->current_value_limit_kb = 8;
    r->s->transaction_ops_max = 64;
    g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(lines, g_strdup("fk/l/j/run-2"));
    g_ptr_array_add(lines,
                    g_strdup_printf("{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":%u,"
                                    "\"cpus\":0.001,\"gpus\":0,\"mem\":0,\"image\":\"i\",\"image_gb\":1,"
                                    "\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"
                                    "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\","
                                    "\"chunk\":128}",
                                    tasks[i]));
    FkHeartbeat *ended = says(r, "i-1", "north", 1, 1);
    for (guint first = 0; first < tasks[i]; first += 128) {
      g_autoptr(FkRecord) chunk = fk_record_new(FK_STORE_KEY_CHUNK);
      chunk->chunk = fk_chunk_new(first, MIN(128, tasks[i] - first));
      for (guint k = first; k < first + chunk->chunk->task_count; k++) {
        fk_chunk_allocate(chunk->chunk, k, "i-1", "c-0");
        FkTaskStatus *t = g_new0(FkTaskStatus, 1);
        *t = (FkTaskStatus){g_strdup("run-2"), k, fk_chunk_find_allocation(chunk->chunk, k)->attempt,
                            FK_TASK_EXITED, FK_EXIT_DONE};
        g_ptr_array_add(ended->tasks, t);
      }
      g_autoptr(cJSON) value = fk_store_record_to_json(chunk);
      g_ptr_array_add(lines, fk_store_key_chunk_path("run-2", first / 128));
      g_ptr_array_add(lines, fk_json_print(value));
    }
    g_ptr_array_add(lines, NULL);
    watched(r, (const char *const *)lines->pdata);
    clear_outputs(r);
    fk_controller_set_write_capacity(r->c, 1000);
    fk_controller_heartbeat_received(r->c, r->now, (FkRequestId){1}, ended);
    tick(r, 0.3);
    FkOutput *t = find(r, FK_OUTPUT_COMMIT, "fk/l/r/");
    g_assert_nonnull(t);
    g_test_message("%u tasks: %u writes", tasks[i], t->writes->len);
    g_assert_true(t == find(r, FK_OUTPUT_COMMIT, "fk/d/run-2"));
    rig_free(r);
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/job_dependencies/waits_for_view", test_waits_for_view);
  g_test_add_func("/job_dependencies/unavailable_without_view", test_unavailable_without_view);
  g_test_add_func("/job_dependencies/terminal_state_releases", test_terminal_state_releases);
  g_test_add_func("/job_dependencies/reads_terminal_states", test_reads_terminal_states);
  g_test_add_func("/job_dependencies/version_fences", test_version_fences);
  g_test_add_func("/job_dependencies/acceptance", test_acceptance);
  g_test_add_func("/job_dependencies/inherited_priority", test_inherited_priority);
  g_test_add_func("/job_dependencies/registry_page_divided", test_registry_page_divided);
  g_test_add_func("/job_dependencies/large_zone", test_large_zone);
  g_test_add_func("/job_dependencies/all_tasks_complete_at_once", test_all_tasks_complete_at_once);
  g_test_add_func("/job_dependencies/needed_terminal_states_first", test_needed_terminal_states_first);
  return g_test_run();
}
