/* What the tests that play schedules share. */
#pragma once
#include "core/settings.h"

/* The settings of test/data/good.json, the teams' guarantees and limits times `limits` (0: as they are).
 * Owned by the caller. */
FkSettings *schedule_settings(double limits);
/* A log handler that passes on errors only, and everything if FK_SIM_LOG is set. */
void schedule_log_errors_only(const char *domain, GLogLevelFlags level, const char *text, gpointer data);
