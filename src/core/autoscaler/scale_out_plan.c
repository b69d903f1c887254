/* The plan of renting: what waits, played through in thought over the room that there is and will be. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/scheduling/placement.h"

#include <math.h>
#include <string.h>

#include "fair_share/quota.h"

#define PLAN_JOBS_MAX 2000 /* looked at, or as many as there are machines; more wait their turn */

guint fk_capacity_bin_hash(gconstpointer k) {
  const guint8 *p = k;
  guint h = 2166136261u;
  for (gsize i = 0; i < sizeof(FkCapacityBinKey); i++)
    h = (h ^ p[i]) * 16777619u;
  return h;
}

gboolean fk_capacity_bin_equal(gconstpointer a, gconstpointer b) {
  return memcmp(a, b, sizeof(FkCapacityBinKey)) == 0;
}

/* Room that is there counts a little short, room that will be left a little long: what leaves it fits in
 * again. */
static void plan_add_bin(FkCapacityPlan *b, FkCapacityBinKind kind, const FkInstanceType *type,
                         const char *zone, gboolean spot, guint count, double cpus, double gpus, double mem,
                         double at) {
  if (!count || (cpus < 0.25 && gpus < 0.25) || mem < 0.25)
    return;
  double up = kind == FK_CAPACITY_BIN_RELEASED ? 1 : 1e-6;
  FkCapacityBinKey k;
  memset(&k, 0, sizeof k);
  k.type = type;
  k.zone = g_intern_string(zone);
  k.spot = (guint32)spot;
  k.kind = kind;
  k.cpu_steps = (gint64)floor(cpus * 4 + MIN(up, 0.9999));
  k.gpu_steps = (gint64)floor(gpus * 4 + MIN(up, 0.9999));
  k.mem_steps = (gint64)floor(mem * 2 + MIN(up, 0.9999));
  k.time_steps = at <= 0 ? 0 : 1 + (gint64)(at / 2);
  guint i = GPOINTER_TO_UINT(g_hash_table_lookup(b->index, &k));
  if (i) {
    g_array_index(b->bins, FkCapacityBin, i - 1).count += count;
    return;
  }
  FkCapacityBin bin = {k, count, k.cpu_steps / 4.0, k.gpu_steps / 4.0, k.mem_steps / 2.0, MAX(0, at)};
  g_array_append_val(b->bins, bin);
  g_hash_table_insert(b->index, g_memdup2(&k, sizeof k), GUINT_TO_POINTER(b->bins->len));
}

guint fk_autoscaler_task_slots(double cpus, double gpus, double mem, const FkSpec *s) {
  double n = s->cpus > 0 ? floor(cpus / s->cpus + 1e-6) : 1e6;
  if (s->gpus > 0)
    n = MIN(n, floor(gpus / s->gpus + 1e-6));
  if (s->mem_gb > 0)
    n = MIN(n, floor(mem / s->mem_gb + 1e-6));
  return (guint)CLAMP(n, 0, 100000);
}

/* How many such tasks one machine of the bin has room for. */
static guint capacity_bin_slots(const FkCapacityBin *b, const FkSpec *s) {
  if ((b->key.spot && !s->spot) || (s->zone && !g_str_equal(s->zone, b->key.zone)) ||
      !fk_placement_fits_type(s, b->key.type))
    return 0;
  return fk_autoscaler_task_slots(b->cpus, b->gpus, b->mem_gb, s);
}

/* The earliest room for a task, on machines in use before idle ones; -1: none. */
static int plan_earliest_bin(const FkCapacityPlan *bins, const FkSpec *s) {
  int best = -1;
  for (guint i = 0; i < bins->bins->len; i++) {
    const FkCapacityBin *b = &g_array_index(bins->bins, FkCapacityBin, i),
                        *x = best < 0 ? NULL : &g_array_index(bins->bins, FkCapacityBin, best);
    if (!b->count || (x && (b->available_s > x->available_s ||
                            (b->available_s == x->available_s && (b->key.kind != FK_CAPACITY_BIN_IN_USE ||
                                                                  x->key.kind == FK_CAPACITY_BIN_IN_USE)))))
      continue;
    if (capacity_bin_slots(b, s))
      best = (int)i;
  }
  return best;
}

