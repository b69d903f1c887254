#include "fair_share/service_level.h"

#include <math.h>
#include <string.h>

#define GRACE_S 45.0           /* nobody expects more of a job so young: a machine may have to boot for it */
#define STARVATION_WAIT_S 60.0 /* waiting for so long in a class that is hardly served */
#define STARVATION_SHARE 0.5
#define SIZE_STEPS_PER_DOUBLING 4 /* of size, to each doubling */
#define SIZE_STEPS 160            /* 2 to the 40th CPU-seconds, and what is beyond */
#define LARGEST_SHARE 0.1         /* of the jobs seen */
#define NAMES_MAX 1000            /* classes, and teams: users invent names */

struct FkServiceLevel {
  GHashTable *classes, *largest, *teams; /* name -> FkServiceLevelRow, whose name is the key */
  GHashTable *sizes;                     /* class -> guint32[SIZES]: jobs seen by size */
};

FkServiceLevel *fk_service_level_new(void) {
  FkServiceLevel *b = g_new0(FkServiceLevel, 1);
  b->classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  b->largest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  b->sizes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  b->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return b;
}

void fk_service_level_free(FkServiceLevel *b) {
  if (!b)
    return;
  g_hash_table_unref(b->classes);
  g_hash_table_unref(b->largest);
  g_hash_table_unref(b->sizes);
  g_hash_table_unref(b->teams);
  g_free(b);
}

void fk_service_level_clear(FkServiceLevel *b) {
  g_hash_table_remove_all(b->classes);
  g_hash_table_remove_all(b->largest);
  g_hash_table_remove_all(b->sizes);
  g_hash_table_remove_all(b->teams);
}

static FkServiceLevelRow *row_of(GHashTable *table, const char *name, int kind) {
  FkServiceLevelRow *r = g_hash_table_lookup(table, name);
  if (r || g_hash_table_size(table) >= NAMES_MAX)
    return r;
  char *key = g_strdup(name);
  r = g_new0(FkServiceLevelRow, 1);
  r->name = key;
  r->kind = kind;
  g_hash_table_insert(table, key, r);
  return r;
}

static guint size_step(double size) {
  return size > 1 ? (guint)MIN(SIZE_STEPS - 1, floor(SIZE_STEPS_PER_DOUBLING * log2(size))) : 0;
}

void fk_service_level_add_size(FkServiceLevel *b, const char *class_name, double size) {
  guint32 *seen = g_hash_table_lookup(b->sizes, class_name);
  if (!seen && g_hash_table_size(b->sizes) >= NAMES_MAX)
    return;
  if (!seen) {
    seen = g_new0(guint32, SIZE_STEPS);
    g_hash_table_insert(b->sizes, g_strdup(class_name), seen);
  }
  seen[size_step(size)]++;
}

gboolean fk_service_level_is_large(const FkServiceLevel *b, const char *class_name, double size) {
  const guint32 *seen = g_hash_table_lookup(b->sizes, class_name);
  guint64 all = 0, above = 0;
  for (guint i = 0; seen && i < SIZE_STEPS; i++)
    all += seen[i];
  for (guint i = SIZE_STEPS; all && i-- > size_step(size) + 1;)
    above += seen[i];
  return all && (above == 0 || (double)above < LARGEST_SHARE * (double)all);
}

/* The rows that a job counts in. */
static void rows_of(FkServiceLevel *b, const char *class_name, const char *team, double size,
                    FkServiceLevelRow *rows[3]) {
  rows[0] = row_of(b->classes, class_name, FK_SERVICE_LEVEL_CLASS);
  rows[1] = row_of(b->teams, team, FK_SERVICE_LEVEL_TEAM);
  rows[2] = fk_service_level_is_large(b, class_name, size)
                ? row_of(b->largest, class_name, FK_SERVICE_LEVEL_LARGEST)
                : NULL;
}

void fk_service_level_job_ended(FkServiceLevel *b, const char *class_name, const char *team, double size) {
  FkServiceLevelRow *rows[3];
  rows_of(b, class_name, team, size, rows);
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i])
      rows[i]->ended++;
}

static void reset_rows(GHashTable *table) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, table);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkServiceLevelRow *r = p;
    *r = (FkServiceLevelRow){.name = r->name,
                             .kind = r->kind,
                             .ended = r->ended,
                             .expected_jobs = r->ended,
                             .served_jobs = r->ended};
  }
}

void fk_service_level_begin(FkServiceLevel *b) {
  reset_rows(b->classes);
  reset_rows(b->largest);
  reset_rows(b->teams);
}

static void count_job(FkServiceLevelRow *r, const FkServiceLevelJob *j) {
  r->live++;
  r->waiting += j->waiting;
  r->running += j->running;
  r->cpus += j->cpus;
  if (j->waiting)
    r->oldest_wait_s = MAX(r->oldest_wait_s, j->age_s);
  if (j->age_s < GRACE_S || !j->tasks)
    return;
  r->expected_jobs++;
  r->served_jobs += (double)(j->done + j->running) / j->tasks;
}

void fk_service_level_add_live_job(FkServiceLevel *b, const FkServiceLevelJob *j) {
  FkServiceLevelRow *rows[3];
  rows_of(b, j->class_name, j->team, j->size, rows);
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i])
      count_job(rows[i], j);
}

double fk_service_level_share(const FkServiceLevelRow *r) {
  return r->expected_jobs > 0 ? r->served_jobs / r->expected_jobs : 1;
}

gboolean fk_service_level_is_starved(const FkServiceLevelRow *r) {
  return r->oldest_wait_s > STARVATION_WAIT_S && fk_service_level_share(r) < STARVATION_SHARE;
}

const FkServiceLevelRow *fk_service_level_class(const FkServiceLevel *b, const char *name) {
  return g_hash_table_lookup(b->classes, name);
}

const FkServiceLevelRow *fk_service_level_largest(const FkServiceLevel *b, const char *name) {
  return g_hash_table_lookup(b->largest, name);
}

const FkServiceLevelRow *fk_service_level_team(const FkServiceLevel *b, const char *name) {
  return g_hash_table_lookup(b->teams, name);
}

static int compare_by_name(gconstpointer a, gconstpointer b) {
  const FkServiceLevelRow *x = *(FkServiceLevelRow *const *)a, *y = *(FkServiceLevelRow *const *)b;
  return x->kind != y->kind ? (int)x->kind - (int)y->kind : strcmp(x->name, y->name);
}

static void add_rows(GPtrArray *rows, GHashTable *table) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, table);
  while (g_hash_table_iter_next(&it, NULL, &p))
    g_ptr_array_add(rows, p);
}

GPtrArray *fk_service_level_rows(const FkServiceLevel *b) {
  GPtrArray *rows = g_ptr_array_new();
  add_rows(rows, b->classes);
  add_rows(rows, b->largest);
  add_rows(rows, b->teams);
  g_ptr_array_sort(rows, compare_by_name);
  return rows;
}
