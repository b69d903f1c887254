/* Machines that go back: returned by the cloud's word, idle, or dearer than what runs there needs. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/controller.h"
#include "core/scheduling/placement.h"

#include <string.h>

#define TERMINATE_NAMES_MAX 100 /* names a call, the cloud's limit */

/* The cloud's 200 is proof that the machine, and all that was on it, is gone, whoever its home is: what is
 * booked there is released at once, hundreds of bookings by one put, then its description goes. (The leader
 * used to mark it, and its home released: two pages of every group and two waits for the view more, in the
 * very seconds in which the store's writes are what everything waits for.) Should we end before that is
 * written, the next leader returns the machine once more, and hears the same. */
static void release_terminated_machine(FkController *c, FkMachine *m) {
  for (guint i = 0; i < m->allocations->len; i++) {
    const FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
    if (!fk_completion_is_pending(c, m, b))
      fk_completions_add(c, m, b, FK_COMPLETION_RELEASED, FALSE);
  }
  if (!m->allocations->len)
    fk_machine_registry_remove(c, m);
}

void fk_controller_terminate_received(FkController *c, FkTime now, guint64 call, FkOutcome o) {
  c->now = now;
  FkAutoscaler *f = c->autoscaling.autoscaler;
  gpointer key, value;
  if (!g_hash_table_steal_extended(f->terminate_calls, &call, &key, &value))
    return;
  g_free(key);
  g_autoptr(GPtrArray) names = value;
  g_info("%u machines returned: outcome %d", names->len, o);
  for (guint i = 0; i < names->len; i++) {
    g_hash_table_remove(f->terminating, names->pdata[i]);
    if (o != FK_OUTCOME_OK)
      continue;
    FkTime *when = g_new(FkTime, 1);
    *when = now;
    g_hash_table_replace(f->terminated, g_strdup(names->pdata[i]), when);
    g_hash_table_remove(f->booting, names->pdata[i]);
    FkMachine *m = fk_view_find_machine(c->view, names->pdata[i]);
    if (m && m->record && fk_controller_is_ready(c))
      release_terminated_machine(c, m);
  }
  if (o != FK_OUTCOME_OK)
    f->next_termination = fk_time_add(now, 1);
}

#define TERMINATED_RETENTION_S 300.0 /* the list lags by far less */

static gboolean terminated_entry_expired(gpointer id, gpointer when, gpointer now) {
  return fk_time_between(*(FkTime *)when, *(FkTime *)now) > TERMINATED_RETENTION_S;
}

#define JOIN_TIMEOUT_S 45.0

static gboolean boot_timed_out(FkController *c, const FkBootingInstance *b, const FkInstanceType *t) {
  double s = fk_time_between(b->requested_at, c->now);
  if (s < MIN_BILLED_S)
    return FALSE;
  /* up, and not joined: with thousands that come at once the joins take their time. By their age alone 1,166
   * of 3,040 machines that were there before the first controller were given back after 25 s. */
  if (t && b->running)
    return fk_time_between(b->running_since, c->now) > JOIN_TIMEOUT_S;
  return !t || fk_autoscaler_boot_age(c, b, t) > BOOT_AGE_MAX ||
         fk_boot_time_probability(&c->autoscaling.autoscaler->boot_times, fk_autoscaler_boot_age(c, b, t),
                                  2) < BOOT_PROBABILITY_TERMINATE;
}

