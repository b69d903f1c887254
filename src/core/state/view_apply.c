/* Applies one change of the store to the view. */
#include "core/state/view_internal.h"

#include <string.h>

/* Updates the shard's `unreachable` from what its owner has reported. */
static void update_reachability(FkView *v, FkShard *shard) {
  const FkControllerNode *node = shard->owner ? g_hash_table_lookup(v->nodes, shard->owner) : NULL;
  shard->unreachable = node && node->unreachable_zones &&
                       g_strcmp0(node->incarnation, shard->owner_incarnation) == 0 &&
                       g_strv_contains((const char *const *)node->unreachable_zones, shard->zone);
}

static void set_shard(FkView *v, const char *id, FkRecord *record, FkRev rev) {
  FkShard *shard = fk_view_ensure_shard(v, id);
  if (shard->rev.n >= rev.n)
    return;
  g_clear_pointer(&shard->owner, g_free);
  g_clear_pointer(&shard->owner_incarnation, g_free);
  shard->rev = record ? rev : (FkRev){0};
  if (record) {
    shard->owner = g_strdup(record->node);
    shard->owner_incarnation = g_strdup(record->incarnation);
  }
  update_reachability(v, shard);
  for (guint i = 0; i < shard->machines->len; i++)
    fk_view_mark_machine_changed(v, shard->machines->pdata[i]);
}

/* Updates the machine from its record in a page. */
static void set_machine_record(FkView *v, FkMachine *machine, const FkMachineRecord *record) {
  gboolean fresh = !machine->record, changed = machine->drain_reason != record->drain_reason;
  if (changed) {
    machine->drain_reason = record->drain_reason;
    machine->notice_s = record->notice_s;
    machine->drain_reason_since = v->now;
  }
  if (fresh) {
    machine->record = fk_machine_record_copy(record);
    machine->record_seen_at = machine->idle_since = v->now;
  }
  if (fresh || changed)
    fk_view_mark_machine_changed(v, machine);
}

/* Clears the records of machines that the previous revision of a page contained and the new revision `rev`
 * does not. A machine that moved to another page keeps its record if that page was applied first. A machine's
 * record is removed from the store only after the machine is terminated and all its allocations have ended.
 */
static void clear_missing_machine_records(FkView *v, FkShard *shard, guint64 page_index, FkRev rev) {
  for (guint i = 0; i < shard->machines->len; i++) {
    FkMachine *machine = shard->machines->pdata[i];
    if (machine->record_page_index != page_index || machine->page_rev.n == rev.n || !machine->record)
      continue;
    g_clear_pointer(&machine->record, fk_machine_record_free);
    machine->drain_reason = NULL;
    machine->type = NULL;
    fk_view_mark_machine_changed(v, machine);
  }
}

static void set_machine_page(FkView *v, const char *id, FkRecord *record, FkRev rev) {
  const char *plus = strrchr(id, '+');
  g_autofree char *shard_id = plus ? g_strndup(id, plus - id) : g_strdup(id);
  guint64 page_index = plus ? g_ascii_strtoull(plus + 1, NULL, 10) : 0;
  if (page_index >= FK_SHARD_PAGES_MAX)
    return;
  FkShard *shard = fk_view_ensure_shard(v, shard_id);
  if (shard->page_revs[page_index].n >= rev.n)
    return;
  shard->page_revs[page_index] = rev;
  guint bytes = FK_MACHINE_PAGE_OVERHEAD_BYTES;
  for (guint i = 0; record && i < record->machines->len; i++) {
    const FkMachineRecord *machine_record = record->machines->pdata[i];
    FkMachine *machine = fk_view_ensure_machine(v, machine_record->id);
    fk_view_move_to_shard(machine, shard);
    machine->page_rev = rev;
    machine->record_page_index = (guint)page_index;
    bytes += fk_machine_record_bytes(machine_record);
    set_machine_record(v, machine, machine_record);
  }
  shard->oversized |= bytes > FK_MACHINE_PAGE_MAX_BYTES(v->settings->value_kb);
  clear_missing_machine_records(v, shard, page_index, rev);
}

static void set_team(FkView *v, const char *id, FkRecord *record, FkRev rev) {
  FkTeamUsage *team = fk_view_ensure_team(v, id);
  team->rev = record ? rev : (FkRev){0};
  team->changed_at = v->now;
  g_clear_pointer(&team->partition, g_hash_table_unref);
  if (!record)
    return;
  team->partition = g_steal_pointer(&record->partition);
  if (record->last_exhausted_by) {
    g_free(team->last_exhausted_by);
    team->last_exhausted_by = g_steal_pointer(&record->last_exhausted_by);
  }
}

