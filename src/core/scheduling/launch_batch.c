#include "core/scheduling/launch_batch.h"

#include "core/scheduling/reservation.h"
#include "core/scheduling/zone_guard.h"

#define BYTES_PER_KIB 1024
#define TRANSACTION_BYTES_MAX 40000 /* below the store's limit of 64 KiB */
#define GUARDS_PER_WRITE_MAX 4      /* limit on a transaction's guards, per write that it may contain */
#define ALLOCATION_GUARDS 4         /* maximum guards that one task adds: job, chunk, team and shard */
#define PREEMPTION_GUARDS 6 /* upper bound on the guards of a preempting task, including the launch fence */
#define GUARDS_PER_VICTIM 2 /* maximum guards that one victim adds: job and chunk */
#define WRITES_PER_ALLOCATION 2 /* maximum writes that one task adds: its chunk and its team's record */

/* Estimated sizes of the parts of a transaction. */
#define CHUNK_BYTES 300
#define CHUNK_TASKS_PER_BYTE 4
#define ALLOCATION_BYTES 40
#define TEAM_BYTES 200
#define SHARD_GUARD_BYTES 60

/* Returns whether `more` writes can be added to the batch. The limit is the number of writes that are
 * available now, but at least FK_LAUNCH_WRITES_ALLOWANCE and at most `transaction_ops_max`: a transaction
 * that had to wait for the write budget would be out of date when it is sent. Further tasks of a chunk that
 * the batch already writes need no additional write. */
static gboolean has_writes_left(FkController *c, const FkLaunchBatch *batch, guint more) {
  return (batch->txn ? batch->txn->writes->len : 0) + more <=
         MIN(c->settings->transaction_ops_max,
             MAX(FK_LAUNCH_WRITES_ALLOWANCE, c->launches.launch_writes_available));
}

gboolean fk_launch_batch_is_out_of_writes(FkController *c, const FkLaunchBatch *batch) {
  return batch->txn && !has_writes_left(c, batch, WRITES_PER_ALLOCATION);
}

gboolean fk_launch_batch_is_full(FkController *c, const FkLaunchBatch *batch) {
  guint guards_max = c->settings->transaction_ops_max * GUARDS_PER_WRITE_MAX;
  return batch->txn &&
         (batch->txn->guards->len + ALLOCATION_GUARDS > guards_max || batch->bytes > TRANSACTION_BYTES_MAX);
}

gboolean fk_launch_batch_record_fits(FkController *c, guint bytes) {
  return bytes <= MIN(c->settings->current_value_limit_kb * BYTES_PER_KIB, TRANSACTION_BYTES_MAX);
}

gboolean fk_launch_batch_writes(const FkLaunchBatch *batch, const char *path) {
  for (guint i = 0; batch->txn && i < batch->txn->writes->len; i++)
    if (g_str_equal(g_array_index(batch->txn->writes, FkWrite, i).path, path))
      return TRUE;
  return FALSE;
}

FkChunk *fk_launch_batch_open_chunk(FkController *c, FkLaunchBatch *batch, const FkJob *job, guint32 index) {
  char *path = fk_store_key_chunk_path(job->spec->id, index);
  FkChunk *copy = g_hash_table_lookup(batch->chunks, path);
  if (copy) {
    g_free(path);
    return copy;
  }
  if (!batch->txn) {
    batch->txn = fk_transaction_new(c, FK_PRIORITY_LAUNCH);
    fk_transaction_guard(batch->txn, fk_store_key_path(FK_STORE_KEY_LAUNCH_FENCE, c->settings->node),
                         fk_view_launch_fence_rev(c->view, c->settings->node));
  }
  const FkChunk *chunk = job->chunks[index];
  copy = chunk ? fk_chunk_copy(chunk)
               : fk_chunk_new(index * job->spec->chunk_tasks, fk_spec_chunk_tasks(job->spec, index));
  FkRecord *record = fk_record_new(FK_STORE_KEY_CHUNK);
  record->chunk = copy;
  fk_transaction_guard(batch->txn, g_strdup(path), copy->rev);
  fk_transaction_put(batch->txn, g_strdup(path), record, (FkRev){0});
  fk_transaction_guard(batch->txn, fk_store_key_path(FK_STORE_KEY_JOB, job->spec->id), job->rev);
  g_hash_table_insert(batch->chunks, path, copy);
  batch->bytes +=
      CHUNK_BYTES + copy->task_count / CHUNK_TASKS_PER_BYTE + copy->allocations->len * ALLOCATION_BYTES;
  return copy;
}

