/* Which machines have room, kept from change to change: a look at placement begins with those alone. */
#pragma once
#include "core/controller_internal.h"

FkRooms *fk_rooms_new(void);
void fk_rooms_free(FkRooms *r);
/* The view is read anew. */
void fk_rooms_forget(FkRooms *r);
/* Takes over what has changed in the view since the last time. */
void fk_rooms_refresh(FkController *c);
/* Usable machines with room for that much, FkMachine: those of this home, or of all. */
GPtrArray *fk_rooms_open(FkController *c, gboolean ours, double cpus, double mem_gb);
/* All usable machines, FkMachine, with or without room. */
GPtrArray *fk_usable_machines(FkController *c);
/* All machines of this home, FkMachine, usable or not; borrowed until the next refresh. */
const GPtrArray *fk_rooms_ours(FkController *c);
/* Room on spot machines that may be used, in CPUs, as far as it is needed. */
double fk_rooms_spot(FkController *c, double needed);
/* Machines looked at so far: what looks have cost. */
guint64 fk_rooms_looked_at(const FkRooms *r);
