/* Settings: defaults, look-ups and release. */
#include "core/settings.h"

#include "fair_share/quota.h"

static void peer_free(gpointer data) {
  FkPeer *peer = data;
  g_free(peer->name);
  g_free(peer->zone);
  g_free(peer->addr);
  g_free(peer);
}

static void team_free(gpointer data) {
  FkTeam *team = data;
  g_free(team->name);
  g_free(team);
}

static void objective_free(gpointer data) {
  FkObjective *objective = data;
  g_free(objective->kind);
  g_free(objective->class_name);
  g_free(objective);
}

FkSettings *fk_settings_new(void) {
  FkSettings *settings = g_new0(FkSettings, 1);
  settings->peers = g_ptr_array_new_with_free_func(peer_free);
  settings->teams = g_ptr_array_new_with_free_func(team_free);
  settings->zones = g_ptr_array_new_with_free_func(g_free);
  settings->objectives = g_ptr_array_new_with_free_func(objective_free);
  settings->tuning = (FkTuning){.window_s = 10,
                                .max_wait_s = 20,
                                .short_partition_span = 0.08,
                                .short_cutoff_s = 240,
                                .probe_ratio = 2,
                                .steal_after_s = 0.3,
                                .idle_s = 12,
                                .deadline_slack = 1.5,
                                .spot_patience = 0.3,
                                .headroom_s = 20,
                                .silent_after_s = 0,
                                .cancellation_barrier_s = 40};
  return settings;
}

void fk_settings_free(FkSettings *settings) {
  if (!settings)
    return;
  g_free(settings->node);
  g_free(settings->zone);
  g_free(settings->listen_addr);
  g_free(settings->peer_listen_addr);
  g_free(settings->cloud_addr);
  g_free(settings->store_addr);
  g_ptr_array_unref(settings->peers);
  g_ptr_array_unref(settings->teams);
  g_ptr_array_unref(settings->zones);
  g_ptr_array_unref(settings->objectives);
  g_free(settings);
}

gboolean fk_team_has_quota(const FkTeam *team) {
  return fk_quota_is_limited(team->max_cpus) || fk_quota_is_limited(team->max_gpus);
}

guint fk_settings_team_index(const FkSettings *settings, const char *name) {
  guint i = 0;
  while (i < settings->teams->len && !g_str_equal(((FkTeam *)settings->teams->pdata[i])->name, name))
    i++;
  return i;
}

FkTeam *fk_settings_find_team(const FkSettings *settings, const char *name) {
  guint i = fk_settings_team_index(settings, name);
  return i < settings->teams->len ? settings->teams->pdata[i] : NULL;
}
