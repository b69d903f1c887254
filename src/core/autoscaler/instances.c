/* The fleet: what to rent for what waits and for a little headroom, and what to return. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/controller.h"

#include <string.h>

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

char *fk_fleet_offer_key(const char *type, const char *zone, gboolean spot) {
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

void fk_fleet_hire_send(FkController *c, Hire *h) {
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

void fk_fleet_rent(FkController *c, const char *type, const char *zone, gboolean spot, guint count) {
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
  fk_fleet_hire_send(c, h);
}

void fk_controller_rented(FkController *c, FkTime now, guint64 call, FkOutcome o, GPtrArray *names) {
  c->now = now;
  FkFleet *f = c->fleet;
  for (guint i = 0; i < f->hires->len; i++) {
    Hire *h = f->hires->pdata[i];
    if (!h->under_way || h->call != call)
      continue;
    g_autofree char *key = fk_fleet_offer_key(h->type, h->zone, h->spot);
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
