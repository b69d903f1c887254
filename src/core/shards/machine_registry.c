/* The machine registry: the records in the store that describe each shard's machines. Machines are added,
 * drained and removed. Changes are batched, and one transaction writes the pages of several shards, so that
 * changes of a hundred machines cost only a few writes. */
#include "common/random.h"
#include "core/shards/machine_pages.h"

/* Lower and upper bound of the limit on a transaction's writes. The limit follows the unused write budget. */
#define WRITES_MIN 3
#define WRITES_MAX 20
#define TRANSACTION_FULL_BYTES 48000 /* no further shard is added to a transaction of this size or more */
#define WRITE_SHARE 0.4              /* share of the store's write rate, for all controllers together */
#define WRITE_PAUSE_MAX_S 3.0

/* No task waits for a removal, so removals are delayed to batch many in one write. */
#define REMOVAL_DELAY_S 6.0

/* While this controller's unused write budget is larger than its share of the writes that the store accepts
 * in SURPLUS_SECONDS, the pause between transactions is at most SURPLUS_PACE_S. */
#define SURPLUS_SECONDS 0.4
#define SURPLUS_PACE_S 0.15

/* Range in seconds of the jittered pause after a failed write. */
#define RETRY_MIN_S 0.2
#define RETRY_MAX_S 0.5

FkTime fk_write_retry_at(FkController *c) {
  return fk_time_add(c->now, fk_random_uniform(c->rand, RETRY_MIN_S, RETRY_MAX_S));
}

double fk_write_pace_s(FkController *c, guint writes, double share) {
  double pace_s = writes * (double)fk_controller_live_count(c) / (share * c->settings->store_write_rps);
  double surplus = SURPLUS_SECONDS * fk_store_write_share(c) * c->settings->store_write_rps;
  return c->launches.launch_writes_available > surplus ? MIN(pace_s, SURPLUS_PACE_S) : pace_s;
}

/* ---- requested changes ---- */

static void mark_page_dirty(FkController *c, FkShard *shard) {
  if (!shard->page_dirty)
    shard->page_dirty_since = c->now;
  shard->page_dirty = TRUE;
}

void fk_machine_registry_add(FkController *c, FkMachine *machine, const FkHeartbeat *heartbeat) {
  if (machine->record || machine->pending_record || !machine->shard)
    return;
  FkMachineRecord *record = g_new0(FkMachineRecord, 1);
  record->id = g_strdup(machine->id);
  record->addr = g_strdup(heartbeat->addr);
  record->type = g_intern_string(heartbeat->type);
  record->zone = g_intern_string(heartbeat->zone);
  record->spot = heartbeat->spot;
  record->notice_s = -1;
  machine->pending_record = record;
  mark_page_dirty(c, machine->shard);
}

void fk_machine_registry_set_drain_reason(FkController *c, FkMachine *machine, const char *reason,
                                          double notice_s) {
  if (!machine->record || !machine->shard)
    return;
  const char *wanted = reason ? g_intern_string(reason) : NULL;
  gboolean pending = machine->pending_drain_reason || machine->pending_drain_clear;
  if (wanted == machine->drain_reason && !pending)
    return;
  if (wanted == machine->pending_drain_reason && machine->pending_drain_clear == !wanted)
    return;
  machine->pending_drain_reason = wanted;
  machine->pending_drain_clear = !wanted;
  machine->pending_termination_notice_s = notice_s;
  mark_page_dirty(c, machine->shard);
}

gboolean fk_machine_is_drained_as_silent(const FkMachine *machine) {
  return g_strcmp0(machine->drain_reason, FK_DRAIN_REASON_SILENT) == 0 ||
         g_strcmp0(machine->pending_drain_reason, FK_DRAIN_REASON_SILENT) == 0;
}

void fk_machine_registry_remove(FkController *c, FkMachine *machine) {
  if (!machine->record || !machine->shard)
    return;
  machine->pending_removal = TRUE;
  if (!machine->shard->removal_write_due.us)
    machine->shard->removal_write_due = fk_time_add(c->now, REMOVAL_DELAY_S);
}

/* ---- which shard's pages are written first ---- */

/* The gain from writing a shard's pages is the sum of its machines' gains, plus GAIN_PER_SECOND for each
 * second of waiting. The pages with the largest gain are written first. Changes that tasks wait for have the
 * largest gains, then changes that save money, then cleanup. When pages were written in hash-table order,
 * the first shards were dirty again before the next write was allowed, and the last shards starved: 250 idle
 * machines were not drained for minutes, and each page written drained only one or two machines. The waiting
 * time keeps a shard with a single idle machine from starving. */
