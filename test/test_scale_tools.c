/* The parts of scale runs: models, codecs of the other side, load balancer, jobs, rule checker, simulated
 * workers and the HTTP stand-ins. */
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "net/http_client.h"
#include "simulation/scale/addresses.h"
#include "simulation/scale/check_rules.h"
#include "simulation/scale/http_stand_in.h"
#include "simulation/scale/load_balancer.h"
#include "simulation/scale/plan.h"
#include "simulation/scale/summary.h"
#include "simulation/scale/worker_stand_in.h"
#include "simulation/scale/workload.h"
#include "simulation/store_model.h"
#include "simulation/worker_model.h"
#include "wire/cloud.h"
#include "wire/store.h"
#include "wire/store_service.h"
#include "wire/user.h"
#include "wire/worker.h"

#define ADDRESS_BASE_MIN 150
#define ADDRESS_BASES 30
#define BASES_PER_PROCESS 3

/* The second part of loopback addresses, so that two processes of this test seldom use the same: several
 * checkouts on a machine may run it at once. */
static guint address_base(guint number) {
  return ADDRESS_BASE_MIN + (guint)getpid() % ADDRESS_BASES * BASES_PER_PROCESS + number;
}

/* ------------------------------------------------------------------ the model of the key-value store */

static FkStoreOutcome write_one(FkStoreModel *store, const char *path, const char *value, guint64 revision,
                                guint64 lease) {
  g_autoptr(GArray) guards = g_array_new(FALSE, FALSE, sizeof(FkStoreGuard)),
                    writes = g_array_new(FALSE, FALSE, sizeof(FkStoreWrite));
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  FkStoreGuard guard = {path, revision};
  FkStoreWrite write = {path, value, lease};
  g_array_append_val(guards, guard);
  g_array_append_val(writes, write);
  FkStoreOutcome outcome = fk_store_model_commit(store, guards, writes, failed);
  g_assert_cmpuint(failed->len, ==, outcome == FK_STORE_CONFLICT);
  return outcome;
}

static void test_store_model(void) {
  g_autoptr(FkStoreModel) store = fk_store_model_new(4);
  g_assert_cmpint(write_one(store, "a/1", "1", 0, 0), ==, FK_STORE_OK);
  g_assert_cmpint(write_one(store, "a/1", "2", 0, 0), ==, FK_STORE_CONFLICT);
  g_assert_cmpint(write_one(store, "a/1", "2", 1, 0), ==, FK_STORE_OK);
  g_assert_cmpuint(fk_store_model_get(store, "a/1")->revision, ==, 2);
  g_assert_cmpint(write_one(store, "a/2", "1", 0, 77), ==, FK_STORE_LEASE_NOT_FOUND);
  guint64 lease = fk_store_model_grant_lease(store, 0, 5);
  g_assert_cmpint(write_one(store, "a/2", "1", 0, lease), ==, FK_STORE_OK);
  g_assert_true(fk_store_model_keep_alive(store, 4000000, lease));
  fk_store_model_expire_leases(store, 8999999);
  g_assert_nonnull(fk_store_model_get(store, "a/2"));
  fk_store_model_expire_leases(store, 9000000);
  g_assert_null(fk_store_model_get(store, "a/2"));
  g_assert_false(fk_store_model_keep_alive(store, 9000000, lease));
  g_autoptr(GPtrArray) changes = fk_store_model_changes(store, "a/", 2);
  g_assert_cmpuint(changes->len, ==, 2); /* put, then deleted */
  g_assert_null(((FkStoreChange *)changes->pdata[1])->value);
  write_one(store, "b/1", "1", 0, 0);
  g_assert_null(fk_store_model_changes(store, "a/", 0)); /* the history doesn't go back so far */
  gboolean more;
  g_autoptr(GPtrArray) first = fk_store_model_list(store, "", NULL, 1, G_MAXSIZE, &more);
  g_assert_true(more);
  g_autoptr(GPtrArray) rest =
      fk_store_model_list(store, "", ((FkStoreItem *)first->pdata[0])->path, 10, G_MAXSIZE, &more);
  g_assert_false(more);
  g_assert_cmpuint(first->len + rest->len, ==, fk_store_model_size(store));
}

