/* The process that plays a region's workers, or its share of them; process 0 of a region has the cloud, too,
 * and plays the workers that the cloud starts. What has finished is known to one process only: a task that is
 * started again on a worker of another one, because its end was never reported, runs its whole time again. */
#pragma once
#include "simulation/scale/cloud_stand_in.h"
#include "simulation/scale/plan.h"
#include "simulation/scale/simulated_workers.h"

typedef struct {
  FkSimulatedWorkers workers;
  FkCloudStandIn cloud; /* of process 0 */
} FkWorkerStandIn;

/* No workers yet; the event queue runs by the clock. FALSE with an error when a file or an address can't be
 * had. `stand_in` must not be moved afterwards. */
gboolean fk_worker_stand_in_open(FkWorkerStandIn *stand_in, const FkScalePlan *plan, guint region,
                                 guint process, GError **error);
/* Its files are complete, and no events happen any more. */
void fk_worker_stand_in_close(FkWorkerStandIn *stand_in);

/* Plays until the run is over; returns an exit status. */
int fk_worker_stand_in_run(const FkScalePlan *plan, guint region, guint process);
