/* The short path: batch sampling and late binding, by each controller on its own machines. */
#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/scheduling_queue.h"

#include <math.h>
#include <string.h>

#define PROBES_PER_MACHINE_MAX 24   /* probes a machine */
#define SAMPLED_SLOTS_PER_PROBE 1.5 /* slots for each probe, among the machines that are sampled */
#define SAMPLED_MACHINES_MIN 16     /* machines */

/* ------------------------------------------------------------------ the short path */

#define STEAL_ROTATION_S 0.5

/* A short job is its owner's first. What the owner has no room for goes round: one other controller at a time
 * may take its tasks, so that they don't all write the same chunk. */
static gboolean is_own_job(FkController *c, const FkJob *j) {
  const char *owner = j->spec->owner;
  if (!owner || g_str_equal(owner, c->settings->node))
    return TRUE;
  if (fk_node_is_alive(c, owner) &&
      fk_time_between(j->first_seen_at, c->now) <= c->settings->tuning.steal_after_s)
    return FALSE;
  guint before = 0, n = c->settings->peers->len + 1;
  for (guint i = 0; i < c->settings->peers->len; i++)
    before += strcmp(((FkPeer *)c->settings->peers->pdata[i])->name, c->settings->node) < 0;
  guint64 turn = (guint64)((c->now.us + c->view->wall_offset_us) / (gint64)(STEAL_ROTATION_S * 1e6));
  return (g_str_hash(j->spec->id) + turn) % n == before;
}

static gboolean is_own_short_job(FkController *c, const FkJob *j) {
  return !fk_spec_is_long(c, j->spec) && is_own_job(c, j);
}

/* A machine's probes are a small array that refers to the jobs: looking through it costs a few comparisons of
 * pointers, and what is over is found without a look-up. */
static gboolean has_probe(const GPtrArray *probes, const FkJob *j) {
  for (guint i = 0; i < probes->len; i++)
    if (probes->pdata[i] == j)
      return TRUE;
  return FALSE;
}

/* A full queue keeps the jobs that come first in the order: without this, a crowd of jobs that came early
 * would shut out all later ones, however short or urgent. Jobs whose team is at its limit can start nowhere
 * and go first: two dozen of them kept a guest's job out of every queue, beside machines that stood empty. */
static gboolean evict_probe(GPtrArray *probes, const FkJob *j) {
  guint last = probes->len, last_place = j->queue_position;
  for (guint i = 0; i < probes->len; i++) {
    const FkJob *other = probes->pdata[i];
    guint place = fk_job_waiting_tasks(other) && other->quota_available ? other->queue_position : G_MAXUINT;
    if (place > last_place) {
      last = i;
      last_place = place;
    }
  }
  if (last == probes->len)
    return FALSE;
  g_ptr_array_remove_index_fast(probes, last);
  return TRUE;
}

/* Machines that are drawn in one look, for all jobs together: with thousands of jobs that wait, sampling for
 * each of them cost a hundred times what could come of it. The first jobs in the order come first; a part is
 * left for others. */
#define OPEN_SAMPLES_MAX 4000
#define FULL_SAMPLES_MAX 2000
#define OTHERS_SAMPLE_DIVISOR 4 /* one of so many */

/* Batch sampling: some of our machines, drawn at random, get a probe of the job in their queues; machines
 * with room first. */
static void probe_machines(FkController *c, FkJob *j, GPtrArray *mine, guint *samples) {
  guint want = (guint)ceil(fk_job_waiting_tasks(j) * c->settings->tuning.probe_ratio);
  guint n = mine->len, tries = MIN(MIN(n, 2 * want + 8), *samples);
  *samples -= tries;
  for (guint i = 0; i < tries && want; i++) {
    guint k = (guint)g_rand_int_range(c->rand, (gint)i, (gint)n);
    gpointer t = mine->pdata[i];
    mine->pdata[i] = mine->pdata[k];
    mine->pdata[k] = t;
    FkMachine *m = mine->pdata[i];
    if (!fk_placement_is_allowed(c, j, m))
      continue;
    if (!m->probes)
      m->probes = g_ptr_array_new_with_free_func(fk_job_unref);
    if (has_probe(m->probes, j)) {
      want--;
      continue;
    }
    if (m->probes->len >= PROBES_PER_MACHINE_MAX && !evict_probe(m->probes, j))
      continue;
    g_ptr_array_add(m->probes, fk_job_ref(j));
    want--;
  }
}

/* There is room for all that waits on spot machines, here or in the care of others: what may run there, and
 * every controller hasn't yet had its turn at, isn't for an ordinary machine, which costs several times as
 * much. */
static gboolean spot_capacity_suffices(FkController *c, GPtrArray *jobs) {
  double wanted = 0;
  for (guint i = 0; i < jobs->len; i++) {
    const FkJob *j = jobs->pdata[i];
    if (!fk_spec_is_long(c, j->spec))
      wanted += fk_job_waiting_tasks(j) * j->spec->cpus;
  }
  return wanted <= 0 || fk_capacity_index_spot_cpus(c, wanted) >= wanted;
}

