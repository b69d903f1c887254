/* Reads the settings files that the command line and the environment name. */
#pragma once
#include "cmd/commands.h"
#include "core/settings.h"
#include "remote_execution/settings.h"

/* Reads and checks all files. The caller frees both results; `remote_execution` is set to NULL if remote
 * execution is switched off. Returns FALSE and an error if a file can't be read, a setting is invalid, or
 * remote execution leaves too few sockets for the scheduler. */
gboolean fk_settings_files_load(const FkSettingsFiles *files, FkSettings **settings,
                                FkRemoteExecutionSettings **remote_execution, GError **error);
