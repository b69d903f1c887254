/* The pages of the machine registry. Each page is a record in the store. A shard has one page as long as its
 * machines fit into one value, then several, with each machine in exactly one page. */
#include "core/shards/machine_pages.h"

void fk_machine_pages_clear(FkMachinePages *pages) {
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++)
    g_clear_pointer(&pages->machines[i], g_ptr_array_unref);
}

guint fk_machine_pages_changed_bytes(const FkMachinePages *pages) {
  guint bytes = 0;
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++)
    bytes += pages->changed[i] ? pages->bytes[i] : 0;
  return bytes;
}

/* ---- building ---- */

/* Returns the page for the machine's record: the machine's present page if the record fits there, else the
 * first page that the record fits into, or FK_SHARD_PAGES_MAX if it fits into none. Only controllers that
 * support job dependencies can read several pages. Until all controllers do, a shard has one page, which may
 * be as large as the store's present limit allows, and a registered machine stays in this page even if its
 * record doesn't fit. */
static guint page_for(FkController *c, const FkMachinePages *pages, const FkMachine *machine, guint size) {
  gboolean several = fk_job_dependencies_are_supported(c);
  guint limit =
      FK_MACHINE_PAGE_MAX_BYTES(several ? c->settings->value_kb : c->settings->current_value_limit_kb);
  if (machine->record && pages->bytes[machine->record_page_index] + size <= limit)
    return machine->record_page_index;
  for (guint i = 0; i < (several ? FK_SHARD_PAGES_MAX : 1); i++)
    if (pages->bytes[i] + size <= limit)
      return i;
  return machine->record && !several ? machine->record_page_index : FK_SHARD_PAGES_MAX;
}

static void add_record(FkMachinePages *pages, guint page,
                       FkMachineRecord *record /* ownership passes to the callee */, guint size) {
  if (!pages->machines[page])
    pages->machines[page] = g_ptr_array_new_with_free_func(fk_machine_record_free);
  g_ptr_array_add(pages->machines[page], record);
  pages->bytes[page] += size;
}

/* Returns whether a change of the drain reason is requested and must be written. Drops requests that are
 * already fulfilled. */
static gboolean drain_reason_changes(FkMachine *machine) {
  if (machine->pending_drain_reason == machine->drain_reason)
    machine->pending_drain_reason = NULL;
  if (!machine->drain_reason)
    machine->pending_drain_clear = FALSE;
  return machine->pending_drain_reason || machine->pending_drain_clear;
}

/* Adds the machine's record to a page. Leaves out a machine that is removed now, and a new machine that fits
 * into no page. Returns whether a page changes because of the machine. */
static gboolean add_machine(FkController *c, const FkShard *shard, FkMachine *machine,
                            FkMachinePages *pages) {
  const FkMachineRecord *present = machine->record ? machine->record : machine->pending_record;
  guint size = fk_machine_record_bytes(present);
  if (machine->pending_removal && machine->record && !machine->allocations->len) {
    pages->changed[machine->record_page_index] = TRUE;
    return TRUE;
  }
  guint page = page_for(c, pages, machine, size);
  if (page == FK_SHARD_PAGES_MAX && !machine->record) {
    g_warning("machine not registered reason=shard_full shard=%s machine=%s", shard->id, machine->id);
    return FALSE;
  }
  page = MIN(page, FK_SHARD_PAGES_MAX - 1);
  gboolean drain_changes = drain_reason_changes(machine);
  FkMachineRecord *record = fk_machine_record_copy(present);
  record->drain_reason = drain_changes ? machine->pending_drain_reason : machine->drain_reason;
  record->notice_s = drain_changes ? machine->pending_termination_notice_s : machine->notice_s;
  add_record(pages, page, record, size);
  gboolean moves = page != machine->record_page_index;
  if (machine->record && !drain_changes && !moves)
    return FALSE;
  pages->changed[page] = TRUE;
  if (machine->record && moves)
    pages->changed[machine->record_page_index] = TRUE;
  return TRUE;
}

/* Splits pages that were written under larger limits, once all controllers can read several pages: machines
 * whose records no longer fit into their page move to another page in the same transaction. */
gboolean fk_machine_pages_build(FkController *c, FkShard *shard, FkMachinePages *pages) {
  gboolean owned = fk_shard_is_owned(c, shard), any_change = FALSE;
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++)
    pages->bytes[i] = FK_MACHINE_PAGE_OVERHEAD_BYTES;
  for (guint i = 0; i < shard->machines->len; i++) {
    FkMachine *machine = shard->machines->pdata[i];
    if (machine->pending_record && (machine->record || !owned))
      g_clear_pointer(&machine->pending_record, fk_machine_record_free);
    if (machine->record || machine->pending_record)
      any_change |= add_machine(c, shard, machine, pages);
  }
  return any_change;
}

/* ---- writing ---- */

static guint changed_count(const FkMachinePages *pages) {
  guint count = 0;
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++)
    count += pages->changed[i];
  return count;
}

gboolean fk_machine_pages_write(FkController *c, FkOutput *transaction, const FkShard *shard,
                                FkMachinePages *pages, guint writes_max) {
  guint written = transaction->writes->len;
  if (written && written + changed_count(pages) > writes_max)
    return FALSE;
  if (fk_shard_is_owned(c, shard))
    fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_SHARD, shard->id), shard->rev);
  for (guint i = 0; i < FK_SHARD_PAGES_MAX; i++) {
    if (!pages->changed[i])
      continue;
    FkRecord *record = fk_record_new(FK_STORE_KEY_MACHINE_PAGE);
    record->machines = pages->machines[i] ? g_steal_pointer(&pages->machines[i])
                                          : g_ptr_array_new_with_free_func(fk_machine_record_free);
    fk_transaction_guard(transaction, fk_store_key_machine_page_path(shard->id, i), shard->page_revs[i]);
    fk_transaction_put(transaction, fk_store_key_machine_page_path(shard->id, i), record, (FkRev){0});
  }
  return TRUE;
}
