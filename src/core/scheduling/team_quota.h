/* Whether a team's quota leaves room for further tasks, by the view and the reservations of this controller.
 */
#pragma once
#include "core/controller_internal.h"

/* Whether this controller may allocate so many more tasks: by what is left of the quota, or of its own share
 * while the quota is partitioned. Where only the share is too small, that is noted in the team's usage, so
 * that the shares are divided anew (quota_partition.h). */
gboolean fk_team_quota_allows_tasks(FkController *c, const FkSpec *spec, guint32 tasks);

/* The same for one task. */
gboolean fk_team_quota_allows_task(FkController *c, const FkSpec *spec);

/* Whether the team's whole quota has room for one more task, whichever controller may launch it. Notes
 * nothing. */
gboolean fk_team_quota_is_available(FkController *c, const FkSpec *spec);
