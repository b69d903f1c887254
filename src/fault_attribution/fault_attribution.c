#include "fault_attribution/fault_attribution.h"

#define SITES_MAX 8               /* machines remembered of a job, and jobs of a machine: the latest */
#define FAILING_JOB_SITES_MIN 2   /* machines that a job must fail on, having succeeded nowhere */
#define FAULTY_MACHINE_FAILURES 3 /* in a row */
#define UNPROVEN_FAILURES_MAX 2 /* ... of which one job of which nothing else is known may have so many ...  \
                                 */
#define UNPROVEN_WEIGHT 0.5     /* ... and each counts so much */
#define AVOID_MACHINE_S 60.0    /* a machine may have been mended */
#define IMMEDIATE_RETRIES 3     /* of a job that has succeeded somewhere, before it pauses */
#define RETRY_DELAY_S 0.5
#define RETRY_DELAY_MAX_S 30.0
#define FAILING_RETRY_DELAY_S 2.0 /* twice as long after each failure more */
#define FAILING_RETRY_DELAY_MAX_S 60.0

/* What failed where: on a machine by job, or of a job by machine. */
typedef struct {
  char *id;
  guint times;
  FkTime last;
} FailureSite;

typedef struct {
  GArray *sites;      /* Place */
  guint consecutive;  /* failures since the latest success */
  gboolean succeeded; /* a success was seen */
  gboolean survives;  /* a task of it has outlived those that failed */
  double longest_s;   /* the longest that one of them took */
} FailureHistory;

struct FkFaultAttribution {
  GHashTable *jobs, *machines; /* id -> Faults */
};

static void site_clear(gpointer p) { g_free(((FailureSite *)p)->id); }

static void history_free(gpointer p) {
  FailureHistory *f = p;
  g_array_unref(f->sites);
  g_free(f);
}

FkFaultAttribution *fk_fault_attribution_new(void) {
  FkFaultAttribution *b = g_new0(FkFaultAttribution, 1);
  b->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, history_free);
  b->machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, history_free);
  return b;
}

void fk_fault_attribution_free(FkFaultAttribution *b) {
  if (!b)
    return;
  g_hash_table_unref(b->jobs);
  g_hash_table_unref(b->machines);
  g_free(b);
}

void fk_fault_attribution_clear(FkFaultAttribution *b) {
  g_hash_table_remove_all(b->jobs);
  g_hash_table_remove_all(b->machines);
}

static FailureHistory *history_ensure(GHashTable *table, const char *id) {
  FailureHistory *f = g_hash_table_lookup(table, id);
  if (!f) {
    f = g_new0(FailureHistory, 1);
    f->sites = g_array_new(FALSE, FALSE, sizeof(FailureSite));
    g_array_set_clear_func(f->sites, site_clear);
    g_hash_table_insert(table, g_strdup(id), f);
  }
  return f;
}

static FailureSite *find_site(const FailureHistory *f, const char *id) {
  for (guint i = 0; f && i < f->sites->len; i++)
    if (g_str_equal(g_array_index(f->sites, FailureSite, i).id, id))
      return &g_array_index(f->sites, FailureSite, i);
  return NULL;
}

static void add_failure(FailureHistory *f, const char *id, FkTime now) {
  FailureSite *p = find_site(f, id);
  f->consecutive++;
  if (p) {
    p->times++;
    p->last = now;
    return;
  }
  if (f->sites->len >= SITES_MAX)
    g_array_remove_index(f->sites, 0); /* the oldest */
  FailureSite fresh = {g_strdup(id), 1, now};
  g_array_append_val(f->sites, fresh);
}

#define SURVIVAL_FACTOR 3.0   /* times as long as those that failed took ... */
#define SURVIVAL_MARGIN_S 5.0 /* ... and so much longer: an image may come late */

void fk_fault_attribution_task_survives(FkFaultAttribution *b, const char *job, double oldest_s) {
  FailureHistory *j = g_hash_table_lookup(b->jobs, job);
  if (j)
    j->survives = oldest_s > SURVIVAL_FACTOR * j->longest_s + SURVIVAL_MARGIN_S;
}

void fk_fault_attribution_task_failed(FkFaultAttribution *b, const char *job, const char *machine,
                                      double took_s, gboolean succeeded, FkTime now) {
  FailureHistory *j = history_ensure(b->jobs, job);
  j->succeeded |= succeeded;
  j->longest_s = MAX(j->longest_s, took_s);
  add_failure(j, machine, now);
  add_failure(history_ensure(b->machines, machine), job, now);
}

