#include "simulation/scale/user_stand_in.h"

#include <libsoup/soup.h>
#include <string.h>

#include "common/random.h"
#include "simulation/event_queue.h"
#include "simulation/scale/addresses.h"
#include "simulation/scale/event_log.h"
#include "simulation/scale/load_balancer.h"
#include "simulation/scale/metrics_log.h"
#include "simulation/scale/stand_in_process.h"
#include "simulation/scale/workload.h"
#include "wire/user.h"

#define FIRST_JOB_S 3.0 /* after the start: the controllers are up */
#define PROBE_INTERVAL_S 1.0
#define PROBE_TIMEOUT_S 1.0
#define POLL_INTERVAL_S 5.0
#define POLL_TIMEOUT_S 2.0
#define SUBMIT_TIMEOUT_S 5.0 /* of cancellations, too */
#define RETRY_S_MIN 1.0
#define RETRY_S_MAX 30.0
#define GIVE_UP_S 60.0       /* after the first attempt to submit */
#define CANCELLED_SHARE 0.02 /* of the bulk jobs */
#define CANCEL_S_MIN 10.0    /* after the submission was accepted */
#define CANCEL_S_MAX 60.0
#define CONNECTIONS_MAX 2000
#define ANY_NODE (-1) /* the load balancer picks one */

typedef struct {
  const FkScalePlan *plan;
  guint region;
  GRand *rand;
  FkEventQueue *event_queue;
  SoupSession *session;
  FkLoadBalancer *balancer;
  FkMetricsLog *metrics;
  FkEventLog *events;
  guint64 bulk_jobs, urgent_jobs; /* submitted */
  guint live_jobs;                /* accepted and not known to be over */
} Users;

typedef struct {
  FkSpec *spec;
  gint64 submitted_us; /* the first attempt */
  gboolean accepted, cancel_requested, over;
} Job;

static void schedule(Users *users, double delay_s, FkEventQueueFn fn, gpointer data) {
  fk_event_queue_add(users->event_queue, g_get_monotonic_time() + (gint64)(delay_s * 1e6), fn, data);
}

/* ------------------------------------------------------------------ requests */

typedef struct Request Request;

typedef struct {
  guint status; /* 0: there was no response */
  const char *body;
  gsize len;
  double retry_after_s; /* 0: not given */
} Response;

typedef void (*ResponseFn)(Users *users, gpointer data, const Response *response);

struct Request {
  Users *users;
  int node;
  SoupMessage *message;
  GCancellable *cancel;
  guint timer;
  ResponseFn on_response;
  gpointer data;
};

static gboolean on_timeout(gpointer data) {
  Request *request = data;
  request->timer = 0;
  g_cancellable_cancel(request->cancel);
  return G_SOURCE_REMOVE;
}

static double retry_after(SoupMessage *message) {
  const char *text = soup_message_headers_get_one(soup_message_get_response_headers(message), "Retry-After");
  return text ? g_ascii_strtod(text, NULL) : 0;
}

static void on_sent(GObject *session, GAsyncResult *result, gpointer data) {
  Request *request = data;
  g_autoptr(GError) error = NULL;
  g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  Response response = {.body = ""};
  if (bytes) {
    gconstpointer body = g_bytes_get_data(bytes, &response.len);
    response.body = body ? body : "";
    response.status = soup_message_get_status(request->message);
    response.retry_after_s = retry_after(request->message);
  }
  g_clear_handle_id(&request->timer, g_source_remove);
  fk_load_balancer_connection_closed(request->users->balancer, (guint)request->node,
                                     g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED),
                                     g_get_monotonic_time());
  request->on_response(request->users, request->data, &response);
  g_object_unref(request->message);
  g_object_unref(request->cancel);
  g_free(request);
}

/* Sends a request to a node, or to one that the load balancer picks (ANY_NODE). `on_response` is called once.
 */
static void send_request(Users *users, int node, const char *method, const char *path, const char *body,
                         double timeout_s, ResponseFn on_response, gpointer data) {
  if (node < 0)
    node = fk_load_balancer_pick(users->balancer, g_get_monotonic_time());
  if (node < 0) {
    on_response(users, data, &(Response){.body = ""});
    return;
  }
  g_autofree char *addr = fk_scale_user_addr(users->plan, users->region, (guint)node),
                  *url = g_strdup_printf("http://%s%s", addr, path);
  Request *request = g_new0(Request, 1);
  *request = (Request){users, node, soup_message_new(method, url), g_cancellable_new(), 0, on_response, data};
  if (body) {
    g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));
    soup_message_set_request_body_from_bytes(request->message, "application/json", bytes);
  }
  soup_message_headers_replace(soup_message_get_request_headers(request->message), "Connection", "close");
  request->timer = g_timeout_add((guint)(timeout_s * 1000), on_timeout, request);
  soup_session_send_and_read_async(users->session, request->message, G_PRIORITY_DEFAULT, request->cancel,
                                   on_sent, request);
}

