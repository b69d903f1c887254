#include "daemon/daemon.h"

#include <string.h>
#include <sys/resource.h>

#include "admission/dependency_health.h"
#include "daemon/process_metrics.h"
#include "daemon/rate_limiter.h"
#include "net/http_client.h"
#include "net/soup_listener.h"
#include "wire/cloud.h"
#include "wire/route.h"
#include "wire/store.h"
#include "wire/user.h"
#include "wire/worker.h"

#define TICK_MS 100
#define STORE_DEADLINE_S 2.0
#define AGAIN_MAX 6    /* times that a request over the store's budget is sent again */
#define OVER_KEPT 0.98 /* a tick: half of them are forgotten after 3.4 s */
#define OVER_MANY 6    /* of a controller that keeps to its share: the limits have changed */
#define NEXT_S 60      /* and are looked at again after this */
#define LEND 1.2 /* a controller may use somewhat more than its share: not all need theirs at once ... */
#define LEND_WRITES 1.0 /* ... but what users wait for must find room */

struct FkDaemon {
  const FkSettings *settings;
  FkController *core;
  FkServer *server;
  SoupServer *api_server, *peer_server; /* they listen nowhere: the door hands them what is complete */
  FkDependencyHealth *dependency_health;
  guint store_dependency, cloud_dependency;
  GHashTable *peer_dependencies; /* name -> number */
  FkAdmissionCounters admission_counters;
  gint64 admission_reported_us; /* us */
  FkHttpClient *store, *workers, *cloud, *peers;
  FkRateLimiter *store_limiter, *cloud_limiter;
  double store_rejections;     /* transactions that the store refused as over its rate, lately */
  gint64 next_limits_until_us; /* until then its rates are taken to be those to come */
  GHashTable *paused_requests; /* number -> SoupServerMessage: those that wait */
  guint64 last_request;
  SoupServerMessage
      *current_message; /* the request in the handler now, not answered yet; its number is next_request */
  guint tick_source;
  gint64 last_tick_us;
  FkProcessMetrics *metrics;
  gboolean draining;
  char *state_addr, *cloud_addr;
};

static FkTime now(void) { return (FkTime){g_get_monotonic_time()}; }

static void drain(FkDaemon *s);

/* Processor time from here on is charged to that purpose; end() takes back what begin() returned. */
static FkCpuPurpose begin(FkDaemon *s, FkCpuPurpose what) {
  return fk_cpu_profile_enter(fk_controller_cpu_profile(s->core), what);
}
static void end(FkDaemon *s, FkCpuPurpose before) {
  fk_cpu_profile_leave(fk_controller_cpu_profile(s->core), before);
}

/* ------------------------------------------------------------------ answers */

static void respond(SoupServerMessage *msg, guint status, char *body /* taken */, double retry_s) {
  if (retry_s > 0 && status >= 429) {
    g_autofree char *after = g_strdup_printf("%d", (int)MAX(1, retry_s));
    soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Retry-After", after);
  }
  soup_server_message_set_status(msg, status, NULL);
  soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE, body, strlen(body));
}

static void answer(FkDaemon *s, const FkOutput *o) {
  gboolean fresh = s->current_message && o->request.n == s->last_request;
  SoupServerMessage *msg =
      fresh ? s->current_message : g_hash_table_lookup(s->paused_requests, &o->request.n);
  if (!msg)
    return; /* whoever asked has gone */
  respond(msg, (guint)o->status,
          o->kind == FK_OUTPUT_HEARTBEAT_REPLY ? fk_worker_print_reply(o) : fk_user_print_reply(o),
          o->retry_s);
  /* Workers come seldom, and are many: their connections would only make every turn of the main loop longer.
   */
  if (o->kind == FK_OUTPUT_HEARTBEAT_REPLY)
    soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Connection", "close");
  if (fresh) {
    s->current_message = NULL;
    return;
  }
  soup_server_message_unpause(msg);
  g_hash_table_remove(s->paused_requests, &o->request.n);
}

/* ------------------------------------------------------------------ the store */

typedef struct {
  FkDaemon *shell;
  FkOutput *out;
  FkTime sent;
} Sent;

