/* flaxknot serve|check --config FILE, flaxknot key TEAM, flaxknot --version: parses the command line and runs
 * the subcommand. */
#include <gio/gio.h>
#include <stdio.h>
#include <string.h>

#include "cmd/commands.h"
#include "daemon/log.h"

#define OPERATOR_ENV "FLAXKNOT_OPERATOR"

typedef struct {
  char *config, *operator_file, *remote_execution;
  gboolean version;
  char **arguments; /* the subcommand and its arguments; NULL if there are none */
} CommandLine;

static void command_line_clear(CommandLine *line) {
  g_free(line->config);
  g_free(line->operator_file);
  g_free(line->remote_execution);
  g_strfreev(line->arguments);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(CommandLine, command_line_clear)

static GOptionContext *new_option_context(CommandLine *line) {
  const GOptionEntry entries[] = {
      {"config", 0, 0, G_OPTION_ARG_FILENAME, &line->config, "The platform's settings", "FILE"},
      {"operator", 0, 0, G_OPTION_ARG_FILENAME, &line->operator_file,
       "The operators' settings (default: the file that " OPERATOR_ENV " names, if any)", "FILE"},
      {"remote-execution", 0, 0, G_OPTION_ARG_FILENAME, &line->remote_execution,
       "Serve a build cache with the settings in this file (default: off)", "FILE"},
      {"version", 0, 0, G_OPTION_ARG_NONE, &line->version, "Print the version", NULL},
      {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &line->arguments, NULL, NULL},
      G_OPTION_ENTRY_NULL};
  GOptionContext *context = g_option_context_new("serve|check|key TEAM");
  g_option_context_set_summary(context, "flaxknot schedules jobs on a cluster of cloud machines.\n\n"
                                        "  serve   run a controller until it is killed\n"
                                        "  check   read the settings and report errors in them\n"
                                        "  key     generate a key for a team's build tools");
  g_option_context_add_main_entries(context, entries, NULL);
  return context;
}

static gboolean is_command(const CommandLine *line, const char *name, guint arguments) {
  return line->arguments && g_strv_length(line->arguments) == 1 + arguments &&
         g_str_equal(line->arguments[0], name);
}

static FkExitStatus usage(GOptionContext *context) {
  g_autofree char *help = g_option_context_get_help(context, TRUE, NULL);
  fputs(help, stderr);
  return FK_EXIT_STATUS_USAGE;
}

int main(int argc, char **argv) {
  g_auto(CommandLine) line = {0};
  g_autoptr(GOptionContext) context = new_option_context(&line);
  g_autoptr(GError) error = NULL;
  fk_log_init();
  if (!g_option_context_parse(context, &argc, &argv, &error)) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return FK_EXIT_STATUS_USAGE;
  }
  if (line.version) {
    printf("flaxknot %s\n", FK_VERSION);
    return FK_EXIT_STATUS_OK;
  }
  if (is_command(&line, "key", 1))
    return fk_cmd_key(line.arguments[1]);
  gboolean check = is_command(&line, "check", 0);
  gboolean serve = is_command(&line, "serve", 0);
  if ((!check && !serve) || !line.config)
    return usage(context);
  const FkSettingsFiles files = {.config = line.config,
                                 .operator_file =
                                     line.operator_file ? line.operator_file : g_getenv(OPERATOR_ENV),
                                 .remote_execution = line.remote_execution};
  return check ? fk_cmd_check(&files) : fk_cmd_serve(&files);
}
