#include "simulation/scale/user_stand_in.h"
#include "simulation/scale/addresses.h"
#include "simulation/scale/workload.h"

#include <libsoup/soup.h>
#include <string.h>

#include "simulation/event_queue.h"
#include "simulation/scale/event_log.h"
#include "simulation/scale/http_stand_in.h"
#include "simulation/scale/load_balancer.h"
#include "simulation/scale/metrics_log.h"
#include "wire/user.h"

#define PROBE_S 1.0
#define PROBE_ANSWER_S 1.0
#define POLL_S 5.0
#define POLL_ANSWER_S 2.0
#define SUBMIT_ANSWER_S 5.0
#define RETRY_S 1.0
#define RETRY_MOST_S 30.0
#define GIVE_UP_S 60.0
#define CANCELLED_SHARE 0.02 /* of the bulk jobs */
#define CANCEL_FROM_S 10.0
#define CANCEL_TO_S 60.0
#define CONNECTIONS 2000

typedef struct {
  const FkScalePlan *plan;
  guint region;
  GRand *rand;
  FkEventQueue *agenda;
  SoupSession *session;
  FkLoadBalancer *balancer;
  FkMetricsLog *series;
  FkEventLog *events;
  guint64 bulk, urgent; /* jobs submitted */
  guint live;
} Users;

typedef struct {
  FkSpec *spec;
  gint64 first_try;
  gboolean accepted, cancelling, over;
} Job;

static void after(Users *u, double seconds, FkEventQueueFn fn, gpointer data) {
  fk_event_queue_add(u->agenda, g_get_monotonic_time() + (gint64)(seconds * 1e6), fn, data);
}

/* ------------------------------------------------------------------ calls */

typedef struct Call Call;
typedef void (*Answered)(Users *u, gpointer data, guint status, const char *body, gsize len, double retry_s);

struct Call {
  Users *users;
  int node;
  SoupMessage *message;
  GCancellable *cancel;
  guint timer;
  Answered answered;
  gpointer data;
};

static gboolean on_deadline(gpointer data) {
  Call *c = data;
  c->timer = 0;
  g_cancellable_cancel(c->cancel);
  return G_SOURCE_REMOVE;
}

static double retry_after(SoupMessage *m) {
  const char *text = soup_message_headers_get_one(soup_message_get_response_headers(m), "Retry-After");
  return text ? g_ascii_strtod(text, NULL) : 0;
}

static void on_answer(GObject *session, GAsyncResult *result, gpointer data) {
  Call *c = data;
  g_autoptr(GError) error = NULL;
  g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  gsize len = 0;
  const char *body = bytes ? g_bytes_get_data(bytes, &len) : NULL;
  g_clear_handle_id(&c->timer, g_source_remove);
  fk_load_balancer_connection_closed(c->users->balancer, (guint)c->node,
                                     g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED),
                                     g_get_monotonic_time());
  c->answered(c->users, c->data, bytes ? soup_message_get_status(c->message) : 0, body ? body : "", len,
              bytes ? retry_after(c->message) : 0);
  g_object_unref(c->message);
  g_object_unref(c->cancel);
  g_free(c);
}

/* To that node, or to the one that the balancer chooses (-1). */
static void call(Users *u, int node, const char *method, const char *path, const char *body,
                 double deadline_s, Answered answered, gpointer data) {
  if (node < 0)
    node = fk_load_balancer_pick(u->balancer, g_get_monotonic_time());
  if (node < 0) {
    answered(u, data, 0, "", 0, 0);
    return;
  }
  g_autofree char *addr = fk_scale_user_addr(u->plan, u->region, (guint)node),
                  *url = g_strdup_printf("http://%s%s", addr, path);
  Call *c = g_new0(Call, 1);
  *c = (Call){u, node, soup_message_new(method, url), g_cancellable_new(), 0, answered, data};
  if (body) {
    g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));
    soup_message_set_request_body_from_bytes(c->message, "application/json", bytes);
  }
  soup_message_headers_replace(soup_message_get_request_headers(c->message), "Connection", "close");
  c->timer = g_timeout_add((guint)(deadline_s * 1000), on_deadline, c);
  soup_session_send_and_read_async(u->session, c->message, G_PRIORITY_DEFAULT, c->cancel, on_answer, c);
}