static FkOutcome outcome(guint status) {
  switch (status) {
  case 200:
    return FK_OUTCOME_OK;
  case 409:
    return FK_OUTCOME_CONFLICT;
  case 400:
    return FK_OUTCOME_INVALID;
  case 404:
  case 410:
    return FK_OUTCOME_GONE;
  case 429:
  case 503:
    return FK_OUTCOME_REFUSED;
  default:
    return FK_OUTCOME_UNKNOWN;
  }
}

static void reached(FkDaemon *s, guint system, guint status) {
  const char *why = status == 0 ? "no answer" : status == 503 ? "it answers 503" : NULL;
  fk_dependency_health_record(s->dependency_health, system, why, g_get_monotonic_time());
}

static void say_reach(FkDaemon *s) {
  gboolean bad;
  char *text;
  while ((text = fk_dependency_health_next_message(s->dependency_health, g_get_monotonic_time(), &bad))) {
    if (bad)
      g_warning("%s", text);
    else
      g_message("%s", text);
    g_free(text);
  }
}

static void store_done(gpointer data, guint status, const char *body, gsize len) {
  Sent *sent = data;
  FkDaemon *s = sent->shell;
  FkOutput *out = sent->out;
  FkOutcome o = outcome(status);
  fk_controller_set_write_capacity(s->core,
                                   fk_rate_limiter_available_writes(s->store_limiter, FK_PRIORITY_LAUNCH));
  if (status == 429 && out->kind == FK_OUTPUT_COMMIT)
    s->store_rejections += 1;
  if (status == 429 && (out->kind == FK_OUTPUT_COMMIT || out->kind == FK_OUTPUT_GET) &&
      out->budget_refusals++ < AGAIN_MAX) {
    g_free(sent);
    fk_rate_limiter_requeue(s->store_limiter, out->kind == FK_OUTPUT_GET ? FK_PRIORITY_USER : out->priority,
                            out->kind == FK_OUTPUT_GET ? 0 : out->writes->len, out);
    return;
  }
  if (o == FK_OUTCOME_INVALID)
    g_warning("the store refuses: %.*s", (int)MIN(len, 300), body);
  switch (out->kind) {
  case FK_OUTPUT_COMMIT: {
    g_autoptr(cJSON) j = fk_json_parse(body, len);
    g_autoptr(GPtrArray) failed = fk_store_parse_failed(j);
    if (!j && (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT))
      o = FK_OUTCOME_UNKNOWN;
    fk_controller_commit_received(s->core, now(), out->call, o, fk_store_parse_epoch(j), failed);
    break;
  }
  case FK_OUTPUT_GET: {
    g_autoptr(cJSON) j = fk_json_parse(body, len);
    FkStoreEvent *e = o == FK_OUTCOME_OK ? fk_store_parse_item(j) : NULL;
    fk_controller_get_received(s->core, now(), out->call, o == FK_OUTCOME_OK && !e ? FK_OUTCOME_UNKNOWN : o,
                               e);
    break;
  }
  case FK_OUTPUT_LIST:
  case FK_OUTPUT_WATCH: {
    gboolean more = FALSE;
    FkRev epoch = {0};
    g_autoptr(GPtrArray) events = NULL;
    FkCpuPurpose before = begin(s, FK_CPU_DECODE);
    if (o == FK_OUTCOME_OK)
      events = out->kind == FK_OUTPUT_LIST ? fk_store_parse_list(body, len, &more, &epoch)
                                           : fk_store_parse_watch(body, len, &epoch);
    end(s, before);
    if (!events) {
      if (o == FK_OUTCOME_OK)
        o = FK_OUTCOME_UNKNOWN;
      events = g_ptr_array_new();
    }
    if (out->kind == FK_OUTPUT_LIST)
      fk_controller_list_received(s->core, now(), o, events, more, epoch);
    else
      fk_controller_watch_received(s->core, now(), o, events, epoch, sent->sent);
    break;
  }
  case FK_OUTPUT_LEASE_GRANT: {
    g_autoptr(cJSON) j = fk_json_parse(body, len);
    FkRev hold = {0};
    if (o == FK_OUTCOME_OK && !fk_json_u64(j, "tether", &hold.n))
      o = FK_OUTCOME_UNKNOWN;
    fk_controller_lease_grant_received(s->core, now(), o, hold, sent->sent);
    break;
  }
  case FK_OUTPUT_LEASE_KEEPALIVE:
    fk_controller_lease_keepalive_received(s->core, now(), o, sent->sent);
    break;
  default:
    break;
  }
  fk_output_free(out);
  g_free(sent);
  drain(s);
}

