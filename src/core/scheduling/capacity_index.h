/* Which machines have room, kept from change to change: a look at placement begins with those alone. */
#pragma once
#include "core/controller_internal.h"

FkCapacityIndex *fk_capacity_index_new(void);
void fk_capacity_index_free(FkCapacityIndex *r);
/* The view is read anew. */
void fk_capacity_index_reset(FkCapacityIndex *r);
/* Takes over what has changed in the view since the last time. */
void fk_capacity_index_refresh(FkController *c);
/* Usable machines with room for that much, FkMachine: those of this home, or of all. */
GPtrArray *fk_capacity_index_find_open(FkController *c, gboolean ours, double cpus, double mem_gb);
/* All usable machines, FkMachine, with or without room. */
GPtrArray *fk_capacity_index_usable_machines(FkController *c);
/* All machines of this home, FkMachine, usable or not; borrowed until the next refresh. */
const GPtrArray *fk_capacity_index_owned_machines(FkController *c);
/* Room on spot machines that may be used, in CPUs, as far as it is needed. */
double fk_capacity_index_spot_cpus(FkController *c, double needed);
/* Machines looked at so far: what looks have cost. */
guint64 fk_capacity_index_examined_count(const FkCapacityIndex *r);
