/* flaxknot-sim SUBCOMMAND: experiments in a small world of its own. */
#include <stdio.h>
#include <string.h>

#include "simulation/digest.h"
#include "simulation/recovery.h"
#include "simulation/scale/scale.h"
#include "simulation/scale/slopes.h"

static const struct {
  const char *name, *what;
  int (*run)(int argc, char **argv);
} subcommands[] = {
    {"digest", "one checksum a schedule, over everything that its controllers send", fk_sim_digest},
    {"recovery", "how long a fleet takes to recover from the loss of many machines", fk_sim_recovery},
    {"scale", "real controllers against thousands of simulated workers, in real time", fk_sim_scale},
    {"slopes", "straight lines through the figures of several scale runs", fk_sim_slopes}};

static void log_errors_only(const char *domain, GLogLevelFlags level, const char *text, gpointer data) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING) || g_getenv("LOG_LEVEL"))
    g_log_default_handler(domain, level, text, data);
}

static void print_usage(FILE *to) {
  fprintf(to, "Usage: flaxknot-sim SUBCOMMAND [OPTIONS]\n\n");
  for (guint i = 0; i < G_N_ELEMENTS(subcommands); i++)
    fprintf(to, "  %-10s %s\n", subcommands[i].name, subcommands[i].what);
  fprintf(to, "\nflaxknot-sim SUBCOMMAND --help says more. LOG_LEVEL set: what the controllers log.\n");
}

int main(int argc, char **argv) {
  g_log_set_default_handler(log_errors_only, NULL);
  for (guint i = 0; argc > 1 && i < G_N_ELEMENTS(subcommands); i++)
    if (!strcmp(argv[1], subcommands[i].name))
      return subcommands[i].run(argc - 1, argv + 1);
  gboolean help = argc > 1 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"));
  print_usage(help ? stdout : stderr);
  return help ? FK_SIM_EXIT_OK : FK_SIM_EXIT_USAGE;
}
