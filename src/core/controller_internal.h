/* Shared between the core's own files; not for the shell. */
#pragma once
#include "core/cpu_profile.h"
#include "core/messages.h"
#include "core/scheduling/elastic_sizing.h"
#include "core/workers/failure_detector.h"

typedef void (*FkCommitted)(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed);
typedef void (*FkGot)(FkController *c, gpointer data, FkOutcome o, FkEvent *e);

/* A machine in this home's care. */
struct FkHome {
  gboolean owned; /* the view has shown our claim */
  FkEvidence evidence;
  FkReport *report;    /* the latest by (session, seq) */
  FkRev anew;          /* the claim under which it began anew: that token proves nothing of its new life */
  guint64 command;     /* the direct call under way, or 0 */
  FkRev command_rev;   /* and its token */
  GHashTable *unsure;  /* starts that may arrive, or arrive again: "job/task#attempt" -> the token that they
                          were  sent under */
  GHashTable *sending; /* starts in the direct call under way */
  GHashTable *offered; /* starts in the answer to the latest report */
  FkTally offered_at;
  guint lingering; /* ended attempts that must not be forgotten yet */
  FkTime command_after;
  gboolean
      settled; /* nothing pressing was found when it was looked at last, and its report shows our token */
  FkRev rev;   /* the claim, and since when */
  FkTime claimed_at;
};

typedef struct {
  FkRequest request;
  FkReport *report;
  FkTime since;
  FkRev rev; /* the claim when it came */
} FkHeldReport;

typedef struct {
  FkTime when;
  char *to;
} FkRedirect;

/* This home's machines of one zone, and how many of them were heard lately. */
typedef struct {
  const char *zone; /* interned */
  guint fresh, all;
  guint brief;     /* heard in the last moment ... */
  double expected; /* ... and how many should have been */
  FkTime dark;     /* the last moment at which so few were heard that it may be we who are cut off */
  FkTime since;    /* when that began */
  FkTime none;     /* ... at which none were */
  guint deaf;      /* speak, and don't hear us */
} FkHeard;

typedef struct FkFleet FkFleet;
typedef struct FkEnding FkEnding;
typedef struct FkTell FkTell;
typedef struct FkMoney FkMoney;
typedef struct FkTurn FkTurn;
typedef struct FkRooms FkRooms;
typedef struct FkOverdue FkOverdue;

#define FK_EPS 1e-6 /* amounts are sums of fractions */
#define FK_FLOOR                                                                                             \
  0.05                  /* of the fleet's CPUs: what a class that is hardly served is lifted up to, and left \
                         */
#define FK_DRIFT 0.0012 /* two clocks, each off by 0.05%, and a little */
#define FK_MARGIN_S 2.0

#define FK_MARK_IDLE "idle"
#define FK_MARK_DRAIN "drain" /* what runs there moves, then it goes */

typedef struct {
  const char *machine; /* interned */
  const char *team;    /* interned */
  double cpus, gpus, mem_gb;
  double cpus_team; /* of those, what counts against the team */
} FkPend;

struct FkController {
  const FkSettings *settings;
  char *life;
  GRand *rand;
  FkTime now;
  FkView *view;
  FkMeter meter;
  GQueue *outs;
  guint64 next_call;
  double usual_s;      /* how late the store usually answers a transaction; 0: none has been */
  double lost;         /* part of the transactions that had to be sent again, lately */
  guint asked_again;   /* answered after more than one send, in this window */
  GHashTable *commits; /* call -> callback */
  GHashTable *gets;

  /* store session */
  enum { FK_SYNC_IDLE, FK_SYNC_LISTING, FK_SYNC_CATCHING_UP, FK_SYNC_READY } sync;
  char *list_after;
  FkRev list_epoch, catch_up;
  gboolean listing, watching;
  FkTime sync_retry;
  FkTime confirmed;       /* the view was current at this moment, for certain */
  FkRev seen;             /* the latest revision that an answer has told us of */
  GHashTable *peer_proof; /* controller -> FkTime*: when it had seen nothing that our view lacks */
  FkTime peer_next;
  FkTime peer_heard;    /* when another controller answered last */
  FkTime peer_store_ok; /* the last moment at which a peer is known to have had an answer from the store */
  FkTime store_ok;      /* the last time that the store answered at all */
  FkTime store_back;    /* when it did again after an outage */
  FkTime started;
  guint sync_failures;

