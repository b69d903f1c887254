#include "simulation/scale/scale.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <sys/resource.h>

#include "simulation/recovery.h"
#include "simulation/scale/processes.h"
#include "simulation/scale/store_stand_in.h"
#include "simulation/scale/summary.h"
#include "simulation/scale/user_stand_in.h"
#include "simulation/scale/worker_stand_in.h"

#define BEGIN_AFTER_S 1.0       /* the stand-ins listen by then */
#define DESCRIPTORS_BESIDE 2000 /* a fleet's process needs these beside one for each worker */

typedef struct {
  char *program, *dir, *play, *plan_file;
  int regions, zones, controllers, workers, teams, tasks_per_job, region, part, base, fleet_processes;
  gint64 seed;
  gboolean quiet;
  char **faults;
} Options;

static int wrong_use(const GError *error) {
  fprintf(stderr, "flaxknot-sim scale: %s\n", error->message);
  return FK_SIM_EXIT_USAGE;
}

/* ------------------------------------------------------------------ a stand-in's process */

static int play(const Options *o) {
  g_autoptr(GError) error = NULL;
  g_autoptr(FkScalePlan) p = fk_scale_plan_load(o->plan_file ? o->plan_file : "", &error);
  if (!p)
    return wrong_use(error);
  if (g_str_equal(o->play, "state"))
    return fk_scale_store_stand_in(p, (guint)o->region);
  if (g_str_equal(o->play, "fleet"))
    return fk_worker_stand_in_run(p, (guint)o->region, (guint)o->part);
  return fk_scale_user_stand_in(p, (guint)o->region);
}

/* ------------------------------------------------------------------ the run */

static gboolean enough_descriptors(const FkScalePlan *p, GError **error) {
  struct rlimit r;
  rlim_t wanted = fk_scale_region_workers(p, 0) * 5 / 4 + DESCRIPTORS_BESIDE;
  if (getrlimit(RLIMIT_NOFILE, &r) == 0 && r.rlim_cur < wanted) {
    r.rlim_cur = MIN(wanted, r.rlim_max);
    setrlimit(RLIMIT_NOFILE, &r);
  }
  if (r.rlim_cur >= wanted)
    return TRUE;
  g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
              "too few file descriptors: %lu may be open, a region's workers need %lu",
              (unsigned long)r.rlim_cur, (unsigned long)wanted);
  return FALSE;
}

static gboolean write_plan(FkScalePlan *p, GError **error) {
  g_autofree char *path = g_build_filename(p->output_dir, "plan.json", NULL);
  p->start_us = g_get_monotonic_time() + (gint64)(BEGIN_AFTER_S * 1e6);
  g_autoptr(cJSON) o = fk_scale_plan_to_json(p);
  g_autofree char *text = fk_json_print(o);
  return g_mkdir_with_parents(p->output_dir, 0755) == 0 && g_file_set_contents(path, text, -1, error);
}

static void tell_region(const cJSON *r, guint number) {
  static const struct {
    const char *name, *words;
  } rows[] = {{"workers", "workers up"},
              {"running", "tasks running"},
              {"began", "starts a second"},
              {"writes", "writes a second"},
              {"requests", "requests a second"},
              {"over_budget", "requests over the store's budget, a second"},
              {"busiest_controller_core_share", "busiest controller, share of a core over 10 s"},
              {"largest_controller_memory_mb", "largest controller, MB"},
              {"accept_p99_s", "accept, p99, s"},
              {"urgent_start_p99_s", "urgent work's first start, p99, s"},
              {"bulk_start_p50_s", "other work's first start, p50, s"},
              {"malformed_reports", "malformed reports that controllers logged"},
              {"fleet_core_share", "stand-ins of the workers, shares of a core"},
              {"fleet_busiest_core_share", "busiest of them, share of a core over 10 s"},
              {"state_core_share", "stand-in of the state service, share of a core"}};
  printf("region %u\n", number);
  for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
    printf("  %-50s %10.2f\n", rows[i].words, fk_json_num_or(r, rows[i].name, 0));
}

