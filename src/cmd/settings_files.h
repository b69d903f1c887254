/* Reads all that the command line names. */
#pragma once
#include "cmd/commands.h"
#include "core/settings.h"
#include "remote_execution/settings.h"

/* Both are the caller's. `remote_execution` is NULL when it is switched off. FALSE and an error that names
 * the file: one can't be read, or isn't right. */
gboolean fk_settings_files_load(const FkSettingsFiles *files, FkSettings **settings,
                                FkRemoteExecutionSettings **remote_execution, GError **error);