/* Only who has failed, or fails later, needs an entry: of all others nothing is kept but that a job which
 * has an entry did succeed once. */
void fk_fault_attribution_task_succeeded(FkFaultAttribution *b, const char *job, const char *machine) {
  FailureHistory *j = g_hash_table_lookup(b->jobs, job);
  if (j) {
    j->succeeded = TRUE;
    j->consecutive = 0;
  }
  g_hash_table_remove(b->machines, machine);
}

void fk_fault_attribution_remove_job(FkFaultAttribution *b, const char *job) {
  g_hash_table_remove(b->jobs, job);
}

void fk_fault_attribution_remove_machine(FkFaultAttribution *b, const char *machine) {
  g_hash_table_remove(b->machines, machine);
}

/* Other jobs than this one have failed there, often enough to say nothing of this one. */
static gboolean fails_other_jobs(const FkFaultAttribution *b, const char *machine, const char *job) {
  const FailureHistory *m = g_hash_table_lookup(b->machines, machine);
  guint others = 0;
  for (guint i = 0; m && i < m->sites->len; i++) {
    const FailureSite *p = &g_array_index(m->sites, FailureSite, i);
    const FailureHistory *j = g_str_equal(p->id, job) ? NULL : g_hash_table_lookup(b->jobs, p->id);
    /* one that has failed at that machine alone, or has succeeded elsewhere */
    if (j && (j->succeeded || j->survives || j->sites->len == 1))
      others += p->times;
  }
  return others >= FAULTY_MACHINE_FAILURES;
}

gboolean fk_fault_attribution_job_is_failing(const FkFaultAttribution *b, const char *job) {
  const FailureHistory *j = g_hash_table_lookup(b->jobs, job);
  if (!j || j->succeeded || j->survives || j->sites->len < FAILING_JOB_SITES_MIN)
    return FALSE;
  guint sound = 0;
  for (guint i = 0; i < j->sites->len; i++)
    sound += !fails_other_jobs(b, g_array_index(j->sites, FailureSite, i).id, job);
  return sound >= FAILING_JOB_SITES_MIN;
}

static double backoff_s(double first, guint times, double most) {
  double s = first;
  for (guint i = 0; i < times && s < most; i++)
    s *= 2;
  return MIN(s, most);
}

double fk_fault_attribution_retry_delay_s(const FkFaultAttribution *b, const char *job) {
  const FailureHistory *j = g_hash_table_lookup(b->jobs, job);
  if (!j || !j->consecutive)
    return 0;
  if (fk_fault_attribution_job_is_failing(b, job)) {
    /* all tasks of its first launch fail at about the same time: that is one try, not hundreds */
    guint tries = MIN(j->sites->len, j->consecutive);
    return backoff_s(FAILING_RETRY_DELAY_S, tries - FAILING_JOB_SITES_MIN, FAILING_RETRY_DELAY_MAX_S);
  }
  return j->consecutive <= IMMEDIATE_RETRIES ? 0 : MIN(RETRY_DELAY_MAX_S, RETRY_DELAY_S * j->consecutive);
}

gboolean fk_fault_attribution_job_avoids(const FkFaultAttribution *b, const char *job, const char *machine,
                                         FkTime now) {
  const FailureSite *p = find_site(g_hash_table_lookup(b->jobs, job), machine);
  return p && fk_time_between(p->last, now) < AVOID_MACHINE_S;
}

gboolean fk_fault_attribution_machine_is_faulty(const FkFaultAttribution *b, const char *machine) {
  const FailureHistory *m = g_hash_table_lookup(b->machines, machine);
  double against = 0;
  for (guint i = 0; m && i < m->sites->len; i++) {
    const FailureSite *p = &g_array_index(m->sites, FailureSite, i);
    const FailureHistory *j = g_hash_table_lookup(b->jobs, p->id);
    if (fk_fault_attribution_job_is_failing(b, p->id))
      continue;
    /* The failures here of a job that has worked nowhere yet say little, however many tasks it had: it may
     * fail everywhere. Its next try, which is elsewhere and soon, tells. */
    against += j && (j->succeeded || j->survives) ? p->times
                                                  : UNPROVEN_WEIGHT * MIN(p->times, UNPROVEN_FAILURES_MAX);
  }
  return against >= FAULTY_MACHINE_FAILURES;
}

guint fk_fault_attribution_job_count(const FkFaultAttribution *b) { return g_hash_table_size(b->jobs); }

guint fk_fault_attribution_machine_count(const FkFaultAttribution *b) {
  return g_hash_table_size(b->machines);
}
