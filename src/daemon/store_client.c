/* Calls to the key-value store: transactions, reads, lists, watches and leases, within the store's request
 * and write rates. */
#include "daemon/daemon_internal.h"
#include "wire/store.h"

#define CALL_DEADLINE_S 2.0
#define LIST_DEADLINE_S 5.0
#define WATCH_DEADLINE_MARGIN_S 3.0 /* past the time that the store may keep a watch open */
#define LIST_PAGE_RECORDS 1000
#define IDLE_CONNECTION_S 60
#define RETRIES_MAX 6 /* times that a request over the store's rate is sent again */

#define QUEUE_MAX 2000
#define BURST_S 0.8
#define INITIAL_SHARE 0.5 /* of the rates, until the core knows how many controllers there are */
/* A controller may use somewhat more than its share of the requests, as not all need theirs at once. Writes
 * are what users wait for, and must find room. */
#define REQUEST_OVERCOMMIT 1.2
#define WRITE_OVERCOMMIT 1.0

#define REJECTION_DECAY 0.98     /* a tick: the count halves in 3.4 s */
#define REJECTIONS_MAX 6         /* more, of a controller that keeps to its share: the limits have changed */
#define NEXT_LIMITS_RECHECK_S 60 /* then the present limits are tried again */

#define LOGGED_BODY_BYTES 300

/* ------------------------------------------------------------------ results */

static void on_commit_result(FkPendingCall *call, FkOutcome outcome, const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  g_autoptr(GPtrArray) failed = fk_store_parse_failed(json);
  if (!json && (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT))
    outcome = FK_OUTCOME_UNKNOWN;
  fk_controller_commit_received(call->daemon->core, fk_daemon_now(), call->output->call, outcome,
                                fk_store_parse_revision(json), failed);
}

static void on_get_result(FkPendingCall *call, FkOutcome outcome, const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  FkStoreEvent *event = outcome == FK_OUTCOME_OK ? fk_store_parse_item(json) : NULL;
  if (outcome == FK_OUTCOME_OK && !event)
    outcome = FK_OUTCOME_UNKNOWN;
  fk_controller_get_received(call->daemon->core, fk_daemon_now(), call->output->call, outcome, event);
}

static void on_events_result(FkPendingCall *call, FkOutcome outcome, const char *body, gsize len) {
  FkDaemon *daemon = call->daemon;
  gboolean is_list = call->output->kind == FK_OUTPUT_LIST;
  gboolean more = FALSE;
  FkRev epoch = {0};
  g_autoptr(GPtrArray) events = NULL;
  FkCpuPurpose before = fk_daemon_profile_enter(daemon, FK_CPU_DECODE);
  if (outcome == FK_OUTCOME_OK)
    events =
        is_list ? fk_store_parse_list(body, len, &more, &epoch) : fk_store_parse_watch(body, len, &epoch);
  fk_daemon_profile_leave(daemon, before);
  if (!events) {
    if (outcome == FK_OUTCOME_OK)
      outcome = FK_OUTCOME_UNKNOWN;
    events = g_ptr_array_new();
  }
  if (is_list)
    fk_controller_list_received(daemon->core, fk_daemon_now(), outcome, events, more, epoch);
  else
    fk_controller_watch_received(daemon->core, fk_daemon_now(), outcome, events, epoch, call->sent_at);
}

static void on_lease_grant_result(FkPendingCall *call, FkOutcome outcome, const char *body, gsize len) {
  g_autoptr(cJSON) json = fk_json_parse(body, len);
  FkRev lease = {0};
  if (outcome == FK_OUTCOME_OK && !fk_store_parse_lease(json, &lease))
    outcome = FK_OUTCOME_UNKNOWN;
  fk_controller_lease_grant_received(call->daemon->core, fk_daemon_now(), outcome, lease, call->sent_at);
}

static void deliver_result(FkPendingCall *call, FkOutcome outcome, const char *body, gsize len) {
  switch (call->output->kind) {
  case FK_OUTPUT_COMMIT:
    on_commit_result(call, outcome, body, len);
    break;
  case FK_OUTPUT_GET:
    on_get_result(call, outcome, body, len);
    break;
  case FK_OUTPUT_LIST:
  case FK_OUTPUT_WATCH:
    on_events_result(call, outcome, body, len);
    break;
  case FK_OUTPUT_LEASE_GRANT:
    on_lease_grant_result(call, outcome, body, len);
    break;
  case FK_OUTPUT_LEASE_KEEPALIVE:
    fk_controller_lease_keepalive_received(call->daemon->core, fk_daemon_now(), outcome, call->sent_at);
    break;
  case FK_OUTPUT_USER_REPLY:
  case FK_OUTPUT_HEARTBEAT_REPLY:
  case FK_OUTPUT_COMMANDS:
  case FK_OUTPUT_PEER_QUERY:
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
  case FK_OUTPUT_PROVISION:
  case FK_OUTPUT_TERMINATE:
  case FK_OUTPUT_LIST_MACHINES:
    g_assert_not_reached(); /* not the store's */
  }
}