/* ------------------------------------------------------------------ the balancer's probes */

typedef struct {
  guint node;
} Probe;

static void probe(gpointer users, gpointer data);

static void probed(Users *u, gpointer data, guint status, const char *body, gsize len, double retry_s) {
  fk_load_balancer_record_probe(u->balancer, ((Probe *)data)->node, status == 200, g_get_monotonic_time());
  after(u, PROBE_S, probe, data);
}

static void probe(gpointer users, gpointer data) {
  call(users, (int)((Probe *)data)->node, "GET", "/up", NULL, PROBE_ANSWER_S, probed, data);
}

/* ------------------------------------------------------------------ a job */

static void tell(Users *u, const Job *j, FkRunEventKind kind) {
  fk_event_log_add(u->events, kind, j->spec->id, 0, NULL);
}

static void job_over(Users *u, Job *j, FkRunEventKind how) {
  if (j->over)
    return;
  tell(u, j, how);
  j->over = TRUE;
  u->live -= j->accepted;
}

static void poll(gpointer users, gpointer data);

static void polled(Users *u, gpointer data, guint status, const char *body, gsize len, double retry_s) {
  Job *j = data;
  FkJobState state;
  fk_metrics_log_add(u->series, "polls", 1);
  if (j->over)
    return;
  if (status == 404)
    tell(u, j, FK_RUN_EVENT_POLL_NOT_FOUND);
  else if (status == 200 && fk_user_parse_state(body, len, &state)) {
    if (state.phase == FK_PHASE_DONE)
      job_over(u, j, FK_RUN_EVENT_JOB_DONE);
    else if (state.phase == FK_PHASE_CANCELLED)
      job_over(u, j, FK_RUN_EVENT_JOB_CANCELLED);
    else
      tell(u, j, FK_RUN_EVENT_POLL_ACTIVE);
  } else {
    fk_metrics_log_add(u->series, "polls_failed", 1);
  }
  if (!j->over)
    after(u, POLL_S, poll, j);
}

static void poll(gpointer users, gpointer data) {
  Job *j = data;
  if (j->over)
    return;
  g_autofree char *path = g_strdup_printf("/submissions/%s", j->spec->id);
  call(users, -1, "GET", path, NULL, POLL_ANSWER_S, polled, j);
}

static void cancel(gpointer users, gpointer data);

static void cancel_answered(Users *u, gpointer data, guint status, const char *body, gsize len,
                            double retry_s) {
  Job *j = data;
  FkJobState state;
  if (j->over)
    return;
  if (status == 200 && fk_user_parse_state(body, len, &state))
    job_over(u, j, state.phase == FK_PHASE_DONE ? FK_RUN_EVENT_JOB_DONE : FK_RUN_EVENT_JOB_CANCELLED);
  else
    after(u, MAX(RETRY_S, retry_s), cancel, j);
}

static void cancel(gpointer users, gpointer data) {
  Users *u = users;
  Job *j = data;
  if (j->over)
    return;
  if (!j->cancelling)
    tell(u, j, FK_RUN_EVENT_CANCEL_REQUESTED);
  j->cancelling = TRUE;
  g_autofree char *path = g_strdup_printf("/submissions/%s/withdraw", j->spec->id);
  call(u, -1, "POST", path, "{}", SUBMIT_ANSWER_S, cancel_answered, j);
}

static void job_accepted(Users *u, Job *j) {
  j->accepted = TRUE;
  u->live++;
  tell(u, j, FK_RUN_EVENT_ACCEPTED);
  fk_metrics_log_add(u->series, "accepted", 1);
  after(u, POLL_S, poll, j);
  if (!fk_scale_job_is_urgent(j->spec) && g_rand_double(u->rand) < CANCELLED_SHARE)
    after(u, g_rand_double_range(u->rand, CANCEL_FROM_S, CANCEL_TO_S), cancel, j);
}

static void submit(gpointer users, gpointer data);

