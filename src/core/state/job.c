#include "core/state/job.h"

#include <string.h>

FkSpec *fk_spec_new(void) {
  FkSpec *s = g_new0(FkSpec, 1);
  s->ref_count = 1;
  s->deadline_s = -1;
  return s;
}

FkSpec *fk_spec_ref(FkSpec *s) {
  s->ref_count++;
  return s;
}

void fk_spec_unref(FkSpec *s) {
  if (!s || --s->ref_count > 0)
    return;
  g_free(s->id);
  g_free(s->class_name);
  g_free(s->team);
  g_free(s->image);
  g_strfreev(s->types);
  g_free(s->zone);
  g_free(s->owner);
  g_strfreev(s->dependencies);
  g_free(s);
}

double fk_spec_cpu_seconds(const FkSpec *s) { return s->tasks * s->cpus * MAX(1, s->estimate_s); }

guint32 fk_spec_chunk_count(const FkSpec *s) { return (s->tasks + s->chunk_tasks - 1) / s->chunk_tasks; }

guint32 fk_spec_chunk_tasks(const FkSpec *s, guint32 chunk) {
  guint32 first = chunk * s->chunk_tasks;
  return MIN(s->chunk_tasks, s->tasks - first);
}

FkChunk *fk_chunk_new(guint32 first, guint32 count) {
  FkChunk *c = g_new0(FkChunk, 1);
  c->first_task = first;
  c->task_count = count;
  c->next_attempt = 1;
  c->done = g_new0(guint8, count);
  c->allocations = g_array_new(FALSE, FALSE, sizeof(FkAllocation));
  return c;
}

FkChunk *fk_chunk_copy(const FkChunk *c) {
  FkChunk *n = fk_chunk_new(c->first_task, c->task_count);
  n->rev = c->rev;
  n->next_attempt = c->next_attempt;
  memcpy(n->done, c->done, c->task_count);
  n->done_count = c->done_count;
  if (c->allocations->len)
    g_array_append_vals(n->allocations, c->allocations->data, c->allocations->len);
  return n;
}

void fk_chunk_free(FkChunk *c) {
  if (!c)
    return;
  g_free(c->done);
  g_array_unref(c->allocations);
  g_free(c);
}

#define RECORD_BYTES 160    /* of a chunk's record, its bookings apart, whatever the number of tasks */
#define ALLOCATION_BYTES 28 /* of a booking, the names apart */
#define MACHINE_ID_BYTES                                                                                     \
  12 /* of a machine's id, as the cloud gives them; longer ones leave tasks waiting for others' ends */

gboolean fk_chunk_fits(const FkChunk *c, double value_kb, const char *machine, const char *by) {
  double bytes = RECORD_BYTES;
  for (guint i = 0; i < c->allocations->len; i++) {
    const FkAllocation *b = &g_array_index(c->allocations, FkAllocation, i);
    bytes += ALLOCATION_BYTES + (double)strlen(b->machine) + (double)strlen(b->launched_by);
  }
  bytes += machine ? ALLOCATION_BYTES + (double)strlen(machine) + (double)strlen(by) : 0;
  return bytes <= 1024 * value_kb;
}

guint32 fk_chunk_max_tasks(double value_kb, const char *by) {
  double each = ALLOCATION_BYTES + MACHINE_ID_BYTES + (double)strlen(by);
  return (guint32)CLAMP((value_kb * 1024 - RECORD_BYTES) / each, 8, 128);
}

FkAllocation *fk_chunk_find_allocation(const FkChunk *c, guint32 task) {
  for (guint i = 0; i < c->allocations->len; i++) {
    FkAllocation *b = &g_array_index(c->allocations, FkAllocation, i);
    if (b->task == task)
      return b;
  }
  return NULL;
}

static gboolean in_range(const FkChunk *c, guint32 task) {
  return task >= c->first_task && task < c->first_task + c->task_count;
}

gboolean fk_chunk_allocate_attempt(FkChunk *c, guint32 task, const char *machine, const char *by,
                                   FkAttempt attempt) {
  /* One booking a task, ever: this is what keeps a task from running twice. */
  if (!in_range(c, task) || c->done[task - c->first_task] || fk_chunk_find_allocation(c, task))
    return FALSE;
  FkAllocation b = {task, attempt, g_intern_string(machine), g_intern_string(by), FALSE, {0}, FALSE};
  g_array_append_val(c->allocations, b);
  c->next_attempt = MAX(c->next_attempt, attempt.n + 1);
  return TRUE;
}

gboolean fk_chunk_allocate(FkChunk *c, guint32 task, const char *machine, const char *by) {
  return fk_chunk_allocate_attempt(c, task, machine, by, (FkAttempt){c->next_attempt});
}

gboolean fk_chunk_release(FkChunk *c, guint32 task, FkAttempt attempt) {
  for (guint i = 0; i < c->allocations->len; i++) {
    FkAllocation *b = &g_array_index(c->allocations, FkAllocation, i);
    if (b->task == task && b->attempt.n == attempt.n) {
      g_array_remove_index(c->allocations, i);
      return TRUE;
    }
  }
  return FALSE;
}

gboolean fk_chunk_finish(FkChunk *c, guint32 task, FkAttempt attempt) {
  if (!fk_chunk_release(c, task, attempt))
    return FALSE;
  c->done[task - c->first_task] = 1;
  c->done_count++;
  return TRUE;
}

gboolean fk_chunk_request_stop(FkChunk *c, guint32 task) {
  FkAllocation *b = fk_chunk_find_allocation(c, task);
  if (!b || b->stop_requested)
    return FALSE;
  b->stop_requested = TRUE;
  return TRUE;
}