/* What comes from outside says whether there is anybody; what we shed ourselves doesn't. */
static void store_answered(gpointer data, guint status, const char *body, gsize len) {
  FkDaemon *s = ((Sent *)data)->shell;
  reached(s, s->store_dependency, status);
  store_done(data, status, body, len);
}

static Sent *sent_new(FkDaemon *s, FkOutput *o) {
  Sent *sent = g_new0(Sent, 1);
  *sent = (Sent){s, o, now()};
  return sent;
}

static char *print_commit(FkDaemon *s, const FkOutput *o) {
  FkCpuPurpose before = begin(s, FK_CPU_ENCODE);
  char *body = fk_store_print_commit(o);
  end(s, before);
  return body;
}

static void store_send(gpointer data, gpointer item) {
  FkDaemon *s = data;
  FkOutput *o = item;
  const char *method = "POST";
  double deadline = STORE_DEADLINE_S;
  g_autofree char *path = NULL, *body = NULL;
  switch (o->kind) {
  case FK_OUTPUT_COMMIT:
    path = g_strdup("/commit");
    fk_controller_transaction_sent(s->core, now(), o->call);
    body = print_commit(s, o);
    break;
  case FK_OUTPUT_GET:
    method = "GET";
    path = g_strdup_printf("/store/%s", o->path);
    break;
  case FK_OUTPUT_LIST: {
    method = "GET";
    g_autofree char *after = o->after ? g_strdup_printf("&after=%s", o->after) : g_strdup("");
    path = g_strdup_printf("/store?prefix=%s%s&page=1000", o->path, after);
    deadline = 5;
    break;
  }
  case FK_OUTPUT_WATCH:
    method = "GET";
    path = g_strdup_printf("/watch?prefix=%s&after=%" G_GUINT64_FORMAT "&block_ms=%d", o->path, o->rev.n,
                           (int)(o->seconds * 1000));
    deadline = o->seconds + 3;
    break;
  case FK_OUTPUT_LEASE_GRANT:
    path = g_strdup("/holds");
    body = g_strdup_printf("{\"ttl_ms\":%d}", (int)(o->seconds * 1000));
    break;
  default:
    path = g_strdup_printf("/holds/%" G_GUINT64_FORMAT "/renew", o->rev.n);
    body = g_strdup("{}");
  }
  fk_http_client_call(s->store, method, s->settings->store_addr, path, body, deadline, store_answered,
                      sent_new(s, o));
}

static gboolean shed_later(gpointer data) {
  store_done(data, 503, "", 0);
  return G_SOURCE_REMOVE;
}

static void store_shed(gpointer data, gpointer item) { g_idle_add(shed_later, sent_new(data, item)); }

static gboolean watch_later(gpointer data) {
  Sent *sent = data;
  fk_rate_limiter_charge(sent->shell->store_limiter);
  store_send(sent->shell, sent->out);
  g_free(sent);
  return G_SOURCE_REMOVE;
}

/* ------------------------------------------------------------------ workers */

static void commands_done(gpointer data, guint status, const char *body, gsize len) {
  Sent *sent = data;
  FkDaemon *s = sent->shell;
  FkCpuPurpose before = begin(s, FK_CPU_HEARTBEATS);
  FkHeartbeat *r = status == 200 || status == 409 ? fk_worker_parse_heartbeat(body, len) : NULL;
  fk_controller_command_reply_received(s->core, now(), sent->out->call, outcome(status), r);
  end(s, before);
  fk_output_free(sent->out);
  g_free(sent);
  drain(s);
}

/* ------------------------------------------------------------------ other controllers */

