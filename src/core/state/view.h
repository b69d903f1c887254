/* The store as this controller sees it: a consistent prefix of its history, applied in order. */
#pragma once
#include "core/settings.h"
#include "core/state/job.h"
#include "dependency_graph/dependency_graph.h"
#include "fair_share/fair_share.h"
#include "fair_share/service_level.h"
#include "fault_attribution/fault_attribution.h"

typedef enum {
  FK_KEY_OTHER,
  FK_KEY_JOB,
  FK_KEY_CHUNK,
  FK_KEY_GROUP,
  FK_KEY_PAGE,
  FK_KEY_ENDS,
  FK_KEY_FENCE,
  FK_KEY_NODE,
  FK_KEY_TEAM,
  FK_KEY_LEADER,
  FK_KEY_WAITS,
  FK_KEY_FINAL
} FkKeyKind;

#define FK_ROOT "fk/"
#define FK_LIVE "fk/l/"

/* What a machine is. It never changes, but for the mark: why the machine should go, or NULL. */
typedef struct {
  char *id, *addr;
  const char *type, *zone; /* interned */
  gboolean spot;
  const char *mark; /* interned */
  double notice_s;
} FkMachineRec;

/* What has ended of one chunk's bookings, as a home wrote it down: tasks that are done, and attempts that
 * ended without a result. It counts until the chunk itself says so. */
typedef struct {
  char *chunk;        /* "job/index" */
  GByteArray *done;   /* a byte a task */
  GArray *released;   /* FkTry */
  gconstpointer page; /* the FkEndPage that has it, in the view; NULL once replaced */
} FkEnds;
typedef struct {
  guint32 task;
  guint32 failed; /* the worker said so: not stopped, nor lost with its machine */
  FkAttempt attempt;
} FkTry;
FkEnds *fk_ends_new(const char *chunk);
FkEnds *fk_ends_copy(const FkEnds *e);
void fk_ends_free(gpointer e);
void fk_machine_rec_free(gpointer m);

/* A controller's short tasks' waits of one window: all of them, and with no job counting for more than a few.
 */
typedef struct {
  guint64 window;
  double sum_s;
  guint64 count;
  double all_sum_s;
  guint64 all_count;
} FkWaits;

void fk_waits_add(FkWaits *to, const FkWaits *more);

/* What goes under one key. Which members count depends on `kind`. */
typedef struct {
  FkKeyKind kind;
  FkSpec *spec;       /* JOB */
  gboolean cancelled; /* JOB */
  FkChunk *chunk;     /* CHUNK */
  GPtrArray *members; /* PAGE: FkMachineRec */
  GPtrArray *ends;    /* ENDS: FkEnds */
  GHashTable *split;  /* TEAM: controller -> double* CPUs, or NULL: the limit is shared */
  char *node, *life;  /* NODE, LEADER, GROUP: the home */
  FkPhase phase;      /* FINAL */
  guint32 tasks;      /* FINAL */
  FkWaits waits;      /* WAITS */
  gboolean chains;    /* FENCE */
  gint64 at_ms;       /* FINAL: when it ended, time of day; 0: not said */
} FkRecord;

FkRecord *fk_record_new(FkKeyKind kind);
void fk_record_free(FkRecord *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkRecord, fk_record_free)
FkMachineRec *fk_machine_rec_copy(const FkMachineRec *m);
typedef struct {
  FkRev rev;
  GPtrArray *ends; /* FkEnds */
} FkEndPage;

/* Splits a path. `id` and `chunk` are set where the kind has them. */
FkKeyKind fk_key_parse(const char *path, char **id, guint32 *chunk);
char *fk_key(FkKeyKind kind, const char *id);
char *fk_key_chunk(const char *job, guint32 chunk);
char *fk_key_page(const char *group, guint part);
/* What a machine takes of a page, and what the page itself does, in bytes at the most. */
guint fk_machine_rec_bytes(const FkMachineRec *m);
#define FK_PAGE_BYTES 100
#define FK_PAGE_LIMIT(value_kb) ((guint)((value_kb)*1000) - 100)

