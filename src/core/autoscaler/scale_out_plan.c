/* The plan of renting: what waits, played through in thought over the room that there is and will be. */
#include "core/autoscaler/autoscaler_internal.h"

#include <math.h>
#include <string.h>

#include "fair_share/quota.h"

#define PLAN_JOBS 2000 /* looked at, or as many as there are machines; more wait their turn */

guint fk_bin_hash(gconstpointer k) {
  const guint8 *p = k;
  guint h = 2166136261u;
  for (gsize i = 0; i < sizeof(BinKey); i++)
    h = (h ^ p[i]) * 16777619u;
  return h;
}

gboolean fk_bin_equal(gconstpointer a, gconstpointer b) { return memcmp(a, b, sizeof(BinKey)) == 0; }

/* Room that is there counts a little short, room that will be left a little long: what leaves it fits in
 * again. */
static void bin_add(Bins *b, BinKind kind, const FkType *type, const char *zone, gboolean spot, guint count,
                    double cpus, double gpus, double mem, double at) {
  if (!count || (cpus < 0.25 && gpus < 0.25) || mem < 0.25)
    return;
  double up = kind == BIN_LATER ? 1 : 1e-6;
  BinKey k;
  memset(&k, 0, sizeof k);
  k.type = type;
  k.zone = g_intern_string(zone);
  k.spot = (guint32)spot;
  k.kind = kind;
  k.cpus4 = (gint64)floor(cpus * 4 + MIN(up, 0.9999));
  k.gpus4 = (gint64)floor(gpus * 4 + MIN(up, 0.9999));
  k.mem2 = (gint64)floor(mem * 2 + MIN(up, 0.9999));
  k.at2 = at <= 0 ? 0 : 1 + (gint64)(at / 2);
  guint i = GPOINTER_TO_UINT(g_hash_table_lookup(b->index, &k));
  if (i) {
    g_array_index(b->list, Bin, i - 1).count += count;
    return;
  }
  Bin bin = {k, count, k.cpus4 / 4.0, k.gpus4 / 4.0, k.mem2 / 2.0, MAX(0, at)};
  g_array_append_val(b->list, bin);
  g_hash_table_insert(b->index, g_memdup2(&k, sizeof k), GUINT_TO_POINTER(b->list->len));
}

guint fk_fleet_slots(double cpus, double gpus, double mem, const FkSpec *s) {
  double n = s->cpus > 0 ? floor(cpus / s->cpus + 1e-6) : 1e6;
  if (s->gpus > 0)
    n = MIN(n, floor(gpus / s->gpus + 1e-6));
  if (s->mem_gb > 0)
    n = MIN(n, floor(mem / s->mem_gb + 1e-6));
  return (guint)CLAMP(n, 0, 100000);
}

/* How many such tasks one machine of the bin has room for. */
static guint bin_slots(const Bin *b, const FkSpec *s) {
  if ((b->key.spot && !s->spot) || (s->zone && !g_str_equal(s->zone, b->key.zone)) ||
      !fk_job_fits_type(s, b->key.type))
    return 0;
  return fk_fleet_slots(b->cpus, b->gpus, b->mem, s);
}

/* The earliest room for a task, on machines in use before idle ones; -1: none. */
static int bin_earliest(const Bins *bins, const FkSpec *s) {
  int best = -1;
  for (guint i = 0; i < bins->list->len; i++) {
    const Bin *b = &g_array_index(bins->list, Bin, i),
              *x = best < 0 ? NULL : &g_array_index(bins->list, Bin, best);
    if (!b->count ||
        (x && (b->at > x->at || (b->at == x->at && (b->key.kind != BIN_UP || x->key.kind == BIN_UP)))))
      continue;
    if (bin_slots(b, s))
      best = (int)i;
  }
  return best;
}

