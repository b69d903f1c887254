/* The leader: a key on a hold names it. It places long jobs, sizes the short partition, rents and returns.
 * Nothing is unsafe when two controllers think they lead: every decision is guarded by itself. */
#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/stop_transaction.h"

#include <string.h>

static void leader_put(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->leader_pending = FALSE;
  c->leader_retry = fk_time_add(c->now, o == FK_OK || o == FK_CONFLICT ? 0.1 : 0.5);
  c->leader_wait = epoch;
}

/* A leader that has begun another life leads no more, though its hold may last for seconds yet. */
static gboolean leader_gone(FkController *c) {
  FkNode *n = c->view->leader ? g_hash_table_lookup(c->view->nodes, c->view->leader) : NULL;
  return !c->view->leader || (n && g_strcmp0(n->life, c->view->leader_life) != 0);
}

static void campaign(FkController *c) {
  if (!leader_gone(c) || !c->hold.n || c->leader_pending || !fk_time_reached(c->now, c->leader_retry) ||
      c->view->applied.n < c->leader_wait.n || !fk_serves(c, c->now))
    return;
  FkOut *t = fk_txn_new(c, FK_PRIO_HOLD);
  FkRecord *r = fk_record_new(FK_KEY_LEADER);
  r->node = g_strdup(c->settings->node);
  r->life = g_strdup(c->life);
  fk_txn_guard(t, fk_key(FK_KEY_LEADER, ""), c->view->leader_rev);
  fk_txn_put(t, fk_key(FK_KEY_LEADER, ""), r, c->hold);
  c->leader_pending = TRUE;
  fk_txn_send(c, t, leader_put, NULL, NULL);
}

static void unbar_all(FkController *c) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p))
    ((FkMachine *)p)->barred = FALSE;
}

/* ------------------------------------------------------------------ windows */

static int least_long(gconstpointer a, gconstpointer b) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  if (x->long_cpus != y->long_cpus)
    return x->long_cpus < y->long_cpus ? -1 : 1;
  if (x->rec->spot != y->rec->spot)
    return x->rec->spot ? -1 : 1;
  return g_strcmp0(x->id, y->id);
}

static void size_window(FkController *c) {
  FkWaits all = {0};
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->waits);
  while (g_hash_table_iter_next(&it, NULL, &p))
    fk_waits_add(&all, p);
  g_autoptr(GPtrArray) machines = g_ptr_array_new();
  double short_cpus = 0, long_cpus = 0;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    if (!fk_machine_usable(c, m))
      continue;
    g_ptr_array_add(machines, m);
    long_cpus += m->long_cpus;
    short_cpus += m->cpus - m->long_cpus;
  }
  /* Waiting work counts like booked work: otherwise the floor, once it has closed everything to long jobs,
   * would never see any. */
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    *(fk_spec_long(c, j->spec) ? &long_cpus : &short_cpus) += fk_job_waiting(j) * j->spec->cpus;
  }
  guint n = fk_sizing_window(&c->sizing, all.sum_s, all.count, c->settings->tuning.max_wait_s,
                             c->settings->tuning.span, machines->len, short_cpus, long_cpus);
  unbar_all(c);
  g_ptr_array_sort(machines, least_long);
  for (guint i = 0; i < n && i < machines->len; i++)
    ((FkMachine *)machines->pdata[i])->barred = TRUE;
  g_info("window: %" G_GUINT64_FORMAT
         " short starts, mean wait %.2f s (all of them %.2f s, %" G_GUINT64_FORMAT
         "), p %.3f, floor %u, barred above it %u, of %u machines",
         all.count, c->sizing.mean_wait_s, all.all_count ? all.all_sum_s / (double)all.all_count : 0,
         all.all_count, c->sizing.p, c->sizing.floor, c->sizing.barred, machines->len);
}

