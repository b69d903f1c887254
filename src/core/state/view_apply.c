/* The view, brought up to date: one change of the store at a time. */
#include "core/state/view_internal.h"

#include <string.h>

static void set_group(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkGroup *g = fk_view_group(v, id);
  if (g->rev.n >= rev.n)
    return;
  g_clear_pointer(&g->home, g_free);
  g_clear_pointer(&g->life, g_free);
  g->rev = r ? rev : (FkRev){0};
  if (r) {
    g->home = g_strdup(r->node);
    g->life = g_strdup(r->life);
  }
  for (guint i = 0; i < g->machines->len; i++)
    fk_view_touch(v, g->machines->pdata[i]);
}

/* A machine that a part of its page no longer has, and no other has now, is proven gone: its bookings have
 * ended before. One that moves is in its new part by the same transaction. */
static void set_page(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  const char *plus = strrchr(id, '+');
  g_autofree char *group = plus ? g_strndup(id, plus - id) : g_strdup(id);
  guint64 part = plus ? g_ascii_strtoull(plus + 1, NULL, 10) : 0;
  if (part >= FK_PARTS)
    return;
  FkGroup *g = fk_view_group(v, group);
  if (g->page_rev[part].n >= rev.n)
    return;
  g->page_rev[part] = rev;
  guint bytes = FK_PAGE_BYTES;
  for (guint i = 0; r && i < r->members->len; i++) {
    FkMachineRec *rec = r->members->pdata[i];
    FkMachine *m = fk_view_machine_ensure(v, rec->id);
    fk_view_join_group(m, g);
    m->page_rev = rev;
    m->part = (guint)part;
    bytes += fk_machine_rec_bytes(rec);
    gboolean fresh = !m->rec, changed = m->mark != rec->mark;
    if (changed) {
      m->mark = rec->mark;
      m->notice_s = rec->notice_s;
      m->mark_seen = v->now;
    }
    if (fresh) {
      m->rec = fk_machine_rec_copy(rec);
      m->rec_seen = m->idle_since = v->now;
    }
    if (fresh || changed)
      fk_view_touch(v, m);
  }
  g->oversized |= bytes > FK_PAGE_LIMIT(v->settings->value_kb);
  for (guint i = 0; i < g->machines->len; i++) {
    FkMachine *m = g->machines->pdata[i];
    if (m->part != part || m->page_rev.n == rev.n || !m->rec)
      continue;
    g_clear_pointer(&m->rec, fk_machine_rec_free);
    m->mark = NULL;
    m->type = NULL;
    fk_view_touch(v, m);
  }
}

static void set_team(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkTeamUse *t = fk_view_team(v, id);
  t->rev = r ? rev : (FkRev){0};
  t->changed = v->now;
  g_clear_pointer(&t->split, g_hash_table_unref);
  if (!r)
    return;
  t->split = g_steal_pointer(&r->split);
  if (r->node) {
    g_free(t->was_short);
    t->was_short = g_steal_pointer(&r->node);
  }
}

static void apply_small(FkView *v, FkKeyKind kind, const char *id, FkRecord *r, FkRev rev) {
  switch (kind) {
  case FK_KEY_NODE:
    if (r) {
      FkNode *n = g_new0(FkNode, 1);
      n->name = g_strdup(id);
      n->life = g_strdup(r->life);
      n->rev = rev;
      g_hash_table_replace(v->nodes, n->name, n);
    } else {
      g_hash_table_remove(v->nodes, id);
    }
    break;
  case FK_KEY_TEAM:
    set_team(v, id, r, rev);
    break;
  case FK_KEY_FENCE:
    if (r) {
      FkFence f = {rev, r->chains};
      g_hash_table_replace(v->fences, g_strdup(id), g_memdup2(&f, sizeof f));
    } else
      g_hash_table_remove(v->fences, id);
    break;
  case FK_KEY_LEADER:
    g_clear_pointer(&v->leader, g_free);
    g_clear_pointer(&v->leader_life, g_free);
    v->leader_rev.n = 0;
    if (r) {
      v->leader = g_strdup(r->node);
      v->leader_life = g_strdup(r->life);
      v->leader_rev = rev;
    }
    break;
  case FK_KEY_WAITS:
    if (r) {
      FkWaits *w = g_new0(FkWaits, 1);
      *w = r->waits;
      g_hash_table_replace(v->waits, g_strdup(id), w);
    } else {
      g_hash_table_remove(v->waits, id);
    }
    break;
  default:
    break;
  }
}

void fk_view_apply(FkView *v, const char *path, FkRecord *record, FkRev rev) {
  g_autoptr(FkRecord) r = record;
  g_autofree char *id = NULL;
  guint32 chunk = 0;
  FkKeyKind kind = fk_key_parse(path, &id, &chunk);
  if (r && r->kind != kind)
    return;
  switch (kind) {
  case FK_KEY_OTHER:
    break;
  case FK_KEY_JOB:
    fk_view_set_job(v, id, r, rev);
    break;
  case FK_KEY_CHUNK: {
    FkJob *j = fk_view_job(v, id);
    if (j)
      fk_view_set_chunk(v, j, chunk, r ? g_steal_pointer(&r->chunk) : NULL, rev);
    if (r && !j)
      g_hash_table_replace(v->orphans, g_strdup(path), g_memdup2(&rev, sizeof rev));
    else
      g_hash_table_remove(v->orphans, path); /* the job has come since, or the chunk is gone */
    break;
  }
  case FK_KEY_GROUP:
    set_group(v, id, r, rev);
    break;
  case FK_KEY_PAGE:
    set_page(v, id, r, rev);
    break;
  case FK_KEY_ENDS:
    fk_view_set_ends(v, id, r, rev);
    break;
  case FK_KEY_FINAL:
    if (r)
      fk_view_remember_final(v, id, r->phase, r->tasks, r->at_ms);
    break;
  default:
    apply_small(v, kind, id, r, rev);
  }
}