/* Up to `tasks` go into machines of the bin, each machine filled before the next. Returns how many did. */
static guint bin_use(Bins *bins, int at, const FkSpec *s, guint tasks, double run_s) {
  Bin b = g_array_index(bins->list, Bin, at);
  guint slots = bin_slots(&b, s), n = (guint)MIN((guint64)tasks, (guint64)slots * b.count), full = n / slots,
        rest = n % slots;
  BinKind kind = b.key.kind == BIN_IDLE ? BIN_UP : b.key.kind;
  g_array_index(bins->list, Bin, at).count -= full + (rest > 0);
  bin_add(bins, kind, b.key.type, b.key.zone, b.key.spot, full, b.cpus - slots * s->cpus,
          b.gpus - slots * s->gpus, b.mem - slots * s->mem_gb, b.at);
  bin_add(bins, kind, b.key.type, b.key.zone, b.key.spot, rest > 0, b.cpus - rest * s->cpus,
          b.gpus - rest * s->gpus, b.mem - rest * s->mem_gb, b.at);
  if (s->shape != FK_SHAPE_SERVICE)
    bin_add(bins, BIN_LATER, b.key.type, b.key.zone, b.key.spot, n, s->cpus, s->gpus, s->mem_gb,
            b.at + run_s);
  return n;
}

typedef struct {
  const FkType *type;
  const char *zone;
  gboolean spot;
  guint slots;
  double ready_s;
} Offer;

/* The cheapest way to get room for up to `tasks` more tasks like this: price a task that fits. */
static gboolean bin_offer(FkController *c, const FkSpec *s, guint tasks, gboolean spot_only, Offer *offer) {
  GHashTableIter it;
  gpointer p;
  double best_cost = G_MAXDOUBLE;
  double run_s = s->shape == FK_SHAPE_SERVICE ? 200 : MAX(5, fk_view_run_s(c->view, s));
  g_hash_table_iter_init(&it, c->types);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkType *t = p;
    if (!fk_job_fits_type(s, t))
      continue;
    for (guint z = 0; t->zones[z]; z++)
      for (int spot = spot_only; spot <= (s->spot ? 1 : 0); spot++) {
        if (s->zone && !g_str_equal(s->zone, t->zones[z]))
          continue;
        g_autofree char *key = fk_fleet_offer_key(t->name, t->zones[z], spot);
        Closed *cl = g_hash_table_lookup(c->fleet->closed, key);
        if (cl && !fk_time_reached(c->now, cl->until))
          continue;
        guint slots = fk_fleet_slots(t->cpus, t->gpus, t->mem_gb, s);
        if (!slots)
          continue;
        /* booting and fetching are paid for as well */
        double ready = t->boot_s + s->image_gb / MAX(0.01, t->fetch_gb_per_s);
        double cost = fk_type_price(t, spot) * (1 + ready / (2 * run_s)) / MIN(slots, tasks);
        if (cost < best_cost) {
          best_cost = cost;
          *offer = (Offer){t, t->zones[z], spot, slots, ready};
        }
      }
  }
  return best_cost < G_MAXDOUBLE;
}

#define LATE_PATIENCE_S 45.0 /* for work that no machine rented now would bring in on time */

/* How long a task of the job may wait from now before it's worth money to start it sooner, if a machine
 * rented now is ready after `ready_s`. */
static double patience_s(FkController *c, const FkJob *j, double ready_s) {
  const FkSpec *s = j->spec;
  double run_s = fk_view_run_s(c->view, s);
  double waited = fk_time_between((FkTime){j->could_us}, c->now);
  double within = G_MAXDOUBLE;
  double due = fk_job_due_s(j);
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
    return LATE_PATIENCE_S;
  if (within == G_MAXDOUBLE)
    within = 3 * run_s + 30;
  /* the last task is the one that counts, and tasks spread round their estimate */
  return MAX(0, within - waited - c->settings->tuning.slack * run_s);
}

static int rank_order(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  if (x->pulled_rank != y->pulled_rank)
    return (int)x->pulled_rank - (int)y->pulled_rank;
  return x->could_us < y->could_us ? -1 : 1;
}

#define RATE_OVER_S 30.0
#define RATE_GROWTH 2.0 /* a crowd at the start isn't taken for the way things will go on */

