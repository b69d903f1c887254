/* The terminal jobs that the view keeps in memory: the most recent TERMINAL_JOBS_KEPT. Their records in the
 * store are permanent. */
#include "core/state/view.h"

#define TERMINAL_JOBS_KEPT 20000

void fk_view_add_terminal_job(FkView *v, const char *id, FkPhase phase, guint32 tasks, gint64 ended_at_ms) {
  fk_dependency_graph_set_state(v->dependencies, id,
                                phase == FK_PHASE_DONE ? FK_DEPENDENCY_DONE : FK_DEPENDENCY_CANCELLED,
                                ended_at_ms);
  if (g_hash_table_contains(v->terminal_phases, id))
    return;
  char *key = g_strdup(id);
  g_hash_table_insert(v->terminal_phases, key, GINT_TO_POINTER(phase + 1));
  g_hash_table_insert(v->terminal_task_counts, key, GUINT_TO_POINTER(tasks));
  g_queue_push_tail(v->terminal_order, key);
  if (v->terminal_order->length > TERMINAL_JOBS_KEPT) {
    char *oldest = g_queue_pop_head(v->terminal_order);
    g_hash_table_remove(v->terminal_task_counts, oldest);
    g_hash_table_remove(v->terminal_phases, oldest);
  }
}

gboolean fk_view_find_terminal_job(FkView *v, const char *id, FkPhase *phase, guint32 *tasks) {
  gpointer phase_plus_one = g_hash_table_lookup(v->terminal_phases, id);
  if (phase_plus_one) {
    *phase = GPOINTER_TO_INT(phase_plus_one) - 1;
    *tasks = GPOINTER_TO_UINT(g_hash_table_lookup(v->terminal_task_counts, id));
    return TRUE;
  }
  return FALSE;
}