static void submit_answered(Users *u, gpointer data, guint status, const char *body, gsize len,
                            double retry_s) {
  Job *j = data;
  if (status == 200 || status == 201) {
    job_accepted(u, j);
    return;
  }
  fk_metrics_log_add(u->series,
                     status == 503 || status == 429 ? "shed"
                     : status                       ? "refused"
                                                    : "unanswered",
                     1);
  double tried_s = (double)(g_get_monotonic_time() - j->first_try) / 1e6;
  if (status == 400 || status == 422 || tried_s > GIVE_UP_S) {
    tell(u, j, FK_RUN_EVENT_REJECTED);
    fk_metrics_log_add(u->series, "given_up", 1);
    return;
  }
  after(u, CLAMP(retry_s, RETRY_S, RETRY_MOST_S), submit, j);
}

static void submit(gpointer users, gpointer data) {
  Users *u = users;
  Job *j = data;
  g_autofree char *body = fk_user_print_submission(j->spec);
  call(u, -1, "POST", "/submissions", body, SUBMIT_ANSWER_S, submit_answered, j);
}

/* ------------------------------------------------------------------ arrivals */

static void new_job(Users *u, guint64 number) {
  g_autofree char *id = fk_scale_job_id(u->region, number);
  Job *j = g_new0(Job, 1);
  j->spec = fk_scale_job(u->plan, id);
  j->first_try = g_get_monotonic_time();
  tell(u, j, FK_RUN_EVENT_SUBMITTED);
  fk_metrics_log_add(u->series, "submitted", 1);
  submit(u, j);
}

/* Even but for a half: a few large jobs must not make one run busier than the next. */
static double wait_for_next(Users *u, double rate) { return g_rand_double_range(u->rand, 0.5, 1.5) / rate; }

static double bulk_rate(const Users *u) {
  return u->plan->task_starts_per_s / u->plan->regions / (double)u->plan->tasks_per_job;
}

static void bulk_comes(gpointer users, gpointer unused) {
  Users *u = users;
  new_job(u, 2 * u->bulk++);
  after(u, wait_for_next(u, bulk_rate(u)), bulk_comes, NULL);
}

static void urgent_comes(gpointer users, gpointer unused) {
  Users *u = users;
  new_job(u, 2 * u->urgent++ + 1);
  after(u, wait_for_next(u, u->plan->urgent_jobs_per_s), urgent_comes, NULL);
}

static void sample(gpointer data) {
  Users *u = data;
  fk_metrics_log_set(u->series, "live", u->live);
  fk_metrics_log_set(u->series, "healthy", fk_load_balancer_healthy_count(u->balancer));
}

#define FIRST_S 3.0 /* after the beginning, when the controllers are up */

int fk_scale_user_stand_in(const FkScalePlan *p, guint region) {
  g_autoptr(GError) error = NULL;
  g_autofree char *name = g_strdup_printf("users-%u", region);
  guint nodes = fk_scale_region_controllers(p, region);
  Users u = {.plan = p, .region = region};
  u.rand = g_rand_new_with_seed((guint32)(p->seed * 1000 + 500 + region));
  u.agenda = fk_event_queue_new(&u);
  u.balancer = fk_load_balancer_new(nodes);
  u.session = soup_session_new_with_options("max-conns", CONNECTIONS, "max-conns-per-host", CONNECTIONS,
                                            "timeout", 0, NULL);
  soup_session_set_proxy_resolver(u.session, NULL);
  u.series = fk_metrics_log_new(p->output_dir, name, p->start_us, 0, &error);
  u.events = u.series ? fk_event_log_new(p->output_dir, name, &error) : NULL;
  if (!u.events)
    return fk_stand_in_start_failed(name, error);
  for (guint i = 0; i < nodes; i++) {
    Probe *pr = g_new0(Probe, 1);
    pr->node = i;
    after(&u, 0, probe, pr);
  }
  gint64 first = p->start_us + (gint64)(FIRST_S * 1e6);
  if (bulk_rate(&u) > 0)
    fk_event_queue_add(u.agenda, first, bulk_comes, NULL);
  if (p->urgent_jobs_per_s > 0)
    fk_event_queue_add(u.agenda, first, urgent_comes, NULL);
  fk_event_queue_start_clock(u.agenda);
  fk_metrics_log_start(u.series, sample, &u);
  fk_stand_in_run(p);
  fk_event_log_free(u.events);
  fk_metrics_log_free(u.series);
  return 0;
}
