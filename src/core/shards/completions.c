/* Completions: the ends of allocations, recorded by the controller that has proof of them: the owner
 * of the machine's shard, or the leader if the machine isn't registered. Completions are batched: one write
 * records many completions in a page that only this controller writes, so the completions of a hundred jobs'
 * tasks cost one write and cause no conflict. A page keeps a completion until the record of the task's chunk
 * includes the completion or the job is finished. */
#include "core/controller_internal.h"

#include <string.h>

/* Share of the store's write rate that the completions of all controllers together may use. */
#define WRITE_SHARE 0.1
#define PAGES_MAX 64 /* maximum number of completion pages of one controller */

/* Limits on a page's estimated size, in bytes for each kilobyte of the store's limit for a value. A page of
 * PAGE_REOPEN_MAX_BYTES_PER_KB or more is at least half full and gets no further batch; a page above
 * PAGE_FULL_BYTES_PER_KB gets no further completion. */
#define PAGE_REOPEN_MAX_BYTES_PER_KB 500.0
#define PAGE_FULL_BYTES_PER_KB 900.0
/* Estimated sizes of the parts of a page. */
#define PAGE_OVERHEAD_BYTES 2
#define RECORD_OVERHEAD_BYTES 20
#define DONE_TASKS_PER_BYTE 4
#define RELEASED_ATTEMPT_BYTES 10

#define GUARDS_PER_OP 4    /* limit on a transaction's guards, as a multiple of `transaction_ops_max` */
#define GUARDS_RESERVED 12 /* guards kept free for finalizing jobs and for the page itself */
#define FINALIZE_WRITES 2  /* writes that finalize a job, in addition to one for each of the job's chunks */

struct FkCompletion {
  const char *machine;  /* interned */
  const char *shard_id; /* interned; NULL if the proof doesn't depend on shard ownership */
  FkRev shard_rev;      /* the fencing token under which the end was proven */
  char *job;
  guint32 task;
  FkAttempt attempt;
  FkCompletionKind kind;
};

void fk_completion_free(gpointer data) {
  FkCompletion *completion = data;
  g_free(completion->job);
  g_free(completion);
}

char *fk_attempt_key(const char *job, guint32 task, FkAttempt attempt) {
  return g_strdup_printf("%s/%u#%" G_GUINT64_FORMAT, job, task, attempt.n);
}

/* ---- pending completions ---- */

/* While a completion is pending, the task may already have been started elsewhere, so it must not be started
 * on this machine again even if the view still shows the allocation. The write of a guarded completion is
 * conditional on the shard's revision. Once the shard has a new revision, the completion can't be written and
 * no longer counts as pending. */
gboolean fk_completion_is_pending(FkController *c, const FkMachine *machine,
                                  const FkAllocationRef *allocation) {
  /* Fast path: this runs for every allocation at each check of a worker, and hardly any machine has a pending
   * completion. */
  if (!g_hash_table_contains(c->completions.pending_by_machine, machine->id))
    return FALSE;
  g_autofree char *key = fk_attempt_key(allocation->job->spec->id, allocation->task, allocation->attempt);
  const FkCompletion *completion = g_hash_table_lookup(c->completions.pending, key);
  if (!completion)
    return FALSE;
  return !completion->shard_id ||
         (machine->shard && fk_rev_equal(completion->shard_rev, machine->shard->rev));
}

static void adjust_pending_count(FkController *c, const char *machine, int change) {
  GHashTable *counts = c->completions.pending_by_machine;
  int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, machine)) + change;
  if (count > 0)
    g_hash_table_insert(counts, (gpointer)machine, GINT_TO_POINTER(count));
  else
    g_hash_table_remove(counts, machine);
}

void fk_completions_clear(FkController *c) {
  g_hash_table_remove_all(c->completions.pending);
  g_hash_table_remove_all(c->completions.pending_by_machine);
}

/* Returns whether the task must be started elsewhere soon: it isn't done, its job isn't cancelled, and either
 * the job is a service or a stop of the allocation was requested. */
static gboolean is_urgent(const FkAllocationRef *allocation, FkCompletionKind kind) {
  const FkJob *job = allocation->job;
  return kind != FK_COMPLETION_DONE && !job->cancelled &&
         (allocation->stop_requested || job->spec->shape == FK_SHAPE_SERVICE);
}

