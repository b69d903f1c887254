/* Machines that go back: returned by the cloud's word, idle, or dearer than what runs there needs. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/controller.h"

#include <string.h>

#define RETURN_MAX 100 /* names a call, the cloud's limit */

/* The cloud's 200 is proof that the machine, and all that was on it, is gone, whoever its home is: what is
 * booked there is released at once, hundreds of bookings by one put, then its description goes. (The leader
 * used to mark it, and its home released: two pages of every group and two waits for the view more, in the
 * very seconds in which the store's writes are what everything waits for.) Should we end before that is
 * written, the next leader returns the machine once more, and hears the same. */
static void forget_machine(FkController *c, FkMachine *m) {
  for (guint i = 0; i < m->books->len; i++) {
    const FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
    if (!fk_ending(c, m, b))
      fk_end_book(c, m, b, FK_END_RELEASED, FALSE);
  }
  if (!m->books->len)
    fk_roster_remove(c, m);
}

void fk_controller_returned(FkController *c, FkTime now, guint64 call, FkOutcome o) {
  c->now = now;
  FkFleet *f = c->fleet;
  gpointer key, value;
  if (!g_hash_table_steal_extended(f->calls, &call, &key, &value))
    return;
  g_free(key);
  g_autoptr(GPtrArray) names = value;
  g_info("%u machines returned: outcome %d", names->len, o);
  for (guint i = 0; i < names->len; i++) {
    g_hash_table_remove(f->returning, names->pdata[i]);
    if (o != FK_OK)
      continue;
    FkTime *when = g_new(FkTime, 1);
    *when = now;
    g_hash_table_replace(f->gone, g_strdup(names->pdata[i]), when);
    g_hash_table_remove(f->booting, names->pdata[i]);
    FkMachine *m = fk_view_machine(c->view, names->pdata[i]);
    if (m && m->rec && fk_ready(c))
      forget_machine(c, m);
  }
  if (o != FK_OK)
    f->return_next = fk_time_add(now, 1);
}

#define GONE_KEPT_S 300.0 /* the list lags by far less */

static gboolean long_gone(gpointer id, gpointer when, gpointer now) {
  return fk_time_between(*(FkTime *)when, *(FkTime *)now) > GONE_KEPT_S;
}

#define JOINED_WITHIN_S 45.0

static gboolean never_up(FkController *c, const Booting *b, const FkType *t) {
  double s = fk_time_between(b->since, c->now);
  if (s < CHARGED_S)
    return FALSE;
  /* up, and not joined: with thousands that come at once the joins take their time. By their age alone 1,166
   * of 3,040 machines that were there before the first controller were given back after 25 s. */
  if (t && b->running)
    return fk_time_between(b->running_since, c->now) > JOINED_WITHIN_S;
  return !t || fk_fleet_boot_age(c, b, t) > BOOTS_MOST ||
         fk_boots_chance(&c->fleet->boots, fk_fleet_boot_age(c, b, t), 2) < GIVEN_UP;
}

void fk_fleet_return_some(FkController *c) {
  FkFleet *f = c->fleet;
  g_hash_table_foreach_remove(f->gone, long_gone, &c->now);
  if (!fk_time_reached(c->now, f->return_next))
    return;
  g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
  g_autoptr(GPtrArray) serving = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    if (!m->rec || !m->mark || names->len >= RETURN_MAX)
      continue;
    if (g_hash_table_contains(f->gone, m->id)) {
      forget_machine(c, m);
      continue;
    }
    if (g_hash_table_contains(f->returning, m->id) || g_str_equal(m->mark, "notice"))
      continue;
    /* an idle machine goes only while nothing is booked there */
    if ((g_str_equal(m->mark, FK_MARK_IDLE) || g_str_equal(m->mark, FK_MARK_DRAIN)) &&
        (m->books->len || fk_time_between(m->mark_seen, c->now) < 0.5))
      continue;
    if (g_str_equal(m->mark, "silent") && fk_services_on(m))
      g_ptr_array_add(serving, m);
    else
      g_ptr_array_add(names, g_strdup(m->id));
  }
  fk_recover_give_up(c, serving, names, RETURN_MAX);
  g_hash_table_iter_init(&it, f->booting);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Booting *b = p;
    FkMachine *m = fk_view_machine(c->view, b->id);
    FkType *t = g_hash_table_lookup(c->types, b->type);
    if ((m && m->rec) || g_hash_table_contains(f->gone, b->id)) {
      if (t && m && m->rec && b->hired)
        fk_boots_came(&f->boots, fk_fleet_boot_age(c, b, t));
      g_hash_table_iter_remove(&it);
      continue;
    }
    if ((b->failed || never_up(c, b, t)) && names->len < RETURN_MAX &&
        !g_hash_table_contains(f->returning, b->id)) {
      if (t && b->hired)
        fk_boots_missed(&f->boots, fk_fleet_boot_age(c, b, t));
      g_ptr_array_add(names, g_strdup(b->id));
    }
  }
  if (!names->len)
    return;
  FkOut *o = fk_out(c, FK_OUT_RETURN);
  o->call = ++c->next_call;
  o->names = g_ptr_array_copy(names, (GCopyFunc)(void (*)(void))g_strdup, NULL);
  g_ptr_array_set_free_func(o->names, g_free);
  for (guint i = 0; i < names->len; i++)
    g_hash_table_add(f->returning, g_strdup(names->pdata[i]));
  g_hash_table_insert(f->calls, g_memdup2(&o->call, sizeof o->call), g_steal_pointer(&names));
  f->return_next = fk_time_add(c->now, 0.7);
}

