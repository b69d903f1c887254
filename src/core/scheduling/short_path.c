#include "core/scheduling/short_path.h"

#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/service_reserve.h"
#include "core/scheduling/team_quota.h"

#include <math.h>
#include <string.h>

#define PROBES_PER_MACHINE_MAX 24
/* number of free slots that the sampled machines must have for each wanted probe; a slot has the CPUs, GPUs
 * and memory for one task of any of the jobs */
#define SAMPLED_SLOTS_PER_PROBE 1.5
#define SAMPLED_MACHINES_MIN 16 /* minimum number of sampled machines */
#define STEAL_ROTATION_S 0.5    /* length of a controller's turn to take tasks of other owners' jobs */
#define PROBE_INTERVAL_S 1.0    /* minimum time between two samplings of all owned machines for a job */

/* Maximum number of samples in one cycle for all jobs together: among the owned machines with free capacity
 * (OPEN) and among all owned machines (OWNED). With thousands of waiting jobs, sampling machines for each job
 * costs a hundred times what it can gain. Machines are sampled for jobs in queue order; a part of
 * OPEN_SAMPLES_MAX is kept for jobs that come later in the queue. */
#define OPEN_SAMPLES_MAX 4000
#define OWNED_SAMPLES_MAX 2000
/* the part of OPEN_SAMPLES_MAX kept for jobs that come later in the queue is 1 / OTHERS_SAMPLE_DIVISOR */
#define OTHERS_SAMPLE_DIVISOR 4
#define SAMPLES_PER_PROBE 2 /* machines that may be drawn for each wanted probe */
/* machines that may be drawn for each job in addition to SAMPLES_PER_PROBE for each wanted probe */
#define SAMPLES_EXTRA 8

/* ------------------------------------------------------------------ job ownership */

/* Returns whether this controller may take tasks of the job now. The job's owner, the controller that
 * accepted the job, always may. The other controllers may only if the owner isn't alive or they have known
 * the job for longer than tuning.steal_after_s. They take turns, so that they don't all write the same chunk.
 * Every controller may always take tasks of a job without an owner. */
static gboolean is_own_job(FkController *c, const FkJob *job) {
  const char *owner = job->spec->owner, *node = c->settings->node;
  const GPtrArray *peers = c->settings->peers;
  if (!owner || g_str_equal(owner, node))
    return TRUE;
  if (fk_node_is_alive(c, owner) &&
      fk_time_between(job->first_seen_at, c->now) <= c->settings->tuning.steal_after_s)
    return FALSE;
  guint index = 0;
  for (guint i = 0; i < peers->len; i++)
    index += strcmp(((FkPeer *)peers->pdata[i])->name, node) < 0;
  guint64 turn = (guint64)((c->now.us + c->view->wall_offset_us) / (gint64)(STEAL_ROTATION_S * 1e6));
  return (g_str_hash(job->spec->id) + turn) % (peers->len + 1) == index;
}

static gboolean is_own_short_job(FkController *c, const FkJob *job) {
  return !fk_spec_is_long(c, job->spec) && is_own_job(c, job);
}

/* Returns whether every controller has had its turn to take tasks of the job (is_own_job()). */
static gboolean rotation_is_complete(FkController *c, const FkJob *job) {
  double all_s = c->settings->tuning.steal_after_s + STEAL_ROTATION_S * (c->settings->peers->len + 1);
  return fk_time_between(job->first_seen_at, c->now) > all_s;
}

/* ------------------------------------------------------------------ probes */

/* Returns whether `probes` contains a probe of the job. The array has at most PROBES_PER_MACHINE_MAX entries,
 * so a linear search is cheap. A probe is a reference to its job, not an id, so that sort_probes() sees
 * without a lookup whether the job still waits. */
static gboolean has_probe(const GPtrArray *probes, const FkJob *job) {
  for (guint i = 0; i < probes->len; i++)
    if (probes->pdata[i] == job)
      return TRUE;
  return FALSE;
}

/* Makes room in a machine's full queue by evicting the probe of the job that comes last in the scheduling
 * queue. Otherwise jobs that arrived early could keep all later ones out of the machine's queue, however
 * short or urgent. Jobs that no longer wait or whose team has no quota left count as last: two dozen jobs
 * without quota kept another team's job out of every machine's queue while machines were idle. Returns FALSE
 * if no job in the machine's queue comes after `job`. */
static gboolean evict_probe(GPtrArray *probes, const FkJob *job) {
  guint last = probes->len, last_position = job->queue_position;
  for (guint i = 0; i < probes->len; i++) {
    const FkJob *other = probes->pdata[i];
    guint position =
        fk_job_waiting_tasks(other) && other->quota_available ? other->queue_position : G_MAXUINT;
    if (position > last_position) {
      last = i;
      last_position = position;
    }
  }
  if (last == probes->len)
    return FALSE;
  g_ptr_array_remove_index_fast(probes, last);
  return TRUE;
}

