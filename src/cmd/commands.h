/* The program's subcommands, one file each. Each returns the process's exit status, and has said on standard
 * error what went wrong. */
#pragma once
#include <glib.h>

typedef enum {
  FK_EXIT_STATUS_OK = 0,
  FK_EXIT_STATUS_FAILED = 1, /* settings, an address, a file */
  FK_EXIT_STATUS_USAGE = 2   /* the command line */
} FkExitStatus;

/* Which files to read. Borrowed. */
typedef struct {
  const char *config;           /* the platform's settings */
  const char *operator_file;    /* the operators' own settings; NULL or "": none */
  const char *remote_execution; /* switches the build tools' cache on; NULL: off */
} FkSettingsFiles;

/* `flaxknot serve`: runs a controller until it is killed. */
FkExitStatus fk_cmd_serve(const FkSettingsFiles *files);
/* `flaxknot check`: reads the settings, and prints how each team's quota was read. */
FkExitStatus fk_cmd_check(const FkSettingsFiles *files);
/* `flaxknot key TEAM`: makes a key for a team's build tools. */
FkExitStatus fk_cmd_key(const char *team);