/* Up to `tasks` go into machines of the bin, each machine filled before the next. Returns how many did. */
static guint plan_allocate(FkCapacityPlan *bins, int at, const FkSpec *s, guint tasks, double run_s) {
  FkCapacityBin b = g_array_index(bins->bins, FkCapacityBin, at);
  guint slots = capacity_bin_slots(&b, s), n = (guint)MIN((guint64)tasks, (guint64)slots * b.count),
        full = n / slots, rest = n % slots;
  FkCapacityBinKind kind = b.key.kind == FK_CAPACITY_BIN_IDLE ? FK_CAPACITY_BIN_IN_USE : b.key.kind;
  g_array_index(bins->bins, FkCapacityBin, at).count -= full + (rest > 0);
  plan_add_bin(bins, kind, b.key.type, b.key.zone, b.key.spot, full, b.cpus - slots * s->cpus,
               b.gpus - slots * s->gpus, b.mem_gb - slots * s->mem_gb, b.available_s);
  plan_add_bin(bins, kind, b.key.type, b.key.zone, b.key.spot, rest > 0, b.cpus - rest * s->cpus,
               b.gpus - rest * s->gpus, b.mem_gb - rest * s->mem_gb, b.available_s);
  if (s->shape != FK_SHAPE_SERVICE)
    plan_add_bin(bins, FK_CAPACITY_BIN_RELEASED, b.key.type, b.key.zone, b.key.spot, n, s->cpus, s->gpus,
                 s->mem_gb, b.available_s + run_s);
  return n;
}

typedef struct {
  const FkInstanceType *type;
  const char *zone;
  gboolean spot;
  guint slots;
  double ready_s;
} Offer;

/* The cheapest way to get room for up to `tasks` more tasks like this: price a task that fits. */
static gboolean cheapest_offer(FkController *c, const FkSpec *s, guint tasks, gboolean spot_only,
                               Offer *offer) {
  GHashTableIter it;
  gpointer p;
  double best_cost = G_MAXDOUBLE;
  double run_s = s->shape == FK_SHAPE_SERVICE ? 200 : MAX(5, fk_view_expected_run_s(c->view, s));
  g_hash_table_iter_init(&it, c->autoscaling.instance_types);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkInstanceType *t = p;
    if (!fk_placement_fits_type(s, t))
      continue;
    for (guint z = 0; t->zones[z]; z++)
      for (int spot = spot_only; spot <= (s->spot ? 1 : 0); spot++) {
        if (s->zone && !g_str_equal(s->zone, t->zones[z]))
          continue;
        g_autofree char *key = fk_autoscaler_offer_key(t->name, t->zones[z], spot);
        FkCapacityShortage *cl = g_hash_table_lookup(c->autoscaling.autoscaler->shortages, key);
        if (cl && !fk_time_reached(c->now, cl->until))
          continue;
        guint slots = fk_autoscaler_task_slots(t->cpus, t->gpus, t->mem_gb, s);
        if (!slots)
          continue;
        /* booting and fetching are paid for as well */
        double ready = t->boot_s + s->image_gb / MAX(0.01, t->fetch_gb_per_s);
        double cost = fk_instance_type_price(t, spot) * (1 + ready / (2 * run_s)) / MIN(slots, tasks);
        if (cost < best_cost) {
          best_cost = cost;
          *offer = (Offer){t, t->zones[z], spot, slots, ready};
        }
      }
  }
  return best_cost < G_MAXDOUBLE;
}

#define LATE_JOB_PATIENCE_S 45.0 /* for work that no machine rented now would bring in on time */

