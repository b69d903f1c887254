/* Dependencies between jobs, as far as the store and the other controllers are needed. */
#pragma once
#include "core/messages.h"

/* Every controller of the settings last started in a version that knows dependencies. What only such a
 * version can read is written from then on. */
gboolean fk_job_dependencies_are_supported(FkController *c);
/* Reads terminal states that the view lacks, and passes priorities and deadlines on to dependencies. */
void fk_job_dependencies_tick(FkController *c);
