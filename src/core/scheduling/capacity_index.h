/* The capacity index: machines by their free capacity, updated incrementally, so that a scheduling cycle
 * examines only machines that have free capacity. */
#pragma once
#include "core/controller_internal.h"

FkCapacityIndex *fk_capacity_index_new(void);
void fk_capacity_index_free(FkCapacityIndex *index);
/* Empties the index, before the view is read from the store again. */
void fk_capacity_index_reset(FkCapacityIndex *index);

/* Applies the changes of the view since the last call. */
void fk_capacity_index_refresh(FkController *c);
/* Returns the usable machines (FkMachine, borrowed) with at least `cpus` and `mem_gb` free: those that this
 * controller owns, or all. The caller frees the array. */
GPtrArray *fk_capacity_index_find_open(FkController *c, gboolean owned_only, double cpus, double mem_gb);
/* Returns all usable machines (FkMachine, borrowed), with or without free capacity. The caller frees the
 * array. */
GPtrArray *fk_capacity_index_usable_machines(FkController *c);
/* Returns all machines that this controller owns, usable or not; borrowed until the next refresh. */
const GPtrArray *fk_capacity_index_owned_machines(FkController *c);
/* Returns the free CPUs of spot machines that aren't draining. Stops counting once `needed` is reached. */
double fk_capacity_index_spot_cpus(FkController *c, double needed);
/* Returns how many machines have been examined so far: a measure of what the cycles cost. */
guint64 fk_capacity_index_examined_count(const FkCapacityIndex *index);
