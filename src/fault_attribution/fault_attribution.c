/* Fault attribution from the failure histories of jobs and of machines; fault_attribution.h describes its
 * rules. */
#include "fault_attribution/fault_attribution.h"

/* Limit on the machines recorded for a job, and on the jobs recorded for a machine. Above the limit, the
 * entry recorded first is dropped. */
#define SITES_MAX 8
/* Number of machines on which a job without any success must have failed to count as failing everywhere.
 * Machines on which other jobs fail aren't counted. */
#define FAILING_JOB_SITES_MIN 2
/* Total weight of the failures since a machine's last success that makes the machine faulty. */
#define FAULTY_MACHINE_FAILURES 3
/* Failures of a job that hasn't worked on any machine yet: how many of the job's failures count against one
 * machine at most, and the weight of each. */
#define UNPROVEN_FAILURES_MAX 2
#define UNPROVEN_WEIGHT 0.5
/* A job avoids a machine for this long after a failure there; later the machine may have been repaired. */
#define AVOID_MACHINE_S 60.0
/* A running task outlives the failed tasks of its job when it has run for longer than SURVIVAL_FACTOR times
 * the longest run of a failed task plus SURVIVAL_MARGIN_S. The margin is for the time to pull the image, as
 * run times are counted from the allocation. */
#define SURVIVAL_FACTOR 3.0
#define SURVIVAL_MARGIN_S 5.0
/* Retries of a job that isn't failing everywhere: the first IMMEDIATE_RETRIES are immediate, then the
 * delay is RETRY_DELAY_S times the number of consecutive failures, at most RETRY_DELAY_MAX_S. */
#define IMMEDIATE_RETRIES 3
#define RETRY_DELAY_S 0.5
#define RETRY_DELAY_MAX_S 30.0
/* Retries of a job that is failing everywhere: the delay after failures on FAILING_JOB_SITES_MIN machines,
 * which is doubled for each further machine, and the longest delay. */
#define FAILING_RETRY_DELAY_S 2.0
#define FAILING_RETRY_DELAY_MAX_S 60.0

/* The failures of one job on one machine. */
typedef struct {
  char *id; /* the machine's id in a job's history; the job's id in a machine's history */
  guint failure_count;
  FkTime last_at;
} FailureSite;

/* The failure history of a job or of a machine. A job's history has a site for each machine on which the job
 * failed. A machine's history has a site for each job that failed on the machine. The last three fields are
 * used only for jobs. */
typedef struct {
  GArray *sites;              /* FailureSite, at most SITES_MAX, in the order in which they were added */
  guint consecutive_failures; /* number of failures since the latest success of the job, or on the machine */
  gboolean succeeded;         /* a task of the job has succeeded */
  gboolean survives;          /* a running task of the job has outlived the job's failed tasks */
  double longest_failed_s;    /* longest time between the allocation of a task of the job and its failure */
} FailureHistory;

struct FkFaultAttribution {
  GHashTable *jobs, *machines; /* id -> FailureHistory */
};

static void site_clear(gpointer site) { g_free(((FailureSite *)site)->id); }

static void history_free(gpointer value) {
  FailureHistory *history = value;
  g_array_unref(history->sites);
  g_free(history);
}

FkFaultAttribution *fk_fault_attribution_new(void) {
  FkFaultAttribution *attribution = g_new0(FkFaultAttribution, 1);
  attribution->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, history_free);
  attribution->machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, history_free);
  return attribution;
}

void fk_fault_attribution_free(FkFaultAttribution *attribution) {
  if (!attribution)
    return;
  g_hash_table_unref(attribution->jobs);
  g_hash_table_unref(attribution->machines);
  g_free(attribution);
}

void fk_fault_attribution_clear(FkFaultAttribution *attribution) {
  g_hash_table_remove_all(attribution->jobs);
  g_hash_table_remove_all(attribution->machines);
}

/* ------------------------------------------------------------------ evidence */

static FailureHistory *history_ensure(GHashTable *table, const char *id) {
  FailureHistory *history = g_hash_table_lookup(table, id);
  if (!history) {
    history = g_new0(FailureHistory, 1);
    history->sites = g_array_new(FALSE, FALSE, sizeof(FailureSite));
    g_array_set_clear_func(history->sites, site_clear);
    g_hash_table_insert(table, g_strdup(id), history);
  }
  return history;
}

/* Returns the site with this id, or NULL if there is none. `history` may be NULL. */
static FailureSite *find_site(const FailureHistory *history, const char *id) {
  for (guint i = 0; history && i < history->sites->len; i++)
    if (g_str_equal(g_array_index(history->sites, FailureSite, i).id, id))
      return &g_array_index(history->sites, FailureSite, i);
  return NULL;
}

static void add_failure(FailureHistory *history, const char *id, FkTime now) {
  FailureSite *site = find_site(history, id);
  history->consecutive_failures++;
  if (site) {
    site->failure_count++;
    site->last_at = now;
    return;
  }
  if (history->sites->len >= SITES_MAX)
    g_array_remove_index(history->sites, 0); /* drop the site added first */
  FailureSite first = {g_strdup(id), 1, now};
  g_array_append_val(history->sites, first);
}

void fk_fault_attribution_task_survives(FkFaultAttribution *attribution, const char *job, double oldest_s) {
  FailureHistory *history = g_hash_table_lookup(attribution->jobs, job);
  if (history)
    history->survives = oldest_s > SURVIVAL_FACTOR * history->longest_failed_s + SURVIVAL_MARGIN_S;
}

