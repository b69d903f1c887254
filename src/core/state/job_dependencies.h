/* The parts of job dependencies that need the store or the other controllers; the graph itself is in
 * dependency_graph/. */
#pragma once
#include "core/messages.h"

/* Returns whether every controller in the settings last started with a version that supports dependencies.
 * Records in formats that only such versions can read are written only if this function returns TRUE. */
gboolean fk_job_dependencies_are_supported(FkController *c);
/* Requests the unknown terminal states of dependencies, and propagates priorities and deadlines from jobs to
 * their dependencies. Each call does only the part of this work that is due. */
void fk_job_dependencies_tick(FkController *c);
