/* The pages of completions that shard owners write, applied to the chunks of the view. */
#include "core/state/view_internal.h"

#include <string.h>

/* An allocation has ended, as a page says. */
static void end_allocation(FkView *v, FkJob *job, FkChunk *chunk, const FkAllocation *ended,
                           FkCompletionKind kind) {
  FkAllocation allocation = *ended; /* a copy: the chunk drops it below */
  gboolean done = kind == FK_COMPLETION_DONE;
  if (done && allocation.start_observed)
    fk_view_learn_run_time(v, job->spec, fk_time_between(allocation.first_seen_at, v->now));
  if (done)
    fk_view_attempt_succeeded(v, job, &allocation);
  fk_view_count_allocation(v, job, &allocation, -1);
  if (done)
    fk_chunk_finish(chunk, allocation.task, allocation.attempt);
  else
    fk_chunk_release(chunk, allocation.task, allocation.attempt);
  if (!done) {
    job->attempt_lost_at = v->now;
    if (allocation.start_observed && job->spec->shape != FK_SHAPE_SERVICE)
      v->lost_cpu_s += fk_time_between(allocation.first_seen_at, v->now) * job->spec->cpus;
  }
  job->done += done;
  if (kind == FK_COMPLETION_FAILED)
    fk_view_attempt_failed(v, job, &allocation);
}

/* What is new in the record counts at once, allocation by allocation. */
static void apply_completion_record(FkView *v, const FkCompletionRecord *completion) {
  const char *slash = strrchr(completion->chunk, '/');
  g_autofree char *id = slash ? g_strndup(completion->chunk, slash - completion->chunk) : NULL;
  FkJob *job = id ? fk_view_find_job(v, id) : NULL;
  guint64 index = slash ? g_ascii_strtoull(slash + 1, NULL, 10) : 0;
  if (!job || index >= job->chunk_count || !job->chunks[index])
    return;
  FkChunk *chunk = job->chunks[index];
  gboolean released_before = FALSE;
  for (guint i = 0; i < MIN(completion->done->len, chunk->task_count); i++) {
    if (!completion->done->data[i] || chunk->done[i])
      continue;
    const FkAllocation *allocation = fk_chunk_find_allocation(chunk, chunk->first_task + i);
    if (allocation)
      end_allocation(v, job, chunk, allocation, FK_COMPLETION_DONE);
    else
      released_before |= fk_chunk_find_allocation(job->base_chunks[index], chunk->first_task + i) != NULL;
  }
  if (released_before) {
    fk_view_set_effective_chunk(v, job, (guint32)index, fk_view_effective_chunk(v, job, (guint32)index));
    chunk = job->chunks[index];
  }
  for (guint i = 0; i < completion->released->len; i++) {
    const FkReleasedAttempt *released = &g_array_index(completion->released, FkReleasedAttempt, i);
    const FkAllocation *allocation = fk_chunk_find_allocation(chunk, released->task);
    if (allocation && allocation->attempt.n == released->attempt.n)
      end_allocation(v, job, chunk, allocation,
                     released->task_failed ? FK_COMPLETION_FAILED : FK_COMPLETION_RELEASED);
  }
  if (index < job->first_waiting_chunk_hint)
    job->first_waiting_chunk_hint = (guint32)index;
}

static gboolean is_same_completion_record(const FkCompletionRecord *first, const FkCompletionRecord *second) {
  return first->done->len == second->done->len && first->released->len == second->released->len &&
         (!first->done->len || !memcmp(first->done->data, second->done->data, first->done->len)) &&
         (!first->released->len || !memcmp(first->released->data, second->released->data,
                                           first->released->len * sizeof(FkReleasedAttempt)));
}

/* The position of the page's record among those of a chunk; -1: it has none. */
static gint index_in_page(const GPtrArray *of_chunk, const FkCompletionPage *page) {
  for (guint i = 0; page && of_chunk && i < of_chunk->len; i++)
    if (((FkCompletionRecord *)of_chunk->pdata[i])->page == page)
      return (gint)i;
  return -1;
}

static void add_completion_record(FkView *v, FkCompletionRecord *completion) {
  GPtrArray *of_chunk = g_hash_table_lookup(v->completions_by_chunk, completion->chunk);
  if (!of_chunk) {
    of_chunk = g_ptr_array_new();
    g_hash_table_insert(v->completions_by_chunk, g_strdup(completion->chunk), of_chunk);
  }
  g_ptr_array_add(of_chunk, completion);
  apply_completion_record(v, completion);
}

/* Puts the record in the place of the one that the old page (NULL: none) had for the same chunk. */
static void set_completion_record(FkView *v, FkCompletionRecord *completion, const FkCompletionPage *old) {
  GPtrArray *of_chunk = g_hash_table_lookup(v->completions_by_chunk, completion->chunk);
  gint position = index_in_page(of_chunk, old);
  if (position < 0) {
    add_completion_record(v, completion);
    return;
  }
  FkCompletionRecord *before = of_chunk->pdata[position];
  gboolean unchanged = is_same_completion_record(before, completion);
  before->page = NULL; /* replaced */
  of_chunk->pdata[position] = completion;
  if (!unchanged)
    apply_completion_record(v, completion);
}

/* Drops the records of the old page that the new one has not replaced. */
static void remove_completion_records(FkView *v, const FkCompletionPage *old) {
  for (guint i = 0; i < old->records->len; i++) {
    FkCompletionRecord *completion = old->records->pdata[i];
    GPtrArray *of_chunk =
        completion->page ? g_hash_table_lookup(v->completions_by_chunk, completion->chunk) : NULL;
    if (of_chunk && g_ptr_array_remove_fast(of_chunk, completion) && !of_chunk->len)
      g_hash_table_remove(v->completions_by_chunk, completion->chunk);
  }
}

/* A page of completions replaces the one before it. It is written twice a second and mostly repeats itself:
 * only records that differ are worked on. */
void fk_view_set_completions(FkView *v, const char *id, FkRecord *record, FkRev rev) {
  FkCompletionPage *old = g_hash_table_lookup(v->completion_pages, id), *page = NULL;
  if (old && old->rev.n >= rev.n)
    return;
  if (record) {
    page = g_new0(FkCompletionPage, 1);
    page->rev = rev;
    page->records = g_steal_pointer(&record->completions);
  }
  for (guint i = 0; page && i < page->records->len; i++) {
    FkCompletionRecord *completion = page->records->pdata[i];
    completion->page = page;
    set_completion_record(v, completion, old);
  }
  if (old)
    remove_completion_records(v, old);
  if (page)
    g_hash_table_replace(v->completion_pages, g_strdup(id), page);
  else
    g_hash_table_remove(v->completion_pages, id);
}
