/* The machines' descriptions, one page a group: machines join, are marked, and go. Changes gather, and
 * several pages are written by one transaction, so that a hundred machines cost a few puts. */
#include "core/controller_internal.h"

#include <string.h>

#define PAGES_PER_TRANSACTION_MIN 3 /* a transaction, and more as the budget allows */
#define PAGES_PER_TRANSACTION_MAX 20
#define TRANSACTION_BYTES_MAX 48000
#define WRITE_SHARE 0.4     /* of the store's write budget, all controllers together */
#define REMOVAL_DELAY_S 6.0 /* nobody waits for a machine's description to go: many go by one put */

#define PACE_WITH_ROOM_S 0.15

double fk_write_pace_s(FkController *c, guint writes, double share) {
  double pace = writes * (double)fk_controller_live_count(c) / (share * c->settings->store_write_rps);
  /* while the budget is hardly used there is nothing to save for */
  gboolean plenty = c->launches.write_room > 0.4 * fk_store_write_share(c) * c->settings->store_write_rps;
  return plenty ? MIN(pace, PACE_WITH_ROOM_S) : pace;
}

static void mark_page_dirty(FkController *c, FkShard *g) {
  if (!g->page_dirty)
    g->page_dirty_since = c->now;
  g->page_dirty = TRUE;
}

/* A home asks for a machine that reports to it to be written down. */
void fk_machine_registry_add(FkController *c, FkMachine *m, const FkHeartbeat *r) {
  if (m->record || m->pending_record || !m->shard)
    return;
  m->pending_record = g_new0(FkMachineRecord, 1);
  m->pending_record->id = g_strdup(m->id);
  m->pending_record->addr = g_strdup(r->addr);
  m->pending_record->type = g_intern_string(r->type);
  m->pending_record->zone = g_intern_string(r->zone);
  m->pending_record->spot = r->spot;
  m->pending_record->notice_s = -1;
  mark_page_dirty(c, m->shard);
}

/* Tells the leader, through the store, why a machine should go; `why` NULL: it needn't any more. */
void fk_machine_registry_set_drain_reason(FkController *c, FkMachine *m, const char *why, double notice_s) {
  if (!m->record || !m->shard)
    return;
  const char *mark = why ? g_intern_string(why) : NULL;
  if (mark == m->drain_reason && !m->pending_drain_reason && !m->pending_clear)
    return;
  if (mark == m->pending_drain_reason && m->pending_clear == !mark)
    return;
  m->pending_drain_reason = mark;
  m->pending_clear = !mark;
  m->pending_notice_s = notice_s;
  mark_page_dirty(c, m->shard);
}

/* The machine is proven gone, and nothing is booked there any more. */
void fk_machine_registry_remove(FkController *c, FkMachine *m) {
  if (!m->record || !m->shard)
    return;
  m->pending_removal = TRUE;
  if (!m->shard->removal_due.us)
    m->shard->removal_due = fk_time_add(c->now, REMOVAL_DELAY_S);
}

/* A group's page as it should be. */
typedef struct {
  GPtrArray *members[FK_SHARD_PAGES_MAX]; /* FkMachineRecord; NULL: nobody */
  guint bytes[FK_SHARD_PAGES_MAX];
  gboolean changed[FK_SHARD_PAGES_MAX];
} Page;

static void page_clear(Page *p) {
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++)
    if (p->members[i])
      g_ptr_array_unref(p->members[i]);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(Page, page_clear)

/* The part that the machine is written in: its own while that has room, else the first that has. Before all
 * controllers can read them there is one part, which may be as large as it is allowed to be now.
 * FK_SHARD_PAGES_MAX: there is no room. */
static guint part_for(FkController *c, const Page *p, const FkMachine *m, guint size) {
  gboolean parts = fk_job_dependencies_are_supported(c);
  guint limit = FK_MACHINE_PAGE_MAX_BYTES(parts ? c->settings->value_kb : c->settings->current_value_kb);
  if (m->record && p->bytes[m->page_part] + size <= limit)
    return m->page_part;
  for (guint i = 0; i < (parts ? FK_SHARD_PAGES_MAX : 1); i++)
    if (p->bytes[i] + size <= limit)
      return i;
  return m->record && !parts ? m->page_part : FK_SHARD_PAGES_MAX;
}

