#include "simulation/scale/stand_in_process.h"

#include <stdio.h>

#include "simulation/recovery.h"

#define GRACE_S 1.0 /* answers still arrive when the run is over */

static gboolean on_run_over(gpointer loop) {
  g_main_loop_quit(loop);
  return G_SOURCE_REMOVE;
}

void fk_stand_in_run(const FkScalePlan *plan) {
  g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
  gint64 end_us = plan->start_us + (gint64)((plan->duration_s + GRACE_S) * 1e6);
  g_timeout_add((guint)(MAX(0, end_us - g_get_monotonic_time()) / 1000), on_run_over, loop);
  g_main_loop_run(loop);
}

int fk_stand_in_start_failed(const char *process, const GError *error) {
  fprintf(stderr, "flaxknot-sim scale: %s couldn't start: %s\n", process,
          error ? error->message : "unknown error");
  return FK_SIM_EXIT_FAILED;
}
