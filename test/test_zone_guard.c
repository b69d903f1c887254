/* The launches of jobs whose tasks' zones depend on one another (zone_guard.h): what they compare, and what
 * they write. Guards against a launch that is carried out late and starts a task in another zone than the
 * job's other tasks are in by then (wrong_place). */
#include <string.h>

#include "core/scheduling/launch_batch.h"
#include "core/scheduling/zone_guard.h"
#include "rig.h"

#define JOB "run-7"
#define JOB_PATH "fk/l/j/" JOB
#define FIRST_CHUNK "fk/l/t/" JOB "/00000"
#define SECOND_CHUNK "fk/l/t/" JOB "/00001"
#define LAST_CHUNK "fk/l/t/" JOB "/00002"
#define FENCE "{\"chains\":true,\"zones\":true}"
#define FENCE_OF_VERSION_BEFORE "{\"chains\":true}"
/* The team's quota is partitioned, so that its record doesn't make launches conflict. */
#define PARTITIONED_QUOTA "{\"split\":{\"c-0\":20}}"
/* Task 0 runs on i-1, task 1 is done. */
#define FIRST_CHUNK_RUNS "{\"f\":0,\"n\":2,\"a\":3,\"d\":\"2\",\"b\":[[0,1,\"i-1\",\"c-0\"]]}"

/* A launch, and what belongs to it. */
typedef struct {
  FkLaunchBatch batch;
  GHashTable *chunks, *teams;
} Launch;

static void launch_clear(Launch *launch) {
  fk_output_free(launch->batch.txn);
  g_hash_table_unref(launch->chunks);
  g_hash_table_unref(launch->teams);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(Launch, launch_clear)

static Launch launch_new(void) {
  Launch launch = {.chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                   .teams = g_hash_table_new(g_str_hash, g_str_equal)};
  launch.batch.chunks = launch.chunks;
  launch.batch.teams = launch.teams;
  return launch;
}

/* Launches the job's first waiting task on machine i-1. `launched`: whether that was possible. */
static Launch launch_task(Rig *r, gboolean *launched) {
  Launch launch = launch_new();
  *launched = fk_launch_batch_allocate(r->c, &launch.batch, fk_view_find_job(r->c->view, JOB),
                                       fk_view_find_machine(r->c->view, "i-1"));
  return launch;
}

static gboolean writes(const Launch *launch, const char *path) {
  return fk_launch_batch_writes(&launch->batch, path);
}

/* Returns whether the second launch is void once the first one is carried out. */
static gboolean voids(const Launch *first, const Launch *second) {
  for (guint i = 0; i < second->batch.txn->guards->len; i++)
    if (writes(first, g_array_index(second->batch.txn->guards, FkGuard, i).path))
      return TRUE;
  return FALSE;
}

static gboolean compares(const Launch *launch, const char *path) { return guarded(launch->batch.txn, path); }

typedef struct {
  const char *constraint; /* a member of the job's record */
  int shape;
} Kind;

static const Kind zone_bound_kinds[] = {{"\"one_zone\":true,\"spread\":false", FK_SHAPE_ARRAY},
                                        {"\"one_zone\":false,\"spread\":true", FK_SHAPE_ARRAY},
                                        {"\"one_zone\":true,\"spread\":false", FK_SHAPE_SERVICE},
                                        {"\"one_zone\":false,\"spread\":true", FK_SHAPE_SERVICE},
                                        {"\"one_zone\":true,\"spread\":false", FK_SHAPE_GANG},
                                        {"\"one_zone\":false,\"spread\":true", FK_SHAPE_GANG}};

/* A controller whose view has the job, and its first chunk unless `chunk` is NULL. The job has five tasks. */
static Rig *rig_with_job(const Kind *kind, guint chunk_tasks, const char *image, const char *peer_fence,
                         const char *chunk) {
  Rig *r = rig_new(TRUE);
  g_autofree char *spec = g_strdup_printf(
      "{\"class\":\"c\",\"team\":\"red\",\"shape\":%d,\"rank\":2,\"tasks\":5,\"cpus\":1,\"gpus\":0,\"mem\":1,"
      "\"image\":\"%s\",\"image_gb\":1,%s,\"spot\":false,\"estimate\":10,\"checkpoint\":0,\"save\":0,"
      "\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":%u}",
      kind->shape, image, kind->constraint, chunk_tasks);
  const char *lines[] = {"fk/l/q/red",
                         PARTITIONED_QUOTA,
                         "fk/l/f/c-0",
                         FENCE,
                         "fk/l/f/c-1",
                         FENCE,
                         "fk/l/f/c-2",
                         peer_fence,
                         JOB_PATH,
                         spec,
                         chunk ? FIRST_CHUNK : NULL,
                         chunk,
                         NULL};
  watched(r, lines);
  return r;
}