void fk_completions_add(FkController *c, const FkMachine *machine, const FkAllocationRef *allocation,
                        FkCompletionKind kind, gboolean guarded) {
  FkCompletion *completion = g_new0(FkCompletion, 1);
  *completion = (FkCompletion){.machine = machine->id,
                               .job = g_strdup(allocation->job->spec->id),
                               .task = allocation->task,
                               .attempt = allocation->attempt,
                               .kind = kind};
  if (guarded) {
    completion->shard_id = machine->shard->id;
    completion->shard_rev = machine->shard->rev;
  }
  char *key = fk_attempt_key(completion->job, completion->task, completion->attempt);
  const FkCompletion *replaced = g_hash_table_lookup(c->completions.pending, key);
  if (replaced)
    adjust_pending_count(c, replaced->machine, -1);
  adjust_pending_count(c, completion->machine, +1);
  g_hash_table_replace(c->completions.pending, key, completion);
  if (is_urgent(allocation, kind))
    c->completions.urgent = TRUE;
}

/* ---- the page to write ---- */

static FkCompletionRecord *completion_record_new(const char *chunk, guint32 task_count) {
  FkCompletionRecord *record = fk_completion_record_new(chunk);
  g_byte_array_set_size(record->done, task_count);
  memset(record->done->data, 0, task_count);
  return record;
}

static gsize completion_record_size(const FkCompletionRecord *record) {
  return strlen(record->chunk) + RECORD_OVERHEAD_BYTES + record->done->len / DONE_TASKS_PER_BYTE +
         record->released->len * RELEASED_ATTEMPT_BYTES;
}

/* Returns the chunk's state in its own record, before completion pages are applied, or NULL if the view has
 * no record of the chunk. `path` is "job/index". */
static const FkChunk *find_base_chunk(FkController *c, const char *path) {
  const char *slash = strrchr(path, '/');
  if (!slash)
    return NULL;
  g_autofree char *id = g_strndup(path, slash - path);
  const FkJob *job = fk_view_find_job(c->view, id);
  guint64 index = g_ascii_strtoull(slash + 1, NULL, 10);
  return job && index < job->chunk_count ? job->base_chunks[index] : NULL;
}

/* Adds to `unrecorded` the completions of `record` that the chunk's own record doesn't include yet. The page
 * must keep these completions. */
static void keep_unrecorded(FkController *c, GPtrArray *unrecorded, const FkCompletionRecord *record) {
  const FkChunk *base = find_base_chunk(c, record->chunk);
  if (!base)
    return;
  FkCompletionRecord *left = completion_record_new(record->chunk, base->task_count);
  gboolean any = FALSE;
  for (guint i = 0; i < MIN(record->done->len, base->task_count); i++)
    if (record->done->data[i] && !base->done[i] && fk_chunk_find_allocation(base, base->first_task + i))
      any = left->done->data[i] = 1;
  for (guint i = 0; i < record->released->len; i++) {
    FkReleasedAttempt released = g_array_index(record->released, FkReleasedAttempt, i);
    const FkAllocation *allocation = fk_chunk_find_allocation(base, released.task);
    if (allocation && allocation->attempt.n == released.attempt.n) {
      g_array_append_val(left->released, released);
      any = TRUE;
    }
  }
  if (any)
    g_ptr_array_add(unrecorded, left);
  else
    fk_completion_record_free(left);
}

static char *page_name(FkController *c, guint page) {
  return g_strdup_printf("%s/%u", c->settings->node, page);
}

/* Returns the page's completions that aren't in their chunks' own records yet, and sets `size` to the
 * estimated size in bytes of a page that holds them. */
static GPtrArray *read_page(FkController *c, guint number, gsize *size) {
  g_autofree char *name = page_name(c, number);
  const FkCompletionPage *page = g_hash_table_lookup(c->view->completion_pages, name);
  GPtrArray *unrecorded = g_ptr_array_new_with_free_func(fk_completion_record_free);
  for (guint i = 0; page && i < page->records->len; i++)
    keep_unrecorded(c, unrecorded, page->records->pdata[i]);
  *size = PAGE_OVERHEAD_BYTES;
  for (guint i = 0; i < unrecorded->len; i++)
    *size += completion_record_size(unrecorded->pdata[i]);
  return unrecorded;
}

/* Selects the page to write next: the page written last until it is half full, then another page. Returns the
 * page's unrecorded completions and sets `size` as read_page does. Returns NULL if all pages are at least
 * half full. */
