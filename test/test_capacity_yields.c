/* Tests of which free capacity jobs of a low priority leave to a blocked job, one of a higher priority that
 * waits for room: only what the blocked job can come to use, and not for good. */
#include <string.h>

#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/long_path.h"
#include "core/scheduling/scheduling_queue.h"
#include "rig.h"

#define BLOCKED_S 3.0 /* the blocked job has waited for so long */
#define LOW_RUN_S 10.0
#define MACHINE_MEM_GB 32.0
#define WALL_CLOCK_AHEAD_US (5 * G_USEC_PER_SEC)
#define SHORT_RUN_S 10.0
#define LONG_RUN_S 100.0

typedef struct {
  FkShape shape;
  FkJobPriority priority;
  double cpus, mem_gb, run_s;
  const char *cancelled; /* "true" or "false" */
} TestJob;

/* The job was submitted just now. The rig's wall clock is 5 s ahead of its monotonic clock. */
static char *job_record(Rig *r, const TestJob *job) {
  return g_strdup_printf(
      "{\"class\":\"c\",\"team\":\"red\",\"shape\":%d,\"rank\":%d,\"tasks\":4,\"cpus\":%g,\"gpus\":0,\"mem\":"
      "%g,"
      "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":%g,"
      "\"checkpoint\":0,\"save\":0,\"submitted\":%" G_GINT64_FORMAT
      ",\"owner\":\"c-0\",\"chunk\":16,\"cancelled\":%s}",
      job->shape, job->priority, job->cpus, job->mem_gb, job->run_s, (r->now.us + WALL_CLOCK_AHEAD_US) / 1000,
      job->cancelled);
}

static void add_job(Rig *r, const char *id, const TestJob *job) {
  g_autofree char *path = g_strconcat("fk/l/j/", id, NULL), *record = job_record(r, job);
  watched(r, (const char *const[]){path, record, NULL});
}

/* Allocates the job's first task on the machine. */
static void allocate(Rig *r, const char *id, const char *machine) {
  g_autofree char *path = g_strconcat("fk/l/t/", id, "/00000", NULL),
                  *chunk = g_strdup_printf("{\"f\":0,\"n\":4,\"a\":2,\"b\":[[0,1,\"%s\",\"c-0\"]]}", machine);
  watched(r, (const char *const[]){path, chunk, NULL});
}

static FkJob *find_job(Rig *r, const char *id) { return fk_view_find_job(fk_controller_view(r->c), id); }

static FkMachine *find_machine(Rig *r, const char *id) {
  return fk_view_find_machine(fk_controller_view(r->c), id);
}

static void select_jobs(Rig *r) {
  g_autoptr(GPtrArray) jobs = fk_scheduling_queue_select_jobs(r->c);
  g_assert_cmpuint(jobs->len, >, 0);
}

/* A controller that owns i-1, with the low and the blocked job; the rig's own job isn't scheduled. */
static Rig *rig_with_jobs(const TestJob *low, const TestJob *blocked) {
  Rig *r = rig_new(TRUE);
  r->s->tuning.max_wait_s = G_MAXDOUBLE;    /* the blacklist holds */
  r->s->tuning.short_cutoff_s = low->run_s; /* the low job and what runs longer take the long path */
  find_job(r, "run-1")->cancelled = TRUE;
  add_job(r, "run-low", low);
  add_job(r, "run-first", blocked);
  r->c->now = fk_time_add(r->now, BLOCKED_S);
  return r;
}

static const TestJob low_job = {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_LOW, 2, 1, LOW_RUN_S, "false"};

/* A low-rank array that was half done stopped for as long as an array of a higher rank waited for room that
 * didn't come: every machine on which the waiting job was allowed was left alone. */
