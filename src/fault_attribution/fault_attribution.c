#include "fault_attribution/fault_attribution.h"

#define PLACES 8           /* machines remembered of a job, and jobs of a machine: the latest */
#define DOUBT_PLACES 2     /* machines that a job must fail on, having succeeded nowhere */
#define SICK_FAILURES 3    /* in a row */
#define SICK_MOST_OF_ONE 2 /* ... of which one job of which nothing else is known may have so many ... */
#define UNPROVEN 0.5       /* ... and each counts so much */
#define AVOID_S 60.0       /* a machine may have been mended */
#define FREE_TRIES 3       /* of a job that has succeeded somewhere, before it pauses */
#define PAUSE_S 0.5
#define PAUSE_MOST_S 30.0
#define DOUBT_PAUSE_S 2.0 /* twice as long after each failure more */
#define DOUBT_PAUSE_MOST_S 60.0

/* What failed where: on a machine by job, or of a job by machine. */
typedef struct {
  char *id;
  guint times;
  FkTime last;
} Place;

typedef struct {
  GArray *places;   /* Place */
  guint row;        /* failures since the latest success */
  gboolean ever;    /* a success was seen */
  gboolean goes_on; /* a task of it has outlived those that failed */
  double took_s;    /* the longest that one of them took */
} Faults;

struct FkBlame {
  GHashTable *jobs, *machines; /* id -> Faults */
};

static void place_clear(gpointer p) { g_free(((Place *)p)->id); }

static void faults_free(gpointer p) {
  Faults *f = p;
  g_array_unref(f->places);
  g_free(f);
}

FkBlame *fk_blame_new(void) {
  FkBlame *b = g_new0(FkBlame, 1);
  b->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, faults_free);
  b->machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, faults_free);
  return b;
}

void fk_blame_free(FkBlame *b) {
  if (!b)
    return;
  g_hash_table_unref(b->jobs);
  g_hash_table_unref(b->machines);
  g_free(b);
}

void fk_blame_clear(FkBlame *b) {
  g_hash_table_remove_all(b->jobs);
  g_hash_table_remove_all(b->machines);
}

static Faults *faults_of(GHashTable *table, const char *id) {
  Faults *f = g_hash_table_lookup(table, id);
  if (!f) {
    f = g_new0(Faults, 1);
    f->places = g_array_new(FALSE, FALSE, sizeof(Place));
    g_array_set_clear_func(f->places, place_clear);
    g_hash_table_insert(table, g_strdup(id), f);
  }
  return f;
}

static Place *place_of(const Faults *f, const char *id) {
  for (guint i = 0; f && i < f->places->len; i++)
    if (g_str_equal(g_array_index(f->places, Place, i).id, id))
      return &g_array_index(f->places, Place, i);
  return NULL;
}

static void add(Faults *f, const char *id, FkTime now) {
  Place *p = place_of(f, id);
  f->row++;
  if (p) {
    p->times++;
    p->last = now;
    return;
  }
  if (f->places->len >= PLACES)
    g_array_remove_index(f->places, 0); /* the oldest */
  Place fresh = {g_strdup(id), 1, now};
  g_array_append_val(f->places, fresh);
}

#define OUTLIVES 3.0   /* times as long as those that failed took ... */
#define OUTLIVES_S 5.0 /* ... and so much longer: an image may come late */

void fk_blame_goes_on(FkBlame *b, const char *job, double oldest_s) {
  Faults *j = g_hash_table_lookup(b->jobs, job);
  if (j)
    j->goes_on = oldest_s > OUTLIVES * j->took_s + OUTLIVES_S;
}

void fk_blame_failed(FkBlame *b, const char *job, const char *machine, double took_s, gboolean succeeded,
                     FkTime now) {
  Faults *j = faults_of(b->jobs, job);
  j->ever |= succeeded;
  j->took_s = MAX(j->took_s, took_s);
  add(j, machine, now);
  add(faults_of(b->machines, machine), job, now);
}

