/* Whose turn it is: the order of waiting jobs, who must leave room to whom, and what each team is due. */
#pragma once
#include "core/controller_internal.h"

FkTurn *fk_turn_new(const FkSettings *s);
void fk_turn_free(FkTurn *o);
/* The view is read anew. */
void fk_turn_forget(FkTurn *o);

/* FkJob, borrowed from the view: those with tasks that may start now, the first to go first. Works out anew
 * all that the other functions tell. Of very many only the first, and some of the others in turns. */
GPtrArray *fk_turn_waiting(FkController *c);
/* Something of a rank above the usual one waits that this controller may place. */
gboolean fk_turn_urgent_waits(FkController *c);
/* Jobs that took their places anew so far, in all looks: what looks have cost. */
guint64 fk_turn_touched(const FkTurn *o);
/* The job must leave the machine's room alone: work that goes before it waits for such room. Small tasks of a
 * low rank would else fill every gap as it opens, and larger ones find none for ever: with a guest's 7,000
 * tasks of two CPUs beside them, arrays of four waited for 400 s. */
gboolean fk_turn_yields(FkController *c, const FkJob *j, const FkMachine *m);
/* A job of a team without a guarantee, of a class that no aim speaks of: nothing dear is rented for it once
 * half of its class is served. It may run on dear machines that are there. */
gboolean fk_turn_frugal(FkController *c, const FkJob *j);
/* What a team uses, wants and is due, by the latest look; CPUs. The team must be one of the settings'. */
const FkClaimant *fk_turn_claimant(FkController *c, const char *team);
/* CPUs of the machines that are up. */
double fk_turn_room(FkController *c);
/* The array whose turn it is that waits for room, or NULL; borrowed until the next look. */
const FkJob *fk_turn_first(FkController *c);
/* CPUs of the arrays that wait though others must yield to them, and how long the first of them has. */
double fk_turn_ahead(FkController *c, double *waited_s);