static void test_store_rate_limit(void) {
  FkStoreRateLimit limit = {0};
  g_assert_true(fk_store_rate_limit_take(&limit, 1000000, 10, 5, 5));
  g_assert_false(fk_store_rate_limit_take(&limit, 1000000, 10, 5, 1)); /* no writes left */
  for (guint i = 0; i < 9; i++)
    g_assert_true(fk_store_rate_limit_take(&limit, 1000000, 10, 5, 0));
  g_assert_false(fk_store_rate_limit_take(&limit, 1000000, 10, 5, 0)); /* no requests left either */
  g_assert_true(fk_store_rate_limit_take(&limit, 1200000, 10, 5, 1));
}

/* ------------------------------------------------------------------ the model of a worker */

static double two_cpus(gpointer owner, const char *job) { return g_str_equal(job, "unknown") ? -1 : 2; }
static void accepted(gpointer owner, FkWorkerModel *w, FkWorkerTask *t) { ++*(guint *)owner; }
static void released(gpointer owner, FkWorkerModel *w, FkWorkerTask *t) { --*(guint *)owner; }

static FkCommand *new_command(FkCommandKind kind, const char *job, guint32 task, guint64 attempt) {
  FkCommand *command = g_new0(FkCommand, 1);
  *command = (FkCommand){kind, g_strdup(job), task, {attempt}, 0};
  return command;
}

static void command_free(gpointer command) {
  g_free(((FkCommand *)command)->job);
  g_free(command);
}

static void test_worker_model(void) {
  guint resident = 0;
  guint64 last_serial = 0;
  FkWorkerHooks hooks = {two_cpus, accepted, released, &resident, &last_serial};
  FkWorkerModel worker;
  fk_worker_model_init(&worker, "i-1", "127.0.0.1:1", "box", "north", FALSE, 4);
  g_autoptr(GPtrArray) commands = g_ptr_array_new_with_free_func(command_free);
  g_ptr_array_add(commands, new_command(FK_COMMAND_START, "run-1", 0, 1));
  g_ptr_array_add(commands, new_command(FK_COMMAND_START, "run-1", 0, 1)); /* repeated: ignored */
  g_ptr_array_add(commands, new_command(FK_COMMAND_START, "run-1", 0, 2)); /* busy */
  g_ptr_array_add(commands, new_command(FK_COMMAND_START, "run-1", 1, 3));
  g_ptr_array_add(commands, new_command(FK_COMMAND_START, "run-1", 2, 4)); /* full */
  g_ptr_array_add(commands, new_command(FK_COMMAND_START, "unknown", 0, 5));
  /* refused: another incarnation, then a lower token */
  g_assert_false(fk_worker_model_command(&worker, &hooks, 2, (FkFencingToken){5}, commands));
  g_assert_true(fk_worker_model_command(&worker, &hooks, 1, (FkFencingToken){5}, commands));
  g_assert_false(fk_worker_model_command(&worker, &hooks, 1, (FkFencingToken){4}, commands));
  static const FkExitReason exit_reasons[] = {FK_EXIT_NONE, FK_EXIT_BUSY, FK_EXIT_NONE, FK_EXIT_FULL,
                                              FK_EXIT_UNKNOWN};
  g_assert_cmpuint(worker.tasks->len, ==, G_N_ELEMENTS(exit_reasons));
  for (guint i = 0; i < worker.tasks->len; i++)
    g_assert_cmpint(((FkWorkerTask *)worker.tasks->pdata[i])->exit_reason, ==, exit_reasons[i]);
  g_assert_cmpuint(resident, ==, 2);
  /* a reply renews the lease from when its heartbeat was sent; at its end all tasks are lost */
  g_assert_true(fk_worker_model_heartbeat_answered(&worker, &hooks, 1, 1000000, (FkFencingToken){5}, NULL));
  g_assert_false(fk_worker_model_check_lease(&worker, &hooks, 11000000, 10));
  g_assert_true(fk_worker_model_check_lease(&worker, &hooks, 11000001, 10));
  g_assert_cmpuint(worker.incarnation, ==, 2);
  g_assert_cmpuint(worker.tasks->len, ==, 0);
  fk_worker_model_clear(&worker);
}

