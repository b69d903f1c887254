/* A region's cloud on loopback (PROTOCOL, "Controller nodes -> cloud"): it starts simulated workers,
 * terminates them, and lists them with a delay. */
#pragma once
#include "simulation/scale/simulated_workers.h"

typedef struct {
  FkSimulatedWorkers *workers;
  SoupServer *server;
  FkStoreRateLimit rate_limit;
  GPtrArray *types;                 /* FkInstanceType */
  GHashTable *instances_by_request; /* name of an instance request -> GPtrArray of ids (borrowed) */
} FkCloudStandIn;

/* Serves from now on, for the rest of the process. FALSE with an error when its address can't be had. */
gboolean fk_cloud_stand_in_open(FkCloudStandIn *cloud, FkSimulatedWorkers *workers, GError **error);
