/* flaxknot check: validates the settings files and prints how each team's quota is interpreted. */
#include <stdio.h>

#include "cmd/commands.h"
#include "cmd/settings_files.h"
#include "fair_share/quota.h"

static void print_quota(const char *resource, double guarantee, double max) {
  printf("  %s: ", resource);
  if (guarantee > 0)
    printf("%g guaranteed, ", guarantee);
  if (fk_quota_is_limited(max))
    printf("%g at most", max);
  else
    printf("no limit");
  printf(" (%s)\n", fk_team_kind_name(fk_team_kind(guarantee, max)));
}

static void print_teams(const FkSettings *settings) {
  for (guint i = 0; i < settings->teams->len; i++) {
    const FkTeam *team = settings->teams->pdata[i];
    printf("team %s\n", team->name);
    print_quota("CPUs", team->guaranteed_cpus, team->max_cpus);
    print_quota("GPUs", team->guaranteed_gpus, team->max_gpus);
  }
}

FkExitStatus fk_cmd_check(const FkSettingsFiles *files) {
  g_autoptr(FkSettings) settings = NULL;
  g_autoptr(FkRemoteExecutionSettings) remote_execution = NULL;
  g_autoptr(GError) error = NULL;
  if (!fk_settings_files_load(files, &settings, &remote_execution, &error)) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return FK_EXIT_STATUS_FAILED;
  }
  printf("the settings of %s are valid\n", settings->node);
  print_teams(settings);
  return FK_EXIT_STATUS_OK;
}