/* ------------------------------------------------------------------ health probes */

typedef struct {
  guint node;
} Probe;

static void probe(gpointer owner, gpointer data);

static void on_probe_response(Users *users, gpointer data, const Response *response) {
  fk_load_balancer_record_probe(users->balancer, ((Probe *)data)->node, response->status == 200,
                                g_get_monotonic_time());
  schedule(users, PROBE_INTERVAL_S, probe, data);
}

static void probe(gpointer owner, gpointer data) {
  send_request(owner, (int)((Probe *)data)->node, "GET", "/up", NULL, PROBE_TIMEOUT_S, on_probe_response,
               data);
}

/* ------------------------------------------------------------------ a job */

static void log_event(Users *users, const Job *job, FkRunEventKind kind) {
  fk_event_log_add(users->events, kind, job->spec->id, 0, NULL);
}

static void finish_job(Users *users, Job *job, FkRunEventKind outcome) {
  if (job->over)
    return;
  log_event(users, job, outcome);
  job->over = TRUE;
  users->live_jobs -= job->accepted;
}

static void poll(gpointer owner, gpointer data);

static void on_poll_response(Users *users, gpointer data, const Response *response) {
  Job *job = data;
  FkJobState state;
  fk_metrics_log_add(users->metrics, "polls", 1);
  if (job->over)
    return;
  if (response->status == 404)
    log_event(users, job, FK_RUN_EVENT_POLL_NOT_FOUND);
  else if (response->status == 200 && fk_user_parse_state(response->body, response->len, &state)) {
    if (state.phase == FK_PHASE_DONE)
      finish_job(users, job, FK_RUN_EVENT_JOB_DONE);
    else if (state.phase == FK_PHASE_CANCELLED)
      finish_job(users, job, FK_RUN_EVENT_JOB_CANCELLED);
    else
      log_event(users, job, FK_RUN_EVENT_POLL_ACTIVE);
  } else {
    fk_metrics_log_add(users->metrics, "polls_failed", 1);
  }
  if (!job->over)
    schedule(users, POLL_INTERVAL_S, poll, job);
}

static void poll(gpointer owner, gpointer data) {
  Job *job = data;
  if (job->over)
    return;
  g_autofree char *path = g_strdup_printf("/submissions/%s", job->spec->id);
  send_request(owner, ANY_NODE, "GET", path, NULL, POLL_TIMEOUT_S, on_poll_response, job);
}

static void cancel(gpointer owner, gpointer data);

static void on_cancel_response(Users *users, gpointer data, const Response *response) {
  Job *job = data;
  FkJobState state;
  if (job->over)
    return;
  if (response->status == 200 && fk_user_parse_state(response->body, response->len, &state))
    finish_job(users, job, state.phase == FK_PHASE_DONE ? FK_RUN_EVENT_JOB_DONE : FK_RUN_EVENT_JOB_CANCELLED);
  else
    schedule(users, MAX(RETRY_S_MIN, response->retry_after_s), cancel, job);
}

static void cancel(gpointer owner, gpointer data) {
  Users *users = owner;
  Job *job = data;
  if (job->over)
    return;
  if (!job->cancel_requested)
    log_event(users, job, FK_RUN_EVENT_CANCEL_REQUESTED);
  job->cancel_requested = TRUE;
  g_autofree char *path = g_strdup_printf("/submissions/%s/withdraw", job->spec->id);
  send_request(users, ANY_NODE, "POST", path, "{}", SUBMIT_TIMEOUT_S, on_cancel_response, job);
}

static void on_accepted(Users *users, Job *job) {
  job->accepted = TRUE;
  users->live_jobs++;
  log_event(users, job, FK_RUN_EVENT_ACCEPTED);
  fk_metrics_log_add(users->metrics, "accepted", 1);
  schedule(users, POLL_INTERVAL_S, poll, job);
  if (!fk_scale_job_is_urgent(job->spec) && g_rand_double(users->rand) < CANCELLED_SHARE)
    schedule(users, fk_random_uniform(users->rand, CANCEL_S_MIN, CANCEL_S_MAX), cancel, job);
}

static void submit(gpointer owner, gpointer data);

