/* Names and loopback addresses of a scale run, which follow from the plan. Addresses are "IP:PORT"; the
 * caller frees every result. */
#pragma once
#include "simulation/scale/plan.h"

char *fk_scale_store_addr(const FkScalePlan *plan, guint region);
char *fk_scale_cloud_addr(const FkScalePlan *plan, guint region);
/* Where a controller serves users and workers. */
char *fk_scale_user_addr(const FkScalePlan *plan, guint region, guint controller);
/* Where a controller serves its peers. */
char *fk_scale_peer_addr(const FkScalePlan *plan, guint region, guint controller);
/* `worker` counts the workers that were created in the region. */
char *fk_scale_worker_addr(const FkScalePlan *plan, guint region, guint worker);
char *fk_scale_zone(guint region, guint zone);
char *fk_scale_controller_name(guint region, guint controller);
/* The base name of a worker process's output files. */
char *fk_scale_worker_process_name(guint region, guint process);