static int longest_idle(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  return x->idle_since.us < y->idle_since.us ? -1 : x->idle_since.us > y->idle_since.us;
}

#define FEW                                                                                                  \
  50.0 /* machines: with more of them demand is smoother, and an idle machine is sooner known to be spare */

/* How long a machine may be idle. What spot machines cost is little against their boots, as long as there are
 * few. */
static double idle_limit_s(FkController *c, const FkMachine *m, const double times[2]) {
  double few = MIN(1, FEW / MAX(1, g_hash_table_size(c->view->machines)));
  return c->settings->tuning.idle_s * (0.5 + 0.5 * few) * (m->rec->spot ? 1.5 + 2.5 * few : 1) *
         times[m->rec->spot != 0];
}

double fk_fleet_hold_times(FkController *c, gboolean spot) {
  return fk_hold_times(&c->fleet->hold[spot != 0], c->now);
}

#define DEAR 4.0 /* times what its replicas would cost on the cheapest machines */
#define DEAR_EVERY_S 0.5
#define MOVE_LEFT_S 5.0 /* for a task to start anew */
#define RUN_MOST 1.6    /* times its estimate that a task may take */
#define LEFT_LEAST 0.6  /* ... of what is left, that it may end after */
#define SETTLED_S 30.0

double fk_cheapest_price(FkController *c, const FkSpec *s) {
  double best = G_MAXDOUBLE;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->types);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkType *t = p;
    guint slots = fk_job_fits_type(s, t) ? fk_fleet_slots(t->cpus, t->gpus, t->mem_gb, s) : 0;
    if (slots)
      best = MIN(best, fk_type_price(t, s->spot) / slots);
  }
  return best;
}

/* Every aim of the task's that it may meet where it is must be met by far if it starts anew. `within`: since
 * the submission. */
static gboolean stays_on_time(double within, double waited, double left, double run_s) {
  return within < waited + LEFT_LEAST * left || within >= waited + RUN_MOST * run_s + MOVE_LEFT_S;
}

/* Whether it can start again elsewhere without harm: a service that has settled, or a task of an array with
 * time to spare for all of its aims. What it has done is lost, and costs less than keeping a machine for it.
 */
static gboolean may_move(FkController *c, const FkBookRef *b) {
  const FkSpec *s = b->job->spec;
  if (b->stop || b->job->cancelled || s->shape == FK_SHAPE_GANG)
    return FALSE;
  double ran = fk_time_between(b->since, c->now);
  if (s->shape == FK_SHAPE_SERVICE)
    return ran >= SETTLED_S;
  double waited = fk_time_between((FkTime){b->job->could_us}, c->now), run_s = fk_view_run_s(c->view, s),
         left = MAX(0, run_s - ran);
  double due = fk_job_due_s(b->job);
  gboolean aims = due >= 0;
  if (aims && !stays_on_time(due, waited, left, run_s))
    return FALSE;
  gboolean spare = aims && due >= waited + RUN_MOST * run_s;
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *o = c->settings->objectives->pdata[i];
    if (g_strcmp0(o->kind, "finished") != 0 || g_strcmp0(o->class_name, s->class_name) != 0)
      continue;
    if (!stays_on_time(o->within_s, waited, left, run_s))
      return FALSE;
    spare |= o->within_s >= waited + RUN_MOST * run_s;
  }
  return spare;
}

