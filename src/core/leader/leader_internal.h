/* What the modules of the leader share. Each is called from leader.c (or window.c) only. */
#pragma once
#include "core/controller_internal.h"

/* job_finalization.c */

/* Writes the terminal states of jobs that have ended and deletes their live records; then deletes chunks that
 * deleted jobs left behind. One transaction is in flight at a time. */
void fk_job_finalization_tick(FkController *c);

/* leader_preemption.c */

/* Stops tasks that must leave their machine although their job goes on: on machines that are drained or about
 * to be reclaimed by the cloud, in gangs that have lost a member, and the victims of services that fit
 * nowhere. */
void fk_leader_preemption_tick(FkController *c);

/* window.c */

/* Opens all machines of the short partition to long jobs again. */
void fk_window_clear_blacklist(FkController *c);
