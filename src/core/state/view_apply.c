/* The view, brought up to date: one change of the store at a time. */
#include "core/state/view_internal.h"

#include <string.h>

static void set_shard(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkShard *g = fk_view_ensure_shard(v, id);
  if (g->rev.n >= rev.n)
    return;
  g_clear_pointer(&g->owner, g_free);
  g_clear_pointer(&g->owner_incarnation, g_free);
  g->rev = r ? rev : (FkRev){0};
  if (r) {
    g->owner = g_strdup(r->node);
    g->owner_incarnation = g_strdup(r->incarnation);
  }
  for (guint i = 0; i < g->machines->len; i++)
    fk_view_mark_machine_changed(v, g->machines->pdata[i]);
}

/* A machine that a part of its page no longer has, and no other has now, is proven gone: its bookings have
 * ended before. One that moves is in its new part by the same transaction. */
static void set_machine_page(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  const char *plus = strrchr(id, '+');
  g_autofree char *group = plus ? g_strndup(id, plus - id) : g_strdup(id);
  guint64 part = plus ? g_ascii_strtoull(plus + 1, NULL, 10) : 0;
  if (part >= FK_SHARD_PAGES_MAX)
    return;
  FkShard *g = fk_view_ensure_shard(v, group);
  if (g->page_revs[part].n >= rev.n)
    return;
  g->page_revs[part] = rev;
  guint bytes = FK_MACHINE_PAGE_OVERHEAD_BYTES;
  for (guint i = 0; r && i < r->machines->len; i++) {
    FkMachineRecord *rec = r->machines->pdata[i];
    FkMachine *m = fk_view_ensure_machine(v, rec->id);
    fk_view_join_shard(m, g);
    m->page_rev = rev;
    m->page_part = (guint)part;
    bytes += fk_machine_record_bytes(rec);
    gboolean fresh = !m->record, changed = m->drain_reason != rec->drain_reason;
    if (changed) {
      m->drain_reason = rec->drain_reason;
      m->notice_s = rec->notice_s;
      m->drain_reason_since = v->now;
    }
    if (fresh) {
      m->record = fk_machine_record_copy(rec);
      m->record_seen = m->idle_since = v->now;
    }
    if (fresh || changed)
      fk_view_mark_machine_changed(v, m);
  }
  g->oversized |= bytes > FK_MACHINE_PAGE_MAX_BYTES(v->settings->value_kb);
  for (guint i = 0; i < g->machines->len; i++) {
    FkMachine *m = g->machines->pdata[i];
    if (m->page_part != part || m->page_rev.n == rev.n || !m->record)
      continue;
    g_clear_pointer(&m->record, fk_machine_record_free);
    m->drain_reason = NULL;
    m->type = NULL;
    fk_view_mark_machine_changed(v, m);
  }
}

static void set_team(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkTeamUsage *t = fk_view_ensure_team(v, id);
  t->rev = r ? rev : (FkRev){0};
  t->changed_at = v->now;
  g_clear_pointer(&t->partition, g_hash_table_unref);
  if (!r)
    return;
  t->partition = g_steal_pointer(&r->partition);
  if (r->node) {
    g_free(t->last_exhausted_by);
    t->last_exhausted_by = g_steal_pointer(&r->node);
  }
}

static void set_other(FkView *v, FkKeyKind kind, const char *id, FkRecord *r, FkRev rev) {
  switch (kind) {
  case FK_KEY_NODE:
    if (r) {
      FkControllerNode *n = g_new0(FkControllerNode, 1);
      n->name = g_strdup(id);
      n->incarnation = g_strdup(r->incarnation);
      n->rev = rev;
      g_hash_table_replace(v->nodes, n->name, n);
    } else {
      g_hash_table_remove(v->nodes, id);
    }
    break;
  case FK_KEY_TEAM:
    set_team(v, id, r, rev);
    break;
  case FK_KEY_LAUNCH_FENCE:
    if (r) {
      FkLaunchFence f = {rev, r->supports_dependencies};
      g_hash_table_replace(v->launch_fences, g_strdup(id), g_memdup2(&f, sizeof f));
    } else
      g_hash_table_remove(v->launch_fences, id);
    break;
  case FK_KEY_LEADER:
    g_clear_pointer(&v->leader, g_free);
    g_clear_pointer(&v->leader_incarnation, g_free);
    v->leader_rev.n = 0;
    if (r) {
      v->leader = g_strdup(r->node);
      v->leader_incarnation = g_strdup(r->incarnation);
      v->leader_rev = rev;
    }
    break;
  case FK_KEY_WAIT_TIMES:
    if (r) {
      FkWaitTimes *w = g_new0(FkWaitTimes, 1);
      *w = r->wait_times;
      g_hash_table_replace(v->wait_times, g_strdup(id), w);
    } else {
      g_hash_table_remove(v->wait_times, id);
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
    FkJob *j = fk_view_find_job(v, id);
    if (j)
      fk_view_set_chunk(v, j, chunk, r ? g_steal_pointer(&r->chunk) : NULL, rev);
    if (r && !j)
      g_hash_table_replace(v->orphan_chunks, g_strdup(path), g_memdup2(&rev, sizeof rev));
    else
      g_hash_table_remove(v->orphan_chunks, path); /* the job has come since, or the chunk is gone */
    break;
  }
  case FK_KEY_SHARD:
    set_shard(v, id, r, rev);
    break;
  case FK_KEY_MACHINE_PAGE:
    set_machine_page(v, id, r, rev);
    break;
  case FK_KEY_COMPLETIONS:
    fk_view_set_completions(v, id, r, rev);
    break;
  case FK_KEY_TERMINAL_JOB:
    if (r)
      fk_view_add_terminal_job(v, id, r->phase, r->tasks, r->ended_at_ms);
    break;
  default:
    set_other(v, kind, id, r, rev);
  }
}
