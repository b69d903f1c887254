#include "cmd/settings_files.h"

#include "wire/settings.h"

/* Sockets for the listener of remote execution, and for connections that are being closed. */
#define REMOTE_EXECUTION_SPARE_SOCKETS 16
#define SPARE_SOCKETS_TEXT G_STRINGIFY(REMOTE_EXECUTION_SPARE_SOCKETS)
#define SCHEDULER_SOCKETS_MIN 100

static FkSettings *load_settings(const char *config, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  if (!g_file_get_contents(config, &text, &len, error))
    return NULL;
  FkSettings *settings = fk_settings_parse(text, len, error);
  if (!settings)
    g_prefix_error(error, "%s: ", config);
  return settings;
}

/* Reads the operators' settings, which replace the defaults in `tuning`. */
static gboolean load_tuning(const char *file, FkTuning *tuning, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  if (!g_file_get_contents(file, &text, &len, error))
    return FALSE;
  if (fk_tuning_parse(tuning, text, len, error))
    return TRUE;
  g_prefix_error(error, "%s: ", file);
  return FALSE;
}

static FkRemoteExecutionSettings *load_remote_execution(const char *file, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  if (!g_file_get_contents(file, &text, &len, error))
    return NULL;
  FkRemoteExecutionSettings *settings = fk_remote_execution_settings_parse(text, len, error);
  if (!settings)
    g_prefix_error(error, "%s: ", file);
  return settings;
}

/* Reserves sockets for remote execution; the scheduler may use the remaining sockets. Returns FALSE and an
 * error if fewer than SCHEDULER_SOCKETS_MIN sockets remain. */
static gboolean split_sockets(FkSettings *settings, const FkRemoteExecutionSettings *remote_execution,
                              GError **error) {
  double left = settings->sockets - remote_execution->connections - REMOTE_EXECUTION_SPARE_SOCKETS;
  if (left < SCHEDULER_SOCKETS_MIN) {
    g_set_error(
        error, fk_settings_error(), 1,
        "remote execution: connections=%g and " SPARE_SOCKETS_TEXT " spare sockets leave %g of the "
        "platform's sockets=%g; the scheduler needs at least " G_STRINGIFY(SCHEDULER_SOCKETS_MIN) " sockets",
        remote_execution->connections, left, settings->sockets);
    return FALSE;
  }
  settings->sockets = left;
  return TRUE;
}

gboolean fk_settings_files_load(const FkSettingsFiles *files, FkSettings **settings_out,
                                FkRemoteExecutionSettings **remote_execution_out, GError **error) {
  g_autoptr(FkSettings) settings = load_settings(files->config, error);
  g_autoptr(FkRemoteExecutionSettings) remote_execution = NULL;
  if (!settings)
    return FALSE;
  if (files->operator_file && *files->operator_file &&
      !load_tuning(files->operator_file, &settings->tuning, error))
    return FALSE;
  if (files->remote_execution) {
    remote_execution = load_remote_execution(files->remote_execution, error);
    if (!remote_execution || !split_sockets(settings, remote_execution, error))
      return FALSE;
  }
  *settings_out = g_steal_pointer(&settings);
  *remote_execution_out = g_steal_pointer(&remote_execution);
  return TRUE;
}
