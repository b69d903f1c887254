/* The cost of a scheduling cycle, counted as jobs refreshed and machines examined: it must not grow with the
 * number of waiting jobs, nor with the number of machines without free capacity. Also tests the two data
 * structures on which this depends (the wait queue and the capacity buckets), the capacity that the
 * autoscaler plans, and the bypass of the pause between launches. */
#include <string.h>

#include "core/autoscaler/autoscaler_internal.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/scheduling_cycle.h"
#include "core/scheduling/scheduling_queue.h"
#include "rig.h"
#include "scheduling_queue/capacity_buckets.h"
#include "scheduling_queue/wait_queue.h"
#include "wire/store.h"

#define FILLER_TASKS 100
#define TASKS_PER_MACHINE 4 /* filler tasks that fill one machine */
#define CYCLES 20
#define CYCLE_INTERVAL_S 0.3
#define AMPLE_QUOTA_CPUS 1e7

/* Appends a path and its value to `lines`, in the form that watched() expects; `lines` owns both. */
static void add_line(GPtrArray *lines, char *path /* takes ownership */, char *value /* takes ownership */) {
  g_ptr_array_add(lines, path);
  g_ptr_array_add(lines, value);
}

static void add_machines(GPtrArray *lines, guint n) {
  g_autoptr(GHashTable) pages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < n; i++) {
    g_autofree char *id = g_strdup_printf("i-%06u", i), *group = fk_shard_id_for_machine("north", id);
    GString *page = g_hash_table_lookup(pages, group);
    if (!page)
      g_hash_table_insert(pages, g_strdup(group), page = g_string_new("{\"zone\":\"north\",\"m\":["));
    else
      g_string_append_c(page, ',');
    g_string_append_printf(page, "[\"%s\",\"box8\",\"127.0.0.1:9\",0]", id);
  }
  GHashTableIter it;
  gpointer group, page;
  g_hash_table_iter_init(&it, pages);
  while (g_hash_table_iter_next(&it, &group, &page)) {
    add_line(lines, g_strconcat("fk/l/g/", group, NULL), g_strdup("{\"node\":\"c-0\",\"life\":\"now\"}"));
    g_string_append(page, "]}");
    add_line(lines, g_strconcat("fk/l/m/", group, NULL), g_string_free(page, FALSE));
  }
}

static char *job_value(guint tasks, guint estimate) {
  return g_strdup_printf("{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":%u,\"cpus\":2,"
                         "\"gpus\":0,\"mem\":2,\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,"
                         "\"spread\":false,\"spot\":false,\"estimate\":%u,\"checkpoint\":0,\"save\":0,"
                         "\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":100}",
                         tasks, estimate);
}

static void add_jobs(GPtrArray *lines, guint n) {
  for (guint i = 0; i < n; i++)
    add_line(lines, g_strdup_printf("fk/l/j/run-%u", 100000 + i), job_value(10 + i % 90, 10 + i % 50));
}

/* Fills the first `n` machines with running jobs. */
static void fill_machines(GPtrArray *lines, guint n) {
  for (guint first = 0; first < n * TASKS_PER_MACHINE; first += FILLER_TASKS) {
    guint tasks = MIN(FILLER_TASKS, n * TASKS_PER_MACHINE - first);
    FkRecord *r = fk_record_new(FK_STORE_KEY_CHUNK);
    r->chunk = fk_chunk_new(0, tasks);
    for (guint i = 0; i < tasks; i++) {
      g_autofree char *machine = g_strdup_printf("i-%06u", (first + i) / TASKS_PER_MACHINE);
      fk_chunk_allocate(r->chunk, i, machine, "c-0");
    }
    g_autoptr(cJSON) value = fk_store_record_to_json(r);
    add_line(lines, g_strdup_printf("fk/l/j/run-%u", first + 7), job_value(tasks, 100));
    add_line(lines, g_strdup_printf("fk/l/t/run-%u/00000", first + 7), fk_json_print(value));
    fk_record_free(r);
  }
}

static void receive_heartbeats(Rig *r, guint machines) {
  for (guint i = 0; i < machines; i++) {
    g_autofree char *id = g_strdup_printf("i-%06u", i);
    FkHeartbeat *report = says(r, id, "north", 1, ++r->tally);
    const FkMachine *m = fk_view_find_machine(r->c->view, id);
    for (guint k = 0; k < m->allocations->len; k++) {
      const FkAllocationRef *b = &g_array_index(m->allocations, FkAllocationRef, k);
      FkTaskStatus *t = g_new0(FkTaskStatus, 1);
      *t = (FkTaskStatus){g_strdup(b->job->spec->id), b->task, b->attempt, FK_TASK_RUNNING, FK_EXIT_NONE};
      g_ptr_array_add(report->tasks, t);
    }
    fk_controller_heartbeat_received(r->c, r->now, (FkRequestId){r->tally}, report);
    pump(r);
  }
}

