/* What the files of the simulated world share. */
#pragma once
#include "simulation/event_queue.h"
#include "simulation/simulation.h"
#include "simulation/store_model.h"
#include "simulation/version.h"
#include "simulation/worker_model.h"
#define N_MAX 5
#define DEADLINE_S 2.0
#define SILENT -1.0
#define ROOM_KEPT 90 /* s */

typedef struct {
  FkController *core; /* NULL: down */
  const FkVersion *v;
  FkSettings *settings; /* its version's */
  void (*settings_free)(FkSettings *);
  guint gen, starts;
  gint64 cut_state, cut_workers; /* until */
  gint64 cut_peers;
  gint64 frozen; /* it stands still until then; what is sent to it waits */
} Ctl;

typedef struct {
  FkWorkerModel model;
  gboolean up, gone, sick;
  gint64 hung;
  gint64 deaf;           /* until then nothing reaches it; what it sends arrives */
  gboolean deaf_holds;   /* ... and commands are held back until then, not lost */
  gint64 mute;           /* until then it reaches no controller; direct commands reach it */
  float room[ROOM_KEPT]; /* CPUs free, a look a second, the latest of them round */
  guint home;
  guint life;       /* what was sent to an earlier one belongs to connections that are gone */
  guint64 inflight; /* the report under way */
  gint64 born;
} Worker;

typedef struct {
  char *id, *team;
  FkShape shape;
  guint32 tasks;
  double cpus;
  gboolean spot;
  char *zone;
  gboolean one_zone, spread;
  gboolean accepted, told_done, told_cancelled, asked_cancel;
  gint64 asked_at, cancelled_at, done_at, accepted_at;
  gint64 answered_at; /* the last question about it that was answered */
  gint64 began_at;    /* its first task started; 0: not yet */
  gboolean large;
  guint8 *finished;
  double run_s;
  gboolean lost; /* its machine was lost, and it isn't back */
  gboolean faulty;
  const char *class_name;
  FkRank rank;
  guint tries;        /* starts of a faulty one */
  guint placed;       /* tasks on machines, fetching ones too */
  guint north, south; /* ... by zone */
  gint64 could_since; /* since then a machine that fits has room, and nothing of it was started; 0: not so */
  guint could_tries;
  gboolean impossible;     /* it can never run */
  GPtrArray *needs;        /* UJob; NULL: none */
  gboolean waits_for_ends; /* its user submits it once all that it needs are over */
  const char *names;       /* a job that nobody submitted, or NULL */
} UJob;

typedef struct {
  guint user; /* 0: a worker's report */
  Worker *w;
  FkTime sent;
  guint64 report, session;
  UJob *job;
  int kind;
} Req;

struct Sim {
  const FkSettings *s;
  SimPlan plan;
  GRand *rand;
  gint64 now;
  guint64 order, next_req, next_machine, next_serial;
  FkAgenda *agenda;
  FkStoreModel *store;
  FkStoreBudget budget;
  GHashTable *hires; /* name -> GPtrArray */
  gint64 outage;
  Ctl ctl[N_MAX];
  int n; /* controllers */
  gint64 slow_until, refused_until[N_MAX], peers_refuse_until;
  gint64 late_writes_until, held_until, copies_until, rush_until; /* faults of the plan, ... */
  double slow;                                                    /* times as slow as usual */
  double late_writes, held, copies;                               /* ... and their shares */
  gint64 lost_answers_until, cancel_at_end_until, looks_until, odd_until, keep_until, cloud_until;
  double lost_answers, cancel_at_end, keep;
  const char *lost_of;  /* transactions that write below it lose their answers; NULL: all */
  GPtrArray *kept;      /* FkReport: for the next leader */
  const char *cut_zone; /* cut off from everything outside, */
  gint64 cut_until;     /* until then */
  GPtrArray *workers, *jobs, *calls, *watches;
  GHashTable *by_id, *job_by_id;
  GHashTable *requests; /* number -> Req */
  GHashTable *truth;    /* "job/task" -> Worker: where it is */
  gint64 lost_at;       /* when the share of the machines was lost; 0: not yet */
  gboolean over;        /* what the experiment waits for has happened */
  gint64 core_ns;       /* spent in the controllers' cores since then */
  SimResult r;
};

typedef struct {
  Sim *sim;
  int ctl;
  guint gen;
  FkOut *out;
  gboolean answered;
  gint64 sent;
  guint life; /* of the machine that it was sent to */
  const FkVersion *v;
} Call;

