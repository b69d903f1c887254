/* The loss of all machines of one controller: their services must run elsewhere within the bound for waiting
 * jobs. The owner can't tell the loss from a partition of its own, and the other controllers don't hear the
 * machines anyway. */
#include "schedules.h"
#include "simulation/simulation.h"

#define SEEDS 4
#define SERVICES 12     /* each needs a whole machine */
#define QUOTA_FACTOR 20 /* no team reaches its limit */
#define LOSS_AT_S 60.0
#define SECONDS 400.0
#define RECOVERED_MAX_S 90.0 /* the longest that a job may wait beside room */

typedef struct {
  const char *name;
  SimLoss loss;
  gboolean hangs;
} MachineLossCase;

static const MachineLossCase cases[] = {
    /* the cloud has taken the machines back, and its list lacks them */
    {"follower", SIM_LOSS_WORKERS_OF_FOLLOWER, FALSE},
    {"leader", SIM_LOSS_WORKERS_OF_LEADER, FALSE},
    /* the cloud goes on listing the machines as running */
    {"follower_hang", SIM_LOSS_WORKERS_OF_FOLLOWER, TRUE},
    {"leader_hang", SIM_LOSS_WORKERS_OF_LEADER, TRUE},
};

static void run_loss(const MachineLossCase *loss_case, guint64 seed, guint controllers) {
  g_autoptr(FkSettings) settings = schedule_settings(QUOTA_FACTOR);
  const SimPlan plan = {.seed = seed,
                        .seconds = SECONDS,
                        .machines = 3 * SERVICES,
                        .up = SERVICES,
                        .controllers = controllers,
                        .services = SERVICES,
                        .loss_at_s = LOSS_AT_S,
                        .loss = loss_case->loss,
                        .loss_hangs = loss_case->hangs};
  SimResult result = sim_run(settings, &plan);
  const SimRecovery *recovery = &result.recovery;
  g_test_message("%s seed %" G_GUINT64_FORMAT ", %u controllers: %u services up, %u lost with %u machines, "
                 "%u back, the last after %.1f s; machines provisioned after %.1f s",
                 loss_case->name, seed, controllers, recovery->up, recovery->lost, recovery->machines_lost,
                 recovery->recovered, recovery->last_s, recovery->provisioned_s);
  g_assert_null(result.violation);
  g_assert_cmpuint(recovery->up, ==, SERVICES);
  g_assert_cmpuint(recovery->lost, >, 0);
  g_assert_cmpuint(recovery->recovered, ==, recovery->lost);
  g_assert_cmpfloat(recovery->last_s, <=, RECOVERED_MAX_S);
}

static void run_case(gconstpointer data) {
  for (guint64 seed = 1; seed <= SEEDS; seed++) {
    run_loss(data, seed, 3);
    run_loss(data, seed, 5);
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_default_handler(schedule_log_errors_only, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_autofree char *path = g_strdup_printf("/machine_loss/%s", cases[i].name);
    g_test_add_data_func(path, &cases[i], run_case);
  }
  return g_test_run();
}
