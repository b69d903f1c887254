/* Whose turn it is: the order of waiting jobs, who must leave room to whom, and what each team is due. */
#pragma once
#include "core/controller_internal.h"

FkSchedulingQueue *fk_scheduling_queue_new(const FkSettings *s);
void fk_scheduling_queue_free(FkSchedulingQueue *o);
/* The view is read anew. */
void fk_scheduling_queue_reset(FkSchedulingQueue *o);

/* FkJob, borrowed from the view: those with tasks that may start now, the first to go first. Works out anew
 * all that the other functions tell. Of very many only the first, and some of the others in turns. */
GPtrArray *fk_scheduling_queue_select_jobs(FkController *c);
/* Something of a rank above the usual one waits that this controller may place. */
gboolean fk_scheduling_queue_has_urgent(FkController *c);
/* Jobs that took their places anew so far, in all looks: what looks have cost. */
guint64 fk_scheduling_queue_refreshed_count(const FkSchedulingQueue *o);
/* The job must leave the machine's room alone: work that goes before it waits for such room. Small tasks of a
 * low rank would else fill every gap as it opens, and larger ones find none for ever: with a guest's 7,000
 * tasks of two CPUs beside them, arrays of four waited for 400 s. */
gboolean fk_scheduling_queue_must_back_off(FkController *c, const FkJob *j, const FkMachine *m);
/* A job of a team without a guarantee, of a class that no aim speaks of: nothing dear is rented for it once
 * half of its class is served. It may run on dear machines that are there. */
gboolean fk_scheduling_queue_is_low_cost_only(FkController *c, const FkJob *j);
/* What a team uses, wants and is due, by the latest look; CPUs. The team must be one of the settings'. */
const FkFairShareDemand *fk_scheduling_queue_team_share(FkController *c, const char *team);
/* CPUs of the machines that are up. */
double fk_scheduling_queue_fleet_cpus(FkController *c);
/* The array whose turn it is that waits for room, or NULL; borrowed until the next look. */
const FkJob *fk_scheduling_queue_first_blocked(FkController *c);
/* CPUs of the arrays that wait though others must yield to them, and how long the first of them has. */
double fk_scheduling_queue_blocked_cpus(FkController *c, double *waited_s);