/* One line a window: what is up, and how much of it is booked. */
static void log_fleet(FkController *c) {
  g_autoptr(GString) line = g_string_new(NULL);
  GHashTableIter types, machines;
  gpointer p, q;
  g_hash_table_iter_init(&types, c->types);
  while (g_hash_table_iter_next(&types, NULL, &p)) {
    const FkType *t = p;
    for (int spot = 0; spot < 2; spot++) {
      guint n = 0;
      double booked = 0, services = 0;
      g_hash_table_iter_init(&machines, c->view->machines);
      while (g_hash_table_iter_next(&machines, NULL, &q)) {
        const FkMachine *m = q;
        if (!m->rec || m->rec->spot != spot || !g_str_equal(m->rec->type, t->name))
          continue;
        n++;
        booked += m->cpus;
        services += m->long_cpus;
      }
      if (n)
        g_string_append_printf(line, " %s%s: %u with %.0f of %.0f cpus booked (%.0f long);", t->name,
                               spot ? " spot" : "", n, booked, n * t->cpus, services);
    }
  }
  g_info("fleet:%s", line->str);
  FkView *v = c->view;
  g_info(
      "tasks done %u, mean %.1f s from booking to end; services %.2f a second; idle machines are kept %.1f "
      "times as long as usual, spot ones %.1f",
      v->took_count, v->took_count ? v->took_s / v->took_count : 0, v->service_rate,
      fk_fleet_hold_times(c, FALSE), fk_fleet_hold_times(c, TRUE));
  v->took_s = 0;
  v->took_count = 0;
}

/* Where the window's processor time went: milliseconds, and how many times, by purpose. */
static void log_cost(FkController *c) {
  FkMeter *m = &c->meter;
  if (!m->clock_ns)
    return;
  fk_meter_leave(m, fk_meter_enter(m, FK_COST_LOOP)); /* what goes on counts up to now */
  g_autoptr(GString) line = g_string_new(NULL);
  double all = 0;
  for (guint i = 0; i < FK_COSTS; i++) {
    double ms = (double)m->spent_ns[i] / 1e6;
    all += i == FK_COST_IDLE ? 0 : ms;
    g_string_append_printf(line, "%s %s %.0f/%u", i ? "," : "", fk_cost_name(i), ms, m->times[i]);
    m->spent_ns[i] = 0;
    m->times[i] = 0;
  }
  g_info("cost: %.0f ms, ms and times by purpose:%s", all, line->str);
}

/* The tables that grow with the load or with time. */
static void log_sizes(FkController *c) {
  FkView *v = c->view;
  guint books = 0, homes = 0, probes = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, v->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    books += ((FkMachine *)p)->books->len;
    homes += ((FkMachine *)p)->home != NULL;
    probes += ((FkMachine *)p)->probes ? ((FkMachine *)p)->probes->len : 0;
  }
  g_info(
      "sizes: %u jobs, %u machines (%u ours), %u bookings, %u finals, %u chunks with ends, %u ends to write, "
      "%u probes, %u reports held (%u copies and %u with impossible tokens refused), %u redirects, %u calls, "
      "%u jobs and %u machines with failures",
      g_hash_table_size(v->jobs), g_hash_table_size(v->machines), homes, books, g_hash_table_size(v->finals),
      g_hash_table_size(v->ends), g_hash_table_size(c->ended), probes, c->held->length, c->copies,
      c->impossible, g_hash_table_size(c->redirects),
      g_hash_table_size(c->commits) + g_hash_table_size(c->gets), fk_blame_jobs(v->blame),
      fk_blame_machines(v->blame));
  c->copies = c->impossible = 0;
}

