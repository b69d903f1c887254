/* Calls to the cloud provider: instance types, machines, provisioning and termination, within its rate. */
#include "daemon/daemon_internal.h"
#include "wire/cloud.h"

#define CALL_DEADLINE_S 4.0
#define LIST_PAGE_MACHINES 500
#define IDLE_CONNECTION_S 60

#define RATE_PART 0.7 /* of the cloud's rate that one controller uses at most */
#define BURST_S 1.0
#define QUEUE_MAX 50

/* The rate limiter's levels: lists of machines wait for all else. */
enum { LEVEL_DEFAULT, LEVEL_LIST_MACHINES, LEVELS };

/* ------------------------------------------------------------------ results */

static void on_instance_types_result(FkDaemon *daemon, FkOutcome outcome, const char *body, gsize len) {
  g_autoptr(GPtrArray) types = outcome == FK_OUTCOME_OK ? fk_cloud_parse_types(body, len) : NULL;
  if (types)
    g_ptr_array_set_free_func(types, NULL); /* the core takes them */
  fk_controller_instance_types_received(daemon->core, fk_daemon_now(), types ? outcome : FK_OUTCOME_UNKNOWN,
                                        types);
}

static void on_machines_result(FkDaemon *daemon, FkOutcome outcome, const char *body, gsize len) {
  gboolean more = FALSE;
  g_autoptr(GPtrArray) machines = outcome == FK_OUTCOME_OK ? fk_cloud_parse_machines(body, len, &more) : NULL;
  fk_controller_machines_received(daemon->core, fk_daemon_now(), machines ? outcome : FK_OUTCOME_UNKNOWN,
                                  machines, more);
}

static gboolean is_out_of_capacity(guint status, const char *body, gsize len) {
  return status == 503 && fk_cloud_is_no_capacity(body, len);
}

static void on_provision_result(FkPendingCall *call, guint status, const char *body, gsize len) {
  FkOutcome outcome = fk_outcome_from_status(status);
  g_autoptr(GPtrArray) names = outcome == FK_OUTCOME_OK ? fk_cloud_parse_machine_ids(body, len) : NULL;
  if (outcome == FK_OUTCOME_OK && !names)
    outcome = FK_OUTCOME_UNKNOWN;
  /* the provider has no such machines now, which isn't a failure of its interface */
  if (is_out_of_capacity(status, body, len))
    outcome = FK_OUTCOME_CONFLICT;
  fk_controller_provision_received(call->daemon->core, fk_daemon_now(), call->output->call, outcome, names);
}

static void on_result(FkPendingCall *call, guint status, const char *body, gsize len) {
  FkOutcome outcome = fk_outcome_from_status(status);
  switch (call->output->kind) {
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
    on_instance_types_result(call->daemon, outcome, body, len);
    break;
  case FK_OUTPUT_LIST_MACHINES:
    on_machines_result(call->daemon, outcome, body, len);
    break;
  case FK_OUTPUT_PROVISION:
    on_provision_result(call, status, body, len);
    break;
  case FK_OUTPUT_TERMINATE:
    fk_controller_terminate_received(call->daemon->core, fk_daemon_now(), call->output->call, outcome);
    break;
  case FK_OUTPUT_USER_REPLY:
  case FK_OUTPUT_HEARTBEAT_REPLY:
  case FK_OUTPUT_COMMIT:
  case FK_OUTPUT_GET:
  case FK_OUTPUT_LIST:
  case FK_OUTPUT_WATCH:
  case FK_OUTPUT_LEASE_GRANT:
  case FK_OUTPUT_LEASE_KEEPALIVE:
  case FK_OUTPUT_COMMANDS:
  case FK_OUTPUT_PEER_QUERY:
    g_assert_not_reached(); /* not the cloud's */
  }
  fk_pending_call_finish(call);
}

/* An FkHttpCallback. */
static void on_response(gpointer data, guint status, const char *body, gsize len) {
  FkPendingCall *call = data;
  fk_daemon_record_dependency(call->daemon, call->daemon->cloud.dependency,
                              is_out_of_capacity(status, body, len) ? 200 : status);
  on_result(call, status, body, len);
}

