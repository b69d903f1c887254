/* What goes wrong in the simulated world, and when. */
#include "simulation/simulation_internal.h"

/* Many machines at once: some die, some hang for shorter or longer than a lease. */
static void fail_many_machines(Sim *m) {
  double share = sim_uniform(m, 0.1, 0.5), s = sim_uniform(m, 0.5, 1.5) * m->settings->worker_lease_s;
  for (guint i = 0; i < m->workers->len; i++) {
    SimWorker *w = m->workers->pdata[i];
    if (w->gone || !sim_chance(m, share))
      continue;
    if (sim_chance(m, 0.5)) {
      w->hung_until = m->now + (gint64)(s * 1e6);
    } else {
      sim_worker_lose(m, w);
    }
  }
}

/* The growth experiment's loss: just so many machines, whatever runs there. */
void sim_lose_share(Sim *m, gpointer p) {
  SimRecovery *r = &m->result.recovery;
  guint here = 0, seen = 0;
  for (guint i = 0; i < m->workers->len; i++)
    here += !((SimWorker *)m->workers->pdata[i])->gone;
  guint every = (guint)MAX(1, 1 / m->plan.loss_share + 0.5);
  r->up = g_hash_table_size(m->running_on);
  m->machines_lost_at = m->now;
  for (guint i = 0; i < m->workers->len; i++) {
    SimWorker *w = m->workers->pdata[i];
    if (w->gone || seen++ % every)
      continue;
    for (guint k = 0; k < w->model.tasks->len; k++) {
      FkWorkerTask *t = w->model.tasks->pdata[k];
      if (t->resident)
        r->lost += sim_job_find(m, t->job)->lost = TRUE;
    }
    sim_worker_lose(m, w);
  }
  g_debug("WORLD %.3f of %u machines %u are lost", m->now / 1e6, here, seen / every);
}

static void partition_zone(Sim *m) {
  static const double times[] = {0.5, 1, 1.5};
  double s = times[g_rand_int_range(m->rand, 0, 3)] *
             (sim_chance(m, 0.5) ? m->settings->worker_lease_s : m->settings->cancellation_deadline_s);
  if (m->now < m->zone_partition_until)
    return;
  m->partitioned_zone = sim_chance(m, 0.7) ? "south" : "north";
  m->zone_partition_until = m->now + (gint64)(s * 1e6);
  g_debug("WORLD %.3f %s is cut off for %.1f s", m->now / 1e6, m->partitioned_zone, s);
}

/* Machines that are heard and hear nothing, for less or more than a lease. */
static void partition_inbound(Sim *m) {
  double share = sim_chance(m, 0.3) ? 0.1 : 0, s = sim_uniform(m, 10, 2.5 * m->settings->worker_lease_s);
  guint one = (guint)g_rand_int_range(m->rand, 0, (gint)MAX(1, m->workers->len));
  for (guint i = 0; i < m->workers->len; i++) {
    SimWorker *w = m->workers->pdata[i];
    if (w->gone || (i != one && !sim_chance(m, share)))
      continue;
    w->inbound_partition_until = m->now + (gint64)(s * 1e6);
    w->inbound_held = sim_chance(m, 0.5);
    g_debug("WORLD %.3f %s hears nothing for %.1f s", m->now / 1e6, w->model.id, s);
  }
}

/* One controller is left with nobody but its workers. */
static void isolate_controller(Sim *m, int i) {
  double s = sim_uniform(m, 5, 2 * m->settings->worker_lease_s);
  m->controllers[i].store_partition_until = m->controllers[i].peer_partition_until =
      m->now + (gint64)(s * 1e6);
  g_debug("WORLD %.3f c-%d is alone with its workers for %.1f s", m->now / 1e6, i, s);
}

static void restart_machines(Sim *m) {
  double share = sim_chance(m, 0.1) ? 1 : sim_chance(m, 0.3) ? 0.2 : 0;
  guint one = (guint)g_rand_int_range(m->rand, 0, (gint)MAX(1, m->workers->len));
  for (guint i = 0; i < m->workers->len; i++)
    if (i == one || sim_chance(m, share))
      sim_worker_restart(m, m->workers->pdata[i]);
}

