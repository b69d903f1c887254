/* Random faults: what goes wrong by chance, within the kinds that the plan has. */
#include "simulation/simulation_internal.h"

/* Many machines at once: some die, some hang for shorter or longer than a lease. */
static void fail_many_machines(Sim *sim) {
  double share = sim_uniform(sim, 0.1, 0.5), s = sim_uniform(sim, 0.5, 1.5) * sim->settings->worker_lease_s;
  for (guint i = 0; i < sim->workers->len; i++) {
    SimWorker *w = sim->workers->pdata[i];
    if (w->gone || !sim_chance(sim, share))
      continue;
    if (sim_chance(sim, 0.5)) {
      w->hung_until = sim->now + (gint64)(s * 1e6);
    } else {
      sim_worker_lose(sim, w);
    }
  }
}

static void partition_zone(Sim *sim) {
  static const double times[] = {0.5, 1, 1.5};
  double s = times[g_rand_int_range(sim->rand, 0, 3)] *
             (sim_chance(sim, 0.5) ? sim->settings->worker_lease_s : sim->settings->cancellation_deadline_s);
  if (sim->now < sim->zone_partition_until)
    return;
  sim->partitioned_zone = sim_chance(sim, 0.7) ? "south" : "north";
  sim->zone_partition_until = sim->now + (gint64)(s * 1e6);
  g_debug("WORLD %.3f %s is cut off for %.1f s", sim->now / 1e6, sim->partitioned_zone, s);
}

/* Machines that are heard and hear nothing, for less or more than a lease. */
static void partition_inbound(Sim *sim) {
  double share = sim_chance(sim, 0.3) ? 0.1 : 0,
         s = sim_uniform(sim, 10, 2.5 * sim->settings->worker_lease_s);
  guint one = (guint)g_rand_int_range(sim->rand, 0, (gint)MAX(1, sim->workers->len));
  for (guint i = 0; i < sim->workers->len; i++) {
    SimWorker *w = sim->workers->pdata[i];
    if (w->gone || (i != one && !sim_chance(sim, share)))
      continue;
    w->inbound_partition_until = sim->now + (gint64)(s * 1e6);
    w->inbound_held = sim_chance(sim, 0.5);
    g_debug("WORLD %.3f %s hears nothing for %.1f s", sim->now / 1e6, w->model.id, s);
  }
}

/* One controller is left with nobody but its workers. */
static void isolate_controller(Sim *sim, int i) {
  double s = sim_uniform(sim, 5, 2 * sim->settings->worker_lease_s);
  sim->controllers[i].store_partition_until = sim->controllers[i].peer_partition_until =
      sim->now + (gint64)(s * 1e6);
  g_debug("WORLD %.3f c-%d is alone with its workers for %.1f s", sim->now / 1e6, i, s);
}

static void restart_machines(Sim *sim) {
  double share = sim_chance(sim, 0.1) ? 1 : sim_chance(sim, 0.3) ? 0.2 : 0;
  guint one = (guint)g_rand_int_range(sim->rand, 0, (gint)MAX(1, sim->workers->len));
  for (guint i = 0; i < sim->workers->len; i++)
    if (i == one || sim_chance(sim, share))
      sim_worker_restart(sim, sim->workers->pdata[i]);
}

static void extra_faults(Sim *sim, int i) {
  if (sim->plan.inbound_partitions && sim_chance(sim, 0.3))
    partition_inbound(sim);
  if (sim->plan.controller_isolation && sim_chance(sim, 0.2))
    isolate_controller(sim, i);
  if (sim->plan.fast_restarts && sim_chance(sim, 0.2))
    restart_machines(sim);
  gboolean all = sim->plan.fast_restarts && sim_chance(sim, 0.1);
  for (int k = 0; sim->plan.fast_restarts && k < sim->controller_count; k++)
    if (all || (k == i && sim_chance(sim, 0.5)))
      sim_crash_controller(sim, k);
}

/* The faults of every plan that has any: which of them it has, it says itself. */
typedef enum {
  RANDOM_CRASH,
  RANDOM_CRASH_OF_ALL,
  RANDOM_STORE_PARTITION,
  RANDOM_WORKER_PARTITION,
  RANDOM_STORE_OUTAGE,
  RANDOM_MACHINE,
  RANDOM_MACHINE_AGAIN, /* twice as likely as the others */
  RANDOM_STORE_SLOW,    /* this and the next ones: only where the plan wants more */
  RANDOM_STORE_REFUSAL,
  RANDOM_PEER_REFUSAL,
  RANDOM_KINDS
} RandomFault;