/* ------------------------------------------------------------------ requests */

typedef struct {
  const char *method;
  char *path, *body; /* body NULL: none */
} CloudRequest;

static void cloud_request_clear(CloudRequest *request) {
  g_free(request->path);
  g_free(request->body);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(CloudRequest, cloud_request_clear)

static char *machines_path(const FkOutput *output) {
  if (output->after && *output->after)
    return g_strdup_printf("/machines?after=%s&page=%d", output->after, LIST_PAGE_MACHINES);
  return g_strdup_printf("/machines?page=%d", LIST_PAGE_MACHINES);
}

static CloudRequest request_for(const FkOutput *output) {
  switch (output->kind) {
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
    return (CloudRequest){"GET", g_strdup("/machine_types"), NULL};
  case FK_OUTPUT_LIST_MACHINES:
    return (CloudRequest){"GET", machines_path(output), NULL};
  case FK_OUTPUT_PROVISION:
    return (CloudRequest){"POST", g_strdup("/machines"), fk_cloud_print_provision(output)};
  case FK_OUTPUT_TERMINATE:
    return (CloudRequest){"POST", g_strdup("/machines/return"), fk_cloud_print_terminate(output)};
  case FK_OUTPUT_USER_REPLY:
  case FK_OUTPUT_HEARTBEAT_REPLY:
  case FK_OUTPUT_COMMIT:
  case FK_OUTPUT_GET:
  case FK_OUTPUT_LIST:
  case FK_OUTPUT_WATCH:
  case FK_OUTPUT_LEASE_GRANT:
  case FK_OUTPUT_LEASE_KEEPALIVE:
  case FK_OUTPUT_COMMANDS:
  case FK_OUTPUT_PEER_QUERY:
    break;
  }
  g_assert_not_reached(); /* not the cloud's */
}

/* An FkRateLimiterCallback. */
static void send_now(gpointer data, gpointer item) {
  FkDaemon *daemon = data;
  FkOutput *output = item;
  g_auto(CloudRequest) request = request_for(output);
  fk_http_client_call(daemon->cloud.http, request.method, daemon->settings->cloud_addr, request.path,
                      request.body, CALL_DEADLINE_S, on_response, fk_pending_call_new(daemon, output));
}

static gboolean deliver_shed(gpointer call) {
  on_result(call, 429, "", 0);
  return G_SOURCE_REMOVE;
}

/* The queue is full: as if the cloud had refused, but not within the core's own call. An
 * FkRateLimiterCallback. */
static void shed(gpointer data, gpointer item) { g_idle_add(deliver_shed, fk_pending_call_new(data, item)); }

void fk_cloud_client_send(FkDaemon *daemon, FkOutput *output) {
  guint level = output->kind == FK_OUTPUT_LIST_MACHINES ? LEVEL_LIST_MACHINES : LEVEL_DEFAULT;
  fk_rate_limiter_submit(daemon->cloud.limiter, level, 0, output);
}

/* ------------------------------------------------------------------ the client */

void fk_cloud_client_init(FkDaemon *daemon, const FkAdmissionLimits *limits) {
  daemon->cloud.http = fk_http_client_new(limits->cloud_connections, limits->cloud_connections,
                                          IDLE_CONNECTION_S, limits->response_bytes);
  const FkRateLimiterOptions options = {.requests_per_s = daemon->settings->cloud_rps * RATE_PART,
                                        .writes_per_s = 1, /* no call of the cloud's counts as a write */
                                        .burst_s = BURST_S,
                                        .levels = LEVELS,
                                        .queue_max = QUEUE_MAX};
  daemon->cloud.limiter = fk_rate_limiter_new(&options, send_now, shed, daemon);
}

void fk_cloud_client_clear(FkCloudClient *cloud) {
  fk_http_client_free(cloud->http);
  fk_rate_limiter_free(cloud->limiter);
}
