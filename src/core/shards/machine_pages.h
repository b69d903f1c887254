/* A shard's pages of the machine registry as they should be, and how they are written. */
#pragma once
#include "core/controller_internal.h"

typedef struct {
  GPtrArray *machines[FK_SHARD_PAGES_MAX]; /* FkMachineRecord; NULL: none */
  guint bytes[FK_SHARD_PAGES_MAX];         /* at the most */
  gboolean changed[FK_SHARD_PAGES_MAX];    /* to be written */
} FkMachinePages;

/* Works out the shard's pages from what is registered and what is requested for its machines. Returns FALSE
 * when nothing is to be written. `pages` must be zeroed, and is cleared by the caller. */
gboolean fk_machine_pages_build(FkController *c, FkShard *shard, FkMachinePages *pages);
/* Adds the pages that change to the transaction, all or none. Returns FALSE when they don't fit beside what
 * is in it, with `writes_max` writes at the most. */
gboolean fk_machine_pages_write(FkController *c, FkOutput *transaction, const FkShard *shard,
                                FkMachinePages *pages, guint writes_max);
/* The size of the pages that change. */
guint fk_machine_pages_changed_bytes(const FkMachinePages *pages);
void fk_machine_pages_clear(FkMachinePages *pages);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(FkMachinePages, fk_machine_pages_clear)
