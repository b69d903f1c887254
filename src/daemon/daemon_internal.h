/* What the files of the daemon share: its state, and the calls to other services that are under way. Private
 * to src/daemon. */
#pragma once
#include <libsoup/soup.h>

#include "admission/dependency_health.h"
#include "daemon/daemon.h"
#include "daemon/process_metrics.h"
#include "daemon/rate_limiter.h"
#include "net/http_client.h"
#include "net/server.h"

/* Calls to the key-value store. */
typedef struct {
  FkHttpClient *http;
  FkRateLimiter *limiter;
  guint dependency;            /* its index in FkDaemon.dependency_health */
  double recent_rejections;    /* transactions refused as over the store's rate, decaying with each tick */
  gint64 next_limits_until_us; /* until then the announced next rates are taken to be in force */
} FkStoreClient;

/* Calls to the cloud provider. */
typedef struct {
  FkHttpClient *http;
  FkRateLimiter *limiter;
  guint dependency;
} FkCloudClient;

/* Calls to the other controllers. */
typedef struct {
  FkHttpClient *http;
  GHashTable *dependencies; /* name (the settings') -> index in FkDaemon.dependency_health */
} FkPeerClient;

/* Requests of users and workers that have no reply yet. */
typedef struct {
  guint64 last_id;
  SoupServerMessage *current; /* the request whose handler runs now; its id is last_id; NULL: replied to */
  GHashTable *paused;         /* id -> SoupServerMessage: those that the core answers later */
} FkOpenRequests;

struct FkDaemon {
  const FkSettings *settings;
  FkController *core;
  FkServer *server;
  /* These listen nowhere themselves: FkServer hands them the connections with a complete request. */
  SoupServer *api_server, *peer_server;
  FkOpenRequests requests;
  FkStoreClient store;
  FkCloudClient cloud;
  FkPeerClient peers;
  FkHttpClient *workers;
  FkDependencyHealth *dependency_health;
  FkAdmissionCounters admission_counters; /* as of the latest log line */
  gint64 admission_logged_us;
  FkProcessMetrics *metrics;
  guint tick_source;
  gint64 last_tick_us; /* 0: none yet */
  gboolean running_outputs;
};

static inline FkTime fk_daemon_now(void) { return (FkTime){g_get_monotonic_time()}; }

/* Charges CPU time from here on to `purpose`; the result is for fk_daemon_profile_leave(). */
static inline FkCpuPurpose fk_daemon_profile_enter(FkDaemon *daemon, FkCpuPurpose purpose) {
  return fk_cpu_profile_enter(fk_controller_cpu_profile(daemon->core), purpose);
}
static inline void fk_daemon_profile_leave(FkDaemon *daemon, FkCpuPurpose before) {
  fk_cpu_profile_leave(fk_controller_cpu_profile(daemon->core), before);
}

/* ---- outputs.c ---- */
/* Carries out all that the core wants done. To be called after each input; reentrant calls do nothing, the
 * outer one goes on. */
void fk_daemon_run_outputs(FkDaemon *daemon);

/* ---- pending_call.c ---- */
/* An HTTP call that carries out one output. */
typedef struct {
  FkDaemon *daemon;
  FkOutput *output; /* owned */
  FkTime sent_at;
} FkPendingCall;

/* Takes `output`. */
FkPendingCall *fk_pending_call_new(FkDaemon *daemon, FkOutput *output);
/* Frees the call with its output and runs the outputs that its result has led to. */
void fk_pending_call_finish(FkPendingCall *call);
/* Frees the call, and gives its output back to the caller. */
FkOutput *fk_pending_call_steal_output(FkPendingCall *call);
/* What an HTTP status (0: no response) says about whether a call was carried out. */
FkOutcome fk_outcome_from_status(guint status);

/* ---- dependencies.c ---- */
/* Registers the store, the cloud and the peers. */
void fk_daemon_add_dependencies(FkDaemon *daemon);
/* A dependency was called, with that HTTP status (0: no response). */
void fk_daemon_record_dependency(FkDaemon *daemon, guint dependency, guint status);
/* Logs which dependencies became unreachable or recovered. */
void fk_daemon_log_dependencies(FkDaemon *daemon);

/* ---- store_client.c ---- */
void fk_store_client_init(FkDaemon *daemon, const FkAdmissionLimits *limits);
void fk_store_client_clear(FkStoreClient *store);
/* Takes `output`: a commit, read, list, watch or lease call. */
void fk_store_client_send(FkDaemon *daemon, FkOutput *output);
/* Tells the core how many writes it could have sent at once. */
void fk_store_client_update_write_capacity(FkDaemon *daemon);
/* Adapts the rates to this controller's share, and to the limits that the store seems to enforce. */
void fk_store_client_update_rates(FkDaemon *daemon);

/* ---- cloud_client.c ---- */
void fk_cloud_client_init(FkDaemon *daemon, const FkAdmissionLimits *limits);
void fk_cloud_client_clear(FkCloudClient *cloud);
/* Takes `output`: a list, provision or terminate call. */
void fk_cloud_client_send(FkDaemon *daemon, FkOutput *output);

/* ---- worker_client.c ---- */
/* Takes `output`: commands for one worker. */
void fk_worker_client_send(FkDaemon *daemon, FkOutput *output);

/* ---- peers.c ---- */
/* Takes `output`: a query of a peer's progress. */
void fk_peer_client_send(FkDaemon *daemon, FkOutput *output);
/* Handles the requests of other controllers: a SoupServerCallback, `daemon` an FkDaemon. */
void fk_daemon_on_peer_request(SoupServer *server, SoupServerMessage *message, const char *path,
                               GHashTable *query, gpointer daemon);

/* ---- api_requests.c ---- */
void fk_open_requests_init(FkOpenRequests *requests);
void fk_open_requests_clear(FkOpenRequests *requests);
/* Handles the requests of users, workers and health checks: a SoupServerCallback, `daemon` an FkDaemon. */
void fk_daemon_on_api_request(SoupServer *server, SoupServerMessage *message, const char *path,
                              GHashTable *query, gpointer daemon);
/* Sends the core's reply to a user or worker. */
void fk_daemon_reply(FkDaemon *daemon, const FkOutput *output);
/* Sets the response to a request. `body` (JSON) is taken; `retry_after_s` 0: no such header. */
void fk_daemon_respond(SoupServerMessage *message, guint status, char *body, double retry_after_s);
