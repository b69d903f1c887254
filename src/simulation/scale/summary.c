#include "simulation/scale/summary.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <string.h>

#include "daemon/log.h"
#include "simulation/scale/check_rules.h"

#define URGENT_WITHIN_S 1.8
#define FULL 0.85       /* of the tasks that are to run: less, and a region hasn't filled */
#define STARTED 0.85    /* of the tasks that were submitted a second */
#define SETTLE_S 5.0    /* jobs submitted in the last seconds aren't judged */
#define BUSY_WINDOW 10U /* seconds over which a process's share of a core is looked at */

/* ------------------------------------------------------------------ a process's lines */

typedef struct {
  GPtrArray *lines; /* cJSON, in order */
} Lines;

static void lines_clear(Lines *l) { g_ptr_array_unref(l->lines); }
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(Lines, lines_clear)

static gboolean read_lines(const FkScalePlan *p, const char *name, Lines *out, GError **error) {
  g_autofree char *base = g_strconcat(name, ".jsonl", NULL), *path = g_build_filename(p->dir, base, NULL),
                  *text = NULL;
  out->lines = g_ptr_array_new_with_free_func((GDestroyNotify)cJSON_Delete);
  if (!g_file_get_contents(path, &text, NULL, error))
    return FALSE;
  g_auto(GStrv) rows = g_strsplit(text, "\n", -1);
  for (char **row = rows; *row; row++) {
    cJSON *o = **row ? fk_json_parse(*row, strlen(*row)) : NULL;
    if (o)
      g_ptr_array_add(out->lines, o);
  }
  return TRUE;
}

/* The last line at or before that second, or the first. */
static const cJSON *line_at(const Lines *l, double second) {
  const cJSON *found = l->lines->len ? l->lines->pdata[0] : NULL;
  for (guint i = 0; i < l->lines->len && fk_json_num_or(l->lines->pdata[i], "second", 0) <= second; i++)
    found = l->lines->pdata[i];
  return found;
}

/* How fast a counter grew between two moments. */
static double rate(const Lines *l, const char *name, double from_s, double to_s) {
  const cJSON *a = line_at(l, from_s), *b = line_at(l, to_s);
  double s = fk_json_num_or(b, "second", 0) - fk_json_num_or(a, "second", 0);
  return s > 0 ? (fk_json_num_or(b, name, 0) - fk_json_num_or(a, name, 0)) / s : 0;
}

static double mean_of(const Lines *l, const char *name, double from_s, double to_s) {
  double sum = 0;
  guint n = 0;
  for (guint i = 0; i < l->lines->len; i++) {
    double at = fk_json_num_or(l->lines->pdata[i], "second", 0);
    if (at < from_s || at > to_s)
      continue;
    sum += fk_json_num_or(l->lines->pdata[i], name, 0);
    n++;
  }
  return n ? sum / n : 0;
}

static double most_of(const Lines *l, const char *name) {
  double most = 0;
  for (guint i = 0; i < l->lines->len; i++)
    most = MAX(most, fk_json_num_or(l->lines->pdata[i], name, 0));
  return most;
}

/* The largest share of a core over ten seconds. */
static double busiest(const Lines *l) {
  double most = 0;
  for (guint i = BUSY_WINDOW; i < l->lines->len; i++) {
    const cJSON *a = l->lines->pdata[i - BUSY_WINDOW], *b = l->lines->pdata[i];
    double s = fk_json_num_or(b, "second", 0) - fk_json_num_or(a, "second", 0);
    double used = fk_json_num_or(b, "processor_s", 0) - fk_json_num_or(a, "processor_s", 0);
    most = MAX(most, s > 0 ? used / s : 0);
  }
  return most;
}

/* ------------------------------------------------------------------ one region */

typedef struct {
  const FkScalePlan *plan;
  guint region;
  double from_s, to_s; /* the window that is judged */
  cJSON *out;
  FkSummary *summary;
} Region;

static void note(FkSummary *s, char *why /* taken */) { g_ptr_array_add(s->why, why); }

static void add_rates(Region *r, const Lines *l, const char *const *names) {
  for (; *names; names++)
    cJSON_AddNumberToObject(r->out, *names, rate(l, *names, r->from_s, r->to_s));
}