/* A launch into the second chunk is held back; meanwhile the task of the first one ends and is launched
 * again, which doesn't touch the second chunk. Whichever is carried out first, the other one is void. */
static void test_launches_conflict(void) {
  for (guint i = 0; i < G_N_ELEMENTS(zone_bound_kinds); i++)
    for (guint mixed = 0; mixed < 2; mixed++) {
      Rig *r = rig_with_job(&zone_bound_kinds[i], 2, "i", mixed ? FENCE_OF_VERSION_BEFORE : FENCE,
                            FIRST_CHUNK_RUNS);
      gboolean launched;
      g_auto(Launch) held = launch_task(r, &launched);
      g_assert_true(launched && writes(&held, SECOND_CHUNK) && !writes(&held, FIRST_CHUNK));
      const char *completion[] = {"fk/l/r/c-1/0", "{\"" JOB "/0\":{\"r\":[0,1]}}", NULL};
      watched(r, completion);
      g_auto(Launch) again = launch_task(r, &launched);
      g_assert_true(launched && writes(&again, FIRST_CHUNK) && !writes(&again, SECOND_CHUNK));
      g_assert_true(voids(&held, &again) && voids(&again, &held));
      rig_free(r);
    }
}

/* A launch of the version before compares its own chunk, the job's record, and things that have nothing to do
 * with the job. One that is held back is void after a launch of this version, and the other way round, also
 * where the view doesn't show the completion that the other launch has seen. */
static void test_launches_beside_version_before(void) {
  for (guint i = 0; i < G_N_ELEMENTS(zone_bound_kinds); i++) {
    Rig *r = rig_with_job(&zone_bound_kinds[i], 2, "i", FENCE_OF_VERSION_BEFORE, FIRST_CHUNK_RUNS);
    gboolean launched;
    g_auto(Launch) launch = launch_task(r, &launched);
    g_assert_true(launched && writes(&launch, JOB_PATH));
    g_assert_true(compares(&launch, FIRST_CHUNK) && compares(&launch, SECOND_CHUNK));
    rig_free(r);
  }
}

/* Nothing is added to the launches of jobs whose chunk is all that the choice of a zone read, or whose tasks'
 * zones don't depend on one another. */
static void test_other_jobs_unchanged(void) {
  static const struct {
    Kind kind;
    guint chunk_tasks;
  } cases[] = {{{"\"one_zone\":false,\"spread\":false", FK_SHAPE_ARRAY}, 2},
               {{"\"one_zone\":false,\"spread\":false", FK_SHAPE_SERVICE}, 2},
               {{"\"one_zone\":false,\"spread\":false", FK_SHAPE_GANG}, 2},
               {{"\"one_zone\":false,\"spread\":false,\"zone\":\"north\"", FK_SHAPE_ARRAY}, 2},
               {{"\"one_zone\":true,\"spread\":false", FK_SHAPE_ARRAY}, 5},
               {{"\"one_zone\":false,\"spread\":true", FK_SHAPE_SERVICE}, 5}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    Rig *r = rig_with_job(&cases[i].kind, cases[i].chunk_tasks, "i", FENCE_OF_VERSION_BEFORE, NULL);
    gboolean launched;
    g_auto(Launch) launch = launch_task(r, &launched);
    g_assert_true(launched && writes(&launch, FIRST_CHUNK));
    g_assert_cmpuint(launch.batch.txn->writes->len, ==, 1);
    g_assert_cmpuint(launch.batch.txn->guards->len, ==, 5); /* fence, chunk, job, team, shard */
    rig_free(r);
  }
}

