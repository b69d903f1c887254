#include "simulation/scale/scale.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <sys/resource.h>

#include "simulation/recovery.h"
#include "simulation/scale/processes.h"
#include "simulation/scale/scale_options.h"
#include "simulation/scale/scale_report.h"
#include "simulation/scale/store_stand_in.h"
#include "simulation/scale/user_stand_in.h"
#include "simulation/scale/worker_stand_in.h"

#define START_DELAY_S 1.0      /* the stand-ins listen by then */
#define OTHER_DESCRIPTORS 2000 /* that a worker process needs besides one for each worker */

static int fail(int status, const char *message) {
  fprintf(stderr, "flaxknot-sim scale: %s\n", message);
  return status;
}

static gboolean ensure_descriptors(const FkScalePlan *plan, GError **error) {
  struct rlimit limit;
  rlim_t needed = fk_scale_region_workers(plan, 0) * 5 / 4 + OTHER_DESCRIPTORS;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < needed) {
    limit.rlim_cur = MIN(needed, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur >= needed)
    return TRUE;
  g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
              "too few file descriptors: %lu may be open, a region's workers need %lu",
              (unsigned long)limit.rlim_cur, (unsigned long)needed);
  return FALSE;
}

static gboolean write_plan(FkScalePlan *plan, GError **error) {
  g_autofree char *path = g_build_filename(plan->output_dir, "plan.json", NULL);
  plan->start_us = g_get_monotonic_time() + (gint64)(START_DELAY_S * 1e6);
  g_autoptr(cJSON) json = fk_scale_plan_to_json(plan);
  g_autofree char *text = fk_json_print(json);
  if (g_mkdir_with_parents(plan->output_dir, 0755) != 0) {
    g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno), "%s: %s", plan->output_dir,
                g_strerror(errno));
    return FALSE;
  }
  return g_file_set_contents(path, text, -1, error);
}

/* After the run: stops the processes, and reports what they measured. */
static int report(const FkScalePlan *plan, FkProcesses *processes) {
  g_autoptr(GError) error = NULL;
  fk_processes_stop(processes);
  FkScaleSummary *summary = fk_scale_summary_new(plan, &error);
  if (!summary)
    return fail(FK_SIM_EXIT_FAILED, error->message);
  int status = fk_scale_report(plan, summary, processes);
  fk_scale_summary_free(summary);
  return status;
}

static int run(FkScalePlan *plan) {
  g_autoptr(GError) error = NULL;
  if (!ensure_descriptors(plan, &error) || !write_plan(plan, &error))
    return fail(FK_SIM_EXIT_USAGE, error->message);
  FkProcesses *processes = fk_processes_start(plan, &error);
  if (!processes)
    return fail(FK_SIM_EXIT_FAILED, error->message);
  int status = FK_SIM_EXIT_FAILED;
  g_autofree char *failure = fk_processes_run(processes);
  if (failure)
    fprintf(stderr, "flaxknot-sim scale: %s (%.0f MB were held)\n", failure,
            fk_processes_peak_memory_mb(processes));
  else
    status = report(plan, processes);
  fk_processes_free(processes);
  return status;
}

int fk_sim_scale(int argc, char **argv) {
  g_autoptr(GError) error = NULL;
  g_auto(FkScaleOptions) options = {0};
  if (!fk_scale_options_parse(&options, argc, argv, &error))
    return fail(FK_SIM_EXIT_USAGE, error->message);
  switch (options.role) {
  case FK_SCALE_ROLE_COORDINATOR:
    return run(options.plan);
  case FK_SCALE_ROLE_STORE:
    return fk_store_stand_in_run(options.plan, options.region);
  case FK_SCALE_ROLE_WORKERS:
    return fk_worker_stand_in_run(options.plan, options.region, options.process);
  case FK_SCALE_ROLE_USERS:
    return fk_user_stand_in_run(options.plan, options.region);
  }
  g_assert_not_reached();
}
