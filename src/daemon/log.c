#include "daemon/log.h"

#include <glib.h>

static GLogLevelFlags enabled_levels = G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING;

static GLogWriterOutput write_log(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data) {
  if (!(level & enabled_levels & G_LOG_LEVEL_MASK))
    return G_LOG_WRITER_HANDLED;
  return g_log_writer_standard_streams(
      level & ~(G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG | G_LOG_LEVEL_MESSAGE) ? level : G_LOG_LEVEL_MESSAGE,
      fields, n, data);
}

void fk_log_init(void) {
  const char *level = g_getenv("LOG_LEVEL");
  if (g_strcmp0(level, "error") == 0)
    enabled_levels = G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL;
  else if (g_strcmp0(level, "info") == 0)
    enabled_levels |= G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO;
  else if (g_strcmp0(level, "debug") == 0)
    enabled_levels |= G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG;
  g_log_set_writer_func(write_log, NULL, NULL);
}