/* What a worker is answered, under way. */
typedef struct {
  Worker *w;
  Req req;
  int status;
  FkToken token;
  GPtrArray *orders;
  int to;
} Reply;

/* world.c */
void after(Sim *m, double s, void (*fn)(Sim *, gpointer), gpointer data);
gboolean chance(Sim *m, double p);
double between(Sim *m, double a, double b);
void broken(Sim *m, const char *rule, const char *what);
FkTime ctl_now(Sim *m, int i);
const char *ctl_zone(int i);
/* Whether a cut lies between the two zones; store, cloud and users have none (NULL). */
gboolean apart(const Sim *m, const char *a, const char *b);
void drain(Sim *m, int i);
void crash(Sim *m, int i);

FkTime ctl_time(const Sim *m, int i, gint64 when);
/* The cores' processor time is counted from here to there. */
gint64 core_begins(const Sim *m);
void core_ends(Sim *m, gint64 began);
/* What is sent across a cut is held back, and delivered late: after so many seconds. */
double until_healed(const Sim *m);
gboolean alive(Call *c);
void deliver(Call *c, FkOutcome o, FkRev epoch, GPtrArray *list, gboolean more, FkReport *report);
void answer(Call *c, FkOutcome o, FkRev epoch, GPtrArray *list, gboolean more, FkReport *report);
/* What would reach a frozen controller reaches it when it goes on. Whether it is so. */
gboolean waits_for_frozen(Sim *m, int ctl, void (*fn)(Sim *, gpointer), gpointer data);

/* store.c */
/* The store's limits for values, in bytes, and changes in a transaction, now. */
gsize value_most(const Sim *m);
guint ops_most(const Sim *m);
void notify(Sim *m);
gboolean refused(Sim *m, int ctl);
void store_handles(Sim *m, gpointer p);
/* When a copy of what was sent arrives. */
double once_more_after(Sim *m);

/* workers.c */
/* It is no more, and nothing that ran there. */
void lose(Sim *m, Worker *w);
/* The machine is back within a fraction of a second, and has begun anew. */
void reboot(Sim *m, Worker *w);
void worker_free(gpointer p);
Worker *worker_of(Sim *m, const char *id);
Worker *new_worker(Sim *m, const char *zone, gboolean spot, double boot);
gboolean hung(Sim *m, const Worker *w);
void check_lease(Sim *m, Worker *w);
void worker_commanded(Sim *m, gpointer p);
void report_sent(Sim *m, gpointer p);
void reply_arrives(Sim *m, gpointer p);
/* A leader begins: the reports that were kept come to every controller. */
void kept_reports_come(Sim *m);

/* cloud.c */
void cloud_handles(Sim *m, gpointer p);

/* users.c */
UJob *job_of(Sim *m, const char *id);
void ujob_free(gpointer p);
void user_told(Sim *m, const Req *r, const FkOut *o);
void submit_services(Sim *m);
void user_submits(Sim *m, gpointer p);
void guests_come(Sim *m, gpointer p);
void large_ones_come(Sim *m, gpointer p);
void tiny_ones_come(Sim *m, gpointer p);
/* Its user calls it off, if there is something to call off. */
void user_cancels(Sim *m, gpointer job);
/* Somebody has asked to cancel it, or a job that it needs, directly or through others. */
gboolean called_off(const UJob *j);
/* All that it needs is done, truly. */
gboolean needs_done(const UJob *j);
void pipelines_come(Sim *m, gpointer p);
void deep_ones_come(Sim *m, gpointer p);
/* Odd requests come for as long as the plan says. */
void odd_requests(Sim *m, gpointer p);
/* Nobody is forgotten once all troubles are over. */
void users_tick(Sim *m);
/* Percent of the jobs of the class that was served worst, as the service's users see it; 100 where none is
 * due. */
guint worst_class(Sim *m);

/* faults.c */
/* The plan's faults are set off at their times. */
void faults_plan(Sim *m);
/* For all; once it is over every hold has its full time again. */
void outage_begins(Sim *m, double s);
/* Chance that a message comes once more now. */
double copies_now(const Sim *m);

/* troubles.c */
/* The growth experiment's loss: just so many machines, whatever runs there. */
void lose_a_share(Sim *m, gpointer p);
void trouble(Sim *m, gpointer p);
