/* The program's subcommands, one file each. Each function returns the exit status of the process, and prints
 * an error to standard error if the subcommand fails. */
#pragma once
#include <glib.h>

typedef enum {
  FK_EXIT_STATUS_OK = 0,
  /* Any error except in the command line, such as an invalid setting, address or file. */
  FK_EXIT_STATUS_FAILED = 1,
  FK_EXIT_STATUS_USAGE = 2 /* error in the command line */
} FkExitStatus;

/* Paths of the files to read. The strings are borrowed. */
typedef struct {
  const char *config;           /* platform's settings */
  const char *operator_file;    /* operators' settings; NULL or "" if none */
  const char *remote_execution; /* settings of the build cache; NULL if the build cache is switched off */
} FkSettingsFiles;

/* `flaxknot serve`: runs a controller, and the build cache if switched on, until the process is killed. */
FkExitStatus fk_cmd_serve(const FkSettingsFiles *files);
/* `flaxknot check`: validates the settings files and prints how each team's quota is interpreted. */
FkExitStatus fk_cmd_check(const FkSettingsFiles *files);
/* `flaxknot key TEAM`: generates a key for a team's build tools. */
FkExitStatus fk_cmd_key(const char *team);