static void test_room_that_does_not_come(void) {
  static const struct {
    const char *what;
    TestJob blocked, running; /* `running` has a task on the machine; 0 CPUs: nothing runs there */
    gboolean blacklisted, yields;
  } cases[] = {
      {"the machine is empty", {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, 10, "false"}, {0}, FALSE, TRUE},
      {"a service leaves too few CPUs",
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, 10, "false"},
       {FK_SHAPE_SERVICE, FK_JOB_PRIORITY_HIGH, 3, 1, 0, "false"},
       FALSE,
       FALSE},
      {"a service leaves too little memory",
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 1, MACHINE_MEM_GB, 10, "false"},
       {FK_SHAPE_SERVICE, FK_JOB_PRIORITY_HIGH, 1, 1, 0, "false"},
       FALSE,
       FALSE},
      {"a service leaves enough",
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 5, 1, 10, "false"},
       {FK_SHAPE_SERVICE, FK_JOB_PRIORITY_HIGH, 3, 1, 0, "false"},
       FALSE,
       TRUE},
      {"the service is cancelled",
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, 10, "false"},
       {FK_SHAPE_SERVICE, FK_JOB_PRIORITY_HIGH, 3, 1, 0, "true"},
       FALSE,
       TRUE},
      {"a task leaves before one of the low job would have ended",
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, 10, "false"},
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 3, 1, SHORT_RUN_S, "false"},
       FALSE,
       TRUE},
      {"a task leaves long after one of the low job would have ended",
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, 10, "false"},
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 3, 1, LONG_RUN_S, "false"},
       FALSE,
       FALSE},
      {"the blocked job may not use the machine",
       {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, LONG_RUN_S, "false"},
       {0},
       TRUE,
       FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_test_message("%s", cases[i].what);
    Rig *r = rig_with_jobs(&low_job, &cases[i].blocked);
    if (cases[i].running.cpus > 0) {
      add_job(r, "run-there", &cases[i].running);
      allocate(r, "run-there", "i-1");
      find_job(r, "run-there")->retry_at =
          fk_time_add(r->c->now, LONG_RUN_S); /* its other tasks don't wait */
    }
    FkMachine *machine = find_machine(r, "i-1");
    machine->blacklisted = cases[i].blacklisted;
    r->c->now = fk_time_add(r->now, BLOCKED_S);
    select_jobs(r);
    g_assert_cmpint(fk_scheduling_queue_must_yield(r->c, find_job(r, "run-low"), machine), ==,
                    cases[i].yields);
    g_assert_false(fk_scheduling_queue_must_yield(r->c, find_job(r, "run-first"), machine));
    rig_free(r);
  }
}

/* Expected run times may be far too short. Capacity isn't left to a blocked job for longer than a minute in
 * which nothing starts or ends on the machine. */
static void test_yields_end(void) {
  const TestJob blocked = {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, 10, "false"};
  Rig *r = rig_with_jobs(&low_job, &blocked);
  FkMachine *machine = find_machine(r, "i-1");
  FkJob *low = find_job(r, "run-low");
  FkTime start = r->c->now;
  double yielded_s = 0;
  for (double s = 0; s < 100; s += 1) {
    r->c->now = fk_time_add(start, s);
    select_jobs(r);
    if (!fk_scheduling_queue_must_yield(r->c, low, machine))
      break;
    yielded_s = s;
  }
  g_assert_cmpfloat(yielded_s, >=, 55);
  g_assert_cmpfloat(yielded_s, <=, 65);
  /* something starts there: what it leaves is left to the blocked job again */
  const TestJob other = {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 1, 1, 10, "false"};
  add_job(r, "run-there", &other);
  allocate(r, "run-there", "i-1");
  r->c->now = fk_time_add(start, yielded_s + 2);
  select_jobs(r);
  g_assert_true(fk_scheduling_queue_must_yield(r->c, low, machine));
  rig_free(r);
}

