/* The fleet: what to rent for what waits and for a little headroom, and what to return. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/controller.h"

#include <string.h>

static void booting_instance_free(gpointer p) {
  FkBootingInstance *b = p;
  g_free(b->id);
  g_free(b->type);
  g_free(b->zone);
  g_free(b);
}

static void instance_request_free(gpointer p) {
  FkInstanceRequest *h = p;
  g_free(h->name);
  g_free(h->type);
  g_free(h->zone);
  g_free(h);
}

static void arrival_rate_free(gpointer p) {
  FkArrivalRate *r = p;
  fk_spec_unref(r->spec);
  g_free(r);
}

FkAutoscaler *fk_autoscaler_new(FkTime now) {
  FkAutoscaler *f = g_new0(FkAutoscaler, 1);
  f->booting = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, booting_instance_free);
  f->requests = g_ptr_array_new_with_free_func(instance_request_free);
  f->shortages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  f->terminated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  f->terminate_calls =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  f->terminating = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  f->arrival_rates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, arrival_rate_free);
  fk_boot_time_init(&f->boot_times);
  fk_idle_retention_init(&f->retention[FALSE], now);
  fk_idle_retention_init(&f->retention[TRUE], now);
  return f;
}

void fk_autoscaler_free(FkAutoscaler *f) {
  g_hash_table_unref(f->booting);
  g_ptr_array_unref(f->requests);
  g_hash_table_unref(f->shortages);
  g_hash_table_unref(f->terminated);
  g_hash_table_unref(f->terminate_calls);
  g_hash_table_unref(f->terminating);
  g_hash_table_unref(f->arrival_rates);
  fk_idle_retention_clear(&f->retention[FALSE]);
  fk_idle_retention_clear(&f->retention[TRUE]);
  g_free(f->list_cursor);
  g_free(f);
}

void fk_autoscaler_reset(FkController *c) {
  fk_autoscaler_free(c->autoscaling.autoscaler);
  c->autoscaling.autoscaler = fk_autoscaler_new(c->now);
}

double fk_autoscaler_booting_price(FkController *c) {
  double price = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->autoscaling.autoscaler->booting);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkBootingInstance *b = p;
    const FkInstanceType *t = g_hash_table_lookup(c->autoscaling.instance_types, b->type);
    price += t ? fk_instance_type_price(t, b->spot) : 0;
  }
  return price;
}

gboolean fk_autoscaler_is_terminating(FkController *c, const FkMachine *m) {
  return g_hash_table_contains(c->autoscaling.autoscaler->terminated, m->id) ||
         g_hash_table_contains(c->autoscaling.autoscaler->terminating, m->id);
}

char *fk_autoscaler_offer_key(const char *type, const char *zone, gboolean spot) {
  return g_strdup_printf("%s/%s/%d", type, zone, spot);
}

/* ------------------------------------------------------------------ the list */

void fk_controller_machines_received(FkController *c, FkTime now, FkOutcome o, GPtrArray *listed,
                                     gboolean more) {
  c->now = now;
  FkAutoscaler *f = c->autoscaling.autoscaler;
  f->list_pending = FALSE;
  if (o != FK_OUTCOME_OK) {
    f->next_list = fk_time_add(now, g_rand_double_range(c->rand, 1.0, 2.0));
    g_clear_pointer(&f->list_cursor, g_free);
    return;
  }
  for (guint i = 0; i < listed->len; i++) {
    FkCloudMachine *l = listed->pdata[i];
    FkMachine *m = fk_view_find_machine(c->view, l->id);
    if (m && m->record) {
      if (l->state == FK_CLOUD_MACHINE_FAILED && !m->drain_reason &&
          fk_time_between(m->record_seen, now) > 1) {
        /* stopped on its own: as good as silent */
        fk_machine_registry_set_drain_reason(c, m, "silent", -1);
      }
      continue;
    }
    if (g_hash_table_contains(f->terminated, l->id))
      continue; /* the list lags */
    FkBootingInstance *b = g_hash_table_lookup(f->booting, l->id);
    if (!b) {
      b = g_new0(FkBootingInstance, 1);
      b->id = g_strdup(l->id);
      b->type = g_strdup(l->type);
      b->zone = g_strdup(l->zone);
      b->spot = l->spot;
      b->requested_at = fk_time_add(now, -l->age_s);
      g_hash_table_insert(f->booting, b->id, b);
    }
    b->listed = TRUE;
    b->listed_at = now;
    b->failed = l->state == FK_CLOUD_MACHINE_FAILED;
    if (l->state == FK_CLOUD_MACHINE_RUNNING && !b->running) {
      b->running = TRUE;
      b->running_since = now;
    }
  }
  if (more && listed->len) {
    g_free(f->list_cursor);
    f->list_cursor = g_strdup(((FkCloudMachine *)listed->pdata[listed->len - 1])->id);
    f->next_list = now;
  } else {
    g_clear_pointer(&f->list_cursor, g_free);
    f->next_list = fk_time_add(now, MAX(3.0, c->settings->cloud_list_lag_s / 2));
    f->listed_once = TRUE;
  }
}