static void on_submit_response(Users *users, gpointer data, const Response *response) {
  Job *job = data;
  if (response->status == 200 || response->status == 201) {
    on_accepted(users, job);
    return;
  }
  fk_metrics_log_add(users->metrics,
                     response->status == 503 || response->status == 429 ? "shed"
                     : response->status                                 ? "refused"
                                                                        : "unanswered",
                     1);
  double since_s = (double)(g_get_monotonic_time() - job->submitted_us) / 1e6;
  if (response->status == 400 || response->status == 422 || since_s > GIVE_UP_S) {
    log_event(users, job, FK_RUN_EVENT_REJECTED);
    fk_metrics_log_add(users->metrics, "given_up", 1);
    return;
  }
  schedule(users, CLAMP(response->retry_after_s, RETRY_S_MIN, RETRY_S_MAX), submit, job);
}

static void submit(gpointer owner, gpointer data) {
  Users *users = owner;
  Job *job = data;
  g_autofree char *body = fk_user_print_submission(job->spec);
  send_request(users, ANY_NODE, "POST", "/submissions", body, SUBMIT_TIMEOUT_S, on_submit_response, job);
}

/* ------------------------------------------------------------------ arrivals */

static void submit_job(Users *users, guint64 number) {
  g_autofree char *id = fk_scale_job_id(users->region, number);
  Job *job = g_new0(Job, 1);
  job->spec = fk_scale_job(users->plan, id);
  job->submitted_us = g_get_monotonic_time();
  log_event(users, job, FK_RUN_EVENT_SUBMITTED);
  fk_metrics_log_add(users->metrics, "submitted", 1);
  submit(users, job);
}

/* Intervals vary by half at most, so that runs differ little in load. */
static double next_interval_s(Users *users, double rate_per_s) {
  return fk_random_uniform(users->rand, 0.5, 1.5) / rate_per_s;
}

static double bulk_jobs_per_s(const Users *users) {
  return users->plan->task_starts_per_s / users->plan->regions / (double)users->plan->tasks_per_job;
}

static void on_bulk_arrival(gpointer owner, gpointer unused) {
  Users *users = owner;
  submit_job(users, 2 * users->bulk_jobs++);
  schedule(users, next_interval_s(users, bulk_jobs_per_s(users)), on_bulk_arrival, NULL);
}

static void on_urgent_arrival(gpointer owner, gpointer unused) {
  Users *users = owner;
  submit_job(users, 2 * users->urgent_jobs++ + 1);
  schedule(users, next_interval_s(users, users->plan->urgent_jobs_per_s), on_urgent_arrival, NULL);
}

static void sample(gpointer data) {
  Users *users = data;
  fk_metrics_log_set(users->metrics, "live", users->live_jobs);
  fk_metrics_log_set(users->metrics, "healthy", fk_load_balancer_healthy_count(users->balancer));
}

int fk_user_stand_in_run(const FkScalePlan *plan, guint region) {
  g_autoptr(GError) error = NULL;
  g_autofree char *name = g_strdup_printf("users-%u", region);
  guint nodes = fk_scale_region_controllers(plan, region);
  Users users = {.plan = plan, .region = region};
  users.rand = g_rand_new_with_seed((guint32)(plan->seed * 1000 + 500 + region));
  users.event_queue = fk_event_queue_new(&users);
  users.balancer = fk_load_balancer_new(nodes);
  users.session = soup_session_new_with_options("max-conns", CONNECTIONS_MAX, "max-conns-per-host",
                                                CONNECTIONS_MAX, "timeout", 0, NULL);
  soup_session_set_proxy_resolver(users.session, NULL);
  users.metrics = fk_metrics_log_new(plan->output_dir, name, plan->start_us, 0, &error);
  users.events = users.metrics ? fk_event_log_new(plan->output_dir, name, &error) : NULL;
  if (!users.events)
    return fk_stand_in_start_failed(name, error);
  for (guint i = 0; i < nodes; i++) {
    Probe *first = g_new0(Probe, 1);
    first->node = i;
    schedule(&users, 0, probe, first);
  }
  gint64 first_us = plan->start_us + (gint64)(FIRST_JOB_S * 1e6);
  if (bulk_jobs_per_s(&users) > 0)
    fk_event_queue_add(users.event_queue, first_us, on_bulk_arrival, NULL);
  if (plan->urgent_jobs_per_s > 0)
    fk_event_queue_add(users.event_queue, first_us, on_urgent_arrival, NULL);
  fk_event_queue_start_clock(users.event_queue);
  fk_metrics_log_start(users.metrics, sample, &users);
  fk_stand_in_run(plan);
  fk_event_log_free(users.events);
  fk_metrics_log_free(users.metrics);
  return 0;
}
