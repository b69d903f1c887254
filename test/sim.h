/* A small world in simulated time: three controller cores, and stand-ins for the store, the cloud, the
 * workers and the users, all after PROTOCOL. Messages may be slow, lost or late; processes and machines may
 * die or hang. The rules are checked at every step against what truly happens on the machines. */
#pragma once
#include "core/controller.h"

typedef struct Sim Sim;

typedef struct {
  guint64 seed;
  double seconds;
  double submit_s;   /* new jobs until then; 0: for 0.6 of the time */
  double lost, late; /* chance that a message's answer is lost, or the message is late */
  gboolean kills, cuts, outages, deaths, hangs, cancels, gangs;
  guint machines;
} SimPlan;

typedef struct {
  guint submitted, accepted, done, cancelled, started, finished;
  guint unfinished;
  char *broken; /* the first broken rule, or NULL */
} SimResult;

SimResult sim_run(const FkSettings *s, const SimPlan *plan);