static void peer_done(gpointer data, guint status, const char *body, gsize len) {
  Sent *sent = data;
  FkDaemon *s = sent->shell;
  g_autoptr(cJSON) o = status == 200 ? fk_json_parse(body, len) : NULL;
  FkRev seen, applied = {0};
  gpointer number;
  if (g_hash_table_lookup_extended(s->peer_dependencies, sent->out->name, NULL, &number))
    reached(s, GPOINTER_TO_UINT(number), status);
  if (o && fk_json_str(o, "life") && fk_json_u64(o, "seen", &seen.n)) {
    fk_json_u64(o, "applied", &applied.n); /* one of before says nothing of it */
    fk_controller_peer_progress_received(s->core, now(), sent->out->name, fk_json_str(o, "life"), seen,
                                         applied, fk_json_num_or(o, "store_age_s", 1e6), sent->sent);
  }
  fk_output_free(sent->out);
  g_free(sent);
  drain(s);
}

static void on_mesh(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
                    gpointer data) {
  FkDaemon *s = data;
  FkRev seen, applied;
  double age_s;
  if (!g_str_equal(path, "/seen") || !g_str_equal(soup_server_message_get_method(msg), "GET")) {
    respond(msg, 404, fk_user_print_error("no such path"), 0);
    return;
  }
  g_autoptr(cJSON) o = cJSON_CreateObject();
  cJSON_AddStringToObject(o, "life", fk_controller_store_progress(s->core, now(), &seen, &applied, &age_s));
  fk_json_add_u64(o, "seen", seen.n);
  fk_json_add_u64(o, "applied", applied.n);
  cJSON_AddNumberToObject(o, "store_age_s", age_s);
  respond(msg, 200, fk_json_print(o), 0);
}

/* ------------------------------------------------------------------ the cloud */

static void cloud_done(gpointer data, guint status, const char *body, gsize len) {
  Sent *sent = data;
  FkDaemon *s = sent->shell;
  FkOutput *out = sent->out;
  FkOutcome o = outcome(status);
  switch (out->kind) {
  case FK_OUTPUT_LIST_INSTANCE_TYPES: {
    g_autoptr(GPtrArray) types = o == FK_OUTCOME_OK ? fk_cloud_parse_types(body, len) : NULL;
    if (types)
      g_ptr_array_set_free_func(types, NULL);
    fk_controller_instance_types_received(s->core, now(), types ? o : FK_OUTCOME_UNKNOWN, types);
    break;
  }
  case FK_OUTPUT_LIST_MACHINES: {
    gboolean more = FALSE;
    g_autoptr(GPtrArray) listed = o == FK_OUTCOME_OK ? fk_cloud_parse_machines(body, len, &more) : NULL;
    fk_controller_machines_received(s->core, now(), listed ? o : FK_OUTCOME_UNKNOWN, listed, more);
    break;
  }
  case FK_OUTPUT_PROVISION: {
    g_autoptr(GPtrArray) names = o == FK_OUTCOME_OK ? fk_cloud_parse_names(body, len) : NULL;
    if (o == FK_OUTCOME_OK && !names)
      o = FK_OUTCOME_UNKNOWN;
    /* a plain refusal for want of machines, apart from the interface's own trouble */
    if (status == 503 && fk_cloud_is_no_capacity(body, len))
      o = FK_OUTCOME_CONFLICT;
    fk_controller_provision_received(s->core, now(), out->call, o, names);
    break;
  }
  default:
    fk_controller_terminate_received(s->core, now(), out->call, o);
  }
  fk_output_free(out);
  g_free(sent);
  drain(s);
}

static void cloud_answered(gpointer data, guint status, const char *body, gsize len) {
  FkDaemon *s = ((Sent *)data)->shell;
  reached(s, s->cloud_dependency, status == 503 && fk_cloud_is_no_capacity(body, len) ? 200 : status);
  cloud_done(data, status, body, len);
}

