/* The controller as a whole, shared between the core's own files: its parts, each in a header of its own that
 * says who owns it. */
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

#define FK_AMOUNT_EPSILON 1e-6 /* amounts are sums of fractions */
/* Of all machines' CPUs: a class or team that starves is lifted up to this share, and left there. */
#define FK_SERVICE_FLOOR_SHARE 0.05
#define FK_CLOCK_DRIFT 0.0012 /* relative: of two clocks, each off by 0.05%, and a little */
#define FK_LEASE_MARGIN_S 2.0 /* beyond the length of a lease, before it counts as expired */

/* The state machine as a whole: it only holds its parts together. */
struct FkController {
  const FkSettings *settings;
  char *incarnation; /* differs from one start of the controller to the next */
  GRand *rand;
  FkTime now; /* as of the input that is being handled */
  FkTime started_at;
  FkView *view;
  FkCpuProfile cpu_profile;
  GQueue *outputs; /* FkOutput, in the order in which they are to be carried out */
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

/* Runs a function with its processor time charged to a purpose. */
void fk_cpu_profile_run(FkController *c, FkCpuPurpose what, void (*fn)(FkController *));
