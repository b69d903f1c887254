#include "core/scheduling/team_quota.h"

#include "fair_share/quota.h"

/* Returns the CPUs that this controller may allocate for the team: what is left of the quota or, while the
 * quota is partitioned, of this controller's share of it. */
static double cpus_left(FkController *c, const FkTeam *team, const FkTeamUsage *usage) {
  if (!usage->partition)
    return fk_quota_left(team->max_cpus, usage->cpus + usage->reserved_cpus);
  const double *share = g_hash_table_lookup(usage->partition, c->settings->node);
  const double *used = g_hash_table_lookup(usage->cpus_by_controller, g_intern_string(c->settings->node));
  return (share ? *share : 0) - (used ? *used : 0) - usage->reserved_cpus;
}

gboolean fk_team_quota_allows_tasks(FkController *c, const FkSpec *spec, guint32 tasks) {
  const FkTeam *team = fk_settings_find_team(c->settings, spec->team);
  FkTeamUsage *usage = fk_view_ensure_team(c->view, spec->team);
  if (!team || !fk_quota_allows(team->max_gpus, usage->gpus + usage->reserved_gpus, spec->gpus, tasks))
    return FALSE;
  if (tasks * spec->cpus <= cpus_left(c, team, usage) + FK_AMOUNT_EPSILON)
    return TRUE;
  usage->share_exhausted |=
      usage->partition && g_hash_table_size(usage->partition) &&
      fk_quota_allows(team->max_cpus, usage->cpus + usage->reserved_cpus, spec->cpus, tasks);
  return FALSE;
}

gboolean fk_team_quota_allows_task(FkController *c, const FkSpec *spec) {
  return fk_team_quota_allows_tasks(c, spec, 1);
}

gboolean fk_team_quota_is_available(FkController *c, const FkSpec *spec) {
  const FkTeam *team = fk_settings_find_team(c->settings, spec->team);
  const FkTeamUsage *usage = fk_view_ensure_team(c->view, spec->team);
  return team && fk_quota_allows(team->max_cpus, usage->cpus + usage->reserved_cpus, spec->cpus, 1) &&
         fk_quota_allows(team->max_gpus, usage->gpus + usage->reserved_gpus, spec->gpus, 1);
}