/* Runs one scheduling cycle, after clearing what could block the cycle: a launch or fence write in flight,
 * the pause between launches, and a lack of writes. Returns how many tasks the cycle allocates. */
static guint run_cycle(Rig *r) {
  FkController *c = r->c;
  c->now = r->now = fk_time_add(r->now, CYCLE_INTERVAL_S);
  c->launches.launching = c->launches.fencing = c->launches.fence_needed = FALSE;
  c->launches.launch_after = r->now;
  c->launches.wait_rev.n = 0;
  c->launches.launch_writes_available = r->s->transaction_ops_max;
  fk_scheduling_cycle_run(c);
  pump(r);
  g_ptr_array_set_size(r->outs, 0);
  return c->launches.reservations->len;
}

/* Averages per cycle: jobs refreshed, machines examined, and tasks allocated. */
typedef struct {
  double jobs, machines, allocated;
} CycleCost;

/* Returns the mean cost of CYCLES cycles, each after a pause and with enough writes available. */
static CycleCost mean_cycle_cost(guint machines, guint with_capacity, guint jobs) {
  Rig *r = rig_new(TRUE);
  FkController *c = r->c;
  for (guint i = 0; i < r->s->teams->len; i++)
    ((FkTeam *)r->s->teams->pdata[i])->max_cpus = AMPLE_QUOTA_CPUS;
  g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
  add_machines(lines, machines);
  add_jobs(lines, jobs);
  fill_machines(lines, machines - with_capacity);
  g_ptr_array_add(lines, NULL);
  watched(r, (const char *const *)lines->pdata);
  receive_heartbeats(r, machines);
  run_cycle(r); /* the first cycle processes the initial state */
  guint64 refreshed_before = fk_scheduling_queue_refreshed_count(c->leader.scheduling_queue),
          examined_before = fk_capacity_index_examined_count(c->leader.capacity_index);
  CycleCost cost = {0};
  for (guint i = 0; i < CYCLES; i++)
    cost.allocated += run_cycle(r);
  cost.jobs =
      (double)(fk_scheduling_queue_refreshed_count(c->leader.scheduling_queue) - refreshed_before) / CYCLES;
  cost.machines =
      (double)(fk_capacity_index_examined_count(c->leader.capacity_index) - examined_before) / CYCLES;
  cost.allocated /= CYCLES;
  g_test_message("%u machines, %u with free capacity, %u jobs: %.0f jobs refreshed and %.0f machines "
                 "examined per cycle, %.0f tasks allocated",
                 machines, with_capacity, jobs, cost.jobs, cost.machines, cost.allocated);
  rig_free(r);
  return cost;
}

#define COST_GROWTH_MAX 1.5
#define MACHINES_WITH_CAPACITY 40

static void test_cost_independent_of_jobs(void) {
  CycleCost few = mean_cycle_cost(500, MACHINES_WITH_CAPACITY, 1000),
            many = mean_cycle_cost(500, MACHINES_WITH_CAPACITY, 10000);
  g_assert_cmpfloat(many.jobs, <=, COST_GROWTH_MAX * few.jobs);
  g_assert_cmpfloat(many.machines, <=, COST_GROWTH_MAX * few.machines);
  g_assert_cmpfloat(many.allocated, >=, few.allocated / COST_GROWTH_MAX);
  g_assert_cmpfloat(few.allocated, >, 0);
}

static void test_cost_independent_of_machines(void) {
  CycleCost few = mean_cycle_cost(500, MACHINES_WITH_CAPACITY, 1000),
            many = mean_cycle_cost(8000, MACHINES_WITH_CAPACITY, 1000);
  g_assert_cmpfloat(many.jobs, <=, COST_GROWTH_MAX * few.jobs);
  g_assert_cmpfloat(many.machines, <=, COST_GROWTH_MAX * few.machines);
  g_assert_cmpfloat(many.allocated, >=, few.allocated / COST_GROWTH_MAX);
}

/* If there are fewer jobs than a cycle refreshes, every cycle refreshes all of them. */
static void test_few_jobs_are_all_refreshed(void) {
  CycleCost c = mean_cycle_cost(100, MACHINES_WITH_CAPACITY, 100);
  g_assert_cmpfloat(c.jobs, >=, 100);
}

