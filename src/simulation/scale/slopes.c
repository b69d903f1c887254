#include "simulation/scale/slopes.h"

#include <gsl/gsl_fit.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "simulation/recovery.h"
#include "wire/json.h"

#define RUNS_MIN 3
#define RUNS_MAX 50
#define STEADY_WINDOWS 6
#define CPU_PROFILE_LOG "by purpose: " /* as src/core/leader/leader.c logs it */

/* A straight line through figures of the first region of each run: from its summary, or from the CPU profiles
 * that its controllers logged. */
typedef struct {
  const char *y, *x; /* names in the summary */
  double factor;     /* of what is printed */
  const char *label;
} Fit;

static const Fit fits[] = {
    {"controllers_core_share", "began", 1000,
     "controllers: ms of a core a start (with all that goes with it)"},
    {"cost_reports_ms", "cost_reports_times", 1, "controller: ms a heartbeat"},
    {"cost_users_ms", "cost_users_times", 1, "controller: ms a user's request"},
    {"cost_apply_ms", "changes", 100, "controllers: us a start or end to apply changes from the store"},
    {"cost_decode_ms", "changes", 100, "controllers: us a start and end to decode changes from the store"},
    {"cost_encode_ms", "changes", 100, "controllers: us a start and end to encode transactions"},
    {"cost_launches_ms", "began", 100, "controllers: us a start for scheduling cycles"},
    {"cost_fleet_ms", "running", 1000, "leader: us a running task and window of 10 s for the autoscaler"},
    {"cost_homes_ms", "workers", 1, "controllers: ms a worker and window of 10 s"},
    {"largest_controller_memory_mb", "running", 1024,
     "controller: KB a running task (with its worker and job)"},
    {"writes", "began", 1, "state service: writes a start"},
    {"requests", "began", 1, "state service: requests a start"},
    {"bytes_in", "began", 1, "state service: bytes written a start"},
    {"watch_bytes", "began", 1, "state service: bytes to watches a start"},
    {"state_core_share", "requests", 1000, "stand-in of the state service: ms a request"},
    {"reports", "workers", 1, "worker: heartbeats a second"},
    {"report_bytes", "workers", 1, "worker: bytes of heartbeats a second"},
    {"answer_bytes", "workers", 1, "worker: bytes of replies a second"},
    {"command_bytes", "workers", 1, "worker: bytes of commands a second"},
    {"command_answer_bytes", "workers", 1, "worker: bytes answered to commands a second"},
    {"fleet_core_share", "workers", 1000, "simulated worker: ms of a core a second"},
    {"fleet_memory_mb", "workers", 1024, "simulated worker: KB"},
    {"accept_p99_s", "began", 1, "accept, p99: s a start a second"},
    {"urgent_start_p99_s", "began", 1, "urgent work's first start, p99: s a start a second"}};

/* ------------------------------------------------------------------ figures of a run */

static double *figure(GHashTable *figures, const char *name) {
  double *value = g_hash_table_lookup(figures, name);
  if (!value)
    g_hash_table_insert(figures, g_strdup(name), value = g_new0(double, 1));
  return value;
}

static gboolean read_summary(const char *dir, GHashTable *figures, GError **error) {
  g_autofree char *path = g_build_filename(dir, "summary.json", NULL), *text = NULL;
  gsize len;
  if (!g_file_get_contents(path, &text, &len, error))
    return FALSE;
  g_autoptr(cJSON) json = fk_json_parse(text, len);
  const cJSON *region = cJSON_GetArrayItem(fk_json_get(json, "regions"), 0), *value;
  if (!region) {
    g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s: no summary of a scale run", path);
    return FALSE;
  }
  for (value = region->child; value; value = value->next)
    *figure(figures, value->string) = value->valuedouble;
  *figure(figures, "changes") = *figure(figures, "began") + *figure(figures, "ended");
  return TRUE;
}

/* Adds the profile of one window, "... by purpose: loop 1331/1, reports 68/1821, ...": ms and calls. */
static void add_cpu_profile(const char *line, GHashTable *figures) {
  const char *list = strstr(line, CPU_PROFILE_LOG);
  if (!list)
    return;
  *figure(figures, "cost_windows") += 1;
  g_auto(GStrv) parts = g_strsplit(list + strlen(CPU_PROFILE_LOG), ", ", -1);
  for (char **part = parts; *part; part++) {
    char name[32];
    double ms, calls;
    if (sscanf(*part, "%31s %lf/%lf", name, &ms, &calls) != 3)
      continue;
    g_autofree char *ms_name = g_strdup_printf("cost_%s_ms", name),
                    *calls_name = g_strdup_printf("cost_%s_times", name);
    *figure(figures, ms_name) += ms;
    *figure(figures, calls_name) += calls;
  }
}

