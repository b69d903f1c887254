#include "simulation/scale/late_copies.h"

#include <string.h>

#include "common/random.h"
#include "simulation/scale/heartbeats.h"

#define COMMANDS_MAX 100 /* of one worker */
#define DELAY_S_MIN 1.0
#define DELAY_S_MAX 4.0

typedef struct {
  FkSimulatedWorker *worker;
  guint boots, index;
} LateCopy;

void fk_late_copies_remember(FkSimulatedWorker *worker, const char *body, gsize len) {
  if (!worker->executed)
    worker->executed = g_ptr_array_new_with_free_func(g_free);
  if (worker->executed->len == COMMANDS_MAX)
    g_ptr_array_remove_index(worker->executed, 0);
  g_ptr_array_add(worker->executed, g_strndup(body, len));
}

static void on_copy(gpointer owner, gpointer data) {
  FkSimulatedWorkers *workers = owner;
  g_autofree LateCopy *copy = data;
  FkSimulatedWorker *worker = copy->worker;
  if (worker->terminated || !worker->up || worker->boots != copy->boots)
    return;
  const char *body = worker->copies->pdata[copy->index];
  g_autoptr(FkWorkerCommands) request = fk_worker_parse_commands(body, strlen(body));
  gboolean accepted = fk_heartbeats_execute_commands(workers, worker, request);
  fk_metrics_log_add(workers->metrics, accepted ? "copies_executed" : "copies_rejected", 1);
}

void fk_late_copies_schedule(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  if (!worker->executed)
    return;
  g_clear_pointer(&worker->copies, g_ptr_array_unref);
  worker->copies = g_steal_pointer(&worker->executed);
  for (guint i = 0; i < worker->copies->len; i++) {
    LateCopy *copy = g_new0(LateCopy, 1);
    *copy = (LateCopy){worker, worker->boots, i};
    fk_simulated_workers_schedule(workers, fk_random_uniform(workers->rand, DELAY_S_MIN, DELAY_S_MAX),
                                  on_copy, copy);
  }
}
