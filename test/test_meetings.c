/* Two troubles that meet: first the meetings that docs/meetings.md has by name, then every fault with every
 * other at seeded offsets, at three and five controllers. The world's checkers know nothing of the core: they
 * count from what a user was told, and look at what is on the machines. */
#include <string.h>

#include "schedules.h"
#include "simulation/simulation.h"

#define FAULTS_MAX 12

typedef struct {
  const char *name;
  guint64 seeds;
  SimFault faults[FAULTS_MAX]; /* up to the first without a duration or time */
  double run_s;                /* 0: tasks of 1 to 15 s */
  double seconds;              /* 0: 300 */
  gboolean quick, clocks;
  double scale;  /* jobs come so many times as often; 0: twice */
  double limits; /* the teams' limits, times those of good.json; 0: 20, which nobody reaches */
  double tiny;   /* one-task jobs a second */
  double boot_s; /* rented machines are up within this, ... */
  double
      chains; /* pipelines a second; guint deep, fan: jobs in one row, and round one job, cancelled at ... */
  guint deep, fan;
  gboolean ask_no_more; /* users who were told the end */
  double cancel_deep_s;
  double roll_s;   /* all begin as the version in production; the first comes back new then, the others 4 s
                      apart */
  double limits_s; /* the store's limits fall then: from 2 KiB and 32 changes to half, and 42 of 60 writes */
  guint up;        /* ... and so many at the start; 0: 24 of 30 */
} Meeting;

/* The lease is 20 s, a cancellation has 40 s, homes trust their view for 58 s, and a cancellation is told
 * after 40 s at the latest: the outage is longer than all of them. */
#define GAP(before, refused, out)                                                                            \
  {60, refused, SIM_REFUSE, SIM_LEADER}, {60 - before, before + 1.5, SIM_RUSH}, { 61.5, out, SIM_OUTAGE }
#define LONG .run_s = 60

