#include "schedules.h"

#include "wire/settings.h"

FkSettings *schedule_settings(double limits) {
  g_autofree char *text = NULL;
  gsize len;
  g_assert_true(g_file_get_contents(FK_SOURCE_DIR "/test/data/good.json", &text, &len, NULL));
  FkSettings *s = fk_settings_parse(text, len, NULL);
  g_assert_nonnull(s);
  for (guint i = 0; limits > 0 && i < s->teams->len; i++) {
    ((FkTeam *)s->teams->pdata[i])->guaranteed_cpus *= limits;
    ((FkTeam *)s->teams->pdata[i])->max_cpus *= limits;
  }
  return s;
}

void schedule_log_errors_only(const char *domain, GLogLevelFlags level, const char *text, gpointer data) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL) || g_getenv("FK_SIM_LOG"))
    g_log_default_handler(domain, level, text, data);
}
