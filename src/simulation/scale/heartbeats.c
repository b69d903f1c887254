/* The hollow workers' reports, and the commands that come straight to them (PROTOCOL, "Workers -> controller
 * nodes" and "Controller nodes -> workers"). */
#include <string.h>

#include "simulation/scale/addresses.h"
#include "simulation/scale/simulated_workers.h"
#include "wire/worker.h"

#define LEAST_S 0.5  /* between two reports */
#define ANSWER_S 4.0 /* no answer by then: the next controller, after a second */
#define NEXT_S 1.0
#define MOVE_MOST_S 0.5 /* sent elsewhere: at once, or after up to so long */

typedef struct {
  FkSimulatedWorkers *fleet;
  FkSimulatedWorker *machine;
  guint64 report, session;
  gint64 sent;
} Report;

static void send_report(gpointer fleet, gpointer data);

static void plan_report(FkSimulatedWorkers *f, FkSimulatedWorker *m, double seconds) {
  Report *r = g_new0(Report, 1);
  m->report = ++f->serial;
  *r = (Report){f, m, m->report, 0, 0};
  fk_simulated_workers_schedule(f, seconds, send_report, r);
}

void fk_heartbeats_start(FkSimulatedWorkers *f, FkSimulatedWorker *m) {
  m->under_way = FALSE;
  plan_report(f, m, 0);
}

void fk_heartbeats_state_changed(FkSimulatedWorkers *f, FkSimulatedWorker *m) {
  if (!m->up || m->changed)
    return;
  m->changed = TRUE;
  double since_s = (double)(g_get_monotonic_time() - m->sent) / 1e6;
  if (!m->under_way)
    plan_report(f, m, MAX(0, LEAST_S - since_s));
}

/* After an answer: soon where something has changed meanwhile, else in the usual time, plus or minus a
 * quarter. */
static void plan_next(FkSimulatedWorkers *f, FkSimulatedWorker *m) {
  double usual_s = f->plan->heartbeat_s * g_rand_double_range(f->rand, 0.75, 1.25),
         since_s = (double)(g_get_monotonic_time() - m->sent) / 1e6;
  plan_report(f, m, MAX(0, (m->changed ? LEAST_S : usual_s) - since_s));
}

static guint controllers(const FkSimulatedWorkers *f) {
  return fk_scale_region_controllers(f->plan, f->region);
}

static void try_next(FkSimulatedWorkers *f, FkSimulatedWorker *m) {
  m->home = (m->home + 1) % controllers(f);
  plan_report(f, m, NEXT_S);
}

/* The controller of that name, or the number of controllers. */
static guint number_of(const FkSimulatedWorkers *f, const char *node) {
  guint n = controllers(f);
  for (guint i = 0; i < n; i++) {
    g_autofree char *name = fk_scale_controller_name(f->region, i);
    if (g_str_equal(name, node))
      return i;
  }
  return n;
}

static void move(FkSimulatedWorkers *f, FkSimulatedWorker *m, const char *foreman) {
  guint to = foreman ? number_of(f, foreman) : controllers(f);
  if (to == controllers(f) || to == m->home) {
    try_next(f, m);
    return;
  }
  m->home = to;
  plan_report(f, m, g_rand_double_range(f->rand, 0, MOVE_MOST_S));
}

/* A higher token is a change at most once in half of the lease. */
static void note_token(FkSimulatedWorkers *f, FkSimulatedWorker *m, guint64 before) {
  gint64 now = g_get_monotonic_time();
  if (m->model.fencing_token <= before || (double)(now - m->token_counted) / 1e6 < f->plan->lease_s / 2)
    return;
  m->token_counted = now;
  m->changed = TRUE;
}

static void take_answer(FkSimulatedWorkers *f, FkSimulatedWorker *m, const Report *r,
                        const FkWorkerCommands *orders) {
  guint64 token = m->model.fencing_token;
  guint tasks = m->model.tasks->len;
  fk_simulated_workers_check_lease(f, m, g_get_monotonic_time());
  if (!fk_worker_model_heartbeat_answered(&m->model, &f->hooks, r->session, r->sent, orders->fencing_token,
                                          orders->commands))
    fk_metrics_log_add(f->series, "answers_dropped", 1);
  note_token(f, m, token);
  m->changed |= m->model.tasks->len != tasks;
  plan_next(f, m);
}

