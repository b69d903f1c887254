#include "simulation/scale/worker_stand_in.h"

#include "simulation/scale/addresses.h"
#include "simulation/scale/heartbeats.h"
#include "simulation/scale/stand_in_process.h"
#include "simulation/scale/worker_faults.h"

gboolean fk_worker_stand_in_open(FkWorkerStandIn *stand_in, const FkScalePlan *plan, guint region,
                                 guint process, GError **error) {
  FkSimulatedWorkers *workers = &stand_in->workers;
  stand_in->cloud = (FkCloudStandIn){0};
  if (!fk_simulated_workers_open(workers, plan, region, process, error))
    return FALSE;
  fk_heartbeats_open(workers);
  if (process == 0 && !fk_cloud_stand_in_open(&stand_in->cloud, workers, error))
    return FALSE;
  fk_event_queue_start_clock(workers->event_queue);
  return TRUE;
}

void fk_worker_stand_in_close(FkWorkerStandIn *stand_in) { fk_simulated_workers_close(&stand_in->workers); }

static void sample(gpointer workers) { fk_simulated_workers_sample(workers); }

int fk_worker_stand_in_run(const FkScalePlan *plan, guint region, guint process) {
  g_autoptr(GError) error = NULL;
  FkWorkerStandIn stand_in;
  FkSimulatedWorkers *workers = &stand_in.workers;
  if (!fk_worker_stand_in_open(&stand_in, plan, region, process, &error)) {
    g_autofree char *name = fk_scale_worker_process_name(region, process);
    return fk_stand_in_start_failed(name, error);
  }
  fk_simulated_workers_boot_initial(workers);
  fk_worker_faults_schedule(workers);
  fk_metrics_log_start(workers->metrics, sample, workers);
  fk_stand_in_run(plan);
  fk_worker_stand_in_close(&stand_in);
  return 0;
}
