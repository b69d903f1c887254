/* How a team's quota is enforced when several controllers launch tasks for the team. Serialized: every launch
 * writes the team's record and is guarded by it, so that launches commit one after another. Partitioned: the
 * record gives each controller a share. Launches are guarded by the record but don't write it, and each
 * controller accounts for its own launches. In both modes the sum of allocations stays within the quota; see
 * docs/design.md, "quota". */
#pragma once
#include "core/controller_internal.h"

/* Switches teams between the two modes. Starts a recomputation of a team's shares if this controller's share
 * is exhausted. */
void fk_quota_partition_tick(FkController *c);
