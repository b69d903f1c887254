/* Whether every class of jobs and every team is served: what has been asked for long enough, and how much of
 * it is done or runs. A class of which less than half is served is a failure however well the others do, so
 * it is watched, told, and lifted up (core/place.c). Pure; the owner says what it sees. */
#pragma once
#include <glib.h>

typedef struct FkServed FkServed;

/* One class or team at the latest look. Jobs that their users have withdrawn count nowhere. */
typedef struct {
  const char *name; /* the book's own */
  enum {
    FK_SERVED_CLASS,
    FK_SERVED_LARGEST,
    FK_SERVED_TEAM
  } kind;      /* LARGEST: the largest jobs of the class */
  guint ended; /* jobs done since the book was opened */
  guint live;
  guint64 waiting, running; /* tasks of live jobs */
  double cpus;              /* booked */
  double due;               /* jobs that have had time, the ended ones as well ... */
  double served;            /* ... and how many of those are served: each by its tasks that run or are done */
  double oldest_s;          /* the longest that a job with waiting tasks has been there */
} FkServedRow;

typedef struct {
  const char *class_name, *team;
  double age_s;
  guint32 tasks, done, running, waiting;
  double cpus; /* booked */
  double size; /* what the whole job takes, in CPU-seconds */
} FkServedJob;

FkServed *fk_served_new(void);
void fk_served_free(FkServed *b);
void fk_served_clear(FkServed *b);
/* A job of that size is there: once for each job. */
void fk_served_sized(FkServed *b, const char *class_name, double size);
/* Whether a job of that size is one of the largest of its class: of the largest tenth of those seen, and
 * those as large as the least of them; one at the least. Sizes count in steps of a fifth. */
gboolean fk_served_is_large(const FkServed *b, const char *class_name, double size);
/* A job is done. */
void fk_served_ended(FkServed *b, const char *class_name, const char *team, double size);

/* A look: first this, then every live job. */
void fk_served_begin(FkServed *b);
void fk_served_live(FkServed *b, const FkServedJob *j);

/* From 0 to 1; 1 when nothing is due yet. */
double fk_served_share(const FkServedRow *r);
/* Less than half is served, and something has waited for long. */
gboolean fk_served_starved(const FkServedRow *r);
/* The row as of the latest look, or NULL. */
const FkServedRow *fk_served_class(const FkServed *b, const char *name);
/* The row of the class's largest jobs. */
const FkServedRow *fk_served_largest(const FkServed *b, const char *class_name);
const FkServedRow *fk_served_team(const FkServed *b, const char *name);
/* All rows, by kind and name. Free the array; the rows are the book's. */
GPtrArray *fk_served_rows(const FkServed *b);
