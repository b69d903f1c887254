/* How a team's quota is kept when several controllers launch for the team. Serialized: every launch writes
 * the team's record and is guarded by it, so that launches commit one after another. Partitioned: the record
 * gives each controller a share, launches are only guarded by it, and each controller counts what it has
 * launched itself. Both ways the sum of allocations stays within the quota; docs/design.md, "quota". */
#pragma once
#include "core/controller_internal.h"

/* Moves teams between the two ways, and divides the shares anew when one is exhausted. */
void fk_quota_partition_tick(FkController *c);