/* ------------------------------------------------------------------ renting */

void fk_autoscaler_send_request(FkController *c, FkInstanceRequest *h) {
  FkOutput *o = fk_output_new(c, FK_OUTPUT_PROVISION);
  o->call = ++c->calls.last_id;
  o->name = g_strdup(h->name);
  o->type = g_strdup(h->type);
  o->zone = g_strdup(h->zone);
  o->spot = h->spot;
  o->count = h->count;
  h->in_flight = TRUE;
  h->call = o->call;
}

void fk_autoscaler_provision(FkController *c, const char *type, const char *zone, gboolean spot,
                             guint count) {
  FkAutoscaler *f = c->autoscaling.autoscaler;
  FkInstanceRequest *h = g_new0(FkInstanceRequest, 1);
  /* A name is never used again, by whoever leads: the hold's number is the store's, the counter ours. */
  h->name = g_strdup_printf("r-%" G_GUINT64_FORMAT "-%s-%" G_GUINT64_FORMAT, c->store_session.lease.n,
                            c->incarnation, ++f->request_counter);
  h->type = g_strdup(type);
  h->zone = g_strdup(zone);
  h->spot = spot;
  h->count = MIN(count, 50);
  g_ptr_array_add(f->requests, h);
  const FkInstanceType *t = g_hash_table_lookup(c->autoscaling.instance_types, type);
  fk_idle_retention_provisioned(&f->retention[spot != 0], t ? h->count * t->cpus : 0, c->now);
  g_info("renting %u %s in %s%s", h->count, type, zone, spot ? ", spot" : "");
  fk_autoscaler_send_request(c, h);
}

void fk_controller_provision_received(FkController *c, FkTime now, guint64 call, FkOutcome o,
                                      GPtrArray *names) {
  c->now = now;
  FkAutoscaler *f = c->autoscaling.autoscaler;
  for (guint i = 0; i < f->requests->len; i++) {
    FkInstanceRequest *h = f->requests->pdata[i];
    if (!h->in_flight || h->call != call)
      continue;
    g_autofree char *key = fk_autoscaler_offer_key(h->type, h->zone, h->spot);
    if (o == FK_OUTCOME_OK) {
      for (guint k = 0; k < names->len; k++) {
        FkMachine *m = fk_view_find_machine(c->view, names->pdata[k]);
        if ((m && m->record) || g_hash_table_contains(f->booting, names->pdata[k]))
          continue;
        FkBootingInstance *b = g_new0(FkBootingInstance, 1);
        b->id = g_strdup(names->pdata[k]);
        b->type = g_strdup(h->type);
        b->zone = g_strdup(h->zone);
        b->spot = h->spot;
        b->requested_by_us = TRUE;
        b->requested_at = c->now;
        g_hash_table_insert(f->booting, b->id, b);
      }
      if (names->len < h->count) {
        /* partly filled: there's no more for now */
        FkCapacityShortage *cl = g_new0(FkCapacityShortage, 1);
        cl->until = fk_time_add(c->now, 15);
        g_hash_table_replace(f->shortages, g_steal_pointer(&key), cl);
      } else {
        g_hash_table_remove(f->shortages, key);
      }
      g_ptr_array_remove_index(f->requests, i);
    } else if (o == FK_OUTCOME_CONFLICT) { /* "no capacity" */
      FkCapacityShortage *cl = g_hash_table_lookup(f->shortages, key);
      if (!cl) {
        cl = g_new0(FkCapacityShortage, 1);
        g_hash_table_insert(f->shortages, g_steal_pointer(&key), cl);
      }
      cl->refusals++;
      cl->until = fk_time_add(c->now, MIN(30.0, 5.0 * cl->refusals));
      g_ptr_array_remove_index(f->requests, i);
    } else if (o == FK_OUTCOME_INVALID || o == FK_OUTCOME_REFUSED) {
      g_ptr_array_remove_index(f->requests, i);
      f->next_plan = fk_time_add(c->now, 1);
    } else {
      /* unknown: the same name once more gives the same machines */
      h->in_flight = FALSE;
      h->retry_at = fk_time_add(c->now, 1.5);
    }
    return;
  }
}