static FkTransactionPriority priority_of(const FkOutput *output) {
  return output->kind == FK_OUTPUT_GET ? FK_PRIORITY_USER : output->priority;
}

static guint writes_of(const FkOutput *output) {
  return output->kind == FK_OUTPUT_GET ? 0 : output->writes->len;
}

/* Only transactions and reads wait for the rate limiter, and may go through it again. */
static gboolean may_retry(FkOutput *output) {
  return (output->kind == FK_OUTPUT_COMMIT || output->kind == FK_OUTPUT_GET) &&
         output->rate_limit_retries++ < RETRIES_MAX;
}

static void on_result(FkPendingCall *call, guint status, const char *body, gsize len) {
  FkDaemon *daemon = call->daemon;
  FkOutcome outcome = fk_outcome_from_status(status);
  fk_store_client_update_write_capacity(daemon);
  if (status == 429 && call->output->kind == FK_OUTPUT_COMMIT)
    daemon->store.recent_rejections += 1;
  if (status == 429 && may_retry(call->output)) {
    FkOutput *output = fk_pending_call_steal_output(call);
    fk_rate_limiter_requeue(daemon->store.limiter, priority_of(output), writes_of(output), output);
    return;
  }
  if (outcome == FK_OUTCOME_INVALID)
    g_warning("store call invalid response=%.*s", (int)MIN(len, LOGGED_BODY_BYTES), body);
  deliver_result(call, outcome, body, len);
  fk_pending_call_finish(call);
}

/* An FkHttpCallback. Calls that our own rate limiter has refused don't come here: they say nothing about the
 * store. */
static void on_response(gpointer data, guint status, const char *body, gsize len) {
  FkPendingCall *call = data;
  fk_daemon_record_dependency(call->daemon, call->daemon->store.dependency, status);
  on_result(call, status, body, len);
}

/* ------------------------------------------------------------------ requests */

typedef struct {
  const char *method;
  char *path, *body; /* body NULL: none */
  double deadline_s;
} StoreRequest;