void fk_autoscaler_terminate_machines(FkController *c) {
  FkAutoscaler *f = c->autoscaling.autoscaler;
  g_hash_table_foreach_remove(f->terminated, terminated_entry_expired, &c->now);
  if (!fk_time_reached(c->now, f->next_termination))
    return;
  g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
  g_autoptr(GPtrArray) serving = g_ptr_array_new();
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    if (!m->record || !m->drain_reason || names->len >= TERMINATE_NAMES_MAX)
      continue;
    if (g_hash_table_contains(f->terminated, m->id)) {
      release_terminated_machine(c, m);
      continue;
    }
    if (g_hash_table_contains(f->terminating, m->id) || g_str_equal(m->drain_reason, "notice"))
      continue;
    /* an idle machine goes only while nothing is booked there */
    if ((g_str_equal(m->drain_reason, FK_DRAIN_REASON_IDLE) ||
         g_str_equal(m->drain_reason, FK_DRAIN_REASON_DRAIN)) &&
        (m->allocations->len || fk_time_between(m->drain_reason_since, c->now) < 0.5))
      continue;
    if (g_str_equal(m->drain_reason, "silent") && fk_machine_service_tasks(m))
      g_ptr_array_add(serving, m);
    else
      g_ptr_array_add(names, g_strdup(m->id));
  }
  fk_service_failover_select(c, serving, names, TERMINATE_NAMES_MAX);
  g_hash_table_iter_init(&it, f->booting);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkBootingInstance *b = p;
    FkMachine *m = fk_view_find_machine(c->view, b->id);
    FkInstanceType *t = g_hash_table_lookup(c->autoscaling.instance_types, b->type);
    if ((m && m->record) || g_hash_table_contains(f->terminated, b->id)) {
      if (t && m && m->record && b->requested_by_us)
        fk_boot_time_observe_joined(&f->boot_times, fk_autoscaler_boot_age(c, b, t));
      g_hash_table_iter_remove(&it);
      continue;
    }
    if ((b->failed || boot_timed_out(c, b, t)) && names->len < TERMINATE_NAMES_MAX &&
        !g_hash_table_contains(f->terminating, b->id)) {
      if (t && b->requested_by_us)
        fk_boot_time_observe_given_up(&f->boot_times, fk_autoscaler_boot_age(c, b, t));
      g_ptr_array_add(names, g_strdup(b->id));
    }
  }
  if (!names->len)
    return;
  FkOutput *o = fk_output_new(c, FK_OUTPUT_TERMINATE);
  o->call = ++c->calls.last_id;
  o->names = g_ptr_array_copy(names, (GCopyFunc)(void (*)(void))g_strdup, NULL);
  g_ptr_array_set_free_func(o->names, g_free);
  for (guint i = 0; i < names->len; i++)
    g_hash_table_add(f->terminating, g_strdup(names->pdata[i]));
  g_hash_table_insert(f->terminate_calls, g_memdup2(&o->call, sizeof o->call), g_steal_pointer(&names));
  f->next_termination = fk_time_add(c->now, 0.7);
}

static int compare_by_idle_time(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  return x->idle_since.us < y->idle_since.us ? -1 : x->idle_since.us > y->idle_since.us;
}

#define FEW_MACHINES                                                                                         \
  50.0 /* machines: with more of them demand is smoother, and an idle machine is sooner known to be spare */

/* How long a machine may be idle. What spot machines cost is little against their boots, as long as there are
 * few. */
static double idle_limit_s(FkController *c, const FkMachine *m, const double times[2]) {
  double few = MIN(1, FEW_MACHINES / MAX(1, g_hash_table_size(c->view->machines)));
  return c->settings->tuning.idle_s * (0.5 + 0.5 * few) * (m->record->spot ? 1.5 + 2.5 * few : 1) *
         times[m->record->spot != 0];
}

double fk_autoscaler_retention_factor(FkController *c, gboolean spot) {
  return fk_idle_retention_factor(&c->autoscaling.autoscaler->retention[spot != 0], c->now);
}

#define OVERPRICED_RATIO 4.0 /* times what its replicas would cost on the cheapest machines */
#define DRAIN_INTERVAL_S 0.5
#define RESTART_MARGIN_S 5.0    /* for a task to start anew */
#define RUN_TIME_MAX_RATIO 1.6  /* times its estimate that a task may take */
#define REMAINING_MIN_RATIO 0.6 /* ... of what is left, that it may end after */
#define SERVICE_SETTLED_S 30.0