/* Only who has failed, or fails later, needs an entry: of all others nothing is kept but that a job which
 * has an entry did succeed once. */
void fk_blame_succeeded(FkBlame *b, const char *job, const char *machine) {
  Faults *j = g_hash_table_lookup(b->jobs, job);
  if (j) {
    j->ever = TRUE;
    j->row = 0;
  }
  g_hash_table_remove(b->machines, machine);
}

void fk_blame_job_gone(FkBlame *b, const char *job) { g_hash_table_remove(b->jobs, job); }

void fk_blame_machine_gone(FkBlame *b, const char *machine) { g_hash_table_remove(b->machines, machine); }

/* Other jobs than this one have failed there, often enough to say nothing of this one. */
static gboolean bad_for_others(const FkBlame *b, const char *machine, const char *job) {
  const Faults *m = g_hash_table_lookup(b->machines, machine);
  guint others = 0;
  for (guint i = 0; m && i < m->places->len; i++) {
    const Place *p = &g_array_index(m->places, Place, i);
    const Faults *j = g_str_equal(p->id, job) ? NULL : g_hash_table_lookup(b->jobs, p->id);
    /* one that has failed at that machine alone, or has succeeded elsewhere */
    if (j && (j->ever || j->goes_on || j->places->len == 1))
      others += p->times;
  }
  return others >= SICK_FAILURES;
}

gboolean fk_blame_doubted(const FkBlame *b, const char *job) {
  const Faults *j = g_hash_table_lookup(b->jobs, job);
  if (!j || j->ever || j->goes_on || j->places->len < DOUBT_PLACES)
    return FALSE;
  guint sound = 0;
  for (guint i = 0; i < j->places->len; i++)
    sound += !bad_for_others(b, g_array_index(j->places, Place, i).id, job);
  return sound >= DOUBT_PLACES;
}

static double doubled(double first, guint times, double most) {
  double s = first;
  for (guint i = 0; i < times && s < most; i++)
    s *= 2;
  return MIN(s, most);
}

double fk_blame_pause_s(const FkBlame *b, const char *job) {
  const Faults *j = g_hash_table_lookup(b->jobs, job);
  if (!j || !j->row)
    return 0;
  if (fk_blame_doubted(b, job)) {
    /* all tasks of its first launch fail at about the same time: that is one try, not hundreds */
    guint tries = MIN(j->places->len, j->row);
    return doubled(DOUBT_PAUSE_S, tries - DOUBT_PLACES, DOUBT_PAUSE_MOST_S);
  }
  return j->row <= FREE_TRIES ? 0 : MIN(PAUSE_MOST_S, PAUSE_S * j->row);
}

gboolean fk_blame_avoids(const FkBlame *b, const char *job, const char *machine, FkTime now) {
  const Place *p = place_of(g_hash_table_lookup(b->jobs, job), machine);
  return p && fk_time_between(p->last, now) < AVOID_S;
}

gboolean fk_blame_sick(const FkBlame *b, const char *machine) {
  const Faults *m = g_hash_table_lookup(b->machines, machine);
  double against = 0;
  for (guint i = 0; m && i < m->places->len; i++) {
    const Place *p = &g_array_index(m->places, Place, i);
    const Faults *j = g_hash_table_lookup(b->jobs, p->id);
    if (fk_blame_doubted(b, p->id))
      continue;
    /* The failures here of a job that has worked nowhere yet say little, however many tasks it had: it may
     * fail everywhere. Its next try, which is elsewhere and soon, tells. */
    against += j && (j->ever || j->goes_on) ? p->times : UNPROVEN * MIN(p->times, SICK_MOST_OF_ONE);
  }
  return against >= SICK_FAILURES;
}

guint fk_blame_jobs(const FkBlame *b) { return g_hash_table_size(b->jobs); }

guint fk_blame_machines(const FkBlame *b) { return g_hash_table_size(b->machines); }
