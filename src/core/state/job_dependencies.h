/* The parts of job dependencies that need the store or the other controllers; the graph itself is in
 * dependency_graph/. */
#pragma once
#include "core/messages.h"

/* Returns whether every controller in the settings last started with a version that supports dependencies.
 * Records in formats that only such versions can read are written only if this function returns TRUE. */
gboolean fk_job_dependencies_are_supported(FkController *c);
/* Requests the terminal states of dependencies that the view lacks, and lets dependencies inherit the
 * priorities and deadlines of their dependents. */
void fk_job_dependencies_tick(FkController *c);
