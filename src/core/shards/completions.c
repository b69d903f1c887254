/* The ends of bookings, as this home has proof of them. They gather, and one put writes many of them down, in
 * a page of this controller's own: it alone writes there, so the ends of a hundred jobs' tasks cost one put
 * and no conflict. A page keeps an end until the chunk's own record says so, or the job is over. */
#include "core/controller_internal.h"

#include <string.h>

#define WRITE_SHARE 0.1 /* of the store's write budget, all controllers together */
#define PAGES_MAX 64
#define PAGE_FILL_SHARE 0.5 /* of a value's limit: the next page's turn */

struct FkCompletion {
  const char *machine; /* interned */
  const char *group;   /* interned, NULL: no claim to guard */
  FkRev rev;           /* the claim that the proof stands on */
  char *job;
  guint32 task;
  FkAttempt attempt;
  FkCompletionKind how;
};

void fk_completion_free(gpointer p) {
  FkCompletion *e = p;
  g_free(e->job);
  g_free(e);
}

char *fk_attempt_key(const char *job, guint32 task, FkAttempt attempt) {
  return g_strdup_printf("%s/%u#%" G_GUINT64_FORMAT, job, task, attempt.n);
}

/* We have proof that this booking has ended, and will ask, or have asked, the store to end it: somebody may
 * have started the task elsewhere already, so it must not start here again, whatever our view still shows.
 * The end is guarded by our claim, so that the view of a later claim settles it. */
gboolean fk_completion_is_pending(FkController *c, const FkMachine *m, const FkAllocationRef *b) {
  /* asked of every booking, whenever a machine is looked at: hardly any machine has an end to be written */
  if (!g_hash_table_contains(c->completions.pending_by_machine, m->id))
    return FALSE;
  g_autofree char *key = fk_attempt_key(b->job->spec->id, b->task, b->attempt);
  const FkCompletion *e = g_hash_table_lookup(c->completions.pending, key);
  return e && (!e->group || (m->shard && fk_rev_equal(e->rev, m->shard->rev)));
}

static void count_pending_on(FkController *c, const char *machine, int n) {
  int now = GPOINTER_TO_INT(g_hash_table_lookup(c->completions.pending_by_machine, machine)) + n;
  if (now > 0)
    g_hash_table_insert(c->completions.pending_by_machine, (gpointer)machine, GINT_TO_POINTER(now));
  else
    g_hash_table_remove(c->completions.pending_by_machine, machine);
}

void fk_completions_clear(FkController *c) {
  g_hash_table_remove_all(c->completions.pending);
  g_hash_table_remove_all(c->completions.pending_by_machine);
}

void fk_completions_add(FkController *c, const FkMachine *m, const FkAllocationRef *b, FkCompletionKind how,
                        gboolean guarded) {
  FkCompletion *e = g_new0(FkCompletion, 1);
  *e = (FkCompletion){m->id,
                      guarded ? m->shard->id : NULL,
                      guarded ? m->shard->rev : (FkRev){0},
                      g_strdup(b->job->spec->id),
                      b->task,
                      b->attempt,
                      how};
  char *key = fk_attempt_key(e->job, e->task, e->attempt);
  const FkCompletion *before = g_hash_table_lookup(c->completions.pending, key);
  if (before)
    count_pending_on(c, before->machine, -1);
  count_pending_on(c, e->machine, +1);
  g_hash_table_replace(c->completions.pending, key, e);
  if (how != FK_COMPLETION_DONE && !b->job->cancelled &&
      (b->stop_requested || b->job->spec->shape == FK_SHAPE_SERVICE))
    c->completions.urgent = TRUE;
}