/* ------------------------------------------------------------------ codecs, encoded and decoded again */

static void test_codecs(void) {
  guint64 last_serial = 0;
  guint resident = 0;
  FkWorkerHooks hooks = {two_cpus, accepted, released, &resident, &last_serial};
  FkWorkerModel worker;
  fk_worker_model_init(&worker, "i-1", "127.0.0.1:1", "box", "north", TRUE, 4);
  g_autoptr(GPtrArray) commands = g_ptr_array_new_with_free_func(command_free);
  g_ptr_array_add(commands, new_command(FK_COMMAND_START, "run-1", 7, G_GUINT64_CONSTANT(12345678901234567)));
  const FkOutput out = {.status = 200, .fencing_token = {9}, .incarnation = 1, .commands = commands};
  g_autofree char *request = fk_worker_print_commands(&out), *reply = fk_worker_print_reply(&out);
  g_autoptr(FkWorkerCommands) direct = fk_worker_parse_commands(request, strlen(request)),
                              answer = fk_worker_parse_reply(200, reply, strlen(reply));
  g_assert_cmpuint(direct->incarnation, ==, 1);
  g_assert_cmpuint(answer->fencing_token.n, ==, 9);
  fk_worker_model_execute(&worker, &hooks, answer->commands);
  g_autoptr(FkHeartbeat) heartbeat = fk_worker_model_heartbeat(&worker);
  g_autofree char *body = fk_worker_print_heartbeat(heartbeat);
  g_autoptr(FkHeartbeat) read = fk_worker_parse_heartbeat(body, strlen(body));
  g_assert_cmpstr(read->machine, ==, "i-1");
  g_assert_true(read->spot);
  const FkTaskStatus *t = read->tasks->pdata[0];
  g_assert_cmpuint(t->task, ==, 7);
  g_assert_cmpuint(t->attempt.n, ==, G_GUINT64_CONSTANT(12345678901234567));
  fk_worker_model_clear(&worker);
  static const char *const malformed[] = {"", "[]", "{\"baton\":1,\"orders\":[{\"verb\":\"dance\"}]}"};
  for (guint i = 0; i < G_N_ELEMENTS(malformed); i++)
    g_assert_null(fk_worker_parse_reply(200, malformed[i], strlen(malformed[i])));
}

static void test_store_codec(void) {
  const char *text =
      "{\"guards\":[{\"path\":\"a\",\"stamp\":3}],\"writes\":[{\"put\":\"a\",\"value\":{\"x\":1},"
      "\"tether\":4},{\"delete\":\"b\"}]}";
  g_autoptr(FkStoreTransaction) t = fk_store_parse_transaction(text, strlen(text));
  const FkTransactionWrite *put = &g_array_index(t->changes, FkTransactionWrite, 0),
                           *deleted = &g_array_index(t->changes, FkTransactionWrite, 1);
  g_assert_cmpstr(put->value, ==, "{\"x\":1}");
  g_assert_cmpuint(put->lease, ==, 4);
  g_assert_null(deleted->value);
  g_assert_cmpuint(g_array_index(t->conditions, FkStoreCondition, 0).revision, ==, 3);
  static const char *const malformed[] = {"", "[]", "{\"writes\":[{\"put\":\"a\"}]}", "{\"guards\":[{}]}"};
  for (guint i = 0; i < G_N_ELEMENTS(malformed); i++)
    g_assert_null(fk_store_parse_transaction(malformed[i], strlen(malformed[i])));
}

/* ------------------------------------------------------------------ jobs */

static FkScalePlan *small_plan(void) {
  FkScalePlan *plan = fk_scale_plan_new();
  plan->tasks_per_job = 2;
  plan->workers = 4;
  plan->teams = 4;
  plan->cancel_s = 10;
  return plan;
}