/* A cycle finds every machine with free capacity, however many there are, and no other machine. */
static void test_all_machines_with_capacity(void) {
  static const struct {
    guint machines, with_capacity;
  } cases[] = {{100, 100}, {2000, 1900}, {2500, 2001}, {4500, 4500}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
    add_machines(lines, cases[i].machines);
    fill_machines(lines, cases[i].machines - cases[i].with_capacity);
    g_ptr_array_add(lines, NULL);
    watched(r, (const char *const *)lines->pdata);
    receive_heartbeats(r, cases[i].machines);
    fk_capacity_index_refresh(r->c);
    for (guint owned_only = 0; owned_only < 2; owned_only++) {
      gint64 started_us = g_get_monotonic_time();
      g_autoptr(GPtrArray) open = fk_capacity_index_find_open(r->c, owned_only, 2, 2);
      g_test_message("%u of %u machines with free capacity found in %.2f ms", open->len, cases[i].machines,
                     (double)(g_get_monotonic_time() - started_us) / 1e3);
      g_assert_cmpuint(open->len, ==, cases[i].with_capacity);
    }
    rig_free(r);
  }
}

#define WHOLE_MACHINE_JOB                                                                                    \
  "{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":1,\"cpus\":8,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16}"

/* With jobs that each need a whole machine, the autoscaler's capacity plan must count a machine as idle only
 * if no waiting job needs it. The plan covers as many jobs as there are machines, and 2,000 at least; if it
 * covered fewer, it would count machines as idle that waiting jobs need. */