  FkRev hold; /* 0: none */
  gboolean hold_pending;
  FkTime hold_next, hold_sent;
  gboolean node_pending;
  FkRev node_wait;
  FkTime node_retry;

  /* users */
  GHashTable *asks;       /* every question of a user's that isn't answered yet: FkAsk */
  GQueue *verify;         /* waiting FkAsk */
  GHashTable *hindrances; /* why nothing was launched -> looks, in this window */
  guint launches, launch_conflicts, launch_failures; /* in this window */
  guint services_waiting;                            /* tasks, at the last look */
  gboolean verifying;
  guint reads; /* questions that are read from the store while there is no view */
  FkTell *tell;
  GQueue *telling;          /* FkAsk: what they ask about is cancelled, and they may not be told yet */
  GQueue *settling;         /* FkAsk: answered once our view has reached a revision */
  GHashTable *finals_asked; /* ids of jobs that others need, whose ends are being read */
  FkTime pulled;            /* when that was worked out last what dependents ask for, */
  gboolean pulling;         /* and whether any did */
  FkTime verify_after;

  guint txns[FK_PRIO_RESULT + 1], txn_writes[FK_PRIO_RESULT + 1]; /* in this window, by purpose */

  /* workers */
  GQueue *held;             /* FkHeldReport: waiting for a claim */
  guint copies, impossible; /* reports refused in this window: copies; with a token that no claim has */
  GHashTable *redirects;    /* machine -> FkRedirect */
  GHashTable *commands;     /* call -> machine id (interned) */

  GHashTable *ended;     /* attempt -> FkEnding: proven, to be written down */
  GHashTable *ending_on; /* machine (interned) -> how many of them are there */
  gboolean ends_sending;
  guint ends_page;
  FkRev ends_wait;
  gboolean ends_urgent; /* a service waits to be started elsewhere: not for the pace */
  FkTime ends_after;
  gboolean claiming;
  FkRev claims_wait;
  FkTime claims_after, take_back_after, ready_since;
  gboolean roster_sending;
  FkRev roster_wait;
  FkTime roster_after;
  gboolean splitting;
  FkRev split_wait;
  FkTime last_tick, late_until; /* we were too slow lately to tell who is silent */
  double write_room;            /* writes that would go out at once */
  guint slice, round;           /* of the machines, to be looked through next; how often all were */
  GArray *heard;                /* FkHeard, counted once in all slices */

  /* launches */
  gboolean fence_needed, fencing; /* a launch may yet apply: a write of our fence makes that impossible */
  FkRev fence_wait;
  gboolean launching;
  FkRev launch_wait;
  FkTime launch_after;
  FkTime urgent_after; /* urgent work may be launched before `launch_after`, from here on */
  GArray *pending;     /* FkPend: room promised to launches that the view doesn't show yet */

  /* windows */
  guint64 window;
  FkTime window_end;
  FkWaits waits;

  /* leader */
  gboolean leader_pending;
  FkTime leader_retry;
  FkRev leader_wait;
  gboolean leading;
  FkTime led_since;
  FkSizing sizing;
  FkFleet *fleet;
  FkMoney *money;
  FkTurn *turn;
  FkRooms *rooms;
  FkOverdue *overdue;
  FkTime served_looked;
  gboolean starving; /* some class or team is, by the latest look */
  GHashTable *types; /* name -> FkType */
  gboolean types_pending;
  FkTime types_next;
  FkTime sweep_next;
  gboolean stopping;
  FkRev stop_wait;
  FkTime stop_after, stop_look, reclaimed;
  gboolean finalizing;
  FkRev finalize_wait;
};