static void test_jobs(void) {
  g_autoptr(FkScalePlan) plan = small_plan();
  for (guint64 n = 0; n < 50; n++) {
    g_autofree char *id = fk_scale_job_id(3, n);
    g_autoptr(FkSpec) a = fk_scale_job(plan, id), b = fk_scale_job(plan, id);
    g_autofree char *sent = fk_user_print_submission(a);
    const char *why = NULL;
    g_autoptr(FkSpec) read = fk_user_parse_submission(sent, strlen(sent), &why);
    g_assert_nonnull(read);
    g_assert_cmpstr(read->team, ==, b->team);
    g_assert_cmpuint(read->tasks, ==, b->tasks);
    g_assert_cmpint(fk_scale_job_is_urgent(read), ==, n % 2);
  }
  g_assert_null(fk_scale_job(plan, "run-1"));
  g_assert_null(fk_scale_job(plan, "nonsense"));
}

static void test_plan(void) {
  g_autoptr(FkScalePlan) plan = small_plan();
  g_autoptr(GError) error = NULL;
  plan->output_dir = g_strdup("x");
  g_assert_true(fk_scale_plan_add_fault(plan, "kill@20:3", &error));
  g_assert_true(fk_scale_plan_add_fault(plan, "rack@5", &error));
  static const char *const wrong[] = {"kill", "kill@", "kill@x", "flood@3", "kill@3:x", "kill@-1"};
  for (guint i = 0; i < G_N_ELEMENTS(wrong); i++) {
    g_assert_false(fk_scale_plan_add_fault(plan, wrong[i], &error));
    g_clear_error(&error);
  }
  g_autoptr(cJSON) json = fk_scale_plan_to_json(plan);
  g_autoptr(FkScalePlan) parsed = fk_scale_plan_from_json(json);
  g_assert_cmpuint(parsed->workers, ==, 4);
  g_assert_cmpuint(parsed->faults->len, ==, 2);
  g_assert_cmpfloat(g_array_index(parsed->faults, FkScaleFault, 0).duration_s, ==, 3);
  g_assert_true(fk_scale_plan_validate(plan, &error));
  plan->workers = 0;
  g_assert_false(fk_scale_plan_validate(plan, &error));
}

/* ------------------------------------------------------------------ the load balancer */

static void test_load_balancer(void) {
  FkLoadBalancer *balancer = fk_load_balancer_new(2);
  g_assert_cmpint(fk_load_balancer_pick(balancer, 0), ==, -1);
  fk_load_balancer_record_probe(balancer, 0, TRUE, 0); /* the first success is enough */
  fk_load_balancer_record_probe(balancer, 1, TRUE, 0);
  int first = fk_load_balancer_pick(balancer, 0), second = fk_load_balancer_pick(balancer, 0);
  g_assert_cmpint(first + second, ==, 1); /* fewest open connections */
  fk_load_balancer_record_probe(balancer, 0, FALSE, 1000000);
  fk_load_balancer_record_probe(balancer, 0, FALSE, 2000000);
  g_assert_cmpuint(fk_load_balancer_healthy_count(balancer), ==, 1);
  fk_load_balancer_record_probe(balancer, 0, TRUE, 3000000);
  fk_load_balancer_record_probe(balancer, 0, TRUE, 4000000);
  g_assert_cmpuint(fk_load_balancer_healthy_count(balancer), ==, 1); /* not before 3 s are over */
  fk_load_balancer_record_probe(balancer, 0, TRUE, 5000000);
  g_assert_cmpuint(fk_load_balancer_healthy_count(balancer), ==, 2);
  for (guint i = 0; i < 3; i++) { /* refused three times in a row: skipped */
    fk_load_balancer_pick(balancer, 6000000);
    fk_load_balancer_connection_closed(balancer, 1, TRUE, 6000000);
  }
  g_assert_cmpint(fk_load_balancer_pick(balancer, 6000000), ==, 0);
  fk_load_balancer_free(balancer);
}

/* ------------------------------------------------------------------ the rules */

typedef struct {
  const char *rule; /* the one that is broken; NULL: none */
  struct {
    double at_s;
    FkRunEventKind kind;
    guint32 task;
    const char *machine;
  } events[8]; /* in order of time; the first without a time ends them */
} RuleCase;

#define BULK_JOB 0 /* its number */

