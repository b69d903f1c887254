/* The capacity index: machines by their free capacity, updated incrementally, so that a scheduling cycle only
 * goes through machines with room. */
#pragma once
#include "core/controller_internal.h"

FkCapacityIndex *fk_capacity_index_new(void);
void fk_capacity_index_free(FkCapacityIndex *index);
/* Empties the index: the view is going to be read again. */
void fk_capacity_index_reset(FkCapacityIndex *index);

/* Applies what has changed in the view since the last call. */
void fk_capacity_index_refresh(FkController *c);
/* Usable machines with so much free (FkMachine, borrowed; free the array): those that this controller owns,
 * or all. */
GPtrArray *fk_capacity_index_find_open(FkController *c, gboolean owned_only, double cpus, double mem_gb);
/* All usable machines, with or without free capacity; the same ownership. */
GPtrArray *fk_capacity_index_usable_machines(FkController *c);
/* All machines that this controller owns, usable or not; borrowed until the next refresh. */
const GPtrArray *fk_capacity_index_owned_machines(FkController *c);
/* Free CPUs of spot machines that aren't draining; counted up to `needed` at least, where there are so many.
 */
double fk_capacity_index_spot_cpus(FkController *c, double needed);
/* How many machines were examined so far: what the cycles have cost. */
guint64 fk_capacity_index_examined_count(const FkCapacityIndex *index);