static void page_add(Page *p, guint part, FkMachineRecord *r, guint size) {
  if (!p->members[part])
    p->members[part] = g_ptr_array_new_with_free_func(fk_machine_record_free);
  g_ptr_array_add(p->members[part], r);
  p->bytes[part] += size;
}

/* What the group's page should be; FALSE: it is so already. What was written under larger limits is divided
 * on the way: who has no room in its part any more moves, by the same transaction. */
static gboolean page_build(FkController *c, FkShard *g, Page *p) {
  gboolean mine = fk_shard_is_owned(c, g), any = FALSE;
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++)
    p->bytes[i] = FK_MACHINE_PAGE_OVERHEAD_BYTES;
  for (guint i = 0; i < g->machines->len; i++) {
    FkMachine *m = g->machines->pdata[i];
    if (m->pending_record && (m->record || !mine))
      g_clear_pointer(&m->pending_record, fk_machine_record_free);
    if (!m->record && !m->pending_record)
      continue;
    const FkMachineRecord *from = m->record ? m->record : m->pending_record;
    guint size = fk_machine_record_bytes(from);
    if (m->pending_removal && m->record && !m->allocations->len) {
      p->changed[m->page_part] = any = TRUE;
      continue;
    }
    guint part = part_for(c, p, m, size);
    if (part == FK_SHARD_PAGES_MAX && !m->record) {
      g_warning("group %s is full: no room for %s", g->id, m->id);
      continue;
    }
    part = MIN(part, FK_SHARD_PAGES_MAX - 1);
    FkMachineRecord *r = fk_machine_record_copy(from);
    r->drain_reason = m->drain_reason;
    r->notice_s = m->notice_s;
    if (m->pending_drain_reason == m->drain_reason)
      m->pending_drain_reason = NULL;
    if (!m->drain_reason)
      m->pending_clear = FALSE;
    gboolean marked = m->pending_drain_reason || m->pending_clear;
    if (marked) {
      r->drain_reason = m->pending_drain_reason;
      r->notice_s = m->pending_notice_s;
    }
    if (!m->record || marked || part != m->page_part)
      p->changed[part] = any = TRUE;
    if (m->record && part != m->page_part)
      p->changed[m->page_part] = TRUE;
    page_add(p, part, r, size);
  }
  return any;
}

/* Its parts that change go into the transaction, together; FALSE: they don't fit beside what is in it. */
static gboolean page_write(FkController *c, FkOutput *t, FkShard *g, Page *p, guint most) {
  guint n = 0;
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++)
    n += p->changed[i];
  /* cppcheck-suppress nullPointerRedundantCheck ; the caller has made the transaction */
  if (t->writes->len && t->writes->len + n > most)
    return FALSE;
  if (fk_shard_is_owned(c, g))
    fk_transaction_guard(t, fk_key_path(FK_KEY_SHARD, g->id), g->rev);
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++) {
    if (!p->changed[i])
      continue;
    FkRecord *r = fk_record_new(FK_KEY_MACHINE_PAGE);
    r->machines = p->members[i] ? g_steal_pointer(&p->members[i])
                                : g_ptr_array_new_with_free_func(fk_machine_record_free);
    fk_transaction_guard(t, fk_key_machine_page_path(g->id, i), g->page_revs[i]);
    fk_transaction_put(t, fk_key_machine_page_path(g->id, i), r, (FkRev){0});
  }
  return TRUE;
}

static void pages_written(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->shards.page_writing = FALSE;
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->shards.page_wait_rev = epoch;
  else
    c->shards.page_write_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.2, 0.5));
}