static gboolean add_process(Region *r, const char *kind, Lines *l, GError **error) {
  g_autofree char *name = g_strdup_printf("%s-%u", kind, r->region),
                  *share = g_strdup_printf("%s_core_share", kind),
                  *memory = g_strdup_printf("%s_memory_mb", kind);
  if (!read_lines(r->plan, name, l, error))
    return FALSE;
  cJSON_AddNumberToObject(r->out, share, rate(l, "processor_s", r->from_s, r->to_s));
  cJSON_AddNumberToObject(r->out, memory, most_of(l, "memory_mb"));
  return TRUE;
}

static gboolean add_state(Region *r, GError **error) {
  static const char *const rates[] = {"requests",     "transactions", "writes",      "guards",
                                      "conflicts",    "bytes_in",     "bytes_out",   "watch_answers",
                                      "watch_events", "watch_bytes",  "over_budget", NULL};
  g_auto(Lines) l = {0};
  if (!add_process(r, "state", &l, error))
    return FALSE;
  add_rates(r, &l, rates);
  cJSON_AddNumberToObject(r->out, "keys", mean_of(&l, "keys", r->from_s, r->to_s));
  return TRUE;
}

/* Of one process that plays workers; the region's figures are sums over them. */
typedef struct {
  double core_share, memory_mb, busiest, running, workers, starts;
} FleetFigures;

static void add_up(Region *r, const char *name, double n) {
  cJSON *had = cJSON_GetObjectItemCaseSensitive(r->out, name);
  if (had)
    cJSON_SetNumberValue(had, had->valuedouble + n);
  else
    cJSON_AddNumberToObject(r->out, name, n);
}

static gboolean add_fleet_part(Region *r, guint part, FleetFigures *sum, GError **error) {
  static const char *const rates[] = {
      "reports", "report_bytes", "answer_bytes", "commands", "command_bytes", "command_answer_bytes", "began",
      "ended",   "left",         "leases_ended", "died",     "restarted",     "reports_unanswered",   NULL};
  g_auto(Lines) l = {0};
  g_autofree char *name = fk_scale_fleet_name(r->region, part);
  if (!read_lines(r->plan, name, &l, error))
    return FALSE;
  for (const char *const *n = rates; *n; n++)
    add_up(r, *n, rate(&l, *n, r->from_s, r->to_s));
  sum->core_share += rate(&l, "processor_s", r->from_s, r->to_s);
  sum->memory_mb += most_of(&l, "memory_mb");
  sum->busiest = MAX(sum->busiest, busiest(&l));
  sum->running += mean_of(&l, "running", r->from_s, r->to_s);
  sum->workers += mean_of(&l, "up", r->from_s, r->to_s);
  sum->starts += rate(&l, "began", r->from_s, r->to_s);
  return TRUE;
}

static gboolean add_fleet(Region *r, GError **error) {
  FleetFigures sum = {0};
  for (guint part = 0; part < r->plan->fleet_processes; part++)
    if (!add_fleet_part(r, part, &sum, error))
      return FALSE;
  double wanted = r->plan->starts / r->plan->regions * r->plan->run_s;
  cJSON_AddNumberToObject(r->out, "fleet_core_share", sum.core_share);
  cJSON_AddNumberToObject(r->out, "fleet_busiest_core_share", sum.busiest);
  cJSON_AddNumberToObject(r->out, "fleet_memory_mb", sum.memory_mb);
  cJSON_AddNumberToObject(r->out, "running", sum.running);
  cJSON_AddNumberToObject(r->out, "workers", sum.workers);
  if (sum.running < FULL * wanted)
    note(r->summary,
         g_strdup_printf("region %u didn't fill: %.0f tasks run of %.0f", r->region, sum.running, wanted));
  if (sum.starts < STARTED * r->plan->starts / r->plan->regions)
    note(r->summary, g_strdup_printf("region %u started %.1f tasks a second of %.1f", r->region, sum.starts,
                                     r->plan->starts / r->plan->regions));
  return TRUE;
}