/* Ensures that the machine's queue contains a probe of the job. Returns FALSE if the queue is full and the
 * job would come last in the queue. */
static gboolean ensure_probe(FkMachine *machine, FkJob *job) {
  if (!machine->probes)
    machine->probes = g_ptr_array_new_with_free_func(fk_job_unref);
  if (has_probe(machine->probes, job))
    return TRUE;
  if (machine->probes->len >= PROBES_PER_MACHINE_MAX && !evict_probe(machine->probes, job))
    return FALSE;
  g_ptr_array_add(machine->probes, fk_job_ref(job));
  return TRUE;
}

/* Batch sampling: adds a probe of the job to machines drawn at random (a partial Fisher-Yates shuffle). */
static void probe_machines(FkController *c, FkJob *job, GPtrArray *machines, guint *samples_left) {
  guint wanted = (guint)ceil(fk_job_waiting_tasks(job) * c->settings->tuning.probe_ratio);
  guint samples = MIN(MIN(machines->len, SAMPLES_PER_PROBE * wanted + SAMPLES_EXTRA), *samples_left);
  *samples_left -= samples;
  for (guint i = 0; i < samples && wanted; i++) {
    guint drawn = (guint)g_rand_int_range(c->rand, (gint)i, (gint)machines->len);
    FkMachine *machine = machines->pdata[drawn];
    machines->pdata[drawn] = machines->pdata[i];
    machines->pdata[i] = machine;
    if (fk_placement_is_allowed(c, job, machine) && ensure_probe(machine, job))
      wanted--;
  }
}

static void probe_open_machines(FkController *c, GPtrArray *jobs, GPtrArray *open) {
  guint others = OPEN_SAMPLES_MAX / OTHERS_SAMPLE_DIVISOR, first = OPEN_SAMPLES_MAX - others, i = 0;
  for (; i < jobs->len && first; i++)
    if (is_own_short_job(c, jobs->pdata[i]))
      probe_machines(c, jobs->pdata[i], open, &first);
  if (i == jobs->len)
    return;
  guint left = jobs->len - i, from = (guint)g_rand_int_range(c->rand, 0, (gint32)left);
  for (guint k = 0; k < left && others; k++) {
    FkJob *job = jobs->pdata[i + (from + k) % left];
    if (is_own_short_job(c, job))
      probe_machines(c, job, open, &others);
  }
}

/* Returns the usable machines that this controller owns. If it owns more than OWNED_SAMPLES_MAX, only a
 * section of that length is considered, which starts at a random index of the list of owned machines and
 * wraps around. */
static GPtrArray *sample_owned_machines(FkController *c) {
  const GPtrArray *owned = fk_capacity_index_owned_machines(c);
  GPtrArray *sample = g_ptr_array_new();
  guint from = owned->len ? (guint)g_rand_int_range(c->rand, 0, (gint32)owned->len) : 0;
  for (guint i = 0; i < MIN(owned->len, OWNED_SAMPLES_MAX); i++) {
    FkMachine *machine = owned->pdata[(from + i) % owned->len];
    if (fk_machine_is_usable(c, machine))
      g_ptr_array_add(sample, machine);
  }
  return sample;
}

/* Adds probes to usable machines that this controller owns, also to those without free capacity, so that the
 * jobs are already queued there when capacity becomes free. */
static void probe_owned_machines(FkController *c, GPtrArray *jobs) {
  g_autoptr(GPtrArray) machines = NULL;
  guint samples_left = OWNED_SAMPLES_MAX;
  for (guint i = 0; i < jobs->len && samples_left; i++) {
    FkJob *job = jobs->pdata[i];
    if (fk_time_between(job->probed_at, c->now) <= PROBE_INTERVAL_S || !is_own_short_job(c, job))
      continue;
    if (!machines)
      machines = sample_owned_machines(c);
    probe_machines(c, job, machines, &samples_left);
    job->probed_at = c->now;
  }
}

/* Adds a probe to each machine of this controller that is reserved for a short job which this controller may
 * place. Also makes sure that the machine is in `open`. */
static void probe_reserved_machines(FkController *c, GPtrArray *open) {
  g_autoptr(GPtrArray) reserved = fk_backfill_reservation_machines(c);
  for (guint i = 0; i < reserved->len; i++) {
    FkMachine *machine = reserved->pdata[i];
    if (!fk_machine_is_owned(c, machine) || !fk_machine_is_usable(c, machine))
      continue;
    FkJob *job = fk_backfill_reservation_holder(c, machine);
    if (!job || !is_own_short_job(c, job))
      continue;
    ensure_probe(machine, job);
    if (!g_ptr_array_find(open, machine, NULL))
      g_ptr_array_add(open, machine);
  }
}

