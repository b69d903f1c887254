#include "simulation/scale/scale_options.h"

#include <string.h>

#define STARTS_FROM_WORKERS (-1) /* as many task starts as keep the workers full */

/* The values as GOption stores them. */
typedef struct {
  FkScalePlan *plan; /* its real numbers are stored directly */
  int regions, zones, controllers, workers, teams, tasks_per_job, address_base, worker_processes;
  gint64 seed;
  char *output_dir, *program;
  char **faults;
  char *role, *plan_file; /* hidden, as the next two */
  int region, process;
} RawOptions;

static const char summary_text[] =
    "Starts real controllers on loopback, and for each region stand-ins of the state service, the cloud, "
    "its\n"
    "workers and the users; runs them for so many seconds, checks the rules, and says what load was "
    "carried.\n"
    "Without options: one small region for a minute. Memory is limited to 12 GB.";
static const char description_text[] =
    "Exit status: 0 the load was carried and no rule was broken; 1 not; 2 wrong use.";

const char *fk_scale_role_name(FkScaleRole role) {
  switch (role) {
  case FK_SCALE_ROLE_COORDINATOR:
    return NULL;
  case FK_SCALE_ROLE_STORE:
    return "state";
  case FK_SCALE_ROLE_WORKERS:
    return "fleet";
  case FK_SCALE_ROLE_USERS:
    return "users";
  }
  g_assert_not_reached();
}

static gboolean parse_role(const char *name, FkScaleRole *role, GError **error) {
  static const FkScaleRole roles[] = {FK_SCALE_ROLE_STORE, FK_SCALE_ROLE_WORKERS, FK_SCALE_ROLE_USERS};
  *role = FK_SCALE_ROLE_COORDINATOR;
  if (!name)
    return TRUE;
  for (guint i = 0; i < G_N_ELEMENTS(roles); i++)
    if (g_str_equal(name, fk_scale_role_name(roles[i]))) {
      *role = roles[i];
      return TRUE;
    }
  g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE, "--play: unknown role %s", name);
  return FALSE;
}

/* ------------------------------------------------------------------ options */

static void add_load_options(GOptionContext *context, RawOptions *raw) {
  FkScalePlan *plan = raw->plan;
  const GOptionEntry entries[] = {
      {"regions", 0, 0, G_OPTION_ARG_INT, &raw->regions, "Regions (1)", "N"},
      {"zones", 0, 0, G_OPTION_ARG_INT, &raw->zones, "Zones of all regions (3)", "N"},
      {"controllers", 0, 0, G_OPTION_ARG_INT, &raw->controllers, "Controllers of all regions (3)", "N"},
      {"workers", 0, 0, G_OPTION_ARG_INT, &raw->workers, "Simulated workers of all regions (80)", "N"},
      {"tasks-per-worker", 0, 0, G_OPTION_ARG_DOUBLE, &plan->tasks_per_worker, "Tasks a worker (25)", "X"},
      {"starts", 0, 0, G_OPTION_ARG_DOUBLE, &plan->task_starts_per_s,
       "Starts a second (as many as keep the workers full)", "X"},
      {"run", 0, 0, G_OPTION_ARG_DOUBLE, &plan->task_run_s, "Mean run time of a task, s (20)", "S"},
      {"tasks-per-job", 0, 0, G_OPTION_ARG_INT, &raw->tasks_per_job, "Mean tasks of a job (500)", "N"},
      {"urgent", 0, 0, G_OPTION_ARG_DOUBLE, &plan->urgent_jobs_per_s, "Urgent jobs a second and region (1)",
       "X"},
      {"teams", 0, 0, G_OPTION_ARG_INT, &raw->teams, "Teams (20)", "N"},
      {"state-requests", 0, 0, G_OPTION_ARG_DOUBLE, &plan->store_requests_per_s,
       "Requests a second that a state service takes (150)", "X"},
      {"state-writes", 0, 0, G_OPTION_ARG_DOUBLE, &plan->store_writes_per_s, "Writes a second (50)", "X"},
      {NULL}};
  g_option_context_add_main_entries(context, entries, NULL);
}

static void add_run_options(GOptionContext *context, RawOptions *raw) {
  FkScalePlan *plan = raw->plan;
  const GOptionEntry entries[] = {
      {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &plan->duration_s, "Length of the run (60)", "S"},
      {"ramp", 0, 0, G_OPTION_ARG_DOUBLE, &plan->ramp_s, "Seconds at the start that aren't measured (30)",
       "S"},
      {"fault", 0, 0, G_OPTION_ARG_STRING_ARRAY, &raw->faults,
       "kill, stop, rack, zone, state, apart or churn, at a second, for so long", "KIND@S[:S]"},
      {"seed", 0, 0, G_OPTION_ARG_INT64, &raw->seed, "Of jobs and machines (1)", "N"},
      {"base", 0, 0, G_OPTION_ARG_INT, &raw->address_base, "Second part of the first region's addresses (20)",
       "N"},
      {"fleet-processes", 0, 0, G_OPTION_ARG_INT, &raw->worker_processes,
       "Processes that play a region's workers (1)", "N"},
      {"out", 0, 0, G_OPTION_ARG_FILENAME, &raw->output_dir,
       "Folder of metrics, logs and the summary (scale-run)", "DIR"},
      {"program", 0, 0, G_OPTION_ARG_FILENAME, &raw->program, "The service (flaxknot beside this program)",
       "FILE"},
      {NULL}};
  g_option_context_add_main_entries(context, entries, NULL);
}