/* How much dearer a machine is than what runs there needs; 0: it isn't for us to say. */
static double dearness(FkController *c, const FkMachine *m) {
  const FkType *t = fk_type_of(c, m);
  double need = 0;
  if (!t || m->mark || !m->books->len)
    return 0;
  for (guint i = 0; i < m->books->len; i++) {
    const FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
    if (!may_move(c, b))
      return 0;
    need += fk_cheapest_price(c, b->job->spec);
  }
  return fk_type_price(t, m->rec->spot) / need;
}

/* A machine kept by a few tasks costs more than they are worth: they move where there is room, one machine at
 * a time, when nothing waits. */
void fk_fleet_drain_dear(FkController *c) {
  FkFleet *f = c->fleet;
  if (!fk_time_reached(c->now, f->drain_next))
    return;
  f->drain_next = fk_time_add(c->now, DEAR_EVERY_S);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (fk_job_waiting(p))
      return;
  FkMachine *worst = NULL;
  double most = DEAR;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    double d = ((FkMachine *)p)->rec ? dearness(c, p) : 0;
    if (d > most) {
      worst = p;
      most = d;
    }
  }
  if (!worst)
    return;
  const FkSpec *s = g_array_index(worst->books, FkBookRef, 0).job->spec;
  for (guint i = 1; i < worst->books->len; i++) {
    const FkSpec *o = g_array_index(worst->books, FkBookRef, i).job->spec;
    if (o->cpus > s->cpus || (o->cpus == s->cpus && !o->spot))
      s = o; /* the one that is hardest to place speaks for all */
  }
  guint room = 0;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    const FkType *t = fk_type_of(c, m);
    if (t && m != worst && !m->mark && m->books->len && (!m->rec->spot || s->spot) &&
        fk_job_fits_type(s, t) &&
        fk_type_price(t, m->rec->spot) < fk_type_price(worst->type, worst->rec->spot))
      room += fk_fleet_slots(t->cpus - m->cpus, t->gpus - m->gpus, t->mem_gb - m->mem_gb, s);
  }
  if (room < 2 * worst->books->len)
    return;
  g_info("%s (%s) is left by %u tasks: it costs %.1f times what they need", worst->id, worst->rec->type,
         worst->books->len, most);
  fk_roster_mark(c, worst, FK_MARK_DRAIN, -1);
}

/* Work on ordinary machines that spot machines could do, in CPUs. While there is any, an idle spot machine is
 * worth keeping for the next tasks: the ordinary ones, which cost several times as much, run empty instead
 * and go. */
#define SPOT_KEPT_S 60.0

static double on_ordinary(FkController *c) {
  double cpus = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    for (guint i = 0; m->rec && !m->rec->spot && i < m->books->len; i++) {
      const FkSpec *s = g_array_index(m->books, FkBookRef, i).job->spec;
      cpus += s->spot && s->shape == FK_SHAPE_ARRAY ? s->cpus : 0;
    }
  }
  return cpus;
}

/* Idle machines that the plan has no use for, those idle for longest first. */
void fk_fleet_give_back_idle(FkController *c, const Bins *bins) {
  g_autoptr(GPtrArray) idle = g_ptr_array_new();
  const double times[2] = {fk_hold_times(&c->fleet->hold[FALSE], c->now),
                           fk_hold_times(&c->fleet->hold[TRUE], c->now)};
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    if (m->rec && !m->mark && !m->want_mark && !m->books->len && m->pend_cpus <= 0 && fk_type_of(c, m) &&
        fk_time_between(m->idle_since, c->now) > idle_limit_s(c, m, times))
      g_ptr_array_add(idle, m);
  }
  g_ptr_array_sort(idle, longest_idle);
  double movable = on_ordinary(c);
  for (guint i = 0; i < bins->list->len; i++) {
    const Bin *b = &g_array_index(bins->list, Bin, i);
    guint spare = b->key.kind == BIN_IDLE ? b->count : 0;
    for (guint k = 0; k < idle->len && spare; k++) {
      FkMachine *m = idle->pdata[k];
      if (!m || m->type != b->key.type || m->rec->spot != (gboolean)b->key.spot ||
          !g_str_equal(m->rec->zone, b->key.zone))
        continue;
      if (m->rec->spot && movable > 0 && fk_time_between(m->idle_since, c->now) < SPOT_KEPT_S) {
        movable -= m->type->cpus;
        idle->pdata[k] = NULL;
        spare--;
        continue;
      }
      fk_roster_mark(c, m, FK_MARK_IDLE, -1);
      fk_hold_returned(&c->fleet->hold[m->rec->spot != 0], m->type->cpus, c->now);
      idle->pdata[k] = NULL;
      spare--;
    }
  }
}
