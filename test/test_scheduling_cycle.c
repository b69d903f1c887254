/* What a look at placement costs, counted: jobs that take their places anew, machines looked at. It must not
 * grow with what waits, nor with the machines that have no room. And the two indexes it rests on. */
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
#define BOX_TASKS 4 /* of the filler's that fill a machine */
#define LOOKS 20
#define LOOK_EVERY_S 0.3
#define AMPLE 1e7

/* Lines for watched(): path and value by turns, owned. */
static void add_line(GPtrArray *lines, char *path /* taken */, char *value /* taken */) {
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

/* Machines from the first on are filled by jobs that run. */
static void fill_machines(GPtrArray *lines, guint n) {
  for (guint first = 0; first < n * BOX_TASKS; first += FILLER_TASKS) {
    guint tasks = MIN(FILLER_TASKS, n * BOX_TASKS - first);
    FkRecord *r = fk_record_new(FK_STORE_KEY_CHUNK);
    r->chunk = fk_chunk_new(0, tasks);
    for (guint i = 0; i < tasks; i++) {
      g_autofree char *machine = g_strdup_printf("i-%06u", (first + i) / BOX_TASKS);
      fk_chunk_allocate(r->chunk, i, machine, "c-0");
    }
    g_autoptr(cJSON) value = fk_store_record_to_json(r);
    add_line(lines, g_strdup_printf("fk/l/j/run-%u", first + 7), job_value(tasks, 100));
    add_line(lines, g_strdup_printf("fk/l/t/run-%u/00000", first + 7), fk_json_print(value));
    fk_record_free(r);
  }
}

static void hear_all(Rig *r, guint machines) {
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

/* One look that nothing hinders; how many tasks it books. */
static guint look(Rig *r) {
  FkController *c = r->c;
  c->now = r->now = fk_time_add(r->now, LOOK_EVERY_S);
  c->launches.launching = c->launches.fencing = c->launches.fence_needed = FALSE;
  c->launches.launch_after = r->now;
  c->launches.wait_rev.n = 0;
  c->launches.launch_writes_available = r->s->transaction_ops_max;
  fk_scheduling_cycle_run(c);
  pump(r);
  g_ptr_array_set_size(r->outs, 0);
  return c->launches.reservations->len;
}

typedef struct {
  double jobs, machines, booked; /* a look */
} Cost;

/* The mean of some looks, each after a pause and with writes to spare. */
static Cost cost_of(guint machines, guint with_room, guint jobs) {
  Rig *r = rig_new(TRUE);
  FkController *c = r->c;
  for (guint i = 0; i < r->s->teams->len; i++)
    ((FkTeam *)r->s->teams->pdata[i])->max_cpus = AMPLE;
  g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
  add_machines(lines, machines);
  add_jobs(lines, jobs);
  fill_machines(lines, machines - with_room);
  g_ptr_array_add(lines, NULL);
  watched(r, (const char *const *)lines->pdata);
  hear_all(r, machines);
  look(r); /* takes over all that there is */
  guint64 jobs_before = fk_scheduling_queue_refreshed_count(c->leader.scheduling_queue),
          machines_before = fk_capacity_index_examined_count(c->leader.capacity_index);
  Cost cost = {0};
  for (guint i = 0; i < LOOKS; i++)
    cost.booked += look(r);
  cost.jobs = (double)(fk_scheduling_queue_refreshed_count(c->leader.scheduling_queue) - jobs_before) / LOOKS;
  cost.machines =
      (double)(fk_capacity_index_examined_count(c->leader.capacity_index) - machines_before) / LOOKS;
  cost.booked /= LOOKS;
  g_test_message("%u machines, %u with room, %u jobs: %.0f jobs and %.0f machines a look, %.0f booked",
                 machines, with_room, jobs, cost.jobs, cost.machines, cost.booked);
  rig_free(r);
  return cost;
}

#define FLAT 1.5
#define ROOM 40 /* machines */

static void test_flat_in_jobs(void) {
  Cost few = cost_of(500, ROOM, 1000), many = cost_of(500, ROOM, 10000);
  g_assert_cmpfloat(many.jobs, <=, FLAT * few.jobs);
  g_assert_cmpfloat(many.machines, <=, FLAT * few.machines);
  g_assert_cmpfloat(many.booked, >=, few.booked / FLAT);
  g_assert_cmpfloat(few.booked, >, 0);
}

static void test_flat_in_machines(void) {
  Cost few = cost_of(500, ROOM, 1000), many = cost_of(8000, ROOM, 1000);
  g_assert_cmpfloat(many.jobs, <=, FLAT * few.jobs);
  g_assert_cmpfloat(many.machines, <=, FLAT * few.machines);
  g_assert_cmpfloat(many.booked, >=, few.booked / FLAT);
}

/* With fewer jobs than are refreshed in a look, each takes its place anew in every look. */
static void test_few_jobs_are_all_refreshed(void) {
  Cost c = cost_of(100, ROOM, 100);
  g_assert_cmpfloat(c.jobs, >=, 100);
}

/* A look sees every machine with room, however many there are, and none without. */
static void test_all_machines_with_capacity(void) {
  static const struct {
    guint machines, with_room;
  } cases[] = {{100, 100}, {2000, 1900}, {2500, 2001}, {4500, 4500}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
    add_machines(lines, cases[i].machines);
    fill_machines(lines, cases[i].machines - cases[i].with_room);
    g_ptr_array_add(lines, NULL);
    watched(r, (const char *const *)lines->pdata);
    hear_all(r, cases[i].machines);
    fk_capacity_index_refresh(r->c);
    for (guint ours = 0; ours < 2; ours++) {
      gint64 began_us = g_get_monotonic_time();
      g_autoptr(GPtrArray) open = fk_capacity_index_find_open(r->c, ours, 2, 2);
      g_test_message("%u of %u machines with room: found in %.2f ms", open->len, cases[i].machines,
                     (double)(g_get_monotonic_time() - began_us) / 1e3);
      g_assert_cmpuint(open->len, ==, cases[i].with_room);
    }
    rig_free(r);
  }
}

#define WHOLE                                                                                                \
  "{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":1,\"cpus\":8,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16}"

/* Jobs that each want a whole machine: the plan leaves no machine idle that one of them waits for. Besides,
 * it looks at 2,000 jobs. */
static void test_plan_covers_all_machines(void) {
  static const struct {
    guint machines, jobs, idle;
  } cases[] = {{100, 3000, 0}, {2500, 999, 1500}, {2500, 2399, 100}, {4500, 4499, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_new(TRUE);
    for (guint k = 0; k < r->s->teams->len; k++)
      ((FkTeam *)r->s->teams->pdata[k])->max_cpus = AMPLE;
    g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
    add_machines(lines, cases[i].machines);
    for (guint k = 0; k < cases[i].jobs; k++)
      add_line(lines, g_strdup_printf("fk/l/j/run-%u", 100000 + k), g_strdup(WHOLE));
    g_ptr_array_add(lines, NULL);
    watched(r, (const char *const *)lines->pdata);
    g_autoptr(FkCapacityPlan) plan = fk_capacity_plan_new();
    gint64 began_us = g_get_monotonic_time();
    fk_autoscaler_plan_demand(r->c, plan);
    double took_ms = (double)(g_get_monotonic_time() - began_us) / 1e3;
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

#define URGENT                                                                                               \
  "{\"class\":\"u\",\"team\":\"red\",\"shape\":0,\"rank\":1,\"tasks\":1,\"cpus\":2,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16}"

/* A large launch makes the next one wait, but not urgent work; what that writes is added to the pause. */
static void test_urgent_launch_before_pause(void) {
  Rig *r = rig_new(TRUE);
  FkController *c = r->c;
  report(r, 1, 1, 11, NULL, FK_EXIT_NONE);
  c->launches.fence_needed = c->launches.fencing = c->launches.launching = FALSE;
  c->launches.wait_rev.n = 0;
  c->launches.launch_writes_available = FK_LAUNCH_WRITES_MIN; /* few: nothing is unhurried */
  c->launches.launch_after = fk_time_add(r->now, 2);
  g_ptr_array_set_size(r->outs, 0);
  tick(r, 0.5);
  g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/")); /* run-1 waits, and isn't urgent */
  const char *urgent[] = {"fk/l/j/run-2", URGENT, NULL};
  FkTime before = c->launches.launch_after;
  watched(r, urgent);
  tick(r, 0.3);
  g_assert_nonnull(find(r, FK_OUTPUT_COMMIT, "fk/l/t/run-2/"));
  g_assert_null(find(r, FK_OUTPUT_COMMIT, "fk/l/t/run-1/"));
  g_assert_true(fk_time_reached(c->launches.launch_after, before));
  rig_free(r);
}

/* ------------------------------------------------------------------ the indexes */

static void test_wait_key(void) {
  const FkWaitKey usual = {
      .priority = 2, .standing = 1, .feasible = TRUE, .remaining_work = 10, .since_us = 100};
  FkWaitKey other = usual;
  g_assert_cmpint(fk_wait_key_compare(&usual, &other), ==, 0);
#define BEFORE(field, value)                                                                                 \
  other = usual;                                                                                             \
  other.field = value;                                                                                       \
  g_assert_cmpint(fk_wait_key_compare(&other, &usual), ==, -1);                                              \
  g_assert_cmpint(fk_wait_key_compare(&usual, &other), ==, 1)
  BEFORE(priority, 1);
  BEFORE(standing, 0);
  BEFORE(urgent, TRUE);
  BEFORE(remaining_work, 5);
  BEFORE(since_us, 50);
#undef BEFORE
  other = usual;
  other.feasible = FALSE;
  other.remaining_work = 1;
  g_assert_cmpint(fk_wait_key_compare(&usual, &other), ==, -1);
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

static gboolean any(gpointer item, gpointer unused) { return TRUE; }

/* Held against a plain table through a thousand random changes. */
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
    guint looked_at = fk_capacity_buckets_find(c, wanted, ITEMS, any, NULL, found), should = 0, all = 0;
    for (guint k = 1; k <= ITEMS; k++) {
      should += free_cpus[k] >= wanted;
      all += free_cpus[k] >= 0;
    }
    g_assert_cmpuint(found->len, ==, should);
    g_assert_cmpuint(looked_at, ==, should);
    g_assert_cmpuint(fk_capacity_buckets_items(c)->len, ==, all);
    for (guint k = 1; k < found->len; k++)
      g_assert_cmpfloat(free_cpus[GPOINTER_TO_UINT(found->pdata[k - 1])], <=,
                        free_cpus[GPOINTER_TO_UINT(found->pdata[k])]);
  }
  fk_capacity_buckets_free(c);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/scheduling_cycle/wait_key", test_wait_key);
  g_test_add_func("/scheduling_cycle/wait_queue", test_wait_queue);
  g_test_add_func("/scheduling_cycle/capacity_buckets", test_capacity_buckets);
  g_test_add_func("/scheduling_cycle/few_jobs_are_all_refreshed", test_few_jobs_are_all_refreshed);
  g_test_add_func("/scheduling_cycle/all_machines_with_capacity", test_all_machines_with_capacity);
  g_test_add_func("/scheduling_cycle/plan_covers_all_machines", test_plan_covers_all_machines);
  g_test_add_func("/scheduling_cycle/flat_in_jobs", test_flat_in_jobs);
  g_test_add_func("/scheduling_cycle/flat_in_machines", test_flat_in_machines);
  g_test_add_func("/scheduling_cycle/urgent_launch_before_pause", test_urgent_launch_before_pause);
  return g_test_run();
}