/* What writing the group's page now brings. In the tables' own order the first groups were dirty again by the
 * time that a write was free, and the last never had their turn: 250 idle machines stood for minutes, each
 * page marking one or two. So the page that settles the most goes first: what tasks wait for, then what costs
 * money, then what only tidies up; and who waits gains, so that one idle machine has its turn as well. */
#define GAIN_JOIN 4.0
#define GAIN_LOST 6.0 /* silent, sick, noticed: what runs there is to go on elsewhere */
#define GAIN_IDLE 1.0
#define GAIN_GONE 0.1
#define GAIN_A_SECOND 0.3

static double machine_gain(const FkMachine *m) {
  if (!m->record)
    return m->pending_record ? GAIN_JOIN : 0;
  if (m->pending_removal && !m->allocations->len)
    return GAIN_GONE;
  if (m->pending_clear)
    return m->drain_reason ? GAIN_JOIN : 0;
  if (!m->pending_drain_reason || m->pending_drain_reason == m->drain_reason)
    return 0;
  gboolean spare = g_str_equal(m->pending_drain_reason, FK_DRAIN_REASON_IDLE) ||
                   g_str_equal(m->pending_drain_reason, FK_DRAIN_REASON_DRAIN);
  return spare ? GAIN_IDLE : GAIN_LOST;
}

typedef struct {
  FkShard *group;
  double gain;
} DuePage;

static int compare_gain(gconstpointer a, gconstpointer b) {
  const DuePage *x = a, *y = b;
  return x->gain != y->gain ? (x->gain > y->gain ? -1 : 1) : g_strcmp0(x->group->id, y->group->id);
}

static GArray *due_pages(FkController *c) {
  GArray *due = g_array_new(FALSE, FALSE, sizeof(DuePage));
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->shards);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkShard *g = p;
    /* what is larger than the limits to come is divided as soon as all can read it so, by its home */
    gboolean divide = g->oversized && fk_shard_is_owned(c, g) && fk_job_dependencies_are_supported(c);
    if (!g->page_dirty && !divide && (!g->removal_due.us || !fk_time_reached(c->now, g->removal_due)))
      continue;
    DuePage d = {g, g->page_dirty ? GAIN_A_SECOND * fk_time_between(g->page_dirty_since, c->now) : 0};
    for (guint i = 0; i < g->machines->len; i++)
      d.gain += machine_gain(g->machines->pdata[i]);
    g_array_append_val(due, d);
  }
  g_array_sort(due, compare_gain);
  return due;
}

void fk_machine_registry_tick(FkController *c) {
  if (c->shards.page_writing || c->view->applied.n < c->shards.page_wait_rev.n ||
      !fk_time_reached(c->now, c->shards.page_write_after))
    return;
  FkOutput *t = NULL;
  guint bytes = 0, most = (guint)CLAMP(c->launches.write_room, PAGES_PER_TRANSACTION_MIN,
                                       MIN(c->settings->transaction_ops_max, PAGES_PER_TRANSACTION_MAX));
  g_autoptr(GArray) due = due_pages(c);
  for (guint i = 0; i < due->len && bytes < TRANSACTION_BYTES_MAX && (!t || t->writes->len < most); i++) {
    FkShard *g = g_array_index(due, DuePage, i).group;
    g_auto(Page) page = {0};
    if (!page_build(c, g, &page)) {
      g->page_dirty = g->oversized = FALSE;
      g->removal_due.us = 0;
      continue;
    }
    if (!t)
      t = fk_transaction_new(c, FK_PRIORITY_LAUNCH);
    if (!page_write(c, t, g, &page, most))
      break;
    g->page_dirty_since = c->now; /* it waits anew, should anything be left */
    for (guint k = 0; k < FK_SHARD_PAGES_MAX; k++)
      bytes += page.changed[k] ? page.bytes[k] : 0;
  }
  if (!t)
    return;
  c->shards.page_write_after = fk_time_add(c->now, MIN(3.0, fk_write_pace_s(c, t->writes->len, WRITE_SHARE)));
  c->shards.page_writing = TRUE;
  fk_transaction_send(c, t, pages_written, NULL, NULL);
}