static FkControllerNode *node_from_record(const char *id, const FkRecord *record, FkRev rev) {
  FkControllerNode *node = g_new0(FkControllerNode, 1);
  node->name = g_strdup(id);
  node->incarnation = g_strdup(record->incarnation);
  node->unreachable_zones = g_strdupv(record->unreachable_zones);
  node->rev = rev;
  return node;
}

static void set_node(FkView *v, const char *id, const FkRecord *record, FkRev rev) {
  if (record) {
    FkControllerNode *node = node_from_record(id, record, rev);
    g_hash_table_replace(v->nodes, node->name, node);
  } else {
    g_hash_table_remove(v->nodes, id);
  }
  GHashTableIter iter;
  gpointer shard;
  g_hash_table_iter_init(&iter, v->shards);
  while (g_hash_table_iter_next(&iter, NULL, &shard))
    update_reachability(v, shard);
}

static void set_launch_fence(FkView *v, const char *id, const FkRecord *record, FkRev rev) {
  if (!record) {
    g_hash_table_remove(v->launch_fences, id);
    return;
  }
  FkLaunchFence fence = {rev, record->features};
  g_hash_table_replace(v->launch_fences, g_strdup(id), g_memdup2(&fence, sizeof fence));
}

static void set_leader(FkView *v, const FkRecord *record, FkRev rev) {
  g_free(v->leader);
  g_free(v->leader_incarnation);
  v->leader = record ? g_strdup(record->node) : NULL;
  v->leader_incarnation = record ? g_strdup(record->incarnation) : NULL;
  v->leader_rev = record ? rev : (FkRev){0};
}

static void set_wait_times(FkView *v, const char *id, const FkRecord *record) {
  if (record)
    g_hash_table_replace(v->wait_times, g_strdup(id),
                         g_memdup2(&record->wait_times, sizeof record->wait_times));
  else
    g_hash_table_remove(v->wait_times, id);
}

/* A chunk may arrive before its job's record, or remain after its job's record is deleted. The view records
 * the path of an orphaned chunk, so that the leader can delete the chunk. */
static void set_chunk(FkView *v, const char *path, const char *id, guint32 index, FkRecord *record,
                      FkRev rev) {
  FkJob *job = fk_view_find_job(v, id);
  if (job)
    fk_view_set_chunk(v, job, index, record ? g_steal_pointer(&record->chunk) : NULL, rev);
  if (record && !job)
    g_hash_table_replace(v->orphan_chunks, g_strdup(path), g_memdup2(&rev, sizeof rev));
  else
    g_hash_table_remove(v->orphan_chunks, path); /* the chunk has a job or was deleted */
}

void fk_view_apply(FkView *v, const char *path, FkRecord *taken, FkRev rev) {
  g_autoptr(FkRecord) record = taken;
  g_autofree char *id = NULL;
  guint32 chunk = 0;
  FkStoreKeyKind kind = fk_store_key_parse(path, &id, &chunk);
  if (record && record->kind != kind)
    return;
  switch (kind) {
  case FK_STORE_KEY_OTHER:
    break;
  case FK_STORE_KEY_JOB:
    fk_view_set_job(v, id, record, rev);
    break;
  case FK_STORE_KEY_CHUNK:
    set_chunk(v, path, id, chunk, record, rev);
    break;
  case FK_STORE_KEY_SHARD:
    set_shard(v, id, record, rev);
    break;
  case FK_STORE_KEY_MACHINE_PAGE:
    set_machine_page(v, id, record, rev);
    break;
  case FK_STORE_KEY_COMPLETIONS:
    fk_view_set_completions(v, id, record, rev);
    break;
  case FK_STORE_KEY_LAUNCH_FENCE:
    set_launch_fence(v, id, record, rev);
    break;
  case FK_STORE_KEY_NODE:
    set_node(v, id, record, rev);
    break;
  case FK_STORE_KEY_TEAM:
    set_team(v, id, record, rev);
    break;
  case FK_STORE_KEY_LEADER:
    set_leader(v, record, rev);
    break;
  case FK_STORE_KEY_WAIT_TIMES:
    set_wait_times(v, id, record);
    break;
  case FK_STORE_KEY_TERMINAL_JOB:
    if (record)
      fk_view_add_terminal_job(v, id, record->phase, record->tasks, record->ended_at_ms);
    break;
  }
}
