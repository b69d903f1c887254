#include "fair_share/service_level.h"

#include <math.h>
#include <string.h>

#define GRACE_S 45.0 /* younger jobs aren't expected to be served: a machine may have to boot first */
/* a class or team starves only if its oldest job with waiting tasks is older than this */
#define STARVATION_WAIT_S 60.0
/* a class or team starves only if less than this share of the expected jobs is served */
#define STARVATION_SHARE 0.5
#define SIZE_STEPS_PER_DOUBLING 4 /* steps of the size histogram per doubling of a job's size */
#define SIZE_STEPS 160 /* number of steps: sizes up to 2^40 CPU-seconds; larger jobs are in the last step */
#define LARGEST_SHARE 0.1 /* share of the jobs in the histogram that count as the largest */
#define NAMES_MAX 1000    /* maximum number of classes, and of teams: users may invent any number of names */

struct FkServiceLevel {
  GHashTable *classes, *largest, *teams; /* name -> FkServiceLevelRow, whose `name` is the key */
  GHashTable *sizes;                     /* class -> guint32[SIZE_STEPS]: number of jobs of each size step */
};

FkServiceLevel *fk_service_level_new(void) {
  FkServiceLevel *level = g_new0(FkServiceLevel, 1);
  level->classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  level->largest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  level->sizes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  level->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return level;
}

void fk_service_level_free(FkServiceLevel *level) {
  if (!level)
    return;
  g_hash_table_unref(level->classes);
  g_hash_table_unref(level->largest);
  g_hash_table_unref(level->sizes);
  g_hash_table_unref(level->teams);
  g_free(level);
}

void fk_service_level_clear(FkServiceLevel *level) {
  g_hash_table_remove_all(level->classes);
  g_hash_table_remove_all(level->largest);
  g_hash_table_remove_all(level->sizes);
  g_hash_table_remove_all(level->teams);
}

/* Returns the row with that name, which is created if needed; NULL if there are too many names. */
static FkServiceLevelRow *row_of(GHashTable *table, const char *name, int kind) {
  FkServiceLevelRow *row = g_hash_table_lookup(table, name);
  if (row || g_hash_table_size(table) >= NAMES_MAX)
    return row;
  char *key = g_strdup(name);
  row = g_new0(FkServiceLevelRow, 1);
  row->name = key;
  row->kind = kind;
  g_hash_table_insert(table, key, row);
  return row;
}

static guint size_step(double size) {
  return size > 1 ? (guint)MIN(SIZE_STEPS - 1, floor(SIZE_STEPS_PER_DOUBLING * log2(size))) : 0;
}

void fk_service_level_add_size(FkServiceLevel *level, const char *class_name, double size) {
  guint32 *histogram = g_hash_table_lookup(level->sizes, class_name);
  if (!histogram && g_hash_table_size(level->sizes) >= NAMES_MAX)
    return;
  if (!histogram) {
    histogram = g_new0(guint32, SIZE_STEPS);
    g_hash_table_insert(level->sizes, g_strdup(class_name), histogram);
  }
  histogram[size_step(size)]++;
}

gboolean fk_service_level_is_large(const FkServiceLevel *level, const char *class_name, double size) {
  const guint32 *histogram = g_hash_table_lookup(level->sizes, class_name);
  guint64 total = 0, above = 0;
  for (guint i = 0; histogram && i < SIZE_STEPS; i++)
    total += histogram[i];
  for (guint i = SIZE_STEPS; total && i-- > size_step(size) + 1;)
    above += histogram[i];
  return total && (above == 0 || (double)above < LARGEST_SHARE * (double)total);
}

/* Sets `rows` to the rows in which a job counts; some may be NULL. */
static void rows_of(FkServiceLevel *level, const char *class_name, const char *team, double size,
                    FkServiceLevelRow *rows[3]) {
  rows[0] = row_of(level->classes, class_name, FK_SERVICE_LEVEL_CLASS);
  rows[1] = row_of(level->teams, team, FK_SERVICE_LEVEL_TEAM);
  rows[2] = fk_service_level_is_large(level, class_name, size)
                ? row_of(level->largest, class_name, FK_SERVICE_LEVEL_LARGEST)
                : NULL;
}

void fk_service_level_job_ended(FkServiceLevel *level, const char *class_name, const char *team,
                                double size) {
  FkServiceLevelRow *rows[3];
  rows_of(level, class_name, team, size, rows);
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i])
      rows[i]->ended++;
}

static void reset_rows(GHashTable *table) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, table);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkServiceLevelRow *row = value;
    *row = (FkServiceLevelRow){.name = row->name,
                               .kind = row->kind,
                               .ended = row->ended,
                               .expected_jobs = row->ended,
                               .served_jobs = row->ended};
  }
}

void fk_service_level_begin(FkServiceLevel *level) {
  reset_rows(level->classes);
  reset_rows(level->largest);
  reset_rows(level->teams);
}

static void count_job(FkServiceLevelRow *row, const FkServiceLevelJob *job) {
  row->live++;
  row->waiting += job->waiting;
  row->running += job->running;
  row->cpus += job->cpus;
  if (job->waiting)
    row->oldest_wait_s = MAX(row->oldest_wait_s, job->age_s);
  if (job->age_s < GRACE_S || !job->tasks)
    return;
  row->expected_jobs++;
  row->served_jobs += (double)(job->done + job->running) / job->tasks;
}

void fk_service_level_add_live_job(FkServiceLevel *level, const FkServiceLevelJob *job) {
  FkServiceLevelRow *rows[3];
  rows_of(level, job->class_name, job->team, job->size, rows);
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i])
      count_job(rows[i], job);
}

double fk_service_level_share(const FkServiceLevelRow *row) {
  return row->expected_jobs > 0 ? row->served_jobs / row->expected_jobs : 1;
}

gboolean fk_service_level_is_starved(const FkServiceLevelRow *row) {
  return row->oldest_wait_s > STARVATION_WAIT_S && fk_service_level_share(row) < STARVATION_SHARE;
}

const FkServiceLevelRow *fk_service_level_class(const FkServiceLevel *level, const char *name) {
  return g_hash_table_lookup(level->classes, name);
}

const FkServiceLevelRow *fk_service_level_largest(const FkServiceLevel *level, const char *name) {
  return g_hash_table_lookup(level->largest, name);
}

const FkServiceLevelRow *fk_service_level_team(const FkServiceLevel *level, const char *name) {
  return g_hash_table_lookup(level->teams, name);
}

static int compare_by_name(gconstpointer a, gconstpointer b) {
  const FkServiceLevelRow *x = *(FkServiceLevelRow *const *)a, *y = *(FkServiceLevelRow *const *)b;
  return x->kind != y->kind ? (int)x->kind - (int)y->kind : strcmp(x->name, y->name);
}

static void add_rows(GPtrArray *rows, GHashTable *table) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, table);
  while (g_hash_table_iter_next(&it, NULL, &value))
    g_ptr_array_add(rows, value);
}

GPtrArray *fk_service_level_rows(const FkServiceLevel *level) {
  GPtrArray *rows = g_ptr_array_new();
  add_rows(rows, level->classes);
  add_rows(rows, level->largest);
  add_rows(rows, level->teams);
  g_ptr_array_sort(rows, compare_by_name);
  return rows;
}
