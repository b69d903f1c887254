/* Records in the store: creating, copying and freeing them. */
#include "core/state/records.h"

#include <string.h>

#define MACHINE_RECORD_OVERHEAD_BYTES 50 /* size of a machine in a page, without its id, address and type */

void fk_wait_times_add(FkWaitTimes *to, const FkWaitTimes *more) {
  to->capped_sum_s += more->capped_sum_s;
  to->capped_count += more->capped_count;
  to->sum_s += more->sum_s;
  to->count += more->count;
}

FkRecord *fk_record_new(FkStoreKeyKind kind) {
  FkRecord *record = g_new0(FkRecord, 1);
  record->kind = kind;
  return record;
}

void fk_machine_record_free(gpointer data) {
  FkMachineRecord *machine = data;
  if (!machine)
    return;
  g_free(machine->id);
  g_free(machine->addr);
  g_free(machine);
}

FkMachineRecord *fk_machine_record_copy(const FkMachineRecord *machine) {
  FkMachineRecord *copy = g_memdup2(machine, sizeof *machine);
  copy->id = g_strdup(machine->id);
  copy->addr = g_strdup(machine->addr);
  return copy;
}

FkCompletionRecord *fk_completion_record_new(const char *chunk) {
  FkCompletionRecord *completion = g_new0(FkCompletionRecord, 1);
  completion->chunk = g_strdup(chunk);
  completion->done = g_byte_array_new();
  completion->released = g_array_new(FALSE, FALSE, sizeof(FkReleasedAttempt));
  return completion;
}

FkCompletionRecord *fk_completion_record_copy(const FkCompletionRecord *completion) {
  FkCompletionRecord *copy = fk_completion_record_new(completion->chunk);
  g_byte_array_append(copy->done, completion->done->data, completion->done->len);
  g_array_append_vals(copy->released, completion->released->data, completion->released->len);
  return copy;
}

void fk_completion_record_free(gpointer data) {
  FkCompletionRecord *completion = data;
  if (!completion)
    return;
  g_free(completion->chunk);
  g_byte_array_unref(completion->done);
  g_array_unref(completion->released);
  g_free(completion);
}

void fk_record_free(FkRecord *record) {
  if (!record)
    return;
  switch (record->kind) {
  case FK_STORE_KEY_JOB:
    fk_spec_unref(record->spec);
    break;
  case FK_STORE_KEY_CHUNK:
    fk_chunk_free(record->chunk);
    break;
  case FK_STORE_KEY_MACHINE_PAGE:
    g_clear_pointer(&record->machines, g_ptr_array_unref);
    break;
  case FK_STORE_KEY_COMPLETIONS:
    g_clear_pointer(&record->completions, g_ptr_array_unref);
    break;
  case FK_STORE_KEY_SHARD:
  case FK_STORE_KEY_NODE:
  case FK_STORE_KEY_LEADER:
    g_free(record->node);
    g_free(record->incarnation);
    g_strfreev(record->unreachable_zones);
    break;
  case FK_STORE_KEY_TEAM:
    g_free(record->last_exhausted_by);
    g_clear_pointer(&record->partition, g_hash_table_unref);
    break;
  case FK_STORE_KEY_TERMINAL_JOB:
  case FK_STORE_KEY_WAIT_TIMES:
  case FK_STORE_KEY_LAUNCH_FENCE:
  case FK_STORE_KEY_OTHER:
    break;
  }
  g_free(record);
}

void fk_store_event_free(FkStoreEvent *event) {
  if (!event)
    return;
  g_free(event->path);
  fk_record_free(event->record);
  g_free(event);
}

guint fk_machine_record_bytes(const FkMachineRecord *machine) {
  return (guint)(strlen(machine->id) + strlen(machine->addr) + strlen(machine->type) +
                 MACHINE_RECORD_OVERHEAD_BYTES);
}