typedef struct {
  char *path;
  FkRecord *record; /* NULL: deleted */
  FkRev rev;
} FkEvent;
void fk_event_free(FkEvent *e);

typedef struct {
  gint refs;     /* the view's, and one for each probe */
  gboolean gone; /* the view has it no more: nothing of it waits */
  guint listed;  /* its place in the view's list of jobs */
  FkSpec *spec;
  FkRev rev;
  gboolean cancelled;
  FkTime cancel_seen; /* when this controller first saw that */
  guint32 n_chunks;
  FkChunk **bases;  /* the chunks' records; NULL: no task of it was ever started */
  FkChunk **chunks; /* ... with what homes have written down of ends */
  guint32 done, booked;
  guint32 unstarted_hint; /* no chunk before this one has a waiting task */
  FkTime seen;            /* when this controller first saw it */
  FkTime lost_at;         /* when a task of it lost its place last, its result not there yet */
  FkTime retry_at;        /* slowed after failures */
  gboolean faulted;       /* a task of it has failed */
  gboolean doubted;       /* it seems to fail everywhere: one task at a time */
  FkTime tried;           /* ... and the look that it went into */
  guint64 waits_window;   /* of its waits so many were counted in this window */
  guint waits_counted;
  FkAttempt gang_attempt; /* the number of the launch under way */
  guint32 gang_booked;    /* tasks that it has booked so far */
  FkTime preempted;       /* room for it was asked for lately */
  double left_cpu_s;      /* work that waits; sorts the queue */
  FkRank rank_now;        /* its place in the queue: its rank, or what its team has a claim to */
  FkStanding standing;    /* its team's, among those who want room */
  guint place;            /* in the queue, from 1; 0: never yet */
  gboolean urgent;        /* goes first among its rank and its team's standing */
  gboolean limit_left; /* its team's limit had room for one more task, at the look that it went into last */
  double wants;        /* of the fleet, in CPUs; as counted for its team (turn.c) */
  guint services_counted; /* tasks of a service that wait, as counted (turn.c) */
  guint64 look;           /* the look that it went into last */
  gboolean sized;         /* its size is in the books */
  FkTime probed;
  double latest_s;     /* how far off its latest useful start is; sorts the queue */
  FkTime gang_until;   /* a gang's launch may go on in further transactions until then */
  gint64 submitted_us; /* on the steady clock, by the time of day */
  gint64 could_us; /* since when it could start: its submission, or the end of the last job that it needs */
  gint64
      due_us; /* on the steady clock; G_MAXINT64: never. Its own deadline, or what those need that need it */
  FkRank pulled_rank; /* the highest of those that need it, directly or through others, and its own */
  gboolean held; /* a job that it needs isn't done: it waits for nothing else, and takes part in nothing */
  gboolean withdrawn; /* cancelled with a job that it needs; its own record needn't say so */
} FkJob;

typedef struct {
  FkJob *job;
  guint32 task;
  FkAttempt attempt;
  gboolean stop;
  FkTime since;
} FkBookRef;

/* How a booking ended. */
typedef enum {
  FK_END_DONE,
  FK_END_RELEASED, /* stopped, refused, or lost with its machine */
  FK_END_FAILED    /* the worker says that the task failed */
} FkEndHow;

typedef struct FkHome FkHome;

/* A machine that was sent to its home and came back: the last two times. */
typedef struct {
  FkTime last, before;
} FkBack;

/* A group's page is one record while a value holds it, then several: "zone.k", "zone.k+1", ... Only versions
 * that know of chains read those with a number. */
#define FK_PARTS 8

