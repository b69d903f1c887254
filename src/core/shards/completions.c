/* Completions: the ends of allocations, as this owner has proof of them. They gather, and one write records
 * many of them, in a page of this controller's own: it alone writes there, so the completions of a hundred
 * jobs' tasks cost one write and no conflict. A page keeps a completion until the chunk's own record says so,
 * or the job is over. */
#include "core/controller_internal.h"

#include <string.h>

#define WRITE_SHARE 0.1 /* of the store's write budget, all controllers together */
#define PAGES_MAX 64

/* Sizes are estimates, in bytes; the limits are shares of a value's limit, which is in kilobytes. */
#define PAGE_OPEN_BYTES_PER_KB 500.0  /* a page that is larger is left for the next one */
#define PAGE_LIMIT_BYTES_PER_KB 900.0 /* ... and no page grows beyond this */
#define PAGE_OVERHEAD_BYTES 2
#define RECORD_OVERHEAD_BYTES 20
#define DONE_TASKS_PER_BYTE 4
#define RELEASED_ATTEMPT_BYTES 10

#define GUARDS_PER_OP 4 /* a transaction may have so many conditions for each operation allowed */
#define GUARDS_RESERVED 12
#define FINALIZE_WRITES 2 /* besides the job's chunks */

struct FkCompletion {
  const char *machine;  /* interned */
  const char *shard_id; /* interned; NULL: no ownership to guard */
  FkRev shard_rev;      /* the fencing token that the proof stands on */
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

/* We have proof that this allocation has ended, and will ask, or have asked, the store to end it: somebody
 * may have started the task elsewhere already, so it must not start here again, whatever our view still
 * shows. The write is guarded by our ownership of the shard, so that the view of a later owner settles it. */
gboolean fk_completion_is_pending(FkController *c, const FkMachine *machine,
                                  const FkAllocationRef *allocation) {
  /* This is asked of every allocation whenever a worker is checked; hardly any machine has a completion. */
  if (!g_hash_table_contains(c->completions.pending_by_machine, machine->id))
    return FALSE;
  g_autofree char *key = fk_attempt_key(allocation->job->spec->id, allocation->task, allocation->attempt);
  const FkCompletion *completion = g_hash_table_lookup(c->completions.pending, key);
  if (!completion)
    return FALSE;
  return !completion->shard_id ||
         (machine->shard && fk_rev_equal(completion->shard_rev, machine->shard->rev));
}

static void count_pending_on(FkController *c, const char *machine, int change) {
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

/* Whether somebody waits for the task to be started elsewhere. */
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
    count_pending_on(c, replaced->machine, -1);
  count_pending_on(c, completion->machine, +1);
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

/* The chunk's own record in the view, or NULL if there is none. `path`: "job/index". */
static const FkChunk *find_base_chunk(FkController *c, const char *path) {
  const char *slash = strrchr(path, '/');
  if (!slash)
    return NULL;
  g_autofree char *id = g_strndup(path, slash - path);
  const FkJob *job = fk_view_find_job(c->view, id);
  guint64 index = g_ascii_strtoull(slash + 1, NULL, 10);
  return job && index < job->chunk_count ? job->base_chunks[index] : NULL;
}

/* Adds to `unrecorded` what a page must still say of a chunk: completions that its own record doesn't show.
 */
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

/* What the page must still say, and its size. */
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

/* The page to write next: the one written last, until it is half full; or NULL if all are. */
static GPtrArray *open_page(FkController *c, gsize *size) {
  for (guint attempts = 0; attempts < PAGES_MAX; attempts++) {
    g_autoptr(GPtrArray) page = read_page(c, c->completions.page, size);
    if (*size < PAGE_OPEN_BYTES_PER_KB * c->settings->value_kb)
      return g_steal_pointer(&page);
    /* a small page is likelier among the first */
    c->completions.page = attempts || !c->completions.page ? c->completions.page + 1 : 0;
    if (c->completions.page >= PAGES_MAX)
      c->completions.page = 0;
  }
  return NULL;
}

/* ---- one write ---- */

/* A page, and the transaction that writes it. */
typedef struct {
  FkOutput *transaction; /* NULL: nothing is to be written yet */
  GPtrArray *page;       /* FkCompletionRecord */
  gsize size;            /* of the page */
  GHashTable *jobs;      /* FkJob -> JobCount* */
} Batch;

/* What a batch says of one job: how many of its allocations have ended, and how many tasks are done so. */
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
  /* before launches: what ends makes room for them */
  batch->transaction = fk_transaction_new(c, FK_PRIORITY_SHARD);
  return TRUE;
}

static gboolean batch_is_full(FkController *c, const Batch *batch) {
  gsize limit = (gsize)(PAGE_LIMIT_BYTES_PER_KB * c->settings->value_kb);
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

/* How many more writes the transaction may have to finalize this job. A large transaction finds no room in a
 * busy store's budget; the sweep takes what is left here. But nothing that needs the job starts before its
 * terminal state is there. */
static guint writes_left(FkController *c, const FkOutput *transaction, const FkJob *job) {
  guint max = c->settings->transaction_ops_max;
  if (!fk_dependency_graph_has_dependents(c->view->dependencies, job->spec->id))
    max = (guint)CLAMP(c->launches.launch_writes_available, 1, max);
  return max > transaction->writes->len ? max - transaction->writes->len : 0;
}

/* Whether nothing of the job is left once the batch is written. */
static gboolean completes_job(FkController *c, const FkJob *job, const JobCount *count) {
  if (job->allocated != count->ended)
    return FALSE;
  return job->cancelled ? !fk_services_have_priority(c) : job->done + count->done == job->spec->tasks;
}

/* The last completions of a job finalize it in the same transaction. */
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

/* ---- the tick ---- */

/* The job of a completion that is still to be written, or NULL. */
static FkJob *job_to_complete(FkController *c, const FkCompletion *completion) {
  const FkMachine *machine = fk_view_find_machine(c->view, completion->machine);
  FkJob *job = fk_view_find_job(c->view, completion->job);
  if (!machine || !job)
    return NULL;
  if (completion->shard_id && (!machine->shard || !fk_rev_equal(completion->shard_rev, machine->shard->rev)))
    return NULL;
  const FkChunk *chunk = job->chunks[completion->task / job->spec->chunk_tasks];
  const FkAllocation *allocation = chunk ? fk_chunk_find_allocation(chunk, completion->task) : NULL;
  gboolean stands = allocation && allocation->attempt.n == completion->attempt.n &&
                    allocation->machine == completion->machine;
  return stands ? job : NULL;
}

/* Adds what is pending, and drops what needn't be written any more. Returns FALSE when no page has room. */
static gboolean batch_fill(FkController *c, Batch *batch) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->completions.pending);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const FkCompletion *completion = value;
    FkJob *job = job_to_complete(c, completion);
    if (!job) {
      count_pending_on(c, completion->machine, -1);
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