/* How long a task of the job may wait from now before it's worth money to start it sooner, if a machine
 * rented now is ready after `ready_s`. */
static double patience_s(FkController *c, const FkJob *j, double ready_s) {
  const FkSpec *s = j->spec;
  double run_s = fk_view_expected_run_s(c->view, s);
  double waited = fk_time_between((FkTime){j->startable_us}, c->now);
  double within = G_MAXDOUBLE;
  double due = fk_job_allowed_s(j);
  gboolean aims = due >= 0;
  if (s->shape == FK_SHAPE_SERVICE)
    return 0;
  /* the tightest aim that renting can still meet */
  if (due >= waited + ready_s + run_s)
    within = due;
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *o = c->settings->objectives->pdata[i];
    if (g_strcmp0(o->kind, "finished") != 0 || g_strcmp0(o->class_name, s->class_name) != 0)
      continue;
    aims = TRUE;
    if (o->within_s >= waited + ready_s + run_s)
      within = MIN(within, o->within_s);
  }
  if (within == G_MAXDOUBLE && aims)
    return LATE_JOB_PATIENCE_S;
  if (within == G_MAXDOUBLE)
    within = 3 * run_s + 30;
  /* the last task is the one that counts, and tasks spread round their estimate */
  return MAX(0, within - waited - c->settings->tuning.deadline_slack * run_s);
}

static int compare_by_rank(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  if (x->inherited_priority != y->inherited_priority)
    return (int)x->inherited_priority - (int)y->inherited_priority;
  return x->startable_us < y->startable_us ? -1 : 1;
}

#define ARRIVAL_RATE_TIME_CONSTANT_S 30.0
#define ARRIVAL_RATE_GROWTH_MAX 2.0 /* a crowd at the start isn't taken for the way things will go on */

/* Arrivals of services are learnt, so that some room is up when the next one comes. */
void fk_autoscaler_update_arrival_rates(FkController *c, double dt) {
  FkAutoscaler *f = c->autoscaling.autoscaler;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (j->spec->shape != FK_SHAPE_SERVICE || j->first_seen_at.us <= f->arrivals_counted_at.us)
      continue;
    FkArrivalRate *r = g_hash_table_lookup(f->arrival_rates, j->spec->class_name);
    if (!r) {
      r = g_new0(FkArrivalRate, 1);
      r->spec = fk_spec_ref(j->spec);
      r->per_s = 0.02;
      g_hash_table_insert(f->arrival_rates, g_strdup(j->spec->class_name), r);
    }
    if (j->first_seen_at.us > c->leader.since.us + 1000000) {
      r->arrivals++;
      fk_spec_unref(r->spec);
      r->spec = fk_spec_ref(j->spec);
    }
  }
  f->arrivals_counted_at = c->now;
  g_hash_table_iter_init(&it, f->arrival_rates);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkArrivalRate *r = p;
    double seen = MIN(r->arrivals / dt, ARRIVAL_RATE_GROWTH_MAX * r->per_s + 1);
    r->per_s += (seen - r->per_s) * MIN(1, dt / ARRIVAL_RATE_TIME_CONSTANT_S);
    r->arrivals = 0;
  }
}

double fk_autoscaler_boot_age(FkController *c, const FkBootingInstance *b, const FkInstanceType *t) {
  return fk_time_between(b->requested_at, c->now) / MAX(1, t->boot_s);
}