/* Of the latest windows of a controller's log, in which the load is steady. */
static gboolean read_controller_log(const char *dir, guint controller, GHashTable *figures, GError **error) {
  g_autofree char *name = g_strdup_printf("control-0-%u.log", controller),
                  *path = g_build_filename(dir, name, NULL), *text = NULL;
  if (!g_file_get_contents(path, &text, NULL, error))
    return FALSE;
  g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
  guint windows = 0;
  for (guint i = g_strv_length(lines); i-- && windows < STEADY_WINDOWS;) {
    if (!strstr(lines[i], CPU_PROFILE_LOG))
      continue;
    add_cpu_profile(lines[i], figures);
    windows++;
  }
  return TRUE;
}

/* Sums over the controllers of their mean window. */
static gboolean read_cpu_profiles(const char *dir, GHashTable *figures, GError **error) {
  guint controllers = (guint)*figure(figures, "controllers");
  for (guint i = 0; i < controllers; i++)
    if (!read_controller_log(dir, i, figures, error))
      return FALSE;
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init(&iter, figures);
  while (g_hash_table_iter_next(&iter, &key, &value))
    if (g_str_has_prefix(key, "cost_"))
      *(double *)value /= STEADY_WINDOWS;
  return TRUE;
}

/* ------------------------------------------------------------------ the fits */

static void print_fit(const Fit *fit, GPtrArray *runs) {
  double x[RUNS_MAX], y[RUNS_MAX], max_residual = 0;
  double intercept, slope, cov00, cov01, cov11, sumsq;
  for (guint i = 0; i < runs->len; i++) {
    x[i] = *figure(runs->pdata[i], fit->x);
    y[i] = *figure(runs->pdata[i], fit->y);
  }
  gsl_fit_linear(x, 1, y, 1, runs->len, &intercept, &slope, &cov00, &cov01, &cov11, &sumsq);
  for (guint i = 0; i < runs->len; i++)
    max_residual = MAX(max_residual, fabs(y[i] - intercept - slope * x[i]));
  printf("%-74s %10.4g +- %-9.2g at none %10.4g, worst residual %9.3g, largest %9.4g\n", fit->label,
         fit->factor * slope, fit->factor * sqrt(cov11), intercept, max_residual, y[runs->len - 1]);
}

static const char summary_text[] =
    "Fits straight lines through the figures of several scale runs (their --out folders, the\n"
    "largest last): slope and its standard error, the value at none, the worst residual.";

static int fail(int status, const char *message) {
  fprintf(stderr, "flaxknot-sim slopes: %s\n", message);
  return status;
}

/* A table of figures by name for each folder; NULL with an error when a file of a run can't be read. */
static GPtrArray *read_runs(char **dirs, int count, GError **error) {
  g_autoptr(GPtrArray) runs = g_ptr_array_new_with_free_func((GDestroyNotify)g_hash_table_unref);
  for (int i = 0; i < count; i++) {
    GHashTable *figures = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_ptr_array_add(runs, figures);
    if (!read_summary(dirs[i], figures, error) || !read_cpu_profiles(dirs[i], figures, error))
      return NULL;
  }
  return g_steal_pointer(&runs);
}

int fk_sim_slopes(int argc, char **argv) {
  g_autoptr(GOptionContext) context = g_option_context_new("DIR DIR DIR...");
  g_autoptr(GError) error = NULL;
  g_option_context_set_summary(context, summary_text);
  if (!g_option_context_parse(context, &argc, &argv, &error))
    return fail(FK_SIM_EXIT_USAGE, error->message);
  int count = argc - 1;
  if (count < RUNS_MIN || count > RUNS_MAX) {
    g_autofree char *message =
        g_strdup_printf("%d to %d folders of scale runs are needed", RUNS_MIN, RUNS_MAX);
    return fail(FK_SIM_EXIT_USAGE, message);
  }
  g_autoptr(GPtrArray) runs = read_runs(argv + 1, count, &error);
  if (!runs)
    return fail(FK_SIM_EXIT_FAILED, error->message);
  for (guint i = 0; i < G_N_ELEMENTS(fits); i++)
    print_fit(&fits[i], runs);
  return FK_SIM_EXIT_OK;
}
