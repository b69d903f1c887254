/* Internals of the controller, shared between the source files of the core. The state of each component is
 * declared in the component's own header. */
#pragma once
#include "core/api/cancellation_barrier.h"
#include "core/api/requests.h"
#include "core/autoscaler/autoscaler.h"
#include "core/controller_status.h"
#include "core/cpu_profile.h"
#include "core/leader/leader.h"
#include "core/messages.h"
#include "core/scheduling/launches.h"
#include "core/shards/shards.h"
#include "core/state/job_dependencies.h"
#include "core/store_session/calls.h"
#include "core/store_session/read_freshness.h"
#include "core/store_session/session.h"
#include "core/workers/workers.h"

/* Tolerance for comparing amounts of resources, which are sums of fractions. */
#define FK_AMOUNT_EPSILON 1e-6
/* The priority of a starving class or team is raised only while the class or team uses less than this share
 * of all machines' CPUs. */
#define FK_SERVICE_FLOOR_SHARE 0.05
/* Relative drift between two clocks, each of which may be off by 0.05%, plus a margin. */
#define FK_CLOCK_DRIFT 0.0012
/* Time from the end of a lease until the lease counts as expired. */
#define FK_LEASE_MARGIN_S 2.0

/* The controller's state machine, composed of the states of its components. */
struct FkController {
  const FkSettings *settings;
  char *incarnation; /* identifies this start of the controller */
  GRand *rand;
  FkTime now; /* time of the input that is being handled */
  FkTime started_at;
  FkView *view;
  FkCpuProfile cpu_profile;
  GQueue *outputs; /* FkOutput, in the order in which they must be carried out */
  FkCalls calls;
  FkStoreSession store_session;
  FkPendingRequests requests;
  FkWorkerPool workers;
  FkShardWrites shards;
  FkCompletions completions;
  FkLaunches launches;
  FkWindow window;
  FkLeadership leader;
  FkAutoscaling autoscaling;
};

/* Runs `fn` and charges its CPU time to a purpose. */
void fk_cpu_profile_run(FkController *c, FkCpuPurpose purpose, void (*fn)(FkController *));