static void store_request_clear(StoreRequest *request) {
  g_free(request->path);
  g_free(request->body);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(StoreRequest, store_request_clear)

static char *print_commit(FkDaemon *daemon, const FkOutput *output) {
  FkCpuPurpose before = fk_daemon_profile_enter(daemon, FK_CPU_ENCODE);
  char *body = fk_store_print_commit(output);
  fk_daemon_profile_leave(daemon, before);
  return body;
}

static char *list_path(const FkOutput *output) {
  g_autofree char *after = output->after ? g_strdup_printf("&after=%s", output->after) : g_strdup("");
  return g_strdup_printf("/store?prefix=%s%s&page=%d", output->path, after, LIST_PAGE_RECORDS);
}

static StoreRequest request_for(FkDaemon *daemon, const FkOutput *output) {
  switch (output->kind) {
  case FK_OUTPUT_COMMIT:
    fk_controller_transaction_sent(daemon->core, fk_daemon_now(), output->call);
    return (StoreRequest){"POST", g_strdup("/commit"), print_commit(daemon, output), CALL_DEADLINE_S};
  case FK_OUTPUT_GET:
    return (StoreRequest){"GET", g_strdup_printf("/store/%s", output->path), NULL, CALL_DEADLINE_S};
  case FK_OUTPUT_LIST:
    return (StoreRequest){"GET", list_path(output), NULL, LIST_DEADLINE_S};
  case FK_OUTPUT_WATCH:
    return (StoreRequest){"GET",
                          g_strdup_printf("/watch?prefix=%s&after=%" G_GUINT64_FORMAT "&block_ms=%d",
                                          output->path, output->rev.n, (int)(output->seconds * 1000)),
                          NULL, output->seconds + WATCH_DEADLINE_MARGIN_S};
  case FK_OUTPUT_LEASE_GRANT:
    return (StoreRequest){"POST", g_strdup("/holds"), fk_store_print_ttl(output->seconds), CALL_DEADLINE_S};
  case FK_OUTPUT_LEASE_KEEPALIVE:
    return (StoreRequest){"POST", g_strdup_printf("/holds/%" G_GUINT64_FORMAT "/renew", output->rev.n),
                          g_strdup("{}"), CALL_DEADLINE_S};
  case FK_OUTPUT_USER_REPLY:
  case FK_OUTPUT_HEARTBEAT_REPLY:
  case FK_OUTPUT_COMMANDS:
  case FK_OUTPUT_PEER_QUERY:
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
  case FK_OUTPUT_PROVISION:
  case FK_OUTPUT_TERMINATE:
  case FK_OUTPUT_LIST_MACHINES:
    break;
  }
  g_assert_not_reached(); /* not the store's */
}

/* Sends the request now. An FkRateLimiterCallback. */
static void send_now(gpointer data, gpointer item) {
  FkDaemon *daemon = data;
  FkOutput *output = item;
  g_auto(StoreRequest) request = request_for(daemon, output);
  fk_http_client_call(daemon->store.http, request.method, daemon->settings->store_addr, request.path,
                      request.body, request.deadline_s, on_response, fk_pending_call_new(daemon, output));
}

static gboolean deliver_shed(gpointer call) {
  on_result(call, 503, "", 0);
  return G_SOURCE_REMOVE;
}

/* The queue is full: as if the store had refused, but not within the core's own call. An
 * FkRateLimiterCallback. */
static void shed(gpointer data, gpointer item) { g_idle_add(deliver_shed, fk_pending_call_new(data, item)); }

static gboolean send_delayed_watch(gpointer data) {
  FkPendingCall *call = data;
  FkDaemon *daemon = call->daemon;
  fk_rate_limiter_charge(daemon->store.limiter);
  send_now(daemon, fk_pending_call_steal_output(call));
  return G_SOURCE_REMOVE;
}

void fk_store_client_send(FkDaemon *daemon, FkOutput *output) {
  FkStoreClient *store = &daemon->store;
  if (output->kind == FK_OUTPUT_COMMIT || output->kind == FK_OUTPUT_GET) {
    fk_rate_limiter_submit(store->limiter, priority_of(output), writes_of(output), output);
  } else if (output->kind == FK_OUTPUT_WATCH) {
    g_timeout_add((guint)(output->delay_s * 1000), send_delayed_watch, fk_pending_call_new(daemon, output));
  } else { /* few, and nothing works without them */
    fk_rate_limiter_charge(store->limiter);
    send_now(daemon, output);
  }
}

/* ------------------------------------------------------------------ rates */

void fk_store_client_update_write_capacity(FkDaemon *daemon) {
  fk_controller_set_write_capacity(
      daemon->core, fk_rate_limiter_available_writes(daemon->store.limiter, FK_PRIORITY_LAUNCH));
}

/* The next limits hold from some moment on, without notice: rejections of writes within the present rate
 * tell.
 */
static gboolean next_limits_in_force(FkDaemon *daemon) {
  FkStoreClient *store = &daemon->store;
  const FkSettings *settings = daemon->settings;
  store->recent_rejections *= REJECTION_DECAY;
  if (store->recent_rejections > REJECTIONS_MAX &&
      settings->next_store_write_rps < settings->store_write_rps) {
    if (g_get_monotonic_time() >= store->next_limits_until_us)
      g_message("store write rate lowered writes_per_s=%g reason=\"writes within the rate are refused\"",
                settings->next_store_write_rps);
    store->next_limits_until_us = g_get_monotonic_time() + NEXT_LIMITS_RECHECK_S * G_USEC_PER_SEC;
  }
  return g_get_monotonic_time() < store->next_limits_until_us;
}

void fk_store_client_update_rates(FkDaemon *daemon) {
  const FkSettings *settings = daemon->settings;
  double request_share = fk_controller_request_share(daemon->core);
  double write_share = fk_controller_write_share(daemon->core);
  gboolean next = next_limits_in_force(daemon);
  double requests_per_s = next ? settings->next_store_rps : settings->store_rps;
  double writes_per_s = next ? settings->next_store_write_rps : settings->store_write_rps;
  fk_rate_limiter_set_rates(daemon->store.limiter,
                            MIN(1, REQUEST_OVERCOMMIT * request_share) * requests_per_s,
                            MIN(1, WRITE_OVERCOMMIT * write_share) * writes_per_s);
}

/* ------------------------------------------------------------------ the client */

void fk_store_client_init(FkDaemon *daemon, const FkAdmissionLimits *limits) {
  const FkSettings *settings = daemon->settings;
  daemon->store.http = fk_http_client_new(limits->store_connections, limits->store_connections,
                                          IDLE_CONNECTION_S, limits->store_response_bytes);
  const FkRateLimiterOptions options = {.requests_per_s = settings->store_rps * INITIAL_SHARE,
                                        .writes_per_s = settings->store_write_rps * INITIAL_SHARE,
                                        .burst_s = BURST_S,
                                        .levels = FK_PRIORITY_RESULT + 1,
                                        .urgent_levels = FK_PRIORITY_USER + 1,
                                        .queue_max = QUEUE_MAX};
  daemon->store.limiter = fk_rate_limiter_new(&options, send_now, shed, daemon);
}

void fk_store_client_clear(FkStoreClient *store) {
  fk_http_client_free(store->http);
  fk_rate_limiter_free(store->limiter);
}
