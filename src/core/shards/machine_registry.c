/* The machines' descriptions, one page a group: machines join, are marked, and go. Changes gather, and
 * several pages are written by one transaction, so that a hundred machines cost a few puts. */
#include "core/controller_internal.h"

#include <string.h>

#define PAGES_MIN 3 /* a transaction, and more as the budget allows */
#define PAGES_MAX 20
#define BYTES_MAX 48000
#define WRITE_SHARE 0.4 /* of the store's write budget, all controllers together */
#define REMOVE_S 6.0    /* nobody waits for a machine's description to go: many go by one put */

#define UNHURRIED_S 0.15

double fk_pace_s(FkController *c, guint writes, double share) {
  double pace = writes * (double)fk_controllers(c) / (share * c->settings->state_write_rps);
  /* while the budget is hardly used there is nothing to save for */
  gboolean plenty = c->write_room > 0.4 * fk_write_share(c) * c->settings->state_write_rps;
  return plenty ? MIN(pace, UNHURRIED_S) : pace;
}

static void to_write(FkController *c, FkGroup *g) {
  if (!g->dirty)
    g->dirty_since = c->now;
  g->dirty = TRUE;
}

/* A home asks for a machine that reports to it to be written down. */
void fk_roster_join(FkController *c, FkMachine *m, const FkReport *r) {
  if (m->rec || m->joining || !m->group)
    return;
  m->joining = g_new0(FkMachineRec, 1);
  m->joining->id = g_strdup(m->id);
  m->joining->addr = g_strdup(r->addr);
  m->joining->type = g_intern_string(r->type);
  m->joining->zone = g_intern_string(r->zone);
  m->joining->spot = r->spot;
  m->joining->notice_s = -1;
  to_write(c, m->group);
}

/* Tells the leader, through the store, why a machine should go; `why` NULL: it needn't any more. */
void fk_roster_mark(FkController *c, FkMachine *m, const char *why, double notice_s) {
  if (!m->rec || !m->group)
    return;
  const char *mark = why ? g_intern_string(why) : NULL;
  if (mark == m->mark && !m->want_mark && !m->want_clear)
    return;
  if (mark == m->want_mark && m->want_clear == !mark)
    return;
  m->want_mark = mark;
  m->want_clear = !mark;
  m->want_notice_s = notice_s;
  to_write(c, m->group);
}

/* The machine is proven gone, and nothing is booked there any more. */
void fk_roster_remove(FkController *c, FkMachine *m) {
  if (!m->rec || !m->group)
    return;
  m->want_gone = TRUE;
  if (!m->group->lazy.us)
    m->group->lazy = fk_time_add(c->now, REMOVE_S);
}

/* A group's page as it should be. */
typedef struct {
  GPtrArray *members[FK_PARTS]; /* FkMachineRec; NULL: nobody */
  guint bytes[FK_PARTS];
  gboolean changed[FK_PARTS];
} Page;