static void waits_put(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {}

/* Each window every controller writes the sum and the count of its short tasks' waits. */
void fk_windows_tick(FkController *c) {
  if (!fk_time_reached(c->now, c->window_end))
    return;
  c->window_end = fk_time_add(c->now, c->settings->tuning.window_s);
  c->window++;
  FkWaits *last = g_hash_table_lookup(c->view->waits, c->settings->node);
  if (c->hold.n && (c->waits.all_count || (last && last->all_count))) {
    FkOut *t = fk_txn_new(c, FK_PRIO_RESULT);
    FkRecord *r = fk_record_new(FK_KEY_WAITS);
    r->waits = c->waits;
    r->waits.window = c->window;
    fk_txn_put(t, fk_key(FK_KEY_WAITS, c->settings->node), r, c->hold);
    fk_txn_send(c, t, waits_put, NULL, NULL);
  }
  g_autoptr(GString) why = g_string_new(NULL);
  GHashTableIter it;
  gpointer reason, looks;
  g_hash_table_iter_init(&it, c->hindrances);
  while (g_hash_table_iter_next(&it, &reason, &looks))
    g_string_append_printf(why, "; %s: %u", (char *)reason, GPOINTER_TO_UINT(looks));
  g_info("looks without a launch%s", why->str);
  g_hash_table_remove_all(c->hindrances);
  g_info("launches %u, refused %u, failed %u; to write down: %u ends", c->launches, c->launch_conflicts,
         c->launch_failures, g_hash_table_size(c->ended));
  c->launches = c->launch_conflicts = c->launch_failures = 0;
  g_info("store, transactions and writes: holds %u/%u, users %u/%u, claims %u/%u, launches and pages %u/%u, "
         "ends %u/%u; asked again %u, answers usually take %.0f ms",
         c->txns[0], c->txn_writes[0], c->txns[1], c->txn_writes[1], c->txns[2], c->txn_writes[2], c->txns[3],
         c->txn_writes[3], c->txns[4], c->txn_writes[4], c->asked_again, 1e3 * c->usual_s);
  c->asked_again = 0;
  memset(c->txns, 0, sizeof c->txns);
  memset(c->txn_writes, 0, sizeof c->txn_writes);
  log_cost(c);
  log_sizes(c);
  c->waits = (FkWaits){0};
  if (c->leading) {
    size_window(c);
    log_fleet(c);
    fk_money_tell(c);
    fk_serving_tell(c);
    fk_overdue_tell(c);
  }
}

/* ------------------------------------------------------------------ ended jobs */

static void finalized(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->finalizing = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->finalize_wait = epoch;
}

#define SWEEP_MIN 3 /* writes that must be free */

/* Jobs that are done and that others need: whatever else waits for the store's writes, these are what keeps
 * the others from starting. */
static gboolean sweep_needed(FkController *c) {
  if (!fk_deps_size(c->view->deps))
    return FALSE;
  FkOut *t = NULL;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (j->booked || j->cancelled || !fk_job_complete(j) || !fk_deps_needed(c->view->deps, j->spec->id))
      continue;
    if (!t)
      t = fk_txn_new(c, FK_PRIO_CLAIM);
    if (!fk_txn_finalize(c, t, j, c->settings->txn_ops - t->writes->len) ||
        t->writes->len + 3 > c->settings->txn_ops)
      break;
  }
  if (!t)
    return FALSE;
  c->finalizing = TRUE;
  fk_txn_send(c, t, finalized, NULL, NULL);
  return TRUE;
}

/* Jobs that have ended leave the live records; chunks that a large job left behind follow. */
static void sweep(FkController *c) {
  if (c->finalizing || c->view->applied.n < c->finalize_wait.n || sweep_needed(c) ||
      !fk_time_reached(c->now, c->sweep_next) || c->write_room < SWEEP_MIN)
    return;
  guint room = (guint)MIN(c->settings->txn_ops, c->write_room);
  c->sweep_next = fk_time_add(c->now, 0.3);
  GHashTableIter it;
  gpointer key, p;
  FkOut *t = NULL;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    /* that a job is cancelled is known from its record: its end can wait */
    if (j->booked || !(j->cancelled ? !fk_services_first(c) : fk_job_complete(j)))
      continue;
    if (!t)
      t = fk_txn_new(c, FK_PRIO_RESULT);
    if (!fk_txn_finalize(c, t, j, c->settings->txn_ops - t->writes->len))
      break;
    if (t->writes->len + 3 > room)
      break;
  }
  if (!t && g_hash_table_size(c->view->orphans)) {
    t = fk_txn_new(c, FK_PRIO_RESULT);
    g_hash_table_iter_init(&it, c->view->orphans);
    while (t->writes->len < MIN(c->settings->txn_ops, 12) && g_hash_table_iter_next(&it, &key, &p)) {
      g_autofree char *id = NULL;
      guint32 chunk;
      fk_key_parse(key, &id, &chunk);
      fk_txn_guard(t, g_strdup(key), *(FkRev *)p);
      /* Only the store says that there is no such job: to a list read page by page, a job accepted meanwhile
       * is missing, and its first chunk isn't. Deleting that would start its tasks a second time. */
      fk_txn_guard(t, fk_key(FK_KEY_JOB, id), (FkRev){0});
      fk_txn_delete(t, g_strdup(key));
    }
  }
  if (!t)
    return;
  c->finalizing = TRUE;
  c->sweep_next = fk_time_add(c->now, MIN(2.0, t->writes->len / (0.4 * c->settings->state_write_rps)));
  fk_txn_send(c, t, finalized, NULL, NULL);
}

/* ------------------------------------------------------------------ stopping */

#define PREEMPT_S 4.0

/* Room for a job of a higher rank that fits nowhere: where the least work is lost, and the image is at hand.
 */