double fk_autoscaler_cheapest_price(FkController *c, const FkSpec *s) {
  double best = G_MAXDOUBLE;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->autoscaling.instance_types);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkInstanceType *t = p;
    guint slots = fk_placement_fits_type(s, t) ? fk_autoscaler_task_slots(t->cpus, t->gpus, t->mem_gb, s) : 0;
    if (slots)
      best = MIN(best, fk_instance_type_price(t, s->spot) / slots);
  }
  return best;
}

/* Every aim of the task's that it may meet where it is must be met by far if it starts anew. `within`: since
 * the submission. */
static gboolean meets_deadline_after_restart(double within, double waited, double left, double run_s) {
  return within < waited + REMAINING_MIN_RATIO * left ||
         within >= waited + RUN_TIME_MAX_RATIO * run_s + RESTART_MARGIN_S;
}

/* Whether it can start again elsewhere without harm: a service that has settled, or a task of an array with
 * time to spare for all of its aims. What it has done is lost, and costs less than keeping a machine for it.
 */
static gboolean task_can_move(FkController *c, const FkAllocationRef *b) {
  const FkSpec *s = b->job->spec;
  if (b->stop_requested || b->job->cancelled || s->shape == FK_SHAPE_GANG)
    return FALSE;
  double ran = fk_time_between(b->first_seen_at, c->now);
  if (s->shape == FK_SHAPE_SERVICE)
    return ran >= SERVICE_SETTLED_S;
  double waited = fk_time_between((FkTime){b->job->startable_us}, c->now),
         run_s = fk_view_expected_run_s(c->view, s), left = MAX(0, run_s - ran);
  double due = fk_job_allowed_s(b->job);
  gboolean aims = due >= 0;
  if (aims && !meets_deadline_after_restart(due, waited, left, run_s))
    return FALSE;
  gboolean spare = aims && due >= waited + RUN_TIME_MAX_RATIO * run_s;
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *o = c->settings->objectives->pdata[i];
    if (g_strcmp0(o->kind, "finished") != 0 || g_strcmp0(o->class_name, s->class_name) != 0)
      continue;
    if (!meets_deadline_after_restart(o->within_s, waited, left, run_s))
      return FALSE;
    spare |= o->within_s >= waited + RUN_TIME_MAX_RATIO * run_s;
  }
  return spare;
}

/* How much dearer a machine is than what runs there needs; 0: it isn't for us to say. */
static double price_ratio(FkController *c, const FkMachine *m) {
  const FkInstanceType *t = fk_machine_type(c, m);
  double need = 0;
  if (!t || m->drain_reason || !m->allocations->len)
    return 0;
  for (guint i = 0; i < m->allocations->len; i++) {
    const FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, i);
    if (!task_can_move(c, b))
      return 0;
    need += fk_autoscaler_cheapest_price(c, b->job->spec);
  }
  return fk_instance_type_price(t, m->record->spot) / need;
}

/* A machine kept by a few tasks costs more than they are worth: they move where there is room, one machine at
 * a time, when nothing waits. */