static const Meeting meetings[] = {
    /* cancelled before the refusal shows, during it, in the last instants before the outage; asked by
       everybody for as long as the outage lasts */
    {"gap", 8, {GAP(1, 14, 90)}, LONG},
    {"gap_late", 4, {{60, 14, SIM_REFUSE, SIM_LEADER}, {61, 0.5, SIM_RUSH}, {61.5, 90, SIM_OUTAGE}}, LONG},
    {"gap_long",
     4,
     {{50, 40, SIM_REFUSE, SIM_LEADER}, {50, 25, SIM_RUSH}, {75, 90, SIM_OUTAGE}},
     LONG,
     .seconds = 340},
    /* ... twice in a row, the pause shorter than a lease */
    {"gap_twice",
     4,
     {GAP(1, 14, 60), {130, 14, SIM_REFUSE, SIM_LEADER}, {129, 3, SIM_RUSH}, {132, 60, SIM_OUTAGE}},
     LONG,
     .seconds = 340},
    /* ... another is refused as well, has seen nothing, and vouches for the old leader: one isn't enough */
    {"gap_two_refused", 4, {GAP(1, 14, 90), {59.5, 14, SIM_REFUSE, SIM_OTHERS}}, LONG},
    /* ... those who told end while the outage lasts: their next lives know of nothing, and vouch for nothing
     */
    {"gap_forgotten",
     4,
     {GAP(1, 14, 125),
      {104, 0, SIM_CRASH, SIM_OTHERS},
      {104.2, 0, SIM_CRASH, SIM_OTHERS},
      {104.4, 0, SIM_CRASH, SIM_OTHERS},
      {104.6, 0, SIM_CRASH, SIM_OTHERS},
      {104.8, 0, SIM_CRASH, SIM_OTHERS}},
     LONG,
     .seconds = 360},
    /* ... who told ends, stands still, or is back within a moment; all of them */
    {"gap_crash", 4, {GAP(1, 14, 90), {64, 0, SIM_CRASH, SIM_OTHERS}, {80, 0, SIM_CRASH, SIM_OTHERS}}, LONG},
    {"gap_quick",
     4,
     {GAP(1, 14, 90), {61.7, 0, SIM_CRASH, SIM_OTHERS}, {95, 0, SIM_CRASH, SIM_OTHERS}},
     LONG,
     .quick = TRUE},
    {"gap_freeze", 4, {GAP(1, 14, 90), {62, 30, SIM_FREEZE, SIM_OTHERS}}, LONG},
    /* ... the old leader stands still and goes on */
    {"gap_leader_freeze", 4, {GAP(1, 14, 90), {63, 50, SIM_FREEZE, SIM_LEADER}}, LONG},
    {"gap_leader_freeze_early",
     4,
     {GAP(1, 14, 90), {60.5, 25, SIM_FREEZE, SIM_LEADER}, {100, 25, SIM_FREEZE, SIM_LEADER}},
     LONG},
    /* ... peers don't hear each other */
    {"gap_peers", 4, {GAP(1, 14, 90), {60, 95, SIM_PEERS_REFUSE}}, LONG},
    {"gap_peers_late", 4, {GAP(1, 14, 90), {75, 30, SIM_PEERS_REFUSE}}, LONG},
    /* ... the refusal is a cut, its messages held back; the leader is alone with its workers */
    {"gap_cut", 4, {{60, 30, SIM_CUT_STATE, SIM_LEADER}, {59, 2.5, SIM_RUSH}, {61.5, 90, SIM_OUTAGE}}, LONG},
    {"gap_alone",
     4,
     {{60, 120, SIM_ALONE, SIM_LEADER}, {59, 20, SIM_RUSH}, {90, 90, SIM_OUTAGE}},
     LONG,
     .seconds = 340},
    /* ... the store is slow, commits are late: who asked doesn't know whether it is cancelled */
    {"gap_slow", 4, {GAP(1, 14, 90), {50, 12, SIM_SLOW}}, LONG},
    {"gap_late_writes", 4, {GAP(1, 14, 90), {55, 6.5, SIM_LATE_WRITES, .share = 0.5}}, LONG},
    /* ... the clocks at their bound; machines that hang, are deaf, begin anew */
    {"gap_clocks", 4, {GAP(1, 14, 90)}, LONG, .clocks = TRUE},
    {"gap_hang", 4, {GAP(1, 14, 90), {58, 18, SIM_HANG, .share = 0.5}}, LONG},
    {"gap_deaf", 4, {GAP(1, 14, 90), {58, 40, SIM_DEAF, .share = 0.5}}, LONG},
    {"gap_anew", 4, {GAP(1, 14, 90), {70, 0, SIM_ANEW, .share = 0.5}, {90, 0, SIM_ANEW, .share = 0.5}}, LONG},
    {"gap_held", 4, {GAP(1, 14, 90), {55, 60, SIM_HELD, .share = 0.5}}, LONG},
    {"gap_copies", 4, {GAP(1, 14, 90), {40, 100, SIM_COPIES, .share = 0.3}}, LONG},
    /* ... groups are claimed just before the refusal, and their workers hear of it late */
    {"gap_claimed",
     4,
     {{52, 0, SIM_CRASH, SIM_OTHERS}, {58, 60, SIM_CUT_WORKERS, SIM_OTHERS}, GAP(1, 14, 90)},
     LONG},
    /* jobs of two or three tasks that end far apart, under one leader after another: by ends, by refusals */
    {"far_ends",
     4,
     {{45, 100, SIM_LATE_WRITES, .share = 0.3},
      {50, 0, SIM_CRASH, SIM_LEADER},
      {70, 0, SIM_CRASH, SIM_LEADER},
      {90, 0, SIM_CRASH, SIM_LEADER},
      {110, 0, SIM_CRASH, SIM_LEADER},
      {130, 0, SIM_CRASH, SIM_LEADER}},
     .run_s = 70},
    {"far_ends_refused",
     4,
     {{50, 15, SIM_REFUSE, SIM_LEADER},
      {70, 15, SIM_REFUSE, SIM_LEADER},
      {90, 25, SIM_CUT_STATE, SIM_LEADER},
      {120, 15, SIM_FREEZE, SIM_LEADER},
      {60, 90, SIM_COPIES}},
     .run_s = 70},
    /* handed over and back, all end, one or more return, within a second: twice */
    {"hand_back",
     4,
     {{60, 8, SIM_REFUSE, SIM_LEADER},
      {69, 8, SIM_REFUSE, SIM_LEADER},
      {76, 0, SIM_CRASH, SIM_ALL},
      {76.4, 0, SIM_CRASH, SIM_ANYBODY},
      {76.8, 0, SIM_CRASH, SIM_ANYBODY},
      {100, 8, SIM_REFUSE, SIM_LEADER},
      {105, 0, SIM_CRASH, SIM_ALL},
      {105.3, 0, SIM_CRASH, SIM_ALL},
      {95, 30, SIM_RUSH}},
     .quick = TRUE},
    /* old reports after newer ones: of earlier sessions, attempts, homes, lives */
    {"old_reports",
     4,
     {{40, 120, SIM_COPIES, .share = 0.5},
      {60, 0, SIM_CRASH, SIM_LEADER},
      {75, 18, SIM_HANG, .share = 0.5},
      {80, 30, SIM_CUT_WORKERS, SIM_OTHERS},
      {90, 0, SIM_ANEW},
      {105, 0, SIM_CRASH, SIM_ALL},
      {110, 25, SIM_DEAF},
      {85, 30, SIM_RUSH}},
     .quick = TRUE},
    /* the leader has neither store nor peers, but workers and users; jobs are cancelled through the next one
     */
    {"cut_both",
     4,
     {{60, 70, SIM_ALONE, SIM_LEADER},
      {70, 40, SIM_RUSH},
      {140, 35, SIM_ALONE, SIM_LEADER},
      {142, 20, SIM_RUSH},
      {100, 0, SIM_CRASH, SIM_OTHERS}},
     .run_s = 40},
    /* transactions without an answer, carried out after newer ones of the same controller */
    {"late_writes",
     4,
     {{40, 120, SIM_LATE_WRITES, .share = 0.6},
      {60, 60, SIM_RUSH},
      {70, 0, SIM_CRASH, SIM_LEADER},
      {85, 0, SIM_CRASH, SIM_ALL},
      {110, 20, SIM_REFUSE, SIM_OTHERS},
      {120, 60, SIM_COPIES}},
     .quick = TRUE},
    /* a slow store, then one refused, then everybody, while users cancel and ask */
    {"slow_store",
     4,
     {{50, 70, SIM_SLOW},
      {60, 14, SIM_REFUSE, SIM_LEADER},
      {58, 20, SIM_RUSH},
      {75, 50, SIM_OUTAGE},
      {140, 30, SIM_SLOW},
      {145, 20, SIM_RUSH}},
     LONG},
    /* a leader ends while machines with long tasks are deaf, hang or are cut off */
    {"leader_ends",
     4,
     {{50, 45, SIM_DEAF, .share = 0.4},
      {55, 18, SIM_HANG, .share = 0.3},
      {60, 0, SIM_CRASH, SIM_LEADER},
      {64, 0, SIM_CRASH, SIM_LEADER},
      {75, 20, SIM_RUSH},
      {100, 30, SIM_ZONE},
      {104, 0, SIM_CRASH, SIM_LEADER}},
     LONG},
    /* commands and their answers are held for seconds across sessions, claims, hangs and the jobs' ends */
    {"held",
     4,
     {{40, 120, SIM_HELD, .share = 0.7},
      {60, 0, SIM_CRASH, SIM_LEADER},
      {70, 18, SIM_HANG, .share = 0.5},
      {80, 30, SIM_RUSH},
      {95, 25, SIM_CUT_WORKERS, SIM_ANYBODY},
      {115, 0, SIM_ANEW}}},
    /* a controller has lost store and peers, and another its groups to the others; machines begin anew, have
       seen no token, and come to the old one first */
    {"alone_anew",
     4,
     {{50, 100, SIM_ALONE, SIM_LEADER},
      {70, 0, SIM_ANEW, .share = 0.7},
      {82, 0, SIM_ANEW, .share = 0.7},
      {94, 0, SIM_ANEW, .share = 0.7},
      {106, 0, SIM_ANEW, .share = 0.7},
      {118, 0, SIM_ANEW, .share = 0.7},
      {75, 20, SIM_RUSH}}},
    /* ... it had lost its workers as well, and has heard of no later token when they are back */
    {"back_anew",
     4,
     {{50, 100, SIM_ALONE, SIM_LEADER},
      {50, 25, SIM_CUT_WORKERS, SIM_LEADER},
      {75.2, 0, SIM_ANEW, .share = 0.7},
      {79, 0, SIM_ANEW, .share = 0.7},
      {83, 0, SIM_ANEW, .share = 0.7},
      {88, 0, SIM_ANEW, .share = 0.7},
      {95, 0, SIM_ANEW, .share = 0.7},
      {65, 20, SIM_RUSH}},
     .run_s = 20},
    /* users look closely, all day, at every controller: in calm, ... */
    {"looks", 4, {{5, 290, SIM_LOOKS}, {40, 100, SIM_CANCEL_AT_END, .share = 0.5}}, .scale = 4},
    /* ... while the leader ends, again and again; work changes hands; the store is slow, refuses one, is out
     */
    {"looks_leaders",
     4,
     {{5, 290, SIM_LOOKS},
      {40, 100, SIM_RUSH},
      {50, 0, SIM_CRASH, SIM_LEADER},
      {60, 0, SIM_CRASH, SIM_LEADER},
      {70, 0, SIM_CRASH, SIM_ALL},
      {85, 12, SIM_REFUSE, SIM_LEADER},
      {100, 20, SIM_FREEZE, SIM_LEADER}},
     .quick = TRUE,
     .scale = 4},
    {"looks_store",
     4,
     {{5, 290, SIM_LOOKS},
      {40, 120, SIM_RUSH},
      {45, 40, SIM_SLOW},
      {60, 14, SIM_REFUSE, SIM_LEADER},
      {75, 14, SIM_CUT_STATE, SIM_OTHERS},
      {95, 15, SIM_OUTAGE},
      {115, 40, SIM_LOST_ANSWERS, .share = 0.5},
      {130, 40, SIM_LATE_WRITES, .share = 0.4}},
     .scale = 4},
    /* only the answer is lost, while others read what was written: of any transaction, ... */
    {"lost_answers",
     4,
     {{30, 140, SIM_LOST_ANSWERS, .share = 0.5},
      {25, 150, SIM_LOOKS},
      {40, 100, SIM_RUSH},
      {70, 0, SIM_CRASH, SIM_LEADER},
      {100, 12, SIM_REFUSE, SIM_LEADER}}},
    /* ... of each by name, nearly always: accepts, cancellations and ends of jobs; launches and stops; ends;
     */
    {"lost_jobs",
     4,
     {{30, 140, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/l/j/"},
      {25, 150, SIM_LOOKS},
      {40, 100, SIM_RUSH},
      {80, 0, SIM_CRASH, SIM_LEADER}}},
    {"lost_launches",
     4,
     {{30, 140, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/l/t/"},
      {25, 150, SIM_LOOKS},
      {40, 100, SIM_RUSH},
      {80, 0, SIM_CRASH, SIM_LEADER}},
     .limits = 5},
    {"lost_ends",
     4,
     {{30, 140, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/l/r/"},
      {25, 150, SIM_LOOKS},
      {40, 100, SIM_RUSH},
      {80, 0, SIM_CRASH, SIM_LEADER}}},
    {"lost_finals",
     4,
     {{30, 140, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/d/"},
      {25, 150, SIM_LOOKS},
      {40, 100, SIM_CANCEL_AT_END, .share = 0.5},
      {80, 0, SIM_CRASH, SIM_LEADER}}},
    /* ... claims and pages of machines, as work changes hands; */
    {"lost_claims",
     4,
     {{30, 140, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/l/g/"},
      {50, 0, SIM_CRASH, SIM_LEADER},
      {65, 12, SIM_REFUSE, SIM_OTHERS},
      {60, 40, SIM_RUSH},
      {95, 0, SIM_CRASH, SIM_ALL}}},
    {"lost_pages",
     4,
     {{2, 140, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/l/m/"},
      {50, 0, SIM_DEATH, .share = 0.3},
      {60, 40, SIM_RUSH},
      {80, 0, SIM_CRASH, SIM_LEADER}},
     .up = 6,
     .boot_s = 2},
    /* ... shares of a limit, pauses and fences, at the limit */
    {"lost_shares",
     4,
     {{10, 160, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/l/q/"},
      {40, 100, SIM_RUSH},
      {60, 0, SIM_CRASH, SIM_LEADER},
      {90, 0, SIM_CRASH, SIM_ALL}},
     .limits = 4,
     .scale = 4,
     .run_s = 20},
    {"lost_fences",
     4,
     {{10, 160, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/l/f/"},
      {40, 100, SIM_RUSH},
      {60, 0, SIM_CRASH, SIM_LEADER},
      {75, 20, SIM_LATE_WRITES, .share = 0.6},
      {110, 0, SIM_CRASH, SIM_ALL}},
     .limits = 4,
     .scale = 4,
     .run_s = 20},
    /* every team at its limit, cancelled jobs on machines that hang, are cut off, deaf or mute; the leader
       changes: nothing is released without proof, and the room comes back */
    {"full_hang",
     4,
     {{60, 18, SIM_CANCEL_NOW, .share = 0.5},
      {61, 0, SIM_CRASH, SIM_LEADER},
      {66, 0, SIM_CRASH, SIM_LEADER},
      {90, 18, SIM_CANCEL_NOW, .share = 0.5},
      {90.5, 12, SIM_REFUSE, SIM_LEADER}},
     .limits = 4,
     .scale = 4,
     .run_s = 30},
    {"full_hang_long",
     4,
     {{60, 45, SIM_CANCEL_NOW, .share = 0.6},
      {62, 0, SIM_CRASH, SIM_LEADER},
      {70, 20, SIM_FREEZE, SIM_LEADER}},
     .limits = 4,
     .scale = 4,
     .run_s = 30},
    {"full_cut",
     4,
     {{59, 30, SIM_ZONE},
      {60, 0, SIM_CANCEL_NOW, .share = 0.5},
      {61, 0, SIM_CRASH, SIM_LEADER},
      {100, 30, SIM_CUT_WORKERS, SIM_LEADER},
      {101, 0, SIM_CANCEL_NOW, .share = 0.5},
      {103, 0, SIM_CRASH, SIM_LEADER}},
     .limits = 4,
     .scale = 4,
     .run_s = 30},
    /* ... launches without an answer are carried out late, after newer ones, at the limit */
    {"full_late",
     4,
     {{40, 140, SIM_LATE_WRITES, .share = 0.5, .touches = NULL},
      {60, 0, SIM_CRASH, SIM_LEADER},
      {70, 18, SIM_CANCEL_NOW, .share = 0.5},
      {75, 30, SIM_HANG, .share = 0.3},
      {100, 0, SIM_CRASH, SIM_LEADER}},
     .limits = 4,
     .scale = 4,
     .run_s = 15},
    {"full_deaf",
     4,
     {{55, 45, SIM_DEAF, .share = 0.5},
      {60, 0, SIM_CANCEL_NOW, .share = 0.5},
      {61, 0, SIM_CRASH, SIM_LEADER},
      {110, 30, SIM_MUTE, .share = 0.5},
      {112, 0, SIM_CANCEL_NOW, .share = 0.5},
      {114, 0, SIM_CRASH, SIM_LEADER}},
     .limits = 4,
     .scale = 4,
     .run_s = 30},
    /* cancelled in the seconds in which one controller's work changes hands: refused, ended, frozen, cut off
     */
    {"hands_cancelled",
     6,
     {{50, 12, SIM_REFUSE, SIM_LEADER},
      {55, 0, SIM_CANCEL_NOW, .share = 0.3},
      {56.5, 0, SIM_CANCEL_NOW, .share = 0.3},
      {58, 0, SIM_CANCEL_NOW, .share = 0.3},
      {62, 0, SIM_CANCEL_NOW, .share = 0.3},
      {90, 0, SIM_CRASH, SIM_OTHERS},
      {94, 0, SIM_CANCEL_NOW, .share = 0.3},
      {96.5, 0, SIM_CANCEL_NOW, .share = 0.4},
      {103, 0, SIM_CANCEL_NOW, .share = 0.4}},
     .scale = 4,
     .run_s = 30},
    {"hands_frozen",
     6,
     {{50, 15, SIM_FREEZE, SIM_OTHERS},
      {55.5, 0, SIM_CANCEL_NOW, .share = 0.3},
      {57, 0, SIM_CANCEL_NOW, .share = 0.3},
      {65.1, 0, SIM_CANCEL_NOW, .share = 0.4},
      {90, 30, SIM_CUT_WORKERS, SIM_LEADER},
      {98, 0, SIM_CANCEL_NOW, .share = 0.3},
      {101, 0, SIM_CANCEL_NOW, .share = 0.3},
      {104, 0, SIM_CANCEL_NOW, .share = 0.4},
      {118, 10, SIM_RUSH}},
     .scale = 4,
     .run_s = 30},
    /* machines are up within two seconds and get work at once, writes lag, the leader ends */
    {"up_at_once",
     6,
     {{15, 100, SIM_LATE_WRITES, .share = 0.4},
      {25, 0, SIM_CRASH, SIM_LEADER},
      {40, 0, SIM_CRASH, SIM_LEADER},
      {50, 0, SIM_DEATH, .share = 0.5},
      {53, 0, SIM_CRASH, SIM_LEADER},
      {60, 30, SIM_RUSH},
      {75, 0, SIM_DEATH, .share = 0.5},
      {77, 0, SIM_CRASH, SIM_ALL}},
     .boot_s = 2,
     .up = 3,
     .scale = 4},
    {"up_slowly_written",
     4,
     {{15, 60, SIM_SLOW},
      {30, 0, SIM_CRASH, SIM_LEADER},
      {45, 20, SIM_LOST_ANSWERS, .share = 0.6},
      {50, 0, SIM_DEATH, .share = 0.5},
      {53, 0, SIM_CRASH, SIM_LEADER},
      {60, 30, SIM_CLOUD},
      {95, 0, SIM_DEATH, .share = 0.5},
      {97, 0, SIM_CRASH, SIM_LEADER}},
     .boot_s = 2,
     .up = 3,
     .scale = 4},
    /* old reports reach every controller just as a new leader begins: of earlier sessions, tokens, lives */
    {"old_at_new_leader",
     6,
     {{30, 140, SIM_OLD_REPORTS, .share = 0.5},
      {50, 18, SIM_HANG, .share = 0.5},
      {58, 0, SIM_CRASH, SIM_LEADER},
      {75, 0, SIM_ANEW, .share = 0.5},
      {80, 0, SIM_CRASH, SIM_LEADER},
      {95, 25, SIM_DEAF, .share = 0.4},
      {112, 0, SIM_CRASH, SIM_LEADER},
      {100, 30, SIM_RUSH},
      {140, 0, SIM_CRASH, SIM_ALL}},
     .quick = TRUE},
    {"old_at_new_leader_long",
     4,
     {{20, 25, SIM_OLD_REPORTS, .share = 0.5},
      {50, 45, SIM_HANG, .share = 0.5},
      {97, 0, SIM_CRASH, SIM_LEADER},
      {100, 25, SIM_OLD_REPORTS, .share = 0.5},
      {130, 14, SIM_REFUSE, SIM_LEADER},
      {90, 30, SIM_RUSH}},
     LONG},
    /* pipelines: in calm, ... */
    {"chains", 4, {{5, 290, SIM_LOOKS}, {10, 200, SIM_ODD}}, .chains = 0.3},
    /* ... while the leader ends between an end and what it releases, and users cancel, ask, and repeat */
    {"chains_leaders",
     4,
     {{5, 290, SIM_LOOKS},
      {40, 110, SIM_RUSH},
      {50, 0, SIM_CRASH, SIM_LEADER},
      {62, 0, SIM_CRASH, SIM_LEADER},
      {75, 0, SIM_CRASH, SIM_ALL},
      {90, 12, SIM_REFUSE, SIM_LEADER},
      {110, 15, SIM_FREEZE, SIM_LEADER},
      {130, 0, SIM_CRASH, SIM_ALL}},
     .quick = TRUE,
     .chains = 0.3},
    /* ... the store is slow, refuses one, is out just after a cancellation, loses answers, is late */
    {"chains_store",
     4,
     {{5, 290, SIM_LOOKS},
      {30, 150, SIM_CANCEL_AT_END, .share = 0.3},
      {45, 30, SIM_SLOW},
      {60, 14, SIM_REFUSE, SIM_LEADER},
      {59, 3, SIM_RUSH},
      {62, 50, SIM_OUTAGE},
      {115, 30, SIM_LOST_ANSWERS, .share = 0.5},
      {125, 40, SIM_LATE_WRITES, .share = 0.4}},
     .chains = 0.3,
     .seconds = 340},
    {"chains_cut",
     4,
     {{5, 290, SIM_LOOKS},
      {50, 60, SIM_ALONE, SIM_LEADER},
      {55, 30, SIM_RUSH},
      {120, 45, SIM_ZONE},
      {125, 10, SIM_RUSH},
      {40, 140, SIM_COPIES}},
     .chains = 0.3,
     .seconds = 340},
    /* ... finals alone lose their answers; the last job's user cancels as it ends */
    {"chains_finals",
     4,
     {{20, 150, SIM_LOST_ANSWERS, .share = 0.8, .touches = "fk/d/"},
      {5, 290, SIM_LOOKS},
      {20, 150, SIM_CANCEL_AT_END, .share = 0.5},
      {80, 0, SIM_CRASH, SIM_LEADER}},
     .chains = 0.3},
    /* ... their teams at the limit */
    {"chains_full",
     4,
     {{5, 290, SIM_LOOKS},
      {60, 18, SIM_CANCEL_NOW, .share = 0.5},
      {61, 0, SIM_CRASH, SIM_LEADER},
      {100, 0, SIM_CRASH, SIM_ALL}},
     .limits = 4,
     .scale = 4,
     .run_s = 20,
     .chains = 0.2},
    /* 50 levels and a fan of 300, called off at their first; the store is out just after, all end */
    {"chains_deep", 2, {{5, 200, SIM_LOOKS}}, .deep = 50, .fan = 300, .cancel_deep_s = 40},
    {"chains_deep_troubles",
     4,
     {{40.5, 40, SIM_OUTAGE}, {95, 0, SIM_CRASH, SIM_ALL}, {110, 0, SIM_CRASH, SIM_LEADER}},
     .deep = 50,
     .fan = 300,
     .cancel_deep_s = 40},
    /* ... and not called off: all end with 2,000 and 50 waiting */
    {"chains_restarts",
     4,
     {{50, 0, SIM_CRASH, SIM_ALL},
      {75, 0, SIM_CRASH, SIM_ALL},
      {100, 0, SIM_CRASH, SIM_ALL},
      {125, 0, SIM_CRASH, SIM_ALL},
      {150, 0, SIM_CRASH, SIM_ALL}},
     .chains = 0.6,
     .ask_no_more = TRUE},
    {"chains_restart",
     2,
     {{60, 0, SIM_CRASH, SIM_ALL}, {105, 0, SIM_CRASH, SIM_ALL}, {115, 0, SIM_CRASH, SIM_ALL}},
     .deep = 50,
     .fan = 2000,
     .ask_no_more = TRUE,
     .seconds = 420},
    /* the version in production is rolled to this one, a controller after another, while users look closely:
       in calm, ... */
    {"roll",
     4,
     {{5, 290, SIM_LOOKS}, {40, 100, SIM_CANCEL_AT_END, .share = 0.3}},
     .roll_s = 40,
     .chains = 0.3},
    /* ... with ends, refusals, an outage and late transactions between; who ends early comes back old */
    {"roll_crash",
     6,
     {{5, 290, SIM_LOOKS},
      {30, 0, SIM_CRASH, SIM_LEADER},
      {42, 0, SIM_CRASH, SIM_LEADER},
      {46, 0, SIM_CRASH, SIM_ANYBODY},
      {49, 0, SIM_CRASH, SIM_LEADER},
      {55, 0, SIM_CRASH, SIM_ALL},
      {35, 60, SIM_RUSH},
      {90, 0, SIM_CRASH, SIM_LEADER}},
     .roll_s = 40,
     .chains = 0.3},
    {"roll_store",
     6,
     {{5, 290, SIM_LOOKS},
      {30, 50, SIM_LATE_WRITES, .share = 0.3},
      {35, 60, SIM_RUSH},
      {43, 14, SIM_OUTAGE},
      {60, 12, SIM_REFUSE, SIM_ANYBODY},
      {75, 30, SIM_LOST_ANSWERS, .share = 0.4},
      {40, 100, SIM_COPIES}},
     .roll_s = 40,
     .chains = 0.3},
    {"roll_cut",
     6,
     {{38, 40, SIM_CUT_STATE, SIM_OTHERS},
      {45, 40, SIM_FREEZE, SIM_OTHERS},
      {50, 40, SIM_ALONE, SIM_LEADER},
      {35, 80, SIM_RUSH},
      {100, 30, SIM_ZONE},
      {40, 100, SIM_OLD_REPORTS},
      {120, 0, SIM_CRASH, SIM_LEADER}},
     .roll_s = 40,
     .chains = 0.3},
    /* ... at the teams' limits, machines deaf and hung */
    {"roll_full",
     4,
     {{38, 18, SIM_CANCEL_NOW, .share = 0.5},
      {44, 30, SIM_DEAF, .share = 0.3},
      {49, 18, SIM_CANCEL_NOW, .share = 0.5},
      {50, 0, SIM_CRASH, SIM_LEADER},
      {70, 0, SIM_CRASH, SIM_ALL}},
     .roll_s = 40,
     .chains = 0.2,
     .limits = 4,
     .scale = 4,
     .run_s = 20},
    /* ... then the store's limits fall; in an outage; as a leader ends. What was written larger is divided */
    {"limits",
     4,
     {{5, 290, SIM_LOOKS}, {60, 60, SIM_RUSH}},
     .roll_s = 30,
     .limits_s = 80,
     .chains = 0.3,
     .scale = 3},
    {"limits_outage",
     6,
     {{60, 80, SIM_RUSH},
      {85, 15, SIM_OUTAGE},
      {88, 0, SIM_CRASH, SIM_LEADER},
      {105, 0, SIM_CRASH, SIM_LEADER},
      {115, 12, SIM_REFUSE, SIM_ANYBODY},
      {125, 0, SIM_DEATH, .share = 0.3},
      {130, 20, SIM_LATE_WRITES, .share = 0.3}},
     .roll_s = 30,
     .limits_s = 90,
     .chains = 0.3,
     .scale = 3},
    {"limits_all_groups",
     4,
     {{70, 0, SIM_CRASH, SIM_ALL},
      {74, 0, SIM_DEATH, .share = 0.4},
      {80, 18, SIM_CANCEL_NOW, .share = 0.7},
      {82, 0, SIM_CRASH, SIM_LEADER},
      {110, 0, SIM_CRASH, SIM_ALL}},
     .roll_s = 20,
     .limits_s = 60,
     .chains = 0.3,
     .deep = 50,
     .fan = 300,
     .cancel_deep_s = 40,
     .scale = 3},
    /* one-task jobs, four a second, a quarter of them cancelled, some at the end: in calm and not */
    {"tiny", 2, {{20, 160, SIM_CANCEL_AT_END, .share = 0.1}}, .tiny = 4},
    {"tiny_troubles",
     4,
     {{20, 160, SIM_CANCEL_AT_END, .share = 0.1},
      {50, 0, SIM_CRASH, SIM_LEADER},
      {70, 12, SIM_REFUSE, SIM_LEADER},
      {90, 15, SIM_OUTAGE},
      {120, 0, SIM_CRASH, SIM_ALL},
      {140, 25, SIM_HANG, .share = 0.3}},
     .tiny = 4},
    /* cancelled, asked about and submitted again at the end of the last task, with no other trouble */
    {"at_the_end", 4, {{10, 200, SIM_CANCEL_AT_END, .share = 0.9}, {5, 290, SIM_LOOKS}}, .scale = 4},
    /* machines reach no controller, direct commands reach them; users cancel, the leader ends */
    {"mute",
     4,
     {{50, 45, SIM_MUTE, .share = 0.4},
      {55, 0, SIM_CANCEL_NOW, .share = 0.4},
      {58, 0, SIM_CRASH, SIM_LEADER},
      {110, 15, SIM_MUTE, .share = 0.8},
      {112, 0, SIM_CRASH, SIM_LEADER}},
     .run_s = 30},
    {"mute_full",
     4,
     {{50, 60, SIM_MUTE, .share = 0.5},
      {52, 0, SIM_CRASH, SIM_LEADER},
      {55, 18, SIM_CANCEL_NOW, .share = 0.4},
      {60, 12, SIM_REFUSE, SIM_LEADER},
      {62, 30, SIM_HELD, .share = 0.5}},
     .limits = 4,
     .scale = 4,
     .run_s = 30},
    /* unfinished jobs submitted again, cancellations of what is done, jobs that can never run */
    {"odd",
     4,
     {{10, 200, SIM_ODD},
      {50, 0, SIM_CRASH, SIM_LEADER},
      {80, 12, SIM_REFUSE, SIM_LEADER},
      {100, 15, SIM_OUTAGE},
      {5, 290, SIM_LOOKS}}},
    /* all controllers are away for longer than a lease; leaders change ten times in two minutes, also inside
       an outage; a zone with a controller is cut off for longer than a lease; the cloud is out as a leader
       ends */
    {"all_away",
     4,
     {{59, 3, SIM_RUSH}, {60, 30, SIM_FREEZE, SIM_ALL}, {110, 45, SIM_FREEZE, SIM_ALL}, {108, 4, SIM_RUSH}},
     LONG,
     .seconds = 340},
    {"ten_leaders",
     4,
     {{50, 0, SIM_CRASH, SIM_LEADER},
      {61, 0, SIM_CRASH, SIM_LEADER},
      {72, 0, SIM_CRASH, SIM_LEADER},
      {83, 0, SIM_CRASH, SIM_LEADER},
      {85, 25, SIM_OUTAGE},
      {94, 0, SIM_CRASH, SIM_LEADER},
      {105, 0, SIM_CRASH, SIM_LEADER},
      {120, 0, SIM_CRASH, SIM_LEADER},
      {131, 0, SIM_CRASH, SIM_LEADER},
      {142, 0, SIM_CRASH, SIM_LEADER},
      {153, 0, SIM_CRASH, SIM_LEADER},
      {80, 60, SIM_RUSH}},
     .run_s = 30,
     .seconds = 340},
    {"zone_long",
     4,
     {{50, 35, SIM_ZONE},
      {52, 10, SIM_RUSH},
      {55, 0, SIM_CRASH, SIM_LEADER},
      {120, 70, SIM_ZONE},
      {125, 10, SIM_RUSH}},
     .run_s = 30,
     .seconds = 380},
    {"cloud_out",
     4,
     {{50, 50, SIM_CLOUD},
      {52, 0, SIM_DEATH, .share = 0.3},
      {54, 25, SIM_HANG, .share = 0.4},
      {56, 0, SIM_CRASH, SIM_LEADER},
      {60, 20, SIM_RUSH},
      {130, 30, SIM_CLOUD},
      {131, 0, SIM_CRASH, SIM_LEADER},
      {132, 0, SIM_DEATH, .share = 0.3}},
     .run_s = 30},
    /* more work than room, urgent and not, over slow links; machines of one zone are lost */
    {"more_work",
     4,
     {{40, 80, SIM_SLOW},
      {60, 0, SIM_DEATH, .share = 0.4},
      {70, 20, SIM_RUSH},
      {80, 0, SIM_CRASH, SIM_LEADER},
      {100, 0, SIM_DEATH, .share = 0.4}},
     .scale = 8,
     .run_s = 15,
     .seconds = 400},
};

static guint64 env(const char *name, guint64 otherwise) {
  const char *v = g_getenv(name);
  return v ? g_ascii_strtoull(v, NULL, 10) : otherwise;
}

static SimResult play(const Meeting *mt, const SimFault *faults, guint n, guint64 seed, guint controllers) {
  g_autoptr(FkSettings) s = schedule_settings(mt->limits > 0 ? mt->limits : 20);
  guint now_ops = s->txn_ops;
  if (mt->limits_s > 0) {
    s->value_kb = 1;
    s->txn_ops = 10;
    s->next_write_rps = 42;
  }
  SimPlan plan = {.seed = seed,
                  .seconds = mt->seconds > 0 ? mt->seconds : 300,
                  .cancels = TRUE,
                  .late = 0.01,
                  .machines = 30,
                  .up = mt->up ? mt->up : 24,
                  .scale = mt->scale > 0 ? mt->scale : 2,
                  .tiny = mt->tiny,
                  .boot_s = mt->boot_s,
                  .chains = mt->chains,
                  .deep = mt->deep,
                  .ask_no_more = mt->ask_no_more,
                  .fan = mt->fan,
                  .cancel_deep_s = mt->cancel_deep_s,
                  .before = mt->roll_s > 0 ? &fk_version_production : NULL,
                  .roll_at = mt->roll_s,
                  .roll_every_s = 4,
                  .chains_from = mt->roll_s > 0 ? mt->roll_s + 4 * controllers + 10 : 0,
                  .now_txn_ops = now_ops,
                  .limits_at = mt->limits_s,
                  .controllers = controllers,
                  .faults = faults,
                  .n_faults = n,
                  .run_s = mt->run_s,
                  .quick = mt->quick,
                  .clocks = mt->clocks};
  return sim_run(s, &plan);
}

static guint count(const SimFault *f) {
  guint n = 0;
  while (n < FAULTS_MAX && f[n].at_s > 0)
    n++;
  return n;
}

static void tell(const SimResult *r, const char *name, guint64 seed, guint n) {
  g_test_message(
      "%s seed %" G_GUINT64_FORMAT ", %u controllers: %u accepted, %u cancelled, %u started, longest "
      "%.0f s without an answer, %.0f s to begin, %.0f s beside room; cancellations told after %.1f s at the "
      "most, gone %.1f s after that; %u writes, %u of %u records live at the end, a team at %.2f of its "
      "limit%s%s",
      name, seed, n, r->accepted, r->cancelled, r->started, r->silence_s, r->begin_s, r->room_s, r->told_s,
      r->gone_s, r->writes, r->live_jobs, r->live_keys, r->at_limit, r->broken ? "; " : "",
      r->broken ? r->broken : "");
}

/* What isn't needed for the rule to break goes: fault by fault, then half of each one's time. */
static void shrink(const Meeting *mt, const SimFault *faults, guint n, guint64 seed, guint controllers) {
  SimFault left[FAULTS_MAX];
  memcpy(left, faults, n * sizeof *left);
  for (guint i = 0; i < 2 * n;) {
    SimFault fewer[FAULTS_MAX];
    guint k = 0, drop = i % n;
    for (guint f = 0; f < n; f++)
      if (i >= n || f != drop) {
        fewer[k] = left[f];
        if (i >= n && f == drop)
          fewer[k].for_s /= 2;
        k++;
      }
    SimResult r = play(mt, fewer, k, seed, controllers);
    if (r.broken) {
      memcpy(left, fewer, k * sizeof *left);
      i = k < n ? 0 : i + 1;
      n = k;
    } else {
      i++;
    }
    g_free(r.broken);
  }
  for (guint f = 0; f < n; f++)
    g_test_message("  breaks with fault %d at %.1f s for %.1f s, who %d, share %.2f", left[f].kind,
                   left[f].at_s, left[f].for_s, left[f].who, left[f].share);
}

static void run_meeting(gconstpointer data) {
  const Meeting *mt = data;
  guint64 seeds = env("FK_SIM_SEEDS", mt->seeds), only = env("FK_SIM_ONLY", 0);
  guint broken = 0;
  for (guint64 k = only ? only : 1; k <= (only ? only : seeds); k++) {
    guint n = k % 2 ? 3 : 5;
    SimResult r = play(mt, mt->faults, count(mt->faults), k * 7919, n);
    tell(&r, mt->name, k, n);
    broken += r.broken != NULL;
    if (r.broken)
      shrink(mt, mt->faults, count(mt->faults), k * 7919, n);
    /* the meeting took place */
    for (guint f = 0; f < count(mt->faults) && !r.broken; f++) {
      g_assert_true(mt->faults[f].kind != SIM_LOOKS || r.looks > 100);
      g_assert_true(mt->faults[f].kind != SIM_ODD || r.odd > 20);
    }
    g_assert_cmpuint(r.over_limits, ==, 0);
    g_assert_true(r.broken || mt->limits <= 0 || mt->limits > 4 || r.at_limit > 0.95);
    if (mt->tiny > 0 && !r.broken) {
      /* what is over leaves nothing behind, and costs a bounded number of writes */
      g_assert_cmpuint(r.live_jobs, <, r.accepted / 20);
      g_assert_cmpuint(r.live_keys, <, r.accepted / 4);
      g_assert_cmpfloat((double)r.writes / r.accepted, <, 12);
    }
    g_assert_cmpuint(r.cancelled, >, 5);
    g_assert_cmpuint(r.started, >, 10);
    g_free(r.broken);
  }
  g_assert_cmpuint(broken, ==, 0);
}

/* ------------------------------------------------------------------ pairs without a list */

/* A fault of the pair: when and for how long by the seed, around hold (6 s), lease, trust and cancel_s. */
static SimFault drawn(GRand *rand, SimKind kind, double at) {
  static const double lasts[] = {3, 7, 18, 23, 38, 45, 62};
  double s = lasts[g_rand_int_range(rand, 0, G_N_ELEMENTS(lasts))];
  if (kind == SIM_HANG || kind == SIM_CANCEL_NOW)
    s = MIN(s, 18);
  return (SimFault){at,
                    s,
                    kind,
                    g_rand_int_range(rand, 0, kind == SIM_CRASH || kind == SIM_FREEZE ? 4 : 3),
                    g_rand_double_range(rand, 0.1, 0.6),
                    NULL};
}

static void run_pairs(gconstpointer data) {
  guint first = GPOINTER_TO_UINT(data), broken = 0;
  guint64 rounds = env("FK_SIM_SEEDS", 1), only = env("FK_SIM_ONLY", 0);
  for (guint64 round = 1; round <= rounds; round++)
    for (guint second = 0; second < SIM_KINDS; second++) {
      guint64 seed = (round * SIM_KINDS + first) * SIM_KINDS + second;
      if (only && seed != only)
        continue;
      g_autoptr(GRand) rand = g_rand_new_with_seed((guint32)seed);
      static const double offsets[] = {-8, -2, -0.3, 0, 0.3, 2, 8, 20};
      SimFault f[4];
      guint n = 0;
      double at = 60, apart = offsets[g_rand_int_range(rand, 0, G_N_ELEMENTS(offsets))];
      f[n++] = drawn(rand, first, at);
      f[n++] = drawn(rand, second, at + apart);
      if (g_rand_int_range(rand, 0, 3)) /* users cancel meanwhile */
        f[n++] =
            (SimFault){at + g_rand_double_range(rand, -2, 10), g_rand_double_range(rand, 1, 20), SIM_RUSH};
      if (!g_rand_int_range(rand, 0, 3)) /* and something ends in the middle of it */
        f[n++] = drawn(rand, SIM_CRASH, at + g_rand_double_range(rand, 0, 30));
      Meeting mt = {.name = "pair",
                    .run_s = g_rand_int_range(rand, 0, 2) ? 60 : 0,
                    .quick = g_rand_int_range(rand, 0, 2),
                    .clocks = g_rand_int_range(rand, 0, 2)};
      guint controllers = g_rand_int_range(rand, 0, 2) ? 3 : 5;
      SimResult r = play(&mt, f, n, seed, controllers);
      g_autofree char *name = g_strdup_printf("faults %u and %u %+.1f s", first, second, apart);
      tell(&r, name, seed, controllers);
      broken += r.broken != NULL;
      if (r.broken)
        shrink(&mt, f, n, seed, controllers);
      g_free(r.broken);
    }
  g_assert_cmpuint(broken, ==, 0);
}

static void quiet(const char *domain, GLogLevelFlags level, const char *text, gpointer data) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL) || g_getenv("FK_SIM_LOG"))
    g_log_default_handler(domain, level, text, data);
}

/* What needs nothing new is written by both versions byte for byte alike, and read by both; what is new in a
 * record that the one before reads is passed over by it. */
static void test_forms(void) {
  static const struct {
    const char *path, *value;
    gboolean both; /* written the same by both */
  } cases[] = {
      {"fk/l/j/run-1",
       "{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":4,\"cpus\":2,\"gpus\":0,\"mem\":2,"
       "\"image\":\"i\","
       "\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,\"checkpoint\":0,"
       "\"save\":0,"
       "\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16}",
       TRUE},
      {"fk/l/t/run-1/00000", "{\"f\":0,\"n\":4,\"a\":2,\"d\":\"1\",\"b\":[[1,1,\"i-1\",\"c-0\"]]}", TRUE},
      {"fk/l/m/north.3", "{\"m\":[[\"i-1\",\"box8\",\"127.0.0.1:9\",0,\"idle\",-1]],\"zone\":\"north\"}",
       TRUE},
      {"fk/l/r/c-0/0", "{\"run-1/0\":{\"d\":\"1\",\"r\":[1,2],\"f\":[2]}}", TRUE},
      {"fk/l/q/red", "{\"split\":{\"c-0\":3}}", TRUE},
      {"fk/l/g/north.3", "{\"node\":\"c-0\",\"life\":\"x\"}", TRUE},
      {"fk/l/n/c-0", "{\"life\":\"x\"}", TRUE},
      {"fk/d/run-1", "{\"phase\":2,\"tasks\":4}", TRUE},
      {"fk/d/run-2", "{\"phase\":2,\"tasks\":4,\"at\":17}", FALSE},
      {"fk/l/f/c-0", "{\"chains\":true}", FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    char *texts[2];
    const FkVersion *versions[] = {&fk_version_production, &fk_version_present};
    for (guint k = 0; k < 2; k++) {
      FkEvent *e = versions[k]->event(cases[i].path, cases[i].value, 5);
      g_assert_nonnull(e);
      g_autoptr(cJSON) j = versions[k]->record_to_json(e->record);
      texts[k] = fk_json_print(j);
      versions[k]->event_free(e);
    }
    g_assert_cmpint(strcmp(texts[0], texts[1]) == 0, ==, cases[i].both);
    g_free(texts[0]);
    g_free(texts[1]);
  }
}

/* What crosses between the versions by pointer has the same sizes, offsets and values in both. */
static void test_layout(void) {
  guint length;
  const gsize *layout = fk_version_layout(&length);
  g_assert_cmpuint(length, ==, fk_production_layout_length);
  for (guint i = 0; i < length; i++)
    g_assert_cmpuint(layout[i], ==, fk_production_layout[i]);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_default_handler(quiet, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
  for (guint i = 0; i < G_N_ELEMENTS(meetings); i++) {
    g_autofree char *path = g_strdup_printf("/meetings/%s", meetings[i].name);
    g_test_add_data_func(path, &meetings[i], run_meeting);
  }
  g_test_add_func("/versions/forms", test_forms);
  g_test_add_func("/versions/layout", test_layout);
  for (guint i = 0; i < SIM_KINDS; i++) {
    g_autofree char *path = g_strdup_printf("/pairs/%u", i);
    g_test_add_data_func(path, GUINT_TO_POINTER(i), run_pairs);
  }
  return g_test_run();
}
