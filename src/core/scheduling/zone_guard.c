#include "core/scheduling/zone_guard.h"

#include "core/state/features.h"

static gboolean is_needed(const FkJob *job) {
  return (job->spec->one_zone || job->spec->spread) && job->chunk_count > 1;
}

static guint32 last_chunk(const FkJob *job) { return job->chunk_count - 1; }

/* Returns whether a launch may write the chunk: it exists and isn't done. That all of its tasks are allocated
 * doesn't rule a launch out, since the view may lack a completion. */
static gboolean is_unfinished(const FkChunk *chunk) { return chunk && chunk->done_count < chunk->task_count; }

/* Returns the indexes (guint32) of the chunks that a launch of a version without zone guards could write
 * next: such a launch takes the first chunk with a waiting task, so it is one that exists, or the first one
 * that doesn't. Of several launches that the view lacks, the first one is among these. */
static GArray *chunks_open_to_other_versions(const FkJob *job) {
  GArray *open = g_array_new(FALSE, FALSE, sizeof(guint32));
  gboolean first_absent_found = FALSE;
  for (guint32 i = 0; i < job->chunk_count; i++) {
    gboolean first_absent = !job->chunks[i] && !first_absent_found;
    first_absent_found |= first_absent;
    if (first_absent || is_unfinished(job->chunks[i]))
      g_array_append_val(open, i);
  }
  return open;
}

static FkZoneGuardCost cost_beside_other_versions(FkController *c, const FkLaunchBatch *batch,
                                                  const FkJob *job) {
  g_autoptr(GArray) open = chunks_open_to_other_versions(job);
  g_autofree char *path = fk_store_key_path(FK_STORE_KEY_JOB, job->spec->id);
  guint bytes = fk_spec_record_bytes(job->spec);
  FkZoneGuardCost cost = {.possible = fk_launch_batch_record_fits(c, bytes), .guards = open->len};
  if (!fk_launch_batch_writes(batch, path)) {
    cost.writes = 1;
    cost.bytes = bytes;
  }
  return cost;
}

FkZoneGuardCost fk_zone_guard_cost(FkController *c, const FkLaunchBatch *batch, const FkJob *job) {
  if (!is_needed(job))
    return (FkZoneGuardCost){.possible = TRUE};
  const FkChunk *last = job->chunks[last_chunk(job)];
  g_autofree char *path = fk_store_key_chunk_path(job->spec->id, last_chunk(job));
  FkZoneGuardCost cost = {.possible = TRUE};
  if (!fk_feature_is_supported(c, FK_FEATURE_ZONE_GUARD))
    cost = cost_beside_other_versions(c, batch, job);
  cost.guards++;
  cost.writes += !fk_launch_batch_writes(batch, path);
  /* a chunk that was written when the size limit was larger can't be written until some tasks have ended */
  cost.possible &= !last || fk_chunk_fits(last, c->settings->value_kb, NULL, NULL);
  return cost;
}

static void add_beside_other_versions(FkLaunchBatch *batch, const FkJob *job) {
  g_autoptr(GArray) open = chunks_open_to_other_versions(job);
  for (guint i = 0; i < open->len; i++) {
    guint32 index = g_array_index(open, guint32, i);
    FkRev rev = job->chunks[index] ? job->chunks[index]->rev : (FkRev){0};
    fk_transaction_guard(batch->txn, fk_store_key_chunk_path(job->spec->id, index), rev);
  }
  g_autofree char *path = fk_store_key_path(FK_STORE_KEY_JOB, job->spec->id);
  if (!fk_launch_batch_writes(batch, path)) {
    batch->bytes += fk_spec_record_bytes(job->spec);
    fk_transaction_put(batch->txn, g_steal_pointer(&path), fk_job_record_new(job, FALSE), (FkRev){0});
  }
}

void fk_zone_guard_add(FkController *c, FkLaunchBatch *batch, const FkJob *job) {
  if (!is_needed(job))
    return;
  fk_launch_batch_open_chunk(c, batch, job, last_chunk(job));
  if (!fk_feature_is_supported(c, FK_FEATURE_ZONE_GUARD))
    add_beside_other_versions(batch, job);
}
