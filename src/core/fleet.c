/* The fleet: what to rent for what waits and for a little headroom, and what to return. */
#include "core/internal.h"
#include "core/turn.h"

#include <math.h>
#include <string.h>

#include "rent/boot.h"
#include "rent/hold.h"
#include "teams/limits.h"

#define TICK_S 0.5
#define RETURN_MAX 100 /* names a call, the cloud's limit */
#define PLAN_JOBS 2000 /* looked at; more wait their turn */

typedef struct {
  char *id, *type, *zone;
  gboolean spot;
  FkTime since; /* rented, or first seen in the list */
  gboolean listed, failed, running;
  FkTime listed_at, running_since;
  gboolean hired; /* by us, so that `since` is exact */
} Booting;

typedef struct {
  char *name, *type, *zone;
  gboolean spot;
  guint count;
  guint64 call; /* under way */
  gboolean under_way;
  FkTime again;
} Hire;

typedef struct {
  FkTime until;
  guint refusals;
} Closed;

struct FkFleet {
  GHashTable *booting; /* id -> Booting: rented, no claim yet */
  GPtrArray *hires;    /* Hire: requests without a certain answer */
  GHashTable *closed;  /* "type/zone/spot" -> Closed: no capacity lately */
  GHashTable *gone;    /* ids that the cloud confirmed gone -> FkTime* */
  GHashTable *calls;   /* return call -> GPtrArray of ids */
  GHashTable *returning;
  guint64 counter;
  FkTime next, list_next, return_next, drain_next, idle_next;
  gboolean list_pending, listed_once;
  char *after;
  FkTime list_began;
  GHashTable *rates; /* class -> Rate */
  FkTime counted;    /* jobs seen before this are in the rates */
  FkBoots boots;
  FkHold hold[2]; /* ordinary, spot: what came of giving idle machines back */
};

typedef struct {
  FkSpec *spec;
  double rate; /* arrivals a second, smoothed */
  guint since; /* seen since the last look */
} Rate;

static void booting_free(gpointer p) {
  Booting *b = p;
  g_free(b->id);
  g_free(b->type);
  g_free(b->zone);
  g_free(b);
}

static void hire_free(gpointer p) {
  Hire *h = p;
  g_free(h->name);
  g_free(h->type);
  g_free(h->zone);
  g_free(h);
}

static void rate_free(gpointer p) {
  Rate *r = p;
  fk_spec_unref(r->spec);
  g_free(r);
}

FkFleet *fk_fleet_new(FkTime now) {
  FkFleet *f = g_new0(FkFleet, 1);
  f->booting = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, booting_free);
  f->hires = g_ptr_array_new_with_free_func(hire_free);
  f->closed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  f->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  f->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  f->returning = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  f->rates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rate_free);
  fk_boots_init(&f->boots);
  fk_hold_init(&f->hold[FALSE], now);
  fk_hold_init(&f->hold[TRUE], now);
  return f;
}

void fk_fleet_free(FkFleet *f) {
  g_hash_table_unref(f->booting);
  g_ptr_array_unref(f->hires);
  g_hash_table_unref(f->closed);
  g_hash_table_unref(f->gone);
  g_hash_table_unref(f->calls);
  g_hash_table_unref(f->returning);
  g_hash_table_unref(f->rates);
  fk_hold_clear(&f->hold[FALSE]);
  fk_hold_clear(&f->hold[TRUE]);
  g_free(f->after);
  g_free(f);
}

void fk_fleet_reset(FkController *c) {
  fk_fleet_free(c->fleet);
  c->fleet = fk_fleet_new(c->now);
}

double fk_fleet_boot_price(FkController *c) {
  double price = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->fleet->booting);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const Booting *b = p;
    const FkType *t = g_hash_table_lookup(c->types, b->type);
    price += t ? fk_type_price(t, b->spot) : 0;
  }
  return price;
}

gboolean fk_fleet_going(FkController *c, const FkMachine *m) {
  return g_hash_table_contains(c->fleet->gone, m->id) || g_hash_table_contains(c->fleet->returning, m->id);
}

