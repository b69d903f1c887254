#include "simulation/scale/heartbeats.h"

#include <string.h>

#include "common/random.h"
#include "simulation/scale/addresses.h"
#include "simulation/scale/late_copies.h"
#include "wire/worker.h"

#define INTERVAL_S_MIN 0.5       /* between two heartbeats of a worker */
#define REPLY_TIMEOUT_S 4.0      /* then the next controller is tried */
#define RETRY_DELAY_S 1.0        /* before it is */
#define REDIRECT_DELAY_S_MAX 0.5 /* a redirect is followed after a random part of it */
#define INTERVAL_JITTER 0.25     /* of the usual interval, up or down */

typedef struct {
  FkSimulatedWorkers *workers;
  FkSimulatedWorker *worker;
  guint64 heartbeat_id, incarnation;
  gint64 sent_us;
} Heartbeat;

static double seconds_since(gint64 time_us) { return (double)(g_get_monotonic_time() - time_us) / 1e6; }

/* ------------------------------------------------------------------ when the next heartbeat is due */

static void send_heartbeat(gpointer owner, gpointer data);

/* Replaces the heartbeat that was planned or in flight. */
static void schedule_heartbeat(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, double delay_s) {
  Heartbeat *heartbeat = g_new0(Heartbeat, 1);
  worker->heartbeat_id = ++workers->last_serial;
  *heartbeat = (Heartbeat){.workers = workers, .worker = worker, .heartbeat_id = worker->heartbeat_id};
  fk_simulated_workers_schedule(workers, delay_s, send_heartbeat, heartbeat);
}

static void start_heartbeats(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  worker->heartbeat_in_flight = FALSE;
  schedule_heartbeat(workers, worker, 0);
  if (worker->gets_copies)
    fk_late_copies_schedule(workers, worker);
}

static void on_state_changed(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  if (!worker->up || worker->state_changed)
    return;
  worker->state_changed = TRUE;
  double since_s = seconds_since(worker->heartbeat_sent_us);
  if (!worker->heartbeat_in_flight)
    schedule_heartbeat(workers, worker, MAX(0, INTERVAL_S_MIN - since_s));
}

/* After a reply: soon when the state has changed meanwhile, else after the usual interval with jitter. */
static void schedule_next(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  double jitter = fk_random_uniform(workers->rand, 1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER),
         interval_s = worker->state_changed ? INTERVAL_S_MIN : workers->plan->heartbeat_s * jitter;
  schedule_heartbeat(workers, worker, MAX(0, interval_s - seconds_since(worker->heartbeat_sent_us)));
}

/* ------------------------------------------------------------------ which controller it goes to */

static guint controller_count(const FkSimulatedWorkers *workers) {
  return fk_scale_region_controllers(workers->plan, workers->region);
}

static void fail_over(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  worker->controller = (worker->controller + 1) % controller_count(workers);
  schedule_heartbeat(workers, worker, RETRY_DELAY_S);
}

/* FALSE when no controller of the region has that name. */
static gboolean find_controller(const FkSimulatedWorkers *workers, const char *name, guint *controller) {
  for (guint i = 0; i < controller_count(workers); i++) {
    g_autofree char *candidate = fk_scale_controller_name(workers->region, i);
    if (!g_str_equal(candidate, name))
      continue;
    *controller = i;
    return TRUE;
  }
  return FALSE;
}

/* `name` NULL: the reply didn't name a controller. */
static void follow_redirect(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, const char *name) {
  guint controller;
  if (!name || !find_controller(workers, name, &controller) || controller == worker->controller) {
    fail_over(workers, worker);
    return;
  }
  worker->controller = controller;
  schedule_heartbeat(workers, worker, fk_random_uniform(workers->rand, 0, REDIRECT_DELAY_S_MAX));
}

/* ------------------------------------------------------------------ heartbeats and replies */

/* A higher fencing token is a change of state, but at most once in half a lease. */
static void note_token(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, guint64 token_before) {
  gint64 now = g_get_monotonic_time();
  double since_s = (double)(now - worker->token_change_us) / 1e6;
  if (worker->model.fencing_token <= token_before || since_s < workers->plan->lease_s / 2)
    return;
  worker->token_change_us = now;
  worker->state_changed = TRUE;
}

static void apply_reply(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, const Heartbeat *heartbeat,
                        const FkWorkerCommands *reply) {
  guint64 token_before = worker->model.fencing_token;
  guint tasks_before = worker->model.tasks->len;
  fk_simulated_workers_check_lease(workers, worker, g_get_monotonic_time());
  if (!fk_worker_model_heartbeat_answered(&worker->model, &workers->model_hooks, heartbeat->incarnation,
                                          heartbeat->sent_us, reply->fencing_token, reply->commands))
    fk_metrics_log_add(workers->metrics, "answers_dropped", 1);
  note_token(workers, worker, token_before);
  worker->state_changed |= worker->model.tasks->len != tasks_before;
  schedule_next(workers, worker);
}

