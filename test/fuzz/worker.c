/* The workers' codec. */
#include "fuzz.h"

#include "wire/worker.h"

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  g_autoptr(FkHeartbeat) r = fk_worker_parse_heartbeat((const char *)data, size);
  if (!r)
    return 0;
  FK_HOLDS(r->machine && r->addr && r->type && r->zone && r->tasks);
  for (guint i = 0; i < r->tasks->len; i++) {
    const FkTaskStatus *t = r->tasks->pdata[i];
    FK_HOLDS(t->job && t->state <= FK_TASK_OTHER && t->exit_reason <= FK_EXIT_UNKNOWN);
  }
  return 0;
}