static const RuleCase rule_cases[] = {
    {NULL,
     {{1, FK_RUN_EVENT_SUBMITTED, 0, NULL},
      {2, FK_RUN_EVENT_ACCEPTED, 0, NULL},
      {3, FK_RUN_EVENT_TASK_STARTED, 0, "i-1"},
      {4, FK_RUN_EVENT_TASK_LOST, 0, "i-1"},
      {5, FK_RUN_EVENT_TASK_STARTED, 0, "i-2"},
      {6, FK_RUN_EVENT_POLL_ACTIVE, 0, NULL}}},
    {"ran_twice", {{1, FK_RUN_EVENT_TASK_STARTED, 0, "i-1"}, {2, FK_RUN_EVENT_TASK_STARTED, 0, "i-2"}}},
    {"not_done", {{1, FK_RUN_EVENT_ACCEPTED, 0, NULL}, {2, FK_RUN_EVENT_JOB_DONE, 0, NULL}}},
    {"went_back",
     {{1, FK_RUN_EVENT_CANCEL_REQUESTED, 0, NULL},
      {2, FK_RUN_EVENT_JOB_CANCELLED, 0, NULL},
      {3, FK_RUN_EVENT_POLL_ACTIVE, 0, NULL}}},
    {"went_back", {{1, FK_RUN_EVENT_ACCEPTED, 0, NULL}, {2, FK_RUN_EVENT_JOB_CANCELLED, 0, NULL}}},
    {"forgotten", {{1, FK_RUN_EVENT_ACCEPTED, 0, NULL}, {2, FK_RUN_EVENT_POLL_NOT_FOUND, 0, NULL}}},
    {"forgotten", {{1, FK_RUN_EVENT_ACCEPTED, 0, NULL}, {92, FK_RUN_EVENT_POLL_ACTIVE, 0, NULL}}},
    {"ran_cancelled",
     {{1, FK_RUN_EVENT_CANCEL_REQUESTED, 0, NULL},
      {2, FK_RUN_EVENT_JOB_CANCELLED, 0, NULL},
      {13, FK_RUN_EVENT_TASK_STARTED, 0, "i-1"}}},
    {"ran_cancelled",
     {{1, FK_RUN_EVENT_TASK_STARTED, 0, "i-1"},
      {2, FK_RUN_EVENT_CANCEL_REQUESTED, 0, NULL},
      {3, FK_RUN_EVENT_JOB_CANCELLED, 0, NULL},
      {14, FK_RUN_EVENT_TASK_LOST, 0, "i-1"}}},
    {"invented", {{1, FK_RUN_EVENT_TASK_STARTED, 4000, "i-1"}}}};

static void test_rule_checks(void) {
  g_autoptr(FkScalePlan) plan = small_plan();
  g_autofree char *id = fk_scale_job_id(0, BULK_JOB);
  for (guint i = 0; i < G_N_ELEMENTS(rule_cases); i++) {
    const RuleCase *c = &rule_cases[i];
    g_autoptr(GArray) events = fk_run_events_new();
    for (guint k = 0; k < G_N_ELEMENTS(c->events) && c->events[k].at_s > 0; k++) {
      FkRunEvent e = {(gint64)(c->events[k].at_s * 1e6), c->events[k].kind, g_strdup(id), c->events[k].task,
                      g_strdup(c->events[k].machine)};
      g_array_append_val(events, e);
    }
    g_autoptr(GPtrArray) broken = fk_scale_check_rules(plan, 0, events);
    g_assert_cmpuint(broken->len, ==, c->rule != NULL);
    g_assert_true(!c->rule || g_str_has_prefix(broken->pdata[0], c->rule));
  }
}

static void test_quota_rule(void) {
  g_autoptr(FkScalePlan) plan = small_plan();
  plan->tasks_per_job = 1000;
  g_autofree char *id = fk_scale_job_id(0, BULK_JOB);
  g_autoptr(GArray) events = fk_run_events_new();
  guint quota = (guint)fk_scale_team_quota_cpus(plan, 0);
  for (guint i = 0; i <= quota; i++) {
    FkRunEvent e = {i + 1, FK_RUN_EVENT_TASK_STARTED, g_strdup(id), i, g_strdup("i-1")};
    g_array_append_val(events, e);
  }
  g_autoptr(GPtrArray) broken = fk_scale_check_rules(plan, 0, events);
  g_assert_cmpuint(broken->len, ==, 1);
  g_assert_true(g_str_has_prefix(broken->pdata[0], "quota"));
}