/* ------------------------------------------------------------------ preferred machines */

/* Finds the smallest CPU and memory demand among the arrays. Returns FALSE if there are no arrays. */
static gboolean smallest_demand(GPtrArray *jobs, double *cpus, double *mem_gb) {
  gboolean found = FALSE;
  for (guint i = 0; i < jobs->len; i++) {
    const FkSpec *spec = ((FkJob *)jobs->pdata[i])->spec;
    if (spec->shape != FK_SHAPE_ARRAY)
      continue;
    *cpus = found ? MIN(*cpus, spec->cpus) : spec->cpus;
    *mem_gb = found ? MIN(*mem_gb, spec->mem_gb) : spec->mem_gb;
    found = TRUE;
  }
  return found;
}

/* Orders spot machines first, so that other machines stay free for services, most of which can't run on spot
 * machines. Next come machines with a lower price, so that the most expensive ones become empty first and are
 * terminated; then the fuller ones. Equal machines always have the same order, so that some become full and
 * others empty instead of all half full. */
static int compare_by_preference(gconstpointer a, gconstpointer b, gpointer controller) {
  const FkMachine *x = *(FkMachine *const *)a, *y = *(FkMachine *const *)b;
  const FkInstanceType *x_type = fk_machine_type(controller, x), *y_type = fk_machine_type(controller, y);
  if (x->record->spot != y->record->spot)
    return x->record->spot ? -1 : 1;
  double x_price = x_type ? x_type->price : 0, y_price = y_type ? y_type->price : 0;
  if (x_price != y_price)
    return x_price < y_price ? -1 : 1;
  if (x->allocated_cpus != y->allocated_cpus)
    return x->allocated_cpus > y->allocated_cpus ? -1 : 1;
  return g_strcmp0(x->id, y->id);
}

/* The demand of this controller's waiting short jobs for sampled machines. */
typedef struct {
  double probes;             /* wanted probes of all jobs; 0 if there are no jobs */
  double cpus, gpus, mem_gb; /* the largest amounts of any task, each for itself */
  gboolean constrained;      /* some jobs restrict the types or zones of their machines */
  gboolean ordinary_only;    /* some jobs may not use spot machines */
} SamplingDemand;

static SamplingDemand sampling_demand(FkController *c, GPtrArray *jobs) {
  SamplingDemand demand = {0};
  for (guint i = 0; i < jobs->len; i++) {
    const FkJob *job = jobs->pdata[i];
    const FkSpec *spec = job->spec;
    if (!is_own_short_job(c, job))
      continue;
    demand.probes += fk_job_waiting_tasks(job) * c->settings->tuning.probe_ratio;
    demand.constrained |= spec->zone || spec->types || spec->one_zone || spec->spread;
    demand.ordinary_only |= !spec->spot;
    demand.cpus = MAX(demand.cpus, spec->cpus);
    demand.gpus = MAX(demand.gpus, spec->gpus);
    demand.mem_gb = MAX(demand.mem_gb, spec->mem_gb);
  }
  return demand;
}

static double slots(double free_amount, double amount) {
  return amount > 0 ? floor(free_amount / amount + FK_AMOUNT_EPSILON) : G_MAXDOUBLE;
}

/* Returns how many tasks with the largest amounts fit the machine's free capacity. */
static double free_slots(FkController *c, const FkMachine *machine, const SamplingDemand *demand) {
  const FkInstanceType *type = fk_machine_type(c, machine);
  if (!type)
    return 1;
  double by_cpus = slots(type->cpus - machine->allocated_cpus - machine->reserved_cpus, demand->cpus);
  double by_gpus = slots(type->gpus - machine->allocated_gpus - machine->reserved_gpus, demand->gpus);
  double by_mem = slots(type->mem_gb - machine->allocated_mem_gb - machine->reserved_mem_gb, demand->mem_gb);
  return MAX(0, MIN(by_cpus, MIN(by_gpus, by_mem)));
}

/* Keeps only the first machines of `open`: as many as have SAMPLED_SLOTS_PER_PROBE free slots for each wanted
 * probe, and at least SAMPLED_MACHINES_MIN. The other machines can then become empty and be terminated. If
 * some job may not use spot machines, spot machines aren't counted. When spot machines were counted, 16 idle
 * spot machines were enough, and a job that may only use ordinary machines waited for 90 s although 12
 * ordinary machines were idle. A machine without the memory or the GPUs for a task has no slot either,
 * however many CPUs are free. If some job is constrained, all machines are kept. */
