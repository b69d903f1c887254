/* The capacity index: machines by their free CPUs, updated incrementally, so that a scheduling cycle needn't
 * examine machines without enough free CPUs. */
#pragma once
#include "core/controller_internal.h"

FkCapacityIndex *fk_capacity_index_new(void);
void fk_capacity_index_free(FkCapacityIndex *index);
/* Empties the index. Called before the view is read from the store again. */
void fk_capacity_index_reset(FkCapacityIndex *index);

/* Updates the index with the changes of the view since the last call. */
void fk_capacity_index_refresh(FkController *c);
/* Returns the usable machines (FkMachine, borrowed) that have at least `cpus` and `mem_gb` neither allocated
 * nor reserved. With `owned_only`, only machines that this controller owns are returned. The caller frees the
 * array. */
GPtrArray *fk_capacity_index_find_open(FkController *c, gboolean owned_only, double cpus, double mem_gb);
/* Returns all usable machines (FkMachine, borrowed), with or without free capacity. The caller frees the
 * array. */
GPtrArray *fk_capacity_index_usable_machines(FkController *c);
/* Returns the indexed machines that this controller owns, usable or not; borrowed until the next refresh. */
const GPtrArray *fk_capacity_index_owned_machines(FkController *c);
/* Returns the sum of the free CPUs of spot machines that aren't draining. Stops adding once the sum has
 * reached `needed`. Machines that are almost full aren't counted. */
double fk_capacity_index_spot_cpus(FkController *c, double needed);
/* Returns how many machines have been examined since the index was created: a measure of what the cycles
 * cost. */
guint64 fk_capacity_index_examined_count(const FkCapacityIndex *index);