static void test_plan_covers_all_machines(void) {
  static const struct {
    guint machines, jobs, idle;
  } cases[] = {{100, 3000, 0}, {2500, 999, 1500}, {2500, 2399, 100}, {4500, 4499, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    for (guint k = 0; k < r->s->teams->len; k++)
      ((FkTeam *)r->s->teams->pdata[k])->max_cpus = AMPLE_QUOTA_CPUS;
    g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
    add_machines(lines, cases[i].machines);
    for (guint k = 0; k < cases[i].jobs; k++)
      add_line(lines, g_strdup_printf("fk/l/j/run-%u", 100000 + k), g_strdup(WHOLE_MACHINE_JOB));
    g_ptr_array_add(lines, NULL);
    watched(r, (const char *const *)lines->pdata);
    g_autoptr(FkCapacityPlan) plan = fk_capacity_plan_new();
    gint64 started_us = g_get_monotonic_time();
    fk_autoscaler_plan_demand(r->c, plan);
    double took_ms = (double)(g_get_monotonic_time() - started_us) / 1e3;
    guint idle = 0;
    for (guint k = 0; k < plan->bins->len; k++) {
      const FkCapacityBin *b = &g_array_index(plan->bins, FkCapacityBin, k);
      idle += b->key.kind == FK_CAPACITY_BIN_IDLE ? b->count : 0;
    }
    g_test_message("%u machines, %u jobs: %u idle, planned in %.1f ms", cases[i].machines, cases[i].jobs,
                   idle, took_ms);
    g_assert_cmpuint(idle, ==, cases[i].idle);
    rig_free(r);
  }
}

#define HIGH_PRIORITY_JOB                                                                                    \
  "{\"class\":\"u\",\"team\":\"red\",\"shape\":0,\"rank\":1,\"tasks\":1,\"cpus\":2,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16}"

/* After a large launch there is a pause before the next one. A job above the normal priority bypasses the
 * pause, and the time for the job's writes is added to the pause. */
static void test_high_priority_bypasses_pause(void) {
  Rig *r = rig_new(TRUE);
  FkController *c = r->c;
  report(r, 1, 1, 11, NULL, FK_EXIT_NONE);
  c->launches.fence_needed = c->launches.fencing = c->launches.launching = FALSE;
  c->launches.wait_rev.n = 0;
  c->launches.launch_writes_available = FK_LAUNCH_WRITES_MIN; /* the minimum for a launch */
  c->launches.launch_after = fk_time_add(r->now, 2);
  g_ptr_array_set_size(r->outs, 0);
  tick(r, 0.5);
  g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/")); /* run-1 waits: it isn't above the normal priority */
  const char *urgent[] = {"fk/l/j/run-2", HIGH_PRIORITY_JOB, NULL};
  FkTime before = c->launches.launch_after;
  watched(r, urgent);
  tick(r, 0.3);
  g_assert_nonnull(find(r, FK_OUTPUT_COMMIT, "fk/l/t/run-2/"));
  g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/run-1/"));
  g_assert_true(fk_time_reached(c->launches.launch_after, before));
  rig_free(r);
}

/* ------------------------------------------------------------------ wait queue and capacity buckets */

static void test_wait_key(void) {
  const FkWaitKey base = {
      .priority = 2, .standing = 1, .feasible = TRUE, .remaining_work = 10, .since_us = 100};
  FkWaitKey other = base;
  g_assert_cmpint(fk_wait_key_compare(&base, &other), ==, 0);
#define ASSERT_SORTS_FIRST(field, value)                                                                     \
  other = base;                                                                                              \
  other.field = value;                                                                                       \
  g_assert_cmpint(fk_wait_key_compare(&other, &base), ==, -1);                                               \
  g_assert_cmpint(fk_wait_key_compare(&base, &other), ==, 1)
  ASSERT_SORTS_FIRST(priority, 1);
  ASSERT_SORTS_FIRST(standing, 0);
  ASSERT_SORTS_FIRST(urgent, TRUE);
  ASSERT_SORTS_FIRST(remaining_work, 5);
  ASSERT_SORTS_FIRST(since_us, 50);
#undef ASSERT_SORTS_FIRST
  other = base;
  other.feasible = FALSE;
  other.remaining_work = 1;
  g_assert_cmpint(fk_wait_key_compare(&base, &other), ==, -1);
}

static gboolean is_even(gpointer item, gpointer unused) { return GPOINTER_TO_UINT(item) % 2 == 0; }

static void test_wait_queue(void) {
  FkWaitQueue *q = fk_wait_queue_new();
  for (guint i = 1; i <= 100; i++) {
    FkWaitKey key = {.since_us = (i * 37) % 101};
    fk_wait_queue_put(q, GUINT_TO_POINTER(i), &key);
  }
  g_assert_cmpuint(fk_wait_queue_size(q), ==, 100);
  guint64 last = 0;
  g_autoptr(GPtrArray) first = g_ptr_array_new();
  fk_wait_queue_first(q, 10, 1000, is_even, NULL, first);
  g_assert_cmpuint(first->len, ==, 10);
  for (guint i = 0; i < first->len; i++) {
    guint64 since = (GPOINTER_TO_UINT(first->pdata[i]) * 37) % 101;
    g_assert_cmpuint(since, >, last);
    last = since;
  }
  FkWaitKey ahead = {.priority = -1};
  fk_wait_queue_put(q, GUINT_TO_POINTER(50), &ahead);
  g_assert_cmpuint(fk_wait_queue_position(q, GUINT_TO_POINTER(50)), ==, 1);
  g_assert_true(fk_wait_queue_remove(q, GUINT_TO_POINTER(50)));
  g_assert_false(fk_wait_queue_remove(q, GUINT_TO_POINTER(50)));
  g_assert_cmpuint(fk_wait_queue_position(q, GUINT_TO_POINTER(50)), ==, 0);
  g_ptr_array_set_size(first, 0);
  fk_wait_queue_first(q, 100, 7, is_even, NULL, first);
  g_assert_cmpuint(first->len, <=, 7);
  fk_wait_queue_clear(q);
  g_assert_cmpuint(fk_wait_queue_size(q), ==, 0);
  fk_wait_queue_free(q);
}

static gboolean accept_all(gpointer item, gpointer unused) { return TRUE; }

/* Compares the buckets with a plain array through a thousand random changes. */
static void test_capacity_buckets(void) {
  enum { ITEMS = 60 };
  double free_cpus[ITEMS + 1];
  FkCapacityBuckets *c = fk_capacity_buckets_new();
  for (guint i = 1; i <= ITEMS; i++)
    free_cpus[i] = -1;
  for (guint step = 0; step < 1000; step++) {
    guint i = (guint)g_test_rand_int_range(1, ITEMS + 1);
    free_cpus[i] = g_test_rand_int_range(0, 4) ? g_test_rand_int_range(0, 80) / 4.0 : -1;
    if (free_cpus[i] < 0)
      fk_capacity_buckets_remove(c, GUINT_TO_POINTER(i));
    else
      fk_capacity_buckets_put(c, GUINT_TO_POINTER(i), free_cpus[i]);
    double wanted = g_test_rand_int_range(0, 60) / 4.0;
    g_autoptr(GPtrArray) found = g_ptr_array_new();
    guint examined = fk_capacity_buckets_find(c, wanted, ITEMS, accept_all, NULL, found), expected = 0,
          item_count = 0;
    for (guint k = 1; k <= ITEMS; k++) {
      expected += free_cpus[k] >= wanted;
      item_count += free_cpus[k] >= 0;
    }
    g_assert_cmpuint(found->len, ==, expected);
    g_assert_cmpuint(examined, ==, expected);
    g_assert_cmpuint(fk_capacity_buckets_items(c)->len, ==, item_count);
    for (guint k = 1; k < found->len; k++)
      g_assert_cmpfloat(free_cpus[GPOINTER_TO_UINT(found->pdata[k - 1])], <=,
                        free_cpus[GPOINTER_TO_UINT(found->pdata[k])]);
  }
  fk_capacity_buckets_free(c);
}

/* ---- machines that can't run any waiting task ---- */

#define FULLER_MACHINES 18 /* more than a cycle samples at the least */
#define ROOMY_MACHINES 2

static char *array_value(const char *owner, guint tasks, double cpus, double mem_gb) {
  return g_strdup_printf("{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":%u,\"cpus\":%g,"
                         "\"gpus\":0,\"mem\":%g,\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,"
                         "\"spread\":false,\"spot\":false,\"estimate\":10,\"checkpoint\":0,\"save\":0,"
                         "\"submitted\":1000,\"owner\":\"%s\",\"chunk\":100}",
                         tasks, cpus, mem_gb, owner);
}

/* Adds a job with one task on each of `n` machines, from the machine with index `first` on. */
static void occupy(GPtrArray *lines, const char *job, guint first, guint n, double cpus, double mem_gb) {
  FkRecord *record = fk_record_new(FK_STORE_KEY_CHUNK);
  record->chunk = fk_chunk_new(0, n);
  for (guint i = 0; i < n; i++) {
    g_autofree char *machine = g_strdup_printf("i-%06u", first + i);
    fk_chunk_allocate(record->chunk, i, machine, "c-0");
  }
  g_autoptr(cJSON) value = fk_store_record_to_json(record);
  add_line(lines, g_strconcat("fk/l/j/", job, NULL), array_value("c-0", n, cpus, mem_gb));
  add_line(lines, g_strconcat("fk/l/t/", job, "/00000", NULL), fk_json_print(value));
  fk_record_free(record);
}

/* A cycle samples the fuller machines first. Machines without the memory for a waiting task must not keep it
 * from sampling those that have it: a lost task wasn't started again for 270 s beside two machines with room.
 */
static void test_machines_without_memory(void) {
  Rig *r = rig_new(TRUE);
  ((FkTeam *)r->s->teams->pdata[0])->max_cpus = AMPLE_QUOTA_CPUS;
  g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
  add_machines(lines, FULLER_MACHINES + ROOMY_MACHINES);
  occupy(lines, "run-fuller", 0, FULLER_MACHINES, 6, 26);
  occupy(lines, "run-roomy", FULLER_MACHINES, ROOMY_MACHINES, 5, 24.5);
  add_line(lines, g_strdup("fk/l/j/run-waits"), array_value("c-0", 1, 1, 6.5));
  /* its tasks need little memory, so that the fuller machines count as open, and more CPUs than are free */
  add_line(lines, g_strdup("fk/l/j/run-wide"), array_value("c-2", 4, 4, 1));
  g_ptr_array_add(lines, NULL);
  watched(r, (const char *const *)lines->pdata);
  fk_view_find_job(fk_controller_view(r->c), "run-1")->cancelled = TRUE;
  receive_heartbeats(r, FULLER_MACHINES + ROOMY_MACHINES);
  guint allocated = 0;
  for (guint i = 0; i < CYCLES && !allocated; i++)
    allocated = run_cycle(r);
  g_assert_cmpuint(allocated, ==, 1);
  rig_free(r);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/scheduling_cycle/wait_key", test_wait_key);
  g_test_add_func("/scheduling_cycle/wait_queue", test_wait_queue);
  g_test_add_func("/scheduling_cycle/capacity_buckets", test_capacity_buckets);
  g_test_add_func("/scheduling_cycle/few_jobs_are_all_refreshed", test_few_jobs_are_all_refreshed);
  g_test_add_func("/scheduling_cycle/all_machines_with_capacity", test_all_machines_with_capacity);
  g_test_add_func("/scheduling_cycle/plan_covers_all_machines", test_plan_covers_all_machines);
  g_test_add_func("/scheduling_cycle/flat_in_jobs", test_cost_independent_of_jobs);
  g_test_add_func("/scheduling_cycle/flat_in_machines", test_cost_independent_of_machines);
  g_test_add_func("/scheduling_cycle/urgent_launch_before_pause", test_high_priority_bypasses_pause);
  g_test_add_func("/scheduling_cycle/machines_without_memory", test_machines_without_memory);
  return g_test_run();
}