static char *offer_key(const char *type, const char *zone, gboolean spot) {
  return g_strdup_printf("%s/%s/%d", type, zone, spot);
}

/* ------------------------------------------------------------------ the list */

void fk_controller_machines(FkController *c, FkTime now, FkOutcome o, GPtrArray *listed, gboolean more) {
  c->now = now;
  FkFleet *f = c->fleet;
  f->list_pending = FALSE;
  if (o != FK_OK) {
    f->list_next = fk_time_add(now, g_rand_double_range(c->rand, 1.0, 2.0));
    g_clear_pointer(&f->after, g_free);
    return;
  }
  for (guint i = 0; i < listed->len; i++) {
    FkListed *l = listed->pdata[i];
    FkMachine *m = fk_view_machine(c->view, l->id);
    if (m && m->rec) {
      if (l->state == FK_MACHINE_FAILED && !m->mark && fk_time_between(m->rec_seen, now) > 1) {
        /* stopped on its own: as good as silent */
        fk_roster_mark(c, m, "silent", -1);
      }
      continue;
    }
    if (g_hash_table_contains(f->gone, l->id))
      continue; /* the list lags */
    Booting *b = g_hash_table_lookup(f->booting, l->id);
    if (!b) {
      b = g_new0(Booting, 1);
      b->id = g_strdup(l->id);
      b->type = g_strdup(l->type);
      b->zone = g_strdup(l->zone);
      b->spot = l->spot;
      b->since = fk_time_add(now, -l->age_s);
      g_hash_table_insert(f->booting, b->id, b);
    }
    b->listed = TRUE;
    b->listed_at = now;
    b->failed = l->state == FK_MACHINE_FAILED;
    if (l->state == FK_MACHINE_RUNNING && !b->running) {
      b->running = TRUE;
      b->running_since = now;
    }
  }
  if (more && listed->len) {
    g_free(f->after);
    f->after = g_strdup(((FkListed *)listed->pdata[listed->len - 1])->id);
    f->list_next = now;
  } else {
    g_clear_pointer(&f->after, g_free);
    f->list_next = fk_time_add(now, MAX(3.0, c->settings->list_lag_s / 2));
    f->listed_once = TRUE;
  }
}

/* ------------------------------------------------------------------ renting */

static void hire_send(FkController *c, Hire *h) {
  FkOut *o = fk_out(c, FK_OUT_RENT);
  o->call = ++c->next_call;
  o->name = g_strdup(h->name);
  o->type = g_strdup(h->type);
  o->zone = g_strdup(h->zone);
  o->spot = h->spot;
  o->count = h->count;
  h->under_way = TRUE;
  h->call = o->call;
}

static void rent(FkController *c, const char *type, const char *zone, gboolean spot, guint count) {
  FkFleet *f = c->fleet;
  Hire *h = g_new0(Hire, 1);
  /* A name is never used again, by whoever leads: the hold's number is the store's, the counter ours. */
  h->name =
      g_strdup_printf("r-%" G_GUINT64_FORMAT "-%s-%" G_GUINT64_FORMAT, c->hold.n, c->life, ++f->counter);
  h->type = g_strdup(type);
  h->zone = g_strdup(zone);
  h->spot = spot;
  h->count = MIN(count, 50);
  g_ptr_array_add(f->hires, h);
  const FkType *t = g_hash_table_lookup(c->types, type);
  fk_hold_rented(&f->hold[spot != 0], t ? h->count * t->cpus : 0, c->now);
  g_info("renting %u %s in %s%s", h->count, type, zone, spot ? ", spot" : "");
  hire_send(c, h);
}

