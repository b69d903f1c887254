/* Functions of the leader's modules that only leader.c and window.c call. */
#pragma once
#include "core/controller_internal.h"

/* job_finalization.c */

/* Writes the terminal states of jobs that have ended, and deletes their live records. If no job can be
 * finalized, deletes chunks whose job has no live record. One transaction is in flight at a time. */
void fk_job_finalization_tick(FkController *c);

/* leader_preemption.c */

/* Stops running tasks so that they are restarted later: tasks on machines to be evacuated, all tasks of gangs
 * that have lost a member, tasks preempted for services that fit on no machine, and tasks whose capacity is
 * reclaimed for a blocked job (core/scheduling/preemption.h). */
void fk_leader_preemption_tick(FkController *c);

/* window.c */

/* Clears the blacklist (the machines of the short partition), so that newly arrived long jobs may use all
 * machines again. */
void fk_window_clear_blacklist(FkController *c);
