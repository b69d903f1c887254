#include "fair_share/service_level.h"

#include <math.h>
#include <string.h>

#define GRACE_S 45.0   /* nobody expects more of a job so young: a machine may have to boot for it */
#define STARVED_S 60.0 /* waiting for so long in a class that is hardly served */
#define HALF 0.5
#define STEPS 4        /* of size, to each doubling */
#define SIZES 160      /* 2 to the 40th CPU-seconds, and what is beyond */
#define LARGEST 0.1    /* of the jobs seen */
#define NAMES_MAX 1000 /* classes, and teams: users invent names */

struct FkServed {
  GHashTable *classes, *largest, *teams; /* name -> FkServedRow, whose name is the key */
  GHashTable *sizes;                     /* class -> guint32[SIZES]: jobs seen by size */
};

FkServed *fk_served_new(void) {
  FkServed *b = g_new0(FkServed, 1);
  b->classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  b->largest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  b->sizes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  b->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return b;
}

void fk_served_free(FkServed *b) {
  if (!b)
    return;
  g_hash_table_unref(b->classes);
  g_hash_table_unref(b->largest);
  g_hash_table_unref(b->sizes);
  g_hash_table_unref(b->teams);
  g_free(b);
}

void fk_served_clear(FkServed *b) {
  g_hash_table_remove_all(b->classes);
  g_hash_table_remove_all(b->largest);
  g_hash_table_remove_all(b->sizes);
  g_hash_table_remove_all(b->teams);
}

static FkServedRow *row_of(GHashTable *table, const char *name, int kind) {
  FkServedRow *r = g_hash_table_lookup(table, name);
  if (r || g_hash_table_size(table) >= NAMES_MAX)
    return r;
  char *key = g_strdup(name);
  r = g_new0(FkServedRow, 1);
  r->name = key;
  r->kind = kind;
  g_hash_table_insert(table, key, r);
  return r;
}

static guint step_of(double size) { return size > 1 ? (guint)MIN(SIZES - 1, floor(STEPS * log2(size))) : 0; }

void fk_served_sized(FkServed *b, const char *class_name, double size) {
  guint32 *seen = g_hash_table_lookup(b->sizes, class_name);
  if (!seen && g_hash_table_size(b->sizes) >= NAMES_MAX)
    return;
  if (!seen) {
    seen = g_new0(guint32, SIZES);
    g_hash_table_insert(b->sizes, g_strdup(class_name), seen);
  }
  seen[step_of(size)]++;
}

gboolean fk_served_is_large(const FkServed *b, const char *class_name, double size) {
  const guint32 *seen = g_hash_table_lookup(b->sizes, class_name);
  guint64 all = 0, above = 0;
  for (guint i = 0; seen && i < SIZES; i++)
    all += seen[i];
  for (guint i = SIZES; all && i-- > step_of(size) + 1;)
    above += seen[i];
  return all && (above == 0 || (double)above < LARGEST * (double)all);
}

/* The rows that a job counts in. */
static void rows_of(FkServed *b, const char *class_name, const char *team, double size,
                    FkServedRow *rows[3]) {
  rows[0] = row_of(b->classes, class_name, FK_SERVED_CLASS);
  rows[1] = row_of(b->teams, team, FK_SERVED_TEAM);
  rows[2] =
      fk_served_is_large(b, class_name, size) ? row_of(b->largest, class_name, FK_SERVED_LARGEST) : NULL;
}

void fk_served_ended(FkServed *b, const char *class_name, const char *team, double size) {
  FkServedRow *rows[3];
  rows_of(b, class_name, team, size, rows);
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i])
      rows[i]->ended++;
}

static void begin(GHashTable *table) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, table);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkServedRow *r = p;
    *r = (FkServedRow){
        .name = r->name, .kind = r->kind, .ended = r->ended, .due = r->ended, .served = r->ended};
  }
}

void fk_served_begin(FkServed *b) {
  begin(b->classes);
  begin(b->largest);
  begin(b->teams);
}

static void count(FkServedRow *r, const FkServedJob *j) {
  r->live++;
  r->waiting += j->waiting;
  r->running += j->running;
  r->cpus += j->cpus;
  if (j->waiting)
    r->oldest_s = MAX(r->oldest_s, j->age_s);
  if (j->age_s < GRACE_S || !j->tasks)
    return;
  r->due++;
  r->served += (double)(j->done + j->running) / j->tasks;
}

void fk_served_live(FkServed *b, const FkServedJob *j) {
  FkServedRow *rows[3];
  rows_of(b, j->class_name, j->team, j->size, rows);
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    if (rows[i])
      count(rows[i], j);
}

double fk_served_share(const FkServedRow *r) { return r->due > 0 ? r->served / r->due : 1; }

gboolean fk_served_starved(const FkServedRow *r) {
  return r->oldest_s > STARVED_S && fk_served_share(r) < HALF;
}

const FkServedRow *fk_served_class(const FkServed *b, const char *name) {
  return g_hash_table_lookup(b->classes, name);
}

const FkServedRow *fk_served_largest(const FkServed *b, const char *name) {
  return g_hash_table_lookup(b->largest, name);
}

const FkServedRow *fk_served_team(const FkServed *b, const char *name) {
  return g_hash_table_lookup(b->teams, name);
}

static int by_name(gconstpointer a, gconstpointer b) {
  const FkServedRow *x = *(FkServedRow *const *)a, *y = *(FkServedRow *const *)b;
  return x->kind != y->kind ? (int)x->kind - (int)y->kind : strcmp(x->name, y->name);
}

static void add_rows(GPtrArray *rows, GHashTable *table) {
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, table);
  while (g_hash_table_iter_next(&it, NULL, &p))
    g_ptr_array_add(rows, p);
}

GPtrArray *fk_served_rows(const FkServed *b) {
  GPtrArray *rows = g_ptr_array_new();
  add_rows(rows, b->classes);
  add_rows(rows, b->largest);
  add_rows(rows, b->teams);
  g_ptr_array_sort(rows, by_name);
  return rows;
}