static void extra_faults(Sim *m, int i) {
  if (m->plan.deaf && sim_chance(m, 0.3))
    partition_inbound(m);
  if (m->plan.alone && sim_chance(m, 0.2))
    isolate_controller(m, i);
  if (m->plan.quick && sim_chance(m, 0.2))
    restart_machines(m);
  gboolean all = m->plan.quick && sim_chance(m, 0.1);
  for (int k = 0; m->plan.quick && k < m->controller_count; k++)
    if (all || (k == i && sim_chance(m, 0.5)))
      sim_crash_controller(m, k);
}

void sim_random_fault(Sim *m, gpointer p) {
  gboolean still = m->now < (gint64)(m->plan.seconds * 0.6e6);
  if (still && (m->plan.deaf || m->plan.alone || m->plan.quick))
    extra_faults(m, g_rand_int_range(m->rand, 0, m->controller_count));
  if (m->plan.mass_failures && m->now < (gint64)(m->plan.seconds * 0.6e6) && sim_chance(m, 0.3)) {
    if (sim_chance(m, 0.6))
      partition_zone(m);
    else
      fail_many_machines(m);
  }
  if (m->plan.pauses && m->now < (gint64)(m->plan.seconds * 0.6e6) && sim_chance(m, 0.3)) {
    int i = g_rand_int_range(m->rand, 0, m->controller_count);
    m->controllers[i].paused_until = m->now + (gint64)(sim_uniform(m, 5, 60) * 1e6);
    g_debug("WORLD %.3f c-%d stands still until %.3f", m->now / 1e6, i, m->controllers[i].paused_until / 1e6);
  }
  if (m->now < (gint64)(m->plan.seconds * 0.6e6)) {
    int i = g_rand_int_range(m->rand, 0, m->controller_count);
    switch (g_rand_int_range(m->rand, 0, m->plan.more ? 10 : 7)) {
    case 7:
      m->slow_factor = 15;
      m->slow_until = m->now + (gint64)(sim_uniform(m, 10, 60) * 1e6);
      break;
    case 8:
      /* one controller alone is refused, longer than a lease or shorter */
      m->store_refusal_until[i] =
          m->now + (gint64)(sim_uniform(m, 5, 1.5 * m->settings->worker_lease_s + 10) * 1e6);
      break;
    case 9:
      m->peer_refusal_until = m->now + (gint64)(sim_uniform(m, 5, 40) * 1e6);
      break;
    case 0:
      if (m->plan.kills)
        sim_crash_controller(m, i);
      break;
    case 1:
      if (m->plan.kills && sim_chance(m, 0.3))
        for (int n = 0; n < m->controller_count; n++)
          sim_crash_controller(m, n);
      break;
    case 2:
      if (m->plan.cuts)
        m->controllers[i].store_partition_until = m->now + (gint64)(sim_uniform(m, 1, 50) * 1e6);
      break;
    case 3:
      if (m->plan.cuts)
        m->controllers[i].worker_partition_until = m->now + (gint64)(sim_uniform(m, 1, 50) * 1e6);
      break;
    case 4:
      if (m->plan.outages)
        sim_begin_store_outage(m, sim_uniform(m, 1, 40));
      break;
    default: {
      if (!m->workers->len)
        break;
      SimWorker *w = m->workers->pdata[g_rand_int_range(m->rand, 0, (gint)m->workers->len)];
      if (m->plan.hangs && sim_chance(m, 0.5)) {
        w->hung_until = m->now + (gint64)(sim_uniform(m, 2, 60) * 1e6);
      } else if (m->plan.deaths) {
        /* dies silently: stays in the list, never reports */
        sim_worker_lose(m, w);
      }
    }
    }
  }
  sim_schedule(m, sim_uniform(m, 2, 15), sim_random_fault, NULL);
}
