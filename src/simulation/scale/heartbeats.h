/* The exchange between simulated workers and controllers (PROTOCOL, "Workers -> controller nodes" and
 * "Controller nodes -> workers"): heartbeats with their replies, and direct commands. */
#pragma once
#include "simulation/scale/simulated_workers.h"
#include "wire/worker.h"

/* POST to a worker's address from the process with the cloud: the worker is terminated. */
#define FK_WORKER_TERMINATE_PATH "/returned"

/* Workers that boot from now on send heartbeats and accept commands. */
void fk_heartbeats_open(FkSimulatedWorkers *workers);
/* Executes direct commands if their token and incarnation match, and returns whether they do. */
gboolean fk_heartbeats_execute_commands(FkSimulatedWorkers *workers, FkSimulatedWorker *worker,
                                        const FkWorkerCommands *request);