static void preempt_for(FkController *c, FkStops *stops, FkJob *j, GPtrArray *machines) {
  if (!fk_team_allows(c, j->spec) || fk_time_between(j->preempted, c->now) < PREEMPT_S ||
      fk_best_for_long(c, j, machines, NULL))
    return;
  g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(FkBookRef));
  FkMachine *best = fk_displace_best(c, j, machines, FALSE, G_MAXDOUBLE, victims);
  if (!best)
    return;
  for (guint i = 0; i < victims->len; i++) {
    FkBookRef *v = &g_array_index(victims, FkBookRef, i);
    g_info("%s/%u leaves %s for %s", v->job->spec->id, v->task, best->id, j->spec->id);
    fk_stops_add(c, stops, v->job, v->task);
  }
  j->preempted = c->now;
  /* two services that wait must not count on the same room */
  best->pend_cpus += j->spec->cpus;
  best->pend_gpus += j->spec->gpus;
  best->pend_mem += j->spec->mem_gb;
  FkPend p = {best->id, g_intern_string(j->spec->team), j->spec->cpus, j->spec->gpus, j->spec->mem_gb, 0};
  g_array_append_val(c->pending, p);
}

/* A machine that the cloud will take back: what can't end there in time moves now, rather than lose the rest
 * of the notice as well. A task that can save does so; one that will just end in time stays. */
static void leave_noticed(FkController *c, FkStops *stops) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkMachine *m = p;
    gboolean drain = g_strcmp0(m->mark, FK_MARK_DRAIN) == 0;
    if (!m->rec || (!drain && g_strcmp0(m->mark, "notice") != 0))
      continue;
    double notice = m->notice_s - fk_time_between(m->mark_seen, c->now);
    for (guint i = 0; i < m->books->len; i++) {
      const FkBookRef *b = &g_array_index(m->books, FkBookRef, i);
      const FkSpec *s = b->job->spec;
      if (b->stop || b->job->cancelled || s->shape == FK_SHAPE_GANG)
        continue;
      double left = fk_view_run_s(c->view, s) - fk_time_between(b->since, c->now);
      if (s->shape == FK_SHAPE_SERVICE || left > 1.5 * notice)
        fk_stops_add(c, stops, b->job, b->task);
    }
  }
}

/* What must leave its machine although its job goes on. */
static void stop_tasks(FkController *c) {
  if (!fk_time_reached(c->now, c->stop_look))
    return;
  c->stop_look = fk_time_add(c->now, 0.1 + 1e-4 * g_hash_table_size(c->view->machines));
  if (c->stopping || c->view->applied.n < c->stop_wait.n || !fk_time_reached(c->now, c->stop_after))
    return;
  FkStops stops = {0};
  g_autoptr(GPtrArray) machines = fk_usable_machines(c);
  leave_noticed(c, &stops);
  GHashTableIter it;
  gpointer p;
  guint looks = 8; /* each looks at all machines */
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    /* a gang that lost a member can't go on: all start again together */
    if (j->spec->shape == FK_SHAPE_SERVICE && fk_job_waiting(j) && fk_time_reached(c->now, j->retry_at) &&
        !c->launching && c->view->applied.n >= c->launch_wait.n &&
        fk_time_between(j->preempted, c->now) >= PREEMPT_S && looks) {
      looks--;
      preempt_for(c, &stops, j, machines);
    }
    if (j->spec->shape == FK_SHAPE_GANG && !j->cancelled && j->booked && fk_job_waiting(j) &&
        fk_time_reached(c->now, fk_time_add(j->gang_until, 2)))
      fk_stops_all_of(c, &stops, j);
  }
  fk_reclaim(c, &stops);
  fk_stops_send(c, &stops);
}

void fk_leader_act(FkController *c) {
  if (c->leading)
    stop_tasks(c);
}

void fk_leader_tick(FkController *c) {
  campaign(c);
  gboolean leading = c->view->leader && g_str_equal(c->view->leader, c->settings->node) &&
                     g_strcmp0(c->view->leader_life, c->life) == 0;
  if (leading != c->leading) {
    g_message("%s", leading ? "leading" : "no longer leading");
    c->leading = leading;
    c->led_since = c->now;
    c->sizing = (FkSizing){0};
    unbar_all(c);
    fk_fleet_reset(c);
  }
  if (!leading)
    return;
  sweep(c);
  stop_tasks(c);
  FkCost before = fk_meter_enter(&c->meter, FK_COST_FLEET);
  fk_fleet_tick(c);
  fk_money_tick(c);
  fk_meter_leave(&c->meter, before);
}