static void report_answered(gpointer data, guint status, const char *body, gsize len) {
  g_autofree Report *r = data;
  FkSimulatedWorkers *f = r->fleet;
  FkSimulatedWorker *m = r->machine;
  if (m->report != r->report)
    return;
  m->under_way = FALSE;
  fk_metrics_log_add(f->series, "answer_bytes", (double)len);
  g_autoptr(FkWorkerCommands) orders = fk_worker_parse_reply(status, body, len);
  if (status == 200 && orders) {
    take_answer(f, m, r, orders);
  } else if (status == 421) {
    fk_metrics_log_add(f->series, "reports_redirected", 1);
    move(f, m, orders ? orders->redirect : NULL);
  } else {
    fk_metrics_log_add(f->series, "reports_unanswered", 1);
    try_next(f, m);
  }
}

static void send_report(gpointer fleet, gpointer data) {
  FkSimulatedWorkers *f = fleet;
  Report *r = data;
  FkSimulatedWorker *m = r->machine;
  if (m->report != r->report || !m->up) {
    g_free(r);
    return;
  }
  gint64 now = g_get_monotonic_time();
  fk_simulated_workers_check_lease(f, m, now);
  m->sent = r->sent = now;
  m->changed = FALSE;
  m->under_way = TRUE;
  r->session = m->model.incarnation;
  g_autoptr(FkHeartbeat) report = fk_worker_model_heartbeat(&m->model);
  g_autofree char *body = fk_worker_print_heartbeat(report),
                  *addr = fk_scale_user_addr(f->plan, f->region, m->home);
  fk_metrics_log_add(f->series, "reports", 1);
  fk_metrics_log_add(f->series, "report_bytes", (double)strlen(body));
  fk_http_client_call(f->http, "POST", addr, "/hello", body, ANSWER_S, report_answered, r);
}

/* ------------------------------------------------------------------ direct commands */

static void answer_report(FkSimulatedWorkers *f, SoupServerMessage *msg, FkSimulatedWorker *m, guint status) {
  g_autoptr(FkHeartbeat) report = fk_worker_model_heartbeat(&m->model);
  char *body = fk_worker_print_heartbeat(report);
  fk_metrics_log_add(f->series, "command_answer_bytes", (double)strlen(body));
  fk_stand_in_respond(msg, status, body);
}

static void take_command(FkSimulatedWorkers *f, SoupServerMessage *msg, FkSimulatedWorker *m,
                         const FkWorkerCommands *orders) {
  guint64 token = m->model.fencing_token;
  guint tasks = m->model.tasks->len;
  fk_simulated_workers_check_lease(f, m, g_get_monotonic_time());
  gboolean done = fk_worker_model_command(&m->model, &f->hooks, orders->incarnation, orders->fencing_token,
                                          orders->commands);
  answer_report(f, msg, m, done ? 200 : 409);
  gboolean had_changed = m->changed;
  note_token(f, m, token);
  if (m->model.tasks->len != tasks || m->changed != had_changed) {
    m->changed = had_changed;
    fk_heartbeats_state_changed(f, m);
  }
}

void fk_heartbeats_on_command(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
                              gpointer fleet) {
  FkSimulatedWorkers *f = fleet;
  g_autofree char *addr = fk_stand_in_local_addr(msg);
  FkSimulatedWorker *m = g_hash_table_lookup(f->by_addr, addr);
  gsize len;
  const char *body = fk_stand_in_request_body(msg, &len);
  fk_metrics_log_add(f->series, "commands", 1);
  fk_metrics_log_add(f->series, "command_bytes", (double)len);
  if (!m || !m->up) {
    fk_stand_in_respond(msg, 503, g_strdup("{}"));
    return;
  }
  if (g_str_equal(path, FK_WORKER_TERMINATE_PATH)) {
    fk_simulated_workers_terminate(f, m);
    fk_stand_in_respond(msg, 200, g_strdup("{}"));
    return;
  }
  if (g_str_equal(path, "/status")) {
    answer_report(f, msg, m, 200);
    return;
  }
  g_autoptr(FkWorkerCommands) orders = fk_worker_parse_commands(body, len);
  if (orders)
    take_command(f, msg, m, orders);
  else
    fk_stand_in_respond(msg, 400, g_strdup("{}"));
}
