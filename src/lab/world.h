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
  guint controllers; /* 0: three */
  guint up;          /* machines at the start, if more than three; the cloud then has no more than these */
  double scale;      /* jobs come so many times as often; 0: once */
  gboolean budgets;  /* the store refuses what is over its rates */
  gboolean masses;   /* zones are cut off, many machines die or hang at once */
  gboolean more;     /* a slow store, one controller alone refused, controllers that refuse each other */
} SimPlan;

typedef struct {
  guint submitted, accepted, done, cancelled, started, finished;
  guint unfinished;
  guint requests, writes, refused; /* at the store */
  char *broken;                    /* the first broken rule, or NULL */
} SimResult;

SimResult sim_run(const FkSettings *s, const SimPlan *plan);
