/* Builds the pages of the machine registry that describe a shard's machines, and writes the changed pages. */
#pragma once
#include "core/controller_internal.h"

typedef struct {
  GPtrArray *machines[FK_SHARD_PAGES_MAX]; /* FkMachineRecord, owned; NULL for a page without machines */
  guint bytes[FK_SHARD_PAGES_MAX];         /* upper bound of the page's size, in bytes */
  gboolean changed[FK_SHARD_PAGES_MAX];    /* the page differs from the one in the store */
} FkMachinePages;

/* Builds the shard's pages from its machines' records and the requested changes, and drops requests that are
 * already fulfilled. Returns whether any page changes. `pages` must be zeroed; the caller clears it. */
gboolean fk_machine_pages_build(FkController *c, FkShard *shard, FkMachinePages *pages);
/* Adds a write of each changed page to the transaction. Adds none and returns FALSE if the transaction
 * already has writes and would exceed `writes_max` writes. */
gboolean fk_machine_pages_write(FkController *c, FkOutput *transaction, const FkShard *shard,
                                FkMachinePages *pages, guint writes_max);
/* Returns an upper bound of the changed pages' total size, in bytes. */
guint fk_machine_pages_changed_bytes(const FkMachinePages *pages);
void fk_machine_pages_clear(FkMachinePages *pages);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(FkMachinePages, fk_machine_pages_clear)