static void add_hidden_options(GOptionContext *context, RawOptions *raw) {
  const GOptionEntry entries[] = {
      {"play", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_STRING, &raw->role, "", ""},
      {"plan", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_FILENAME, &raw->plan_file, "", ""},
      {"region", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_INT, &raw->region, "", ""},
      {"part", 0, G_OPTION_FLAG_HIDDEN, G_OPTION_ARG_INT, &raw->process, "", ""},
      {NULL}};
  g_option_context_add_main_entries(context, entries, NULL);
}

/* ------------------------------------------------------------------ from options to a plan */

/* The service's executable lies beside this one. */
static char *default_program(void) {
  g_autofree char *self = g_file_read_link("/proc/self/exe", NULL),
                  *dir = self ? g_path_get_dirname(self) : g_strdup(".");
  return g_build_filename(dir, "flaxknot", NULL);
}

static guint non_negative(int value) { return (guint)MAX(0, value); }

/* Integers are checked as signed numbers first: a negative one is out of each range as 0 is. */
static gboolean complete_plan(const RawOptions *raw, GError **error) {
  FkScalePlan *plan = raw->plan;
  plan->regions = non_negative(raw->regions);
  plan->zones = non_negative(raw->zones);
  plan->controllers = non_negative(raw->controllers);
  plan->workers = non_negative(raw->workers);
  plan->teams = non_negative(raw->teams);
  plan->tasks_per_job = non_negative(raw->tasks_per_job);
  plan->address_base = non_negative(raw->address_base);
  plan->worker_processes = non_negative(raw->worker_processes);
  plan->seed = (guint64)raw->seed;
  plan->output_dir = g_strdup(raw->output_dir ? raw->output_dir : "scale-run");
  plan->program = raw->program ? g_strdup(raw->program) : default_program();
  if (plan->task_starts_per_s < 0)
    plan->task_starts_per_s = plan->workers * plan->tasks_per_worker / plan->task_run_s;
  for (char **fault = raw->faults; fault && *fault; fault++)
    if (!fk_scale_plan_add_fault(plan, *fault, error))
      return FALSE;
  return fk_scale_plan_validate(plan, error);
}

/* The defaults of a new plan. */
static RawOptions raw_options(FkScalePlan *plan) {
  return (RawOptions){.plan = plan,
                      .regions = (int)plan->regions,
                      .zones = (int)plan->zones,
                      .controllers = (int)plan->controllers,
                      .workers = (int)plan->workers,
                      .teams = (int)plan->teams,
                      .tasks_per_job = (int)plan->tasks_per_job,
                      .address_base = (int)plan->address_base,
                      .worker_processes = (int)plan->worker_processes,
                      .seed = (gint64)plan->seed};
}

static void raw_options_clear(RawOptions *raw) {
  g_free(raw->output_dir);
  g_free(raw->program);
  g_strfreev(raw->faults);
  g_free(raw->role);
  g_free(raw->plan_file);
}

static gboolean load_plan(FkScaleOptions *options, const char *file, GError **error) {
  fk_scale_plan_free(options->plan);
  options->plan = fk_scale_plan_load(file ? file : "", error);
  return options->plan != NULL;
}

static gboolean from_raw_options(FkScaleOptions *options, const RawOptions *raw, GError **error) {
  options->region = (guint)raw->region;
  options->process = (guint)raw->process;
  if (!parse_role(raw->role, &options->role, error))
    return FALSE;
  return options->role == FK_SCALE_ROLE_COORDINATOR ? complete_plan(raw, error)
                                                    : load_plan(options, raw->plan_file, error);
}

gboolean fk_scale_options_parse(FkScaleOptions *options, int argc, char **argv, GError **error) {
  *options = (FkScaleOptions){.plan = fk_scale_plan_new()};
  options->plan->task_starts_per_s = STARTS_FROM_WORKERS;
  RawOptions raw = raw_options(options->plan);
  g_autoptr(GOptionContext) context = g_option_context_new(NULL);
  add_load_options(context, &raw);
  add_run_options(context, &raw);
  add_hidden_options(context, &raw);
  g_option_context_set_summary(context, summary_text);
  g_option_context_set_description(context, description_text);
  gboolean success =
      g_option_context_parse(context, &argc, &argv, error) && from_raw_options(options, &raw, error);
  raw_options_clear(&raw);
  return success;
}

void fk_scale_options_clear(FkScaleOptions *options) { g_clear_pointer(&options->plan, fk_scale_plan_free); }
