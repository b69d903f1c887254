/* Job specifications and chunks: allocation and release, record sizes, and the allowed state changes of
 * tasks. */
#include "core/state/job.h"

#include <string.h>

FkSpec *fk_spec_new(void) {
  FkSpec *spec = g_new0(FkSpec, 1);
  spec->ref_count = 1;
  spec->deadline_s = -1;
  return spec;
}

FkSpec *fk_spec_ref(FkSpec *spec) {
  spec->ref_count++;
  return spec;
}

void fk_spec_unref(FkSpec *spec) {
  if (!spec || --spec->ref_count > 0)
    return;
  g_free(spec->id);
  g_free(spec->class_name);
  g_free(spec->team);
  g_free(spec->image);
  g_strfreev(spec->types);
  g_free(spec->zone);
  g_free(spec->owner);
  g_strfreev(spec->dependencies);
  g_free(spec);
}

double fk_spec_cpu_seconds(const FkSpec *spec) { return spec->tasks * spec->cpus * MAX(1, spec->estimate_s); }

/* Size of a job's record without its texts. */
#define JOB_RECORD_OVERHEAD_BYTES 600
#define ESCAPED_CONTROL_BYTES 6 /* \u001f */
#define LIST_ITEM_BYTES 3       /* two quotes and a comma */

/* Returns the number of bytes that JSON needs for the text; 0 for NULL. */
static guint text_bytes(const char *text) {
  guint bytes = 0;
  for (; text && *text; text++) {
    gboolean escaped = *text == '"' || *text == '\\';
    bytes += g_ascii_iscntrl(*text) ? ESCAPED_CONTROL_BYTES : escaped ? 2 : 1;
  }
  return bytes;
}

static guint list_bytes(char *const *texts) {
  guint bytes = 0;
  for (; texts && *texts; texts++)
    bytes += LIST_ITEM_BYTES + text_bytes(*texts);
  return bytes;
}

guint fk_spec_record_bytes(const FkSpec *spec) {
  return JOB_RECORD_OVERHEAD_BYTES + text_bytes(spec->class_name) + text_bytes(spec->team) +
         text_bytes(spec->image) + text_bytes(spec->zone) + text_bytes(spec->owner) +
         list_bytes(spec->types) + list_bytes(spec->dependencies);
}

guint32 fk_spec_chunk_count(const FkSpec *spec) {
  return (spec->tasks + spec->chunk_tasks - 1) / spec->chunk_tasks;
}

guint32 fk_spec_chunk_tasks(const FkSpec *spec, guint32 chunk) {
  guint32 first = chunk * spec->chunk_tasks;
  return MIN(spec->chunk_tasks, spec->tasks - first);
}

FkChunk *fk_chunk_new(guint32 first, guint32 count) {
  FkChunk *chunk = g_new0(FkChunk, 1);
  chunk->first_task = first;
  chunk->task_count = count;
  chunk->next_attempt = 1;
  chunk->done = g_new0(guint8, count);
  chunk->allocations = g_array_new(FALSE, FALSE, sizeof(FkAllocation));
  return chunk;
}

FkChunk *fk_chunk_copy(const FkChunk *chunk) {
  FkChunk *copy = fk_chunk_new(chunk->first_task, chunk->task_count);
  copy->rev = chunk->rev;
  copy->next_attempt = chunk->next_attempt;
  memcpy(copy->done, chunk->done, chunk->task_count);
  copy->done_count = chunk->done_count;
  if (chunk->allocations->len)
    g_array_append_vals(copy->allocations, chunk->allocations->data, chunk->allocations->len);
  return copy;
}

void fk_chunk_free(FkChunk *chunk) {
  if (!chunk)
    return;
  g_free(chunk->done);
  g_array_unref(chunk->allocations);
  g_free(chunk);
}