/* ------------------------------------------------------------------ redirects */

#define REDIRECTS 100
#define REDIRECT_BODY "{\"foreman\":\"region0-control1\"}"

typedef struct {
  guint requests, without_body; /* at the server */
  guint answers, unchanged;     /* at the client */
} Redirects;

static void respond_redirect(SoupServer *server, SoupServerMessage *message, const char *path,
                             GHashTable *query, gpointer data) {
  Redirects *r = data;
  gsize len;
  fk_stand_in_request_body(message, &len);
  r->requests++;
  r->without_body += !len;
  fk_stand_in_respond(message, 421, g_strdup(REDIRECT_BODY));
}

static void on_redirect(gpointer data, guint status, const char *body, gsize len) {
  Redirects *r = data;
  r->answers++;
  r->unchanged += status == 421 && len == strlen(REDIRECT_BODY) && !memcmp(body, REDIRECT_BODY, len);
}

/* The client doesn't follow a 421: each request reaches the server once, with its body. */
static void test_redirects(void) {
  FkHttpClient *clients[] = {fk_http_client_new(4, 4, 5, 65536), fk_http_client_new_for_many_hosts(4, 65536)};
  for (guint c = 0; c < G_N_ELEMENTS(clients); c++) {
    g_autoptr(GError) error = NULL;
    g_autofree char *addr = g_strdup_printf("127.%u.0.1:8080", address_base(0));
    Redirects r = {0};
    g_autoptr(SoupServer) server = fk_stand_in_serve(addr, respond_redirect, &r, &error);
    g_assert_no_error(error);
    for (guint i = 0; i < REDIRECTS; i++)
      fk_http_client_call(clients[c], "POST", addr, "/hello", "{}", 30, on_redirect, &r);
    while (r.answers < REDIRECTS)
      g_main_context_iteration(NULL, TRUE);
    g_test_message("%u requests, %u without a body, %u unchanged answers", r.requests, r.without_body,
                   r.unchanged);
    g_assert_cmpuint(r.requests, ==, REDIRECTS);
    g_assert_cmpuint(r.without_body, ==, 0);
    g_assert_cmpuint(r.unchanged, ==, REDIRECTS);
    soup_server_disconnect(server);
    fk_http_client_free(clients[c]);
  }
}

static void test_malformed_heartbeats(void) {
  g_autoptr(FkScalePlan) plan = small_plan();
  g_autoptr(GError) error = NULL;
  guint n = 99;
  plan->controllers = 2;
  plan->output_dir = g_dir_make_tmp("fk-scale-XXXXXX", &error);
  g_autofree char *first = g_build_filename(plan->output_dir, "control-0-0.log", NULL),
                  *second = g_build_filename(plan->output_dir, "control-0-1.log", NULL);
  g_assert_true(g_file_set_contents(first, "up\n", -1, &error));
  /* a missing log is an error, not a count of 0 */
  g_assert_false(fk_scale_count_malformed_heartbeats(plan, 0, &n, &error));
  g_clear_error(&error);
  g_assert_true(g_file_set_contents(second, "up\n", -1, &error));
  g_assert_true(fk_scale_count_malformed_heartbeats(plan, 0, &n, &error));
  g_assert_cmpuint(n, ==, 0);
  g_assert_true(g_file_set_contents(
      first, "warning heartbeat malformed body=\nup\nheartbeat malformed body={}\n", -1, &error));
  g_assert_true(g_file_set_contents(second, "heartbeat malformed body=[]", -1, &error));
  g_assert_true(fk_scale_count_malformed_heartbeats(plan, 0, &n, &error));
  g_assert_cmpuint(n, ==, 3);
  g_unlink(first);
  g_unlink(second);
  g_rmdir(plan->output_dir);
}

/* ------------------------------------------------------------------ leases */

static guint count_events(const GArray *events, FkRunEventKind kind, gint64 *at_us) {
  guint n = 0;
  for (guint i = 0; i < events->len; i++) {
    const FkRunEvent *e = &g_array_index(events, FkRunEvent, i);
    if (e->kind != kind)
      continue;
    *at_us = e->at_us;
    n++;
  }
  return n;
}