static gboolean write_summary(const FkScalePlan *p, FkScaleSummary *s, const FkProcesses *ps,
                              GError **error) {
  g_autofree char *path = g_build_filename(p->output_dir, "summary.json", NULL);
  cJSON_AddNumberToObject(s->figures, "memory_most_mb", fk_processes_peak_memory_mb(ps));
  cJSON_AddNumberToObject(s->figures, "processes", fk_processes_count(ps));
  g_autofree char *text = fk_json_print(s->figures);
  return g_file_set_contents(path, text, -1, error);
}

static int report(const FkScalePlan *p, FkScaleSummary *s, const FkProcesses *ps) {
  g_autoptr(GError) error = NULL;
  guint number = 0;
  const cJSON *r;
  cJSON_ArrayForEach(r, fk_json_get(s->figures, "regions")) { tell_region(r, number++); }
  printf("%u processes, %.0f MB together; lines, logs and summary.json in %s\n", fk_processes_count(ps),
         fk_processes_peak_memory_mb(ps), p->output_dir);
  for (guint i = 0; i < s->why->len; i++)
    printf("NOT CARRIED: %s\n", (char *)s->why->pdata[i]);
  printf(s->carried ? "the load was carried, and no rule was broken\n" : "the load was not carried\n");
  if (!write_summary(p, s, ps, &error)) {
    fprintf(stderr, "flaxknot-sim scale: %s\n", error->message);
    return FK_SIM_EXIT_FAILED;
  }
  return s->carried ? FK_SIM_EXIT_OK : FK_SIM_EXIT_FAILED;
}

static int run(FkScalePlan *p) {
  g_autoptr(GError) error = NULL;
  if (!enough_descriptors(p, &error) || !write_plan(p, &error))
    return wrong_use(error);
  FkProcesses *ps = fk_processes_start(p, &error);
  if (!ps) {
    fprintf(stderr, "flaxknot-sim scale: %s\n", error->message);
    return FK_SIM_EXIT_FAILED;
  }
  g_autofree char *wrong = fk_processes_run(ps);
  double memory_mb = fk_processes_peak_memory_mb(ps);
  if (wrong) {
    fprintf(stderr, "flaxknot-sim scale: %s (%.0f MB were held)\n", wrong, memory_mb);
    fk_processes_free(ps);
    return FK_SIM_EXIT_FAILED;
  }
  fk_processes_stop(ps);
  FkScaleSummary *s = fk_scale_summary_new(p, &error);
  int status = s ? report(p, s, ps) : FK_SIM_EXIT_FAILED;
  if (!s)
    fprintf(stderr, "flaxknot-sim scale: %s\n", error->message);
  else
    fk_scale_summary_free(s);
  fk_processes_free(ps);
  return status;
}

/* ------------------------------------------------------------------ options */

static const char summary_text[] = "Starts real controllers on loopback, and for each region a state "
                                   "service, a cloud with hollow workers and\n"
                                   "users; plays them for so many seconds, checks the rules, and says what "
                                   "was carried. Without options: one\n"
                                   "small region for a minute. Memory is held under 12 GB.";
static const char description_text[] =
    "Exit status: 0 the load was carried and no rule was broken; 1 not; 2 wrong use.";

static gboolean take_options(FkScalePlan *p, const Options *o, GError **error) {
  p->regions = (guint)MAX(0, o->regions);
  p->zones = (guint)MAX(0, o->zones);
  p->controllers = (guint)MAX(0, o->controllers);
  p->workers = (guint)MAX(0, o->workers);
  p->teams = (guint)MAX(0, o->teams);
  p->tasks_per_job = (guint)MAX(0, o->tasks_per_job);
  p->address_base = (guint)MAX(0, o->base);
  p->worker_processes = (guint)MAX(0, o->fleet_processes);
  p->seed = (guint64)o->seed;
  p->output_dir = g_strdup(o->dir ? o->dir : "scale-run");
  p->program = g_strdup(o->program);
  if (p->task_starts_per_s < 0) /* what keeps the workers full */
    p->task_starts_per_s = p->workers * p->tasks_per_worker / p->task_run_s;
  for (char **f = o->faults; f && *f; f++)
    if (!fk_scale_plan_add_fault(p, *f, error))
      return FALSE;
  return fk_scale_plan_validate(p, error);
}

