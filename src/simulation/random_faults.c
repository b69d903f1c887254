/* What goes wrong in the simulated world, and when. */
#include "simulation/simulation_internal.h"

/* Many machines at once: some die, some hang for shorter or longer than a lease. */
static void mass_loss(Sim *m) {
  double share = between(m, 0.1, 0.5), s = between(m, 0.5, 1.5) * m->s->lease_s;
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *w = m->workers->pdata[i];
    if (w->gone || !chance(m, share))
      continue;
    if (chance(m, 0.5)) {
      w->hung = m->now + (gint64)(s * 1e6);
    } else {
      lose(m, w);
    }
  }
}

/* The growth experiment's loss: just so many machines, whatever runs there. */
void lose_a_share(Sim *m, gpointer p) {
  SimRecovery *r = &m->r.recovery;
  guint here = 0, seen = 0;
  for (guint i = 0; i < m->workers->len; i++)
    here += !((Worker *)m->workers->pdata[i])->gone;
  guint every = (guint)MAX(1, 1 / m->plan.loss_share + 0.5);
  r->up = g_hash_table_size(m->truth);
  m->lost_at = m->now;
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *w = m->workers->pdata[i];
    if (w->gone || seen++ % every)
      continue;
    for (guint k = 0; k < w->model.tasks->len; k++) {
      FkWorkerTask *t = w->model.tasks->pdata[k];
      if (t->on)
        r->lost += job_of(m, t->job)->lost = TRUE;
    }
    lose(m, w);
  }
  g_debug("WORLD %.3f of %u machines %u are lost", m->now / 1e6, here, seen / every);
}

static void cut_a_zone(Sim *m) {
  static const double times[] = {0.5, 1, 1.5};
  double s = times[g_rand_int_range(m->rand, 0, 3)] * (chance(m, 0.5) ? m->s->lease_s : m->s->cancel_s);
  if (m->now < m->cut_until)
    return;
  m->cut_zone = chance(m, 0.7) ? "south" : "north";
  m->cut_until = m->now + (gint64)(s * 1e6);
  g_debug("WORLD %.3f %s is cut off for %.1f s", m->now / 1e6, m->cut_zone, s);
}

/* Machines that are heard and hear nothing, for less or more than a lease. */
static void go_deaf(Sim *m) {
  double share = chance(m, 0.3) ? 0.1 : 0, s = between(m, 10, 2.5 * m->s->lease_s);
  guint one = (guint)g_rand_int_range(m->rand, 0, (gint)MAX(1, m->workers->len));
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *w = m->workers->pdata[i];
    if (w->gone || (i != one && !chance(m, share)))
      continue;
    w->deaf = m->now + (gint64)(s * 1e6);
    w->deaf_holds = chance(m, 0.5);
    g_debug("WORLD %.3f %s hears nothing for %.1f s", m->now / 1e6, w->model.id, s);
  }
}

/* One controller is left with nobody but its workers. */
static void leave_alone(Sim *m, int i) {
  double s = between(m, 5, 2 * m->s->lease_s);
  m->ctl[i].cut_state = m->ctl[i].cut_peers = m->now + (gint64)(s * 1e6);
  g_debug("WORLD %.3f c-%d is alone with its workers for %.1f s", m->now / 1e6, i, s);
}

static void reboot_some(Sim *m) {
  double share = chance(m, 0.1) ? 1 : chance(m, 0.3) ? 0.2 : 0;
  guint one = (guint)g_rand_int_range(m->rand, 0, (gint)MAX(1, m->workers->len));
  for (guint i = 0; i < m->workers->len; i++)
    if (i == one || chance(m, share))
      reboot(m, m->workers->pdata[i]);
}

static void new_troubles(Sim *m, int i) {
  if (m->plan.deaf && chance(m, 0.3))
    go_deaf(m);
  if (m->plan.alone && chance(m, 0.2))
    leave_alone(m, i);
  if (m->plan.quick && chance(m, 0.2))
    reboot_some(m);
  gboolean all = m->plan.quick && chance(m, 0.1);
  for (int k = 0; m->plan.quick && k < m->n; k++)
    if (all || (k == i && chance(m, 0.5)))
      crash(m, k);
}

void trouble(Sim *m, gpointer p) {
  gboolean still = m->now < (gint64)(m->plan.seconds * 0.6e6);
  if (still && (m->plan.deaf || m->plan.alone || m->plan.quick))
    new_troubles(m, g_rand_int_range(m->rand, 0, m->n));
  if (m->plan.masses && m->now < (gint64)(m->plan.seconds * 0.6e6) && chance(m, 0.3)) {
    if (chance(m, 0.6))
      cut_a_zone(m);
    else
      mass_loss(m);
  }
  if (m->plan.freezes && m->now < (gint64)(m->plan.seconds * 0.6e6) && chance(m, 0.3)) {
    int i = g_rand_int_range(m->rand, 0, m->n);
    m->ctl[i].frozen = m->now + (gint64)(between(m, 5, 60) * 1e6);
    g_debug("WORLD %.3f c-%d stands still until %.3f", m->now / 1e6, i, m->ctl[i].frozen / 1e6);
  }
  if (m->now < (gint64)(m->plan.seconds * 0.6e6)) {
    int i = g_rand_int_range(m->rand, 0, m->n);
    switch (g_rand_int_range(m->rand, 0, m->plan.more ? 10 : 7)) {
    case 7:
      m->slow = 15;
      m->slow_until = m->now + (gint64)(between(m, 10, 60) * 1e6);
      break;
    case 8:
      /* one controller alone is refused, longer than a lease or shorter */
      m->refused_until[i] = m->now + (gint64)(between(m, 5, 1.5 * m->s->lease_s + 10) * 1e6);
      break;
    case 9:
      m->peers_refuse_until = m->now + (gint64)(between(m, 5, 40) * 1e6);
      break;
    case 0:
      if (m->plan.kills)
        crash(m, i);
      break;
    case 1:
      if (m->plan.kills && chance(m, 0.3))
        for (int n = 0; n < m->n; n++)
          crash(m, n);
      break;
    case 2:
      if (m->plan.cuts)
        m->ctl[i].cut_state = m->now + (gint64)(between(m, 1, 50) * 1e6);
      break;
    case 3:
      if (m->plan.cuts)
        m->ctl[i].cut_workers = m->now + (gint64)(between(m, 1, 50) * 1e6);
      break;
    case 4:
      if (m->plan.outages)
        outage_begins(m, between(m, 1, 40));
      break;
    default: {
      if (!m->workers->len)
        break;
      Worker *w = m->workers->pdata[g_rand_int_range(m->rand, 0, (gint)m->workers->len)];
      if (m->plan.hangs && chance(m, 0.5)) {
        w->hung = m->now + (gint64)(between(m, 2, 60) * 1e6);
      } else if (m->plan.deaths) {
        /* dies silently: stays in the list, never reports */
        lose(m, w);
      }
    }
    }
  }
  after(m, between(m, 2, 15), trouble, NULL);
}