static void keep_preferred_machines(FkController *c, GPtrArray *open, GPtrArray *jobs) {
  const SamplingDemand demand = sampling_demand(c, jobs);
  if (demand.probes <= 0 || demand.constrained)
    return;
  guint keep = 0, counted = 0;
  double sampled_slots = 0;
  while (keep < open->len &&
         (counted < SAMPLED_MACHINES_MIN || sampled_slots < SAMPLED_SLOTS_PER_PROBE * demand.probes)) {
    const FkMachine *machine = open->pdata[keep++];
    if (machine->record->spot && demand.ordinary_only)
      continue;
    counted++;
    sampled_slots += free_slots(c, machine, &demand);
  }
  if (keep < open->len)
    g_ptr_array_set_size(open, (gint)keep);
}

/* ------------------------------------------------------------------ late binding */

/* Returns whether spot machines, of any controller, have free CPUs for all waiting short jobs. If so, a job
 * that may run on spot machines isn't placed on an ordinary one, which costs several times as much, until
 * every controller has had its turn to place the job. */
static gboolean spot_capacity_suffices(FkController *c, GPtrArray *jobs) {
  double demand_cpus = 0;
  for (guint i = 0; i < jobs->len; i++) {
    const FkJob *job = jobs->pdata[i];
    if (!fk_spec_is_long(c, job->spec))
      demand_cpus += fk_job_waiting_tasks(job) * job->spec->cpus;
  }
  return demand_cpus <= 0 || fk_capacity_index_spot_cpus(c, demand_cpus) >= demand_cpus;
}

/* Fills `waiting` with the jobs in the machine's queue that may start now, in the order of the scheduling
 * queue. Removes the probes of jobs without waiting tasks. Returns the number of jobs in `waiting`. */
static guint sort_probes(FkController *c, FkMachine *machine, FkJob *waiting[PROBES_PER_MACHINE_MAX]) {
  guint count = 0;
  for (guint i = 0; machine->probes && i < machine->probes->len;) {
    FkJob *job = machine->probes->pdata[i];
    if (!fk_job_waiting_tasks(job)) {
      g_ptr_array_remove_index_fast(machine->probes, i);
      continue;
    }
    if (job->queue_position && fk_time_reached(c->now, job->retry_at)) {
      guint at = count++;
      for (; at && waiting[at - 1]->queue_position > job->queue_position; at--)
        waiting[at] = waiting[at - 1];
      waiting[at] = job;
    }
    i++;
  }
  return count;
}

static gboolean place_task(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine,
                           double *spare_slots) {
  return is_own_job(c, job) && fk_placement_fits_machine(c, machine, job->spec) &&
         fk_team_quota_allows_task(c, job->spec) && fk_placement_is_allowed(c, job, machine) &&
         (job->urgent || fk_service_reserve_permits(c, machine, job->spec, spare_slots)) &&
         fk_launch_batch_allocate(c, batch, job, machine);
}

/* Places tasks of the jobs in the machine's queue. The jobs are taken in the order of the scheduling queue,
 * not of arrival: priorities and deadlines apply within a machine's queue too. */
static void bind_queue(FkController *c, FkLaunchBatch *batch, FkMachine *machine, double *spare_slots,
                       gboolean prefer_spot) {
  FkJob *waiting[PROBES_PER_MACHINE_MAX];
  guint count = sort_probes(c, machine, waiting);
  for (guint i = 0; i < count && !fk_launch_batch_is_full(c, batch); i++) {
    FkJob *job = waiting[i];
    if (batch->high_priority_only && job->effective_priority >= FK_JOB_PRIORITY_NORMAL)
      continue;
    if (prefer_spot && !machine->record->spot && job->spec->spot && !rotation_is_complete(c, job))
      continue;
    if (!fk_placement_fits_machine(c, machine, job->spec) || fk_scheduling_queue_must_yield(c, job, machine))
      continue;
    gboolean placed;
    do
      placed = place_task(c, batch, job, machine, spare_slots);
    while (placed);
  }
}

void fk_short_path_place(FkController *c, FkLaunchBatch *batch, GPtrArray *jobs) {
  double cpus = 0, mem_gb = 0;
  if (!smallest_demand(jobs, &cpus, &mem_gb))
    return;
  g_autoptr(GPtrArray) open = fk_capacity_index_find_open(c, TRUE, cpus, mem_gb);
  g_ptr_array_sort_with_data(open, compare_by_preference, c);
  keep_preferred_machines(c, open, jobs);
  probe_open_machines(c, jobs, open);
  probe_owned_machines(c, jobs);
  probe_reserved_machines(c, open);
  g_ptr_array_sort_with_data(open, compare_by_preference, c);
  double spare_slots = fk_service_reserve_spare_slots(c, open, fk_capacity_index_owned_machines(c)->len,
                                                      1.0 / fk_controller_live_count(c));
  gboolean prefer_spot = spot_capacity_suffices(c, jobs);
  for (guint i = 0; i < open->len && !fk_launch_batch_is_full(c, batch); i++)
    bind_queue(c, batch, open->pdata[i], &spare_slots, prefer_spot);
}