static void cloud_send(gpointer data, gpointer item) {
  FkDaemon *s = data;
  FkOutput *o = item;
  const char *method = "POST";
  g_autofree char *path = NULL, *body = NULL;
  switch (o->kind) {
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
    method = "GET";
    path = g_strdup("/machine_types");
    break;
  case FK_OUTPUT_LIST_MACHINES:
    method = "GET";
    path = o->after && *o->after ? g_strdup_printf("/machines?after=%s&page=500", o->after)
                                 : g_strdup("/machines?page=500");
    break;
  case FK_OUTPUT_PROVISION:
    path = g_strdup("/machines");
    body = fk_cloud_print_provision(o);
    break;
  default:
    path = g_strdup("/machines/return");
    body = fk_cloud_print_terminate(o);
  }
  fk_http_client_call(s->cloud, method, s->settings->cloud_addr, path, body, 4, cloud_answered,
                      sent_new(s, o));
}

static gboolean cloud_shed_later(gpointer data) {
  cloud_done(data, 429, "", 0);
  return G_SOURCE_REMOVE;
}

static void cloud_shed(gpointer data, gpointer item) { g_idle_add(cloud_shed_later, sent_new(data, item)); }

/* ------------------------------------------------------------------ what the core wants done */

static void perform(FkDaemon *s, FkOutput *o) {
  switch (o->kind) {
  case FK_OUTPUT_USER_REPLY:
  case FK_OUTPUT_HEARTBEAT_REPLY:
    answer(s, o);
    fk_output_free(o);
    break;
  case FK_OUTPUT_COMMIT:
    fk_rate_limiter_submit(s->store_limiter, o->priority, o->writes->len, o);
    break;
  case FK_OUTPUT_GET:
    fk_rate_limiter_submit(s->store_limiter, FK_PRIORITY_USER, 0, o);
    break;
  case FK_OUTPUT_LIST:
  case FK_OUTPUT_LEASE_GRANT:
  case FK_OUTPUT_LEASE_KEEPALIVE:
    fk_rate_limiter_charge(s->store_limiter);
    store_send(s, o);
    break;
  case FK_OUTPUT_WATCH:
    g_timeout_add((guint)(o->delay_s * 1000), watch_later, sent_new(s, o));
    break;
  case FK_OUTPUT_PEER_QUERY:
    fk_http_client_call(s->peers, "GET", o->addr, "/seen", NULL, 1.5, peer_done, sent_new(s, o));
    break;
  case FK_OUTPUT_COMMANDS: {
    g_autofree char *body = fk_worker_print_commands(o);
    fk_http_client_call(s->workers, "POST", o->addr, "/commands", body, 2, commands_done, sent_new(s, o));
    break;
  }
  default:
    fk_rate_limiter_submit(s->cloud_limiter, o->kind == FK_OUTPUT_LIST_MACHINES ? 1 : 0, 0, o);
  }
}

static void drain(FkDaemon *s) {
  if (s->draining)
    return;
  s->draining = TRUE;
  FkOutput *o;
  while ((o = fk_controller_next_output(s->core)))
    perform(s, o);
  s->draining = FALSE;
}

/* ------------------------------------------------------------------ the server */

static void gone(SoupServerMessage *msg, gpointer data) {
  FkDaemon *s = data;
  guint64 *id = g_object_get_data(G_OBJECT(msg), "fk-request");
  if (!id || !g_hash_table_contains(s->paused_requests, id))
    return;
  FkRequestId r = {*id};
  g_hash_table_remove(s->paused_requests, id);
  fk_controller_request_closed(s->core, r);
}

/* Most requests are answered before their handler returns: only what must wait is kept and paused. */
static FkRequestId open_request(FkDaemon *s, SoupServerMessage *msg) {
  s->current_message = msg;
  return (FkRequestId){++s->last_request};
}

static void settle_request(FkDaemon *s) {
  drain(s);
  SoupServerMessage *msg = s->current_message;
  if (!msg)
    return;
  guint64 n = s->last_request;
  s->current_message = NULL;
  g_hash_table_insert(s->paused_requests, g_memdup2(&n, sizeof n), g_object_ref(msg));
  g_object_set_data_full(G_OBJECT(msg), "fk-request", g_memdup2(&n, sizeof n), g_free);
  g_signal_connect(msg, "disconnected", G_CALLBACK(gone), s);
  soup_server_message_pause(msg);
}