static void remove_file(const char *dir, const char *base) {
  g_autofree char *path = g_build_filename(dir, base, NULL);
  g_unlink(path);
}

/* One worker with a running task, which no controller hears of; the main loop sleeps past its lease's end. */
static void test_lease_expiry(void) {
  static FkWorkerStandIn stand_in;
  FkSimulatedWorkers *workers = &stand_in.workers;
  g_autoptr(FkScalePlan) plan = small_plan();
  g_autoptr(GError) error = NULL;
  g_autoptr(GArray) events = fk_run_events_new();
  plan->address_base = address_base(1);
  plan->lease_s = 2;
  plan->task_run_s = 3600;
  plan->start_us = g_get_monotonic_time();
  plan->output_dir = g_dir_make_tmp("fk-scale-XXXXXX", &error);
  gboolean opened = fk_worker_stand_in_open(&stand_in, plan, 0, 0, &error);
  g_assert_no_error(error);
  g_assert_true(opened);
  g_autofree char *zone = fk_scale_zone(0, 0), *job = fk_scale_job_id(0, BULK_JOB);
  FkSimulatedWorker *worker = fk_simulated_workers_boot(workers, zone, FALSE, 0);
  while (!worker->up)
    g_main_context_iteration(NULL, TRUE);
  /* it never sends a heartbeat: only the lease's timer can end the lease */
  worker->heartbeat_id = ++workers->last_serial;
  gint64 lease_end = worker->model.lease_start + (gint64)(plan->lease_s * 1e6);
  g_autoptr(GPtrArray) commands = g_ptr_array_new_with_free_func(command_free);
  g_ptr_array_add(commands, new_command(FK_COMMAND_START, job, 0, 1));
  g_assert_true(
      fk_worker_model_command(&worker->model, &workers->model_hooks, 1, (FkFencingToken){1}, commands));
  const FkWorkerTask *t = worker->model.tasks->pdata[0];
  while (worker->model.incarnation == 1 && !t->resident)
    g_main_context_iteration(NULL, TRUE);
  g_assert_cmpuint(worker->model.incarnation, ==, 1);
  worker->heartbeat_id = ++workers->last_serial; /* no heartbeat about the running task either */
  g_usleep((gulong)MAX(0, lease_end + 300000 - g_get_monotonic_time()));
  for (gint64 deadline = g_get_monotonic_time() + 3000000;
       worker->model.incarnation == 1 && g_get_monotonic_time() < deadline;)
    g_main_context_iteration(NULL, FALSE);
  g_assert_cmpuint(worker->model.incarnation, ==, 2);
  g_assert_cmpuint(worker->model.tasks->len, ==, 0);
  fk_worker_stand_in_close(&stand_in);
  gint64 began = 0, released_us = 0;
  g_assert_true(fk_event_log_read(plan->output_dir, "fleet-0", events, &error));
  g_assert_cmpuint(count_events(events, FK_RUN_EVENT_TASK_STARTED, &began), ==, 1);
  g_assert_cmpuint(count_events(events, FK_RUN_EVENT_TASK_LOST, &released_us), ==, 1);
  g_assert_cmpint(released_us, ==, lease_end);
  g_assert_cmpint(began, <, released_us);
  remove_file(plan->output_dir, "fleet-0.events");
  remove_file(plan->output_dir, "fleet-0.jsonl");
  g_rmdir(plan->output_dir);
}

#define PROCESSES 3
#define RANDOM_DRAWS 10
#define UP_TIMEOUT_US 8000000

/* All processes agree on the names of the initial workers, and one plays each. */
static void assert_each_is_played_once(const FkWorkerStandIn *stand_ins, guint workers) {
  for (guint i = 0; i < workers; i++) {
    guint player_count = 0;
    const FkSimulatedWorker *first = stand_ins[0].workers.all->pdata[i];
    for (guint k = 0; k < PROCESSES; k++) {
      const FkSimulatedWorker *worker = stand_ins[k].workers.all->pdata[i];
      g_assert_cmpstr(worker->model.id, ==, first->model.id);
      g_assert_cmpstr(worker->model.addr, ==, first->model.addr);
      player_count += !worker->remote;
    }
    g_assert_cmpuint(player_count, ==, 1);
  }
}