static void plan_add_machines(FkController *c, FkCapacityPlan *bins) {
  FkAutoscaler *f = c->autoscaling.autoscaler;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    const FkInstanceType *t = fk_machine_type(c, m);
    if (!t || m->drain_reason || m->pending_drain_reason)
      continue;
    plan_add_bin(bins, m->allocations->len ? FK_CAPACITY_BIN_IN_USE : FK_CAPACITY_BIN_IDLE, t,
                 m->record->zone, m->record->spot, 1, t->cpus - m->allocated_cpus,
                 t->gpus - m->allocated_gpus, t->mem_gb - m->allocated_mem_gb, 0);
    for (guint i = 0; i < m->allocations->len; i++) {
      FkAllocationRef *r = &g_array_index(m->allocations, FkAllocationRef, i);
      const FkSpec *s = r->job->spec;
      if (s->shape == FK_SHAPE_SERVICE && !r->job->cancelled)
        continue;
      double left = r->job->cancelled
                        ? 1
                        : fk_view_expected_run_s(c->view, s) - fk_time_between(r->first_seen_at, c->now);
      /* a task past its estimate may take as long again as it's late */
      if (left < 2)
        left = 2 + MIN(60, -left);
      plan_add_bin(bins, FK_CAPACITY_BIN_RELEASED, t, m->record->zone, m->record->spot, 1, s->cpus, s->gpus,
                   s->mem_gb, left);
    }
  }
  g_hash_table_iter_init(&it, f->booting);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkBootingInstance *bt = p;
    FkInstanceType *t = g_hash_table_lookup(c->autoscaling.instance_types, bt->type);
    double age = t ? fk_autoscaler_boot_age(c, bt, t) : 0;
    /* Not to be reckoned with any more: something else is rented for what waits. Against a new one, which the
     * plan takes to be up after a boot time: else those that are on their way would look later than any
     * other. */
    if (!t || bt->failed || g_hash_table_contains(f->terminating, bt->id) ||
        fk_boot_time_probability(&f->boot_times, age, 1) < BOOT_PROBABILITY_PLANNED_MIN)
      continue;
    plan_add_bin(bins, FK_CAPACITY_BIN_BOOTING, t, bt->zone, bt->spot, 1, t->cpus, t->gpus, t->mem_gb,
                 MAX(2, fk_boot_time_remaining(&f->boot_times, age) /
                            fk_boot_time_remaining(&f->boot_times, 0) * t->boot_s));
  }
  for (guint i = 0; i < f->requests->len; i++) {
    FkInstanceRequest *h = f->requests->pdata[i];
    FkInstanceType *t = g_hash_table_lookup(c->autoscaling.instance_types, h->type);
    if (t)
      plan_add_bin(bins, FK_CAPACITY_BIN_BOOTING, t, h->zone, h->spot, h->count, t->cpus, t->gpus, t->mem_gb,
                   t->boot_s);
  }
}

/* Machines to be rented for so many tasks; they go into the plan as if they were on their way. */
static void plan_provision(FkCapacityPlan *bins, const Offer *o, guint tasks) {
  guint n = (tasks + o->slots - 1) / o->slots;
  plan_add_bin(bins, FK_CAPACITY_BIN_BOOTING, o->type, o->zone, o->spot, n, o->type->cpus, o->type->gpus,
               o->type->mem_gb, o->ready_s);
  for (guint i = 0; i < bins->to_provision->len; i++) {
    FkCapacityBin *h = &g_array_index(bins->to_provision, FkCapacityBin, i);
    if (h->key.type == o->type && h->key.spot == (guint32)o->spot && g_str_equal(h->key.zone, o->zone)) {
      h->count += n;
      return;
    }
  }
  FkCapacityBin h = {.key = {.type = o->type, .zone = o->zone, .spot = (guint32)o->spot}, .count = n};
  g_array_append_val(bins->to_provision, h);
}

/* Room for so many tasks like this at once, hired where there is none. */
static void plan_capacity(FkController *c, FkCapacityPlan *bins, const FkSpec *s, guint want) {
  while (want) {
    int at = plan_earliest_bin(bins, s);
    Offer offer;
    if (at < 0) {
      if (!cheapest_offer(c, s, want, FALSE, &offer))
        return;
      plan_provision(bins, &offer, want);
      if ((at = plan_earliest_bin(bins, s)) < 0)
        return;
    }
    want -= plan_allocate(bins, at, s, want, 0);
  }
}