/* Arrivals of services are learnt, so that some room is up when the next one comes. */
void fk_fleet_learn_rates(FkController *c, double dt) {
  FkFleet *f = c->fleet;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (j->spec->shape != FK_SHAPE_SERVICE || j->seen.us <= f->counted.us)
      continue;
    Rate *r = g_hash_table_lookup(f->rates, j->spec->class_name);
    if (!r) {
      r = g_new0(Rate, 1);
      r->spec = fk_spec_ref(j->spec);
      r->rate = 0.02;
      g_hash_table_insert(f->rates, g_strdup(j->spec->class_name), r);
    }
    if (j->seen.us > c->led_since.us + 1000000) {
      r->since++;
      fk_spec_unref(r->spec);
      r->spec = fk_spec_ref(j->spec);
    }
  }
  f->counted = c->now;
  g_hash_table_iter_init(&it, f->rates);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Rate *r = p;
    double seen = MIN(r->since / dt, RATE_GROWTH * r->rate + 1);
    r->rate += (seen - r->rate) * MIN(1, dt / RATE_OVER_S);
    r->since = 0;
  }
}

double fk_fleet_boot_age(FkController *c, const Booting *b, const FkType *t) {
  return fk_time_between(b->since, c->now) / MAX(1, t->boot_s);
}

static void add_machines(FkController *c, Bins *bins) {
  FkFleet *f = c->fleet;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    const FkType *t = fk_type_of(c, m);
    if (!t || m->mark || m->want_mark)
      continue;
    bin_add(bins, m->books->len ? BIN_UP : BIN_IDLE, t, m->rec->zone, m->rec->spot, 1, t->cpus - m->cpus,
            t->gpus - m->gpus, t->mem_gb - m->mem_gb, 0);
    for (guint i = 0; i < m->books->len; i++) {
      FkBookRef *r = &g_array_index(m->books, FkBookRef, i);
      const FkSpec *s = r->job->spec;
      if (s->shape == FK_SHAPE_SERVICE && !r->job->cancelled)
        continue;
      double left = r->job->cancelled ? 1 : fk_view_run_s(c->view, s) - fk_time_between(r->since, c->now);
      /* a task past its estimate may take as long again as it's late */
      if (left < 2)
        left = 2 + MIN(60, -left);
      bin_add(bins, BIN_LATER, t, m->rec->zone, m->rec->spot, 1, s->cpus, s->gpus, s->mem_gb, left);
    }
  }
  g_hash_table_iter_init(&it, f->booting);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Booting *bt = p;
    FkType *t = g_hash_table_lookup(c->types, bt->type);
    double age = t ? fk_fleet_boot_age(c, bt, t) : 0;
    /* Not to be reckoned with any more: something else is rented for what waits. Against a new one, which the
     * plan takes to be up after a boot time: else those that are on their way would look later than any
     * other. */
    if (!t || bt->failed || g_hash_table_contains(f->returning, bt->id) ||
        fk_boots_chance(&f->boots, age, 1) < RECKONED)
      continue;
    bin_add(bins, BIN_COMING, t, bt->zone, bt->spot, 1, t->cpus, t->gpus, t->mem_gb,
            MAX(2, fk_boots_left(&f->boots, age) / fk_boots_left(&f->boots, 0) * t->boot_s));
  }
  for (guint i = 0; i < f->hires->len; i++) {
    Hire *h = f->hires->pdata[i];
    FkType *t = g_hash_table_lookup(c->types, h->type);
    if (t)
      bin_add(bins, BIN_COMING, t, h->zone, h->spot, h->count, t->cpus, t->gpus, t->mem_gb, t->boot_s);
  }
}

/* Machines to be rented for so many tasks; they go into the plan as if they were on their way. */
static void plan_hire(Bins *bins, const Offer *o, guint tasks) {
  guint n = (tasks + o->slots - 1) / o->slots;
  bin_add(bins, BIN_COMING, o->type, o->zone, o->spot, n, o->type->cpus, o->type->gpus, o->type->mem_gb,
          o->ready_s);
  for (guint i = 0; i < bins->hire->len; i++) {
    Bin *h = &g_array_index(bins->hire, Bin, i);
    if (h->key.type == o->type && h->key.spot == (guint32)o->spot && g_str_equal(h->key.zone, o->zone)) {
      h->count += n;
      return;
    }
  }
  Bin h = {.key = {.type = o->type, .zone = o->zone, .spot = (guint32)o->spot}, .count = n};
  g_array_append_val(bins->hire, h);
}