/* state.c */
FkOut *fk_out(FkController *c, FkOutKind kind);
gboolean fk_ready(FkController *c);
guint fk_controllers(FkController *c); /* how many live */
/* Its part of the store's writes, by what the view says of the others. */
double fk_write_share(FkController *c);
/* It can take requests: it isn't the one that is cut off. */
gboolean fk_serves(FkController *c, FkTime now);
gboolean fk_alive(FkController *c, const char *node);
gboolean fk_spec_long(FkController *c, const FkSpec *s);
/* Services wait, and the store's writes are what they wait for: what nobody waits for comes later. */
gboolean fk_services_first(FkController *c);
FkRecord *fk_job_record(const FkJob *j, gboolean cancelled);
/* Ends a job whose tasks are all done, or that is cancelled with none left, in `t`. */
gboolean fk_txn_finalize(FkController *c, FkOut *t, FkJob *j, guint writes_left);

/* Does it with its processor time charged to that purpose. */
void fk_metered(FkController *c, FkCost what, void (*fn)(FkController *));
/* The store has answered, or hasn't. */
void fk_store_answered(FkController *c, FkOutcome o);

/* calls.c */
void fk_call_free(gpointer call);
/* Sends again what has had no answer for too long. */
void fk_calls_again(FkController *c);
FkOut *fk_txn_new(FkController *c, FkPrio prio);
void fk_txn_guard(FkOut *t, char *path /* taken */, FkRev rev);
void fk_txn_put(FkOut *t, char *path /* taken */, FkRecord *r /* taken */, FkRev hold);
void fk_txn_delete(FkOut *t, char *path /* taken */);
void fk_txn_send(FkController *c, FkOut *t, FkCommitted done, gpointer data, GDestroyNotify free_data);
void fk_get_send(FkController *c, char *path /* taken */, FkGot done, gpointer data,
                 GDestroyNotify free_data);
/* session.c */
void fk_session_tick(FkController *c);
/* A watch was answered, or failed: what it tells is applied. */
void fk_session_watched(FkController *c, FkOutcome o, GPtrArray *events, FkRev epoch, FkTime sent);

/* chains.c */
/* Every controller of the settings was started last in a version that knows of jobs that need others. What
 * such a version alone can read is written from then on only. */
gboolean fk_chains_known(FkController *c);
void fk_chains_tick(FkController *c);

/* proof.c */
#define FK_PEER_AFTER_S 2.5 /* without a look at the store, the others are asked */
/* Asks the others what they know; `needed`: the revision that somebody waits for them to have, or 0. */
void fk_proof_tick(FkController *c, FkRev needed);
/* Another controller has answered. */
void fk_proof_peer(FkController *c, const char *peer, const char *life, FkRev seen, double store_age_s,
                   FkTime sent);
/* The latest moment at which nothing can have been decided that our view doesn't show. */
FkTime fk_confirmed(FkController *c);

/* users.c */
void fk_users_ask_free(gpointer ask);
/* Polls are checked in batches, by transactions that only compare: one batch is under way, the next gathers.
 */
void fk_users_verify(FkController *c);
void fk_users_tell_waiting(FkController *c);
void fk_users_settle(FkController *c);
/* The latest revision that somebody who waits to hear of a cancellation needs all to have applied; 0: none.
 */
FkRev fk_users_wait_for(FkController *c);

/* claims.c */
gboolean fk_group_mine(FkController *c, const FkGroup *g);
const char *fk_group_preferred(FkController *c, const FkGroup *g);
void fk_claims_tick(FkController *c);

/* roster.c */
/* Seconds that so many writes must last, when all controllers together may use `share` of the budget. */
double fk_pace_s(FkController *c, guint writes, double share);
void fk_roster_join(FkController *c, FkMachine *m, const FkReport *r);
void fk_roster_mark(FkController *c, FkMachine *m, const char *why, double notice_s);
void fk_roster_remove(FkController *c, FkMachine *m);
void fk_roster_tick(FkController *c);

/* ends.c */
char *fk_attempt_key(const char *job, guint32 task, FkAttempt attempt);
gboolean fk_ending(FkController *c, const FkMachine *m, const FkBookRef *b);
void fk_end_book(FkController *c, const FkMachine *m, const FkBookRef *b, FkEndHow how, gboolean guarded);
void fk_ends_tick(FkController *c);
void fk_ends_clear(FkController *c);
void fk_ending_free(gpointer e);

/* quota.c */
void fk_quota_tick(FkController *c);