/* The service's program lies beside this one. */
static char *usual_program(void) {
  g_autofree char *self = g_file_read_link("/proc/self/exe", NULL),
                  *dir = self ? g_path_get_dirname(self) : g_strdup(".");
  return g_build_filename(dir, "flaxknot", NULL);
}

int fk_sim_scale(int argc, char **argv) {
  g_autoptr(FkScalePlan) p = fk_scale_plan_new();
  Options o = {.program = usual_program(),
               .regions = 1,
               .zones = 3,
               .controllers = 3,
               .workers = 80,
               .teams = 20,
               .tasks_per_job = 500,
               .seed = 1,
               .base = 20,
               .fleet_processes = 1};
  p->task_starts_per_s = -1;
  const GOptionEntry entries[] = {
      {"regions", 0, 0, G_OPTION_ARG_INT, &o.regions, "Regions (1)", "N"},
      {"zones", 0, 0, G_OPTION_ARG_INT, &o.zones, "Zones of all regions (3)", "N"},
      {"controllers", 0, 0, G_OPTION_ARG_INT, &o.controllers, "Controllers of all regions (3)", "N"},
      {"workers", 0, 0, G_OPTION_ARG_INT, &o.workers, "Hollow workers of all regions (80)", "N"},
      {"tasks-per-worker", 0, 0, G_OPTION_ARG_DOUBLE, &p->tasks_per_worker, "Tasks a worker (25)", "X"},
      {"starts", 0, 0, G_OPTION_ARG_DOUBLE, &p->task_starts_per_s,
       "Starts a second (as many as keep the workers full)", "X"},
      {"run", 0, 0, G_OPTION_ARG_DOUBLE, &p->task_run_s, "Mean run time of a task, s (20)", "S"},
      {"tasks-per-job", 0, 0, G_OPTION_ARG_INT, &o.tasks_per_job, "Mean tasks of a job (500)", "N"},
      {"urgent", 0, 0, G_OPTION_ARG_DOUBLE, &p->urgent_jobs_per_s, "Urgent jobs a second and region (1)",
       "X"},
      {"teams", 0, 0, G_OPTION_ARG_INT, &o.teams, "Teams (20)", "N"},
      {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &p->duration_s, "Length of the run (60)", "S"},
      {"ramp", 0, 0, G_OPTION_ARG_DOUBLE, &p->ramp_s, "Seconds that aren't judged (30)", "S"},
      {"state-requests", 0, 0, G_OPTION_ARG_DOUBLE, &p->store_requests_per_s,
       "Requests a second that a state service takes (150)", "X"},
      {"state-writes", 0, 0, G_OPTION_ARG_DOUBLE, &p->store_writes_per_s, "Writes a second (50)", "X"},
      {"fault", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o.faults,
       "kill, stop, rack, zone, state, apart or churn, at a second, for so long", "KIND@S[:S]"},
      {"seed", 0, 0, G_OPTION_ARG_INT64, &o.seed, "Of jobs and machines (1)", "N"},
      {"base", 0, 0, G_OPTION_ARG_INT, &o.base, "Second part of the first region's addresses (20)", "N"},
      {"fleet-processes", 0, 0, G_OPTION_ARG_INT, &o.fleet_processes,
       "Processes that play a region's workers (1)", "N"},
      {"out", 0, 0, G_OPTION_ARG_FILENAME, &o.dir, "Folder of lines, logs and the summary (scale-run)",
       "DIR"},
      {"program", 0, 0, G_OPTION_ARG_FILENAME, &o.program, "The service (flaxknot beside this program)",
       "FILE"},
      {"play", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_STRING, &o.play, "", ""},
      {"plan", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_FILENAME, &o.plan_file, "", ""},
      {"region", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_INT, &o.region, "", ""},
      {"part", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_INT, &o.part, "", ""},
      {NULL}};
  g_autoptr(GOptionContext) context = g_option_context_new(NULL);
  g_autoptr(GError) error = NULL;
  g_option_context_add_main_entries(context, entries, NULL);
  g_option_context_set_summary(context, summary_text);
  g_option_context_set_description(context, description_text);
  if (!g_option_context_parse(context, &argc, &argv, &error))
    return wrong_use(error);
  if (o.play)
    return play(&o);
  if (!take_options(p, &o, &error))
    return wrong_use(error);
  return run(p);
}