static gboolean every_controller_had_a_chance(FkController *c, const FkJob *j) {
  double turns = c->settings->tuning.steal_after_s + STEAL_ROTATION_S * (c->settings->peers->len + 1);
  return fk_time_between(j->first_seen_at, c->now) > turns;
}

/* Late binding: a machine with room takes the tasks in its queue that are still waiting, in the order of
 * jobs, not of arrival: ranks and deadlines hold inside a queue too. */
static void bind_queue(FkController *c, FkLaunchBatch *b, FkMachine *m, double *spare, gboolean spot_first) {
  FkJob *waiting[PROBES_PER_MACHINE_MAX];
  guint n = 0;
  for (guint i = 0; m->probes && i < m->probes->len;) {
    FkJob *j = m->probes->pdata[i];
    if (!fk_job_waiting_tasks(j)) {
      g_ptr_array_remove_index_fast(m->probes, i);
      continue;
    }
    if (j->queue_position && fk_time_reached(c->now, j->retry_at)) {
      guint at = n++;
      for (; at && waiting[at - 1]->queue_position > j->queue_position; at--)
        waiting[at] = waiting[at - 1];
      waiting[at] = j;
    }
    i++;
  }
  for (guint i = 0; i < n && !fk_launch_batch_is_full(c, b); i++) {
    FkJob *j = waiting[i];
    if (b->urgent_only && j->effective_priority >= FK_JOB_PRIORITY_NORMAL)
      continue;
    if ((spot_first && !m->record->spot && j->spec->spot && !every_controller_had_a_chance(c, j)) ||
        fk_scheduling_queue_must_back_off(c, j, m))
      continue;
    while (is_own_job(c, j) && fk_placement_fits_machine(c, m, j->spec) &&
           fk_team_quota_allows_task(c, j->spec) && fk_placement_is_allowed(c, j, m) &&
           (j->urgent || fk_service_reserve_permits(c, m, j->spec, spare)) &&
           fk_launch_batch_allocate(c, b, j, m))
      ;
  }
}

static int compare_by_load(gconstpointer a, gconstpointer b, gpointer data) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  const FkInstanceType *tx = fk_machine_type(data, x), *ty = fk_machine_type(data, y);
  /* Spot first: services can't use it. Then what is cheaper to keep, so that the dearest machines run empty
   * first and go back; then the fuller. */
  if (x->record->spot != y->record->spot)
    return x->record->spot ? -1 : 1;
  double px = tx ? tx->price : 0, py = ty ? ty->price : 0;
  if (px != py)
    return px < py ? -1 : 1;
  if (x->allocated_cpus != y->allocated_cpus)
    return x->allocated_cpus > y->allocated_cpus ? -1 : 1;
  /* always the same ones: machines that are alike must not all be kept half full, but some full and some
   * empty */
  return g_strcmp0(x->id, y->id);
}

/* What our waiting short jobs want of the machines that are sampled. */
typedef struct {
  double probes;
  const FkSpec *largest;
  gboolean bound;    /* some may use one zone or some types alone */
  gboolean ordinary; /* some may not use spot machines */
} Sampling;

static Sampling sampling_for(FkController *c, GPtrArray *jobs) {
  Sampling wanted = {0};
  for (guint i = 0; i < jobs->len; i++) {
    const FkJob *j = jobs->pdata[i];
    if (!is_own_short_job(c, j))
      continue;
    wanted.probes += fk_job_waiting_tasks(j) * c->settings->tuning.probe_ratio;
    wanted.bound |= j->spec->zone || j->spec->types || j->spec->one_zone || j->spec->spread;
    wanted.ordinary |= !j->spec->spot;
    if (!wanted.largest || j->spec->cpus > wanted.largest->cpus)
      wanted.largest = j->spec;
  }
  return wanted;
}

/* Where there is room for much more than what waits, only the machines that should have it are sampled,
 * enough for every probe and half as many again: the others run empty, and can be returned. Machines that
 * some of the jobs may not use don't count as enough: sixteen idle spot machines came first, and a job that
 * may use ordinary ones alone waited for 90 s beside twelve of these (meeting_slow_store). */
static void keep_preferred_machines(FkController *c, GPtrArray *open, GPtrArray *jobs) {
  const Sampling wanted = sampling_for(c, jobs);
  if (!wanted.largest || wanted.bound)
    return;
  guint keep = 0, counted = 0;
  double slots = 0;
  for (; keep < open->len &&
         (counted < SAMPLED_MACHINES_MIN || slots < SAMPLED_SLOTS_PER_PROBE * wanted.probes);
       keep++) {
    const FkMachine *m = open->pdata[keep];
    const FkInstanceType *t = fk_machine_type(c, m);
    if (m->record->spot && wanted.ordinary)
      continue;
    counted++;
    slots += t && wanted.largest->cpus > 0
                 ? floor((t->cpus - m->allocated_cpus - m->reserved_cpus) / wanted.largest->cpus +
                         FK_AMOUNT_EPSILON)
                 : 1;
  }
  if (keep < open->len)
    g_ptr_array_set_size(open, (gint)keep);
}