static void refuse(SoupServerMessage *msg, guint status, const char *why) {
  respond(msg, status, fk_user_print_error(why), 0);
}

static void on_submit(FkDaemon *s, SoupServerMessage *msg, const char *body, gsize len) {
  const char *why = NULL;
  FkCpuPurpose before = begin(s, FK_CPU_USER_REQUESTS);
  FkSpec *spec = fk_user_parse_submission(body, len, &why);
  if (!spec) {
    g_autofree char *text = g_strdup_printf("malformed: %s", why);
    refuse(msg, 400, text);
  } else {
    FkRequestId r = open_request(s, msg);
    fk_controller_submission_received(s->core, now(), r, spec);
  }
  end(s, before);
  settle_request(s);
}

static void on_hello(FkDaemon *s, SoupServerMessage *msg, const char *body, gsize len) {
  FkCpuPurpose before = begin(s, FK_CPU_HEARTBEATS);
  FkHeartbeat *report = fk_worker_parse_heartbeat(body, len);
  if (!report) {
    g_warning("a malformed report: %.*s", (int)MIN(len, 200), body);
    refuse(msg, 400, "malformed report");
  } else {
    FkRequestId r = open_request(s, msg);
    fk_controller_heartbeat_received(s->core, now(), r, report);
  }
  end(s, before);
  settle_request(s);
}

static void on_job(FkDaemon *s, SoupServerMessage *msg, FkRoute route, const char *job, gsize len) {
  g_autofree char *id = g_strndup(job, len);
  if (!fk_user_id_is_valid(id)) {
    refuse(msg, 404, "no such job");
    return;
  }
  FkCpuPurpose before = begin(s, FK_CPU_USER_REQUESTS);
  FkRequestId r = open_request(s, msg);
  if (route == FK_ROUTE_CANCEL)
    fk_controller_cancellation_received(s->core, now(), r, id);
  else
    fk_controller_poll_received(s->core, now(), r, id);
  end(s, before);
  settle_request(s);
}

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
                       gpointer data) {
  FkDaemon *s = data;
  SoupMessageBody *request = soup_server_message_get_request_body(msg);
  const char *body = request->data ? request->data : "", *job = NULL;
  gsize len = (gsize)request->length, job_len = 0;
  FkRoute route = fk_route_match(soup_server_message_get_method(msg), path, &job, &job_len);
  switch (route) {
  case FK_ROUTE_HEALTH: {
    gboolean up = fk_controller_is_serving(s->core, now());
    respond(msg, up ? 200 : 503, g_strdup(up ? "{\"up\":true}" : "{\"up\":false}"), up ? 0 : 1);
    break;
  }
  case FK_ROUTE_HEARTBEAT:
    on_hello(s, msg, body, len);
    break;
  case FK_ROUTE_SUBMIT:
    on_submit(s, msg, body, len);
    break;
  case FK_ROUTE_POLL:
  case FK_ROUTE_CANCEL:
    on_job(s, msg, route, job, job_len);
    break;
  case FK_ROUTE_WRONG_METHOD:
    refuse(msg, 405, "wrong method");
    break;
  default:
    refuse(msg, 404, "no such path");
  }
}

/* ------------------------------------------------------------------ the door */

static FkRequestClass asked(const char *method, const char *path) {
  return fk_route_request_class(fk_route_match(method, path, NULL, NULL));
}

static FkRequestClass peer_asked(const char *method, const char *path) { return FK_REQUEST_CLASS_PEER; }

static gboolean open_door(FkDaemon *s, GError **error) {
  return fk_soup_listener_open(s->server, s->api_server, s->settings->listen_addr, FK_CONNECTION_CLASS_CLIENT,
                               asked, fk_user_print_error, error) &&
         fk_soup_listener_open(s->server, s->peer_server, s->settings->peer_listen_addr,
                               FK_CONNECTION_CLASS_PEER, peer_asked, fk_user_print_error, error);
}