/* Room for so many tasks like this at once, hired where there is none. */
static void plan_room(FkController *c, Bins *bins, const FkSpec *s, guint want) {
  while (want) {
    int at = bin_earliest(bins, s);
    Offer offer;
    if (at < 0) {
      if (!bin_offer(c, s, want, FALSE, &offer))
        return;
      plan_hire(bins, &offer, want);
      if ((at = bin_earliest(bins, s)) < 0)
        return;
    }
    want -= bin_use(bins, at, s, want, 0);
  }
}

/* Headroom for services: room for the next ones, or work there that they may displace. */
static void plan_headroom(FkController *c, Bins *bins) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->fleet->rates);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    Rate *r = p;
    plan_room(c, bins, r->spec,
              (guint)CLAMP(ceil(r->rate * c->settings->tuning.headroom_s), 1, 2000) *
                  MAX(1, MIN(r->spec->tasks, 8)));
  }
}

static void plan_recovery(FkController *c, Bins *bins) {
  g_autoptr(GPtrArray) jobs = fk_recover_to_place(c);
  for (guint i = 0; i < jobs->len; i++)
    plan_room(c, bins, ((FkJob *)jobs->pdata[i])->spec, 1);
}

static void plan_job(FkController *c, Bins *bins, FkJob *j, double *used) {
  const FkSpec *s = j->spec;
  FkTeam *team = fk_settings_team(c->settings, s->team);
  guint32 waiting = fk_job_waiting(j);
  if (s->cpus > 0)
    waiting = (guint32)MIN((double)waiting, floor(fk_limit_left(team->cpus_max, *used) / s->cpus + 1e-6));
  Offer soonest;
  double ready = bin_offer(c, s, fk_job_waiting(j), FALSE, &soonest) ? soonest.ready_s : 60;
  double patience = patience_s(c, j, ready), run_s = fk_view_run_s(c->view, s);
  gboolean frugal = s->spot && fk_turn_frugal(c, j);
  while (waiting) {
    int b = bin_earliest(bins, s);
    double at = b >= 0 ? g_array_index(bins->list, Bin, b).at : G_MAXDOUBLE;
    /* spot is cheap: not so much patience there */
    gboolean dear = at > patience && !frugal, cheap = at > patience * c->settings->tuning.spot_patience;
    Offer offer;
    if ((dear || (cheap && s->spot)) && bin_offer(c, s, waiting, !dear, &offer) && offer.ready_s < at) {
      plan_hire(bins, &offer, waiting);
      b = bin_earliest(bins, s);
    }
    if (b < 0)
      break;
    guint n = bin_use(bins, b, s, waiting, run_s);
    waiting -= n;
    *used += n * s->cpus;
  }
}

/* As many jobs are planned for as there are machines, up or on their way: each may want one of its own, and a
 * machine that nothing is planned for counts as idle. */
static guint jobs_planned(FkController *c) {
  return MAX(PLAN_JOBS, g_hash_table_size(c->view->machines) + g_hash_table_size(c->fleet->booting));
}

void fk_fleet_demand(FkController *c, Bins *bins) {
  GHashTableIter it;
  gpointer p;
  add_machines(c, bins);
  g_autoptr(GPtrArray) jobs = g_ptr_array_new();
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (fk_job_waiting(p) && fk_settings_team(c->settings, ((FkJob *)p)->spec->team))
      g_ptr_array_add(jobs, p);
  g_ptr_array_sort(jobs, rank_order);
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
      *used = fk_view_team(c->view, j->spec->team)->cpus;
      g_hash_table_insert(planned, j->spec->team, used);
    }
    plan_job(c, bins, j, used);
  }
}