/* Adds a guard on the team's record, so that concurrent launches can't exceed the team's quota. If the quota
 * is serialized (quota_partition.h), every launch also writes the record, so that one of two concurrent
 * launches is rejected. If the quota is partitioned, launches don't write the record; a launch is rejected
 * only if the record has changed since the launch was decided. A team without a quota needs no guard, and its
 * launches don't conflict over the record. */
static void guard_team_quota(FkController *c, FkLaunchBatch *batch, const char *name) {
  const FkTeam *team = fk_settings_find_team(c->settings, name);
  if (!fk_team_has_quota(team) || g_hash_table_contains(batch->teams, name))
    return;
  const FkTeamUsage *usage = fk_view_ensure_team(c->view, name);
  fk_transaction_guard(batch->txn, fk_store_key_path(FK_STORE_KEY_TEAM, name), usage->rev);
  if (!usage->partition)
    fk_transaction_put(batch->txn, fk_store_key_path(FK_STORE_KEY_TEAM, name),
                       fk_record_new(FK_STORE_KEY_TEAM), (FkRev){0});
  g_hash_table_add(batch->teams, (gpointer)g_intern_string(name));
  batch->bytes += TEAM_BYTES;
}

/* Returns the start of the wait that Elastic Sizing (elastic_sizing.h) counts for the job's next task. The
 * time for which a task ran before its machine was lost isn't counted, nor are outages of the store, during
 * which no task can start. If they were counted, a mass failure would raise the mean wait to minutes, and
 * machines would be blacklisted for long jobs, which doesn't help. */
static FkTime waiting_since(FkController *c, const FkJob *job) {
  FkTime since = {MAX(job->startable_us, job->attempt_lost_at.us)};
  return since.us > c->store_session.store_recovered_at.us ? since : c->store_session.store_recovered_at;
}

/* Maximum number of waits of one job that count towards the capped sum of a window (FkWaitTimes), from which
 * the mean wait is computed. Without this limit, one large array of one team would dominate the mean, and all
 * machines would be blacklisted for long jobs. Jobs with few short tasks, for which Elastic Sizing exists,
 * are counted in full. */
#define WAITS_PER_JOB_MAX 20

static void record_wait(FkController *c, FkWaitTimes *waits, FkJob *job) {
  double wait_s = fk_time_between(waiting_since(c, job), c->now);
  waits->sum_s += wait_s;
  waits->count++;
  if (job->wait_times_window != c->window.index)
    job->wait_times_counted = 0;
  job->wait_times_window = c->window.index;
  if (job->wait_times_counted++ >= WAITS_PER_JOB_MAX)
    return;
  waits->capped_sum_s += wait_s;
  waits->capped_count++;
}

/* Returns whether the batch already allocates or stops tasks of the job. */
static gboolean contains_job(const FkLaunchBatch *batch, const FkJob *job) {
  g_autofree char *path = fk_store_key_path(FK_STORE_KEY_JOB, job->spec->id);
  for (guint i = 0; batch->txn && i < batch->txn->guards->len; i++)
    if (g_str_equal(g_array_index(batch->txn->guards, FkGuard, i).path, path))
      return TRUE;
  return FALSE;
}

static gboolean job_may_start_task(FkController *c, const FkLaunchBatch *batch, FkJob *job) {
  const FkSpec *spec = job->spec;
  /* `blocked`: the store doesn't show all of the job's dependencies as done yet */
  if (job->blocked || job->cancelled)
    return FALSE;
  if (job->failing && spec->shape != FK_SHAPE_GANG) {
    /* one task at a time is enough to tell whether the job still fails on every machine */
    if (job->allocated || job->last_trial_at.us == c->now.us)
      return FALSE;
    job->last_trial_at = c->now;
  }
  /* Zone constraints are checked against the view, which doesn't show the tasks of this batch. So the batch
   * may start at most one task of a job with zone constraints. Gangs are planned as a whole (long_path.c). */
  gboolean zone_bound = (spec->one_zone || spec->spread) && spec->shape != FK_SHAPE_GANG;
  return !zone_bound || !contains_job(batch, job);
}

/* Finds the first of the job's chunks that has a waiting task and isn't too large for one more allocation.
 * Sets `is_open` to whether the batch already writes the chunk. Returns FALSE if no chunk is
 * found. */
