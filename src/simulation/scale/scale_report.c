#include "simulation/scale/scale_report.h"

#include <stdio.h>

#include "simulation/recovery.h"

static void print_region(const cJSON *region, guint number) {
  static const struct {
    const char *name, *label;
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
    printf("  %-50s %10.2f\n", rows[i].label, fk_json_num_or(region, rows[i].name, 0));
}

static gboolean write_summary(const FkScalePlan *plan, FkScaleSummary *summary, const FkProcesses *processes,
                              GError **error) {
  g_autofree char *path = g_build_filename(plan->output_dir, "summary.json", NULL);
  cJSON_AddNumberToObject(summary->figures, "memory_most_mb", fk_processes_peak_memory_mb(processes));
  cJSON_AddNumberToObject(summary->figures, "processes", fk_processes_count(processes));
  g_autofree char *text = fk_json_print(summary->figures);
  return g_file_set_contents(path, text, -1, error);
}

int fk_scale_report(const FkScalePlan *plan, FkScaleSummary *summary, const FkProcesses *processes) {
  g_autoptr(GError) error = NULL;
  guint number = 0;
  const cJSON *region;
  cJSON_ArrayForEach(region, fk_json_get(summary->figures, "regions")) { print_region(region, number++); }
  printf("%u processes, %.0f MB together; lines, logs and summary.json in %s\n",
         fk_processes_count(processes), fk_processes_peak_memory_mb(processes), plan->output_dir);
  for (guint i = 0; i < summary->failures->len; i++)
    printf("NOT CARRIED: %s\n", (char *)summary->failures->pdata[i]);
  printf(summary->passed ? "the load was carried, and no rule was broken\n" : "the load was not carried\n");
  if (!write_summary(plan, summary, processes, &error)) {
    fprintf(stderr, "flaxknot-sim scale: %s\n", error->message);
    return FK_SIM_EXIT_FAILED;
  }
  return summary->passed ? FK_SIM_EXIT_OK : FK_SIM_EXIT_FAILED;
}