gboolean fk_summary_malformed_reports(const FkScalePlan *p, guint region, guint *count, GError **error) {
  *count = 0;
  for (guint i = 0; i < fk_scale_region_controllers(p, region); i++) {
    g_autofree char *base = g_strdup_printf("control-%u-%u.log", region, i),
                    *path = g_build_filename(p->dir, base, NULL), *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, error))
      return FALSE;
    for (const char *at = text; (at = strstr(at, FK_LOG_MALFORMED_HEARTBEAT));
         at += strlen(FK_LOG_MALFORMED_HEARTBEAT))
      ++*count;
  }
  return TRUE;
}

static gboolean add_malformed(Region *r, GError **error) {
  guint n;
  if (!fk_summary_malformed_reports(r->plan, r->region, &n, error))
    return FALSE;
  cJSON_AddNumberToObject(r->out, "malformed_reports", n);
  if (n)
    note(r->summary,
         g_strdup_printf("region %u: %u malformed reports reached its controllers", r->region, n));
  return TRUE;
}

static gboolean add_controllers(Region *r, GError **error) {
  double share = 0, most = 0, memory = 0;
  guint n = fk_scale_region_controllers(r->plan, r->region);
  for (guint i = 0; i < n; i++) {
    g_auto(Lines) l = {0};
    g_autofree char *name = g_strdup_printf("control-%u-%u", r->region, i);
    if (!read_lines(r->plan, name, &l, error))
      return FALSE;
    share += rate(&l, "processor_s", r->from_s, r->to_s);
    most = MAX(most, busiest(&l));
    memory = MAX(memory, most_of(&l, "memory_mb"));
  }
  cJSON_AddNumberToObject(r->out, "controllers", n);
  cJSON_AddNumberToObject(r->out, "controllers_core_share", share);
  cJSON_AddNumberToObject(r->out, "busiest_controller_core_share", most);
  cJSON_AddNumberToObject(r->out, "largest_controller_memory_mb", memory);
  return TRUE;
}

/* ------------------------------------------------------------------ what users saw */

typedef struct {
  gint64 submitted, accepted, began;
  gboolean urgent;
} Times;

static GHashTable *times_of(const Region *r, const GArray *events) {
  GHashTable *jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < events->len; i++) {
    const FkRunEvent *e = &g_array_index(events, FkRunEvent, i);
    Times *t = g_hash_table_lookup(jobs, e->job);
    if (!t) {
      g_autoptr(FkSpec) spec = fk_scale_job(r->plan, e->job);
      g_hash_table_insert(jobs, e->job, t = g_new0(Times, 1));
      t->urgent = spec && fk_scale_job_urgent(spec);
    }
    if (e->kind == FK_EVENT_SUBMITTED)
      t->submitted = e->at_us;
    else if (e->kind == FK_EVENT_ACCEPTED && !t->accepted)
      t->accepted = e->at_us;
    else if (e->kind == FK_EVENT_BEGAN && !t->began)
      t->began = e->at_us;
  }
  return jobs;
}

static double quantile(GArray *sorted, double part) {
  return sorted->len
             ? gsl_stats_quantile_from_sorted_data((double *)(void *)sorted->data, 1, sorted->len, part)
             : 0;
}

static void add_quantiles(Region *r, const char *what, GArray *seconds) {
  g_autofree char *half = g_strdup_printf("%s_p50_s", what), *most = g_strdup_printf("%s_p99_s", what),
                  *count = g_strdup_printf("%s_count", what);
  gsl_sort((double *)(void *)seconds->data, 1, seconds->len);
  cJSON_AddNumberToObject(r->out, count, seconds->len);
  cJSON_AddNumberToObject(r->out, half, quantile(seconds, 0.5));
  cJSON_AddNumberToObject(r->out, most, quantile(seconds, 0.99));
}