void fk_controller_rented(FkController *c, FkTime now, guint64 call, FkOutcome o, GPtrArray *names) {
  c->now = now;
  FkFleet *f = c->fleet;
  for (guint i = 0; i < f->hires->len; i++) {
    Hire *h = f->hires->pdata[i];
    if (!h->under_way || h->call != call)
      continue;
    g_autofree char *key = offer_key(h->type, h->zone, h->spot);
    if (o == FK_OK) {
      for (guint k = 0; k < names->len; k++) {
        FkMachine *m = fk_view_machine(c->view, names->pdata[k]);
        if ((m && m->rec) || g_hash_table_contains(f->booting, names->pdata[k]))
          continue;
        Booting *b = g_new0(Booting, 1);
        b->id = g_strdup(names->pdata[k]);
        b->type = g_strdup(h->type);
        b->zone = g_strdup(h->zone);
        b->spot = h->spot;
        b->hired = TRUE;
        b->since = c->now;
        g_hash_table_insert(f->booting, b->id, b);
      }
      if (names->len < h->count) {
        /* partly filled: there's no more for now */
        Closed *cl = g_new0(Closed, 1);
        cl->until = fk_time_add(c->now, 15);
        g_hash_table_replace(f->closed, g_steal_pointer(&key), cl);
      } else {
        g_hash_table_remove(f->closed, key);
      }
      g_ptr_array_remove_index(f->hires, i);
    } else if (o == FK_CONFLICT) { /* "no capacity" */
      Closed *cl = g_hash_table_lookup(f->closed, key);
      if (!cl) {
        cl = g_new0(Closed, 1);
        g_hash_table_insert(f->closed, g_steal_pointer(&key), cl);
      }
      cl->refusals++;
      cl->until = fk_time_add(c->now, MIN(30.0, 5.0 * cl->refusals));
      g_ptr_array_remove_index(f->hires, i);
    } else if (o == FK_INVALID || o == FK_REFUSED) {
      g_ptr_array_remove_index(f->hires, i);
      f->next = fk_time_add(c->now, 1);
    } else {
      /* unknown: the same name once more gives the same machines */
      h->under_way = FALSE;
      h->again = fk_time_add(c->now, 1.5);
    }
    return;
  }
}

/* ------------------------------------------------------------------ demand */

/* What the fleet would do, played through in thought: room now, room when running tasks end and when machines
 * come up. Only work that would wait for too long is worth renting for. Machines, and the room that tasks
 * will leave, are alike in large numbers: those that are go into one bin with a count. */
typedef enum { BIN_IDLE, BIN_UP, BIN_COMING, BIN_LATER } BinKind;
typedef struct {
  const FkType *type;
  const char *zone; /* interned */
  guint32 spot, kind;
  gint64 cpus4, gpus4, mem2, at2; /* in steps of 1/4 CPU and GPU, 1/2 GB, 2 s */
} BinKey;
typedef struct {
  BinKey key;
  guint count;
  double cpus, gpus, mem; /* free in each, from `at` on */
  double at;              /* seconds from now */
} Bin;
typedef struct {
  GArray *list;      /* Bin */
  GHashTable *index; /* BinKey -> place in the list + 1 */
  GArray *hire;      /* Bin: what to rent, and how many */
} Bins;

static guint bin_hash(gconstpointer k) {
  const guint8 *p = k;
  guint h = 2166136261u;
  for (gsize i = 0; i < sizeof(BinKey); i++)
    h = (h ^ p[i]) * 16777619u;
  return h;
}

static gboolean bin_equal(gconstpointer a, gconstpointer b) { return memcmp(a, b, sizeof(BinKey)) == 0; }

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