static void page_clear(Page *p) {
  for (guint i = 0; i < FK_PARTS; i++)
    if (p->members[i])
      g_ptr_array_unref(p->members[i]);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(Page, page_clear)

/* The part that the machine is written in: its own while that has room, else the first that has. Before all
 * controllers can read them there is one part, which may be as large as it is allowed to be now. FK_PARTS:
 * there is no room. */
static guint part_for(FkController *c, const Page *p, const FkMachine *m, guint size) {
  gboolean parts = fk_chains_known(c);
  guint limit = FK_PAGE_LIMIT(parts ? c->settings->value_kb : c->settings->now_value_kb);
  if (m->rec && p->bytes[m->part] + size <= limit)
    return m->part;
  for (guint i = 0; i < (parts ? FK_PARTS : 1); i++)
    if (p->bytes[i] + size <= limit)
      return i;
  return m->rec && !parts ? m->part : FK_PARTS;
}

static void put_in(Page *p, guint part, FkMachineRec *r, guint size) {
  if (!p->members[part])
    p->members[part] = g_ptr_array_new_with_free_func(fk_machine_rec_free);
  g_ptr_array_add(p->members[part], r);
  p->bytes[part] += size;
}

/* What the group's page should be; FALSE: it is so already. What was written under larger limits is divided
 * on the way: who has no room in its part any more moves, by the same transaction. */
static gboolean page_wanted(FkController *c, FkGroup *g, Page *p) {
  gboolean mine = fk_group_mine(c, g), any = FALSE;
  for (guint i = 0; i < FK_PARTS; i++)
    p->bytes[i] = FK_PAGE_BYTES;
  for (guint i = 0; i < g->machines->len; i++) {
    FkMachine *m = g->machines->pdata[i];
    if (m->joining && (m->rec || !mine))
      g_clear_pointer(&m->joining, fk_machine_rec_free);
    if (!m->rec && !m->joining)
      continue;
    const FkMachineRec *from = m->rec ? m->rec : m->joining;
    guint size = fk_machine_rec_bytes(from);
    if (m->want_gone && m->rec && !m->books->len) {
      p->changed[m->part] = any = TRUE;
      continue;
    }
    guint part = part_for(c, p, m, size);
    if (part == FK_PARTS && !m->rec) {
      g_warning("group %s is full: no room for %s", g->id, m->id);
      continue;
    }
    part = MIN(part, FK_PARTS - 1);
    FkMachineRec *r = fk_machine_rec_copy(from);
    r->mark = m->mark;
    r->notice_s = m->notice_s;
    if (m->want_mark == m->mark)
      m->want_mark = NULL;
    if (!m->mark)
      m->want_clear = FALSE;
    gboolean marked = m->want_mark || m->want_clear;
    if (marked) {
      r->mark = m->want_mark;
      r->notice_s = m->want_notice_s;
    }
    if (!m->rec || marked || part != m->part)
      p->changed[part] = any = TRUE;
    if (m->rec && part != m->part)
      p->changed[m->part] = TRUE;
    put_in(p, part, r, size);
  }
  return any;
}

/* Its parts that change go into the transaction, together; FALSE: they don't fit beside what is in it. */
static gboolean page_put(FkController *c, FkOut *t, FkGroup *g, Page *p, guint most) {
  guint n = 0;
  for (guint i = 0; i < FK_PARTS; i++)
    n += p->changed[i];
  /* cppcheck-suppress nullPointerRedundantCheck ; the caller has made the transaction */
  if (t->writes->len && t->writes->len + n > most)
    return FALSE;
  if (fk_group_mine(c, g))
    fk_txn_guard(t, fk_key(FK_KEY_GROUP, g->id), g->rev);
  for (guint i = 0; i < FK_PARTS; i++) {
    if (!p->changed[i])
      continue;
    FkRecord *r = fk_record_new(FK_KEY_PAGE);
    r->members =
        p->members[i] ? g_steal_pointer(&p->members[i]) : g_ptr_array_new_with_free_func(fk_machine_rec_free);
    fk_txn_guard(t, fk_key_page(g->id, i), g->page_rev[i]);
    fk_txn_put(t, fk_key_page(g->id, i), r, (FkRev){0});
  }
  return TRUE;
}

static void written(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->roster_sending = FALSE;
  if (o == FK_OK || o == FK_CONFLICT)
    c->roster_wait = epoch;
  else
    c->roster_after = fk_time_add(c->now, g_rand_double_range(c->rand, 0.2, 0.5));
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

static double gain_of(const FkMachine *m) {
  if (!m->rec)
    return m->joining ? GAIN_JOIN : 0;
  if (m->want_gone && !m->books->len)
    return GAIN_GONE;
  if (m->want_clear)
    return m->mark ? GAIN_JOIN : 0;
  if (!m->want_mark || m->want_mark == m->mark)
    return 0;
  gboolean spare = g_str_equal(m->want_mark, FK_MARK_IDLE) || g_str_equal(m->want_mark, FK_MARK_DRAIN);
  return spare ? GAIN_IDLE : GAIN_LOST;
}

typedef struct {
  FkGroup *group;
  double gain;
} Due;

static int by_gain(gconstpointer a, gconstpointer b) {
  const Due *x = a, *y = b;
  return x->gain != y->gain ? (x->gain > y->gain ? -1 : 1) : g_strcmp0(x->group->id, y->group->id);
}

static GArray *groups_due(FkController *c) {
  GArray *due = g_array_new(FALSE, FALSE, sizeof(Due));
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->groups);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkGroup *g = p;
    /* what is larger than the limits to come is divided as soon as all can read it so, by its home */
    gboolean divide = g->oversized && fk_group_mine(c, g) && fk_chains_known(c);
    if (!g->dirty && !divide && (!g->lazy.us || !fk_time_reached(c->now, g->lazy)))
      continue;
    Due d = {g, g->dirty ? GAIN_A_SECOND * fk_time_between(g->dirty_since, c->now) : 0};
    for (guint i = 0; i < g->machines->len; i++)
      d.gain += gain_of(g->machines->pdata[i]);
    g_array_append_val(due, d);
  }
  g_array_sort(due, by_gain);
  return due;
}

void fk_roster_tick(FkController *c) {
  if (c->roster_sending || c->view->applied.n < c->roster_wait.n || !fk_time_reached(c->now, c->roster_after))
    return;
  FkOut *t = NULL;
  guint bytes = 0, most = (guint)CLAMP(c->write_room, PAGES_MIN, MIN(c->settings->txn_ops, PAGES_MAX));
  g_autoptr(GArray) due = groups_due(c);
  for (guint i = 0; i < due->len && bytes < BYTES_MAX && (!t || t->writes->len < most); i++) {
    FkGroup *g = g_array_index(due, Due, i).group;
    g_auto(Page) page = {0};
    if (!page_wanted(c, g, &page)) {
      g->dirty = g->oversized = FALSE;
      g->lazy.us = 0;
      continue;
    }
    if (!t)
      t = fk_txn_new(c, FK_PRIO_LAUNCH);
    if (!page_put(c, t, g, &page, most))
      break;
    g->dirty_since = c->now; /* it waits anew, should anything be left */
    for (guint k = 0; k < FK_PARTS; k++)
      bytes += page.changed[k] ? page.bytes[k] : 0;
  }
  if (!t)
    return;
  c->roster_after = fk_time_add(c->now, MIN(3.0, fk_pace_s(c, t->writes->len, WRITE_SHARE)));
  c->roster_sending = TRUE;
  fk_txn_send(c, t, written, NULL, NULL);
}