/* What a page must still say: ends that the chunks' own records don't show. */
static void keep_unrecorded(FkController *c, GPtrArray *out, const FkCompletionRecord *e) {
  const char *slash = strrchr(e->chunk, '/');
  g_autofree char *id = g_strndup(e->chunk, slash ? slash - e->chunk : 0);
  FkJob *j = slash ? fk_view_find_job(c->view, id) : NULL;
  guint64 index = slash ? g_ascii_strtoull(slash + 1, NULL, 10) : 0;
  if (!j || index >= j->chunk_count || !j->base_chunks[index])
    return;
  const FkChunk *base = j->base_chunks[index];
  FkCompletionRecord *k = fk_completion_record_new(e->chunk);
  gboolean any = FALSE;
  g_byte_array_set_size(k->done, base->task_count);
  memset(k->done->data, 0, base->task_count);
  for (guint i = 0; i < MIN(e->done->len, base->task_count); i++)
    if (e->done->data[i] && !base->done[i] && fk_chunk_find_allocation(base, base->first_task + i))
      any = k->done->data[i] = 1;
  for (guint i = 0; i < e->released->len; i++) {
    FkReleasedAttempt t = g_array_index(e->released, FkReleasedAttempt, i);
    FkAllocation *b = fk_chunk_find_allocation(base, t.task);
    if (b && b->attempt.n == t.attempt.n) {
      g_array_append_val(k->released, t);
      any = TRUE;
    }
  }
  if (any)
    g_ptr_array_add(out, k);
  else
    fk_completion_record_free(k);
}

static gsize completion_record_size(const FkCompletionRecord *e) {
  return strlen(e->chunk) + 20 + e->done->len / 4 + e->released->len * 10;
}

static char *page_name(FkController *c, guint n) { return g_strdup_printf("%s/%u", c->settings->node, n); }

/* The page to write next: the one written last, until it is half full. */
static GPtrArray *open_page(FkController *c, gsize *size) {
  for (guint tries = 0; tries < PAGES_MAX; tries++) {
    g_autofree char *name = page_name(c, c->completions.page);
    FkCompletionPage *page = g_hash_table_lookup(c->view->completion_pages, name);
    g_autoptr(GPtrArray) kept = g_ptr_array_new_with_free_func(fk_completion_record_free);
    *size = 2;
    for (guint i = 0; page && i < page->ends->len; i++)
      keep_unrecorded(c, kept, page->ends->pdata[i]);
    for (guint i = 0; i < kept->len; i++)
      *size += completion_record_size(kept->pdata[i]);
    if (*size < PAGE_FILL_SHARE * 1000 * c->settings->value_kb)
      return g_steal_pointer(&kept);
    /* a small page is likelier among the first */
    c->completions.page = tries || !c->completions.page ? c->completions.page + 1 : 0;
    if (c->completions.page >= PAGES_MAX)
      c->completions.page = 0;
  }
  return NULL;
}

static FkCompletionRecord *completion_record_for(GPtrArray *page, const char *chunk, const FkChunk *base,
                                                 gsize *size) {
  for (guint i = 0; i < page->len; i++)
    if (g_str_equal(((FkCompletionRecord *)page->pdata[i])->chunk, chunk))
      return page->pdata[i];
  FkCompletionRecord *e = fk_completion_record_new(chunk);
  g_byte_array_set_size(e->done, base->task_count);
  memset(e->done->data, 0, base->task_count);
  *size += completion_record_size(e);
  g_ptr_array_add(page, e);
  return e;
}

static void completions_written(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->completions.writing = FALSE;
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->completions.wait_rev = epoch;
  else
    c->completions.write_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.2, 0.5));
}

/* Whether there is still something to write down about it. */
static FkJob *job_of_pending(FkController *c, const FkCompletion *e) {
  FkMachine *m = fk_view_find_machine(c->view, e->machine);
  FkJob *j = fk_view_find_job(c->view, e->job);
  if (!m || !j || (e->group && (!m->shard || !fk_rev_equal(e->rev, m->shard->rev))))
    return NULL;
  const FkChunk *ch = j->chunks[e->task / j->spec->chunk_tasks];
  FkAllocation *b = ch ? fk_chunk_find_allocation(ch, e->task) : NULL;
  return b && b->attempt.n == e->attempt.n && b->machine == e->machine ? j : NULL;
}

/* What a transaction says of one job: how many of its bookings have ended, and how many tasks are done so. */
typedef struct {
  guint ended, done;
} Count;

static Count *count_of(GHashTable *jobs, FkJob *j) {
  Count *n = g_hash_table_lookup(jobs, j);
  if (!n)
    g_hash_table_insert(jobs, j, n = g_new0(Count, 1));
  return n;
}

