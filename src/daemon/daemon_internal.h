/* Internals of src/daemon: the daemon's state, and calls to other services that are in progress. */
#pragma once
#include <libsoup/soup.h>

#include "admission/dependency_health.h"
#include "daemon/daemon.h"
#include "daemon/process_metrics.h"
#include "daemon/rate_limiter.h"
#include "net/http_client.h"
#include "net/server.h"

/* Client of the key-value store. */
typedef struct {
  FkHttpClient *http;
  FkRateLimiter *limiter;
  guint dependency; /* index of the store in FkDaemon.dependency_health */
  /* Count of status 429 responses to transactions, retries included; decays at each tick. */
  double recent_rejections;
  /* Monotonic time until which the store is assumed to enforce the lower rates that the settings announce
   * (next_store_rps, next_store_write_rps); 0 if never set. */
  gint64 next_limits_until_us;
} FkStoreClient;

/* Client of the cloud provider. */
typedef struct {
  FkHttpClient *http;
  FkRateLimiter *limiter;
  guint dependency; /* index of the cloud in FkDaemon.dependency_health */
} FkCloudClient;

/* Client of the other controllers. */
typedef struct {
  FkHttpClient *http;
  GHashTable *dependencies; /* peer's name in the settings -> index in FkDaemon.dependency_health */
} FkPeerClient;

/* Requests of users and workers that haven't been responded to yet. */
typedef struct {
  guint64 last_id; /* id of the latest request */
  /* Request that has been passed to the core, and has been neither replied to nor paused yet. The request's
   * id is last_id. NULL if there is no current request. */
  SoupServerMessage *current;
  GHashTable *paused; /* requests that wait for the core's reply: id (guint64*) -> SoupServerMessage */
} FkOpenRequests;

struct FkDaemon {
  const FkSettings *settings;
  FkController *core;
  FkServer *server;
  /* Servers without listening sockets of their own: FkServer accepts each connection, and passes the
   * connection to one of these servers once a complete request has arrived. */
  SoupServer *api_server, *peer_server;
  FkOpenRequests requests;
  FkStoreClient store;
  FkCloudClient cloud;
  FkPeerClient peers;
  FkHttpClient *workers;
  FkDependencyHealth *dependency_health;
  /* Admission control's counters as of the latest log line of admission control. */
  FkAdmissionCounters admission_counters;
  gint64 admission_logged_us; /* monotonic time of the latest log line of admission control; 0 if none */
  FkProcessMetrics *metrics;
  guint tick_source;
  gint64 last_tick_us;          /* monotonic time of the latest tick; 0 before the first tick */
  gboolean dispatching_outputs; /* TRUE while fk_daemon_dispatch_outputs() runs */
};

static inline FkTime fk_daemon_now(void) { return (FkTime){g_get_monotonic_time()}; }

/* Charges the CPU time from now on to `purpose`. Returns the previous purpose; the caller passes the previous
 * purpose to fk_daemon_profile_leave(). */
static inline FkCpuPurpose fk_daemon_profile_enter(FkDaemon *daemon, FkCpuPurpose purpose) {
  return fk_cpu_profile_enter(fk_controller_cpu_profile(daemon->core), purpose);
}
/* Charges the CPU time from now on to `previous`, the result of fk_daemon_profile_enter(). */
static inline void fk_daemon_profile_leave(FkDaemon *daemon, FkCpuPurpose previous) {
  fk_cpu_profile_leave(fk_controller_cpu_profile(daemon->core), previous);
}

/* ---- outputs.c ---- */
/* Dispatches all queued outputs of the core: replies to users and workers, and calls to other services. Must
 * be called after each input to the core. A reentrant call does nothing, because the outer call also
 * dispatches the new outputs. */
void fk_daemon_dispatch_outputs(FkDaemon *daemon);

/* ---- pending_call.c ---- */
/* An HTTP call that carries out one output of the core. */
typedef struct {
  FkDaemon *daemon;
  FkOutput *output; /* owned */
  FkTime sent_at;
} FkPendingCall;

