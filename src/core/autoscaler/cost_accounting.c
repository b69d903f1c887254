/* Where each unit of money goes, as the leader sees it: what the machines cost is counted up by what they
 * were doing at each look, and told once a window. */
#include "core/controller_internal.h"

#define LOOK_S 2.0

/* In the price's unit (money an hour) times seconds, since the last line. */
struct FkMoney {
  double boots;  /* rented, not up yet */
  double going;  /* on their way out, and what still runs there */
  double idle;   /* nothing booked */
  double empty;  /* the free part of machines in use */
  double needed; /* what the tasks that are booked would cost on the cheapest machines they may have */
  double dear;   /* ... and what they cost above that */
  FkTime looked;
};

FkMoney *fk_money_new(void) { return g_new0(FkMoney, 1); }

void fk_money_free(FkMoney *m) { g_free(m); }

static void count_tasks(FkController *c, FkMoney *a, const FkMachine *m, double price, double s) {
  const FkType *t = m->type;
  double part = 0;
  for (guint i = 0; i < m->books->len; i++) {
    const FkSpec *spec = g_array_index(m->books, FkBookRef, i).job->spec;
    double share = t->cpus > 0 ? spec->cpus / t->cpus : 0;
    double need = MIN(fk_cheapest_price(c, spec), share * price);
    part += share;
    a->needed += need * s;
    a->dear += (share * price - need) * s;
  }
  a->empty += MAX(0, 1 - part) * price * s;
}

static void look(FkController *c, double s) {
  FkMoney *a = c->money;
  GHashTableIter it;
  gpointer p;
  a->boots += fk_fleet_boot_price(c) * s;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    const FkType *t = m->rec ? fk_type_of(c, m) : NULL;
    if (!t)
      continue;
    double price = fk_type_price(t, m->rec->spot);
    if (m->mark)
      a->going += price * s;
    else if (!m->books->len)
      a->idle += price * s;
    else
      count_tasks(c, a, m, price, s);
  }
}

void fk_money_tick(FkController *c) {
  FkMoney *a = c->money;
  double s = fk_time_between(a->looked, c->now);
  if (s < LOOK_S)
    return;
  a->looked = c->now;
  if (s < 2 * LOOK_S) /* longer: we weren't leading meanwhile */
    look(c, s);
}

void fk_money_tell(FkController *c) {
  FkMoney *a = c->money;
  double all = a->boots + a->going + a->idle + a->empty + a->needed + a->dear, per = all > 0 ? 100 / all : 0;
  FkView *v = c->view;
  g_info(
      "money: %.3f; needed %.0f%%, dearer machines %.0f%%, partly empty %.0f%%, idle %.0f%%, booting %.0f%%, "
      "going %.0f%%; %.0f core-seconds were lost",
      all / 3600, a->needed * per, a->dear * per, a->empty * per, a->idle * per, a->boots * per,
      a->going * per, v->lost_cpu_s);
  v->lost_cpu_s = 0;
  *a = (FkMoney){.looked = a->looked};
}