static void assert_same_fault_draws(const FkWorkerStandIn *a, const FkWorkerStandIn *b) {
  for (guint i = 0; i < RANDOM_DRAWS; i++)
    g_assert_cmpuint(g_rand_int(a->workers.fault_rand), ==, g_rand_int(b->workers.fault_rand));
}

static gboolean all_up(const FkWorkerStandIn *stand_ins, guint workers) {
  for (guint k = 0; k < PROCESSES; k++)
    for (guint i = 0; i < workers; i++)
      if (!((const FkSimulatedWorker *)stand_ins[k].workers.all->pdata[i])->up)
        return FALSE;
  return TRUE;
}

/* Only the process that plays a worker listens at its address. */
static void assert_players_listen(const FkWorkerStandIn *stand_ins, guint workers) {
  for (guint k = 0; k < PROCESSES; k++)
    for (guint i = 0; i < workers; i++) {
      const FkSimulatedWorker *worker = stand_ins[k].workers.all->pdata[i];
      g_assert_true(worker->up);
      g_assert_true((worker->listener < 0) == worker->remote);
    }
}

static void close_and_remove_files(FkWorkerStandIn *stand_in, const char *dir) {
  g_autofree char *name = fk_scale_worker_process_name(0, stand_in->workers.process),
                  *events = g_strconcat(name, ".events", NULL), *lines = g_strconcat(name, ".jsonl", NULL);
  fk_worker_stand_in_close(stand_in);
  remove_file(dir, events);
  remove_file(dir, lines);
}

/* Several processes play each initial worker once, and agree on names and faults. */
static void test_worker_processes(void) {
  static FkWorkerStandIn stand_ins[PROCESSES];
  g_autoptr(FkScalePlan) plan = small_plan();
  g_autoptr(GError) error = NULL;
  plan->address_base = address_base(2);
  plan->workers = 8;
  plan->worker_processes = PROCESSES;
  plan->start_us = g_get_monotonic_time();
  plan->output_dir = g_dir_make_tmp("fk-scale-XXXXXX", &error);
  for (guint k = 0; k < PROCESSES; k++) {
    gboolean opened = fk_worker_stand_in_open(&stand_ins[k], plan, 0, k, &error);
    g_assert_no_error(error);
    g_assert_true(opened);
    g_assert_true(!stand_ins[k].cloud.server == (k > 0));
    fk_simulated_workers_boot_initial(&stand_ins[k].workers);
  }
  assert_each_is_played_once(stand_ins, plan->workers);
  assert_same_fault_draws(&stand_ins[0], &stand_ins[PROCESSES - 1]);
  gint64 deadline = g_get_monotonic_time() + UP_TIMEOUT_US;
  while (!all_up(stand_ins, plan->workers) && g_get_monotonic_time() < deadline)
    g_main_context_iteration(NULL, TRUE);
  assert_players_listen(stand_ins, plan->workers);
  for (guint k = 0; k < PROCESSES; k++)
    close_and_remove_files(&stand_ins[k], plan->output_dir);
  g_rmdir(plan->output_dir);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/scale_tools/store_model", test_store_model);
  g_test_add_func("/scale_tools/store_rate_limit", test_store_rate_limit);
  g_test_add_func("/scale_tools/worker_model", test_worker_model);
  g_test_add_func("/scale_tools/codecs", test_codecs);
  g_test_add_func("/scale_tools/store_codec", test_store_codec);
  g_test_add_func("/scale_tools/jobs", test_jobs);
  g_test_add_func("/scale_tools/plan", test_plan);
  g_test_add_func("/scale_tools/balancer", test_load_balancer);
  g_test_add_func("/scale_tools/rule_checks", test_rule_checks);
  g_test_add_func("/scale_tools/quota_rule", test_quota_rule);
  g_test_add_func("/scale_tools/redirects", test_redirects);
  g_test_add_func("/scale_tools/malformed_heartbeats", test_malformed_heartbeats);
  g_test_add_func("/scale_tools/lease_expiry", test_lease_expiry);
  g_test_add_func("/scale_tools/fleet_processes", test_worker_processes);
  return g_test_run();
}
