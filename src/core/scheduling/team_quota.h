/* Checks of a team's quota against the view and the reservations of this controller. */
#pragma once
#include "core/controller_internal.h"

/* Returns whether this controller may allocate `tasks` more tasks of `spec`. The limit is what is left of the
 * team's quota or, while the quota is partitioned, of this controller's share of it. If only the share is too
 * small, marks the share as exhausted in the team's usage, so that the shares are recomputed
 * (quota_partition.h). */
gboolean fk_team_quota_allows_tasks(FkController *c, const FkSpec *spec, guint32 tasks);

/* Returns whether this controller may allocate one more task; see fk_team_quota_allows_tasks(). */
gboolean fk_team_quota_allows_task(FkController *c, const FkSpec *spec);

/* Returns whether the team's whole quota allows one more task of `spec`, whichever controller launches it.
 * Doesn't mark this controller's share as exhausted. */
gboolean fk_team_quota_is_available(FkController *c, const FkSpec *spec);