/* Machines of one zone that have one home together: the claim's revision is the token of them all. */
typedef struct {
  const char *id, *zone;    /* interned */
  char *home, *life;        /* the controller, and which of its lives; NULL: none yet */
  FkRev rev;                /* the claim's; 0: none */
  FkRev page_rev[FK_PARTS]; /* of its page's parts */
  gboolean oversized;       /* a part was written under larger limits than those to come */
  GPtrArray *machines;      /* FkMachine: those described in the page, and others heard of */
  FkTime claim_after, lost_until;
  FkTime theirs_until; /* another has just taken it from us: that its workers come back proves nothing */
  gboolean was_mine;
  FkRev later;     /* the highest token that its workers have shown us while our view was old: above `rev`,
                      another     has claimed it */
  guint introduce; /* machines to be shown the claim at once */
  gboolean wanted; /* to be claimed: its workers can't reach their home, or a start must be made void */
  gboolean dirty;  /* its page is to be written ... */
  FkTime dirty_since;
  FkTime lazy;      /* ... by then at the latest: somebody is to be taken out of it; 0: nobody */
  GHashTable *back; /* machines that came back from their home lately -> FkBack* */
} FkGroup;

typedef struct {
  const char *id;        /* interned */
  FkMachineRec *rec;     /* NULL: not described in its group's page */
  FkGroup *group;        /* NULL: its zone isn't known */
  FkRev page_rev;        /* the latest part of its group's page that had it, */
  guint part;            /* and which that is */
  FkMachineRec *joining; /* what is to be written of it */
  const char *want_mark; /* interned: the mark to be written, or NULL: as it is */
  double want_notice_s;
  gboolean want_clear, want_gone;
  struct FkType *type;                   /* cached */
  GArray *books;                         /* FkBookRef */
  double cpus, gpus, mem_gb;             /* booked */
  double pend_cpus, pend_gpus, pend_mem; /* in transactions under way */
  double long_cpus;
  const char *mark; /* interned: why it should go, or NULL */
  FkTime mark_seen;
  FkTime rec_seen;
  double notice_s;
  FkTime idle_since;
  gboolean barred;
  FkTime full_until;        /* it refused a start: nothing new for a while */
  FkHome *home;             /* this controller's dealings with it, if it is home */
  GDestroyNotify home_free; /* of `home` */
  GHashTable *images;       /* images started there lately (interned) */
  GPtrArray *probes;        /* FkJob, with a reference: short jobs that may start here; NULL: none yet */
} FkMachine;

typedef struct {
  char *name, *life;
  FkRev rev;
} FkNode;

typedef struct {
  FkRev rev;
  double cpus, gpus; /* booked by the team's tasks */
  double pend_cpus, pend_gpus;
  gboolean starved; /* our share is too small, though the team has room */
  FkTime shared_since, changed;
  char *was_short; /* the controller that ran out of its share last, or NULL */
  double shared_s;
  GHashTable *by;    /* controller (interned) -> double*: CPUs of what it launched */
  GHashTable *split; /* controller -> double*: its share of the limit; NULL: shared */
} FkTeamUse;

/* The guard of a controller's launches. Each of its lives writes it before it launches anything, so that it
 * also says what the version knows that wrote it last. */
typedef struct {
  FkRev rev;
  gboolean chains; /* jobs that need others, records in parts */
} FkFence;