static void add_waits(Region *r, const GArray *events) {
  g_autoptr(GHashTable) jobs = times_of(r, events);
  g_autoptr(GArray) accepts = g_array_new(FALSE, FALSE, sizeof(double)),
                    urgent = g_array_new(FALSE, FALSE, sizeof(double)),
                    bulk = g_array_new(FALSE, FALSE, sizeof(double));
  gint64 from = r->plan->begins_us + (gint64)(r->from_s * 1e6),
         to = r->plan->begins_us + (gint64)((r->to_s - SETTLE_S) * 1e6);
  guint lost = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const Times *t = p;
    if (t->submitted < from || t->submitted > to)
      continue;
    gint64 last = r->plan->begins_us + (gint64)(r->to_s * 1e6);
    double accept_s = (double)((t->accepted ? t->accepted : last) - t->submitted) / 1e6;
    g_array_append_val(accepts, accept_s);
    lost += !t->accepted;
    if (!t->accepted)
      continue;
    double wait_s = (double)((t->began ? t->began : last) - t->accepted) / 1e6;
    g_array_append_val(t->urgent ? urgent : bulk, wait_s);
  }
  add_quantiles(r, "accept", accepts);
  add_quantiles(r, "urgent_start", urgent);
  add_quantiles(r, "bulk_start", bulk);
  cJSON_AddNumberToObject(r->out, "not_accepted", lost);
  if (quantile(urgent, 0.99) > URGENT_WITHIN_S)
    note(r->summary, g_strdup_printf("region %u: urgent work began after %.2f s (p99 of %u), not %.1f",
                                     r->region, quantile(urgent, 0.99), urgent->len, URGENT_WITHIN_S));
}

static gboolean add_users(Region *r, GError **error) {
  static const char *const rates[] = {"submitted", "accepted",     "shed",     "unanswered",
                                      "polls",     "polls_failed", "given_up", NULL};
  g_auto(Lines) l = {0};
  if (!add_process(r, "users", &l, error))
    return FALSE;
  add_rates(r, &l, rates);
  cJSON_AddNumberToObject(r->out, "live_jobs", mean_of(&l, "live", r->from_s, r->to_s));
  return TRUE;
}

static gboolean add_events(Region *r, GError **error) {
  g_autofree char *users = g_strdup_printf("users-%u", r->region);
  g_autoptr(GArray) events = fk_run_events_new();
  for (guint part = 0; part < r->plan->fleet_processes; part++) {
    g_autofree char *fleet = fk_scale_fleet_name(r->region, part);
    if (!fk_event_log_read(r->plan->dir, fleet, events, error))
      return FALSE;
  }
  if (!fk_event_log_read(r->plan->dir, users, events, error))
    return FALSE;
  fk_run_events_sort(events);
  g_autoptr(GPtrArray) broken = fk_scale_check_rules(r->plan, r->region, events);
  for (guint i = 0; i < broken->len; i++)
    note(r->summary, g_strdup_printf("region %u: a rule is broken: %s", r->region, (char *)broken->pdata[i]));
  r->summary->broken += broken->len;
  add_waits(r, events);
  return TRUE;
}

/* ------------------------------------------------------------------ the run */

static gboolean add_region(FkSummary *s, const FkScalePlan *p, guint region, cJSON *regions, GError **error) {
  Region r = {p, region, p->ramp_s, p->seconds - 1, cJSON_CreateObject(), s};
  cJSON_AddItemToArray(regions, r.out);
  return add_state(&r, error) && add_fleet(&r, error) && add_controllers(&r, error) &&
         add_malformed(&r, error) && add_users(&r, error) && add_events(&r, error);
}

FkSummary *fk_summary_of(const FkScalePlan *p, GError **error) {
  FkSummary *s = g_new0(FkSummary, 1);
  s->why = g_ptr_array_new_with_free_func(g_free);
  s->figures = cJSON_CreateObject();
  cJSON_AddItemToObject(s->figures, "plan", fk_scale_plan_to_json(p));
  cJSON *regions = cJSON_AddArrayToObject(s->figures, "regions");
  for (guint i = 0; i < p->regions; i++)
    if (!add_region(s, p, i, regions, error)) {
      fk_summary_free(s);
      return NULL;
    }
  cJSON *why = cJSON_AddArrayToObject(s->figures, "not_carried");
  for (guint i = 0; i < s->why->len; i++)
    cJSON_AddItemToArray(why, cJSON_CreateString(s->why->pdata[i]));
  s->carried = !s->why->len;
  return s;
}

void fk_summary_free(FkSummary *s) {
  g_ptr_array_unref(s->why);
  cJSON_Delete(s->figures);
  g_free(s);
}
