#include "simulation/scale/slopes.h"

#include <gsl/gsl_fit.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "simulation/recovery.h"
#include "wire/json.h"

#define RUNS_LEAST 3
#define RUNS_MOST 50

/* What is fitted, of the first region of each run: a figure of its summary, or of its controllers' cost
 * lines. */
typedef struct {
  const char *what, *by; /* names in the summary */
  double factor;         /* of what is printed */
  const char *words;
} Fit;

static const Fit fits[] = {
    {"controllers_core_share", "began", 1000,
     "controllers: ms of a core a start (with all that goes with it)"},
    {"cost_reports_ms", "cost_reports_times", 1, "controller: ms a report"},
    {"cost_users_ms", "cost_users_times", 1, "controller: ms a user's request"},
    {"cost_apply_ms", "changes", 100, "controllers: us a start or end to apply what the store tells"},
    {"cost_decode_ms", "changes", 100, "controllers: us a start and end to read what the store tells"},
    {"cost_encode_ms", "changes", 100, "controllers: us a start and end to write transactions"},
    {"cost_launches_ms", "began", 100, "controllers: us a start for looks at placement"},
    {"cost_fleet_ms", "running", 1000,
     "leader: us a running task and window of 10 s for the plan of renting"},
    {"cost_homes_ms", "workers", 1, "controllers: ms a worker and window of 10 s"},
    {"largest_controller_memory_mb", "running", 1024,
     "controller: KB a running task (with its worker and job)"},
    {"writes", "began", 1, "state service: writes a start"},
    {"requests", "began", 1, "state service: requests a start"},
    {"bytes_in", "began", 1, "state service: bytes written a start"},
    {"watch_bytes", "began", 1, "state service: bytes to watches a start"},
    {"state_core_share", "requests", 1000, "stand-in of the state service: ms a request"},
    {"reports", "workers", 1, "worker: reports a second"},
    {"report_bytes", "workers", 1, "worker: bytes reported a second"},
    {"answer_bytes", "workers", 1, "worker: bytes answered a second"},
    {"command_bytes", "workers", 1, "worker: bytes of commands a second"},
    {"command_answer_bytes", "workers", 1, "worker: bytes answered to commands a second"},
    {"fleet_core_share", "workers", 1000, "hollow worker: ms of a core a second"},
    {"fleet_memory_mb", "workers", 1024, "hollow worker: KB"},
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
  g_autoptr(cJSON) o = fk_json_parse(text, len);
  const cJSON *region = cJSON_GetArrayItem(fk_json_get(o, "regions"), 0), *j;
  if (!region) {
    g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s: no summary of a scale run", path);
    return FALSE;
  }
  for (j = region->child; j; j = j->next)
    *figure(figures, j->string) = j->valuedouble;
  *figure(figures, "changes") = *figure(figures, "began") + *figure(figures, "ended");
  return TRUE;
}

/* "... by purpose: loop 1331/1, reports 68/1821, ..." of one window: ms and times. */
static void add_costs(const char *line, GHashTable *figures) {
  const char *list = strstr(line, "by purpose: ");
  if (!list)
    return;
  *figure(figures, "cost_windows") += 1;
  g_auto(GStrv) parts = g_strsplit(list + strlen("by purpose: "), ", ", -1);
  for (char **part = parts; *part; part++) {
    char name[32];
    double ms, times;
    if (sscanf(*part, "%31s %lf/%lf", name, &ms, &times) != 3)
      continue;
    g_autofree char *spent = g_strdup_printf("cost_%s_ms", name), *n = g_strdup_printf("cost_%s_times", name);
    *figure(figures, spent) += ms;
    *figure(figures, n) += times;
  }
}

/* The last windows of each controller's log, of which the load is steady; as sums over the controllers of the
 * mean window. */
#define WINDOWS 6

static gboolean read_costs(const char *dir, GHashTable *figures, GError **error) {
  guint controllers = (guint)*figure(figures, "controllers");
  for (guint i = 0; i < controllers; i++) {
    g_autofree char *name = g_strdup_printf("control-0-%u.log", i), *path = g_build_filename(dir, name, NULL),
                    *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, error))
      return FALSE;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    guint n = g_strv_length(lines), windows = 0;
    for (guint k = n; k-- && windows < WINDOWS;) {
      if (!strstr(lines[k], "by purpose: "))
        continue;
      add_costs(lines[k], figures);
      windows++;
    }
  }
  GHashTableIter it;
  gpointer key, value;
  g_hash_table_iter_init(&it, figures);
  while (g_hash_table_iter_next(&it, &key, &value))
    if (g_str_has_prefix(key, "cost_"))
      *(double *)value /= WINDOWS;
  return TRUE;
}

/* ------------------------------------------------------------------ the fits */

static void print_fit(const Fit *f, GPtrArray *runs) {
  double x[RUNS_MOST], y[RUNS_MOST], c0, c1, cov00, cov01, cov11, sumsq, worst = 0;
  for (guint i = 0; i < runs->len; i++) {
    x[i] = *figure(runs->pdata[i], f->by);
    y[i] = *figure(runs->pdata[i], f->what);
  }
  gsl_fit_linear(x, 1, y, 1, runs->len, &c0, &c1, &cov00, &cov01, &cov11, &sumsq);
  for (guint i = 0; i < runs->len; i++)
    worst = MAX(worst, fabs(y[i] - c0 - c1 * x[i]));
  printf("%-74s %10.4g +- %-9.2g at none %10.4g, worst residual %9.3g, largest %9.4g\n", f->words,
         f->factor * c1, f->factor * sqrt(cov11), c0, worst, y[runs->len - 1]);
}

int fk_sim_slopes(int argc, char **argv) {
  g_autoptr(GOptionContext) context = g_option_context_new("DIR DIR DIR...");
  g_autoptr(GError) error = NULL;
  g_option_context_set_summary(
      context, "Fits straight lines through the figures of several scale runs (their --out folders, the\n"
               "largest last): slope and its standard error, the value at none, the worst residual.");
  if (!g_option_context_parse(context, &argc, &argv, &error)) {
    fprintf(stderr, "flaxknot-sim slopes: %s\n", error->message);
    return FK_SIM_EXIT_USAGE;
  }
  if (argc - 1 < RUNS_LEAST || argc - 1 > RUNS_MOST) {
    fprintf(stderr, "flaxknot-sim slopes: %d to %d folders of scale runs are needed\n", RUNS_LEAST,
            RUNS_MOST);
    return FK_SIM_EXIT_USAGE;
  }
  g_autoptr(GPtrArray) runs = g_ptr_array_new_with_free_func((GDestroyNotify)g_hash_table_unref);
  for (int i = 1; i < argc; i++) {
    GHashTable *figures = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_ptr_array_add(runs, figures);
    if (!read_summary(argv[i], figures, &error) || !read_costs(argv[i], figures, &error)) {
      fprintf(stderr, "flaxknot-sim slopes: %s\n", error->message);
      return FK_SIM_EXIT_FAILED;
    }
  }
  for (guint i = 0; i < G_N_ELEMENTS(fits); i++)
    print_fit(&fits[i], runs);
  return FK_SIM_EXIT_OK;
}