/* A moment so many seconds from now, drawn from the range. */
static gint64 random_end(Sim *sim, double min_s, double max_s) {
  return sim->now + (gint64)(sim_uniform(sim, min_s, max_s) * 1e6);
}

static void crash_all(Sim *sim) {
  for (int i = 0; i < sim->controller_count; i++)
    sim_crash_controller(sim, i);
}

/* A machine hangs, or dies silently: it stays in the cloud's list and never reports. */
static void fail_machine(Sim *sim) {
  if (!sim->workers->len)
    return;
  SimWorker *worker = sim->workers->pdata[g_rand_int_range(sim->rand, 0, (gint)sim->workers->len)];
  if (sim->plan.machine_hangs && sim_chance(sim, 0.5))
    worker->hung_until = random_end(sim, 2, 60);
  else if (sim->plan.machine_deaths)
    sim_worker_lose(sim, worker);
}

static void inject(Sim *sim, RandomFault fault, int controller) {
  SimController *c = &sim->controllers[controller];
  switch (fault) {
  case RANDOM_CRASH:
    if (sim->plan.controller_crashes)
      sim_crash_controller(sim, controller);
    break;
  case RANDOM_CRASH_OF_ALL:
    if (sim->plan.controller_crashes && sim_chance(sim, 0.3))
      crash_all(sim);
    break;
  case RANDOM_STORE_PARTITION:
    if (sim->plan.partitions)
      c->store_partition_until = random_end(sim, 1, 50);
    break;
  case RANDOM_WORKER_PARTITION:
    if (sim->plan.partitions)
      c->worker_partition_until = random_end(sim, 1, 50);
    break;
  case RANDOM_STORE_OUTAGE:
    if (sim->plan.outages)
      sim_begin_store_outage(sim, sim_uniform(sim, 1, 40));
    break;
  case RANDOM_MACHINE:
  case RANDOM_MACHINE_AGAIN:
    fail_machine(sim);
    break;
  case RANDOM_STORE_SLOW:
    sim->slow_factor = 15;
    sim->slow_until = random_end(sim, 10, 60);
    break;
  case RANDOM_STORE_REFUSAL: /* of one controller alone, for longer than a lease or shorter */
    sim->store_refusal_until[controller] = random_end(sim, 5, 1.5 * sim->settings->worker_lease_s + 10);
    break;
  case RANDOM_PEER_REFUSAL:
    sim->peer_refusal_until = random_end(sim, 5, 40);
    break;
  case RANDOM_KINDS:
    g_assert_not_reached();
  }
}

static void pause_controller(Sim *sim) {
  int i = g_rand_int_range(sim->rand, 0, sim->controller_count);
  sim->controllers[i].paused_until = random_end(sim, 5, 60);
  g_debug("WORLD %.3f c-%d stands still until %.3f", sim->now / 1e6, i,
          sim->controllers[i].paused_until / 1e6);
}

static void inject_random_faults(Sim *sim) {
  if (sim->plan.inbound_partitions || sim->plan.controller_isolation || sim->plan.fast_restarts)
    extra_faults(sim, g_rand_int_range(sim->rand, 0, sim->controller_count));
  if (sim->plan.mass_failures && sim_chance(sim, 0.3)) {
    if (sim_chance(sim, 0.6))
      partition_zone(sim);
    else
      fail_many_machines(sim);
  }
  if (sim->plan.pauses && sim_chance(sim, 0.3))
    pause_controller(sim);
  int controller = g_rand_int_range(sim->rand, 0, sim->controller_count);
  gint kinds = sim->plan.store_and_peer_faults ? RANDOM_KINDS : RANDOM_STORE_SLOW;
  inject(sim, (RandomFault)g_rand_int_range(sim->rand, 0, kinds), controller);
}

void sim_random_fault(Sim *sim, gpointer unused) {
  if (sim->now < (gint64)(sim->plan.seconds * (SIM_FAULTS_SHARE * 1e6)))
    inject_random_faults(sim);
  sim_schedule(sim, sim_uniform(sim, 2, 15), sim_random_fault, NULL);
}