static void on_reply(gpointer data, guint status, const char *body, gsize len) {
  g_autofree Heartbeat *heartbeat = data;
  FkSimulatedWorkers *workers = heartbeat->workers;
  FkSimulatedWorker *worker = heartbeat->worker;
  if (worker->heartbeat_id != heartbeat->heartbeat_id)
    return;
  worker->heartbeat_in_flight = FALSE;
  fk_metrics_log_add(workers->metrics, "answer_bytes", (double)len);
  g_autoptr(FkWorkerCommands) reply = fk_worker_parse_reply(status, body, len);
  if (status == 200 && reply) {
    apply_reply(workers, worker, heartbeat, reply);
  } else if (status == 421) {
    fk_metrics_log_add(workers->metrics, "reports_redirected", 1);
    follow_redirect(workers, worker, reply ? reply->redirect : NULL);
  } else {
    fk_metrics_log_add(workers->metrics, "reports_unanswered", 1);
    fail_over(workers, worker);
  }
}

static void send_heartbeat(gpointer owner, gpointer data) {
  FkSimulatedWorkers *workers = owner;
  Heartbeat *heartbeat = data;
  FkSimulatedWorker *worker = heartbeat->worker;
  if (worker->heartbeat_id != heartbeat->heartbeat_id || !worker->up) {
    g_free(heartbeat);
    return;
  }
  gint64 now = g_get_monotonic_time();
  fk_simulated_workers_check_lease(workers, worker, now);
  worker->heartbeat_sent_us = heartbeat->sent_us = now;
  worker->state_changed = FALSE;
  worker->heartbeat_in_flight = TRUE;
  heartbeat->incarnation = worker->model.incarnation;
  g_autoptr(FkHeartbeat) message = fk_worker_model_heartbeat(&worker->model);
  g_autofree char *body = fk_worker_print_heartbeat(message),
                  *addr = fk_scale_user_addr(workers->plan, workers->region, worker->controller);
  fk_metrics_log_add(workers->metrics, "reports", 1);
  fk_metrics_log_add(workers->metrics, "report_bytes", (double)strlen(body));
  fk_http_client_call(workers->http, "POST", addr, "/hello", body, REPLY_TIMEOUT_S, on_reply, heartbeat);
}

/* ------------------------------------------------------------------ direct commands */

/* Every answer to a command carries the worker's state. */
static void respond_with_state(FkSimulatedWorkers *workers, SoupServerMessage *message,
                               FkSimulatedWorker *worker, guint status) {
  g_autoptr(FkHeartbeat) heartbeat = fk_worker_model_heartbeat(&worker->model);
  char *body = fk_worker_print_heartbeat(heartbeat);
  fk_metrics_log_add(workers->metrics, "command_answer_bytes", (double)strlen(body));
  fk_stand_in_respond(message, status, body);
}

gboolean fk_heartbeats_execute_commands(FkSimulatedWorkers *workers, FkSimulatedWorker *worker,
                                        const FkWorkerCommands *request) {
  guint64 token_before = worker->model.fencing_token;
  guint tasks_before = worker->model.tasks->len;
  fk_simulated_workers_check_lease(workers, worker, g_get_monotonic_time());
  gboolean accepted = fk_worker_model_command(&worker->model, &workers->model_hooks, request->incarnation,
                                              request->fencing_token, request->commands);
  gboolean changed_before = worker->state_changed;
  note_token(workers, worker, token_before);
  if (worker->model.tasks->len != tasks_before || worker->state_changed != changed_before) {
    worker->state_changed = changed_before;
    on_state_changed(workers, worker);
  }
  return accepted;
}

static void on_request(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
                       gpointer data) {
  FkSimulatedWorkers *workers = data;
  g_autofree char *addr = fk_stand_in_local_addr(message);
  FkSimulatedWorker *worker = g_hash_table_lookup(workers->by_addr, addr);
  gsize len;
  const char *body = fk_stand_in_request_body(message, &len);
  fk_metrics_log_add(workers->metrics, "commands", 1);
  fk_metrics_log_add(workers->metrics, "command_bytes", (double)len);
  if (!worker || !worker->up) {
    fk_stand_in_respond(message, 503, g_strdup("{}"));
    return;
  }
  if (g_str_equal(path, FK_WORKER_TERMINATE_PATH)) {
    fk_simulated_workers_terminate(workers, worker);
    fk_stand_in_respond(message, 200, g_strdup("{}"));
    return;
  }
  if (g_str_equal(path, "/status")) {
    respond_with_state(workers, message, worker, 200);
    return;
  }
  g_autoptr(FkWorkerCommands) request = fk_worker_parse_commands(body, len);
  if (!request) {
    fk_stand_in_respond(message, 400, g_strdup("{}"));
    return;
  }
  gboolean accepted = fk_heartbeats_execute_commands(workers, worker, request);
  respond_with_state(workers, message, worker, accepted ? 200 : 409);
  if (accepted && fk_scale_plan_has_fault(workers->plan, FK_SCALE_FAULT_RESTART))
    fk_late_copies_remember(worker, body, len);
}

void fk_heartbeats_open(FkSimulatedWorkers *workers) {
  workers->hooks = (FkSimulatedWorkersHooks){start_heartbeats, on_state_changed};
  workers->listener = fk_stand_in_listener_new(on_request, workers);
}