void fk_fault_attribution_task_failed(FkFaultAttribution *attribution, const char *job, const char *machine,
                                      double duration_s, gboolean succeeded, FkTime now) {
  FailureHistory *history = history_ensure(attribution->jobs, job);
  history->succeeded |= succeeded;
  history->longest_failed_s = MAX(history->longest_failed_s, duration_s);
  add_failure(history, machine, now);
  add_failure(history_ensure(attribution->machines, machine), job, now);
}

/* Removes the machine's history. Doesn't create a history for a job that has none. */
void fk_fault_attribution_task_succeeded(FkFaultAttribution *attribution, const char *job,
                                         const char *machine) {
  FailureHistory *history = g_hash_table_lookup(attribution->jobs, job);
  if (history) {
    history->succeeded = TRUE;
    history->consecutive_failures = 0;
  }
  g_hash_table_remove(attribution->machines, machine);
}

void fk_fault_attribution_remove_job(FkFaultAttribution *attribution, const char *job) {
  g_hash_table_remove(attribution->jobs, job);
}

void fk_fault_attribution_remove_machine(FkFaultAttribution *attribution, const char *machine) {
  g_hash_table_remove(attribution->machines, machine);
}

/* ------------------------------------------------------------------ verdicts */

/* Returns whether the job is known to work on some machine. `job` is the job's history. */
static gboolean is_proven(const FailureHistory *job) { return job->succeeded || job->survives; }

/* Returns whether at least FAULTY_MACHINE_FAILURES failures of other jobs are recorded for the machine. A
 * failure on this machine is then no evidence against the job. Another job's failures are counted only if
 * that job is known to work or has failed on no other machine. */
static gboolean other_jobs_fail_on(const FkFaultAttribution *attribution, const char *machine,
                                   const char *job) {
  const FailureHistory *history = g_hash_table_lookup(attribution->machines, machine);
  guint failures = 0;
  for (guint i = 0; history && i < history->sites->len; i++) {
    const FailureSite *site = &g_array_index(history->sites, FailureSite, i);
    if (g_str_equal(site->id, job))
      continue;
    const FailureHistory *other = g_hash_table_lookup(attribution->jobs, site->id);
    if (other && (is_proven(other) || other->sites->len == 1))
      failures += site->failure_count;
  }
  return failures >= FAULTY_MACHINE_FAILURES;
}

gboolean fk_fault_attribution_job_is_failing(const FkFaultAttribution *attribution, const char *job) {
  const FailureHistory *history = g_hash_table_lookup(attribution->jobs, job);
  if (!history || is_proven(history) || history->sites->len < FAILING_JOB_SITES_MIN)
    return FALSE;
  guint healthy_machines = 0;
  for (guint i = 0; i < history->sites->len; i++) {
    const FailureSite *site = &g_array_index(history->sites, FailureSite, i);
    healthy_machines += !other_jobs_fail_on(attribution, site->id, job);
  }
  return healthy_machines >= FAILING_JOB_SITES_MIN;
}

static double exponential_backoff_s(double first_s, guint doublings, double max_s) {
  double delay_s = first_s;
  for (guint i = 0; i < doublings && delay_s < max_s; i++)
    delay_s *= 2;
  return MIN(delay_s, max_s);
}

double fk_fault_attribution_retry_delay_s(const FkFaultAttribution *attribution, const char *job) {
  const FailureHistory *history = g_hash_table_lookup(attribution->jobs, job);
  if (!history || !history->consecutive_failures)
    return 0;
  if (fk_fault_attribution_job_is_failing(attribution, job)) {
    /* hundreds of the job's tasks may fail at about the same time; all failures on one machine count as one
     * attempt */
    guint attempts = MIN(history->sites->len, history->consecutive_failures);
    return exponential_backoff_s(FAILING_RETRY_DELAY_S, attempts - FAILING_JOB_SITES_MIN,
                                 FAILING_RETRY_DELAY_MAX_S);
  }
  if (history->consecutive_failures <= IMMEDIATE_RETRIES)
    return 0;
  return MIN(RETRY_DELAY_MAX_S, RETRY_DELAY_S * history->consecutive_failures);
}

gboolean fk_fault_attribution_job_avoids(const FkFaultAttribution *attribution, const char *job,
                                         const char *machine, FkTime now) {
  const FailureSite *site = find_site(g_hash_table_lookup(attribution->jobs, job), machine);
  return site && fk_time_between(site->last_at, now) < AVOID_MACHINE_S;
}

/* Returns the weight of one job's failures as evidence against a machine, 0 for a job that is failing
 * everywhere. Failures of a job that hasn't worked on any machine yet weigh little, regardless of their
 * number, since the job may fail everywhere. The job's next attempt, soon and on another machine, shows
 * whether it does. */
static double failure_weight(const FkFaultAttribution *attribution, const FailureSite *site) {
  const FailureHistory *job = g_hash_table_lookup(attribution->jobs, site->id);
  if (fk_fault_attribution_job_is_failing(attribution, site->id))
    return 0;
  return job && is_proven(job) ? site->failure_count
                               : UNPROVEN_WEIGHT * MIN(site->failure_count, UNPROVEN_FAILURES_MAX);
}

gboolean fk_fault_attribution_machine_is_faulty(const FkFaultAttribution *attribution, const char *machine) {
  const FailureHistory *history = g_hash_table_lookup(attribution->machines, machine);
  double weight = 0;
  for (guint i = 0; history && i < history->sites->len; i++)
    weight += failure_weight(attribution, &g_array_index(history->sites, FailureSite, i));
  return weight >= FAULTY_MACHINE_FAILURES;
}

guint fk_fault_attribution_job_count(const FkFaultAttribution *attribution) {
  return g_hash_table_size(attribution->jobs);
}

guint fk_fault_attribution_machine_count(const FkFaultAttribution *attribution) {
  return g_hash_table_size(attribution->machines);
}
