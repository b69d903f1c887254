#include "simulation/recovery.h"

#include <stdio.h>
#include <time.h>

#include "fair_share/quota.h"
#include "simulation/simulation.h"

#define RECOVERY_TIMEOUT_S 600.0 /* for the last replica, at the most */

static gint64 cpu_time_ns(void) {
  struct timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return (gint64)t.tv_sec * 1000000000 + t.tv_nsec;
}

static FkTeam *team(const char *name, double cpus) {
  FkTeam *t = g_new0(FkTeam, 1);
  *t = (FkTeam){.name = g_strdup(name),
                .guaranteed_cpus = cpus,
                .max_cpus = 4 * cpus,
                .max_gpus = fk_quota_from_setting(0)};
  return t;
}

static FkSettings *settings(guint machines, double writes, double cloud) {
  FkSettings *s = fk_settings_new();
  g_ptr_array_add(s->teams, team("red", machines * 8.0));
  g_ptr_array_add(s->teams, team("blue", machines * 8.0));
  s->heartbeat_interval_s = 10;
  s->worker_lease_s = 40;
  s->cancellation_deadline_s = 70;
  s->store_write_rps = writes;
  s->store_rps = 3 * writes;
  s->value_kb = s->current_value_limit_kb = 32;
  s->next_store_rps = s->store_rps;
  s->next_store_write_rps = s->store_write_rps;
  s->transaction_ops_max = 24;
  s->cloud_rps = cloud;
  s->cloud_list_lag_s = 10;
  return s;
}

/* Services come no faster than the store takes them: two writes each, and as much again to spare. */
static double loss_at(guint machines, double writes) { return 60 + 4.0 * machines / writes; }

static gboolean run_recovery(guint machines, double share, double writes, double cloud, guint64 seed) {
  g_autoptr(FkSettings) s = settings(machines, writes, cloud);
  const SimPlan plan = {.seed = seed,
                        .seconds = loss_at(machines, writes) + RECOVERY_TIMEOUT_S,
                        .machines = machines + machines / 2,
                        .up = machines,
                        .controllers = 5,
                        .rate_limited = TRUE,
                        .services = machines,
                        .loss_at_s = loss_at(machines, writes),
                        .loss_share = share,
                        .clock_ns = cpu_time_ns};
  SimResult r = sim_run(s, &plan);
  const SimRecovery *x = &r.recovery;
  double lost = MAX(1, x->lost);
  printf("%8u %6u %6u %6u %7.1f %7.1f %7.1f %7.1f %9.2f %9.2f %9.2f %9.2f\n", machines, x->up, x->lost,
         x->recovered, x->first_s, x->half_s, x->last_s, x->lost / writes, x->writes / lost,
         x->requests / lost, (x->terminate_calls + x->provision_calls) / lost, x->core_ms / lost);
  fflush(stdout);
  if (r.violation)
    fprintf(stderr, "a rule is broken: %s\n", r.violation);
  g_free(r.violation);
  return !r.violation && x->recovered == x->lost;
}

int fk_sim_recovery(int argc, char **argv) {
  double share = 0.2, writes = 60, cloud = 8;
  gint64 seed = 1;
  g_auto(GStrv) sizes = NULL;
  const GOptionEntry entries[] = {
      {"share", 0, 0, G_OPTION_ARG_DOUBLE, &share, "Lose this share of the machines (0.01 to 0.5; 0.2)", "X"},
      {"writes", 0, 0, G_OPTION_ARG_DOUBLE, &writes, "The store's writes a second (60)", "N"},
      {"cloud", 0, 0, G_OPTION_ARG_DOUBLE, &cloud, "The cloud's calls a second (8)", "N"},
      {"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Of the schedule (1)", "N"},
      {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &sizes, NULL, "MACHINES..."},
      {NULL}};
  g_autoptr(GOptionContext) context = g_option_context_new(NULL);
  g_autoptr(GError) error = NULL;
  g_option_context_add_main_entries(context, entries, NULL);
  g_option_context_set_summary(
      context,
      "Plays, in simulated time, a service on each of so many machines (default: 500 2000 8000) and the "
      "loss\n"
      "of a share of them at once. A line a size: services up and lost, seconds to the first, half and the\n"
      "last of the lost ones back, the seconds that one write for each would take; then, a lost service,\n"
      "writes and requests at the store, calls at the cloud, milliseconds of all controllers' cores.");
  g_option_context_set_description(
      context, "Exit status: 0 all came back; 1 not all did, or a rule was broken; 2 wrong use.");
  if (!g_option_context_parse(context, &argc, &argv, &error) || share < 0.01 || share > 0.5 || writes < 10 ||
      cloud < 1) {
    fprintf(stderr, "flaxknot-sim recovery: %s\n", error ? error->message : "an option is out of its range");
    return FK_SIM_EXIT_USAGE;
  }
  const char *usual[] = {"500", "2000", "8000", NULL};
  gboolean all = TRUE;
  printf("machines     up   lost   back   first    half    last   1w/s.  writes/l  requ./l  cloud/l   "
         "core-ms/l\n");
  for (const char *const *n = sizes ? (const char *const *)sizes : usual; *n; n++) {
    guint64 machines;
    if (!g_ascii_string_to_unsigned(*n, 10, 10, 50000, &machines, &error)) {
      fprintf(stderr, "flaxknot-sim recovery: %s\n", error->message);
      return FK_SIM_EXIT_USAGE;
    }
    all &= run_recovery((guint)machines, share, writes, cloud, (guint64)seed);
  }
  return all ? FK_SIM_EXIT_OK : FK_SIM_EXIT_FAILED;
}