#define BYTES_PER_KIB 1024
#define CHUNK_TASKS_MIN 8
#define CHUNK_TASKS_MAX 128
/* Size of a chunk's record without its allocations; an upper bound for up to CHUNK_TASKS_MAX tasks. */
#define CHUNK_RECORD_OVERHEAD_BYTES 160
/* Size of an allocation without the names of its machine and controller. */
#define ALLOCATION_BYTES 28
/* Length of the cloud's machine ids. With longer ids a record may be full before all tasks of its chunk are
 * allocated; the remaining tasks then wait until others complete. */
#define MACHINE_ID_BYTES 12

gboolean fk_chunk_fits(const FkChunk *chunk, double value_kb, const char *machine, const char *controller) {
  double bytes = CHUNK_RECORD_OVERHEAD_BYTES;
  for (guint i = 0; i < chunk->allocations->len; i++) {
    const FkAllocation *allocation = &g_array_index(chunk->allocations, FkAllocation, i);
    bytes += ALLOCATION_BYTES + (double)strlen(allocation->machine) + (double)strlen(allocation->launched_by);
  }
  bytes += machine ? ALLOCATION_BYTES + (double)strlen(machine) + (double)strlen(controller) : 0;
  return bytes <= BYTES_PER_KIB * value_kb;
}

guint32 fk_chunk_max_tasks(double value_kb, const char *controller) {
  double each = ALLOCATION_BYTES + MACHINE_ID_BYTES + (double)strlen(controller);
  return (guint32)CLAMP((value_kb * BYTES_PER_KIB - CHUNK_RECORD_OVERHEAD_BYTES) / each, CHUNK_TASKS_MIN,
                        CHUNK_TASKS_MAX);
}

FkAllocation *fk_chunk_find_allocation(const FkChunk *chunk, guint32 task) {
  for (guint i = 0; i < chunk->allocations->len; i++) {
    FkAllocation *allocation = &g_array_index(chunk->allocations, FkAllocation, i);
    if (allocation->task == task)
      return allocation;
  }
  return NULL;
}

static gboolean in_range(const FkChunk *chunk, guint32 task) {
  return task >= chunk->first_task && task < chunk->first_task + chunk->task_count;
}

gboolean fk_chunk_allocate_attempt(FkChunk *chunk, guint32 task, const char *machine, const char *controller,
                                   FkAttempt attempt) {
  /* At most one allocation per task at any time: this rule prevents a task from running twice at once. */
  if (!in_range(chunk, task) || chunk->done[task - chunk->first_task] ||
      fk_chunk_find_allocation(chunk, task))
    return FALSE;
  FkAllocation allocation = {task, attempt, g_intern_string(machine), g_intern_string(controller), FALSE,
                             {0},  FALSE};
  g_array_append_val(chunk->allocations, allocation);
  chunk->next_attempt = MAX(chunk->next_attempt, attempt.n + 1);
  return TRUE;
}

gboolean fk_chunk_allocate(FkChunk *chunk, guint32 task, const char *machine, const char *controller) {
  return fk_chunk_allocate_attempt(chunk, task, machine, controller, (FkAttempt){chunk->next_attempt});
}

gboolean fk_chunk_release(FkChunk *chunk, guint32 task, FkAttempt attempt) {
  for (guint i = 0; i < chunk->allocations->len; i++) {
    FkAllocation *allocation = &g_array_index(chunk->allocations, FkAllocation, i);
    if (allocation->task == task && allocation->attempt.n == attempt.n) {
      g_array_remove_index(chunk->allocations, i);
      return TRUE;
    }
  }
  return FALSE;
}

gboolean fk_chunk_finish(FkChunk *chunk, guint32 task, FkAttempt attempt) {
  if (!fk_chunk_release(chunk, task, attempt))
    return FALSE;
  chunk->done[task - chunk->first_task] = 1;
  chunk->done_count++;
  return TRUE;
}

gboolean fk_chunk_request_stop(FkChunk *chunk, guint32 task) {
  FkAllocation *allocation = fk_chunk_find_allocation(chunk, task);
  if (!allocation || allocation->stop_requested)
    return FALSE;
  allocation->stop_requested = TRUE;
  return TRUE;
}