/* Headroom for services: room for the next ones, or work there that they may displace. */
static void plan_headroom(FkController *c, FkCapacityPlan *bins) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->autoscaling.autoscaler->arrival_rates);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkArrivalRate *r = p;
    plan_capacity(c, bins, r->spec,
                  (guint)CLAMP(ceil(r->per_s * c->settings->tuning.headroom_s), 1, 2000) *
                      MAX(1, MIN(r->spec->tasks, 8)));
  }
}

static void plan_recovery(FkController *c, FkCapacityPlan *bins) {
  g_autoptr(GPtrArray) jobs = fk_service_failover_demand(c);
  for (guint i = 0; i < jobs->len; i++)
    plan_capacity(c, bins, ((FkJob *)jobs->pdata[i])->spec, 1);
}

static void plan_job(FkController *c, FkCapacityPlan *bins, FkJob *j, double *used) {
  const FkSpec *s = j->spec;
  FkTeam *team = fk_settings_find_team(c->settings, s->team);
  guint32 waiting = fk_job_waiting_tasks(j);
  if (s->cpus > 0)
    waiting = (guint32)MIN((double)waiting, floor(fk_quota_left(team->max_cpus, *used) / s->cpus + 1e-6));
  Offer soonest;
  double ready = cheapest_offer(c, s, fk_job_waiting_tasks(j), FALSE, &soonest) ? soonest.ready_s : 60;
  double patience = patience_s(c, j, ready), run_s = fk_view_expected_run_s(c->view, s);
  gboolean frugal = s->spot && fk_scheduling_queue_is_low_cost_only(c, j);
  while (waiting) {
    int b = plan_earliest_bin(bins, s);
    double at = b >= 0 ? g_array_index(bins->bins, FkCapacityBin, b).available_s : G_MAXDOUBLE;
    /* spot is cheap: not so much patience there */
    gboolean dear = at > patience && !frugal, cheap = at > patience * c->settings->tuning.spot_patience;
    Offer offer;
    if ((dear || (cheap && s->spot)) && cheapest_offer(c, s, waiting, !dear, &offer) && offer.ready_s < at) {
      plan_provision(bins, &offer, waiting);
      b = plan_earliest_bin(bins, s);
    }
    if (b < 0)
      break;
    guint n = plan_allocate(bins, b, s, waiting, run_s);
    waiting -= n;
    *used += n * s->cpus;
  }
}

/* As many jobs are planned for as there are machines, up or on their way: each may want one of its own, and a
 * machine that nothing is planned for counts as idle. */
static guint jobs_planned(FkController *c) {
  return MAX(PLAN_JOBS_MAX,
             g_hash_table_size(c->view->machines) + g_hash_table_size(c->autoscaling.autoscaler->booting));
}

void fk_autoscaler_plan_demand(FkController *c, FkCapacityPlan *bins) {
  GHashTableIter it;
  gpointer p;
  plan_add_machines(c, bins);
  g_autoptr(GPtrArray) jobs = g_ptr_array_new();
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (fk_job_waiting_tasks(p) && fk_settings_find_team(c->settings, ((FkJob *)p)->spec->team))
      g_ptr_array_add(jobs, p);
  g_ptr_array_sort(jobs, compare_by_rank);
  plan_recovery(c, bins);
  plan_headroom(c, bins);
  g_autoptr(GHashTable) planned =
      g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free); /* team -> cpus */
  guint most = jobs_planned(c);
  for (guint i = 0; i < jobs->len && i < most; i++) {
    FkJob *j = jobs->pdata[i];
    double *used = g_hash_table_lookup(planned, j->spec->team);
    if (!used) {
      used = g_new(double, 1);
      *used = fk_view_ensure_team(c->view, j->spec->team)->cpus;
      g_hash_table_insert(planned, j->spec->team, used);
    }
    plan_job(c, bins, j, used);
  }
}
