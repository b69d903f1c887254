/* The ends of bookings, as this home has proof of them. They gather, and one put writes many of them down, in
 * a page of this controller's own: it alone writes there, so the ends of a hundred jobs' tasks cost one put
 * and no conflict. A page keeps an end until the chunk's own record says so, or the job is over. */
#include "core/controller_internal.h"

#include <string.h>

#define WRITE_SHARE 0.1 /* of the store's write budget, all controllers together */
#define PAGES_MAX 64
#define FULL 0.5 /* of a value's limit: the next page's turn */

struct FkEnding {
  const char *machine; /* interned */
  const char *group;   /* interned, NULL: no claim to guard */
  FkRev rev;           /* the claim that the proof stands on */
  char *job;
  guint32 task;
  FkAttempt attempt;
  FkEndHow how;
};

void fk_ending_free(gpointer p) {
  FkEnding *e = p;
  g_free(e->job);
  g_free(e);
}

char *fk_attempt_key(const char *job, guint32 task, FkAttempt attempt) {
  return g_strdup_printf("%s/%u#%" G_GUINT64_FORMAT, job, task, attempt.n);
}

/* We have proof that this booking has ended, and will ask, or have asked, the store to end it: somebody may
 * have started the task elsewhere already, so it must not start here again, whatever our view still shows.
 * The end is guarded by our claim, so that the view of a later claim settles it. */
gboolean fk_ending(FkController *c, const FkMachine *m, const FkBookRef *b) {
  /* asked of every booking, whenever a machine is looked at: hardly any machine has an end to be written */
  if (!g_hash_table_contains(c->ending_on, m->id))
    return FALSE;
  g_autofree char *key = fk_attempt_key(b->job->spec->id, b->task, b->attempt);
  const FkEnding *e = g_hash_table_lookup(c->ended, key);
  return e && (!e->group || (m->group && fk_rev_eq(e->rev, m->group->rev)));
}

static void count_on(FkController *c, const char *machine, int n) {
  int now = GPOINTER_TO_INT(g_hash_table_lookup(c->ending_on, machine)) + n;
  if (now > 0)
    g_hash_table_insert(c->ending_on, (gpointer)machine, GINT_TO_POINTER(now));
  else
    g_hash_table_remove(c->ending_on, machine);
}

void fk_ends_clear(FkController *c) {
  g_hash_table_remove_all(c->ended);
  g_hash_table_remove_all(c->ending_on);
}

void fk_end_book(FkController *c, const FkMachine *m, const FkBookRef *b, FkEndHow how, gboolean guarded) {
  FkEnding *e = g_new0(FkEnding, 1);
  *e = (FkEnding){m->id,
                  guarded ? m->group->id : NULL,
                  guarded ? m->group->rev : (FkRev){0},
                  g_strdup(b->job->spec->id),
                  b->task,
                  b->attempt,
                  how};
  char *key = fk_attempt_key(e->job, e->task, e->attempt);
  const FkEnding *before = g_hash_table_lookup(c->ended, key);
  if (before)
    count_on(c, before->machine, -1);
  count_on(c, e->machine, +1);
  g_hash_table_replace(c->ended, key, e);
  if (how != FK_END_DONE && !b->job->cancelled && (b->stop || b->job->spec->shape == FK_SHAPE_SERVICE))
    c->ends_urgent = TRUE;
}

/* What a page must still say: ends that the chunks' own records don't show. */
static void keep_needed(FkController *c, GPtrArray *out, const FkEnds *e) {
  const char *slash = strrchr(e->chunk, '/');
  g_autofree char *id = g_strndup(e->chunk, slash ? slash - e->chunk : 0);
  FkJob *j = slash ? fk_view_job(c->view, id) : NULL;
  guint64 index = slash ? g_ascii_strtoull(slash + 1, NULL, 10) : 0;
  if (!j || index >= j->n_chunks || !j->bases[index])
    return;
  const FkChunk *base = j->bases[index];
  FkEnds *k = fk_ends_new(e->chunk);
  gboolean any = FALSE;
  g_byte_array_set_size(k->done, base->count);
  memset(k->done->data, 0, base->count);
  for (guint i = 0; i < MIN(e->done->len, base->count); i++)
    if (e->done->data[i] && !base->done[i] && fk_chunk_find(base, base->first + i))
      any = k->done->data[i] = 1;
  for (guint i = 0; i < e->released->len; i++) {
    FkTry t = g_array_index(e->released, FkTry, i);
    FkBooking *b = fk_chunk_find(base, t.task);
    if (b && b->attempt.n == t.attempt.n) {
      g_array_append_val(k->released, t);
      any = TRUE;
    }
  }
  if (any)
    g_ptr_array_add(out, k);
  else
    fk_ends_free(k);
}

static gsize ends_size(const FkEnds *e) {
  return strlen(e->chunk) + 20 + e->done->len / 4 + e->released->len * 10;
}

static char *page_name(FkController *c, guint n) { return g_strdup_printf("%s/%u", c->settings->node, n); }