static gboolean find_chunk(FkController *c, const FkLaunchBatch *batch, FkJob *job, const FkMachine *machine,
                           guint32 *index, gboolean *is_open) {
  for (guint32 i = job->first_waiting_chunk_hint; i < job->chunk_count; i++) {
    g_autofree char *path = fk_store_key_chunk_path(job->spec->id, i);
    const FkChunk *copy = g_hash_table_lookup(batch->chunks, path);
    const FkChunk *chunk = copy ? copy : job->chunks[i];
    if (chunk && chunk->done_count + chunk->allocations->len >= chunk->task_count) {
      if (i == job->first_waiting_chunk_hint && !copy)
        job->first_waiting_chunk_hint++;
      continue;
    }
    /* a chunk that was written when the size limit was larger may be too large for one more allocation */
    if (chunk && !fk_chunk_fits(chunk, c->settings->value_kb, machine->id, c->settings->node))
      continue;
    *index = i;
    *is_open = copy != NULL;
    return TRUE;
  }
  return FALSE;
}

static void allocate_first_waiting(FkController *c, FkChunk *chunk, const FkJob *job,
                                   const FkMachine *machine) {
  const char *node = c->settings->node;
  for (guint32 task = chunk->first_task; task < chunk->first_task + chunk->task_count; task++)
    if (job->spec->shape == FK_SHAPE_GANG
            ? fk_chunk_allocate_attempt(chunk, task, machine->id, node, job->gang_attempt)
            : fk_chunk_allocate(chunk, task, machine->id, node))
      return;
}

/* Returns whether the transaction can take one more allocation. `is_open`: the batch already writes the
 * task's chunk. */
static gboolean has_room(FkController *c, const FkLaunchBatch *batch, gboolean is_open,
                         const FkZoneGuardCost *zone) {
  guint writes = (is_open ? 0 : WRITES_PER_ALLOCATION) + zone->writes;
  guint guards = (batch->txn ? batch->txn->guards->len : 1) + ALLOCATION_GUARDS + zone->guards;
  gboolean bytes_fit = !batch->txn || batch->bytes + zone->bytes <= TRANSACTION_BYTES_MAX;
  return zone->possible && bytes_fit && !fk_launch_batch_is_full(c, batch) &&
         (!zone->guards || guards <= c->settings->transaction_ops_max * GUARDS_PER_WRITE_MAX) &&
         (!writes || has_writes_left(c, batch, writes));
}

gboolean fk_launch_batch_allocate(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine) {
  guint32 index;
  gboolean is_open;
  if (!job_may_start_task(c, batch, job) || !find_chunk(c, batch, job, machine, &index, &is_open))
    return FALSE;
  FkZoneGuardCost zone = fk_zone_guard_cost(c, batch, job);
  if (!has_room(c, batch, is_open, &zone))
    return FALSE;
  FkChunk *chunk = fk_launch_batch_open_chunk(c, batch, job, index);
  fk_zone_guard_add(c, batch, job);
  guard_team_quota(c, batch, job->spec->team);
  allocate_first_waiting(c, chunk, job, machine);
  fk_transaction_guard(batch->txn, fk_store_key_path(FK_STORE_KEY_SHARD, machine->shard->id),
                       machine->shard->rev);
  batch->bytes += SHARD_GUARD_BYTES;
  batch->allocated++;
  fk_reservation_add(c, machine, job->spec);
  if (job->spec->shape == FK_SHAPE_SERVICE)
    g_info("service placement planned job=%s machine=%s type=%s wait_s=%.2f image=%s", job->spec->id,
           machine->id, machine->record->type, fk_time_between((FkTime){job->startable_us}, c->now),
           g_hash_table_contains(machine->images, job->spec->image) ? "present" : "missing");
  if (!fk_spec_is_long(c, job->spec))
    record_wait(c, &batch->waits, job);
  return TRUE;
}

gboolean fk_launch_batch_preempt(FkController *c, FkLaunchBatch *batch, FkJob *job, FkMachine *machine,
                                 const GArray *victims) {
  FkZoneGuardCost zone = fk_zone_guard_cost(c, batch, job);
  guint guards = (batch->txn ? batch->txn->guards->len : 0) + GUARDS_PER_VICTIM * victims->len + zone.guards;
  if (!has_writes_left(c, batch, victims->len + WRITES_PER_ALLOCATION + zone.writes) ||
      guards + PREEMPTION_GUARDS > c->settings->transaction_ops_max * GUARDS_PER_WRITE_MAX ||
      fk_launch_batch_is_full(c, batch) || !fk_launch_batch_allocate(c, batch, job, machine))
    return FALSE;
  for (guint i = 0; i < victims->len; i++) {
    const FkAllocationRef *victim = &g_array_index(victims, FkAllocationRef, i);
    const FkSpec *spec = victim->job->spec;
    g_info("task preempted task=%s/%u machine=%s for=%s", spec->id, victim->task, machine->id, job->spec->id);
    fk_chunk_request_stop(fk_launch_batch_open_chunk(c, batch, victim->job, victim->task / spec->chunk_tasks),
                          victim->task);
  }
  return TRUE;
}
