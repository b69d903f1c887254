/* Checks of a team's quota against the view and the reservations of this controller. */
#pragma once
#include "core/controller_internal.h"

/* Returns whether this controller may allocate `tasks` more tasks: by what is left of the quota or, while the
 * quota is partitioned, of its own share. If only the share is too small, marks it as exhausted in the team's
 * usage, so that the shares are recomputed (quota_partition.h). */
gboolean fk_team_quota_allows_tasks(FkController *c, const FkSpec *spec, guint32 tasks);

/* Returns whether this controller may allocate one more task; see fk_team_quota_allows_tasks(). */
gboolean fk_team_quota_allows_task(FkController *c, const FkSpec *spec);

/* Returns whether the team's whole quota allows one more task, whichever controller launches it. Doesn't mark
 * the share as exhausted. */
gboolean fk_team_quota_is_available(FkController *c, const FkSpec *spec);