/* The page to write next: the one written last, until it is half full. */
static GPtrArray *open_page(FkController *c, gsize *size) {
  for (guint tries = 0; tries < PAGES_MAX; tries++) {
    g_autofree char *name = page_name(c, c->ends_page);
    FkEndPage *page = g_hash_table_lookup(c->view->end_pages, name);
    g_autoptr(GPtrArray) kept = g_ptr_array_new_with_free_func(fk_ends_free);
    *size = 2;
    for (guint i = 0; page && i < page->ends->len; i++)
      keep_needed(c, kept, page->ends->pdata[i]);
    for (guint i = 0; i < kept->len; i++)
      *size += ends_size(kept->pdata[i]);
    if (*size < FULL * 1000 * c->settings->value_kb)
      return g_steal_pointer(&kept);
    /* a small page is likelier among the first */
    c->ends_page = tries || !c->ends_page ? c->ends_page + 1 : 0;
    if (c->ends_page >= PAGES_MAX)
      c->ends_page = 0;
  }
  return NULL;
}

static FkEnds *ends_of(GPtrArray *page, const char *chunk, const FkChunk *base, gsize *size) {
  for (guint i = 0; i < page->len; i++)
    if (g_str_equal(((FkEnds *)page->pdata[i])->chunk, chunk))
      return page->pdata[i];
  FkEnds *e = fk_ends_new(chunk);
  g_byte_array_set_size(e->done, base->count);
  memset(e->done->data, 0, base->count);
  *size += ends_size(e);
  g_ptr_array_add(page, e);
  return e;
}

static void ends_written(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->ends_sending = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->ends_wait = epoch;
  else
    c->ends_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.2, 0.5));
}

/* Whether there is still something to write down about it. */
static FkJob *pending_job(FkController *c, const FkEnding *e) {
  FkMachine *m = fk_view_machine(c->view, e->machine);
  FkJob *j = fk_view_job(c->view, e->job);
  if (!m || !j || (e->group && (!m->group || !fk_rev_eq(e->rev, m->group->rev))))
    return NULL;
  const FkChunk *ch = j->chunks[e->task / j->spec->chunk];
  FkBooking *b = ch ? fk_chunk_find(ch, e->task) : NULL;
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
static void finalize_complete(FkController *c, FkOut *t, GHashTable *jobs) {
  GHashTableIter it;
  gpointer job, count;
  g_hash_table_iter_init(&it, jobs);
  while (g_hash_table_iter_next(&it, &job, &count)) {
    FkJob *j = job;
    const Count *n = count;
    /* a large transaction finds no room in a busy store's budget; the sweep takes what is left here. But
     * nothing that needs the job starts before its final is there */
    gboolean needed = fk_deps_needed(c->view->deps, j->spec->id);
    guint max = needed ? c->settings->txn_ops : (guint)CLAMP(c->write_room, 1, c->settings->txn_ops);
    guint left = max > t->writes->len ? max - t->writes->len : 0;
    if (j->booked == n->ended &&
        (j->cancelled ? !fk_services_first(c) : j->done + n->done == j->spec->tasks) &&
        left >= 2 + j->n_chunks && t->guards->len + 1 < 4 * c->settings->txn_ops)
      fk_txn_finalize(c, t, j, left);
  }
}

void fk_ends_tick(FkController *c) {
  if (c->ends_sending || !g_hash_table_size(c->ended) || c->view->applied.n < c->ends_wait.n ||
      (!fk_time_reached(c->now, c->ends_after) && !c->ends_urgent))
    return;
  gsize size = 0, limit = (gsize)(900 * c->settings->value_kb);
  g_autoptr(GPtrArray) page = NULL;
  g_autoptr(GHashTable) jobs = g_hash_table_new_full(fk_job_hash, g_direct_equal, NULL, g_free);
  FkOut *t = NULL;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->ended);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkEnding *e = p;
    FkJob *j = pending_job(c, e);
    if (!j) {
      count_on(c, e->machine, -1);
      g_hash_table_iter_remove(&it);
      continue;
    }
    if (!page && !(page = open_page(c, &size)))
      return;
    if (!t)
      t = fk_txn_new(c, FK_PRIO_CLAIM); /* before launches: what ends makes room for them */
    if (size > limit || t->guards->len + 12 > 4 * c->settings->txn_ops)
      break;
    guint32 index = e->task / j->spec->chunk;
    const FkChunk *base = j->bases[index];
    g_autofree char *chunk = g_strdup_printf("%s/%u", e->job, index);
    FkEnds *ends = ends_of(page, chunk, base, &size);
    if (e->how == FK_END_DONE) {
      ends->done->data[e->task - base->first] = 1;
    } else {
      FkTry try = {e->task, e->how == FK_END_FAILED, e->attempt};
      g_array_append_val(ends->released, try);
      size += 10;
    }
    if (e->group)
      fk_txn_guard(t, fk_key(FK_KEY_GROUP, e->group), e->rev);
    Count *n = count_of(jobs, j);
    n->ended++;
    n->done += e->how == FK_END_DONE;
  }
  if (!t)
    return;
  g_autofree char *name = page_name(c, c->ends_page);
  FkEndPage *old = g_hash_table_lookup(c->view->end_pages, name);
  FkRecord *r = fk_record_new(FK_KEY_ENDS);
  r->ends = g_steal_pointer(&page);
  fk_txn_guard(t, fk_key(FK_KEY_ENDS, name), old ? old->rev : (FkRev){0});
  fk_txn_put(t, fk_key(FK_KEY_ENDS, name), r, (FkRev){0});
  finalize_complete(c, t, jobs);
  c->ends_after = fk_time_add(c->now, fk_pace_s(c, 1, WRITE_SHARE));
  c->ends_urgent = FALSE;
  c->ends_sending = TRUE;
  fk_txn_send(c, t, ends_written, NULL, NULL);
}