/* Among controllers of this version one more chunk is written, the last one, and only where it isn't written
 * anyway. */
static void test_one_more_write(void) {
  Rig *r = rig_with_job(&zone_bound_kinds[0], 2, "i", FENCE, FIRST_CHUNK_RUNS);
  gboolean launched;
  g_auto(Launch) launch = launch_task(r, &launched);
  g_assert_true(launched && writes(&launch, SECOND_CHUNK) && writes(&launch, LAST_CHUNK));
  g_assert_true(!writes(&launch, JOB_PATH) && !compares(&launch, FIRST_CHUNK));
  const char *full[] = {SECOND_CHUNK, "{\"f\":2,\"n\":2,\"a\":3,\"d\":\"3\",\"b\":[]}", LAST_CHUNK,
                        "{\"f\":4,\"n\":1,\"a\":1,\"b\":[]}", NULL};
  watched(r, full);
  g_auto(Launch) last = launch_task(r, &launched);
  g_assert_true(launched && writes(&last, LAST_CHUNK));
  g_assert_cmpuint(last.batch.txn->writes->len, ==, 1);
  rig_free(r);
}

/* A job's record near the limit for a value isn't written: beside the version before the job waits, and among
 * controllers of this version it is launched. */
static void test_records_near_the_limit(void) {
  g_autofree char *image = g_strnfill(1700, 'i');
  for (guint mixed = 0; mixed < 2; mixed++) {
    Rig *r = rig_with_job(&zone_bound_kinds[0], 2, image, mixed ? FENCE_OF_VERSION_BEFORE : FENCE, NULL);
    gboolean launched;
    g_auto(Launch) launch = launch_task(r, &launched);
    g_assert_true(launched == !mixed);
    g_assert_true(!mixed || !launch.batch.txn);
    rig_free(r);
  }
}

/* A last chunk that was written when the limit was higher isn't written before some of its tasks have ended.
 */
static void test_oversized_last_chunk(void) {
  GString *chunk = g_string_new("{\"f\":60,\"n\":60,\"a\":61,\"b\":[");
  for (guint i = 0; i < 60; i++)
    g_string_append_printf(chunk, "%s[%u,%u,\"i-1\",\"c-0\"]", i ? "," : "", 60 + i, i + 1);
  g_string_append(chunk, "]}");
  Rig *r = rig_new(TRUE);
  const char *spec =
      "{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":120,\"cpus\":0,\"gpus\":0,\"mem\":"
      "0,"
      "\"image\":\"i\",\"image_gb\":1,\"one_zone\":true,\"spread\":false,\"spot\":false,\"estimate\":10,"
      "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":60}";
  const char *lines[] = {"fk/l/q/red", PARTITIONED_QUOTA, "fk/l/f/c-0", FENCE,    "fk/l/f/c-1",
                         FENCE,        "fk/l/f/c-2",      FENCE,        JOB_PATH, spec,
                         SECOND_CHUNK, chunk->str,        NULL};
  watched(r, lines);
  gboolean launched;
  g_auto(Launch) launch = launch_task(r, &launched);
  g_assert_false(launched);
  g_string_free(chunk, TRUE);
  rig_free(r);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/zone_guard/launches_conflict", test_launches_conflict);
  g_test_add_func("/zone_guard/launches_beside_version_before", test_launches_beside_version_before);
  g_test_add_func("/zone_guard/other_jobs_unchanged", test_other_jobs_unchanged);
  g_test_add_func("/zone_guard/one_more_write", test_one_more_write);
  g_test_add_func("/zone_guard/records_near_the_limit", test_records_near_the_limit);
  g_test_add_func("/zone_guard/oversized_last_chunk", test_oversized_last_chunk);
  return g_test_run();
}