static guint slots_of(double cpus, double gpus, double mem, const FkSpec *s) {
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
  return slots_of(b->cpus, b->gpus, b->mem, s);
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
        g_autofree char *key = offer_key(t->name, t->zones[z], spot);
        Closed *cl = g_hash_table_lookup(c->fleet->closed, key);
        if (cl && !fk_time_reached(c->now, cl->until))
          continue;
        guint slots = slots_of(t->cpus, t->gpus, t->mem_gb, s);
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
static void learn_rates(FkController *c, double dt) {
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

#define RECKONED 0.3   /* chance to come within a boot time */
#define GIVEN_UP 0.1   /* chance to come within two more */
#define CHARGED_S 60.0 /* a machine costs so much at the least: going sooner saves nothing */
#define BOOTS_MOST 4.0

static double boot_age(FkController *c, const Booting *b, const FkType *t) {
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
    double age = t ? boot_age(c, bt, t) : 0;
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

static void demand(FkController *c, Bins *bins) {
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
  for (guint i = 0; i < jobs->len && i < PLAN_JOBS; i++) {
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

/* ------------------------------------------------------------------ returning */

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

static gboolean never_up(FkController *c, const Booting *b, const FkType *t) {
  double s = fk_time_between(b->since, c->now);
  if (s < CHARGED_S)
    return FALSE;
  return !t || boot_age(c, b, t) > BOOTS_MOST ||
         fk_boots_chance(&c->fleet->boots, boot_age(c, b, t), 2) < GIVEN_UP ||
         (b->running && fk_time_between(b->running_since, c->now) > 45);
}

static void return_some(FkController *c) {
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
        fk_boots_came(&f->boots, boot_age(c, b, t));
      g_hash_table_iter_remove(&it);
      continue;
    }
    if ((b->failed || never_up(c, b, t)) && names->len < RETURN_MAX &&
        !g_hash_table_contains(f->returning, b->id)) {
      if (t && b->hired)
        fk_boots_missed(&f->boots, boot_age(c, b, t));
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

#define HIRES_MAX 3 /* requests a tick */

static void hire_planned(FkController *c, const Bins *bins) {
  guint requests = 0;
  for (guint i = 0; i < bins->hire->len; i++) {
    Bin *h = &g_array_index(bins->hire, Bin, i);
    while (h->count && requests < HIRES_MAX) {
      guint n = MIN(h->count, 50);
      rent(c, h->key.type->name, h->key.zone, h->key.spot, n);
      h->count -= n;
      requests++;
    }
  }
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
    guint slots = fk_job_fits_type(s, t) ? slots_of(t->cpus, t->gpus, t->mem_gb, s) : 0;
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
static void drain_dear(FkController *c) {
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
      room += slots_of(t->cpus - m->cpus, t->gpus - m->gpus, t->mem_gb - m->mem_gb, s);
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

#define IDLE_EVERY_S 2.0 /* while services wait for the store's writes: more machines a page */

/* Idle machines that the plan has no use for, those idle for longest first. */
static void give_back_idle(FkController *c, const Bins *bins) {
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

void fk_fleet_tick(FkController *c) {
  FkFleet *f = c->fleet;
  if (!f->list_pending && fk_time_reached(c->now, f->list_next)) {
    FkOut *o = fk_out(c, FK_OUT_MACHINES);
    o->after = g_strdup(f->after ? f->after : "");
    f->list_pending = TRUE;
  }
  return_some(c);
  for (guint i = 0; i < f->hires->len; i++) {
    Hire *h = f->hires->pdata[i];
    if (!h->under_way && fk_time_reached(c->now, h->again))
      hire_send(c, h);
  }
  /* a new leader first learns what there is */
  if (!f->listed_once && fk_time_between(c->led_since, c->now) < 5)
    return;
  if (!fk_time_reached(c->now, f->next) || !g_hash_table_size(c->types))
    return;
  f->next = fk_time_add(c->now, TICK_S);
  learn_rates(c, TICK_S);
  Bins bins = {g_array_new(FALSE, TRUE, sizeof(Bin)),
               g_hash_table_new_full(bin_hash, bin_equal, g_free, NULL),
               g_array_new(FALSE, TRUE, sizeof(Bin))};
  demand(c, &bins);
  hire_planned(c, &bins);
  if (!fk_services_first(c) || fk_time_reached(c->now, f->idle_next)) {
    f->idle_next = fk_time_add(c->now, IDLE_EVERY_S);
    give_back_idle(c, &bins);
  }
  drain_dear(c);
  g_array_unref(bins.list);
  g_array_unref(bins.hire);
  g_hash_table_unref(bins.index);
}