static void watch_reach(FkDaemon *s) {
  s->dependency_health = fk_dependency_health_new((gint64)(s->settings->tuning.window_s * 1e6));
  g_autofree char *store = g_strdup_printf("the store at %s", s->settings->store_addr),
                  *cloud = g_strdup_printf("the cloud at %s", s->settings->cloud_addr);
  s->store_dependency = fk_dependency_health_add(
      s->dependency_health, store,
      "nothing is accepted, started or ended; what runs goes on while all controllers do");
  s->cloud_dependency =
      fk_dependency_health_add(s->dependency_health, cloud, "no machine is rented or returned");
  s->peer_dependencies = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint i = 0; i < s->settings->peers->len; i++) {
    const FkPeer *p = s->settings->peers->pdata[i];
    g_autofree char *name = g_strdup_printf("controller %s at %s", p->name, p->addr);
    guint number = fk_dependency_health_add(
        s->dependency_health, name, "it can't vouch for what we know: without the store, leases run out");
    g_hash_table_insert(s->peer_dependencies, p->name, GUINT_TO_POINTER(number));
  }
}

/* Once a window; a warning when somebody was turned away. */
static void say_door(FkDaemon *s, gint64 now_us) {
  if (now_us < s->admission_reported_us + (gint64)(s->settings->tuning.window_s * 1e6))
    return;
  gboolean bad;
  g_autofree char *words = fk_admission_summary(fk_server_admission(s->server), &s->admission_counters, &bad);
  s->admission_reported_us = now_us;
  if (bad)
    g_warning("%s", words);
  else
    g_info("%s", words);
}

static gboolean on_tick(gpointer data) {
  FkDaemon *s = data;
  gint64 t = g_get_monotonic_time();
  if (s->last_tick_us)
    fk_process_metrics_timer_fired(s->metrics, (double)(t - s->last_tick_us) / 1e6 - TICK_MS / 1e3);
  s->last_tick_us = t;
  say_door(s, t);
  fk_controller_set_write_capacity(s->core,
                                   fk_rate_limiter_available_writes(s->store_limiter, FK_PRIORITY_LAUNCH));
  fk_controller_tick(s->core, now(), g_get_real_time());
  say_reach(s);
  double share = fk_controller_request_share(s->core), writes = fk_controller_write_share(s->core);
  /* The limits to come hold from some moment on, without notice: refusals tell. */
  s->store_rejections *= OVER_KEPT;
  if (s->store_rejections > OVER_MANY && s->settings->next_store_write_rps < s->settings->store_write_rps) {
    if (g_get_monotonic_time() >= s->next_limits_until_us)
      g_message("the store refuses writes within its rate: %g a second from here on",
                s->settings->next_store_write_rps);
    s->next_limits_until_us = g_get_monotonic_time() + (gint64)(NEXT_S * 1e6);
  }
  gboolean next = g_get_monotonic_time() < s->next_limits_until_us;
  fk_rate_limiter_set_rates(
      s->store_limiter, MIN(1, LEND * share) * (next ? s->settings->next_store_rps : s->settings->store_rps),
      MIN(1, LEND_WRITES * writes) *
          (next ? s->settings->next_store_write_rps : s->settings->store_write_rps));
  drain(s);
  return G_SOURCE_CONTINUE;
}

/* How many descriptors the process may have: as many as sockets, where the system lets us. A limit that is
 * lower would be met by accepts and calls that fail. */
static double descriptors(rlim_t wanted) {
  struct rlimit r;
  if (getrlimit(RLIMIT_NOFILE, &r) < 0)
    return (double)wanted;
  if (r.rlim_cur < wanted) {
    rlim_t had = r.rlim_cur;
    r.rlim_cur = MIN(wanted, r.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &r) < 0)
      r.rlim_cur = had;
    if (r.rlim_cur < wanted)
      g_warning("door: the system allows %.0f descriptors, the settings %.0f sockets", (double)r.rlim_cur,
                (double)wanted);
  }
  return (double)r.rlim_cur;
}