static GPtrArray *open_page(FkController *c, gsize *size) {
  for (guint attempts = 0; attempts < PAGES_MAX; attempts++) {
    g_autoptr(GPtrArray) page = read_page(c, c->completions.page, size);
    if (*size < PAGE_REOPEN_MAX_BYTES_PER_KB * c->settings->value_kb)
      return g_steal_pointer(&page);
    /* the search continues at page 0: pages with low numbers are the most likely to have space */
    c->completions.page = attempts || !c->completions.page ? c->completions.page + 1 : 0;
    if (c->completions.page >= PAGES_MAX)
      c->completions.page = 0;
  }
  return NULL;
}

/* ---- a page of completions and the transaction that writes it ---- */

/* A page and the transaction that writes it. */
typedef struct {
  FkOutput *transaction; /* NULL until there is something to write */
  GPtrArray *page;       /* FkCompletionRecord */
  gsize size;            /* estimated size of the page in bytes */
  GHashTable *jobs;      /* FkJob* -> JobCount* */
} Batch;

/* The number of one job's allocations that the batch ends, and how many of them end because their task is
 * done. */
typedef struct {
  guint ended, done;
} JobCount;

static void batch_clear(Batch *batch) {
  g_clear_pointer(&batch->page, g_ptr_array_unref);
  g_clear_pointer(&batch->jobs, g_hash_table_unref);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(Batch, batch_clear)

static gboolean batch_open(FkController *c, Batch *batch) {
  batch->page = open_page(c, &batch->size);
  if (!batch->page)
    return FALSE;
  /* sent before launches, since completions free capacity for launches */
  batch->transaction = fk_transaction_new(c, FK_PRIORITY_SHARD);
  return TRUE;
}

static gboolean batch_is_full(FkController *c, const Batch *batch) {
  gsize limit = (gsize)(PAGE_FULL_BYTES_PER_KB * c->settings->value_kb);
  guint guards_max = GUARDS_PER_OP * c->settings->transaction_ops_max;
  return batch->size > limit || batch->transaction->guards->len + GUARDS_RESERVED > guards_max;
}

static FkCompletionRecord *batch_record(Batch *batch, const char *chunk, const FkChunk *base) {
  for (guint i = 0; i < batch->page->len; i++) {
    FkCompletionRecord *record = batch->page->pdata[i];
    if (g_str_equal(record->chunk, chunk))
      return record;
  }
  FkCompletionRecord *record = completion_record_new(chunk, base->task_count);
  batch->size += completion_record_size(record);
  g_ptr_array_add(batch->page, record);
  return record;
}

static void batch_count(Batch *batch, FkJob *job, gboolean done) {
  JobCount *count = g_hash_table_lookup(batch->jobs, job);
  if (!count) {
    count = g_new0(JobCount, 1);
    g_hash_table_insert(batch->jobs, job, count);
  }
  count->ended++;
  count->done += done;
}

static void batch_add(Batch *batch, FkJob *job, const FkCompletion *completion) {
  guint32 index = completion->task / job->spec->chunk_tasks;
  const FkChunk *base = job->base_chunks[index];
  g_autofree char *chunk = g_strdup_printf("%s/%u", completion->job, index);
  FkCompletionRecord *record = batch_record(batch, chunk, base);
  gboolean done = completion->kind == FK_COMPLETION_DONE;
  if (done) {
    record->done->data[completion->task - base->first_task] = 1;
  } else {
    FkReleasedAttempt released = {completion->task, completion->kind == FK_COMPLETION_FAILED,
                                  completion->attempt};
    g_array_append_val(record->released, released);
    batch->size += RELEASED_ATTEMPT_BYTES;
  }
  if (completion->shard_id)
    fk_transaction_guard(batch->transaction, fk_store_key_path(FK_STORE_KEY_SHARD, completion->shard_id),
                         completion->shard_rev);
  batch_count(batch, job, done);
}

static void batch_put_page(FkController *c, Batch *batch) {
  g_autofree char *name = page_name(c, c->completions.page);
  const FkCompletionPage *old = g_hash_table_lookup(c->view->completion_pages, name);
  FkRecord *record = fk_record_new(FK_STORE_KEY_COMPLETIONS);
  record->completions = g_steal_pointer(&batch->page);
  fk_transaction_guard(batch->transaction, fk_store_key_path(FK_STORE_KEY_COMPLETIONS, name),
                       old ? old->rev : (FkRev){0});
  fk_transaction_put(batch->transaction, fk_store_key_path(FK_STORE_KEY_COMPLETIONS, name), record,
                     (FkRev){0});
}

/* Returns how many more writes the transaction may have for finalizing this job. The transaction's writes are
 * limited to the unused write budget: a larger transaction would wait for budget, and with a busy store might
 * wait forever. The leader's periodic sweep finalizes the jobs that aren't finalized here. The budget doesn't
 * limit a job with dependents, since the dependents can't start until the job's terminal state is written. */
static guint writes_left(FkController *c, const FkOutput *transaction, const FkJob *job) {
  guint max = c->settings->transaction_ops_max;
  if (!fk_dependency_graph_has_dependents(c->view->dependencies, job->spec->id))
    max = (guint)CLAMP(c->launches.launch_writes_available, 1, max);
  return max > transaction->writes->len ? max - transaction->writes->len : 0;
}

/* Returns whether the job can be finalized with this batch: the batch ends the job's last allocations, and
 * the job is cancelled or all of its tasks are done. A cancelled job isn't finalized while many services
 * wait, since the store's writes go to the services first (fk_services_have_priority). */
static gboolean completes_job(FkController *c, const FkJob *job, const JobCount *count) {
  if (job->allocated != count->ended)
    return FALSE;
  return job->cancelled ? !fk_services_have_priority(c) : job->done + count->done == job->spec->tasks;
}

/* Finalizes the jobs that the batch completes, in the same transaction, as far as the transaction's limits on
 * writes and guards allow. */
static void batch_finalize_jobs(FkController *c, Batch *batch) {
  FkOutput *transaction = batch->transaction;
  guint guards_max = GUARDS_PER_OP * c->settings->transaction_ops_max;
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init(&iter, batch->jobs);
  while (g_hash_table_iter_next(&iter, &key, &value)) {
    FkJob *job = key;
    guint left = writes_left(c, transaction, job);
    if (completes_job(c, job, value) && left >= FINALIZE_WRITES + job->chunk_count &&
        transaction->guards->len + 1 < guards_max)
      fk_transaction_finalize_job(c, transaction, job, left);
  }
}

/* ---- periodic writes ---- */

/* Returns the completion's job, or NULL if the completion needn't or can't be written any more: the machine
 * or the job is gone, a guarded completion's shard has a new revision, or the view no longer shows the
 * allocation. */
static FkJob *job_to_complete(FkController *c, const FkCompletion *completion) {
  const FkMachine *machine = fk_view_find_machine(c->view, completion->machine);
  FkJob *job = fk_view_find_job(c->view, completion->job);
  if (!machine || !job)
    return NULL;
  if (completion->shard_id && (!machine->shard || !fk_rev_equal(completion->shard_rev, machine->shard->rev)))
    return NULL;
  const FkChunk *chunk = job->chunks[completion->task / job->spec->chunk_tasks];
  const FkAllocation *allocation = chunk ? fk_chunk_find_allocation(chunk, completion->task) : NULL;
  gboolean is_current = allocation && allocation->attempt.n == completion->attempt.n &&
                        allocation->machine == completion->machine;
  return is_current ? job : NULL;
}

/* Adds pending completions to the batch until it is full, and drops those for which job_to_complete returns
 * NULL. Returns FALSE if no page has space. */
static gboolean batch_fill(FkController *c, Batch *batch) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->completions.pending);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkCompletion *completion = value;
    FkJob *job = job_to_complete(c, completion);
    if (!job) {
      adjust_pending_count(c, completion->machine, -1);
      g_hash_table_iter_remove(&iter);
      continue;
    }
    if (!batch->transaction && !batch_open(c, batch))
      return FALSE;
    if (batch_is_full(c, batch))
      return TRUE;
    batch_add(batch, job, completion);
  }
  return TRUE;
}

static void page_written(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch, GPtrArray *failed) {
  c->completions.writing = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->completions.wait_rev = epoch;
  else
    c->completions.write_after = fk_write_retry_at(c);
}

static gboolean is_due(FkController *c) {
  return !c->completions.writing && g_hash_table_size(c->completions.pending) &&
         c->view->applied.n >= c->completions.wait_rev.n &&
         (fk_time_reached(c->now, c->completions.write_after) || c->completions.urgent);
}

void fk_completions_tick(FkController *c) {
  if (!is_due(c))
    return;
  g_auto(Batch) batch = {.jobs = g_hash_table_new_full(fk_job_hash, g_direct_equal, NULL, g_free)};
  if (!batch_fill(c, &batch) || !batch.transaction)
    return;
  batch_put_page(c, &batch);
  batch_finalize_jobs(c, &batch);
  c->completions.write_after = fk_time_add(c->now, fk_write_pace_s(c, 1, WRITE_SHARE));
  c->completions.urgent = FALSE;
  c->completions.writing = TRUE;
  fk_transaction_send(c, batch.transaction, page_written, NULL, NULL);
}
