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
  double stillborn;  /* chance that a rented machine never comes up */
  double faulty;     /* chance that a job fails on every machine, until its user cancels it after a while */
  gboolean freezes;  /* controllers stand still for 5 to 60 s while their clocks run */
  gboolean guests;   /* a team without guarantee or limit comes with one huge array, long tasks and tiny jobs,
                        one with   a guarantee alone and one with a limit alone with an array each */
  gboolean
      deaf; /* machines that are heard and hear nothing: one, or a tenth of all, for seconds to minutes */
  double copies;   /* chance that a report, a command or a transaction that was carried out comes once more,
                      a second to two and a half leases later; reports at any controller */
  gboolean alone;  /* a controller loses the store and the other controllers, but not its workers */
  gboolean quick;  /* what ends is back after 0.05 to 0.5 s, sometimes to end again at once; machines too,
                      with session, report and token starting anew */
  gboolean large;  /* one job of each kind that is hard to place, under a stream of small ones */
  gboolean clocks; /* the steady clocks are off by all that PROTOCOL allows, in turn */
  /* The growth experiment: nothing but so many services of one task, all up when a share of the machines is
   * lost at once. */
  guint services;
  double loss_at, loss_share;
  /* Processor time so far, in ns; NULL: what the cores take isn't measured. */
  gint64 (*clock_ns)(void);
} SimPlan;

/* What a loss of many machines cost, from the moment of the loss to the last replica's start; seconds are
 * simulated ones. */
typedef struct {
  guint up;   /* services up just before */
  guint lost; /* of them, those whose machine was lost */
  guint back; /* of those, the ones that run again */
  double first_s, half_s, last_s;
  guint requests, writes; /* at the store */
  guint returns, rents;   /* calls at the cloud */
  double core_ms;         /* processor time of all controllers' cores, in real milliseconds */
} SimRecovery;

typedef struct {
  guint submitted, accepted, done, cancelled, started, finished;
  guint unfinished;
  guint worst_class; /* percent of the jobs of the class that was served worst; 100 where none is due */
  guint sick;        /* healthy machines that were returned though nothing else was wrong with them */
  guint requests, writes, refused; /* at the store */
  guint lapsed;                    /* leases that ran out with tasks on the machine */
  double silence_s; /* the longest without an answer about a job, once all troubles were over */
  double begin_s;   /* the longest that a job waited for its first task, from its acceptance or the end of the
                       troubles on */
  double large_s;   /* ... a large one, troubles or not */
  char *broken;     /* the first broken rule, or NULL */
  SimRecovery recovery;
} SimResult;

SimResult sim_run(const FkSettings *s, const SimPlan *plan);