/* If the best machine for a long task is left to a blocked job, the task gets the next best one. */
static void test_long_path_next_machine(void) {
  const TestJob blocked = {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, 10, "false"};
  const TestJob service = {FK_SHAPE_SERVICE, FK_JOB_PRIORITY_HIGH, 3, 1, 0, "false"};
  Rig *r = rig_with_jobs(&low_job, &blocked);
  g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free), machines = g_ptr_array_new();
  g_autofree char *page = group_key("m"), *members = machine_page("north", "i", 2, ids);
  watched(r, (const char *const[]){page, members, NULL});
  add_job(r, "run-there", &service);
  allocate(r, "run-there", ids->pdata[1]);
  /* the machine without the service has the image, and so would be the best */
  g_hash_table_add(find_machine(r, ids->pdata[0])->images, (gpointer)g_intern_string("i"));
  g_hash_table_remove_all(find_machine(r, ids->pdata[1])->images);
  for (guint i = 0; i < ids->len; i++)
    g_ptr_array_add(machines, find_machine(r, ids->pdata[i]));
  r->c->now = fk_time_add(r->now, BLOCKED_S);
  select_jobs(r);
  const FkMachine *best = fk_long_path_best_machine(r->c, find_job(r, "run-low"), machines, NULL);
  g_assert_nonnull(best);
  g_assert_cmpstr(best->id, ==, ids->pdata[1]);
  rig_free(r);
}

/* A job that has begun, but has had no task running for long, ages as one that hasn't begun does: machines
 * are reserved for it, so that low ranks don't fill each gap before it. */
static void test_begun_job_ages(void) {
  static const struct {
    const char *what, *chunk; /* the job's chunk once its first task has ended */
    double waited_s;          /* since then */
    gboolean failing, aged;
  } cases[] = {
      {"none runs, for a short time", "{\"f\":0,\"n\":4,\"a\":2,\"d\":\"1\",\"b\":[]}", 100, FALSE, FALSE},
      {"none runs, for long", "{\"f\":0,\"n\":4,\"a\":2,\"d\":\"1\",\"b\":[]}", 140, FALSE, TRUE},
      {"none runs, and the job fails", "{\"f\":0,\"n\":4,\"a\":2,\"d\":\"1\",\"b\":[]}", 140, TRUE, FALSE},
      {"another runs", "{\"f\":0,\"n\":4,\"a\":3,\"d\":\"1\",\"b\":[[1,2,\"i-1\",\"c-0\"]]}", 140, FALSE,
       FALSE},
  };
  const TestJob begun = {FK_SHAPE_ARRAY, FK_JOB_PRIORITY_NORMAL, 6, 1, 10, "false"};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_test_message("%s", cases[i].what);
    Rig *r = rig_with_jobs(&low_job, &begun);
    find_job(r, "run-low")->cancelled = TRUE;
    r->now = fk_time_add(r->now, 300); /* the job was submitted long ago */
    allocate(r, "run-first", "i-1");
    r->now = fk_time_add(r->now, 10);
    watched(r, (const char *const[]){"fk/l/t/run-first/00000", cases[i].chunk, NULL});
    FkJob *job = find_job(r, "run-first");
    job->failing = cases[i].failing;
    r->c->now = fk_time_add(r->now, cases[i].waited_s);
    g_assert_cmpint(fk_backfill_reservation_is_aged(r->c, job), ==, cases[i].aged);
    if (cases[i].aged) {
      select_jobs(r);
      const FkJob *holder = fk_backfill_reservation_holder(r->c, find_machine(r, "i-1"));
      g_assert_true(holder == job);
    }
    rig_free(r);
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
  g_test_add_func("/capacity_yields/room_that_does_not_come", test_room_that_does_not_come);
  g_test_add_func("/capacity_yields/yields_end", test_yields_end);
  g_test_add_func("/capacity_yields/long_path_next_machine", test_long_path_next_machine);
  g_test_add_func("/capacity_yields/begun_job_ages", test_begun_job_ages);
  return g_test_run();
}