FkDaemon *fk_daemon_new(const FkSettings *settings, GError **error) {
  FkDaemon *s = g_new0(FkDaemon, 1);
  s->settings = settings;
  guint32 seed = (guint32)g_get_real_time() ^ g_str_hash(settings->node) ^ g_random_int();
  /* distinct for every start of the process: names the life that a claim belongs to */
  g_autofree char *life =
      g_strdup_printf("%" G_GINT64_MODIFIER "x%04x", g_get_real_time() / 1000, seed & 0xffff);
  s->core = fk_controller_new(settings, life, seed, now());
  s->metrics = fk_process_metrics_new(settings->tuning.window_s);
  fk_cpu_profile_start(fk_controller_cpu_profile(s->core), fk_process_metrics_cpu_ns);
  s->paused_requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_object_unref);
  const FkAdmissionResources means = {MIN(settings->sockets, descriptors((rlim_t)settings->sockets)),
                                      settings->ram_mb, settings->peers->len};
  const FkAdmissionLimits l = fk_admission_limits_derive(&means, &settings->tuning.admission);
  s->store = fk_http_client_new(l.store_connections, l.store_connections, 60, l.store_response_bytes);
  s->workers = fk_http_client_new_for_many_hosts(l.worker_connections, l.response_bytes);
  s->cloud = fk_http_client_new(l.cloud_connections, l.cloud_connections, 60, l.response_bytes);
  s->peers = fk_http_client_new(l.peer_connections, 2, 60, l.response_bytes);
  watch_reach(s);
  s->store_limiter =
      fk_rate_limiter_new(settings->store_rps * 0.5, settings->store_write_rps * 0.5, 0.8,
                          FK_PRIORITY_RESULT + 1, FK_PRIORITY_USER + 1, 2000, store_send, store_shed, s);
  s->cloud_limiter =
      fk_rate_limiter_new(settings->cloud_rps * 0.7, 1, 1.0, 2, 0, 50, cloud_send, cloud_shed, s);
  s->api_server = soup_server_new("server-header", "flaxknot", NULL);
  soup_server_add_handler(s->api_server, NULL, on_request, s, NULL);
  s->peer_server = soup_server_new("server-header", "flaxknot", NULL);
  soup_server_add_handler(s->peer_server, NULL, on_mesh, s, NULL);
  s->server = fk_server_new(&l);
  if (!open_door(s, error)) {
    fk_daemon_free(s);
    return NULL;
  }
  s->tick_source = g_timeout_add(TICK_MS, on_tick, s);
  on_tick(s);
  return s;
}

static FkDaemon *turning; /* a poll function has no argument of its own */

/* What is waited for isn't processor time of any purpose; a turn is what lies between two waits. */
static gint measured_poll(GPollFD *fds, guint n, gint timeout) {
  FkCpuProfile *meter = fk_controller_cpu_profile(turning->core);
  FkCpuPurpose before = begin(turning, FK_CPU_IDLE);
  fk_process_metrics_iteration_end(turning->metrics, meter->last_ns, n);
  gint ready = g_poll(fds, n, timeout);
  end(turning, before);
  fk_process_metrics_iteration_begin(turning->metrics, meter->last_ns);
  return ready;
}

void fk_daemon_run(FkDaemon *s) {
  turning = s;
  g_main_context_set_poll_func(NULL, measured_poll);
  g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
  g_main_loop_run(loop);
}

void fk_daemon_free(FkDaemon *s) {
  if (!s)
    return;
  g_clear_handle_id(&s->tick_source, g_source_remove);
  soup_server_disconnect(s->api_server);
  g_object_unref(s->api_server);
  soup_server_disconnect(s->peer_server);
  g_object_unref(s->peer_server);
  fk_server_free(s->server);
  fk_dependency_health_free(s->dependency_health);
  g_hash_table_unref(s->peer_dependencies);
  fk_http_client_free(s->peers);
  fk_http_client_free(s->store);
  fk_http_client_free(s->workers);
  fk_http_client_free(s->cloud);
  fk_rate_limiter_free(s->store_limiter);
  fk_rate_limiter_free(s->cloud_limiter);
  g_hash_table_unref(s->paused_requests);
  fk_controller_free(s->core);
  fk_process_metrics_free(s->metrics);
  g_free(s);
}
