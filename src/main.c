/* flaxknot serve|check --config FILE, flaxknot --version */
#include <gio/gio.h>
#include <stdio.h>
#include <string.h>

#include "io/log.h"
#include "io/shell.h"
#include "wire/settings.h"

#define OPERATOR_ENV "FLAXKNOT_OPERATOR"

static FkSettings *load(const char *config, const char *operator_file, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  if (!g_file_get_contents(config, &text, &len, error))
    return NULL;
  g_autoptr(FkSettings) s = fk_settings_parse(text, len, error);
  if (!s) {
    g_prefix_error(error, "%s: ", config);
    return NULL;
  }
  if (operator_file && *operator_file) {
    g_autofree char *own = NULL;
    if (!g_file_get_contents(operator_file, &own, &len, error))
      return NULL;
    if (!fk_tuning_parse(&s->tuning, own, len, error)) {
      g_prefix_error(error, "%s: ", operator_file);
      return NULL;
    }
  }
  return g_steal_pointer(&s);
}

int main(int argc, char **argv) {
  g_autofree char *config = NULL, *operator_file = NULL;
  gboolean version = FALSE;
  g_auto(GStrv) rest = NULL;
  const GOptionEntry entries[] = {
      {"config", 0, 0, G_OPTION_ARG_FILENAME, &config, "The platform's settings", "FILE"},
      {"operator", 0, 0, G_OPTION_ARG_FILENAME, &operator_file,
       "The operators' own settings (default: the file that " OPERATOR_ENV " names, if any)", "FILE"},
      {"version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version", NULL},
      {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &rest, NULL, NULL},
      G_OPTION_ENTRY_NULL};
  g_autoptr(GOptionContext) context = g_option_context_new("serve|check");
  g_autoptr(GError) error = NULL;
  fk_log_init();
  g_option_context_set_summary(context, "flaxknot schedules jobs on a cluster of rented machines.\n\n"
                                        "  serve   run a controller until it is killed\n"
                                        "  check   read the settings, and say what is wrong with them");
  g_option_context_add_main_entries(context, entries, NULL);
  if (!g_option_context_parse(context, &argc, &argv, &error)) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return 2;
  }
  if (version) {
    printf("flaxknot %s\n", FK_VERSION);
    return 0;
  }
  gboolean check = rest && g_strv_length(rest) == 1 && g_str_equal(rest[0], "check");
  gboolean serve = rest && g_strv_length(rest) == 1 && g_str_equal(rest[0], "serve");
  if ((!check && !serve) || !config) {
    g_autofree char *help = g_option_context_get_help(context, TRUE, NULL);
    fputs(help, stderr);
    return 2;
  }
  g_autoptr(FkSettings) settings =
      load(config, operator_file ? operator_file : g_getenv(OPERATOR_ENV), &error);
  if (!settings) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return 1;
  }
  if (check) {
    printf("the settings of %s are in order\n", settings->node);
    return 0;
  }
  FkShell *shell = fk_shell_new(settings, &error);
  if (!shell) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return 1;
  }
  fk_shell_run(shell);
  fk_shell_free(shell);
  return 0;
}
