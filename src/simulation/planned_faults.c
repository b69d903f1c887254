/* The plan's own faults: what goes wrong at a set time, for so long, to whom. Roles are found when the time
 * comes: who leads is what the store says. */
#include <string.h>

#include "simulation/simulation_internal.h"
#include "wire/store.h"

static int leader_of(Sim *m) {
  g_autofree char *path = fk_key(FK_KEY_LEADER, "");
  const FkStoreItem *it = fk_store_model_get(m->store, path);
  if (!it)
    return -1;
  g_autoptr(cJSON) j = fk_json_parse(it->value, strlen(it->value));
  FkRecord *r = fk_store_record_from_json(path, j);
  int i = r && r->node ? r->node[2] - '0' : -1;
  fk_record_free(r);
  return i;
}

static gint64 until(const Sim *m, const SimFault *f) { return m->now + (gint64)(f->for_s * 1e6); }

static void to_controller(Sim *m, const SimFault *f, int i) {
  Ctl *c = &m->ctl[i];
  g_debug("WORLD %.3f fault %d of c-%d for %.1f s", m->now / 1e6, f->kind, i, f->for_s);
  switch (f->kind) {
  case SIM_CRASH:
    crash(m, i);
    break;
  case SIM_FREEZE:
    c->frozen = until(m, f);
    break;
  case SIM_REFUSE:
    m->refused_until[i] = until(m, f);
    break;
  case SIM_CUT_STATE:
    c->cut_state = until(m, f);
    break;
  case SIM_CUT_WORKERS:
    c->cut_workers = until(m, f);
    break;
  default:
    c->cut_state = c->cut_peers = until(m, f);
  }
}

static void to_machines(Sim *m, const SimFault *f, double share) {
  guint one = (guint)g_rand_int_range(m->rand, 0, (gint)MAX(1, m->workers->len));
  for (guint i = 0; i < m->workers->len; i++) {
    Worker *w = m->workers->pdata[i];
    if (w->gone || (i != one && !chance(m, share)))
      continue;
    if (f->kind == SIM_HANG)
      w->hung = until(m, f);
    else if (f->kind == SIM_DEATH)
      lose(m, w);
    else if (f->kind == SIM_ANEW)
      reboot(m, w);
    else if (f->kind == SIM_MUTE)
      w->mute = until(m, f);
    else {
      w->deaf = until(m, f);
      w->deaf_holds = chance(m, 0.5);
    }
  }
}

#define HANG_MAX 8

/* Called off within a fifth of a second: jobs that run. */
static void cancelled_now(Sim *m, const SimFault *f, double share) {
  guint hang = f->for_s > 0 ? HANG_MAX : 0;
  for (guint i = 0; i < m->jobs->len; i++) {
    UJob *j = m->jobs->pdata[i];
    if (j->began_at && !j->large && !j->asked_cancel && chance(m, share)) {
      after(m, between(m, 0, 0.2), user_cancels, j);
      for (guint k = 0; hang && k < m->workers->len; k++) {
        Worker *w = m->workers->pdata[k];
        for (guint n = 0; !w->gone && m->now >= w->hung && n < w->model.tasks->len; n++)
          if (((FkWorkerTask *)w->model.tasks->pdata[n])->on &&
              g_str_equal(((FkWorkerTask *)w->model.tasks->pdata[n])->job, j->id)) {
            w->hung = until(m, f);
            hang--;
            break;
          }
      }
    }
  }
}

void outage_begins(Sim *m, double s) {
  m->outage = m->now + (gint64)(s * 1e6);
  fk_store_model_extend_holds(m->store, m->outage);
}

static void fault_begins(Sim *m, gpointer p) {
  const SimFault *f = p;
  double share = f->share > 0 ? f->share : 1.0 / 3;
  int leader = leader_of(m), one = leader;
  switch (f->kind) {
  case SIM_OUTAGE:
    outage_begins(m, f->for_s);
    break;
  case SIM_SLOW:
    m->slow = 250;
    m->slow_until = until(m, f);
    break;
  case SIM_LATE_WRITES:
    m->late_writes_until = until(m, f);
    m->late_writes = share;
    break;
  case SIM_PEERS_REFUSE:
    m->peers_refuse_until = until(m, f);
    break;
  case SIM_ZONE:
    m->cut_zone = chance(m, 0.5) ? "south" : "north";
    m->cut_until = until(m, f);
    break;
  case SIM_HELD:
    m->held_until = until(m, f);
    m->held = share;
    break;
  case SIM_COPIES:
    m->copies_until = until(m, f);
    m->copies = share;
    break;
  case SIM_RUSH:
    m->rush_until = until(m, f);
    break;
  case SIM_CANCEL_NOW:
    cancelled_now(m, f, share);
    break;
  case SIM_CANCEL_AT_END:
    m->cancel_at_end_until = until(m, f);
    m->cancel_at_end = share;
    break;
  case SIM_LOOKS:
    m->looks_until = until(m, f);
    break;
  case SIM_ODD:
    m->odd_until = until(m, f);
    odd_requests(m, NULL);
    break;
  case SIM_LOST_ANSWERS:
    m->lost_answers_until = until(m, f);
    m->lost_answers = share;
    m->lost_of = f->touches;
    break;
  case SIM_OLD_REPORTS:
    m->keep_until = until(m, f);
    m->keep = share;
    break;
  case SIM_CLOUD:
    m->cloud_until = until(m, f);
    break;
  case SIM_HANG:
  case SIM_DEAF:
  case SIM_MUTE:
  case SIM_DEATH:
  case SIM_ANEW:
    to_machines(m, f, share);
    break;
  default:
    if (f->who == SIM_ANYBODY || leader < 0)
      one = g_rand_int_range(m->rand, 0, m->n);
    else if (f->who == SIM_OTHERS)
      one = (leader + g_rand_int_range(m->rand, 1, m->n)) % m->n;
    for (int i = 0; i < m->n; i++)
      if (f->who == SIM_ALL || i == one)
        to_controller(m, f, i);
  }
  g_debug("WORLD %.3f fault %d begins, for %.1f s", m->now / 1e6, f->kind, f->for_s);
}

void faults_plan(Sim *m) {
  for (guint i = 0; i < m->plan.n_faults; i++)
    after(m, m->plan.faults[i].at_s, fault_begins, (gpointer)&m->plan.faults[i]);
}

double copies_now(const Sim *m) { return m->now < m->copies_until ? m->copies : m->plan.copies; }