/* The last ends of a job end it in the same transaction. */
static void finalize_complete_jobs(FkController *c, FkOutput *t, GHashTable *jobs) {
  GHashTableIter it;
  gpointer job, count;
  g_hash_table_iter_init(&it, jobs);
  while (g_hash_table_iter_next(&it, &job, &count)) {
    FkJob *j = job;
    const Count *n = count;
    /* a large transaction finds no room in a busy store's budget; the sweep takes what is left here. But
     * nothing that needs the job starts before its final is there */
    gboolean needed = fk_dependency_graph_has_dependents(c->view->dependencies, j->spec->id);
    guint max = needed ? c->settings->transaction_ops_max
                       : (guint)CLAMP(c->launches.write_room, 1, c->settings->transaction_ops_max);
    guint left = max > t->writes->len ? max - t->writes->len : 0;
    if (j->allocated == n->ended &&
        (j->cancelled ? !fk_services_have_priority(c) : j->done + n->done == j->spec->tasks) &&
        left >= 2 + j->chunk_count && t->guards->len + 1 < 4 * c->settings->transaction_ops_max)
      fk_transaction_finalize_job(c, t, j, left);
  }
}

void fk_completions_tick(FkController *c) {
  if (c->completions.writing || !g_hash_table_size(c->completions.pending) ||
      c->view->applied.n < c->completions.wait_rev.n ||
      (!fk_time_reached(c->now, c->completions.write_after) && !c->completions.urgent))
    return;
  gsize size = 0, limit = (gsize)(900 * c->settings->value_kb);
  g_autoptr(GPtrArray) page = NULL;
  g_autoptr(GHashTable) jobs = g_hash_table_new_full(fk_job_hash, g_direct_equal, NULL, g_free);
  FkOutput *t = NULL;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->completions.pending);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkCompletion *e = p;
    FkJob *j = job_of_pending(c, e);
    if (!j) {
      count_pending_on(c, e->machine, -1);
      g_hash_table_iter_remove(&it);
      continue;
    }
    if (!page && !(page = open_page(c, &size)))
      return;
    if (!t)
      t = fk_transaction_new(c, FK_PRIORITY_SHARD); /* before launches: what ends makes room for them */
    if (size > limit || t->guards->len + 12 > 4 * c->settings->transaction_ops_max)
      break;
    guint32 index = e->task / j->spec->chunk_tasks;
    const FkChunk *base = j->base_chunks[index];
    g_autofree char *chunk = g_strdup_printf("%s/%u", e->job, index);
    FkCompletionRecord *ends = completion_record_for(page, chunk, base, &size);
    if (e->how == FK_COMPLETION_DONE) {
      ends->done->data[e->task - base->first_task] = 1;
    } else {
      FkReleasedAttempt try = {e->task, e->how == FK_COMPLETION_FAILED, e->attempt};
      g_array_append_val(ends->released, try);
      size += 10;
    }
    if (e->group)
      fk_transaction_guard(t, fk_key_path(FK_KEY_SHARD, e->group), e->rev);
    Count *n = count_of(jobs, j);
    n->ended++;
    n->done += e->how == FK_COMPLETION_DONE;
  }
  if (!t)
    return;
  g_autofree char *name = page_name(c, c->completions.page);
  FkCompletionPage *old = g_hash_table_lookup(c->view->completion_pages, name);
  FkRecord *r = fk_record_new(FK_KEY_COMPLETIONS);
  r->completions = g_steal_pointer(&page);
  fk_transaction_guard(t, fk_key_path(FK_KEY_COMPLETIONS, name), old ? old->rev : (FkRev){0});
  fk_transaction_put(t, fk_key_path(FK_KEY_COMPLETIONS, name), r, (FkRev){0});
  finalize_complete_jobs(c, t, jobs);
  c->completions.write_after = fk_time_add(c->now, fk_write_pace_s(c, 1, WRITE_SHARE));
  c->completions.urgent = FALSE;
  c->completions.writing = TRUE;
  fk_transaction_send(c, t, completions_written, NULL, NULL);
}