typedef struct FkView FkView;
struct FkView {
  const FkSettings *settings;
  FkRev applied;
  GHashTable *jobs;      /* id -> FkJob */
  GHashTable *machines;  /* id -> FkMachine */
  GHashTable *groups;    /* id -> FkGroup */
  GHashTable *end_pages; /* "node/n" -> FkEndPage */
  GHashTable *ends;      /* "job/index" -> GPtrArray of FkEnds, the pages' */
  GHashTable *fences;    /* node -> FkFence* */
  FkDeps *deps;          /* who waits for whom, of the live jobs */
  GHashTable *nodes;     /* name -> FkNode */
  GHashTable *teams;     /* name -> FkTeamUse */
  GHashTable *waits;     /* node -> FkWaits */
  GHashTable *finals;    /* id -> FkPhase+1 */
  GHashTable *final_tasks;
  GQueue *final_order;
  GHashTable *corrections; /* class -> double*: how long tasks really take, by their estimate */
  FkSpec *service;         /* the latest service seen, or NULL */
  double service_rate;     /* services seen a second, smoothed */
  guint services_seen;     /* since the rate was worked out last */
  FkTime service_rated;
  double took_s; /* of arrays' tasks done in this window: from booking to end, summed */
  guint took_count;
  double lost_cpu_s; /* of arrays' tasks that ended without a result in this window */
  FkServed *served;
  FkBlame *blame;
  FkTime doubts_reviewed;
  GHashTable *orphans; /* paths of chunks without a job -> FkRev* */
  char *leader, *leader_life;
  FkRev leader_rev;
  GHashTable *touched;      /* machines whose bookings changed since the last look */
  GPtrArray *room_dropped;  /* machines that are no more, for the index of rooms: names, not to be followed */
  GHashTable *room_touched; /* the same, for the index of rooms */
  GPtrArray *job_list;      /* FkJob: those of `jobs`, in no order */
  GHashTable *jobs_touched; /* FkJob, with a reference: whose waiting may have changed since the last look */
  guint64 work;             /* bookings counted in or out: what applying changes costs */
  gboolean live;            /* what comes now has just happened: the past has been read */
  FkTime now;               /* set by the owner before applying */
  gint64 wall_offset_us;    /* steady = time of day - offset */
};

FkView *fk_view_new(const FkSettings *s);
void fk_view_free(FkView *v);
void fk_view_clear(FkView *v);
void fk_view_apply(FkView *v, const char *path, FkRecord *record /* taken, NULL: gone */, FkRev rev);
FkJob *fk_view_job(FkView *v, const char *id);
FkMachine *fk_view_machine(FkView *v, const char *id);
FkMachine *fk_view_machine_ensure(FkView *v, const char *id);
void fk_view_drop_machine(FkView *v, FkMachine *m);
FkGroup *fk_view_group(FkView *v, const char *id);
/* The group that a machine belongs to, for good, by its zone and id. */
char *fk_group_id(const char *zone, const char *machine);
void fk_view_set_group(FkView *v, FkMachine *m, const char *zone);
FkRev fk_view_fence(FkView *v, const char *node);
FkTeamUse *fk_view_team(FkView *v, const char *name);
gboolean fk_view_final(FkView *v, const char *id, FkPhase *phase, guint32 *tasks);
/* `at_ms`: when it ended, time of day; 0: not known. */
void fk_view_remember_final(FkView *v, const char *id, FkPhase phase, guint32 tasks, gint64 at_ms);
/* When it must be done by its own deadline, on the steady clock; G_MAXINT64: at any time. */
gint64 fk_job_own_due(const FkJob *j);
/* Seconds from when the job could start until it must be done; < 0: at any time. */
double fk_job_due_s(const FkJob *j);
/* The owner's estimate, corrected by what finished tasks of the class took. */
double fk_view_run_s(FkView *v, const FkSpec *s);
/* Now and then: which jobs seem to fail everywhere, by what has outlived their failures since. */
void fk_view_review_doubts(FkView *v);
/* Once a second or so: how fast services arrive. */
void fk_view_rate_services(FkView *v);
FkJob *fk_job_ref(FkJob *j);
void fk_job_unref(gpointer j);
/* By its id and not by its address, so that tables of jobs have the same order in every run. */
guint fk_job_hash(gconstpointer j);
FkPhase fk_job_phase(const FkJob *j);
gboolean fk_job_complete(const FkJob *j);
/* Tasks that want a place. Of a job that seems to fail everywhere that is one, and only when none is under
 * way: nothing is rented, displaced or kept for the others. */
guint32 fk_job_waiting(const FkJob *j);