#define GAIN_USABLE 4.0      /* a new machine, or one that is no longer drained */
#define GAIN_UNAVAILABLE 6.0 /* silent, faulty or with a termination notice: its tasks must move */
#define GAIN_UNNEEDED 1.0    /* idle, or drained for consolidation */
#define GAIN_REMOVED 0.1     /* to be removed, without allocations */
/* gain for each second since a shard's pages became dirty, or were last written if that is later */
#define GAIN_PER_SECOND 0.3

static double machine_gain(const FkMachine *machine) {
  if (!machine->record)
    return machine->pending_record ? GAIN_USABLE : 0;
  if (machine->pending_removal && !machine->allocations->len)
    return GAIN_REMOVED;
  if (machine->pending_drain_clear)
    return machine->drain_reason ? GAIN_USABLE : 0;
  const char *reason = machine->pending_drain_reason;
  if (!reason || reason == machine->drain_reason)
    return 0;
  gboolean unneeded = g_str_equal(reason, FK_DRAIN_REASON_IDLE) || g_str_equal(reason, FK_DRAIN_REASON_DRAIN);
  return unneeded ? GAIN_UNNEEDED : GAIN_UNAVAILABLE;
}

typedef struct {
  FkShard *shard;
  double gain;
} DuePage;

static int compare_gain(gconstpointer a, gconstpointer b) {
  const DuePage *first = a, *second = b;
  if (first->gain != second->gain)
    return first->gain > second->gain ? -1 : 1;
  return g_strcmp0(first->shard->id, second->shard->id);
}

static gboolean is_due(FkController *c, const FkShard *shard) {
  /* Pages larger than the store's planned lower limit are split by the shard's owner. Only controllers that
   * support job dependencies can read split pages, so the owner waits until all controllers do. */
  gboolean split_due =
      shard->oversized && fk_shard_is_owned(c, shard) && fk_job_dependencies_are_supported(c);
  gboolean removal = shard->removal_write_due.us && fk_time_reached(c->now, shard->removal_write_due);
  return shard->page_dirty || split_due || removal;
}

/* Returns the shards whose pages are due to be written, sorted by decreasing gain. */
static GArray *due_pages(FkController *c) {
  GArray *due = g_array_new(FALSE, FALSE, sizeof(DuePage));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->view->shards);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    FkShard *shard = value;
    if (!is_due(c, shard))
      continue;
    DuePage page = {.shard = shard};
    if (shard->page_dirty)
      page.gain = GAIN_PER_SECOND * fk_time_between(shard->page_dirty_since, c->now);
    for (guint i = 0; i < shard->machines->len; i++)
      page.gain += machine_gain(shard->machines->pdata[i]);
    g_array_append_val(due, page);
  }
  g_array_sort(due, compare_gain);
  return due;
}

/* ---- writing ---- */

static void pages_written(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch, GPtrArray *failed) {
  c->shards.page_writing = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->shards.page_wait_rev = epoch;
  else
    c->shards.page_write_after = fk_write_retry_at(c);
}

/* Returns a transaction that writes as many due pages as fit, those with the largest gain first. Returns NULL
 * if no page changes. */
static FkOutput *write_due_pages(FkController *c) {
  FkOutput *transaction = NULL;
  guint bytes = 0;
  guint writes_max = (guint)CLAMP(c->launches.launch_writes_available, WRITES_MIN,
                                  MIN(c->settings->transaction_ops_max, WRITES_MAX));
  g_autoptr(GArray) due = due_pages(c);
  for (guint i = 0; i < due->len && bytes < TRANSACTION_FULL_BYTES; i++) {
    if (transaction && transaction->writes->len >= writes_max)
      break;
    FkShard *shard = g_array_index(due, DuePage, i).shard;
    g_auto(FkMachinePages) pages = {0};
    if (!fk_machine_pages_build(c, shard, &pages)) {
      shard->page_dirty = shard->oversized = FALSE;
      shard->removal_write_due.us = 0;
      continue;
    }
    if (!transaction)
      transaction = fk_transaction_new(c, FK_PRIORITY_LAUNCH);
    if (!fk_machine_pages_write(c, transaction, shard, &pages, writes_max))
      break;
    /* A dirty page stays dirty until the view shows its changes; the gain from waiting restarts. */
    shard->page_dirty_since = c->now;
    bytes += fk_machine_pages_changed_bytes(&pages);
  }
  return transaction;
}

void fk_machine_registry_tick(FkController *c) {
  if (c->shards.page_writing || c->view->applied.n < c->shards.page_wait_rev.n ||
      !fk_time_reached(c->now, c->shards.page_write_after))
    return;
  FkOutput *transaction = write_due_pages(c);
  if (!transaction)
    return;
  double pause_s = fk_write_pace_s(c, transaction->writes->len, WRITE_SHARE);
  c->shards.page_write_after = fk_time_add(c->now, MIN(WRITE_PAUSE_MAX_S, pause_s));
  c->shards.page_writing = TRUE;
  fk_transaction_send(c, transaction, pages_written, NULL, NULL);
}