/* Creates a call and sets `sent_at` to the present time. Takes ownership of `output`. */
FkPendingCall *fk_pending_call_new(FkDaemon *daemon, FkOutput *output);
/* Frees the call and its output, and dispatches the outputs that the core has queued, for instance because of
 * the call's result. */
void fk_pending_call_finish(FkPendingCall *call);
/* Frees the call and returns its output, which the caller owns. */
FkOutput *fk_pending_call_steal_output(FkPendingCall *call);
/* Maps the HTTP status of a call (0 if there was no response) to the call's outcome. */
FkOutcome fk_outcome_from_status(guint status);

/* ---- dependencies.c ---- */
/* Registers the store, the cloud and the peers as dependencies. */
void fk_daemon_add_dependencies(FkDaemon *daemon);
/* Records the result of a call to a dependency: the HTTP status, or 0 if there was no response. Only a
 * missing response and status 503 count as failures. */
void fk_daemon_record_dependency(FkDaemon *daemon, guint dependency, guint status);
/* Logs outages and recoveries of dependencies. A lasting outage is logged again once per window. */
void fk_daemon_log_dependencies(FkDaemon *daemon);

/* ---- store_client.c ---- */
void fk_store_client_init(FkDaemon *daemon, const FkAdmissionLimits *limits);
void fk_store_client_clear(FkStoreClient *store);
/* Sends a commit, read, list, watch or lease call. Commits and reads pass through the rate limiter, which may
 * delay or shed the call. A watch is sent after the output's `delay_s`. Takes ownership of `output`. */
void fk_store_client_send(FkDaemon *daemon, FkOutput *output);
/* Passes to the core the number of writes at level FK_PRIORITY_LAUNCH that the rate limiter would send
 * without waiting. */
void fk_store_client_update_write_capacity(FkDaemon *daemon);
/* Sets the rates of the store's rate limiter from this controller's shares and the limits that the store is
 * currently assumed to enforce. Must be called once per tick, because each call decays recent_rejections. */
void fk_store_client_update_rates(FkDaemon *daemon);

/* ---- cloud_client.c ---- */
void fk_cloud_client_init(FkDaemon *daemon, const FkAdmissionLimits *limits);
void fk_cloud_client_clear(FkCloudClient *cloud);
/* Passes a list, provision or terminate call to the rate limiter, which may delay or shed the call. Takes
 * ownership of `output`. */
void fk_cloud_client_send(FkDaemon *daemon, FkOutput *output);

/* ---- worker_client.c ---- */
/* Sends commands to one worker. Takes ownership of `output`. */
void fk_worker_client_send(FkDaemon *daemon, FkOutput *output);

/* ---- peers.c ---- */
/* Asks a peer how far the peer has followed the store's changes (FkPeerProgress). Takes ownership of
 * `output`. */
void fk_peer_client_send(FkDaemon *daemon, FkOutput *output);
/* Serves a request of another controller. A SoupServerCallback; `daemon` is an FkDaemon. */
void fk_daemon_on_peer_request(SoupServer *server, SoupServerMessage *message, const char *path,
                               GHashTable *query, gpointer daemon);

/* ---- api_requests.c ---- */
void fk_open_requests_init(FkOpenRequests *requests);
void fk_open_requests_clear(FkOpenRequests *requests);
/* Serves a request of a user, a worker or a health check. A SoupServerCallback; `daemon` is an FkDaemon. */
void fk_daemon_on_api_request(SoupServer *server, SoupServerMessage *message, const char *path,
                              GHashTable *query, gpointer daemon);
/* Sends the core's reply to a user or worker; does nothing if the client has disconnected. */
void fk_daemon_reply(FkDaemon *daemon, const FkOutput *output);
/* Sets the response to a request. Takes ownership of `body` (JSON). If `retry_after_s` is above 0 and the
 * status is 429 or higher, adds a Retry-After header of `retry_after_s` (rounded down), but at least 1 s. */
void fk_daemon_respond(SoupServerMessage *message, guint status, char *body, double retry_after_s);
