/* flaxknot serve|check --config FILE, flaxknot key TEAM, flaxknot --version */
#include <gio/gio.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/log.h"
#include "fair_share/quota.h"
#include "keys/keys.h"
#include "remote_execution/server.h"
#include "wire/settings.h"

#define OPERATOR_ENV "FLAXKNOT_OPERATOR"

static FkSettings *load_settings(const char *config, const char *operator_file, GError **error) {
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

static FkRemoteExecutionSettings *load_remote_execution(const char *file, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  if (!g_file_get_contents(file, &text, &len, error))
    return NULL;
  FkRemoteExecutionSettings *s = fk_remote_execution_settings_parse(text, len, error);
  if (!s)
    g_prefix_error(error, "%s: ", file);
  return s;
}

/* The scheduler's door has what the build tools' one leaves. */
static gboolean split_sockets(FkSettings *settings, const FkRemoteExecutionSettings *rexec, GError **error) {
  double left = settings->sockets - rexec->connections - 16;
  if (left < 100) {
    g_set_error(error, fk_settings_error(), 1,
                "connections: %g for remote execution leave %g of the platform's %g sockets",
                rexec->connections, left, settings->sockets);
    return FALSE;
  }
  settings->sockets = left;
  return TRUE;
}

/* A new key, and the entry that stands for it. The key itself is nowhere kept. */
static int make_key(const char *team) {
  guint8 bytes[32];
  if (RAND_bytes(bytes, sizeof bytes) != 1) {
    fprintf(stderr, "flaxknot: no random numbers are to be had\n");
    return 1;
  }
  g_autofree char *key = g_base64_encode(bytes, sizeof bytes), *hash = fk_keys_hash(key);
  g_autoptr(cJSON) entry = cJSON_CreateObject();
  cJSON_AddStringToObject(entry, "team", team);
  cJSON_AddStringToObject(entry, "sha256", hash);
  g_autofree char *text = fk_json_print(entry);
  printf("key, for the team's build tools (header \"authorization: Bearer KEY\"):\n  %s\n"
         "entry, for the keys' file:\n  %s\n",
         key, text);
  return 0;
}

static void print_quota(const char *what, double guarantee, double most) {
  printf("  %s: ", what);
  if (guarantee > 0)
    printf("%g guaranteed, ", guarantee);
  if (fk_quota_is_limited(most))
    printf("%g at most", most);
  else
    printf("no limit");
  printf(" (%s)\n", fk_team_kind_name(fk_team_kind(guarantee, most)));
}

/* How the zeros of the platform's file were read. */
static void print_teams(const FkSettings *settings) {
  for (guint i = 0; i < settings->teams->len; i++) {
    const FkTeam *t = settings->teams->pdata[i];
    printf("team %s\n", t->name);
    print_quota("CPUs", t->guaranteed_cpus, t->max_cpus);
    print_quota("GPUs", t->guaranteed_gpus, t->max_gpus);
  }
}

int main(int argc, char **argv) {
  g_autofree char *config = NULL, *operator_file = NULL, *rexec_file = NULL;
  gboolean version = FALSE;
  g_auto(GStrv) rest = NULL;
  const GOptionEntry entries[] = {
      {"config", 0, 0, G_OPTION_ARG_FILENAME, &config, "The platform's settings", "FILE"},
      {"operator", 0, 0, G_OPTION_ARG_FILENAME, &operator_file,
       "The operators' own settings (default: the file that " OPERATOR_ENV " names, if any)", "FILE"},
      {"remote-execution", 0, 0, G_OPTION_ARG_FILENAME, &rexec_file,
       "Serve build tools' caches as this file says (default: don't)", "FILE"},
      {"version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version", NULL},
      {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &rest, NULL, NULL},
      G_OPTION_ENTRY_NULL};
  g_autoptr(GOptionContext) context = g_option_context_new("serve|check|key TEAM");
  g_autoptr(GError) error = NULL;
  fk_log_init();
  g_option_context_set_summary(context, "flaxknot schedules jobs on a cluster of rented machines.\n\n"
                                        "  serve   run a controller until it is killed\n"
                                        "  check   read the settings, and say what is wrong with them\n"
                                        "  key     make a key for a team's build tools");
  g_option_context_add_main_entries(context, entries, NULL);
  if (!g_option_context_parse(context, &argc, &argv, &error)) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return 2;
  }
  if (version) {
    printf("flaxknot %s\n", FK_VERSION);
    return 0;
  }
  if (rest && g_strv_length(rest) == 2 && g_str_equal(rest[0], "key"))
    return make_key(rest[1]);
  gboolean check = rest && g_strv_length(rest) == 1 && g_str_equal(rest[0], "check");
  gboolean serve = rest && g_strv_length(rest) == 1 && g_str_equal(rest[0], "serve");
  if ((!check && !serve) || !config) {
    g_autofree char *help = g_option_context_get_help(context, TRUE, NULL);
    fputs(help, stderr);
    return 2;
  }
  g_autoptr(FkSettings) settings =
      load_settings(config, operator_file ? operator_file : g_getenv(OPERATOR_ENV), &error);
  if (!settings) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return 1;
  }
  g_autoptr(FkRemoteExecutionSettings) rexec_settings =
      rexec_file ? load_remote_execution(rexec_file, &error) : NULL;
  if (rexec_file && (!rexec_settings || !split_sockets(settings, rexec_settings, &error))) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return 1;
  }
  if (check) {
    printf("the settings of %s are in order\n", settings->node);
    print_teams(settings);
    return 0;
  }
  FkDaemon *shell = fk_daemon_new(settings, &error);
  if (!shell) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return 1;
  }
  FkRemoteExecution *rexec = rexec_settings ? fk_remote_execution_start(rexec_settings, &error) : NULL;
  if (rexec_settings && !rexec) {
    fprintf(stderr, "flaxknot: remote execution: %s\n", error->message);
    fk_daemon_free(shell);
    return 1;
  }
  fk_daemon_run(shell);
  fk_remote_execution_stop(rexec);
  fk_daemon_free(shell);
  return 0;
}