/* serving.c */
void fk_serving_tick(FkController *c);
/* A line for each class and team; those of which less than half is served as a warning. */
void fk_serving_tell(FkController *c);
/* The job is one of the largest of its class, of which less than half is served. */
gboolean fk_serving_largest_starved(FkController *c, const FkJob *j);
/* The job's class is hardly served. */
gboolean fk_serving_starved(FkController *c, const FkJob *j);
/* The job is of a class or team of which less than half is served, and which hasn't a floor of the fleet's
 * `room` (CPUs) yet. */
gboolean fk_serving_lifts(FkController *c, const FkJob *j, double room);

/* tell.c */
FkTell *fk_tell_new(void);
void fk_tell_free(FkTell *t);
/* A lease that nobody renews is over after this, by any clock, in seconds. */
double fk_lease_over_s(const FkSettings *s);
/* How long a home may answer for without a fresh look at the store, in seconds. */
double fk_trust_s(const FkSettings *s);
/* A controller says that its view has reached the revision. */
void fk_tell_applied(FkTell *t, const char *peer, FkRev applied);
gboolean fk_tell_knows(const FkTell *t, const char *peer, FkRev rev);
/* Whether a user may hear that the job, cancelled in our view, is so. */
gboolean fk_tell_may(FkController *c, const FkJob *j);

/* home.c */
/* A report at our present token has come: older tokens' commands and answers are void. */
gboolean fk_home_heard(const FkMachine *m);
void fk_homes_tick(FkController *c);
void fk_homes_view_changed(FkController *c);
gboolean fk_is_mine(FkController *c, const FkMachine *m);
gboolean fk_machine_usable(FkController *c, const FkMachine *m);

/* place.c */
void fk_place(FkController *c);
gboolean fk_job_fits_type(const FkSpec *s, const FkType *t);
gboolean fk_job_allows(FkController *c, const FkJob *j, const FkMachine *m);
gboolean fk_room(FkController *c, const FkMachine *m, const FkSpec *s);
/* Seconds from now until a waiting task must start for the tightest aim of its class that can still be met,
 * leaving `slack` times its run time; G_MAXDOUBLE when none can. */
double fk_job_latest_start(FkController *c, const FkJob *j, double slack);
gboolean fk_team_allows(FkController *c, const FkSpec *s);
/* Where a long task would go now; `zone` NULL: anywhere. */
FkMachine *fk_best_for_long(FkController *c, const FkJob *j, GPtrArray *machines, const char *zone);
const FkType *fk_type_of(FkController *c, const FkMachine *m);

/* leader.c */
/* After the view has changed and launches were tried. */
void fk_leader_act(FkController *c);
void fk_leader_tick(FkController *c);
void fk_windows_tick(FkController *c);

/* fleet.c */
FkFleet *fk_fleet_new(FkTime now);
void fk_fleet_free(FkFleet *f);
void fk_fleet_tick(FkController *c);
void fk_fleet_reset(FkController *c);
/* The machine is being returned, or the cloud has said that it is gone. */
gboolean fk_fleet_going(FkController *c, const FkMachine *m);

/* What room for the task costs where it is cheapest, an hour; G_MAXDOUBLE: no type has any. */
double fk_cheapest_price(FkController *c, const FkSpec *s);
/* What the machines that are rented and not up yet cost, an hour. */
double fk_fleet_boot_price(FkController *c);

/* How many times as long as usual idle machines are kept (rent/hold.h). */
double fk_fleet_hold_times(FkController *c, gboolean spot);

/* money.c */
FkMoney *fk_money_new(void);
void fk_money_free(FkMoney *m);
/* The leader's look at what its machines are doing. */
void fk_money_tick(FkController *c);
/* Logs the accounts since the last time, and starts them anew. */
void fk_money_tell(FkController *c);

/* recover.c */
/* Tasks of services booked there that nobody has cancelled. */
guint fk_services_on(const FkMachine *m);
/* Adds to `names`, up to `most_names`, the ids of those of the silent machines `serving` (with services,
 * sorted here) whose turn it is to be returned. */
void fk_recover_give_up(FkController *c, GPtrArray *serving, GPtrArray *names, guint most_names);
/* FkJob, borrowed from the view, one for each task of a service on a silent machine: room for them is wanted.
 */
GPtrArray *fk_recover_to_place(FkController *c);