void fk_autoscaler_drain_overpriced(FkController *c) {
  FkAutoscaler *f = c->autoscaling.autoscaler;
  if (!fk_time_reached(c->now, f->next_drain))
    return;
  f->next_drain = fk_time_add(c->now, DRAIN_INTERVAL_S);
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (fk_job_waiting_tasks(p))
      return;
  FkMachine *worst = NULL;
  double most = OVERPRICED_RATIO;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    double d = ((FkMachine *)p)->record ? price_ratio(c, p) : 0;
    if (d > most) {
      worst = p;
      most = d;
    }
  }
  if (!worst)
    return;
  const FkSpec *s = g_array_index(worst->allocations, FkAllocationRef, 0).job->spec;
  for (guint i = 1; i < worst->allocations->len; i++) {
    const FkSpec *o = g_array_index(worst->allocations, FkAllocationRef, i).job->spec;
    if (o->cpus > s->cpus || (o->cpus == s->cpus && !o->spot))
      s = o; /* the one that is hardest to place speaks for all */
  }
  guint room = 0;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    const FkInstanceType *t = fk_machine_type(c, m);
    if (t && m != worst && !m->drain_reason && m->allocations->len && (!m->record->spot || s->spot) &&
        fk_placement_fits_type(s, t) &&
        fk_instance_type_price(t, m->record->spot) < fk_instance_type_price(worst->type, worst->record->spot))
      room += fk_autoscaler_task_slots(t->cpus - m->allocated_cpus, t->gpus - m->allocated_gpus,
                                       t->mem_gb - m->allocated_mem_gb, s);
  }
  if (room < 2 * worst->allocations->len)
    return;
  g_info("%s (%s) is left by %u tasks: it costs %.1f times what they need", worst->id, worst->record->type,
         worst->allocations->len, most);
  fk_machine_registry_set_drain_reason(c, worst, FK_DRAIN_REASON_DRAIN, -1);
}

/* Work on ordinary machines that spot machines could do, in CPUs. While there is any, an idle spot machine is
 * worth keeping for the next tasks: the ordinary ones, which cost several times as much, run empty instead
 * and go. */
#define SPOT_IDLE_MIN_S 60.0

static double spot_capable_cpus_on_ordinary(FkController *c) {
  double cpus = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    for (guint i = 0; m->record && !m->record->spot && i < m->allocations->len; i++) {
      const FkSpec *s = g_array_index(m->allocations, FkAllocationRef, i).job->spec;
      cpus += s->spot && s->shape == FK_SHAPE_ARRAY ? s->cpus : 0;
    }
  }
  return cpus;
}

/* Idle machines that the plan has no use for, those idle for longest first. */
void fk_autoscaler_scale_in_idle(FkController *c, const FkCapacityPlan *bins) {
  g_autoptr(GPtrArray) idle = g_ptr_array_new();
  const double times[2] = {fk_idle_retention_factor(&c->autoscaling.autoscaler->retention[FALSE], c->now),
                           fk_idle_retention_factor(&c->autoscaling.autoscaler->retention[TRUE], c->now)};
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    if (m->record && !m->drain_reason && !m->pending_drain_reason && !m->allocations->len &&
        m->reserved_cpus <= 0 && fk_machine_type(c, m) &&
        fk_time_between(m->idle_since, c->now) > idle_limit_s(c, m, times))
      g_ptr_array_add(idle, m);
  }
  g_ptr_array_sort(idle, compare_by_idle_time);
  double movable = spot_capable_cpus_on_ordinary(c);
  for (guint i = 0; i < bins->bins->len; i++) {
    const FkCapacityBin *b = &g_array_index(bins->bins, FkCapacityBin, i);
    guint spare = b->key.kind == FK_CAPACITY_BIN_IDLE ? b->count : 0;
    for (guint k = 0; k < idle->len && spare; k++) {
      FkMachine *m = idle->pdata[k];
      if (!m || m->type != b->key.type || m->record->spot != (gboolean)b->key.spot ||
          !g_str_equal(m->record->zone, b->key.zone))
        continue;
      if (m->record->spot && movable > 0 && fk_time_between(m->idle_since, c->now) < SPOT_IDLE_MIN_S) {
        movable -= m->type->cpus;
        idle->pdata[k] = NULL;
        spare--;
        continue;
      }
      fk_machine_registry_set_drain_reason(c, m, FK_DRAIN_REASON_IDLE, -1);
      fk_idle_retention_terminated(&c->autoscaling.autoscaler->retention[m->record->spot != 0], m->type->cpus,
                                   c->now);
      idle->pdata[k] = NULL;
      spare--;
    }
  }
}
