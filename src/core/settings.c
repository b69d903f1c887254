#include "core/settings.h"

#include "fair_share/quota.h"

static void peer_free(gpointer p) {
  FkPeer *peer = p;
  g_free(peer->name);
  g_free(peer->zone);
  g_free(peer->addr);
  g_free(peer);
}

static void team_free(gpointer p) {
  FkTeam *team = p;
  g_free(team->name);
  g_free(team);
}

static void objective_free(gpointer p) {
  FkObjective *o = p;
  g_free(o->kind);
  g_free(o->class_name);
  g_free(o);
}

FkSettings *fk_settings_new(void) {
  FkSettings *s = g_new0(FkSettings, 1);
  s->peers = g_ptr_array_new_with_free_func(peer_free);
  s->teams = g_ptr_array_new_with_free_func(team_free);
  s->zones = g_ptr_array_new_with_free_func(g_free);
  s->objectives = g_ptr_array_new_with_free_func(objective_free);
  s->tuning = (FkTuning){.window_s = 10,
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
  return s;
}

void fk_settings_free(FkSettings *s) {
  if (!s)
    return;
  g_free(s->node);
  g_free(s->zone);
  g_free(s->listen_addr);
  g_free(s->peer_listen_addr);
  g_free(s->cloud_addr);
  g_free(s->store_addr);
  g_ptr_array_unref(s->peers);
  g_ptr_array_unref(s->teams);
  g_ptr_array_unref(s->zones);
  g_ptr_array_unref(s->objectives);
  g_free(s);
}

gboolean fk_team_has_limit(const FkTeam *t) {
  return fk_quota_is_limited(t->max_cpus) || fk_quota_is_limited(t->max_gpus);
}

guint fk_settings_team_index(const FkSettings *s, const char *name) {
  guint i = 0;
  while (i < s->teams->len && !g_str_equal(((FkTeam *)s->teams->pdata[i])->name, name))
    i++;
  return i;
}

FkTeam *fk_settings_find_team(const FkSettings *s, const char *name) {
  guint i = fk_settings_team_index(s, name);
  return i < s->teams->len ? s->teams->pdata[i] : NULL;
}