/* A machine that is kept for a job is sampled by it, whoever else is. */
static void probe_reserved_machines(FkController *c, GPtrArray *open) {
  g_autoptr(GPtrArray) reserved = fk_backfill_reservation_machines(c);
  for (guint i = 0; i < reserved->len; i++) {
    FkMachine *m = reserved->pdata[i];
    FkJob *j =
        fk_machine_is_owned(c, m) && fk_machine_is_usable(c, m) ? fk_backfill_reservation_holder(c, m) : NULL;
    if (!j || fk_spec_is_long(c, j->spec) || !is_own_job(c, j))
      continue;
    if (!m->probes)
      m->probes = g_ptr_array_new_with_free_func(fk_job_unref);
    if (!has_probe(m->probes, j) && (m->probes->len < PROBES_PER_MACHINE_MAX || evict_probe(m->probes, j)))
      g_ptr_array_add(m->probes, fk_job_ref(j));
    if (!g_ptr_array_find(open, m, NULL))
      g_ptr_array_add(open, m);
  }
}

/* The smallest that waits: a machine with less room than this isn't worth a look. */
static gboolean smallest_demand(GPtrArray *jobs, gboolean arrays, double *cpus, double *mem) {
  gboolean any = FALSE;
  for (guint i = 0; i < jobs->len; i++) {
    const FkSpec *s = ((FkJob *)jobs->pdata[i])->spec;
    if (arrays != (s->shape == FK_SHAPE_ARRAY))
      continue;
    *cpus = any ? MIN(*cpus, s->cpus) : s->cpus;
    *mem = any ? MIN(*mem, s->mem_gb) : s->mem_gb;
    any = TRUE;
  }
  return any;
}

#define PROBE_INTERVAL_S 1.0 /* a job that waits gets further probes, on full machines too */

static void probe_open_machines(FkController *c, GPtrArray *jobs, GPtrArray *open) {
  guint others = OPEN_SAMPLES_MAX / OTHERS_SAMPLE_DIVISOR, first = OPEN_SAMPLES_MAX - others, i = 0;
  for (; i < jobs->len && first; i++)
    if (is_own_short_job(c, jobs->pdata[i]))
      probe_machines(c, jobs->pdata[i], open, &first);
  if (i == jobs->len)
    return;
  guint left = jobs->len - i, from = (guint)g_rand_int_range(c->rand, 0, (gint32)left);
  for (guint k = 0; k < left && others; k++) {
    FkJob *j = jobs->pdata[i + (from + k) % left];
    if (is_own_short_job(c, j))
      probe_machines(c, j, open, &others);
  }
}

/* All of our usable machines, or so many of them drawn at random. */
static GPtrArray *sample_owned_machines(FkController *c) {
  const GPtrArray *ours = fk_capacity_index_owned_machines(c);
  GPtrArray *some = g_ptr_array_new();
  guint from = ours->len ? (guint)g_rand_int_range(c->rand, 0, (gint32)ours->len) : 0;
  for (guint i = 0; i < MIN(ours->len, FULL_SAMPLES_MAX); i++) {
    FkMachine *m = ours->pdata[(from + i) % ours->len];
    if (fk_machine_is_usable(c, m))
      g_ptr_array_add(some, m);
  }
  return some;
}

/* Machines without room as well: their queues are there when room comes. */
static void probe_full_machines(FkController *c, GPtrArray *jobs) {
  g_autoptr(GPtrArray) mine = NULL;
  guint samples = FULL_SAMPLES_MAX;
  for (guint i = 0; i < jobs->len && samples; i++) {
    FkJob *j = jobs->pdata[i];
    if (fk_time_between(j->probed_at, c->now) <= PROBE_INTERVAL_S || !is_own_short_job(c, j))
      continue;
    if (!mine)
      mine = sample_owned_machines(c);
    probe_machines(c, j, mine, &samples);
    j->probed_at = c->now;
  }
}

void fk_short_path_place(FkController *c, FkLaunchBatch *b, GPtrArray *jobs) {
  double cpus = 0, mem = 0;
  if (!smallest_demand(jobs, TRUE, &cpus, &mem))
    return;
  g_autoptr(GPtrArray) open = fk_capacity_index_find_open(c, TRUE, cpus, mem);
  g_ptr_array_sort_with_data(open, compare_by_load, c);
  keep_preferred_machines(c, open, jobs);
  probe_open_machines(c, jobs, open);
  probe_full_machines(c, jobs);
  probe_reserved_machines(c, open);
  g_ptr_array_sort_with_data(open, compare_by_load, c);
  double spare = fk_service_reserve_spare_slots(c, open, fk_capacity_index_owned_machines(c)->len,
                                                1.0 / fk_controller_live_count(c));
  gboolean spot_first = spot_capacity_suffices(c, jobs);
  for (guint i = 0; i < open->len && !fk_launch_batch_is_full(c, b); i++)
    bind_queue(c, b, open->pdata[i], &spare, spot_first);
}
